"""Regression: what a task had saved was lost with its primary.

A run that is stopped, lapses or breaks lists its checkpoint with its end. The end was stored, so the runner forgot
it, but the job was not among what was stored: the next primary started the task from its beginning. And a run that
an earlier primary had started, and that had saved nothing yet, wiped the checkpoint that was stored.
"""

from sparloom.scheduler.events import HoldAnswered, RunningTask, StartRun, TaskEnd
from tests.scheduler.test_attempts import AttemptsCase
from tests.scheduler.test_scheduler import TASK

SAVING = b'{"steps":[{"replicaCount":1,"cpu":1000,"checkpoints":true}]}'


class Checkpoints(AttemptsCase):
    def stopped_with(self, checkpoint):
        job = self.add(SAVING)
        self.store_of_jobs.put(job, 0)
        number = self.run_of_all(self.contact("i-1"))
        end = TaskEnd(1, TASK, number, "stopped", checkpoint)
        self.tell(HoldAnswered("i-1", self.now * 1000, (), (end,)))
        self.store()

    def test_a_checkpoint_is_stored_before_its_runner_forgets_it(self):
        self.stopped_with("saved")
        self.next_primary()
        orders = [order for order in self.contact("i-1") if isinstance(order, StartRun)]
        self.assertEqual([order.checkpoint for order in orders], ["saved"])

    def test_a_run_that_has_saved_nothing_yet_leaves_the_checkpoint_as_it_is(self):
        self.stopped_with("saved")
        job = self.next_primary()
        job.step(0, 0).tasks[0].checkpoint = "saved"
        self.contact("i-1", running=[RunningTask(TASK, 7)])
        self.assertEqual(job.step(0, 0).tasks[0].checkpoint, "saved")
