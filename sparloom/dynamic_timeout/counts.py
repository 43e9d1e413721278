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

# What is in flight at one resource; the constants below are its indices.
ResourceLoad = tuple[int, int, int, int, int, int]
CALLS, PREFILL_TOKENS, UNRESPONSIVE, SUCCESSES, FAILURES, ACCUSERS = range(6)
NO_LOAD: ResourceLoad = (0, 0, 0, 0, 0, 0)


@record(80)
class InFlightReport(Record):
    """Calls in flight at one resource, of one holder or summed over several.

    ``unresponsive``: how many holders hear nothing from it. ``successes`` and ``failures``:
    ends of calls of late. ``accusers``: how many holders saw it fail of late.
    """

    resource: UInt64
    calls: UInt16
    prefill_tokens: UInt32
    unresponsive: UInt16
    successes: UInt16
    failures: UInt16
    accusers: UInt16

    def load(self) -> ResourceLoad:
        """The counts alone, in the order of the fields.

        >>> InFlightReport(7, 2, 500, 0, 0, 0, 0).load()
        (2, 500, 0, 0, 0, 0)
        """
        return (self.calls, self.prefill_tokens, self.unresponsive, self.successes, self.failures, self.accusers)


@record(82)
class PrefixPlacement(Record):
    """A long part of a prompt that went to a resource."""

    resource: UInt64
    prefix: UInt64
    tokens: UInt32


@record(81)
class InFlightUpdate(Record):
    """All that a holder has in flight, and what it sent to be read since its last word."""

    node: str
    instance_id: UInt64
    sequence: UInt32
    fleet_size: UInt16
    reports: list[InFlightReport]
    placements: list[PrefixPlacement]


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
    started_at: timedelta
    prefill_tokens: int = 0
    timed_out: bool = False
    open: bool = True

    def release(self, now):
        """Gives the slot back and tells the hook; a second time does nothing.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> slot = counts.acquire("r", buckets, start)
        >>> slot.release(start)
        >>> slot.release(start)
        >>> counts.count("r", start)
        0
        """
        if self.open:
            self.open = False
            self.counts.release_slot(self, now)

    def on_prefilled(self, tokens):
        """The prompt has been read: its tokens no longer wait.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> slot = counts.acquire("r", buckets, start, tokens=500)
        >>> slot.on_prefilled(200)
        >>> counts.prefill_tokens("r", start)
        300
        """
        if self.open:
            self.counts.release_tokens(self, min(tokens, self.prefill_tokens))


@define(slots=True)
class _Peer:
    instance_id: int
    sequence: int
    received_at: timedelta
    loads: dict
    fleet_size: int = 0


