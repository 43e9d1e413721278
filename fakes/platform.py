"""Fake platform: serves a paginated list of runners and accepts duty calls."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

from .duty_log import DutyLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Platform:
    """HTTP server that lists ``entries`` and records duty calls.

    Attributes
    ----------
    entries, page
        The listed entries, and the number of entries per page.
    calls, tokens
        The number of list requests, and the page token of each.
    down
        Whether every response is a 500.
    statuses
        Statuses of the next list responses; a page is sent only with 200.
    meanwhile
        Called while a list request is being handled.
    duties
        The received duty calls.
    response_delay_s, late_s
        Delays in seconds of the response to a duty call, and of the execution of the call.
    duty_statuses
        Statuses of the next duty calls, which are then not executed unless the status is 200; 0 closes the connection
        without a response.
    """

    def __init__(self, entries: Iterable[dict[str, Any]], page: int = 50) -> None:
        self.entries, self.page, self.calls, self.down = list(entries), page, 0, False
        self.server: web.ServerRunner | None = None
        self.port = 0
        self.tokens: list[str | None] = []
        self.statuses: list[int] = []
        self.meanwhile: Callable[[], object] = lambda: None
        self.duties = DutyLog(time.monotonic)
        self.response_delay_s = self.late_s = 0.0
        self.duty_statuses: list[int] = []
        self._pending_duty_calls: set[asyncio.Future[int]] = set()

    @staticmethod
    def entry(
        id: str, service: str, address: str, state: str = "ready", zone: str = "z1", slots: int = 8
    ) -> dict[str, Any]:
        """Returns an entry of the list.

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
        """Starts listening; returns itself."""
        self.server = web.ServerRunner(web.Server(self._handle_request))
        await self.server.setup()
        site = web.TCPSite(self.server, host, port)
        await site.start()
        self.port = self.server.addresses[0][1]
        return self

    async def stop(self) -> None:
        """Stops the server."""
        if self.server is not None:
            await self.server.cleanup()

    async def _handle_duty_call(self, request: web.BaseRequest) -> web.Response:
        """Handle a duty call: execute it after ``late_s``; respond after it and after ``response_delay_s``."""
        body = await request.json()
        status = self.duty_statuses.pop(0) if self.duty_statuses else 500 if self.down else 200
        if status == 0:
            await asyncio.sleep(self.response_delay_s)
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        if status != 200:
            return web.Response(status=status)
        execution = asyncio.ensure_future(self._execute_duty_call(request, body))
        self._pending_duty_calls.add(execution)
        execution.add_done_callback(self._pending_duty_calls.discard)
        await asyncio.sleep(self.response_delay_s)
        return web.Response(status=await asyncio.shield(execution))

    async def _execute_duty_call(self, request: web.BaseRequest, body: dict[str, Any]) -> int:
        if self.late_s:
            await asyncio.sleep(self.late_s)
        holder, fence = request.headers["X-Sparloom-Duty-Holder"], int(request.headers["X-Sparloom-Fence-Number"])
        return self.duties.take(request.path.removeprefix("/"), holder, fence, body)

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            return await self._handle_duty_call(request)
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
