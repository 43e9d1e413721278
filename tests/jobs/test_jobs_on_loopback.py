"""Regression: a job deployment accepts a job, stores it, runs each task once and shows it as completed.

``test_unknown_deployment`` describes the fault. The test runs a router, a controller, a platform and runners on
loopback in real time; the runners' log shows which tasks ran where.
"""

import asyncio
import json
import tempfile
import unittest

import aiohttp

from fakes.platform import Platform
from fakes.task_runner import RunLog, TaskRunner, Work
from sparloom.controller.program import Controller
from sparloom.router.program import Router
from sparloom.settings import from_dict
from tests.controller.test_program import free_ports
from tests.support.router_fixture import STARTUP, route

QUEUE = route("queue", "/q/", routeKind="unsafe", maxAttempts=3)
POLICY = {"revision": 1, "routes": [QUEUE], "services": [{"name": "s", "rejectsOverload": True}]}
FINAL_STATES = ("completed", "failed", "cancelled")


class Deployment:
    """One controller, one router, a platform and some runners, on loopback."""

    def __init__(self, runners=2, work=lambda _task: Work()):
        self.log = RunLog()
        self.runners = [TaskRunner(f"i-{number}", "s", self.log, work=work) for number in range(runners)]
        self.folder = tempfile.TemporaryDirectory()

    async def __aenter__(self):
        for runner in self.runners:
            await runner.start()
        self.platform = await Platform([runner.entry() for runner in self.runners]).start()
        internal, control, front, readiness = free_ports(4)
        base = {
            **STARTUP,
            "deployment": "sched",
            "orders": "call",
            "internalPortRange": [internal, internal + 9],
            "seedNodes": [f"127.0.0.1:{control}"],
            "bounds": {"contactMs": 600, "holdLimitMs": 1500, "stop_ms": 200, "gang_ms": 1000, "status_s": 120},
            "cloudApi": {"address": f"127.0.0.1:{self.platform.port}", "ratePerS": 100},
        }
        controller_identity = {
            "nodeName": "core-1",
            "firstStart": True,
            "dataDirectory": self.folder.name,
        }
        controller_addresses = {"listenAddresses": {"control": f"127.0.0.1:{control}"}}
        self.controller_settings = from_dict({**base, **controller_identity, **controller_addresses}).unwrap()
        router_addresses = {"listenAddresses": {"front": f"127.0.0.1:{front}", "readiness": f"127.0.0.1:{readiness}"}}
        self.router = Router(from_dict({**base, **router_addresses}).unwrap(), "/nowhere")
        self.url, self.control = f"http://127.0.0.1:{front}", f"http://127.0.0.1:{control}/-/configuration"
        self.http = aiohttp.ClientSession()
        await self.start_controller()
        await self.router.start()
        await self.wait_until_configured()
        return self

    async def __aexit__(self, *exc):
        await self.http.close()
        await self.router.stop()
        await self.controller.stop()
        await self.platform.stop()
        for runner in self.runners:
            await runner.stop()
        self.folder.cleanup()

    async def start_controller(self):
        self.controller = Controller(self.controller_settings, "/nowhere")
        await self.controller.start()

    async def wait_until_configured(self):
        async with asyncio.timeout(10):
            while True:
                async with self.http.put(self.control, json=POLICY, headers={"If-Match": "0"}) as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(0.02)
            while not self.router.node.ready():
                await asyncio.sleep(0.01)

    async def call(self, method, path, body=None):
        data = None if body is None else json.dumps(body)
        headers = {"Host": "h.example", "X-Sparloom-Deadline-Remaining": "3000"}
        async with self.http.request(method, self.url + path, data=data, headers=headers) as response:
            raw = await response.read()
            return response.status, json.loads(raw) if raw[:1] == b"{" else {}

    async def submit(self, job, steps, task_spec="(text)"):
        async with asyncio.timeout(10):
            while (status := (await self.call("POST", f"/q/{job}", {"taskSpec": task_spec, "steps": steps}))[0]) == 503:
                await asyncio.sleep(0.05)
        return status

    async def ended(self, job):
        async with asyncio.timeout(10):
            while True:
                _, body = await self.call("GET", f"/q/{job}")
                if body.get("state") in FINAL_STATES:
                    return body["state"]
                await asyncio.sleep(0.02)


class Jobs(unittest.IsolatedAsyncioTestCase):
    async def test_a_job_is_accepted_run_once_and_completed(self):
        async with Deployment() as deployment:
            steps = [{"replicaCount": 3, "cpu": 500}, {"replicaCount": 2, "cpu": 500, "dependsOn": [0]}]
            self.assertEqual(await deployment.submit("00000000000000aa", steps), 200)
            self.assertEqual(await deployment.ended("00000000000000aa"), "completed")
            tasks = [task for _, task, _ in deployment.log.starts]
            first, second = tasks[:3], tasks[3:]
            self.assertEqual(sorted(first), [f"00000000000000aa.0.0.{i}" for i in range(3)])
            self.assertEqual(sorted(second), [f"00000000000000aa.0.1.{i}" for i in range(2)])
            self.assertEqual(deployment.log.violations, [])


if __name__ == "__main__":
    unittest.main()
