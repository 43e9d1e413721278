"""A stand-in for a sound runner that answers each request once, with its seal and the request's id."""

from __future__ import annotations

from aiohttp import web


class PlainRunner:
    """Runs each request that names it, and records it."""

    def __init__(self, record, id, service):
        self.record, self.id, self.service = record, id, service
        self.ran = []
        self.server, self.port = None, 0

    async def start(self):
        """Listen; return self."""
        self.server = web.ServerRunner(web.Server(self._handle, access_log=None), shutdown_timeout=0.01)
        await self.server.setup()
        await web.TCPSite(self.server, "127.0.0.1", 0).start()
        self.port = self.server.addresses[0][1]
        return self

    async def stop(self):
        """Stop listening."""
        await self.server.cleanup()

    def entry(self):
        """Return the runner's entry in the platform's list."""
        return {
            "runnerId": self.id,
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z0",
            "revision": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "prefill_and_decode",
            "models": [],
        }

    async def _handle(self, request):
        body = await request.read()
        attempt = request.headers.get("X-Sparloom-Attempt-Id", "")
        head = {"X-Sparloom-Attempt-Id": attempt, "X-Sparloom-Instance": self.id}
        if request.headers.get("X-Sparloom-Expected-Instance", self.id) != self.id:
            return web.Response(status=421, headers=head)
        if request.path == "/health":
            return web.Response(status=200, headers=head)
        self.ran.append(attempt)
        self.record.add(f"ran {request.method} {request.path} id={attempt} at {self.id}")
        return web.Response(status=200, body=body, headers={**head, "X-Sparloom-Runner-Seal": f"seal.{attempt}"})
