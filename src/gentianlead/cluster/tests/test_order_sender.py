"""Tests of the sending of orders."""

import asyncio
import datetime
import time
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _metrics
from gentianlead.cluster import _order_sender
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class LateStartTest(unittest.IsolatedAsyncioTestCase):
    """Tests start orders whose leader was suspended after it planned them."""

    async def asyncSetUp(self) -> None:
        self.is_start_allowed = True
        self.workers = leading.FakeWorkers()
        self.log = fakes.RecordingLog()
        clock = adapters.SystemClock()
        self.driver = builders.GroupDriver(builders.build_worker(),
                                           now=clock.monotonic())
        self.driver.put_job(JOB_ID)
        self.sender = _order_sender.OrderSender(
            self.driver.scheduler, self.workers,
            mock.create_autospec(ports.PermitService), clock, self.log,
            _metrics.ClusterMetrics(), adapters.LoopDelayMeter(clock),
            asyncio.get_running_loop().create_task,
            lambda: self.is_start_allowed, lambda: None, lambda: None)

    async def send(self, order: dispatch.StartOrder) -> None:
        """Sends an order and waits for the end of its handling."""
        self.sender.send(order)
        await self.sender.end(_order_sender.ORDER_TIMEOUT)

    async def test_start_is_not_sent_without_permission(self):
        """Guards against a task that runs twice.

        The successor counts on leases that began before the start permission
        ended. An order with a lease of its own sent later would start the task
        at a worker that the successor cannot reach.
        """
        (order,) = self.driver.plan_starts()
        self.is_start_allowed = False
        await self.send(order)
        self.assertEqual(self.workers.calls, [])
        job = self.driver.scheduler.jobs[JOB_ID]
        self.assertEqual(job.list_active_runs(), [])
        self.assertEqual(len(self.log.list_fields("start-not-sent")), 1)

    async def test_repeated_start_leaves_the_run_unknown(self):
        """Guards against a task that starts twice after a lost reply.

        The first order may have been carried out, so the run has not ended
        because the second one was not sent.
        """
        (order,) = self.driver.plan_starts()
        self.driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
        self.driver.apply_status()
        (repeated_order,) = self.driver.plan_starts()
        self.is_start_allowed = False
        await self.send(repeated_order)
        self.assertEqual(self.workers.calls, [])
        (run,) = self.driver.scheduler.jobs[JOB_ID].list_active_runs()
        self.assertIs(run.phase, dispatch.RunPhase.UNKNOWN)

    async def test_reply_that_is_read_late_counts(self):
        """Guards against a task that starts again as its leader was late.

        The reply has arrived when the loop, blocked until after the limit,
        reads it.
        """
        start = self.workers.start

        async def start_late(*args: object) -> ports.StartReply:
            reply = await start(*args)
            time.sleep(0.2)
            for _ in range(3):  # Turns of the loop that reading takes.
                await asyncio.sleep(0)
            return reply

        (order,) = self.driver.plan_starts()
        with mock.patch.object(
                _order_sender, "ORDER_END_LIMIT",
                datetime.timedelta(milliseconds=50)), mock.patch.object(
                    self.workers, "start", start_late):
            await self.send(order)
        (line,) = self.log.list_fields("run-ordered")
        self.assertEqual(line["outcome"], ports.StartOutcome.STARTED.value)


class EndlessCallTest(unittest.IsolatedAsyncioTestCase):
    """Tests orders whose calls do not end by their timeout."""

    async def test_order_counts_as_unanswered(self):
        """Guards against a run that no order can reach any more.

        The worker may have carried out the order, so that the run is stopped,
        and its task does not wait before that.
        """
        clock = adapters.SystemClock()
        workers = leading.FakeWorkers()
        workers.silent_workers.add("w1")
        with mock.patch.multiple(
                _order_sender,
                ORDER_TIMEOUT=datetime.timedelta(minutes=1),
                ORDER_END_LIMIT=datetime.timedelta(milliseconds=20)):
            for kind in ("start", "stop", "throttle"):
                with self.subTest(kind=kind):
                    driver = builders.GroupDriver(builders.build_worker(),
                                                  now=clock.monotonic())
                    driver.put_job(JOB_ID)
                    sender = _order_sender.OrderSender(
                        driver.scheduler, workers,
                        mock.create_autospec(ports.PermitService), clock,
                        fakes.RecordingLog(), _metrics.ClusterMetrics(),
                        adapters.LoopDelayMeter(clock),
                        asyncio.get_running_loop().create_task, lambda: True,
                        lambda: None, lambda: None)
                    (order,) = driver.plan_starts()
                    (run,) = driver.scheduler.jobs[JOB_ID].list_active_runs()
                    if kind != "start":
                        driver.apply_start_outcome(order,
                                                   ports.StartOutcome.STARTED)
                        run.has_pending_order = True
                        order = (dispatch.StopOrder if kind == "stop" else
                                 dispatch.ThrottleOrder)("w1", run.task,
                                                         run.number, 0)
                    sender.send(order)
                    await sender.end(datetime.timedelta(seconds=5))
                    self.assertFalse(run.has_pending_order)
                    self.assertIs(
                        run.phase, dispatch.RunPhase.UNKNOWN
                        if kind == "start" else dispatch.RunPhase.RUNNING)
                    self.assertEqual(
                        driver.scheduler.jobs[JOB_ID].list_active_runs(), [run])
                    self.assertEqual(
                        (run.stop_retry.failure_count,
                         run.throttle_retry.failure_count),
                        (int(kind == "stop"), int(kind == "throttle")))
