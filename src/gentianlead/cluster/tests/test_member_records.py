"""Tests of the records by which a daemon announces itself."""

import asyncio
import unittest

from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes


class MemberRecordTest(unittest.IsolatedAsyncioTestCase):
    """Tests the member records of a daemon whose store rejects all records."""

    async def test_rejected_record_is_not_repeated_without_pause(self):
        """Guards against a loop that appends, and logs, without a pause."""
        store = fakes.FakeStore()
        store.record_bytes = 0
        daemon = daemons.start_daemon(self, "entry-1", store)
        await asyncio.sleep(1.5)
        self.assertGreaterEqual(store.append_calls, 2)
        self.assertLessEqual(store.append_calls, 4)
        # pylint: disable=protected-access
        lines = daemon._log.list_fields("member-record-not-stored")
        self.assertEqual(len(lines), store.append_calls)
