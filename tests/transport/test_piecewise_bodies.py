"""Regression tests: a body that its runner didn't read stood twice in the router's memory."""

import asyncio
import unittest

from sparloom.transport.http_client import PIECE_BYTES, Connector, open_session, request_data

# More than the buffers of the kernel take.
BODY = bytes(range(256)) * (64 << 10)


class PiecewisePayloads(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reads, self.received = asyncio.Event(), b""
        self.connections = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1024)
        self.addCleanup(server.close)
        self.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        self.session = open_session(Connector())
        self.addAsyncCleanup(self.session.close)

    async def serve(self, reader, writer):
        self.connections += 1
        head = await reader.readuntil(b"\r\n\r\n")
        if b"early" in head:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        await self.reads.wait()
        self.received = await reader.readexactly(len(BODY))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def unsent_bytes(self):
        return sum(
            protocol.transport.get_write_buffer_size()
            for protocol in self.session.connector._acquired
            if protocol.transport is not None
        )

    async def test_a_body_that_is_not_read_waits_in_one_copy_and_arrives_complete(self):
        call = asyncio.ensure_future(self.session.post(self.url, data=request_data(BODY)))
        self.addCleanup(call.cancel)
        self.addCleanup(self.reads.set)
        await asyncio.sleep(0.2)
        self.assertLess(self.unsent_bytes(), 3 * PIECE_BYTES)
        self.assertGreater(self.unsent_bytes(), 0)
        self.reads.set()
        response = await call
        self.assertEqual((response.status, self.received), (200, BODY))

    async def test_a_connection_with_a_part_of_a_body_is_not_used_again(self):
        for _ in range(2):
            async with self.session.post(self.url, data=request_data(BODY), headers={"X": "early"}) as response:
                self.assertEqual(response.status, 503)
        self.assertEqual(self.connections, 2)


if __name__ == "__main__":
    unittest.main()
