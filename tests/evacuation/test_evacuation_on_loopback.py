"""Tests of zone evacuations with a controller, a router, a fake platform and runners on loopback, in real time.

Regression: `POST /-/evacuation/ZONE` was answered 404, `no such call`, because the control API only had the paths of
the configuration and of the beliefs. No program read evacuations, so the zone's runners continued to be used.
"""

import unittest

from fakes.platform import Platform
from fakes.runner import Runner
from sparloom.controller.program import Controller
from sparloom.router.program import Router
from tests.controller.test_program import ControllerCase
from tests.jobs.test_jobs_on_loopback import Deployment
from tests.support.router_fixture import POLICY

EVACUATED_ZONE, OTHER_ZONE = "z1", "z2"
HTTP_UNAVAILABLE, MAXIMUM_ATTEMPTS = 503, 5


class EvacuationCase(ControllerCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other_runner = await Runner(id="i-1").start()
        self.platform.entries.append(Platform.entry("i-1", "s", f"127.0.0.1:{self.other_runner.port}", zone=OTHER_ZONE))
        self.router = Router(self.edge, "/nowhere")
        await self.router.start()
        await self.call("PUT", POLICY, 0)
        await self.until(lambda: len(self.router.node.backends.of("s")) == 2 and self.router.node.ready())

    async def asyncTearDown(self):
        await self.router.stop()
        await self.other_runner.stop()
        await super().asyncTearDown()

    async def order(self, method, zone=EVACUATED_ZONE):
        """Sends an order; returns the response status and the error message, if any."""
        url = self.url.replace("configuration", f"evacuation/{zone}")
        async with self.http.request(method, url) as response:
            return response.status, (await response.json()).get("error", "")

    async def send_request(self, number):
        """Sends a request; retries on 503, which a slow connection to a runner can cause."""
        headers = {"Host": "h.example", "X-Sparloom-Attempt-Id": f"t{number}", "X-Sparloom-Deadline-Remaining": "2000"}
        for _ in range(MAXIMUM_ATTEMPTS):
            async with self.http.post(f"http://{self.front}/once/x", data=b"hi", headers=headers) as response:
                await response.read()
                if response.status != HTTP_UNAVAILABLE:
                    break
        return response.status


class EvacuationTest(EvacuationCase):
    async def test_an_evacuated_zone_gets_no_requests_until_it_is_restored(self):
        self.assertEqual(await self.order("POST"), (200, ""))
        self.assertEqual(await self.order("POST"), (200, ""))
        await self.until(lambda: [backend.id for backend in self.router.node.backends.of("s")] == ["i-1"])
        request_count = len(self.runner.received)
        self.assertEqual([await self.send_request(number) for number in range(20)], [200] * 20)
        self.assertEqual((len(self.runner.received), len(self.other_runner.received)), (request_count, 20))
        self.assertEqual(await self.order("DELETE"), (200, ""))
        self.assertEqual(await self.order("DELETE"), (200, ""))
        await self.until(lambda: len(self.router.node.backends.of("s")) == 2)

    async def test_an_evacuation_survives_restarts_and_configuration_changes(self):
        self.assertEqual(await self.order("POST"), (200, ""))
        self.assertEqual((await self.call("PUT", {**POLICY, "revision": 2}, 1))[0], 200)
        await self.controller.stop()
        self.controller = Controller(self.controller_settings, "/nowhere")
        await self.controller.start()
        await self.until(lambda: self.controller.consensus.member.leading())
        self.assertEqual((await self.call("GET", b""))[1], {**POLICY, "revision": 2})
        await self.router.stop()
        self.router = Router(self.edge, "/nowhere")
        await self.router.start()
        await self.until(self.router.node.ready)
        self.assertEqual([backend.id for backend in self.router.node.backends.of("s")], ["i-1"])


class JobEvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_evacuated_zone_starts_no_tasks_until_it_is_restored(self):
        async with Deployment() as deployment:
            entries = deployment.platform.entries
            entries[0]["zone"], entries[1]["zone"] = EVACUATED_ZONE, OTHER_ZONE
            url = deployment.control.replace("configuration", f"evacuation/{EVACUATED_ZONE}")
            async with deployment.http.post(url) as response:
                self.assertEqual(response.status, 200)
            for number in range(3):
                job_id = f"{number + 1:016x}"
                self.assertEqual(await deployment.submit(job_id, [{"replicaCount": 4, "cpu": 500}]), 200)
                self.assertEqual(await deployment.ended(job_id), "completed")
            self.assertEqual({runner for runner, _, _ in deployment.log.starts}, {"i-1"})
            async with deployment.http.delete(url) as response:
                self.assertEqual(response.status, 200)
            steps = [{"replicaCount": 2, "cpu": 6000}]
            self.assertEqual(await deployment.submit("00000000000000aa", steps), 200)
            self.assertEqual(await deployment.ended("00000000000000aa"), "completed")
            self.assertEqual({runner for runner, _, _ in deployment.log.starts[12:]}, {"i-0", "i-1"})
            self.assertEqual(deployment.log.violations, [])


if __name__ == "__main__":
    unittest.main()
