"""Starts and stops the controller's services."""

import asyncio
import signal

from absl import logging
from mode import Service

from sparloom.launch.early_listen import hangup_came
from sparloom.metrics import report_interval
from sparloom.metrics.reporter import MetricsReporter
from sparloom.settings import read
from sparloom.transport import FileWatch

from .consensus_service import ConsensusService
from .control_api import ControlApi
from .endpoint_poller import EndpointPoller
from .feed_server import FeedServer

# The part of the grace period that a planned leave may take.
LEAVE_PART = 0.5


class Controller(Service):
    """All parts of a controller."""

    def __init__(self, up, path):
        super().__init__()
        self.up, self.path = up, path
        self.watch = FileWatch(path)
        self.shop = self.add_dependency(FeedServer(up))
        self.core = ConsensusService(up, self.shop.serve, lambda d: self.control.news(d))
        self.control = ControlApi(up, self.core, self.shop)
        self.poller = EndpointPoller(up, self.core, self.shop, self.control.routers)
        self.shop.core = self.core
        self.done = asyncio.Event()

    async def on_start(self):
        for s in (self.core, self.control, self.poller):
            await self.add_runtime_dependency(s)
        if report_interval():
            await self.add_runtime_dependency(MetricsReporter(self.up.node, report_interval()))

    def reread(self):
        """Reads the startup file again; a bad one is logged and changes nothing."""
        new = read(self.path)
        if new.value_or(None) is None:
            logging.warning("startup: %s", new.failure())
            return
        self.up = self.core.up = new.unwrap()
        if self.core.swim is not None:
            self.core.swim.seeds = self.core.seeds
        logging.info("startup: the file was read again.")

    @Service.task
    async def _watch(self):
        while not self.should_stop:
            await asyncio.sleep(1.0)
            if self.watch.changed():
                self.reread()


async def serve(up, path):
    """Runs a controller until SIGTERM or SIGINT."""
    loop, end = asyncio.get_running_loop(), asyncio.Event()
    ctl = Controller(up, path)
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, end.set)
    loop.add_signal_handler(signal.SIGHUP, ctl.reread)
    await ctl.start()
    if hangup_came():
        ctl.reread()
    await end.wait()
    logging.info("controller: stops.")
    await ctl.core.leave(up.bounds.grace * LEAVE_PART)
    async with asyncio.timeout(2):
        await ctl.stop()
