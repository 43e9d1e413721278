"""What a relay tells: its group's sum to the other relays, all it knows to its followers.

A relay without a group tells its own calls:

>>> from sparloom.relay import RelayTier
>>> from .aggregator import InFlightAggregator
>>> from .records import decode_in_flight
>>> start = timedelta(0)
>>> relay = InFlightAggregator("a", 1, timedelta(seconds=3))
>>> relay.update_membership(start, RelayTier(("a",), (), True), {})
>>> relay.update_in_flight(start, {7: (2, 64, 0, 0, 0, 0)}, 4)
>>> [(s.key, s.fleet_size, s.cover, [decode_in_flight(one.held) for one in s.singles]) for s in sums(relay, start)]
[('a', 4, [], [{7: (2, 64, 0, 0, 0, 0)}])]
>>> [(t.key, t.fleet_size, decode_in_flight(t.held)) for t in totals(relay, start)]
[('a', 4, {7: (2, 64, 0, 0, 0, 0)})]
"""

from datetime import timedelta

from attrs import define

from .records import ROOM, Coverage, FleetTotal, GroupAggregate, SoloUpdate, encode_in_flight, ranges
from .shards import add, within

MOST_READS = 20
# A newcomer is told by itself for so many contact bounds, and then in the sum.
SETTLED_AFTER = 2.5
LEAST_ROOM = 300
# Bytes: of one resource's counts on average, of a Cover or Single without its counts, and of a Read.
COUNTS_BYTES, COVER_BYTES, SINGLE_BYTES, READ_BYTES = 7, 12, 16, 20


@define(frozen=True, slots=True)
class _Holder:
    """One of a relay's group, and the word of it that is told."""

    number: int
    since: timedelta
    seq: int
    fleet_size: int
    held: dict


def some(reads):
    """Takes some reads off a store, as many as a word has room for.

    >>> d = dict.fromkeys(range(50)); len(some(d)), len(d)
    (20, 30)
    """
    return [reads.pop(key) for key in list(reads)[:MOST_READS]]


def _ranges(held, fixed, singles=()):
    """The ranges of resources that fit a datagram each, beside a fixed number of bytes."""
    shorts = {*held, *(short for single in singles for short in single)}
    size = COUNTS_BYTES * (len(held) + sum(map(len, singles)))
    room = max(LEAST_ROOM, ROOM - fixed - SINGLE_BYTES * len(singles))
    return ranges(shorts, -(-size // room) or 1)


def _group(machine):
    """The relay itself and those that follow it."""
    yield _Holder(machine.me, machine.since, machine.seq, machine.fleet_size, machine.held)
    for member in machine.members.values():
        yield _Holder(member.holder, member.since, member.piece.seq, member.fleet_size, member.piece.held)


def sums(machine, now):
    """The pieces of a machine's sum; the relay itself is one of the group."""
    machine.clean(now)
    covered = {holder for relay in machine.relays.values() for piece in relay.standing for holder in piece.cover}
    group, old, new = list(_group(machine)), [], []
    for holder in group:
        settled = now - holder.since >= SETTLED_AFTER * machine.contact and holder.number not in covered
        (old if settled else new).append(holder)
    held = {}
    for holder in old:
        add(held, holder.held)
    cover = [Coverage(holder.number, holder.seq) for holder in old]
    machine.out_seq += 1
    fleet_size = min((holder.fleet_size for holder in group if holder.fleet_size), default=0)
    reads = some(machine.reads)
    fixed = COVER_BYTES * len(old) + READ_BYTES * len(reads)
    for lo, hi in _ranges(held, fixed, [holder.held for holder in new]):
        singles = [
            SoloUpdate(holder.number, holder.seq, encode_in_flight(within(holder.held, lo, hi))) for holder in new
        ]
        part = encode_in_flight(within(held, lo, hi))
        yield GroupAggregate(
            machine.key, machine.instance_id, machine.out_seq, fleet_size, lo, hi, cover, part, singles, reads
        )
        reads = []


def totals(machine, now):
    """The pieces of the total of all that a machine knows, its own calls included."""
    gathered = machine.gathered(now)
    held = gathered.held
    add(held, machine.held)
    machine.out_seq += 1
    fleet_size = min(
        [machine.fleet_size, *(fleet_size for fleet_size in machine.fleet_sizes(now).values() if fleet_size)]
    )
    cover = [Coverage(member.holder, gathered.seqs.get(member.holder, 0)) for member in machine.members.values()]
    reads, age_ms = some(machine.down), int(machine.isolation_age(now) / timedelta(milliseconds=1))
    fixed = COVER_BYTES * len(cover) + READ_BYTES * len(reads)
    for lo, hi in _ranges(held, fixed):
        part = encode_in_flight(within(held, lo, hi))
        yield FleetTotal(
            machine.key, machine.instance_id, machine.out_seq, fleet_size, age_ms, lo, hi, cover, part, reads
        )
        reads = []
