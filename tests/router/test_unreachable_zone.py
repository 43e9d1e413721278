"""A zone that falls silent is left by those who wait there and avoided, until a probe finds it again."""

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
from tests.support.router_fixture import POLICY, Rig, route

ROUTES = [
    route("resume", "/resume/", resumeStreams=True, timeoutMs=8000, targetMs=400),
    route("once", "/once/", timeoutMs=3000, targetMs=400),
]
RUNNERS = 8
TOLD_OF_UNREACHABLE = {"unreachableMs", "silentRunners"}


class UnreachableZone(unittest.TestCase):
    """Runners 0 to 3 are in zone ``dark``, the others in ``light``; the router is in neither."""

    def play(self, story):
        async def run():
            async with Rig(RUNNERS, {**POLICY, "routes": ROUTES}) as self.rig:
                self.dark, self.light = self.rig.runners[:4], self.rig.runners[4:]
                self.luck = random.Random(1)
                self.list_runners()
                await story()

        self.cut, self.probes = True, 0
        with world(1) as loop, mock.patch.object(zone_prober, "dial", self.dial):
            loop.run_until_complete(asyncio.wait_for(run(), 60))

    async def dial(self, host, port, timeout):
        """A probe's connection: into the cut zone none opens."""
        self.probes += 1
        if self.cut and port in {runner.port for runner in self.dark}:
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

    def send(self, path, n):
        """One request with a long prompt of its own, so that requests spread over all runners."""
        prefix = f"X-Sparloom-Prompt-Prefix: {self.luck.getrandbits(60):x}:2000,{self.luck.getrandbits(60):x}:10"
        return self.rig.send(path, id=f"a{n}", left=7000, heads=[prefix])

    def silence(self):
        for runner in self.dark:
            runner.script, runner.silence = ["late"] * 100, 20.0

    async def requests_until_believed(self, path):
        """Requests to all runners, one after another, until the zone is believed unreachable; gives their tasks."""
        tasks = []
        for n in range(100):
            tasks.append(asyncio.ensure_future(self.send(path, n)))
            await self.tick_for(0.05)
            if self.rig.state.zones.is_unreachable("dark"):
                return tasks
        return self.fail("the zone was never believed unreachable")

    def test_requests_that_wait_there_go_elsewhere_before_their_time_out(self):
        async def story():
            self.silence()
            loop = asyncio.get_running_loop()
            begun = loop.time()
            tasks = await self.requests_until_believed("/resume/x")
            self.assertLess(loop.time() - begun, 0.7)
            answers = await asyncio.gather(*tasks)
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertLess(loop.time() - begun, 0.75)

        self.play(story)

    def test_new_requests_avoid_it_and_what_may_run_once_stays_where_it_is(self):
        async def story():
            self.silence()
            tasks = await self.requests_until_believed("/once/x")
            sent = sum(len(runner.got) for runner in self.dark)
            answers = await asyncio.gather(*(self.send("/once/x", n) for n in range(100, 120)))
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual(sum(len(runner.got) for runner in self.dark), sent)
            answers = await asyncio.gather(*tasks)
            self.assertEqual(sorted({answer.status for answer in answers}), [200, 504])
            self.assertEqual(sum(answer.status == 504 for answer in answers), sent)

        self.play(story)

    def test_a_probe_without_a_request_finds_it_again(self):
        async def story():
            self.silence()
            tasks = await self.requests_until_believed("/resume/x")
            await asyncio.gather(*tasks)
            sent = sum(len(r.got) for r in self.dark)
            with self.assertLogs(absl_logger()) as log:
                await self.tick_for(1.0)
                self.assertTrue(self.rig.state.zones.is_unreachable("dark"))
                self.cut = False
                for backend in self.rig.state.backends.by_id.values():
                    backend.record_absence(monotonic(), timedelta(seconds=9))
                await self.tick_for(0.6)
            absent = {b.zone for b in self.rig.state.backends.by_id.values() if b.is_absent(monotonic())}
            self.assertEqual(absent, {"light"})
            self.assertFalse(self.rig.state.zones.is_unreachable("dark"))
            self.assertEqual(sum(len(r.got) for r in self.dark), sent)
            self.assertEqual([record.getMessage() for record in log.records], ["zones: reachable again zone=dark"])

        self.play(story)

    def test_slow_runners_that_can_be_reached_blame_no_zone(self):
        async def story():
            self.cut = False
            self.silence()
            tasks = []
            for n in range(40):
                tasks.append(asyncio.ensure_future(self.send("/resume/x", n)))
                await self.tick_for(0.05)
                self.assertFalse(self.rig.state.zones.is_unreachable("dark"))
            self.assertGreater(self.probes, 0)
            self.assertEqual({answer.status for answer in await asyncio.gather(*tasks)}, {200})

        self.play(story)

    def test_calls_that_have_ended_in_any_way_are_not_waited_for(self):
        async def story():
            self.cut = False
            for runner in self.rig.runners:
                runner.script, runner.silence = ["late", "still", "ok", "reset", "shed", "moved", "cut"] * 20, 1.5
            answers = [self.send(path, n) for n, path in enumerate(["/resume/x", "/once/x"] * 20)]
            await asyncio.gather(*answers)
            zones = self.rig.state.zones
            self.assertEqual([len(calls) for calls in zones._awaited.values()], [0, 0])

        self.play(story)

    def test_a_zone_without_runners_is_forgotten(self):
        async def story():
            self.silence()
            tasks = await self.requests_until_believed("/resume/x")
            await asyncio.gather(*tasks)
            self.rig.state.endpoint_list = EndpointList(self.rig.state.endpoint_list.runners[4:], 1)
            self.rig.state.update_backends()
            await self.tick_for(0.3)
            self.assertFalse(self.rig.state.zones.is_unreachable("dark"))

        self.play(story)

    def test_it_is_told_among_the_beliefs(self):
        async def story():
            self.silence()
            tasks = await self.requests_until_believed("/resume/x")
            beliefs = self.rig.front.beliefs()
            self.assertEqual(beliefs["zones"]["dark"].keys() - beliefs["zones"]["light"].keys(), TOLD_OF_UNREACHABLE)
            dark, light = zone_lines(beliefs)
            self.assertIn("front-1: dark in service, unreachable for ", dark)
            self.assertEqual(light, "front-1: light in service, 4 runners, 0 draining, 0 cold")
            await asyncio.gather(*tasks)

        self.play(story)


if __name__ == "__main__":
    unittest.main()
