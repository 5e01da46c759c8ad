"""Tests of crashes of workers around the hand-over to a new leader."""

import unittest

from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_handover

JOB_ID = "00000000000000aa"


class HandedOverRunTest(unittest.TestCase):
    """Tests the evidence that a lost worker gives against a handed-over run."""

    def setUp(self):
        self.entry = builders.build_worker("w1")
        self.driver = builders.GroupDriver(self.entry)
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.start_all()
        self.driver.now += 0.4

    def list_evidence(self, driver: builders.GroupDriver) -> list[str]:
        """Loses the worker, replaces it later, and returns the evidence."""
        driver.scheduler.mark_unreachable("w1", driver.now)
        driver.now += 2.0
        driver.scheduler.crashes.events.clear()
        driver.apply_status("w1", born_ms=builders.INSTANCE_START_MS + 1)
        return [event.detail for event in driver.scheduler.crashes.events]

    def test_loss_after_the_takeover_is_weak_evidence(self):
        """Guards against giving up a healthy task.

        The run began long before the loss, but its new leader has known it only
        for a moment.
        """
        successor = test_handover.build_successor(self.driver,
                                                  self.entry,
                                                  silent_workers=("w1",))
        self.assertEqual(self.list_evidence(successor), ["weak"])
