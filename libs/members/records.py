"""The records that members exchange by datagram."""
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


@record(2, seq="I", peer=Peer, news=[Peer])
class Ping:
    """Are you there?"""


@record(3, seq="I", peer=Peer, news=[Peer])
class Ack:
    """Yes, I am; ``peer`` is the one that answers (or for whom it is passed on)."""


@record(4, seq="I", peer=Peer, target="s", news=[Peer])
class Relay:
    """Please ask ``target`` for me."""
