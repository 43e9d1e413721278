"""The meter: counted records and connections, and where the counters are shown."""

import asyncio
import unittest
from datetime import timedelta

from sparloom import metrics
from sparloom.codec import pack
from sparloom.feed import FeedHeartbeat, Subscribe
from sparloom.membership import ALIVE, ROUTER, Peer, Ping
from sparloom.metrics.reporter import MetricsReporter, process_figures
from sparloom.transport import Datagrams, Frames, dial
from tests.support.router_fixture import RouterFixture

SECOND = timedelta(seconds=1)
PING = Ping(1, Peer("127.0.0.1:1", ROUTER, "z", "", 1, 0, ALIVE), 0, [])


async def _exchange_records():
    """Send a ping by datagram, and a subscription and two heartbeats over a connection."""
    received, served = asyncio.Event(), asyncio.Event()

    async def serve(reader, writer):
        frames = Frames(reader, writer)
        await frames.read()
        await frames.write(FeedHeartbeat(1, 1, 2, 0))
        await frames.write(FeedHeartbeat(1, 1, 3, 0))
        frames.close()
        frames.close()
        served.set()

    datagrams = await Datagrams.open("127.0.0.1", 0, lambda sender, message: received.set())
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    datagrams.send(f"127.0.0.1:{datagrams.transport.get_extra_info('sockname')[1]}", PING)
    frames = await dial("127.0.0.1", server.sockets[0].getsockname()[1], SECOND)
    await frames.write(Subscribe("r", 0, 0, 0, 0))
    await frames.read(), await frames.read()
    frames.close()
    async with asyncio.timeout(5):
        await received.wait(), await served.wait()
    datagrams.close()
    server.close()


class MeterEnabled(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        metrics.start_meter()
        self.addCleanup(metrics.start_meter, False)

    async def test_records_and_connections_are_counted_by_kind(self):
        await _exchange_records()
        size, figures = len(pack(PING)), metrics.current_meter().figures()
        self.assertEqual(figures["datagram out Ping"], [1, size])
        self.assertEqual(figures["datagram in Ping"], [1, size])
        self.assertEqual(figures["frame out FeedHeartbeat"], [2, 2 * (4 + len(pack(FeedHeartbeat(1, 1, 2, 0))))])
        self.assertEqual(figures["frame in FeedHeartbeat"], figures["frame out FeedHeartbeat"])
        self.assertEqual(figures["frame in Subscribe"][0], 1)
        self.assertEqual((figures["pipe opened"][0], figures["pipe closed"][0]), (2, 2))

    async def test_attempts_compared_runners_and_runner_connections_are_counted(self):
        async with RouterFixture(runners=2) as rig:
            for index in range(3):
                self.assertEqual((await rig.send("/safe/", id=f"a{index}")).status, 200)
            figures = rig.front.beliefs()["meter"]
        self.assertEqual(figures["attempts"][0], 3)
        self.assertEqual(figures["weighed runners"][0], 6)
        self.assertLessEqual(1, figures["opened runner"][0])
        self.assertLess(0, figures["memory"])

    async def test_the_log_entry_contains_all_counters(self):
        metrics.count_event("attempts")
        with self.assertLogs("absl", "INFO") as log:
            MetricsReporter("front-1", SECOND).report()
        self.assertIn('meter: {"node":"front-1"', log.output[0])
        self.assertIn('"attempts":[1,0]', log.output[0])


class MeterDisabled(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_counted_or_shown(self):
        await _exchange_records()
        self.assertIsNone(metrics.current_meter())
        self.assertIsNone(process_figures())
        async with RouterFixture() as rig:
            self.assertIsNone(rig.front.beliefs()["meter"])
