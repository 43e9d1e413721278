"""Regression tests: a peer that answers without end took the memory of the process that had called it.

Each test starts the programs as real processes and has one peer send one kind of endless bytes. The process lives,
keeps within the memory and descriptors of its machine, and answers an ordinary request afterwards. The crowd and the
bounds are fixed: the bounds are those of the machines (``tests/support/resource_watch.py``).
"""

import asyncio
import unittest
import zlib
from contextlib import suppress

from tests.support.resource_watch import HostileServer, LimitedFleet

# Requests to the hostile runner at the same time.
CALLERS = 16
# For the endless event: each caller's bytes cost the old code time that grows with their square.
MANY_CALLERS = 64
# How long a connection rests before unasked answers come on it.
REST_S = 0.3
# How long such answers come before the ordinary request.
UNASKED_S = 3.5
# Bytes that the hostile peer sends on one connection before it gives up.
MOST_BYTES = 400 << 20
BLOCK_BYTES = 1 << 20
SEALED = b"X-Sparloom-Attempt-Id: {id}\r\nX-Sparloom-Runner-Seal: seal.hostile-1.{id}\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + SEALED
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Sparloom-Attempt-Id: {id}\r\nX-Sparloom-Not-Run: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ANSWER_WITHOUT_BODY = b"HTTP/1.1 204 No Content\r\n\r\n"


def repeated(piece, size=BLOCK_BYTES):
    return piece * (size // len(piece))


def chunks(size):
    """Returns a block of chunks of one size."""
    return repeated(b"%x\r\n%s\r\n" % (size, b"x" * size))


def packed_zeros():
    """Returns the first megabytes of a body that unpacks to a thousand times its size."""
    compressor = zlib.compressobj(9, zlib.DEFLATED, 31)
    return b"".join(compressor.compress(bytes(BLOCK_BYTES)) for _ in range(3000))


class EndlessRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, route, head, block, callers=CALLERS, rest_s=0.0):
        async with HostileServer(head, block, MOST_BYTES, rest_s) as runner, LimitedFleet(runner.port) as fleet:
            await asyncio.gather(*(self._call(fleet, route, number) for number in range(callers)))
            await asyncio.sleep(UNASKED_S if rest_s else 0)
            answered, held = await fleet.router_answers(), await fleet.held_bytes()
            print(f"{self.id()}: sent {runner.sent_bytes >> 20} MB, {fleet.figures()}")
            self.assertEqual(fleet.faults(), [])
            self.assertTrue(answered)
            self.assertEqual(held, {"router": 0, "controller": 0})
            self.assertGreater(runner.calls, 0)

    @staticmethod
    async def _call(fleet, route, number):
        """Sends one request and reads what comes, until the connection ends."""
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*fleet.front)
            writer.write(
                f"POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: {route}-{number}\r\n"
                "X-Sparloom-Deadline-Remaining: 6000\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello".encode()
            )
            while await reader.read(1 << 16):
                pass
            writer.close()

    async def test_body_without_length_on_a_safe_route(self):
        await self.check("safe", OK + b"Connection: close\r\n\r\n", repeated(b"x"))

    async def test_body_without_length_on_an_unsafe_route(self):
        await self.check("unsafe", OK + b"Connection: close\r\n\r\n", repeated(b"x"))

    async def test_body_with_a_length_that_never_ends(self):
        await self.check("safe", OK + b"Content-Length: 999999999999\r\n\r\n", repeated(b"x"))

    async def test_body_in_chunks_on_a_safe_route(self):
        await self.check("safe", OK + CHUNKED, chunks(4096))

    async def test_body_in_chunks_of_one_byte(self):
        await self.check("safe", OK + CHUNKED, chunks(1))

    async def test_body_of_a_refusal(self):
        await self.check("safe", REFUSED + CHUNKED, chunks(65536))

    async def test_error_in_place_of_a_stream(self):
        await self.check("stream", b"HTTP/1.1 500 Error\r\n" + SEALED + CHUNKED, chunks(65536))

    async def test_event_of_a_resumable_stream(self):
        await self.check("resume", OK + b"Content-Type: text/event-stream\r\n" + CHUNKED, chunks(65536), MANY_CALLERS)

    async def test_event_of_a_stream(self):
        await self.check("stream", OK + b"Content-Type: text/event-stream\r\n" + CHUNKED, chunks(65536))

    async def test_line_of_a_head(self):
        await self.check("safe", OK + b"X-Long: ", repeated(b"x"))

    async def test_fields_of_a_head(self):
        await self.check("safe", OK, repeated(b"X-Field: value\r\n"))

    async def test_interim_answers(self):
        await self.check("safe", b"", repeated(b"HTTP/1.1 102 Processing\r\n\r\n"))

    async def test_answers_behind_a_complete_answer(self):
        await self.check("safe", OK + b"Content-Length: 2\r\n\r\nok", repeated(ANSWER_WITHOUT_BODY), rest_s=REST_S)

    async def test_trailers(self):
        await self.check("safe", OK + CHUNKED + b"2\r\nok\r\n0\r\n", repeated(b"X-Trailer: value\r\n"))

    async def test_chunk_extension(self):
        await self.check("safe", OK + CHUNKED + b"2;x=", repeated(b"x"))

    async def test_bytes_behind_a_change_of_protocol(self):
        await self.check(
            "safe", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", repeated(b"x")
        )


class EndlessTaskRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, head, block):
        async with (
            HostileServer(head, block, MOST_BYTES) as runner,
            LimitedFleet(runner.port, deployment="sched") as fleet,
        ):
            # The scheduler asks each listed runner what it runs.
            async with asyncio.timeout(60):
                while runner.sent_bytes < 3 * BLOCK_BYTES:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(4)
            answered = await fleet.controller_answers()
            print(f"{self.id()}: sent {runner.sent_bytes >> 20} MB, {fleet.figures()}")
            self.assertEqual(fleet.faults(), [])
            self.assertTrue(answered)

    async def test_answer_to_a_hold(self):
        await self.check(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", repeated(b"x"))

    async def test_compressed_answer_to_a_hold(self):
        await self.check(b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nConnection: close\r\n\r\n", packed_zeros())


class EndlessPlatformTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, head, block, rest_s=0.0, **settings):
        async with (
            HostileServer(head, block, MOST_BYTES, rest_s) as platform,
            LimitedFleet(platform_port=platform.port, **settings) as fleet,
        ):
            # The controller calls by itself; a few calls are enough.
            async with asyncio.timeout(60):
                while platform.sent_bytes < 3 * BLOCK_BYTES:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(4)
            answered = await fleet.controller_answers()
            print(f"{self.id()}: sent {platform.sent_bytes >> 20} MB, {fleet.figures()}")
            self.assertEqual(fleet.faults(), [])
            self.assertTrue(answered)

    async def test_list_without_length(self):
        await self.check(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", repeated(b" "))

    async def test_list_in_chunks(self):
        await self.check(b"HTTP/1.1 200 OK\r\n" + CHUNKED, chunks(65536))

    async def test_compressed_list(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nConnection: close\r\n\r\n"
        await self.check(head, packed_zeros())

    async def test_list_for_the_scheduler(self):
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        await self.check(head, repeated(b" "), deployment="sched")

    async def test_answers_behind_a_complete_list(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 37\r\n\r\n" + b'{"instances":[],"nextPageToken":null}'
        await self.check(head, repeated(ANSWER_WITHOUT_BODY), REST_S)


if __name__ == "__main__":
    unittest.main()
