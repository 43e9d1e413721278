"""The address that requesters call, and the one that the platform asks for readiness."""

import asyncio
from datetime import timedelta

from absl import logging
from aiohttp import web
from mode import Service

from sparloom.feed import POLICY, RUNNERS
from sparloom.link import bind, steady
from sparloom.metering import figures

from .ask import make, time_left
from .carry import Carry

IDLE = timedelta(seconds=75)
OPTIONS = {"max_field_size": 65536, "max_line_size": 65536}


class ClientServer(web.Server):
    """Serves clients; ``idle()``: how long a connection that is opened now may be idle."""

    def __init__(self, handler, idle):
        super().__init__(handler, handler_cancellation=True)
        self.idle = idle

    def __call__(self):
        """The protocol of a new connection."""
        idle = self.idle().total_seconds()
        return web.RequestHandler(
            self, loop=asyncio.get_running_loop(), access_log=None, keepalive_timeout=idle, **OPTIONS
        )


class Front(Service):
    """Takes asks and sends replies."""

    def __init__(self, up, know):
        super().__init__()
        self.up, self.know = up, know
        self.stopping, self.open = False, 0
        self.idle = asyncio.Event()
        self.runners = []

    async def on_start(self):
        await self.serve(web.Server(self._ready, access_log=None), bind(self.up.listen.readiness))
        await self.serve(self.clients(), bind(self.up.listen.front))

    def clients(self):
        """The server for clients."""
        return ClientServer(self._handle, self.idle_bound)

    def idle_bound(self):
        """How long a client's connection is kept idle: never less than the configuration allows."""
        policy = self.know.policy
        return IDLE if policy is None else max(IDLE, policy.caps.idle)

    async def serve(self, server, sock):
        """Serves on a listening socket."""
        run = web.ServerRunner(server, shutdown_timeout=0.1)
        await run.setup()
        await web.SockSite(run, sock).start()
        self.runners.append(run)

    async def on_stop(self):
        for r in self.runners:
            await r.cleanup()

    async def _ready(self, req):
        if req.path == "/-/beliefs":
            return web.json_response(self.beliefs())
        ok = req.path == "/-/ready" and self.know.ready() and not self.stopping
        return web.Response(status=200 if ok else 503 if req.path == "/-/ready" else 404)

    def beliefs(self):
        """What this router believes, for the comparison."""
        k, now = self.know, steady()
        return {
            "node": self.up.node,
            "role": "router",
            "key": k.key,
            "policy": list(k.shelf.stamp(POLICY)),
            "runners": list(k.shelf.stamp(RUNNERS)),
            "revision": k.policy.revision if k.policy else 0,
            "members": {p.key: ["alive", "suspect", "dead"][p.state] for p in (e.peer for e in k.swim.table.values())},
            "fleet": {p.id: "draining" if p.draining else "ready" for p in k.fleet.posts.values()},
            "counts": {id: k.counts.count(id, now) for id in k.fleet.posts},
            "ready": k.ready(),
            "shares": {f"{s} {m}": f for s, ms in k.lines.figures().items() for m, f in ms.items()},
            "divisor": k.crowd.divisor,
            "relays": {r: "relay" for r in k.tier.relays},
            "tier": k.serve.told(),
            "meter": figures(),
        }

    async def _handle(self, req):
        self.open += 1
        self.idle.clear()
        try:
            resp = await self._take(req)
            if self.stopping and not resp.prepared:
                resp.force_close()
            return resp
        finally:
            self.open -= 1
            if not self.open:
                self.idle.set()

    async def _take(self, req):
        now, k = steady(), self.know
        await k.wait_known(time_left(req.headers, self.up.bounds.contact))
        policy = k.policy
        if policy is None:
            return web.Response(status=503, headers={"Retry-After": "0.2"})
        caps = policy.caps
        if sum(len(a) + len(b) + 4 for a, b in req.raw_headers) > caps.head:
            return web.Response(status=431)
        body, bad = await self._body(req, caps)
        if bad:
            return bad
        route = k.policy.match(req.headers.get("Host", ""), req.raw_path.partition("?")[0])
        if route is None:
            return web.Response(status=404)
        ask = make(req, body, route, k.policy, now)
        return await Carry(k, req, ask, lambda: self.stopping).run()

    async def _body(self, req, caps):
        if (req.content_length or 0) > caps.body:
            return b"", self._close(413)
        parts, size = [], 0
        try:
            async with asyncio.timeout(caps.idle.total_seconds()):
                async for p in req.content.iter_any():
                    size += len(p)
                    if size > caps.body:
                        return b"", self._close(413)
                    parts.append(p)
        except TimeoutError:
            return b"", self._close(408)
        return b"".join(parts), None

    @staticmethod
    def _close(status):
        r = web.Response(status=status)
        r.force_close()
        return r

    async def drain(self):
        """Unready, then finishes what is in hand within the grace."""
        self.stopping = True
        loop = asyncio.get_running_loop()
        end = loop.time() + self.up.bounds.grace.total_seconds() * 0.9
        logging.info("front: unready; %d asks are in hand.", self.open)
        await asyncio.sleep(min(3.0, self.up.bounds.grace.total_seconds() / 3))
        while self.open and loop.time() < end:
            try:
                async with asyncio.timeout(max(0.01, end - loop.time())):
                    await self.idle.wait()
            except TimeoutError:
                break
            await asyncio.sleep(0.1)
