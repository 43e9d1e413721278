"""What is stored of jobs: it is loaded as it was, and ended jobs are kept for as long as they are shown."""

import json
import os
import unittest

from sparloom.scheduler.jobs import Job, JobStore
from sparloom.scheduler.messages import JobState, QueuePolicy
from sparloom.scheduler.specification import parse_job

BODY = b'{"taskSpec":"x","steps":[{"replicaCount":3,"checkpoints":true},{"replicaCount":1,"dependsOn":[0]}]}'
POLICY = QueuePolicy(7, "s", 1, 3)


def job(id=0xAB, body=BODY, accepted_ms=1000):
    return Job(id, "h /q/", POLICY, parse_job(body).unwrap(), body, accepted_ms)


class Store(unittest.TestCase):
    def loaded(self, *jobs):
        store = JobStore(4)
        for one in jobs:
            store.put(one, 5000)
        return JobStore.load(store.blob())

    def test_progress_is_loaded_as_it_was(self):
        one = job()
        one.open_due_repetitions(1000)
        step = one.step(0, 0)
        step.mark_done(step.tasks[1])
        step.tasks[2].failures, step.tasks[2].checkpoint = 2, "saved"
        store = self.loaded(one)
        (again,) = store.jobs()
        self.assertEqual((store.term, again.inherited, again.begun), (4, True, True))
        step = again.step(0, 0)
        self.assertEqual([task.done for task in step.tasks], [False, True, False])
        self.assertEqual((step.tasks[2].failures, step.tasks[2].checkpoint), (2, "saved"))
        self.assertEqual(sorted(step.waiting), [0, 2])

    def test_the_runs_that_have_failed_are_loaded_with_their_numbers(self):
        one = job()
        step = one.step(0, 0)
        self.assertTrue(step.count_failure(step.tasks[2], 1 << 40))
        self.assertFalse(step.count_failure(step.tasks[2], 1 << 40))
        step = self.loaded(one).jobs()[0].step(0, 0)
        self.assertEqual([step.failures(task) for task in step.tasks], [0, 0, 1])
        self.assertFalse(step.count_failure(step.tasks[2], 1 << 40))
        self.assertTrue(step.count_failure(step.tasks[2], 7))
        self.assertTrue(step.count_failure(step.tasks[0], 7))

    def test_what_an_earlier_program_stored_is_loaded(self):
        """Bytes that e80f797 wrote: failures were stored without the numbers of their runs."""
        path = os.path.join(os.path.dirname(os.path.dirname(__file__)), "golden", "golden.json")
        with open(path, encoding="utf-8") as file:
            store = JobStore.load(bytes.fromhex(json.load(file)["jobs stored by e80f797"]))
        (one,) = store.jobs()
        self.assertEqual((store.term, one.id, list(store.ended)), (4, 0xAB, [0xAC]))
        step, gang = one.repetition_steps(0)
        self.assertEqual([task.done for task in step.tasks], [True, False, False])
        self.assertEqual([step.failures(task) for task in step.tasks], [0, 2, 0])
        self.assertEqual(step.tasks[2].checkpoint, "00000bb87a21d94b")
        self.assertEqual([gang.failures(task) for task in gang.tasks], [1, 1])
        self.assertTrue(gang.count_failure(gang.tasks[1], 3))

    def test_a_time_that_has_ended_is_not_run_again(self):
        body = b'{"steps":[{"replicaCount":1}],"repetitions":2,"initialDelayMs":1000,"intervalMs":1000}'
        one = job(body=body)
        one.open_due_repetitions(1500)
        one.step(0, 0).mark_done(one.step(0, 0).tasks[0])
        self.assertFalse(one.close_ended_repetitions())
        (again,) = self.loaded(one).jobs()
        again.open_due_repetitions(9000)
        self.assertEqual([(step.repetition, step.number) for step in again.ready_steps()], [(1, 0)])
        again.step(1, 0).mark_done(again.step(1, 0).tasks[0])
        self.assertTrue(again.close_ended_repetitions())

    def test_a_step_waits_for_those_that_it_depends_on(self):
        one = job()
        one.open_due_repetitions(1000)
        self.assertEqual([step.number for step in one.ready_steps()], [0])
        for task in one.step(0, 0).tasks:
            one.step(0, 0).mark_done(task)
        self.assertEqual([step.number for step in one.ready_steps()], [1])

    def test_jobs_are_loaded_in_the_order_in_which_they_were_accepted(self):
        store = self.loaded(job(1, accepted_ms=30), job(2, accepted_ms=10), job(3, accepted_ms=20))
        self.assertEqual([one.id for one in store.jobs()], [2, 3, 1])

    def test_an_ended_job_is_kept_until_it_is_forgotten(self):
        one = job()
        one.end = JobState.FAILED
        store = self.loaded(one)
        self.assertEqual((store.active, store.ended[0xAB].state), ({}, JobState.FAILED))
        store.forget(5000)
        self.assertEqual(list(store.ended), [0xAB])
        store.forget(5001)
        self.assertEqual(list(store.ended), [])


if __name__ == "__main__":
    unittest.main()
