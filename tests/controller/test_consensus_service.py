"""Tests of ``ConsensusService``: sending copies, planned leaves, and timeouts of calls and connections."""

import asyncio
import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from attrs import evolve

from sparloom.consensus import ConsensusMember, ConsensusTiming, Data, Member, Register, View
from sparloom.consensus.records import Copy
from sparloom.controller import consensus_service
from sparloom.settings import from_dict
from tests.support.router_fixture import STARTUP

TIMING = ConsensusTiming.of(timedelta(milliseconds=600))
LOCAL_MEMBER, REMOTE_MEMBER = Member(1, "127.0.0.1", 7300, "z", ""), Member(2, "127.0.0.2", 7300, "z", "")


class ConsensusServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        startup = {**STARTUP, "seedNodes": [], "dataDirectory": "/nowhere", "ipAddress": "127.0.0.1"}
        self.consensus = consensus_service.ConsensusService(from_dict(startup).unwrap(), None, lambda data: None)
        stored = (Register(1, False, 0, [], False, 0), Data(0, 0, 0, b""))
        self.consensus.member = ConsensusMember.start(
            LOCAL_MEMBER, stored, False, TIMING, mock.Mock(), 1, (), timedelta(0)
        )

    async def test_a_copy_times_out_only_without_progress(self):
        """Regression: a large copy on a slow link exceeded the timeout and was restarted forever."""
        written, write_done = [], asyncio.Event()

        class Frames:
            async def write(self, record, timeout=None):
                written.append((record, timeout))
                write_done.set()

            def close(self):
                pass

        async def dial(host, port, timeout):
            return Frames()

        copy = Copy(1, View(1, 1, [2], [LOCAL_MEMBER, REMOTE_MEMBER], []), Data(1, 1, 1, b"x"))
        with mock.patch.object(consensus_service, "dial", dial):
            self.consensus._send_copy(REMOTE_MEMBER, copy)
            await write_done.wait()
            self.consensus.connections[REMOTE_MEMBER.host, REMOTE_MEMBER.port][0].cancel()
        self.assertEqual(written, [(copy, TIMING.election_timeout)])

    async def test_a_connection_without_a_first_record_is_closed(self):
        self.consensus.settings = evolve(
            self.consensus.settings, bounds=evolve(self.consensus.settings.bounds, contact=timedelta(0))
        )
        transport = mock.Mock()
        server = self.consensus._frame_server()
        await server._on_connection(asyncio.StreamReader(), SimpleNamespace(transport=transport))
        transport.abort.assert_called_once()

    async def test_a_full_copy_queue_drops_the_oldest_copies(self):
        copies = [
            Copy(1, View(1, 1, [2], [LOCAL_MEMBER, REMOTE_MEMBER], []), Data(1, number, number, b"x"))
            for number in range(9)
        ]
        with mock.patch.object(consensus_service, "dial", mock.AsyncMock(side_effect=OSError)):
            for copy in copies:
                self.consensus._send_copy(REMOTE_MEMBER, copy)
            task, queue = self.consensus.connections[REMOTE_MEMBER.host, REMOTE_MEMBER.port]
            self.assertEqual(
                [queue.get_nowait() for _ in range(queue.qsize())],
                copies[-consensus_service.QUEUED_COPIES_PER_MEMBER :],
            )
            await task

    async def test_leave_returns_on_completion_or_timeout(self):
        self.consensus.member = SimpleNamespace(leave=lambda now: [])
        await self.consensus.leave(timedelta(0))
        self.assertFalse(self.consensus.leave_completed.is_set())
        self.consensus.member = SimpleNamespace(leave=lambda now: [consensus_service.LeaveCompleted()])
        await self.consensus.leave(timedelta(hours=1))
        self.assertTrue(self.consensus.leave_completed.is_set())

    async def test_a_call_that_can_not_start_or_times_out_is_removed_from_pending_calls(self):
        self.consensus.member = SimpleNamespace(read=lambda now, call: None)
        self.assertIsNone(await self.consensus.confirm(timedelta(hours=1)))
        self.consensus.member = SimpleNamespace(read=lambda now, call: [])
        self.assertIsNone(await self.consensus.confirm(timedelta(0)))
        self.assertEqual(self.consensus.pending_calls, {})


if __name__ == "__main__":
    unittest.main()
