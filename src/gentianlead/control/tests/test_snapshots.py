"""Tests of the snapshots that the control loops of a cluster write."""

import unittest

from gentianlead.control.tests import clusters

QUARTER_S = clusters.RETENTION.total_seconds() / 4


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """Checks that a daemon that starts from nothing finds a snapshot."""

    async def asyncSetUp(self) -> None:
        self.cluster = clusters.Cluster()
        self.addAsyncCleanup(self.cluster.close)

    async def check_started_daemon(self, name: str, domain: str) -> None:
        """Checks that a daemon that starts now restores all streams."""
        late_daemon = self.cluster.start(name, domain)
        await self.cluster.advance(0.2)
        for client in late_daemon.clients:
            self.assertTrue(client.replica.is_complete, client.stream)
        self.assertEqual(late_daemon.controller.configuration.version, 1)

    async def test_daemons_replaced_before_a_snapshot_is_due(self) -> None:
        """Checks the configuration after a rolling restart.

        Each daemon ends earlier than a quarter of the retention after it became
        the preferred scheduler. Guards against a due time of the snapshot that
        every restart resets.
        """
        self.cluster.start("entry-0")
        await self.cluster.advance(1)
        await self.cluster.put_domains("domain-1")
        await self.cluster.advance(QUARTER_S + 1)
        for number in range(8):
            self.cluster.start(f"entry-{number + 1}")
            await self.cluster.advance(0.5)
            await self.cluster.leave(f"entry-{number}")
            await self.cluster.advance(QUARTER_S - 1)
        await self.check_started_daemon("entry-9", "domain-1")
