"""The scheduler on a simulated cluster, seed by seed: what must not happen doesn't, and all jobs complete."""

import json
import random
import unittest
from unittest import mock

from sparloom.scheduler import runners
from sparloom.scheduler.events import StartAnswered, StartResult, StartRun
from sparloom.scheduler.jobs import Job, Step
from sparloom.scheduler.messages import JobState
from sparloom.scheduler.runners import Runner
from sparloom.scheduler.scheduler import Scheduler
from tests.scheduler import simulated_cluster
from tests.scheduler.simulated_cluster import Cluster


def body(*steps, **more):
    return json.dumps({"taskSpec": "x", "steps": list(steps), **more}).encode()


class Calm(unittest.TestCase):
    def test_a_job_of_two_steps_completes_in_order(self):
        cluster = Cluster(1, work=lambda _task: (0.5, "done"))
        cluster.submit(1, body({"replicaCount": 4, "cpu": 1000}, {"replicaCount": 2, "cpu": 1000, "dependsOn": [0]}))
        cluster.run(3)
        self.assertEqual(cluster.shown, {1: JobState.COMPLETED})
        self.assertEqual(len(cluster.starts), 6)
        self.assertEqual(cluster.wrong, [])

    def test_a_job_that_always_fails_is_given_up_after_its_attempts(self):
        cluster = Cluster(1, work=lambda _task: (0.1, "failed"))
        cluster.submit(1, body({"replicaCount": 1}))
        cluster.run(5)
        self.assertEqual(cluster.shown, {1: JobState.FAILED})
        self.assertEqual(len(cluster.starts), 3)

    def test_a_gang_starts_together_and_one_end_stands_for_all(self):
        cluster = Cluster(1, work=lambda _task: (0.5, "done"))
        cluster.submit(1, body({"replicaCount": 6, "cpu": 5000, "gangScheduled": True}))
        cluster.run(3)
        self.assertEqual(cluster.shown, {1: JobState.COMPLETED})
        self.assertEqual({number for _, _, _, number in cluster.starts}, {1})
        self.assertLess(cluster.starts[-1][0] - cluster.starts[0][0], 0.05)
        self.assertEqual((cluster.alone, cluster.wrong), (0, []))

    def test_times_begin_when_they_fall_due_and_not_before(self):
        cluster = Cluster(1, work=lambda _task: (0.2, "done"))
        first = int(cluster.wall_ms()) + 1000
        cluster.submit(1, body({"replicaCount": 1}, repetitions=3, initialDelayMs=first, intervalMs=2000))
        cluster.run(8)
        self.assertEqual(cluster.shown, {1: JobState.COMPLETED})
        began = [round(at - cluster.starts[0][0], 1) for at, *_ in cluster.starts]
        self.assertEqual(began, [0.0, 2.0, 4.0])
        self.assertGreaterEqual(cluster.starts[0][0], 101.0)

    def test_tasks_that_last_are_started_again_until_the_job_is_cancelled(self):
        cluster = Cluster(1, work=lambda _task: (1.0, "failed"))
        cluster.submit(1, body({"replicaCount": 2, "longRunning": True}))
        cluster.run(6)
        self.assertEqual(cluster.shown, {})
        self.assertGreater(len(cluster.starts), 8)
        cluster.cancel(1)
        cluster.run(1)
        started = len(cluster.starts)
        cluster.run(3)
        self.assertEqual(cluster.shown, {1: JobState.CANCELLED})
        self.assertEqual(len(cluster.starts), started)
        self.assertEqual([r.running for r in cluster.runners.values() if r.running], [])

    def test_a_requirement_and_a_limit_of_tasks_on_one_runner_are_kept(self):
        cluster = Cluster(1, work=lambda _task: (1.0, "done"))
        cluster.submit(1, body({"replicaCount": 8, "cpu": 100, "antiAffinity": 1}))
        cluster.submit(2, body({"replicaCount": 1, "requirements": "unknown"}))
        cluster.run(3)
        self.assertEqual(len({runner for _, runner, _, _ in cluster.starts}), 8)
        self.assertEqual(cluster.shown, {1: JobState.COMPLETED})

    def test_what_can_never_fit_holds_nothing_back(self):
        cluster = Cluster(1, work=lambda _task: (0.2, "done"))
        cluster.submit(1, body({"replicaCount": 1, "cpu": 9000}))
        cluster.run(3)
        cluster.submit(2, body({"replicaCount": 1, "cpu": 500}))
        cluster.run(2)
        self.assertEqual(cluster.shown, {2: JobState.COMPLETED})

    def test_a_gang_is_not_starved_by_what_comes_later(self):
        cluster = Cluster(1, runners=4, work=lambda _task: (1.0, "done"))
        for job in range(10, 40):
            cluster.at(job * 0.1, cluster.submit, job, body({"replicaCount": 4, "cpu": 4000}))
        cluster.at(2.0, cluster.submit, 1, body({"replicaCount": 4, "cpu": 4500, "gangScheduled": True}))
        cluster.run(9)
        self.assertEqual(cluster.shown.get(1), JobState.COMPLETED)

    def test_a_gang_that_nothing_helps_does_not_starve_the_others(self):
        cluster = Cluster(1, runners=4, work=lambda _task: (30.0, "done"))
        cluster.submit(1, body({"replicaCount": 4, "cpu": 5000}))
        cluster.run(0.5)
        cluster.submit(2, body({"replicaCount": 3, "cpu": 6000, "gangScheduled": True}))
        cluster.run(2.5)
        cluster.work = lambda _task: (0.5, "done")
        cluster.submit(3, body({"replicaCount": 1, "cpu": 1000}))
        cluster.submit(4, body({"replicaCount": 1, "cpu": 1000, "longRunning": True}))
        cluster.run(0.2)
        self.assertEqual([task[:16] for _, _, task, _ in cluster.starts[4:]], ["0000000000000004"])
        cluster.run(8)
        self.assertEqual(cluster.shown.get(3), JobState.COMPLETED)


