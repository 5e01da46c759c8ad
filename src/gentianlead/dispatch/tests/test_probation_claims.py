"""Tests of when the starts of several suspects are stored ahead."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing


class ProbationClaimTest(unittest.TestCase):
    """Tests the claims of suspects that wait for the same probation."""

    def put_suspects(self, driver: builders.GroupDriver, count: int,
                     step: model.Step) -> list[str]:
        """Adds jobs under whose first tasks one worker was lost each."""
        job_ids = [f"{i:016x}" for i in range(1, count + 1)]
        for job_id in job_ids:
            entry = builders.build_job_entry(builders.build_job(job_id, step))
            task_progress = dispatch.TaskProgress(
                0,
                0,
                0,
                0,
                "",
                crashed_runs=(dispatch.CrashedRun(
                    7, int(_suspicions.CrashEvidence.WEAK)),))
            driver.scheduler.put_job(
                entry._replace(
                    progress_by_group={
                        "north-2":
                            dispatch.ProgressRecord(job_id, "north-2", 1, model.
                                                    JobState.RUNNING, 7, (), (
                                                        task_progress,))
                    }))
        return job_ids

    def count_claims(self, driver: builders.GroupDriver,
                     job_ids: list[str]) -> int:
        """Returns how many suspects have a start that is stored ahead."""
        return sum(
            bool(driver.scheduler.jobs[job_id].get_suspicion(
                model.TaskKey(job_id, 0, 0, 0)).claimed_run)
            for job_id in job_ids)

    def test_cleared_claim_is_replaced(self):
        """Checks the start of a suspect whose claim counts no more.

        Guards against a task that waits forever for a record of its claim: no
        record contains it.
        """
        driver = builders.GroupDriver(builders.build_worker())
        (job_id,) = self.put_suspects(driver, 1, builders.build_step())
        driver.plan()
        suspicion = driver.scheduler.jobs[job_id].get_suspicion(
            model.TaskKey(job_id, 0, 0, 0))
        cleared_run = suspicion.claimed_run
        self.assertTrue(suspicion.remove_unresolved(cleared_run))
        driver.flush()
        orders = []
        for _ in range(3):
            orders += driver.start_all()
            driver.flush()
        (order,) = orders
        self.assertGreater(order.run, cleared_run)

    def test_suspects_claim_one_start_at_a_time(self):
        """Checks the claims of suspects that may all start, one after another.

        Guards against healthy suspects whose claims wait for their turn, and
        count as crashes if the leader dies at the start of another suspect.
        """
        for step in (builders.build_step(), builders.build_step(2,
                                                                is_gang=True)):
            with self.subTest(step=step):
                driver = builders.GroupDriver(
                    *(builders.build_worker(f"w{i}") for i in range(12)))
                job_ids = self.put_suspects(driver, 3, step)
                orders: list[dispatch.StartOrder] = []
                for _ in range(40):
                    orders += driver.start_all()
                    self.assertLessEqual(self.count_claims(driver, job_ids), 1)
                    driver.flush()
                    driver.now += crashing.TICK_S
                    for worker_id in driver.scheduler.workers:
                        driver.apply_status(
                            worker_id,
                            running=tuple(
                                builders.build_active_run(order)
                                for order in orders
                                if order.worker_id == worker_id))
                self.assertEqual([order.task.job_id for order in orders],
                                 sorted(step.count * job_ids))
