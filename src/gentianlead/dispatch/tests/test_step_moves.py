"""Tests of moves of jobs with several steps between groups."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting
from gentianlead.dispatch.tests import test_moves

JOB_ID = "00000000000000aa"


class TwoGroups:
    """Simulates the leaders of a small group and of one with free capacity.

    The worker of `north-1` has four cores, that of `north-2` ten.

    Attributes:
        table: Job table that both leaders read.
        own: Driver of the scheduler of `north-1`.
        other: Driver of the scheduler of `north-2`.
    """

    def __init__(self,
                 *steps: model.Step,
                 occurrences: int = 1,
                 **other_fields):
        self.own = builders.GroupDriver(builders.build_worker(cpu_millis=4000))
        self.other = builders.GroupDriver(builders.build_worker(
            "w2", domain="north-2", **other_fields),
                                          group="north-2")
        self._topic = test_moves.JobTopic()
        self.table = self._topic.table
        self.add(
            dispatch.AcceptedRecord(
                builders.build_job(JOB_ID, *steps, occurrences=occurrences),
                "a#1"))

    def add(self, *records: dispatch.Record) -> None:
        """Stores records, which both leaders read at once."""
        self._topic.add(*records)
        for driver in (self.own, self.other):
            driver.scheduler.put_job(self.table.jobs[JOB_ID])

    def finish(self, *orders: dispatch.StartOrder) -> None:
        """Reports that the runs of some orders in `north-1` are done."""
        self.own.now += 0.1
        self.own.apply_status(ended=tuple(
            builders.build_ended_run(order, number)
            for number, order in enumerate(orders, 1)))

    def pass_time(self, duration_s: float, *running:
                  dispatch.StartOrder) -> None:
        """Lets time pass, with the runs of some orders in `north-1` active."""
        self.own.plan()
        self.own.now += duration_s
        self.other.now = self.own.now
        self.own.apply_status(
            running=tuple(map(builders.build_active_run, running)))
        self.other.apply_status("w2")
        self.own.plan()

    def plan_moves(self) -> list[dispatch.MovedRecord]:
        """Plans the moves out of `north-1`; does not store them."""
        return self._plan_moves(self.own)

    def plan_moves_back(self) -> list[dispatch.MovedRecord]:
        """Plans the moves out of `north-2`; does not store them."""
        return self._plan_moves(self.other)

    def _plan_moves(self,
                    source: builders.GroupDriver) -> list[dispatch.MovedRecord]:
        reports = {
            driver.scheduler.group:
                dispatch.GroupReport(driver.scheduler.compute_load(driver.now),
                                     source.now)
            for driver in (self.own, self.other)
        }
        return [
            move.record for move in source.scheduler.plan_moves(
                lambda: reports[source.scheduler.group].load, reports,
                source.now)
        ]


class IdleJobTest(unittest.TestCase):
    """Tests long-running jobs that have no run in their group."""

    def test_later_step_moves(self):
        """Guards against a later long-running step that waits for good."""
        groups = TwoGroups(
            builders.build_step(),
            test_lasting.build_service_step(cpu_millis=6000, depends_on=(0,)))
        groups.finish(*groups.own.start_all())
        groups.pass_time(1.0)
        (move,) = groups.plan_moves()
        groups.add(
            groups.own.scheduler.jobs[JOB_ID].build_progress(
                "north-1", builders.EPOCH), move)
        (order,) = groups.other.start_all()
        self.assertEqual(order.task, model.TaskKey(JOB_ID, 0, 1, 0))

    def test_short_step_moves(self):
        """Guards against a job whose short step keeps it in a full group."""
        groups = TwoGroups(builders.build_step(cpu_millis=6000),
                           test_lasting.build_service_step(depends_on=(0,)))
        groups.pass_time(2.0)
        (move,) = groups.plan_moves()
        groups.add(move)
        (order,) = groups.other.start_all()
        self.assertEqual(order.task, model.TaskKey(JOB_ID, 0, 0, 0))

    def test_step_does_not_move_where_it_lacks_its_label(self):
        """Guards against moves to and fro for the labels of different steps.

        Only the step without a label leaves, and it does not come back.
        """
        groups = TwoGroups(builders.build_step(cpu_millis=6000),
                           test_lasting.build_service_step(cpu_millis=6000,
                                                           required_label="a"),
                           labels=frozenset())
        groups.pass_time(2.0)
        (move,) = groups.plan_moves()
        self.assertEqual(move.task_indexes, (0,))
        groups.add(move)
        groups.pass_time(2.0)
        self.assertEqual(groups.plan_moves() + groups.plan_moves_back(), [])
        (order,) = groups.other.start_all()
        self.assertEqual(order.task, model.TaskKey(JOB_ID, 0, 0, 0))

    def test_label_of_a_later_step_does_not_keep_a_job(self):
        """Guards against a job that waits for good for a label it needs later.

        It must neither stay nor come back before the earlier step has started.
        """
        groups = TwoGroups(builders.build_step(cpu_millis=6000),
                           test_lasting.build_service_step(depends_on=(0,),
                                                           required_label="a"),
                           labels=frozenset())
        groups.pass_time(2.0)
        (move,) = groups.plan_moves()
        groups.add(move)
        self.assertEqual(groups.plan_moves_back(), [])
        (order,) = groups.other.start_all()
        self.assertEqual(order.task, model.TaskKey(JOB_ID, 0, 0, 0))
        groups.other.apply_status("w2",
                                  ended=(builders.build_ended_run(order),))
        groups.other.plan()
        groups.pass_time(1.0)
        (move,) = groups.plan_moves_back()
        groups.add(
            groups.other.scheduler.jobs[JOB_ID].build_progress(
                "north-2", builders.EPOCH), move)
        (order,) = groups.own.start_all()
        self.assertEqual(order.task, model.TaskKey(JOB_ID, 0, 1, 0))


class UnsuitableGroupTest(unittest.TestCase):
    """Tests jobs that are not long-running and fit in the other group only.

    Both groups have the same CPU and no other work.
    """

    def build_groups(self, step: model.Step) -> TwoGroups:
        """Builds groups and lets a job of one step wait in `north-1`."""
        groups = TwoGroups(step, cpu_millis=8000, accelerators=1)
        groups.own.add_worker(builders.build_worker("w3", cpu_millis=4000))
        groups.pass_time(2.0)
        groups.own.apply_status("w3")
        return groups

    def test_job_moves(self):
        """Guards against a job that waits for good, as no group is less loaded.
        """
        for fields in ({
                "cpu_millis": 6000
        }, {
                "accelerators": 1
        }, {
                "accelerators": 1,
                "is_best_effort": True
        }):
            with self.subTest(fields):
                groups = self.build_groups(builders.build_step(**fields))
                (move,) = groups.plan_moves()
                groups.add(move)
                self.assertEqual(len(groups.other.start_all()), 1)

    def test_jobs_do_not_all_move_to_one_worker(self):
        """Guards against moves of more jobs than fit in the other group."""
        groups = TwoGroups(builders.build_step(4, estimate_ms=0),
                           cpu_millis=8000)
        running = groups.own.start_all()
        self.assertEqual(len(running), 4)
        for number in range(2):
            groups.own.put_job(
                f"{number:016x}",
                builders.build_step(2, cpu_millis=3000, estimate_ms=0))
        groups.pass_time(2.0, *running)
        self.assertEqual(len(groups.plan_moves()), 1)


class DividedLabelsTest(unittest.TestCase):
    """Tests jobs whose steps need labels that no group has together."""

    def test_idle_short_job_is_divided(self):
        """Guards against a job that waits for good beside idle workers (LOST).

        All tasks of the step that can run elsewhere move, and nothing moves
        back.
        """
        for fields in ({}, {"is_gang": True}, {"is_best_effort": True}):
            with self.subTest(fields):
                groups = TwoGroups(builders.build_step(2,
                                                       required_label="b",
                                                       **fields),
                                   builders.build_step(required_label="c",
                                                       **fields),
                                   labels=frozenset({"b"}))
                groups.pass_time(2.0)
                (move,) = groups.plan_moves()
                self.assertEqual(move.task_indexes, (0, 1))
                groups.add(move)
                groups.pass_time(2.0)
                self.assertEqual(groups.plan_moves() + groups.plan_moves_back(),
                                 [])
                self.assertEqual(
                    [order.task for order in groups.other.start_all()],
                    [model.TaskKey(JOB_ID, 0, 0, i) for i in range(2)])

    def test_dependent_step_runs_in_its_own_group(self):
        """Guards against a step that never starts after one in another group.
        """
        groups = TwoGroups(builders.build_step(required_label="b"),
                           builders.build_step(required_label="a"),
                           builders.build_step(required_label="a",
                                               depends_on=(0, 1)),
                           labels=frozenset({"b"}))
        (own_order,) = groups.own.start_all()
        groups.pass_time(2.0, own_order)
        groups.add(*groups.plan_moves())
        (other_order,) = groups.other.start_all()
        groups.finish(own_order)
        self.assertEqual(groups.own.start_all(), [])
        groups.other.apply_status(
            "w2", ended=(builders.build_ended_run(other_order),))
        groups.add(groups.other.scheduler.jobs[JOB_ID].build_progress(
            "north-2", builders.EPOCH))
        (last_order,) = groups.own.start_all()
        self.assertEqual(last_order.task, model.TaskKey(JOB_ID, 0, 2, 0))

    def test_step_without_a_worker_moves_beside_runs_of_its_job(self):
        """Guards against a step that waits for runs whose end does not help it.

        A group without its label cannot start it, and a long-running task does
        not end. The end of a short run may let a step start, which stays.
        """
        long_step = test_lasting.build_service_step(cpu_millis=3000)
        short_step = builders.build_step(cpu_millis=3000)
        cases = (
            ("no label", short_step, builders.build_step(required_label="b"),
             (1,)),
            ("no CPU beside a long-running task", long_step,
             builders.build_step(cpu_millis=2000), (1,)),
            ("no CPU beside a short task", short_step,
             builders.build_step(cpu_millis=2000), None),
        )
        for name, running_step, waiting_step, expected_indexes in cases:
            with self.subTest(name):
                groups = TwoGroups(running_step,
                                   waiting_step,
                                   labels=frozenset({"b"}))
                groups.pass_time(2.0, *groups.own.start_all())
                self.assertEqual(
                    [move.task_indexes for move in groups.plan_moves()],
                    [expected_indexes] if expected_indexes else [])

    def test_job_does_not_move_whole_for_one_label(self):
        """Guards against moves of a whole job to where one step cannot run."""
        groups = TwoGroups(builders.build_step(required_label="b"),
                           builders.build_step(required_label="a"),
                           labels=frozenset({"b"}))
        groups.own.start_all()
        self.assertEqual(groups.plan_moves(), [])


class LeavingRunTest(unittest.TestCase):
    """Tests long-running tasks whose worker, the only one, leaves."""

    def stop_leaving_runs(self, groups: TwoGroups) -> list[dispatch.StopOrder]:
        """Lets the worker of `north-1` announce its leave; returns the stops.
        """
        orders = groups.own.start_all()
        groups.pass_time(1.0, *orders)
        groups.own.scheduler.put_worker(
            builders.build_worker(cpu_millis=4000, is_draining=True))
        self.assertEqual(groups.plan_moves(), [])
        return groups.own.plan_stops()

    def test_run_is_stopped_if_another_group_has_room(self):
        """Guards against a run that goes on until its worker exits (LOST).

        No report would show its end, so its task could move only after the end
        of the lease.
        """
        groups = TwoGroups(test_lasting.build_service_step(), cpu_millis=1000)
        (stop_order,) = self.stop_leaving_runs(groups)
        self.assertEqual(stop_order.reason, "worker is leaving")
        groups.own.apply_status(ended=(ports.EndedRun(
            1, stop_order.task, stop_order.run, ports.EndCause.STOPPED, ""),))
        groups.pass_time(1.0)
        (move,) = groups.plan_moves()
        self.assertEqual(move.destination_group, "north-2")

    def test_no_more_runs_are_stopped_than_fit(self):
        """Guards against tasks that stop early and then wait."""
        groups = TwoGroups(test_lasting.build_service_step(3), cpu_millis=2000)
        self.assertEqual(len(self.stop_leaving_runs(groups)), 2)

    def test_run_goes_on_while_no_group_has_room(self):
        """Guards against a stop that leaves a task without any run."""
        groups = TwoGroups(test_lasting.build_service_step(), cpu_millis=500)
        self.assertEqual(self.stop_leaving_runs(groups), [])


class RunningJobTest(unittest.TestCase):
    """Tests long-running steps that wait while another step of the job runs."""

    def test_tasks_of_another_step_move_alone(self):
        """Guards against tasks that wait for as long as another step runs."""
        groups = TwoGroups(test_lasting.build_service_step(cpu_millis=3000),
                           test_lasting.build_service_step(2,
                                                           cpu_millis=5000,
                                                           required_label="b"),
                           labels=frozenset({"b"}))
        orders = groups.own.start_all()
        self.assertEqual([order.task.step for order in orders], [0])
        groups.pass_time(1.0, *orders)
        (move,) = groups.plan_moves()
        self.assertEqual(move.task_indexes, (1, 2))
        groups.add(move)
        self.assertEqual([order.task for order in groups.other.start_all()],
                         [model.TaskKey(JOB_ID, 0, 1, i) for i in range(2)])
        self.assertEqual(groups.own.plan_starts(), [])
        job_run = groups.own.scheduler.jobs[JOB_ID]
        self.assertEqual(len(job_run.list_active_runs()), 1)
        self.assertEqual(job_run.steps[0, 1].waiting_indexes, set())

    def test_moved_task_stays_without_labels_of_other_steps(self):
        """Guards against a move back for a label that only other tasks need."""
        groups = TwoGroups(test_lasting.build_service_step(cpu_millis=3000,
                                                           required_label="a"),
                           test_lasting.build_service_step(cpu_millis=5000),
                           labels=frozenset())
        groups.pass_time(1.0, *groups.own.start_all())
        groups.add(*groups.plan_moves())
        scheduler = groups.other.scheduler
        reports = {
            "north-1":
                dispatch.GroupReport(
                    groups.own.scheduler.compute_load(groups.own.now),
                    groups.own.now)
        }
        self.assertEqual(
            scheduler.plan_moves(
                lambda: scheduler.compute_load(groups.other.now), reports,
                groups.other.now), [])
        self.assertEqual(len(groups.other.start_all()), 1)

    def test_task_that_runs_in_another_repetition_stays(self):
        """Guards against two runs of a task, in both groups.

        An assignment does not tell the repetitions of a job apart.
        """
        groups = TwoGroups(test_lasting.build_service_step(cpu_millis=3000),
                           occurrences=2)
        orders = groups.own.start_all()
        self.assertEqual(len(orders), 1)
        groups.pass_time(1.0, *orders)
        self.assertEqual(groups.plan_moves(), [])


class DividedGangTest(unittest.TestCase):
    """Tests a gang whose tasks a stored assignment gives to two groups."""

    def test_gang_does_not_start(self):
        """Guards against two runs of each task of the gang, one in each group.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.put_job(JOB_ID,
                       test_lasting.build_service_step(2, is_gang=True),
                       assignment=("north-1", "north-2"))
        self.assertEqual(driver.plan_starts(), [])


class ReservedCpuTest(unittest.TestCase):
    """Tests the CPU that accepted long-running jobs need in each group."""

    def test_steps_in_different_groups(self):
        """Guards against CPU that counts in all groups of a job."""
        job = builders.build_job(
            JOB_ID, test_lasting.build_service_step(2, cpu_millis=1000),
            test_lasting.build_service_step(cpu_millis=5000))
        self.assertEqual(
            dispatch.sum_long_running_cpu([(job, ("n1", "n2", "n2"))]), {
                "n1": 1000,
                "n2": 6000
            })
