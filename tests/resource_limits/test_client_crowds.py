"""Regression tests: clients that send many large bodies, or other bytes that nobody asked for, ended a process.

Each test starts the programs as real processes and lets one crowd of clients loose on one listener. Each client sends
its bytes and stays open. The process lives, keeps within the memory and descriptors of its machine, and answers an
ordinary request while the crowd is still there, and a large one after it has left. The crowds and the bounds are fixed:
the bounds are those of the machines (``tests/support/resource_watch.py``).
"""

import asyncio
import gzip
import struct
import unittest
from contextlib import suppress

from tests.support.resource_watch import CONFIGURATION, MAXIMUM_BODY_BYTES, HostileServer, LimitedFleet

# Clients that each make the process keep some megabytes.
LARGE_CROWD = 96
# Clients that each make it keep some hundred kilobytes.
MIDDLE_CROWD = 140
# Clients that hold a connection and little else: more than the process has descriptors.
WIDE_CROWD = 600
# Operators and nodes that each send a body or a frame of the largest legal size.
CONTROL_CROWD = 24
# How much short of their end bodies stop.
SHORT_BYTES = 1024
CONTROL_BODY_BYTES = 16 << 20
FRAME_BYTES = 31 << 20
HEAD_FIELDS = 120
FIELD_BYTES = 60_000
PIPELINED_REQUESTS = 30
# Prompts in turn, each with as many parts as a head of legal size has.
PROMPTS = 1200
PARTS = 1400
SOUND_RUNNERS = 12
CACHE_TOKENS = 443888
# How long a client tries to send, and how long the crowd stays before the ordinary request.
SEND_TIMEOUT_S = 12.0
STAY_S = 2.0


def head(path="/unsafe/x", method="POST", *fields):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", "X-Sparloom-Deadline-Remaining: 8000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def endless_head(field_bytes):
    """Returns the start of a request whose head has many long fields and no end."""
    fields = b"".join(b"X-Field-%d: %s\r\n" % (number, b"x" * field_bytes) for number in range(HEAD_FIELDS))
    return b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n" + fields


