"""A whole controller on loopback: the operator's calls, a stand-in platform, and a router that follows."""

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
    """Free ports; the one after the first is the routers' internal port, so it is none of the rest."""
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
    # What a test needs beside the usual bounds, of the platform, and of the contracts in force.
    bounds = {}
    cloud = {}
    contracts = []

    async def asyncSetUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)
        self.runner = await Runner(id="i-0").start()
        self.platform = await Platform([Platform.entry("i-0", "s", f"127.0.0.1:{self.runner.port}")]).start()
        inner, control, front, ready = free_ports(4)
        base = {
            **STARTUP,
            "internalPortRange": [inner, inner + 9],
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
                "dataDirectory": self.dir.name,
                "listenAddresses": {"control": f"127.0.0.1:{control}"},
            }
        ).unwrap()
        self.edge = from_dict(
            {**base, "listenAddresses": {"front": f"127.0.0.1:{front}", "readiness": f"127.0.0.1:{ready}"}}
        ).unwrap()
        self.url, self.front, self.ready = (
            f"http://127.0.0.1:{control}/-/configuration",
            f"127.0.0.1:{front}",
            f"http://127.0.0.1:{ready}/-/ready",
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

    async def call(self, method, body, match=None):
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = {} if match is None else {"If-Match": str(match)}
        async with self.http.request(method, self.url, data=raw, headers=headers, allow_redirects=False) as response:
            return response.status, await response.json()


class Case(ControllerCase):
    async def test_the_operators_calls(self):
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

    async def test_concurrent_changes_on_one_revision_have_one_winner(self):
        await self.call("PUT", POLICY, 0)
        answers = await asyncio.gather(*(self.call("PUT", {**POLICY, "revision": 2 + i}, 1) for i in range(8)))
        self.assertEqual(sorted(status for status, _ in answers), [200] + [412] * 7)

    async def test_what_was_acknowledged_is_on_disk(self):
        await self.call("PUT", POLICY, 0)
        await self.controller.stop()
        self.controller = Controller(self.controller_settings, "/nowhere")
        await self.controller.start()
        await self.until(lambda: self.controller.consensus.member.leading())
        self.assertEqual((await self.call("GET", b""))[1], POLICY)

    async def test_a_router_follows_serves_and_agrees(self):
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
            await self.until(lambda: list(router.node.shelf.version(1)) == beliefs["runners"])
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
