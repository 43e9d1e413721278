"""From when on a new holder of the duties may act."""

import unittest
from datetime import timedelta

from sparloom.duties.lease import first_act

SECOND = timedelta(seconds=1)
WAIT = 3 * SECOND


class FirstAct(unittest.TestCase):
    def test_a_node_that_follows_another_waits_whatever_it_was_allowed_before(self):
        self.assertEqual(first_act("a", "b", 6 * SECOND, 5 * SECOND, WAIT), 8 * SECOND)

    def test_a_node_that_follows_itself_goes_on(self):
        self.assertEqual(first_act("a", "a", 6 * SECOND, 7 * SECOND, WAIT), 7 * SECOND)

    def test_a_node_that_follows_itself_and_does_not_know_what_it_was_allowed_waits(self):
        self.assertEqual(first_act("a", "a", None, 5 * SECOND, WAIT), 8 * SECOND)


if __name__ == "__main__":
    unittest.main()
