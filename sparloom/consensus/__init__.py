"""The control state: a primary, its backups, and witnesses that keep epochs only."""

from .actions import CONTROLLERS, SEEDS, Confirmed, Decided, Left, Lost, Save, Send, Spans
from .member import Ledger
from .records import EMPTY, Data, Member, Register, View
from .store import Store
from .views import founder_id

__all__ = [
    "CONTROLLERS",
    "EMPTY",
    "SEEDS",
    "Confirmed",
    "Data",
    "Decided",
    "Ledger",
    "Left",
    "Lost",
    "Member",
    "Register",
    "Save",
    "Send",
    "Spans",
    "Store",
    "View",
    "founder_id",
]
