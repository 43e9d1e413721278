"""Counts the requests in flight at each resource: this node's own and those that its peers report.

``InFlightCounts`` holds the counts, a ``Slot`` is one request in them, and
``InFlightUpdate`` is the message by which a node reports its counts to peers.

Late or missing updates: a peer's last update counts until the peer sends a
newer one, its instance ends (considered dead, departed or restarted), or
nothing was received from it for ``stale``. Until then it counts in full. An
unreachable peer is assumed to still hold its slots, so late counts make
timeouts shorter rather than longer. After ``stale`` the update no longer
counts, so that a lost peer can't hold slots forever. ``sparloom.aggregation``
applies the same rule to updates that are sent through relays.

Source of slot counting, the callback and the estimated number of processes:
"Faraday Dynamic Timeout Middleware", README of ``faraday_dynamic_timeout``.
"""

from __future__ import annotations

from datetime import timedelta
from operator import add
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.codec import Record, UInt16, UInt32, UInt64, record

from .buckets import pick

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from .buckets import Bucket, Grant

# How long a process counts as running after its last update; the source uses 60 seconds.
PROCESS_TTL = timedelta(seconds=60)

# The load of one resource. It is a plain tuple because adding loads is the hot path; the constants are its indices.
ResourceLoad = tuple[int, int, int, int, int, int]
CALLS, PREFILL_TOKENS, UNRESPONSIVE, SUCCESSES, FAILURES, ACCUSERS = range(6)
NO_LOAD: ResourceLoad = (0, 0, 0, 0, 0, 0)


@record(80)
class InFlightReport(Record):
    """The load of one resource, from one node or summed over several nodes.

    Attributes:
        resource: The resource's number.
        calls: Number of requests in flight.
        prefill_tokens: Prompt tokens in flight whose prefill has not ended.
        unresponsive: Number of nodes that receive no response from it.
        successes, failures, accusers: Recent outcomes. They are part of the wire format, but routers send 0.
    """

    resource: UInt64
    calls: UInt16
    prefill_tokens: UInt32
    unresponsive: UInt16
    successes: UInt16
    failures: UInt16
    accusers: UInt16

    def load(self) -> ResourceLoad:
        """Returns the counts as a tuple, in the order of the fields.

        >>> InFlightReport(7, 2, 500, 0, 0, 0, 0).load()
        (2, 500, 0, 0, 0, 0)
        """
        return (self.calls, self.prefill_tokens, self.unresponsive, self.successes, self.failures, self.accusers)


@record(82)
class PrefixPlacement(Record):
    """A long prompt prefix that was sent to a resource.

    Attributes:
        resource: The resource's number.
        prefix: The prefix's number, see ``sparloom.load_balancing.parse_parts``.
        tokens: Length of its last part in tokens.
    """

    resource: UInt64
    prefix: UInt64
    tokens: UInt32


@record(81)
class InFlightUpdate(Record):
    """A node's requests in flight, and the long prefixes that it sent to resources since its last update.

    Attributes:
        node: The node's internal HOST:PORT.
        instance_id: The node's instance, as in ``sparloom.membership.Peer``.
        sequence: Increases with each update of the instance.
        fleet_size: Number of nodes among which the sender divides limits.
        reports: One report for each resource with requests in flight.
        placements: Prefixes sent to resources since the last update.
    """

    node: str
    instance_id: UInt64
    sequence: UInt32
    fleet_size: UInt16
    reports: list[InFlightReport]
    placements: list[PrefixPlacement]


