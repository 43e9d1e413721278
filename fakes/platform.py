"""A platform that lists runners, in pages."""

from aiohttp import web


class Platform:
    """Lists what ``entries`` holds; ``calls`` counts the questions.

    ``meanwhile``: called while a question is at the platform. ``statuses``: those
    of the next answers; a page is sent with 200 only.
    """

    def __init__(self, entries, page=50):
        self.entries, self.page, self.calls, self.down = list(entries), page, 0, False
        self.run, self.port = None, 0
        self.tokens, self.statuses, self.meanwhile = [], [], lambda: None

    @staticmethod
    def entry(id, service, address, state="ready", zone="z1", slots=8):
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

    async def start(self, host="127.0.0.1", port=0):
        """Listens; gives itself."""
        self.run = web.ServerRunner(web.Server(self._handle))
        await self.run.setup()
        site = web.TCPSite(self.run, host, port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Stops."""
        await self.run.cleanup()

    async def _handle(self, req):
        self.calls += 1
        self.tokens.append(req.query.get("pageToken"))
        self.meanwhile()
        status = 500 if self.down else self.statuses.pop(0) if self.statuses else 200
        if status != 200:
            return web.Response(status=status)
        at = int(req.query.get("pageToken", "p0")[1:])
        more = at + self.page < len(self.entries)
        return web.json_response(
            {"instances": self.entries[at : at + self.page], "nextPageToken": f"p{at + self.page}" if more else None}
        )
