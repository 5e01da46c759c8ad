"""Tests of quotas, borrowing and reclaim."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_SIZE = model.Resources(1000, 1000)
_TEAMS = model.Configuration(teams={
    name: model.Team(name, _SIZE.times(4)) for name in ("team-a", "team-b")
})


def _job(job_id: str,
         team: str,
         tasks: int = 8,
         is_urgent: bool = False) -> model.JobSpec:
    return model.JobSpec(job_id,
                         team,
                         tasks=tasks,
                         resources=_SIZE,
                         is_urgent=is_urgent)


class QuotaTest(unittest.TestCase):
    """Two teams with half of the domain each."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture(_TEAMS)
        self.domain.put_workers(2)

    def reclaim(self) -> list[scheduling.Eviction]:
        """Plans starts and evictions, and ends the evicted runs."""
        self.domain.plan()
        evictions = self.domain.evict()
        for eviction in evictions:
            self.domain.append(
                model.TaskReleased(eviction.job_id, eviction.task, eviction.run,
                                   "evicted", "checkpoint-1", domains.HOLDER))
        return evictions

    def test_owed_work_comes_before_borrowers(self) -> None:
        """Guards against one team that fills the domain ahead of others."""
        self.domain.open_job(_job("job-1", "team-a"))
        self.domain.open_job(_job("job-2", "team-b"))
        teams = [start.job_id for start in self.domain.start()]
        self.assertEqual(teams.count("job-1"), 4)
        self.assertEqual(teams.count("job-2"), 4)

    def test_reclaim_waits_and_stops_at_the_share(self) -> None:
        """Guards against early evictions, and against more than is owed."""
        self.domain.open_job(_job("job-1", "team-a"))
        self.assertEqual(len(self.domain.start()), 8)
        self.domain.open_job(_job("job-2", "team-b"))
        self.assertEqual(self.reclaim(), [])
        evicted, started = 0, 0
        for _ in range(20):
            self.domain.now += 5.0
            evicted += len(self.reclaim())
            started += len(self.domain.start())
        self.assertEqual(evicted, 4)
        jobs = [run.job_id for run in self.domain.fold.runs.values()]
        self.assertEqual(jobs.count("job-2"), 4)

    def test_urgent_work_reclaims_at_once(self) -> None:
        """Guards against urgent work that waits for the grace period."""
        self.domain.open_job(_job("job-1", "team-a"))
        self.domain.start()
        self.domain.open_job(_job("job-2", "team-b", 2, is_urgent=True))
        self.assertEqual([eviction.reason for eviction in self.reclaim()],
                         [scheduling.EvictionReason.URGENT_WORK] * 2)
        self.assertEqual([start.job_id for start in self.domain.start()],
                         ["job-2"] * 2)

    def test_slow_checkpoint_becomes_a_stop(self) -> None:
        """Guards against urgent work that misses 3.5 s for a checkpoint."""
        self.domain.open_job(_job("job-1", "team-a"))
        self.domain.start()
        self.domain.open_job(_job("job-2", "team-b", 1, is_urgent=True))
        self.domain.plan()
        move, = self.domain.evict()
        self.domain.now = 1.6
        stop, = self.domain.evict()
        self.assertEqual(stop.action, scheduling.EvictionAction.STOP)
        self.assertEqual(stop.task_key, move.task_key)

    def test_reclaimed_room_is_kept_for_its_task(self) -> None:
        """Guards against small tasks that take the room of a large one."""
        self.domain.open_job(_job("job-1", "team-a", 9))
        self.domain.start()
        self.domain.open_job(
            model.JobSpec("job-2", "team-b", resources=_SIZE.times(3)))
        self.reclaim()
        self.domain.now = 16.0
        self.domain.plan()
        evictions = self.domain.evict()
        self.assertEqual(len(evictions), 3)
        for eviction in evictions:
            self.domain.append(
                model.TaskReleased(eviction.job_id, eviction.task, eviction.run,
                                   "evicted", "", domains.HOLDER))
            started = [start.job_id for start in self.domain.start()]
        self.assertIn("job-2", started)

    def test_jobs_that_never_run_block_nobody(self) -> None:
        """Guards against a queue behind a job that no worker can hold."""
        self.domain.open_job(
            model.JobSpec("job-1", resources=_SIZE.times(9), is_urgent=True))
        self.domain.open_job(
            model.JobSpec("job-2", "nobody", resources=_SIZE, is_urgent=True))
        self.domain.open_job(_job("job-3", "team-a"))
        self.assertEqual({start.job_id for start in self.domain.start()},
                         {"job-3"})
        self.assertEqual(self.domain.evict(), [])
        self.domain.append(model.WorkerPut("worker-9", "rack-9",
                                           _SIZE.times(9)))
        self.assertEqual([start.job_id for start in self.domain.start()],
                         ["job-1"])

    def test_cancellation_stops_only_what_it_cancels(self) -> None:
        """Guards against cancelled tasks that start or go on."""
        self.domain.open_job(_job("job-1", "team-a"))
        self.domain.open_job(_job("job-2", "team-b"))
        self.domain.start()
        self.domain.scheduler.cancel_job("job-1")
        evictions = self.domain.evict()
        self.assertEqual({(e.job_id, e.action) for e in evictions},
                         {("job-1", scheduling.EvictionAction.STOP)})
        self.assertEqual(len(evictions), 4)
        self.domain.scheduler.set_leaving_workers(["worker-0"])
        self.assertFalse({e.task_key for e in self.domain.evict()} &
                         {e.task_key for e in evictions})
