"""The service around the ledger: copies on their way, and what a planned end waits for."""

import asyncio
import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from attrs import evolve

from sparloom.consensus import ConsensusMember, ConsensusTiming, Data, Member, Register, View
from sparloom.consensus.records import Copy
from sparloom.controller import consensus_service as core
from sparloom.settings import from_dict
from tests.support.router_fixture import STARTUP

SPANS = ConsensusTiming.of(timedelta(milliseconds=600))
ME, OTHER = Member(1, "127.0.0.1", 7300, "z", ""), Member(2, "127.0.0.2", 7300, "z", "")


class Case(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        told = {**STARTUP, "seedNodes": [], "dataDirectory": "/nowhere", "ipAddress": "127.0.0.1"}
        self.core = core.ConsensusService(from_dict(told).unwrap(), None, lambda data: None)
        kept = (Register(1, False, 0, [], False, 0), Data(0, 0, 0, b""))
        self.core.ledger = ConsensusMember.start(ME, kept, False, SPANS, mock.Mock(), 1, (), timedelta(0))

    async def test_a_copy_is_given_up_for_want_of_progress_only(self):
        """A large configuration on a thin link took longer than the patience and was begun again for ever."""
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
        with mock.patch.object(core, "dial", dial):
            self.core._send_copy(OTHER, copy)
            await done.wait()
            self.core.pipes[OTHER.host, OTHER.port][0].cancel()
        self.assertEqual(written, [(copy, SPANS.election_timeout)])

    async def test_a_connection_that_says_nothing_is_closed(self):
        self.core.up = evolve(self.core.up, bounds=evolve(self.core.up.bounds, contact=timedelta(0)))
        transport = mock.Mock()
        await self.core._pipe(asyncio.StreamReader(), SimpleNamespace(transport=transport))
        transport.abort.assert_called_once()

    async def test_only_the_newest_copies_wait_for_a_connection(self):
        copies = [Copy(1, View(1, 1, [2], [ME, OTHER], []), Data(1, n, n, b"x")) for n in range(9)]
        with mock.patch.object(core, "dial", mock.AsyncMock(side_effect=OSError)):
            for copy in copies:
                self.core._send_copy(OTHER, copy)
            task, line = self.core.pipes[OTHER.host, OTHER.port]
            self.assertEqual([line.get_nowait() for _ in range(line.qsize())], copies[-core.COPIES_IN_LINE :])
            await task

    async def test_a_leave_ends_when_the_ledger_says_so_or_at_its_bound(self):
        self.core.ledger = SimpleNamespace(leave=lambda now: [])
        await self.core.leave(timedelta(0))
        self.assertFalse(self.core.left.is_set())
        self.core.ledger = SimpleNamespace(leave=lambda now: [core.LeaveCompleted()])
        await self.core.leave(timedelta(hours=1))
        self.assertTrue(self.core.left.is_set())

    async def test_a_call_that_can_not_start_or_gets_no_answer_leaves_nothing_behind(self):
        self.core.ledger = SimpleNamespace(read=lambda now, call: None)
        self.assertIsNone(await self.core.confirm(timedelta(hours=1)))
        self.core.ledger = SimpleNamespace(read=lambda now, call: [])
        self.assertIsNone(await self.core.confirm(timedelta(0)))
        self.assertEqual(self.core.waits, {})


if __name__ == "__main__":
    unittest.main()
