"""Recovery time until a primary serves after a total power loss."""

import random
import unittest

from simulator.core import Core


class TotalPowerLoss(unittest.TestCase):
    def test_time_to_a_primary_after_total_power_loss(self):
        """Members start at different times, so the first pre-vote reaches some that don't listen yet."""
        recovery_times_ms = []
        for seed in range(12):
            core = Core("abcde", replicas=2, seed=seed, seeds="abc", loss=0.0)
            core.run(6000)
            self.assertTrue(core.write(5))
            for name in core.names:
                core.kill(name)
            core.run(300)
            recovery_times_ms.append(self.milliseconds_to_primary(core, random.Random(seed)))
        self.assertLessEqual(sum(recovery_times_ms) / len(recovery_times_ms), 250)
        self.assertLessEqual(max(recovery_times_ms), 450)

    @staticmethod
    def milliseconds_to_primary(core, rng):
        """Starts all members within 450 ms; returns the milliseconds from a majority's start to the first primary."""
        start_times = sorted((rng.randrange(450), name) for name in core.names)
        elapsed_ms = 0
        for start_ms, name in start_times:
            core.run(start_ms - elapsed_ms)
            core.boot(name)
            elapsed_ms = start_ms
        waited_ms = 0
        while core.leader() is None and waited_ms < 3000:
            core.run(10)
            waited_ms += 10
        return elapsed_ms + waited_ms - start_times[len(start_times) // 2][0]