class Faults(unittest.TestCase):
    """Orders without an answer that are carried out late, crashes, cuts, and primaries that change."""

    def play(self, seed, seconds=25):
        luck = random.Random(seed)
        cluster = Cluster(seed, runners=10, faults=0.06)
        for job in range(1, 31):
            steps = [{"replicaCount": luck.randint(1, 6), "cpu": luck.choice((500, 1500, 3000))}]
            if luck.random() < 0.5:
                steps.append({"replicaCount": luck.randint(1, 4), "cpu": 1000, "dependsOn": [0]})
            if luck.random() < 0.2:
                steps[0]["gangScheduled"] = True
            cluster.at(luck.uniform(0, seconds * 0.6), cluster.submit, job, body(*steps))
        for _ in range(3):
            cluster.at(luck.uniform(2, seconds), cluster.new_primary)
            cluster.at(luck.uniform(2, seconds), cluster.crash, f"i-{luck.randrange(5)}")
            runner = cluster.runners[f"i-{5 + luck.randrange(5)}"]
            cut = luck.uniform(2, seconds)
            cluster.at(cut, setattr, runner, "reachable", False)
            cluster.at(cut + luck.uniform(0.5, 12), setattr, runner, "reachable", True)
        cluster.run(seconds)
        cluster.faults = 0.0
        cluster.run(40)
        return cluster

    def test_nothing_runs_twice_and_every_job_ends_whatever_happens(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                cluster = self.play(seed)
                self.assertEqual(cluster.wrong, [])
                self.assertEqual(sorted(cluster.shown), list(range(1, 31)))
                for job, state in cluster.shown.items():
                    self.assertIn(state, (JobState.COMPLETED, JobState.FAILED), job)


class LateOrders(unittest.TestCase):
    """A day on slotwerk broke TWICE four times of four: a run that had begun was taken for one that never would.

    Calls of all kinds get no answer and are carried out up to 12 s later, runners are mute for a while, make their
    checks in any order and judge lateness by the order's deadline or by the hold in force; a primary takes over.
    """

    def play(self, seed, seconds=25):
        luck = random.Random(f"late {seed}")
        cluster = Cluster(seed, runners=10, late=luck.choice((0.05, 0.2, 0.5)), any_checks=True)
        failing, gangs = luck.choice((0.03, 0.15)), luck.choice((0.25, 0.8))
        cluster.work = lambda _task: (luck.uniform(0.1, 1.5), "failed" if luck.random() < failing else "done")
        for job in range(1, 31):
            steps = [{"replicaCount": luck.randint(1, 6), "cpu": luck.choice((500, 1500, 3000))}]
            if luck.random() < 0.4:
                steps.append({"replicaCount": luck.randint(1, 4), "cpu": 1000, "dependsOn": [0]})
            for step in steps:
                step["gangScheduled"] = luck.random() < gangs
                step["checkpoints"] = luck.random() < 0.3
            cluster.at(luck.uniform(0, seconds * 0.6), cluster.submit, job, body(*steps))
        for _ in range(2):
            runner = cluster.runners[f"i-{luck.randrange(10)}"]
            at = luck.uniform(1, seconds)
            cluster.at(at, setattr, runner, "mute", True)
            cluster.at(at + luck.uniform(1, 10), setattr, runner, "mute", False)
        cluster.at(luck.uniform(2, seconds), cluster.new_primary)
        cluster.run(seconds)
        cluster.late = 0.0
        cluster.run(45)
        return cluster

    def test_a_task_whose_run_may_have_ended_is_not_started_again_whatever_the_order_of_a_runners_checks(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                cluster = self.play(seed)
                self.assertEqual(cluster.wrong, [])
                self.assertEqual(sorted(cluster.shown), list(range(1, 31)))


class FailingWork(unittest.TestCase):
    """Runners that fail all they run, gangs that fail, calls that fail, primaries that change, zones evacuated."""

    def play(self, seed, seconds=25):
        luck = random.Random(f"failing {seed}")
        cluster = Cluster(seed, runners=10, faults=0.06, hold_faults=luck.choice((0.0, 0.1, 0.3)))
        cluster.work = lambda _task: (luck.uniform(0.1, 1.5), "failed" if luck.random() < 0.15 else "done")
        for job in range(1, 31):
            steps = [{"replicaCount": luck.randint(1, 5), "cpu": luck.choice((500, 1500, 3000))}]
            if luck.random() < 0.4:
                steps.append({"replicaCount": luck.randint(1, 4), "cpu": 1000, "dependsOn": [0]})
            for step in steps:
                step["gangScheduled"] = luck.random() < 0.4
            cluster.at(luck.uniform(0, seconds * 0.6), cluster.submit, job, body(*steps))
        for _ in range(6):
            cluster.at(luck.uniform(1, seconds), cluster.new_primary)
        for _ in range(2):
            at = luck.uniform(1, seconds - 6)
            cluster.at(at, cluster.evacuate, luck.choice(("z0", "z1")))
            cluster.at(at + luck.uniform(1, 6), cluster.evacuate)
        for _ in range(3):
            runner = cluster.runners[f"i-{luck.randrange(10)}"]
            at = luck.uniform(0, seconds)
            cluster.at(at, setattr, runner, "sick", True)
            cluster.at(at + luck.uniform(1, 8), setattr, runner, "sick", False)
            runner = cluster.runners[f"i-{luck.randrange(10)}"]
            at = luck.uniform(0, seconds)
            cluster.at(at, setattr, runner, "reachable", False)
            cluster.at(at + luck.uniform(0.5, 12), setattr, runner, "reachable", True)
        cluster.run(seconds)
        cluster.faults = cluster.hold_faults = 0.0
        cluster.run(40)
        return cluster

    def test_a_job_is_shown_as_failed_or_completed_only_with_cause(self):
        failed = 0
        for seed in range(30):
            with self.subTest(seed=seed):
                cluster = self.play(seed)
                self.assertEqual(cluster.wrong, [])
                self.assertEqual(sorted(cluster.shown), list(range(1, 31)))
                failed += sum(state is JobState.FAILED for state in cluster.shown.values())
        self.assertGreater(failed, 30)


class Mutations(unittest.TestCase):
    """Without one of its guards the scheduler does what it must not, and the play sees it."""

    def faults(self, seeds=12):
        return [wrong for seed in range(seeds) for wrong in Faults().play(seed).wrong]

    def test_jobs_of_an_earlier_term_that_do_not_wait_for_the_runners(self):
        with mock.patch.object(Scheduler, "_adoption_complete", lambda self: self._runners_listed):
            self.assertTrue(any("TWICE" in wrong and "beside" in wrong for wrong in self.faults()))

    def test_runners_that_forget_ends_before_they_are_stored(self):
        take_instructions = Scheduler._take_instructions

        def forget_at_once(scheduler):
            for runner in scheduler.runners.values():
                runner.stored_end = runner.applied_end
            return take_instructions(scheduler)

        # A slow disk: the moment between an end and its storing is met by many seeds and not by one in a hundred.
        slow_disk = mock.patch.object(simulated_cluster, "STORE_S", 0.3)
        with slow_disk, mock.patch.object(Scheduler, "_take_instructions", forget_at_once):
            self.assertTrue(any("after its end was noted" in wrong for wrong in self.faults()))

    def failing_work(self, seeds=12):
        return [wrong for seed in range(seeds) for wrong in FailingWork().play(seed).wrong]

    def test_attempts_that_are_ends_and_not_runs(self):
        def count_each_end(step, task, _run):
            counting = step.tasks[0] if step.specification.gang else task
            counting.failures += 1
            return True

        with mock.patch.object(Step, "count_failure", count_each_end):
            self.assertTrue(any("is shown as failed" in wrong for wrong in self.failing_work()))

    def test_failed_runs_whose_numbers_are_not_stored(self):
        with mock.patch.object(Step, "_restore_failed_runs", lambda _step, _packed: None):
            self.assertTrue(any("is shown as failed" in wrong for wrong in self.failing_work(24)))

    def test_a_task_that_is_dropped_and_not_put_back(self):
        with mock.patch.object(
            Scheduler, "_restart", lambda _self, step, task, with_backoff: setattr(task, "run", None)
        ):
            self.assertTrue(any("neither runs nor waits" in wrong for wrong in self.failing_work(2)))

    def test_a_start_that_is_repeated_in_an_evacuated_zone(self):
        with mock.patch.object(Runner, "leaving", property(lambda runner: runner.replaced)):
            self.assertTrue(any("EVAC" in wrong for wrong in self.failing_work(2)))

    def test_a_hold_that_is_given_up_too_early(self):
        with (
            mock.patch.object(runners, "MAXIMUM_CLOCK_SLOWDOWN", -0.5),
            mock.patch.object(runners, "LAPSE_MARGIN_S", 0.0),
        ):
            self.assertTrue(any("TWICE" in wrong and "beside" in wrong for wrong in self.faults()))

    def test_steps_that_do_not_wait_for_earlier_ones(self):
        with mock.patch.object(
            Job, "ready_steps", lambda self: (s for ss in self.steps.values() for s in ss if s.waiting)
        ):
            self.assertTrue(any("ORDER" in wrong for wrong in self.faults(3)))

    def test_a_start_without_an_answer_that_is_taken_for_one_that_did_not_happen(self):
        lose_answer = Cluster._lose_answer

        def lose_start(cluster, primary, order):
            if not isinstance(order, StartRun):
                return lose_answer(cluster, primary, order)
            answer = StartAnswered(order.runner, order.task, order.number, StartResult.UNREACHABLE)
            return cluster._tell(primary, answer)

        with mock.patch.object(Cluster, "_lose_answer", lose_start):
            self.assertTrue(any("TWICE" in wrong and "beside" in wrong for wrong in self.faults()))


if __name__ == "__main__":
    unittest.main()
