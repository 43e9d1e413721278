"""Connections to machines that come up late, in simulated time."""

import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from sparloom.controller.feed_server import FeedServer
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from sparloom.transport import DialTimeout, sockets
from tests.support.router_fixture import STARTUP

MS = timedelta(milliseconds=1)
PAUSE = 50 * MS


class Unpowered:
    """A machine that swallows what opens a connection until it has power; then it takes and closes each."""

    def __init__(self, up_at):
        self.now, self.up_at, self.reached = 0 * MS, up_at, False

    async def dial(self, host, port, wait):
        """Stands for the library's ``dial``."""
        if self.now < self.up_at:
            self.now += wait
            raise TimeoutError
        self.reached = True
        raise EOFError


class PowerComesLate(unittest.IsolatedAsyncioTestCase):
    async def late_by(self, follow, up_at):
        """How long after the machine has power it is reached, with a pause after each attempt."""
        machine = Unpowered(up_at)
        with mock.patch.object(sockets, "dial", machine.dial):
            while not machine.reached:
                with self.assertRaises((EOFError, TimeoutError)):
                    await follow()
                machine.now += PAUSE
        return machine.now - machine.up_at

    async def check(self, contact, follow):
        """One that comes up within half a second is reached within a tenth of the contact bound."""
        for up_at in range(20, 520, 20):
            with self.subTest(up_at=up_at):
                self.assertLessEqual(await self.late_by(follow(), up_at * MS), contact / 10 + PAUSE)

    async def test_a_controller_reaches_a_primary_that_starts_after_it(self):
        settings = from_dict(STARTUP).unwrap()
        primary = SimpleNamespace(id=2, host="127.0.0.1", port=1)

        def follow():
            shop = FeedServer(settings)
            shop.core = SimpleNamespace(ledger=SimpleNamespace(primary=lambda: primary, leading=lambda: False))
            return lambda: shop._from(primary)

        await self.check(settings.bounds.contact, follow)

    async def test_a_router_reaches_a_controller_that_starts_after_it(self):
        settings = from_dict(STARTUP).unwrap()

        def follow():
            client = RouterNode(settings).feed_client
            return lambda: client.follow("127.0.0.1:1")

        await self.check(settings.bounds.contact, follow)


class DialTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_peer_that_is_far_away_gets_the_time_that_it_needs(self):
        needed, opened = 300 * MS, object()

        async def dial(host, port, wait):
            if wait < needed:
                raise TimeoutError
            return opened

        dial_timeout = DialTimeout(75 * MS, 600 * MS)
        with mock.patch.object(sockets, "dial", dial):
            for _ in range(4):
                with self.assertRaises(TimeoutError):
                    await dial_timeout.dial("h", 1)
            self.assertIs(await dial_timeout.dial("h", 1), opened)
        self.assertEqual(dial_timeout.span, 75 * MS)

    async def test_a_refusal_is_no_reason_to_wait_longer(self):
        dial_timeout = DialTimeout(75 * MS, 600 * MS)
        refused = mock.AsyncMock(side_effect=ConnectionRefusedError)
        with mock.patch.object(sockets, "dial", refused), self.assertRaises(ConnectionRefusedError):
            await dial_timeout.dial("h", 1)
        self.assertEqual(dial_timeout.span, 75 * MS)
