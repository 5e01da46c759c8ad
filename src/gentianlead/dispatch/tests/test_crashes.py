"""Tests of tasks that crash the workers that start them."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing

CRASHING_JOB_ID = "00000000000000dd"
CRASHING_TASK = model.TaskKey(CRASHING_JOB_ID, 0, 0, 0)
MAX_STARTS = 5
"""Starts of a task that crashes each worker: three, and then two more."""


def build_cluster(worker_count: int = 4,
                  task_s: float = 2.0) -> crashing.SimulatedCluster:
    """Builds a cluster of workers with ten cores each."""
    return crashing.SimulatedCluster(
        *(builders.build_worker(f"w{i}") for i in range(worker_count)),
        task_s=task_s)


def accept_healthy_jobs(cluster: crashing.SimulatedCluster,
                        count: int,
                        task_count: int = 4) -> list[str]:
    """Accepts jobs of one step, and returns their identifiers."""
    job_ids = [f"{i:016x}" for i in range(1, count + 1)]
    for job_id in job_ids:
        cluster.accept(
            builders.build_job(job_id, builders.build_step(task_count)))
    return job_ids


def accept_crashing_job(cluster: crashing.SimulatedCluster,
                        step: model.Step | None = None,
                        **fields) -> None:
    """Accepts a job whose first task crashes its workers."""
    cluster.crashing_tasks.add(CRASHING_TASK)
    cluster.accept(
        builders.build_job(CRASHING_JOB_ID, step or builders.build_step(),
                           **fields))


class CrashingTaskTest(unittest.TestCase):
    """Tests how often a task that crashes its workers is started."""

    def check_given_up(self, step: model.Step, **fields) -> None:
        """Checks that a job with a crashing first task fails in time."""
        cluster = build_cluster()
        accept_crashing_job(cluster, step, **fields)
        cluster.run_for(40.0)
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertLessEqual(cluster.count_starts(CRASHING_TASK), MAX_STARTS)

    def test_lone_task_is_given_up_after_two_crashes(self):
        """Checks that a job fails at the second crash under its only task.

        Guards against a task that takes down worker after worker.
        """
        cluster = build_cluster()
        accept_crashing_job(cluster)
        cluster.run_for(40.0)
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertEqual(cluster.count_starts(CRASHING_TASK), 2)

    def test_neighbours_of_a_crashing_task_succeed(self):
        """Checks that jobs beside a crashing task complete, and only it fails.

        Guards against blaming the other tasks of a crashed worker.
        """
        cluster = build_cluster()
        job_ids = accept_healthy_jobs(cluster, 10)
        accept_crashing_job(cluster)
        cluster.run_for(60.0)
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertLessEqual(cluster.count_starts(CRASHING_TASK), 3)
        self.assertEqual({cluster.get_state(job_id) for job_id in job_ids},
                         {model.JobState.COMPLETED})

    def test_long_running_task_is_given_up(self):
        """Checks that a long-running task fails its job like a short one.

        Guards against an exception for tasks whose failures do not count.
        """
        self.check_given_up(builders.build_step(2, is_long_running=True))

    def test_best_effort_task_is_given_up(self):
        """Checks that a best-effort task fails its job like a short one.

        Guards against starts that ignore crashes while spare CPU is scarce.
        """
        self.check_given_up(
            builders.build_step(2, is_best_effort=True, image="bundle"))

    def test_gang_is_given_up(self):
        """Checks that the crashes under one member count for the whole gang.

        Guards against a gang that restarts with a new run number each time.
        """
        self.check_given_up(builders.build_step(2, is_gang=True))

    def test_occurrence_is_given_up(self):
        """Checks that a task of a repeated job fails the job.

        Guards against counting the crashes of occurrences together or never.
        """
        self.check_given_up(builders.build_step(),
                            occurrences=2,
                            interval_ms=60_000,
                            first_run_ms=builders.NOW_MS - 1000)


class HealthyTaskTest(unittest.TestCase):
    """Tests that tasks which did not cause a loss are not given up."""

    def test_tasks_survive_losses_of_power(self):
        """Checks that three losses of all workers fail no job.

        Each strikes some time after the workers are back, while tasks have just
        been started or are on probation. Guards against counting a loss of
        power as a crash by each task.
        """
        for delay_s in (0.1, 0.3, 0.5, 0.7, 0.9, 1.3):
            with self.subTest(delay_s=delay_s):
                cluster = build_cluster(6)
                job_ids = accept_healthy_jobs(cluster, 8)
                for _ in range(3):
                    cluster.run_for(delay_s)
                    cluster.crash(*cluster.workers)
                    cluster.run_for(3.0)
                cluster.run_for(20.0)
                self.assertEqual(
                    {cluster.get_state(job_id) for job_id in job_ids},
                    {model.JobState.COMPLETED})

    def test_tasks_survive_losses_of_half_the_workers(self):
        """Checks that three losses of the same rack fail no job.

        The rack has half of the workers, and probations are under way. Guards
        against explaining a loss of power by the probations that it hits.
        """
        for delay_s in (0.1, 0.3, 0.5, 0.7, 0.9, 1.3):
            with self.subTest(delay_s=delay_s):
                cluster = build_cluster(6)
                job_ids = accept_healthy_jobs(cluster, 8)
                for _ in range(3):
                    cluster.run_for(delay_s)
                    cluster.crash(*(worker_id for worker_id in cluster.workers
                                    if worker_id.partition("-")[0] in ("w0",
                                                                       "w1",
                                                                       "w2")))
                    cluster.run_for(3.0)
                cluster.run_for(20.0)
                self.assertEqual(
                    {cluster.get_state(job_id) for job_id in job_ids},
                    {model.JobState.COMPLETED})

    def test_tasks_survive_workers_lost_for_good(self):
        """Checks that jobs complete although workers vanish one by one.

        Guards against counting the end of a lease like a confirmed crash.
        """
        cluster = build_cluster(6)
        job_ids = accept_healthy_jobs(cluster, 8)
        for number in range(4):
            cluster.run_for(0.2)
            cluster.remove(f"w{number}")
            cluster.run_for(7.0)
        cluster.run_for(60.0)
        self.assertEqual({cluster.get_state(job_id) for job_id in job_ids},
                         {model.JobState.COMPLETED})

    def test_reached_worker_withdraws_the_suspicion(self):
        """Checks that nothing counts against a run on a worker that came back.

        The worker was unreachable just after the start, and has kept running.
        Guards against counting a short cut as a crash.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(CRASHING_JOB_ID)))
        (order,) = driver.start_all()
        driver.flush()
        driver.scheduler.mark_unreachable("w1", driver.now)
        (progress,) = driver.flush()
        (task_progress,) = progress.unfinished_tasks
        self.assertEqual(
            [crashed.run for crashed in task_progress.crashed_runs],
            [order.run])
        driver.now += 1.0
        driver.apply_status(running=(builders.build_active_run(order),))
        (progress,) = driver.flush()
        (task_progress,) = progress.unfinished_tasks
        self.assertEqual((task_progress.crashed_runs, task_progress.proven_run),
                         ((), order.run))

    def test_leaving_worker_is_no_crash(self):
        """Checks that a task of a worker that left as announced is no suspect.

        Guards against delaying the tasks of drained workers.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(CRASHING_JOB_ID)))
        (order,) = driver.start_all()
        driver.scheduler.put_worker(
            builders.build_worker(order.worker_id, is_draining=True))
        driver.scheduler.mark_unreachable(order.worker_id, driver.now)
        driver.scheduler.remove_replaced_worker(order.worker_id, driver.now)
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_notice_read_after_the_loss_is_no_crash(self):
        """Guards against delaying the tasks of a worker that left at once.

        It was gone before the registry, which is read once a second, showed
        that it leaves. The run had just begun. The notice of another instance
        tells nothing about the lost one.
        """
        for born_ms, is_crash in ((builders.INSTANCE_START_MS, False),
                                  (builders.INSTANCE_START_MS + 1, True)):
            with self.subTest(is_crash=is_crash):
                driver = builders.GroupDriver(builders.build_worker("w1"),
                                              builders.build_worker("w2"))
                driver.put_job(CRASHING_JOB_ID)
                (order,) = driver.start_all()
                driver.scheduler.mark_unreachable(order.worker_id, driver.now)
                driver.scheduler.put_worker(
                    builders.build_worker(order.worker_id,
                                          is_draining=True,
                                          born_ms=born_ms))
                driver.now += 7.0
                other_worker_id = "w2" if order.worker_id == "w1" else "w1"
                driver.apply_status(other_worker_id)
                self.assertEqual(len(driver.plan_starts()), int(not is_crash))
                (progress,) = driver.flush()
                (task_progress,) = progress.unfinished_tasks
                self.assertEqual(bool(task_progress.crashed_runs), is_crash)

    def test_task_survives_unrelated_crashes(self):
        """Checks that a task under which four workers crash late is kept.

        Guards against blaming a run that has been running for a while.
        """
        cluster = build_cluster(task_s=6.0)
        (job_id,) = accept_healthy_jobs(cluster, 1, task_count=1)
        for _ in range(4):
            cluster.run_for(4.0)
            cluster.crash(cluster.starts[-1].worker_id)
        cluster.run_for(20.0)
        self.assertIs(cluster.get_state(job_id), model.JobState.COMPLETED)


class StoredCountTest(unittest.TestCase):
    """Tests that crashes count beyond the leader that gave the order."""

    def test_count_survives_changes_of_the_leader(self):
        """Checks the number of starts if a new leader follows each crash.

        Each leader dies one second after the crash, before the lease of the
        crashed worker has expired. Guards against a count that a leader keeps
        in memory.
        """
        cluster = build_cluster()
        accept_crashing_job(cluster)
        start_count = 0
        for _ in range(400):
            cluster.run_for(0.1)
            if len(cluster.starts) > start_count:
                start_count = len(cluster.starts)
                cluster.run_for(1.0)
                cluster.change_leader()
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertLessEqual(start_count, MAX_STARTS)

    def test_order_of_a_dead_leader_counts(self):
        """Checks the number of starts if leaders die right after an order.

        After the first crash, each leader dies before it learns the outcome of
        its order. Guards against a count that is stored only after a crash.
        """
        cluster = build_cluster()
        accept_crashing_job(cluster)
        cluster.run_for(1.0)
        for _ in range(800):
            start_count = len(cluster.starts)
            cluster.run_for(crashing.TICK_S)
            if len(cluster.starts) > start_count:
                cluster.change_leader()
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertLessEqual(len(cluster.starts), MAX_STARTS)

    def test_order_without_reply_counts(self):
        """Checks that a crash counts if the start order got no reply.

        Guards against counting only runs whose start was confirmed.
        """
        cluster = build_cluster()
        cluster.silent_tasks.add(CRASHING_TASK)
        accept_crashing_job(cluster)
        cluster.run_for(40.0)
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertLessEqual(cluster.count_starts(CRASHING_TASK), 3)

    def test_count_moves_with_the_job(self):
        """Checks that a job keeps its count when it moves to another group.

        Guards against three more starts in each group.
        """
        cluster = build_cluster()
        accept_crashing_job(cluster)
        cluster.run_for(5.0)
        starts_before_move = len(cluster.starts)
        job = cluster.driver.scheduler.jobs.get(CRASHING_JOB_ID)
        if job is not None:
            cluster.store(
                dispatch.MovedRecord(CRASHING_JOB_ID, "north-1", (), "north-2",
                                     job.begin_move()))
            cluster.change_leader("north-2")
            cluster.run_for(40.0)
        self.assertGreaterEqual(starts_before_move, 1)
        self.assertIs(cluster.get_state(CRASHING_JOB_ID), model.JobState.FAILED)
        self.assertLessEqual(cluster.count_starts(CRASHING_TASK), 3)

    def test_next_start_is_stored_ahead(self):
        """Checks that a suspect starts only after its start is stored.

        Guards against an order whose crash a successor cannot know of.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(CRASHING_JOB_ID)))
        (order,) = driver.start_all()
        driver.scheduler.remove_replaced_worker(order.worker_id, driver.now)
        driver.now += 1.0
        driver.apply_status("w2" if order.worker_id == "w1" else "w1")
        self.assertEqual(driver.plan_starts(), [])
        records = driver.scheduler.take_dirty_progress()
        self.assertEqual(driver.plan_starts(), [])
        self.assertTrue(driver.scheduler.mark_progress_stored(records))
        (next_order,) = driver.plan_starts()
        crashed_runs = records[0].unfinished_tasks[0].crashed_runs
        self.assertEqual([crashed.run for crashed in crashed_runs],
                         [order.run, next_order.run])

    def test_repeated_order_to_a_replaced_worker_counts(self):
        """Checks that a crash counts if the repeated order finds a new worker.

        The first order got no reply. Guards against taking the refusal by the
        new instance for a start that never happened.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(CRASHING_JOB_ID)))
        driver.scheduler.set_capacity_enforcing_services(frozenset({"svc"}))
        (order,) = driver.plan_starts()
        driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
        (repeated_order,) = driver.plan_starts()
        driver.apply_start_outcome(repeated_order,
                                   ports.StartOutcome.WORKER_REPLACED)
        (progress,) = driver.flush()
        (task_progress,) = progress.unfinished_tasks
        self.assertEqual(
            [crashed.run for crashed in task_progress.crashed_runs],
            [order.run])

    def test_older_record_is_readable(self):
        """Checks that progress without crashes and proven runs decodes.

        Guards against jobs that stop when the daemons are upgraded.
        """
        stored = ports.KeyedRecord(
            f"p/{CRASHING_JOB_ID}/north-1",
            dispatch.encode_value((CRASHING_JOB_ID, "north-1", 64, "running", 7,
                                   (), ((0, 0, 0, 1, "", 7, (7,)),))))
        record = dispatch.decode_record(stored)
        self.assertEqual(record.unfinished_tasks[0],
                         dispatch.TaskProgress(0, 0, 0, 1, "", 7, (7,)))

    def test_count_moves_with_a_long_running_task(self):
        """Checks that a group learns the crashes of a task that moves to it.

        The group already had another task of the job. Guards against a count
        that only new jobs restore.
        """
        job = builders.build_job(CRASHING_JOB_ID,
                                 builders.build_step(2, is_long_running=True),
                                 assignment=("north-1", "north-2"))
        entry = builders.build_job_entry(job)
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(entry)
        task_progress = dispatch.TaskProgress(0,
                                              0,
                                              1,
                                              0,
                                              "",
                                              crashed_runs=(dispatch.CrashedRun(
                                                  3, 2),))
        driver.scheduler.put_job(
            entry._replace(assignment=("north-1", "north-1"),
                           progress_by_group={
                               "north-2":
                                   dispatch.ProgressRecord(
                                       CRASHING_JOB_ID, "north-2", 64,
                                       model.JobState.RUNNING, 3, (),
                                       (task_progress,))
                           }))
        started_indexes = [order.task.index for order in driver.plan_starts()]
        self.assertEqual(started_indexes, [0])

    def test_job_given_up_elsewhere_ends_here(self):
        """Checks that a group stops a job that another group has given up.

        Guards against tasks that run on for a job that is shown as failed.
        """
        job = builders.build_job(CRASHING_JOB_ID,
                                 builders.build_step(2, is_long_running=True),
                                 assignment=("north-1", "north-2"))
        entry = builders.build_job_entry(job)
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(entry)
        (order,) = driver.start_all()
        driver.scheduler.put_job(
            entry._replace(
                progress_by_group={
                    "north-2":
                        dispatch.ProgressRecord(CRASHING_JOB_ID, "north-2", 64,
                                                model.JobState.FAILED)
                }))
        self.assertEqual([stop.task for stop in driver.plan_stops()],
                         [order.task])


class ProbationTest(unittest.TestCase):
    """Tests where and beside what suspects start."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        self.driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(CRASHING_JOB_ID)))
        (order,) = self.driver.start_all()
        self.driver.scheduler.remove_replaced_worker(order.worker_id,
                                                     self.driver.now)
        self.driver.add_worker(builders.build_worker("w3"))
        self.driver.now += 1.0
        for worker_id in self.driver.scheduler.workers:
            self.driver.apply_status(worker_id)

    def start_suspect(self) -> dispatch.StartOrder:
        """Starts the suspect, and returns the order."""
        self.driver.plan()
        self.driver.flush()
        (order,) = self.driver.start_all()
        return order

    def test_nothing_starts_beside_a_suspect(self):
        """Checks that a worker starts nothing until its suspect is proven.

        Guards against losing the runs of other tasks.
        """
        order = self.start_suspect()
        accept_count = 30
        for i in range(1, accept_count + 1):
            self.driver.scheduler.put_job(
                builders.build_job_entry(builders.build_job(f"{i:016x}")))
        worker_ids = {other.worker_id for other in self.driver.start_all()}
        self.assertEqual(len(worker_ids), 1)
        self.assertNotIn(order.worker_id, worker_ids)
        self.driver.now += 1.0
        self.driver.apply_status(order.worker_id,
                                 running=(builders.build_active_run(order),))
        self.assertIn(order.worker_id,
                      {other.worker_id for other in self.driver.plan_starts()})

    def test_suspect_without_capacity_may_move(self):
        """Checks that a suspect counts as lacking capacity where none fits.

        Guards against a suspect that waits in a full group for ever.
        """
        self.driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job("00000000000000aa",
                                   builders.build_step(20, cpu_millis=1000))))
        for worker in self.driver.scheduler.workers.values():
            worker.entry = worker.entry._replace(cpu_millis=500)
        self.driver.plan()
        job = self.driver.scheduler.jobs[CRASHING_JOB_ID]
        self.driver.now += 0.5
        self.assertTrue(job.has_unplaced_tasks(self.driver.now, 0.4))

    def test_reported_end_is_no_crash(self):
        """Checks that a start which the worker refused does not count.

        Guards against giving up a task whose orders are refused.
        """
        order = self.start_suspect()
        self.driver.now += 0.1
        self.driver.apply_status(order.worker_id,
                                 ended=(builders.build_ended_run(
                                     order, cause=ports.EndCause.STOPPED),))
        (progress,) = self.driver.flush()
        crashed_runs = progress.unfinished_tasks[0].crashed_runs
        self.assertNotIn(order.run, [crashed.run for crashed in crashed_runs])


