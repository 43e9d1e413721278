"""``ConsensusMember`` under faults, in simulated time; timelines have one column per node."""

import random
import unittest
from datetime import timedelta

from simulator.core import Core
from simulator.timeline import play


class Timelines(unittest.TestCase):
    def check_timeline(self, text, names="abc", seeds=range(8), **options):
        for seed in seeds:
            with self.subTest(seed=seed):
                play(self, Core(names, seed=seed, **options), text)

    def test_first_start_and_write(self):
        self.check_timeline("""
            ms    a     b  c  any
            2500  lead  .  .  write=5
            2600  .     .  .  has=5
        """)

    def test_replacement_of_a_failed_primary_has_the_acknowledged_data(self):
        self.check_timeline("""
            ms    a     b     c  any
            2500  lead  .     .  write=5
            2600  kill  .     .  .
            4600  .     .     .  leads+has=5
            4700  .     .     .  write=7
            4800  boot  .     .  .
            6500  .     .     .  leads+has=7
        """)

    def test_total_power_loss(self):
        self.check_timeline("""
            ms    a     b     c     any
            2500  .     .     .     write=5
            2700  kill  kill  kill  .
            3000  boot  boot  boot  .
            5500  .     .     .     leads+has=5
            5600  .     .     .     write=7
        """)

    def test_total_power_loss_with_one_wiped_member(self):
        for wiped in "abc":
            cells = {name: "wipe" if name == wiped else "kill" for name in "abc"}
            self.check_timeline(
                f"""
                ms    a   b   c   any
                2500  .   .   .   write=5
                2700  {cells["a"]}  {cells["b"]}  {cells["c"]} .
                3000  boot  boot  boot  .
                6500  .   .   .   leads+has=5
                6600  .   .   .   write=7
                8000  member member member .
            """,
                seeds=range(4),
            )

    def test_isolated_primary_acknowledges_nothing(self):
        self.check_timeline("""
            ms    a     b     c  any
            2500  lead  .     .  write=5
            2600  cut   .     .  .
            2601  unwritten=6 . . .
            4800  idle  .     .  leads
            4900  .     .     .  write=7
            5500  .     .     .  heal
            7500  .     .     .  has=7
        """)

    def test_isolated_primary_confirms_no_read(self):
        for seed in range(6):
            core = Core(seed=seed)
            core.run(2500)
            name = core.leader()
            core.cut(name)
            core.act(name, core.nodes[name][0].read(core.now, 77))
            core.run(3000)
            self.assertNotIn((name, 77), core.confirmed)
            self.assertIn((name, 77), core.lost)

    def test_one_way_partitions(self):
        for direction in ("cut-in", "cut-out"):
            for victim_index in range(3):
                cells = [direction if i == victim_index else "." for i in range(3)]
                self.check_timeline(
                    f"""
                    ms    a b c any
                    2500  . . . write=5
                    2600  {" ".join(cells)} .
                    5500  . . . leads+has=5
                    5600  . . . write=7
                    6000  . . . heal
                    8500  . . . has=7
                    8600  . . . write=9
                """,
                    seeds=range(3),
                )

    def test_one_way_partition_of_a_backup_does_not_depose_the_primary(self):
        for seed in range(6):
            core = Core(seed=seed)
            core.run(2500)
            first = core.leader()
            backup = core.nodes[first][0].leadership.view.backups[0]
            name = next(other_name for other_name, member in core.members.items() if member.id == backup)
            core.cut(name, way="in")
            core.run(4000)
            self.assertEqual(core.leader(), first)

    def test_reconnected_member_does_not_depose_the_primary(self):
        """The pre-vote keeps a member from raising its epoch during a partition of 20 seconds."""
        for direction in ("both", "in", "out"):
            for seed in range(4):
                core = Core(seed=seed)
                core.run(2500)
                first = core.leader()
                epoch = core.view().epoch
                name = min(set("abc") - core.holders())
                core.cut(name, way=direction)
                core.run(20000)
                core.heal()
                core.run(3000)
                self.assertEqual((core.leader(), core.view().epoch), (first, epoch), (direction, seed))
                self.assertEqual(core.voters(), set("abc"))

    def test_stalled_disk_transfers_the_leadership(self):
        for seed in range(6):
            core = Core(seed=seed)
            core.run(2500)
            name = core.leader()
            core.stall(name)
            self.assertFalse(core.write(6, name))
            core.run(3000)
            self.assertNotEqual(core.leader(), name)
            self.assertIsNotNone(core.leader())
            self.assertTrue(core.write(8))

    def test_copy_timeout_grows_while_all_copies_are_slow(self):
        """Guards against endless view changes when no backup can acknowledge a copy within the election timeout."""
        for seed in range(4):
            core = Core(seed=seed)
            core.run(2500)
            self.assertTrue(core.write(5))
            core.copy_delay = timedelta(milliseconds=2000)
            core.kill(core.leader())
            core.run(15000)
            self.assertIsNotNone(core.leader())
            self.assertEqual(core.nodes[core.leader()][0].committed_data.revision, 5)
            core.boot(min(core.off))
            core.run(3000)
            self.assertTrue(core.write(7, wait=9000) or core.write(8, wait=9000) or core.write(9, wait=9000))

    def test_stalled_backup_is_replaced_by_the_witness(self):
        for seed in range(6):
            core = Core(seed=seed)
            core.run(2500)
            name = core.leader()
            backup = core.nodes[name][0].leadership.view.backups[0]
            core.stall(next(other_name for other_name, member in core.members.items() if member.id == backup))
            core.write(6, name, 2500)
            core.run(1500)
            self.assertNotIn(backup, core.view().backups)
            self.assertEqual(core.nodes[core.leader()][0].data.revision, 6)
            self.assertTrue(core.write(8))

    def test_newcomer_replaces_a_dead_voter_in_one_view_change(self):
        for seed in range(6):
            core = Core(seed=seed)
            core.run(2500)
            core.write(5)
            name = next(other_name for other_name in "abc" if other_name != core.leader())
            core.kill(name)
            core.run(2000)
            before = core.view()
            core.nodes.pop(name)
            core.boot("d")
            core.run(3000)
            view = core.view()
            self.assertEqual(len(view.roster), 3)
            self.assertIn(core.members["d"].id, view.ids)
            self.assertNotIn(core.members[name].id, view.ids)
            self.assertIn(core.members[name].id, before.ids)

    def test_all_seeds_are_replaced_in_turn(self):
        for seed in range(4):
            core = Core(seed=seed)
            core.run(2500)
            core.write(5)
            for old_name, new_name in zip("abc", "def", strict=False):
                core.boot(new_name)
                core.run(1500)
                core.kill(old_name)
                core.run(4000)
                core.nodes.pop(old_name)
            self.assertEqual(core.nodes[core.leader()][0].data.revision, 5)
            self.assertEqual({member.host for member in core.view().roster}, set("def"))
            self.assertTrue(core.write(7))

    def test_wiped_machine_has_no_vote_until_admitted(self):
        core = Core(seed=3)
        core.run(2500)
        core.write(5)
        name = next(other_name for other_name in "abc" if other_name != core.leader())
        others = [other_name for other_name in "abc" if other_name != name]
        core.wipe(name)
        for other_name in others:
            core.kill(other_name)
        core.boot(name)
        core.run(3000)
        self.assertFalse(core.nodes[name][0].voter)
        self.assertEqual(core.nodes[name][0].register.views, [])
        self.assertIsNone(core.leader())

    def test_transfer_of_leadership_to_a_backup(self):
        for seed in range(6):
            core = Core(seed=seed)
            core.run(2500)
            core.write(5)
            name = core.leader()
            backup = core.nodes[name][0].leadership.view.backups[0]
            core.act(name, core.nodes[name][0].transfer_leadership(core.now))
            core.run(500)
            self.assertEqual(core.members[core.leader()].id, backup)
            self.assertEqual(core.nodes[core.leader()][0].data.revision, 5)

    def test_five_members_tolerate_two_losses(self):
        self.check_timeline(
            """
            ms    a     b     c  d  e  any
            4500  .     .     .  .  .  write=5
            4700  wipe  kill  .  .  .  .
            7500  .     .     .  .  .  leads+has=5
            7600  .     .     .  .  .  write=7
        """,
            names="abcde",
            replicas=2,
            seeds=range(4),
        )

    def test_controllers_beyond_the_seeds_join(self):
        for seed in range(6):
            core = Core("abcde", replicas=2, seed=seed, seeds="abc")
            core.run(8000)
            self.assertEqual({member.host for member in core.view().roster}, set("abcde"))
            self.assertEqual(len(core.view().backups), 2)
            self.assertTrue(core.write(5))

    def test_first_roster_is_the_seeds_in_any_start_order(self):
        for seed in range(6):
            core = Core("dabce", replicas=1, seed=seed, seeds="abc")
            core.run(1200)
            views = [view for name in core.nodes for view in core.nodes[name][0].register.views]
            first = min(views, key=lambda view: view.epoch)
            self.assertLessEqual({member.host for member in first.roster} - set("de"), set("abc"))
            core.run(6000)
            self.assertIsNotNone(core.leader())

    def test_group_of_one(self):
        core = Core("a", replicas=1)
        core.run(2500)
        self.assertTrue(core.write(3))

    def test_paused_primary_sends_a_heartbeat_before_it_steps_down(self):
        """A pause of the primary's own process does not count as unresponsiveness of the other members."""
        for names in ("a", "abc"):
            core = Core(names, seed=2)
            core.run(2500)
            name = core.leader()
            consensus = core.nodes[name][0]
            core.act(name, consensus.tick(core.now + timedelta(milliseconds=700)))
            self.assertTrue(consensus.leading())
        core.cut(name)
        core.run(1500)
        self.assertFalse(consensus.leading(), "a primary still steps down if its heartbeats stay unanswered")

    def test_group_of_two(self):
        core = Core("ab", replicas=1)
        core.run(2500)
        self.assertTrue(core.write(3))


