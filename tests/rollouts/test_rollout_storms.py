"""Tests of rollouts of good and bad versions under injected faults and leader changes, in simulated time."""

import random
import unittest

from simulator.virtual import world
from sparloom.rollouts import Status
from tests.support.rollout_group import NEW_VERSION, Defect, RolloutGroup

FAULTS = (
    "kill_leader",
    "freeze_leader",
    "partition_leader",
    "transfer_leadership",
    "freeze_routers",
    "partition_routers",
    "sick_runner",
    "order_again",
)
DEFECTS = {
    "errors": Defect(0.5),
    "slow": Defect(0.5, "slow"),
    "one route": Defect(0.5, routes=("rare",)),
    "late": Defect(0.5, start_after_s=3.0),
    "under load": Defect(0.5, minimum_in_flight=4),
}
SEEDS = 12


def random_faults(seed, count=6):
    rng = random.Random(f"rollout faults {seed}")
    return [(rng.uniform(0.2, 2.5), rng.choice(FAULTS)) for _ in range(count)]


def run_group(seed, defect=None, faults=(), **options):
    with world(seed) as loop:
        group = RolloutGroup(seed, defect, **options)
        loop.run_until_complete(group.run(faults))
    return group


class FaultInjectionTests(unittest.TestCase):
    def check_invariants(self, group):
        self.assertEqual(group.violations, [])
        if group.defect is not None:
            self.assertEqual(group.exposure_violation(), "")
            self.assertNotEqual(group.status(), Status.COMPLETED)

    def test_a_good_version_is_completed_in_time_without_faults(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                group = run_group(f"calm {seed}", rate=16.0)
                self.check_invariants(group)
                self.assertEqual(group.status(), Status.COMPLETED, group.state())

    def test_a_version_with_any_defect_is_rolled_back_without_faults(self):
        for name, defect in DEFECTS.items():
            for seed in range(4):
                with self.subTest(name, seed=seed):
                    group = run_group(f"{name} {seed}", defect)
                    self.check_invariants(group)
                    self.assertEqual(group.status(), Status.ROLLED_BACK, group.state())

    def test_invariants_hold_under_random_faults(self):
        for seed in range(SEEDS):
            name = random.Random(f"way {seed}").choice([None, *DEFECTS])
            with self.subTest(name, seed=seed):
                self.check_invariants(run_group(f"storm {seed}", DEFECTS.get(name), random_faults(seed)))

    def test_a_leader_change_at_any_step_does_not_reverse_the_verdict(self):
        for defect in (None, DEFECTS["errors"]):
            for step in range(8):
                with self.subTest(defect=defect, step=step):
                    self.check_invariants(
                        run_group(
                            f"lead {step}", defect, [(0.3 + 1.3 * step, "transfer_leadership"), (0.2, "kill_leader")]
                        )
                    )

    def test_a_good_version_is_not_rejected_for_an_unhealthy_runner_or_fleet(self):
        for fault in ("sick_runner", "sick_fleet"):
            for seed in range(4):
                with self.subTest(fault, seed=seed):
                    group = run_group(f"{fault} {seed}", None, [(3.0, fault)])
                    self.check_invariants(group)
                    reason = group.state().newest["s"].reason
                    self.assertFalse(reason.startswith("answers"), f"the version was rejected: {reason}")

    def test_a_repeated_order_after_the_verdict_changes_nothing(self):
        group = run_group("again", DEFECTS["errors"], [(9.0, "order_again")])
        self.check_invariants(group)
        self.assertEqual((group.status(), group.state().next_number), (Status.ROLLED_BACK, 2))

    def test_another_order_is_refused_while_a_rollout_is_in_progress(self):
        group = run_group("two", None, [(1.0, "order_other")])
        self.check_invariants(group)
        self.assertEqual(group.state().newest["s"].target, NEW_VERSION)
        self.assertEqual(group.state().next_number, 2)


if __name__ == "__main__":
    unittest.main()
