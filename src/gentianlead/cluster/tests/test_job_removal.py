"""Tests of the removal of the stored keys of ended jobs."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _job_removal
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

TIMEOUT = datetime.timedelta(seconds=5)
JOB_COUNT = 120


class SteppedClock(adapters.SystemClock):
    """System clock whose pauses between removals the test ends.

    Attributes:
        offset_s: Seconds by which the monotonic time is ahead.
        pause_ends: Each release ends one pause between removals.
    """

    def __init__(self) -> None:
        super().__init__()
        self.offset_s = 0.0
        self.pause_ends = asyncio.Semaphore(0)

    def monotonic(self) -> float:
        return super().monotonic() + self.offset_s

    async def sleep(self, duration: datetime.timedelta) -> None:
        if duration == _job_removal.JOB_REMOVAL_INTERVAL:
            await self.pause_ends.acquire()
        else:
            await super().sleep(duration)


class EndedJobRemoverTest(unittest.IsolatedAsyncioTestCase):
    """Tests how many jobs are removed after one pause."""

    async def test_removal_keeps_up_with_many_ended_jobs(self):
        """Guards against a topic that grows while many jobs end.

        A daemon on a slow link needs longer to start with each key.
        """
        clock = SteppedClock()
        store = fakes.FakeStore()
        log = fakes.RecordingLog()
        metrics = _metrics.ClusterMetrics()
        reader = _job_topic.JobTopicReader(store, clock, log, metrics,
                                           lambda job_ids: None)
        writer = _job_topic.JobTopicWriter(store, ports.Producer("n/1", 1),
                                           clock, log, metrics)
        for number in range(JOB_COUNT):
            job_id = f"{number:016x}"
            for record in (dispatch.AcceptedRecord(builders.build_job(job_id),
                                                   "a#1"),
                           dispatch.ProgressRecord(job_id, "north-1", 64,
                                                   model.JobState.COMPLETED)):
                store.write(dispatch.JOB_TOPIC, dispatch.encode_record(record))
        reader.start()
        writer.start()
        self.addAsyncCleanup(reader.stop)
        self.addAsyncCleanup(writer.stop)
        self.assertTrue(await reader.wait_until_applied(0, TIMEOUT))
        remover = _job_removal.EndedJobRemover(datetime.timedelta(0), reader,
                                               writer, lambda: True, clock, log)
        remover_task = asyncio.create_task(remover.run())
        self.addCleanup(remover_task.cancel)
        # The retention counts from the first pass that sees the end of a job.
        clock.pause_ends.release()
        await asyncio.sleep(0.05)
        clock.offset_s = dispatch.RETENTION_MARGIN.total_seconds() + 1
        clock.pause_ends.release()
        async with asyncio.timeout(TIMEOUT.total_seconds()):
            while reader.job_table.jobs:
                await asyncio.sleep(0.01)
