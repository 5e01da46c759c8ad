"""Tests of how long a new leader waits for workers that do not reply."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import dispatch
from gentianlead.cluster import _takeover_wait
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes

LEASE = datetime.timedelta(seconds=5)
PERMISSION_S = _takeover_wait.START_PERMISSION_PERIOD.total_seconds()


class TakeoverEndTest(unittest.TestCase):
    """Tests when no run of a former leader can go on at such a worker.

    The first record of the former leader was read at 100 s, the last one at
    200 s.
    """

    def compute_last_start(self,
                           process_ended_at: float | None,
                           is_sole: bool = False) -> float:
        """Returns the last time at which the former leader may start a run."""
        former_leader = dispatch.LeaderEntry(
            dispatch.LeaderRecord("n1", 70, "a", "a#1", 1, is_sole), 5, 200.0,
            100.0)
        takeover_end = _takeover_wait.compute_takeover_end(
            LEASE, former_leader, process_ended_at)
        return takeover_end - (LEASE * _takeover_wait.CLOCK_DRIFT_FACTOR +
                               _takeover_wait.TAKEOVER_MARGIN).total_seconds()

    def test_permission_counts_from_the_last_record(self):
        """Guards against tasks that wait for a dead worker for too long.

        The permission has been running out since the last record of the former
        leader, not only since the takeover.
        """
        self.assertAlmostEqual(self.compute_last_start(None),
                               200.0 + PERMISSION_S)

    def test_permission_ends_with_the_process(self):
        """Guards against a wait for starts of a process that has ended."""
        self.assertAlmostEqual(self.compute_last_start(201.0), 201.0)
        self.assertAlmostEqual(self.compute_last_start(210.0),
                               200.0 + PERMISSION_S)

    def test_permission_of_an_earlier_leader(self):
        """Guards against a second run beside one of an earlier leader.

        The former leader ended soon after its first record, while the leader
        before it may still have a permission.
        """
        self.assertAlmostEqual(self.compute_last_start(101.0),
                               100.0 + PERMISSION_S)

    def test_permission_ends_with_the_resignation(self):
        """Guards against a wait for starts of a leader that has resigned.

        Only a leader before it may still have a permission, unless the one that
        resigned was the sole one.
        """
        for is_sole, first_read_at, last_start_at in ((True, 199.0, 200.0),
                                                      (False, 100.0, 200.0),
                                                      (False, 199.0,
                                                       199.0 + PERMISSION_S)):
            with self.subTest(is_sole=is_sole, first_read_at=first_read_at):
                former_leader = dispatch.LeaderEntry(
                    dispatch.LeaderRecord("n1", 70, "", "", 9, is_sole), 5,
                    200.0, first_read_at)
                takeover_end = _takeover_wait.compute_takeover_end(
                    LEASE, former_leader, None)
                self.assertAlmostEqual(
                    takeover_end, last_start_at +
                    (LEASE * _takeover_wait.CLOCK_DRIFT_FACTOR +
                     _takeover_wait.TAKEOVER_MARGIN).total_seconds())

    def test_claim_counts_for_the_leaders_before_it(self):
        """Guards against a second run beside one of a leader that is not known.

        The former leader only claimed the group. It has started no runs, but
        the leader before it could until the claim was stored.
        """
        former_leader = dispatch.LeaderEntry(
            dispatch.LeaderRecord("n1", 70, "a", "a#1", 0), 5, 200.0, 100.0)
        for process_ended_at in (None, 101.0, 210.0):
            with self.subTest(process_ended_at):
                takeover_end = _takeover_wait.compute_takeover_end(
                    LEASE, former_leader, process_ended_at)
                self.assertAlmostEqual(
                    takeover_end, 100.0 + PERMISSION_S +
                    (LEASE * _takeover_wait.CLOCK_DRIFT_FACTOR +
                     _takeover_wait.TAKEOVER_MARGIN).total_seconds())

    def test_no_earlier_leader_beside_a_sole_one(self):
        """Guards against a full wait by a daemon that just loaded the topic.

        Such a daemon takes the time of its load for that of the first record.
        """
        self.assertAlmostEqual(self.compute_last_start(101.0, is_sole=True),
                               101.0)


class SoleLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests when a leader states that no earlier leader's run can go on."""

    async def test_sole_leader_is_stored_after_the_takeover_wait(self):
        """Guards against a successor that relies on an unfinished wait."""
        store = fakes.FakeStore()
        daemon = daemons.start_daemon(self, "entry-1", store)
        async with asyncio.timeout(10):
            # pylint: disable-next=protected-access
            while not (leaders := daemon._leaders):
                await asyncio.sleep(0.02)
            # The claim and the first record of the leader.
            while len(self.list_sole_flags(store)) < 2:
                await asyncio.sleep(0.02)
            self.assertFalse(any(self.list_sole_flags(store)))
            leaders[daemons.GROUP].scheduler.limit_takeover_wait(0.0)
            while not any(self.list_sole_flags(store)):
                await asyncio.sleep(0.02)

    async def test_busy_leader_stores_once_that_it_is_sole(self):
        """Guards against a long wait after a leader that always has records.

        It writes no other heartbeats, and the statement is not repeated.
        """
        store = fakes.FakeStore()
        daemon = daemons.start_daemon(self, "entry-1", store)
        async with asyncio.timeout(10):
            # pylint: disable-next=protected-access
            while not (leaders := daemon._leaders):
                await asyncio.sleep(0.02)
            leader = leaders[daemons.GROUP]
            # The claim and the first record of the leader.
            while len(self.list_sole_flags(store)) < 2:
                await asyncio.sleep(0.02)
            workers_record = dispatch.WorkersRecord(daemons.GROUP, leader.epoch,
                                                    ())
            with mock.patch.object(leader.scheduler,
                                   "build_workers_record",
                                   return_value=workers_record):
                leader.scheduler.limit_takeover_wait(0.0)
                key = dispatch.build_key(workers_record)
                while [
                        stored.key
                        for stored in store.records[dispatch.JOB_TOPIC]
                ].count(key) < 3:
                    await asyncio.sleep(0.02)
        self.assertEqual(self.list_sole_flags(store).count(True), 1)

    def list_sole_flags(self, store: fakes.FakeStore) -> list[bool]:
        """Returns `is_sole` of all stored records of leaders."""
        records = map(dispatch.decode_record,
                      store.records.get(dispatch.JOB_TOPIC, ()))
        return [
            record.is_sole
            for record in records
            if isinstance(record, dispatch.LeaderRecord)
        ]
