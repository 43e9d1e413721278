"""Tests of rollouts with the real programs on loopback: the operators' calls, and the rollback of a bad version.

Regression: ``POST /-/rollouts`` was answered with 404, ``no such call``, so an order was not acknowledged.
"""

import asyncio
import json

from fakes.platform import Platform
from fakes.runner import Runner
from sparloom.controller.program import Controller
from sparloom.discovery import pool_name
from sparloom.router.program import Router
from tests.controller.test_program import ControllerCase
from tests.evacuation.test_command_line import command
from tests.support.router_fixture import POLICY

ORDER = {"service": "s", "targetVersion": "v2", "durationS": 30}
CLIENTS = 6


class RolloutCase(ControllerCase):
    contracts = ["base", "rollout"]

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.runner.pause = 0.005
        self.new_runners = [await Runner(id=f"new-{number}").start() for number in range(2)]
        self.router = Router(self.edge, "/nowhere")
        await self.router.start()
        await self.call("PUT", POLICY, 0)
        await self.until(lambda: self.router.node.backends.of("s") and self.router.node.ready())
        await self.until(lambda: self.controller.control_api.writer.committed.state.rollouts is not None)

    async def asyncTearDown(self):
        await self.router.stop()
        for runner in self.new_runners:
            await runner.stop()
        await super().asyncTearDown()

    def list_new_runners(self):
        """The platform lists the runners of the new version."""
        for runner in self.new_runners:
            entry = Platform.entry(runner.id, "s", f"127.0.0.1:{runner.port}")
            self.platform.entries.append({**entry, "revision": "v2"})

    async def order(self, body):
        url = self.url.replace("configuration", "rollouts")
        async with self.http.post(url, data=body if isinstance(body, bytes) else json.dumps(body)) as response:
            return response.status, (await response.json()).get("error", "")

    async def state(self, service="s"):
        async with self.http.get(self.url.replace("configuration", f"rollouts/{service}")) as response:
            return response.status, await response.json()

    async def run_client(self, number):
        """Sends requests one after another."""
        headers = {"Host": "h.example", "X-Sparloom-Deadline-Remaining": "2000"}
        for turn in range(10_000):
            headers["X-Sparloom-Attempt-Id"] = f"c{number}-{turn}"
            async with self.http.post(f"http://{self.front}/resume/x", data=b"hi", headers=headers) as response:
                await response.read()


class OrderTests(RolloutCase):
    async def test_replies_to_operators(self):
        self.assertEqual((await self.state())[0], 404)
        self.assertEqual(await self.order(ORDER), (200, ""))
        self.assertEqual(await self.order(ORDER), (200, ""))
        self.assertEqual((await self.order({**ORDER, "targetVersion": "v3"}))[0], 409)
        self.assertEqual((await self.order({**ORDER, "service": "nowhere"}))[0], 404)
        for invalid in (b"{", {**ORDER, "durationS": -1}, {**ORDER, "durationS": True}, {**ORDER, "targetVersion": ""}):
            status, text = await self.order(invalid)
            self.assertEqual((status, bool(text)), (400, True), invalid)
        status, body = await self.state()
        self.assertEqual((status, body["state"], body["targetVersion"]), (200, "serving", "v2"))

    async def test_an_order_survives_a_restart_and_a_configuration_change(self):
        self.assertEqual(await self.order(ORDER), (200, ""))
        self.assertEqual((await self.call("PUT", {**POLICY, "revision": 2}, 1))[0], 200)
        await self.controller.stop()
        self.controller = Controller(self.controller_settings, "/nowhere")
        await self.controller.start()
        await self.until(lambda: self.controller.consensus.member.leading())
        self.assertEqual((await self.state())[1]["state"], "serving")
        self.assertEqual((await self.call("GET", b""))[1], {**POLICY, "revision": 2})

    async def test_a_version_without_an_order_gets_no_requests(self):
        self.list_new_runners()
        await self.until(lambda: len(self.router.node.backends.by_id) == 3)
        self.assertEqual([backend.id for backend in self.router.node.backends.of("s")], ["i-0"])
        self.assertEqual(self.router.node.backends.by_id["new-0"].pool, pool_name("s", "v2"))

    async def test_the_command_line(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        result = await asyncio.to_thread(command, "roll-out", "s", "v2", "30", control)
        self.assertEqual(result, (0, "s is rolled out to v2\n", ""))
        result = await asyncio.to_thread(command, "rollout", "s", control)
        self.assertEqual(result, (0, "s to v2: serving at step probe\n", ""))
        status, _, error = await asyncio.to_thread(command, "roll-out", "s", "v3", "30", control)
        self.assertEqual((status, "is already in progress" in error), (1, True))


class VerdictTests(RolloutCase):
    async def test_a_version_whose_answers_fail_is_rolled_back_and_gets_no_further_requests(self):
        for runner in self.new_runners:
            runner.script = ["error"] * 1000
        clients = [asyncio.ensure_future(self.run_client(number)) for number in range(CLIENTS)]
        try:
            self.assertEqual(await self.order(ORDER), (200, ""))
            self.list_new_runners()
            writer = self.controller.control_api.writer
            await self.until(lambda: writer.committed.state.rollouts.newest["s"].reason)
            self.assertEqual((await self.state())[1]["reason"], "answers fail on route resume")
            await self.until(lambda: self.router.node.configuration.versions["s"].trial is None)
            exposed, served = sum(len(runner.received) for runner in self.new_runners), len(self.runner.received)
            await self.until(lambda: len(self.runner.received) > served + 100)
            self.assertEqual(sum(len(runner.received) for runner in self.new_runners), exposed)
            self.assertLessEqual(exposed, 0.1 * (exposed + served) + 50)
        finally:
            for client in clients:
                client.cancel()
