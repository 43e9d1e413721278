"""Tests of the matching of replies to job calls, over loopback.

Regression: a running job was shown as completed. Two calls that waited for the
same connection were sent with the same number, and the second call got the
first call's reply. Seen in a simulated run.
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
DIAL_DELAY_S = 0.02
REPLY_DELAY_S = 0.01
CALL_TIMEOUT = timedelta(seconds=20)


def show_call(job):
    return JobCall(0, JobAction.SHOW, job, "h /q/", POLICY, b"")


class SlowPrimary:
    """A job primary that answers each call with its job ID as the count, after a delay that a test may set."""

    def __init__(self):
        self.calls = []
        self.connections = []
        self.delay_s = lambda call: REPLY_DELAY_S
        self.drop_after = None
        # Jobs whose next reply names another job.
        self.misnamed_jobs = set()

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
        if call.job in self.misnamed_jobs:
            self.misnamed_jobs.discard(call.job)
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
        await asyncio.sleep(DIAL_DELAY_S)
        return await dial(host, port, CALL_TIMEOUT)

    async def count(self, job):
        return (await self.channel.call(show_call(job), monotonic() + CALL_TIMEOUT)).count

    async def assert_matching_replies(self, jobs):
        self.assertEqual(await asyncio.gather(*map(self.count, jobs)), list(jobs))


class MatchingReplies(JobChannelCase):
    async def test_calls_that_wait_for_one_connection_get_matching_replies(self):
        self.primary.delay_s = lambda call: REPLY_DELAY_S * call.job
        await self.assert_matching_replies(range(1, 6))

    async def test_replies_in_reverse_order(self):
        self.primary.delay_s = lambda call: REPLY_DELAY_S * (8 - call.job)
        await self.assert_matching_replies(range(1, 8))

    async def test_a_connection_that_is_closed_with_calls_pending(self):
        self.primary.drop_after = 4
        await self.assert_matching_replies(range(1, 6))
        self.assertEqual(len(self.primary.connections), 2)

    async def test_the_number_of_a_cancelled_call_is_not_reused(self):
        self.primary.delay_s = lambda call: REPLY_DELAY_S * (5 if call.job == 1 else 9)
        first = asyncio.ensure_future(self.count(1))
        async with asyncio.timeout(5):
            while not self.primary.calls:
                await asyncio.sleep(0.001)
        first.cancel()
        # The late reply to the first call arrives while these calls wait.
        await self.assert_matching_replies((2, 3))

    async def test_the_number_of_a_call_that_timed_out_is_not_reused(self):
        self.primary.delay_s = lambda call: 0.3 if call.job == 1 and len(self.primary.calls) == 1 else REPLY_DELAY_S
        with mock.patch.object(job_channel, "REPLY_TIMEOUT_S", 0.1):
            await self.assert_matching_replies((1,))
            await self.assert_matching_replies((2, 3))

    async def test_concurrent_calls_on_a_connection_have_different_numbers(self):
        self.primary.delay_s = lambda call: REPLY_DELAY_S * (call.job % 3)
        await asyncio.gather(*map(self.count, range(1, 30)))
        numbers = [call.number for call in self.primary.calls]
        self.assertEqual(len(numbers), len(set(numbers)))


class MismatchedReplies(JobChannelCase):
    async def test_a_reply_that_names_another_job_closes_the_connection_and_the_call_is_retried(self):
        self.primary.misnamed_jobs.add(7)
        await self.assert_matching_replies((7,))
        self.assertEqual([call.job for call in self.primary.calls], [7, 7])
        self.assertEqual(len(self.primary.connections), 2)

    async def test_a_reply_without_a_call_summary_is_accepted(self):
        async def reply(frames, call):
            await frames.write(JobReply(call.number, JobOutcome.OK, 0, call.job, ""))

        self.primary.reply = reply
        await self.assert_matching_replies((1, 2))
