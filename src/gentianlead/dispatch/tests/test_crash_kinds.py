"""Tests that tasks of all kinds are given up, whatever their leaders do."""

from typing import Callable, NamedTuple
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import crashing
from gentianlead.dispatch.tests import test_crashes

JOB_ID = test_crashes.CRASHING_JOB_ID
DURATION_S = 60.0


class CrashingKind(NamedTuple):
    """Job with a task that crashes each worker.

    Attributes:
        name: Kind of the task.
        job: The job.
        task: The task.
        moved_indexes: Task indexes of a move, as in a `MovedRecord`.
    """

    name: str
    job: model.SteppedJob
    task: model.TaskKey = model.TaskKey(JOB_ID, 0, 0, 0)
    moved_indexes: tuple[int, ...] = ()


KINDS = (
    CrashingKind("short", builders.build_job(JOB_ID)),
    CrashingKind(
        "best-effort",
        builders.build_job(
            JOB_ID, builders.build_step(is_best_effort=True, image="bundle"))),
    CrashingKind(
        "long-running",
        builders.build_job(JOB_ID,
                           builders.build_step(3, is_long_running=True),
                           assignment=("north-1",) * 3),
        model.TaskKey(JOB_ID, 0, 0, 1), (1,)),
    CrashingKind("latency-critical",
                 builders.build_job(JOB_ID,
                                    builders.build_step(
                                        2,
                                        is_long_running=True,
                                        image="serving",
                                        tail_latency_limit_ms=20),
                                    assignment=("north-1",) * 2),
                 moved_indexes=(0,)),
    CrashingKind(
        "gang", builders.build_job(JOB_ID, builders.build_step(3,
                                                               is_gang=True)),
        model.TaskKey(JOB_ID, 0, 0, 2)),
    CrashingKind(
        "one rack",
        builders.build_job(JOB_ID,
                           builders.build_step(prefers_same_rack=True))),
    CrashingKind(
        "later step",
        builders.build_job(JOB_ID, builders.build_step(),
                           builders.build_step(depends_on=(0,))),
        model.TaskKey(JOB_ID, 0, 1, 0)),
    CrashingKind(
        "checkpoints",
        builders.build_job(JOB_ID, builders.build_step(has_checkpoints=True))),
    CrashingKind(
        "speculative",
        builders.build_job(
            JOB_ID, builders.build_step(allows_speculative_copies=True))),
    CrashingKind(
        "second occurrence",
        builders.build_job(JOB_ID,
                           occurrences=2,
                           interval_ms=60_000,
                           first_run_ms=builders.NOW_MS - 90_000),
        model.TaskKey(JOB_ID, 1, 0, 0)),
    CrashingKind(
        "permit",
        builders.build_job(JOB_ID)._replace(queue=builders.QUEUE._replace(
            needs_permit=True))),
    CrashingKind(
        "gang with permits",
        builders.build_job(JOB_ID, builders.build_step(
            2, is_gang=True))._replace(queue=builders.QUEUE._replace(
                needs_permit=True))),
)


class CrashKindTest(unittest.TestCase):
    """Tests how often a crashing task of each kind is started."""

    def check_kinds(
        self, exercise: Callable[[CrashingKind, crashing.SimulatedCluster],
                                 None]
    ) -> None:
        """Lets `exercise` run a cluster for each kind, and checks the result.
        """
        for kind in KINDS:
            with self.subTest(kind=kind.name):
                cluster = test_crashes.build_cluster(6)
                cluster.crashing_tasks.add(kind.task)
                cluster.accept(kind.job)
                exercise(kind, cluster)
                self.assertIs(cluster.get_state(JOB_ID), model.JobState.FAILED)
                self.assertLessEqual(cluster.count_starts(kind.task),
                                     test_crashes.MAX_STARTS)

    def change_leaders(self, kind: CrashingKind,
                       cluster: crashing.SimulatedCluster,
                       delay_s: float) -> None:
        """Changes the leader some time after each start of the task."""
        start_count = 0
        end = cluster.driver.now + DURATION_S
        while cluster.driver.now < end:
            cluster.run_for(crashing.TICK_S)
            if cluster.count_starts(kind.task) > start_count:
                start_count = cluster.count_starts(kind.task)
                cluster.run_for(delay_s)
                cluster.change_leader()

    def move_after_crash(self, kind: CrashingKind,
                         cluster: crashing.SimulatedCluster) -> None:
        """Moves the task when it waits after a crash; one more start follows.
        """
        while not (cluster.count_starts(kind.task) and kind.task.index
                   in cluster.driver.scheduler.jobs[JOB_ID].get_step(
                       kind.task).waiting_indexes):
            cluster.run_for(crashing.TICK_S)
        job = cluster.driver.scheduler.jobs[JOB_ID]
        move_number = job.begin_move()
        cluster.store(
            job.build_progress("north-1", cluster.driver.scheduler.epoch))
        cluster.store(
            dispatch.MovedRecord(JOB_ID, "north-1", kind.moved_indexes,
                                 "north-2", move_number))
        cluster.change_leader("north-2")
        cluster.run_for(DURATION_S)
        self.assertEqual(cluster.count_starts(kind.task), 2)

    def test_each_kind_is_given_up(self):
        """Guards against kinds of tasks whose crashes are not counted."""
        self.check_kinds(lambda _, cluster: cluster.run_for(DURATION_S))

    def test_count_outlives_leaders(self):
        """Checks the starts if leaders die before the worker is replaced.

        Guards against kinds whose count a successor does not restore.
        """
        self.check_kinds(lambda kind, cluster: self.change_leaders(
            kind, cluster, 2 * crashing.TICK_S))

    def test_orders_of_dead_leaders_count(self):
        """Checks the starts if leaders die right after their orders.

        Guards against kinds whose starts are not stored ahead.
        """
        self.check_kinds(
            lambda kind, cluster: self.change_leaders(kind, cluster, 0.0))

    def test_count_moves(self):
        """Checks the starts if the task moves after its first crash.

        Guards against kinds whose count another group does not restore.
        """
        self.check_kinds(self.move_after_crash)
