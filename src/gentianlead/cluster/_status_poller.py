"""Polls of the workers of a group for their status, which renew their leases.
"""

import asyncio
import datetime
from typing import Callable, Coroutine, NamedTuple

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _scheduler_log
from gentianlead.cluster import _status_polls

ACKNOWLEDGE_TIMEOUT = datetime.timedelta(milliseconds=250)
"""Longest wait for reported run ends to be stored, so that the next status
request acknowledges them. After a timeout it acknowledges only stored ones."""


class LateCalls(NamedTuple):
    """Calls without a reply from a worker while the event loop was late.

    Attributes:
        count: Number of calls in a row.
        first_sent_at: Monotonic time in seconds at which the first one of them
            was sent.
    """

    count: int
    first_sent_at: float


class StatusPoller:
    """Polls the workers of a group, each in a task of its own.

    Attributes:
        is_stopped: Whether each task ends after its present poll.
    """

    def __init__(
            self, scheduler: dispatch.GroupScheduler,
            worker_client: ports.LeasedWorkerClient, clock: ports.Clock,
            log: _decision_log.DecisionLog, metrics: _metrics.ClusterMetrics,
            interference: dispatch.InterferenceModel,
            loop_delay: ports.LoopDelay, is_renewal_allowed: Callable[[], bool],
            request_plan: Callable[[], None], request_flush: Callable[[], None],
            wait_for_flush: Callable[[], Coroutine], on_fenced: Callable[[],
                                                                         None]):
        """Creates a poller without workers.

        Args:
            scheduler: Scheduler of the group.
            worker_client: Client for the polls.
            clock: Clock of the daemon.
            log: Decision log.
            metrics: Metrics of the daemon.
            interference: Model whose estimates are logged with throttles.
            loop_delay: Delay of the event loop.
            is_renewal_allowed: Returns whether leases may be renewed.
            request_plan: Called after a change that planning depends on.
            request_flush: Called after a change that has to be stored.
            wait_for_flush: Waits until the next flush has ended.
            on_fenced: Called when a worker has refused the fencing token.
        """
        self.is_stopped = False
        self._scheduler = scheduler
        self._worker_client = worker_client
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._interference = interference
        self._loop_delay = loop_delay
        self._is_renewal_allowed = is_renewal_allowed
        self._request_plan = request_plan
        self._request_flush = request_flush
        self._wait_for_flush = wait_for_flush
        self._on_fenced = on_fenced
        self._unreachable_worker_ids: set[str] = set()
        self._late_calls: dict[str, LateCalls] = {}
        self._unreachable_poll_slots = asyncio.Semaphore(
            _status_polls.MAX_UNREACHABLE_POLLS)
        self._tasks: dict[str, asyncio.Task] = {}

    def start(self, worker_id: str) -> bool:
        """Starts to poll a worker; returns whether it was not polled yet."""
        task = self._tasks.get(worker_id)
        if task is not None and not task.done():
            return False
        self._tasks[worker_id] = asyncio.get_running_loop().create_task(
            self._poll_forever(worker_id))
        return True

    def cancel(self, worker_id: str) -> None:
        """Ends the polls of a worker, also the present one."""
        self._late_calls.pop(worker_id, None)
        task = self._tasks.pop(worker_id, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Cancels all polls and waits until they have ended."""
        self.is_stopped = True
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def _poll_forever(self, worker_id: str) -> None:
        """Polls a worker for its status and renews its lease."""
        while not self.is_stopped:
            worker = self._scheduler.workers.get(worker_id)
            if worker is None:
                return
            renews_lease = self._may_renew(worker)
            try:
                if worker.is_reachable:
                    has_replied = await self._request_status(worker)
                else:
                    async with self._unreachable_poll_slots:
                        has_replied = await self._request_status(worker)
            except ports.StaleFencingTokenError as error:
                self._log.write("fenced",
                                group=self._scheduler.group,
                                epoch=self._scheduler.epoch,
                                error=str(error))
                self._on_fenced()
                return
            except ports.WorkerReplacedError as error:
                self._log.write("worker-gone",
                                group=self._scheduler.group,
                                worker=worker_id,
                                runs=len(worker.runs),
                                error=str(error))
                self._scheduler.remove_replaced_worker(worker_id,
                                                       self._clock.monotonic())
                self._request_flush()
                self._request_plan()
                return
            except Exception as error:  # pylint: disable=broad-exception-caught
                # Without polls, the lease of the worker would run out.
                self._late_calls.pop(worker_id, None)
                self._apply_no_reply(worker, _decision_log.format_error(error),
                                     self._clock.monotonic(), None)
                has_replied = False
            if worker_id in self._late_calls:
                continue
            if not has_replied:
                await self._clock.sleep(_status_polls.STATUS_RETRY_DELAY)
                continue
            if not renews_lease:
                # The lease goes on running out until the next call.
                continue
            if not worker.withheld_ends.is_empty:
                await self._clock.sleep(_status_polls.WITHHELD_POLL_INTERVAL)
            if worker.last_applied_end_number > worker.last_stored_end_number:
                self._request_flush()
                try:
                    async with asyncio.timeout(
                            ACKNOWLEDGE_TIMEOUT.total_seconds()):
                        await self._wait_for_flush()
                except TimeoutError:
                    pass

    async def _request_status(self, worker: dispatch.WorkerState) -> bool:
        """Polls a worker once; returns whether it gave a usable reply."""
        sent_at = self._clock.monotonic()
        was_reachable = worker.is_reachable
        delay_before_s = self._loop_delay.read_total_s()
        lease_call = None
        if self._may_renew(worker) and self._is_renewal_allowed():
            lease_call = worker.begin_lease_call(sent_at)
        status_wait = (datetime.timedelta(0)
                       if worker.worker_id in self._late_calls else
                       _status_polls.choose_wait(worker))
        reply_timeout = status_wait + _status_polls.STATUS_REPLY_ALLOWANCE
        clock_ms = None
        try:
            status = await self._worker_client.poll_status(
                worker.entry, self._scheduler.epoch,
                worker.acknowledged_end_number,
                lease_call.lease_end_ms if lease_call else None, status_wait,
                reply_timeout)
            clock_ms = status.clock_ms
        except errors.WorkerError as error:
            now = self._clock.monotonic()
            # A worker that gives no reply may have been lost at any time
            # during the call; a broken connection shows a loss at once.
            is_silent = now - sent_at >= reply_timeout.total_seconds()
            loop_delay_s = self._loop_delay.read_total_s() - delay_before_s
            if is_silent and self._must_repeat(worker, was_reachable, sent_at,
                                               loop_delay_s):
                return False
            late_calls = self._late_calls.pop(worker.worker_id, None)
            if late_calls is not None:
                now = late_calls.first_sent_at
            elif is_silent:
                now = sent_at
            self._apply_no_reply(worker, str(error), now, loop_delay_s)
            return False
        finally:
            if lease_call:
                worker.end_lease_call(lease_call, clock_ms,
                                      self._clock.monotonic())
        self._metrics.status_requests.inc({"outcome": "ok"})
        self._late_calls.pop(worker.worker_id, None)
        self._unreachable_worker_ids.discard(worker.worker_id)
        if not worker.is_reachable:
            self._log.write("worker-reached",
                            group=self._scheduler.group,
                            worker=worker.worker_id,
                            born_ms=status.born_ms,
                            running=len(status.running),
                            ended=len(status.ended))
        old_throttles = dict(worker.throttles)
        self._scheduler.apply_status(worker.worker_id, status, sent_at,
                                     self._clock.monotonic())
        if worker.last_status_at is not None:
            # A reply that is read late tells nothing of a later time.
            worker.last_status_at = min(worker.last_status_at,
                                        sent_at + reply_timeout.total_seconds())
        if worker.throttles != old_throttles:
            _scheduler_log.report_throttles(worker, self._scheduler.group,
                                            self._interference, self._log)
        self._request_plan()
        return True

    def _may_renew(self, worker: dispatch.WorkerState) -> bool:
        """Returns whether a call to a worker may renew its lease.

        A worker may renew its lease although its reply is lost. The lease of a
        worker that is unreachable, or whose last status call got no reply, is
        therefore not renewed until it replies.
        """
        return bool(worker.born_ms and worker.is_reachable and
                    worker.worker_id not in self._late_calls)

    def _must_repeat(self, worker: dispatch.WorkerState, was_reachable: bool,
                     sent_at: float, loop_delay_s: float) -> bool:
        """Returns whether a call without a reply tells nothing of the worker.

        That is so if the event loop was late, at most for `MAX_LATE_CALLS`, and
        if the worker was reachable when the first of these calls was sent.
        """
        known = self._late_calls.get(worker.worker_id, LateCalls(0, sent_at))
        if (not (was_reachable or known.count) or
                known.count >= _status_polls.MAX_LATE_CALLS or
                loop_delay_s < _status_polls.LATE_CALL_DELAY.total_seconds()):
            return False
        self._late_calls[worker.worker_id] = known._replace(count=known.count +
                                                            1)
        self._metrics.status_requests.inc({"outcome": "late"})
        self._log.write("status-call-late",
                        group=self._scheduler.group,
                        worker=worker.worker_id,
                        calls=known.count + 1,
                        loop_delay_ms=round(loop_delay_s * 1000, 1))
        return True

    def _apply_no_reply(self, worker: dispatch.WorkerState, error: str,
                        lost_since: float, loop_delay_s: float | None) -> None:
        self._metrics.status_requests.inc({"outcome": "failed"})
        worker_id = worker.worker_id
        if worker.is_reachable or worker_id not in self._unreachable_worker_ids:
            self._unreachable_worker_ids.add(worker_id)
            self._log.write("worker-lost",
                            group=self._scheduler.group,
                            worker=worker.worker_id,
                            runs=len(worker.runs),
                            error=error,
                            loop_delay_ms=None if loop_delay_s is None else
                            round(loop_delay_s * 1000, 1))
        self._scheduler.mark_unreachable(worker.worker_id,
                                         self._clock.monotonic(), lost_since)
        self._request_plan()
