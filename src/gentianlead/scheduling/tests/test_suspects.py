"""Tests of when and where tasks start under which workers have crashed."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_LONE = model.ReleaseReason.LONE_CRASH.value
_SIZE = model.Resources(1000, 1000)
_WORKERS = 3


class SuspectStartTest(unittest.TestCase):
    """Tests the starts of suspects in a domain of three workers."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(_WORKERS)

    def open_job(self, job_id: str, tasks: int = 1, **fields: object) -> None:
        """Opens a job whose tasks need a quarter of a worker."""
        self.domain.open_job(
            model.JobSpec(job_id, tasks=tasks, resources=_SIZE, **fields))

    def make_suspects(self, tasks: int = 1) -> list[scheduling.PlannedStart]:
        """Starts tasks of a job whose workers then crash."""
        self.open_job("suspect", tasks)
        starts = self.domain.start_tasks()
        for start in starts:
            self.domain.release_run(start, _LONE)
        return starts

    def start_tasks_for(self, seconds: int) -> list[scheduling.PlannedStart]:
        """Starts tasks each second and returns their starts."""
        starts = []
        for _ in range(seconds):
            self.domain.now += 1.0
            starts += self.domain.start_tasks()
        return starts

    def test_suspect_starts_alone_after_a_delay(self) -> None:
        """Guards against a suspect that harms other runs.

        It must start on a worker that it has not crashed, and nothing else
        there for some time.
        """
        crashed_start, = self.make_suspects()
        self.assertEqual(self.start_tasks_for(4), [])
        start, = self.start_tasks_for(2)
        self.assertTrue(start.is_suspect)
        self.assertNotEqual(start.worker, crashed_start.worker)
        self.open_job("other", 12)
        other_workers = [start.worker for start in self.start_tasks_for(4)]
        self.assertEqual(len(other_workers), 8)
        self.assertNotIn(start.worker, other_workers)
        later_starts = self.start_tasks_for(5)
        self.assertEqual({start.worker for start in later_starts},
                         {start.worker})

    def test_suspects_start_one_by_one(self) -> None:
        """Guards against suspects whose crashes cannot be told apart."""
        self.make_suspects(3)
        starts = []
        for _ in range(100):
            new_starts = self.start_tasks_for(1)
            self.assertLessEqual(len(new_starts), 1)
            starts += [(self.domain.now, start) for start in new_starts]
        self.assertEqual(sorted(start.task for _, start in starts), [0, 1, 2])
        for (earlier, _), (later, _) in zip(starts, starts[1:]):
            self.assertGreaterEqual(later - earlier, 6.0)

    def test_full_domain(self) -> None:
        """Guards against a suspect that never finds a worker without runs.

        The queue would use all capacity that becomes free.
        """
        self.make_suspects()
        self.open_job("other", 1000)
        runs = self.domain.start_tasks()
        for _ in range(30):
            self.domain.now += 1.0
            for run in runs[:1]:
                self.domain.finish_run(run)
            runs = runs[1:]
            new_starts = self.domain.start_tasks()
            suspects = [start for start in new_starts if start.is_suspect]
            if suspects:
                worker = self.domain.state_machine.workers[suspects[0].worker]
                self.assertEqual(len(worker.runs), 1)
                return
            runs += new_starts
        self.fail("the suspect did not start")

    def test_lasting_runs_everywhere(self) -> None:
        """Guards against a suspect that waits for runs that never end."""
        self.make_suspects()
        for index in range(_WORKERS):
            self.open_job(f"watcher-{index}", kind=model.JobKind.WATCHER.value)
        watchers = self.domain.start_tasks()
        self.assertEqual(len({start.worker for start in watchers}), _WORKERS)
        start, = self.start_tasks_for(70)
        self.assertTrue(start.is_suspect)

    def test_given_up_task(self) -> None:
        """Guards against the start of a task that was given up.

        All workers must be usable again, and the reason must name them.
        """
        crashed_start, = self.make_suspects()
        workers = [crashed_start.worker]
        for _ in range(2):
            start, = self.start_tasks_for(30)
            self.domain.release_run(start, _LONE)
            workers.append(start.worker)
        self.assertEqual(len(set(workers)), 3)
        self.assertEqual(self.start_tasks_for(200), [])
        reason = self.domain.scheduler.explain_job("suspect")
        self.assertIs(reason.code, scheduling.WaitCode.GIVEN_UP)
        self.assertIn(", ".join(workers), reason.message)
        self.open_job("other", 100)
        self.assertEqual(len(self.start_tasks_for(1)), 12)

    def test_explanation_of_a_waiting_suspect(self) -> None:
        """Guards against a suspect that waits without a reason."""
        self.make_suspects()
        self.assertIs(
            self.domain.scheduler.explain_job("suspect").code,
            scheduling.WaitCode.CRASHED_WORKERS)

    def test_workers_are_usable_after_a_reset(self) -> None:
        """Guards against workers that stay excluded after a snapshot."""
        self.make_suspects(3)
        self.start_tasks_for(8)
        machine = self.domain.state_machine
        machine.load(machine.dump())
        for run in list(machine.runs.values()):
            self.domain.append_record(
                model.TaskFinished(run.job_id, run.task, run.run,
                                   domains.HOLDER))
        self.domain.append_record(model.JobClosed("suspect", 1, "cancelled"))
        self.open_job("other", 100)
        self.assertEqual(len(self.start_tasks_for(1)), 12)