class EvidenceTest(unittest.TestCase):
    """Tests how nearby losses weaken the evidence of a crash.

    Each of four workers has one run that has just been started.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(*(
            builders.build_worker(f"w{i}", cpu_millis=1000) for i in range(4)))
        self.driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(CRASHING_JOB_ID, builders.build_step(4))))
        self.orders = {
            order.worker_id: order for order in self.driver.start_all()
        }

    def find_evidence(self, worker_id: str) -> str:
        """Ends the runs of a replaced worker; returns the counted evidence."""
        self.driver.scheduler.crashes.events.clear()
        self.driver.scheduler.remove_replaced_worker(worker_id, self.driver.now)
        (event,) = self.driver.scheduler.crashes.events
        return event.detail

    def test_lone_loss_is_strong_evidence(self):
        """Checks the evidence if losses are one second apart.

        Guards against weak evidence while several crashing tasks run.
        """
        self.driver.scheduler.mark_unreachable("w0", self.driver.now)
        self.driver.now += 1.0
        self.driver.scheduler.mark_unreachable("w1", self.driver.now)
        self.assertEqual(self.find_evidence("w0"), "strong")

    def test_later_loss_is_weak_evidence(self):
        """Checks the evidence if a worker is lost 0.2 s after the start.

        Guards against giving up a task that a loss of power hit on probation,
        with no other worker of the group.
        """
        self.driver.now += 0.2
        self.driver.scheduler.mark_unreachable("w0", self.driver.now)
        self.assertEqual(self.find_evidence("w0"), "weak")

    def test_silent_loss_may_have_been_earlier(self):
        """Checks the evidence beside a worker that was silent for a while.

        It may have been lost together with the other one. Guards against a loss
        of power that closes some connections only.
        """
        self.driver.scheduler.mark_unreachable("w0", self.driver.now)
        self.driver.now += 1.0
        self.driver.scheduler.mark_unreachable("w1", self.driver.now,
                                               self.driver.now - 1.5)
        self.assertEqual(self.find_evidence("w0"), "weak")

    def test_instance_under_the_same_id_keeps_the_loss(self):
        """Checks the evidence after the other lost worker is back.

        Its new instance has the same identifier. Guards against forgetting the
        first of two losses with one cause.
        """
        self.driver.scheduler.mark_unreachable("w0", self.driver.now)
        self.driver.scheduler.mark_unreachable("w1", self.driver.now)
        self.driver.apply_status("w1", born_ms=builders.INSTANCE_START_MS + 1)
        self.assertEqual(self.find_evidence("w0"), "weak")

    def test_shared_loss_needs_no_probation(self):
        """Checks that tasks of a loss of power restart without probation.

        They start at once when their starts are stored, several on a worker.
        Guards against dozens of tasks that wait for a worker of their own.
        """
        for worker_id in ("w0", "w1", "w2"):
            self.driver.scheduler.mark_unreachable(worker_id, self.driver.now)
        for worker_id in ("w0", "w1", "w2"):
            self.assertEqual(self.find_evidence(worker_id), "shared")
        self.driver.add_worker(builders.build_worker("w4"))
        self.driver.now += 1.0
        self.driver.apply_status("w4")
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.flush()
        self.assertEqual(
            {(order.worker_id, order.task)
             for order in self.driver.plan_starts()},
            {("w4", self.orders[worker_id].task)
             for worker_id in ("w0", "w1", "w2")})
