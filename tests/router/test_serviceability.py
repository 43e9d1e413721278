"""Regression: routers that could reach no runner stayed ready and rejected all requests.

No traffic entered their zone for 4.7 s, while all but one of its runners had restarted as new instances. On a day with
faults in a ``places`` deployment, 489 of 1,400 requests were rejected there, although other zones had enough routers
and runners.
"""

import asyncio
import unittest
from datetime import timedelta

from absl.logging import get_absl_logger as absl_logger

from simulator.clients import Client
from simulator.virtual import world
from sparloom.discovery import Endpoint, EndpointList
from sparloom.router.frontend import READY_PATH
from sparloom.transport import monotonic
from tests.support.router_fixture import RouterFixture

GRACE_S = 3.0 / 8
LOG = ["readiness: too few runners reachable", "readiness: enough runners reachable"]
SECOND = timedelta(seconds=1)


class Serviceability(unittest.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with RouterFixture(2) as self.rig:
                self.backends = list(self.rig.state.backends.by_id.values())
                await scenario()

        with world(1) as loop:
            loop.run_until_complete(run())

    async def ready(self, seconds=0.0):
        """Runs the ticks of some seconds; returns whether the readiness endpoint then reports the router as ready."""
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            self.rig.state.serviceability.tick(monotonic())
        answer = await self.rig.front._handle_platform_request(type("Asked", (), {"path": READY_PATH})())
        return answer.status == 200

    async def send(self):
        client = await Client.connect("127.0.0.1", self.rig.port)
        outcome = await client.send("/once/x", f"a{id(client)}")
        return outcome.status, client.open

    def test_a_router_that_reaches_no_runner_is_unready_and_closes_the_connections_of_rejected_requests(self):
        async def scenario():
            self.assertTrue(await self.ready(1.0))
            for runner in self.rig.runners:
                runner.script = ["moved"] * 4
            self.assertEqual(await self.send(), (503, True))
            self.assertTrue(await self.ready(GRACE_S - 0.1))
            self.assertFalse(await self.ready(0.2))
            self.assertEqual(await self.send(), (503, False))

        self.run_scenario(scenario)

    def test_one_reachable_runner_is_enough_of_eight_but_not_of_nine(self):
        async def scenario():
            for listed, ready in ((8, True), (9, False)):
                endpoints = [Endpoint(f"i-{i}", "s", f"127.0.0.1:{i + 1}", "z1", 8, False, 0) for i in range(listed)]
                self.rig.state.endpoint_list = EndpointList(endpoints, 1)
                self.rig.state.update_backends()
                for backend in list(self.rig.state.backends.by_id.values())[1:]:
                    backend.record_absence(monotonic(), 10 * SECOND)
                self.assertEqual(await self.ready(GRACE_S + 0.1), ready)

        self.run_scenario(scenario)

    def test_draining_runners_do_not_count(self):
        async def scenario():
            endpoints = [
                Endpoint(f"i-{i}", "s", f"127.0.0.1:{i + 1}", "z1", 8, draining, 0)
                for i, draining in enumerate((True, True, False))
            ]
            self.rig.state.endpoint_list = EndpointList(endpoints, 1)
            self.rig.state.update_backends()
            self.rig.state.backends.by_id["i-2"].record_absence(monotonic(), 10 * SECOND)
            self.assertFalse(await self.ready(GRACE_S + 0.1))

        self.run_scenario(scenario)

    def test_one_reachable_runner_of_two_is_enough(self):
        async def scenario():
            self.backends[0].record_absence(monotonic(), 10 * SECOND)
            self.assertTrue(await self.ready(2.0))
            self.backends[1].record_failure(monotonic(), 10 * SECOND)
            self.assertTrue(await self.ready(2.0))
            self.backends[1].record_absence(monotonic(), 10 * SECOND)
            with self.assertLogs(absl_logger()) as log:
                self.assertFalse(await self.ready(2.0))
                self.backends[1].record_success()
                self.assertTrue(await self.ready(1.0))
            self.assertEqual([record.getMessage() for record in log.records], LOG)

        self.run_scenario(scenario)

    def test_runners_in_an_unreachable_zone_are_unreachable(self):
        async def scenario():
            zones = self.rig.state.zones
            zones.await_activity("i-0", "z1", monotonic(), SECOND, lambda: None)
            self.assertTrue(await self.ready(0.05))
            for _ in range(30):
                await asyncio.sleep(0.05)
                zones.tick(monotonic())
            for runner in ("i-0", "i-1"):
                zones.note_failed_probe("z1", runner, monotonic())
            self.assertFalse(await self.ready(GRACE_S + 0.1))
            zones.note_activity("z1", monotonic())
            self.assertTrue(await self.ready(0.05))

        self.run_scenario(scenario)

    def test_the_routers_tick_updates_zone_reachability_and_readiness(self):
        async def scenario():
            node = self.rig.state
            node.zones.await_activity("i-0", "z1", monotonic(), SECOND, lambda: None)
            for backend in self.backends:
                backend.record_absence(monotonic(), 10 * SECOND)
            for turn in range(1, 40):
                await asyncio.sleep(0.05)
                node._on_tick(turn)
            self.assertTrue(node.serviceability.partitioned)
            self.assertFalse(await self.ready())
            self.assertGreater(sum(runner.accepted_connections for runner in self.rig.runners), 0)

        self.run_scenario(scenario)

    def test_a_router_without_listed_runners_does_not_count_as_partitioned(self):
        async def scenario():
            self.rig.state.backends = type(self.rig.state.backends)()
            await self.ready(2.0)
            self.assertFalse(self.rig.state.serviceability.partitioned)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
