"""When a new holder of the duties may make its first call."""

import unittest
from datetime import timedelta

from sparloom.duties.lease import earliest_action

SECOND = timedelta(seconds=1)
WAIT = 3 * SECOND


class EarliestAction(unittest.TestCase):
    def test_a_node_that_succeeds_another_waits_despite_its_own_earlier_claim(self):
        self.assertEqual(earliest_action("a", "b", 6 * SECOND, 5 * SECOND, WAIT), 8 * SECOND)

    def test_a_node_that_succeeds_itself_continues(self):
        self.assertEqual(earliest_action("a", "a", 6 * SECOND, 7 * SECOND, WAIT), 7 * SECOND)

    def test_a_node_that_succeeds_itself_without_a_record_of_its_claim_waits(self):
        self.assertEqual(earliest_action("a", "a", None, 5 * SECOND, WAIT), 8 * SECOND)


if __name__ == "__main__":
    unittest.main()
