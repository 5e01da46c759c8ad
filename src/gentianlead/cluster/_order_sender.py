"""Sending of orders to workers and of requests for permits."""

import asyncio
import datetime
from typing import Callable, Coroutine

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _order_log

ORDER_TIMEOUT = datetime.timedelta(milliseconds=800)
"""Longest wait for the reply to an order. A worker in another domain that is
not overloaded replies within 10 ms."""

ORDER_END_LIMIT = datetime.timedelta(seconds=2)
"""Time after which an order counts as unanswered although its call has not
ended. A call ends by `ORDER_TIMEOUT`; while it does not, no other order for the
run is sent. The delay of the event loop is added to both."""

PERMIT_TIMEOUT = datetime.timedelta(seconds=4)
"""Longest wait for a reply about permits. The advisory service needs time for
each worker in a request and for the requests queued before it."""

_CALL_NOT_ENDED = "the call has not ended in time"


class OrderSender:
    """Sends the orders of a group's scheduler and applies the replies."""

    def __init__(self, scheduler: dispatch.GroupScheduler,
                 worker_client: ports.LeasedWorkerClient,
                 permit_service: ports.PermitService, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics, loop_delay: ports.LoopDelay,
                 spawn: Callable[[Coroutine], asyncio.Task],
                 is_start_allowed: Callable[[], bool],
                 on_applied: Callable[[], None], on_fenced: Callable[[], None]):
        """Creates a sender.

        Args:
            scheduler: Scheduler of the group.
            worker_client: Client for the orders.
            permit_service: Client for the requests for permits.
            clock: Clock of the daemon.
            log: Decision log.
            metrics: Metrics of the daemon.
            loop_delay: Delay of the event loop.
            spawn: Starts a background task of the leader.
            is_start_allowed: Returns whether the start permission is valid.
            on_applied: Called after a reply was applied.
            on_fenced: Called when a worker has refused the fencing token.
        """
        self._scheduler = scheduler
        self._worker_client = worker_client
        self._permit_service = permit_service
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._loop_delay = loop_delay
        self._spawn = spawn
        self._is_start_allowed = is_start_allowed
        self._on_applied = on_applied
        self._on_fenced = on_fenced
        self._order_log = _order_log.OrderLog(log, metrics)
        self._unanswered_orders: set[asyncio.Task] = set()

    def send(self, order: dispatch.Order) -> None:
        """Sends an order or request, and applies the reply or its absence."""
        task = self._spawn(self._send(order))
        self._unanswered_orders.add(task)
        task.add_done_callback(self._unanswered_orders.discard)

    async def end(self, timeout: datetime.timedelta) -> None:
        """Waits for the replies to all orders, and gives up those without one.

        An order that is given up may take effect all the same. The caller sends
        no further orders.

        Args:
            timeout: Longest wait for the replies.
        """
        if not self._unanswered_orders:
            return
        await asyncio.wait(self._unanswered_orders,
                           timeout=timeout.total_seconds())
        orders = list(self._unanswered_orders)
        for order in orders:
            order.cancel()
        if orders:
            await asyncio.wait(orders)

    def _limit_time(self) -> platform.DelayTolerantTimeout:
        return platform.DelayTolerantTimeout(ORDER_END_LIMIT,
                                             dispatch.CALL_END_LIMIT,
                                             self._loop_delay)

    async def _send(self, order: dispatch.Order) -> None:
        if isinstance(order, dispatch.StartOrder):
            await self._send_start(order)
        elif isinstance(order, dispatch.StopOrder):
            await self._send_stop(order)
        elif isinstance(order, dispatch.PermitRequest):
            await self._request_permits(order)
        else:
            await self._send_throttle(order)

    async def _send_start(self, order: dispatch.StartOrder) -> None:
        worker = self._scheduler.workers.get(order.worker_id)
        if worker is None:
            return
        sent_at = self._clock.monotonic()
        # The process may have been suspended since the order was planned. The
        # lease counts from a time before this check, so that it ends in time
        # even if the process is suspended after the check.
        if not self._is_start_allowed():
            self._log.write("start-not-sent",
                            job=order.task.job_id,
                            task=tuple(order.task[1:]),
                            run=order.run,
                            worker=order.worker_id)
            self._scheduler.apply_start_reply(
                order,
                ports.StartReply(ports.StartOutcome.LEASE_ALREADY_EXPIRED),
                sent_at)
            return
        lease_call = worker.begin_lease_call(sent_at)
        leased_order = ports.LeasedStartOrder(order.task, order.run,
                                              order.payload,
                                              lease_call.lease_end_ms,
                                              self._scheduler.epoch,
                                              order.checkpoint, order.permit)
        try:
            async with self._limit_time():
                reply = await self._worker_client.start(worker.entry,
                                                        leased_order,
                                                        ORDER_TIMEOUT)
        except TimeoutError:
            reply = ports.StartReply(ports.StartOutcome.UNKNOWN, None,
                                     _CALL_NOT_ENDED)
        now = self._clock.monotonic()
        if worker.end_lease_call(lease_call, reply.clock_ms, now):
            self._log.write("start-answered-by-new-instance",
                            job=order.task.job_id,
                            task=tuple(order.task[1:]),
                            run=order.run,
                            worker=order.worker_id,
                            clock_ms=reply.clock_ms)
        self._metrics.start_orders.inc({"outcome": reply.outcome.value})
        self._metrics.start_order_seconds.observe({}, now - sent_at)
        self._log.write("run-ordered",
                        job=order.task.job_id,
                        task=tuple(order.task[1:]),
                        run=order.run,
                        worker=order.worker_id,
                        outcome=reply.outcome.value,
                        detail=reply.detail,
                        ms=round((now - sent_at) * 1000, 1))
        if reply.outcome is ports.StartOutcome.FENCED:
            self._on_fenced()
            return
        self._scheduler.apply_start_reply(order, reply, now)
        self._on_applied()

    async def _request_permits(self, request: dispatch.PermitRequest) -> None:
        sent_at = self._clock.monotonic()
        reply = None
        error = ""
        try:
            reply = await self._permit_service.request_permits(
                request.job_id, request.occurrence, request.step,
                tuple(request.workers), PERMIT_TIMEOUT)
        except ports.PermitError as permit_error:
            error = str(permit_error)
        now = self._clock.monotonic()
        self._log.write("permits-requested",
                        job=request.job_id,
                        step=(request.occurrence, request.step),
                        asked=len(request.workers),
                        granted=len(reply.permits) if reply else None,
                        error=error,
                        ms=round((now - sent_at) * 1000, 1))
        self._scheduler.apply_permits(request, reply, sent_at, now)
        self._on_applied()

    async def _send_stop(self, order: dispatch.StopOrder) -> None:
        is_delivered = await self._send_order(
            order, lambda entry: self._worker_client.stop(
                entry, order.task, order.run, self._scheduler.epoch,
                ORDER_TIMEOUT))
        self._order_log.write_stop(order, is_delivered)
        self._scheduler.apply_stop_reply(order, is_delivered,
                                         self._clock.monotonic())
        self._on_applied()

    async def _send_throttle(self, order: dispatch.ThrottleOrder) -> None:
        is_delivered = await self._send_order(
            order, lambda entry: self._worker_client.set_throttle(
                entry, order.task, order.run, order.throttle_percent, self.
                _scheduler.epoch, ORDER_TIMEOUT))
        self._scheduler.apply_throttle_reply(order, is_delivered,
                                             self._clock.monotonic())

    async def _send_order(
            self, order: dispatch.StopOrder | dispatch.ThrottleOrder,
            send: Callable[[ports.WorkerEntry], Coroutine]) -> bool:
        worker = self._scheduler.workers.get(order.worker_id)
        if worker is None:
            return False
        self._order_log.count_sending(order)
        try:
            async with self._limit_time():
                await send(worker.entry)
            return True
        except ports.StaleFencingTokenError:
            self._on_fenced()
        except (errors.WorkerError, ports.WorkerReplacedError) as error:
            self._order_log.write_failure(order, str(error))
        except TimeoutError:
            self._order_log.write_failure(order, _CALL_NOT_ENDED)
        return False