def chunks(size, piece_bytes):
    return b"%x\r\n%s\r\n" % (piece_bytes, b"x" * piece_bytes) * (size // piece_bytes)


class Crowd:
    """Clients that connect to one address, send the same bytes, and stay open until the end."""

    def __init__(self, address, size, sent):
        self.address, self.size, self.sent = address, size, sent
        self.writers = []

    async def __aenter__(self):
        await asyncio.gather(*(self._join() for _ in range(self.size)))
        await asyncio.sleep(STAY_S)
        return self

    async def _join(self):
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                # A client that doesn't read takes no more than this.
                _, writer = await asyncio.open_connection(*self.address, limit=1024)
                self.writers.append(writer)
                for start in range(0, len(self.sent), 1 << 16):
                    writer.write(self.sent[start : start + (1 << 16)])
                    await writer.drain()

    async def __aexit__(self, *exc):
        for writer in self.writers:
            writer.transport.abort()


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    async def check(self, listener, size, sent, runner_head=b"", runner_block=b"", runner_bytes=0, rest_s=30.0):
        """Lets a crowd loose on one listener (a name of ``LimitedFleet``)."""
        async with (
            HostileServer(runner_head, runner_block, runner_bytes, rest_s) as runner,
            LimitedFleet(runner.port) as fleet,
        ):
            async with Crowd(getattr(fleet, listener), size, sent) as crowd:
                answered = await fleet.router_answers(), await fleet.controller_answers()
                joined = len(crowd.writers)
            after = await fleet.router_answers(MAXIMUM_BODY_BYTES), await fleet.controller_answers()
            held = await fleet.held_bytes()
            print(f"{self.id()}: {joined} joined, {fleet.figures()}")
            self.assertEqual(fleet.faults(), [])
            self.assertEqual((answered, after), ((True, True), (True, True)))
            self.assertEqual(held, {"router": 0, "controller": 0})
            self.assertGreater(joined, 0)


class RouterCrowdTest(CrowdTestCase):
    async def test_bodies_that_stop_short(self):
        start = head("/unsafe/x", "POST", f"Content-Length: {MAXIMUM_BODY_BYTES}")
        await self.check("front", LARGE_CROWD, start + bytes(MAXIMUM_BODY_BYTES - SHORT_BYTES))

    async def test_bodies_in_pieces_that_stop_short(self):
        start = head("/unsafe/x", "POST", "Transfer-Encoding: chunked")
        await self.check("front", LARGE_CROWD, start + chunks(MAXIMUM_BODY_BYTES - SHORT_BYTES, 1024))

    async def test_complete_bodies_whose_runner_is_silent(self):
        start = head("/unsafe/x", "POST", f"Content-Length: {MAXIMUM_BODY_BYTES}")
        await self.check("front", LARGE_CROWD, start + bytes(MAXIMUM_BODY_BYTES))

    async def test_compressed_bodies_that_stop_short(self):
        packed = gzip.compress(bytes(MAXIMUM_BODY_BYTES - SHORT_BYTES))
        start = head("/unsafe/x", "POST", "Content-Encoding: gzip", f"Content-Length: {len(packed) + SHORT_BYTES}")
        await self.check("front", LARGE_CROWD, start + packed)

    async def test_heads_without_end(self):
        await self.check("front", LARGE_CROWD, endless_head(FIELD_BYTES))

    async def test_requests_behind_one_in_progress(self):
        first = head("/unsafe/x", "POST", "Content-Length: 0")
        behind = head("/unsafe/x", "POST", "Content-Length: 0", f"X-Long: {'x' * FIELD_BYTES}")
        await self.check("front", MIDDLE_CROWD, first + behind * PIPELINED_REQUESTS)

    async def test_bytes_behind_an_upgrade(self):
        start = head("/unsafe/x", "GET", "Connection: upgrade", "Upgrade: websocket")
        await self.check("front", MIDDLE_CROWD, start + bytes(8 << 20))

    async def test_streams_that_nobody_reads(self):
        answer = b"HTTP/1.1 200 OK\r\nX-Sparloom-Attempt-Id: {id}\r\nX-Sparloom-Runner-Seal: s\r\n"
        answer += b"Transfer-Encoding: chunked\r\n\r\n"
        start = head("/stream/x", "POST", "X-Sparloom-Attempt-Id: a1", "Content-Length: 0")
        await self.check("front", MIDDLE_CROWD, start, answer, chunks(1 << 16, 4096), 64 << 20, 0.0)

    async def test_answers_that_nobody_reads(self):
        answer = b"HTTP/1.1 200 OK\r\nX-Sparloom-Attempt-Id: {id}\r\nX-Sparloom-Runner-Seal: s\r\n"
        answer += b"Content-Length: %d\r\n\r\n" % (4 << 20)
        start = head("/safe/x", "POST", "X-Sparloom-Attempt-Id: a1", "Content-Length: 0")
        await self.check("front", MIDDLE_CROWD, start, answer, bytes(1 << 16), 4 << 20, 0.0)

    async def test_prompts_of_many_empty_parts(self):
        await self.check_prompts(0)

    async def test_prompts_of_many_short_parts(self):
        await self.check_prompts(1)

    async def check_prompts(self, tokens):
        services = [
            {**service, "engine": {"slots": 5000, "cacheTokens": CACHE_TOKENS}} for service in CONFIGURATION["services"]
        ]
        configuration = {**CONFIGURATION, "services": services}
        async with LimitedFleet(configuration=configuration, sound_runners=SOUND_RUNNERS) as fleet:
            for number in range(PROMPTS):
                parts = ",".join(f"{number}-{part}:{tokens}" for part in range(PARTS))
                await fleet.ask(
                    fleet.front,
                    f"POST /ordinary/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: a{number}\r\n"
                    f"X-Sparloom-Prompt-Prefix: {parts}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode(),
                )
            answered, held = await fleet.router_answers(), await fleet.held_bytes()
            print(f"{self.id()}: {fleet.figures()}")
            self.assertEqual(fleet.faults(), [])
            self.assertTrue(answered)
            self.assertEqual(held, {"router": 0, "controller": 0})

    async def test_connections_that_send_nothing(self):
        await self.check("front", WIDE_CROWD, b"")

    async def test_connections_with_a_part_of_a_head(self):
        await self.check("front", WIDE_CROWD, b"POST /unsafe/x HTTP/1.1\r\nHost: h.exa")

    async def test_connections_to_the_readiness_port(self):
        await self.check("readiness", WIDE_CROWD, b"")

    async def test_heads_without_end_to_the_readiness_port(self):
        await self.check("readiness", MIDDLE_CROWD, endless_head(8000))

    async def test_connections_to_the_internal_port(self):
        await self.check("router_internal", WIDE_CROWD, b"")

    async def test_frames_that_stop_short(self):
        frame = struct.pack("!I", FRAME_BYTES + SHORT_BYTES) + bytes(FRAME_BYTES)
        await self.check("router_internal", CONTROL_CROWD, frame)


class ControllerCrowdTest(CrowdTestCase):
    async def test_bodies_that_stop_short(self):
        start = head("/-/configuration", "PUT", "If-Match: 1", f"Content-Length: {CONTROL_BODY_BYTES}")
        await self.check("control", CONTROL_CROWD, start + bytes(CONTROL_BODY_BYTES - SHORT_BYTES))

    async def test_complete_bodies_of_small_values(self):
        body = b"[" + b"[]," * ((CONTROL_BODY_BYTES - 8) // 3) + b"[]]"
        start = head("/-/configuration", "PUT", "If-Match: 1", f"Content-Length: {len(body)}")
        await self.check("control", CONTROL_CROWD, start + body)

    async def test_complete_bodies_of_text(self):
        # Its base is stale, so that it never comes into force.
        body = b'{"revision":2,"routes":[],"services":[],"note":"\xf0\x9f\x98\x80' + b"x" * (15 << 20) + b'"}'
        start = head("/-/configuration", "PUT", "If-Match: 0", f"Content-Length: {len(body)}")
        await self.check("control", CONTROL_CROWD, start + body)

    async def test_heads_without_end(self):
        await self.check("control", MIDDLE_CROWD, endless_head(8000))

    async def test_connections_that_send_nothing(self):
        await self.check("control", WIDE_CROWD, b"")

    async def test_connections_to_the_internal_port(self):
        await self.check("controller_internal", WIDE_CROWD, b"")

    async def test_frames_that_stop_short(self):
        frame = struct.pack("!I", FRAME_BYTES + SHORT_BYTES) + bytes(FRAME_BYTES)
        await self.check("controller_internal", CONTROL_CROWD, frame)


if __name__ == "__main__":
    unittest.main()
