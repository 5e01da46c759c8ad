"""Tests of starts that were stored ahead by leaders that died."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing
from gentianlead.dispatch.tests import test_crashes

TASK = test_crashes.CRASHING_TASK
DEATH_COUNT = 8
"""Deaths of leaders, more than the crashes on which a task is given up."""


def build_cluster() -> crashing.SimulatedCluster:
    """Builds a cluster of workers whose start times are recorded."""
    return crashing.SimulatedCluster(
        *(builders.build_worker(f"w{i}", born_ms=builders.INSTANCE_START_MS)
          for i in range(4)))


class UnorderedClaimTest(unittest.TestCase):
    """Tests leaders that die after they have stored a start ahead."""

    def run_until_claimed(self, cluster: crashing.SimulatedCluster) -> None:
        """Lets the leader store the next start of the task, without its order.
        """
        for _ in range(200):
            cluster.run_for(crashing.TICK_S)
            job = cluster.driver.scheduler.jobs[TASK.job_id]
            if job.get_suspicion(TASK).claimed_run:
                cluster.flush()
                return
        self.fail("no start was stored ahead")

    def test_deaths_before_the_order_do_not_count(self):
        """Checks a healthy task whose leaders die before they start it.

        One worker was lost under it. Guards against a healthy job that is given
        up since leaders die, three of which were enough.
        """
        cluster = build_cluster()
        cluster.accept(builders.build_job(TASK.job_id))
        cluster.run_for(0.1)
        cluster.crash(cluster.starts[-1].worker_id)
        for _ in range(DEATH_COUNT):
            self.run_until_claimed(cluster)
            cluster.change_leader()
        self.assertEqual(cluster.count_starts(TASK), 1)
        cluster.run_for(10.0)
        self.assertIs(cluster.get_state(TASK.job_id), model.JobState.COMPLETED)

    def test_order_of_a_dead_leader_counts_for_all_successors(self):
        """Checks that a claimed run counts after two changes of the leader.

        The first successor finds the worker of the run replaced, and the second
        one does not know of that worker. Guards against a crash that counts no
        more since all workers that are recorded are up.
        """
        cluster = build_cluster()
        test_crashes.accept_crashing_job(cluster)
        cluster.run_for(0.1)
        self.run_until_claimed(cluster)
        cluster.plan()
        self.assertEqual(cluster.count_starts(TASK), 2)
        cluster.change_leader()
        for _ in range(100):
            cluster.run_for(crashing.TICK_S)
            if cluster.driver.scheduler.jobs[TASK.job_id].is_reconciled:
                break
        cluster.change_leader()
        cluster.run_for(crashing.TICK_S)
        (task_progress,) = [
            progress for record in cluster.table.jobs[
                TASK.job_id].progress_by_group.values()
            for progress in record.unfinished_tasks
        ]
        self.assertIn(
            dispatch.CrashedRun(cluster.starts[1].run,
                                int(_suspicions.CrashEvidence.UNRESOLVED)),
            task_progress.crashed_runs)

    def test_unknown_instance_counts(self):
        """Checks a claimed run if the start time of a worker is not recorded.

        Guards against clearing a task whose worker is back under its id.
        """
        for born_ms, counted_runs in ((builders.INSTANCE_START_MS, []), (0, [7
                                                                            ])):
            with self.subTest(born_ms=born_ms):
                entry = builders.build_worker(born_ms=born_ms)
                driver = builders.GroupDriver()
                driver.scheduler.put_recorded_worker(entry, driver.now)
                job_entry = builders.build_job_entry(
                    builders.build_job(TASK.job_id), 40)
                task_progress = dispatch.TaskProgress(
                    0,
                    0,
                    0,
                    0,
                    "",
                    crashed_runs=(dispatch.CrashedRun(
                        7, int(_suspicions.CrashEvidence.CLAIMED)),))
                driver.scheduler.put_job(
                    job_entry._replace(
                        progress_by_group={
                            "north-1":
                                dispatch.ProgressRecord(
                                    TASK.job_id, "north-1", 1, model.JobState.
                                    RUNNING, 7, (), (task_progress,))
                        }))
                driver.scheduler.put_worker(entry)
                driver.apply_status()
                driver.scheduler.mark_jobs_reconciled(driver.now)
                suspicion = driver.scheduler.jobs[TASK.job_id].get_suspicion(
                    TASK)
                self.assertEqual(list(suspicion.crashes), counted_runs)
