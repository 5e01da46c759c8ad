"""Tests of the writer and the reader of the job topic."""

import asyncio
import datetime
import json
import os
import time
import unittest
from typing import Sequence
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _append_queue
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _job_topic
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch import _records
from gentianlead.dispatch.tests import builders

SHORT_TIMEOUT = datetime.timedelta(milliseconds=150)
LONG_TIMEOUT = datetime.timedelta(seconds=5)
JOB_ID = "00000000000000aa"


def build_record(heartbeat_number: int = 1) -> dispatch.MemberRecord:
    """Returns a member record; records differ in the heartbeat number."""
    return dispatch.MemberRecord("entry-1", "entry-1#1", "10.0.0.1:1", "n1",
                                 heartbeat_number)


def build_large_record(index: int,
                       worker_count: int = 100) -> dispatch.WorkersRecord:
    """Returns a record of 79 bytes a worker; its key depends on the index."""
    entry = ports.WorkerEntry("w" * 30, "service", "10.0.0.1:80", "north-1",
                              False, 32_000, 65_536, 0, frozenset({"large"}))
    return dispatch.WorkersRecord(f"group-{index}", 64, (entry,) * worker_count)


class MisnumberingStore(fakes.FakeStore):
    """Store that refuses the sequence number of every append at once."""

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        self.append_calls += 1
        await asyncio.sleep(0)
        raise ports.SequenceError("sequence", sequence)


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

    async def test_unexpected_error_does_not_end_the_writer(self):
        """Guards against a writer that never sends another record.

        The store has the record of the call that failed.
        """
        store_append = self.store.append
        errors_left = [ValueError("unexpected")]

        async def append_and_fail(*args: object) -> int:
            offset = await store_append(*args)
            if errors_left:
                raise errors_left.pop()
            return offset

        with mock.patch.object(self.store, "append", append_and_fail):
            async with asyncio.timeout(LONG_TIMEOUT.total_seconds()):
                for offset in (0, 1):
                    self.assertEqual(
                        await self.writer.append([build_record()],
                                                 LONG_TIMEOUT), offset)
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 2)

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

    async def test_many_records_pass_through_a_slow_link(self):
        """Checks that records are stored which one call cannot take in time.

        The 20 records of one request have 158 KB, and the link transfers 100 KB
        a second. Guards against a call with all records that is repeated for
        ever, because each repetition ends at the time limit of a call.
        """
        self.store.bytes_per_s = 100_000
        records = [build_large_record(index) for index in range(20)]
        await self.writer.append_each(records)
        self.assertEqual(
            [record.key for record in self.store.records[dispatch.JOB_TOPIC]],
            [f"w/group-{index}" for index in range(20)])

    async def test_waiting_appends_do_not_share_an_oversized_call(self):
        """Checks that appends which wait at the same time are divided by size.

        Guards against a call to the store that grows with the number of waiting
        appends until a slow link cannot transfer it in time.
        """
        self.store.bytes_per_s = 100_000
        await asyncio.gather(*[
            self.writer.append([build_large_record(index)], LONG_TIMEOUT)
            for index in range(20)
        ])
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 20)
        self.assertLessEqual(self.store.append_calls, 4)

    async def test_one_large_record_passes_through_a_slow_link(self):
        """Checks that a record is stored whose transfer takes 2 s.

        Guards against a time limit that covers the transfer and is the same for
        each repetition, so that no repetition succeeds.
        """
        self.store.bytes_per_s = 30_000
        async with asyncio.timeout(8):
            await self.writer.append_each([build_large_record(0, 760)])
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 1)

    async def test_small_calls_still_end_soon(self):
        """Checks that a call without a reply ends early for a small record.

        Guards against a time limit that grows with each repetition until a dead
        connection is found late.
        """
        call_limit = _append_queue.CallLimit()
        for _ in range(100):
            call_limit.lengthen()
        self.assertLess(call_limit.compute_timeout(1000).total_seconds(), 1.25)
        self.assertLessEqual(
            call_limit.compute_timeout(10**7).total_seconds(), 5.0)

    async def test_long_repetition_is_logged_rarely(self):
        """Checks the log lines and the counter of a call that fails 20 times.

        The log must show the size of the call after 2, 4, 8 and 16 failures.
        Guards against a call that is repeated for ever without a trace in the
        log, and against a line for each repetition.
        """
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        writer = _job_topic.JobTopicWriter(
            self.store, ports.Producer("n/2", 1), adapters.SystemClock(),
            _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                      write_end), self.metrics)
        writer.start()
        self.addAsyncCleanup(writer.stop)
        self.store.failures = ["drop"] * 20
        await writer.append([build_large_record(0)], LONG_TIMEOUT)
        lines = [
            json.loads(line)
            for line in os.read(read_end, 1 << 16).decode().splitlines()
        ]
        self.assertEqual([(line["failures"], line["bytes"])
                          for line in lines
                          if line["event"] == "append-repeated"],
                         [(count, 7927) for count in (2, 4, 8, 16)])
        self.assertEqual(
            self.metrics.append_repetitions.get({"verdict": "may-have-run"}),
            20)

    async def test_waiting_append_is_refused_behind_a_repeated_call(self):
        """Checks that a waiting append ends in time while another is repeated.

        Guards against callers that get no reply at all, because the writer
        repeats the call of another request whose outcome is unknown.
        """
        for failure in ("drop", "refuse"):
            with self.subTest(failure=failure):
                self.store.failures = [failure] * 30
                first_append = asyncio.create_task(
                    self.writer.append([build_record()], LONG_TIMEOUT))
                await asyncio.sleep(0.02)
                async with asyncio.timeout(1):
                    with self.assertRaises(ports.StoreError) as caught:
                        await self.writer.append([build_record(2)],
                                                 SHORT_TIMEOUT)
                self.assertIs(caught.exception.verdict,
                              errors.Verdict.DID_NOT_RUN)
                self.store.failures = []
                await first_append

    async def test_callers_get_an_error_while_a_call_lasts(self):
        """Checks that callers do not wait for the end of a call to the store.

        Of two appends with a timeout of 0.15 s, one is in a call that lasts
        0.9 s and the other in the queue. Guards against callers that wait
        longer than they asked for.
        """
        self.store.bytes_per_s = 1
        started_at = time.monotonic()
        async with asyncio.timeout(3):
            results = await asyncio.gather(self.writer.append([build_record()],
                                                              SHORT_TIMEOUT),
                                           self.append_later(),
                                           return_exceptions=True)
        self.assertLess(time.monotonic() - started_at, 0.6)
        self.assertEqual(
            [result.verdict for result in results],
            [errors.Verdict.MAY_HAVE_RUN, errors.Verdict.DID_NOT_RUN])

    async def append_later(self) -> int:
        """Appends a record after the writer has begun a call without it."""
        await asyncio.sleep(0.02)
        return await self.writer.append([build_record(2)], SHORT_TIMEOUT)

    async def test_rejected_record_fails_alone(self):
        """Checks that a record that the store rejects does not block others.

        It shares a call with other records. Guards against a call that is
        repeated for ever although the store can never accept it.
        """
        self.store.record_bytes = 5_000
        async with asyncio.timeout(2):
            results = await asyncio.gather(*[
                self.writer.append([build_large_record(index, worker_count)],
                                   LONG_TIMEOUT)
                for index, worker_count in enumerate((10, 100, 20))
            ],
                                           return_exceptions=True)
        self.assertEqual((results[0], results[2]), (0, 1))
        self.assertIsInstance(results[1], ports.RecordsRejectedError)
        self.assertIs(results[1].verdict, errors.Verdict.DID_NOT_RUN)
        self.assertEqual(self.metrics.rejected_appends.get({}), 1)

    async def test_rejected_progress_is_stored_without_checkpoints(self):
        """Checks what is stored of progress with too many checkpoints.

        The done tasks and the failures must be stored. Guards against a leader
        that fails because of one job, and against done tasks that run again.
        """
        self.store.record_bytes = 5_000
        done_tasks = (_records.DoneTasks(0, 0, "ff"),)
        unfinished_tasks = tuple(
            _records.TaskProgress(0, 1, index, index % 2, "0" * 16)
            for index in range(300))
        record = dispatch.ProgressRecord(JOB_ID, "north-1", 64,
                                         model.JobState.RUNNING, 7, done_tasks,
                                         unfinished_tasks)
        async with asyncio.timeout(2):
            await self.writer.append_each([record, build_record()])
        stored_records = {
            stored.key: dispatch.decode_record(stored)
            for stored in self.store.records[dispatch.JOB_TOPIC]
        }
        self.assertEqual(stored_records.keys(),
                         {f"p/{JOB_ID}/north-1", "n/entry-1"})
        progress = stored_records[f"p/{JOB_ID}/north-1"]
        self.assertEqual(progress.done_tasks, done_tasks)
        self.assertEqual([(task.index, task.failures, task.checkpoint)
                          for task in progress.unfinished_tasks],
                         [(index, 1, "") for index in range(1, 300, 2)])

    async def test_crashes_are_stored_without_checkpoints(self):
        """Guards against a suspect whose next start is counted nowhere."""
        self.store.record_bytes = 5_000
        crashed_runs = (_records.CrashedRun(7, 1),)
        unfinished_tasks = tuple(
            _records.TaskProgress(0, 1, index, 0, "0" *
                                  16, 0, (), crashed_runs if index == 5 else (
                                  ), 3 if index == 6 else 0)
            for index in range(300))
        await self.writer.append_each([
            dispatch.ProgressRecord(JOB_ID, "north-1", 64,
                                    model.JobState.RUNNING, 7, (),
                                    unfinished_tasks)
        ])
        (stored,) = self.store.records[dispatch.JOB_TOPIC]
        progress = dispatch.decode_record(stored)
        self.assertEqual([(task.index, task.crashed_runs, task.proven_run)
                          for task in progress.unfinished_tasks],
                         [(5, crashed_runs, 0), (6, (), 3)])

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

    async def test_refused_sequence_numbers_are_not_repeated_without_pause(
            self):
        """Checks how often a record is sent whose number is always refused.

        Guards against a loop that calls the store, and logs, without a pause.
        """
        self.store = MisnumberingStore()
        writer = self.build_writer(2)
        writer.start()
        self.addAsyncCleanup(writer.stop)
        append = asyncio.create_task(
            writer.append([build_record()], LONG_TIMEOUT))
        self.addCleanup(append.cancel)
        await asyncio.sleep(0.5)
        self.assertGreaterEqual(self.store.append_calls, 3)
        self.assertLessEqual(self.store.append_calls, 9)

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

    async def test_start_permission_counts_from_the_first_call(self):
        """Checks which call sets `last_success_sent_at` of a repeated append.

        It must be the first one that may have stored the records, and not a
        call that was refused before. The store replies to a repetition as to
        the first call, so the reply does not show that no other leader has
        appended since. Guards against a start permission that a former leader
        extends after its successor has begun to wait for its end.
        """
        cases = ((["lose"], 0), (["drop", "lose"], 0), (["refuse", "lose"], 1))
        for failures, call_index in cases:
            with self.subTest(failures=failures):
                self.store.failures = list(failures)
                self.store.append_called_at.clear()
                await self.writer.append([build_record()], LONG_TIMEOUT)
                # The store receives a call just after the writer sends it.
                received_calls = sum(
                    received_at < self.writer.last_success_sent_at
                    for received_at in self.store.append_called_at)
                self.assertEqual(received_calls, call_index)


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

    async def test_record_that_cannot_be_applied_is_skipped(self):
        """Guards against one record that keeps the topic from being loaded.

        A daemon that has not loaded the topic refuses its callers.
        """
        log = fakes.RecordingLog()
        metrics = _metrics.ClusterMetrics()
        reader = _job_topic.JobTopicReader(self.store, adapters.SystemClock(),
                                           log, metrics, lambda job_ids: None)
        self.addAsyncCleanup(reader.stop)
        odd_record = dispatch.encode_record(
            dispatch.CancelledRecord(JOB_ID))._replace(key="c")
        self.store.write(dispatch.JOB_TOPIC, odd_record)
        self.write_job()
        reader.start()
        self.assertTrue(await reader.wait_until_applied(1, LONG_TIMEOUT))
        self.assertIn(JOB_ID, reader.job_table.jobs)
        for _ in range(3):
            self.store.write(dispatch.JOB_TOPIC, odd_record)
        offset = self.write_job("00000000000000bb")
        self.assertTrue(await reader.wait_until_applied(offset, LONG_TIMEOUT))
        self.assertEqual(log.list_fields("internal-error"), [])
        self.assertEqual([(fields["topic"], fields["key"])
                          for fields in log.list_fields("record-unreadable")],
                         [(dispatch.JOB_TOPIC, "c")])
        self.assertIn(b'gentianlead_unreadable_records_total{topic="jobs"} 4',
                      metrics.render())

    async def test_outage_is_detected(self):
        """Checks that `readable_since` is reset to None while reads fail."""
        self.write_job()
        self.reader.start()
        await self.reader.wait_until_applied(0, LONG_TIMEOUT)
        self.store.is_down = True
        self.assertFalse(await
                         self.reader.wait_until_applied(1, SHORT_TIMEOUT * 4))
        self.assertIsNone(self.reader.readable_since)

    async def test_error_in_a_handler_does_not_end_the_reader(self):
        """Guards against a daemon that refuses all callers after one error."""
        self.write_job()
        errors_left = [ValueError("unexpected")]

        def handle_changed_jobs(job_ids: set[str]) -> None:
            self.changed_job_ids.append(job_ids)
            if errors_left:
                raise errors_left.pop()

        log = fakes.RecordingLog()
        reader = _job_topic.JobTopicReader(self.store, adapters.SystemClock(),
                                           log, _metrics.ClusterMetrics(),
                                           handle_changed_jobs)
        reader.start()
        self.addAsyncCleanup(reader.stop)
        offset = self.write_job("00000000000000bb")
        async with asyncio.timeout(LONG_TIMEOUT.total_seconds()):
            while len(self.changed_job_ids) < 2:
                await asyncio.sleep(0.01)
        self.assertTrue(await reader.wait_until_applied(offset, LONG_TIMEOUT))
        self.assertIn("unexpected",
                      log.list_fields("internal-error")[0]["error"])
