"""Consensus of the controllers on the control state.

A primary replicates the data to its backups; witnesses vote but keep no data.
``ConsensusMember`` holds the decisions, without I/O: messages and time in,
actions out. The service in ``sparloom.controller`` carries the actions out.
"""

from .actions import (
    CONTROLLERS,
    SEEDS,
    Aborted,
    Action,
    Committed,
    ConsensusTiming,
    Destination,
    LeaveCompleted,
    ReadConfirmed,
    Save,
    Send,
)
from .member import ConsensusMember
from .records import EMPTY, Data, Member, Message, Register, View
from .store import Store
from .views import founder_id

__all__ = [
    "CONTROLLERS",
    "EMPTY",
    "SEEDS",
    "Aborted",
    "Action",
    "Committed",
    "ConsensusMember",
    "ConsensusTiming",
    "Data",
    "Destination",
    "LeaveCompleted",
    "Member",
    "Message",
    "ReadConfirmed",
    "Register",
    "Save",
    "Send",
    "Store",
    "View",
    "founder_id",
]
