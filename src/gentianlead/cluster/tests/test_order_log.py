"""Tests of the log lines and the metric for orders that fail."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _metrics
from gentianlead.cluster import _order_sender
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

WORKER = builders.build_worker()
TASK = model.TaskKey("00000000000000aa", 0, 0, 0)


class RefusingWorkerClient(ports.LeasedWorkerClient):
    """Worker that refuses all calls."""

    async def poll_status(self, entry: ports.WorkerEntry, fence_token: int,
                          acknowledged_number: int, expires_at_ms: int | None,
                          wait: datetime.timedelta,
                          timeout: datetime.timedelta) -> ports.WorkerStatus:
        raise errors.WorkerError("refused", errors.Verdict.DID_NOT_RUN)

    async def start(self, entry: ports.WorkerEntry,
                    order: ports.LeasedStartOrder,
                    timeout: datetime.timedelta) -> ports.StartReply:
        raise NotImplementedError()

    async def stop(self, entry: ports.WorkerEntry, task: model.TaskKey,
                   run: int, fence_token: int,
                   timeout: datetime.timedelta) -> None:
        raise errors.WorkerError("refused", errors.Verdict.DID_NOT_RUN)

    async def set_throttle(self, entry: ports.WorkerEntry, task: model.TaskKey,
                           run: int, percent: int, fence_token: int,
                           timeout: datetime.timedelta) -> None:
        raise errors.WorkerError("refused", errors.Verdict.DID_NOT_RUN)


class OrderLogTest(unittest.IsolatedAsyncioTestCase):
    """Tests what is reported of orders to a worker that refuses them."""

    # pylint: disable=protected-access
    async def asyncSetUp(self):
        self.log = fakes.RecordingLog()
        self.metrics = _metrics.ClusterMetrics()
        clock = adapters.SystemClock()
        driver = builders.GroupDriver(WORKER)
        self.sender = _order_sender.OrderSender(
            driver.scheduler, RefusingWorkerClient(),
            mock.create_autospec(ports.PermitService), clock, self.log,
            self.metrics, adapters.LoopDelayMeter(clock), asyncio.create_task,
            lambda: True, lambda: None, lambda: None)

    async def test_failures_of_a_stop_are_logged_at_each_doubling(self):
        """Guards against a worker that is cut off and fills the log."""
        for failure_count in range(100):
            await self.sender._send_stop(
                dispatch.StopOrder(WORKER.worker_id, TASK, 1, "job has ended",
                                   failure_count))
        lines = self.log.list_fields("order-failed")
        self.assertEqual(len(lines), 7)
        self.assertEqual([fields["failures"] for fields in lines],
                         [1, 2, 4, 8, 16, 32, 64])
        self.assertEqual(len(self.log.list_fields("run-stopped")), 7)
        self.assertIn('gentianlead_order_retries_total{order="stop"} 99',
                      self.metrics.render().decode())

    async def test_failures_of_a_throttle_are_logged_at_each_doubling(self):
        """Guards against a worker that refuses throttles and fills the log."""
        for failure_count in range(10):
            await self.sender._send_throttle(
                dispatch.ThrottleOrder(WORKER.worker_id, TASK, 1, 50,
                                       failure_count))
        lines = self.log.list_fields("order-failed")
        self.assertEqual(len(lines), 4)
        self.assertEqual([fields["failures"] for fields in lines], [1, 2, 4, 8])
        self.assertIn('gentianlead_order_retries_total{order="throttle"} 9',
                      self.metrics.render().decode())
