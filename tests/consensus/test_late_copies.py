"""A copy of an earlier epoch that arrives after its primary was deposed.

The model checker delivers messages in order unless it pays for each move that
doesn't, so a copy never outlived an epoch: a member that kept one passed it.
"""

import unittest

from simulator.check import Bounds, Scope, Violation, search
from simulator.check.starts import late_copy
from simulator.check.transitions import run_fairly
from sparloom.consensus.message_handlers import handle
from sparloom.consensus.records import Copy

HANDLE_COPY = handle.dispatch(Copy)


def keep_any_copy(message, consensus):
    if not consensus.replica.is_newest_copy(message):
        return []
    aborted = consensus.adopt_epoch(message.view.epoch)
    consensus.primary_contact_at = consensus.now
    return [*aborted, consensus.replica.store_copy(message)]


def found():
    """What goes wrong as the copy arrives and a change is made after it."""
    world = late_copy(Scope())
    try:
        run_fairly(world, 500)
        if world.primary() is not None:
            world.order(world.primary())
        run_fairly(world, 2000)
    except Violation as violation:
        return str(violation)
    return str(search(late_copy(Scope()), Bounds(depth=4, deviations=1, settle_every=0)).found or "")


class LateCopies(unittest.TestCase):
    def test_a_copy_of_an_earlier_epoch_changes_nothing(self):
        self.assertEqual(found(), "")

    def test_a_member_that_keeps_it_is_found(self):
        handle.register(Copy)(keep_any_copy)
        self.addCleanup(lambda: handle.register(Copy)(HANDLE_COPY))
        self.assertTrue(found())


if __name__ == "__main__":
    unittest.main()
