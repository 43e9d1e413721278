"""What a router and a controller take from the one that they follow, over loopback."""

import asyncio
import unittest
from datetime import timedelta
from types import SimpleNamespace

from sparloom.codec import DecodeError
from sparloom.controller.feed_server import FeedServer
from sparloom.discovery import EndpointList
from sparloom.feed import CONFIGURATION, ENDPOINTS, Change, FeedHeartbeat, Subscribe
from sparloom.feed import payload as news
from sparloom.membership import ROUTER, Peer, Swim, SwimTiming
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from sparloom.transport import Frames, monotonic
from tests.support.router_fixture import POLICY as ROUTES
from tests.support.router_fixture import STARTUP

MS = timedelta(milliseconds=1)


def policy(epoch, number):
    """A change that brings the whole policy."""
    return Change(CONFIGURATION, epoch, number, 0, 0, news.encode_state(CONFIGURATION, {**ROUTES, "revision": number}))


def runners(epoch, number):
    """A change that brings the whole list."""
    return Change(ENDPOINTS, epoch, number, 0, 0, news.encode_state(ENDPOINTS, EndpointList([], 1)))


class Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = asyncio.Queue()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        host, self.port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{self.port}"
        self.up = from_dict(STARTUP).unwrap()

    async def _accept(self, reader, writer):
        self.accepted.put_nowait(Frames(reader, writer))

    async def greeted(self):
        """The connection of the follower, once it has told its place."""
        frames = await self.accepted.get()
        self.addCleanup(frames.close)
        return frames, await frames.read()

    def pulse(self, epoch, number, age=5):
        """A pulse of one that knows of this policy."""
        return FeedHeartbeat(epoch, number, age, int(monotonic() / MS))


class ForeignRecords:
    """What a follower makes of records that are none of the feed; ``start`` follows the one that the test plays."""

    async def test_what_is_none_of_the_feed_ends_the_connection(self):
        for record in (Subscribe("r", 0, 0, 0, 0), Change(7, 9, 9, 0, 0, b"")):
            with self.subTest(record=record):
                task, frames, _ = await self.start()
                await frames.write(record)
                with self.assertRaises(DecodeError):
                    await task


class Router(ForeignRecords, Case):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.state = RouterNode(self.up)
        self.state.swim = Swim(Peer("me:1", ROUTER, "z1", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None)
        self.follow = self.state.feed_client

    async def start(self):
        """Follows the one that the test plays; gives the task and the connection."""
        self.follow.upstream.start(monotonic(), self.address)
        task = asyncio.ensure_future(self.follow.follow(self.address))
        self.addCleanup(task.cancel)
        return task, *await self.greeted()

    async def send(self, frames, *records):
        """Sends records and waits until the last one has been taken in."""
        for r in records:
            bell = self.follow.change_signal.event
            await frames.write(r)
            await bell.wait()

    async def test_a_fresh_pulse_does_not_make_an_old_policy_current(self):
        _, frames, _ = await self.start()
        await self.send(frames, policy(1, 5), runners(1, 1), self.pulse(1, 7))
        self.assertFalse(self.state.confirmed)
        await self.send(frames, policy(1, 7), self.pulse(1, 7))
        self.assertTrue(self.state.confirmed)

    async def test_nor_does_another_that_has_not_heard_of_the_newer_one(self):
        """A controller that started again knows less than this router has heard."""
        task, frames, _ = await self.start()
        await self.send(frames, policy(1, 5), runners(1, 1), self.pulse(2, 1))
        frames.close()
        with self.assertRaises((EOFError, OSError)):
            await task
        _, frames, greeting = await self.start()
        self.assertEqual(greeting.versions, {CONFIGURATION: (1, 5), ENDPOINTS: (1, 1)})
        await self.send(frames, self.pulse(0, 0))
        self.assertFalse(self.state.confirmed)
        self.assertEqual(self.follow.newest_configuration(), (2, 1))

    async def test_a_deposed_primarys_changes_are_not_taken(self):
        _, frames, _ = await self.start()
        await self.send(frames, policy(3, 7))
        await frames.write(policy(2, 9))
        await self.send(frames, self.pulse(2, 9))
        self.assertEqual((self.state.configuration.revision, self.follow.store.version(CONFIGURATION)), (7, (3, 7)))


class Controller(ForeignRecords, Case):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.shop = FeedServer(self.up)
        self.primary = SimpleNamespace(id=2, host="127.0.0.1", port=self.port)
        ledger = SimpleNamespace(primary=lambda: self.primary, leading=lambda: False)
        self.shop.core = SimpleNamespace(ledger=ledger)

    async def start(self):
        """Follows the primary that the test plays."""
        task = asyncio.ensure_future(self.shop._from(self.primary))
        self.addCleanup(task.cancel)
        return task, *await self.greeted()

    async def test_one_that_started_again_passes_on_which_policy_its_followers_must_hold(self):
        _, frames, _ = await self.start()
        bell = self.shop.change_signal.event
        await frames.write(self.pulse(4, 7))
        await bell.wait()
        self.assertEqual((self.shop.newest_configuration(), self.shop.store.version(CONFIGURATION)), ((4, 7), (0, 0)))

    async def test_a_change_that_can_not_be_read_is_not_taken_nor_passed_on(self):
        task, frames, _ = await self.start()
        await frames.write(Change(CONFIGURATION, 1, 1, 0, 0, b"torn"))
        await task
        self.assertEqual((self.shop.store.version(CONFIGURATION), self.shop.afresh), ((0, 0), {CONFIGURATION}))
