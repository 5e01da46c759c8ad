"""Tests of the quarantine of workers and of failing jobs."""

import unittest

from gentianlead import model
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_TASK_SIZE = model.Resources(1000, 1000)


class QuarantineTest(unittest.TestCase):
    """Tests which workers are quarantined and which failing jobs are paused."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(6)

    def run_for(self, seconds: int, failing_workers: set[str],
                failing_jobs: set[str]) -> dict[str, int]:
        """Starts up to 12 tasks each second and ends their runs at once.

        Runs of the given workers or jobs fail; all others succeed.

        Returns:
            The number of starts by worker.
        """
        start_counts: dict[str, int] = {}
        for _ in range(seconds):
            self.domain.now += 1.0
            for start in self.domain.start_tasks(12):
                start_counts[start.worker] = start_counts.get(start.worker,
                                                              0) + 1
                if (start.worker in failing_workers or
                        start.job_id in failing_jobs):
                    self.domain.release_run(start, "failed")
                else:
                    self.domain.finish_run(start)
        return start_counts

    def open_jobs(self, *job_ids: str) -> None:
        """Opens jobs with 5000 tasks each."""
        for job_id in job_ids:
            self.domain.open_job(
                model.JobSpec(job_id, tasks=5000, resources=_TASK_SIZE))

    def test_worker_that_fails_everything_gets_few_probes(self) -> None:
        """Checks that a worker on which all runs fail is quarantined.

        It must get fewer than 20 tasks in 200 s, while more than 1500 tasks
        start in total. Guards against a failing worker that gets most tasks:
        its capacity is free again after each quick failure, so that placement
        would choose it again and again.
        """
        for index in range(300):
            self.domain.open_job(
                model.JobSpec(f"job-{index}", tasks=20, resources=_TASK_SIZE))
        start_counts = self.run_for(200, {"worker-0"}, set())
        self.assertEqual(self.domain.scheduler.list_quarantined(), ["worker-0"])
        self.assertLess(start_counts["worker-0"], 20)
        self.assertGreater(sum(start_counts.values()), 1500)

    def test_repaired_worker_returns(self) -> None:
        """Checks that no worker is quarantined 200 s after a fault has ended.

        Guards against a quarantine that outlasts the worker's fault.
        """
        self.open_jobs("job-1", "job-2")
        self.run_for(50, {"worker-0"}, set())
        self.run_for(200, set(), set())
        self.assertEqual(self.domain.scheduler.list_quarantined(), [])

    def test_failing_job_is_reported_and_spares_the_workers(self) -> None:
        """Checks that a failing job is paused and no worker is quarantined.

        The job must be listed as failing and fail fewer than 40 times in 300 s,
        while more than 3000 tasks start in total. Guards against a failing job
        that puts workers in quarantine.
        """
        self.open_jobs("job-1", "job-2")
        start_counts = self.run_for(300, set(), {"job-1"})
        self.assertEqual(self.domain.scheduler.list_quarantined(), [])
        failing_job, = self.domain.scheduler.list_failing_jobs()
        self.assertEqual(failing_job.job_id, "job-1")
        self.assertEqual(
            self.domain.scheduler.explain_job("job-1").code,
            scheduling.WaitCode.FAILS_EVERYWHERE)
        failures = sum(
            self.domain.state_machine.jobs["job-1"].failures.values())
        self.assertLess(failures, 40)
        self.assertGreater(sum(start_counts.values()), 3000)

    def test_workers_in_quarantine_are_limited(self) -> None:
        """Checks that at most two of six workers are quarantined if five fail.

        A fault that makes many workers fail at once is unlikely to be a fault
        of the workers. Guards against losing most workers to quarantine.
        """
        self.open_jobs("job-1", "job-2", "job-3", "job-4")
        self.run_for(60, {f"worker-{index}" for index in range(5)}, set())
        self.assertLessEqual(len(self.domain.scheduler.list_quarantined()), 2)

    def open_small_jobs(self) -> None:
        """Opens more jobs with 20 tasks each than the tests can finish."""
        for index in range(2500):
            self.domain.open_job(
                model.JobSpec(f"job-{index}", tasks=20, resources=_TASK_SIZE))

    def start_lasting_run(self, spec: model.JobSpec) -> str:
        """Starts the only task of a job and returns its worker."""
        self.domain.open_job(spec)
        start, = self.domain.start_tasks()
        return start.worker

    def test_repaired_worker_with_a_lasting_run_returns(self) -> None:
        """Checks that a worker returns although a run there never ends.

        The run began before the quarantine. Guards against a quarantine that
        cannot end, because each probe waits for a worker without runs.
        """
        for kind in model.JobKind:
            with self.subTest(kind=kind):
                self.setUp()
                worker = self.start_lasting_run(
                    model.JobSpec("lasting",
                                  kind=kind.value,
                                  resources=_TASK_SIZE))
                self.open_small_jobs()
                self.run_for(200, {worker}, set())
                self.assertEqual(self.domain.scheduler.list_quarantined(),
                                 [worker])
                self.run_for(400, set(), set())
                self.assertEqual(self.domain.scheduler.list_quarantined(), [])

    def test_lasting_probe_ends_the_quarantine(self) -> None:
        """Checks that a worker returns if the probes there run for very long.

        Guards against a quarantine that lasts as long as a single task runs.
        """
        self.open_small_jobs()
        self.run_for(200, {"worker-0"}, set())
        self.assertEqual(self.domain.scheduler.list_quarantined(), ["worker-0"])
        for _ in range(3000):
            self.domain.now += 1.0
            for start in self.domain.start_tasks(12):
                if start.worker != "worker-0":
                    self.domain.finish_run(start)
        self.assertEqual(self.domain.scheduler.list_quarantined(), [])
