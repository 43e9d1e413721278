"""How soon there is a primary again after a loss of all power."""

import random
import unittest

from simulator.core import Core


class PowerLost(unittest.TestCase):
    def test_a_primary_is_soon_up_again_after_all_power_was_lost(self):
        """Members come up one after another; the first pre-vote finds some that don't listen yet."""
        recovery_times = []
        for seed in range(12):
            core = Core("abcde", replicas=2, seed=seed, seeds="abc", loss=0.0)
            core.run(6000)
            self.assertTrue(core.write(5))
            for name in core.names:
                core.kill(name)
            core.run(300)
            recovery_times.append(self.time_to_lead_again(core, random.Random(seed)))
        self.assertLessEqual(sum(recovery_times) / len(recovery_times), 250)
        self.assertLessEqual(max(recovery_times), 450)

    @staticmethod
    def time_to_lead_again(core, rng):
        """Boots all members within 450 ms; returns the milliseconds from a majority's start until one leads."""
        starts = sorted((rng.randrange(450), name) for name in core.names)
        started = 0
        for start, name in starts:
            core.run(start - started)
            core.boot(name)
            started = start
        waited = 0
        while core.leader() is None and waited < 3000:
            core.run(10)
            waited += 10
        return started + waited - starts[len(starts) // 2][0]
