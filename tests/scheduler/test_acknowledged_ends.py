"""Regression: the acknowledgement of an end was lost if the hold call that carried it failed.

The end counted as acknowledged when the call was sent. If the call failed and the runner had no active runs, no further
call was made (none in 10 s), so the runner continued to list the end, also to the next primary.
"""

from sparloom.scheduler.events import HoldAnswered, HoldFailed, HoldFailure, HoldRunner
from tests.scheduler.test_scheduler import SchedulerCase


class AcknowledgedEnds(SchedulerCase):
    def holds(self, ticks=50):
        return [request for _ in range(ticks) for request in self.tick() if isinstance(request, HoldRunner)]

    def test_acknowledgement_is_repeated_after_a_failed_call(self):
        self.add_job()
        self.connect("i-1")
        self.answer_start()
        self.list_end()
        self.store_changes()
        (first,) = self.holds()
        self.handle(HoldFailed("i-1", HoldFailure.NO_ANSWER))
        second, *_ = [*self.holds(), None]
        self.assertEqual([hold and hold.last_seen for hold in (first, second)], [1, 1])
        self.handle(HoldAnswered("i-1", self.now * 1000, (), ()))
        self.assertEqual(self.holds(200), [])

    def test_replaced_runner_gets_no_more_calls(self):
        self.add_job()
        self.connect("i-1")
        self.answer_start()
        self.list_end()
        self.store_changes()
        self.assertEqual(len(self.holds()), 1)
        self.handle(HoldFailed("i-1", HoldFailure.REPLACED))
        self.assertEqual(self.holds(500), [])
