"""A platform that lists runners, in pages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

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
    """

    def __init__(self, entries: Iterable[dict[str, Any]], page: int = 50) -> None:
        self.entries, self.page, self.calls, self.down = list(entries), page, 0, False
        self.run: web.ServerRunner | None = None
        self.port = 0
        self.tokens: list[str | None] = []
        self.statuses: list[int] = []
        self.meanwhile: Callable[[], object] = lambda: None

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

    async def _handle(self, request: web.BaseRequest) -> web.Response:
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
