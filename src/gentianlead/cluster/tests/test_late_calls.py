"""Tests of repeated status calls while the event loop is late."""

import asyncio
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

DELAY_S = 0.25


class SilencedWorkers(leading.FakeWorkers, ports.LoopDelay):
    """A worker that replies until its lease was renewed, and a late loop.

    Attributes:
        renewals: Whether each call without a reply renews the lease.
        on_first_silence: Called during the first call without a reply.
    """

    def __init__(self) -> None:
        super().__init__()
        self.renewals: list[bool] = []
        self._is_silent = False
        self.on_first_silence = lambda: None
        self._total_delay_s = 0.0

    def read_total_s(self) -> float:
        return self._total_delay_s

    async def poll_status(self, entry, fence_token, acknowledged_number,
                          expires_at_ms, wait, timeout):
        if not self._is_silent:
            self._is_silent = expires_at_ms is not None
            await asyncio.sleep(0.01)
            return ports.WorkerStatus(1, 1, (), ())
        self.renewals.append(expires_at_ms is not None)
        if len(self.renewals) == 1:
            self.on_first_silence()
        await asyncio.sleep(timeout.total_seconds() + DELAY_S)
        self._total_delay_s += DELAY_S
        raise errors.WorkerError("no reply", errors.Verdict.MAY_HAVE_RUN)


class RepeatedCallTest(unittest.IsolatedAsyncioTestCase):
    """Tests the calls to a worker that has become silent."""

    def start_leader(self, workers: SilencedWorkers,
                     log: fakes.RecordingLog) -> _group_leader.GroupLeader:
        """Starts a leader of one worker, until the test ends."""
        clock = adapters.SystemClock()
        metrics = _metrics.ClusterMetrics()
        writer = _job_topic.JobTopicWriter(
            fakes.FakeStore(), ports.Producer("g/north-1", builders.EPOCH),
            clock, log, metrics)
        leader = _group_leader.GroupLeader(
            "north-1", builders.EPOCH, 0, leading.TIMINGS,
            ("entry-1", "entry-1#1"), workers,
            mock.create_autospec(ports.PermitService), writer, clock, log,
            metrics, lambda report: None, lambda group, reason: None, dict,
            dispatch.InterferenceModel(), workers)
        leader.put_worker(builders.build_worker("w0"))
        leader.start()
        self.addAsyncCleanup(leader.stop)
        return leader

    async def wait_for_loss(self, log: fakes.RecordingLog) -> None:
        """Waits until the worker counts as lost."""
        async with asyncio.timeout(15):
            while not log.list_fields("worker-lost"):
                await asyncio.sleep(0.02)

    async def test_lease_of_a_silent_worker_is_not_renewed_again(self):
        """Guards against runs of a worker that is gone which count for longer.

        The runs are given up when the lease that was sent last has expired.
        """
        log = fakes.RecordingLog()
        workers = SilencedWorkers()
        self.start_leader(workers, log)
        await self.wait_for_loss(log)
        self.assertEqual(sum(workers.renewals), 1, workers.renewals)

    async def test_order_without_a_reply_ends_no_repetition(self):
        """Guards against a late leader that loses workers by its orders.

        An order gets no reply while the status call is under way.
        """
        log = fakes.RecordingLog()
        workers = SilencedWorkers()
        leader = self.start_leader(workers, log)

        def fail_order() -> None:
            leader.scheduler.workers["w0"].is_reachable = False

        workers.on_first_silence = fail_order
        await self.wait_for_loss(log)
        self.assertEqual(len(log.list_fields("status-call-late")), 2)
