"""Stored jobs: state survives a store and load, and ended jobs remain until they are deleted."""

import json
import os
import unittest

from sparloom.scheduler.jobs import Job, JobStore
from sparloom.scheduler.messages import JobState, QueuePolicy
from sparloom.scheduler.specification import parse_job

BODY = b'{"taskSpec":"x","steps":[{"replicaCount":3,"checkpoints":true},{"replicaCount":1,"dependsOn":[0]}]}'
POLICY = QueuePolicy(7, "s", 1, 3)


def make_job(id=0xAB, body=BODY, accepted_ms=1000):
    return Job(id, "h /q/", POLICY, parse_job(body).unwrap(), body, accepted_ms)


class StoreTest(unittest.TestCase):
    def store_and_load(self, *jobs):
        store = JobStore(4)
        for job in jobs:
            store.put(job, 5000)
        return JobStore.load(store.blob())

    def test_progress_survives_store_and_load(self):
        job = make_job()
        job.open_due_repetitions(1000)
        step = job.step(0, 0)
        step.mark_done(step.tasks[1])
        step.tasks[2].failures, step.tasks[2].checkpoint = 2, "saved"
        store = self.store_and_load(job)
        (restored,) = store.jobs()
        self.assertEqual((store.term, restored.inherited, restored.started), (4, True, True))
        step = restored.step(0, 0)
        self.assertEqual([task.done for task in step.tasks], [False, True, False])
        self.assertEqual((step.tasks[2].failures, step.tasks[2].checkpoint), (2, "saved"))
        self.assertEqual(sorted(step.waiting), [0, 2])

    def test_failed_runs_are_loaded_with_their_numbers(self):
        job = make_job()
        step = job.step(0, 0)
        self.assertTrue(step.count_failure(step.tasks[2], 1 << 40))
        self.assertFalse(step.count_failure(step.tasks[2], 1 << 40))
        step = self.store_and_load(job).jobs()[0].step(0, 0)
        self.assertEqual([step.failures(task) for task in step.tasks], [0, 0, 1])
        self.assertFalse(step.count_failure(step.tasks[2], 1 << 40))
        self.assertTrue(step.count_failure(step.tasks[2], 7))
        self.assertTrue(step.count_failure(step.tasks[0], 7))

    def test_data_stored_by_an_older_version_is_loaded(self):
        """Load bytes written by e80f797, which stored failures without the numbers of their runs."""
        path = os.path.join(os.path.dirname(os.path.dirname(__file__)), "golden", "golden.json")
        with open(path, encoding="utf-8") as file:
            store = JobStore.load(bytes.fromhex(json.load(file)["jobs stored by e80f797"]))
        (job,) = store.jobs()
        self.assertEqual((store.term, job.id, list(store.ended)), (4, 0xAB, [0xAC]))
        step, gang = job.repetition_steps(0)
        self.assertEqual([task.done for task in step.tasks], [True, False, False])
        self.assertEqual([step.failures(task) for task in step.tasks], [0, 2, 0])
        self.assertEqual(step.tasks[2].checkpoint, "00000bb87a21d94b")
        self.assertEqual([gang.failures(task) for task in gang.tasks], [1, 1])
        self.assertTrue(gang.count_failure(gang.tasks[1], 3))

    def test_ended_repetition_is_not_run_again(self):
        body = b'{"steps":[{"replicaCount":1}],"repetitions":2,"initialDelayMs":1000,"intervalMs":1000}'
        job = make_job(body=body)
        job.open_due_repetitions(1500)
        job.step(0, 0).mark_done(job.step(0, 0).tasks[0])
        self.assertFalse(job.close_ended_repetitions())
        (restored,) = self.store_and_load(job).jobs()
        restored.open_due_repetitions(9000)
        self.assertEqual([(step.repetition, step.number) for step in restored.ready_steps()], [(1, 0)])
        restored.step(1, 0).mark_done(restored.step(1, 0).tasks[0])
        self.assertTrue(restored.close_ended_repetitions())

    def test_step_waits_for_its_dependencies(self):
        job = make_job()
        job.open_due_repetitions(1000)
        self.assertEqual([step.number for step in job.ready_steps()], [0])
        for task in job.step(0, 0).tasks:
            job.step(0, 0).mark_done(task)
        self.assertEqual([step.number for step in job.ready_steps()], [1])

    def test_jobs_are_loaded_in_order_of_acceptance(self):
        store = self.store_and_load(
            make_job(1, accepted_ms=30), make_job(2, accepted_ms=10), make_job(3, accepted_ms=20)
        )
        self.assertEqual([job.id for job in store.jobs()], [2, 3, 1])

    def test_ended_job_remains_until_it_is_deleted(self):
        job = make_job()
        job.end = JobState.FAILED
        store = self.store_and_load(job)
        self.assertEqual((store.active, store.ended[0xAB].state), ({}, JobState.FAILED))
        store.forget(5000)
        self.assertEqual(list(store.ended), [0xAB])
        store.forget(5001)
        self.assertEqual(list(store.ended), [])


if __name__ == "__main__":
    unittest.main()
