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

    async def test_leader_hands_its_runs_to_the_returning_daemon(self):
        """Guards against a voluntary takeover with the wait after a failure.

        A daemon of another domain leads the group.
        """
        await self.check_hand_back("south-1", "leader is in another domain")

    async def test_leader_hands_its_runs_to_a_larger_daemon(self):
        """Guards against a large VM that follows a leader on a small one."""
        await self.check_hand_back(daemons.GROUP,
                                   "another member has more capacity")

    async def check_hand_back(self, domain: str, reason: str) -> None:
        """Checks that a leader of a domain on a small VM is replaced once."""
        for name in ("MIN_FAILBACK_TERM", "FAILBACK_DELAY"):
            patch = mock.patch.object(_election, name,
                                      datetime.timedelta(seconds=0.3))
            patch.start()
            self.addCleanup(patch.stop)
        recovery_patch = mock.patch.object(_election, "STORE_RECOVERY_WAIT",
                                           datetime.timedelta(0))
        recovery_patch.start()
        self.addCleanup(recovery_patch.stop)
        store = fakes.FakeStore()
        other_daemon = daemons.start_daemon(self,
                                            "entry-x",
                                            store,
                                            domain=domain,
                                            processor_cores=0.5)
        # pylint: disable=protected-access
        await leading.wait_until(lambda: daemons.GROUP in other_daemon._leaders)
        own_daemon = daemons.start_daemon(self,
                                          "entry-1",
                                          store,
                                          processor_cores=2.0)
        await leading.wait_until(lambda: daemons.GROUP in own_daemon._leaders)
        self.assertNotIn(daemons.GROUP, other_daemon._leaders)
        (fields,) = other_daemon._log.list_fields("lead-handed-back")
        self.assertEqual(fields["reason"], reason)
        (fields,) = own_daemon._log.list_fields("handover-applied")
        (handover,) = leading.list_records(store, dispatch.HandoverRecord)
        self.assertEqual(fields["former_epoch"], handover.epoch)
        await asyncio.sleep(0.3)
        self.assertIn(daemons.GROUP, own_daemon._leaders)
