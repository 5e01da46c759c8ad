"""Tests of the quarantine of workers on which runs fail, and of its end."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _quarantine
from gentianlead.dispatch import _workers
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting

SERVICE_JOB_ID = "00000000000000aa"
SHORT_JOB_ID = "00000000000000bb"
FAILING_JOB_ID = "00000000000000cc"


class ReportTest(unittest.TestCase):
    """Tests the load reports of groups with an idle worker on probation."""

    def build_report(self,
                     is_on_probation: bool,
                     failed_at: float = 0.0,
                     **fields) -> dispatch.GroupReport:
        """Builds the report of a group of one worker."""
        driver = builders.GroupDriver(builders.build_worker(**fields))
        if is_on_probation:
            worker = driver.scheduler.workers["w1"]
            for _ in range(_workers.FAILURES_TO_QUARANTINE):
                worker.record_result(False, failed_at)
            self.assertEqual(worker.can_receive_starts(driver.now),
                             not failed_at)
        return dispatch.GroupReport(driver.scheduler.compute_load(driver.now),
                                    driver.now)

    def choose_group(self, step: model.Step,
                     **reports: dispatch.GroupReport) -> dispatch.FallbackGroup:
        """Chooses the group to which tasks of the group `own` may move."""
        return dispatch.choose_fallback_group(
            builders.build_job(SERVICE_JOB_ID, step), ("own",) * step.count,
            "own", reports, 100.0)

    def test_tasks_go_to_tested_workers_first(self):
        """Guards against tasks that wait for tests of a worker that fails."""
        for step in (test_lasting.build_service_step(4),
                     builders.build_step(4, is_best_effort=True)):
            fallback_group = self.choose_group(step,
                                               n2=self.build_report(True),
                                               n3=self.build_report(
                                                   False, cpu_millis=4000))
            self.assertEqual(fallback_group.group, "n3")

    def test_room_in_quarantine_is_reported_as_untested(self):
        """Guards against long-running tasks that wait beside room elsewhere."""
        quarantined = self.build_report(True, failed_at=100.0)
        usable = self.build_report(False, cpu_millis=1000)
        report = usable._replace(load=usable.load._replace(
            probation_rooms=quarantined.load.probation_rooms))
        self.assertEqual(
            self.choose_group(test_lasting.build_service_step(4,
                                                              cpu_millis=1500),
                              n2=report), dispatch.FallbackGroup("n2", 1))

    def test_untested_worker_is_tested_by_one_task(self):
        """Guards against many tasks that wait for one start each 2 s.

        Also guards against a worker that stays untested, as no task moves to
        its group.
        """
        for step in (test_lasting.build_service_step(4),
                     builders.build_step(4, is_best_effort=True)):
            self.assertEqual(
                self.choose_group(step, n2=self.build_report(True)),
                dispatch.FallbackGroup("n2", 1))


class QuarantineTest(unittest.TestCase):
    """Tests a worker that runs a long-running task while others fail on it."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.put_job(SERVICE_JOB_ID, test_lasting.build_service_step())
        self.running = self.driver.start_all()
        self.end_number = 0
        self.report()

    def report(self, *ended: ports.EndedRun, percent: int = 100) -> None:
        """Reports the active runs and some ends, 0.1 s after the last report.
        """
        self.driver.now += 0.1
        self.driver.apply_status(running=tuple(
            builders.build_active_run(order, percent)
            for order in self.running),
                                 ended=ended)

    def fail(self, *orders: dispatch.StartOrder) -> None:
        """Reports that the runs of some orders have failed."""
        ended_runs = []
        for order in orders:
            self.end_number += 1
            ended_runs.append(
                builders.build_ended_run(order, self.end_number,
                                         ports.EndCause.FAILED))
        self.running = [order for order in self.running if order not in orders]
        self.report(*ended_runs)

    def begin_quarantine(self) -> None:
        """Lets runs of a job fail until the worker is in quarantine."""
        self.driver.put_job(
            FAILING_JOB_ID,
            builders.build_step(_workers.FAILURES_TO_QUARANTINE))
        self.fail(*self.driver.start_all())
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.scheduler.cancel_job(FAILING_JOB_ID)

    def end_quarantine(self) -> None:
        """Lets the time of the quarantine pass."""
        self.driver.now += _workers.QUARANTINE_DURATION.total_seconds()
        self.report()

    def test_worker_with_a_long_running_task_is_probed(self):
        """Guards against a quarantine that lasts as long as that task runs."""
        self.begin_quarantine()
        self.driver.put_job(SHORT_JOB_ID, builders.build_step(3))
        self.end_quarantine()
        (probe,) = self.driver.start_all()
        self.assertEqual(self.driver.start_all(), [])
        self.end_number += 1
        self.report(builders.build_ended_run(probe, self.end_number))
        self.assertEqual(len(self.driver.start_all()), 2)

    def test_long_running_task_need_not_wait_for_the_end(self):
        """Guards against room that no long-running task gets for seconds.

        The tasks of a hopeless job fail together on a healthy worker, which
        then has room and is in quarantine.
        """
        self.begin_quarantine()
        self.driver.put_job(SHORT_JOB_ID, builders.build_step(1))
        self.driver.put_job(FAILING_JOB_ID[::-1],
                            test_lasting.build_service_step(2))
        self.assertEqual(self.driver.start_all(), [])
        self.driver.now += _quarantine.MIN_UNPLACED_TIME.total_seconds()
        self.report()
        (test,) = self.driver.start_all()
        self.assertEqual(test.task.job_id, FAILING_JOB_ID[::-1])
        self.assertEqual(self.driver.start_all(), [])
        self.running.append(test)
        self.report()
        self.assertEqual(len(self.driver.start_all()), 2)

    def test_failing_tests_are_no_more_frequent_than_probes(self):
        """Guards against starts without a pause on a worker that fails all."""
        self.begin_quarantine()
        self.driver.put_job(SHORT_JOB_ID, test_lasting.build_service_step(1))
        ends_at = self.driver.now + 8.0
        test_count = 0
        while self.driver.now < ends_at:
            tests = self.driver.start_all()
            test_count += len(tests)
            self.running += tests
            self.fail(*tests)
        self.assertIn(test_count, range(3, 6))

    def test_one_probe_in_a_planning_pass(self):
        """Guards against many tasks that start on a worker not yet tested."""
        self.begin_quarantine()
        self.driver.put_job(SHORT_JOB_ID, builders.build_step(3))
        self.driver.put_job(FAILING_JOB_ID[::-1], builders.build_step(3))
        self.end_quarantine()
        self.assertEqual(len(self.driver.start_all()), 1)

    def test_probe_without_progress(self):
        """Guards against a probe that stands still and blocks all others."""
        self.begin_quarantine()
        self.driver.put_job(SHORT_JOB_ID, builders.build_step(3))
        self.end_quarantine()
        probes = self.driver.start_all()
        for _ in range(2):
            self.driver.now += 2.0
            self.running += probes
            self.report()
            probes = self.driver.start_all()
            self.assertEqual(len(probes), 1)

    def test_ready_long_running_task_ends_probation(self):
        """Guards against probation where only long-running tasks start."""
        self.begin_quarantine()
        self.driver.put_job(SHORT_JOB_ID, test_lasting.build_service_step(3))
        self.end_quarantine()
        probes = self.driver.start_all()
        self.assertEqual(len(probes), 1)
        self.running += probes
        self.report(percent=50)
        self.assertEqual(self.driver.start_all(), [])
        self.report()
        self.assertEqual(len(self.driver.start_all()), 2)

    def test_long_running_tasks_that_fail_after_they_were_ready(self):
        """Guards against failures that add up over the life of a worker.

        Long-running tasks may fail at any time, and no run of theirs ends as
        done.
        """
        for _ in range(_workers.FAILURES_TO_QUARANTINE + 1):
            (order,) = self.running
            self.report()
            self.fail(order)
            self.running += self.driver.start_all()
            self.assertEqual(len(self.running), 1)
