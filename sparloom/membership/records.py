"""The records that members exchange by datagram."""

from enum import IntEnum
from hashlib import blake2b

from sparloom.codec import record


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


@record(1, key="s", role="B", zone="s", control="s", life="Q", incarnation="I", state="B")
class Peer:
    """What is believed of one process.

    ``key`` is its internal HOST:PORT, ``life`` tells its restarts apart, and
    ``incarnation`` is raised by the process itself to refute a suspicion.
    """

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
        belief = f"{self.key}|{self.life}|{self.incarnation}|{self.state}"
        return int.from_bytes(blake2b(belief.encode(), digest_size=8).digest())


@record(2, sequence="I", peer=Peer, digest="Q", news=[Peer])
class Ping:
    """A probe: are you there?  ``digest``: the marks, summed by exclusive or, of all that the sender believes up."""


@record(3, sequence="I", peer=Peer, digest="Q", news=[Peer])
class Ack:
    """The answer to a probe; ``peer`` is the one that answers (or for whom it is passed on, digest 0)."""


@record(4, sequence="I", peer=Peer, target="s", news=[Peer])
class PingRequest:
    """A request for an indirect probe: please ask ``target`` for me."""

    digest = 0


@record(5, peer=Peer, digest="Q", part="H", parts="H", marks=["H"])
class Compare:
    """Our beliefs differ: these are the low bits of my marks, for the keys that fall in one part of several."""

    news = ()
