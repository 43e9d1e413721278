"""Regression: clients got 503 for requests that met a runner's successor at its address, with seconds left.

A zone's runners lost power and came back as other instances. Routers that still had the list of before sent them
requests of a route with one attempt; each was answered 421, was not run, and took the route's only attempt with it.
Trace: `reaches server ... answers 421 and doesn't run it (misdirected)`, 5 ms later `the client gets 503`.
"""

import unittest

from simulator.virtual import world
from tests.support.router_fixture import POLICY, STARTUP, Rig, route

ROUTES = [route("single", "/single/", maxAttempts=1), route("two", "/two/", maxAttempts=2, resumeStreams=True)]
NO_BUDGET = {**STARTUP, "bounds": {"retryBudgetRatio": 0.0, "retryBudgetSlack": 0}}


class Misdirected(unittest.TestCase):
    def play(self, *words, path="/single/x", runners=3, startup=STARTUP):
        """The status of one request, where runners meet ``words`` in the order in which they are picked."""

        async def story():
            async with Rig(runners, {**POLICY, "routes": ROUTES}, startup) as rig:
                script = list(words)
                for runner in rig.runners:
                    runner.script = script
                answer = await rig.send(path)
                self.sent = [got.word for runner in rig.runners for got in runner.got]
                return answer.status

        with world(1) as loop:
            return loop.run_until_complete(story())

    def test_a_request_goes_on_to_another_runner(self):
        self.assertEqual(self.play("moved", "moved", "ok"), 200)
        self.assertEqual(sorted(self.sent), ["moved", "moved", "ok"])

    def test_no_runner_is_asked_twice(self):
        self.assertEqual(self.play("moved", "moved", "moved", "ok"), 503)
        self.assertEqual(len(self.sent), 3)

    def test_what_may_have_run_is_still_sent_no_further(self):
        for word in ("reset", "junk", "noseal"):
            with self.subTest(word=word):
                self.assertEqual(self.play("moved", word, "ok"), 502)
                self.assertEqual(sorted(self.sent), sorted(["moved", word]))

    def test_a_full_runner_takes_an_attempt(self):
        self.assertEqual(self.play("shed", "ok"), 503)
        self.assertEqual(self.play("moved", "shed", "ok"), 503)

    def test_runs_stay_within_the_attempts_of_the_route(self):
        self.assertEqual(self.play("moved", "reset", "moved", "ok", path="/two/x", runners=5), 200)
        self.assertEqual(self.play("reset", "moved", "reset", "ok", path="/two/x", runners=5), 502)
        self.assertNotIn("ok", self.sent)

    def test_every_further_arrival_is_charged_to_the_budget(self):
        self.assertEqual(self.play("moved", "ok", startup=NO_BUDGET), 503)
        self.assertEqual(self.sent, ["moved"])

    def test_a_hedged_attempt_that_was_misdirected_takes_none_either(self):
        self.assertEqual(self.play("late", "moved", "ok", path="/two/x"), 200)


if __name__ == "__main__":
    unittest.main()
