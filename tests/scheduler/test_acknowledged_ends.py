"""Regression: a runner was never told that an end had been taken note of, so it went on listing it.

The number of the end counted as acknowledged when the call that carried it was made. Where that call failed and
nothing else ran there, no further call was made (none in 10 s), and the next primary was told the end again.
"""

from sparloom.scheduler.events import HoldAnswered, HoldFailed, HoldFailure, HoldRunner
from tests.scheduler.test_scheduler import MachineCase


class AcknowledgedEnds(MachineCase):
    def holds(self, ticks=50):
        return [order for _ in range(ticks) for order in self.tick() if isinstance(order, HoldRunner)]

    def test_an_end_is_acknowledged_again_after_a_call_that_failed(self):
        self.add()
        self.contact("i-1")
        self.started()
        self.ended()
        self.store()
        (first,) = self.holds()
        self.tell(HoldFailed("i-1", HoldFailure.NO_ANSWER))
        second, *_ = [*self.holds(), None]
        self.assertEqual([hold and hold.last_seen for hold in (first, second)], [1, 1])
        self.tell(HoldAnswered("i-1", self.now * 1000, (), ()))
        self.assertEqual(self.holds(200), [])

    def test_a_runner_that_was_replaced_is_not_called_any_more(self):
        self.add()
        self.contact("i-1")
        self.started()
        self.ended()
        self.store()
        self.assertEqual(len(self.holds()), 1)
        self.tell(HoldFailed("i-1", HoldFailure.REPLACED))
        self.assertEqual(self.holds(500), [])
