"""Hedging: an idempotent request at an unresponsive backend may continue at another one, but never fails for it."""

import asyncio
import unittest

from simulator.clients import Client
from simulator.virtual import world
from tests.support.router_fixture import POLICY, RouterFixture, route

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 6))
ROUTES = [
    route("resume", "/resume/", resumeStreams=True, timeoutMs=8000),
    route("three", "/three/", resumeStreams=True, timeoutMs=8000, maxAttempts=3),
    route("safe", "/safe/", routeKind="safe", timeoutMs=8000),
]


class HedgingTestCase(unittest.TestCase):
    """Sends one request; the runners share a script and follow it in the order in which they are chosen."""

    def send_request(self, *behaviors, path="/resume/x", runners=2, silence=2.0, prepare=None):
        """Return the answer to one request."""

        async def run():
            async with RouterFixture(runners, {**POLICY, "routes": ROUTES}) as self.rig:
                script = list(behaviors)
                for runner in self.rig.runners:
                    runner.script, runner.delay_s = script, silence
                if prepare:
                    prepare(self.rig)
                answer = await self.rig.send(path, left=8000)
                self.assertEqual(self.rig.state.in_flight.own, {})
                self.sent = [request.word for runner in self.rig.runners for request in runner.received]
                return answer

        with world(1) as loop:
            return loop.run_until_complete(asyncio.wait_for(run(), 60))

    def assert_complete(self, answer):
        self.assertEqual((answer.status, answer.body, answer.is_complete), (200, EVENTS, True))


class UnresponsiveBackends(HedgingTestCase):
    def test_request_continues_at_a_runner_that_responds(self):
        for behavior in ("late", "still"):
            with self.subTest(behavior=behavior):
                self.assert_complete(self.send_request(behavior, "ok", silence=7.0))
                self.assertEqual(sorted(self.sent), sorted([behavior, "ok"]))

    def test_request_stays_when_the_hedged_attempt_fails(self):
        for path in ("/resume/x", "/three/x"):
            for behavior in ("late", "still"):
                for other in ("shed", "busy", "reset", "junk", "moved", "error"):
                    with self.subTest(path=path, behavior=behavior, other=other):
                        self.assert_complete(self.send_request(behavior, other, path=path))

    def test_request_stays_when_no_other_runner_has_capacity(self):
        def fill(rig):
            for backend in list(rig.state.backends.by_id.values())[1:]:
                rig.state.in_flight.own[backend.id] = 10**4

        for behavior in ("late", "still"):
            with self.subTest(behavior=behavior):

                async def run(behavior=behavior):
                    async with RouterFixture(2, {**POLICY, "routes": ROUTES}) as rig:
                        for runner in rig.runners:
                            runner.script, runner.delay_s = [behavior], 2.0
                        fill(rig)
                        return await rig.send("/resume/x", left=8000)

                with world(1) as loop:
                    self.assert_complete(loop.run_until_complete(asyncio.wait_for(run(), 60)))

    def test_first_response_is_used_when_all_runners_are_unresponsive(self):
        self.assert_complete(self.send_request("still", "late", "late", path="/three/x", runners=3))

    def test_safe_request_is_hedged(self):
        self.assertEqual(self.send_request("late", "ok", path="/safe/x", silence=7.0).status, 200)
        self.assertEqual(self.send_request("late", "shed", path="/safe/x").status, 200)

    def test_unresponsive_runner_disconnects_during_the_hedged_attempt(self):
        answer = self.send_request("still", "late", silence=1.4, prepare=self._disconnect_first_runner)
        self.assert_complete(answer)

    @staticmethod
    def _disconnect_first_runner(rig):
        """Close the connections of the first chosen runner after 1.2 s."""

        async def disconnect():
            await asyncio.sleep(1.2)
            first = next(runner for runner in rig.runners if runner.received and runner.received[0].word == "still")
            for task in list(first.tasks):
                task.cancel()

        asyncio.ensure_future(disconnect())

    def test_client_disconnect_cancels_both_attempts(self):
        async def run():
            async with RouterFixture(2, {**POLICY, "routes": ROUTES}) as rig:
                for runner in rig.runners:
                    runner.script = ["hang"]
                client = await Client.connect("127.0.0.1", rig.port)
                request = asyncio.ensure_future(client.send("/resume/x", "a1"))
                await asyncio.sleep(1.2)
                in_flight = sum(rig.state.in_flight.own.values())
                client.close()
                request.cancel()
                await asyncio.sleep(0.1)
                return in_flight, rig.state.in_flight.own, sum(runner.dropped for runner in rig.runners)

        with world(1) as loop:
            self.assertEqual(loop.run_until_complete(asyncio.wait_for(run(), 60)), (2, {}, 2))
