"""What the model checker found in the consensus member, each as short as it could be made."""

import unittest

from simulator.check import Scope, World
from simulator.check.recovery import settle
from simulator.check.starts import ready
from simulator.check.transitions import At, Deliver, Power, fair, run_fairly
from simulator.core import Core
from simulator.timeline import play


def play_until(world, holds, skipped=lambda message: False, maximum_steps=400):
    """The fair schedule, but for messages that are lost, until something holds."""
    for _ in range(maximum_steps):
        if holds(world):
            return
        move = fair(world)
        if isinstance(move, Deliver) and skipped(move.message):
            world.flight.remove(move.message)
        else:
            move.play(world)
    raise AssertionError(f"not reached within {maximum_steps} steps")


class FoundByTheChecker(unittest.TestCase):
    def play(self, text, seeds=range(6)):
        for seed in seeds:
            with self.subTest(seed=seed):
                play(self, Core("abc", seed=seed), text)

    def test_a_member_that_was_cut_off_for_a_moment_holds_the_next_copy(self):
        for seed in range(6):
            core = Core("abc", seed=seed)
            core.run(2500)
            primary = core.leader()
            backup = next(n for n in core.holders() if n != primary)
            witness = next(n for n in "abc" if n not in core.holders())
            core.cut(witness)
            core.run(1700)
            core.heal()
            core.run(700)
            core.wipe(backup)
            core.run(2000)
            self.assertTrue(core.write(5), f"seed {seed}")

    def test_the_only_holder_may_lead_though_it_has_not_marked_the_view(self):
        world = World.begin(Scope())

        def to_backup(message):
            return type(message.record).__name__ == "Activate" and message.record.view.backups[0] == (
                world.nodes[message.target].member.id
            )

        play_until(world, lambda now: now.primary(), to_backup)
        primary = world.primary()
        Power().play(world)
        At("wipe", primary).play(world)
        settle(world, then_lose=False)

    def test_a_leaving_primary_that_hears_nobody_does_not_call_its_leave_complete(self):
        for seed in range(6):
            core = Core("abc", seed=seed)
            core.run(2500)
            primary = core.leader()
            core.cut(primary)
            core.leave(primary)
            core.run(2500)
            self.assertNotIn(primary, core.left)

    def test_a_leaving_primary_keeps_its_own_seat_until_another_leads(self):
        self.play("""
            ms    a     b     c     x     y     any
            2500  lead  .     .     .     .     write=5
            2600  .     wipe  .     .     .     .
            2700  .     .     .     boot  boot  .
            2710  leave .     .     .     .     .
            9000  .     .     .     .     .     leads+has=5
            9100  .     .     .     .     .     write=7
        """)

    def test_a_founder_that_knows_no_view_does_not_leave_at_once(self):
        world = World.begin(Scope())
        play_until(world, lambda now: all(node.ledger.known_founders for node in now.nodes.values()))
        At("leave", "a").play(world)
        self.assertFalse(world.nodes["a"].left)

    def test_a_leaving_witness_waits_for_the_newcomer(self):
        world = ready(Scope())
        primary = world.primary()
        holders = world.nodes[primary].ledger.leadership.view.holders
        witness = next(n for n, node in world.nodes.items() if node.member.id not in holders)
        At("leave", witness).play(world)
        run_fairly(world, 200)
        At("join", "x").play(world)
        run_fairly(world, 4000)
        At("remove", primary).play(world)
        settle(world, then_lose=False)

    def test_a_founder_whose_disk_is_lost_at_any_moment_of_the_first_start(self):
        for names, replicas, seeds in (("abc", 1, "abc"), ("abcde", 2, "abc")):
            for lost in "abc":
                for moment in (1, 15, 25, 40, 80, 300, 700, 1500, 2500, 4000):
                    for seed in range(2):
                        with self.subTest(names=names, lost=lost, moment=moment, seed=seed):
                            self._first_start_with_a_loss(Core(names, replicas, seed, seeds=seeds), lost, moment)

    def _first_start_with_a_loss(self, core, lost, moment):
        core.run(moment)
        core.wipe(lost)
        core.run(700)
        core.boot(lost)
        core.run(9000 - moment)
        self.assertTrue(core.write(5))
        core.run(4000)
        self.assertEqual(core.voters(), set(core.names))
        self.assertEqual(len(core.holders()), core.replicas + 1)

    def test_a_founder_that_starts_late(self):
        for seed in range(4):
            core = Core("abc", seed=seed)
            core.cut("c")
            core.run(6000)
            self.assertTrue(core.write(5), f"seed {seed}")
            core.heal()
            core.run(4000)
            self.assertEqual(core.voters(), {"a", "b", "c"}, f"seed {seed}")
            core.wipe(core.leader())
            core.run(3000)
            self.assertTrue(core.write(7), f"seed {seed}")

    def test_a_leaver_is_not_released_beside_a_member_that_was_just_lost(self):
        for seed in range(6):
            core = Core("abcd", seed=seed)
            core.run(4500)
            leaver, lost = (n for n in "abcd" if n not in core.holders())
            core.leave(leaver)
            core.run(560)
            core.wipe(lost)
            core.run(500)
            self.assertNotIn(leaver, core.left, f"seed {seed}")

    def test_a_leaver_is_released_soon_while_the_others_answer(self):
        for seed in range(6):
            core = Core("abcd", seed=seed)
            core.run(4500)
            leaver = next(n for n in "abcd" if n not in core.holders())
            core.leave(leaver)
            core.run(1300)
            self.assertIn(leaver, core.left, f"seed {seed}")

    def test_a_founder_alone_begins_nothing(self):
        core = Core("abc")
        core.cut("a")
        core.cut("b")
        core.run(9000)
        self.assertIsNone(core.leader())


if __name__ == "__main__":
    unittest.main()
