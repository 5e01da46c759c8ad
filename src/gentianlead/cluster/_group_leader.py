"""Runs one group of workers while this daemon leads it."""

import asyncio
import datetime
from typing import Callable, Coroutine

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _reports
from gentianlead.cluster import _topic

LEASE = datetime.timedelta(milliseconds=5500)
"""Longest lease. It outlasts the loss of all daemons (their restart and a
takeover take about 4 s), and bounds the wait for a worker that died."""

START_RIGHT = datetime.timedelta(seconds=4)
"""Time after the last confirmed append in which a leader may start runs and
renew leases: a successor that cannot reach a worker waits so much longer."""

CLOCK_ALLOWANCE = 1.02
"""A worker's clock may be 2 % slow."""

TAKEOVER_MARGIN = datetime.timedelta(milliseconds=500)
"""Delays between a leader's check of its right and the arrival of an order."""

PLAN_INTERVAL = datetime.timedelta(milliseconds=60)
"""Longest time between two plans; events bring the next one forward."""

PLAN_PAUSE = datetime.timedelta(milliseconds=4)
"""Least time between two plans, so that events of one moment share one."""

FLUSH_PAUSE = datetime.timedelta(milliseconds=20)
"""Time in which changes are gathered for one append; the end of a job is not
kept waiting."""

REPORT_INTERVAL = datetime.timedelta(milliseconds=300)
"""Time between two reports to the other daemons."""

LOAD_AGE = datetime.timedelta(milliseconds=50)
"""Age up to which the load of a group is used again: dozens of waiting jobs ask
for it in one plan."""

