"""Who is there: probes in turn, indirect probes, suspicion before removal (SWIM)."""

from .records import ALIVE, CONTROLLER, DEAD, ROUTER, SUSPECT, Ack, Compare, Peer, PeerState, Ping, PingRequest, Role
from .swim import Send, Swim
from .timing import Times

__all__ = [
    "ALIVE",
    "CONTROLLER",
    "DEAD",
    "ROUTER",
    "SUSPECT",
    "Ack",
    "Compare",
    "Peer",
    "PeerState",
    "Ping",
    "PingRequest",
    "Role",
    "Send",
    "Swim",
    "Times",
]
