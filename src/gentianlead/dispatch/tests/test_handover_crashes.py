"""Tests of crashes of workers around the hand-over to a new leader."""

import unittest

from gentianlead import model
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing
from gentianlead.dispatch.tests import test_crashes
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

    def test_proven_run_stays_proven(self):
        """Guards against a crash that counts against a run of some minutes."""
        self.driver.now += 1.0
        self.driver.apply_status(
            running=(builders.build_active_run(self.order),))
        successor = test_handover.build_successor(self.driver,
                                                  self.entry,
                                                  silent_workers=("w1",))
        self.assertEqual(self.list_evidence(successor), [])


class ResigningCluster(crashing.SimulatedCluster):
    """Cluster whose leaders hand over to their successors."""

    def hand_over(self) -> None:
        """Replaces the leader by one that goes by its hand-over."""
        self.flush()
        former = self.driver.scheduler
        record = former.build_handover(self.driver.now)
        self.store(record)
        self._epoch += 1
        self.driver = builders.GroupDriver(now=self.driver.now + 0.3,
                                           epoch=self._epoch,
                                           leadership_offset=self._offset)
        scheduler = self.driver.scheduler
        for entry in self.table.jobs.values():
            scheduler.put_job(entry)
        for worker in former.workers.values():
            if worker.is_recorded:
                scheduler.put_recorded_worker(worker.entry, self.driver.now)
        for worker in self.workers.values():
            scheduler.put_worker(worker.entry)
        handover = self.table.handovers[former.group]
        scheduler.apply_handover(handover.record, handover.read_at,
                                 self.driver.now)
        scheduler.mark_workers_recorded(scheduler.build_workers_record())
        for worker in self.workers.values():
            if worker.crashed_at is not None:
                scheduler.mark_unreachable(worker.entry.worker_id,
                                           self.driver.now)
        self._report()


class ResigningLeadersTest(unittest.TestCase):
    """Tests the count of crashes over many planned changes of the leader."""

    def setUp(self):
        self.cluster = ResigningCluster(
            *(builders.build_worker(f"w{i}", born_ms=builders.INSTANCE_START_MS)
              for i in range(4)))

    def run_with_changes(self, seconds: float, interval_s: float) -> None:
        """Changes the leader each `interval_s` for some time."""
        end = self.cluster.driver.now + seconds
        while self.cluster.driver.now < end:
            self.cluster.run_for(interval_s)
            self.cluster.hand_over()

    def test_crashing_task_is_given_up(self):
        """Guards against a count that each hand-over begins anew (BUDGET)."""
        test_crashes.accept_crashing_job(self.cluster)
        healthy_job_ids = test_crashes.accept_healthy_jobs(self.cluster, 3)
        self.run_with_changes(60.0, 1.3)
        self.assertIs(self.cluster.get_state(test_crashes.CRASHING_JOB_ID),
                      model.JobState.FAILED)
        self.assertLessEqual(
            self.cluster.count_starts(test_crashes.CRASHING_TASK),
            test_crashes.MAX_STARTS)
        for job_id in healthy_job_ids:
            self.assertIs(self.cluster.get_state(job_id),
                          model.JobState.COMPLETED)

    def test_crash_between_two_leaders_counts(self):
        """Guards against a task that takes down a worker at each hand-over.

        Each leader resigns after its start order, before it notices the loss.
        """
        self.cluster.accept(builders.build_job(test_crashes.CRASHING_JOB_ID))
        crash_count = 0
        for _ in range(400):
            self.cluster.run_for(crashing.TICK_S)
            start_count = self.cluster.count_starts(test_crashes.CRASHING_TASK)
            if start_count > crash_count:
                crash_count = start_count
                worker_id = self.cluster.starts[-1].worker_id
                self.cluster.workers[
                    worker_id].crashed_at = self.cluster.driver.now
                self.cluster.workers[worker_id].runs.clear()
                self.cluster.hand_over()
        self.assertIs(self.cluster.get_state(test_crashes.CRASHING_JOB_ID),
                      model.JobState.FAILED)
        self.assertLessEqual(crash_count, test_crashes.MAX_STARTS)

    def test_start_that_was_not_ordered_does_not_count(self):
        """Guards against a healthy job that is given up since leaders stop.

        One worker was lost under it, so each start is stored ahead.
        """
        task = test_crashes.CRASHING_TASK
        self.cluster.accept(builders.build_job(task.job_id))
        self.cluster.run_for(0.1)
        self.cluster.crash(self.cluster.starts[-1].worker_id)
        hand_over_count = 0
        for _ in range(400):
            self.cluster.run_for(crashing.TICK_S)
            job = self.cluster.driver.scheduler.jobs.get(task.job_id)
            if job is None:
                break
            suspicion = job.find_suspicion(task)
            if (suspicion is not None and suspicion.claimed_run and
                    hand_over_count < 8):
                hand_over_count += 1
                self.cluster.hand_over()
        self.assertEqual(hand_over_count, 8)
        self.assertIs(self.cluster.get_state(task.job_id),
                      model.JobState.COMPLETED)
