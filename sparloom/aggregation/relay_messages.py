"""The messages of a relay: its group's aggregate for the other relays, the fleet total for its followers.

A relay without a group sends its own load:

>>> from sparloom.relay import RelayTier
>>> from .aggregator import InFlightAggregator
>>> from .records import decode_in_flight
>>> start = timedelta(0)
>>> relay = InFlightAggregator("a", 1, timedelta(seconds=3))
>>> relay.update_membership(start, RelayTier(("a",), (), True), {})
>>> relay.update_in_flight(start, {7: (2, 64, 0, 0, 0, 0)}, 4)
>>> for sent in group_aggregates(relay, start):
...     print(sent.fleet_size, sent.coverage, [decode_in_flight(solo.in_flight) for solo in sent.solo_updates])
4 [] [{7: (2, 64, 0, 0, 0, 0)}]
>>> [(total.key, total.fleet_size, decode_in_flight(total.in_flight)) for total in fleet_totals(relay, start)]
[('a', 4, {7: (2, 64, 0, 0, 0, 0)})]
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

from attrs import define

from .records import (
    MAXIMUM_BYTES,
    Coverage,
    FleetTotal,
    GroupAggregate,
    MemberUpdate,
    SoloUpdate,
    encode_in_flight,
    ranges,
)
from .shards import add, within

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator, Sequence

    from .aggregator import InFlightAggregator
    from .shards import InFlight

MAXIMUM_PLACEMENTS = 20
# How long a new member is reported as a solo update before it enters the group's aggregate, in contact bounds.
SETTLED_AFTER_CONTACT_BOUNDS = 2.5
# The minimum space for loads in a message, whatever else the message carries.
MINIMUM_LOAD_BYTES = 300
# Average encoded size of one resource's load, and of the other parts of a message without their loads.
LOAD_BYTES, COVERAGE_BYTES, SOLO_UPDATE_BYTES, PLACEMENT_BYTES = 7, 12, 16, 20

Key = TypeVar("Key", bound="Hashable")
Value = TypeVar("Value")


@define(frozen=True, slots=True)
class Send:
    """A message, and the keys of its destination nodes."""

    destinations: tuple[str, ...]
    message: MemberUpdate | GroupAggregate | FleetTotal


@define(frozen=True, slots=True)
class _Holder:
    """One node of a relay's group, and the update that is reported for it."""

    number: int
    since: timedelta
    sequence: int
    fleet_size: int
    in_flight: InFlight


def take_placements(placements: dict[Key, Value]) -> list[Value]:
    """Removes the oldest placements from a store and returns them, up to the limit per message.

    >>> placements = dict.fromkeys(range(50)); len(take_placements(placements)), len(placements)
    (20, 30)
    """
    return [placements.pop(key) for key in list(placements)[:MAXIMUM_PLACEMENTS]]


def _ranges(in_flight: InFlight, fixed_bytes: int, solo: Sequence[InFlight] = ()) -> list[tuple[int, int]]:
    """Resource ranges whose loads fit one datagram each, in addition to ``fixed_bytes``."""
    resources = {*in_flight, *(resource for load in solo for resource in load)}
    load_bytes = LOAD_BYTES * (len(in_flight) + sum(map(len, solo)))
    available = max(MINIMUM_LOAD_BYTES, MAXIMUM_BYTES - fixed_bytes - SOLO_UPDATE_BYTES * len(solo))
    return ranges(resources, -(-load_bytes // available) or 1)


def _group(aggregator: InFlightAggregator, now: timedelta) -> Iterator[_Holder]:
    """The relay itself and its followers."""
    own, since = aggregator.own, aggregator.relay_since
    yield _Holder(aggregator.holder, now if since is None else since, own.sequence, own.fleet_size, own.in_flight)
    for member in aggregator.neighbours.members.values():
        shard = member.shard
        yield _Holder(member.holder, member.since, shard.sequence, member.fleet_size, shard.in_flight)


def _split_by_age(aggregator: InFlightAggregator, now: timedelta) -> tuple[list[_Holder], list[_Holder]]:
    """The settled nodes of the group, and the recent ones, which are reported as solo updates."""
    relays = aggregator.neighbours.relays.values()
    covered = {holder for relay in relays for shard in relay.accepted for holder in shard.coverage}
    settled: list[_Holder] = []
    recent: list[_Holder] = []
    settling_time = SETTLED_AFTER_CONTACT_BOUNDS * aggregator.contact_bound
    for holder in _group(aggregator, now):
        is_settled = now - holder.since >= settling_time and holder.number not in covered
        (settled if is_settled else recent).append(holder)
    return settled, recent


def group_aggregates(aggregator: InFlightAggregator, now: timedelta) -> Iterator[GroupAggregate]:
    """The shards of a relay's aggregate; the relay itself is a member of its group."""
    aggregator.neighbours.expire(now)
    settled, recent = _split_by_age(aggregator, now)
    in_flight: InFlight = {}
    for holder in settled:
        add(in_flight, holder.in_flight)
    coverage = [Coverage(holder.number, holder.sequence) for holder in settled]
    aggregator.output_sequence += 1
    fleet_size = min((holder.fleet_size for holder in (*settled, *recent) if holder.fleet_size), default=0)
    placements = take_placements(aggregator.output.placements)
    fixed_bytes = COVERAGE_BYTES * len(settled) + PLACEMENT_BYTES * len(placements)
    for first, last in _ranges(in_flight, fixed_bytes, [holder.in_flight for holder in recent]):
        yield GroupAggregate(
            aggregator.key,
            aggregator.instance_id,
            aggregator.output_sequence,
            fleet_size,
            first,
            last,
            coverage,
            encode_in_flight(within(in_flight, first, last)),
            [
                SoloUpdate(holder.number, holder.sequence, encode_in_flight(within(holder.in_flight, first, last)))
                for holder in recent
            ],
            placements,
        )
        # Only the first shard carries the placements.
        placements = []


def fleet_totals(aggregator: InFlightAggregator, now: timedelta) -> Iterator[FleetTotal]:
    """The shards of the fleet total, the relay's own load included."""
    combined = aggregator.combined_in_flight(now)
    in_flight = combined.in_flight
    add(in_flight, aggregator.own.in_flight)
    aggregator.output_sequence += 1
    fleet_size = min([aggregator.own.fleet_size, *(size for size in aggregator.fleet_sizes(now).values() if size)])
    members = aggregator.neighbours.members.values()
    coverage = [Coverage(member.holder, combined.sequences.get(member.holder, 0)) for member in members]
    placements = take_placements(aggregator.output.follower_placements)
    isolation_ms = int(aggregator.isolation_age(now) / timedelta(milliseconds=1))
    fixed_bytes = COVERAGE_BYTES * len(coverage) + PLACEMENT_BYTES * len(placements)
    for first, last in _ranges(in_flight, fixed_bytes):
        yield FleetTotal(
            aggregator.key,
            aggregator.instance_id,
            aggregator.output_sequence,
            fleet_size,
            isolation_ms,
            first,
            last,
            coverage,
            encode_in_flight(within(in_flight, first, last)),
            placements,
        )
        placements = []
