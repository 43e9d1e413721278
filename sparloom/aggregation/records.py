"""The messages of the relay tier and their compact encoding.

A resource is identified by the upper 32 bits of its 64-bit number. If two
runners share these bits, a load applies to both, which leads to shorter timeouts
rather than longer ones. Tokens are encoded in units of 32, rounded up.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from itertools import pairwise
from typing import TYPE_CHECKING

from sparloom.codec import DecodeError, Record, UInt16, UInt32, UInt64, record
from sparloom.dynamic_timeout import PrefixPlacement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .shards import InFlight

# Token counts are encoded in multiples of this many tokens.
TOKEN_UNIT = 32
LAST_RESOURCE = 0xFFFFFFFF
# The target size of a message, so that it fits a datagram on common networks. A message may be larger: a follower's
# update is not split, the sizes of entries are estimated, and loads always get ``MINIMUM_LOAD_BYTES``.
MAXIMUM_BYTES = 1000
_SHORT_ID = struct.Struct("!I")
# Variable-length integers: seven bits per byte, lowest bits first; the highest bit marks a continuation.
_VARINT_BITS, _VARINT_MASK, _VARINT_MORE = 7, 0x7F, 0x80
# Lowest bit of the encoded call count: the four counts from ``unresponsive`` to ``accusers`` of a report follow.
_HAS_RARE_COUNTS = 1


@record(83)
class Coverage(Record):
    """One instance of a holder, and the sequence number of its update in an aggregate (0: several updates)."""

    holder: UInt64
    sequence: UInt32


@record(84)
class SoloUpdate(Record):
    """The update of a single holder, forwarded unmerged because the holder joined the group recently."""

    holder: UInt64
    sequence: UInt32
    in_flight: bytes


@record(85)
class MemberUpdate(Record):
    """A follower's complete load, sent to its relay.

    ``fleet_size``: the quota divisor that the follower uses, 0 if unknown.
    ``placements``: long prompts that it placed.
    """

    key: str
    instance_id: UInt64
    sequence: UInt32
    fleet_size: UInt16
    in_flight: bytes
    placements: list[PrefixPlacement]


@record(86)
class GroupAggregate(Record):
    """The load of a relay's group, sent to the other relays: covered holders, their aggregate, and solo updates.

    ``first`` to ``last``: the resources that this shard reports, both included.
    ``fleet_size``: the smallest quota divisor in the group, 0 if unknown.
    """

    key: str
    instance_id: UInt64
    sequence: UInt32
    fleet_size: UInt16
    first: UInt32
    last: UInt32
    coverage: list[Coverage]
    in_flight: bytes
    solo_updates: list[SoloUpdate]
    placements: list[PrefixPlacement]


@record(87)
class FleetTotal(Record):
    """The load of all holders that a relay knows, sent to its followers.

    ``coverage``: which update of each follower the total contains.
    ``fleet_size``: the smallest quota divisor of all nodes that the relay knows, 0 if unknown.
    ``isolation_ms``: how long the relay has received nothing from half of the relays.
    """

    key: str
    instance_id: UInt64
    sequence: UInt32
    fleet_size: UInt16
    isolation_ms: UInt32
    first: UInt32
    last: UInt32
    coverage: list[Coverage]
    in_flight: bytes
    placements: list[PrefixPlacement]


def short_id(number: int) -> int:
    """The short id of a resource: the upper 32 bits of its number.

    >>> short_id(0xAABBCCDD11223344) == 0xAABBCCDD
    True
    """
    return number >> 32


def holder_id(key: str, instance_id: int) -> int:
    """The 64-bit id of one instance of a holder.

    >>> holder_id("a:1", 1) != holder_id("a:1", 2)
    True
    """
    return int.from_bytes(blake2b(f"{key}|{instance_id}".encode(), digest_size=8).digest())


def _write_varint(number: int, out: bytearray) -> None:
    while number > _VARINT_MASK:
        out.append(number & _VARINT_MASK | _VARINT_MORE)
        number >>= _VARINT_BITS
    out.append(number)


def _read_varint(raw: bytes, position: int) -> tuple[int, int]:
    """The decoded number, and the position after it."""
    number = shift = 0
    while True:
        byte = raw[position]
        number, position, shift = number | (byte & _VARINT_MASK) << shift, position + 1, shift + _VARINT_BITS
        if byte < _VARINT_MORE:
            return number, position


def encode_in_flight(in_flight: InFlight) -> bytes:
    """Encodes the load by short resource id.

    >>> decode_in_flight(encode_in_flight({7: (2, 33, 0, 0, 0, 0), 9: (1, 0, 1, 5, 2, 1)}))
    {7: (2, 64, 0, 0, 0, 0), 9: (1, 0, 1, 5, 2, 1)}
    >>> len(encode_in_flight({7: (2, 3200, 0, 0, 0, 0)}))
    6
    """
    out = bytearray()
    for resource, load in in_flight.items():
        rare = load[2:]
        has_rare = any(rare)
        out += _SHORT_ID.pack(resource)
        _write_varint(load[0] << 1 | has_rare, out)
        _write_varint(-(-load[1] // TOKEN_UNIT), out)
        if has_rare:
            for count in rare:
                _write_varint(count, out)
    return bytes(out)


def decode_in_flight(raw: bytes) -> InFlight:
    """Decodes the load by short resource id, as written by ``encode_in_flight``.

    Raises
    ------
    DecodeError : the data ends within an entry.

    >>> decode_in_flight(b"abc")
    Traceback (most recent call last):
    ...
    sparloom.codec.records.DecodeError: the in-flight counts are truncated
    """
    in_flight: InFlight = {}
    position, size = 0, len(raw)
    try:
        while position < size:
            (resource,) = _SHORT_ID.unpack_from(raw, position)
            # Fast path: nearly all numbers fit in one byte, and a relay spends much of its time here.
            calls, tokens = raw[position + 4], raw[position + 5]
            position += 6
            if calls > _VARINT_MASK or tokens > _VARINT_MASK:
                calls, position = _read_varint(raw, position - 2)
                tokens, position = _read_varint(raw, position)
            if calls & _HAS_RARE_COUNTS:
                unresponsive, position = _read_varint(raw, position)
                successes, position = _read_varint(raw, position)
                failures, position = _read_varint(raw, position)
                accusers, position = _read_varint(raw, position)
                load = (calls >> 1, tokens * TOKEN_UNIT, unresponsive, successes, failures, accusers)
            else:
                load = (calls >> 1, tokens * TOKEN_UNIT, 0, 0, 0, 0)
            in_flight[resource] = load
    except (struct.error, IndexError) as error:
        raise DecodeError("the in-flight counts are truncated") from error
    return in_flight


def ranges(resources: Iterable[int], count: int) -> list[tuple[int, int]]:
    """Splits the resource ids into at most ``count`` ranges with about the same number of resources each.

    The first range starts at 0 and the last one ends at ``LAST_RESOURCE``.

    >>> ranges([1, 5, 9, 12], 2)
    [(0, 8), (9, 4294967295)]
    >>> ranges([], 1)
    [(0, 4294967295)]
    """
    keys = sorted(resources)
    starts = [0] + [keys[len(keys) * index // count] for index in range(1, count)] + [LAST_RESOURCE + 1]
    return [(start, end - 1) for start, end in pairwise(starts) if start < end]
