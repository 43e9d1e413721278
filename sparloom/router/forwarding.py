"""Forwards one request: choose a runner, take a slot, send, relay, recover."""

import asyncio
from datetime import timedelta

import aiohttp
from aiohttp import web
from attrs import evolve

from sparloom.event_stream import EventSplitter, ResumableStream
from sparloom.load_balancing import Candidate, choose, is_heavy_prefill, rendezvous_weight
from sparloom.metrics import count_event
from sparloom.retry import MAY_HAVE_RUN, NOT_RUN, RAN, GiveUp, Retry, RetryContext, next_step
from sparloom.transport import monotonic

from . import request as names
from .admission_queues import Rejected
from .attempt import RUNNER_FAILURES, Attempt
from .outcomes import Outcome
from .timeout_buckets import buckets_for

ZERO = timedelta(0)


class ClientDisconnectedError(Exception):
    """The client's connection takes no more bytes."""


class HedgedAttempt:
    """An attempt that is opened while an earlier one is silent; ``opened``: called once it has, or has failed."""

    def __init__(self, attempt, last_event_id, within, opened):
        self.attempt = attempt
        self.task = asyncio.ensure_future(self._open(last_event_id, within))
        self.task.add_done_callback(lambda task: opened())

    async def _open(self, last_event_id, within):
        try:
            async with asyncio.timeout(within.total_seconds()):
                return await self.attempt.open(last_event_id)
        except TimeoutError:
            return MAY_HAVE_RUN

    @property
    def response(self):
        """The response, once a head has come that may be passed on; else None."""
        task = self.task
        opened = task.done() and not task.cancelled() and not task.exception() and task.result() is None
        return self.attempt.response if opened else None

    def drop(self):
        """It is not needed any more."""
        self.task.cancel()
        self.attempt.end()


