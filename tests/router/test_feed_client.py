"""Tests of the feed clients of the router and the controller against a feed source over loopback."""

import asyncio
import unittest
from datetime import timedelta
from types import SimpleNamespace

from sparloom.codec import DecodeError
from sparloom.controller.feed_server import FeedServer
from sparloom.discovery import EndpointList
from sparloom.feed import CONFIGURATION, ENDPOINTS, Change, FeedHeartbeat, Subscribe, payload
from sparloom.membership import ROUTER, Peer, Swim, SwimTiming
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from sparloom.transport import DialTimeout, Frames, monotonic
from tests.support.router_fixture import POLICY as ROUTES
from tests.support.router_fixture import STARTUP

MS = timedelta(milliseconds=1)


def configuration(epoch, number):
    """Returns a change with a full configuration."""
    return Change(
        CONFIGURATION, epoch, number, 0, 0, payload.encode_state(CONFIGURATION, {**ROUTES, "revision": number})
    )


def endpoints(epoch, number):
    """Returns a change with a full endpoint list."""
    return Change(ENDPOINTS, epoch, number, 0, 0, payload.encode_state(ENDPOINTS, EndpointList([], 1)))


# Dial timeout. The programs' first dial has 75 ms, which a busy machine may exceed even on loopback
# (tests/transport/test_dialing.py).
DIAL_TIMEOUT = timedelta(seconds=30)


class FeedTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = asyncio.Queue()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        host, self.port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{self.port}"
        self.settings = from_dict(STARTUP).unwrap()

    async def _accept(self, reader, writer):
        self.accepted.put_nowait(Frames(reader, writer))

    async def accept_subscription(self):
        """Waits until the follower has subscribed; returns the connection and the subscription."""
        frames = await self.accepted.get()
        self.addCleanup(frames.close)
        return frames, await frames.read()

    def heartbeat(self, epoch, number, age=5):
        """Returns a heartbeat of a source whose newest configuration has this version."""
        return FeedHeartbeat(epoch, number, age, int(monotonic() / MS))


class ForeignRecords:
    """Checks the handling of records of another protocol; ``start`` follows the test's own feed source."""

    async def test_a_record_of_another_protocol_ends_the_connection(self):
        for record in (Subscribe("r", 0, 0, 0, 0), Change(7, 9, 9, 0, 0, b"")):
            with self.subTest(record=record):
                task, frames, _ = await self.start()
                await frames.write(record)
                with self.assertRaises(DecodeError):
                    await task


class RouterFeedClientTest(ForeignRecords, FeedTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.router = RouterNode(self.settings)
        own_peer = Peer("me:1", ROUTER, "z1", "", 1, 0, 0)
        self.router.swim = Swim(own_peer, (), SwimTiming.of(timedelta(seconds=3)), None)
        self.client = self.router.feed_client
        self.client.dial_timeout = DialTimeout(DIAL_TIMEOUT, DIAL_TIMEOUT)

    async def start(self):
        """Follows the test's own feed source; returns the task, the connection and the subscription."""
        self.client.upstream.on_connecting(monotonic(), self.address)
        task = asyncio.ensure_future(self.client.follow(self.address))
        self.addCleanup(task.cancel)
        return task, *await self.accept_subscription()

    async def send(self, frames, *records):
        """Sends records and waits until the last one has been handled."""
        for record in records:
            changed = self.client.change_signal.event
            await frames.write(record)
            await changed.wait()

    async def test_a_recent_heartbeat_does_not_confirm_an_old_configuration(self):
        _, frames, _ = await self.start()
        await self.send(frames, configuration(1, 5), endpoints(1, 1), self.heartbeat(1, 7))
        self.assertFalse(self.router.confirmed)
        await self.send(frames, configuration(1, 7), self.heartbeat(1, 7))
        self.assertTrue(self.router.confirmed)

    async def test_a_heartbeat_of_a_source_that_lacks_the_newest_configuration_does_not_confirm(self):
        """A restarted controller may know of an older configuration than earlier heartbeats announced."""
        task, frames, _ = await self.start()
        await self.send(frames, configuration(1, 5), endpoints(1, 1), self.heartbeat(2, 1))
        frames.close()
        with self.assertRaises((EOFError, OSError)):
            await task
        _, frames, subscription = await self.start()
        self.assertEqual(subscription.versions, {CONFIGURATION: (1, 5), ENDPOINTS: (1, 1)})
        await self.send(frames, self.heartbeat(0, 0))
        self.assertFalse(self.router.confirmed)
        self.assertEqual(self.client.newest_configuration(), (2, 1))

    async def test_changes_of_a_deposed_primary_are_not_applied(self):
        _, frames, _ = await self.start()
        await self.send(frames, configuration(3, 7))
        await frames.write(configuration(2, 9))
        await self.send(frames, self.heartbeat(2, 9))
        self.assertEqual((self.router.configuration.revision, self.client.store.version(CONFIGURATION)), (7, (3, 7)))


class ControllerFeedClientTest(ForeignRecords, FeedTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.feed_server = FeedServer(self.settings)
        self.feed_server.dialing = DialTimeout(DIAL_TIMEOUT, DIAL_TIMEOUT)
        self.primary = SimpleNamespace(id=2, host="127.0.0.1", port=self.port)
        member = SimpleNamespace(primary=lambda: self.primary, leading=lambda: False)
        self.feed_server.consensus = SimpleNamespace(member=member)

    async def start(self):
        """Follows the test's own feed source as the primary; returns the task, the connection and the subscription."""
        task = asyncio.ensure_future(self.feed_server._follow(self.primary))
        self.addCleanup(task.cancel)
        return task, *await self.accept_subscription()

    async def test_after_a_restart_the_announced_configuration_version_is_relayed(self):
        _, frames, _ = await self.start()
        changed = self.feed_server.change_signal.event
        await frames.write(self.heartbeat(4, 7))
        await changed.wait()
        self.assertEqual(
            (self.feed_server.newest_configuration(), self.feed_server.store.version(CONFIGURATION)), ((4, 7), (0, 0))
        )

    async def test_a_change_that_can_not_be_decoded_is_neither_applied_nor_relayed(self):
        task, frames, _ = await self.start()
        await frames.write(Change(CONFIGURATION, 1, 1, 0, 0, b"torn"))
        await task
        self.assertEqual(
            (self.feed_server.store.version(CONFIGURATION), self.feed_server.topics_to_resync),
            ((0, 0), {CONFIGURATION}),
        )
