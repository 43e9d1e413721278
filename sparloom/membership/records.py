"""The records that members exchange by datagram."""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

from sparloom.codec import Record, UInt8, UInt16, UInt32, UInt64, record


class Role(IntEnum):
    """What a process does; a number on the wire."""

    ROUTER = 0
    CONTROLLER = 1


class PeerState(IntEnum):
    """Whether a process is believed up; of equal incarnations the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


ROUTER, CONTROLLER = Role
ALIVE, SUSPECT, DEAD = PeerState


@record(1)
class Peer(Record):
    """What is believed of one process.

    ``key`` is its internal HOST:PORT, ``instance_id`` tells its restarts apart, and
    ``incarnation`` is raised by the process itself to refute a suspicion.
    """

    key: str
    role: UInt8
    zone: str
    control: str
    instance_id: UInt64
    incarnation: UInt32
    state: UInt8

    def overrides(self, other):
        """Whether this belief replaces another about the same process.

        >>> Peer("a:1", ROUTER, "", "", 1, 2, ALIVE).overrides(Peer("a:1", ROUTER, "", "", 1, 1, DEAD))
        True
        """
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def mark(self):
        """64 bits for this belief, 0 for one that is dead; beliefs are compared by their sum.

        >>> Peer("a:1", ROUTER, "", "", 1, 2, DEAD).mark(), Peer("a:1", ROUTER, "", "", 1, 2, ALIVE).mark() > 0
        (0, True)
        """
        if self.state == DEAD:
            return 0
        belief = f"{self.key}|{self.instance_id}|{self.incarnation}|{self.state}"
        return int.from_bytes(blake2b(belief.encode(), digest_size=8).digest())


@record(2)
class Ping(Record):
    """A probe: are you there?  ``digest``: the marks, summed by exclusive or, of all that the sender believes up."""

    sequence: UInt32
    peer: Peer
    digest: UInt64
    updates: list[Peer]


@record(3)
class Ack(Record):
    """The answer to a probe; ``peer`` is the one that answers (or for whom it is passed on, digest 0)."""

    sequence: UInt32
    peer: Peer
    digest: UInt64
    updates: list[Peer]


@record(4)
class PingRequest(Record):
    """A request for an indirect probe: please ask ``target`` for me."""

    sequence: UInt32
    peer: Peer
    target: str
    updates: list[Peer]

    digest = 0


@record(5)
class TableComparison(Record):
    """Our beliefs differ: these are the low bits of my marks, for the keys that fall in one part of several."""

    peer: Peer
    digest: UInt64
    partition: UInt16
    partitions: UInt16
    marks: list[UInt16]

    updates = ()