class RequestForwarder:
    """The way of one request through this router.

    ``closing()``: whether the client's connection is to end with this request.
    ``outcome``: how it ended, once it has.
    """

    def __init__(self, state, req, ask, closing):
        self.state, self.req, self.ask, self.closing = state, req, ask, closing
        self.out = None
        self.thread = ResumableStream()
        self.service = self._choose_service()
        self.attempts, self.tried, self.reserved = 0, set(), False
        self.worst, self.allowed = NOT_RUN, None
        self.limit = self.ahead = None
        self.expired = False
        self.outcome = Outcome.UNANSWERED

    def left(self):
        """How much of its time is left."""
        return self.ask.horizon - monotonic()

    # -- choosing -----------------------------------------------------------
    def _runners(self):
        """The runners of the service that may take this request; fewer where members' prompts are kept apart."""
        runners, isolation = self.state.backends.of(self.service), self.state.settings.isolation
        if isolation is None:
            return runners
        if self.allowed is None or self.allowed[0] is not runners or self.allowed[1] is not isolation:
            self.allowed = (runners, isolation, isolation.allowed(self.ask.member, self.ask.part_ids, runners))
        return self.allowed[2]

    def _choose_service(self):
        split = self.ask.route.split
        if len(split) == 1:
            return split[0][0]
        at = self.state.random.random() * sum(w for _, w in split)
        for name, w in split:
            at -= w
            if at < 0 and w > 0:
                return name
        return next(n for n, w in reversed(split) if w > 0)

    def _stands(self, posts, now):
        c, parts, key = self.state.in_flight, self.ask.parts, self.ask.key
        return [
            Candidate(
                p.id,
                p.cached.prefill_tokens(parts),
                c.prefill_tokens(p.id, now),
                c.count(p.id, now),
                p.slots,
                p.warming_up,
                2 * p.is_suspected(now) + (c.unresponsive(p.id, now) > 0) + 4 * (p.id in self.tried),
                p.zone == self.state.settings.zone,
                p.has_idle_connection(),
                rendezvous_weight(key, p.number),
            )
            for p in posts
        ]

    def _pick(self):
        """The best runner with room, and a slot there."""
        now = monotonic()
        posts = {p.id: p for p in self._runners()}
        pipes = self.state.queues.connections(self.service)
        count_event("weighed runners", len(posts))
        for s in choose(self._stands(posts.values(), now), sum(n for _, n in self.ask.parts[:-1])):
            p = posts[s.id]
            if p.id in self.tried or p.open_calls >= pipes[p.id]:
                continue
            buckets = buckets_for(self.ask.route, p.slots, self.reserved)
            slot = self.state.in_flight.acquire(p.id, buckets, now, s.prefill_tokens)
            if slot:
                self.ask.yields = is_heavy_prefill(s.prefill_tokens, p.cached.capacity, p.slots)
                p.cached.add(self.ask.parts)
                self.state.gossip.on_prompt_sent(p, self.ask.parts[:-1])
                self.state.prefix_recall.on_prompt_sent(p, self.ask.parts[:-1])
                return p, slot
        return None

    def _next_attempt(self):
        """An attempt at the best runner that was not tried yet, counted; None where none has room."""
        picked = self._pick()
        if picked is None:
            return None
        post, slot = picked
        self.tried.add(post.id)
        if self.attempts:
            self.state.budget(self.service).spend(monotonic())
        self.attempts += 1
        count_event("attempts")
        return Attempt(self.state, self.ask, post, slot, self._look_elsewhere)

    def _plan(self, verdict):
        r = self.ask.route
        return RetryContext(
            r.repeatable,
            r.max_attempts,
            self.attempts,
            verdict,
            self.out is not None,
            self.left(),
            self.attempts == 0 or self.state.budget(self.service).allows(monotonic(), self.state.nodes()),
            any(p.id not in self.tried for p in self._runners()),
        )

    # -- the whole way ------------------------------------------------------
    async def run(self):
        """Brings the reply, whatever it is."""
        self.state.budget(self.service).on_request(monotonic())
        try:
            return await self._run()
        except ClientDisconnectedError as error:
            self.outcome = Outcome.CLIENT_LEFT
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            self.outcome = Outcome.CLIENT_LEFT
            raise
        finally:
            self._drop_ahead()

    async def _run(self):
        if not self._runners():
            return self._give_up(GiveUp(503))
        try:
            async with asyncio.timeout(None) as self.limit:
                place = await self.state.queues.enter(self.service, self.ask)
        except TimeoutError:
            return self._give_up(GiveUp(503))
        if isinstance(place, Rejected):
            return self._give_up(GiveUp(503), place.back)
        self.reserved = place.reserved
        try:
            return await self._try()
        finally:
            self.state.queues.leave(self.service, place.id)

    async def _try(self):
        if self.left() <= ZERO:
            return self._give_up(GiveUp(503))
        verdict, attempt = NOT_RUN, self._next_attempt()
        while attempt is not None:
            verdict = await self._carry_out(attempt)
            if verdict is None:
                self.outcome = Outcome.ANSWERED
                return self.out
            if verdict is not NOT_RUN:
                self.worst = verdict
            attempt = await self._opened_ahead()
            if attempt is not None:
                continue
            step = next_step(self._plan(verdict if self.ask.route.repeatable else self.worst))
            if isinstance(step, GiveUp):
                return self._give_up(step)
            attempt = self._next_attempt()
        return self._give_up(next_step(evolve(self._plan(verdict), has_alternatives=False)))

    def expire(self):
        """This router ends: what can still be answered is answered now."""
        self.expired = True
        self.ask.horizon = monotonic()
        self._drop_ahead()
        if self.limit is not None:
            self._end_at(asyncio.get_running_loop().time())

    def _end_at(self, when):
        """Sets when the present wait ends, unless it has ended."""
        try:
            self.limit.reschedule(when)
        except RuntimeError:
            pass

    # -- giving up ------------------------------------------------------------
    def refuse(self):
        """The refusal of a request that this router can't carry before it ends."""
        refusal = self._give_up(GiveUp(503))
        self.outcome = Outcome.REFUSED_AT_END
        return refusal

    def _give_up(self, step, back=ZERO):
        if self.out is not None or step.truncate:
            return self._cut()
        status = 502 if step.status == 503 and self.worst is not NOT_RUN else step.status
        self.outcome = Outcome.REFUSED if status == 503 else Outcome.FAILED
        heads = {"Retry-After": f"{max(self._come_back(), back.total_seconds()):.2f}"} if status == 503 else {}
        return web.Response(status=status, headers=heads, text="")

    def _come_back(self):
        return max(0.02, self.ask.route.target.total_seconds() / 16)

    def _cut(self):
        """Ends a reply that can't be completed: its runner broke off, its time is over, or this router ends."""
        if self.expired:
            self.outcome = Outcome.BROKEN_OFF_AT_END
        else:
            self.outcome = Outcome.TIME_OVER if self.left() <= ZERO else Outcome.RUNNER_BROKE_OFF
        if self.req.transport is not None:
            self.req.transport.close()
        return self.out

    # -- one attempt ----------------------------------------------------------
    async def _carry_out(self, attempt):
        """None once the reply is through; else a verdict."""
        try:
            async with asyncio.timeout(max(0.0, self.left().total_seconds())) as self.limit:
                verdict = None if attempt.response is not None else await attempt.open(self.thread.last_event_id)
                if verdict is None and not self._fits(attempt.response):
                    verdict = MAY_HAVE_RUN
                return verdict or await self._relay(attempt)
        except TimeoutError:
            return MAY_HAVE_RUN
        except RUNNER_FAILURES as error:
            return attempt.broke_off(error)
        finally:
            if not attempt.connected:
                self.attempts -= 1
            attempt.end()

    def _fits(self, response):
        """Whether a response that may be passed on is wanted: no failure in the middle of a reply, or while another runner may do better."""
        if self.out is not None:
            return response.status == 200
        if response.status < 500 or not self.ask.route.repeatable:
            return True
        return not isinstance(next_step(self._plan(MAY_HAVE_RUN)), Retry)

    # -- silence --------------------------------------------------------------
    def _look_elsewhere(self):
        """The runner is silent: a repeatable request is opened at another one as well.

        The silent one is left only when the other has begun to answer, so
        silence by itself ends no answer.
        """
        if self.ahead is not None or not self.ask.route.repeatable:
            return
        if not isinstance(next_step(self._plan(MAY_HAVE_RUN)), Retry):
            return
        attempt = self._next_attempt()
        if attempt is not None:
            self.ahead = HedgedAttempt(attempt, self.thread.last_event_id, self.left(), self._ahead_opened)

    def _ahead_opened(self):
        """The other runner has answered: it takes over, unless it refuses or fails."""
        if self.ahead is None:
            return
        if self._better(self.ahead.response):
            self._end_at(asyncio.get_running_loop().time())
        else:
            self._settle_ahead()

    def _better(self, response):
        """Whether a response is worth leaving a silent runner for."""
        return response is not None and (response.status == 200 if self.out is not None else response.status < 500)

    async def _opened_ahead(self):
        """The attempt that was opened meanwhile, if its runner answers; it takes over."""
        if self.ahead is None:
            return None
        await asyncio.wait({self.ahead.task}, timeout=max(0.0, self.left().total_seconds()))
        return self._settle_ahead()

    def _settle_ahead(self):
        """Takes the attempt that was opened ahead, or drops it and gives None."""
        ahead, self.ahead = self.ahead, None
        if ahead is None:
            return None
        if self._better(ahead.response):
            return ahead.attempt
        if not ahead.attempt.connected:
            self.attempts -= 1
        ahead.drop()
        return None

    def _drop_ahead(self):
        if self.ahead is not None:
            self.ahead.drop()
            self.ahead = None

    def _heard(self, attempt):
        """The runner has spoken: it keeps the request."""
        attempt.watch.heard()
        if self.ahead is not None:
            self._drop_ahead()
            self._end_at(asyncio.get_running_loop().time() + max(0.0, self.left().total_seconds()))

    # -- relaying -------------------------------------------------------------
    async def _relay(self, attempt):
        if self.ask.route.kind == "streaming" and 200 <= attempt.response.status < 300:
            return await self._relay_stream(attempt)
        body = await attempt.response.read()
        self._heard(attempt)
        await self._begin(attempt.response, str(len(body)))
        await self._write(body)
        return await self._finish()

    async def _relay_stream(self, attempt):
        response, split = attempt.response, EventSplitter()
        joined = self.ask.route.repeatable
        length = None if joined else response.headers.get("Content-Length")
        async for raw in response.content.iter_any():
            self._heard(attempt)
            if self.out is None:
                self.state.gossip.on_prefilled(attempt.slot)
                await self._begin(response, length)
            keep = b"".join(ev for ev in split.feed(raw) if self.thread.accept(ev)) if joined else raw
            if self.thread.has_gap:
                response.close()
                return RAN
            if keep:
                await self._write(keep)
            attempt.watch.arm()
        if self.out is None:
            await self._begin(response, length)
        if split.rest:
            await self._write(split.rest)
        return await self._finish()

    async def _begin(self, response, length):
        """Sends the head of the reply."""
        self.out = out = web.StreamResponse(status=response.status, reason=response.reason)
        for k, v in names.end_to_end(response.raw_headers).items():
            out.headers.add(k, v)
        if length is not None:
            out.headers["Content-Length"] = length
        else:
            out.enable_chunked_encoding()
        if self.closing():
            out.force_close()
        await self._to_client(out.prepare(self.req))

    async def _write(self, data):
        await self._to_client(self.out.write(data))

    async def _finish(self):
        await self._to_client(self.out.write_eof())

    @staticmethod
    async def _to_client(sending):
        """Sends towards the client; what fails here is held against no runner."""
        try:
            await sending
        except (aiohttp.ClientError, OSError) as error:
            raise ClientDisconnectedError from error
