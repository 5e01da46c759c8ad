"""Tests of tasks that crash each worker, with daemon processes."""

import asyncio
import pathlib
import tempfile
import time
import unittest

from standins import site as site_module
from standins import site_workers

DAEMONS = (site_module.DaemonPlace("entry-a1", "north-a"),
           site_module.DaemonPlace("entry-a2", "north-a"),
           site_module.DaemonPlace("entry-b1", "north-b"))
DAEMON_NAMES = [daemon.name for daemon in DAEMONS]
CRASHING_JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "5c0e7a21d94b36f9"
CRASHING_TASK = f"{CRASHING_JOB_ID}.0.0.1"

MAX_STARTS = 5
"""Starts of a task before users call it a broken promise: three that crash
three workers, and two more."""


class CrashingTaskTest(unittest.IsolatedAsyncioTestCase):
    """Runs three daemons and six workers; one task crashes each worker."""

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.addCleanup(directory.cleanup)
        worker_places = [
            site_workers.WorkerPlace(f"i-{domain}{worker_number}",
                                     f"north-{domain}")
            for domain in "ab"
            for worker_number in (1, 2, 3)
        ]
        self.domain_by_worker = {
            place.worker_id: place.domain for place in worker_places
        }
        self.site = site_module.Site(pathlib.Path(directory.name), DAEMONS,
                                     worker_places)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        async with asyncio.timeout(15):
            while len(self.site.find_leaders()) < 2:
                await asyncio.sleep(0.05)

    def count_crashing_starts(self) -> int:
        """Returns how often the crashing task was started."""
        return sum(note.task == CRASHING_TASK for note in self.site.notes)

    async def submit(
        self,
        job_id: str,
        run_seconds: float,
        task_count: int,
        crashing_tasks: tuple[str, ...] = ()) -> None:
        """Submits a job, and repeats this until it is accepted."""
        async with asyncio.timeout(15):
            while (await self.site.submit(
                    "entry-b1",
                    job_id,
                    run_seconds,
                    task_count,
                    crashing_tasks=crashing_tasks)).status != 200:
                await asyncio.sleep(0.1)

    async def wait_for_failure(self, max_starts: int, seconds: float) -> None:
        """Waits until the job is shown as failed, and checks the starts."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.assertLessEqual(self.count_crashing_starts(), max_starts)
            try:
                await self.site.wait_state(list(self.site.daemons),
                                           CRASHING_JOB_ID, "failed", 0.2)
                break
            except TimeoutError:
                pass
        else:
            self.fail(f"not failed after {self.count_crashing_starts()} starts")
        await asyncio.sleep(3.0)
        self.assertLessEqual(self.count_crashing_starts(), max_starts)

    async def test_job_fails_after_few_crashes(self):
        """Guards against a task that crashes worker after worker for ever."""
        await self.submit(CRASHING_JOB_ID, 0.3, 3, ("0.0.1",))
        await self.submit(OTHER_JOB_ID, 0.5, 6)
        await self.wait_for_failure(MAX_STARTS, 40)
        await self.site.wait_state(DAEMON_NAMES, OTHER_JOB_ID, "completed", 20)

    async def test_count_outlives_leaders_that_die_after_the_order(self):
        """Guards against crashes that are forgotten with the leader's memory.

        The leader of the worker's group is killed as soon as the worker has
        crashed, for the first two crashes.
        """
        await self.submit(CRASHING_JOB_ID, 0.3, 2, ("0.0.1",))
        for start_count in (1, 2):
            async with asyncio.timeout(25):
                while self.count_crashing_starts() < start_count:
                    await asyncio.sleep(0.001)
            note = [
                note for note in self.site.notes if note.task == CRASHING_TASK
            ][start_count - 1]
            leader = self.site.find_leaders()[self.domain_by_worker[
                note.worker_id]]
            if leader in self.site.daemons:
                self.site.kill_daemon(leader)
                self.site.start_daemon(leader)
        await self.wait_for_failure(MAX_STARTS, 60)

    async def test_workers_that_crash_together_blame_no_task(self):
        """Guards against healthy tasks that are given up for losses of power.

        All workers of a domain crash twice, each time soon after the starts.
        """
        await self.submit(OTHER_JOB_ID, 2.0, 12)
        for _ in range(2):
            async with asyncio.timeout(20):
                while not (active_notes := [
                        note for note in self.site.notes if not note.cause
                ]):
                    await asyncio.sleep(0.02)
            domain = self.domain_by_worker[active_notes[0].worker_id]
            for worker in self.site.workers:
                if worker.place.domain == domain:
                    worker.crash()
        await self.site.wait_state(DAEMON_NAMES, OTHER_JOB_ID, "completed", 60)
        self.assertEqual(site_workers.find_double_runs(self.site.notes), [])
