"""Tests of the scheduler's facade."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_SIZE = model.Resources(1000, 1000)
_OUT = model.Configuration(
    domains={"domain-1": model.Domain("domain-1", "region-1", False)})


class DomainSchedulerTest(unittest.TestCase):
    """Starts, own claims, evictions and explanations."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(2)

    def test_own_claims_count_before_they_are_folded(self) -> None:
        """Guards against planning a task twice and against overcommitment."""
        self.domain.open_job(model.JobSpec("job-1", tasks=20, resources=_SIZE))
        planned = self.domain.plan(5) + self.domain.plan(5)
        self.assertEqual(sorted(start.task for start in planned),
                         list(range(8)))
        for start in planned:
            claim = start.build_claim("entry-1")
            self.assertTrue(self.domain.append(claim).is_accepted)
        self.assertEqual(self.domain.plan(), [])

    def test_rejected_claim_is_planned_anew(self) -> None:
        """Guards against a task that is lost after its claim was rejected."""
        self.domain.open_job(model.JobSpec("job-1", resources=_SIZE))
        first, = self.domain.plan()
        self.assertEqual(self.domain.plan(), [])
        self.domain.scheduler.discard_claim(first)
        self.assertEqual(self.domain.plan(), [first])

    def test_claim_of_another_daemon_ends_the_own_one(self) -> None:
        """Guards against capacity that stays deducted for a lost race."""
        self.domain.open_job(model.JobSpec("job-1", resources=_SIZE))
        start, = self.domain.plan()
        other = start._replace(worker="worker-1")
        self.domain.append(other.build_claim("entry-2"))
        self.domain.open_job(model.JobSpec("job-2", tasks=9, resources=_SIZE))
        self.assertEqual(len(self.domain.start()), 7)

    def test_urgent_jobs_start_first(self) -> None:
        """Guards against urgent work that queues behind batch work."""
        self.domain.open_job(model.JobSpec("job-1", tasks=8, resources=_SIZE))
        self.domain.open_job(
            model.JobSpec("job-2", resources=_SIZE, is_urgent=True))
        self.assertEqual(self.domain.plan(1)[0].job_id, "job-2")

    def test_stand_by_claims_urgent_work_after_its_wait(self) -> None:
        """Guards against urgent work that waits for a dead scheduler."""
        scheduler = self.domain.scheduler
        self.domain.open_job(model.JobSpec("job-1", tasks=8, resources=_SIZE))
        self.domain.start()
        self.domain.open_job(
            model.JobSpec("job-2", resources=_SIZE, is_urgent=True))
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
        """Guards against stale claims after a snapshot was loaded."""
        self.domain.open_job(model.JobSpec("job-1", tasks=9, resources=_SIZE))
        self.domain.start(3)
        self.domain.plan(2)
        self.domain.fold.load(self.domain.fold.dump())
        self.assertEqual(len(self.domain.start()), 5)

    def test_domain_out_starts_nothing_and_moves_everything(self) -> None:
        """Guards against work in a domain that operators took out."""
        self.domain.open_job(model.JobSpec("job-1", tasks=9, resources=_SIZE))
        started = self.domain.start(3)
        self.domain.scheduler.set_configuration(_OUT)
        self.assertEqual(self.domain.plan(), [])
        evictions = self.domain.evict()
        self.assertCountEqual([e.task_key for e in evictions],
                              [start.task_key for start in started])
        self.assertEqual({e.action for e in evictions},
                         {scheduling.EvictionAction.MOVE})
        self.assertEqual(self.domain.evict(), [])

    def test_leaving_worker_gets_nothing_and_is_emptied(self) -> None:
        """Guards against new work on a worker that is leaving."""
        self.domain.open_job(model.JobSpec("job-1", tasks=9, resources=_SIZE))
        started = self.domain.start(1)
        self.domain.scheduler.set_leaving_workers({started[0].worker})
        self.assertNotIn(started[0].worker,
                         {start.worker for start in self.domain.plan()})
        self.assertEqual([e.task_key for e in self.domain.evict()],
                         [started[0].task_key])

    def test_waiting_is_explained(self) -> None:
        """Guards against jobs that wait without a stated reason."""
        cases = [
            (model.JobSpec("d", resources=model.Resources(1, 1)),
             scheduling.WaitCode.NOTHING_WAITS),
            (model.JobSpec("a", resources=model.Resources(9000, 1)),
             scheduling.WaitCode.TOO_LARGE),
            (model.JobSpec("b", team="nobody",
                           resources=_SIZE), scheduling.WaitCode.UNKNOWN_TEAM),
            (model.JobSpec("c", tasks=9,
                           resources=_SIZE), scheduling.WaitCode.NO_CAPACITY),
        ]
        for spec, _ in cases:
            self.domain.open_job(spec)
        self.domain.start(9)
        self.assertEqual(
            self.domain.scheduler.explain_job("e").code,
            scheduling.WaitCode.NOT_OPEN)
        for spec, code in cases:
            reason = self.domain.scheduler.explain_job(spec.job_id)
            self.assertEqual(reason.code, code, reason)
