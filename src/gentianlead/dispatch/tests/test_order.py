"""Tests of the order in which steps with waiting tasks start."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders

STARTED_JOB_ID = "00000000000000aa"
OLDER_JOB_ID = "00000000000000bb"
NEWEST_JOB_ID = "00000000000000cc"
LATE_JOB_ID = "00000000000000dd"


def build_best_effort_step(count: int = 1, **fields) -> model.Step:
    """Builds a step of best-effort tasks that are estimated at 4 s.

    The objective of a job with only this step is 9 s.
    """
    values = {
        "is_best_effort": True,
        "image": "bundle",
        "estimate_ms": 4000,
        "cpu_millis": 10_000
    }
    values.update(fields)
    return builders.build_step(count, **values)


class StartOrderTest(unittest.TestCase):
    """Tests of the order in which the tasks of several jobs start.

    On the only worker, one best-effort task fits at a time.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.end_count = 0

    def put_job(self, job_id: str, age_ms: int, step: model.Step) -> None:
        """Adds a job of one step that was accepted `age_ms` ago."""
        self.driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(job_id,
                                   step,
                                   accepted_at_ms=builders.NOW_MS - age_ms)))

    def start_one(self) -> str:
        """Starts one task and reports it as done.

        Returns:
            Identifier of the task's job.
        """
        (order,) = self.driver.start_all()
        self.driver.now += 0.1
        self.end_count += 1
        self.driver.apply_status(
            ended=(builders.build_ended_run(order, self.end_count),))
        return order.task.job_id

    def test_overload_starts_newest_jobs_first(self):
        """Checks the order of best-effort jobs when one can only complete late.

        The started job comes first, then the newest one, and the late job comes
        last. Guards against an overloaded group that meets no objective at all:
        by deadline alone, each job would start just after its objective is out
        of reach.
        """
        self.put_job(STARTED_JOB_ID, 3000, build_best_effort_step(2))
        self.assertEqual(self.start_one(), STARTED_JOB_ID)
        self.put_job(LATE_JOB_ID, 8000, build_best_effort_step())
        self.put_job(OLDER_JOB_ID, 2000, build_best_effort_step())
        self.put_job(NEWEST_JOB_ID, 100, build_best_effort_step())
        start_sequence = [self.start_one() for _ in range(4)]
        self.assertEqual(
            start_sequence,
            [STARTED_JOB_ID, NEWEST_JOB_ID, OLDER_JOB_ID, LATE_JOB_ID])

    def test_earliest_deadline_goes_first_without_late_jobs(self):
        """Checks that the job with the earliest deadline starts first.

        Both jobs can still meet their objective. Guards against a job that
        becomes late although an earlier start would have avoided it.
        """
        self.put_job(NEWEST_JOB_ID, 100, build_best_effort_step())
        self.put_job(OLDER_JOB_ID, 2000, build_best_effort_step())
        self.assertEqual([self.start_one(), self.start_one()],
                         [OLDER_JOB_ID, NEWEST_JOB_ID])

    def test_overdue_jobs_come_last(self):
        """Checks that an overdue job starts after one that is only late.

        The late job can complete within `MAX_LATENESS_FACTOR` times the time
        that its objective allows, the overdue one cannot. Guards against an
        overdue job that delays the late one until that is overdue, too.
        """
        self.put_job(OLDER_JOB_ID, 30_000, build_best_effort_step())
        self.put_job(LATE_JOB_ID, 10_000, build_best_effort_step())
        self.assertEqual([self.start_one(), self.start_one()],
                         [LATE_JOB_ID, OLDER_JOB_ID])

    def test_short_and_long_running_tasks_go_first(self):
        """Checks that a long-running task starts first, then a short one.

        Guards against long-running or short tasks that wait behind best-effort
        ones.
        """
        self.put_job(STARTED_JOB_ID, 0, build_best_effort_step())
        self.put_job(
            NEWEST_JOB_ID, 0,
            builders.build_step(is_long_running=True,
                                tail_latency_limit_ms=20,
                                cpu_millis=6000))
        self.put_job(OLDER_JOB_ID, 0, builders.build_step(cpu_millis=4000))
        orders = self.driver.start_all()
        self.assertEqual([order.task.job_id for order in orders[:2]],
                         [NEWEST_JOB_ID, OLDER_JOB_ID])


class RemainingTimeTest(unittest.TestCase):
    """Tests of the estimated remaining duration of a job."""

    def test_remaining_duration_follows_the_longest_chain(self):
        """Checks the estimated remaining duration, before and during the runs.

        It follows the longest chain of dependent steps, and in each step the
        task with the least progress. Guards against a wrong estimate, by which
        the objective of a job would be given up too early or too late.
        """
        job = builders.build_job(STARTED_JOB_ID, build_best_effort_step(2),
                                 build_best_effort_step(estimate_ms=1000),
                                 build_best_effort_step(depends_on=(0, 1)))
        driver = builders.GroupDriver(builders.build_worker(cpu_millis=100_000))
        driver.scheduler.put_job(builders.build_job_entry(job))
        orders = driver.start_all()
        job_run = driver.scheduler.jobs[STARTED_JOB_ID]
        self.assertEqual(job_run.compute_remaining_ms(0), 8000)
        active_runs = [
            builders.build_active_run(order, percent)
            for order, percent in zip(orders, (50, 75, 0))
        ]
        driver.apply_status(running=tuple(active_runs))
        self.assertEqual(job_run.compute_remaining_ms(0), 6000)
        self.assertTrue(job_run.has_started(0))
        self.assertIsInstance(job_run, dispatch.JobRun)
