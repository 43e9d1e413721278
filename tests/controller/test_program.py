"""Tests of a complete controller on loopback, with a fake platform, a runner and a router."""

import asyncio
import json
import socket
import tempfile
import unittest

import aiohttp

from fakes.platform import Platform
from fakes.runner import Runner
from sparloom.compare.beliefs import compare
from sparloom.controller.program import Controller
from sparloom.router.program import Router
from sparloom.settings import from_dict
from tests.support.router_fixture import POLICY, STARTUP, route


def free_ports(count):
    """Returns free ports; the one after the first is the internal port of routers, so no other port equals it."""
    while (ports := _unused(count))[0] + 1 in ports:
        pass
    return ports


def _unused(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class ControllerCase(unittest.IsolatedAsyncioTestCase):
    # Subclasses override these to add bounds, platform settings and contracts to the startup file.
    bounds = {}
    cloud = {}
    contracts = []

    async def asyncSetUp(self):
        self.data_directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.data_directory.cleanup)
        self.runner = await Runner(id="i-0").start()
        self.platform = await Platform([Platform.entry("i-0", "s", f"127.0.0.1:{self.runner.port}")]).start()
        internal, control, front, readiness_port = free_ports(4)
        base = {
            **STARTUP,
            "internalPortRange": [internal, internal + 9],
            "seedNodes": [f"127.0.0.1:{control}"],
            "bounds": {"contactMs": 600, **self.bounds},
            "cloudApi": {"address": f"127.0.0.1:{self.platform.port}", "ratePerS": 100, **self.cloud},
            "contracts": self.contracts,
        }
        self.controller_settings = from_dict(
            {
                **base,
                "nodeName": "core-1",
                "firstStart": True,
                "dataDirectory": self.data_directory.name,
                "listenAddresses": {"control": f"127.0.0.1:{control}"},
            }
        ).unwrap()
        self.edge = from_dict(
            {**base, "listenAddresses": {"front": f"127.0.0.1:{front}", "readiness": f"127.0.0.1:{readiness_port}"}}
        ).unwrap()
        self.url, self.front, self.ready = (
            f"http://127.0.0.1:{control}/-/configuration",
            f"127.0.0.1:{front}",
            f"http://127.0.0.1:{readiness_port}/-/ready",
        )
        self.controller = Controller(self.controller_settings, "/nowhere")
        await self.controller.start()
        self.http = aiohttp.ClientSession()
        await self.until(lambda: self.controller.consensus.member.leading())

    async def asyncTearDown(self):
        await self.http.close()
        await self.controller.stop()
        await self.platform.stop()
        await self.runner.stop()

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0)

    async def call(self, method, body, base_revision=None):
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = {} if base_revision is None else {"If-Match": str(base_revision)}
        async with self.http.request(method, self.url, data=raw, headers=headers, allow_redirects=False) as response:
            return response.status, await response.json()


class Case(ControllerCase):
    async def test_put_patch_and_get_of_the_configuration(self):
        status, _ = await self.call("GET", b"")
        self.assertEqual(status, 404)
        self.assertEqual((await self.call("PUT", POLICY, 0))[0], 200)
        self.assertEqual((await self.call("PUT", POLICY, 0))[0], 200)
        self.assertEqual((await self.call("PUT", {**POLICY, "revision": 5}, 0))[0], 412)
        self.assertEqual((await self.call("PUT", {**POLICY, "revision": 1, "routes": []}, 1))[0], 400)
        self.assertEqual((await self.call("PUT", b'{"revision":', 1))[0], 400)
        self.assertEqual((await self.call("PUT", {**POLICY, "revision": 5}))[0], 400)
        patch = {"revision": 4, "upsert": {"routes": [route("new", "/new/")]}}
        self.assertEqual((await self.call("PATCH", patch, 1))[0], 200)
        self.assertEqual((await self.call("PATCH", patch, 1))[0], 200)
        status, configuration = await self.call("GET", b"")
        self.assertEqual((status, configuration["revision"], configuration["routes"][-1]["name"]), (200, 4, "new"))
        self.assertEqual(
            (await self.call("PUT", {**POLICY, "revision": 9, "routes": [route("x", "/x/", service="ghost")]}, 4))[1][
                "error"
            ],
            "route x: the service ghost is unknown",
        )

    async def test_only_one_of_several_concurrent_changes_on_a_revision_succeeds(self):
        await self.call("PUT", POLICY, 0)
        responses = await asyncio.gather(
            *(self.call("PUT", {**POLICY, "revision": 2 + index}, 1) for index in range(8))
        )
        self.assertEqual(sorted(status for status, _ in responses), [200] + [412] * 7)

    async def test_an_acknowledged_change_survives_a_restart(self):
        await self.call("PUT", POLICY, 0)
        await self.controller.stop()
        self.controller = Controller(self.controller_settings, "/nowhere")
        await self.controller.start()
        await self.until(lambda: self.controller.consensus.member.leading())
        self.assertEqual((await self.call("GET", b""))[1], POLICY)

    async def test_a_router_follows_the_feed_and_forwards_requests(self):
        router = Router(self.edge, "/nowhere")
        await router.start()
        try:
            async with self.http.get(self.ready) as response:
                self.assertEqual(response.status, 503)
            await self.call("PUT", POLICY, 0)
            await self.until(router.node.ready)
            async with self.http.get(self.ready) as response:
                self.assertEqual(response.status, 200)
            headers = {"Host": "h.example", "X-Sparloom-Attempt-Id": "t1", "X-Sparloom-Deadline-Remaining": "2000"}
            async with self.http.post(f"http://{self.front}/once/x", data=b"hi", headers=headers) as response:
                self.assertEqual((response.status, (await response.read()).count(b"id:")), (200, 5))
            self.platform.entries[0]["state"] = "draining"
            await self.until(lambda: not router.node.backends.of("s"))
            async with self.http.get(self.url.replace("configuration", "beliefs")) as response:
                beliefs = await response.json()
            await self.until(lambda: list(router.node.feed_store.version(1)) == beliefs["runners"])
            self.assertEqual(
                [
                    difference
                    for difference in compare(beliefs, router.front.beliefs())
                    if difference.topic != "members"
                ],
                [],
            )
            await self.call("PUT", {**POLICY, "revision": 7, "routes": []}, 1)
            await self.until(lambda: router.node.configuration.revision == 7)
            async with self.http.post(f"http://{self.front}/once/x", data=b"hi", headers=headers) as response:
                self.assertEqual(response.status, 404)
        finally:
            await router.stop()
