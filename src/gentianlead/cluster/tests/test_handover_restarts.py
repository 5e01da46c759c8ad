"""Tests of a daemon that follows a leader which has handed over."""

import asyncio
import datetime
import unittest
from typing import Sequence

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _daemon
from gentianlead.cluster import _group_leader
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class LostReplyStore(fakes.FakeStore):
    """Store that may lose the reply to a hand-over, and all calls after it.

    Attributes:
        loses_handovers: Whether it does.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loses_handovers = False

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        if self.loses_handovers and any(
                isinstance(dispatch.decode_record(record),
                           dispatch.HandoverRecord) for record in records):
            self.failures = self.failures or ["lose", *["drop"] * 20]
        return await super().append(topic, records, producer, sequence, timeout)


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


class HandoverRestartTest(unittest.IsolatedAsyncioTestCase):
    """Tests which runs the successor knows, and for whom it waits."""

    async def asyncSetUp(self) -> None:
        self.store = LostReplyStore()
        self.workers = leading.FakeWorkers()
        self.leader = leading.start_leader(self, self.store, self.workers,
                                           fakes.RecordingLog(), ("w1", "w2"))
        job = builders.build_job(JOB_ID)
        self.store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(dispatch.AcceptedRecord(job, "entry-1#1")))
        self.leader.put_job(builders.build_job_entry(job, 0))
        await leading.wait_until(lambda: any(self.workers.running.values()))

    def check_runs(self, leader: _group_leader.GroupLeader) -> None:
        """Checks that a leader tracks the run and waits for no worker."""
        (run,) = leader.scheduler.jobs[JOB_ID].list_active_runs()
        ((worker_id,
          runs),) = ((worker_id, runs)
                     for worker_id, runs in self.workers.running.items()
                     if runs)
        self.assertEqual((run.worker_id, {(run.task, run.number)}),
                         (worker_id, runs))
        self.assertEqual(leader.scheduler.list_silent_workers(), [])

    async def test_same_daemon_after_a_lost_reply(self):
        """Guards against a second run, and against a wait of 10 s (LOST).

        The resignation is stored without a reply, and the same daemon leads the
        group again as a new process.
        """
        self.store.loses_handovers = True
        await self.leader.resign()
        await self.leader.stop()
        self.assertTrue(self.store.failures)
        self.store.failures.clear()
        daemon = daemons.start_daemon(self, "entry-1", self.store)
        self.check_runs(await wait_for_leader(daemon))

    async def test_daemon_that_stops_before_its_first_record(self):
        """Guards against a hand-over that is lost with a short leadership.

        The next leader is stopped at once, and the one after it goes by the
        hand-over of the next leader.
        """
        await self.leader.resign()
        await self.leader.stop()
        second = daemons.start_daemon(self, "entry-2", self.store)
        leader = await wait_for_leader(second)
        # pylint: disable=protected-access
        second._stop_requested.set()
        await leading.wait_until(
            lambda: second._log.list_fields("daemon-stopped"))
        self.assertFalse(
            any(record.epoch == leader.epoch and record.node == "entry-2" and
                not record.is_claim for record in leading.list_records(
                    self.store, dispatch.LeaderRecord)))
        third = daemons.start_daemon(self, "entry-3", self.store)
        leader = await wait_for_leader(third)
        (fields,) = third._log.list_fields("handover-applied")
        self.assertEqual(fields["runs"], 1)
        self.check_runs(leader)
