"""Tests of what runs beside the resignation of a leader."""

import asyncio
import datetime
import unittest
from typing import Sequence

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class PausingStore(fakes.FakeStore):
    """Store that delays the calls that hold a record of a type.

    Attributes:
        paused_type: Type of the records; None for no delay.
        has_paused: Set when such a call has arrived.
        may_continue: Set by the test to let it be stored.
    """

    def __init__(self) -> None:
        super().__init__()
        self.paused_type: type | None = None
        self.has_paused = asyncio.Event()
        self.may_continue = asyncio.Event()

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        if self.paused_type is not None and any(
                isinstance(dispatch.decode_record(record), self.paused_type)
                for record in records):
            self.has_paused.set()
            await self.may_continue.wait()
        return await super().append(topic, records, producer, sequence, timeout)


class RecordOrderTest(unittest.IsolatedAsyncioTestCase):
    """Tests which records a leader stores around its resignation."""

    async def asyncSetUp(self) -> None:
        self.store = PausingStore()
        self.workers = leading.FakeWorkers()
        self.log = fakes.RecordingLog()
        self.leader = leading.start_leader(self, self.store, self.workers,
                                           self.log, ("w1",))

    async def start_job(self) -> None:
        """Has the leader start a job with one task."""
        self.leader.put_job(builders.build_job_entry(
            builders.build_job(JOB_ID)))
        await leading.wait_until(lambda: any(self.workers.running.values()))

    async def test_record_that_is_stored_in_parts_comes_before(self):
        """Guards against a task that runs again after it was done.

        The store rejects progress that is being stored when the leader resigns.
        The smaller record that follows must precede the hand-over.
        """
        self.store.paused_type = dispatch.ProgressRecord
        # pylint: disable=protected-access
        checkpoints = builders.build_step(2, has_checkpoints=True)
        self.leader.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID, checkpoints)))
        await leading.wait_until(lambda: len(self.workers.running.get("w1",
                                                                      ())) == 2)
        await self.store.has_paused.wait()
        job = self.leader.scheduler.jobs[JOB_ID]
        step_run = job.steps[0, 0]
        step_run.checkpoints[1] = "x" * 400
        step_run.done_indexes.add(0)
        job.is_dirty = True
        self.store.record_bytes = 400
        self.store.has_paused.clear()
        self.store.may_continue.set()
        self.store.may_continue = asyncio.Event()
        await self.store.has_paused.wait()
        resignation = asyncio.create_task(self.leader.resign())
        await asyncio.sleep(0.05)
        self.store.may_continue.set()
        await resignation
        await self.leader.stop()
        records = [
            dispatch.decode_record(stored)
            for stored in self.store.records[dispatch.JOB_TOPIC]
        ]
        (handover_index,) = (index for index, record in enumerate(records)
                             if isinstance(record, dispatch.HandoverRecord))
        self.assertTrue(
            any(
                isinstance(record, dispatch.ProgressRecord) and
                record.done_tasks for record in records[:handover_index]))

    async def test_nothing_is_handed_over_after_a_failed_flush(self):
        """Guards against a hand-over that hides ends that are not stored.

        The flush had taken the progress, so the resignation finds none.
        """
        await self.start_job()
        self.store.record_bytes = 10
        await leading.wait_until(lambda: self.log.list_fields("internal-error"))
        self.store.record_bytes = 262_144
        await self.leader.resign()
        self.assertEqual(
            leading.list_records(self.store, dispatch.HandoverRecord), [])
        *_, record = leading.list_records(self.store, dispatch.LeaderRecord)
        self.assertTrue(record.has_resigned)

    async def test_resignation_of_a_fenced_leader_ends(self):
        """Guards against a stop that waits in vain for a store call.

        Another daemon took the lead, which this one has not noticed. It has
        progress to store.
        """
        await self.start_job()
        await self.store.append(
            dispatch.JOB_TOPIC, [
                dispatch.encode_record(
                    dispatch.LeaderRecord(leading.GROUP, builders.EPOCH + 1,
                                          "entry-2", "entry-2#1", 0))
            ], ports.Producer(f"g/{leading.GROUP}", builders.EPOCH + 1), 1,
            datetime.timedelta(seconds=1))
        self.leader.scheduler.jobs[JOB_ID].is_dirty = True
        async with asyncio.timeout(1):
            await self.leader.resign()
        self.assertTrue(self.log.list_fields("resignation-not-stored"))
