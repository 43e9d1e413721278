"""How many calls are in flight at a resource: this node's own, and what peers tell.

Late or missing words. A peer's counts stand until the peer tells newer ones,
its life ends (it is believed dead, has left, or started again), or nothing was
heard from it for ``stale``. Until then the last word counts in full: a peer
that can't be reached is taken to still hold its slots, so a late count errs
towards shorter timeouts. After ``stale`` it counts nothing, so that a lost
peer can't hold a runner's slots for ever. Where words go through a tier of
relays, ``sparloom.aggregation`` says how the same rule holds.
"""

from __future__ import annotations

from datetime import timedelta
from operator import add

from attrs import define, field

from sparloom.codec import Record, UInt16, UInt32, UInt64, record

from .buckets import pick

NONE = (0, 0, 0, 0, 0, 0)


@record(80)
class InFlightReport(Record):
    """Calls in flight at one resource, of one holder or summed over several.

    ``silent``: how many holders hear nothing from it. ``good`` and ``bad``:
    ends of calls of late. ``blamers``: how many holders saw it fail of late.
    """

    resource: UInt64
    calls: UInt16
    tokens: UInt32
    silent: UInt16
    good: UInt16
    bad: UInt16
    blamers: UInt16


@record(82)
class PrefixPlacement(Record):
    """A long part of a prompt that went to a resource."""

    resource: UInt64
    part: UInt64
    tokens: UInt32


@record(81)
class InFlightUpdate(Record):
    """All that a holder has in flight, and what it sent to be read since its last word."""

    key: str
    life: UInt64
    seq: UInt32
    crowd: UInt16
    held: list[InFlightReport]
    reads: list[PrefixPlacement]


@define(frozen=True, slots=True)
class Call:
    """What the after-call hook is told.

    >>> Call("r", 3, timedelta(seconds=1), False, False).count
    3
    """

    resource: str
    count: int
    duration: timedelta
    throttled: bool
    timed_out: bool


@define(slots=True)
class Slot:
    """A call's slot in every bucket of a resource; freed once."""

    counts: object
    resource: object
    grant: object
    began: timedelta
    tokens: int = 0
    timed_out: bool = False
    open: bool = True

    def free(self, now):
        """Gives the slot back and tells the hook; a second time does nothing.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> slot = counts.take("r", buckets, start)
        >>> slot.free(start)
        >>> slot.free(start)
        >>> counts.count("r", start)
        0
        """
        if self.open:
            self.open = False
            self.counts.release(self, now)

    def read(self, tokens):
        """The prompt has been read: its tokens no longer wait.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> slot = counts.take("r", buckets, start, tokens=500)
        >>> slot.read(200)
        >>> counts.tokens("r", start)
        300
        """
        if self.open:
            self.counts.lighten(self, min(tokens, self.tokens))


@define(slots=True)
class _Peer:
    life: int
    seq: int
    heard: timedelta
    held: dict
    crowd: int = 0


