"""Tests of daemons that claim the leadership of a group at the same time."""

import asyncio
import datetime
import unittest
from typing import Sequence

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _daemon
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _takeover_wait
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

RIVAL = "entry-2"


class RivalStore(fakes.FakeStore):
    """Store that receives a claim of another daemon beside the first claim.

    The other claim is a copy of the first one with another node and epoch, and
    its writer does nothing else.

    Attributes:
        epoch_difference: Epoch of the other claim less that of the first one.
            The other claim is stored before the first one if it is negative,
            else after it.
        has_rival_claimed: Whether the other claim was stored.
    """

    def __init__(self, epoch_difference: int) -> None:
        super().__init__()
        self.epoch_difference = epoch_difference
        self.has_rival_claimed = False

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        is_claim = (producer.name == f"g/{daemons.GROUP}" and
                    not self.has_rival_claimed)
        self.has_rival_claimed |= is_claim
        if is_claim and self.epoch_difference < 0:
            await self.append_rival_claim(records[0], timeout)
        offset = await super().append(topic, records, producer, sequence,
                                      timeout)
        if is_claim and self.epoch_difference > 0:
            await self.append_rival_claim(records[0], timeout)
        return offset

    async def append_rival_claim(self, claim: ports.KeyedRecord,
                                 timeout: datetime.timedelta) -> None:
        """Stores the claim of the other daemon."""
        record = dispatch.decode_record(claim)
        rival_record = record._replace(epoch=record.epoch +
                                       self.epoch_difference,
                                       node=RIVAL,
                                       incarnation=f"{RIVAL}#1")
        await super().append(
            dispatch.JOB_TOPIC, [dispatch.encode_record(rival_record)],
            ports.Producer(f"g/{daemons.GROUP}", rival_record.epoch), 1,
            timeout)


class LosingClaimTest(unittest.IsolatedAsyncioTestCase):
    """Tests a claim that another daemon's claim follows at once."""

    async def test_losing_claim_is_logged(self):
        """Guards against a log that hides why the winner has to wait."""
        daemon = daemons.start_daemon(self, "entry-1", RivalStore(1))
        # pylint: disable=protected-access
        async with asyncio.timeout(5):
            while not daemon._log.list_fields("lead-not-taken"):
                await asyncio.sleep(0.01)
        (fields,) = daemon._log.list_fields("lead-not-taken")
        self.assertEqual(fields["group"], daemons.GROUP)
        self.assertIn(f"{RIVAL}#1", fields["error"])
        self.assertNotIn(daemons.GROUP, daemon._leaders)


class ClaimWaitTest(unittest.IsolatedAsyncioTestCase):
    """Tests the wait of a leader after a claim that led to no leadership."""

    async def test_losing_claim_costs_no_wait(self):
        """Guards against a full wait because another daemon claimed as well.

        The process of the last leader has ended, and only its lease counts.
        """
        store = RivalStore(-1)
        write_former_leader(store)
        daemon = daemons.start_daemon(self, "entry-1", store)
        leader = await wait_for_leader(daemon)
        # pylint: disable=protected-access
        lease = daemon._get_lease_length()
        wait = (lease * _takeover_wait.CLOCK_DRIFT_FACTOR +
                _takeover_wait.TAKEOVER_MARGIN)
        self.assertTrue(store.has_rival_claimed)
        self.assertTrue(
            leader.scheduler.is_takeover_over(daemon._clock.monotonic() +
                                              wait.total_seconds()))
        self.assertFalse(
            leader.scheduler.is_takeover_over(daemon._clock.monotonic()))


