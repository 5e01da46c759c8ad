"""Tests of a leader that resigns for a daemon of the group's own domain."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import dispatch
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch import _election


class HandBackTest(unittest.IsolatedAsyncioTestCase):
    """Tests a group whose own domain gets a daemon again."""

    def setUp(self):
        for name, seconds in (("MIN_FAILBACK_TERM", 0.3),
                              ("FAILBACK_DELAY", 0.3), ("STORE_RECOVERY_WAIT",
                                                        0)):
            patch = mock.patch.object(_election, name,
                                      datetime.timedelta(seconds=seconds))
            patch.start()
            self.addCleanup(patch.stop)

    async def test_leader_hands_its_runs_to_the_returning_daemon(self):
        """Guards against a voluntary takeover with the wait after a failure.

        A daemon of another domain leads the group.
        """
        store = fakes.FakeStore()
        other_daemon = daemons.start_daemon(self,
                                            "entry-x",
                                            store,
                                            domain="south-1")
        # pylint: disable=protected-access
        await leading.wait_until(lambda: daemons.GROUP in other_daemon._leaders)
        own_daemon = daemons.start_daemon(self, "entry-1", store)
        await leading.wait_until(lambda: daemons.GROUP in own_daemon._leaders)
        self.assertNotIn(daemons.GROUP, other_daemon._leaders)
        self.assertEqual(len(other_daemon._log.list_fields("lead-handed-back")),
                         1)
        (fields,) = own_daemon._log.list_fields("handover-applied")
        (handover,) = leading.list_records(store, dispatch.HandoverRecord)
        self.assertEqual(fields["former_epoch"], handover.epoch)
        await asyncio.sleep(0.3)
        self.assertIn(daemons.GROUP, own_daemon._leaders)

    async def test_leader_hands_its_runs_to_a_larger_daemon(self):
        """Guards against a large VM that follows a leader on a small one."""
        store = fakes.FakeStore()
        small_daemon = daemons.start_daemon(self,
                                            "entry-1",
                                            store,
                                            processor_cores=0.5)
        # pylint: disable=protected-access
        await leading.wait_until(lambda: daemons.GROUP in small_daemon._leaders)
        large_daemon = daemons.start_daemon(self,
                                            "entry-2",
                                            store,
                                            processor_cores=2.0)
        await leading.wait_until(lambda: daemons.GROUP in large_daemon._leaders)
        (fields,) = small_daemon._log.list_fields("lead-handed-back")
        self.assertEqual(fields["reason"], "another member has more capacity")
        self.assertEqual(len(large_daemon._log.list_fields("handover-applied")),
                         1)
        # Several terms, in which a group that goes back and forth would change.
        await asyncio.sleep(1)
        self.assertIn(daemons.GROUP, large_daemon._leaders)
        self.assertEqual(large_daemon._log.list_fields("lead-handed-back"), [])
