"""Tests of a leader that is stopped in order."""

import asyncio
import unittest

from gentianlead import dispatch
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class ResignationTest(unittest.IsolatedAsyncioTestCase):
    """Tests what a leader sends and stores when it resigns."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.workers = leading.FakeWorkers()
        self.leader = leading.start_leader(self, self.store, self.workers, "w1",
                                           "w2")

    async def start_job(self) -> None:
        """Has the leader start a job with one task."""
        self.leader.put_job(builders.build_job_entry(
            builders.build_job(JOB_ID)))
        await leading.wait_until(lambda: any(self.workers.running.values()))

    async def test_nothing_is_sent_after_the_resignation(self):
        """Guards against a run that the successor does not expect.

        A start order awaits its reply, and the reply to the resignation is
        lost. The successor counts on a leader that sends no order and renews no
        lease once its resignation is stored.
        """
        self.workers.unanswered_kinds = {"start"}
        await self.start_job()
        self.store.failures = ["lose", "drop", "drop", "drop"]
        resignation = asyncio.create_task(self.leader.resign())
        await leading.wait_until(
            lambda: any(record.has_resigned for record in leading.list_records(
                self.store, dispatch.LeaderRecord)))
        call_count = len(self.workers.calls)
        self.leader.put_job(
            builders.build_job_entry(builders.build_job("00000000000000bb")))
        await resignation
        await asyncio.sleep(0.3)
        self.assertEqual(self.workers.calls[call_count:], [])

    async def test_resignation_waits_for_replies(self):
        """Guards against a hand-over of runs whose outcome is about to arrive.

        The reply to the start order arrives before the resignation is stored.
        """
        await self.start_job()
        await self.leader.resign()
        job = self.leader.scheduler.jobs[JOB_ID]
        (run,) = job.list_active_runs()
        self.assertIs(run.phase, dispatch.RunPhase.RUNNING)
