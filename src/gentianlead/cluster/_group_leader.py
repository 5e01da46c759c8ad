"""Leader of one group of workers: plans, sends orders, stores job progress."""

import asyncio
import datetime
from typing import Callable, Coroutine

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_moves
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _scheduler_log
from gentianlead.cluster import _status_polls
from gentianlead.cluster import _takeover_log
from gentianlead.cluster import _takeover_wait
from gentianlead.cluster import _wait_log

MAX_LEASE = datetime.timedelta(milliseconds=5500)
"""Longest lease of a worker. It is long enough for runs to survive the loss of
all daemons, whose restart and takeover take about 4 s. The lease also bounds
how long the tasks of a dead worker wait before they are started elsewhere."""

MAX_PLAN_INTERVAL = datetime.timedelta(milliseconds=60)
"""Longest wait for an event; after it a planning pass runs without one."""

MIN_PLAN_INTERVAL = datetime.timedelta(milliseconds=4)
"""Pause after each planning pass, so that the next one handles many events."""

FLUSH_DELAY = datetime.timedelta(milliseconds=20)
"""Delay between a change of progress and its append, so that an append holds
several changes. The end of a job is stored without this delay."""

REPORT_INTERVAL = datetime.timedelta(milliseconds=300)
"""Time between two reports to all daemons; a job's end causes one at once."""

MAX_LOAD_AGE = datetime.timedelta(milliseconds=50)
"""Age up to which the computed load of a group is reused instead of computed
again: one planning pass needs it for dozens of waiting jobs."""

