"""The words of the tier, and how they are kept small.

A resource goes by the upper 32 bits of its number. Where two runners share
them, a count holds for both: that errs towards shorter timeouts. Tokens go in
units of 32, rounded up.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from itertools import pairwise

from sparloom.codec import DecodeError, Record, UInt16, UInt32, UInt64, record
from sparloom.dynamic_timeout import PrefixPlacement

UNIT = 32
LAST = 0xFFFFFFFF
ROOM = 1000
_SHORT = struct.Struct("!I")


@record(83)
class Coverage(Record):
    """One instance of a holder, and which of its words is in a sum."""

    holder: UInt64
    seq: UInt32


@record(84)
class SoloUpdate(Record):
    """A holder's own word, passed on as it is: it has not been in the group for long."""

    holder: UInt64
    seq: UInt32
    held: bytes


@record(85)
class MemberUpdate(Record):
    """All that a follower has in flight, to its relay; ``placements``: long parts of prompts that it sent out."""

    key: str
    instance_id: UInt64
    seq: UInt32
    fleet_size: UInt16
    held: bytes
    placements: list[PrefixPlacement]


@record(86)
class GroupAggregate(Record):
    """A relay's group, to the other relays: whom it covers, their sum, and those told one by one.

    ``lo`` to ``hi``: the resources that this piece tells of, both included.
    ``fleet_size``: the least number that any of them divides by, 0 for none.
    """

    key: str
    instance_id: UInt64
    seq: UInt32
    fleet_size: UInt16
    lo: UInt32
    hi: UInt32
    cover: list[Coverage]
    held: bytes
    singles: list[SoloUpdate]
    placements: list[PrefixPlacement]


@record(87)
class FleetTotal(Record):
    """All that a relay knows, to its followers; ``cover``: which word of each follower is in it.

    ``age``: for how many ms the relay has been out of touch with half of the relays.
    """

    key: str
    instance_id: UInt64
    seq: UInt32
    fleet_size: UInt16
    age: UInt32
    lo: UInt32
    hi: UInt32
    cover: list[Coverage]
    held: bytes
    placements: list[PrefixPlacement]


def short_id(number):
    """A resource's short number.

    >>> short_id(0xAABBCCDD11223344) == 0xAABBCCDD
    True
    """
    return number >> 32


def holder_id(key, instance_id):
    """The number of one instance of a holder.

    >>> holder_id("a:1", 1) != holder_id("a:1", 2)
    True
    """
    return int.from_bytes(blake2b(f"{key}|{instance_id}".encode(), digest_size=8).digest())


def _put(n, out):
    while n > 127:
        out.append(n & 127 | 128)
        n >>= 7
    out.append(n)


def _take(raw, at):
    n = shift = 0
    while True:
        b = raw[at]
        n, at, shift = n | (b & 127) << shift, at + 1, shift + 7
        if b < 128:
            return n, at


def encode_in_flight(held):
    """Bytes for {short number: (calls, tokens, silent, good, bad, blamers)}.

    >>> decode_in_flight(encode_in_flight({7: (2, 33, 0, 0, 0, 0), 9: (1, 0, 1, 5, 2, 1)}))
    {7: (2, 64, 0, 0, 0, 0), 9: (1, 0, 1, 5, 2, 1)}
    >>> len(encode_in_flight({7: (2, 3200, 0, 0, 0, 0)}))
    6
    """
    out = bytearray()
    for k, v in held.items():
        more = any(v[2:])
        out += _SHORT.pack(k)
        _put(v[0] << 1 | more, out)
        _put(-(-v[1] // UNIT), out)
        if more:
            for n in v[2:]:
                _put(n, out)
    return bytes(out)


def decode_in_flight(raw):
    """The opposite of ``encode_in_flight``; raises DecodeError.

    >>> decode_in_flight(b"abc")
    Traceback (most recent call last):
    ...
    sparloom.codec.records.DecodeError: no counts
    """
    out, at, size = {}, 0, len(raw)
    try:
        while at < size:
            (k,) = _SHORT.unpack_from(raw, at)
            n, t = raw[at + 4], raw[at + 5]
            at += 6
            if n > 127 or t > 127:
                n, at = _take(raw, at - 2)
                t, at = _take(raw, at)
            if n & 1:
                rest = []
                for _ in range(4):
                    v, at = _take(raw, at)
                    rest.append(v)
                out[k] = (n >> 1, t * UNIT, *rest)
            else:
                out[k] = (n >> 1, t * UNIT, 0, 0, 0, 0)
    except (struct.error, IndexError) as e:
        raise DecodeError("no counts") from e
    return out


def ranges(shorts, pieces):
    """Cuts the resources into ranges of about as many each, the first from 0, the last to the end.

    >>> ranges([1, 5, 9, 12], 2)
    [(0, 8), (9, 4294967295)]
    >>> ranges([], 1)
    [(0, 4294967295)]
    """
    keys = sorted(shorts)
    cuts = [0] + [keys[len(keys) * i // pieces] for i in range(1, pieces)] + [LAST + 1]
    return [(a, b - 1) for a, b in pairwise(cuts) if a < b]
