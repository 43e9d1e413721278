"""Starts and stops the router's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from sparloom.serving_program import ServingProgram, serve_until_signalled

from .frontend import Frontend
from .router_state import RouterState

if TYPE_CHECKING:
    from sparloom.settings import Settings


class Router(ServingProgram):
    """All parts of a router."""

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__(settings, path)
        self.know = RouterState(settings)
        self.front = Frontend(settings, self.know)

    async def on_start(self) -> None:
        """Starts the services in the order in which they need each other."""
        await self.add_runtime_dependency(self.know)
        await self.add_runtime_dependency(self.front)
        await self.start_metrics_reporter()

    def apply_settings(self, settings: Settings) -> None:
        """Goes by other checked settings from now on."""
        self.know.note_isolation(settings.isolation)
        self.settings = self.know.up = self.front.up = settings
        if self.know.swim is not None:
            self.know.swim.seeds = self.know.seeds

    async def graceful_shutdown(self) -> None:
        """Lets the requests in flight end."""
        await self.front.drain()
        logging.info("router: stopping")


async def serve(settings: Settings, path: str) -> None:
    """Runs a router until SIGTERM or SIGINT."""
    await serve_until_signalled(Router(settings, path))
