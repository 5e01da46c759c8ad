"""Tests of `DomainScheduler`."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_TASK_SIZE = model.Resources(1000, 1000)
_OUT_OF_SERVICE = model.Configuration(
    domains={"domain-1": model.Domain("domain-1", "region-1", False)})


class DomainSchedulerTest(unittest.TestCase):
    """Planned starts, evictions and wait reasons on two workers."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(2)

    def test_planned_claims_count_before_they_are_applied(self) -> None:
        """Guards against planning a task twice and overcommitting workers."""
        self.domain.open_job(
            model.JobSpec("job-1", tasks=20, resources=_TASK_SIZE))
        planned_starts = self.domain.plan(5) + self.domain.plan(5)
        self.assertEqual(sorted(start.task for start in planned_starts),
                         list(range(8)))
        for start in planned_starts:
            claim = start.build_claim("entry-1")
            self.assertTrue(self.domain.append(claim).is_accepted)
        self.assertEqual(self.domain.plan(), [])

    def test_rejected_claim_is_planned_anew(self) -> None:
        """Guards against a task that never starts after a rejected claim."""
        self.domain.open_job(model.JobSpec("job-1", resources=_TASK_SIZE))
        start, = self.domain.plan()
        self.assertEqual(self.domain.plan(), [])
        self.domain.scheduler.discard_claim(start)
        self.assertEqual(self.domain.plan(), [start])

    def test_claim_of_another_daemon_replaces_the_planned_one(self) -> None:
        """Guards against capacity that stays deducted for a planned claim.

        Another daemon claimed the same task first, so that the planned claim
        will be rejected.
        """
        self.domain.open_job(model.JobSpec("job-1", resources=_TASK_SIZE))
        start, = self.domain.plan()
        other_start = start._replace(worker="worker-1")
        self.domain.append(other_start.build_claim("entry-2"))
        self.domain.open_job(
            model.JobSpec("job-2", tasks=9, resources=_TASK_SIZE))
        self.assertEqual(len(self.domain.start()), 7)

    def test_urgent_jobs_start_first(self) -> None:
        """Guards against urgent tasks that wait behind batch tasks."""
        self.domain.open_job(
            model.JobSpec("job-1", tasks=8, resources=_TASK_SIZE))
        self.domain.open_job(
            model.JobSpec("job-2", resources=_TASK_SIZE, is_urgent=True))
        self.assertEqual(self.domain.plan(1)[0].job_id, "job-2")

    def test_standby_scheduler_claims_urgent_work_after_its_wait(self) -> None:
        """Guards against urgent tasks that wait for a failed scheduler."""
        scheduler = self.domain.scheduler
        self.domain.open_job(
            model.JobSpec("job-1", tasks=8, resources=_TASK_SIZE))
        self.domain.start()
        self.domain.open_job(
            model.JobSpec("job-2", resources=_TASK_SIZE, is_urgent=True))
        self.assertEqual(scheduler.plan_urgent_starts(1.4, 9, 1.5), [])
        self.assertEqual(scheduler.plan_urgent_evictions(1.4), [])
        self.assertEqual(scheduler.plan_urgent_starts(1.5, 9, 1.5), [])
        eviction, = scheduler.plan_urgent_evictions(1.5)
        self.domain.append(
            model.TaskReleased(eviction.job_id, eviction.task, eviction.run,
                               "evicted", "", domains.HOLDER))
        start, = scheduler.plan_urgent_starts(1.6, 9, 1.5)
        self.assertEqual(start.job_id, "job-2")

    def test_reset_rebuilds_the_indexes(self) -> None:
        """Guards against outdated claims in indexes after a snapshot load."""
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        self.domain.start(3)
        self.domain.plan(2)
        self.domain.state_machine.load(self.domain.state_machine.dump())
        self.assertEqual(len(self.domain.start()), 5)

    def test_domain_out_of_service_starts_nothing_and_moves_all_runs(
            self) -> None:
        """Guards against work in a domain that is out of service."""
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        started = self.domain.start(3)
        self.domain.scheduler.set_configuration(_OUT_OF_SERVICE)
        self.assertEqual(self.domain.plan(), [])
        evictions = self.domain.evict()
        self.assertCountEqual([eviction.task_key for eviction in evictions],
                              [start.task_key for start in started])
        self.assertEqual({eviction.action for eviction in evictions},
                         {scheduling.EvictionAction.MOVE})
        self.assertEqual(self.domain.evict(), [])

    def test_leaving_worker_gets_no_tasks_and_its_runs_move(self) -> None:
        """Guards against new work on a worker that is leaving."""
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        started = self.domain.start(1)
        self.domain.scheduler.set_leaving_workers({started[0].worker})
        self.assertNotIn(started[0].worker,
                         {start.worker for start in self.domain.plan()})
        self.assertEqual(
            [eviction.task_key for eviction in self.domain.evict()],
            [started[0].task_key])

    def test_wait_reasons_are_explained(self) -> None:
        """Guards against jobs that wait without a correct reason."""
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
        self.domain.start(9)
        self.assertEqual(
            self.domain.scheduler.explain_job("e").code,
            scheduling.WaitCode.NOT_OPEN)
        for spec, expected_code in cases:
            reason = self.domain.scheduler.explain_job(spec.job_id)
            self.assertEqual(reason.code, expected_code, reason)
