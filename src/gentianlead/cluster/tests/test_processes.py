"""Tests of daemon processes with stand-ins for the store and the workers."""

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
DAEMON_NAMES = [place.name for place in DAEMONS]
JOB_ID = "5c0e7a21d94b36f8"


class ClusterProcessTest(unittest.IsolatedAsyncioTestCase):
    """Runs three daemons and four workers in two failure domains.

    After each test the runs that the workers recorded are checked: no task had
    two runs at the same time, or a run after it was done.
    """

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.addCleanup(directory.cleanup)
        workers = [
            site_workers.WorkerPlace(f"i-{domain}{number}", f"north-{domain}")
            for domain in "ab"
            for number in (1, 2)
        ]
        self.site = site_module.Site(pathlib.Path(directory.name), DAEMONS,
                                     workers)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        async with asyncio.timeout(15):
            while len(self.site.find_leaders()) < 2:
                await asyncio.sleep(0.05)

    async def asyncTearDown(self) -> None:
        self.assertEqual(site_workers.find_double_runs(self.site.notes), [])

    def list_done_tasks(self) -> list[str]:
        """Returns the sorted tasks that the workers recorded as done."""
        return sorted(
            note.task for note in self.site.notes if note.cause == "done")

    async def submit(self, name: str, job_id: str, seconds: float, *counts:
                     int) -> None:
        """Submits a job, and again while the daemon replies 503."""
        async with asyncio.timeout(15):
            while True:
                reply = await self.site.submit(name, job_id, seconds, *counts)
                if reply.status == 200:
                    return
                self.assertEqual(reply.status, 503)
                self.assertNotEqual(reply.retry_after, "")
                await asyncio.sleep(0.1)

    async def wait_for_runs(self, count: int) -> None:
        """Waits until the workers have started a number of runs."""
        async with asyncio.timeout(10):
            while len(self.site.notes) < count:
                await asyncio.sleep(0.02)

    async def test_job_runs_to_its_end(self):
        """Guards against a failure between submission and completion."""
        await self.submit("entry-b1", JOB_ID, 0.2, 3, 2)
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 10)
        self.assertEqual(self.list_done_tasks(), [
            f"{JOB_ID}.0.0.0", f"{JOB_ID}.0.0.1", f"{JOB_ID}.0.0.2",
            f"{JOB_ID}.0.1.0", f"{JOB_ID}.0.1.1"
        ])
        last_end_of_first_step = max(note.ended_at
                                     for note in self.site.notes
                                     if note.task.startswith(f"{JOB_ID}.0.0."))
        first_start_of_second_step = min(
            note.began_at
            for note in self.site.notes
            if note.task.startswith(f"{JOB_ID}.0.1."))
        self.assertGreaterEqual(first_start_of_second_step,
                                last_end_of_first_step)
        unknown_job_reply = await self.site.call("entry-a1", "GET", "0" * 16)
        self.assertEqual(unknown_job_reply.status, 410)

    async def test_leader_is_killed(self):
        """Guards against tasks lost or run twice when leaders are killed."""
        leaders = self.site.find_leaders()
        await self.submit("entry-b1", JOB_ID, 1.0, 4, 4)
        await self.wait_for_runs(4)
        for name in set(leaders.values()):
            self.site.kill_daemon(name)
        for name in set(leaders.values()):
            self.site.start_daemon(name)
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 25)
        self.assertEqual(len(self.list_done_tasks()), 8)

    async def test_all_daemons_are_killed_after_an_acceptance(self):
        """Guards against an accepted job that was only in memory.

        All daemons are killed right after the acceptance.
        """
        await self.submit("entry-a2", JOB_ID, 0.5, 2, 2)
        for name in DAEMON_NAMES:
            self.site.kill_daemon(name)
        for name in DAEMON_NAMES:
            self.site.start_daemon(name)
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 25)
        self.assertEqual(len(self.list_done_tasks()), 4)

    async def test_store_is_down(self):
        """Guards against two faults while the store is down.

        Accepted work must continue, and submissions must be refused quickly.
        """
        await self.submit("entry-a1", JOB_ID, 1.5, 2, 2)
        await self.wait_for_runs(2)
        self.site.store.is_down = True
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        refused_reply = await self.site.submit("entry-b1", "0" * 15 + "1", 0.1,
                                               1)
        self.assertEqual(refused_reply.status, 503)
        self.assertNotEqual(refused_reply.retry_after, "")
        self.assertLess(time.monotonic() - started_at, 1.5)
        # The next step starts while the store is down.
        await self.wait_for_runs(4)
        await asyncio.sleep(1.0)
        self.site.store.is_down = False
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 10)
        self.assertEqual(len(self.list_done_tasks()), 4)
        await self.submit("entry-b1", "0" * 15 + "2", 0.1, 1)
