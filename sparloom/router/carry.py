"""Carries one ask: choose a runner, take a slot, send, relay, recover."""

import asyncio
from datetime import timedelta

import aiohttp
from absl import logging
from aiohttp import web
from attrs import evolve

from sparloom.choice import Standing, choose, heavy, lean
from sparloom.link import steady
from sparloom.meter import note
from sparloom.recover import MAY_HAVE_RUN, NOT_RUN, RAN, GiveUp, Plan, Retry, after, judge_head
from sparloom.stream import Splitter, Thread

from . import ask as names
from .line import Away
from .target import url_for
from .tiers import buckets_for

ZERO = timedelta(0)
REFUSAL_BODY = timedelta(milliseconds=50)


class Carry:
    """The way of one ask through this router."""

    def __init__(self, know, req, ask, closing):
        self.know, self.req, self.ask, self.closing = know, req, ask, closing
        self.out = None
        self.thread = Thread()
        self.attempts, self.tried, self.reserved = 0, set(), False
        self.worst = NOT_RUN
        self.left = lambda: ask.horizon - steady()

    # -- choosing -----------------------------------------------------------
    def _service(self):
        split = self.ask.route.split
        if len(split) == 1:
            return split[0][0]
        at = self.know.rng.random() * sum(w for _, w in split)
        for name, w in split:
            at -= w
            if at < 0 and w > 0:
                return name
        return next(n for n, w in reversed(split) if w > 0)

    def _stands(self, posts, now):
        c, parts, key = self.know.counts, self.ask.parts, self.ask.key
        return [
            Standing(
                p.id,
                p.kept.unread(parts),
                c.tokens(p.id, now),
                c.count(p.id, now),
                p.slots,
                p.cold,
                2 * p.doubted(now) + (c.silent(p.id, now) > 0) + 4 * (p.id in self.tried),
                p.zone == self.know.up.zone,
                p.warm(),
                lean(key, p.number),
            )
            for p in posts
        ]

    def _pick(self, service):
        """The best runner with room, and a slot there."""
        now = steady()
        posts = {p.id: p for p in self.know.fleet.of(service)}
        pipes = self.know.lines.connections(service)
        note("weighed runners", len(posts))
        for s in choose(self._stands(posts.values(), now), sum(n for _, n in self.ask.parts[:-1])):
            p = posts[s.id]
            if p.id in self.tried or p.open >= pipes[p.id]:
                continue
            slot = self.know.counts.take(p.id, buckets_for(self.ask.route, p.slots, self.reserved), now, s.unread)
            if slot:
                self.ask.yields = heavy(s.unread, p.kept.room, p.slots)
                p.kept.saw(self.ask.parts)
                self.know.tell.sent(p, self.ask.parts[:-1])
                self.know.prefixes.sent(p, self.ask.parts[:-1])
                return p, slot
        return None, None

    def _plan(self, service, verdict):
        r = self.ask.route
        return Plan(
            r.repeatable,
            r.max_attempts,
            self.attempts,
            verdict,
            self.out is not None,
            self.left(),
            self.attempts == 0 or self.know.budget(service).allowed(steady(), self.know.nodes()),
            any(p.id not in self.tried for p in self.know.fleet.of(service)),
        )

    # -- the whole way ------------------------------------------------------
    async def run(self):
        """Brings the reply, whatever it is."""
        service = self._service()
        self.know.budget(service).asked(steady())
        if not self.know.fleet.of(service):
            return await self._give_up(GiveUp(503))
        place = await self.know.lines.enter(service, self.ask)
        if isinstance(place, Away):
            return await self._give_up(GiveUp(503), place.back)
        self.reserved = place.reserved
        try:
            return await self._try(service)
        finally:
            self.know.lines.leave(service, place.id)

    async def _try(self, service):
        verdict = NOT_RUN
        if self.left() <= ZERO:
            return await self._give_up(GiveUp(503))
        while True:
            post, slot = self._pick(service)
            if post is None:
                no_room = evolve(self._plan(service, verdict), others=False)
                return await self._give_up(after(no_room))
            self.tried.add(post.id)
            post.open += 1
            try:
                verdict = await self._attempt(post, slot, service)
            finally:
                post.open -= 1
                slot.free(steady())
            if verdict is None:
                return self.out
            if verdict is not NOT_RUN:
                self.worst = verdict
            step = after(self._plan(service, self.worst if not self.ask.route.repeatable else verdict))
            if isinstance(step, GiveUp):
                return await self._give_up(step)

    async def _give_up(self, step, back=ZERO):
        if self.out is not None or step.cut:
            return self._cut()
        status = 502 if step.status == 503 and self.worst is not NOT_RUN else step.status
        heads = {"Retry-After": f"{max(self._come_back(), back.total_seconds()):.2f}"} if status == 503 else {}
        return web.Response(status=status, headers=heads, text="")

    def _come_back(self):
        return max(0.02, self.ask.route.target.total_seconds() / 16)

    def _cut(self):
        if self.req.transport is not None:
            self.req.transport.close()
        return self.out or web.Response(status=502)

    # -- one attempt --------------------------------------------------------
    async def _attempt(self, post, slot, service):
        """None once the reply is through; else a verdict."""
        if self.attempts:
            self.know.budget(service).spend(steady())
        self.attempts += 1
        note("attempts")
        watch = Watch(self, post, slot, service)
        try:
            async with asyncio.timeout(max(0.0, self.left().total_seconds())) as watch.limit:
                watch.arm(slot.grant.timeout)
                async with self._call(post) as resp:
                    return await self._reply(resp, post, slot, watch)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No connection came about, so not a byte of the request has left.
            self.attempts -= 1
            post.strike(steady(), self.know.up.bounds.contact / 3)
            return NOT_RUN
        except (aiohttp.ClientError, OSError, ValueError) as e:
            if self.req.transport is None or self.req.transport.is_closing():
                raise asyncio.CancelledError from e
            post.strike(steady(), self.know.up.bounds.contact / 6)
            logging.info("carry: %s broke off (%s).", post.id, type(e).__name__)
            return MAY_HAVE_RUN
        except TimeoutError:
            return MAY_HAVE_RUN
        finally:
            watch.stop()

    def _call(self, post):
        a = self.ask
        return post.pipes().request(
            a.method,
            url_for(post.address, a.path),
            data=a.body or None,
            headers=names.onward(a, post, steady(), self.thread.last),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=max(0.05, a.route.target.total_seconds() / 3)),
        )

    async def _reply(self, resp, post, slot, watch):
        head = names.head_of(resp, self.ask.id)
        verdict, good = judge_head(head)
        if "Keep-Alive" in resp.headers and head.belongs:
            post.heed(resp.headers["Keep-Alive"])
        if verdict is NOT_RUN:
            post.strike(steady(), self.know.up.bounds.contact / (1 if resp.status == 421 else 30))
            await self._finish_refusal(resp)
            return NOT_RUN
        if not good:
            resp.close()
            return MAY_HAVE_RUN
        post.clear()
        if self.out is not None and resp.status != 200:
            resp.close()
            return MAY_HAVE_RUN
        if (
            resp.status >= 500
            and self.ask.route.repeatable
            and self.out is None
            and isinstance(after(self._plan(post.service, MAY_HAVE_RUN)), Retry)
        ):
            resp.close()
            return MAY_HAVE_RUN
        return await self._relay(resp, slot, watch, resp.headers.get("Content-Length"))

    @staticmethod
    async def _finish_refusal(resp):
        """Reads what is left of a refusal, so that its connection can be kept; its head has proved enough."""
        try:
            async with asyncio.timeout(REFUSAL_BODY.total_seconds()):
                await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            resp.close()

    async def _relay(self, resp, slot, watch, length):
        stream = self.ask.route.kind == "streaming" and 200 <= resp.status < 300
        joined = self.ask.route.repeatable and stream
        split = Splitter()
        if not stream:
            body = await resp.read()
            self._head(resp, str(len(body)))
            await self.out.prepare(self.req)
            await self.out.write(body)
        else:
            async for raw in resp.content.iter_any():
                watch.heard()
                if self.out is None:
                    self.know.tell.was_read(slot)
                    self._head(resp, None if joined else length)
                    await self.out.prepare(self.req)
                keep = b"".join(ev for ev in split.feed(raw) if self.thread.take(ev)) if joined else raw
                if self.thread.broken:
                    resp.close()
                    return RAN
                if keep:
                    await self.out.write(keep)
            if self.out is None:
                self._head(resp, None if joined else length)
                await self.out.prepare(self.req)
            if split.rest:
                await self.out.write(split.rest)
        await self.out.write_eof()
        return None

    def _head(self, resp, length):
        self.out = out = web.StreamResponse(status=resp.status, reason=resp.reason)
        for k, v in names.end_to_end(resp.raw_headers).items():
            out.headers.add(k, v)
        if length is not None:
            out.headers["Content-Length"] = length
        else:
            out.enable_chunked_encoding()
        if self.closing():
            out.force_close()


