"""Tests of the daemon as processes, on stand-ins for the store and workers."""

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
NAMES = [place.name for place in DAEMONS]
JOB = "5c0e7a21d94b36f8"


class ClusterProcessTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons and four workers in two failure domains.

    After each test the workers' notes are checked: no task had two runs at the
    same time, or one after it was done.
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

    def list_done(self) -> list[str]:
        """Returns the tasks that are done, as the workers noted them."""
        return sorted(
            note.task for note in self.site.notes if note.cause == "done")

    async def submit(self, name: str, job_id: str, seconds: float, *counts:
                     int) -> None:
        """Submits a job until it is accepted: a group may still start."""
        async with asyncio.timeout(15):
            while True:
                reply = await self.site.submit(name, job_id, seconds, *counts)
                if reply.status == 200:
                    return
                self.assertEqual(reply.status, 503)
                self.assertNotEqual(reply.retry_after, "")
                await asyncio.sleep(0.1)

    async def wait_runs(self, count: int) -> None:
        """Waits until workers have begun some runs."""
        async with asyncio.timeout(10):
            while len(self.site.notes) < count:
                await asyncio.sleep(0.02)

    async def test_job_runs_to_its_end(self):
        """Guards against a path that only works in parts."""
        await self.submit("entry-b1", JOB, 0.2, 3, 2)
        await self.site.wait_state(NAMES, JOB, "completed", 10)
        self.assertEqual(self.list_done(), [
            f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.0.2", f"{JOB}.0.1.0",
            f"{JOB}.0.1.1"
        ])
        first_end = max(note.ended_at
                        for note in self.site.notes
                        if note.task.startswith(f"{JOB}.0.0."))
        second_start = min(note.began_at
                           for note in self.site.notes
                           if note.task.startswith(f"{JOB}.0.1."))
        self.assertGreaterEqual(second_start, first_end)
        unknown = await self.site.call("entry-a1", "GET", "0" * 16)
        self.assertEqual(unknown.status, 410)

    async def test_leader_is_killed(self):
        """Guards against tasks that are lost, or run twice, in a takeover."""
        leaders = self.site.find_leaders()
        await self.submit("entry-b1", JOB, 1.0, 4, 4)
        await self.wait_runs(4)
        for name in set(leaders.values()):
            self.site.kill_daemon(name)
        for name in set(leaders.values()):
            self.site.start_daemon(name)
        await self.site.wait_state(NAMES, JOB, "completed", 25)
        self.assertEqual(len(self.list_done()), 8)

    async def test_all_daemons_are_killed_after_an_acceptance(self):
        """Guards against an accepted job that only a process knew."""
        await self.submit("entry-a2", JOB, 0.5, 2, 2)
        for name in NAMES:
            self.site.kill_daemon(name)
        for name in NAMES:
            self.site.start_daemon(name)
        await self.site.wait_state(NAMES, JOB, "completed", 25)
        self.assertEqual(len(self.list_done()), 4)

    async def test_store_is_away(self):
        """Guards against accepted work that stops, and refusals that wait."""
        await self.submit("entry-a1", JOB, 1.5, 2, 2)
        await self.wait_runs(2)
        self.site.store.is_down = True
        await asyncio.sleep(1.0)
        began = time.monotonic()
        refused = await self.site.submit("entry-b1", "0" * 15 + "1", 0.1, 1)
        self.assertEqual(refused.status, 503)
        self.assertNotEqual(refused.retry_after, "")
        self.assertLess(time.monotonic() - began, 1.5)
        # The next step starts while the store is away.
        await self.wait_runs(4)
        await asyncio.sleep(1.0)
        self.site.store.is_down = False
        await self.site.wait_state(NAMES, JOB, "completed", 10)
        self.assertEqual(len(self.list_done()), 4)
        await self.submit("entry-b1", "0" * 15 + "2", 0.1, 1)
