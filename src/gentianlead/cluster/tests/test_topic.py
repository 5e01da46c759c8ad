"""Tests of the writer and the reader of the job topic."""

import asyncio
import datetime
import time
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _metrics
from gentianlead.cluster import _job_topic
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

SHORT_TIMEOUT = datetime.timedelta(milliseconds=150)
LONG_TIMEOUT = datetime.timedelta(seconds=5)
JOB_ID = "00000000000000aa"


def build_record(heartbeat_number: int = 1) -> dispatch.MemberRecord:
    """Returns a member record; records differ in the heartbeat number."""
    return dispatch.MemberRecord("entry-1", "entry-1#1", "10.0.0.1:1", "n1",
                                 heartbeat_number)


class WriterTest(unittest.IsolatedAsyncioTestCase):
    """Tests appends with and without failed store calls, and fencing."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.metrics = _metrics.ClusterMetrics()
        self.writer = self.build_writer(1)
        self.writer.start()
        self.addAsyncCleanup(self.writer.stop)

    def build_writer(self, epoch: int) -> _job_topic.JobTopicWriter:
        """Returns a writer with an epoch; all writers share a producer name."""
        return _job_topic.JobTopicWriter(self.store,
                                         ports.Producer("n/1", epoch),
                                         adapters.SystemClock(),
                                         fakes.build_log(), self.metrics)

    async def test_record_is_stored_once_after_failures(self):
        """Checks that a record is stored once although calls fail before.

        Guards against records that are lost or that a retry stores twice.
        """
        for failures in (["refuse"], ["lose"], ["drop"], ["lose", "refuse"],
                         ["drop", "lose"], ["refuse", "drop", "refuse"]):
            with self.subTest(failures=failures):
                count_before = len(
                    self.store.records.get(dispatch.JOB_TOPIC, ()))
                self.store.failures = list(failures)
                await self.writer.append([build_record()], LONG_TIMEOUT)
                count_after = len(self.store.records[dispatch.JOB_TOPIC])
                self.assertEqual(count_after - count_before, 1)

    async def test_refused_record_is_not_stored_later(self):
        """Checks that a record whose append was refused is not stored later.

        Otherwise a job would run although its caller was told that it does not.
        """
        self.store.is_down = True
        with self.assertRaises(ports.StoreError) as caught:
            await self.writer.append([build_record()], SHORT_TIMEOUT)
        self.assertIs(caught.exception.verdict, errors.Verdict.DID_NOT_RUN)
        self.store.is_down = False
        await self.writer.append([build_record(2)], LONG_TIMEOUT)
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 1)

    async def test_certain_refusal_is_returned_early(self):
        """Checks that an append fails early only if it is certainly not stored.

        Of two appends with a refusal timeout of 0.1 s and a timeout of 0.6 s,
        the one whose records are certainly not stored must fail within 0.5 s,
        and the one whose records may be stored must fail later. Guards against
        callers that wait the full timeout to be refused.
        """
        refusal_timeout = datetime.timedelta(milliseconds=100)
        for failure, expected_verdict in (("refuse",
                                           errors.Verdict.DID_NOT_RUN),
                                          ("drop",
                                           errors.Verdict.MAY_HAVE_RUN)):
            with self.subTest(failure=failure):
                self.store.failures = [failure] * 20
                started_at = time.monotonic()
                with self.assertRaises(ports.StoreError) as caught:
                    await self.writer.append([build_record()],
                                             datetime.timedelta(seconds=0.6),
                                             refusal_timeout)
                waited_s = time.monotonic() - started_at
                self.assertIs(caught.exception.verdict, expected_verdict)
                self.assertEqual(waited_s < 0.5, expected_verdict
                                 is errors.Verdict.DID_NOT_RUN)

    async def test_lost_reply_is_never_reported_as_refused(self):
        """Checks that the verdict is MAY_HAVE_RUN after a lost reply.

        The first call stores the record, but its reply is lost; the repeated
        calls are refused. Guards against the verdict DID_NOT_RUN for a stored
        record, and against a repetition that stores it twice.
        """
        self.store.failures = ["lose"] + ["refuse"] * 5
        with self.assertRaises(ports.StoreError) as caught:
            await self.writer.append([build_record()], SHORT_TIMEOUT)
        self.assertIs(caught.exception.verdict, errors.Verdict.MAY_HAVE_RUN)
        await self.writer.append([build_record(2)], LONG_TIMEOUT)
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 2)

    async def test_successive_appends_get_successive_offsets(self):
        """Checks that 20 appends get the offsets 0 to 19 in at most 20 calls.

        The appends run one after another, so this does not show that records
        which wait at the same time share a call to the store.
        """
        append_coroutines = [
            self.writer.append([build_record(heartbeat_number)], LONG_TIMEOUT)
            for heartbeat_number in range(20)
        ]
        offsets = [await coroutine for coroutine in append_coroutines]
        self.assertEqual(offsets, list(range(20)))
        self.assertLessEqual(self.store.append_calls, 20)

    async def test_former_writer_is_fenced(self):
        """Checks that an append fails once a writer of a higher epoch appended.

        Both writers have the same producer name. Guards against records that a
        replaced leader stores.
        """
        await self.writer.append([build_record()], LONG_TIMEOUT)
        successor = self.build_writer(2)
        successor.start()
        self.addAsyncCleanup(successor.stop)
        await successor.append([build_record()], LONG_TIMEOUT)
        with self.assertRaises(ports.ProducerFencedError):
            await self.writer.append([build_record()], LONG_TIMEOUT)

    async def test_failed_append_does_not_extend_start_permission(self):
        """Checks that only a successful append sets `last_success_sent_at`.

        A leader's start permission counts from this time. Guards against a
        permission that lasts longer than agreed.
        """
        self.assertIsNone(self.writer.last_success_sent_at)
        time_before_append = adapters.SystemClock().monotonic()
        await self.writer.append([build_record()], LONG_TIMEOUT)
        self.assertGreaterEqual(self.writer.last_success_sent_at,
                                time_before_append)
        last_success_sent_at = self.writer.last_success_sent_at
        self.store.is_down = True
        with self.assertRaises(ports.StoreError):
            await self.writer.append([build_record()], SHORT_TIMEOUT)
        self.assertEqual(self.writer.last_success_sent_at, last_success_sent_at)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests that the reader keeps its job table up to date and sees outages."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.changed_job_ids: list[set[str]] = []
        self.reader = _job_topic.JobTopicReader(self.store,
                                                adapters.SystemClock(),
                                                fakes.build_log(),
                                                _metrics.ClusterMetrics(),
                                                self.changed_job_ids.append)
        self.addAsyncCleanup(self.reader.stop)

    def write_job(self, job_id: str = JOB_ID) -> int:
        """Stores the acceptance of a job; returns the offset of the record."""
        accepted_record = dispatch.AcceptedRecord(builders.build_job(job_id),
                                                  "a#1")
        return self.store.write(dispatch.JOB_TOPIC,
                                dispatch.encode_record(accepted_record))

    async def test_new_records_are_applied(self):
        """Checks that jobs stored before and after the first read are applied.

        Guards against a reader that stops after its first read.
        """
        self.write_job()
        self.reader.start()
        self.assertTrue(await self.reader.wait_until_applied(0, LONG_TIMEOUT))
        offset = self.write_job("00000000000000bb")
        self.assertTrue(await
                        self.reader.wait_until_applied(offset, LONG_TIMEOUT))
        self.assertEqual(len(self.reader.job_table.jobs), 2)
        self.assertTrue(self.reader.is_fresh())

    async def test_replies_of_limited_size_follow_without_pauses(self):
        """Guards against a daemon that never catches up with a full topic.

        With a pause after each of the 20 reads they would take six seconds.
        """
        self.write_job()
        self.reader.start()
        await self.reader.wait_until_applied(0, LONG_TIMEOUT)
        self.store.max_read_records = 1
        for number in range(20):
            self.write_job(f"{number:016x}")
        async with asyncio.timeout(2):
            while len(self.reader.job_table.jobs) < 21:
                await asyncio.sleep(0.02)

    async def test_expired_position_leads_to_a_full_read(self):
        """Checks that a full read follows if the store deleted unread records.

        During an outage the store deletes records before the reader has read
        them. The reader must then load the newest record of every key. Guards
        against a table that misses the deleted records.
        """
        self.write_job()
        self.reader.start()
        await self.reader.wait_until_applied(0, LONG_TIMEOUT)
        self.store.is_down = True
        progress_record = dispatch.ProgressRecord(JOB_ID, "north-1", 1,
                                                  model.JobState.COMPLETED)
        offset = self.store.write(dispatch.JOB_TOPIC,
                                  dispatch.encode_record(progress_record))
        self.store.first_offsets[dispatch.JOB_TOPIC] = offset + 1
        self.store.is_down = False
        self.assertTrue(await
                        self.reader.wait_until_applied(offset, LONG_TIMEOUT))
        self.assertIs(self.reader.job_table.jobs[JOB_ID].state,
                      model.JobState.COMPLETED)

    async def test_unreadable_record_is_skipped(self):
        """Checks that a job between two unreadable records is applied.

        Guards against a reader that stops at a record it cannot decode.
        """
        self.store.write(dispatch.JOB_TOPIC, ports.KeyedRecord("p/x", b"\xc1"))
        self.reader.start()
        offset = self.write_job()
        self.store.write(dispatch.JOB_TOPIC, ports.KeyedRecord("zz", b"1"))
        self.assertTrue(await
                        self.reader.wait_until_applied(offset + 1,
                                                       LONG_TIMEOUT))
        self.assertIn(JOB_ID, self.reader.job_table.jobs)

    async def test_outage_is_detected(self):
        """Checks that `readable_since` is reset to None while reads fail."""
        self.write_job()
        self.reader.start()
        await self.reader.wait_until_applied(0, LONG_TIMEOUT)
        self.store.is_down = True
        self.assertFalse(await
                         self.reader.wait_until_applied(1, SHORT_TIMEOUT * 4))
        self.assertIsNone(self.reader.readable_since)
