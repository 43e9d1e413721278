"""Tests the ranking of runners, seeded fleets in simulated time, and that a start doesn't load TLS."""

import subprocess
import sys
import unittest

from sparloom.load_balancing import Candidate, Weights, choose, rendezvous_weight
from tests.support.load_balancing_fleet import Fleet
from tests.support.router_fixture import RouterFixture

# Weights with a weaker preference for cached prefixes and warm runners, for comparison.
BASELINE = Weights(recompute=0.6, home=1.0, same_zone=48, warm=0)


def order(*candidates, shared_tokens=0):
    return [candidate.id for candidate in choose(candidates, shared_tokens)]


class Order(unittest.TestCase):
    def test_a_request_prefers_a_longer_queue_to_another_prefill_up_to_a_bound(self):
        self.assertEqual(
            order(Candidate("a", 3000, queued_tokens=40_000), Candidate("b", 16_000), shared_tokens=13_000), ["a", "b"]
        )
        self.assertEqual(
            order(Candidate("a", 3000, queued_tokens=100_000), Candidate("b", 16_000), shared_tokens=13_000), ["b", "a"]
        )

    def test_an_uncached_prefix_prefers_its_home(self):
        self.assertEqual(
            order(
                Candidate("a", 9000, affinity_weight=1, same_zone=True, warm=True),
                Candidate("b", 9000, affinity_weight=2),
                shared_tokens=8000,
            ),
            ["b", "a"],
        )

    def test_zone_and_open_connection_decide_only_among_equal_runners(self):
        self.assertEqual(
            order(Candidate("a", 300), Candidate("b", 300, warm=True), Candidate("c", 300, same_zone=True, warm=True)),
            ["c", "b", "a"],
        )
        self.assertEqual(
            order(Candidate("a", 300), Candidate("b", 300, queued_tokens=2000, same_zone=True, warm=True)), ["a", "b"]
        )

    def test_full_cold_and_suspected_runners_come_last(self):
        self.assertEqual(
            order(
                Candidate("a", 0, suspicion=1),
                Candidate("b", 0, calls=4, slots=4),
                Candidate("c", 0, cold=True),
                Candidate("d", 9000),
            ),
            ["d", "c", "b", "a"],
        )

    def test_homes_are_distributed_evenly(self):
        homes = [
            max(
                range(36),
                key=lambda runner: rendezvous_weight(
                    prefix * 0x9E3779B97F4A7C15 % 2**64, (runner + 1) * 0xD1342543DE82EF95 % 2**64
                ),
            )
            for prefix in range(3600)
        ]
        self.assertLess(max(homes.count(runner) for runner in range(36)), 150)
        self.assertGreater(min(homes.count(runner) for runner in range(36)), 60)


class SimulatedFleets(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.baseline = [Fleet(BASELINE, seed, defer_heavy_prefills=False).run() for seed in (1, 2)]
        cls.current = [Fleet(seed=seed).run() for seed in (1, 2)]

    def test_fewer_shared_tokens_are_prefilled_again(self):
        self.assertLess(
            sum(fleet.repeated_prefill_tokens for fleet in self.current),
            0.6 * sum(fleet.repeated_prefill_tokens for fleet in self.baseline),
        )

    def test_the_share_of_late_requests_does_not_increase(self):
        for long, target in ((True, 0.8), (False, 0.4)):
            current, baseline = (
                sum(fleet.late_fraction(long, target) for fleet in fleets) for fleets in (self.current, self.baseline)
            )
            self.assertLessEqual(current, baseline)

    def test_fewer_connections_are_opened(self):
        self.assertLess(
            sum(fleet.connections_opened for fleet in self.current),
            0.8 * sum(fleet.connections_opened for fleet in self.baseline),
        )

    def test_load_is_balanced(self):
        for fleet in self.current:
            self.assertLess(fleet.imbalance(), 1.4)

    def test_delayed_placements_have_little_effect(self):
        fleet = Fleet(seed=1, placement_delay_s=0.5).run()
        self.assertLess(fleet.repeated_prefill_tokens, self.baseline[0].repeated_prefill_tokens)
        self.assertLess(fleet.late_fraction(True, 0.8), 0.15)


class RoutedRequests(unittest.IsolatedAsyncioTestCase):
    async def test_heavy_prompts_get_a_lower_priority(self):
        async with RouterFixture(1) as rig:
            for tokens, urgency in ((1200, "0"), (1300, "1")):
                await rig.send("/once/x", headers=[f"X-Sparloom-Prompt-Prefix: {tokens:x}:{tokens}"])
                self.assertEqual(rig.runners[0].received[-1].head("X-Sparloom-Request-Urgency"), urgency)

    async def test_a_runner_is_warm_while_a_connection_is_idle(self):
        async with RouterFixture(1) as rig:
            backend = next(iter(rig.state.backends.by_id.values()))
            self.assertFalse(backend.has_idle_connection())
            await rig.send("/once/x")
            self.assertTrue(backend.has_idle_connection())
            backend.client_session.connector._keepalive_timeout = 0.0
            self.assertFalse(backend.has_idle_connection())


class Imports(unittest.TestCase):
    def test_tls_is_not_imported(self):
        code = "from sparloom.launch.early_listen import block_unused_modules; block_unused_modules(); import sys, sparloom.cli, sparloom.router.program, sparloom.controller.program; print(sys.modules['ssl'], '_ssl' in sys.modules and sys.modules['_ssl'])"
        process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual((process.stdout.strip(), process.returncode), ("None None", 0), process.stderr)
