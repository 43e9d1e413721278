"""The job service: terms, storage, and replies to routers' calls."""

import asyncio
import json
import tempfile
import unittest
from datetime import timedelta

from fakes.platform import Platform
from fakes.task_runner import RunLog, TaskRunner, Work
from sparloom.consensus import Data
from sparloom.controller.job_service import JobService
from sparloom.scheduler.jobs import JobStore
from sparloom.scheduler.messages import JobAction, JobCall, JobOutcome, JobState, QueuePolicy
from sparloom.settings import from_dict
from tests.controller.test_program import free_ports
from tests.support.router_fixture import STARTUP

POLICY = QueuePolicy(1, "s", 0, 3)


def job_body(*steps):
    return json.dumps({"taskSpec": "x", "steps": list(steps or ({"replicaCount": 1},))}).encode()


class JobServiceCase(unittest.IsolatedAsyncioTestCase):
    orders = "call"

    async def asyncSetUp(self):
        self.log = RunLog()
        self.work = Work(0.1)
        self.runner = await TaskRunner("i-1", "s", self.log, work=lambda _task: self.work).start()
        self.platform = await Platform([self.runner.entry()]).start()
        self.folder = tempfile.TemporaryDirectory()
        internal, control = free_ports(2)
        settings = {
            **STARTUP,
            "deployment": "sched",
            "orders": self.orders,
            "internalPortRange": [internal, internal + 9],
            "seedNodes": [f"127.0.0.1:{control}"],
            "firstStart": True,
            "dataDirectory": self.folder.name,
            "bounds": {"contactMs": 600, "holdLimitMs": 1500},
            "cloudApi": {"address": f"127.0.0.1:{self.platform.port}", "ratePerS": 100},
        }
        self.service = JobService(from_dict(settings).unwrap())
        await self.service.start()

    async def asyncTearDown(self):
        await self.service.stop()
        await self.platform.stop()
        await self.runner.stop()
        self.folder.cleanup()

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(self, action, job=1, body=b"", queue="h /q/"):
        return await self.service.answer(JobCall(7, action, job, queue, POLICY, body))

    async def state(self, job=1):
        reply = await self.call(JobAction.SHOW, job)
        return JobState(reply.state) if reply.outcome == JobOutcome.OK else JobOutcome(reply.outcome)

    async def submit(self, job=1, body=None):
        await self.wait_until(lambda: self.service._active_term())
        reply = await self.call(JobAction.SUBMIT, job, body or job_body())
        self.assertEqual((reply.number, reply.outcome), (7, JobOutcome.OK))

    async def wait_for_state(self, state, job=1):
        async with asyncio.timeout(10):
            while await self.state(job) is not state:
                await asyncio.sleep(0.01)


class Jobs(JobServiceCase):
    async def test_an_acknowledged_job_is_stored(self):
        await self.submit()
        data = await self.service.consensus.confirm(timedelta(seconds=1))
        self.assertEqual([job.id for job in JobStore.load(data.blob).jobs()], [1])

    async def test_submitting_the_same_id_again_creates_no_second_job(self):
        await self.wait_until(lambda: self.service._active_term())
        replies = await asyncio.gather(*(self.call(JobAction.SUBMIT, 1, job_body()) for _ in range(5)))
        self.assertEqual({reply.outcome for reply in replies}, {JobOutcome.OK})
        await self.wait_for_state(JobState.COMPLETED)
        await self.submit()
        self.assertEqual(len(self.log.starts), 1)

    async def test_replies_about_missing_and_malformed_jobs(self):
        await self.wait_until(lambda: self.service._active_term())
        self.assertEqual((await self.call(JobAction.SHOW)).outcome, JobOutcome.GONE)
        self.assertEqual((await self.call(JobAction.CANCEL)).outcome, JobOutcome.GONE)
        reply = await self.call(JobAction.SUBMIT, 1, b"{}")
        self.assertEqual((reply.outcome, reply.text), (JobOutcome.INVALID, "steps must be a list of 1 to 64 steps"))
        await self.submit()
        self.assertEqual((await self.call(JobAction.SHOW, queue="h /other/")).outcome, JobOutcome.GONE)

    async def test_a_cancelled_job_is_stopped_and_shown_as_cancelled(self):
        self.work = Work(30.0)
        await self.submit()
        await self.wait_until(lambda: self.runner.running)
        self.assertEqual((await self.call(JobAction.CANCEL)).outcome, JobOutcome.OK)
        self.assertIs(await self.state(), JobState.CANCELLED)
        await self.wait_until(lambda: not self.runner.running)
        self.assertEqual((await self.call(JobAction.CANCEL)).outcome, JobOutcome.OK)

    async def test_queued_jobs_are_counted_until_a_task_has_started(self):
        self.runner.draining = True
        self.platform.entries[:] = [self.runner.entry()]
        await self.submit()
        self.assertEqual((await self.call(JobAction.COUNT, 0)).count, 1)
        self.runner.draining = False
        self.platform.entries[:] = [self.runner.entry()]
        await self.wait_for_state(JobState.COMPLETED)
        self.assertEqual((await self.call(JobAction.COUNT, 0)).count, 0)

    async def test_a_term_continues_if_the_same_member_leads_in_a_new_epoch(self):
        self.work = Work(1.0)
        await self.submit()
        await self.wait_until(lambda: self.runner.running)
        term = self.service._term
        member = self.service.consensus.member
        self.service.consensus._carry_out(member.renew_view(member.leadership, None))
        self.assertIsNone(self.service._active_term())
        await self.wait_until(lambda: self.service._active_term())
        self.assertIs(self.service._term, term)
        await self.submit(2)
        await self.wait_for_state(JobState.COMPLETED)
        await self.wait_for_state(JobState.COMPLETED, 2)
        self.assertEqual((self.runner.fence, self.log.violations), (term.store.term, []))

    async def test_a_term_ends_if_another_one_was_stored_in_between(self):
        await self.submit()
        await self.wait_for_state(JobState.COMPLETED)
        term = self.service._term
        confirm = self.service.consensus.confirm

        async def confirm_later_term(timeout):
            data = await confirm(timeout)
            if data is None:
                return None
            store = JobStore.load(data.blob)
            store.term += 5
            return Data(data.epoch, data.number, data.revision, store.blob())

        self.service.consensus.confirm = confirm_later_term
        member = self.service.consensus.member
        self.service.consensus._carry_out(member.renew_view(member.leadership, None))
        await self.wait_until(lambda: self.service._active_term() and self.service._term is not term)
        self.assertGreater(self.service._term.store.term, term.store.term + 5)
        self.assertIs(await self.state(), JobState.COMPLETED)


class UnknownOrders(JobServiceCase):
    orders = "heartbeat"

    async def test_with_unsupported_orders_all_calls_are_rejected(self):
        for action in JobAction:
            self.assertEqual((await self.call(action, 1, job_body())).outcome, JobOutcome.REJECTED)


if __name__ == "__main__":
    unittest.main()
