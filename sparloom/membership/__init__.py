"""Group membership and failure detection (SWIM): probes, indirect probes, and a suspicion time-out before removal."""

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
    SwimMessage,
    TableComparison,
)
from .swim import Send, Swim
from .timing import SwimTiming, report_interval

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
    "SwimMessage",
    "SwimTiming",
    "TableComparison",
    "report_interval",
]
