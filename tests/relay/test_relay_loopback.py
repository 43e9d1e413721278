"""The relay tier on loopback: a complete controller, and routers with their own addresses that follow each other."""

import asyncio
import os
import socket
import tempfile
import unittest
from datetime import timedelta

from fakes.platform import Platform
from sparloom.codec import pack
from sparloom.controller.control_state import State
from sparloom.controller.program import Controller
from sparloom.feed import CONFIGURATION, ENDPOINTS, Subscribe
from sparloom.feed.payload import decode_payload, encode_state
from sparloom.relay import RelayTier
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from tests.controller.test_program import free_ports
from tests.support.router_fixture import POLICY as ROUTES
from tests.support.router_fixture import STARTUP, route

CONTACT_BOUND = timedelta(seconds=3)


class RelayTierOnLoopback(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.platform = await Platform(
            [Platform.entry(f"i-{i}", "s", f"127.0.0.1:{9000 + i}") for i in range(30)]
        ).start()
        internal_port, control_port = free_ports(2)
        self.base_settings = {
            **STARTUP,
            "internalPortRange": [internal_port, internal_port + 9],
            "seedNodes": [f"127.0.0.1:{control_port}"],
            "bounds": {"contactMs": CONTACT_BOUND / timedelta(milliseconds=1)},
            "cloudApi": {"address": f"127.0.0.1:{self.platform.port}", "ratePerS": 100},
        }
        settings = from_dict(
            {
                **self.base_settings,
                "nodeName": "core-1",
                "firstStart": True,
                "dataDirectory": self.directory.name,
                "listenAddresses": {"control": f"127.0.0.1:{control_port}"},
            }
        ).unwrap()
        self.controller = Controller(settings, "/nowhere")
        await self.controller.start()
        self.routers = []
        await self.wait_until(lambda: self.controller.consensus.member.leading())

    async def asyncTearDown(self):
        for router in self.routers:
            await router.stop()
        await self.controller.stop()
        await self.platform.stop()

    async def wait_until(self, condition):
        async with asyncio.timeout(15):
            while not condition():
                await asyncio.sleep(0.01)

    async def start_router(self, index):
        settings = from_dict(
            {
                **self.base_settings,
                "nodeName": f"front-{index}",
                "ipAddress": f"127.0.0.{10 + index}",
                "listenAddresses": {},
            }
        ).unwrap()
        router = RouterNode(settings)
        self.routers.append(router)
        await router.start()
        return router

    def set_tier(self, relay, *followers):
        """Sets the relay plan of the routers directly, for any number of routers and without a delay."""
        for router in (relay, *followers):
            router.update_relay_tier = lambda: None
            router.feed_client.upstream.update_tier(
                timedelta(0),
                RelayTier((relay.key, "127.0.0.250:1"), () if router is relay else (relay.key,), router is relay, 1),
            )

    async def write_policy(self, policy, base=0):
        state = self.controller.consensus.member.data
        written = await self.controller.consensus.write(
            policy["revision"], State.unpack(state.blob).with_change(policy, b"m").pack(), CONTACT_BOUND
        )
        self.assertIsNotNone(written)

    async def test_changes_reach_followers_as_deltas_and_followers_recover_from_the_loss_of_the_relay(self):
        relay, first, second = [await self.start_router(i) for i in range(3)]
        await self.write_policy({**ROUTES, "routes": [route(f"r{i}", f"/{i}/") for i in range(200)]})
        await self.wait_until(lambda: all(router.ready() for router in self.routers))
        self.set_tier(relay, first, second)
        await self.wait_until(lambda: relay.relay_server.status()["followers"] == ["front-1", "front-2"])
        self.assertEqual([router.relay_server.status()["depth"] for router in self.routers], [1, 2, 2])
        self.assertLess(first.relay_server.status()["ageMs"], CONTACT_BOUND / 3 / timedelta(milliseconds=1))
        received, take_change = [], first.feed_client.take_change
        first.feed_client.take_change = lambda change: (received.append(change), take_change(change))[1]
        await self.write_policy({**ROUTES, "revision": 2, "routes": [route(f"r{i}", f"/{i}/") for i in range(1, 201)]})
        await self.wait_until(lambda: all(router.configuration.revision == 2 for router in self.routers))
        self.platform.entries[3]["state"] = "draining"
        del self.platform.entries[7]
        await self.wait_until(
            lambda: all(
                len(router.endpoint_list.runners) == 29
                and any(runner.draining for runner in router.endpoint_list.runners)
                for router in self.routers
            )
        )
        self.assertTrue({CONFIGURATION, ENDPOINTS} <= {change.topic for change in received})
        for change in received:
            self.assertNotEqual(change.base, (0, 0))
            self.assertLess(len(change.payload), 400)
        late_router = await self.start_router(3)
        self.set_tier(relay, late_router)
        await self.wait_until(lambda: "front-3" in relay.relay_server.status()["followers"] and late_router.ready())
        self.assertEqual(late_router.configuration.revision, 2)
        self.assertEqual(
            decode_payload(CONFIGURATION, relay.feed_store.items[CONFIGURATION].payload),
            self.controller.feed_server.state_of(CONFIGURATION),
        )
        self.assertEqual(
            decode_payload(ENDPOINTS, relay.feed_store.items[ENDPOINTS].payload),
            self.controller.feed_server.state_of(ENDPOINTS),
        )
        self.assertEqual(
            encode_state(ENDPOINTS, late_router.endpoint_list),
            encode_state(ENDPOINTS, self.controller.feed_server.state_of(ENDPOINTS)),
        )
        second.feed_client.raw_configuration = None
        await self.write_policy({**ROUTES, "revision": 3})
        await self.wait_until(lambda: all(router.configuration.revision == 3 for router in self.routers))
        await relay.stop()
        self.routers.remove(relay)
        await self.write_policy({**ROUTES, "revision": 4})
        await self.wait_until(
            lambda: all(
                router.configuration.revision == 4 and router.relay_server.status()["depth"] == 1
                for router in self.routers
            )
        )

    async def test_a_follower_that_does_not_read_delays_no_other_and_is_disconnected(self):
        relay, healthy = [await self.start_router(i) for i in range(2)]
        await self.write_policy(ROUTES)
        await self.wait_until(lambda: all(router.ready() for router in self.routers))
        self.set_tier(relay, healthy)
        await self.wait_until(lambda: relay.relay_server.status()["followers"] == ["front-1"])
        relay.relay_server.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        relay.relay_server.write_timeout = CONTACT_BOUND / 10
        _, blocked_writer = await self.connect_with_small_buffers(relay, "deaf")
        slow_reader, slow_writer = await self.connect_with_small_buffers(relay, "slow")
        received = bytearray()
        reading = asyncio.ensure_future(self.read_slowly(slow_reader, received))
        await self.wait_until(lambda: {"deaf", "slow"} <= set(relay.relay_server.status()["followers"]))
        await self.write_policy(
            {**ROUTES, "revision": 2, "routes": [route(f"r{i}", f"/{i}/{os.urandom(800).hex()}") for i in range(400)]}
        )
        await self.wait_until(lambda: healthy.configuration.revision == 2)
        await self.wait_until(lambda: relay.relay_server.status()["followers"] == ["front-1", "slow"])
        await self.wait_until(lambda: len(received) > 200_000)
        self.assertIn("slow", relay.relay_server.status()["followers"])
        reading.cancel()
        for writer in (blocked_writer, slow_writer):
            writer.close()

    async def connect_with_small_buffers(self, relay, name):
        """Connects a follower that has small buffers and reads only if the test does."""
        connection_socket = socket.socket()
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection_socket.connect((relay.settings.ip, relay.settings.router_port))
        reader, writer = await asyncio.open_connection(sock=connection_socket, limit=64)
        message = pack(Subscribe(name, 0, 0, 0, 0))
        writer.write(len(message).to_bytes(4) + message)
        return reader, writer

    async def read_slowly(self, reader, received):
        """Reads at most 4096 bytes at a time, with pauses of 5 ms."""
        while chunk := await reader.read(4096):
            received += chunk
            await asyncio.sleep(0.005)
