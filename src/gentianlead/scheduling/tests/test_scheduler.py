"""Tests of `DomainScheduler`."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_TASK_SIZE = model.Resources(1000, 1000)
_OUT_OF_SERVICE = model.Configuration(
    domains={"domain-1": model.Domain("domain-1", "region-1", False)})


class DomainSchedulerTest(unittest.TestCase):
    """Planned starts, evictions and wait reasons in a domain of two workers."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(2)

    def test_planned_claims_count_before_they_are_applied(self) -> None:
        """Checks that two plans in a row use no task or capacity twice.

        The workers hold eight tasks, so that eight different ones must be
        planned, and no further one once their claims are applied.
        """
        self.domain.open_job(
            model.JobSpec("job-1", tasks=20, resources=_TASK_SIZE))
        planned_starts = self.domain.plan_starts(5) + self.domain.plan_starts(5)
        self.assertEqual(sorted(start.task for start in planned_starts),
                         list(range(8)))
        for start in planned_starts:
            claim = start.build_claim("entry-1")
            self.assertTrue(self.domain.append_record(claim).is_accepted)
        self.assertEqual(self.domain.plan_starts(), [])

    def test_rejected_claim_is_planned_anew(self) -> None:
        """Checks that a start is planned again after its claim was discarded.

        Guards against a task that never starts after a rejected claim.
        """
        self.domain.open_job(model.JobSpec("job-1", resources=_TASK_SIZE))
        start, = self.domain.plan_starts()
        self.assertEqual(self.domain.plan_starts(), [])
        self.domain.scheduler.discard_claim(start)
        self.assertEqual(self.domain.plan_starts(), [start])

    def test_claim_of_another_daemon_replaces_the_planned_one(self) -> None:
        """Checks that a planned start counts no more once its task is claimed.

        Another daemon has claimed the task first, on another worker. The other
        seven of eight tasks that the workers hold must then start. Guards
        against capacity that stays deducted for the planned start.
        """
        self.domain.open_job(model.JobSpec("job-1", resources=_TASK_SIZE))
        start, = self.domain.plan_starts()
        other_start = start._replace(worker="worker-1")
        self.domain.append_record(other_start.build_claim("entry-2"))
        self.domain.open_job(
            model.JobSpec("job-2", tasks=9, resources=_TASK_SIZE))
        self.assertEqual(len(self.domain.start_tasks()), 7)

    def test_urgent_jobs_start_first(self) -> None:
        """Checks that an urgent task starts before batch tasks.

        The batch job was opened earlier.
        """
        self.domain.open_job(
            model.JobSpec("job-1", tasks=8, resources=_TASK_SIZE))
        self.domain.open_job(
            model.JobSpec("job-2", resources=_TASK_SIZE, is_urgent=True))
        self.assertEqual(self.domain.plan_starts(1)[0].job_id, "job-2")

    def test_standby_scheduler_claims_urgent_work_after_its_wait(self) -> None:
        """Checks the urgent starts and evictions that a standby plans.

        After the minimum wait of 1.5 s, a run must be evicted for the urgent
        task, which then starts. Before that, neither must happen. Guards
        against urgent tasks that wait for a failed scheduler.
        """
        scheduler = self.domain.scheduler
        self.domain.open_job(
            model.JobSpec("job-1", tasks=8, resources=_TASK_SIZE))
        self.domain.start_tasks()
        self.domain.open_job(
            model.JobSpec("job-2", resources=_TASK_SIZE, is_urgent=True))
        self.assertEqual(scheduler.plan_urgent_starts(1.4, 9, 1.5), [])
        self.assertEqual(scheduler.plan_urgent_evictions(1.4), [])
        self.assertEqual(scheduler.plan_urgent_starts(1.5, 9, 1.5), [])
        eviction, = scheduler.plan_urgent_evictions(1.5)
        self.domain.append_record(
            model.TaskReleased(eviction.job_id, eviction.task, eviction.run,
                               "evicted", "", domains.HOLDER))
        start, = scheduler.plan_urgent_starts(1.6, 9, 1.5)
        self.assertEqual(start.job_id, "job-2")

    def test_reset_rebuilds_the_indexes(self) -> None:
        """Checks that planned starts do not count after a snapshot is loaded.

        The applied claims still count. Guards against outdated claims in the
        indexes.
        """
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        self.domain.start_tasks(3)
        self.domain.plan_starts(2)
        self.domain.state_machine.load(self.domain.state_machine.dump())
        self.assertEqual(len(self.domain.start_tasks()), 5)

    def test_domain_out_of_service_starts_nothing_and_moves_all_runs(
            self) -> None:
        """Checks that a domain out of service plans only moves of all its runs.

        Each move order must be planned once, even if planning is repeated.
        """
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        applied_starts = self.domain.start_tasks(3)
        self.domain.scheduler.set_configuration(_OUT_OF_SERVICE)
        self.assertEqual(self.domain.plan_starts(), [])
        evictions = self.domain.plan_evictions()
        self.assertCountEqual([eviction.task_key for eviction in evictions],
                              [start.task_key for start in applied_starts])
        self.assertEqual({eviction.action for eviction in evictions},
                         {scheduling.EvictionAction.MOVE})
        self.assertEqual(self.domain.plan_evictions(), [])

    def test_leaving_worker_gets_no_tasks_and_its_runs_move(self) -> None:
        """Checks that a leaving worker gets no tasks and its run an order."""
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        applied_starts = self.domain.start_tasks(1)
        self.domain.scheduler.set_leaving_workers({applied_starts[0].worker})
        self.assertNotIn(applied_starts[0].worker,
                         {start.worker for start in self.domain.plan_starts()})
        self.assertEqual(
            [eviction.task_key for eviction in self.domain.plan_evictions()],
            [applied_starts[0].task_key])

    def test_wait_reasons_are_explained(self) -> None:
        """Checks the wait code of four open jobs and of one that is not open.

        One of the open jobs has started all its tasks, the others wait.
        """
        cases = [
            (model.JobSpec("d", resources=model.Resources(1, 1)),
             scheduling.WaitCode.NOTHING_WAITS),
            (model.JobSpec("a", resources=model.Resources(9000, 1)),
             scheduling.WaitCode.TOO_LARGE),
            (model.JobSpec("b", team="nobody", resources=_TASK_SIZE),
             scheduling.WaitCode.UNKNOWN_TEAM),
            (model.JobSpec("c", tasks=9, resources=_TASK_SIZE),
             scheduling.WaitCode.NO_CAPACITY),
        ]
        for spec, _ in cases:
            self.domain.open_job(spec)
        self.domain.start_tasks(9)
        self.assertEqual(
            self.domain.scheduler.explain_job("e").code,
            scheduling.WaitCode.NOT_OPEN)
        for spec, expected_code in cases:
            reason = self.domain.scheduler.explain_job(spec.job_id)
            self.assertEqual(reason.code, expected_code, reason)
