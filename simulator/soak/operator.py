"""The operator of a soak: calls that are sent to one controller after the other until they are acknowledged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from attrs import define

from .processes import CONTROL_PORT, READINESS_PORT

if TYPE_CHECKING:
    from .processes import Fleet, Node

CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
PAUSE_S = 0.1


@define(slots=True, eq=False)
class Operator:
    """Calls the controllers of a fleet.

    Attributes
    ----------
    http, fleet
        The session of the calls, and whom to call.
    """

    http: aiohttp.ClientSession
    fleet: Fleet

    async def call(self, method: str, node: Node, path: str, **options: Any) -> tuple[int, Any]:
        """One call of one controller; status 0 where there is no answer."""
        url = f"http://{node.ip}:{CONTROL_PORT}/-/{path}"
        try:
            async with self.http.request(method, url, **options) as response:
                return response.status, await response.json(content_type=None)
        except (*CALL_ERRORS, ValueError):
            return 0, None

    async def until_acknowledged(self, method: str, path: str, **options: Any) -> None:
        """Call one controller after the other until one answers 200."""
        while True:
            for node in self.fleet.controllers:
                if (await self.call(method, node, path, **options))[0] == 200:
                    return
            await asyncio.sleep(PAUSE_S)

    async def put(self, configuration: dict[str, Any], base: int) -> None:
        """Send a configuration until it is acknowledged."""
        await self.until_acknowledged("PUT", "configuration", json=configuration, headers={"If-Match": str(base)})

    async def until_routers_are_ready(self) -> None:
        """Wait until each router says that it is ready."""
        while not all([await self._is_ready(node) for node in self.fleet.routers]):
            await asyncio.sleep(PAUSE_S)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with self.http.get(f"http://{node.ip}:{READINESS_PORT}/-/ready") as response:
                return response.status == 200
        except CALL_ERRORS:
            return False
