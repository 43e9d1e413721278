"""Who is there: probes in turn, indirect probes, suspicion before removal (SWIM)."""

from .records import (
    ALIVE,
    CONTROLLER,
    DEAD,
    ROUTER,
    SUSPECT,
    Ack,
    Peer,
    PeerState,
    Ping,
    PingRequest,
    Role,
    TableComparison,
)
from .swim import Send, Swim
from .timing import SwimTiming

__all__ = [
    "ALIVE",
    "CONTROLLER",
    "DEAD",
    "ROUTER",
    "SUSPECT",
    "Ack",
    "Peer",
    "PeerState",
    "Ping",
    "PingRequest",
    "Role",
    "Send",
    "Swim",
    "SwimTiming",
    "TableComparison",
]
