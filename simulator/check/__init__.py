"""A model checker for the ledger machine: every order of events within a small scope, and long seeded walks.

``adapter`` knows the machine's names, ``copying`` copies and compares states, ``world`` holds members, disks and
links, ``moves`` lists what may happen next, ``history`` holds the invariants, ``settle`` what must come back once
troubles end, ``search`` explores, ``show`` prints a counterexample. Nothing here does I/O except ``show``'s caller.
"""

from .history import Violation
from .model_state import Scope, World
from .search import Bounds, Report, search, walk
from .show import timeline

__all__ = ["Bounds", "Report", "Scope", "Violation", "World", "search", "timeline", "walk"]
