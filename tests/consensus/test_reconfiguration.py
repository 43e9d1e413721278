"""Replacements and planned leaves of members, each followed by a tolerated loss."""

import unittest

from simulator.core import Core

# Time in milliseconds after the restart or replacement of a machine during which it still counts as failed.
CATCH_UP_MS = 4000


class ReconfigurationCase(unittest.TestCase):
    def start_core(self, seed, names="abc", replicas=1):
        core = Core(names, replicas=replicas, seed=seed)
        core.run(2500 if len(names) == 3 else 5000)
        self.assertTrue(core.write(5), seed)
        return core

    def assert_serves(self, core, seed, within_ms=4000, minimum_revision=5, revision=7):
        """Checks that within a bound there is a primary that has the acknowledged data and accepts a write."""
        deadline_ms = core.now.total_seconds() * 1000 + within_ms
        while core.leader() is None and core.now.total_seconds() * 1000 < deadline_ms:
            core.run(50)
        self.assertIsNotNone(core.leader(), f"seed {seed}: no primary")
        self.assertGreaterEqual(core.nodes[core.leader()][0].committed_data.revision, minimum_revision, f"seed {seed}")
        # The first write may be aborted while a failed backup is replaced.
        self.assertTrue(core.write(revision) or core.run(1500) or core.write(revision + 1), f"seed {seed}: no write")

    def assert_complete(self, core, names, seed):
        """Checks that the roster, its backups and its last change are complete, as expected between faults."""
        leadership = core.nodes[core.leader()][0].leadership
        self.assertEqual(core.voters(), set(names), f"seed {seed}")
        self.assertTrue(leadership.complete(), f"seed {seed}")
        self.assertEqual(len(core.holders()), core.replicas + 1, f"seed {seed}")
        self.assertFalse(core.holders() & core.off, f"seed {seed}")


class Replacement(ReconfigurationCase):
    def test_replacement_that_starts_before_the_failed_member_counts_as_dead(self):
        """Guards against adding the newcomer, which joins at once, as another voter: the failed voter would remain."""
        for pause_ms in (50, 200, 300, 400, 700, 1000, 2000):
            for seed in range(6):
                with self.subTest(pause_ms=pause_ms, seed=seed):
                    core = self.start_core(seed)
                    failed = core.leader() if seed % 2 else min(set("abc") - {core.leader()})
                    core.wipe(failed)
                    core.run(pause_ms)
                    core.boot("d")
                    core.run(CATCH_UP_MS)
                    self.assert_serves(core, seed)
                    self.assert_complete(core, set("abcd") - {failed}, seed)

    def test_tolerated_loss_right_after_the_replacement_has_caught_up(self):
        for victim in ("primary", "backup", "witness", "newcomer"):
            for seed in range(6):
                with self.subTest(victim=victim, seed=seed):
                    core = self.start_core(seed)
                    failed = min(core.voters() - {core.leader()})
                    core.wipe(failed)
                    core.run(200)
                    core.boot("d")
                    core.run(CATCH_UP_MS)
                    core.wipe(self.name_of_role(core, victim))
                    self.assert_serves(core, seed)

    def name_of_role(self, core, victim):
        if victim == "newcomer":
            return "d"
        if victim == "primary":
            return core.leader()
        others = core.holders() - {core.leader()}
        return min(others if victim == "backup" else core.voters() - core.holders())

    def test_replacement_of_every_machine_with_a_power_loss_after_each(self):
        for seed in range(4):
            core = self.start_core(seed)
            for round_number, newcomer in enumerate("defghi"):
                core.wipe(sorted(core.voters())[round_number % 3])
                core.run(300)
                core.boot(newcomer)
                core.run(CATCH_UP_MS)
                voters = core.voters()
                for name in voters:
                    core.kill(name)
                core.run(200)
                for name in voters:
                    core.boot(name)
                self.assert_serves(core, seed, minimum_revision=5 + 2 * round_number, revision=7 + 2 * round_number)
                self.assert_complete(core, voters, seed)

    def test_second_newcomer_stays_a_learner(self):
        for seed in range(4):
            core = self.start_core(seed)
            core.boot("d")
            core.boot("e")
            core.run(2000)
            self.assert_complete(core, "abc", seed)
            failed = min(core.voters() - {core.leader()})
            core.wipe(failed)
            core.run(3000)
            self.assertEqual(len(core.voters()), 3)
            self.assertNotIn(failed, core.voters())
            self.assert_serves(core, seed)

    def test_loss_of_two_more_after_two_of_five_are_replaced(self):
        for seed in range(4):
            core = self.start_core(seed, "abcde", replicas=2)
            first, second = sorted(core.voters() - {core.leader()})[:2]
            core.wipe(first)
            core.wipe(second)
            core.run(300)
            core.boot("f")
            core.boot("g")
            core.run(CATCH_UP_MS)
            self.assert_complete(core, set("abcdefg") - {first, second}, seed)
            core.wipe(core.leader())
            core.wipe(min(core.voters() - {first, second} - core.off) if core.leader() else "f")
            self.assert_serves(core, seed)

    def test_member_with_an_old_disk_returns_after_its_seat_was_reassigned(self):
        for seed in range(6):
            core = self.start_core(seed)
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
            self.assert_serves(core, seed, minimum_revision=6)
            core.run(CATCH_UP_MS)
            self.assertIn(returning, core.voters(), "the learner has the seat of the failed member")


