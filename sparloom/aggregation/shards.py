"""Shards of load, and how they are put together so that no call counts twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from .records import LAST_RESOURCE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta

    from sparloom.dynamic_timeout import ResourceLoad

    # The load by short resource id.
    InFlight = dict[int, ResourceLoad]
    # First resource, last resource, and the update of a holder that is counted there.
    CountedRange = tuple[int, int, int]


@define(frozen=True, slots=True, eq=False)
class Shard:
    """What some holders have in flight at the resources from ``first`` to ``last``.

    Attributes
    ----------
    sequence : number of the message that it came in.
    received_at : when it came.
    coverage : each holder's number with the update of it that is in ``in_flight``.
    in_flight : the summed load by resource.
    solo_updates : (holder, sequence, load) of those that are reported one by one.
    """

    sequence: int
    received_at: timedelta
    coverage: dict[int, int]
    in_flight: InFlight
    first: int = 0
    last: int = LAST_RESOURCE
    solo_updates: tuple[tuple[int, int, InFlight], ...] = ()

    def without(self, first: int, last: int) -> list[Shard]:
        """What remains outside of a range.

        >>> [(p.first, p.last, p.in_flight) for p in Shard(1, 0, {}, {3: 1, 8: 2}, 0, 9).without(4, 6)]
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
        """Whether both cover a holder for the same resources.

        >>> Shard(1, 0, {5: 1}, {}).overlaps(Shard(1, 0, {5: 2, 6: 1}, {}))
        True
        """
        overlap = self.first <= other.last and other.first <= self.last
        return overlap and not self.coverage.keys().isdisjoint(other.coverage)


def within(in_flight: InFlight, first: int, last: int) -> InFlight:
    """The entries of a range.

    >>> within({3: "a", 8: "b"}, 4, 9)
    {8: 'b'}
    """
    if first == 0 and last == LAST_RESOURCE:
        return in_flight
    return {resource: counts for resource, counts in in_flight.items() if first <= resource <= last}


def add(total: InFlight, in_flight: InFlight, sign: int = 1) -> None:
    """Adds loads to a total, or subtracts them (``sign`` -1); no count falls below zero.

    >>> t = {1: (2, 0, 0, 0, 0, 0)}; add(t, {1: (1, 5, 0, 0, 0, 0)}); add(t, {1: (1, 9, 0, 0, 0, 0)}, -1); t
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
            # Written out: most of a relay's time goes here.
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
    """The shards with a newer one in its range, or None when that is not newer.

    >>> replace([Shard(2, 0, {}, {})], Shard(1, 0, {}, {})) is None
    True
    """
    if any(p.sequence >= new.sequence and p.first <= new.last and new.first <= p.last for p in shards):
        return None
    return [rest for shard in shards for rest in shard.without(new.first, new.last)] + [new]


@define(slots=True)
class Gathered:
    """All that is known: load by resource, and which update of each holder is in it (0: several)."""

    in_flight: InFlight = field(factory=dict)
    sequences: dict[int, int] = field(factory=dict)


def gather(
    sums: Iterable[Shard],
    updates: Iterable[tuple[int, Shard]],
    own_holder: int,
    own_update: Callable[[int], InFlight | None],
) -> Gathered:
    """Puts sums and single updates together: each holder counts from one source at each resource.

    Parameters
    ----------
    sums : shards whose coverages are disjoint.
    updates : (holder, shard) of single holders; where a sum covers the holder
        they count nothing, else the newest does.
    own_holder : this node's number.
    own_update : gives this node's update of a number, which is subtracted where a sum has it.

    >>> s, w = Shard(1, 0, {5: 3}, {7: (2, 0, 0, 0, 0, 0)}), Shard(4, 0, {}, {7: (9, 0, 0, 0, 0, 0)})
    >>> gather([s], [(5, w), (6, w)], 0, None).in_flight
    {7: (11, 0, 0, 0, 0, 0)}
    >>> gather([s], [], 5, lambda sequence: {7: (1, 0, 0, 0, 0, 0)}).in_flight
    {7: (1, 0, 0, 0, 0, 0)}
    """
    gathered = Gathered()
    counted: dict[int, list[CountedRange]] = {}
    for shard in sums:
        add(gathered.in_flight, shard.in_flight)
        for holder, sequence in shard.coverage.items():
            counted.setdefault(holder, []).append((shard.first, shard.last, sequence))
        if own_holder in shard.coverage:
            own = own_update(shard.coverage[own_holder]) or {}
            add(gathered.in_flight, within(own, shard.first, shard.last), -1)
    for holder, shards in _by_holder(updates, own_holder).items():
        _add_updates(gathered.in_flight, shards, counted.setdefault(holder, []))
    for holder, counted_ranges in counted.items():
        sequences = {sequence for _, _, sequence in counted_ranges}
        gathered.sequences[holder] = sequences.pop() if len(sequences) == 1 else 0
    return gathered


def _by_holder(updates: Iterable[tuple[int, Shard]], own_holder: int) -> dict[int, list[Shard]]:
    """The shards of each holder but this node."""
    found: dict[int, list[Shard]] = {}
    for holder, shard in updates:
        if holder != own_holder:
            found.setdefault(holder, []).append(shard)
    return found


def _add_updates(total: InFlight, shards: list[Shard], counted: list[CountedRange]) -> None:
    """Adds one holder's shards, the newest first, where ``counted`` doesn't hold it yet."""
    for shard in sorted(shards, key=lambda shard: -shard.sequence) if len(shards) > 1 else shards:
        if any(first <= shard.first and shard.last <= last for first, last, _ in counted):
            continue
        add(total, _outside(shard.in_flight, counted) if counted else shard.in_flight)
        counted.append((shard.first, shard.last, shard.sequence))


def _outside(in_flight: InFlight, counted: list[CountedRange]) -> InFlight:
    return {
        resource: load
        for resource, load in in_flight.items()
        if not any(first <= resource <= last for first, last, _ in counted)
    }
