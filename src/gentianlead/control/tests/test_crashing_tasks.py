"""Tests of tasks that crash the workers on which they start."""

import unittest

from gentianlead import model
from gentianlead.control.tests import simulated_domains

MAX_CRASHES = 5
"""A task must not start three more times after it has crashed three workers."""

_CRASHING = simulated_domains.TaskScript(60.0, crash_after=0.0)
_HEALTHY = simulated_domains.TaskScript(20.0)


class _SimulationTest(unittest.IsolatedAsyncioTestCase):
    """Starts daemons with simulated workers."""

    def setUp(self) -> None:
        self.domains = simulated_domains.SimulatedDomains(6)
        self.workers = self.domains.workers

    async def start_domains(self, worker_count: int = 6) -> None:
        """Starts a daemon in each of two domains and puts them in service."""
        self.domains = simulated_domains.SimulatedDomains(worker_count)
        self.workers = self.domains.workers
        self.addAsyncCleanup(self.domains.close)
        for domain in simulated_domains.DOMAINS:
            self.domains.start(f"entry-of-{domain}", domain)
        await self.domains.advance(1)
        await self.domains.put_domains(*simulated_domains.DOMAINS)
        await self.domains.advance(1)


class CrashingTaskTest(_SimulationTest):
    """Tests how many workers a task can crash before it is given up."""

    def check_given_up(self, job_id: str) -> None:
        """Checks that a job of one task failed after few crashes."""
        entry = self.domains.get_job(job_id)
        self.assertEqual(entry.outcome, "failed", self.workers.crashes)
        self.assertIn("TASK_GIVEN_UP", entry.detail)
        self.assertLessEqual(self.workers.count_crashes(job_id), MAX_CRASHES)

    async def test_task_that_crashes_at_start(self) -> None:
        """Guards against a task that crashes one worker after another."""
        await self.start_domains()
        await self.domains.submit("crashing", _CRASHING)
        await self.domains.advance_until_ended("crashing", 150)
        self.check_given_up("crashing")

    async def test_task_that_crashes_after_a_second(self) -> None:
        """Guards against a bound that misses crashes after the first report."""
        await self.start_domains()
        await self.domains.submit("crashing",
                                  _CRASHING._replace(crash_after=1.5))
        await self.domains.advance_until_ended("crashing", 150)
        self.check_given_up("crashing")

    async def test_watcher_that_crashes_at_start(self) -> None:
        """Guards against a watcher that crashes one worker after another."""
        await self.start_domains()
        await self.domains.submit("crashing",
                                  _CRASHING,
                                  kind=model.JobKind.WATCHER)
        await self.domains.advance_until_ended("crashing", 150)
        self.check_given_up("crashing")

    async def test_single_worker(self) -> None:
        """Guards against a bound that needs crashes of different workers."""
        await self.start_domains(1)
        await self.domains.submit("crashing", _CRASHING)
        await self.domains.advance_until_ended("crashing", 250)
        self.check_given_up("crashing")

    async def test_daemon_replaced_after_each_crash(self) -> None:
        """Guards against a count that a new daemon begins anew.

        The records expire meanwhile, so that each daemon starts from a
        snapshot.
        """
        await self.start_domains()
        await self.domains.submit("crashing", _CRASHING)
        number = 0
        for _ in range(300):
            if self.domains.get_job("crashing").outcome:
                break
            n_crashes = len(self.workers.crashes)
            await self.domains.advance(1)
            if len(self.workers.crashes) > n_crashes:
                await self.domains.advance(6)
                self.domains.start(f"next-{number}")
                await self.domains.advance(1)
                await self.domains.kill(
                    f"next-{number - 1}" if number else "entry-of-domain-1")
                number += 1
        self.check_given_up("crashing")

    async def test_daemon_killed_before_it_records_a_crash(self) -> None:
        """Guards against a count that misses crashes with a lost holder."""
        await self.start_domains()
        await self.domains.submit("crashing", _CRASHING)
        leader = "entry-of-domain-1"
        n_crashes = 0
        for number in range(1200):
            if self.domains.get_job("crashing").outcome:
                break
            await self.domains.advance(0.25)
            if len(self.workers.crashes) > n_crashes:
                n_crashes = len(self.workers.crashes)
                successor = f"next-{number}"
                self.domains.start(successor)
                await self.domains.advance(0.25)
                await self.domains.kill(leader)
                leader = successor
        self.check_given_up("crashing")

    async def test_job_moved_between_domains(self) -> None:
        """Guards against a count that does not move with its job."""
        await self.start_domains()
        await self.domains.submit("crashing", _CRASHING)
        while self.workers.count_crashes("crashing") < 2:
            await self.domains.advance(1)
        await self.domains.take_out("domain-1")
        await self.domains.advance_until_ended("crashing", 200)
        self.check_given_up("crashing")
        self.assertEqual(self.domains.get_job("crashing").domain, "domain-2")

    async def test_other_tasks_of_the_job_run(self) -> None:
        """Guards against a failed job that stays open while its tasks run."""
        await self.start_domains()
        await self.domains.submit("crashing",
                                  simulated_domains.TaskScript(1e6, 1.0, 0),
                                  tasks=4)
        await self.domains.advance_until_ended("crashing", 200)
        self.check_given_up("crashing")

    async def test_many_crashing_tasks(self) -> None:
        """Guards against a bound that crashes at one time switch off."""
        await self.start_domains()
        await self.domains.submit("crashing", _CRASHING, tasks=12)
        await self.domains.advance_until_ended("crashing", 250)
        entry = self.domains.get_job("crashing")
        self.assertEqual(entry.outcome, "failed")
        for task in range(12):
            self.assertLessEqual(self.workers.count_starts("crashing", task),
                                 MAX_CRASHES)


