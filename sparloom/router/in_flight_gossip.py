"""What this router tells the others of its calls, and what it hears from them.

In a small fleet each router tells every other. Where a tier of relays stands,
words go through it (``sparloom.aggregation``).
"""

import asyncio
import os
from functools import singledispatchmethod

from sparloom.aggregation import FleetTotal, GroupAggregate, InFlightAggregator, MemberUpdate, short_id
from sparloom.dynamic_timeout import InFlightReport, InFlightUpdate, PrefixPlacement
from sparloom.membership import ROUTER
from sparloom.transport import monotonic

LONG = 1024
WORDS = (InFlightUpdate, MemberUpdate, GroupAggregate, FleetTotal)


class InFlightGossip:
    """Words about calls in flight and about long prompts, both ways."""

    def __init__(self, know):
        self.know = know
        self.life, self.said = int.from_bytes(os.urandom(7)), None
        self.sums = InFlightAggregator(know.key, self.life, know.up.bounds.contact)
        self.reads, self.soon, self.timer = [], False, None
        self.fleet, self.shorts, self.tiered = None, {}, False
        self.seen, self.up = None, {}

    def sent(self, post, parts):
        """A prompt went out: the other routers hear at once of its long parts."""
        reads = [PrefixPlacement(post.number, k, n) for k, n in parts if n >= LONG]
        if reads and self.tiered:
            self._note(monotonic())
            self.sums.add_placements(monotonic(), reads)
            self._hurry()
        elif reads:
            self.reads += reads
            self._directly(0)

    def was_read(self, slot):
        """A prompt has been read; a long one is told at the next beat."""
        self.soon = self.soon or slot.prefill_tokens >= LONG
        slot.on_prefilled(slot.prefill_tokens)

    # -- words out ----------------------------------------------------------
    def _held(self):
        """What this router holds now, per runner."""
        k, now = self.know, monotonic()
        posts = k.fleet.posts
        return [
            InFlightReport(
                posts[id].number,
                min(n, 0xFFFF),
                min(k.counts.own_prefill_tokens.get(id, 0), 0xFFFFFFFF),
                int(posts[id].silent > 0 and posts[id].doubted(now)),
                0,
                0,
                0,
            )
            for id, n in k.counts.own.items()
            if id in posts
        ]

    def beat(self, turn):
        """Tells what is due; called some twenty times a second."""
        k = self.know
        was, self.tiered = self.tiered, k.tier.exists or self.sums.is_active
        if not k.tier.exists and (turn % 4 == 0 or self.soon):
            self._directly(turn)
        if self.tiered and turn % 20 == 0:
            k.counts.note_callers(self._up().items(), monotonic())
        if self.tiered or was:
            self._through(was)
            if turn % (2 if self.sums.is_relay else 4) == 0 or not self.tiered:
                self._take_view(monotonic())

    def _directly(self, turn):
        k, held = self.know, self._held()
        if held == self.said and turn % 20 and not self.reads:
            return
        self.said, self.soon = held, False
        rec, self.reads = (
            InFlightUpdate(k.key, self.life, self.sums.next_sequence(monotonic()), k.crowd.divisor, held, self.reads),
            [],
        )
        k.net.send(tuple(self._up()), rec)

    def _through(self, was):
        k, now, up = self.know, monotonic(), self._up()
        if not was:
            for key, p in k.counts.peers.items():
                self.sums.on_direct_update(
                    p.received_at,
                    key,
                    p.instance_id,
                    p.sequence,
                    {short_id(k.fleet.posts[id].number): v for id, v in p.loads.items() if id in k.fleet.posts},
                )
        self.sums.update_membership(now, k.tier, up, k.follow.upstream.parent)
        self._note(now)
        self._send(now)
        self.soon = False

    def _note(self, now):
        self.sums.update_in_flight(
            now,
            {short_id(h.resource): h.load() for h in self._held()},
            self.know.crowd.divisor,
        )

    def _send(self, now):
        for s in self.sums.due_messages(now):
            self.know.net.send(s.destinations, s.message)

    def _hurry(self):
        """Long prompts do not wait for the next beat."""
        wait = self.sums.flush_delay(monotonic())
        if wait is not None and not wait and not self.sums.is_relay:
            self._send(monotonic())
        elif wait is not None and self.timer is None:
            self.timer = self.later(wait, self._flush)

    def _flush(self):
        self.timer, now = None, monotonic()
        self._send(now)
        if self.sums.is_relay:
            self._take_view(now)
        self._hurry()

    @staticmethod
    def later(wait, fn):
        """Calls a function after a while."""
        return asyncio.get_running_loop().call_later(wait.total_seconds(), fn)

    def _up(self):
        swim = self.know.swim
        if self.seen != swim.version:
            self.seen, self.up = swim.version, {p.key: p.instance_id for p in swim.alive() if p.role == ROUTER}
        return self.up

    def _take_view(self, now):
        """What the tier told becomes what the counts say of the others."""
        k = self.know
        if self.fleet is not k.fleet:
            self.fleet, self.shorts = k.fleet, {}
            for p in k.fleet.posts.values():
                self.shorts.setdefault(short_id(p.number), []).append(p.id)
        view = self.sums.peers_in_flight(
            now, [key for key, p in k.counts.peers.items() if now - p.received_at <= k.counts.stale]
        )
        k.counts.shared = None if view is None else {id: v for s, v in view.items() for id in self.shorts.get(s, ())}

    def _saw(self, reads):
        fleet = self.know.fleet
        for r in reads:
            if r.resource in fleet.numbers:
                fleet.posts[fleet.numbers[r.resource]].kept.add(((r.prefix, r.tokens),))

    # -- words in -------------------------------------------------------------
    @singledispatchmethod
    def hear(self, rec, src):
        """Takes another router's word; one of a life that is known gone tells nothing."""
        now = monotonic()
        if not self.know.swim.is_current(rec.key, rec.instance_id):
            return
        self.sums.on_message(now, rec)
        self._saw(rec.placements)
        if isinstance(rec, FleetTotal):
            self._take_view(now)
        self._hurry()

    @hear.register
    def _(self, rec: InFlightUpdate, src):
        k, now = self.know, monotonic()
        if not k.swim.is_current(rec.node, rec.instance_id):
            return
        k.counts.on_update(rec, now, k.fleet.numbers)
        if self.tiered:
            self.sums.on_direct_update(
                now,
                rec.node,
                rec.instance_id,
                rec.sequence,
                {short_id(h.resource): h.load() for h in rec.reports},
            )
        self._saw(rec.placements)

    def gone(self, key, life):
        """A router's lives, all but one, are known gone: they hold nothing any more."""
        self.know.counts.drop_node(key, life)
        self.sums.on_departed(key, life)

    def crowds(self):
        """What the others divide by, as far as they told; a newcomer waits for its first total."""
        k, now, up = self.know, monotonic(), self._up()
        if k.counts.shared is not None:
            return self.sums.fleet_sizes(now)
        told = {key: p.fleet_size for key, p in k.counts.peers.items() if key in up}
        waits = self.tiered and now - k.born < k.up.bounds.contact
        return told | {"": 0} if waits else told