@define(slots=True)
class InFlightCounts:
    """The shared in-flight counts, as one node knows them.

    ``shared``: what a tier of relays tells of all others, by resource; None
    where peers tell each other directly.

    >>> c = InFlightCounts(timedelta(seconds=3))
    >>> from .buckets import Bucket
    >>> s = c.acquire("r", [Bucket(timedelta(seconds=1), 1)], timedelta(0))
    >>> c.count("r", timedelta(0)), c.acquire("r", [Bucket(timedelta(seconds=1), 1)], timedelta(0))
    (1, None)
    >>> s.release(timedelta(0)); c.count("r", timedelta(0))
    0
    """

    stale: timedelta
    hook: object = None
    own: dict = field(factory=dict)
    own_prefill_tokens: dict = field(factory=dict)
    peers: dict = field(factory=dict)
    callers: dict = field(factory=dict)
    shared: dict | None = None
    _sum: dict = field(factory=dict)
    _until: timedelta | None = None

    def _told(self, resource, now, part):
        if self.shared is not None:
            return self.shared.get(resource, NO_LOAD)[part]
        if self._until is None or now > self._until:
            fresh = [p for p in self.peers.values() if now - p.received_at <= self.stale]
            self._until, self._sum = min((p.received_at for p in fresh), default=now) + self.stale, {}
            for p in fresh:
                for r, v in p.loads.items():
                    self._sum[r] = tuple(map(add, self._sum.get(r, NO_LOAD), v))
        return self._sum.get(resource, NO_LOAD)[part]

    def count(self, resource, now):
        """Calls in flight at a resource across all nodes.

        >>> InFlightCounts(timedelta(1)).count("r", timedelta(0))
        0
        """
        return self.own.get(resource, 0) + self._told(resource, now, 0)

    def prefill_tokens(self, resource, now):
        """Prompt tokens on their way to a resource and not yet read, across all nodes.

        >>> InFlightCounts(timedelta(1)).prefill_tokens("r", timedelta(0))
        0
        """
        return self.own_prefill_tokens.get(resource, 0) + self._told(resource, now, 1)

    def unresponsive(self, resource, now):
        """How many peers hear nothing from a resource.

        >>> InFlightCounts(timedelta(1)).unresponsive("r", timedelta(0))
        0
        """
        return self._told(resource, now, 2)

    def outcomes(self, resource, now):
        """What peers saw of late at a resource: good ends, bad ends, how many saw bad ones.

        >>> InFlightCounts(timedelta(1)).outcomes("r", timedelta(0))
        (0, 0, 0)
        """
        return tuple(self._told(resource, now, part) for part in (3, 4, 5))

    def acquire(self, resource, buckets, now, tokens=0):
        """Takes a slot in every bucket, or tells the hook of a refusal and gives None.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.acquire("r", buckets, start).grant.timeout
        datetime.timedelta(seconds=1)
        >>> counts.acquire("r", buckets, start) is None
        True
        """
        n = self.count(resource, now)
        grant = pick(buckets, n)
        if grant is None:
            self._tell(Call(resource, n, timedelta(0), True, False))
            return None
        self.own[resource] = self.own.get(resource, 0) + 1
        self.own_prefill_tokens[resource] = self.own_prefill_tokens.get(resource, 0) + tokens
        return Slot(self, resource, grant, now, tokens)

    def release_tokens(self, slot, tokens):
        """Takes read tokens off a resource.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.release_tokens(counts.acquire("r", buckets, start, tokens=500), 500)
        >>> counts.prefill_tokens("r", start)
        0
        """
        slot.prefill_tokens -= tokens
        self.own_prefill_tokens[slot.resource] = max(0, self.own_prefill_tokens.get(slot.resource, 0) - tokens)

    def release_slot(self, slot, now):
        """Ends a slot; called by the slot itself.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.hook = lambda call: print(call.resource, call.duration)
        >>> counts.release_slot(counts.acquire("r", buckets, start), start + timedelta(seconds=2))
        r 0:00:02
        """
        left = self.own.get(slot.resource, 0) - 1
        self.release_tokens(slot, slot.prefill_tokens)
        if left > 0:
            self.own[slot.resource] = left
        else:
            self.own.pop(slot.resource, None)
            self.own_prefill_tokens.pop(slot.resource, None)
        self._tell(Call(slot.resource, slot.grant.count, now - slot.started_at, False, slot.timed_out))

    def _tell(self, call):
        if self.hook:
            self.hook(call)

    def on_update(self, rec, now, names):
        """Takes a peer's word; ``names`` turns a wire number into a resource.

        >>> c = InFlightCounts(timedelta(seconds=3)); c.on_update(InFlightUpdate("p", 1, 1, 1, [InFlightReport(7, 2, 0, 0, 0, 0, 0)], []), timedelta(0), {7: "r"})
        >>> c.count("r", timedelta(0))
        2
        """
        old = self.peers.get(rec.node)
        if old and old.instance_id == rec.instance_id and rec.sequence <= old.sequence:
            return
        self.callers[rec.node, rec.instance_id] = now
        held = {names[h.resource]: h.load() for h in rec.reports if h.resource in names}
        self.peers[rec.node] = _Peer(rec.instance_id, rec.sequence, now, held, rec.fleet_size)
        self._until = None

    def note_callers(self, holders, now):
        """Notes holders (key, life) that work though their words come only in sums.

        >>> c = InFlightCounts(timedelta(1)); c.note_callers([("p", 1)], timedelta(0)); c.processes(timedelta(0))
        2
        """
        for h in holders:
            self.callers[h] = now

    def drop_node(self, node, instance_id=None):
        """A holder is known gone: its slots are free.

        >>> InFlightCounts(timedelta(1)).drop_node("p")
        """
        if node in self.peers and (instance_id is None or self.peers[node].instance_id != instance_id):
            del self.peers[node]
            self._until = None

    def processes(self, now, span=timedelta(seconds=60)):
        """How many processes have called within a span, this one included.

        >>> InFlightCounts(timedelta(1)).processes(timedelta(0))
        1
        """
        self.callers = {k: t for k, t in self.callers.items() if now - t <= span}
        return 1 + len(self.callers)
