"""Tests of workers whose runs fail, are refused or stand still."""

import unittest

from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class HealthTest(unittest.TestCase):
    """Tests of workers that fail runs, refuse starts or make no progress."""

    def test_worker_that_fails_all_runs_is_quarantined(self):
        """Checks that a worker gets no starts for a while after eight failures.

        It gets starts again after 3.5 s. Guards against a worker that gets the
        more tasks the faster it fails them.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        steps = (builders.build_step(8),)
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID, *steps)))
        orders = driver.start_all()
        ended_runs = tuple(
            builders.build_ended_run(order, number + 1, ports.EndCause.FAILED)
            for number, order in enumerate(orders))
        driver.apply_status(ended=ended_runs)
        self.assertEqual(driver.plan_starts(), [])
        driver.now += 3.5
        driver.apply_status()
        self.assertNotEqual(driver.plan_starts(), [])

    def test_idle_worker_gets_one_run_after_quarantine(self):
        """Guards against a planning pass that fills a worker not yet tested."""
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.put_job(JOB_ID, builders.build_step(8))
        driver.apply_status(ended=tuple(
            builders.build_ended_run(order, number, ports.EndCause.FAILED)
            for number, order in enumerate(driver.start_all(), 1)))
        driver.now += 3.5
        driver.apply_status()
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_refused_start_is_placed_again(self):
        """Checks that a task starts as a new run after its start was refused.

        The worker gets the next start only after a pause. Guards against tasks
        that are lost when a worker refuses a start.
        """
        for outcome in (ports.StartOutcome.NO_FREE_CAPACITY,
                        ports.StartOutcome.LEASE_ALREADY_EXPIRED,
                        ports.StartOutcome.UNHEALTHY,
                        ports.StartOutcome.WORKER_REPLACED):
            with self.subTest(outcome=outcome):
                driver = builders.GroupDriver(builders.build_worker())
                driver.scheduler.put_job(
                    builders.build_job_entry(builders.build_job(JOB_ID)))
                (order,) = driver.plan_starts()
                driver.apply_start_outcome(order, outcome)
                self.assertEqual(driver.plan_starts(), [])
                driver.now += 1.1
                driver.apply_status()
                (repeated_order,) = driver.plan_starts()
                self.assertGreater(repeated_order.run, order.run)

    def test_stalled_run_is_stopped(self):
        """Checks that a run is stopped after 4.5 s without progress, not 4 s.

        The task is estimated at one second. Guards against a run that makes no
        progress and is never stopped.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        (order,) = driver.start_all()
        for _ in range(5):
            driver.now += 1.0
            driver.apply_status(
                running=(builders.build_active_run(order, percent=20),))
        self.assertEqual(driver.plan_stops(), [])
        driver.now += 0.5
        driver.apply_status(
            running=(builders.build_active_run(order, percent=20),))
        (stop_order,) = driver.plan_stops()
        self.assertEqual(stop_order.reason, "no progress")
