"""Tests of the repair of a leader's state from the topic."""

import unittest
from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_audit

TWO_GROUPS = {
    "assignment": ("north-1", test_audit.OTHER_GROUP),
    "assignment_offsets": {
        "north-1": 100,
        test_audit.OTHER_GROUP: 200
    }
}


class LostState:
    """A group of which one thing gets lost, with a job of two tasks.

    Attributes:
        group: The group.
    """

    def __init__(self):
        self.group = test_audit.AuditedGroup()

    def end_second_run(self) -> None:
        """Ends the run of the second task with certainty."""
        group = self.group
        group.driver.apply_status(
            running=(builders.build_active_run(group.orders[0]),),
            ended=(builders.build_ended_run(group.orders[1],
                                            cause=ports.EndCause.STOPPED),))

    def end_all_runs(self) -> None:
        """Ends all runs with certainty."""
        self.group.driver.apply_status(ended=tuple(
            builders.build_ended_run(order, number, ports.EndCause.STOPPED)
            for number, order in enumerate(self.group.orders, 1)))

    def forget_job(self) -> None:
        """Ends all runs and loses the job."""
        self.end_all_runs()
        del self.group.driver.scheduler.jobs[test_audit.JOB_ID]

    def lose_job_with_runs(self) -> None:
        """Loses the job while its runs go on."""
        del self.group.driver.scheduler.jobs[test_audit.JOB_ID]

    def depart_job(self) -> None:
        """Ends all runs and forgets the job as one that has left."""
        self.end_all_runs()
        self.group.driver.scheduler.forget_job(test_audit.JOB_ID)

    def lose_waiting_task(self) -> None:
        """Ends the second run and loses its task."""
        self.end_second_run()
        self.group.step_run.waiting_indexes.clear()

    def lose_task_with_run(self) -> None:
        """Loses a task whose run goes on."""
        del self.group.step_run.active_runs[1]

    def lose_task_of_unknown_run(self) -> None:
        """Loses a task of which the worker reports another run."""
        self.lose_waiting_task()
        late_order = self.group.orders[1]._replace(run=1)
        self.group.driver.apply_status(running=tuple(
            map(builders.build_active_run, (self.group.orders[0], late_order))))

    def miss_move(self) -> None:
        """Misses the record that gives the second task away."""
        self.end_second_run()
        self.group.replace_topic_entry(**TWO_GROUPS)

    def miss_own_move(self) -> None:
        """Misses the record of the pending move of the second task."""
        self.miss_move()
        number = self.group.job.begin_move()
        self.group.replace_topic_entry(last_move_numbers={"north-1": number})

    def miss_departure(self) -> None:
        """Misses the record that gives the whole job away."""
        self.end_all_runs()
        self.group.replace_topic_entry(
            assignment=(test_audit.OTHER_GROUP,),
            assignment_offsets={test_audit.OTHER_GROUP: 200})


APPLIED = dispatch.RepairOutcome.TOPIC_APPLIED
RUNS_EXIST = dispatch.RepairOutcome.RUNS_EXIST
IGNORED = dispatch.RepairOutcome.ASSIGNMENT_IGNORED

CASES: tuple[tuple[Callable[[LostState], None], dispatch.RepairOutcome,
                   set[int] | None], ...] = (
                       (LostState.forget_job, APPLIED, {0, 1}),
                       (LostState.lose_job_with_runs, RUNS_EXIST, None),
                       (LostState.depart_job, IGNORED, None),
                       (LostState.lose_waiting_task, APPLIED, {1}),
                       (LostState.lose_task_with_run, RUNS_EXIST, set()),
                       (LostState.lose_task_of_unknown_run, RUNS_EXIST, set()),
                       (LostState.miss_move, APPLIED, set()),
                       (LostState.miss_own_move, APPLIED, set()),
                       (LostState.miss_departure, APPLIED, None),
                   )
"""What is lost, the outcome of its repair, and the tasks that wait afterwards;
None if the leader does not hold the job then."""


class RepairTest(unittest.TestCase):
    """Tests what may start after a difference was found."""

    def test_outcome_of_each_difference(self):
        """Guards against tasks that never start, and against second runs."""
        for lose, expected_outcome, waiting in CASES:
            with self.subTest(lose=lose.__name__):
                lost = LostState()
                lose(lost)
                group = lost.group
                group.audit_for(3)
                differences = group.audit()
                scheduler = group.driver.scheduler
                outcomes = {
                    dispatch.repair_from_topic(
                        scheduler, dispatch.TopicView(group.topic_jobs, 0.0),
                        difference) for difference in differences
                }
                self.assertEqual(outcomes, {expected_outcome})
                job = scheduler.jobs.get(test_audit.JOB_ID)
                self.assertEqual(job and job.steps[0, 0].waiting_indexes,
                                 waiting)
                self.assertIsNone(job and job.pending_move_number)

    def test_repaired_job_starts_under_unused_numbers(self):
        """Guards against a number that a worker has seen, and refuses."""
        lost = LostState()
        lost.end_second_run()
        (entry,) = lost.group.topic_jobs.values()
        record = lost.group.job.build_progress("north-1", builders.EPOCH)
        lost.end_all_runs()
        lost.group.replace_topic_entry(last_run_number=record.last_run_number)
        del lost.group.driver.scheduler.jobs[entry.job.job_id]
        lost.group.audit_for(3)
        for difference in lost.group.audit():
            dispatch.repair_from_topic(
                lost.group.driver.scheduler,
                dispatch.TopicView(lost.group.topic_jobs, 0.0), difference)
        lost.group.driver.apply_status()
        former_runs = {order.run for order in lost.group.orders}
        new_runs = {order.run for order in lost.group.driver.plan_starts()}
        self.assertEqual(len(new_runs), 2)
        self.assertGreater(min(new_runs), max(former_runs))

    def test_other_kinds_are_only_reported(self):
        """Guards against a repair of what the topic cannot decide."""
        group = test_audit.AuditedGroup()
        group.job.begin_move()
        group.audit_for(5)
        (difference,) = group.audit()
        self.assertIs(
            dispatch.repair_from_topic(
                group.driver.scheduler,
                dispatch.TopicView(group.topic_jobs, 0.0), difference),
            dispatch.RepairOutcome.NOT_REPAIRED)
        self.assertIsNotNone(group.job.pending_move_number)
