"""Regression: tasks were never started, or late, though runners with room for them answered.

Runners stand in buckets by free processor, and the first 24 of a bucket were looked at. Runners that get
no starts (they fail all that they run, or lack memory) stay in front of their bucket, since only a start or an
end moves a runner: behind 24 of them nothing was found any more. And a step that waited held back all later
ones of its service for 6.5 s of each 8 s, also where what it waited for was leaving, or where the service was
nearly empty and it waited for no room at all. And a runner whose calls had failed for a while got no start for up
to 8 s after it answered again.
"""

import json

from sparloom.scheduler.events import HoldAnswered, HoldFailed, HoldFailure, HoldRunner, RunnersListed, StopAnswered
from tests.scheduler.test_scheduler import TASK, MachineCase, listing


class Buckets(MachineCase):
    def test_a_sound_runner_behind_many_avoided_ones_of_its_bucket_is_found(self):
        ids = [f"i-{n}" for n in range(40)]
        self.contact(*ids)
        for id in ids[:39]:
            self.scheduler.runners[id].avoid(self.now + 1000)
        self.add()
        self.assertEqual([runner for runner, _, _ in self.starts(self.tick())], [ids[39]])

    def test_a_runner_with_memory_behind_many_without_is_found(self):
        self.contact(*(f"i-{n}" for n in range(30)), "i-30")
        # 30 runners keep all their processor, and no memory.
        self.add(json.dumps({"steps": [{"replicaCount": 30, "memoryRequestMb": 7000}]}).encode())
        self.assertEqual(len(self.starts(self.tick())), 30)
        self.add(json.dumps({"steps": [{"replicaCount": 1, "memoryRequestMb": 7000}]}).encode(), id=2)
        self.assertEqual(len(self.starts(self.tick())), 1)


class HeldBack(MachineCase):
    def small_job_behind(self, waits, cpu=1000):
        """A step that can't be started, then a small job two seconds later; what is started then."""
        self.add(json.dumps({"steps": [waits]}).encode())
        self.tick()
        self.tick(2.0)
        self.add(json.dumps({"steps": [{"replicaCount": 1, "cpu": cpu}]}).encode(), id=2)
        return [task[:16] for _, task, _ in self.starts(self.tick())]

    def test_what_waits_for_a_leaving_runner_holds_nothing_back(self):
        self.contact("i-1", "i-2")
        large = listing("i-3", draining=True, cpu=16000)
        self.tell(RunnersListed((listing("i-1"), listing("i-2"), large)))
        self.tick()
        self.tell(HoldAnswered("i-3", self.now * 1000, (), ()))
        self.assertEqual(self.small_job_behind({"replicaCount": 1, "cpu": 9000}), ["0000000000000002"])

    def test_what_waits_beside_a_nearly_empty_service_holds_nothing_back(self):
        self.contact(*(f"i-{n}" for n in range(8)))
        self.scheduler.runners["i-0"].avoid(self.now + 1000)
        only_there = {"replicaCount": 9, "cpu": 100, "antiAffinity": 1}
        self.assertEqual(self.small_job_behind(only_there), ["0000000000000002"])

    def test_a_service_that_is_half_empty_makes_nobody_wait_for_long(self):
        self.contact(*(f"i-{n}" for n in range(10)))
        self.add(json.dumps({"steps": [{"replicaCount": 8, "cpu": 2000, "antiAffinity": 1}]}).encode(), id=3)
        self.assertEqual(len(self.starts(self.tick())), 8)
        self.assertEqual(self.small_job_behind({"replicaCount": 5, "cpu": 4000, "gangScheduled": True}), [])
        later = [start for _ in range(110) for start in self.starts(self.tick())]
        self.assertEqual([task[:16] for _, task, _ in later], ["0000000000000002"])


class Answering(MachineCase):
    def test_a_runner_gets_starts_again_as_soon_as_it_answers(self):
        self.contact("i-1")
        self.add()
        self.started()
        for _ in range(300):
            for order in self.tick():
                if isinstance(order, HoldRunner):
                    self.tell(HoldFailed(order.runner, HoldFailure.NO_ANSWER))
        again = [order for _ in range(100) for order in self.tick() if isinstance(order, HoldRunner)]
        self.assertTrue(again)
        out = self.tell(HoldAnswered("i-1", self.now * 1000, (), ()))
        # The start that was left without an answer must never be carried out from now on.
        self.assertEqual(self.starts(out), [])
        out += self.tell(StopAnswered("i-1", TASK, 1, confirmed=True))
        out += [order for _ in range(10) for order in self.tick()]
        self.assertEqual([task for _, task, _ in self.starts(out)][:1], [TASK])
