"""Regression tests: answers that nobody had asked for were kept without a bound."""

import asyncio
import unittest

import aiohttp

from sparloom.transport.http_client import AnswerHandler, Connector, open_session
from tests.support.resource_watch import HostileServer

INTERIM_ANSWERS = b"HTTP/1.1 102 Processing\r\n\r\n" * 1000
EMPTY_ANSWERS = b"HTTP/1.1 204 No Content\r\n\r\n" * 1000
MOST_BYTES = 1 << 30


class UnaskedAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.session = open_session(Connector())
        self.addAsyncCleanup(self.session.close)

    async def get(self, server):
        async with self.session.get(f"http://127.0.0.1:{server.port}/") as response:
            return await response.read()

    async def test_interim_answers_without_end_fail_the_call(self):
        async with HostileServer(b"", INTERIM_ANSWERS, MOST_BYTES) as server:
            with self.assertRaises(aiohttp.ClientError):
                await self.get(server)

    async def test_some_interim_answers_are_passed_over(self):
        head = b"HTTP/1.1 102 Processing\r\n\r\n" * 10 + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        async with HostileServer(head, b"", 0) as server:
            self.assertEqual(await self.get(server), b"ok")

    async def test_a_connection_at_rest_is_closed_at_unasked_answers(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        async with HostileServer(head, EMPTY_ANSWERS, MOST_BYTES, rest_s=0.05) as server:
            self.assertEqual(await self.get(server), b"ok")
            (connections,) = self.session.connector._conns.values()
            protocol = connections[0][0]
            self.assertIsInstance(protocol, AnswerHandler)
            async with asyncio.timeout(10):
                while protocol.transport is not None:
                    await asyncio.sleep(0.01)
            self.assertEqual(len(protocol._buffer), 0)


if __name__ == "__main__":
    unittest.main()
