"""Tests of what counts against suspects, and of how long they wait."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing

JOB_ID = "00000000000000dd"
TASK = model.TaskKey(JOB_ID, 0, 0, 0)


class LateStartTest(unittest.TestCase):
    """Tests runs that began long after their first start order."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.plan_starts()
        self.driver.now += 0.8
        self.driver.apply_start_outcome(self.order, ports.StartOutcome.UNKNOWN)

    def check_crash_counts(self) -> None:
        """Reports the run just after its start, and checks that a crash counts.
        """
        self.driver.apply_status(self.order.worker_id,
                                 running=(builders.build_active_run(
                                     self.order),))
        self.driver.now += 0.01
        self.driver.scheduler.remove_replaced_worker(self.order.worker_id,
                                                     self.driver.now)
        (progress,) = self.driver.flush()
        self.assertEqual([
            crashed.run
            for task_progress in progress.unfinished_tasks
            for crashed in task_progress.crashed_runs
        ], [self.order.run])

    def test_order_that_is_executed_late_is_no_proof(self):
        """Checks that the age of an order does not count as time of running.

        Guards against clearing a task by a report from just before the crash.
        """
        self.check_crash_counts()

    def test_repeated_order_is_no_proof(self):
        """Checks that a run does not count from the first of two orders.

        Guards against clearing a task that the second order has started.
        """
        self.driver.apply_status(self.order.worker_id)
        (repeated_order,) = self.driver.plan_starts()
        self.assertEqual(repeated_order.run, self.order.run)
        self.driver.apply_start_outcome(repeated_order,
                                        ports.StartOutcome.STARTED)
        self.check_crash_counts()


class MovedClaimTest(unittest.TestCase):
    """Tests starts that are stored ahead and then not ordered."""

    def test_move_drops_a_start_that_was_not_ordered(self):
        """Checks that a claimed start does not count after the job has moved.

        Guards against giving up a healthy task that only moves and waits.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.put_job(JOB_ID)
        (order,) = driver.start_all()
        driver.scheduler.remove_replaced_worker(order.worker_id, driver.now)
        driver.now += 1.0
        driver.apply_status("w2" if order.worker_id == "w1" else "w1")
        self.assertEqual(driver.plan_starts(), [])
        driver.flush()
        job = driver.scheduler.jobs[JOB_ID]
        self.assertTrue(job.get_suspicion(TASK).is_claim_stored)
        job.begin_move()
        (task_progress,) = job.build_progress("north-1",
                                              builders.EPOCH).unfinished_tasks
        self.assertEqual(
            [crashed.run for crashed in task_progress.crashed_runs],
            [order.run])


class PreparationTest(unittest.TestCase):
    """Tests suspects that wait for the few workers kept for suspects."""

    def test_suspect_that_does_not_fit_lets_others_start(self):
        """Checks that a suspect starts although a larger one does not fit yet.

        Guards against a kept worker that is chosen again at once, for as long
        as the tasks there run.
        """
        self.check_start_beside_larger_suspect(builders.build_step())

    def test_suspect_that_does_not_fit_lets_gangs_start(self):
        """Checks that a gang starts although a larger suspect does not fit yet.

        Guards against a gang that does not count among the waiting suspects.
        """
        self.check_start_beside_larger_suspect(
            builders.build_step(2, is_gang=True))

    def check_start_beside_larger_suspect(self, step: model.Step) -> None:
        """Checks that only a step of two suspect ones starts within 10 s.

        The other one, which comes first, fits on none of the three workers.
        """
        driver = builders.GroupDriver(
            *(builders.build_worker(f"w{i}") for i in range(3)))
        driver.put_job("00000000000000aa",
                       builders.build_step(3, memory_mib=6000),
                       accepted_at_ms=builders.NOW_MS - 200)
        busy_orders = driver.start_all()
        self.assertEqual(len({order.worker_id for order in busy_orders}), 3)
        driver.put_job("00000000000000bb",
                       builders.build_step(memory_mib=9000),
                       accepted_at_ms=builders.NOW_MS - 100)
        driver.put_job(JOB_ID, step)
        for job_id in ("00000000000000bb", JOB_ID):
            suspicion = driver.scheduler.jobs[job_id].get_suspicion(
                TASK._replace(job_id=job_id))
            suspicion.add_crash(1, _suspicions.CrashEvidence.WEAK, driver.now)
        started_jobs = set()
        for _ in range(100):
            driver.now += 0.1
            for order in busy_orders:
                driver.apply_status(order.worker_id,
                                    running=(builders.build_active_run(order),))
                driver.scheduler.workers[order.worker_id].extend_lease(
                    driver.now, builders.LEASE)
            driver.flush()
            started_jobs.update(
                order.task.job_id for order in driver.start_all())
        self.assertEqual(started_jobs, {JOB_ID})

    def test_unproven_runs_do_not_hide_a_lack_of_capacity(self):
        """Checks that a suspect still lacks capacity when its worker is in use.

        Each released worker gets new runs. Guards against a wait that begins
        anew each time, so that the rules for long waits never apply.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.put_job("00000000000000aa", builders.build_step(memory_mib=6000))
        (order,) = driver.start_all()
        driver.put_job(JOB_ID, builders.build_step(memory_mib=9000))
        job = driver.scheduler.jobs[JOB_ID]
        job.get_suspicion(TASK).add_crash(1, _suspicions.CrashEvidence.WEAK,
                                          driver.now)
        running = [order]
        for tick in range(40):
            driver.now += 0.1
            if tick == 25:
                driver.put_job("00000000000000bb",
                               accepted_at_ms=builders.NOW_MS - 500)
            driver.apply_status(
                running=tuple(map(builders.build_active_run, running)))
            driver.flush()
            running += driver.start_all()
        self.assertEqual(len(running), 2)
        self.assertGreater(job.compute_waited_s(driver.now), 3.0)


