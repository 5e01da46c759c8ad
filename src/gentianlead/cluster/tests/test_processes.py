"""Tests of daemon processes with a simulated store and simulated workers."""

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
JOB_ID = "5c0e7a21d94b36f8"


class ClusterProcessTest(unittest.IsolatedAsyncioTestCase):
    """Runs three daemons and four workers in two failure domains.

    After each test the runs that the workers recorded are checked: no task may
    have had two runs at the same time, or another run after it was done.
    """

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.addCleanup(directory.cleanup)
        worker_places = [
            site_workers.WorkerPlace(f"i-{domain}{worker_number}",
                                     f"north-{domain}")
            for domain in "ab"
            for worker_number in (1, 2)
        ]
        self.site = site_module.Site(pathlib.Path(directory.name), DAEMONS,
                                     worker_places)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        async with asyncio.timeout(15):
            while len(self.site.find_leaders()) < 2:
                await asyncio.sleep(0.05)

    async def asyncTearDown(self) -> None:
        self.assertEqual(site_workers.find_double_runs(self.site.notes), [])

    def list_done_tasks(self) -> list[str]:
        """Returns the tasks of the runs that ended as done, sorted."""
        return sorted(
            note.task for note in self.site.notes if note.cause == "done")

    async def submit(self, daemon_name: str, job_id: str, run_seconds: float,
                     *task_counts: int) -> None:
        """Submits a job, and repeats this while the daemon replies 503."""
        async with asyncio.timeout(15):
            while True:
                reply = await self.site.submit(daemon_name, job_id, run_seconds,
                                               *task_counts)
                if reply.status == 200:
                    return
                self.assertEqual(reply.status, 503)
                self.assertNotEqual(reply.retry_after, "")
                await asyncio.sleep(0.1)

    async def wait_for_runs(self, min_run_count: int) -> None:
        """Waits until the workers have started at least a number of runs."""
        async with asyncio.timeout(10):
            while len(self.site.notes) < min_run_count:
                await asyncio.sleep(0.02)

    async def test_job_runs_to_its_end(self):
        """Checks that both steps of a job run, one after the other.

        All tasks must be done, and the second step must not start before all
        tasks of the first have ended. The state request for an unknown job must
        get status 410.
        """
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

    async def test_job_completes_after_leaders_are_killed(self):
        """Checks that all tasks of a job are done although leaders are killed.

        The daemons that lead the two groups are killed and restarted while the
        tasks of the first step run. Guards against tasks that are lost or run
        twice.
        """
        leaders_by_group = self.site.find_leaders()
        await self.submit("entry-b1", JOB_ID, 1.0, 4, 4)
        await self.wait_for_runs(4)
        for daemon_name in set(leaders_by_group.values()):
            self.site.kill_daemon(daemon_name)
        for daemon_name in set(leaders_by_group.values()):
            self.site.start_daemon(daemon_name)
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 25)
        self.assertEqual(len(self.list_done_tasks()), 8)

    async def test_accepted_job_completes_after_all_daemons_restart(self):
        """Checks that an accepted job is completed after all daemons restart.

        All daemons are killed and restarted right after the acceptance. Guards
        against an accepted job that was only in memory.
        """
        await self.submit("entry-a2", JOB_ID, 0.5, 2, 2)
        for daemon_name in DAEMON_NAMES:
            self.site.kill_daemon(daemon_name)
        for daemon_name in DAEMON_NAMES:
            self.site.start_daemon(daemon_name)
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 25)
        self.assertEqual(len(self.list_done_tasks()), 4)

    async def test_accepted_job_runs_while_store_is_down(self):
        """Checks that a store outage stops new jobs, but not an accepted one.

        While the store is down, a submission must be refused within 1.5 s, and
        the second step of an accepted job must start. When it is available
        again, that job must be completed, and a new job must be accepted.
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
        # The two tasks of the second step must start while the store is down.
        await self.wait_for_runs(4)
        await asyncio.sleep(1.0)
        self.site.store.is_down = False
        await self.site.wait_state(DAEMON_NAMES, JOB_ID, "completed", 10)
        self.assertEqual(len(self.list_done_tasks()), 4)
        await self.submit("entry-b1", "0" * 15 + "2", 0.1, 1)
