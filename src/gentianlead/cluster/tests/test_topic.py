"""Tests of appends to and reads from the job topic."""

import datetime
import time
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _metrics
from gentianlead.cluster import _topic
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

SHORT = datetime.timedelta(milliseconds=150)
LONG = datetime.timedelta(seconds=5)
JOB = "00000000000000aa"


def build_record(beat: int = 1) -> dispatch.MemberRecord:
    """Returns a small record."""
    return dispatch.MemberRecord("entry-1", "entry-1#1", "10.0.0.1:1", "n1",
                                 beat)


class WriterTest(unittest.IsolatedAsyncioTestCase):
    """Appends, each once and in order."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.metrics = _metrics.ClusterMetrics()
        self.writer = self.build_writer(1)
        self.writer.start()
        self.addAsyncCleanup(self.writer.stop)

    def build_writer(self, epoch: int) -> _topic.TopicWriter:
        """Returns a writer."""
        return _topic.TopicWriter(self.store, ports.Producer("n/1", epoch),
                                  adapters.SystemClock(), fakes.build_log(),
                                  self.metrics)

    async def test_failures_before_success(self):
        """Guards against records that are stored twice, or not at all."""
        for failures in (["refuse"], ["lose"], ["drop"], ["lose", "refuse"],
                         ["drop", "lose"], ["refuse", "drop", "refuse"]):
            with self.subTest(failures=failures):
                before = len(self.store.records.get(dispatch.TOPIC, ()))
                self.store.failures = list(failures)
                await self.writer.append([build_record()], LONG)
                after = len(self.store.records[dispatch.TOPIC])
                self.assertEqual(after - before, 1)

    async def test_refused_record_is_not_stored_later(self):
        """Guards against a job that runs after its caller was refused."""
        self.store.is_down = True
        with self.assertRaises(ports.StoreError) as caught:
            await self.writer.append([build_record()], SHORT)
        self.assertIs(caught.exception.verdict, errors.Verdict.DID_NOT_RUN)
        self.store.is_down = False
        await self.writer.append([build_record(2)], LONG)
        self.assertEqual(len(self.store.records[dispatch.TOPIC]), 1)

    async def test_certain_refusals_come_early(self):
        """Guards against callers that wait for their deadline in vain.

        What may be stored waits for the whole patience instead.
        """
        early = datetime.timedelta(milliseconds=100)
        for failure, expected in (("refuse", errors.Verdict.DID_NOT_RUN),
                                  ("drop", errors.Verdict.MAY_HAVE_RUN)):
            with self.subTest(failure=failure):
                self.store.failures = [failure] * 20
                began = time.monotonic()
                with self.assertRaises(ports.StoreError) as caught:
                    await self.writer.append([build_record()],
                                             datetime.timedelta(seconds=0.6),
                                             early)
                waited = time.monotonic() - began
                self.assertIs(caught.exception.verdict, expected)
                self.assertEqual(waited < 0.5, expected
                                 is errors.Verdict.DID_NOT_RUN)

    async def test_lost_reply_is_never_reported_as_refused(self):
        """Guards against a refusal of a job that is stored."""
        self.store.failures = ["lose"] + ["refuse"] * 5
        with self.assertRaises(ports.StoreError) as caught:
            await self.writer.append([build_record()], SHORT)
        self.assertIs(caught.exception.verdict, errors.Verdict.MAY_HAVE_RUN)
        await self.writer.append([build_record(2)], LONG)
        self.assertEqual(len(self.store.records[dispatch.TOPIC]), 2)

    async def test_waiting_records_share_an_append(self):
        """Guards against one call for each record in a burst."""
        futures = [
            self.writer.append([build_record(i)], LONG) for i in range(20)
        ]
        offsets = [await future for future in futures]
        self.assertEqual(offsets, list(range(20)))
        self.assertLessEqual(self.store.appends, 20)

    async def test_former_writer_is_fenced(self):
        """Guards against progress of a leader that was replaced."""
        await self.writer.append([build_record()], LONG)
        successor = self.build_writer(2)
        successor.start()
        self.addAsyncCleanup(successor.stop)
        await successor.append([build_record()], LONG)
        with self.assertRaises(ports.ProducerFencedError):
            await self.writer.append([build_record()], LONG)

    async def test_right_counts_from_the_sending(self):
        """Guards against a right to start that is longer than agreed."""
        self.assertIsNone(self.writer.confirmed_at)
        before = adapters.SystemClock().monotonic()
        await self.writer.append([build_record()], LONG)
        self.assertGreaterEqual(self.writer.confirmed_at, before)
        confirmed_at = self.writer.confirmed_at
        self.store.is_down = True
        with self.assertRaises(ports.StoreError):
            await self.writer.append([build_record()], SHORT)
        self.assertEqual(self.writer.confirmed_at, confirmed_at)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """A table that follows the topic."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.changes: list[set[str]] = []
        self.reader = _topic.TopicReader(self.store, adapters.SystemClock(),
                                         fakes.build_log(),
                                         _metrics.ClusterMetrics(),
                                         self.changes.append)
        self.addAsyncCleanup(self.reader.stop)

    def write_job(self, job_id: str = JOB) -> int:
        """Stores an acceptance."""
        record = dispatch.AcceptedRecord(builders.build_job(job_id), "a#1")
        return self.store.write(dispatch.TOPIC, dispatch.encode_record(record))

    async def test_new_records_are_applied(self):
        """Guards against a reader that stops after its first read."""
        self.write_job()
        self.reader.start()
        self.assertTrue(await self.reader.wait_applied(0, LONG))
        offset = self.write_job("00000000000000bb")
        self.assertTrue(await self.reader.wait_applied(offset, LONG))
        self.assertEqual(len(self.reader.table.jobs), 2)
        self.assertTrue(self.reader.is_fresh())

    async def test_expired_position_leads_to_a_full_read(self):
        """Guards against an incomplete state that passes as complete."""
        self.write_job()
        self.reader.start()
        await self.reader.wait_applied(0, LONG)
        self.store.is_down = True
        progress = dispatch.ProgressRecord(JOB, "north-1", 1,
                                           model.JobState.COMPLETED)
        offset = self.store.write(dispatch.TOPIC,
                                  dispatch.encode_record(progress))
        self.store.first[dispatch.TOPIC] = offset + 1
        self.store.is_down = False
        self.assertTrue(await self.reader.wait_applied(offset, LONG))
        self.assertIs(self.reader.table.jobs[JOB].state,
                      model.JobState.COMPLETED)

    async def test_damaged_record_is_passed_over(self):
        """Guards against one bad record that stops all readers."""
        self.store.write(dispatch.TOPIC, ports.KeyedRecord("p/x", b"\xc1"))
        self.reader.start()
        offset = self.write_job()
        self.store.write(dispatch.TOPIC, ports.KeyedRecord("zz", b"1"))
        self.assertTrue(await self.reader.wait_applied(offset + 1, LONG))
        self.assertIn(JOB, self.reader.table.jobs)

    async def test_outage_is_noticed(self):
        """Guards against a stale table that passes as fresh."""
        self.write_job()
        self.reader.start()
        await self.reader.wait_applied(0, LONG)
        self.store.is_down = True
        self.assertFalse(await self.reader.wait_applied(1, SHORT * 4))
        self.assertIsNone(self.reader.fresh_since)