class RandomFaults(unittest.TestCase):
    """Under random faults, acknowledged data is never lost and no epoch has two primaries."""

    def play_random_faults(self, seed):
        rng, core = random.Random(seed), Core(seed=seed, loss=0.05)
        core.run(2500)
        newest_revision, active_fault = 0, None
        for revision in range(1, 14):
            fault = rng.choice(("none", "kill", "wipe", "cut", "cut-in", "cut-out", "stall"))
            name = rng.choice("abc")
            if active_fault is None and fault != "none":
                active_fault = (fault, name)
                if fault in ("kill", "wipe"):
                    getattr(core, fault)(name)
                elif fault == "stall":
                    core.stall(name)
                else:
                    core.cut(name, way=fault[4:] or "both")
            core.run(rng.randrange(0, 2500))
            if core.leader() and core.write(revision * 2):
                newest_revision = revision * 2
            if active_fault and rng.random() < 0.7:
                core.heal()
                core.flow()
                if active_fault[0] in ("kill", "wipe"):
                    core.boot(active_fault[1])
                active_fault = None
                core.run(4500)
                for _ in range(4):
                    core.run(0 if core.leader() else 500)
                leader = core.leader()
                self.assertIsNotNone(leader, f"seed {seed}: no primary after a fault")
                self.assertGreaterEqual(core.nodes[leader][0].data.revision, newest_revision, f"seed {seed}")
            epochs = [
                core.nodes[other_name][0].leadership.epoch
                for other_name in core.nodes
                if core.nodes[other_name][0].leading()
            ]
            self.assertEqual(len(epochs), len(set(epochs)))

    def test_random_faults(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                self.play_random_faults(seed)
