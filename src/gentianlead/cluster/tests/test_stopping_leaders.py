"""Tests of the records of leaders and candidates that stop."""

import asyncio
import datetime
import unittest
from typing import Sequence
from unittest import mock

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _job_topic
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes


class SlowClaimStore(fakes.FakeStore):
    """Store that delays the reply to a claim until the test lets it go on.

    Attributes:
        has_paused: Set when the claim is stored.
        may_continue: Set by the test to let the reply be sent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_paused = asyncio.Event()
        self.may_continue = asyncio.Event()

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        offset = await super().append(topic, records, producer, sequence,
                                      timeout)
        if producer.name == f"g/{daemons.GROUP}" and sequence == 1:
            self.has_paused.set()
            await self.may_continue.wait()
        return offset


def list_leader_records(store: fakes.FakeStore) -> list[dispatch.LeaderRecord]:
    """Returns all stored records of leaders of the only group."""
    records = map(dispatch.decode_record, store.records[dispatch.JOB_TOPIC])
    return [
        record for record in records
        if isinstance(record, dispatch.LeaderRecord)
    ]


class StoppingCandidateTest(unittest.IsolatedAsyncioTestCase):
    """Tests a daemon that is told to stop while its claim is under way."""

    async def test_claim_is_followed_by_a_resignation(self):
        """Guards against a group that nobody leads until a leader is missed.

        The successor would also wait for workers as after the loss of a leader.
        """
        store = SlowClaimStore()
        daemon = daemons.start_daemon(self, "entry-1", store)
        # pylint: disable=protected-access
        async with asyncio.timeout(10):
            await store.has_paused.wait()
            daemon._stop_requested.set()
            await asyncio.sleep(0.05)
            store.may_continue.set()
            while not daemon._log.list_fields("daemon-stopped"):
                await asyncio.sleep(0.01)
        self.assertEqual(list_leader_records(store)[-1].node, "")


class SlowResignationStore(fakes.FakeStore):
    """Store that replies late to a resignation.

    Attributes:
        has_paused: Set when the resignation is stored.
        may_continue: Set by the test to let the reply be sent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_paused = asyncio.Event()
        self.may_continue = asyncio.Event()

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        offset = await super().append(topic, records, producer, sequence,
                                      timeout)
        decoded_records = list(map(dispatch.decode_record, records))
        if any(
                isinstance(record, dispatch.LeaderRecord) and not record.node
                for record in decoded_records):
            self.has_paused.set()
            await self.may_continue.wait()
        return offset


class ResigningLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests the records of a leader that resigns."""

    async def test_no_heartbeat_follows_the_resignation(self):
        """Guards against a resignation that a heartbeat takes back.

        The group would have no leader until the others miss its heartbeats.
        """
        store = SlowResignationStore()
        daemon = daemons.start_daemon(self, "entry-1", store)
        # pylint: disable=protected-access
        async with asyncio.timeout(10):
            while daemons.GROUP not in daemon._leaders:
                await asyncio.sleep(0.01)
            leader = daemon._leaders[daemons.GROUP]
            while not leader._is_start_allowed():
                await asyncio.sleep(0.01)
            daemon._stop_requested.set()
            await store.has_paused.wait()
            leader._flush_requested.set()
            await asyncio.sleep(0.1)
            store.may_continue.set()
            while not daemon._log.list_fields("daemon-stopped"):
                await asyncio.sleep(0.01)
        self.assertEqual(list_leader_records(store)[-1].node, "")


class ResignationNoticeTest(unittest.IsolatedAsyncioTestCase):
    """Tests how soon other daemons know of a resignation."""

    async def test_other_daemons_read_a_resignation_at_once(self):
        """Guards against waits that last for the pause between two reads.

        The rest of a lease counts from the read, and the group has no leader
        before it.
        """
        store = fakes.FakeStore()
        # pylint: disable=protected-access
        running_daemons = [
            daemons.start_daemon(self, node, store)
            for node in ("entry-1", "entry-2")
        ]
        async with asyncio.timeout(20):
            while not all(daemon._peering.list_reachable_daemons()
                          for daemon in running_daemons) or not any(
                              daemon._leaders for daemon in running_daemons):
                await asyncio.sleep(0.01)
        leader, other = sorted(running_daemons,
                               key=lambda daemon: not daemon._leaders)
        with mock.patch.object(_job_topic, "MIN_READ_INTERVAL",
                               datetime.timedelta(minutes=1)):
            # The present pause and read of the other daemon end.
            await asyncio.sleep(0.5)
            leader._stop_requested.set()
            async with asyncio.timeout(1):
                while other._topic_reader.job_table.leaders[
                        daemons.GROUP].record.node:
                    await asyncio.sleep(0.01)