LOAD_LOG_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between two `group-load` log lines of a group."""

ORDER_TIMEOUT = datetime.timedelta(milliseconds=800)
"""Longest wait for the reply to an order. A worker in another domain that is
not overloaded replies within 10 ms."""

PERMIT_TIMEOUT = datetime.timedelta(seconds=4)
"""Longest wait for a reply about permits. The advisory service needs time for
each worker in a request and for the requests queued before it."""

ACKNOWLEDGE_TIMEOUT = datetime.timedelta(milliseconds=250)
"""Longest wait for reported run ends to be stored, so that the next status
request acknowledges them. After a timeout it acknowledges only stored ones."""


class GroupLeader:
    """Carries out the scheduler's decisions for one group.

    It polls the workers for their status, renews their leases, sends orders,
    stores job progress and moves, and reports load and job states to daemons.

    Attributes:
        group: Name of the group.
        epoch: Epoch of this leadership; also the fencing token of its orders.
        scheduler: Decides which runs to start, stop and throttle.
    """

    def __init__(self,
                 group: str,
                 epoch: int,
                 leadership_offset: int,
                 timings: dispatch.GroupTimings,
                 identity: tuple[str, str],
                 worker_client: ports.LeasedWorkerClient,
                 permit_service: ports.PermitService,
                 topic_writer: _job_topic.JobTopicWriter,
                 clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_report: Callable[[_peer_messages.LeaderReport], None],
                 on_leadership_lost: Callable[[str, str], None],
                 get_load_reports: Callable[[], dict[str,
                                                     dispatch.GroupReport]],
                 interference: dispatch.InterferenceModel,
                 is_registry_current: Callable[[float],
                                               bool] = lambda now: True):
        self.group = group
        self.epoch = epoch
        self.scheduler = dispatch.GroupScheduler(group, epoch, timings,
                                                 clock.monotonic(),
                                                 leadership_offset,
                                                 interference)
        self._interference = interference
        self._is_registry_current = is_registry_current
        self._lease_length = timings.lease
        self._daemon_name, self._incarnation = identity
        self._worker_client = worker_client
        self._permit_service = permit_service
        self._topic_writer = topic_writer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_report = on_report
        self._on_leadership_lost = on_leadership_lost
        self._job_mover = _job_moves.JobMover(self.scheduler, clock, log,
                                              self.get_load, get_load_reports,
                                              self._store_records, self._spawn)
        self._wait_log = _wait_log.WaitLog(self.scheduler, clock, log, metrics)
        self._takeover_log = _takeover_log.TakeoverLog(self.scheduler,
                                                       clock.monotonic(), log,
                                                       metrics)
        self._unreachable_worker_ids: set[str] = set()
        self._background_tasks: set[asyncio.Task] = set()
        self._unreachable_poll_slots = asyncio.Semaphore(
            _status_polls.MAX_UNREACHABLE_POLLS)
        self._status_pollers: dict[str, asyncio.Task] = {}
        self._plan_requested = asyncio.Event()
        self._flush_requested = asyncio.Event()
        self._flush_done = asyncio.Event()
        self._unsent_job_states: list[_peer_messages.JobStateNotice] = []
        self._cached_load: dispatch.GroupLoad | None = None
        self._load_computed_at = 0.0
        self._last_report_at = 0.0
        self._load_logged_at = 0.0
        self._heartbeat_number = 0
        self._is_sole_stored = False
        self._is_stopped = False

    def start(self) -> None:
        """Starts the topic writer, the planning loop and the progress loop."""
        self._topic_writer.start()
        for run_loop in (self._plan_forever, self._flush_forever):
            self._spawn(run_loop())

    async def stop(self) -> None:
        """Cancels all loops and pending calls; runs go on while leases last."""
        self._is_stopped = True
        self._wait_log.close()
        tasks = [*self._background_tasks, *self._status_pollers.values()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        await self._topic_writer.stop()

    async def resign(self) -> None:
        """Stores that the group has no leader, so a daemon can take it over."""
        self._takeover_log.write_resignation()
        resignation = dispatch.LeaderRecord(self.group, self.epoch, "", "",
                                            self._heartbeat_number + 1)
        try:
            await self._topic_writer.append(
                [resignation], datetime.timedelta(milliseconds=400))
        except ports.StoreError as error:
            self._log.write("resignation-not-stored",
                            group=self.group,
                            error=str(error))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._handle_background_task_end)

    def _handle_background_task_end(self, task: asyncio.Task) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write("internal-error",
                            group=self.group,
                            error=_decision_log.format_error(task.exception()))
            self._abandon_leadership("a background task of the leader failed")

    def _abandon_leadership(self, loss_reason: str) -> None:
        if not self._is_stopped:
            self._is_stopped = True
            self._on_leadership_lost(self.group, loss_reason)

    # Updates that the daemon read from topics, and the load of the group.

    def put_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker that the registry lists, or updates its entry."""
        self.scheduler.put_worker(entry)
        self._start_status_poller(entry.worker_id)

    def put_recorded_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker on which a former leader may have started runs."""
        self.scheduler.put_recorded_worker(entry, self._clock.monotonic())
        self._start_status_poller(entry.worker_id)

    def _start_status_poller(self, worker_id: str) -> None:
        poller = self._status_pollers.get(worker_id)
        if poller is None or poller.done():
            self._status_pollers[worker_id] = (
                asyncio.get_running_loop().create_task(
                    self._poll_status_forever(worker_id)))
            self._flush_requested.set()
        self._plan_requested.set()

    def mark_worker_removed(self, worker_id: str) -> None:
        """Marks a worker as removed from the registry; it gets no new runs."""
        self.scheduler.mark_worker_removed(worker_id, self._clock.monotonic())

    def put_job(self, job_entry: dispatch.JobEntry) -> None:
        """Adds or updates a job of this group; drops one that moved away."""
        job_id = job_entry.job.job_id
        known_job = self.scheduler.jobs.get(job_id)
        offset = job_entry.assignment_offsets.get(self.group, -1)
        if known_job is not None and offset > (
                known_job.entry.assignment_offsets.get(self.group, offset)):
            self._log.write("job-returned",
                            job=job_id,
                            group=self.group,
                            offset=offset,
                            known_run=known_job.last_run_number,
                            last_run=job_entry.last_run_number)
        self.scheduler.put_job(job_entry)
        self._plan_requested.set()

    def cancel_job(self, job_id: str) -> None:
        """Cancels a job whose cancellation is stored in the job topic."""
        self.scheduler.cancel_job(job_id)
        self._plan_requested.set()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Sets whether operators took the group out of service."""
        if is_evacuated != self.scheduler.is_evacuated:
            self.scheduler.is_evacuated = is_evacuated
            self._plan_requested.set()

    def get_load(self, now: float) -> dispatch.GroupLoad:
        """Returns the group's load, computed at most `MAX_LOAD_AGE` ago."""
        if (self._cached_load is None or
                now - self._load_computed_at > MAX_LOAD_AGE.total_seconds()):
            self._cached_load = self.scheduler.compute_load(now)
            self._load_computed_at = now
        return self._cached_load

    # Planning of orders and moves, appends to the job topic, and reports.

    def _is_start_allowed(self) -> bool:
        # The claim is not counted: the first append of this leader holds the
        # record by which its successors know that it may have started runs.
        sent_at = self._topic_writer.last_success_sent_at
        return (sent_at is not None and self._clock.monotonic() - sent_at
                <= _takeover_wait.START_PERMISSION_PERIOD.total_seconds())

    async def _plan_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(MAX_PLAN_INTERVAL.total_seconds()):
                    await self._plan_requested.wait()
            except TimeoutError:
                pass
            self._plan_requested.clear()
            self._run_planning_pass()
            await self._clock.sleep(MIN_PLAN_INTERVAL)

    def _run_planning_pass(self) -> None:
        now = self._clock.monotonic()
        now_ms = int(self._clock.now().timestamp() * 1000)
        if self._is_start_allowed() and self._job_mover.start_moves():
            self._cached_load = None
        for worker_id in self.scheduler.drop_removed_workers(now):
            self._log.write("worker-gone", group=self.group, worker=worker_id)
            poller = self._status_pollers.pop(worker_id, None)
            if poller is not None:
                poller.cancel()
        self.scheduler.is_registry_current = self._is_registry_current(now)
        orders = self.scheduler.plan(now, now_ms, self._is_start_allowed())
        self._takeover_log.write(now)
        for order in orders:
            if isinstance(order, dispatch.StartOrder):
                self._spawn(self._send_start(order))
            elif isinstance(order, dispatch.StopOrder):
                self._spawn(self._send_stop(order))
            elif isinstance(order, dispatch.PermitRequest):
                self._spawn(self._request_permits(order))
            else:
                self._spawn(self._send_throttle(order))
        _scheduler_log.report_run_ends(self.scheduler, self._log, self._metrics)
        _scheduler_log.report_crash_events(self.scheduler, self._log,
                                           self._metrics)
        if any(job.is_dirty for job in self.scheduler.jobs.values()):
            self._flush_requested.set()
        if now - self._last_report_at >= REPORT_INTERVAL.total_seconds():
            self._send_report(now)

    def _send_report(self, now: float) -> None:
        self._last_report_at = now
        self._log_load(now)
        job_states, self._unsent_job_states = self._unsent_job_states, []
        self._on_report(
            _peer_messages.LeaderReport(
                self.group, self.epoch, self.get_load(now), tuple(job_states),
                tuple(self._interference.take_changed_estimates()),
                self.scheduler.crashes.build_loss_reports(now)))

    def _log_load(self, now: float) -> None:
        if now - self._load_logged_at < LOAD_LOG_INTERVAL.total_seconds():
            return
        self._load_logged_at = now
        summary = self.scheduler.summarize(now)
        self._log.write("group-load", group=self.group, **summary._asdict())
        self._wait_log.write(now)

    async def _store_records(self, records: list[dispatch.Record]) -> None:
        try:
            await self._topic_writer.append_each(records)
        except ports.ProducerFencedError:
            self._abandon_leadership("the store has a higher epoch")
            raise asyncio.CancelledError() from None

    async def _flush_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(
                        dispatch.HEARTBEAT_INTERVAL.total_seconds()):
                    await self._flush_requested.wait()
                if not any(job.is_dirty and job.state.is_final
                           for job in self.scheduler.jobs.values()):
                    await self._clock.sleep(FLUSH_DELAY)
            except TimeoutError:
                pass
            self._flush_requested.clear()
            await self._flush_progress()

    async def _flush_progress(self) -> None:
        """Saves progress and workers, or a heartbeat; marks run ends stored."""
        last_end_numbers = {
            worker_id: (worker.born_ms, worker.last_applied_end_number)
            for worker_id, worker in self.scheduler.workers.items()
        }
        progress_records = self.scheduler.take_dirty_progress()
        records: list[dispatch.Record] = list(progress_records)
        workers_record = self.scheduler.build_workers_record()
        if workers_record is not None:
            records.append(workers_record)
        is_sole = self.scheduler.is_takeover_over(self._clock.monotonic())
        if (not records or is_sole != self._is_sole_stored or
                not self._heartbeat_number):
            self._heartbeat_number += 1
            # It comes first, as only the first records are sure to be in the
            # first call to the store, whose success allows starts.
            records.insert(
                0,
                dispatch.LeaderRecord(self.group, self.epoch, self._daemon_name,
                                      self._incarnation, self._heartbeat_number,
                                      is_sole))
            self._is_sole_stored = is_sole
        await self._store_records(records)
        if self.scheduler.mark_progress_stored(progress_records):
            self._plan_requested.set()
        if workers_record is not None:
            self.scheduler.mark_workers_recorded(workers_record)
            self._plan_requested.set()
        for worker_id, (born_ms, end_number) in last_end_numbers.items():
            worker = self.scheduler.workers.get(worker_id)
            if worker is not None and worker.born_ms == born_ms:
                worker.last_stored_end_number = max(
                    worker.last_stored_end_number, end_number)
        self._flush_done.set()
        self._flush_done = asyncio.Event()
        self._report_states(progress_records)

    def _report_states(self, records: list[dispatch.ProgressRecord]) -> None:
        has_ended_job = False
        for record in records:
            self._unsent_job_states.append(
                _peer_messages.JobStateNotice(record.job_id, record.state))
            if record.state.is_final:
                has_ended_job = True
                self._log.write("job-ended",
                                job=record.job_id,
                                group=self.group,
                                state=record.state.value)
                self.scheduler.forget_job(record.job_id)
        if has_ended_job:
            self._send_report(self._clock.monotonic())

    # Polls of the workers for their status, with renewal of their leases.

    async def _poll_status_forever(self, worker_id: str) -> None:
        """Polls a worker for its status and renews its lease."""
        while not self._is_stopped:
            worker = self.scheduler.workers.get(worker_id)
            if worker is None:
                return
            try:
                if worker.is_reachable:
                    has_replied = await self._request_status(worker)
                else:
                    async with self._unreachable_poll_slots:
                        has_replied = await self._request_status(worker)
            except ports.StaleFencingTokenError as error:
                self._log.write("fenced",
                                group=self.group,
                                epoch=self.epoch,
                                error=str(error))
                self._abandon_leadership("a worker has a higher fencing token")
                return
            except ports.WorkerReplacedError as error:
                self._log.write("worker-gone",
                                group=self.group,
                                worker=worker_id,
                                runs=len(worker.runs),
                                error=str(error))
                self.scheduler.remove_replaced_worker(worker_id,
                                                      self._clock.monotonic())
                self._flush_requested.set()
                self._plan_requested.set()
                return
            except Exception as error:  # pylint: disable=broad-exception-caught
                # Without polls, the lease of the worker would run out.
                self._apply_no_reply(worker, _decision_log.format_error(error),
                                     self._clock.monotonic())
                has_replied = False
            if not has_replied:
                await self._clock.sleep(_status_polls.STATUS_RETRY_DELAY)
                continue
            if worker.last_applied_end_number > worker.last_stored_end_number:
                self._flush_requested.set()
                try:
                    async with asyncio.timeout(
                            ACKNOWLEDGE_TIMEOUT.total_seconds()):
                        await self._flush_done.wait()
                except TimeoutError:
                    pass

    async def _request_status(self, worker: dispatch.WorkerState) -> bool:
        """Polls a worker once; returns whether it gave a usable reply."""
        sent_at = self._clock.monotonic()
        expires_at_ms = None
        # A worker may renew its lease although its reply is lost. The lease of
        # an unreachable worker is therefore not renewed until it replies.
        if worker.born_ms and worker.is_reachable and self._is_start_allowed():
            expires_at_ms = worker.extend_lease(sent_at, self._lease_length)
        status_wait = _status_polls.choose_wait(worker)
        reply_timeout = status_wait + _status_polls.STATUS_REPLY_ALLOWANCE
        try:
            status = await self._worker_client.poll_status(
                worker.entry, self.epoch, worker.last_stored_end_number,
                expires_at_ms, status_wait, reply_timeout)
        except errors.WorkerError as error:
            now = self._clock.monotonic()
            # A worker that gives no reply may have been lost at any time
            # during the call; a broken connection shows a loss at once.
            is_silent = now - sent_at >= reply_timeout.total_seconds()
            self._apply_no_reply(worker, str(error),
                                 sent_at if is_silent else now)
            return False
        self._metrics.status_requests.inc({"outcome": "ok"})
        self._unreachable_worker_ids.discard(worker.worker_id)
        if not worker.is_reachable:
            self._log.write("worker-reached",
                            group=self.group,
                            worker=worker.worker_id,
                            born_ms=status.born_ms,
                            running=len(status.running),
                            ended=len(status.ended))
        old_throttles = dict(worker.throttles)
        self.scheduler.apply_status(worker.worker_id, status, sent_at,
                                    self._clock.monotonic())
        if worker.throttles != old_throttles:
            self._log.write(
                "pace-changed",
                group=self.group,
                worker=worker.worker_id,
                tails={
                    image: round(latency_ratio, 2)
                    for image, latency_ratio in worker.latency_ratios.items()
                },
                paces=worker.throttles)
        self._plan_requested.set()
        return True

    def _apply_no_reply(self, worker: dispatch.WorkerState, error: str,
                        lost_since: float) -> None:
        self._metrics.status_requests.inc({"outcome": "failed"})
        worker_id = worker.worker_id
        if worker.is_reachable or worker_id not in self._unreachable_worker_ids:
            self._unreachable_worker_ids.add(worker_id)
            self._log.write("worker-lost",
                            group=self.group,
                            worker=worker.worker_id,
                            runs=len(worker.runs),
                            error=error)
        self.scheduler.mark_unreachable(worker.worker_id,
                                        self._clock.monotonic(), lost_since)
        self._plan_requested.set()

    # Orders to workers and requests for permits.

    async def _send_start(self, order: dispatch.StartOrder) -> None:
        worker = self.scheduler.workers.get(order.worker_id)
        if worker is None:
            return
        sent_at = self._clock.monotonic()
        leased_order = ports.LeasedStartOrder(
            order.task, order.run, order.payload,
            worker.extend_lease(sent_at, self._lease_length), self.epoch,
            order.checkpoint, order.permit)
        reply = await self._worker_client.start(worker.entry, leased_order,
                                                ORDER_TIMEOUT)
        now = self._clock.monotonic()
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
            self._abandon_leadership("a worker has a higher fencing token")
            return
        self.scheduler.apply_start_reply(order, reply, now)
        self._plan_requested.set()

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
        self.scheduler.apply_permits(request, reply, sent_at, now)
        self._plan_requested.set()

    async def _send_stop(self, order: dispatch.StopOrder) -> None:
        is_delivered = await self._send_order(
            order, lambda entry: self._worker_client.stop(
                entry, order.task, order.run, self.epoch, ORDER_TIMEOUT))
        self._log.write("run-stopped",
                        job=order.task.job_id,
                        task=tuple(order.task[1:]),
                        run=order.run,
                        worker=order.worker_id,
                        reason=order.reason,
                        done=is_delivered)
        self.scheduler.apply_stop_reply(order, is_delivered,
                                        self._clock.monotonic())
        self._plan_requested.set()

    async def _send_throttle(self, order: dispatch.ThrottleOrder) -> None:
        is_delivered = await self._send_order(
            order, lambda entry: self._worker_client.set_throttle(
                entry, order.task, order.run, order.throttle_percent, self.
                epoch, ORDER_TIMEOUT))
        self.scheduler.apply_throttle_reply(order, is_delivered)

    async def _send_order(
            self, order: dispatch.Order, send: Callable[[ports.WorkerEntry],
                                                        Coroutine]) -> bool:
        worker = self.scheduler.workers.get(order.worker_id)
        if worker is None:
            return False
        try:
            await send(worker.entry)
            return True
        except ports.StaleFencingTokenError:
            self._abandon_leadership("a worker has a higher fencing token")
        except (errors.WorkerError, ports.WorkerReplacedError) as error:
            self._log.write("order-failed",
                            worker=order.worker_id,
                            job=order.task.job_id,
                            run=order.run,
                            error=str(error))
        return False
