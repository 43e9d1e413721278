"""Who is there: probes in turn, indirect probes, suspicion before removal (SWIM)."""

from .records import (
    ALIVE,
    CONTROLLER,
    DEAD,
    ROUTER,
    SUSPECT,
    Ack,
    Compare,
    Peer,
    PeerState,
    Ping,
    PingRequest,
    Role,
)
from .swim import Send, Swim
from .times import Times

Relay = PingRequest  # The former name, until the services no longer use it.

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
    "Relay",
    "Role",
    "Send",
    "Swim",
    "Times",
]
