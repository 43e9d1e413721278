"""Changes of the configuration and the endpoint list while requests are waiting, retried or streaming."""

import asyncio
import itertools
import unittest

from simulator.clients import Client
from simulator.virtual import world
from sparloom.configuration import build
from sparloom.discovery import Endpoint, EndpointList
from tests.support.router_fixture import POLICY, RouterFixture, route

ROUTES = [route("once", "/once/", timeoutMs=8000), route("resume", "/resume/", resumeStreams=True, timeoutMs=8000)]
SERVICE = POLICY["services"][0]
BASE = {**POLICY, "routes": ROUTES}
# The route timeout that one of the changes sets.
SHORT_TIMEOUT_S = 0.3
CHANGES = {
    "route removed": {**BASE, "routes": [route("other", "/other/")]},
    "route renamed": {**BASE, "routes": [route("once-2", "/once/"), route("resume-2", "/resume/")]},
    "service renamed": {
        **BASE,
        "routes": [route("once", "/once/", service="t"), route("resume", "/resume/", service="t")],
        "services": [{**SERVICE, "name": "t"}],
    },
    "no routes": {**BASE, "routes": [], "services": []},
    "fewer connections": {**BASE, "services": [{**SERVICE, "connectionLimit": 1}]},
    "kind changed": {
        **BASE,
        "routes": [route("once", "/once/", resumeStreams=True), route("resume", "/resume/", maxAttempts=1)],
    },
    "timeout changed": {
        **BASE,
        "routes": [{**changed, "timeoutMs": int(SHORT_TIMEOUT_S * 1000)} for changed in ROUTES],
    },
}
BEHAVIORS = ("late", "still", "cut")
CHANGE_DELAYS_S = (0.0, 0.3, 0.9)
CLIENTS = 40
SCENARIOS = tuple(itertools.product(CHANGES, BEHAVIORS, CHANGE_DELAYS_S, (False, True)))


class Changes(unittest.TestCase):
    def run_scenario(self, change, behavior, delay_s, change_runners, path):
        """Return the outcomes of concurrent requests to runners with this behavior, with a change after ``delay_s``."""

        async def run():
            async with RouterFixture(2, BASE) as rig:
                self.rig = rig
                for runner in rig.runners:
                    runner.script, runner.delay_s = [behavior] * 12, 1.0
                clients = [await Client.connect("127.0.0.1", rig.port) for _ in range(CLIENTS)]
                sends = [asyncio.ensure_future(client.send(path, f"r{i}")) for i, client in enumerate(clients)]
                await asyncio.sleep(delay_s)
                self.apply_change(change, change_runners)
                return await asyncio.gather(*sends)

        with world(1) as loop:
            return loop.run_until_complete(asyncio.wait_for(run(), 60))

    def apply_change(self, change, change_runners):
        state = self.rig.state
        state.configuration = build({**CHANGES[change], "revision": 2})
        if change_runners:
            runner = self.rig.runners[1]
            remaining = [Endpoint(runner.id, "s", f"127.0.0.1:{runner.port}", "z1", 8, False, 0)]
            state.endpoint_list = EndpointList(remaining, 1)
        state.update_backends()
        state.queues.tick()

    def check(self, path, statuses):
        for change, behavior, delay_s, change_runners in SCENARIOS:
            with self.subTest(change=change, behavior=behavior, delay_s=delay_s, change_runners=change_runners):
                outcomes = self.run_scenario(change, behavior, delay_s, change_runners, path)
                if change == "timeout changed":
                    outcomes = [
                        outcome
                        for outcome in outcomes
                        if outcome.whole and outcome.status != 504 or outcome.ended - outcome.sent < SHORT_TIMEOUT_S
                    ]
                self.assertEqual({outcome.status for outcome in outcomes} - statuses, set())
                if behavior != "cut":
                    self.assertTrue(
                        all(outcome.whole for outcome in outcomes),
                        [outcome for outcome in outcomes if not outcome.whole],
                    )

    def test_streams_that_must_not_be_repeated(self):
        self.check("/once/x", {200, 404, 503, 502})

    def test_resumable_streams(self):
        self.check("/resume/x", {200, 404, 503, 502})