class Watch:
    """The call's timeout: runs out when the runner stays silent.

    Its end feeds recovery. A repeatable ask moves on if it may; any other one
    stays, since its runner may be at work, and only the runner is doubted.
    """

    def __init__(self, carry, post, slot, service):
        self.carry, self.post, self.slot, self.service = carry, post, slot, service
        self.limit = self.timer = None
        self.span = ZERO
        self.quiet = False

    def arm(self, span):
        """Starts to wait for a sign."""
        self.span = span
        self.timer = asyncio.get_running_loop().call_later(span.total_seconds(), self._out)

    def heard(self):
        """A sign came: wait for the next."""
        self.stop()
        if self.quiet:
            self.quiet, self.post.silent = False, self.post.silent - 1
            self.post.clear()
        self.arm(self.span)

    def stop(self):
        """The attempt has ended."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.quiet:
            self.quiet, self.post.silent = False, self.post.silent - 1

    def _out(self):
        self.slot.timed_out = True
        self.timer = None
        if not self.quiet:
            self.quiet, self.post.silent = True, self.post.silent + 1
        self.post.strike(steady(), self.carry.know.up.bounds.contact / 6)
        plan = self.carry._plan(self.service, MAY_HAVE_RUN)
        if self.carry.ask.route.repeatable and isinstance(after(plan), Retry):
            self.limit.reschedule(asyncio.get_running_loop().time())
