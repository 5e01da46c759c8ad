"""Tests of quotas, borrowing and reclaimed capacity."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_TASK_SIZE = model.Resources(1000, 1000)
_CONFIGURATION = model.Configuration(teams={
    name: model.Team(name, _TASK_SIZE.times(4)) for name in ("team-a", "team-b")
})


def _build_spec(job_id: str,
                team: str,
                task_count: int = 8,
                is_urgent: bool = False) -> model.JobSpec:
    return model.JobSpec(job_id,
                         team,
                         tasks=task_count,
                         resources=_TASK_SIZE,
                         is_urgent=is_urgent)


class QuotaTest(unittest.TestCase):
    """Tests starts and evictions for teams with quotas, and cancellation.

    Each of the two teams has half of the domain's capacity as its quota.
    """

    def setUp(self) -> None:
        self.domain = domains.DomainFixture(_CONFIGURATION)
        self.domain.put_workers(2)

    def plan_and_apply_evictions(self) -> list[scheduling.Eviction]:
        """Plans starts and evictions, and ends the runs to evict.

        The planned starts are not applied.
        """
        self.domain.plan_starts()
        evictions = self.domain.plan_evictions()
        for eviction in evictions:
            self.domain.append_record(
                model.TaskReleased(eviction.job_id, eviction.task, eviction.run,
                                   "evicted", "checkpoint-1", domains.HOLDER))
        return evictions

    def test_work_within_quota_starts_before_borrowers(self) -> None:
        """Checks that two teams with equal quotas start equally many tasks.

        The job of one team was opened first and could fill the domain. Guards
        against one team that takes the quota share of another.
        """
        self.domain.open_job(_build_spec("job-1", "team-a"))
        self.domain.open_job(_build_spec("job-2", "team-b"))
        started_jobs = [start.job_id for start in self.domain.start_tasks()]
        self.assertEqual(started_jobs.count("job-1"), 4)
        self.assertEqual(started_jobs.count("job-2"), 4)

    def test_reclaim_waits_and_stops_at_the_share(self) -> None:
        """Checks that just the borrowed capacity is reclaimed, but not at once.

        Guards against evicting runs of a borrowing team without delay, or more
        of them than exceed its quota share.
        """
        self.domain.open_job(_build_spec("job-1", "team-a"))
        self.assertEqual(len(self.domain.start_tasks()), 8)
        self.domain.open_job(_build_spec("job-2", "team-b"))
        self.assertEqual(self.plan_and_apply_evictions(), [])
        evicted_count, started_count = 0, 0
        for _ in range(20):
            self.domain.now += 5.0
            evicted_count += len(self.plan_and_apply_evictions())
            started_count += len(self.domain.start_tasks())
        self.assertEqual(evicted_count, 4)
        running_jobs = [
            run.job_id for run in self.domain.state_machine.runs.values()
        ]
        self.assertEqual(running_jobs.count("job-2"), 4)

    def test_urgent_work_reclaims_at_once(self) -> None:
        """Checks that runs are evicted at once for urgent tasks, which start.

        Guards against urgent tasks that wait for the reclaim delay.
        """
        self.domain.open_job(_build_spec("job-1", "team-a"))
        self.domain.start_tasks()
        self.domain.open_job(_build_spec("job-2", "team-b", 2, is_urgent=True))
        self.assertEqual(
            [eviction.reason for eviction in self.plan_and_apply_evictions()],
            [scheduling.EvictionReason.URGENT_WORK] * 2)
        self.assertEqual([start.job_id for start in self.domain.start_tasks()],
                         ["job-2"] * 2)

    def test_slow_checkpoint_becomes_a_stop(self) -> None:
        """Checks that a move for urgent work becomes a stop after 1.5 s.

        Urgent tasks must start within 3.5 s, which is not checked here. Guards
        against urgent tasks that wait for a slow checkpoint of the run that is
        moved for them.
        """
        self.domain.open_job(_build_spec("job-1", "team-a"))
        self.domain.start_tasks()
        self.domain.open_job(_build_spec("job-2", "team-b", 1, is_urgent=True))
        self.domain.plan_starts()
        move, = self.domain.plan_evictions()
        self.domain.now = 1.6
        stop, = self.domain.plan_evictions()
        self.assertEqual(stop.action, scheduling.EvictionAction.STOP)
        self.assertEqual(stop.task_key, move.task_key)

    def test_reclaimed_capacity_is_reserved_for_its_task(self) -> None:
        """Checks that a large task starts once three runs were evicted for it.

        The runs end one after the other, while small tasks wait too. Guards
        against small tasks that take the capacity reclaimed for the large one.
        """
        self.domain.open_job(_build_spec("job-1", "team-a", 9))
        self.domain.start_tasks()
        self.domain.open_job(
            model.JobSpec("job-2", "team-b", resources=_TASK_SIZE.times(3)))
        self.plan_and_apply_evictions()
        self.domain.now = 16.0
        self.domain.plan_starts()
        evictions = self.domain.plan_evictions()
        self.assertEqual(len(evictions), 3)
        for eviction in evictions:
            self.domain.append_record(
                model.TaskReleased(eviction.job_id, eviction.task, eviction.run,
                                   "evicted", "", domains.HOLDER))
            started_jobs = [start.job_id for start in self.domain.start_tasks()]
        self.assertIn("job-2", started_jobs)

    def test_jobs_that_cannot_run_do_not_block_others(self) -> None:
        """Checks that a job starts although two urgent jobs cannot run.

        No worker is large enough for one of the urgent jobs; it must start when
        a large worker is added. The team of the other one is unknown. No runs
        must be evicted for them.
        """
        self.domain.open_job(
            model.JobSpec("job-1",
                          resources=_TASK_SIZE.times(9),
                          is_urgent=True))
        self.domain.open_job(
            model.JobSpec("job-2",
                          "nobody",
                          resources=_TASK_SIZE,
                          is_urgent=True))
        self.domain.open_job(_build_spec("job-3", "team-a"))
        self.assertEqual({start.job_id for start in self.domain.start_tasks()},
                         {"job-3"})
        self.assertEqual(self.domain.plan_evictions(), [])
        self.domain.append_record(
            model.WorkerPut("worker-9", "rack-9", _TASK_SIZE.times(9)))
        self.assertEqual([start.job_id for start in self.domain.start_tasks()],
                         ["job-1"])

    def test_cancellation_stops_only_the_cancelled_job(self) -> None:
        """Checks that a cancellation stops the four runs of the job, no others.

        A run with a stop order must get no move order when its worker leaves.
        """
        self.domain.open_job(_build_spec("job-1", "team-a"))
        self.domain.open_job(_build_spec("job-2", "team-b"))
        self.domain.start_tasks()
        self.domain.scheduler.cancel_job("job-1")
        evictions = self.domain.plan_evictions()
        self.assertEqual(
            {(eviction.job_id, eviction.action) for eviction in evictions},
            {("job-1", scheduling.EvictionAction.STOP)})
        self.assertEqual(len(evictions), 4)
        self.domain.scheduler.set_leaving_workers(["worker-0"])
        self.assertFalse(
            {eviction.task_key for eviction in self.domain.plan_evictions()} &
            {eviction.task_key for eviction in evictions})
