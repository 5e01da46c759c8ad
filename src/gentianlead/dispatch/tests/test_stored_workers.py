"""Tests of the stored list of workers for which a successor waits."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class StoredWorkersTest(unittest.TestCase):
    """Tests which workers a leader stores."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        self.scheduler = self.driver.scheduler

    def store_workers(self) -> list[str] | None:
        """Stores the workers; returns their names, or None without a change."""
        record = self.scheduler.build_workers_record()
        if record is None:
            return None
        self.scheduler.mark_workers_recorded(record)
        return [entry.worker_id for entry in record.workers]

    def drain_worker(self, worker_id: str) -> None:
        """Applies the registry entry of a worker that announces its leave."""
        self.scheduler.put_worker(
            builders.build_worker(worker_id, is_draining=True))

    def test_leaving_worker_without_runs_is_left_out(self):
        """Guards against a successor that waits for a worker that has left."""
        self.drain_worker("w2")
        self.assertEqual(self.store_workers(), ["w1"])
        self.assertIsNone(self.store_workers())

    def test_unlisted_worker_without_runs_is_left_out(self):
        """Guards against the same wait for a worker that was not announced."""
        self.scheduler.mark_worker_removed("w2", self.driver.now)
        self.assertEqual(self.store_workers(), ["w1"])

    def test_worker_stays_while_runs_may_exist(self):
        """Guards against a second run of a task on a worker that is silent.

        The reply to the start order is lost, the worker leaves, and its run has
        certainly ended only when its lease has expired.
        """
        self.driver.put_job(JOB_ID)
        (order,) = self.driver.plan_starts()
        self.driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
        self.drain_worker(order.worker_id)
        self.scheduler.mark_worker_removed(order.worker_id, self.driver.now)
        self.assertIsNone(self.store_workers())
        self.driver.now += builders.LEASE.total_seconds() * 1.1
        self.driver.plan()
        self.assertNotIn(order.worker_id, self.store_workers())

    def test_worker_stays_while_it_reports_untracked_runs(self):
        """Guards against a second run beside one of a job that is not read yet.
        """
        self.driver.apply_status("w2",
                                 running=(ports.ActiveRun(
                                     model.TaskKey(JOB_ID, 0, 0, 0), 7, "", 0,
                                     None),))
        self.drain_worker("w2")
        self.assertIsNone(self.store_workers())

    def test_worker_stays_while_it_has_not_shown_former_runs(self):
        """Guards against a leader whose successor forgets an earlier leader.

        A former leader may have started runs on the worker, which has not
        replied to this leader.
        """
        self.scheduler.put_recorded_worker(builders.build_worker("w3"),
                                           self.driver.now)
        self.assertEqual(self.store_workers(), ["w1", "w2", "w3"])
        self.driver.plan()
        self.driver.now += builders.TAKEOVER_WAIT.total_seconds()
        self.driver.plan()
        self.assertEqual(self.store_workers(), ["w1", "w2"])

    def test_worker_that_is_left_out_gets_no_start(self):
        """Guards against a run of which the successor is not told.

        The worker withdraws its leave before the record without it is stored.
        """
        for worker_id in ("w1", "w2"):
            self.drain_worker(worker_id)
        self.scheduler.build_workers_record()
        self.scheduler.put_worker(builders.build_worker("w2"))
        self.driver.put_job(JOB_ID)
        self.assertEqual(self.driver.plan_starts(), [])
        self.assertEqual(self.store_workers(), ["w2"])
        (order,) = self.driver.plan_starts()
        self.assertEqual(order.worker_id, "w2")
