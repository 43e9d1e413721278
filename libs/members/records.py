"""The records that members exchange by datagram."""

from hashlib import blake2b

from sparloom.wire import record

ROUTER, CONTROLLER = 0, 1
ALIVE, SUSPECT, DEAD = 0, 1, 2


@record(1, key="s", role="B", zone="s", control="s", life="Q", inc="I", state="B")
class Peer:
    """What is believed of one process; ``key`` is its internal HOST:PORT."""

    def beats(self, o):
        """Whether this belief replaces another about the same process.

        >>> Peer("a:1", 0, "", "", 1, 2, ALIVE).beats(Peer("a:1", 0, "", "", 1, 1, DEAD))
        True
        """
        return (self.inc, self.state) > (o.inc, o.state)

    def mark(self):
        """64 bits for this belief, 0 for one that is dead; beliefs are compared by their sum.

        >>> Peer("a:1", 0, "", "", 1, 2, DEAD).mark(), Peer("a:1", 0, "", "", 1, 2, ALIVE).mark() > 0
        (0, True)
        """
        if self.state == DEAD:
            return 0
        return int.from_bytes(
            blake2b(f"{self.key}|{self.life}|{self.inc}|{self.state}".encode(), digest_size=8).digest()
        )


@record(2, seq="I", peer=Peer, digest="Q", news=[Peer])
class Ping:
    """Are you there?  ``digest``: the sum of the marks of all that the sender believes up."""


@record(3, seq="I", peer=Peer, digest="Q", news=[Peer])
class Ack:
    """Yes, I am; ``peer`` is the one that answers (or for whom it is passed on, digest 0)."""


@record(4, seq="I", peer=Peer, target="s", news=[Peer])
class Relay:
    """Please ask ``target`` for me."""

    digest = 0


@record(5, peer=Peer, digest="Q", part="H", parts="H", marks=["H"])
class Compare:
    """Our beliefs differ: these are the low bits of mine, of the keys that fall in one part of several."""

    news = ()