class CutOffWorkerTest(unittest.TestCase):
    """Tests losses after which the worker may still be up."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.start_all()
        self.other_id = "w2" if self.order.worker_id == "w1" else "w1"
        self.driver.scheduler.mark_unreachable(self.order.worker_id,
                                               self.driver.now)
        self.driver.now += 10.0
        self.driver.apply_status(self.other_id)
        self.driver.plan()

    def test_cut_and_crash_are_not_two_crashes(self):
        """Checks that a job outlives a cut and the crash of one worker.

        Guards against giving up a task under which one worker has crashed.
        """
        self.driver.flush()
        self.driver.now += 1.0
        self.driver.apply_status(self.other_id)
        self.driver.plan()
        self.driver.flush()
        (order,) = self.driver.start_all()
        self.assertEqual(order.worker_id, self.other_id)
        self.driver.now += 0.1
        self.driver.scheduler.remove_replaced_worker(order.worker_id,
                                                     self.driver.now)
        self.assertFalse(self.driver.scheduler.jobs[JOB_ID].has_ended)

    def test_returned_worker_clears_the_task(self):
        """Checks that a cut does not count once the worker reports the end.

        Guards against counting a worker that has never crashed.
        """
        self.driver.apply_status(self.order.worker_id,
                                 ended=(builders.build_ended_run(
                                     self.order,
                                     cause=ports.EndCause.LEASE_EXPIRED),))
        (progress,) = self.driver.flush()
        self.assertEqual([
            task_progress.crashed_runs
            for task_progress in progress.unfinished_tasks
            if task_progress.crashed_runs
        ], [])


class LostLongRunningTest(unittest.TestCase):
    """Tests long-running tasks that had just started on a worker that is lost.
    """

    def setUp(self):
        self.cluster = crashing.SimulatedCluster(
            *(builders.build_worker(f"w{i}") for i in range(4)))
        self.cluster.accept(
            builders.build_job(JOB_ID,
                               builders.build_step(8,
                                                   is_long_running=True,
                                                   image="image",
                                                   tail_latency_limit_ms=20),
                               assignment=("north-1",) * 8))
        self.cluster.run_for(0.3)

    def find_worker_in_use(self) -> str:
        """Returns the only worker with runs."""
        (worker_id,) = [
            worker_id for worker_id, worker in self.cluster.workers.items()
            if worker.runs
        ]
        return worker_id

    def count_runs(self) -> int:
        """Returns the number of runs on all workers."""
        return sum(len(worker.runs) for worker in self.cluster.workers.values())

    def remove_worker_in_use(self) -> None:
        """Removes the only worker with runs, and waits for its lease to end."""
        self.cluster.remove(self.find_worker_in_use())
        self.cluster.run_for(builders.LEASE.total_seconds() + 0.3)

    def test_tasks_of_a_lost_worker_start_together(self):
        """Checks that all eight tasks run 2 s after the lease of their worker.

        Guards against tasks without a run beside free capacity, which queue for
        the one worker that is kept for suspects.
        """
        self.remove_worker_in_use()
        self.cluster.run_for(2.0)
        self.assertEqual(self.count_runs(), 8)

    def test_tasks_of_a_restarted_worker_start_together(self):
        """Checks that all tasks run 1 s after the restart of their worker.

        Guards against the same queue after a crash of the worker, which is weak
        evidence against each of the tasks.
        """
        self.cluster.crash(self.find_worker_in_use())
        self.cluster.run_for(crashing.RESTART_S + 1.0)
        self.assertEqual(self.count_runs(), 8)

    def test_tasks_of_two_lost_workers_start_alone(self):
        """Checks that a second loss makes the tasks start one by one.

        Guards against giving up all of them for one that crashes its workers.
        """
        self.remove_worker_in_use()
        self.cluster.run_for(0.4)
        self.remove_worker_in_use()
        starts = len(self.cluster.starts)
        self.cluster.run_for(1.5)
        self.assertEqual(len(self.cluster.starts) - starts, 1)
