"""Tests of how long suspects wait for their probation."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing

TASK_COUNT = 12
JOB_ID = "0000000000000001"

_UNRESOLVED = _suspicions.CrashEvidence.UNRESOLVED
_WEAK = _suspicions.CrashEvidence.WEAK
_STRONG = _suspicions.CrashEvidence.STRONG


class LongRunningSuspectTest(unittest.TestCase):
    """Tests suspects that queue for a worker beside free capacity."""

    def build_driver(self, evidences: tuple[_suspicions.CrashEvidence, ...],
                     is_long_running: bool) -> builders.GroupDriver:
        """Builds a group with a job whose tasks have the same crashes."""
        driver = builders.GroupDriver(
            *(builders.build_worker(f"w{i}") for i in range(4)))
        entry = builders.build_job_entry(
            builders.build_job(
                JOB_ID,
                builders.build_step(TASK_COUNT,
                                    is_long_running=is_long_running)))
        crashed_runs = tuple(
            dispatch.CrashedRun(7 + number, int(evidence))
            for number, evidence in enumerate(evidences))
        progress = dispatch.ProgressRecord(
            JOB_ID, "north-2", 1, model.JobState.RUNNING, 9, (),
            tuple(
                dispatch.TaskProgress(
                    0, 0, index, 0, "", crashed_runs=crashed_runs)
                for index in range(TASK_COUNT)))
        driver.scheduler.put_job(
            entry._replace(progress_by_group={"north-2": progress}))
        return driver

    def measure_longest_wait(self, driver: builders.GroupDriver) -> float:
        """Returns the time until all tasks of the job were started."""
        begun_at = driver.now
        orders: list[dispatch.StartOrder] = []
        while len(orders) < TASK_COUNT and driver.now - begun_at < 30.0:
            orders += driver.start_all()
            driver.flush()
            driver.now += crashing.TICK_S
            for worker_id in driver.scheduler.workers:
                driver.apply_status(worker_id,
                                    running=tuple(
                                        builders.build_active_run(order, 100)
                                        for order in orders
                                        if order.worker_id == worker_id))
        self.assertEqual(len(orders), TASK_COUNT)
        return driver.now - begun_at

    def test_longest_wait(self):
        """Checks when the last of twelve suspects starts in a small group.

        Guards against long-running tasks without a run beside free capacity,
        because all of them lost two workers right after their starts and queue
        for one kept worker. Suspects that may do more harm wait on.
        """
        cases = (
            ("two losses", (_UNRESOLVED, _UNRESOLVED), True, True),
            ("loss and restart", (_WEAK, _UNRESOLVED), True, True),
            ("strong evidence", (_STRONG,), True, False),
            ("one loss less than allowed", (_UNRESOLVED, _UNRESOLVED,
                                            _UNRESOLVED), True, False),
            ("short tasks", (_UNRESOLVED, _UNRESOLVED), False, False),
        )
        for name, evidences, is_long_running, is_bounded in cases:
            with self.subTest(name):
                wait_s = self.measure_longest_wait(
                    self.build_driver(evidences, is_long_running))
                if is_bounded:
                    self.assertLess(wait_s, 2.5)
                else:
                    self.assertGreater(wait_s, 5.0)
