"""The control state: a primary, its backups, and witnesses that keep epochs only."""

from .machine import Confirmed, Decided, Ledger, Lost, Save, Send, Spans
from .records import EMPTY, Data, Member, Register, View
from .store import Store

__all__ = [
    "EMPTY",
    "Confirmed",
    "Data",
    "Decided",
    "Ledger",
    "Lost",
    "Member",
    "Register",
    "Save",
    "Send",
    "Spans",
    "Store",
    "View",
]
