"""A platform that lists runners, in pages, and takes the calls of duties."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

from .duty_log import DutyLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Platform:
    """Lists what ``entries`` holds.

    Attributes
    ----------
    entries, page
        The list, and how many entries a page has.
    calls, tokens
        How many requests came, and the page token of each.
    down
        Whether every answer is a 500.
    statuses
        Those of the next answers; a page is sent with 200 only.
    meanwhile
        Called while a request is at the platform.
    duties
        The calls of duties that came.
    answer_s, late_s
        How long the answer to a call of a duty takes, and how long it takes until the call is carried out.
    duty_statuses
        Those of the next answers to calls of duties, which are then not carried out; 0 for none at all.
    """

    def __init__(self, entries: Iterable[dict[str, Any]], page: int = 50) -> None:
        self.entries, self.page, self.calls, self.down = list(entries), page, 0, False
        self.run: web.ServerRunner | None = None
        self.port = 0
        self.tokens: list[str | None] = []
        self.statuses: list[int] = []
        self.meanwhile: Callable[[], object] = lambda: None
        self.duties = DutyLog(time.monotonic)
        self.answer_s = self.late_s = 0.0
        self.duty_statuses: list[int] = []
        self._late: set[asyncio.Future[int]] = set()

    @staticmethod
    def entry(
        id: str, service: str, address: str, state: str = "ready", zone: str = "z1", slots: int = 8
    ) -> dict[str, Any]:
        """An entry of the list.

        >>> Platform.entry("i", "s", "h:1")["state"]
        'ready'
        """
        return {
            "runnerId": id,
            "service": service,
            "address": address,
            "zone": zone,
            "revision": "v1",
            "slots": slots,
            "state": state,
            "coldRemainingMs": 0,
            "stage": "prefill_and_decode",
            "models": [],
        }

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Platform:
        """Listens; gives itself."""
        self.run = web.ServerRunner(web.Server(self._handle))
        await self.run.setup()
        site = web.TCPSite(self.run, host, port)
        await site.start()
        self.port = self.run.addresses[0][1]
        return self

    async def stop(self) -> None:
        """Stops."""
        if self.run is not None:
            await self.run.cleanup()

    async def _duty(self, request: web.BaseRequest) -> web.Response:
        """Take a call of a duty: carried out after a while, and answered after a while, whichever is first."""
        body = await request.json()
        status = self.duty_statuses.pop(0) if self.duty_statuses else 500 if self.down else 200
        if status == 0:
            await asyncio.sleep(self.answer_s)
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        if status != 200:
            return web.Response(status=status)
        carried_out = asyncio.ensure_future(self._carry_out(request, body))
        self._late.add(carried_out)
        carried_out.add_done_callback(self._late.discard)
        await asyncio.sleep(self.answer_s)
        return web.Response(status=await asyncio.shield(carried_out))

    async def _carry_out(self, request: web.BaseRequest, body: dict[str, Any]) -> int:
        if self.late_s:
            await asyncio.sleep(self.late_s)
        holder, fence = request.headers["X-Sparloom-Duty-Holder"], int(request.headers["X-Sparloom-Fence-Number"])
        return self.duties.take(request.path.removeprefix("/"), holder, fence, body)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            return await self._duty(request)
        self.calls += 1
        self.tokens.append(request.query.get("pageToken"))
        self.meanwhile()
        status = 500 if self.down else self.statuses.pop(0) if self.statuses else 200
        if status != 200:
            return web.Response(status=status)
        start = int(request.query.get("pageToken", "p0")[1:])
        end = start + self.page
        token = f"p{end}" if end < len(self.entries) else None
        return web.json_response({"instances": self.entries[start:end], "nextPageToken": token})
