"""The address that clients call, and the one that the platform asks for readiness."""

import asyncio
from datetime import timedelta

from absl import logging
from aiohttp import web
from mode import Service

from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.metrics.reporter import process_figures
from sparloom.transport import bind, monotonic

from .client_connections import LEAST_IDLE, ClientServer
from .forwarding import RequestForwarder
from .graceful_shutdown import GracefulShutdown
from .outcomes import Outcome, Outcomes
from .request import make, time_left

IDLE_SWEEP = timedelta(seconds=1)
DRAIN_POLL = timedelta(milliseconds=25)
NOT_KNOWN_YET = "0.2"


class Frontend(Service):
    """Takes requests and sends replies."""

    def __init__(self, up, state):
        super().__init__()
        self.up, self.router_state = up, state
        self.ending = None
        self.forwarding = set()
        self.outcomes = Outcomes()
        self.client_server = self.client_runner = None
        self.runners = []

    @property
    def stopping(self):
        """Whether this router is about to end."""
        return self.ending is not None

    async def on_start(self):
        await self.serve(web.Server(self._ready, access_log=None), bind(self.up.listen.readiness))
        await self.serve_clients(bind(self.up.listen.front))

    async def serve_clients(self, sock):
        """Serves clients on a listening socket."""
        self.client_runner = await self.serve(self.clients(), sock)

    def clients(self):
        """The server for clients."""
        self.client_server = ClientServer(self._handle, self.idle_bound)
        return self.client_server

    def idle_bound(self):
        """How long a client's connection is kept idle: never less than the configuration allows."""
        policy = self.router_state.configuration
        return LEAST_IDLE if policy is None else max(LEAST_IDLE, policy.caps.idle)

    @Service.task
    async def _end_idle(self):
        while not self.should_stop:
            await asyncio.sleep(IDLE_SWEEP.total_seconds())
            self.client_server.end_idle()

    async def serve(self, server, sock):
        """Serves on a listening socket."""
        run = web.ServerRunner(server, shutdown_timeout=0.1)
        await run.setup()
        await web.SockSite(run, sock).start()
        self.runners.append(run)
        return run

    async def on_stop(self):
        for r in self.runners:
            await r.cleanup()

    async def _ready(self, req):
        if req.path == "/-/beliefs":
            return web.json_response(self.beliefs())
        ok = req.path == "/-/ready" and self.router_state.ready() and not self.stopping
        return web.Response(status=200 if ok else 503 if req.path == "/-/ready" else 404)

    def beliefs(self):
        """What this router believes, for the comparison."""
        k, now = self.router_state, monotonic()
        return {
            "node": self.up.node,
            "role": "router",
            "key": k.key,
            "policy": list(k.shelf.version(CONFIGURATION)),
            "runners": list(k.shelf.version(ENDPOINTS)),
            "revision": k.configuration.revision if k.configuration else 0,
            "members": {p.key: ["alive", "suspect", "dead"][p.state] for p in (e.peer for e in k.swim.table.values())},
            "fleet": {p.id: "draining" if p.draining else "ready" for p in k.backends.by_id.values()},
            "counts": {id: k.in_flight.count(id, now) for id in k.backends.by_id},
            "ready": k.ready(),
            "shares": {f"{s} {m}": f for s, ms in k.queues.figures().items() for m, f in ms.items()},
            "divisor": k.fleet_size.divisor,
            "relays": {r: "relay" for r in k.relay_tier.relays},
            "tier": k.relay_server.told(),
            "requests": self.outcomes.figures(),
            "isolation": self.up.isolation.fingerprints() if self.up.isolation else [],
            "runnersBeforeIsolation": k.lives_before_isolation(),
            "meter": process_figures(),
        }

    async def _handle(self, req):
        connection = req.protocol
        try:
            resp = await self._take(req)
            if self.stopping and not resp.prepared:
                resp.force_close()
            return resp
        finally:
            connection.request_ended()

    async def _take(self, req):
        now, k = monotonic(), self.router_state
        await k.wait_known(time_left(req.headers, self.up.bounds.contact))
        policy = k.configuration
        if policy is None:
            return web.Response(status=503, headers={"Retry-After": NOT_KNOWN_YET})
        caps = policy.caps
        if sum(len(a) + len(b) + 4 for a, b in req.raw_headers) > caps.head:
            return web.Response(status=431)
        body, bad = await self._body(req, caps)
        if bad:
            return bad
        route = k.configuration.match(req.headers.get("Host", ""), req.raw_path.partition("?")[0])
        if route is None:
            return web.Response(status=404)
        ask = make(req, body, route, k.configuration, now, k.queues.member(route), self.up.isolation)
        return await self._forward(RequestForwarder(k, req, ask, lambda: self.stopping))

    async def _forward(self, forwarding):
        """Forwards a request, or refuses it where this router ends before it may."""
        self.forwarding.add(forwarding)
        try:
            if self.ending and not self.ending.admits(monotonic(), forwarding.ask.horizon):
                return forwarding.refuse()
            return await forwarding.run()
        finally:
            self.forwarding.discard(forwarding)
            self._count(forwarding)

    def _count(self, forwarding):
        self.outcomes.add(forwarding.outcome)
        if forwarding.outcome is Outcome.UNANSWERED:
            logging.warning("front: request %s ended without an answer.", forwarding.ask.id)

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

    # -- a planned end --------------------------------------------------------
    async def drain(self):
        """Unready at once; later listens no more and ends each connection as its requests are done."""
        self.ending = GracefulShutdown.of(monotonic(), self.up.bounds.grace)
        logging.info("front: unready; %d requests are in hand.", len(self.forwarding))
        await asyncio.sleep((self.ending.takes_until - monotonic()).total_seconds())
        await self._stop_listening()
        await self._finish(self.ending.breaks_off)
        if self.forwarding:
            logging.warning("front: %d requests are broken off.", len(self.forwarding))
        for forwarding in list(self.forwarding):
            forwarding.expire()
        await self._finish(self.ending.ends)

    async def _stop_listening(self):
        """Opens no connection to a client any more; the platform may still ask for readiness."""
        for site in list(self.client_runner.sites):
            await site.stop()

    async def _finish(self, until):
        """Waits until no client is connected; ends the connections on which nothing is under way."""
        while monotonic() < until:
            self.client_server.end_resting()
            await asyncio.sleep(DRAIN_POLL.total_seconds())
            if not self.client_server.connections:
                return
