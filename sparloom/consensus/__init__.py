"""Consensus protocol that replicates the control state among the controllers.

A primary replicates the data to its backups; witnesses vote but store no data.
``ConsensusMember`` is the protocol's state machine and performs no I/O: it takes
messages and the time and returns actions. The service in
``sparloom.controller`` executes the actions.
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
