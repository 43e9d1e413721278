"""The tier on loopback: a whole controller, and routers with addresses of their own that follow one another."""

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

BOUND = timedelta(seconds=3)


class Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)
        self.platform = await Platform(
            [Platform.entry(f"i-{i}", "s", f"127.0.0.1:{9000 + i}") for i in range(30)]
        ).start()
        inner, control = free_ports(2)
        self.base = {
            **STARTUP,
            "internalPortRange": [inner, inner + 9],
            "seedNodes": [f"127.0.0.1:{control}"],
            "bounds": {"contactMs": BOUND / timedelta(milliseconds=1)},
            "cloudApi": {"address": f"127.0.0.1:{self.platform.port}", "ratePerS": 100},
        }
        core = from_dict(
            {
                **self.base,
                "nodeName": "core-1",
                "firstStart": True,
                "dataDirectory": self.dir.name,
                "listenAddresses": {"control": f"127.0.0.1:{control}"},
            }
        ).unwrap()
        self.ctl = Controller(core, "/nowhere")
        await self.ctl.start()
        self.knows = []
        await self.until(lambda: self.ctl.consensus.member.leading())

    async def asyncTearDown(self):
        for k in self.knows:
            await k.stop()
        await self.ctl.stop()
        await self.platform.stop()

    async def until(self, true):
        async with asyncio.timeout(15):
            while not true():
                await asyncio.sleep(0.01)

    async def router(self, i):
        up = from_dict(
            {**self.base, "nodeName": f"front-{i}", "ipAddress": f"127.0.0.{10 + i}", "listenAddresses": {}}
        ).unwrap()
        k = RouterNode(up)
        self.knows.append(k)
        await k.start()
        return k

    def tier(self, relay, *followers):
        """Gives the routers a tier by hand, whatever their number; no waiting for it to settle."""
        for k in (relay, *followers):
            k.update_relay_tier = lambda: None
            k.feed_client.upstream.update_tier(
                timedelta(0), RelayTier((relay.key, "127.0.0.250:1"), () if k is relay else (relay.key,), k is relay, 1)
            )

    async def put(self, policy, base=0):
        st = self.ctl.consensus.member.data
        done = await self.ctl.consensus.write(
            policy["revision"], State.unpack(st.blob).then(policy, b"m").pack(), BOUND
        )
        self.assertIsNotNone(done)

    async def test_news_goes_down_as_steps_and_the_relays_loss_is_mended(self):
        relay, a, b = [await self.router(i) for i in range(3)]
        await self.put({**ROUTES, "routes": [route(f"r{i}", f"/{i}/") for i in range(200)]})
        await self.until(lambda: all(k.ready() for k in self.knows))
        self.tier(relay, a, b)
        await self.until(lambda: relay.relay_server.told()["followers"] == ["front-1", "front-2"])
        self.assertEqual([k.relay_server.told()["depth"] for k in self.knows], [1, 2, 2])
        self.assertLess(a.relay_server.told()["ageMs"], BOUND / 3 / timedelta(milliseconds=1))
        got, taken = [], a.feed_client.take_change
        a.feed_client.take_change = lambda c: (got.append(c), taken(c))[1]
        await self.put({**ROUTES, "revision": 2, "routes": [route(f"r{i}", f"/{i}/") for i in range(1, 201)]})
        await self.until(lambda: all(k.configuration.revision == 2 for k in self.knows))
        self.platform.entries[3]["state"] = "draining"
        del self.platform.entries[7]
        await self.until(
            lambda: all(
                len(k.endpoint_list.runners) == 29 and any(r.draining for r in k.endpoint_list.runners)
                for k in self.knows
            )
        )
        self.assertTrue({CONFIGURATION, ENDPOINTS} <= {c.topic for c in got})
        for c in got:
            self.assertNotEqual(c.base, (0, 0))
            self.assertLess(len(c.payload), 400)
        late = await self.router(3)
        self.tier(relay, late)
        await self.until(lambda: "front-3" in relay.relay_server.told()["followers"] and late.ready())
        self.assertEqual(late.configuration.revision, 2)
        self.assertEqual(
            decode_payload(CONFIGURATION, relay.shelf.items[CONFIGURATION].payload),
            self.ctl.feed_server.state_of(CONFIGURATION),
        )
        self.assertEqual(
            decode_payload(ENDPOINTS, relay.shelf.items[ENDPOINTS].payload), self.ctl.feed_server.state_of(ENDPOINTS)
        )
        self.assertEqual(
            encode_state(ENDPOINTS, late.endpoint_list),
            encode_state(ENDPOINTS, self.ctl.feed_server.state_of(ENDPOINTS)),
        )
        b.feed_client.raw_configuration = None
        await self.put({**ROUTES, "revision": 3})
        await self.until(lambda: all(k.configuration.revision == 3 for k in self.knows))
        await relay.stop()
        self.knows.remove(relay)
        await self.put({**ROUTES, "revision": 4})
        await self.until(
            lambda: all(k.configuration.revision == 4 and k.relay_server.told()["depth"] == 1 for k in self.knows)
        )

    async def test_a_follower_that_does_not_read_holds_up_nobody_and_is_dropped(self):
        relay, a = [await self.router(i) for i in range(2)]
        await self.put(ROUTES)
        await self.until(lambda: all(k.ready() for k in self.knows))
        self.tier(relay, a)
        await self.until(lambda: relay.relay_server.told()["followers"] == ["front-1"])
        relay.relay_server.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        relay.relay_server.write_timeout = BOUND / 10
        _, deaf = await self.narrow(relay, "deaf")
        reader, slow = await self.narrow(relay, "slow")
        got = bytearray()
        sips = asyncio.ensure_future(self.sip(reader, got))
        await self.until(lambda: {"deaf", "slow"} <= set(relay.relay_server.told()["followers"]))
        await self.put(
            {**ROUTES, "revision": 2, "routes": [route(f"r{i}", f"/{i}/{os.urandom(800).hex()}") for i in range(400)]}
        )
        await self.until(lambda: a.configuration.revision == 2)
        await self.until(lambda: relay.relay_server.told()["followers"] == ["front-1", "slow"])
        await self.until(lambda: len(got) > 200_000)
        self.assertIn("slow", relay.relay_server.told()["followers"])
        sips.cancel()
        for w in (deaf, slow):
            w.close()

    async def narrow(self, relay, name):
        """A follower with small buffers that never reads by itself."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((relay.settings.ip, relay.settings.router_port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=64)
        raw = pack(Subscribe(name, 0, 0, 0, 0))
        writer.write(len(raw).to_bytes(4) + raw)
        return reader, writer

    async def sip(self, reader, got):
        """Reads a little at a time."""
        while more := await reader.read(4096):
            got += more
            await asyncio.sleep(0.005)
