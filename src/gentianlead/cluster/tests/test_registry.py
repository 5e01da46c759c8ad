"""Tests of how a daemon reads the worker registry."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import platform
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
