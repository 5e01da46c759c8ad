"""Tests of daemon processes of which one after another is stopped in order."""

import asyncio
import pathlib
import tempfile
import time
import unittest

from standins import site as site_module
from standins import site_workers

GROUP = "north-a"
DAEMONS = (site_module.DaemonPlace("entry-a1", GROUP),
           site_module.DaemonPlace("entry-a2", GROUP))
JOB_ID = "5c0e7a21d94b36f8"
FIRST_STEP_S = 1.5
MAX_GAP_S = 6.0
"""The users' bound from the end of a run to the next one of its task."""


class ResignationProcessTest(unittest.IsolatedAsyncioTestCase):
    """Runs two daemons and two workers in one failure domain.

    After each test the runs that the workers recorded are checked: no task may
    have had two runs at the same time, or another run after it was done.
    """

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.addCleanup(directory.cleanup)
        self.site = site_module.Site(
            pathlib.Path(directory.name), DAEMONS,
            [site_workers.WorkerPlace(f"i-{n}", GROUP) for n in (1, 2, 3)])
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        async with asyncio.timeout(15):
            while not self.site.find_leaders():
                await asyncio.sleep(0.05)

    async def asyncTearDown(self) -> None:
        self.assertEqual(site_workers.find_double_runs(self.site.notes), [])

    async def submit(self, *task_counts: int) -> None:
        """Submits a job, and repeats this while the daemons reply 503."""
        async with asyncio.timeout(15):
            while (await self.site.submit("entry-a1", JOB_ID, FIRST_STEP_S,
                                          *task_counts)).status != 200:
                await asyncio.sleep(0.1)

    async def test_known_job_goes_on_beside_a_departed_worker(self):
        """Guards against the wait for a worker that can have no run any more.

        An idle worker leaves, and the leader of its group is stopped in order.
        The next step of a job of which no task was ever on that worker must not
        wait for its lease, nor for the start permission of the former leader.
        """
        await self.submit(1, 1)
        async with asyncio.timeout(10):
            while not self.site.notes:
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        idle_worker = next(
            worker for worker in self.site.workers
            if worker.place.worker_id != self.site.notes[0].worker_id)
        await self.site.remove_worker(idle_worker)
        self.site.terminate_daemon(self.site.find_leaders()[GROUP])
        stopped_at = time.monotonic()
        await self.site.wait_state(list(self.site.daemons), JOB_ID, "completed",
                                   20)
        self.assertLess(time.monotonic() - stopped_at, MAX_GAP_S + FIRST_STEP_S)