class HealthyTaskTest(_SimulationTest):
    """Tests that failures of workers do not make healthy tasks fail."""

    async def test_neighbours_are_not_given_up(self) -> None:
        """Guards against healthy tasks that fail with a crashing neighbour."""
        await self.start_domains()
        await self.domains.submit("crashing", _CRASHING._replace(crash_after=1))
        await self.domains.submit("healthy", _HEALTHY, tasks=12)
        await self.domains.advance_until_ended("healthy", 300)
        self.assertEqual(self.domains.get_job("healthy").outcome, "done")

    async def test_domain_loses_power_twice(self) -> None:
        """Guards against healthy tasks that fail with the power of a domain.

        Both losses come shortly after the tasks have started.
        """
        await self.start_domains()
        await self.domains.submit("healthy", _HEALTHY, tasks=12)
        await self.domains.submit("watcher",
                                  simulated_domains.TaskScript(1e6),
                                  kind=model.JobKind.WATCHER)
        for n_starts in (1, 2):
            while self.workers.count_starts("watcher") < n_starts:
                await self.domains.advance(0.5)
            self.workers.cut_power(self.domains.list_workers("domain-1", 6),
                                   8.0)
            await self.domains.advance(1)
        await self.domains.advance_until_ended("healthy", 400)
        self.assertEqual(self.domains.get_job("healthy").outcome, "done")
        await self.domains.advance(60)
        self.assertEqual(self.domains.get_job("watcher").outcome, "")
        self.assertGreaterEqual(self.workers.count_starts("watcher"), 3)

    async def test_worker_that_crashes_under_every_task(self) -> None:
        """Guards against healthy tasks that fail because of one worker."""
        await self.start_domains(4)
        await self.domains.submit("healthy", _HEALTHY, tasks=16)
        for _ in range(200):
            await self.domains.advance(1)
            if self.domains.get_job("healthy").outcome:
                break
            self.workers.crash_if_busy("domain-1-worker-0", 2.0)
        self.assertEqual(self.domains.get_job("healthy").outcome, "done")
