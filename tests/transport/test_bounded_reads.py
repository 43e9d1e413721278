"""Whole answers are read with a bound and within the budget of the process."""

import io
import unittest

import aiohttp

from sparloom.admission import HoldingKind, process_budget
from sparloom.transport import monotonic
from sparloom.transport.bounded_reads import AnswerTooLargeError, parse_json, read_body, read_json, read_stream
from tests.support.resource_watch import HostileServer

LIMIT = 100_000


class BoundedReadTest(unittest.IsolatedAsyncioTestCase):
    async def read(self, head, block, most_bytes, read=read_body):
        async with (
            HostileServer(head, block, most_bytes) as server,
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{server.port}/") as response,
        ):
            return await read(response, LIMIT)

    async def test_body_up_to_the_limit_is_read(self):
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % LIMIT
        self.assertEqual(await self.read(head, b"x" * LIMIT, LIMIT), b"x" * LIMIT)

    async def test_longer_body_is_an_error_and_leaves_nothing_in_the_budget(self):
        for head in (b"Content-Length: 999999999\r\n\r\n", b"Connection: close\r\n\r\n"):
            for read in (read_body, read_json):
                with self.assertRaises(AnswerTooLargeError):
                    await self.read(b"HTTP/1.1 200 OK\r\n" + head, b" " * 65536, 1 << 24, read)
        self.assertEqual(process_budget().held, 0)

    async def test_body_that_does_not_fit_the_budget_is_an_error(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 1000
        other = budget.open(HoldingKind.FRAMES, "other", monotonic())
        self.addCleanup(budget.close, other)
        budget.resize(other, 500, monotonic())
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
        with self.assertRaises(AnswerTooLargeError):
            await self.read(head, b"x" * 900, 900)

    async def test_document_of_many_small_values_is_refused_before_it_is_parsed(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 1_000_000
        body = b"[" + b"[]," * 30_000 + b"[]]"
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        with self.assertRaises(AnswerTooLargeError):
            await self.read(head, body, len(body), read_json)

    def test_deep_document_is_a_value_error(self):
        with self.assertRaises(ValueError):
            parse_json(b"[" * 100_000)

    def test_stream_of_a_blocking_call_is_bounded(self):
        self.assertEqual(read_stream(io.BytesIO(b"abc"), 3), b"abc")
        with self.assertRaises(AnswerTooLargeError):
            read_stream(io.BytesIO(b"abcd"), 3)


if __name__ == "__main__":
    unittest.main()
