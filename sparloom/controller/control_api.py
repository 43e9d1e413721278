"""What the operator calls: PUT, PATCH and GET of the configuration.

Only the primary answers. It answers from decided state that a majority confirmed
after the call came; whatever it can't be sure of is a 503, never a 4xx.
"""

import asyncio
from datetime import timedelta

from absl import logging
from aiohttp import web
from attrs import define
from mode import Service
from returns.pipeline import is_successful
from returns.result import Failure, Success

from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.membership import ROUTER
from sparloom.metrics.reporter import process_figures
from sparloom.transport import bind, monotonic

from .change_requests import Verdict, judge, parse_change_request
from .control_state import State, json_text

PATH = "/-/configuration"
MOST_BODY_BYTES = 16 << 20
# Callers move on after a second of silence; a large body is given more.
ANSWER_WITHIN = timedelta(milliseconds=800)
ANSWER_WITHIN_PER_MIB = timedelta(seconds=1)
# A body of which nothing more comes for so long is given up.
BODY_SILENCE = timedelta(seconds=5)
# Work on a longer body, or on more routes, leaves the event loop, so that heartbeats go on.
LARGE_BYTES = 32 << 10
LARGE_ROUTES = 100
RETRY_AFTER = {"Retry-After": "0.2"}
MEMBER_STATES = ("alive", "suspect", "dead")


def reply(status, body, **headers):
    """A JSON reply.

    >>> reply(200, {"a": 1}).body
    b'{"a":1}'
    """
    return web.Response(
        status=status,
        body=json_text(body).encode(),
        content_type="application/json",
        headers=headers,
    )


def fault(status, text, **headers):
    """A reply that names a fault.

    >>> fault(400, "no").body
    b'{"error":"no"}'
    """
    return reply(status, {"error": text}, **headers)


def unclear():
    """The reply that leaves a call open: it may have been carried out, or be so yet; it is to be sent again.

    >>> unclear().status
    503
    """
    return fault(503, "the outcome is not known; send it again", **RETRY_AFTER)


def taken(order):
    """The reply that acknowledges an order."""
    return reply(200, {"revision": order.revision})


def client_left(request):
    """Whether nobody waits for the answer any more."""
    return request.transport is None or request.transport.is_closing()


def large(policy):
    """Whether a configuration is so large that work on it leaves the event loop."""
    return len(policy.get("routes", ())) > LARGE_ROUTES


async def run(much, work, *args):
    """Runs work, off the event loop if it is much."""
    if not much:
        return work(*args)
    return await asyncio.get_running_loop().run_in_executor(None, work, *args)


@define(frozen=True, slots=True)
class HandlerTable:
    """A tree of matchers: path, then method."""

    paths: dict

    def find(self, method, path):
        """The handler, or the status that says why there is none.

        >>> HandlerTable({"/a": {"GET": 1}}).find("GET", "/a"), HandlerTable({"/a": {}}).find("GET", "/a"), HandlerTable({}).find("GET", "/a")
        (1, 405, 404)
        """
        node = self.paths.get(path)
        return 404 if node is None else node.get(method, 405)


@define(frozen=True, slots=True)
class Deadline:
    """The moment by which a call is answered."""

    at: timedelta

    @classmethod
    def after_body(cls, length):
        """The deadline of a call whose body of that length was just read."""
        return cls(monotonic() + ANSWER_WITHIN + ANSWER_WITHIN_PER_MIB * (length / (1 << 20)))

    def left(self):
        """How much time is left; never less than none."""
        return max(timedelta(0), self.at - monotonic())


@define(frozen=True, slots=True)
class Snapshot:
    """A decided state and the stamp of the data that it was read from."""

    stamp: tuple
    blob: bytes
    state: State


@define(frozen=True, slots=True)
class Write:
    """An order whose write is under way; the task gives whether it is known to be decided."""

    order: object
    blob: bytes
    state: State
    outcome: asyncio.Task


