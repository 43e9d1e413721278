"""Faults in the consensus member that the model checker detected, each reduced to a minimal scenario."""

import unittest

from simulator.check import ModelState, Scope
from simulator.check.recovery import settle
from simulator.check.starts import ready
from simulator.check.transitions import At, Deliver, Power, fair, run_fairly
from simulator.core import Core
from simulator.timeline import play


def run_until(state, condition, is_dropped=lambda message: False, maximum_steps=400):
    """Runs the fair schedule until ``condition`` is true; drops the messages for which ``is_dropped`` is true."""
    for _ in range(maximum_steps):
        if condition(state):
            return
        transition = fair(state)
        if isinstance(transition, Deliver) and is_dropped(transition.message):
            state.flight.remove(transition.message)
        else:
            transition.play(state)
    raise AssertionError(f"condition not reached within {maximum_steps} steps")


class ModelCheckerFindings(unittest.TestCase):
    def check_timeline(self, text, seeds=range(6)):
        for seed in seeds:
            with self.subTest(seed=seed):
                play(self, Core("abc", seed=seed), text)

    def test_member_holds_the_next_copy_after_a_short_partition(self):
        for seed in range(6):
            core = Core("abc", seed=seed)
            core.run(2500)
            primary = core.leader()
            backup = next(name for name in core.holders() if name != primary)
            witness = next(name for name in "abc" if name not in core.holders())
            core.cut(witness)
            core.run(1700)
            core.heal()
            core.run(700)
            core.wipe(backup)
            core.run(2000)
            self.assertTrue(core.write(5), f"seed {seed}")

    def test_last_holder_may_become_primary_before_it_has_marked_the_view_active(self):
        state = ModelState.begin(Scope())

        def is_activation_of_the_backup(message):
            return type(message.record).__name__ == "Activate" and message.record.view.backups[0] == (
                state.nodes[message.target].member.id
            )

        run_until(state, lambda current_state: current_state.primary(), is_activation_of_the_backup)
        primary = state.primary()
        Power().play(state)
        At("wipe", primary).play(state)
        settle(state, then_lose=False)

    def test_partitioned_primary_does_not_complete_its_leave(self):
        for seed in range(6):
            core = Core("abc", seed=seed)
            core.run(2500)
            primary = core.leader()
            core.cut(primary)
            core.leave(primary)
            core.run(2500)
            self.assertNotIn(primary, core.left)

    def test_leaving_primary_keeps_its_seat_until_another_member_is_primary(self):
        self.check_timeline("""
            ms    a     b     c     x     y     any
            2500  lead  .     .     .     .     write=5
            2600  .     wipe  .     .     .     .
            2700  .     .     .     boot  boot  .
            2710  leave .     .     .     .     .
            9000  .     .     .     .     .     leads+has=5
            9100  .     .     .     .     .     write=7
        """)

    def test_founder_without_a_view_does_not_leave_at_once(self):
        state = ModelState.begin(Scope())
        run_until(state, lambda current_state: all(node.ledger.known_founders for node in current_state.nodes.values()))
        At("leave", "a").play(state)
        self.assertFalse(state.nodes["a"].left)

    def test_leaving_witness_waits_for_its_replacement(self):
        state = ready(Scope())
        primary = state.primary()
        holders = state.nodes[primary].ledger.leadership.view.holders
        witness = next(name for name, node in state.nodes.items() if node.member.id not in holders)
        At("leave", witness).play(state)
        run_fairly(state, 200)
        At("join", "x").play(state)
        run_fairly(state, 4000)
        At("remove", primary).play(state)
        settle(state, then_lose=False)

    def test_founder_loses_its_disk_at_each_stage_of_the_first_start(self):
        for names, replicas, seeds in (("abc", 1, "abc"), ("abcde", 2, "abc")):
            for lost in "abc":
                for failure_ms in (1, 15, 25, 40, 80, 300, 700, 1500, 2500, 4000):
                    for seed in range(2):
                        with self.subTest(names=names, lost=lost, failure_ms=failure_ms, seed=seed):
                            self._check_first_start_with_lost_disk(
                                Core(names, replicas, seed, seeds=seeds), lost, failure_ms
                            )

    def _check_first_start_with_lost_disk(self, core, lost, failure_ms):
        core.run(failure_ms)
        core.wipe(lost)
        core.run(700)
        core.boot(lost)
        core.run(9000 - failure_ms)
        self.assertTrue(core.write(5))
        core.run(4000)
        self.assertEqual(core.voters(), set(core.names))
        self.assertEqual(len(core.holders()), core.replicas + 1)

    def test_late_founder_becomes_a_voter(self):
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

    def test_leaving_member_is_not_released_right_after_the_loss_of_another(self):
        for seed in range(6):
            core = Core("abcd", seed=seed)
            core.run(4500)
            leaving_member, lost = (name for name in "abcd" if name not in core.holders())
            core.leave(leaving_member)
            core.run(560)
            core.wipe(lost)
            core.run(500)
            self.assertNotIn(leaving_member, core.left, f"seed {seed}")

    def test_leaving_member_is_released_promptly_while_the_others_answer(self):
        for seed in range(6):
            core = Core("abcd", seed=seed)
            core.run(4500)
            leaving_member = next(name for name in "abcd" if name not in core.holders())
            core.leave(leaving_member)
            core.run(1300)
            self.assertIn(leaving_member, core.left, f"seed {seed}")

    def test_single_founder_elects_no_primary(self):
        core = Core("abc")
        core.cut("a")
        core.cut("b")
        core.run(9000)
        self.assertIsNone(core.leader())


if __name__ == "__main__":
    unittest.main()
