"""The records of the SWIM protocol: ``Peer``, and the messages that members exchange by datagram."""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

from sparloom.codec import Record, UInt8, UInt16, UInt32, UInt64, record


class Role(IntEnum):
    """Which program a process runs; a number on the wire."""

    ROUTER = 0
    CONTROLLER = 1


class PeerState(IntEnum):
    """The state of a member; at equal incarnations the higher state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


ROUTER, CONTROLLER = Role
ALIVE, SUSPECT, DEAD = PeerState


@record(1)
class Peer(Record):
    """One process in the membership table.

    Attributes:
        key: Its internal HOST:PORT.
        role: A ``Role``.
        zone: Its failure domain.
        control: The control address of a controller; empty for a router.
        instance_id: Random for each run of the process, so that a restart is detected.
        incarnation: Raised by the process itself to refute a suspicion.
        state: A ``PeerState``.
    """

    key: str
    role: UInt8
    zone: str
    control: str
    instance_id: UInt64
    incarnation: UInt32
    state: UInt8

    def overrides(self, other: Peer) -> bool:
        """Whether this record replaces another record of the same process.

        >>> Peer("a:1", ROUTER, "", "", 1, 2, ALIVE).overrides(Peer("a:1", ROUTER, "", "", 1, 1, DEAD))
        True
        """
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def with_state(self, state: int, incarnation: int | None = None) -> Peer:
        """A copy with another state, and with another incarnation if one is given.

        >>> Peer("a:1", ROUTER, "", "", 1, 2, ALIVE).with_state(DEAD, 3).state
        <PeerState.DEAD: 2>
        """
        new_incarnation = self.incarnation if incarnation is None else incarnation
        return Peer(self.key, self.role, self.zone, self.control, self.instance_id, new_incarnation, state)

    def state_hash(self) -> int:
        """A 64-bit hash of this record, 0 for a dead process; the XOR of all hashes is the digest of a table.

        >>> dead, alive = (Peer("a:1", ROUTER, "", "", 1, 2, state) for state in (DEAD, ALIVE))
        >>> dead.state_hash(), alive.state_hash() > 0
        (0, True)
        """
        if self.state == DEAD:
            return 0
        identity = f"{self.key}|{self.instance_id}|{self.incarnation}|{self.state}"
        return int.from_bytes(blake2b(identity.encode(), digest_size=8).digest())


@record(2)
class Ping(Record):
    """A probe; ``digest`` is the XOR of the state hashes of all members that the sender considers alive."""

    sequence: UInt32
    peer: Peer
    digest: UInt64
    updates: list[Peer]


@record(3)
class Ack(Record):
    """The answer to a probe; ``peer`` is the sender, or the target of an indirect probe (then the digest is 0)."""

    sequence: UInt32
    peer: Peer
    digest: UInt64
    updates: list[Peer]


@record(4)
class PingRequest(Record):
    """A request to probe ``target`` on behalf of the sender (indirect probe)."""

    sequence: UInt32
    peer: Peer
    target: str
    updates: list[Peer]

    digest = 0


@record(5)
class TableComparison(Record):
    """The low bits of the sender's state hashes for the keys of one partition, sent when digests differ."""

    peer: Peer
    digest: UInt64
    partition: UInt16
    partitions: UInt16
    state_hashes: list[UInt16]

    updates = ()


SwimMessage = Ping | Ack | PingRequest | TableComparison
