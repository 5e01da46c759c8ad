"""Leader of one group of workers: plans, sends orders, stores job progress."""

import asyncio
import datetime
from typing import Callable, Coroutine

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _audit_log
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _idle_job_log
from gentianlead.cluster import _job_moves
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _order_sender
from gentianlead.cluster import _scheduler_log
from gentianlead.cluster import _status_poller
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
"""Shortest pause after each planning pass, so that the next one handles many
events."""

PLAN_PAUSE_RATIO = 2.0
"""Ratio of the pause after a planning pass to the duration of the pass. It
leaves two thirds of the time of the event loop to polls that renew leases, to
replies and to reports. The pause is at most `MAX_PLAN_INTERVAL`."""

FLUSH_DELAY = datetime.timedelta(milliseconds=20)
"""Delay between a change of progress and its append, so that an append holds
several changes. The end of a job is stored without this delay."""

CLAIM_SETTLE_DELAY = datetime.timedelta(milliseconds=100)
"""Delay of a leader's first record after it has read its claim back. Until then
a candidate that has not read the claim yet may claim the group, too. It then
waits no longer for workers that are gone, as the writer of a mere claim has
started nothing."""

REPORT_INTERVAL = datetime.timedelta(milliseconds=300)
"""Shortest time between two reports to all daemons. A job's end causes one at
once, unless the event loop is late."""

REPORT_DELAY_RATIO = 2.0
"""Ratio of the time that is added to `REPORT_INTERVAL` to the delay of the
event loop since the last report. A report goes to each daemon, and takes time
from polls that renew leases."""

MAX_REPORT_INTERVAL = datetime.timedelta(milliseconds=900)
"""Time between two reports of a leader whose event loop is late. It leaves time
for a report that waits for its turn: none is used after
`_admission.MAX_REPORT_AGE`."""

MAX_LOAD_AGE = datetime.timedelta(milliseconds=50)
"""Age up to which the computed load of a group is reused instead of computed
again: one planning pass needs it for dozens of waiting jobs."""

