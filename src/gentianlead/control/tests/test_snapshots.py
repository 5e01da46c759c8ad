"""Tests of the snapshots that the control loops of a cluster write."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import model
from gentianlead import state
from gentianlead import streams
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

    async def test_overdue_snapshot_is_reported(self) -> None:
        """Checks the report when the log takes no appends for half a retention.

        Guards against a state that expires without a sign in the event log.
        """
        daemon = self.cluster.start("entry-1")
        await self.cluster.advance(1)
        await self.cluster.put_domains("domain-1")
        await self.cluster.advance(1)
        daemon.observer.on_snapshot_overdue.assert_not_called()
        self.cluster.log.refuses_appends = True
        # The age of the newest snapshot is at most 1 s here.
        self.cluster.clock.now_s += 2 * QUARTER_S
        for _ in range(3):
            daemon.controller.run_round()
            await asyncio.sleep(0.01)
        reports = [
            call.args
            for call in daemon.observer.on_snapshot_overdue.call_args_list
            if call.args[0] == model.CONFIG_STREAM
        ]
        self.assertEqual(len(reports), 1)
        self.assertGreaterEqual(reports[0][1], clusters.RETENTION / 2)

    async def test_first_domain_fails(self) -> None:
        """Checks the configuration when the first domain has no daemon.

        Few records are written. Guards against snapshots of shared streams that
        no other domain writes when they are due by their age.
        """
        self.cluster.start("entry-1", "domain-1")
        self.cluster.start("entry-2", "domain-2")
        await self.cluster.advance(1)
        await self.cluster.put_domains("domain-1", "domain-2")
        await self.cluster.advance(1)
        await self.cluster.kill("entry-1")
        await self.cluster.advance(2 * clusters.RETENTION.total_seconds())
        await self.check_started_daemon("entry-3", "domain-2")

    async def test_only_first_domain_writes(self) -> None:
        """Checks who writes snapshots of shared streams in normal operation.

        Guards against every domain that writes its own copies.
        """
        first_daemon = self.cluster.start("entry-1", "domain-1")
        second_daemon = self.cluster.start("entry-2", "domain-2")
        await self.cluster.advance(1)
        await self.cluster.put_domains("domain-1", "domain-2")
        await self.cluster.advance(1)
        for daemon in (first_daemon, second_daemon):
            daemon.observer.reset_mock()
        await self.cluster.advance(2 * clusters.RETENTION.total_seconds())
        counts = [
            sum(call.args[0] == model.CONFIG_STREAM
                for call in daemon.observer.on_snapshot_written.call_args_list)
            for daemon in (first_daemon, second_daemon)
        ]
        self.assertIn(counts[0], (7, 8))
        self.assertEqual(counts[1], 0)

    async def test_append_takes_longer_than_the_wait_for_a_record(self) -> None:
        """Checks a snapshot of 1 MB that the log takes 0.6 s to append.

        Timeouts are 50 times shorter, so that a timeout of 20 s is 0.4 s and
        one of 5 s is 0.1 s. Guards against a snapshot that starts again from
        its first part, or a part that is sent again, before the log has stored
        what was sent.
        """
        submit = streams.StreamClient.submit

        async def submit_with_short_timeout(
            client: streams.StreamClient,
            record: model.Record,
            timeout: datetime.timedelta = datetime.timedelta(seconds=5)
        ) -> state.AppliedRecord:
            return await submit(client, record, timeout / 50)

        daemon = self.cluster.start("entry-0")
        await self.cluster.advance(0.3)
        for number in range(20):
            await daemon.one_time_client.submit(
                model.OnceBegun(f"{number}" * 32_768, "desk", "request"))
        self.cluster.log.append_seconds_per_byte = 0.6e-6
        with mock.patch.object(streams.StreamClient, "submit",
                               submit_with_short_timeout):
            for _ in range(100):
                self.cluster.clock.now_s += 0.01
                daemon.controller.run_round()
                await asyncio.sleep(0.05)
        written_streams = [
            call.args[0]
            for call in daemon.observer.on_snapshot_written.call_args_list
        ]
        self.assertIn(model.ONE_TIME_REQUEST_STREAM, written_streams)