LOAD_LOG_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two lines about the load of a group."""

ORDER_TIMEOUT = datetime.timedelta(milliseconds=800)
"""Longest wait for the reply to an order; a calm worker in another domain
answers within 10 ms."""

PERMIT_TIMEOUT = datetime.timedelta(seconds=4)
"""Longest wait for permits: the service takes its time for each worker that is
named, and for the calls before this one."""

LOOK_ALLOWANCE = datetime.timedelta(milliseconds=700)
"""Time for the reply to a look beyond its wait."""

LOOK_WAIT_IDLE = datetime.timedelta(milliseconds=1500)
LOOK_WAIT_BUSY = datetime.timedelta(milliseconds=1000)
LOOK_WAIT_SHARED = datetime.timedelta(milliseconds=400)
"""Waits of a look at a worker without runs, with runs, and with fillers beside
serving tasks, whose tails are a figure of half a second."""

LOOK_RETRY = datetime.timedelta(milliseconds=150)
"""Pause after a look without reply."""

ACKNOWLEDGE_WAIT = datetime.timedelta(milliseconds=250)
"""Longest wait for the append of ends before the next look."""

FOREVER = datetime.timedelta(days=1)
"""Patience of appends that must succeed."""


class GroupLeader:
    """Leads a group.

    Attributes:
        group: Name of the group.
        epoch: Epoch of this leadership.
        scheduler: The decisions.
    """

    def __init__(self, group: str, epoch: int, epoch_offset: int,
                 rules: dispatch.GroupRules, identity: tuple[str, str],
                 workers: ports.LeasedWorkerClient,
                 permits: ports.PermitService, writer: _topic.TopicWriter,
                 clock: ports.Clock, log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_report: Callable[[_reports.LeaderReport],
                                     None], on_fenced: Callable[[str, str],
                                                                None],
                 choose_group: Callable[[dispatch.JobRun], str],
                 choose_refuge: Callable[[dispatch.JobRun], dispatch.Refuge],
                 interference: dispatch.InterferenceModel):
        self.group = group
        self.epoch = epoch
        self.scheduler = dispatch.GroupScheduler(group, epoch, rules,
                                                 clock.monotonic(),
                                                 epoch_offset, interference)
        self._interference = interference
        self._lease = rules.lease
        self._node, self._incarnation = identity
        self._workers = workers
        self._permits = permits
        self._writer = writer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_report = on_report
        self._on_fenced = on_fenced
        self._choose_group = choose_group
        self._choose_refuge = choose_refuge
        self._lost: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._sessions: dict[str, asyncio.Task] = {}
        self._plan_wanted = asyncio.Event()
        self._flush_wanted = asyncio.Event()
        self._flushed = asyncio.Event()
        self._states: list[_reports.JobStateNotice] = []
        self._load: dispatch.GroupLoad | None = None
        self._load_at = 0.0
        self._reported_at = 0.0
        self._load_logged_at = 0.0
        self._beat = 1
        self._is_stopped = False

    def start(self) -> None:
        """Starts the loops."""
        self._writer.start()
        for run in (self._plan_forever, self._flush_forever):
            self._spawn(run())

    async def stop(self) -> None:
        """Stops the loops; runs go on under their leases."""
        self._is_stopped = True
        tasks = [*self._tasks, *self._sessions.values()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        await self._writer.stop()

    async def resign(self) -> None:
        """Tells the other daemons that the group has no leader any more."""
        record = dispatch.LeaderRecord(self.group, self.epoch, "", "",
                                       self._beat + 1)
        try:
            await self._writer.append([record],
                                      datetime.timedelta(milliseconds=400))
        except ports.StoreError as error:
            self._log.write("resignation-not-stored",
                            group=self.group,
                            error=str(error))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write("internal-error",
                            group=self.group,
                            error=_decision_log.format_error(task.exception()))
            self._give_up("a loop failed")

    def _give_up(self, reason: str) -> None:
        if not self._is_stopped:
            self._is_stopped = True
            self._on_fenced(self.group, reason)

    # Input.

    def put_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds or updates a worker of the group."""
        self.scheduler.put_worker(entry)
        self._open_session(entry.worker_id)

    def put_recorded_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker on which a former leader may have started runs."""
        self.scheduler.put_recorded_worker(entry, self._clock.monotonic())
        self._open_session(entry.worker_id)

    def _open_session(self, worker_id: str) -> None:
        session = self._sessions.get(worker_id)
        if session is None or session.done():
            self._sessions[worker_id] = (asyncio.get_running_loop().create_task(
                self._follow_worker(worker_id)))
            self._flush_wanted.set()
        self._plan_wanted.set()

    def unlist_worker(self, worker_id: str) -> None:
        """Notes that the registry no longer lists a worker."""
        self.scheduler.unlist_worker(worker_id, self._clock.monotonic())

    def put_job(self, entry: dispatch.JobEntry) -> None:
        """Adds or updates a job."""
        self.scheduler.put_job(entry)
        self._plan_wanted.set()

    def cancel_job(self, job_id: str) -> None:
        """Cancels a job whose cancellation is stored."""
        self.scheduler.cancel_job(job_id)
        self._plan_wanted.set()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Notes whether operators took the group out of service."""
        if is_evacuated != self.scheduler.is_evacuated:
            self.scheduler.is_evacuated = is_evacuated
            self._plan_wanted.set()

    def get_load(self, now: float) -> dispatch.GroupLoad:
        """Returns how busy the group is, at most `LOAD_AGE` ago."""
        if (self._load is None or
                now - self._load_at > LOAD_AGE.total_seconds()):
            self._load = self.scheduler.compute_load(now)
            self._load_at = now
        return self._load

    # Loops.

    def _may_start(self) -> bool:
        confirmed = self._writer.confirmed_at
        return (confirmed is not None and self._clock.monotonic() - confirmed
                <= START_RIGHT.total_seconds())

    async def _plan_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(PLAN_INTERVAL.total_seconds()):
                    await self._plan_wanted.wait()
            except TimeoutError:
                pass
            self._plan_wanted.clear()
            self._plan()
            await self._clock.sleep(PLAN_PAUSE)

    def _plan(self) -> None:
        now = self._clock.monotonic()
        now_ms = int(self._clock.now().timestamp() * 1000)
        self._plan_moves()
        for worker_id in self.scheduler.drop_gone_workers(now):
            self._log.write("worker-gone", group=self.group, worker=worker_id)
            session = self._sessions.pop(worker_id, None)
            if session is not None:
                session.cancel()
        orders = self.scheduler.plan(now, now_ms, self._may_start())
        for order in orders:
            if isinstance(order, dispatch.StartOrder):
                self._spawn(self._send_start(order))
            elif isinstance(order, dispatch.StopOrder):
                self._spawn(self._send_stop(order))
            elif isinstance(order, dispatch.PermitRequest):
                self._spawn(self._request_permits(order))
            else:
                self._spawn(self._send_pace(order))
        self._log_ends()
        if any(job.is_dirty for job in self.scheduler.jobs.values()):
            self._flush_wanted.set()
        if now - self._reported_at >= REPORT_INTERVAL.total_seconds():
            self._report(now)

    def _plan_moves(self) -> None:
        """Moves jobs, and lasting tasks, that this group cannot run."""
        if not self._may_start():
            return
        for job in self.scheduler.list_movable():
            target = self._choose_group(job)
            if target and target != self.group:
                self._start_move(job, (), target)
        now = self._clock.monotonic()
        for job, indexes in self.scheduler.list_stuck(now):
            refuge = self._choose_refuge(job)
            if not refuge.group:
                continue
            if len(job.entry.assignment) > 1:
                moved = tuple(indexes[:refuge.tasks])
                self._start_move(job, moved, refuge.group)
            elif not job.list_active():
                self._start_move(job, (), refuge.group)

    def _start_move(self, job: dispatch.JobRun, indexes: tuple[int, ...],
                    target: str) -> None:
        self._spawn(self._move(job, indexes, target, job.begin_move()))

    async def _move(self, job: dispatch.JobRun, indexes: tuple[int, ...],
                    target: str, number: int) -> None:
        job_id = job.job.job_id
        await self._append([
            job.build_progress(self.group, self.epoch),
            dispatch.MovedRecord(job_id, self.group, indexes, target, number)
        ])
        self._log.write("tasks-moved",
                        job=job_id,
                        group=self.group,
                        indexes=indexes,
                        to=target)

    def _log_ends(self) -> None:
        notes = self.scheduler.notes
        self.scheduler.notes = []
        for note in notes:
            self._metrics.ends.inc({"cause": note.cause})
            self._log.write("run-ended",
                            job=note.task.job_id,
                            task=tuple(note.task[1:]),
                            run=note.run,
                            worker=note.worker_id,
                            cause=note.cause,
                            seconds=round(note.seconds, 3))

    def _report(self, now: float) -> None:
        self._reported_at = now
        self._log_load(now)
        states, self._states = self._states, []
        self._on_report(
            _reports.LeaderReport(self.group, self.epoch, self.get_load(now),
                                  tuple(states),
                                  tuple(self._interference.take_changed())))

    def _log_load(self, now: float) -> None:
        if now - self._load_logged_at < LOAD_LOG_INTERVAL.total_seconds():
            return
        self._load_logged_at = now
        summary = self.scheduler.summarize(now)
        self._log.write("group-load", group=self.group, **summary._asdict())

    async def _append(self, records: list[dispatch.Record]) -> None:
        try:
            await self._writer.append(records, FOREVER)
        except ports.ProducerFencedError:
            self._give_up("the store has a higher epoch")
            raise asyncio.CancelledError() from None

    async def _flush_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(
                        dispatch.BEAT_INTERVAL.total_seconds()):
                    await self._flush_wanted.wait()
                if not any(job.is_dirty and job.state.is_final
                           for job in self.scheduler.jobs.values()):
                    await self._clock.sleep(FLUSH_PAUSE)
            except TimeoutError:
                pass
            self._flush_wanted.clear()
            await self._flush()

    async def _flush(self) -> None:
        """Stores progress, then acknowledges the ends that led to it."""
        seen = {
            worker_id: (worker.born_ms, worker.seen_end)
            for worker_id, worker in self.scheduler.workers.items()
        }
        progress = self.scheduler.take_dirty()
        records: list[dispatch.Record] = list(progress)
        workers = self.scheduler.build_workers_record()
        if workers is not None:
            records.append(workers)
        if not records:
            self._beat += 1
            records.append(
                dispatch.LeaderRecord(self.group, self.epoch, self._node,
                                      self._incarnation, self._beat))
        await self._append(records)
        if workers is not None:
            self.scheduler.note_workers_recorded(workers)
            self._plan_wanted.set()
        for worker_id, (born_ms, number) in seen.items():
            worker = self.scheduler.workers.get(worker_id)
            if worker is not None and worker.born_ms == born_ms:
                worker.acknowledged = max(worker.acknowledged, number)
        self._flushed.set()
        self._flushed = asyncio.Event()
        self._publish(progress)

    def _publish(self, progress: list[dispatch.ProgressRecord]) -> None:
        has_final = False
        for record in progress:
            self._states.append(
                _reports.JobStateNotice(record.job_id, record.state))
            if record.state.is_final:
                has_final = True
                self._log.write("job-ended",
                                job=record.job_id,
                                group=self.group,
                                state=record.state.value)
                self.scheduler.forget_job(record.job_id)
        if has_final:
            self._report(self._clock.monotonic())

    # Workers.

    async def _follow_worker(self, worker_id: str) -> None:
        """Looks at a worker again and again, and renews its lease."""
        while not self._is_stopped:
            worker = self.scheduler.workers.get(worker_id)
            if worker is None:
                return
            try:
                await self._look(worker)
            except ports.StaleFencingTokenError as error:
                self._log.write("fenced",
                                group=self.group,
                                epoch=self.epoch,
                                error=str(error))
                self._give_up("a worker has a higher fence")
                return
            except ports.WorkerReplacedError as error:
                self._log.write("worker-gone",
                                group=self.group,
                                worker=worker_id,
                                runs=len(worker.runs),
                                error=str(error))
                self.scheduler.apply_gone(worker_id, self._clock.monotonic())
                self._flush_wanted.set()
                self._plan_wanted.set()
                return
            except errors.WorkerError as error:
                self._note_no_reply(worker, str(error))
                await self._clock.sleep(LOOK_RETRY)
                continue
            if worker.seen_end > worker.acknowledged:
                self._flush_wanted.set()
                try:
                    async with asyncio.timeout(
                            ACKNOWLEDGE_WAIT.total_seconds()):
                        await self._flushed.wait()
                except TimeoutError:
                    pass

    async def _look(self, worker: dispatch.WorkerState) -> None:
        sent_at = self._clock.monotonic()
        expires_at_ms = None
        # A call that gets no reply may still extend the lease, so a worker
        # that does not answer is only looked at until it does.
        if worker.born_ms and worker.is_answering and self._may_start():
            expires_at_ms = worker.extend_lease(sent_at, self._lease)
        wait = self._choose_wait(worker)
        look = await self._workers.poll_status(worker.entry, self.epoch,
                                        worker.acknowledged, expires_at_ms,
                                        wait, wait + LOOK_ALLOWANCE)
        self._metrics.looks.inc({"outcome": "ok"})
        self._lost.discard(worker.worker_id)
        if not worker.is_answering:
            self._log.write("worker-reached",
                            group=self.group,
                            worker=worker.worker_id,
                            born_ms=look.born_ms,
                            running=len(look.running),
                            ended=len(look.ended))
        paces = dict(worker.paces)
        self.scheduler.apply_look(worker.worker_id, look, sent_at,
                                  self._clock.monotonic())
        if worker.paces != paces:
            self._log.write("pace-changed",
                            group=self.group,
                            worker=worker.worker_id,
                            tails={
                                image: round(pressure, 2)
                                for image, pressure in worker.pressures.items()
                            },
                            paces=worker.paces)
        self._plan_wanted.set()

    def _choose_wait(self, worker: dispatch.WorkerState) -> datetime.timedelta:
        if (not worker.is_answering or not worker.born_ms or
                worker.seen_end > worker.acknowledged):
            return datetime.timedelta(0)
        steps = [run.step for run in worker.runs.values()]
        if not steps:
            return LOOK_WAIT_IDLE
        if any(step.is_best_effort for step in steps) and any(
                step.tail_latency_limit_ms for step in steps):
            return LOOK_WAIT_SHARED
        return LOOK_WAIT_BUSY

    def _note_no_reply(self, worker: dispatch.WorkerState, error: str) -> None:
        self._metrics.looks.inc({"outcome": "failed"})
        worker_id = worker.worker_id
        if worker.is_answering or worker_id not in self._lost:
            self._lost.add(worker_id)
            self._log.write("worker-lost",
                            group=self.group,
                            worker=worker.worker_id,
                            runs=len(worker.runs),
                            error=error)
        self.scheduler.note_no_reply(worker.worker_id)
        self._plan_wanted.set()

    # Orders.

    async def _send_start(self, order: dispatch.StartOrder) -> None:
        worker = self.scheduler.workers.get(order.worker_id)
        if worker is None:
            return
        began = self._clock.monotonic()
        start = ports.LeasedStartOrder(order.task, order.run, order.payload,
                                worker.extend_lease(began, self._lease),
                                self.epoch, order.checkpoint, order.permit)
        reply = await self._workers.start(worker.entry, start, ORDER_TIMEOUT)
        now = self._clock.monotonic()
        self._metrics.starts.inc({"outcome": reply.outcome.value})
        self._metrics.start_seconds.observe({}, now - began)
        self._log.write("run-ordered",
                        job=order.task.job_id,
                        task=tuple(order.task[1:]),
                        run=order.run,
                        worker=order.worker_id,
                        outcome=reply.outcome.value,
                        detail=reply.detail,
                        ms=round((now - began) * 1000, 1))
        if reply.outcome is ports.StartOutcome.FENCED:
            self._give_up("a worker has a higher fence")
            return
        self.scheduler.apply_start_reply(order, reply, now)
        self._plan_wanted.set()

    async def _request_permits(self, order: dispatch.PermitRequest) -> None:
        sent_at = self._clock.monotonic()
        answer = None
        error = ""
        try:
            answer = await self._permits.request_permits(
                order.job_id, order.occurrence, order.step,
                tuple(order.workers), PERMIT_TIMEOUT)
        except ports.PermitError as problem:
            error = str(problem)
        now = self._clock.monotonic()
        self._log.write("permits-requested",
                        job=order.job_id,
                        step=(order.occurrence, order.step),
                        asked=len(order.workers),
                        granted=len(answer.permits) if answer else None,
                        error=error,
                        ms=round((now - sent_at) * 1000, 1))
        self.scheduler.apply_permits(order, answer, sent_at, now)
        self._plan_wanted.set()

    async def _send_stop(self, order: dispatch.StopOrder) -> None:
        is_done = await self._send(
            order, lambda entry: self._workers.stop(
                entry, order.task, order.run, self.epoch, ORDER_TIMEOUT))
        self._log.write("run-stopped",
                        job=order.task.job_id,
                        task=tuple(order.task[1:]),
                        run=order.run,
                        worker=order.worker_id,
                        reason=order.reason,
                        done=is_done)
        self.scheduler.apply_stop_reply(order, is_done, self._clock.monotonic())
        self._plan_wanted.set()

    async def _send_pace(self, order: dispatch.PaceOrder) -> None:
        is_done = await self._send(
            order, lambda entry: self._workers.
            set_throttle(entry, order.task, order.run, order.percent, self.epoch,
                 ORDER_TIMEOUT))
        self.scheduler.apply_pace_reply(order, is_done)

    async def _send(self, order: dispatch.Order,
                    call: Callable[[ports.WorkerEntry], Coroutine]) -> bool:
        worker = self.scheduler.workers.get(order.worker_id)
        if worker is None:
            return False
        try:
            await call(worker.entry)
            return True
        except ports.StaleFencingTokenError:
            self._give_up("a worker has a higher fence")
        except (errors.WorkerError, ports.WorkerReplacedError) as error:
            self._log.write("order-failed",
                            worker=order.worker_id,
                            job=order.task.job_id,
                            run=order.run,
                            error=str(error))
        return False
