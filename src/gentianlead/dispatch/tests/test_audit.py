"""Tests of the audit that compares a leader with topic and workers."""

import unittest
from typing import Callable

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting

JOB_ID = "00000000000000aa"
OTHER_GROUP = "north-2"


class AuditedGroup:
    """A group with one job of two tasks that run, and the topic as read.

    Attributes:
        driver: Driver of the scheduler.
        auditor: The auditor.
        topic_jobs: State of each job in the topic.
        reports: Load reports by group.
        is_topic_read: Whether the topic can be read.
    """

    def __init__(self, step: model.Step | None = None):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.auditor = dispatch.GroupAuditor()
        entry = builders.build_job_entry(
            builders.build_job(JOB_ID, step or builders.build_step(2)))
        self.topic_jobs = {JOB_ID: entry}
        self.reports: dict[str, dispatch.GroupReport] = {}
        self.is_topic_read = True
        self._read_at = self.driver.now
        self.driver.scheduler.put_job(entry)
        self.orders = self.driver.start_all()
        self.apply_status()

    @property
    def job(self) -> dispatch.JobRun:
        """The job as the leader holds it."""
        return self.driver.scheduler.jobs[JOB_ID]

    @property
    def step_run(self):
        """The only step of the job."""
        return self.job.steps[0, 0]

    @property
    def worker(self) -> dispatch.WorkerState:
        """The only worker."""
        return self.driver.scheduler.workers["w1"]

    def apply_status(self) -> None:
        """Applies a status report that lists all runs of the job."""
        self.driver.apply_status(
            running=tuple(map(builders.build_active_run, self.orders)))

    def replace_topic_entry(self, **fields) -> None:
        """Changes the state of the job in the topic."""
        self.topic_jobs[JOB_ID] = self.topic_jobs[JOB_ID]._replace(**fields)

    def audit(self) -> list[dispatch.Difference]:
        """Audits the group."""
        if self.is_topic_read:
            self._read_at = self.driver.now
        return self.auditor.audit(
            self.driver.scheduler,
            dispatch.TopicView(self.topic_jobs, self._read_at), self.reports,
            self.driver.now, builders.NOW_MS)

    def audit_for(self, seconds: int) -> list[tuple[str, float]]:
        """Audits once a second; returns the kind and age of each difference."""
        found = []
        for _ in range(seconds):
            found += [(difference.kind.value, difference.age_s)
                      for difference in self.audit()]
            self.driver.now += 1.0
        return found


def _lose_job(group: AuditedGroup) -> None:
    del group.driver.scheduler.jobs[JOB_ID]


def _unassign_job(group: AuditedGroup) -> None:
    group.step_run.active_runs.clear()
    group.replace_topic_entry(assignment=(OTHER_GROUP,),
                              assignment_offsets={OTHER_GROUP: 200})


def _remove_job_from_topic(group: AuditedGroup) -> None:
    group.step_run.active_runs.clear()
    group.topic_jobs.clear()


def _miss_move(group: AuditedGroup) -> None:
    group.replace_topic_entry(last_move_numbers={OTHER_GROUP: 7})


def _lose_task(group: AuditedGroup) -> None:
    group.worker.runs.pop((group.orders[1].task, group.orders[1].run))
    del group.step_run.active_runs[1]


def _wait_for_foreign_task(group: AuditedGroup) -> None:
    assignment = ("north-1", OTHER_GROUP)
    entry = group.topic_jobs[JOB_ID]._replace(assignment=assignment,
                                              assignment_offsets={
                                                  "north-1": 100,
                                                  OTHER_GROUP: 200
                                              })
    group.topic_jobs[JOB_ID] = entry
    group.job.entry = entry
    _lose_task(group)
    group.step_run.waiting_indexes.add(1)


def _lose_run_at_worker(group: AuditedGroup) -> None:
    group.worker.runs.clear()


def _lose_worker(group: AuditedGroup) -> None:
    del group.driver.scheduler.workers["w1"]


def _stop_listing_runs(group: AuditedGroup) -> None:
    group.driver.apply_status(may_lack_ends=True)


def _leave_run_starting(group: AuditedGroup) -> None:
    group.step_run.active_runs[0].phase = dispatch.RunPhase.STARTING


def _leave_run_stopping(group: AuditedGroup) -> None:
    group.step_run.active_runs[0].phase = dispatch.RunPhase.STOPPING


def _leave_order_unanswered(group: AuditedGroup) -> None:
    group.step_run.active_runs[0].has_pending_order = True


