"""What this router tells the others of its calls, and what it hears from them.

In a small fleet each router tells every other. Where a tier of relays stands,
words go through it (``sparloom.aggregation``).
"""

import asyncio
import os
from functools import singledispatchmethod

from sparloom.aggregation import FleetTotal, GroupAggregate, InFlightAggregator, MemberUpdate, short
from sparloom.dynamic_timeout import InFlightReport, InFlightUpdate, PrefixPlacement
from sparloom.membership import ROUTER
from sparloom.transport import monotonic

LONG = 1024
WORDS = (InFlightUpdate, MemberUpdate, GroupAggregate, FleetTotal)


class InFlightGossip:
    """Words about calls in flight and about long prompts, both ways."""

    def __init__(self, state):
        self.state = state
        self.instance_id, self.said = int.from_bytes(os.urandom(7)), None
        self.sums = InFlightAggregator(state.key, self.instance_id, state.settings.bounds.contact)
        self.reads, self.soon, self.timer = [], False, None
        self.fleet, self.shorts, self.tiered = None, {}, False
        self.seen, self.up = None, {}

    def on_prompt_sent(self, post, parts):
        """A prompt went out: the other routers hear at once of its long parts."""
        reads = [PrefixPlacement(post.number, k, n) for k, n in parts if n >= LONG]
        if reads and self.tiered:
            self._note(monotonic())
            self.sums.read(monotonic(), reads)
            self._hurry()
        elif reads:
            self.reads += reads
            self._directly(0)

    def on_prefilled(self, slot):
        """A prompt has been read; a long one is told at the next beat."""
        self.soon = self.soon or slot.prefill_tokens >= LONG
        slot.on_prefilled(slot.prefill_tokens)

    # -- words out ----------------------------------------------------------
    def _held(self):
        """What this router holds now, per runner."""
        k, now = self.state, monotonic()
        posts = k.backends.by_id
        return [
            InFlightReport(
                posts[id].number,
                min(n, 0xFFFF),
                min(k.in_flight.own_prefill_tokens.get(id, 0), 0xFFFFFFFF),
                int(posts[id].unresponsive_calls > 0 and posts[id].is_suspected(now)),
                0,
                0,
                0,
            )
            for id, n in k.in_flight.own.items()
            if id in posts
        ]

    def tick(self, turn):
        """Tells what is due; called some twenty times a second."""
        k = self.state
        was, self.tiered = self.tiered, k.relay_tier.stands or self.sums.busy
        if not k.relay_tier.stands and (turn % 4 == 0 or self.soon):
            self._directly(turn)
        if self.tiered and turn % 20 == 0:
            k.in_flight.note_callers(self._up().items(), monotonic())
        if self.tiered or was:
            self._through(was)
            if turn % (2 if self.sums.acting else 4) == 0 or not self.tiered:
                self._take_view(monotonic())

    def _directly(self, turn):
        k, held = self.state, self._held()
        if held == self.said and turn % 20 and not self.reads:
            return
        self.said, self.soon = held, False
        rec, self.reads = (
            InFlightUpdate(
                k.key, self.instance_id, self.sums.word(monotonic()), k.fleet_size.divisor, held, self.reads
            ),
            [],
        )
        k.datagrams.send(tuple(self._up()), rec)

    def _through(self, was):
        k, now, up = self.state, monotonic(), self._up()
        if not was:
            for key, p in k.in_flight.peers.items():
                self.sums.hear_direct(
                    p.received_at,
                    key,
                    p.instance_id,
                    p.sequence,
                    {short(k.backends.by_id[id].number): v for id, v in p.loads.items() if id in k.backends.by_id},
                )
        self.sums.see(now, k.relay_tier, up, k.feed_client.upstream.parent)
        self._note(now)
        self._send(now)
        self.soon = False

    def _note(self, now):
        self.sums.note(
            now,
            {short(h.resource): h.load() for h in self._held()},
            self.state.fleet_size.divisor,
        )

    def _send(self, now):
        for s in self.sums.beat(now):
            self.state.datagrams.send(s.to, s.rec)

    def _hurry(self):
        """Long prompts do not wait for the next beat."""
        wait = self.sums.wait(monotonic())
        if wait is not None and not wait and not self.sums.acting:
            self._send(monotonic())
        elif wait is not None and self.timer is None:
            self.timer = self.later(wait, self._flush)

    def _flush(self):
        self.timer, now = None, monotonic()
        self._send(now)
        if self.sums.acting:
            self._take_view(now)
        self._hurry()

    @staticmethod
    def later(wait, fn):
        """Calls a function after a while."""
        return asyncio.get_running_loop().call_later(wait.total_seconds(), fn)

    def _up(self):
        swim = self.state.swim
        if self.seen != swim.version:
            self.seen, self.up = swim.version, {p.key: p.instance_id for p in swim.alive() if p.role == ROUTER}
        return self.up

    def _take_view(self, now):
        """What the tier told becomes what the counts say of the others."""
        k = self.state
        if self.fleet is not k.backends:
            self.fleet, self.shorts = k.backends, {}
            for p in k.backends.by_id.values():
                self.shorts.setdefault(short(p.number), []).append(p.id)
        view = self.sums.view(
            now, [key for key, p in k.in_flight.peers.items() if now - p.received_at <= k.in_flight.stale]
        )
        k.in_flight.shared = None if view is None else {id: v for s, v in view.items() for id in self.shorts.get(s, ())}

    def _saw(self, reads):
        fleet = self.state.backends
        for r in reads:
            if r.resource in fleet.ids_by_number:
                fleet.by_id[fleet.ids_by_number[r.resource]].cached.add(((r.prefix, r.tokens),))

    # -- words in -------------------------------------------------------------
    @singledispatchmethod
    def on_message(self, rec, src):
        """Takes another router's word; one of a life that is known gone tells nothing."""
        now = monotonic()
        if not self.state.swim.is_current(rec.key, rec.life):
            return
        self.sums.hear(now, rec)
        self._saw(rec.reads)
        if isinstance(rec, FleetTotal):
            self._take_view(now)
        self._hurry()

    @on_message.register
    def _(self, rec: InFlightUpdate, src):
        k, now = self.state, monotonic()
        if not k.swim.is_current(rec.node, rec.instance_id):
            return
        k.in_flight.on_update(rec, now, k.backends.ids_by_number)
        if self.tiered:
            self.sums.hear_direct(
                now,
                rec.node,
                rec.instance_id,
                rec.sequence,
                {short(h.resource): h.load() for h in rec.reports},
            )
        self._saw(rec.placements)

    def on_departed(self, key, life):
        """A router's lives, all but one, are known gone: they hold nothing any more."""
        self.state.in_flight.drop_node(key, life)
        self.sums.gone(key, life)

    def known_fleet_sizes(self):
        """What the others divide by, as far as they told; a newcomer waits for its first total."""
        k, now, up = self.state, monotonic(), self._up()
        if k.in_flight.shared is not None:
            return self.sums.crowds(now)
        told = {key: p.fleet_size for key, p in k.in_flight.peers.items() if key in up}
        waits = self.tiered and now - k.started_at < k.settings.bounds.contact
        return told | {"": 0} if waits else told
