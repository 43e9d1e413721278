"""Connecting to machines that start late, in simulated time."""

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


class LateMachine:
    """A machine that drops SYN packets until it is up; from then on it accepts and closes each connection."""

    def __init__(self, started_at):
        self.now, self.started_at, self.reached = 0 * MS, started_at, False

    async def dial(self, host, port, timeout):
        """Replaces ``sockets.dial``."""
        if self.now < self.started_at:
            self.now += timeout
            raise TimeoutError
        self.reached = True
        raise EOFError


class LateStart(unittest.IsolatedAsyncioTestCase):
    async def reach_delay(self, follow, started_at):
        """Return how long after its start the machine is reached, with a pause after each attempt."""
        machine = LateMachine(started_at)
        with mock.patch.object(sockets, "dial", machine.dial):
            while not machine.reached:
                with self.assertRaises((EOFError, TimeoutError)):
                    await follow()
                machine.now += PAUSE
        return machine.now - machine.started_at

    async def check(self, contact_bound, make_follow):
        """A machine that starts within half a second is reached within a tenth of the contact bound and one pause."""
        for started_at in range(20, 520, 20):
            with self.subTest(started_at=started_at):
                self.assertLessEqual(await self.reach_delay(make_follow(), started_at * MS), contact_bound / 10 + PAUSE)

    async def test_a_controller_reaches_a_primary_that_starts_later(self):
        settings = from_dict(STARTUP).unwrap()
        primary = SimpleNamespace(id=2, host="127.0.0.1", port=1)

        def make_follow():
            feed_server = FeedServer(settings)
            feed_server.consensus = SimpleNamespace(
                member=SimpleNamespace(primary=lambda: primary, leading=lambda: False)
            )
            return lambda: feed_server._follow(primary)

        await self.check(settings.bounds.contact, make_follow)

    async def test_a_router_reaches_a_controller_that_starts_later(self):
        settings = from_dict(STARTUP).unwrap()

        def make_follow():
            feed_client = RouterNode(settings).feed_client
            return lambda: feed_client.follow("127.0.0.1:1")

        await self.check(settings.bounds.contact, make_follow)


class DialTimeouts(unittest.IsolatedAsyncioTestCase):
    async def test_the_timeout_grows_until_a_distant_peer_answers(self):
        needed_timeout, connection = 300 * MS, object()

        async def dial(host, port, timeout):
            if timeout < needed_timeout:
                raise TimeoutError
            return connection

        timeout = DialTimeout(75 * MS, 600 * MS)
        with mock.patch.object(sockets, "dial", dial):
            for _ in range(4):
                with self.assertRaises(TimeoutError):
                    await timeout.dial("h", 1)
            self.assertIs(await timeout.dial("h", 1), connection)
        self.assertEqual(timeout.current, 75 * MS)

    async def test_a_refused_connection_does_not_extend_the_timeout(self):
        timeout = DialTimeout(75 * MS, 600 * MS)
        refused = mock.AsyncMock(side_effect=ConnectionRefusedError)
        with mock.patch.object(sockets, "dial", refused), self.assertRaises(ConnectionRefusedError):
            await timeout.dial("h", 1)
        self.assertEqual(timeout.current, 75 * MS)
