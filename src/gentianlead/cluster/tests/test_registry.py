"""Tests of how a daemon reads the worker registry."""

import asyncio
import contextlib
import datetime
import json
import unittest

from gentianlead import adapters
from gentianlead import errors
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _metrics
from gentianlead.cluster import _platform_topics
from gentianlead.cluster.tests import fakes


class RegistryFreshnessTest(unittest.TestCase):
    """Tests of when the entries of the registry count as current."""

    def test_entries_are_current_after_reads_without_a_gap(self):
        """Checks the state after reads at given times, in seconds.

        Guards against starts by the capacity that a worker had before an outage
        of the store, during it and until the worker has reported again.
        """
        cases = (
            ("no read", (), 10.0, False),
            ("first read", (10.0,), 10.1, False),
            ("reads over a report interval", (10.0, 11.0, 12.0), 12.5, True),
            ("reads over less", (10.0, 11.0), 11.4, False),
            ("last read too old", (10.0, 11.0, 12.0), 14.1, False),
            ("first read after a gap", (10.0, 11.0, 12.0, 14.5), 14.6, False),
            ("reads after a gap", (10.0, 12.0, 14.5, 15.5, 16.0), 16.1, True),
        )
        for name, read_times, now, is_current in cases:
            with self.subTest(name):
                freshness = _platform_topics.RegistryFreshness(
                    datetime.timedelta(seconds=1.5))
                for sent_at in read_times:
                    freshness.mark_read(sent_at)
                self.assertIs(freshness.is_current(now), is_current)


class RegistryReaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests which reads of the registry count as reads to its end."""

    async def test_long_poll_that_ends_early_is_not_repeated_at_once(self):
        """Checks how often a topic is read whose store holds no read back.

        The store replies after 20 ms. Guards against reads without a pause,
        each of which is a call to the store.
        """
        store = fakes.FakeStore()
        read_times: list[float] = []
        reader = _platform_topics.PlatformTopicReader(
            platform.OPERATOR_TOPIC, datetime.timedelta(seconds=1),
            datetime.timedelta(0), store, adapters.SystemClock(),
            fakes.build_log(), _metrics.ClusterMetrics(), lambda record: None,
            lambda keys: None, read_times.append)
        task = asyncio.create_task(reader.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(1.0)
        self.assertGreaterEqual(len(read_times), 3)
        self.assertLessEqual(len(read_times), 8)

    async def test_failed_reads_do_not_count(self):
        """Checks that reads are reported, except while the store is down.

        Guards against an outdated registry that counts as current.
        """
        store = fakes.FakeStore()
        read_times: list[float] = []
        reader = _platform_topics.PlatformTopicReader(
            platform.REGISTRY_TOPIC, datetime.timedelta(0),
            datetime.timedelta(milliseconds=5), store, adapters.SystemClock(),
            fakes.build_log(), _metrics.ClusterMetrics(), lambda record: None,
            lambda keys: None, read_times.append)
        task = asyncio.create_task(reader.run())
        try:
            await asyncio.sleep(0.1)
            self.assertGreater(len(read_times), 1)
            store.is_down = True
            await asyncio.sleep(0.02)
            read_count = len(read_times)
            await asyncio.sleep(0.1)
            self.assertEqual(len(read_times), read_count)
            store.is_down = False
            await asyncio.sleep(0.4)
            self.assertGreater(len(read_times), read_count)
        finally:
            task.cancel()


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a reader whose callbacks raise errors that nobody expects."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.log = fakes.RecordingLog()
        self.read_keys: list[str] = []
        self.load_errors: list[Exception] = []
        self.reader = _platform_topics.PlatformTopicReader(
            platform.REGISTRY_TOPIC, datetime.timedelta(0),
            datetime.timedelta(milliseconds=5), self.store,
            adapters.SystemClock(), self.log, _metrics.ClusterMetrics(),
            self.handle_record, self.handle_load)

    def start(self) -> None:
        """Starts the reader until the test ends."""
        self.addCleanup(asyncio.create_task(self.reader.run()).cancel)

    def handle_record(self, record: ports.KeyedRecord) -> None:
        """Keeps the key of a record; fails for the key `odd`."""
        if record.key == "odd":
            raise KeyError("unexpected")
        self.read_keys.append(record.key)

    def handle_load(self, keys: set[str]) -> None:
        """Fails once for each of `load_errors`."""
        del keys
        if self.load_errors:
            raise self.load_errors.pop()

    def write(self, key: str) -> None:
        """Stores a record."""
        self.store.write(platform.REGISTRY_TOPIC, ports.KeyedRecord(key, b"1"))

    async def wait_for_key(self, key: str) -> None:
        """Waits until the reader has passed on a record of a key."""
        async with asyncio.timeout(5):
            while key not in self.read_keys:
                await asyncio.sleep(0.005)

    async def test_error_for_one_record(self):
        """Guards against one record that ends the reader for good."""
        for key in ("a", "odd", "b"):
            self.write(key)
        self.start()
        await self.wait_for_key("b")
        for key in ("odd", "odd", "c"):
            self.write(key)
        await self.wait_for_key("c")
        self.assertEqual([(fields["topic"], fields["key"])
                          for fields in self.log.list_fields("internal-error")],
                         [(platform.REGISTRY_TOPIC, "odd")])

    async def test_error_after_a_load(self):
        """Guards against one error that ends the reader for good."""
        self.load_errors.append(ValueError("unexpected"))
        self.write("a")
        self.start()
        await self.wait_for_key("a")
        self.write("b")
        await self.wait_for_key("b")
        self.assertIn("unexpected",
                      self.log.list_fields("internal-error")[0]["error"])


class WorkerRegistryTest(unittest.TestCase):
    """Tests of the capacity in registry entries."""

    def setUp(self):
        self.entries: list[ports.WorkerEntry] = []
        self.removed_ids: list[str] = []
        self.metrics = _metrics.ClusterMetrics()
        self.registry = _platform_topics.WorkerRegistry(fakes.build_log(),
                                                        self.metrics,
                                                        self.entries.append,
                                                        self.removed_ids.append)

    def apply_capacity(self, capacity: object, **fields) -> None:
        """Applies an entry with a capacity."""
        document = {
            "service": "svc",
            "address": "10.0.0.1:80",
            "zone": "north-1",
            "state": "ready",
            "capacity": capacity,
            "labels": ["a"],
            **fields
        }
        self.registry.apply_record(
            ports.KeyedRecord("w1",
                              json.dumps(document).encode()))

    def test_each_entry_shows_the_present_capacity(self):
        """Checks the capacity after a worker shrinks, grows and is replaced.

        A missing resource counts as none. Guards against starts by a former
        capacity.
        """
        for capacity, expected in (({
                "cpu": 8000,
                "mem_mb": 100,
                "gpu": 2
        }, (8000, 100, 2)), ({
                "cpu": 2000,
                "mem_mb": 50
        }, (2000, 50, 0)), ({
                "mem_mb": 50
        }, (0, 50, 0)), ({}, (0, 0, 0)), ({
                "cpu": 16_000.0,
                "mem_mb": 200
        }, (16_000, 200, 0))):
            with self.subTest(capacity):
                self.apply_capacity(capacity)
                entry = self.entries[-1]
                self.assertEqual(
                    (entry.cpu_millis, entry.memory_mib, entry.accelerators),
                    expected)

    def test_repeated_entry_is_passed_on_but_not_decoded(self):
        """Checks the calls and the decoded entries over the life of a worker.

        Each step has the changed fields, whether the entry is decoded, and the
        domain that is passed on; None removes the worker. Guards against a
        processor time that grows with the workers, and against an entry from a
        worker's former life.
        """
        for sequence, (fields, is_decoded, domain) in enumerate((
            ({}, True, "north-1"),
            ({}, False, "north-1"),
            ({
                "state": "draining",
                "remaining_ms": 900
            }, True, "north-1"),
            ({
                "state": "draining",
                "remaining_ms": 800
            }, True, "north-1"),
            (None, False, None),
            ({
                "state": "draining",
                "remaining_ms": 800
            }, True, "north-1"),
            ({
                "zone": "north-2",
                "service": "other"
            }, True, "north-2"),
            ({
                "zone": "north-2",
                "service": "other"
            }, False, "north-2"),
            ({
                "zone": 7
            }, True, None),
            ({
                "zone": "north-2",
                "service": "other"
            }, True, "north-2"),
        )):
            with self.subTest(sequence=sequence):
                self.entries.clear()
                known_count = self.count_decoded()
                if fields is None:
                    self.registry.apply_record(ports.KeyedRecord("w1", b""))
                else:
                    with contextlib.suppress(errors.ProtocolError):
                        self.apply_capacity({"cpu": 8000},
                                            sequence=sequence,
                                            **fields)
                self.assertEqual(self.count_decoded() - known_count, is_decoded)
                self.assertEqual([entry.domain for entry in self.entries],
                                 [domain] if domain else [])
                self.assertEqual("w1" in self.registry.entries, bool(domain))

    def count_decoded(self) -> int:
        """Returns the number of entries decoded so far."""
        return self.metrics.work.records_decoded[platform.REGISTRY_TOPIC]

    def test_unreadable_capacity_removes_the_worker(self):
        """Checks that a worker is not used while its capacity is unreadable.

        Guards against starts by the capacity of the entry before.
        """
        for capacity in (None, [], 8000, {
                "cpu": "8000"
        }, {
                "cpu": -1
        }, {
                "cpu": True
        }, {
                "mem_mb": 0.5
        }):
            with self.subTest(capacity):
                self.setUp()
                self.apply_capacity({"cpu": 8000, "mem_mb": 100})
                with self.assertRaises(errors.ProtocolError):
                    self.apply_capacity(capacity)
                self.assertEqual(self.removed_ids, ["w1"])
                self.assertEqual(self.registry.entries, {})
                self.apply_capacity({"cpu": 4000, "mem_mb": 100})
                self.assertEqual(self.entries[-1].cpu_millis, 4000)
