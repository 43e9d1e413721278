"""Groups of every size: the first roster grows to all members, and the tolerated losses are survived repeatedly."""

import unittest
from itertools import combinations

from simulator.core import Core

NAMES = "abcdefghi"
# Milliseconds until members that came back have copies and votes again.
CATCH_UP = 4000


class Sizes(unittest.TestCase):
    def core(self, size, replicas, seed=1):
        names = NAMES[:size]
        core = Core(names, replicas=replicas, seed=seed, seeds=names[:3])
        core.run(6000)
        self.assertEqual(core.voters(), set(names))
        self.assertTrue(core.nodes[core.leader()][0].leadership.complete())
        self.assertEqual(len(core.holders()), min(replicas, size - 1) + 1)
        self.assertTrue(core.write(5))
        return core

    def lose(self, core, lost, fault):
        """Some machines at once; they start again later."""
        for name in lost:
            getattr(core, fault)(name)
        core.run(3500)
        self.assertIsNotNone(core.leader(), f"without {sorted(lost)}")
        self.assertGreaterEqual(core.nodes[core.leader()][0].decided.revision, 5)
        for name in lost:
            core.boot(name)
        core.run(CATCH_UP)
        # An even roster drops a dead member: it tolerates as many losses with one voter fewer.
        self.assertEqual((len(core.voters()) - 1) // 2, (len(core.names) - 1) // 2)
        self.assertEqual(core.voters() & core.off, set())

    def test_sizes_and_their_tolerated_losses(self):
        for size, tolerated in ((1, 0), (2, 0), (3, 1), (4, 1), (5, 2), (6, 2), (7, 3), (9, 4)):
            with self.subTest(size=size):
                core = self.core(size, tolerated)
                if tolerated:
                    self.lose(core, {core.leader(), *sorted(core.voters())[: tolerated - 1]}, "wipe")
                    self.lose(core, sorted(core.voters())[-tolerated:], "kill")
                self.assertTrue(core.write(7) or core.run(1500) or core.write(8))

    def test_all_lose_power_and_the_tolerated_number_their_disks(self):
        for size, tolerated in ((3, 1), (5, 2)):
            for wiped in combinations(NAMES[:size], tolerated):
                with self.subTest(wiped=wiped):
                    core = self.core(size, tolerated)
                    for name in core.names:
                        (core.wipe if name in wiped else core.kill)(name)
                    core.run(300)
                    for name in core.names:
                        core.boot(name)
                    core.run(3500)
                    self.assertIsNotNone(core.leader())
                    self.assertEqual(core.nodes[core.leader()][0].decided.revision, 5)
                    core.run(CATCH_UP)
                    self.assertEqual(core.voters(), set(core.names), "the new members have taken the wiped seats")
                    self.assertEqual(
                        {member.id for member in core.view().roster}, {core.members[name].id for name in core.names}
                    )

    def test_a_zone_of_two_in_three_zones(self):
        """Six machines, two a zone; a lost zone never takes both copies."""
        zones = dict(zip("abcdef", "xxyyzz", strict=True))
        for seed in range(3):
            core = Core("abcdef", replicas=1, seed=seed, seeds="ace", zones=zones)
            core.run(6000)
            self.assertTrue(core.write(5))
            for turn, zone in enumerate("xyzx"):
                lost = [name for name in core.names if zones[name] == zone]
                self.assertEqual(len({zones[name] for name in core.holders()}), 2)
                for name in lost:
                    core.kill(name)
                core.run(3500)
                self.assertIsNotNone(core.leader(), (seed, zone))
                self.assertTrue(core.write(6 + 2 * turn) or core.run(1500) or core.write(7 + 2 * turn))
                for name in lost:
                    core.boot(name)
                core.run(CATCH_UP)


if __name__ == "__main__":
    unittest.main()
