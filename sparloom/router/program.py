"""The router program (``Router``): starts and stops the router's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from sparloom.serving_program import ServingProgram, serve_until_signalled

from .frontend import Frontend
from .router_node import RouterNode

if TYPE_CHECKING:
    from sparloom.settings import Settings


class Router(ServingProgram):
    """A complete router: the node and its front end.

    Attributes
    ----------
    settings: the validated startup file.
    node: the components behind the front end.
    front: the front end, which serves clients over HTTP.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__(settings, path)
        self.node = RouterNode(settings)
        self.front = Frontend(settings, self.node)

    async def on_start(self) -> None:
        """Starts the node before the front end."""
        await self.add_runtime_dependency(self.node)
        await self.add_runtime_dependency(self.front)
        await self.start_metrics_reporter()

    def apply_settings(self, settings: Settings) -> None:
        """Applies new, validated settings."""
        self.node.apply_settings(settings)
        self.settings = self.front.settings = settings

    async def graceful_shutdown(self) -> None:
        """Waits for the requests in flight to complete."""
        await self.front.drain()
        logging.info("router: stopping")


async def serve(settings: Settings, path: str) -> None:
    """Runs a router until SIGTERM or SIGINT; SIGHUP reloads the startup file."""
    await serve_until_signalled(Router(settings, path))
