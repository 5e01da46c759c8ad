"""Tests of elections while reads of the job topic take long."""

import asyncio
import datetime
import time
import unittest
from typing import Sequence

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes


class SlowReadStore(ports.KeyedStore):
    """Store of one daemon with a slow link, backed by a shared store.

    Attributes:
        transfer_time: Time that the records in a reply to a read of the job
            topic take to arrive.
        claimed_at: Monotonic time in seconds of the first append of a leader
            record; None before it.
        confirmed_at: Monotonic time in seconds of the first append by the
            leader after its claim; None before it.
    """

    def __init__(self, shared_store: fakes.FakeStore):
        self.transfer_time = datetime.timedelta(0)
        self.claimed_at: float | None = None
        self.confirmed_at: float | None = None
        self._shared_store = shared_store

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        if producer.name == f"g/{daemons.GROUP}":
            if self.claimed_at is None:
                self.claimed_at = time.monotonic()
            elif self.confirmed_at is None:
                self.confirmed_at = time.monotonic()
        return await self._shared_store.append(topic, records, producer,
                                               sequence, timeout)

    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> ports.KeyedBatch | None:
        batch = await self._shared_store.read(topic, start, wait)
        if topic == dispatch.JOB_TOPIC and batch is not None and batch.records:
            await asyncio.sleep(self.transfer_time.total_seconds())
        return batch

    async def read_newest_page(
            self, topic: str, after_key: str,
            reply_timeout: datetime.timedelta) -> ports.NewestPage:
        return await self._shared_store.read_newest_page(
            topic, after_key, reply_timeout)


class SlowReadElectionTest(unittest.IsolatedAsyncioTestCase):
    """Tests elections with daemons whose reads of the job topic take long.

    Such reads succeed. They bring up to 512 KiB over a link that is slow or
    that other transfers use, too.
    """

    async def asyncSetUp(self) -> None:
        self.shared_store = fakes.FakeStore()

    def list_leader_records(self) -> list[dispatch.LeaderRecord]:
        """Returns all stored leader records of the group, oldest first."""
        return [
            dispatch.decode_record(stored)
            for stored in self.shared_store.records.get(dispatch.JOB_TOPIC, ())
            if stored.key == f"g/{daemons.GROUP}"
        ]

    async def wait_for_leader(self, time_limit: datetime.timedelta) -> None:
        """Waits until a leader has written a heartbeat.

        Raises:
            TimeoutError: None did so within the time limit.
        """
        async with asyncio.timeout(time_limit.total_seconds()):
            while not any(record.heartbeat_number > 1
                          for record in self.list_leader_records()):
                await asyncio.sleep(0.05)

    async def test_leader_is_not_replaced_during_a_slow_read(self):
        """Guards against a live leader that counts as silent.

        Its records are in the reply that a peer is still receiving.
        """
        daemons.start_daemon(self, "entry-1", self.shared_store)
        await self.wait_for_leader(datetime.timedelta(seconds=5))
        slow_store = SlowReadStore(self.shared_store)
        daemons.start_daemon(self, "entry-2", slow_store)
        await asyncio.sleep(3)
        slow_store.transfer_time = datetime.timedelta(seconds=4)
        await asyncio.sleep(4.5)
        self.assertEqual({record.node for record in self.list_leader_records()},
                         {"entry-1"})

    async def test_start_permission_counts_from_the_first_record(self):
        """Guards against a former leader that starts runs for too long.

        There is no start permission before the first record after the claim is
        stored, and then it counts from the append of that record. The claim is
        read back after 0.6 s.
        """
        store = SlowReadStore(self.shared_store)
        store.transfer_time = datetime.timedelta(seconds=0.6)
        daemon = daemons.start_daemon(self, "entry-1", store)
        # pylint: disable=protected-access
        async with asyncio.timeout(10):
            while daemons.GROUP not in daemon._leaders:
                await asyncio.sleep(0)
        writer = daemon._leaders[daemons.GROUP]._topic_writer
        self.assertIsNone(writer.last_success_sent_at)
        async with asyncio.timeout(10):
            while writer.last_success_sent_at is None:
                await asyncio.sleep(0)
        self.assertLessEqual(writer.last_success_sent_at, store.confirmed_at)
