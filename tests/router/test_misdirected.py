"""Misdirected requests (421) don't count as attempts of the route.

Regression: the runners of a zone lost power and were replaced by other instances at the same addresses. Routers with
an outdated endpoint list sent them requests of a route with one attempt. Each got 421 and did not run, but used up the
only attempt, so the client got 503 with seconds left before its deadline.
Trace: `reaches server ... answers 421 and doesn't run it (misdirected)`, 5 ms later `the client gets 503`.
"""

import unittest

from simulator.virtual import world
from tests.support.router_fixture import POLICY, STARTUP, RouterFixture, route

ROUTES = [route("single", "/single/", maxAttempts=1), route("two", "/two/", maxAttempts=2, resumeStreams=True)]
NO_BUDGET = {**STARTUP, "bounds": {"retryBudgetRatio": 0.0, "retryBudgetSlack": 0}}


class Misdirected(unittest.TestCase):
    def send_request(self, *behaviors, path="/single/x", runners=3, startup=STARTUP):
        """Return the status of one request; runners follow ``behaviors`` in the order in which they are chosen."""

        async def run():
            async with RouterFixture(runners, {**POLICY, "routes": ROUTES}, startup) as rig:
                script = list(behaviors)
                for runner in rig.runners:
                    runner.script = script
                answer = await rig.send(path)
                self.sent = [request.word for runner in rig.runners for request in runner.received]
                return answer.status

        with world(1) as loop:
            return loop.run_until_complete(run())

    def test_misdirected_request_is_sent_to_another_runner(self):
        self.assertEqual(self.send_request("moved", "moved", "ok"), 200)
        self.assertEqual(sorted(self.sent), ["moved", "moved", "ok"])

    def test_each_runner_is_tried_once(self):
        self.assertEqual(self.send_request("moved", "moved", "moved", "ok"), 503)
        self.assertEqual(len(self.sent), 3)

    def test_request_that_may_have_run_is_not_retried(self):
        for behavior in ("reset", "junk", "noseal"):
            with self.subTest(behavior=behavior):
                self.assertEqual(self.send_request("moved", behavior, "ok"), 502)
                self.assertEqual(sorted(self.sent), sorted(["moved", behavior]))

    def test_rejection_uses_an_attempt(self):
        self.assertEqual(self.send_request("shed", "ok"), 503)
        self.assertEqual(self.send_request("moved", "shed", "ok"), 503)

    def test_runs_are_limited_by_the_attempts_of_the_route(self):
        self.assertEqual(self.send_request("moved", "reset", "moved", "ok", path="/two/x", runners=5), 200)
        self.assertEqual(self.send_request("reset", "moved", "reset", "ok", path="/two/x", runners=5), 502)
        self.assertNotIn("ok", self.sent)

    def test_misdirected_request_counts_against_the_retry_budget(self):
        self.assertEqual(self.send_request("moved", "ok", startup=NO_BUDGET), 503)
        self.assertEqual(self.sent, ["moved"])

    def test_misdirected_hedged_attempt_uses_no_attempt(self):
        self.assertEqual(self.send_request("late", "moved", "ok", path="/two/x"), 200)


if __name__ == "__main__":
    unittest.main()
