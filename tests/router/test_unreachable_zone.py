"""Tests of an unreachable zone: waiting requests are retried elsewhere, and new ones avoid it until a probe succeeds."""

import asyncio
import random
import unittest
from datetime import timedelta
from unittest import mock

from absl.logging import get_absl_logger as absl_logger

from simulator.virtual import world
from sparloom.compare.zones import zone_lines
from sparloom.discovery import Endpoint, EndpointList
from sparloom.router import zone_prober
from sparloom.router.backends import BackendTable
from sparloom.transport import dial, monotonic
from tests.support.router_fixture import POLICY, RouterFixture, route

ROUTES = [
    route("resume", "/resume/", resumeStreams=True, timeoutMs=8000, targetMs=400),
    route("once", "/once/", timeoutMs=3000, targetMs=400),
]
RUNNERS = 8
UNREACHABLE_ZONE_KEYS = {"unreachableMs", "silentRunners"}


class UnreachableZone(unittest.TestCase):
    """Runners 0 to 3 are in the zone ``dark``, the others in the zone ``light``; the router is in another zone."""

    def run_scenario(self, scenario):
        async def run():
            async with RouterFixture(RUNNERS, {**POLICY, "routes": ROUTES}) as self.rig:
                self.dark, self.light = self.rig.runners[:4], self.rig.runners[4:]
                self.rng = random.Random(1)
                self.list_runners()
                await scenario()

        self.partitioned, self.probes = True, 0
        with world(1) as loop, mock.patch.object(zone_prober, "dial", self.dial):
            loop.run_until_complete(asyncio.wait_for(run(), 60))

    async def dial(self, host, port, timeout):
        """Dials for a probe; times out while the zone is partitioned."""
        self.probes += 1
        if self.partitioned and port in {runner.port for runner in self.dark}:
            await asyncio.sleep(timeout.total_seconds())
            raise TimeoutError
        return await dial(host, port, timeout)

    def list_runners(self):
        zones = ["dark"] * 4 + ["light"] * 4
        endpoints = [
            Endpoint(runner.id, "s", f"127.0.0.1:{runner.port}", zone, 8, False, 0)
            for runner, zone in zip(self.rig.runners, zones, strict=True)
        ]
        self.rig.state.backends = BackendTable()
        self.rig.state.endpoint_list = EndpointList(endpoints, 1)
        self.rig.state.update_backends()

    async def tick_for(self, seconds):
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            self.rig.state.zone_prober.tick()

    def send(self, path, number):
        """Sends a request with a unique long prompt, so that requests are spread over all runners."""
        prefix = f"X-Sparloom-Prompt-Prefix: {self.rng.getrandbits(60):x}:2000,{self.rng.getrandbits(60):x}:10"
        return self.rig.send(path, id=f"a{number}", left=7000, headers=[prefix])

    def make_dark_zone_unresponsive(self):
        for runner in self.dark:
            runner.script, runner.delay_s = ["late"] * 100, 20.0

    async def send_until_unreachable(self, path):
        """Sends requests one after another until the router finds the zone unreachable; returns their tasks."""
        tasks = []
        for number in range(100):
            tasks.append(asyncio.ensure_future(self.send(path, number)))
            await self.tick_for(0.05)
            if self.rig.state.zones.is_unreachable("dark"):
                return tasks
        return self.fail("the zone was not found unreachable")

    def test_waiting_requests_are_retried_elsewhere_before_their_timeout(self):
        async def scenario():
            self.make_dark_zone_unresponsive()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            tasks = await self.send_until_unreachable("/resume/x")
            self.assertLess(loop.time() - started_at, 0.7)
            responses = await asyncio.gather(*tasks)
            self.assertEqual({response.status for response in responses}, {200})
            self.assertLess(loop.time() - started_at, 0.75)

        self.run_scenario(scenario)

    def test_new_requests_avoid_the_zone_and_at_most_once_requests_are_not_moved(self):
        async def scenario():
            self.make_dark_zone_unresponsive()
            tasks = await self.send_until_unreachable("/once/x")
            sent = sum(len(runner.received) for runner in self.dark)
            responses = await asyncio.gather(*(self.send("/once/x", number) for number in range(100, 120)))
            self.assertEqual({response.status for response in responses}, {200})
            self.assertEqual(sum(len(runner.received) for runner in self.dark), sent)
            responses = await asyncio.gather(*tasks)
            self.assertEqual(sorted({response.status for response in responses}), [200, 504])
            self.assertEqual(sum(response.status == 504 for response in responses), sent)

        self.run_scenario(scenario)

    def test_a_probe_detects_without_a_request_that_the_zone_is_reachable_again(self):
        async def scenario():
            self.make_dark_zone_unresponsive()
            tasks = await self.send_until_unreachable("/resume/x")
            await asyncio.gather(*tasks)
            sent = sum(len(runner.received) for runner in self.dark)
            with self.assertLogs(absl_logger()) as log:
                await self.tick_for(1.0)
                self.assertTrue(self.rig.state.zones.is_unreachable("dark"))
                self.partitioned = False
                for backend in self.rig.state.backends.by_id.values():
                    backend.record_absence(monotonic(), timedelta(seconds=9))
                await self.tick_for(0.6)
            absent_zones = {
                backend.zone for backend in self.rig.state.backends.by_id.values() if backend.is_absent(monotonic())
            }
            self.assertEqual(absent_zones, {"light"})
            self.assertFalse(self.rig.state.zones.is_unreachable("dark"))
            self.assertEqual(sum(len(runner.received) for runner in self.dark), sent)
            self.assertEqual([record.getMessage() for record in log.records], ["zones: reachable again zone=dark"])

        self.run_scenario(scenario)

    def test_slow_but_reachable_runners_do_not_make_a_zone_unreachable(self):
        async def scenario():
            self.partitioned = False
            self.make_dark_zone_unresponsive()
            tasks = []
            for number in range(40):
                tasks.append(asyncio.ensure_future(self.send("/resume/x", number)))
                await self.tick_for(0.05)
                self.assertFalse(self.rig.state.zones.is_unreachable("dark"))
            self.assertGreater(self.probes, 0)
            self.assertEqual({response.status for response in await asyncio.gather(*tasks)}, {200})

        self.run_scenario(scenario)

    def test_ended_requests_leave_no_awaited_signs(self):
        async def scenario():
            self.partitioned = False
            for runner in self.rig.runners:
                runner.script, runner.delay_s = ["late", "still", "ok", "reset", "shed", "moved", "cut"] * 20, 1.5
            requests = [self.send(path, number) for number, path in enumerate(["/resume/x", "/once/x"] * 20)]
            await asyncio.gather(*requests)
            zones = self.rig.state.zones
            self.assertEqual([len(awaited) for awaited in zones._awaited.values()], [0, 0])

        self.run_scenario(scenario)

    def test_a_zone_without_runners_is_no_longer_unreachable(self):
        async def scenario():
            self.make_dark_zone_unresponsive()
            tasks = await self.send_until_unreachable("/resume/x")
            await asyncio.gather(*tasks)
            self.rig.state.endpoint_list = EndpointList(self.rig.state.endpoint_list.runners[4:], 1)
            self.rig.state.update_backends()
            await self.tick_for(0.3)
            self.assertFalse(self.rig.state.zones.is_unreachable("dark"))

        self.run_scenario(scenario)

    def test_an_unreachable_zone_is_shown_among_the_beliefs(self):
        async def scenario():
            self.make_dark_zone_unresponsive()
            tasks = await self.send_until_unreachable("/resume/x")
            beliefs = self.rig.front.beliefs()
            self.assertEqual(beliefs["zones"]["dark"].keys() - beliefs["zones"]["light"].keys(), UNREACHABLE_ZONE_KEYS)
            dark_line, light_line = zone_lines(beliefs)
            self.assertIn("front-1: dark in service, unreachable for ", dark_line)
            self.assertEqual(light_line, "front-1: light in service, 4 runners, 0 draining, 0 cold")
            await asyncio.gather(*tasks)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
