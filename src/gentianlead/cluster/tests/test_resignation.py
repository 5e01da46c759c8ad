"""Tests of a leader that is stopped in order."""

import asyncio
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class ResignationTest(unittest.IsolatedAsyncioTestCase):
    """Tests what a leader sends and stores when it resigns."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.workers = leading.FakeWorkers()
        self.log = fakes.RecordingLog()
        self.leader = leading.start_leader(self, self.store, self.workers,
                                           self.log, ("w1", "w2"))

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

    def list_last_call(self) -> list[dispatch.Record]:
        """Returns the records of the last two that were stored."""
        return [
            dispatch.decode_record(stored)
            for stored in self.store.records[dispatch.JOB_TOPIC][-2:]
        ]

    async def test_runs_are_handed_over_with_the_resignation(self):
        """Guards against a successor that waits for all workers of the group.
        """
        await self.start_job()
        await self.leader.resign()
        handover, resignation = self.list_last_call()
        self.assertIsInstance(handover, dispatch.HandoverRecord)
        self.assertTrue(resignation.has_resigned)
        (worker,) = handover.workers
        self.assertEqual([run.task.job_id for run in worker.runs], [JOB_ID])
        self.assertEqual(handover.unseen_worker_ids, ())

    async def test_progress_is_stored_before(self):
        """Guards against a task that runs again after it was done.

        The successor takes the run for ended if its worker does not list it.
        """
        await self.start_job()
        (worker_id,) = (worker_id
                        for worker_id, runs in self.workers.running.items()
                        if runs)
        self.workers.end_runs(worker_id)
        self.store.is_down = True
        await leading.wait_until(
            lambda: not self.leader.scheduler.jobs[JOB_ID].list_active_runs())
        resignation = asyncio.create_task(self.leader.resign())
        await asyncio.sleep(0.05)
        self.store.is_down = False
        await resignation
        records = [
            dispatch.decode_record(stored)
            for stored in self.store.records[dispatch.JOB_TOPIC]
        ]
        (end_index,) = (index for index, record in enumerate(records)
                        if isinstance(record, dispatch.ProgressRecord) and
                        record.state is model.JobState.COMPLETED)
        (handover_index,) = (index for index, record in enumerate(records)
                             if isinstance(record, dispatch.HandoverRecord))
        self.assertLess(end_index, handover_index)

    async def test_nothing_is_handed_over_beside_unstored_progress(self):
        """Guards against a hand-over that hides ends that are not stored."""
        await self.start_job()
        self.store.is_down = True
        self.leader.scheduler.jobs[JOB_ID].is_dirty = True
        await self.leader.resign()
        self.assertEqual(
            leading.list_records(self.store, dispatch.HandoverRecord), [])
        self.assertEqual([event for event, _ in self.log.lines
                         ].count("handover-not-stored"), 1)

    async def test_resignation_without_a_handover_that_is_too_large(self):
        """Guards against a group that keeps a leader that has stopped."""
        await self.start_job()
        self.store.record_bytes = 60
        await self.leader.resign()
        self.assertEqual(
            leading.list_records(self.store, dispatch.HandoverRecord), [])
        self.assertTrue(self.list_last_call()[-1].has_resigned)

    async def test_handover_to_a_slow_store(self):
        """Guards against the wait after a failure beside a slow store."""
        await self.start_job()
        self.leader.scheduler.jobs[JOB_ID].is_dirty = True
        self.store.append_delay_s = 0.6
        await self.leader.resign()
        await self.leader.stop()
        self.assertEqual(
            len(leading.list_records(self.store, dispatch.HandoverRecord)), 1)
