"""Shards of load, and how they are combined so that no call is counted twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from .records import LAST_RESOURCE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta

    from sparloom.dynamic_timeout import ResourceLoad

    # Load by short resource id.
    InFlight = dict[int, ResourceLoad]
    # First resource, last resource, and the sequence number of the holder's update that is counted there.
    CountedRange = tuple[int, int, int]


@define(frozen=True, slots=True, eq=False)
class Shard:
    """The in-flight load of a set of holders at the resources from ``first`` to ``last``.

    Attributes
    ----------
    sequence : sequence number of the message that contained the shard.
    received_at : when the message was received.
    coverage : the sequence number of each holder's update in ``in_flight``, by holder id.
    in_flight : the total load by resource.
    solo_updates : (holder, sequence, load) of holders that are reported one by one.
    """

    sequence: int
    received_at: timedelta
    coverage: dict[int, int]
    in_flight: InFlight
    first: int = 0
    last: int = LAST_RESOURCE
    solo_updates: tuple[tuple[int, int, InFlight], ...] = ()

    def without(self, first: int, last: int) -> list[Shard]:
        """The parts of the shard outside a range.

        >>> [(part.first, part.last, part.in_flight) for part in Shard(1, 0, {}, {3: 1, 8: 2}, 0, 9).without(4, 6)]
        [(0, 3, {3: 1}), (7, 9, {8: 2})]
        """
        if last < self.first or first > self.last:
            return [self]
        sides = ((self.first, first - 1), (last + 1, self.last))
        return [self._restricted(start, end) for start, end in sides if start <= end]

    def _restricted(self, first: int, last: int) -> Shard:
        solo_updates = tuple(
            (holder, sequence, within(in_flight, first, last)) for holder, sequence, in_flight in self.solo_updates
        )
        return evolve(
            self, first=first, last=last, in_flight=within(self.in_flight, first, last), solo_updates=solo_updates
        )

    def overlaps(self, other: Shard) -> bool:
        """Whether both shards cover the same holder at the same resources.

        >>> Shard(1, 0, {5: 1}, {}).overlaps(Shard(1, 0, {5: 2, 6: 1}, {}))
        True
        """
        overlap = self.first <= other.last and other.first <= self.last
        return overlap and not self.coverage.keys().isdisjoint(other.coverage)


def within(in_flight: InFlight, first: int, last: int) -> InFlight:
    """The entries within a range of resources.

    >>> within({3: "a", 8: "b"}, 4, 9)
    {8: 'b'}
    """
    if first == 0 and last == LAST_RESOURCE:
        return in_flight
    return {resource: counts for resource, counts in in_flight.items() if first <= resource <= last}


def add(total: InFlight, in_flight: InFlight, sign: int = 1) -> None:
    """Adds loads to a total, or subtracts them (``sign`` -1); no count falls below zero.

    >>> total = {1: (2, 0, 0, 0, 0, 0)}; add(total, {1: (1, 5, 0, 0, 0, 0)})
    >>> add(total, {1: (1, 9, 0, 0, 0, 0)}, -1); total
    {1: (2, 0, 0, 0, 0, 0)}
    """
    if sign < 0:
        _subtract(total, in_flight)
        return
    for resource, new in in_flight.items():
        old = total.get(resource)
        if old is None:
            total[resource] = new
        else:
            # Unrolled, because a relay spends most of its time here.
            total[resource] = (
                old[0] + new[0],
                old[1] + new[1],
                old[2] + new[2],
                old[3] + new[3],
                old[4] + new[4],
                old[5] + new[5],
            )


def _subtract(total: InFlight, in_flight: InFlight) -> None:
    for resource, counts in in_flight.items():
        old = total.get(resource)
        if old is not None:
            total[resource] = (
                max(0, old[0] - counts[0]),
                max(0, old[1] - counts[1]),
                max(0, old[2] - counts[2]),
                max(0, old[3] - counts[3]),
                max(0, old[4] - counts[4]),
                max(0, old[5] - counts[5]),
            )


def replace(shards: Iterable[Shard], new: Shard) -> list[Shard] | None:
    """Replaces the range of a new shard; None if an overlapping shard is at least as new.

    >>> replace([Shard(2, 0, {}, {})], Shard(1, 0, {}, {})) is None
    True
    """
    if any(shard.sequence >= new.sequence and shard.first <= new.last and new.first <= shard.last for shard in shards):
        return None
    return [part for shard in shards for part in shard.without(new.first, new.last)] + [new]


@define(slots=True)
class CombinedInFlight:
    """The combined load by resource, and the sequence number of each holder's update in it (0: several updates)."""

    in_flight: InFlight = field(factory=dict)
    sequences: dict[int, int] = field(factory=dict)