LOAD_LOG_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between two `group-load` log lines of a group."""

ORDER_END_TIMEOUT = datetime.timedelta(milliseconds=200)
"""Longest time for which a resigning leader waits for replies to its orders. A
worker that is not overloaded replies within 10 ms."""

RESIGNATION_TIMEOUT = datetime.timedelta(seconds=1)
"""Longest wait for the store to take the last progress, and again for the
resignation. A store that is 60 times slower than usual takes 0.3 s for each.
Without a resignation the group gets a new leader only when the old one has been
silent for long enough, and that one waits for former runs."""

STALE_TOKEN_REASON = "a worker has a higher fencing token"


class GroupLeader:
    """Carries out the scheduler's decisions for one group.

    It polls the workers for their status, renews their leases, sends orders,
    stores job progress and moves, and reports load and job states to daemons.

    Attributes:
        group: Name of the group.
        epoch: Epoch of this leadership; also the fencing token of its orders.
        scheduler: Decides which runs to start, stop and throttle.
        audit_log: Compares the state of the leader with the topic.
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
                 loop_delay: ports.LoopDelay,
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
        self._daemon_name, self._incarnation = identity
        self._worker_client = worker_client
        self._topic_writer = topic_writer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._loop_delay = loop_delay
        self._on_report = on_report
        self._on_leadership_lost = on_leadership_lost
        self._job_mover = _job_moves.JobMover(self.scheduler, clock, log,
                                              self.get_load, get_load_reports,
                                              self._store_records, self._spawn)
        self._plan_requested = asyncio.Event()
        self._order_sender = _order_sender.OrderSender(
            self.scheduler, worker_client, permit_service, clock, log, metrics,
            loop_delay, self._spawn, self._is_start_allowed,
            self._plan_requested.set,
            lambda: self._abandon_leadership(STALE_TOKEN_REASON))
        self._wait_log = _wait_log.WaitLog(self.scheduler, clock, log, metrics)
        self._idle_job_log = _idle_job_log.IdleJobLog(self.scheduler, clock,
                                                      log, get_load_reports)
        self.audit_log = _audit_log.AuditLog(self.scheduler, clock, log,
                                             metrics, get_load_reports)
        self._takeover_log = _takeover_log.TakeoverLog(self.scheduler,
                                                       clock.monotonic(), log,
                                                       metrics)
        self._background_tasks: set[asyncio.Task] = set()
        self._flush_requested = asyncio.Event()
        self._flush_done = asyncio.Event()
        self._status_poller = _status_poller.StatusPoller(
            self.scheduler, worker_client, clock, log, metrics, interference,
            loop_delay, self._is_start_allowed, self._plan_requested.set,
            self._flush_requested.set, self._wait_for_flush,
            lambda: self._abandon_leadership(STALE_TOKEN_REASON))
        self._flush_loop: asyncio.Task | None = None
        self._unsent_job_states: list[_peer_messages.JobStateNotice] = []
        self._cached_load: dispatch.GroupLoad | None = None
        self._load_computed_at = 0.0
        self._last_report_at = 0.0
        self._delay_at_report_s = 0.0
        self._load_logged_at = 0.0
        self._heartbeat_number = 0
        self._is_sole_stored = False
        self._is_resigning = False
        self._is_stopped = False

    def start(self) -> None:
        """Starts the topic writer, the planning loop and the progress loop."""
        self._topic_writer.start()
        self._spawn(self._plan_forever())
        self._flush_loop = self._spawn(self._flush_until_resignation())

    async def stop(self) -> None:
        """Cancels all loops and pending calls; runs go on while leases last."""
        self._is_stopped = True
        self._wait_log.close()
        self.audit_log.close()
        tasks = list(self._background_tasks)
        for task in tasks:
            task.cancel()
        await self._status_poller.stop()
        if tasks:
            await asyncio.wait(tasks)
        await self._topic_writer.stop()

    async def resign(self) -> None:
        """Ends all orders, then stores that the group has no leader.

        The resignation ends the start permission at once. So nothing is sent to
        a worker after it, also if its reply is lost. The runs that have not
        ended are stored with it.
        """
        self._takeover_log.write_resignation()
        await self._end_calls()
        is_progress_stored = await self._store_last_progress()
        now = self._clock.monotonic()
        resignation = dispatch.LeaderRecord(
            self.group, self.epoch, "", "", self._heartbeat_number + 1,
            self.scheduler.is_takeover_over(now))
        try:
            if is_progress_stored:
                try:
                    await self._topic_writer.append(
                        [self.scheduler.build_handover(now), resignation],
                        RESIGNATION_TIMEOUT)
                    return
                except ports.RecordsRejectedError as error:
                    self._log.write("handover-not-stored",
                                    group=self.group,
                                    error=str(error))
            await self._topic_writer.append([resignation], RESIGNATION_TIMEOUT)
        except ports.StoreError as error:
            self._log.write("resignation-not-stored",
                            group=self.group,
                            error=str(error))

    async def _store_last_progress(self) -> bool:
        """Stores progress that is not stored yet; returns whether it is."""
        try:
            async with asyncio.timeout(RESIGNATION_TIMEOUT.total_seconds()):
                await self._end_flushes()
                progress_records = self.scheduler.take_unstored_records()
                await self._topic_writer.append_each(progress_records)
        except (TimeoutError, ports.StoreError) as error:
            self._log.write("handover-not-stored",
                            group=self.group,
                            error=_decision_log.format_error(error))
            return False
        self._report_states(progress_records)
        return True

    async def _end_flushes(self) -> None:
        """Waits until the flush in progress, if any, has ended.

        It has taken progress that is stored only once it ends without an error.

        Raises:
            StoreError: A flush has failed.
        """
        self._flush_requested.set()
        await asyncio.wait([self._flush_loop])
        if self._flush_loop.cancelled() or self._flush_loop.exception():
            raise ports.StoreError("the last flush has failed",
                                   errors.Verdict.MAY_HAVE_RUN)

    async def _end_calls(self) -> None:
        """Ends planning, orders and polls.

        Orders may still take effect if their replies have not arrived after
        `ORDER_END_TIMEOUT`.
        """
        self._is_resigning = True
        await self._order_sender.end(ORDER_END_TIMEOUT)
        await self._status_poller.stop()

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._handle_background_task_end)
        return task

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
            self._status_poller.is_stopped = True
            self._on_leadership_lost(self.group, loss_reason)

    # Updates that the daemon read from topics, and the load of the group.

    def apply_handover(self, handover: dispatch.HandoverEntry) -> None:
        """Takes over the runs that the former leader has left.

        All jobs and recorded workers have been added before.
        """
        now = self._clock.monotonic()
        self.scheduler.apply_handover(handover.record, handover.read_at, now)
        for handed_over in handover.record.workers:
            self._start_status_poller(handed_over.entry.worker_id)
        self._log.write(
            "handover-applied",
            group=self.group,
            epoch=self.epoch,
            former_epoch=handover.record.epoch,
            age_s=round(now - handover.read_at, 3),
            workers=len(handover.record.workers),
            runs=sum(len(worker.runs) for worker in handover.record.workers),
            unseen_workers=len(handover.record.unseen_worker_ids),
            unseen_wait_ms=handover.record.unseen_wait_ms)

    def put_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker that the registry lists, or updates its entry."""
        self.scheduler.put_worker(entry)
        self._start_status_poller(entry.worker_id)

    def put_recorded_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker on which a former leader may have started runs."""
        self.scheduler.put_recorded_worker(entry, self._clock.monotonic())
        self._start_status_poller(entry.worker_id)

    def _start_status_poller(self, worker_id: str) -> None:
        if not self._is_resigning and self._status_poller.start(worker_id):
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
        return (not self._is_resigning and sent_at is not None and
                self._clock.monotonic() - sent_at
                <= _takeover_wait.START_PERMISSION_PERIOD.total_seconds())

    async def _plan_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(MAX_PLAN_INTERVAL.total_seconds()):
                    await self._plan_requested.wait()
            except TimeoutError:
                pass
            self._plan_requested.clear()
            started_at = self._clock.monotonic()
            self._run_planning_pass()
            duration = datetime.timedelta(seconds=self._clock.monotonic() -
                                          started_at)
            await self._clock.sleep(
                min(MAX_PLAN_INTERVAL,
                    max(MIN_PLAN_INTERVAL, PLAN_PAUSE_RATIO * duration)))

    def _run_planning_pass(self) -> None:
        if self._is_resigning:
            return
        now = self._clock.monotonic()
        now_ms = int(self._clock.now().timestamp() * 1000)
        if self._is_start_allowed() and self._job_mover.start_moves():
            self._cached_load = None
        for worker_id in self.scheduler.drop_removed_workers(now):
            self._log.write("worker-gone", group=self.group, worker=worker_id)
            self._status_poller.cancel(worker_id)
        self.scheduler.is_registry_current = self._is_registry_current(now)
        orders = self.scheduler.plan(now, now_ms, self._is_start_allowed())
        self._takeover_log.write(now)
        for order in orders:
            self._order_sender.send(order)
        self._idle_job_log.add_run_ends(now)
        _scheduler_log.report_run_ends(self.scheduler, self._log, self._metrics)
        _scheduler_log.report_crash_events(self.scheduler, self._log,
                                           self._metrics)
        if self.scheduler.has_unstored_progress():
            self._flush_requested.set()
        if self._is_report_due(now, REPORT_INTERVAL):
            self._send_report(now)

    def _is_report_due(self, now: float, interval: datetime.timedelta) -> bool:
        """Returns whether an interval and the added time have passed."""
        delay_s = self._loop_delay.read_total_s() - self._delay_at_report_s
        interval_s = interval.total_seconds() + REPORT_DELAY_RATIO * delay_s
        return now - self._last_report_at >= min(
            interval_s, MAX_REPORT_INTERVAL.total_seconds())

    def _send_report(self, now: float) -> None:
        self._last_report_at = now
        self._delay_at_report_s = self._loop_delay.read_total_s()
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
        self._idle_job_log.write(now)
        self.audit_log.write(now)

    async def _store_records(self, records: list[dispatch.Record]) -> None:
        try:
            await self._topic_writer.append_each(records)
        except ports.ProducerFencedError:
            self._abandon_leadership("the store has a higher epoch")
            raise asyncio.CancelledError() from None

    async def _flush_until_resignation(self) -> None:
        await self._clock.sleep(CLAIM_SETTLE_DELAY)
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
            if self._is_resigning:
                return  # A heartbeat would replace the resignation.
            await self._flush_progress()

    async def _wait_for_flush(self) -> None:
        await self._flush_done.wait()

    async def _flush_progress(self) -> None:
        """Saves progress and workers, or a heartbeat; marks run ends stored."""
        last_end_numbers = {
            worker_id: (worker.born_ms, worker.last_applied_end_number)
            for worker_id, worker in self.scheduler.workers.items()
        }
        progress_records = self.scheduler.take_unstored_records()
        records = list(progress_records)
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

    def _report_states(self, records: list[dispatch.Record]) -> None:
        has_ended_job = False
        for record in records:
            if not isinstance(record, dispatch.ProgressRecord):
                continue
            self._unsent_job_states.append(
                _peer_messages.JobStateNotice(record.job_id, record.state))
            if record.state.is_final:
                has_ended_job = True
                _scheduler_log.report_job_end(record, self._log)
                self.scheduler.forget_job(record.job_id)
        now = self._clock.monotonic()
        if has_ended_job and (self._is_resigning or
                              self._is_report_due(now, datetime.timedelta(0))):
            self._send_report(now)