@define(frozen=True, slots=True)
class Call:
    """A finished or throttled request, as passed to the callback (``RequestInfo`` in the source).

    Attributes:
        resource: The resource's name.
        count: Number of concurrent requests at the resource, including this one unless it was throttled.
        duration: Time from acquiring the slot to its release.
        throttled: Whether the request was not sent because no bucket had a free slot.
        timed_out: Whether the request timed out.

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
    """A request's slot in every bucket of a resource. It is released only once.

    Attributes:
        counts: The counts from which it was acquired.
        resource: The resource's name.
        grant: Its timeout and count.
        started_at: When it was acquired.
        prefill_tokens: Prompt tokens whose prefill has not ended.
        timed_out: Whether the request has timed out; set by the caller.
        open: Whether it has not been released yet.
    """

    counts: InFlightCounts
    resource: str
    grant: Grant
    started_at: timedelta
    prefill_tokens: int = 0
    timed_out: bool = False
    open: bool = True

    def release(self, now: timedelta) -> None:
        """Releases the slot and calls the callback; a second call does nothing.

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

    def on_prefilled(self, tokens: int) -> None:
        """Subtracts tokens whose prefill has ended from the resource's load.

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
class _PeerCounts:
    """The latest update of one peer."""

    instance_id: int
    sequence: int
    received_at: timedelta
    loads: dict[str, ResourceLoad]
    fleet_size: int = 0


@define(slots=True)
class InFlightCounts:
    """The in-flight counts of the whole fleet, as known to one node.

    Attributes:
        stale: How long a peer's last update counts.
        callback: Called with a ``Call`` after each request, including throttled ones.
        own: This node's requests in flight, by resource.
        own_prefill_tokens: This node's prompt tokens awaiting prefill, by resource.
        peers: The latest update of each peer, by its HOST:PORT.
        callers: Time of the last update from each other process (HOST:PORT, instance id).
        shared: The load of all other nodes, by resource, if relays aggregate it;
            None if peers send their updates directly.

    >>> from .buckets import Bucket
    >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
    >>> counts = InFlightCounts(timedelta(seconds=3))
    >>> slot = counts.acquire("r", buckets, start)
    >>> counts.count("r", start), counts.acquire("r", buckets, start)
    (1, None)
    >>> slot.release(start)
    >>> counts.count("r", start)
    0
    """

    stale: timedelta
    callback: Callable[[Call], None] | None = None
    own: dict[str, int] = field(factory=dict)
    own_prefill_tokens: dict[str, int] = field(factory=dict)
    peers: dict[str, _PeerCounts] = field(factory=dict)
    callers: dict[tuple[str, int], timedelta] = field(factory=dict)
    shared: dict[str, ResourceLoad] | None = None
    _total: dict[str, ResourceLoad] = field(factory=dict)
    _total_valid_until: timedelta | None = None

    def _peer_load(self, resource: str, now: timedelta) -> ResourceLoad:
        """Returns the load of all other nodes at a resource."""
        if self.shared is not None:
            return self.shared.get(resource, NO_LOAD)
        # The sum is cached until an update arrives or the oldest one in it becomes stale.
        if self._total_valid_until is None or now > self._total_valid_until:
            self._aggregate_peers(now)
        return self._total.get(resource, NO_LOAD)

    def _aggregate_peers(self, now: timedelta) -> None:
        fresh = [peer for peer in self.peers.values() if now - peer.received_at <= self.stale]
        self._total_valid_until = min((peer.received_at for peer in fresh), default=now) + self.stale
        total: dict[str, ResourceLoad] = {}
        for peer in fresh:
            for resource, load in peer.loads.items():
                total[resource] = tuple(map(add, total.get(resource, NO_LOAD), load))
        self._total = total

    def count(self, resource: str, now: timedelta) -> int:
        """Returns the number of requests in flight at a resource across all nodes.

        >>> InFlightCounts(timedelta(1)).count("r", timedelta(0))
        0
        """
        return self.own.get(resource, 0) + self._peer_load(resource, now)[CALLS]

    def prefill_tokens(self, resource: str, now: timedelta) -> int:
        """Returns the prompt tokens that await prefill at a resource across all nodes.

        >>> InFlightCounts(timedelta(1)).prefill_tokens("r", timedelta(0))
        0
        """
        return self.own_prefill_tokens.get(resource, 0) + self._peer_load(resource, now)[PREFILL_TOKENS]

    def unresponsive(self, resource: str, now: timedelta) -> int:
        """Returns the number of peers that receive no response from a resource.

        >>> InFlightCounts(timedelta(1)).unresponsive("r", timedelta(0))
        0
        """
        return self._peer_load(resource, now)[UNRESPONSIVE]

    def outcomes(self, resource: str, now: timedelta) -> tuple[int, int, int]:
        """Returns the peers' recent outcomes: successes, failures, and the number of peers that observed failures.

        >>> InFlightCounts(timedelta(1)).outcomes("r", timedelta(0))
        (0, 0, 0)
        """
        load = self._peer_load(resource, now)
        return load[SUCCESSES], load[FAILURES], load[ACCUSERS]

    def acquire(
        self,
        resource: str,
        buckets: Iterable[Bucket] | Callable[[], Iterable[Bucket]],
        now: timedelta,
        tokens: int = 0,
    ) -> Slot | None:
        """Acquires a slot in every bucket.

        Args:
            resource: The resource's name.
            buckets: The resource's buckets, see ``pick``.
            now: The current monotonic time.
            tokens: The request's prompt tokens, which await prefill.

        Returns:
            The slot, or None if the request is throttled; the callback is called in that case.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.acquire("r", buckets, start).grant.timeout
        datetime.timedelta(seconds=1)
        >>> counts.acquire("r", buckets, start) is None
        True
        """
        count = self.count(resource, now)
        grant = pick(buckets, count)
        if grant is None:
            self._report(Call(resource, count, timedelta(0), True, False))
            return None
        self.own[resource] = self.own.get(resource, 0) + 1
        self.own_prefill_tokens[resource] = self.own_prefill_tokens.get(resource, 0) + tokens
        return Slot(self, resource, grant, now, tokens)

    def release_tokens(self, slot: Slot, tokens: int) -> None:
        """Subtracts tokens whose prefill has ended from a resource's load.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.release_tokens(counts.acquire("r", buckets, start, tokens=500), 500)
        >>> counts.prefill_tokens("r", start)
        0
        """
        slot.prefill_tokens -= tokens
        self.own_prefill_tokens[slot.resource] = max(0, self.own_prefill_tokens.get(slot.resource, 0) - tokens)

    def release_slot(self, slot: Slot, now: timedelta) -> None:
        """Subtracts a slot from a resource's load; called by ``Slot.release``.

        >>> from .buckets import Bucket
        >>> start, buckets = timedelta(0), [Bucket(timedelta(seconds=1), 1)]
        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> counts.callback = lambda call: print(call.resource, call.duration)
        >>> counts.release_slot(counts.acquire("r", buckets, start), start + timedelta(seconds=2))
        r 0:00:02
        """
        remaining = self.own.get(slot.resource, 0) - 1
        self.release_tokens(slot, slot.prefill_tokens)
        if remaining > 0:
            self.own[slot.resource] = remaining
        else:
            self.own.pop(slot.resource, None)
            self.own_prefill_tokens.pop(slot.resource, None)
        self._report(Call(slot.resource, slot.grant.count, now - slot.started_at, False, slot.timed_out))

    def _report(self, call: Call) -> None:
        if self.callback:
            self.callback(call)

    def on_update(self, update: InFlightUpdate, now: timedelta, names: Mapping[int, str]) -> None:
        """Stores a peer's update; ignores it if an update of the same instance is as new or newer.

        Args:
            update: The update.
            now: When it was received.
            names: Resource names by number; reports of other resources are ignored.

        >>> counts = InFlightCounts(timedelta(seconds=3))
        >>> reports = [InFlightReport(7, 2, 0, 0, 0, 0, 0)]
        >>> counts.on_update(InFlightUpdate("p", 1, 1, 1, reports, []), timedelta(0), {7: "r"})
        >>> counts.count("r", timedelta(0))
        2
        """
        old = self.peers.get(update.node)
        if old and old.instance_id == update.instance_id and update.sequence <= old.sequence:
            return
        self.callers[update.node, update.instance_id] = now
        loads = {names[report.resource]: report.load() for report in update.reports if report.resource in names}
        self.peers[update.node] = _PeerCounts(update.instance_id, update.sequence, now, loads, update.fleet_size)
        self._total_valid_until = None

    def note_callers(self, callers: Iterable[tuple[str, int]], now: timedelta) -> None:
        """Records active processes (HOST:PORT, instance id) whose counts are received only as aggregates.

        >>> counts = InFlightCounts(timedelta(1)); counts.note_callers([("p", 1)], timedelta(0))
        >>> counts.processes(timedelta(0))
        2
        """
        for caller in callers:
            self.callers[caller] = now

    def drop_node(self, node: str, instance_id: int | None = None) -> None:
        """Drops the counts of a node that has ended; keeps those of the running instance ``instance_id``.

        >>> InFlightCounts(timedelta(1)).drop_node("p")
        """
        if node in self.peers and (instance_id is None or self.peers[node].instance_id != instance_id):
            del self.peers[node]
            self._total_valid_until = None

    def processes(self, now: timedelta, ttl: timedelta = PROCESS_TTL) -> int:
        """Returns the number of processes active within ``ttl``, including this one.

        >>> InFlightCounts(timedelta(1)).processes(timedelta(0))
        1
        """
        self.callers = {caller: active_at for caller, active_at in self.callers.items() if now - active_at <= ttl}
        return 1 + len(self.callers)
