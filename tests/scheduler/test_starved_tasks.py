"""Regression: tasks were never started, or late, though runners with room for them answered.

Runners stand in buckets by free processor, and the first 24 of a bucket were looked at. Runners that get
no starts (they fail all that they run, or lack memory) stay in front of their bucket, since only a start or an
end moves a runner: behind 24 of them nothing was found any more.
"""

import json

from tests.scheduler.test_scheduler import MachineCase


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