def _leave_move_pending(group: AuditedGroup) -> None:
    group.job.begin_move()


def _leave_claim_unstored(group: AuditedGroup) -> None:
    suspicion = _suspicions.Suspicion()
    suspicion.claim(9)
    group.step_run.suspicions[0] = suspicion


CASES: tuple[tuple[Callable[[AuditedGroup], None], str, int], ...] = (
    (_lose_job, "job-not-held", 3),
    (_unassign_job, "job-not-assigned", 3),
    (_remove_job_from_topic, "job-not-assigned", 3),
    (_miss_move, "entry-outdated", 3),
    (_lose_task, "task-not-tracked", 3),
    (_wait_for_foreign_task, "task-not-assigned", 3),
    (_lose_run_at_worker, "run-not-at-worker", 6),
    (_lose_worker, "run-not-at-worker", 6),
    (_stop_listing_runs, "run-not-listed", 6),
    (_leave_run_starting, "run-unsettled", 6),
    (_leave_run_stopping, "run-unsettled", 8),
    (_leave_order_unanswered, "order-pending", 3),
    (_leave_move_pending, "move-pending", 5),
    (_leave_claim_unstored, "claim-not-stored", 5),
)
"""How a difference comes about, its kind, and its limit in seconds."""


class GroupAuditorTest(unittest.TestCase):
    """Tests which differences are returned, and when."""

    def test_group_without_differences(self):
        """Guards against lines in calm operation."""
        for step in (builders.build_step(2), builders.build_step(12),
                     test_lasting.build_service_step(2)):
            with self.subTest(step=step):
                self.assertEqual(AuditedGroup(step).audit_for(40), [])

    def test_each_kind_once_it_is_due(self):
        """Guards against a task that stands still without a line."""
        for change, kind, limit_s in CASES:
            with self.subTest(change=change.__name__):
                group = AuditedGroup()
                change(group)
                self.assertEqual(group.audit_for(limit_s), [])
                self.assertEqual(
                    {found_kind for found_kind, _ in group.audit_for(1)},
                    {kind})

    def test_short_difference_begins_anew(self):
        """Guards against a line for several short differences in a row."""
        group = AuditedGroup()
        for _ in range(4):
            _leave_order_unanswered(group)
            self.assertEqual(group.audit_for(3), [])
            group.step_run.active_runs[0].has_pending_order = False
            self.assertEqual(group.audit_for(1), [])

    def test_different_failed_orders_are_no_pending_order(self):
        """Guards against a line for orders that fail in time, in a row."""
        group = AuditedGroup()
        run = group.step_run.active_runs[0]
        run.has_pending_order = True
        for _ in range(10):
            run.stop_retry.failure_count += 1
            self.assertEqual(group.audit_for(1), [])

    def test_unread_topic_shows_no_difference(self):
        """Guards against lines, or repairs, by a topic that was not read."""
        for change, kind, limit_s in CASES:
            if kind.startswith("run-") or kind == "order-pending":
                continue
            with self.subTest(change=change.__name__):
                group = AuditedGroup()
                change(group)
                group.is_topic_read = False
                self.assertEqual(group.audit_for(2 * limit_s), [])

    def test_silent_worker_is_no_difference(self):
        """Guards against lines for runs that wait for the end of a lease."""
        group = AuditedGroup()
        _leave_run_starting(group)
        group.worker.is_reachable = False
        self.assertEqual(group.audit_for(12), [])

    def test_lasting_difference_is_returned_at_doubled_intervals(self):
        """Guards against a log that one lasting difference fills."""
        group = AuditedGroup()
        _miss_move(group)
        self.assertEqual(group.audit_for(60), [
            ("entry-outdated", age_s) for age_s in (3.0, 6.0, 12.0, 24.0, 48.0)
        ])
        self.assertEqual(group.auditor.compute_longest_s(group.driver.now),
                         {dispatch.DifferenceKind.ENTRY_OUTDATED: 60.0})

    def test_difference_shows_both_sides(self):
        """Guards against a line from which the wrong side cannot be told."""
        group = AuditedGroup()
        _lose_task(group)
        group.audit_for(3)
        (difference,) = group.audit()
        self.assertEqual(difference.task, (0, 0, 1))
        self.assertEqual(
            (difference.topic["groups"], difference.topic["assignment_offset"],
             difference.held["waiting"], list(difference.held["running"])),
            (("north-1",), 100, [], [0]))

    def test_run_shows_what_its_worker_reported(self):
        """Guards against a line that hides whether the worker has the run."""
        group = AuditedGroup()
        _stop_listing_runs(group)
        group.audit_for(6)
        difference = group.audit()[0]
        self.assertEqual(
            {
                key: difference.held[key]
                for key in ("worker", "phase", "is_run_at_worker", "is_listed",
                            "status_age_s")
            }, {
                "worker": "w1",
                "phase": "running",
                "is_run_at_worker": True,
                "is_listed": False,
                "status_age_s": 6.0
            })


