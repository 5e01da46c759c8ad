"""Tests of start orders to a worker that replies to status calls only."""

import unittest

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing

JOB_ID = "0000000000000001"


class UnansweredStartTest(unittest.TestCase):
    """Tests when the task of an order without reply starts elsewhere."""

    def measure_wait(self, is_running: bool, is_retried: bool,
                     duration_s: float) -> float | None:
        """Returns the time until the task starts on another worker, or None.

        The worker of the first start replies to no further order.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.put_job(JOB_ID, builders.build_step(is_long_running=True))
        first_order, = driver.plan_starts()
        driver.apply_start_outcome(first_order, ports.StartOutcome.UNKNOWN)
        if not is_retried:
            driver.scheduler.put_worker(
                builders.build_worker(first_order.worker_id, is_draining=True))
        begun_at = driver.now
        while driver.now - begun_at < duration_s:
            driver.now += crashing.TICK_S
            for worker_id, worker in driver.scheduler.workers.items():
                worker.extend_lease(driver.now, builders.LEASE)
                is_listed = is_running and worker_id == first_order.worker_id
                driver.apply_status(worker_id,
                                    running=(builders.build_active_run(
                                        first_order, 100),) if is_listed else
                                    ())
            for order in driver.plan():
                if isinstance(order, dispatch.StopOrder):
                    driver.scheduler.apply_stop_reply(order, False, driver.now)
                elif order.worker_id != first_order.worker_id:
                    return driver.now - begun_at
                else:
                    driver.apply_start_outcome(order,
                                               ports.StartOutcome.UNKNOWN)
        return None

    def test_start_elsewhere(self):
        """Checks when the task of an order without reply starts elsewhere.

        Guards against a task that waits for good beside free capacity, as its
        leader counts a run that never started; and against a second run beside
        one that a late order starts.
        """
        for is_retried in (True, False):
            with self.subTest(is_retried=is_retried):
                wait_s = self.measure_wait(False, is_retried, 20.0)
                self.assertIsNotNone(wait_s)
                self.assertGreater(wait_s, builders.LEASE.total_seconds())
                self.assertLess(wait_s, builders.LEASE.total_seconds() + 1.0)
        self.assertIsNone(self.measure_wait(True, True, 20.0))

    def test_only_worker_is_paused(self):
        """Checks that the task counts as lacking capacity between two starts.

        Guards against a task that its leader starts again and again on the only
        worker of the group with room, beside other groups with room.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.put_job(JOB_ID, builders.build_step(is_long_running=True))
        begun_at = driver.now
        while not driver.scheduler.list_unplaced_steps(driver.now):
            self.assertLess(driver.now - begun_at, 10.0)
            for order in driver.plan():
                if isinstance(order, dispatch.StopOrder):
                    driver.scheduler.apply_stop_reply(order, False, driver.now)
                else:
                    driver.apply_start_outcome(order,
                                               ports.StartOutcome.UNKNOWN)
            driver.now += crashing.TICK_S
            driver.scheduler.workers["w1"].extend_lease(driver.now,
                                                        builders.LEASE)
            driver.apply_status("w1")