def combine(
    aggregates: Iterable[Shard],
    updates: Iterable[tuple[int, Shard]],
    own_holder: int,
    own_update: Callable[[int], InFlight | None],
) -> CombinedInFlight:
    """Combines aggregates and single updates; each holder is counted from one source per resource.

    Parameters
    ----------
    aggregates : shards with disjoint coverage.
    updates : (holder, shard) of single holders. They are ignored where an
        aggregate covers the holder; otherwise the newest one is counted.
    own_holder : this node's holder id.
    own_update : returns this node's update by sequence number; it is subtracted
        from each aggregate that contains it.

    >>> aggregate, update = Shard(1, 0, {5: 3}, {7: (2, 0, 0, 0, 0, 0)}), Shard(4, 0, {}, {7: (9, 0, 0, 0, 0, 0)})
    >>> combine([aggregate], [(5, update), (6, update)], 0, None).in_flight
    {7: (11, 0, 0, 0, 0, 0)}
    >>> combine([aggregate], [], 5, lambda sequence: {7: (1, 0, 0, 0, 0, 0)}).in_flight
    {7: (1, 0, 0, 0, 0, 0)}
    """
    combined = CombinedInFlight()
    counted: dict[int, list[CountedRange]] = {}
    for shard in aggregates:
        add(combined.in_flight, shard.in_flight)
        for holder, sequence in shard.coverage.items():
            counted.setdefault(holder, []).append((shard.first, shard.last, sequence))
        if own_holder in shard.coverage:
            own = own_update(shard.coverage[own_holder]) or {}
            add(combined.in_flight, within(own, shard.first, shard.last), -1)
    for holder, shards in _by_holder(updates, own_holder).items():
        _add_updates(combined.in_flight, shards, counted.setdefault(holder, []))
    for holder, counted_ranges in counted.items():
        sequences = {sequence for _, _, sequence in counted_ranges}
        combined.sequences[holder] = sequences.pop() if len(sequences) == 1 else 0
    return combined


def _by_holder(updates: Iterable[tuple[int, Shard]], own_holder: int) -> dict[int, list[Shard]]:
    """The shards by holder, without this node's own."""
    found: dict[int, list[Shard]] = {}
    for holder, shard in updates:
        if holder != own_holder:
            found.setdefault(holder, []).append(shard)
    return found


def _add_updates(total: InFlight, shards: list[Shard], counted: list[CountedRange]) -> None:
    """Adds one holder's shards, newest first, at the resources where it is not counted yet."""
    for shard in sorted(shards, key=lambda shard: -shard.sequence) if len(shards) > 1 else shards:
        if any(first <= shard.first and shard.last <= last for first, last, _ in counted):
            continue
        add(total, _without_ranges(shard.in_flight, counted) if counted else shard.in_flight)
        counted.append((shard.first, shard.last, shard.sequence))


def _without_ranges(in_flight: InFlight, counted: list[CountedRange]) -> InFlight:
    return {
        resource: load
        for resource, load in in_flight.items()
        if not any(first <= resource <= last for first, last, _ in counted)
    }
