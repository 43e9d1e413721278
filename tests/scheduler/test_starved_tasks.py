"""Regression: tasks were started late or never, although runners with free capacity answered.

There were three causes:

- Only the first 24 runners of a bucket were examined. Runners that get no starts, because they fail all runs or lack
  memory, stay at the front of their bucket, since only a start or an end moves a runner. With 24 of them, no other
  runner of the bucket was found.
- A waiting step blocked all later ones of its service for 6.5 s of each 8 s, even if the runner it waited for was
  leaving, or if the service was nearly idle and the step did not wait for capacity.
- A runner whose calls had failed for a while got no starts for up to 8 s after it answered again.
"""

import json

from sparloom.scheduler.events import HoldAnswered, HoldFailed, HoldFailure, HoldRunner, RunnersListed, StopAnswered
from tests.scheduler.test_scheduler import TASK, SchedulerCase, listing


class Buckets(SchedulerCase):
    def test_healthy_runner_behind_many_avoided_ones_is_found(self):
        ids = [f"i-{number}" for number in range(40)]
        self.connect(*ids)
        for id in ids[:39]:
            self.scheduler.runners[id].avoid(self.now + 1000)
        self.add_job()
        self.assertEqual([runner for runner, _, _ in self.start_requests(self.tick())], [ids[39]])

    def test_runner_with_free_memory_behind_many_without_is_found(self):
        self.connect(*(f"i-{number}" for number in range(30)), "i-30")
        # After this, 30 runners have all their CPU free but no memory.
        self.add_job(json.dumps({"steps": [{"replicaCount": 30, "memoryRequestMb": 7000}]}).encode())
        self.assertEqual(len(self.start_requests(self.tick())), 30)
        self.add_job(json.dumps({"steps": [{"replicaCount": 1, "memoryRequestMb": 7000}]}).encode(), id=2)
        self.assertEqual(len(self.start_requests(self.tick())), 1)


class Blocking(SchedulerCase):
    def start_small_job_after(self, waits, cpu=1000):
        """Add a step that can't start, and a small job two seconds later; return the ids of the jobs started then."""
        self.add_job(json.dumps({"steps": [waits]}).encode())
        self.tick()
        self.tick(2.0)
        self.add_job(json.dumps({"steps": [{"replicaCount": 1, "cpu": cpu}]}).encode(), id=2)
        return [task[:16] for _, task, _ in self.start_requests(self.tick())]

    def test_step_waiting_for_a_draining_runner_does_not_block(self):
        self.connect("i-1", "i-2")
        large = listing("i-3", draining=True, cpu=16000)
        self.handle(RunnersListed((listing("i-1"), listing("i-2"), large)))
        self.tick()
        self.handle(HoldAnswered("i-3", self.now * 1000, (), ()))
        self.assertEqual(self.start_small_job_after({"replicaCount": 1, "cpu": 9000}), ["0000000000000002"])

    def test_step_waiting_in_an_idle_service_does_not_block(self):
        self.connect(*(f"i-{number}" for number in range(8)))
        self.scheduler.runners["i-0"].avoid(self.now + 1000)
        only_there = {"replicaCount": 9, "cpu": 100, "antiAffinity": 1}
        self.assertEqual(self.start_small_job_after(only_there), ["0000000000000002"])

    def test_blocking_is_short_at_low_utilization(self):
        self.connect(*(f"i-{number}" for number in range(10)))
        self.add_job(json.dumps({"steps": [{"replicaCount": 8, "cpu": 2000, "antiAffinity": 1}]}).encode(), id=3)
        self.assertEqual(len(self.start_requests(self.tick())), 8)
        self.assertEqual(self.start_small_job_after({"replicaCount": 5, "cpu": 4000, "gangScheduled": True}), [])
        later = [start for _ in range(110) for start in self.start_requests(self.tick())]
        self.assertEqual([task[:16] for _, task, _ in later], ["0000000000000002"])


class ResponsiveRunner(SchedulerCase):
    def test_runner_gets_starts_as_soon_as_it_answers_again(self):
        self.connect("i-1")
        self.add_job()
        self.answer_start()
        for _ in range(300):
            for request in self.tick():
                if isinstance(request, HoldRunner):
                    self.handle(HoldFailed(request.runner, HoldFailure.NO_ANSWER))
        again = [request for _ in range(100) for request in self.tick() if isinstance(request, HoldRunner)]
        self.assertTrue(again)
        instructions = self.handle(HoldAnswered("i-1", self.now * 1000, (), ()))
        # The unanswered start must never be carried out from now on.
        self.assertEqual(self.start_requests(instructions), [])
        instructions += self.handle(StopAnswered("i-1", TASK, 1, confirmed=True))
        instructions += [request for _ in range(10) for request in self.tick()]
        self.assertEqual([task for _, task, _ in self.start_requests(instructions)][:1], [TASK])
