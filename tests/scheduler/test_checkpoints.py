"""Regression: the checkpoint of a task was lost when the primary changed.

A run that is stopped, lapses or breaks lists its checkpoint with its end. The end was stored, so the runner forgot it,
but the job was not stored with it: the next primary started the task from its beginning. Also, an adopted run of an
earlier primary that had not saved a checkpoint yet cleared the stored one.
"""

from sparloom.scheduler.events import HoldAnswered, RunningTask, StartRun, TaskEnd
from tests.scheduler.test_attempts import AttemptsCase
from tests.scheduler.test_scheduler import TASK

SAVING = b'{"steps":[{"replicaCount":1,"cpu":1000,"checkpoints":true}]}'


class Checkpoints(AttemptsCase):
    def stop_with_checkpoint(self, checkpoint):
        job = self.add_job(SAVING)
        self.job_store.put(job, 0)
        number = self.answer_starts(self.connect("i-1"))
        end = TaskEnd(1, TASK, number, "stopped", checkpoint)
        self.handle(HoldAnswered("i-1", self.now * 1000, (), (end,)))
        self.store_changes()

    def test_checkpoint_is_stored_before_its_runner_forgets_it(self):
        self.stop_with_checkpoint("saved")
        self.next_primary()
        requests = [request for request in self.connect("i-1") if isinstance(request, StartRun)]
        self.assertEqual([request.checkpoint for request in requests], ["saved"])

    def test_adopted_run_without_checkpoint_keeps_the_stored_one(self):
        self.stop_with_checkpoint("saved")
        job = self.next_primary()
        job.step(0, 0).tasks[0].checkpoint = "saved"
        self.connect("i-1", running=[RunningTask(TASK, 7)])
        self.assertEqual(job.step(0, 0).tasks[0].checkpoint, "saved")