class LateRivalStore(fakes.FakeStore):
    """Store that receives a claim of a candidate whose view is a little old.

    It is stored `DELAY` after the first claim, with a higher epoch.

    Attributes:
        stored_before_rival: Records of the group's leader that were stored
            before that.
        has_rival_claimed: Set when the claim is stored.
    """

    DELAY = _daemon.CLAIM_CHECK_DELAY + datetime.timedelta(milliseconds=15)

    def __init__(self) -> None:
        super().__init__()
        self.stored_before_rival: list[dispatch.LeaderRecord] = []
        self.has_rival_claimed = asyncio.Event()
        self._rival_task: asyncio.Task | None = None

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        offset = await super().append(topic, records, producer, sequence,
                                      timeout)
        if producer.name == f"g/{daemons.GROUP}" and self._rival_task is None:
            self._rival_task = asyncio.create_task(
                self._claim(dispatch.decode_record(records[0])))
        return offset

    async def _claim(self, first_claim: dispatch.LeaderRecord) -> None:
        await asyncio.sleep(self.DELAY.total_seconds())
        records = map(dispatch.decode_record, self.records[dispatch.JOB_TOPIC])
        self.stored_before_rival = [
            record for record in records
            if isinstance(record, dispatch.LeaderRecord) and
            record.epoch == first_claim.epoch
        ]
        rival_claim = first_claim._replace(epoch=first_claim.epoch + 1,
                                           node=RIVAL,
                                           incarnation=f"{RIVAL}#1")
        await super().append(
            dispatch.JOB_TOPIC, [dispatch.encode_record(rival_claim)],
            ports.Producer(f"g/{daemons.GROUP}", rival_claim.epoch), 1,
            _daemon.ACQUIRE_LEADERSHIP_TIMEOUT)
        self.has_rival_claimed.set()


class LateClaimTest(unittest.IsolatedAsyncioTestCase):
    """Tests a claim that is stored soon after that of another candidate."""

    async def test_first_claim_counts_as_a_claim_only(self):
        """Guards against a full start permission in the wait of the second one.

        The second candidate read the topic before the first claim was stored. A
        leader that was superseded at once has to be known as one that started
        nothing.
        """
        store = LateRivalStore()
        write_former_leader(store)
        await wait_for_leader(daemons.start_daemon(self, "entry-1", store))
        async with asyncio.timeout(10):
            await store.has_rival_claimed.wait()
        self.assertEqual(
            [record.is_claim for record in store.stored_before_rival], [True])


class FirstRecordTest(unittest.IsolatedAsyncioTestCase):
    """Tests what a leader does before its successors know that it leads."""

    async def test_no_start_before_the_first_record(self):
        """Guards against a second run beside one that no record announces.

        A successor does not wait for runs of a daemon that only claimed the
        group.
        """
        store = PausingStore()
        write_former_leader(store)
        daemon = daemons.start_daemon(self, "entry-1", store)
        leader = await wait_for_leader(daemon)
        async with asyncio.timeout(5):
            await store.has_paused.wait()
        # pylint: disable=protected-access
        self.assertTrue(daemon._topic_reader.job_table.leaders[
            daemons.GROUP].record.is_claim)
        self.assertFalse(leader._is_start_allowed())
        store.may_continue.set()
        async with asyncio.timeout(5):
            while not leader._is_start_allowed():
                await asyncio.sleep(0.01)
        # The first call to the store may be the only one that succeeds.
        self.assertIsInstance(store.paused_records[0], dispatch.LeaderRecord)
        self.assertFalse(store.paused_records[0].is_claim)


class PausingStore(fakes.FakeStore):
    """Store that delays the first append of a leader after its claim.

    Attributes:
        has_paused: Set when the append has arrived.
        may_continue: Set by the test to let it be stored.
        paused_records: Records of the append.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_paused = asyncio.Event()
        self.may_continue = asyncio.Event()
        self.paused_records: list[dispatch.Record | None] = []

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        if producer.name == f"g/{daemons.GROUP}" and sequence == 2:
            self.paused_records = [
                dispatch.decode_record(record) for record in records
            ]
            self.has_paused.set()
            await self.may_continue.wait()
        return await super().append(topic, records, producer, sequence, timeout)


def write_former_leader(store: fakes.FakeStore) -> None:
    """Stores a sole leader with one worker, whose process has ended since."""
    store.write(
        dispatch.JOB_TOPIC,
        *(dispatch.encode_record(record) for record in (
            dispatch.LeaderRecord(daemons.GROUP, 5, "entry-1", "entry-1#0", 9,
                                  True),
            dispatch.WorkersRecord(daemons.GROUP, 5, (
                builders.build_worker("w1"),)),
        )))


async def wait_for_leader(
        daemon: _daemon.ClusterDaemon) -> _group_leader.GroupLeader:
    """Waits until a daemon without reachable workers leads the only group."""
    # pylint: disable=protected-access
    daemon._worker_client.poll_status.side_effect = errors.WorkerError(
        "no reply", errors.Verdict.MAY_HAVE_RUN)
    async with asyncio.timeout(10):
        while daemons.GROUP not in daemon._leaders:
            await asyncio.sleep(0.01)
    return daemon._leaders[daemons.GROUP]
