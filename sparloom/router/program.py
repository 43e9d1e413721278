"""Starts and stops the router's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from sparloom.serving_program import ServingProgram, serve_until_signalled

from .frontend import Frontend
from .router_node import RouterNode

if TYPE_CHECKING:
    from sparloom.settings import Settings


class Router(ServingProgram):
    """A whole router.

    Attributes
    ----------
    settings: the checked startup file.
    node: all parts that need no client.
    front: the address that clients call.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__(settings, path)
        self.node = RouterNode(settings)
        self.front = Frontend(settings, self.node)

    async def on_start(self) -> None:
        """Starts the node before the front."""
        await self.add_runtime_dependency(self.node)
        await self.add_runtime_dependency(self.front)
        await self.start_metrics_reporter()

    def apply_settings(self, settings: Settings) -> None:
        """Goes by other checked settings from now on."""
        self.node.use(settings)
        self.settings = self.front.settings = settings

    async def graceful_shutdown(self) -> None:
        """Lets the requests in flight end."""
        await self.front.drain()
        logging.info("router: stopping")


async def serve(settings: Settings, path: str) -> None:
    """Runs a router until SIGTERM or SIGINT; SIGHUP reads the startup file again."""
    await serve_until_signalled(Router(settings, path))
