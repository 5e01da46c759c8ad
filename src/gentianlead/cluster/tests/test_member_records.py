"""Tests of the records by which a daemon announces itself."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _membership
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peering
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.platform.tests import test_formats


class CapacityRecordTest(unittest.IsolatedAsyncioTestCase):
    """Tests how a daemon announces what its VM has."""

    async def test_capacity_is_stored_with_the_first_member_record(self):
        """Guards against a member that ranks as one of unknown capacity.

        The store refuses the first append.
        """
        store = fakes.FakeStore()
        store.failures = ["refuse"]
        writer = _job_topic.JobTopicWriter(store, ports.Producer("n/a#1", 1),
                                           adapters.SystemClock(),
                                           fakes.RecordingLog(),
                                           _metrics.ClusterMetrics())
        writer.start()
        self.addAsyncCleanup(writer.stop)
        settings = platform.parse_settings(
            test_formats.SETTINGS_TEXT +
            "[limits]\ncpu_share = 0.5\ncores = 3\nlink_mbps = 20")
        announcer = _membership.MemberAnnouncer(settings, "entry-1#1", writer,
                                                adapters.SystemClock(),
                                                fakes.RecordingLog())
        with mock.patch.object(_membership, "MEMBER_RECORD_INTERVAL",
                               datetime.timedelta(seconds=0.1)):
            task = asyncio.create_task(announcer.run("127.0.0.1:1"))
            self.addCleanup(task.cancel)
            await leading.wait_until(lambda: len(
                leading.list_records(store, dispatch.MemberRecord)) > 1)
        (record,) = leading.list_records(store, dispatch.CapacityRecord)
        self.assertEqual(record, ("entry-1", "entry-1#1", 1.5, 20.0))
        self.assertEqual(store.records[dispatch.JOB_TOPIC][0].key, "v/entry-1")


class MembershipTest(unittest.TestCase):
    """Tests the peers that a daemon selects by the records of members."""

    def test_candidates_are_those_of_elections(self):
        """Guards against a daemon that does not know the first candidates."""
        job_table = dispatch.JobTable()
        for number in range(20):
            name = f"entry-{number}"
            for record in (dispatch.CapacityRecord(name, f"{name}#1",
                                                   2.0 if number > 16 else 0.5,
                                                   200.0),
                           dispatch.MemberRecord(name, f"{name}#1", "", "north",
                                                 1)):
                job_table.apply(dispatch.encode_record(record), 1.0)
        reader = mock.Mock(job_table=job_table, fresh_as_of=1.0)
        peering = mock.create_autospec(_peering.Peering, instance=True)
        peering.find_reachability.return_value = _peering.Reachability(
            frozenset(), frozenset())
        _membership.Membership("entry-0", ("north",), reader,
                               peering).update_peers()
        (_, selected_names), _ = peering.set_members.call_args
        self.assertEqual(selected_names, {"entry-17", "entry-18", "entry-19"})


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
