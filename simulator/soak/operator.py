"""The simulated operator of a soak scenario: calls the controllers and retries until one acknowledges."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from attrs import define

from .processes import CONTROL_PORT, READINESS_PORT

if TYPE_CHECKING:
    from .processes import Fleet, Node

CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
RETRY_DELAY_S = 0.1


@define(slots=True, eq=False)
class Operator:
    """Calls the controllers of a fleet.

    Attributes
    ----------
    http, fleet
        The HTTP session for the calls, and the fleet whose controllers are called.
    """

    http: aiohttp.ClientSession
    fleet: Fleet

    async def call(self, method: str, node: Node, path: str, **options: Any) -> tuple[int, Any]:
        """Call one controller; return the status and the JSON body, or status 0 when the call fails."""
        url = f"http://{node.ip}:{CONTROL_PORT}/-/{path}"
        try:
            async with self.http.request(method, url, **options) as response:
                return response.status, await response.json(content_type=None)
        except (*CALL_ERRORS, ValueError):
            return 0, None

    async def until_acknowledged(self, method: str, path: str, **options: Any) -> None:
        """Call the controllers in turn until one responds with 200."""
        while True:
            for node in self.fleet.controllers:
                if (await self.call(method, node, path, **options))[0] == 200:
                    return
            await asyncio.sleep(RETRY_DELAY_S)

    async def put(self, configuration: dict[str, Any], base: int) -> None:
        """Send a configuration, with retries until it is acknowledged."""
        await self.until_acknowledged("PUT", "configuration", json=configuration, headers={"If-Match": str(base)})

    async def until_routers_are_ready(self) -> None:
        """Wait until the readiness check of each router succeeds."""
        while not all([await self._is_ready(node) for node in self.fleet.routers]):
            await asyncio.sleep(RETRY_DELAY_S)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with self.http.get(f"http://{node.ip}:{READINESS_PORT}/-/ready") as response:
                return response.status == 200
        except CALL_ERRORS:
            return False
