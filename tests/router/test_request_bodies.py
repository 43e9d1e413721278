"""Regression tests: bodies were bounded one by one, never together."""

import asyncio
import contextlib
import gzip

from sparloom.admission import HoldingKind, process_budget
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY

from .test_frontend import FrontendTestCase

BODY_BYTES = POLICY["limits"]["maxBodyBytes"]
# A body and its copy in the send buffer to a runner.
HELD_BYTES = 2 * BODY_BYTES
FITTING = 100
CAPACITY = FITTING * HELD_BYTES
# Room for responses, less than a body needs.
SLACK_BYTES = 1000


class RequestBodies(FrontendTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.budget = process_budget()
        self.addCleanup(setattr, self.budget, "capacity", self.budget.capacity)
        self.budget.capacity = CAPACITY + SLACK_BYTES
        self.assertEqual(self.budget.held, 0)

    async def start(self, body=b"", declared=BODY_BYTES, path="/safe/x"):
        """Sends a request, or its start, on a new connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.rig.port)
        self.addCleanup(writer.transport.abort)
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: a1\r\nContent-Length: {declared}\r\n\r\n".encode()
            + body
        )
        return reader, writer

    async def until_held(self, size):
        async with asyncio.timeout(10):
            while self.budget.held != size:
                await asyncio.sleep(0.01)

    async def test_bodies_that_do_not_fit_are_refused_with_a_retry(self):
        started = [await self.start(b"x") for _ in range(FITTING)]
        await self.until_held(CAPACITY)
        answer = await self.rig.send("/safe/x", b"x" * BODY_BYTES)
        self.assertEqual((answer.status, answer.headers["retry-after"], len(self.received)), (503, "0.2", 0))
        for reader, writer in started:
            writer.write(b"x" * (BODY_BYTES - 1))
            self.assertTrue((await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200 "))
        await self.until_held(0)

    async def test_a_client_that_stops_short_makes_room_and_is_refused(self):
        started = [await self.start(b"x" * (BODY_BYTES - 1)) for _ in range(FITTING)]
        await self.until_held(CAPACITY)
        await asyncio.sleep(1.1)
        answer = await self.rig.send("/safe/x", b"x" * BODY_BYTES)
        self.assertEqual((answer.status, len(self.received)), (200, 1))
        refused = [await self._first_line(reader) for reader, _ in started]
        self.assertEqual(refused.count(b"HTTP/1.1 503 Service Unavailable\r\n"), 1)

    @staticmethod
    async def _first_line(reader):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.01):
                return await reader.readuntil(b"\r\n")
        return b""

    async def test_the_account_is_empty_after_each_kind_of_end(self):
        _, stopped = await self.start(b"x")
        await self.until_held(HELD_BYTES)
        stopped.transport.abort()
        await self.until_held(0)
        _, waiting = await self.start(b"x" * BODY_BYTES, path="/unsafe/x")
        waiting.transport.abort()
        await self.until_held(0)
        for declared in (BODY_BYTES + 1, 1 << 40):
            reader, writer = await self.start(declared=declared)
            self.assertIn(b" 413 ", await reader.readuntil(b"\r\n"))
            writer.transport.abort()
            await self.until_held(0)
        chunked = b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
        for rest, status in ((b"0\r\n\r\n", b" 200 "), (b"zz\r\n", b" 400 ")):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.rig.port)
            writer.write(chunked)
            await asyncio.sleep(0.05)
            self.assertGreaterEqual(self.budget.held, 5)
            writer.write(rest)
            async with asyncio.timeout(5):
                self.assertIn(status, await reader.readuntil(b"\r\n"))
            writer.transport.abort()
            await self.until_held(0)

    async def test_a_compressed_body_reaches_its_runner_unchanged(self):
        packed = gzip.compress(bytes(10 * BODY_BYTES))
        answer = await self.rig.send("/safe/x", packed, ["Content-Encoding: gzip"])
        self.assertEqual((answer.status, [request.body for request in self.received]), (200, [packed]))

    async def test_an_attempt_id_that_is_no_utf_8_ends_in_no_exception(self):
        raw = b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: a\xff\r\n"
        answer = await self.rig.send("", raw=raw + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
        self.assertNotEqual(answer.status, 500)
        self.assertEqual(len(self.received), 1)

    async def test_a_body_in_pieces_is_refused_where_it_no_longer_fits(self):
        other = self.budget.open(HoldingKind.ANSWERS, "other", monotonic())
        self.budget.resize(other, self.budget.capacity - HELD_BYTES // 2, monotonic())
        piece = b"%x\r\n%s\r\n" % (BODY_BYTES - 1, b"x" * (BODY_BYTES - 1))
        raw = b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = await self.rig.send("/safe/x", raw=raw + piece + b"0\r\n\r\n")
        self.budget.close(other)
        self.assertEqual((answer.status, len(self.received), self.budget.held), (503, 0, 0))
