"""Tests of starts whose leader dies before it stores anything about them."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing
from gentianlead.dispatch.tests import test_crashes


class UnstoredStartTest(unittest.TestCase):
    """Tests how often a task starts if each leader dies before its flush."""

    def test_first_starts_are_bounded(self):
        """Checks the number of starts if nothing is stored after an order.

        Guards against first starts that are repeated without end since no
        leader lives to count them.
        """
        for step in (builders.build_step(2),
                     builders.build_step(2, is_long_running=True),
                     builders.build_step(2, is_gang=True)):
            with self.subTest(step=step):
                cluster = test_crashes.build_cluster(6)
                test_crashes.accept_crashing_job(cluster, step)
                task = test_crashes.CRASHING_TASK
                for _ in range(1600):
                    start_count = cluster.count_starts(task)
                    cluster.run_for(crashing.TICK_S)
                    if cluster.count_starts(task) > start_count:
                        cluster.change_leader()
                self.assertIs(cluster.get_state(task.job_id),
                              model.JobState.FAILED)
                self.assertLessEqual(cluster.count_starts(task),
                                     test_crashes.MAX_STARTS)

    def test_worker_that_restarted_under_its_id(self):
        """Checks that a start is stored ahead if a recorded worker restarted.

        Guards against a crash that a successor does not notice, as the worker
        is back under the same identifier.
        """
        for born_ms, start_count in ((builders.INSTANCE_START_MS, 1),
                                     (builders.INSTANCE_START_MS + 1, 0)):
            with self.subTest(born_ms=born_ms):
                driver = builders.GroupDriver()
                driver.scheduler.put_recorded_worker(
                    builders.build_worker(born_ms=builders.INSTANCE_START_MS),
                    driver.now)
                driver.scheduler.put_worker(
                    builders.build_worker(born_ms=born_ms))
                driver.put_job(test_crashes.CRASHING_JOB_ID, offset=40)
                driver.apply_status(born_ms=born_ms)
                self.assertEqual(len(driver.plan_starts()), start_count)
                driver.flush()
                self.assertEqual(len(driver.plan_starts()), 1 - start_count)

    def test_quiet_takeover_needs_no_stored_start(self):
        """Checks that a task starts at once if all workers have replied.

        Guards against a record before each start after each change of leader.
        """
        cluster = test_crashes.build_cluster()
        test_crashes.accept_healthy_jobs(cluster, 1)
        cluster.change_leader()
        self.assertEqual(len(cluster.driver.plan_starts()), 4)

    def test_worker_that_left_needs_no_stored_start(self):
        """Checks that a worker which left as announced is no lost one.

        Guards against records before starts during each rolling restart.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_recorded_worker(
            builders.build_worker("w2", is_draining=True), driver.now)
        driver.put_job(test_crashes.CRASHING_JOB_ID, offset=40)
        driver.scheduler.remove_replaced_worker("w2", driver.now)
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_gang_whose_first_member_was_adopted(self):
        """Checks that a gang is stored ahead after the loss of another member.

        Guards against a gang whose start is not counted since its first member
        still runs when the leader takes over.
        """
        task = test_crashes.CRASHING_TASK
        driver = builders.GroupDriver()
        for worker_id in ("w0", "w1", "w2"):
            driver.scheduler.put_recorded_worker(
                builders.build_worker(worker_id,
                                      born_ms=builders.INSTANCE_START_MS),
                driver.now)
        driver.put_job(task.job_id,
                       builders.build_step(2, is_gang=True),
                       offset=40)
        for worker_id, running in (("w0",
                                    (ports.ActiveRun(task, 7, "", 0,
                                                     None),)), ("w2", ())):
            driver.scheduler.put_worker(
                builders.build_worker(worker_id,
                                      born_ms=builders.INSTANCE_START_MS))
            driver.apply_status(worker_id, running=running)
        driver.scheduler.remove_replaced_worker("w1", driver.now)
        driver.scheduler.mark_workers_recorded(
            driver.scheduler.build_workers_record())
        self.assertEqual(driver.plan_starts(), [])
        driver.apply_status("w0",
                            ended=(ports.EndedRun(
                                1, task, 7, ports.EndCause.GANG_MEMBER_ENDED,
                                ""),))
        self.assertEqual(driver.plan_starts(), [])
        driver.flush()
        self.assertEqual(len(driver.plan_starts()), 2)
