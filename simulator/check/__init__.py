"""Model checker for the consensus state machine: searches within a small scope, and long seeded random walks.

``model_state`` has the members, disks and links. ``transitions`` lists the possible next events. ``history`` has the
safety invariants, ``durable`` the check that a member sends only what is on its disk, and ``recovery`` the liveness
checks once all faults have ended. ``starts`` builds the initial states, ``search`` explores them, ``shrink`` shortens a
counterexample and ``show`` formats it. ``copying`` copies and compares states, and ``adapter`` is the only module that
uses the state machine's internal names. ``duties`` is a separate model of the duties. Only ``command`` does I/O.
"""

from .history import Violation
from .model_state import ModelState, Scope
from .search import Bounds, Report, search, walk
from .show import timeline

__all__ = ["Bounds", "Report", "Scope", "Violation", "ModelState", "search", "timeline", "walk"]
