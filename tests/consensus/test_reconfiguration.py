"""Replacement and planned leaves of members, and a tolerated loss right after them."""

import unittest

from simulator.core import Core

# Milliseconds after a machine's return, or its successor's start, until which it counts as lost.
CATCH_UP = 4000


class Case(unittest.TestCase):
    def core(self, seed, names="abc", replicas=1):
        core = Core(names, replicas=replicas, seed=seed)
        core.run(2500 if len(names) == 3 else 5000)
        self.assertTrue(core.write(5), seed)
        return core

    def assert_serves(self, core, seed, within=4000, has=5, revision=7):
        """A primary is there within a bound, has what was acknowledged, and takes a write."""
        end = core.now.total_seconds() * 1000 + within
        while core.leader() is None and core.now.total_seconds() * 1000 < end:
            core.run(50)
        self.assertIsNotNone(core.leader(), f"seed {seed}: a primary")
        self.assertGreaterEqual(core.nodes[core.leader()][0].decided.revision, has, f"seed {seed}")
        # The first may be lost while a backup that was just lost is replaced.
        self.assertTrue(core.write(revision) or core.run(1500) or core.write(revision + 1), f"seed {seed}: a write")

    def assert_complete(self, core, names, seed):
        """The roster, its copies and its majority are as they should be between faults."""
        leadership = core.nodes[core.leader()][0].leadership
        self.assertEqual(core.voters(), set(names), f"seed {seed}")
        self.assertTrue(leadership.complete(), f"seed {seed}")
        self.assertEqual(len(core.holders()), core.replicas + 1, f"seed {seed}")
        self.assertFalse(core.holders() & core.off, f"seed {seed}")


class Replacement(Case):
    def test_a_replacement_that_comes_before_the_lost_member_counts_as_dead(self):
        """The newcomer asked to join at once; the roster grew by one that could not vote, for good."""
        for pause in (50, 200, 300, 400, 700, 1000, 2000):
            for seed in range(6):
                with self.subTest(pause=pause, seed=seed):
                    core = self.core(seed)
                    lost = core.leader() if seed % 2 else min(set("abc") - {core.leader()})
                    core.wipe(lost)
                    core.run(pause)
                    core.boot("d")
                    core.run(CATCH_UP)
                    self.assert_serves(core, seed)
                    self.assert_complete(core, set("abcd") - {lost}, seed)

    def test_a_tolerated_loss_right_after_the_replacement_has_caught_up(self):
        for victim in ("primary", "backup", "witness", "newcomer"):
            for seed in range(6):
                with self.subTest(victim=victim, seed=seed):
                    core = self.core(seed)
                    lost = min(core.voters() - {core.leader()})
                    core.wipe(lost)
                    core.run(200)
                    core.boot("d")
                    core.run(CATCH_UP)
                    core.wipe(self.name_of(core, victim))
                    self.assert_serves(core, seed)

    def name_of(self, core, victim):
        if victim == "newcomer":
            return "d"
        if victim == "primary":
            return core.leader()
        others = core.holders() - {core.leader()}
        return min(others if victim == "backup" else core.voters() - core.holders())

    def test_every_machine_in_turn_with_a_loss_of_power_after_each(self):
        for seed in range(4):
            core = self.core(seed)
            for turn, newcomer in enumerate("defghi"):
                core.wipe(sorted(core.voters())[turn % 3])
                core.run(300)
                core.boot(newcomer)
                core.run(CATCH_UP)
                voters = core.voters()
                for name in voters:
                    core.kill(name)
                core.run(200)
                for name in voters:
                    core.boot(name)
                self.assert_serves(core, seed, has=5 + 2 * turn, revision=7 + 2 * turn)
                self.assert_complete(core, voters, seed)

    def test_a_second_newcomer_waits_as_a_learner(self):
        for seed in range(4):
            core = self.core(seed)
            core.boot("d")
            core.boot("e")
            core.run(2000)
            self.assert_complete(core, "abc", seed)
            lost = min(core.voters() - {core.leader()})
            core.wipe(lost)
            core.run(3000)
            self.assertEqual(len(core.voters()), 3)
            self.assertNotIn(lost, core.voters())
            self.assert_serves(core, seed)

    def test_two_of_five_are_replaced_and_two_more_are_lost(self):
        for seed in range(4):
            core = self.core(seed, "abcde", replicas=2)
            first, second = sorted(core.voters() - {core.leader()})[:2]
            core.wipe(first)
            core.wipe(second)
            core.run(300)
            core.boot("f")
            core.boot("g")
            core.run(CATCH_UP)
            self.assert_complete(core, set("abcdefg") - {first, second}, seed)
            core.wipe(core.leader())
            core.wipe(min(core.voters() - {first, second} - core.off) if core.leader() else "f")
            self.assert_serves(core, seed)

    def test_a_member_that_returns_with_an_old_disk_after_its_seat_was_taken(self):
        for seed in range(6):
            core = self.core(seed)
            returning = min(core.voters() - {core.leader()})
            core.kill(returning)
            core.boot("d")
            core.run(3000)
            self.assertNotIn(returning, core.voters())
            self.assertTrue(core.write(6))
            core.boot(returning)
            core.run(3000)
            self.assert_complete(core, set("abcd") - {returning}, seed)
            core.wipe(core.leader())
            self.assert_serves(core, seed, has=6)
            core.run(CATCH_UP)
            self.assertIn(returning, core.voters(), "the learner has taken the lost member's seat")


