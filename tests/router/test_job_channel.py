"""Which reply a call about a job gets, over loopback.

In a rehearsal a job that was being served was shown as completed: two calls
that waited for one connection went out under one number, and the first reply
settled the second call.
"""

import asyncio
import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from sparloom.router import job_channel
from sparloom.router.job_channel import JobChannel
from sparloom.scheduler.messages import JobAction, JobCall, JobOutcome, JobReply, QueuePolicy
from sparloom.transport import Frames, dial, monotonic

POLICY = QueuePolicy(1, "s", 0, 3)
DIAL_S = 0.02
REPLY_S = 0.01
LONG = timedelta(seconds=20)


def show(job):
    return JobCall(0, JobAction.SHOW, job, "h /q/", POLICY, b"")


class SlowPrimary:
    """Answers each call with the job's own number as its count, late, in an order that a test may choose."""

    def __init__(self):
        self.calls = []
        self.connections = []
        self.delay_s = lambda call: REPLY_S
        self.drop_after = None
        self.foreign = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        frames = Frames(reader, writer)
        self.connections.append(frames)
        replies = set()
        try:
            while True:
                call = await frames.read()
                self.calls.append(call)
                if self.drop_after == len(self.calls):
                    return
                replies.add(asyncio.ensure_future(self.reply(frames, call)))
        except (EOFError, OSError):
            pass
        finally:
            for reply in replies:
                reply.cancel()
            frames.close()

    async def reply(self, frames, call):
        await asyncio.sleep(self.delay_s(call))
        job = call.job
        if call.job in self.foreign:
            self.foreign.discard(call.job)
            job = call.job + 1000
        text = f"{JobAction(call.action).name} {job:016x}"
        await frames.write(JobReply(call.number, JobOutcome.OK, 0, job, text))


class JobChannelCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.primary = await SlowPrimary().start()
        self.addCleanup(self.primary.server.close)
        state = SimpleNamespace(
            seeds=(f"127.0.0.1:{self.primary.port}",),
            instance_id=0,
            settings=SimpleNamespace(job_port=self.primary.port),
        )
        membership = SimpleNamespace(swim=SimpleNamespace(alive=lambda: ()))
        self.channel = JobChannel(state, membership)
        self.addCleanup(self.channel.close)
        patch = mock.patch.object(job_channel, "dial", self.slow_dial)
        patch.start()
        self.addCleanup(patch.stop)

    @staticmethod
    async def slow_dial(host, port, _timeout):
        await asyncio.sleep(DIAL_S)
        return await dial(host, port, LONG)

    async def count(self, job):
        return (await self.channel.call(show(job), monotonic() + LONG)).count

    async def assert_own_replies(self, jobs):
        self.assertEqual(await asyncio.gather(*map(self.count, jobs)), list(jobs))


class OwnReplies(JobChannelCase):
    async def test_calls_that_wait_for_one_connection_get_their_own_replies(self):
        self.primary.delay_s = lambda call: REPLY_S * call.job
        await self.assert_own_replies(range(1, 6))

    async def test_replies_that_pass_each_other(self):
        self.primary.delay_s = lambda call: REPLY_S * (8 - call.job)
        await self.assert_own_replies(range(1, 8))

    async def test_a_connection_that_drops_amid_calls(self):
        self.primary.drop_after = 4
        await self.assert_own_replies(range(1, 6))
        self.assertEqual(len(self.primary.connections), 2)

    async def test_a_call_whose_caller_has_left_gives_its_number_to_no_other(self):
        self.primary.delay_s = lambda call: REPLY_S * (5 if call.job == 1 else 9)
        first = asyncio.ensure_future(self.count(1))
        async with asyncio.timeout(5):
            while not self.primary.calls:
                await asyncio.sleep(0.001)
        first.cancel()
        # The late reply to the first comes while these wait.
        await self.assert_own_replies((2, 3))

    async def test_a_call_given_up_after_its_time_out_gives_its_number_to_no_other(self):
        self.primary.delay_s = lambda call: 0.3 if call.job == 1 and len(self.primary.calls) == 1 else REPLY_S
        with mock.patch.object(job_channel, "REPLY_TIMEOUT_S", 0.1):
            await self.assert_own_replies((1,))
            await self.assert_own_replies((2, 3))

    async def test_no_number_is_in_use_twice_on_a_connection(self):
        self.primary.delay_s = lambda call: REPLY_S * (call.job % 3)
        await asyncio.gather(*map(self.count, range(1, 30)))
        numbers = [call.number for call in self.primary.calls]
        self.assertEqual(len(numbers), len(set(numbers)))


class ForeignReplies(JobChannelCase):
    async def test_a_reply_that_names_another_job_ends_the_connection_and_the_call_is_made_again(self):
        self.primary.foreign.add(7)
        await self.assert_own_replies((7,))
        self.assertEqual([call.job for call in self.primary.calls], [7, 7])
        self.assertEqual(len(self.primary.connections), 2)

    async def test_a_reply_of_a_program_that_names_no_question_is_taken(self):
        async def reply(frames, call):
            await frames.write(JobReply(call.number, JobOutcome.OK, 0, call.job, ""))

        self.primary.reply = reply
        await self.assert_own_replies((1, 2))
