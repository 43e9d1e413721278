"""The service around a consensus member: copies in flight, and what a planned leave waits for."""

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
ME, OTHER = Member(1, "127.0.0.1", 7300, "z", ""), Member(2, "127.0.0.2", 7300, "z", "")


class Case(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        startup = {**STARTUP, "seedNodes": [], "dataDirectory": "/nowhere", "ipAddress": "127.0.0.1"}
        self.consensus = consensus_service.ConsensusService(from_dict(startup).unwrap(), None, lambda data: None)
        stored = (Register(1, False, 0, [], False, 0), Data(0, 0, 0, b""))
        self.consensus.member = ConsensusMember.start(ME, stored, False, TIMING, mock.Mock(), 1, (), timedelta(0))

    async def test_a_copy_is_abandoned_for_want_of_progress_only(self):
        """A large configuration on a thin link took longer than the time-out and was begun again for ever."""
        written, done = [], asyncio.Event()

        class Frames:
            async def write(self, record, patience=None):
                written.append((record, patience))
                done.set()

            def close(self):
                pass

        async def dial(host, port, wait):
            return Frames()

        copy = Copy(1, View(1, 1, [2], [ME, OTHER], []), Data(1, 1, 1, b"x"))
        with mock.patch.object(consensus_service, "dial", dial):
            self.consensus._send_copy(OTHER, copy)
            await done.wait()
            self.consensus.connections[OTHER.host, OTHER.port][0].cancel()
        self.assertEqual(written, [(copy, TIMING.election_timeout)])

    async def test_a_connection_without_a_first_record_is_closed(self):
        self.consensus.settings = evolve(
            self.consensus.settings, bounds=evolve(self.consensus.settings.bounds, contact=timedelta(0))
        )
        transport = mock.Mock()
        await self.consensus._serve_connection(asyncio.StreamReader(), SimpleNamespace(transport=transport))
        transport.abort.assert_called_once()

    async def test_only_the_newest_copies_are_queued_for_a_connection(self):
        copies = [Copy(1, View(1, 1, [2], [ME, OTHER], []), Data(1, n, n, b"x")) for n in range(9)]
        with mock.patch.object(consensus_service, "dial", mock.AsyncMock(side_effect=OSError)):
            for copy in copies:
                self.consensus._send_copy(OTHER, copy)
            task, copies_queued = self.consensus.connections[OTHER.host, OTHER.port]
            self.assertEqual(
                [copies_queued.get_nowait() for _ in range(copies_queued.qsize())],
                copies[-consensus_service.QUEUED_COPIES_PER_MEMBER :],
            )
            await task

    async def test_a_leave_ends_when_the_member_reports_it_or_at_its_timeout(self):
        self.consensus.member = SimpleNamespace(leave=lambda now: [])
        await self.consensus.leave(timedelta(0))
        self.assertFalse(self.consensus.left.is_set())
        self.consensus.member = SimpleNamespace(leave=lambda now: [consensus_service.LeaveCompleted()])
        await self.consensus.leave(timedelta(hours=1))
        self.assertTrue(self.consensus.left.is_set())

    async def test_a_call_that_can_not_start_or_gets_no_answer_leaves_nothing_behind(self):
        self.consensus.member = SimpleNamespace(read=lambda now, call: None)
        self.assertIsNone(await self.consensus.confirm(timedelta(hours=1)))
        self.consensus.member = SimpleNamespace(read=lambda now, call: [])
        self.assertIsNone(await self.consensus.confirm(timedelta(0)))
        self.assertEqual(self.consensus.pending_calls, {})


if __name__ == "__main__":
    unittest.main()
