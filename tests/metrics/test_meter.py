"""What a process counts of its own records and connections, and what it shows."""

import asyncio
import unittest
from datetime import timedelta

from sparloom import metrics as meter
from sparloom.codec import pack
from sparloom.feed import FeedHeartbeat, Subscribe
from sparloom.membership import ALIVE, ROUTER, Peer, Ping
from sparloom.metrics.reporter import MetricsReporter, process_figures
from sparloom.transport import Datagrams, Frames, dial
from tests.support.router_fixture import Rig

SECOND = timedelta(seconds=1)
PING = Ping(1, Peer("127.0.0.1:1", ROUTER, "z", "", 1, 0, ALIVE), 0, [])


async def _swap():
    """A ping by datagram there, a follow and two pulses by pipe."""
    got, served = asyncio.Event(), asyncio.Event()

    async def serve(reader, writer):
        f = Frames(reader, writer)
        await f.read()
        await f.write(FeedHeartbeat(1, 1, 2, 0))
        await f.write(FeedHeartbeat(1, 1, 3, 0))
        f.close()
        f.close()
        served.set()

    a = await Datagrams.open("127.0.0.1", 0, lambda src, rec: got.set())
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    a.send(f"127.0.0.1:{a.transport.get_extra_info('sockname')[1]}", PING)
    f = await dial("127.0.0.1", server.sockets[0].getsockname()[1], SECOND)
    await f.write(Subscribe("r", 0, 0, 0, 0))
    await f.read(), await f.read()
    f.close()
    async with asyncio.timeout(5):
        await got.wait(), await served.wait()
    a.close()
    server.close()


class Counted(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        meter.start_meter()
        self.addCleanup(meter.start_meter, False)

    async def test_records_and_pipes_by_kind(self):
        await _swap()
        size, got = len(pack(PING)), meter.current_meter().figures()
        self.assertEqual(got["datagram out Ping"], [1, size])
        self.assertEqual(got["datagram in Ping"], [1, size])
        self.assertEqual(got["frame out FeedHeartbeat"], [2, 2 * (4 + len(pack(FeedHeartbeat(1, 1, 2, 0))))])
        self.assertEqual(got["frame in FeedHeartbeat"], got["frame out FeedHeartbeat"])
        self.assertEqual(got["frame in Subscribe"][0], 1)
        self.assertEqual((got["pipe opened"][0], got["pipe closed"][0]), (2, 2))

    async def test_attempts_choices_and_runner_connections(self):
        async with Rig(runners=2) as rig:
            for i in range(3):
                self.assertEqual((await rig.send("/safe/", id=f"a{i}")).status, 200)
            got = rig.front.beliefs()["meter"]
        self.assertEqual(got["attempts"][0], 3)
        self.assertEqual(got["weighed runners"][0], 6)
        self.assertLessEqual(1, got["opened runner"][0])
        self.assertLess(0, got["memory"])

    async def test_a_line_tells_all(self):
        meter.count_event("attempts")
        with self.assertLogs("absl", "INFO") as log:
            MetricsReporter("front-1", SECOND).report()
        self.assertIn('meter: {"node":"front-1"', log.output[0])
        self.assertIn('"attempts":[1,0]', log.output[0])


class Off(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_kept_or_shown(self):
        await _swap()
        self.assertIsNone(meter.current_meter())
        self.assertIsNone(process_figures())
        async with Rig() as rig:
            self.assertIsNone(rig.front.beliefs()["meter"])
