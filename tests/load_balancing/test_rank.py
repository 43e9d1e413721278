"""Choosing a runner: order, seeded fleets in simulated time, and what a start loads."""

import subprocess
import sys
import unittest

from sparloom.load_balancing import Candidate, Weights, choose, rendezvous_weight
from tests.support.load_balancing_fleet import Fleet
from tests.support.router_fixture import Rig

PLAIN = Weights(recompute=0.6, home=1.0, same_zone=48, warm=0)


def order(*candidates, shared=0):
    return [candidate.id for candidate in choose(candidates, shared)]


class Order(unittest.TestCase):
    def test_a_prefix_waits_where_it_is_cached(self):
        self.assertEqual(
            order(Candidate("a", 3000, queued_tokens=40_000), Candidate("b", 16_000), shared=13_000), ["a", "b"]
        )
        self.assertEqual(
            order(Candidate("a", 3000, queued_tokens=100_000), Candidate("b", 16_000), shared=13_000), ["b", "a"]
        )

    def test_an_unknown_prefix_goes_home(self):
        self.assertEqual(
            order(
                Candidate("a", 9000, affinity_weight=1, same_zone=True, warm=True),
                Candidate("b", 9000, affinity_weight=2),
                shared=8000,
            ),
            ["b", "a"],
        )

    def test_runners_of_the_zone_and_warm_ones_win_among_equals_only(self):
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

    def test_homes_are_spread_evenly(self):
        homes = [
            max(
                range(36),
                key=lambda i: rendezvous_weight(k * 0x9E3779B97F4A7C15 % 2**64, (i + 1) * 0xD1342543DE82EF95 % 2**64),
            )
            for k in range(3600)
        ]
        self.assertLess(max(homes.count(i) for i in range(36)), 150)
        self.assertGreater(min(homes.count(i) for i in range(36)), 60)


class Fleets(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.before = [Fleet(PLAIN, seed, yields=False).run() for seed in (1, 2)]
        cls.after = [Fleet(seed=seed).run() for seed in (1, 2)]

    def test_shared_parts_are_seldom_prefilled_again(self):
        self.assertLess(sum(f.again for f in self.after), 0.6 * sum(f.again for f in self.before))

    def test_no_more_requests_are_late(self):
        for long, target in ((True, 0.8), (False, 0.4)):
            now, then = (sum(f.late_share(long, target) for f in fs) for fs in (self.after, self.before))
            self.assertLessEqual(now, then)

    def test_fewer_connections_are_opened(self):
        self.assertLess(sum(f.opened for f in self.after), 0.8 * sum(f.opened for f in self.before))

    def test_load_stays_even(self):
        for f in self.after:
            self.assertLess(f.spread(), 1.4)

    def test_late_updates_cost_little(self):
        f = Fleet(seed=1, late=0.5).run()
        self.assertLess(f.again, self.before[0].again)
        self.assertLess(f.late_share(True, 0.8), 0.15)


class Sending(unittest.IsolatedAsyncioTestCase):
    async def test_heavy_prompts_get_a_lower_priority(self):
        async with Rig(1) as rig:
            for n, want in ((1200, "0"), (1300, "1")):
                await rig.send("/once/x", heads=[f"X-Sparloom-Prompt-Prefix: {n:x}:{n}"])
                self.assertEqual(rig.runners[0].got[-1].head("X-Sparloom-Request-Urgency"), want)

    async def test_a_runner_is_warm_while_a_connection_is_idle(self):
        async with Rig(1) as rig:
            post = next(iter(rig.state.backends.by_id.values()))
            self.assertFalse(post.has_idle_connection())
            await rig.send("/once/x")
            self.assertTrue(post.has_idle_connection())
            post.client_session.connector._keepalive_timeout = 0.0
            self.assertFalse(post.has_idle_connection())


class Start(unittest.TestCase):
    def test_tls_is_never_loaded(self):
        code = "from sparloom.launch.early_listen import block_unused_modules; block_unused_modules(); import sys, sparloom.cli, sparloom.router.program, sparloom.controller.program; print(sys.modules['ssl'], '_ssl' in sys.modules and sys.modules['_ssl'])"
        got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual((got.stdout.strip(), got.returncode), ("None None", 0), got.stderr)