class PlannedLeave(ReconfigurationCase):
    def leave_after_newcomer(self, seed, role, pause_ms=6000):
        """Starts a newcomer; after ``pause_ms``, starts the planned leave of the primary, a backup or the witness."""
        core = self.start_core(seed)
        core.boot("d")
        core.run(pause_ms)
        leaving_member = {
            "primary": core.leader(),
            "backup": min(core.holders() - {core.leader()}),
            "witness": min(core.voters() - core.holders()),
        }[role]
        core.leave(leaving_member)
        return core, leaving_member

    def test_leaving_member_shuts_down_promptly_without_copy_or_vote(self):
        for role in ("primary", "backup", "witness"):
            for seed in range(8):
                with self.subTest(role=role, seed=seed):
                    core, leaving_member = self.leave_after_newcomer(seed, role)
                    core.run(1500)
                    self.assertIn(leaving_member, core.off, "the member has shut down by itself, before the bound")
                    self.assert_complete(core, set("abcd") - {leaving_member}, seed)

    def test_loss_right_after_the_leaving_member_has_shut_down(self):
        for role in ("primary", "backup", "witness"):
            for pause_ms in (0, 400, 800, 1600):
                for seed in range(4):
                    with self.subTest(role=role, pause_ms=pause_ms, seed=seed):
                        core, leaving_member = self.leave_after_newcomer(seed, role)
                        while leaving_member not in core.off:
                            core.run(20)
                        core.run(pause_ms)
                        core.wipe(sorted(core.voters())[seed % 3])
                        self.assert_serves(core, seed)

    def test_leaving_member_without_replacement_moves_its_copy_to_a_witness(self):
        for seed in range(8):
            core = self.start_core(seed)
            leaving_member = min(core.holders() - {core.leader()})
            core.leave(leaving_member)
            core.run(1500)
            self.assertIn(leaving_member, core.off)
            self.assertNotIn(leaving_member, core.holders())
            self.assertEqual(len(core.holders()), 2)
            self.assertEqual(core.voters(), set("abc"), "the member keeps its seat")
            core.boot(leaving_member)
            core.run(1500)
            core.wipe(core.leader())
            self.assert_serves(core, seed)

    def test_all_members_leave_at_once_and_restart(self):
        for seed in range(6):
            core = self.start_core(seed)
            for name in "abc":
                core.leave(name)
            core.run(4500)
            self.assertEqual(core.off, set("abc"))
            for name in "abc":
                core.boot(name)
            self.assert_serves(core, seed)

    def test_rolling_restarts_keep_the_roster(self):
        for seed in range(4):
            core = self.start_core(seed)
            for name in "abcabc":
                core.leave(name)
                while name not in core.off:
                    core.run(20)
                core.run(300)
                core.boot(name)
                core.run(CATCH_UP_MS)
                self.assert_complete(core, "abc", seed)
            self.assert_serves(core, seed)


class Reads(ReconfigurationCase):
    def test_confirmed_read_returns_committed_data_only(self):
        """A read returns the committed data while a write still waits for its backup."""
        for seed in range(10):
            core = self.start_core(seed)
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
