"""A copy of an earlier epoch that arrives after its primary was deposed.

Guards against a member that stores such a copy. The model checker's search does
not reach this case by itself: out-of-order delivery counts against its limit of
deviations, so no copy outlives its epoch.
"""

import unittest

from simulator.check import Bounds, Scope, Violation, search
from simulator.check.starts import late_copy
from simulator.check.transitions import run_fairly
from sparloom.consensus.message_handlers import handle
from sparloom.consensus.records import Copy

HANDLE_COPY = handle.dispatch(Copy)


def store_any_copy(message, consensus):
    if not consensus.replica.is_newest_copy(message):
        return []
    aborted = consensus.adopt_epoch(message.view.epoch)
    consensus.primary_contact_at = consensus.now
    return [*aborted, consensus.replica.store_copy(message)]


def find_violation():
    """Returns the violation found when the copy arrives and a change follows, or an empty string."""
    state = late_copy(Scope())
    try:
        run_fairly(state, 500)
        if state.primary() is not None:
            state.order(state.primary())
        run_fairly(state, 2000)
    except Violation as violation:
        return str(violation)
    return str(search(late_copy(Scope()), Bounds(depth=4, deviations=1, settle_every=0)).found or "")


class LateCopies(unittest.TestCase):
    def test_copy_of_an_earlier_epoch_is_ignored(self):
        self.assertEqual(find_violation(), "")

    def test_member_that_stores_a_late_copy_is_detected(self):
        handle.register(Copy)(store_any_copy)
        self.addCleanup(lambda: handle.register(Copy)(HANDLE_COPY))
        self.assertTrue(find_violation())


if __name__ == "__main__":
    unittest.main()