class PlannedLeave(Case):
    def exchange(self, seed, role, pause=6000):
        """A newcomer, ``pause`` ms later a planned leave of the primary, a backup or the witness."""
        core = self.core(seed)
        core.boot("d")
        core.run(pause)
        leaver = {
            "primary": core.leader(),
            "backup": min(core.holders() - {core.leader()}),
            "witness": min(core.voters() - core.holders()),
        }[role]
        core.leave(leaver)
        return core, leaver

    def test_the_leaver_ends_soon_and_no_copy_or_vote_depends_on_it(self):
        for role in ("primary", "backup", "witness"):
            for seed in range(8):
                with self.subTest(role=role, seed=seed):
                    core, leaver = self.exchange(seed, role)
                    core.run(1500)
                    self.assertIn(leaver, core.off, "it has ended by itself, well before the bound")
                    self.assert_complete(core, set("abcd") - {leaver}, seed)

    def test_a_loss_right_after_the_leaver_has_ended(self):
        for role in ("primary", "backup", "witness"):
            for pause in (0, 400, 800, 1600):
                for seed in range(4):
                    with self.subTest(role=role, pause=pause, seed=seed):
                        core, leaver = self.exchange(seed, role)
                        while leaver not in core.off:
                            core.run(20)
                        core.run(pause)
                        core.wipe(sorted(core.voters())[seed % 3])
                        self.assert_serves(core, seed)

    def test_a_leaver_without_a_successor_gives_its_copy_to_a_witness_first(self):
        for seed in range(8):
            core = self.core(seed)
            leaver = min(core.holders() - {core.leader()})
            core.leave(leaver)
            core.run(1500)
            self.assertIn(leaver, core.off)
            self.assertNotIn(leaver, core.holders())
            self.assertEqual(len(core.holders()), 2)
            self.assertEqual(core.voters(), set("abc"), "its seat waits for it")
            core.boot(leaver)
            core.run(1500)
            core.wipe(core.leader())
            self.assert_serves(core, seed)

    def test_all_leave_at_once_and_come_back(self):
        for seed in range(6):
            core = self.core(seed)
            for name in "abc":
                core.leave(name)
            core.run(4500)
            self.assertEqual(core.off, set("abc"))
            for name in "abc":
                core.boot(name)
            self.assert_serves(core, seed)

    def test_rolling_restarts_keep_the_roster(self):
        for seed in range(4):
            core = self.core(seed)
            for name in "abcabc":
                core.leave(name)
                while name not in core.off:
                    core.run(20)
                core.run(300)
                core.boot(name)
                core.run(CATCH_UP)
                self.assert_complete(core, "abc", seed)
            self.assert_serves(core, seed)


class Reads(Case):
    def test_a_confirmed_read_shows_decided_state_only(self):
        """A write waits for its backup; what is read must not be what it wrote."""
        for seed in range(10):
            core = self.core(seed)
            leader = core.leader()
            backup = min(core.holders() - {leader})
            core.stall(backup)
            core.act(leader, core.nodes[leader][0].write(core.now, 6, 6, b"p6"))
            core.run(100)
            core.act(leader, core.nodes[leader][0].read(core.now, 77))
            core.run(150)
            self.assertEqual(core.confirmed[leader, 77].revision, 5, f"seed {seed}")
            self.assertNotIn((leader, 6), core.decided)


if __name__ == "__main__":
    unittest.main()
