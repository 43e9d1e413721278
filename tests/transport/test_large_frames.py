"""Regression tests: a frame was kept on the word of its length prefix, whoever sent it."""

import asyncio
import struct
import unittest
from datetime import timedelta

from sparloom.admission import HoldingKind, process_budget
from sparloom.codec import pack
from sparloom.consensus import Data, Member, View
from sparloom.consensus.records import Copy
from sparloom.settings import Address
from sparloom.transport import bind, dial, monotonic
from sparloom.transport.frame_server import FrameServer

SECOND = timedelta(seconds=1)
FRAME_BYTES = 1 << 20
MEMBER = Member(1, "127.0.0.1", 7300, "z", "")
LARGE_RECORD = Copy(1, View(1, 1, [1], [MEMBER], []), Data(1, 1, 1, bytes(FRAME_BYTES)))


class LargeFrames(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.served = []
        server = FrameServer(self.serve, 100, 30 * SECOND)
        listen_socket = bind(Address("127.0.0.1", 0))
        self.address = listen_socket.getsockname()
        await server.start(listen_socket)
        self.addCleanup(server.close)
        self.budget = process_budget()
        self.addCleanup(setattr, self.budget, "capacity", self.budget.capacity)
        self.budget.capacity = 9 * FRAME_BYTES

    async def serve(self, frames, first):
        self.served.append(len(first.data.blob))

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def send(self, raw):
        frames = await dial(*self.address, SECOND)
        self.addCleanup(frames.close)
        frames.writer.write(raw)
        return frames

    async def test_a_large_record_is_received_and_its_bytes_are_given_back(self):
        frames = await self.send(b"")
        await frames.write(LARGE_RECORD, SECOND)
        await self.until(lambda: self.served)
        self.assertEqual((self.served, self.budget.held), ([FRAME_BYTES], 0))

    async def test_frames_that_stop_short_make_room_for_a_record(self):
        raw = pack(LARGE_RECORD)
        start = struct.pack("!I", len(raw)) + raw[:-1]
        stopped = [await self.send(start) for _ in range(3)]
        await self.until(lambda: self.budget.held > 5 * FRAME_BYTES)
        await asyncio.sleep(1.1)
        await (await self.send(b"")).write(LARGE_RECORD, SECOND)
        await self.until(lambda: self.served)
        for frames in stopped:
            frames.close()
        await self.until(lambda: not self.budget.held)

    async def test_a_frame_that_does_not_fit_ends_its_connection(self):
        other = self.budget.open(HoldingKind.ANSWERS, "other", monotonic())
        self.addCleanup(self.budget.close, other)
        self.budget.resize(other, 6 * FRAME_BYTES, monotonic())
        raw = pack(LARGE_RECORD)
        frames = await self.send(struct.pack("!I", len(raw)) + raw)
        with self.assertRaises((EOFError, OSError)):
            async with asyncio.timeout(10):
                await frames.read()
        self.assertEqual((self.served, self.budget.held), ([], other.size))


if __name__ == "__main__":
    unittest.main()
