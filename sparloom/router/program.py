"""Starts and stops the router's services."""

import asyncio
import signal

from absl import logging
from mode import Service

from sparloom.launch.early_listen import hangup_came
from sparloom.metrics import report_interval
from sparloom.metrics.reporter import MetricsReporter
from sparloom.settings import read
from sparloom.transport import FileWatch

from .frontend import Frontend
from .router_state import RouterState


class Router(Service):
    """All parts of a router."""

    def __init__(self, up, path):
        super().__init__()
        self.up, self.path = up, path
        self.watch = FileWatch(path)
        self.router_state = RouterState(up)
        self.front = Frontend(up, self.router_state)

    async def on_start(self):
        await self.add_runtime_dependency(self.router_state)
        await self.add_runtime_dependency(self.front)
        if report_interval():
            await self.add_runtime_dependency(MetricsReporter(self.up.node, report_interval()))

    def reread(self):
        """Reads the startup file again; a bad one is logged and changes nothing."""
        new = read(self.path)
        if new.value_or(None) is None:
            logging.warning("startup: %s", new.failure())
            return
        self.use(new.unwrap())
        logging.info("startup: the file was read again.")

    def use(self, up):
        """Goes by other checked settings from now on."""
        self.router_state.note_isolation(up.isolation)
        self.up = self.router_state.settings = self.front.settings = up
        if self.router_state.swim is not None:
            self.router_state.swim.seeds = self.router_state.seeds

    @Service.task
    async def _watch(self):
        while not self.should_stop:
            await asyncio.sleep(1.0)
            if self.watch.changed():
                self.reread()


async def serve(up, path):
    """Runs a router until SIGTERM or SIGINT."""
    loop, end = asyncio.get_running_loop(), asyncio.Event()
    rt = Router(up, path)
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, end.set)
    loop.add_signal_handler(signal.SIGHUP, rt.reread)
    await rt.start()
    if hangup_came():
        rt.reread()
    await end.wait()
    await rt.front.drain()
    logging.info("router: stops.")
    async with asyncio.timeout(2):
        await rt.stop()
