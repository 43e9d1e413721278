"""The ledger under failures; timelines with a column per node, on simulated time."""

import random
import unittest
from datetime import timedelta

from simulator.core import Core
from simulator.timeline import play
from sparloom.consensus import Store
from sparloom.consensus.records import Data, Member, Register, Roster, View
from sparloom.consensus.views import Basis, ReadyLearner, RosterState, choose_backups, next_roster, next_view, quorum


class Timelines(unittest.TestCase):
    def play(self, text, names="abc", seeds=range(8), **kw):
        for seed in seeds:
            with self.subTest(seed=seed):
                play(self, Core(names, seed=seed, **kw), text)

    def test_first_start_and_write(self):
        self.play("""
            ms    a     b  c  any
            2500  lead  .  .  write=5
            2600  .     .  .  has=5
        """)

    def test_lost_primary_is_replaced_with_what_it_acknowledged(self):
        self.play("""
            ms    a     b     c  any
            2500  lead  .     .  write=5
            2600  kill  .     .  .
            4600  .     .     .  leads+has=5
            4700  .     .     .  write=7
            4800  boot  .     .  .
            6500  .     .     .  leads+has=7
        """)

    def test_power_lost_everywhere(self):
        self.play("""
            ms    a     b     c     any
            2500  .     .     .     write=5
            2700  kill  kill  kill  .
            3000  boot  boot  boot  .
            5500  .     .     .     leads+has=5
            5600  .     .     .     write=7
        """)

    def test_wiped_holder_while_the_others_lose_power(self):
        for wiped in "abc":
            cells = {n: "wipe" if n == wiped else "kill" for n in "abc"}
            self.play(
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
        self.play("""
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
            c = Core(seed=seed)
            c.run(2500)
            n = c.leader()
            c.cut(n)
            c.act(n, c.nodes[n][0].read(c.now, 77))
            c.run(3000)
            self.assertNotIn((n, 77), c.confirmed)
            self.assertIn((n, 77), c.lost)

    def test_one_way_cuts(self):
        for way in ("cut-in", "cut-out"):
            for victim in range(3):
                cells = [way if i == victim else "." for i in range(3)]
                self.play(
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

    def test_one_way_cut_of_a_backup_does_not_unseat_the_primary(self):
        for seed in range(6):
            c = Core(seed=seed)
            c.run(2500)
            first = c.leader()
            back = c.nodes[first][0].leadership.view.backups[0]
            n = next(k for k, m in c.members.items() if m.id == back)
            c.cut(n, way="in")
            c.run(4000)
            self.assertEqual(c.leader(), first)

    def test_a_member_that_was_cut_off_comes_back_without_deposing_the_primary(self):
        """It asks whether it would win before it uses an epoch; twenty seconds alone raise no promise."""
        for way in ("both", "in", "out"):
            for seed in range(4):
                c = Core(seed=seed)
                c.run(2500)
                first = c.leader()
                epoch = c.view().epoch
                n = min(set("abc") - c.holders())
                c.cut(n, way=way)
                c.run(20000)
                c.heal()
                c.run(3000)
                self.assertEqual((c.leader(), c.view().epoch), (first, epoch), (way, seed))
                self.assertEqual(c.voters(), set("abc"))

    def test_stalled_disk_moves_the_duty(self):
        for seed in range(6):
            c = Core(seed=seed)
            c.run(2500)
            n = c.leader()
            c.stall(n)
            self.assertFalse(c.write(6, n))
            c.run(3000)
            self.assertNotEqual(c.leader(), n)
            self.assertIsNotNone(c.leader())
            self.assertTrue(c.write(8))

    def test_copies_that_are_slow_everywhere_are_given_the_time_they_need(self):
        """A link so thin that no backup confirms within the patience: views followed each other for ever."""
        for seed in range(4):
            c = Core(seed=seed)
            c.run(2500)
            self.assertTrue(c.write(5))
            c.copy_delay = timedelta(milliseconds=2000)
            c.kill(c.leader())
            c.run(15000)
            self.assertIsNotNone(c.leader())
            self.assertEqual(c.nodes[c.leader()][0].decided.revision, 5)
            c.boot(min(c.off))
            c.run(3000)
            self.assertTrue(c.write(7, wait=9000) or c.write(8, wait=9000) or c.write(9, wait=9000))

    def test_stalled_backup_is_replaced_by_the_witness(self):
        for seed in range(6):
            c = Core(seed=seed)
            c.run(2500)
            n = c.leader()
            back = c.nodes[n][0].leadership.view.backups[0]
            c.stall(next(k for k, m in c.members.items() if m.id == back))
            c.write(6, n, 2500)
            c.run(1500)
            self.assertNotIn(back, c.view().backups)
            self.assertEqual(c.nodes[c.leader()][0].data.revision, 6)
            self.assertTrue(c.write(8))

    def test_newcomer_takes_a_dead_members_place_in_one_view_change(self):
        for seed in range(6):
            c = Core(seed=seed)
            c.run(2500)
            c.write(5)
            n = next(k for k in "abc" if k != c.leader())
            c.kill(n)
            c.run(2000)
            before = c.view()
            c.nodes.pop(n)
            c.boot("d")
            c.run(3000)
            v = c.view()
            self.assertEqual(len(v.roster), 3)
            self.assertIn(c.members["d"].id, v.ids)
            self.assertNotIn(c.members[n].id, v.ids)
            self.assertIn(c.members[n].id, before.ids)

    def test_all_seeds_exchanged_in_turn(self):
        for seed in range(4):
            c = Core(seed=seed)
            c.run(2500)
            c.write(5)
            for old, new in zip("abc", "def"):
                c.boot(new)
                c.run(1500)
                c.kill(old)
                c.run(4000)
                c.nodes.pop(old)
            self.assertEqual(c.nodes[c.leader()][0].data.revision, 5)
            self.assertEqual({m.host for m in c.view().roster}, set("def"))
            self.assertTrue(c.write(7))

    def test_wiped_machine_has_no_vote_until_admitted(self):
        c = Core(seed=3)
        c.run(2500)
        c.write(5)
        n = next(k for k in "abc" if k != c.leader())
        others = [k for k in "abc" if k != n]
        c.wipe(n)
        for k in others:
            c.kill(k)
        c.boot(n)
        c.run(3000)
        self.assertFalse(c.nodes[n][0].voter)
        self.assertEqual(c.nodes[n][0].register.views, [])
        self.assertIsNone(c.leader())

    def test_leaving_primary_names_a_successor(self):
        for seed in range(6):
            c = Core(seed=seed)
            c.run(2500)
            c.write(5)
            n = c.leader()
            back = c.nodes[n][0].leadership.view.backups[0]
            c.act(n, c.nodes[n][0].transfer_leadership(c.now))
            c.run(500)
            self.assertEqual(c.members[c.leader()].id, back)
            self.assertEqual(c.nodes[c.leader()][0].data.revision, 5)

    def test_five_members_bear_two_losses(self):
        self.play(
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

    def test_core_machines_beyond_the_seeds_join(self):
        for seed in range(6):
            c = Core("abcde", replicas=2, seed=seed, seeds="abc")
            c.run(8000)
            self.assertEqual({m.host for m in c.view().roster}, set("abcde"))
            self.assertEqual(len(c.view().backups), 2)
            self.assertTrue(c.write(5))

    def test_the_first_roster_is_the_seeds_whoever_calls_first(self):
        for seed in range(6):
            c = Core("dabce", replicas=1, seed=seed, seeds="abc")
            c.run(1200)
            views = [v for n in c.nodes for v in c.nodes[n][0].register.views]
            first = min(views, key=lambda v: v.epoch)
            self.assertLessEqual({m.host for m in first.roster} - set("de"), set("abc"))
            c.run(6000)
            self.assertIsNotNone(c.leader())

    def test_a_core_of_one(self):
        c = Core("a", replicas=1)
        c.run(2500)
        self.assertTrue(c.write(3))

    def test_a_primary_that_stood_still_asks_before_it_gives_up(self):
        """A stall of its own process is no silence of the others."""
        for names in ("a", "abc"):
            c = Core(names, seed=2)
            c.run(2500)
            n = c.leader()
            led = c.nodes[n][0]
            c.act(n, led.tick(c.now + timedelta(milliseconds=700)))
            self.assertTrue(led.leading())
        c.cut(n)
        c.run(1500)
        self.assertFalse(led.leading(), "silence after it has asked still ends its duty")

    def test_a_core_of_two(self):
        c = Core("ab", replicas=1)
        c.run(2500)
        self.assertTrue(c.write(3))


class Luck(unittest.TestCase):
    """Random troubles: what was acknowledged stays, and no epoch has two primaries."""

    def storm(self, seed):
        rng, c = random.Random(seed), Core(seed=seed, loss=0.05)
        c.run(2500)
        newest, down = 0, None
        for rev in range(1, 14):
            what = rng.choice(("none", "kill", "wipe", "cut", "cut-in", "cut-out", "stall"))
            n = rng.choice("abc")
            if down is None and what != "none":
                down = (what, n)
                if what in ("kill", "wipe"):
                    getattr(c, what)(n)
                elif what == "stall":
                    c.stall(n)
                else:
                    c.cut(n, way=what[4:] or "both")
            c.run(rng.randrange(0, 2500))
            if c.leader() and c.write(rev * 2):
                newest = rev * 2
            if down and rng.random() < 0.7:
                c.heal()
                c.flow()
                if down[0] in ("kill", "wipe"):
                    c.boot(down[1])
                down = None
                c.run(4500)
                for _ in range(4):
                    c.run(0 if c.leader() else 500)
                lead = c.leader()
                self.assertIsNotNone(lead, f"seed {seed}: a primary after trouble")
                self.assertGreaterEqual(c.nodes[lead][0].data.revision, newest, f"seed {seed}")
            leads = [c.nodes[k][0].leadership.epoch for k in c.nodes if c.nodes[k][0].leading()]
            self.assertEqual(len(leads), len(set(leads)))

    def test_storms(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                self.storm(seed)


class Sums(unittest.TestCase):
    def view(self, ids, previous=()):
        members = {i: Member(i, "h", i, "z", "") for i in range(1, 10)}
        rosters = [Roster([members[i] for i in old]) for old in previous]
        return View(1, ids[0], [], [members[i] for i in ids], rosters)

    def test_an_unsettled_view_needs_its_older_roster_too(self):
        v = self.view([1, 2, 4], [[1, 2, 3]])
        self.assertFalse(quorum({1, 4}, Basis(v, False).rosters))
        self.assertTrue(quorum({1, 4}, Basis(v, True).rosters))
        self.assertTrue(quorum({1, 2}, Basis(v, False).rosters))

    def test_rosters_that_were_not_settled_keep_their_say_in_the_next_view(self):
        v = self.view([1, 2, 4], [[1, 2, 3]])
        members = [Member(i, "h", i, "z", "") for i in (1, 2, 5)]
        self.assertEqual(next_view(9, 1, [2], members, Basis(v, False)).rosters, ((1, 2, 5), (1, 2, 3), (1, 2, 4)))
        self.assertEqual(next_view(9, 1, [2], members, Basis(v, True)).rosters, ((1, 2, 5), (1, 2, 4)))

    def test_backups_lie_in_other_zones_first(self):
        ros = [Member(1, "h", 1, "x", ""), Member(2, "h", 2, "x", ""), Member(3, "h", 3, "y", "")]
        self.assertEqual(choose_backups(1, ros, {1, 2, 3}, (), 1), [3])
        self.assertIsNone(choose_backups(1, ros, {1}, (), 1))

    def roster(self, learners, dead=(), leaving=(), all_near=True, ids=(1, 2, 3)):
        ready = [ReadyLearner(*learner) for learner in learners]
        state = RosterState(self.view(list(ids)), ready, frozenset(dead), frozenset(leaving), all_near)
        found = next_roster(state)
        return found and [member.id for member in found]

    def test_wiped_member_gets_its_own_place(self):
        self.assertEqual(self.roster([(Member(9, "h", 2, "z", ""), False)]), [1, 9, 3])

    def test_a_newcomer_takes_a_seat_that_is_free_and_waits_for_one_otherwise(self):
        new = [(Member(9, "new", 1, "z", ""), False)]
        self.assertIsNone(self.roster(new))
        self.assertEqual(self.roster(new, dead=[2]), [1, 9, 3])
        self.assertEqual(self.roster(new, leaving=[3]), [1, 2, 9])
        self.assertEqual(self.roster(new, dead=[1], leaving=[3]), [9, 2, 3])

    def test_only_machines_of_the_first_start_make_the_roster_grow_and_only_while_all_are_near(self):
        new = [(Member(8, "new", 1, "z", ""), True), (Member(9, "newer", 1, "z", ""), True)]
        self.assertEqual(self.roster(new), [1, 2, 3, 8, 9])
        self.assertIsNone(self.roster(new, all_near=False))
        self.assertEqual(self.roster(new, dead=[2]), [1, 8, 3])

    def test_an_even_roster_drops_a_dead_member(self):
        self.assertEqual(self.roster([], dead=[4], ids=(1, 2, 3, 4)), [1, 2, 3])
        self.assertIsNone(self.roster([], dead=[3]))


class OnDisk(unittest.TestCase):
    def test_what_was_saved_is_read_again(self):
        import tempfile

        with tempfile.TemporaryDirectory() as d:
            s = Store(d)
            self.assertIsNone(s.load())
            reg, data = Register(5, True, 7, [], False, 0), Data(7, 1, 3, b"xyz")
            s.save(reg, data)
            s.save(Register(5, True, 9, [], False, 0))
            s.close()
            s = Store(d)
            self.assertEqual(s.load(), (Register(5, True, 9, [], False, 0), data))
            for name, want in (("synchronous", 3), ("journal_mode", "persist"), ("locking_mode", "exclusive")):
                self.assertEqual(s.db.execute(f"PRAGMA {name}").fetchone()[0], want)
            s.close()
