"""Tests of workers on which operators want nothing to start any more."""

import unittest

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class ClosedWorkerTest(unittest.TestCase):
    """Tests starts without a reply on workers that are closed meanwhile."""

    def check_start_is_not_repeated(self, enforces_capacity: bool,
                                    is_evacuated: bool) -> None:
        """Checks that a run without a reply is stopped after a status report.

        Args:
            enforces_capacity: Whether the worker enforces its capacity.
            is_evacuated: Whether its group is evacuated; otherwise it drains.
        """
        driver = builders.GroupDriver(builders.build_worker())
        if enforces_capacity:
            driver.scheduler.set_capacity_enforcing_services(frozenset({"svc"}))
        driver.put_job(JOB_ID)
        (order,) = driver.plan_starts()
        driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
        driver.scheduler.is_evacuated = is_evacuated
        driver.scheduler.put_worker(
            builders.build_worker(is_draining=not is_evacuated))
        self.assertEqual(driver.plan(), [])
        driver.now += 3.0
        driver.apply_status()
        self.assertEqual(driver.plan(), [])
        (stop_order,) = driver.plan()
        self.assertIsInstance(stop_order, dispatch.StopOrder)

    def test_start_is_not_repeated_on_a_draining_worker(self):
        """Guards against a start long after the worker began to drain."""
        for enforces_capacity in (False, True):
            with self.subTest(enforces_capacity):
                self.check_start_is_not_repeated(enforces_capacity, False)

    def test_start_is_not_repeated_in_an_evacuated_group(self):
        """Guards against a start long after the group was evacuated."""
        for enforces_capacity in (False, True):
            with self.subTest(enforces_capacity):
                self.check_start_is_not_repeated(enforces_capacity, True)