@define(slots=True)
class InFlightCounts:
    """The shared in-flight counts, as one node knows them.

    ``shared``: what a tier of relays tells of all others, by resource; None
    where peers tell each other directly.

    >>> c = InFlightCounts(timedelta(seconds=3))
    >>> from .buckets import Bucket
    >>> s = c.take("r", [Bucket(timedelta(seconds=1), 1)], timedelta(0))
    >>> c.count("r", timedelta(0)), c.take("r", [Bucket(timedelta(seconds=1), 1)], timedelta(0))
    (1, None)
    >>> s.free(timedelta(0)); c.count("r", timedelta(0))
    0
    """

    stale: timedelta
    hook: object = None
    own: dict = field(factory=dict)
    weight: dict = field(factory=dict)
    peers: dict = field(factory=dict)
    callers: dict = field(factory=dict)
    shared: dict | None = None
    _sum: dict = field(factory=dict)
    _until: timedelta | None = None

    def _told(self, resource, now, part):
        if self.shared is not None:
            return self.shared.get(resource, NONE)[part]
        if self._until is None or now > self._until:
            fresh = [p for p in self.peers.values() if now - p.heard <= self.stale]
            self._until, self._sum = min((p.heard for p in fresh), default=now) + self.stale, {}
            for p in fresh:
                for r, v in p.held.items():
                    self._sum[r] = tuple(map(add, self._sum.get(r, NONE), v))
        return self._sum.get(resource, NONE)[part]

    def count(self, resource, now):
        """Calls in flight at a resource across all nodes.

        >>> InFlightCounts(timedelta(1)).count("r", timedelta(0))
        0
        """
        return self.own.get(resource, 0) + self._told(resource, now, 0)

    def tokens(self, resource, now):
        """Prompt tokens on their way to a resource and not yet read, across all nodes.

        >>> InFlightCounts(timedelta(1)).tokens("r", timedelta(0))
        0
        """
        return self.weight.get(resource, 0) + self._told(resource, now, 1)

    def silent(self, resource, now):
        """How many peers hear nothing from a resource.

        >>> InFlightCounts(timedelta(1)).silent("r", timedelta(0))
        0
        """
        return self._told(resource, now, 2)

    def outcomes(self, resource, now):
        """What peers saw of late at a resource: good ends, bad ends, how many saw bad ones.

        >>> InFlightCounts(timedelta(1)).outcomes("r", timedelta(0))
        (0, 0, 0)
        """
        return tuple(self._told(resource, now, part) for part in (3, 4, 5))

    def take(self, resource, buckets, now, tokens=0):
        """Takes a slot in every bucket, or tells the hook of a refusal and gives None.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.take("r", buckets, start).grant.timeout
        datetime.timedelta(seconds=1)
        >>> counts.take("r", buckets, start) is None
        True
        """
        n = self.count(resource, now)
        grant = pick(buckets, n)
        if grant is None:
            self._tell(Call(resource, n, timedelta(0), True, False))
            return None
        self.own[resource] = self.own.get(resource, 0) + 1
        self.weight[resource] = self.weight.get(resource, 0) + tokens
        return Slot(self, resource, grant, now, tokens)

    def lighten(self, slot, tokens):
        """Takes read tokens off a resource.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.lighten(counts.take("r", buckets, start, tokens=500), 500)
        >>> counts.tokens("r", start)
        0
        """
        slot.tokens -= tokens
        self.weight[slot.resource] = max(0, self.weight.get(slot.resource, 0) - tokens)

    def release(self, slot, now):
        """Ends a slot; called by the slot itself.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.hook = lambda call: print(call.resource, call.duration)
        >>> counts.release(counts.take("r", buckets, start), start + timedelta(seconds=2))
        r 0:00:02
        """
        left = self.own.get(slot.resource, 0) - 1
        self.lighten(slot, slot.tokens)
        if left > 0:
            self.own[slot.resource] = left
        else:
            self.own.pop(slot.resource, None)
            self.weight.pop(slot.resource, None)
        self._tell(Call(slot.resource, slot.grant.count, now - slot.began, False, slot.timed_out))

    def _tell(self, call):
        if self.hook:
            self.hook(call)

    def hear(self, rec, now, names):
        """Takes a peer's word; ``names`` turns a wire number into a resource.

        >>> c = InFlightCounts(timedelta(seconds=3)); c.hear(InFlightUpdate("p", 1, 1, 1, [InFlightReport(7, 2, 0, 0, 0, 0, 0)], []), timedelta(0), {7: "r"})
        >>> c.count("r", timedelta(0))
        2
        """
        old = self.peers.get(rec.key)
        if old and old.life == rec.life and rec.seq <= old.seq:
            return
        self.callers[rec.key, rec.life] = now
        held = {
            names[h.resource]: (h.calls, h.tokens, h.silent, h.good, h.bad, h.blamers)
            for h in rec.held
            if h.resource in names
        }
        self.peers[rec.key] = _Peer(rec.life, rec.seq, now, held, rec.crowd)
        self._until = None

    def called(self, holders, now):
        """Notes holders (key, life) that work though their words come only in sums.

        >>> c = InFlightCounts(timedelta(1)); c.called([("p", 1)], timedelta(0)); c.processes(timedelta(0))
        2
        """
        for h in holders:
            self.callers[h] = now

    def drop(self, key, life=None):
        """A holder is known gone: its slots are free.

        >>> InFlightCounts(timedelta(1)).drop("p")
        """
        if key in self.peers and (life is None or self.peers[key].life != life):
            del self.peers[key]
            self._until = None

    def processes(self, now, span=timedelta(seconds=60)):
        """How many processes have called within a span, this one included.

        >>> InFlightCounts(timedelta(1)).processes(timedelta(0))
        1
        """
        self.callers = {k: t for k, t in self.callers.items() if now - t <= span}
        return 1 + len(self.callers)
