"""Tests of daemon processes with workers that do not guard their capacity."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from standins import site as site_module
from standins import site_workers

DAEMONS = (site_module.DaemonPlace("entry-a1", "north-a"),
           site_module.DaemonPlace("entry-b1", "north-b"))
DAEMON_NAMES = [daemon.name for daemon in DAEMONS]
CORES = 4


class UnguardedWorkerTest(unittest.IsolatedAsyncioTestCase):
    """Runs two daemons and two workers that start whatever they are told.

    After each test the runs that the workers recorded are checked: no start may
    have brought a worker over its capacity, and no task may have run twice.
    """

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.addCleanup(directory.cleanup)
        self.site = site_module.Site(
            pathlib.Path(directory.name),
            DAEMONS, [
                site_workers.WorkerPlace(f"i-{domain}1", f"north-{domain}",
                                         1000 * CORES) for domain in "ab"
            ],
            enforces_capacity=False)
        self.addAsyncCleanup(self.site.stop)
        for worker in self.site.workers:
            worker.stop_delay_s = 0.8
        await self.site.start()
        async with asyncio.timeout(15):
            while len(self.site.find_leaders()) < 2:
                await asyncio.sleep(0.05)

    async def asyncTearDown(self) -> None:
        self.assertEqual(
            [note for note in self.site.notes if note.excess_cpu_millis], [])
        self.assertEqual(site_workers.find_double_runs(self.site.notes), [])

    async def submit(self, job_id: str, run_seconds: float, *task_counts:
                     int) -> None:
        """Submits a job at any daemon, and repeats this while one refuses."""
        async with asyncio.timeout(20):
            while True:
                for daemon_name in self.site.daemons:
                    reply = await self.site.submit(daemon_name, job_id,
                                                   run_seconds, *task_counts)
                    if reply.status == 200:
                        return
                await asyncio.sleep(0.1)

    async def test_successor_waits_for_runs_of_a_cancelled_job(self):
        """Checks starts after a takeover beside runs that nobody needs.

        A leader is killed while a job fills its worker, and another daemon
        accepts the cancellation of the job before it takes over. Guards against
        starts beside these runs, whose job the successor does not track.
        """
        for number in range(2):
            await self.submit(f"{number:016x}", 30.0, CORES)
        async with asyncio.timeout(10):
            while len(self.site.notes) < 2 * CORES:
                await asyncio.sleep(0.02)
        leader = self.site.find_leaders()["north-a"]
        (successor,) = set(DAEMON_NAMES) - {leader}
        self.site.kill_daemon(leader)
        for number in range(2):
            reply = await self.site.call(successor, "DELETE", f"{number:016x}")
            self.assertEqual(reply.status, 200)
        async with asyncio.timeout(10):
            while self.site.find_leaders().get("north-a") != successor:
                await asyncio.sleep(0.02)
        job_ids = [f"f{number:015x}" for number in range(3)]
        for job_id in job_ids:
            await self.submit(job_id, 0.3, CORES)
        for job_id in job_ids:
            await self.site.wait_state([successor], job_id, "completed", 20)

    async def test_workers_shrink_and_grow(self):
        """Checks starts while workers change their capacity at random.

        All jobs must be completed. Guards against starts by a capacity that a
        worker no longer has, and against tasks that wait for good.
        """
        rng = random.Random(4)
        for number in range(8):
            await self.submit(f"{number:016x}", 0.2 + rng.random(),
                              rng.randint(1, CORES), rng.randint(1, CORES))
            worker = rng.choice(self.site.workers)
            self.site.resize_worker(worker, 1000 * rng.randint(1, CORES))
            await asyncio.sleep(rng.random())
        for worker in self.site.workers:
            self.site.resize_worker(worker, 1000)
        await asyncio.sleep(6.0)
        for worker in self.site.workers:
            self.site.resize_worker(worker, 1000 * CORES)
        for number in range(8):
            await self.site.wait_state(DAEMON_NAMES, f"{number:016x}",
                                       "completed", 30)
