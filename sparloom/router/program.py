"""Starts and stops the router's services."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sparloom.launch.early_listen import hangup_came
from sparloom.metrics import report_interval
from sparloom.metrics.reporter import MetricsReporter
from sparloom.settings import read
from sparloom.transport import FileWatch

from .frontend import Frontend
from .router_node import RouterNode

if TYPE_CHECKING:
    from sparloom.settings import Settings

SETTINGS_CHECK_S = 1.0
STOP_TIMEOUT_S = 2


class Router(Service):
    """A whole router.

    Attributes
    ----------
    settings: the checked startup file.
    path: where that file is; it is read again when it changes.
    node: all parts that need no client.
    front: the address that clients call.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__()
        self.settings = settings
        self.path = path
        self.settings_watch = FileWatch(path)
        self.node = RouterNode(settings)
        self.front = Frontend(settings, self.node)

    async def on_start(self) -> None:
        """Starts the node before the front."""
        await self.add_runtime_dependency(self.node)
        await self.add_runtime_dependency(self.front)
        if report_interval():
            await self.add_runtime_dependency(MetricsReporter(self.settings.node, report_interval()))

    def reread(self) -> None:
        """Reads the startup file again; a bad one is logged and changes nothing."""
        new = read(self.path)
        if new.value_or(None) is None:
            logging.warning("startup: %s", new.failure())
            return
        self.use(new.unwrap())
        logging.info("startup: the file was read again.")

    def use(self, settings: Settings) -> None:
        """Goes by other checked settings from now on."""
        self.node.use(settings)
        self.settings = self.front.settings = settings

    @Service.task
    async def _watch_settings(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SETTINGS_CHECK_S)
            if self.settings_watch.changed():
                self.reread()


async def serve(settings: Settings, path: str) -> None:
    """Runs a router until SIGTERM or SIGINT; SIGHUP reads the startup file again."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    router = Router(settings, path)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, router.reread)
    await router.start()
    if hangup_came():
        router.reread()
    await stop.wait()
    await router.front.drain()
    logging.info("router: stops.")
    async with asyncio.timeout(STOP_TIMEOUT_S):
        await router.stop()
