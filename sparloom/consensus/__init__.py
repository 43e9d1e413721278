"""The control state: a primary, its backups, and witnesses that keep epochs only."""

from .actions import CONTROLLERS, SEEDS, Aborted, Committed, ConsensusTiming, LeaveCompleted, ReadConfirmed, Save, Send
from .member import ConsensusMember
from .records import EMPTY, Data, Member, Register, View
from .store import Store
from .views import founder_id

__all__ = [
    "CONTROLLERS",
    "EMPTY",
    "SEEDS",
    "Aborted",
    "Committed",
    "ConsensusMember",
    "ConsensusTiming",
    "Data",
    "LeaveCompleted",
    "Member",
    "ReadConfirmed",
    "Register",
    "Save",
    "Send",
    "Store",
    "View",
    "founder_id",
]