class ControlApi(Service):
    """The control address."""

    def __init__(self, settings, core, shop):
        super().__init__()
        self.settings, self.core, self.shop = settings, core, shop
        self.decided = None
        self.writing = None
        self.tree = HandlerTable(
            {
                PATH: {"PUT": self._change, "PATCH": self._change, "GET": self._get},
                "/-/beliefs": {"GET": self._beliefs},
            }
        )
        self.runner = None

    async def on_start(self):
        # A waiting call is cancelled when its client leaves; a write that has begun is not.
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.SockSite(self.runner, bind(self.settings.listen.control)).start()

    async def on_stop(self):
        if self.writing is not None:
            self.writing.outcome.cancel()
        await self.runner.cleanup()

    def news(self, data):
        """The ledger decided: the configuration goes on the shelf."""
        self.decided = self._snapshot(data)
        state = self.decided.state
        if state.revision:
            self.shop.renew(CONFIGURATION, data.stamp, state.policy)

    def _snapshot(self, data):
        """The state in some data; it is unpacked once only."""
        known = self.decided
        if known is not None and known.blob == data.blob:
            return known if known.stamp == data.stamp else Snapshot(data.stamp, data.blob, known.state)
        if self.writing is not None and self.writing.blob == data.blob:
            return Snapshot(data.stamp, data.blob, self.writing.state)
        return Snapshot(data.stamp, data.blob, State.unpack(data.blob))

    def _routers_seen(self):
        """Routers that were seen of late, the dead ones of the last while included."""
        return sum(entry.peer.role == ROUTER for entry in self.core.swim.table.values())

    def routers(self):
        """By how many the routers' whole is divided: as recorded, or as seen if that is more."""
        recorded = self.decided.state.router_count if self.decided else 0
        return max(recorded, self._routers_seen())

    async def _handle(self, request):
        handler = self.tree.find(request.method, request.path)
        if isinstance(handler, int):
            return fault(handler, "no such call")
        return await handler(request)

    # -- who answers --------------------------------------------------------
    def _elsewhere(self):
        """For a call that this member can't answer: to the primary, if that was confirmed of late."""
        ledger = self.core.ledger
        primary = ledger.primary()
        if primary is None or primary.id == ledger.member.id or ledger.leading() or not primary.control:
            return fault(503, "no primary is known", **RETRY_AFTER)
        if timedelta(milliseconds=self.shop.sureness()) > self.settings.bounds.contact / 3:
            return fault(503, "the primary has not been heard of lately", **RETRY_AFTER)
        return fault(307, "the primary serves this", Location=f"http://{primary.control}{PATH}")

    async def _confirmed(self, deadline):
        """Decided state that a majority confirmed after this was called, or None."""
        if not self.core.ledger.leading():
            return None
        data = await self.core.confirm(deadline.left())
        if data is None or self.decided is None or data.stamp > self.decided.stamp:
            return None
        return self._snapshot(data)

    def _newest(self, snapshot):
        """Whether a confirmed state is still what a write would build on."""
        return self.core.ledger.leading() and self.decided.stamp == snapshot.stamp

    # -- reading ------------------------------------------------------------
    async def _get(self, request):
        snapshot = await self._confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self._elsewhere()
        if not snapshot.state.revision:
            return fault(404, "no configuration was taken yet")
        return await run(large(snapshot.state.policy), reply, 200, snapshot.state.policy)

    # -- changing -----------------------------------------------------------
    async def _body(self, request):
        """The body, or the reply that says why there is none."""
        too_long = fault(413, f"the body is longer than {MOST_BODY_BYTES} bytes")
        if (request.content_length or 0) > MOST_BODY_BYTES:
            return Failure(too_long)
        body = bytearray()
        while True:
            try:
                async with asyncio.timeout(BODY_SILENCE.total_seconds()):
                    part = await request.content.readany()
            except TimeoutError:
                return Failure(fault(408, "the body did not come"))
            if not part:
                return Success(bytes(body))
            body += part
            if len(body) > MOST_BODY_BYTES:
                return Failure(too_long)

    async def _change(self, request):
        body = await self._body(request)
        if not is_successful(body):
            return body.failure()
        body = body.unwrap()
        deadline = Deadline.after_body(len(body))
        if_match = request.headers.get("If-Match", "")
        order = await run(len(body) > LARGE_BYTES, parse_change_request, request.method, if_match, body)
        if not is_successful(order):
            return fault(400, order.failure())
        return await self._settle(request, order.unwrap(), deadline)

    async def _settle(self, request, order, deadline):
        """Answers an order: no refusal while a write is under way, none without confirmed, decided state."""
        while deadline.left() and not client_left(request):
            if self.writing is not None:
                write = self.writing
                decided = await self._outcome(write, deadline)
                if write.order.same_as(order):
                    return taken(order) if decided else unclear()
                continue
            snapshot = await self._confirmed(deadline)
            if snapshot is None:
                return self._elsewhere()
            if self.writing is not None or not self._newest(snapshot):
                continue
            answer = await self._judge(order, snapshot)
            if answer is not None:
                return answer
        return unclear()

    @staticmethod
    async def _outcome(write, deadline):
        """Whether a write is known to be decided by the deadline."""
        done, _ = await asyncio.wait({write.outcome}, timeout=deadline.left().total_seconds())
        return bool(done) and not write.outcome.cancelled() and write.outcome.result()

    async def _judge(self, order, snapshot):
        """The answer to an order; None when its write has begun, or the state has changed meanwhile."""
        much = large(snapshot.state.policy) or large(order.change)
        found = await run(much, judge, snapshot.state, order, self._routers_seen())
        if found.verdict is Verdict.TAKEN:
            return taken(order)
        if found.verdict is Verdict.FORGOTTEN:
            return unclear()
        if found.verdict is Verdict.STALE:
            current = snapshot.state.revision
            return fault(412, f"the current revision is {current}", revision=str(current))
        if found.verdict is Verdict.INVALID:
            return fault(400, found.fault)
        blob = await run(much, found.state.pack)
        if self.writing is None and self._newest(snapshot):
            write = self._write(order, snapshot, found.state, blob)
            outcome = asyncio.get_running_loop().create_task(write)
            self.writing = Write(order, blob, found.state, outcome)
        return None

    async def _write(self, order, snapshot, state, blob):
        """Writes a state over the one that it was made from; gives whether it is known to be decided."""
        try:
            if not self._newest(snapshot):
                return False
            wait = self.settings.bounds.acknowledge
            data = await self.core.write(order.revision, blob, wait)
            if data is None or data.revision != order.revision:
                return False
            logging.info("control: revision %d is in force.", order.revision)
            return True
        finally:
            self.writing = None

    # -- looking inside -----------------------------------------------------
    async def _beliefs(self, request):
        ledger = self.core.ledger
        view, policy, listed = ledger.view, self.shop.held(CONFIGURATION), self.shop.held(ENDPOINTS)
        return reply(
            200,
            {
                "node": self.settings.node,
                "role": "controller",
                "key": self.core.key,
                "policy": list(self.shop.store.version(CONFIGURATION)),
                "runners": list(self.shop.store.version(ENDPOINTS)),
                "revision": policy["revision"] if policy else 0,
                "fleet": {r.id: "draining" if r.draining else "ready" for r in listed.runners} if listed else {},
                "members": {
                    peer.key: MEMBER_STATES[peer.state]
                    for peer in (entry.peer for entry in self.core.swim.table.values())
                },
                "view": view
                and {
                    "epoch": view.epoch,
                    "primary": view.primary,
                    "backups": view.backups,
                    "roster": list(view.ids),
                },
                "leading": ledger.leading(),
                "sureMs": self.shop.sureness(),
                "meter": process_figures(),
            },
        )
