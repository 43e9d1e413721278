"""Who is there: probes in turn, second opinions, suspicion before removal (SWIM)."""

from .records import ALIVE, CONTROLLER, DEAD, ROUTER, SUSPECT, Ack, Compare, Peer, Ping, Relay
from .swim import Send, Swim, Times

__all__ = [
    "ALIVE",
    "CONTROLLER",
    "DEAD",
    "ROUTER",
    "SUSPECT",
    "Ack",
    "Compare",
    "Peer",
    "Ping",
    "Relay",
    "Send",
    "Swim",
    "Times",
]