class LongWaitTest(unittest.TestCase):
    """Tests the reason that is given for a long-running task that waits."""

    def build_report(self,
                     age_s: float = 0.1,
                     **fields) -> dispatch.GroupReport:
        """Builds a report of another group."""
        other = builders.GroupDriver(builders.build_worker(**fields),
                                     group=OTHER_GROUP)
        return dispatch.GroupReport(other.scheduler.compute_load(other.now),
                                    100.0 - age_s)

    def test_reason_of_each_wait(self):
        """Guards against a wait whose cause an operator has to guess."""
        room = self.build_report()
        full = self.build_report(cpu_millis=1000)
        old = self.build_report(age_s=60.0)

        def be_unreconciled(group):
            group.job.is_reconciled = False

        def move(group):
            group.job.begin_move()

        def be_refused(group):
            task = model.TaskKey(JOB_ID, 0, 0, 0)
            group.driver.scheduler.refused_starts[task] = (
                dispatch.RefusedStarts(3, "no-free-capacity", "w1"))

        def be_suspected(group):
            suspicion = _suspicions.Suspicion()
            suspicion.crashes[7] = _suspicions.CrashEvidence.STRONG
            group.step_run.suspicions[0] = suspicion

        def shrink_task(group):
            group.step_run.step = test_lasting.build_service_step()

        def evacuate(group):
            group.driver.scheduler.is_evacuated = True

        def do_nothing(_):
            pass

        for change, report, reason in ((be_unreconciled, room,
                                        "former-runs-unknown"),
                                       (move, room, "move-pending"),
                                       (be_refused, room,
                                        "starts-refused"), (be_suspected, room,
                                                            "suspects"),
                                       (shrink_task, room,
                                        "room-in-group"), (do_nothing, None,
                                                           "no-recent-report"),
                                       (do_nothing, old, "no-recent-report"),
                                       (do_nothing, room,
                                        "room-elsewhere"), (evacuate, room,
                                                            "room-elsewhere"),
                                       (evacuate, full,
                                        "group-unusable"), (do_nothing, full,
                                                            "fits-nowhere")):
            with self.subTest(change=change.__name__, reason=reason):
                group = AuditedGroup(
                    test_lasting.build_service_step(cpu_millis=5000))
                group.orders = []
                group.driver.scheduler.remove_replaced_worker(
                    "w1", group.driver.now)
                group.driver.add_worker(builders.build_worker(cpu_millis=4000))
                group.step_run.suspicions.clear()
                change(group)
                for _ in range(7):
                    group.driver.now += 1.0
                    group.driver.apply_status()
                    if report is not None:
                        age_s = 100.0 - report.reported_at
                        group.reports[OTHER_GROUP] = report._replace(
                            reported_at=group.driver.now - age_s)
                    differences = group.audit()
                (difference,) = [
                    difference for difference in differences
                    if difference.kind is dispatch.DifferenceKind.TASKS_STUCK
                ]
                self.assertEqual(difference.held["reason"], reason)

    def test_wait_is_returned_after_its_limit(self):
        """Guards against a wait above the users' bound without a line."""
        group = AuditedGroup(test_lasting.build_service_step(cpu_millis=11000))
        self.assertEqual(group.audit_for(7), [("tasks-stuck", 6.0)])

    def test_refusals_count_until_the_task_starts(self):
        """Guards against a task that one worker refuses again and again."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.put_job(JOB_ID, test_lasting.build_service_step())
        task = model.TaskKey(JOB_ID, 0, 0, 0)
        for count in (1, 2):
            (order,) = driver.plan_starts()
            driver.apply_start_outcome(order, ports.StartOutcome.UNHEALTHY)
            self.assertEqual(driver.scheduler.refused_starts[task],
                             (count, "unhealthy", "w1"))
            driver.now += 2.0
            driver.apply_status()
        driver.start_all()
        self.assertEqual(driver.scheduler.refused_starts, {})
