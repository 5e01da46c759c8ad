"""Tests of loads: full reads of the newest records of a topic."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _platform_topics
from gentianlead.cluster import _topic_load
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders
from standins import site_store

OBSERVED_TIME = datetime.timedelta(milliseconds=500)
LONG_TIMEOUT = datetime.timedelta(seconds=5)
ANY_TIMEOUT = datetime.timedelta(seconds=1)
LOAD_TIMEOUT = datetime.timedelta(seconds=15)


class LoadReportTest(unittest.IsolatedAsyncioTestCase):
    """Tests what the log and the metrics show while loads fail."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.store.is_down = True
        self.log = fakes.RecordingLog()
        self.metrics = _metrics.ClusterMetrics()
        self.clock = adapters.SystemClock()

    def assert_failures_reported(self, topic: str) -> None:
        """Checks for one log line and at least two counted failures."""
        lines = self.log.list_fields("topic-load-failed")
        self.assertEqual([(line["topic"], line["error"]) for line in lines],
                         [(topic, "refused")])
        failure_count = self.metrics.topic_loads.get({
            "topic": topic,
            "outcome": "failed"
        })
        self.assertGreaterEqual(failure_count, 2)

    async def test_failed_loads_of_job_topic_are_reported(self):
        """Guards against a daemon that refuses all callers and logs no cause.

        `topic-lost` is logged only after a successful read.
        """
        reader = _job_topic.JobTopicReader(self.store, self.clock, self.log,
                                           self.metrics, lambda job_ids: None)
        self.addAsyncCleanup(reader.stop)
        reader.start()
        await asyncio.sleep(OBSERVED_TIME.total_seconds())
        self.assert_failures_reported(dispatch.JOB_TOPIC)
        self.store.is_down = False
        self.assertTrue(await reader.wait_until_applied(-1, LONG_TIMEOUT))
        loaded_line = self.log.list_fields("topic-loaded")[0]
        self.assertGreaterEqual(loaded_line["failures"], 2)

    async def test_failed_loads_of_platform_topic_are_reported(self):
        """Guards against a registry that stays unread without a log line."""
        reader = _platform_topics.PlatformTopicReader(platform.REGISTRY_TOPIC,
                                                      datetime.timedelta(0),
                                                      datetime.timedelta(0),
                                                      self.store, self.clock,
                                                      self.log, self.metrics,
                                                      lambda record: None,
                                                      lambda keys: None)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(OBSERVED_TIME.total_seconds()):
                await reader.run()
        self.assert_failures_reported(platform.REGISTRY_TOPIC)


class ManualClock(ports.Clock):
    """Clock that a test advances.

    Attributes:
        seconds: Monotonic time.
    """

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.seconds, datetime.UTC)

    def monotonic(self) -> float:
        return self.seconds

    async def sleep(self, duration: datetime.timedelta) -> None:
        self.seconds += duration.total_seconds()


class TopicLoaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests loads of several pages that fail, or during which records come."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.log = fakes.RecordingLog()
        self.store = fakes.FakeStore()
        self.store.page_size = 2
        self.loader = _topic_load.TopicLoader("jobs", self.store,
                                              self.clock, self.log,
                                              _metrics.ClusterMetrics())

    def write(self, *keys: str, value: bytes = b"v") -> None:
        """Stores a record for each key."""
        self.store.write("jobs",
                         *(ports.KeyedRecord(key, value) for key in keys))

    async def test_load_continues_after_the_pages_that_arrived(self):
        """Guards against a load that begins anew after each failed page.

        On a link that breaks often, such a load never ends.
        """
        self.write("a", "b", "c", "d", "e")
        self.store.failed_pages = {2, 4}
        for _ in range(2):
            with self.assertRaises(ports.StoreError):
                await self.loader.load()
        loaded_topic = await self.loader.load()
        self.assertEqual([record.key for record in loaded_topic.batch.records],
                         ["a", "b", "c", "d", "e"])
        self.assertEqual(self.store.page_starts, ["", "b", "b", "d", "d"])

    async def test_records_appended_during_a_load_are_included(self):
        """Guards against changes that are lost between two pages.

        A key that changes, one that is removed and one that is added lie before
        the second page, which is read after a failure.
        """
        self.write("a", "b", "c", "d")
        self.store.failed_pages = {2}
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.write("a", value=b"new")
        self.write("b", value=b"")
        self.write("aa")
        loaded_topic = await self.loader.load()
        self.assertEqual(
            {
                record.key: record.value
                for record in loaded_topic.batch.records
                if record.value
            }, {
                "a": b"new",
                "aa": b"v",
                "c": b"v",
                "d": b"v"
            })
        self.assertEqual(loaded_topic.batch.end_offset, 7)

    async def test_load_begins_anew_if_unread_records_were_deleted(self):
        """Guards against a load that lacks changes the store has deleted."""
        self.write("a", "b", "c")
        self.store.failed_pages = {2}
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.write("a", value=b"new")
        self.store.first_offsets["jobs"] = 4
        with self.assertRaisesRegex(ports.StoreError, "deleted"):
            await self.loader.load()
        loaded_topic = await self.loader.load()
        self.assertEqual(loaded_topic.batch.records[-1].value, b"new")
        self.assertEqual(self.store.page_starts, ["", "b", "b", "", "b"])

    async def test_load_ends_if_a_page_does_not_advance(self):
        """Guards against a load that requests the same page without a pause."""
        self.write("a", "b", "c")
        await self.store.read_newest_page("jobs", "", ANY_TIMEOUT)
        first_page = await self.store.read_newest_page("jobs", "", ANY_TIMEOUT)
        self.store.read_newest_page = mock.AsyncMock(return_value=first_page)
        for _ in range(2):
            with self.assertRaisesRegex(ports.StoreError, "ends with key 'b'"):
                await self.loader.load()
        self.assertEqual([
            call.args[1] for call in self.store.read_newest_page.await_args_list
        ], ["", "b"] * 2)

    async def test_load_ends_if_records_before_the_end_are_withheld(self):
        """Guards against a load that reads without a pause and never ends."""
        self.write("a", "b", "c")
        self.store.read = mock.AsyncMock(return_value=ports.KeyedBatch(9, ()))
        with self.assertRaisesRegex(ports.StoreError, "topic ends at 9"):
            await self.loader.load()
        self.assertEqual(self.store.read.await_count, 1)

    async def test_reply_timeout_grows_with_calls_without_reply(self):
        """Guards against a limit that a store under load never meets.

        Refused calls do not count: a silent store is then noticed late.
        """
        self.write("a", "b", "c")
        self.store.is_down = True
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.store.is_down = False
        self.store.failed_pages = set(range(1, 8))
        for _ in range(7):
            with self.assertRaises(ports.StoreError):
                await self.loader.load()
        await self.loader.load()
        await self.loader.load()
        self.assertEqual(
            [timeout.total_seconds() for timeout in self.store.reply_timeouts],
            [0.9, 0.9, 1.8, 2.7, 3.6, 4.5, 5, 5, 5, 5, 0.9, 0.9])

    async def test_loaded_records_precede_the_end_offset(self):
        """Guards against a table whose jobs go back to an earlier state.

        Records from the end offset on are read again after the load. If the
        load includes a record beyond it, older records of its key follow.
        """
        self.store.page_size = 1
        self.store.max_read_records = 2
        self.write("a", "b")
        self.store.failed_pages = {2}
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.write("b", "b", "b", value=b"older")
        self.write("b", value=b"newest")
        loaded_topic = await self.loader.load()
        end_offset = loaded_topic.batch.end_offset
        self.assertEqual([
            record for record in loaded_topic.batch.records
            if record.offset >= end_offset
        ], [])

    async def test_no_record_before_the_end_offset_is_missing(self):
        """Guards against changes that a reply of limited size leaves out."""
        self.store.max_read_records = 1
        self.write("a", "b", "c")
        self.store.failed_pages = {2}
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.write("aa", "b", "a", value=b"new")
        batch = (await self.loader.load()).batch
        loaded_offsets = {record.key: record.offset for record in batch.records}
        self.assertEqual([
            record for record in self.store.records["jobs"][:batch.end_offset]
            if loaded_offsets.get(record.key, -1) < record.offset
        ], [])

    async def test_records_are_read_before_the_store_deletes_them(self):
        """Guards against a long load that begins anew again and again.

        The record added after the first page is deleted before the last page.
        """
        self.store.page_size = 1
        self.store.failed_pages = {2, 4}
        self.write("a", "b", "c")
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.write("a", value=b"new")
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.store.first_offsets["jobs"] = 4
        await self.loader.load()
        self.assertEqual(self.store.page_starts, ["", "a", "a", "b", "b"])

    async def test_load_is_fresh_as_of_its_last_read(self):
        """Guards against a daemon that counts as stale after a long load.

        A load of one page is fresh as of the time at which it was sent.
        """
        self.write("a", "b", "c")
        self.store.failed_pages = {2}
        with self.assertRaises(ports.StoreError):
            await self.loader.load()
        self.clock.seconds += 10
        for page_size in (2, 500):
            with self.subTest(page_size=page_size):
                self.store.page_size = page_size
                loaded_topic = await self.loader.load()
                self.assertEqual(loaded_topic.fresh_as_of, self.clock.seconds)
                self.clock.seconds += 10

    async def test_next_load_reads_all_pages_again(self):
        """Guards against a second load that returns records of the first."""
        self.write("a", "b", "c")
        await self.loader.load()
        self.write("a", value=b"new")
        loaded_topic = await self.loader.load()
        self.assertEqual(loaded_topic.batch.records[-1].value, b"new")
        self.assertEqual(self.store.page_starts, ["", "b", "", "b"])

    async def test_rate_of_failure_lines_is_bounded(self):
        """Guards against a log that is flooded while the store refuses."""
        self.store.is_down = True
        for _ in range(100):
            with self.assertRaises(ports.StoreError):
                await self.loader.load()
            self.clock.seconds += 0.0625
        lines = self.log.list_fields("topic-load-failed")
        self.assertEqual([line["failures"] for line in lines],
                         [1, 17, 33, 49, 65, 81, 97])


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Tests loads over a link on which one page takes 1.3 s.

    This is longer than the store may stay silent (0.9 s).
    """

    async def asyncSetUp(self) -> None:
        self.site_store = site_store.SiteStore()
        await self.site_store.start()
        self.addAsyncCleanup(self.site_store.stop)
        self.store = platform.PlatformStore(self.site_store.address)
        self.addAsyncCleanup(self.store.close)
        self.reader = _job_topic.JobTopicReader(self.store,
                                                adapters.SystemClock(),
                                                fakes.RecordingLog(),
                                                _metrics.ClusterMetrics(),
                                                lambda job_ids: None)
        self.addAsyncCleanup(self.reader.stop)

    def write_jobs(self, count: int) -> None:
        """Stores accepted jobs and sets the rate of the link."""
        for number in range(count):
            stored = dispatch.encode_record(
                dispatch.AcceptedRecord(builders.build_job(f"{number:016x}"),
                                        "a#1"))
            self.site_store.write("keyed.jobs", stored.key, stored.value)
        item_bytes = len(stored.key) + 4 * len(stored.value) // 3 + 45
        self.site_store.link_bytes_per_s = 500 * item_bytes / 1.3

    async def test_topic_is_loaded_although_pages_are_slow(self):
        """Guards against a daemon on a slow link that never loads the topic.

        A fixed time limit for a whole page fails each attempt alike.
        """
        self.write_jobs(1100)
        self.reader.start()
        self.assertTrue(await self.reader.wait_until_applied(-1, LOAD_TIMEOUT))
        self.assertEqual(len(self.reader.job_table.jobs), 1100)

    async def test_topic_is_loaded_although_connections_break(self):
        """Guards against a load that begins anew with each broken connection.
        """
        self.write_jobs(1100)
        self.site_store.link_bytes_per_s *= 4
        self.site_store.broken_pages = {2, 3, 5}
        self.reader.start()
        self.assertTrue(await self.reader.wait_until_applied(-1, LOAD_TIMEOUT))
        self.assertEqual(len(self.reader.job_table.jobs), 1100)
        self.assertEqual(len(self.site_store.page_starts), 6)

    async def test_new_records_are_read_although_they_are_slow(self):
        """Guards against a loaded daemon that falls behind for good.

        The records added take almost three seconds. The store may stay silent
        for 1.9 s, one of them to wait for records.
        """
        self.reader.start()
        self.assertTrue(await self.reader.wait_until_applied(-1, LOAD_TIMEOUT))
        self.write_jobs(500)
        self.site_store.link_bytes_per_s /= 3
        self.assertTrue(await self.reader.wait_until_applied(499, LOAD_TIMEOUT))
