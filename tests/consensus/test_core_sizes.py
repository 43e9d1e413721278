"""Groups of one to nine members: the roster grows to all members and survives the tolerated losses repeatedly."""

import unittest
from itertools import combinations

from simulator.core import Core

NAMES = "abcdefghi"
# Time in milliseconds for restarted members to get copies and votes again.
CATCH_UP_MS = 4000


class GroupSizes(unittest.TestCase):
    def start_core(self, size, replicas, seed=1):
        names = NAMES[:size]
        core = Core(names, replicas=replicas, seed=seed, seeds=names[:3])
        core.run(6000)
        self.assertEqual(core.voters(), set(names))
        self.assertTrue(core.nodes[core.leader()][0].leadership.complete())
        self.assertEqual(len(core.holders()), min(replicas, size - 1) + 1)
        self.assertTrue(core.write(5))
        return core

    def fail_and_restart(self, core, failed, fault):
        """Fails several machines at once, checks that the others serve, and restarts the failed machines."""
        for name in failed:
            getattr(core, fault)(name)
        core.run(3500)
        self.assertIsNotNone(core.leader(), f"without {sorted(failed)}")
        self.assertGreaterEqual(core.nodes[core.leader()][0].committed_data.revision, 5)
        for name in failed:
            core.boot(name)
        core.run(CATCH_UP_MS)
        # An even roster drops a dead voter, as it tolerates as many losses without it.
        self.assertEqual((len(core.voters()) - 1) // 2, (len(core.names) - 1) // 2)
        self.assertEqual(core.voters() & core.off, set())

    def test_tolerated_losses_of_each_size(self):
        for size, tolerated in ((1, 0), (2, 0), (3, 1), (4, 1), (5, 2), (6, 2), (7, 3), (9, 4)):
            with self.subTest(size=size):
                core = self.start_core(size, tolerated)
                if tolerated:
                    self.fail_and_restart(core, {core.leader(), *sorted(core.voters())[: tolerated - 1]}, "wipe")
                    self.fail_and_restart(core, sorted(core.voters())[-tolerated:], "kill")
                self.assertTrue(core.write(7) or core.run(1500) or core.write(8))

    def test_total_power_loss_with_the_tolerated_number_of_lost_disks(self):
        for size, tolerated in ((3, 1), (5, 2)):
            for wiped in combinations(NAMES[:size], tolerated):
                with self.subTest(wiped=wiped):
                    core = self.start_core(size, tolerated)
                    for name in core.names:
                        (core.wipe if name in wiped else core.kill)(name)
                    core.run(300)
                    for name in core.names:
                        core.boot(name)
                    core.run(3500)
                    self.assertIsNotNone(core.leader())
                    self.assertEqual(core.nodes[core.leader()][0].committed_data.revision, 5)
                    core.run(CATCH_UP_MS)
                    self.assertEqual(core.voters(), set(core.names), "the new members have the seats of the wiped ones")
                    self.assertEqual(
                        {member.id for member in core.view().roster}, {core.members[name].id for name in core.names}
                    )

    def test_loss_of_each_of_three_zones(self):
        """Six machines in three zones of two; the loss of a zone never removes both copies."""
        zones = dict(zip("abcdef", "xxyyzz", strict=True))
        for seed in range(3):
            core = Core("abcdef", replicas=1, seed=seed, seeds="ace", zones=zones)
            core.run(6000)
            self.assertTrue(core.write(5))
            for turn, zone in enumerate("xyzx"):
                failed = [name for name in core.names if zones[name] == zone]
                self.assertEqual(len({zones[name] for name in core.holders()}), 2)
                for name in failed:
                    core.kill(name)
                core.run(3500)
                self.assertIsNotNone(core.leader(), (seed, zone))
                self.assertTrue(core.write(6 + 2 * turn) or core.run(1500) or core.write(7 + 2 * turn))
                for name in failed:
                    core.boot(name)
                core.run(CATCH_UP_MS)


if __name__ == "__main__":
    unittest.main()
