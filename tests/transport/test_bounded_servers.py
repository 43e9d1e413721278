"""Regression tests: nothing bounded the connections to a listener, nor the heads on one of them."""

import asyncio
import contextlib
import re
import unittest
from datetime import timedelta

from aiohttp import web

from sparloom.admission import HoldingKind, process_budget
from sparloom.feed import Subscribe
from sparloom.settings import Address, Limits
from sparloom.transport import bind, dial, monotonic
from sparloom.transport.frame_server import FrameServer
from sparloom.transport.http_client import READ_CHUNK_BYTES
from sparloom.transport.http_server import DEFAULT_HEAD_BYTES, BoundedServer

MAXIMUM_CONNECTIONS = 4
SECOND = timedelta(seconds=1)
LARGE_ANSWER = bytes(8 << 20)
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"


class HttpConnections(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.go_on = asyncio.Event()
        self.bodies = []
        self.server = BoundedServer(self.answer, MAXIMUM_CONNECTIONS)
        runner = web.ServerRunner(self.server, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.SockSite(runner, bind(Address("127.0.0.1", 0)))
        await site.start()
        self.port = runner.addresses[0][1]

    async def answer(self, request):
        self.bodies.append(await request.content.read(-1))
        if request.path == "/wait":
            await self.go_on.wait()
        return web.Response(body=LARGE_ANSWER) if request.path == "/large" else web.Response(text="ok")

    async def connect(self, sent=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        writer.write(sent)
        await asyncio.sleep(0.02)
        return reader, writer

    async def is_closed(self, reader):
        try:
            async with asyncio.timeout(0.05):
                return not await reader.read(1 << 16)
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False

    async def test_the_connection_that_rested_longest_makes_room(self):
        first = [await self.connect() for _ in range(MAXIMUM_CONNECTIONS)]
        latest = await self.connect()
        closed = [await self.is_closed(reader) for reader, _ in (*first, latest)]
        self.assertEqual(closed, [True, False, False, False, False])
        self.assertEqual(len(self.server.open_connections()), MAXIMUM_CONNECTIONS)

    async def test_connections_with_a_request_in_progress_are_kept(self):
        busy = [await self.connect(REQUEST.replace(b"/ ", b"/wait ") + b"hello") for _ in range(MAXIMUM_CONNECTIONS)]
        late, _ = await self.connect(REQUEST + b"hello")
        self.assertTrue(await self.is_closed(late))
        self.go_on.set()
        for reader, _ in busy:
            self.assertTrue((await reader.read(1 << 16)).startswith(b"HTTP/1.1 200 "))

    async def test_a_client_that_stopped_inside_its_body_makes_room(self):
        stopped = [await self.connect(REQUEST + b"he") for _ in range(MAXIMUM_CONNECTIONS)]
        await asyncio.sleep(1.1)
        reader, _ = await self.connect(REQUEST + b"hello")
        self.assertTrue((await reader.read(1 << 16)).startswith(b"HTTP/1.1 200 "))
        self.assertTrue(await self.is_closed(stopped[0][0]))

    async def test_a_head_without_end_is_refused_and_its_connection_closed(self):
        reader, writer = await self.connect(b"POST / HTTP/1.1\r\nHost: h\r\n")
        field = b"X-Field: " + b"x" * 4000 + b"\r\n"
        with contextlib.suppress(ConnectionError):
            for _ in range(100):
                writer.write(field)
                await writer.drain()
        with contextlib.suppress(ConnectionError):
            answer = await reader.read(1 << 16)
            self.assertTrue(not answer or answer.startswith(b"HTTP/1.1 431 "), answer[:20])
        self.assertEqual((self.bodies, process_budget().held), ([], 0))

    async def test_requests_sent_ahead_are_read_one_after_the_other(self):
        ahead = 40
        field = b"X-Field: " + b"x" * 8000 + b"\r\n\r\n"
        request = REQUEST.replace(b"\r\n\r\n", b"\r\n") + field
        _, writer = await self.connect(REQUEST.replace(b"/ ", b"/wait ") + b"hello")
        for _ in range(ahead):
            writer.write(request + b"hello")
        await asyncio.sleep(0.1)
        (connection,) = self.server.open_connections()
        self.assertLess(len(connection._messages), ahead // 2)
        self.assertLessEqual(process_budget().held, 4 * (DEFAULT_HEAD_BYTES + 2 * READ_CHUNK_BYTES))
        self.go_on.set()
        async with asyncio.timeout(10):
            while len(self.bodies) < ahead + 1:
                await asyncio.sleep(0.01)
        self.assertEqual((set(self.bodies), process_budget().held), ({b"hello"}, 0))

    async def test_bytes_that_are_no_request_are_neither_logged_nor_sent_back(self):
        upgrade = REQUEST.replace(b"Host: h", b"Host: h\r\nConnection: upgrade\r\nUpgrade: websocket") + b"hello"
        for start, statuses in ((b"", [b"400"]), (REQUEST + b"hello", [b"200", b"400"]), (upgrade, [b"200"])):
            with self.assertNoLogs("aiohttp", "INFO"):
                reader, writer = await self.connect(start)
                writer.write(b"\x00" * 50_000)
                answer = await reader.read(-1)
            self.assertEqual(re.findall(rb"HTTP/1.\d (\d+)", answer), statuses)
            self.assertLess(len(answer), 1000)

    async def test_a_body_that_comes_with_its_head_is_no_head(self):
        body = b"x" * 40_000
        request = REQUEST.replace(b"/ ", b"/wait ").replace(b": 5", b": %d" % len(body))
        await self.connect(request + body)
        self.assertEqual((len(self.bodies), process_budget().held), (1, 0))
        self.go_on.set()

    async def test_an_answer_that_nobody_takes_is_accounted_for_until_it_is_taken(self):
        reader, _ = await self.connect(REQUEST.replace(b"/ ", b"/large ") + b"hello")
        self.assertGreater(process_budget().held, 1 << 20)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
        self.assertEqual(await reader.readexactly(len(LARGE_ANSWER)), LARGE_ANSWER)
        await asyncio.sleep(0.05)
        self.assertEqual(process_budget().held, 0)

    async def test_a_client_that_takes_no_answer_is_closed_where_there_is_no_room_for_it(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 100_000
        other = budget.open(HoldingKind.ANSWERS, "other", monotonic())
        self.addCleanup(budget.close, other)
        budget.resize(other, 50_000, monotonic())
        reader, _ = await self.connect(REQUEST.replace(b"/ ", b"/large ") + b"hello")
        with contextlib.suppress(ConnectionError):
            self.assertLess(len(await reader.read(-1)), len(LARGE_ANSWER))
        self.assertEqual((self.server.open_connections(), budget.held), ([], 50_000))

    async def test_a_part_of_a_head_makes_room_where_the_budget_is_used_up(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 100_000
        start = b"POST / HTTP/1.1\r\nHost: h\r\nX-Field: " + b"x" * 7000 + b"\r\nX-Other: " + b"x" * 7000
        slow, _ = await self.connect(start)
        self.assertGreater(budget.held, 50_000)
        await asyncio.sleep(1.1)
        reader, _ = await self.connect(start + b"\r\nContent-Length: 5\r\n\r\nhello")
        self.assertTrue((await reader.read(1 << 16)).startswith(b"HTTP/1.1 200 "))
        self.assertTrue(await self.is_closed(slow))


class FrameConnections(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.served = []
        server = FrameServer(self.serve, MAXIMUM_CONNECTIONS, 30 * SECOND)
        listen_socket = bind(Address("127.0.0.1", 0))
        self.address = listen_socket.getsockname()
        await server.start(listen_socket)
        self.addCleanup(server.close)

    async def serve(self, frames, first):
        self.served.append(first.node)
        await frames.read()

    async def connect(self, name=""):
        frames = await dial(*self.address, SECOND)
        self.addCleanup(frames.close)
        if name:
            await frames.write(Subscribe(name, 0, 0, 0, 0))
        await asyncio.sleep(0.02)
        return frames

    async def test_connections_without_a_record_make_room_and_nodes_keep_theirs(self):
        node = await self.connect("router-1")
        for _ in range(3 * MAXIMUM_CONNECTIONS):
            await self.connect()
        await self.connect("router-2")
        self.assertEqual(self.served, ["router-1", "router-2"])
        self.assertFalse(node.reader.at_eof())

    async def test_a_node_too_many_is_closed(self):
        names = [f"router-{number}" for number in range(MAXIMUM_CONNECTIONS + 1)]
        connections = [await self.connect(name) for name in names]
        self.assertEqual(self.served, names[:-1])
        with self.assertRaises((EOFError, OSError)):
            async with asyncio.timeout(5):
                await connections[-1].read()


class ConnectionLimitsTest(unittest.TestCase):
    def test_all_listeners_together_leave_sockets_for_calls_and_files(self):
        from sparloom.controller import consensus_service, control_api
        from sparloom.router import frontend, relay_server

        for descriptors in (500, 1024, 4100):
            limits = Limits(descriptors=descriptors)
            router = sum(
                map(
                    limits.connections,
                    (
                        frontend.CLIENT_CONNECTION_FRACTION,
                        frontend.READINESS_CONNECTION_FRACTION,
                        relay_server.FOLLOWER_CONNECTION_FRACTION,
                    ),
                )
            )
            controller = limits.connections(control_api.CONTROL_CONNECTION_FRACTION)
            controller += limits.connections(consensus_service.INTERNAL_CONNECTION_FRACTION)
            self.assertLess(max(router, controller), 0.9 * (descriptors - 200))


if __name__ == "__main__":
    unittest.main()
