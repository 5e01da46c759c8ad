"""The leader's state machine of one group of workers.

It does no I/O: the service feeds it with entries, looks, replies and jobs,
asks `plan` for orders, and reports what became of each order.

A task has at most one run that has not certainly ended. A run ends when its
worker lists the end, when a look that was sent after its start no longer lists
it, when the worker was born again, or when its lease has certainly lapsed.
"""

import datetime
from typing import Iterable, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _pacing
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _records
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _table
from gentianlead.dispatch import _workers

RUN_NUMBERS_PER_EPOCH = 1 << 13
"""Run numbers of a job in one epoch; jobs have far fewer tasks."""

STRANGER_GRACE = datetime.timedelta(seconds=3)
"""Time for the topic to tell of a job that a worker already runs."""

UNLISTED_GRACE = datetime.timedelta(milliseconds=2500)
"""Time for a worker's entry to come back after the store's return."""

ORDER_ATTEMPTS = 2
"""Start orders without a reply before the run is stopped instead."""

STALL_FACTOR = 4.0
"""Multiple of its estimate after which a run without progress is given up."""

STALL_MIN = datetime.timedelta(seconds=2)
"""Shortest time without progress after which a run is given up."""

LASTING_START_LIMIT = datetime.timedelta(seconds=6)
"""Time in which a lasting task must be at work after its start."""

STUCK_LIMIT = datetime.timedelta(milliseconds=700)
"""Time without room after which lasting tasks go to another group."""

STARVING_LIMIT = datetime.timedelta(seconds=2)
DESPERATE_LIMIT = datetime.timedelta(seconds=8)
"""Times without room after which one filler of a job of which nothing runs is
placed without spare processors, and at last beside tasks that it disturbs."""

LEAVE_PACE = 50
"""Pace in percent at and below which a filler with checkpoints goes on
elsewhere, if a worker has room."""

PLAN_MISSES = 24
"""Steps without room after which a planning pass ends."""


class StartOrder(NamedTuple):
    """Order to start a run on a worker."""

    worker_id: str
    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str


class StopOrder(NamedTuple):
    """Order to stop a run on a worker."""

    worker_id: str
    task: model.TaskKey
    run: int
    reason: str


class PaceOrder(NamedTuple):
    """Order to let a run work at a share of its speed."""

    worker_id: str
    task: model.TaskKey
    run: int
    percent: int


Order = StartOrder | StopOrder | PaceOrder


class EndNote(NamedTuple):
    """An end that was applied, for the log."""

    worker_id: str
    task: model.TaskKey
    run: int
    cause: str
    seconds: float


class GroupRules(NamedTuple):
    """Times of a group.

    Attributes:
        lease: Length of a worker's lease.
        takeover_wait: Time after which nothing that a former leader started
            can run on a worker that was never reached.
        stop_limit: Longest time that a stop takes at a worker.
    """

    lease: datetime.timedelta
    takeover_wait: datetime.timedelta
    stop_limit: datetime.timedelta


class GroupLoad(NamedTuple):
    """How busy a group is.

    Attributes:
        is_usable: Whether tasks can be started.
        capacity_millis: Processors of usable workers.
        firm_millis: Reserved by runs that do not fill.
        urgent_ms: Waiting work of tasks that fillers give way to, in
            milliseconds of all usable processors.
        filling_ms: Waiting work of fillers, in milliseconds of the processors
            that serving tasks leave over.
        workers: Number of usable workers.
        labels: Labels of usable workers.
    """

    is_usable: bool
    capacity_millis: int
    firm_millis: int
    urgent_ms: int
    filling_ms: int
    workers: int = 0
    labels: tuple[str, ...] = ()


class GroupSummary(NamedTuple):
    """State of a group for the log; processors in thousandths.

    Attributes:
        workers: Number of workers.
        usable: Workers that may get starts.
        jobs: Jobs that are not forgotten.
        capacity: Processors of usable workers.
        serving: Reserved by serving tasks.
        short: Reserved by other tasks that do not fill.
        filling: Declared by fillers that run.
        filling_used: Used by fillers at the last looks.
        waiting_lasting: Lasting tasks that wait.
        waiting_short: Other tasks that wait and do not fill.
        waiting_filling: Fillers that wait.
    """

    workers: int
    usable: int
    jobs: int
    capacity: int
    serving: int
    short: int
    filling: int
    filling_used: int
    waiting_lasting: int
    waiting_short: int
    waiting_filling: int


class GroupScheduler:
    """Decides what runs where in one group.

    Example:
        >>> scheduler = GroupScheduler("north-1", 3, rules, 0.0, 120)
        >>> scheduler.put_worker(entry)
        >>> scheduler.apply_look(worker_id, look, sent_at=1.0, now=1.2)
        >>> scheduler.put_job(job_entry)
        >>> orders = scheduler.plan(now=1.2, now_ms=1764849600000)

    Attributes:
        group: Name of the group.
        epoch: Epoch of this leadership; the fence of all orders.
        jobs: Jobs that are not over, and those with runs.
        workers: Workers by identifier.
        notes: Ends applied since the service last took them.
        is_evacuated: Whether operators took the group out of service.
    """

    def __init__(self, group: str, epoch: int, rules: GroupRules, now: float,
                 epoch_offset: int,
                 interference: _interference.InterferenceModel):
        self.group = group
        self.epoch = epoch
        self.jobs: dict[str, _runs.JobRun] = {}
        self.workers: dict[str, _workers.WorkerState] = {}
        self.notes: list[EndNote] = []
        self.is_evacuated = False
        self.queues: dict[tuple[str, str], model.Queue] = {}
        # Jobs that left this group, with the offset of the acceptance or move
        # that they had: the topic is read back later than it is written.
        self._left: dict[str, int] = {}
        self._recorded: set[str] = set()
        self._model = interference
        self._rules = rules
        self._epoch_offset = epoch_offset
        self._settled_at = now + rules.takeover_wait.total_seconds()

    # Input: workers.

    def put_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker that the registry lists, or updates its entry."""
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            self.workers[entry.worker_id] = _workers.WorkerState(entry)
        else:
            worker.entry = entry
            worker.is_listed = True

    def put_recorded_worker(self, entry: ports.WorkerEntry, now: float) -> None:
        """Adds a worker on which a former leader may have started runs."""
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            worker = _workers.WorkerState(entry)
            worker.is_listed = False
            worker.unlisted_at = now
            self.workers[entry.worker_id] = worker
        worker.is_recorded = True

    def build_workers_record(self) -> _records.WorkersRecord | None:
        """Returns the workers to store, or None when all are stored."""
        if self._recorded == set(self.workers):
            return None
        return _records.WorkersRecord(
            self.group, self.epoch,
            tuple(worker.entry for worker in self.workers.values()))

    def note_workers_recorded(self, record: _records.WorkersRecord) -> None:
        """Notes that a record of workers is stored."""
        self._recorded = {entry.worker_id for entry in record.workers}
        for worker_id in self._recorded & set(self.workers):
            self.workers[worker_id].is_recorded = True

    def unlist_worker(self, worker_id: str, now: float) -> None:
        """Notes that the registry no longer lists a worker."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            worker.unlisted_at = now

    def drop_gone_workers(self, now: float) -> list[str]:
        """Forgets workers that are not listed and certainly run nothing."""
        gone = [
            worker_id for worker_id, worker in self.workers.items()
            if not worker.is_listed and not worker.runs and now -
            worker.unlisted_at > UNLISTED_GRACE.total_seconds() and
            (worker.reached_at is not None or now >= self._settled_at) and
            (not worker.is_answering or worker.is_lapsed(now))
        ]
        for worker_id in gone:
            del self.workers[worker_id]
        return gone

    def note_no_reply(self, worker_id: str) -> None:
        """Notes that a call to a worker gave no usable reply."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_answering = False

    def apply_look(self, worker_id: str, look: ports.WorkerLook, sent_at: float,
                   now: float) -> None:
        """Applies a worker's lists."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if worker.born_ms != look.born_ms:
            if worker.born_ms > look.born_ms:
                return  # A late reply of a former lifetime.
            self._end_runs(worker, ports.EndCause.LAPSED, now)
            worker.restart(look.born_ms)
        worker.note_clock(look.clock_ms, now)
        worker.replied_at = now
        worker.is_answering = True
        if worker.reached_at is None:
            worker.reached_at = now
            # A former leader may have renewed the lease just before.
            worker.extend_lease(now, self._rules.lease)
        for ended in look.ended:
            if ended.number > worker.seen_end:
                self._apply_end(worker, ended, now)
                worker.seen_end = ended.number
        listed = set()
        for row in look.running:
            listed.add((row.task, row.run))
            self._apply_running(worker, row, now)
        self._release_vanished(worker, listed, sent_at, now)
        for key in [key for key in worker.strangers if key not in listed]:
            del worker.strangers[key]
        _pacing.update_paces(worker, self._model, now)

    def _apply_end(self, worker: _workers.WorkerState, ended: ports.EndedTask,
                   now: float) -> None:
        run = worker.runs.pop((ended.task, ended.run), None)
        job = self.jobs.get(ended.task.job_id)
        if run is None:
            if job is not None and ended.cause is ports.EndCause.DONE:
                job.mark_done_elsewhere(ended.task)
            elif job is not None and ended.cause is ports.EndCause.FAILED:
                self._count_failure(job, ended.task)
            return
        seconds = now - run.sent_at
        self.notes.append(
            EndNote(worker.worker_id, ended.task, ended.run, ended.cause.value,
                    seconds))
        if ended.cause is ports.EndCause.DONE:
            worker.note_result(True, now)
            if not run.step.is_filler:
                worker.note_duration(seconds, run.step.estimate_ms)
        elif ended.cause is ports.EndCause.FAILED:
            worker.note_result(False, now)
        if job is not None:
            job.apply_end(run, ended.cause, ended.checkpoint or run.checkpoint)

    def _count_failure(self, job: _runs.JobRun, task: model.TaskKey) -> None:
        step_run = job.get_step(task)
        if step_run is None or task.index in step_run.done:
            return
        step_run.failures[task.index] = step_run.failures.get(task.index, 0) + 1
        job.is_dirty = True
        limit = job.job.queue.max_attempts
        if (not step_run.step.is_lasting and
                step_run.failures[task.index] >= limit):
            job.set_state(model.JobState.FAILED)

    def _apply_running(self, worker: _workers.WorkerState,
                       row: ports.RunningTask, now: float) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            run = self._adopt(worker, row, now)
            if run is None:
                return
        if run.phase in (_runs.RunPhase.STARTING, _runs.RunPhase.UNKNOWN):
            run.phase = _runs.RunPhase.RUNNING
            run.attempts = 0
            run.confirmed_at = now
        run.checkpoint = row.checkpoint or run.checkpoint
        run.gauge = row.gauge
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_at = now

    def _adopt(self, worker: _workers.WorkerState, row: ports.RunningTask,
               now: float) -> _runs.Run | None:
        """Takes over a run that a former leader started."""
        job = self.jobs.get(row.task.job_id)
        step_run = job.get_step(row.task) if job is not None else None
        if (step_run is None or job.is_over or
                row.task.index not in step_run.waiting):
            worker.strangers.setdefault((row.task, row.run), now)
            return None
        run = _runs.Run(row.task, step_run.step, row.run, worker.worker_id, now)
        run.phase = _runs.RunPhase.RUNNING
        run.confirmed_at = now
        run.pace = -1  # Unknown; the first pace order sets it.
        step_run.waiting.discard(row.task.index)
        step_run.active[row.task.index] = run
        worker.runs[(row.task, row.run)] = run
        job.last_run = max(job.last_run, row.run)
        job.set_state(model.JobState.RUNNING)
        return run

    def _release_vanished(self, worker: _workers.WorkerState, listed: set,
                          sent_at: float, now: float) -> None:
        for key, run in list(worker.runs.items()):
            if (key in listed or run.confirmed_at is None or
                    run.confirmed_at > sent_at or run.phase
                    in (_runs.RunPhase.STARTING, _runs.RunPhase.UNKNOWN)):
                continue
            self._end_run(worker, run, ports.EndCause.LAPSED, now)

    def _end_run(self, worker: _workers.WorkerState, run: _runs.Run,
                 cause: ports.EndCause, now: float) -> None:
        worker.runs.pop((run.task, run.number), None)
        self.notes.append(
            EndNote(worker.worker_id, run.task, run.number, cause.value,
                    now - run.sent_at))
        job = self.jobs.get(run.task.job_id)
        if job is not None:
            job.apply_end(run, cause, run.checkpoint)

    def _end_runs(self, worker: _workers.WorkerState, cause: ports.EndCause,
                  now: float) -> None:
        for run in list(worker.runs.values()):
            self._end_run(worker, run, cause, now)

    # Input: jobs.

    def put_job(self, entry: _table.JobEntry) -> None:
        """Adds or updates a job as the topic describes it."""
        job_id = entry.job.job_id
        known = self.jobs.get(job_id)
        if known is not None:
            known.update_entry(entry)
            if self.group not in entry.since:
                self.forget_job(job_id)
            return
        since = entry.since.get(self.group, -1)
        if entry.state.is_final or since <= self._left.get(job_id, -1):
            return
        self.jobs[job_id] = _runs.JobRun(entry,
                                         self.group,
                                         is_settled=since > self._epoch_offset)

    def cancel_job(self, job_id: str) -> None:
        """Cancels a job whose cancellation is stored."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.entry = job.entry._replace(is_cancelled=True)
            job.set_state(model.JobState.CANCELLED)

    def forget_job(self, job_id: str) -> None:
        """Forgets a job that was moved away or whose end is stored."""
        job = self.jobs.get(job_id)
        if job is not None and not job.list_active():
            self._left[job_id] = max(
                self._left.get(job_id, -1),
                job.entry.since.get(self.group, job.entry.offset))
            del self.jobs[job_id]

    def set_queues(self, queues: Iterable[model.Queue]) -> None:
        """Sets the queues of the configuration in force."""
        self.queues = {
            (queue.host, queue.path_prefix): queue for queue in queues
        }

    # Input: replies to orders.

    def apply_start_reply(self, order: StartOrder, reply: ports.StartReply,
                          now: float) -> None:
        """Applies a worker's reply to a start order."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if run is None:
            return
        run.is_ordered = False
        if reply.clock_ms is not None:
            worker.note_clock(reply.clock_ms, now)
        outcome = reply.outcome
        if outcome is ports.StartOutcome.STARTED:
            if run.phase in (_runs.RunPhase.STARTING, _runs.RunPhase.UNKNOWN):
                run.phase = _runs.RunPhase.RUNNING
                run.attempts = 0
                run.confirmed_at = now
                run.progressed_at = now
            job = self.jobs.get(order.task.job_id)
            if job is not None:
                job.set_state(model.JobState.RUNNING)
            return
        if run.phase is _runs.RunPhase.RUNNING:
            return  # A look has listed it meanwhile.
        if outcome is ports.StartOutcome.UNKNOWN:
            run.phase = _runs.RunPhase.UNKNOWN
            worker.is_answering = False
            return
        if run.attempts > 1 and outcome is not ports.StartOutcome.REBORN:
            # The first order may still be carried out.
            run.phase = _runs.RunPhase.UNKNOWN
            run.attempts = max(run.attempts, ORDER_ATTEMPTS)
            return
        self._apply_refusal(worker, run, outcome, now)

    def _apply_refusal(self, worker: _workers.WorkerState, run: _runs.Run,
                       outcome: ports.StartOutcome, now: float) -> None:
        pauses = {
            ports.StartOutcome.NO_ROOM: _workers.ROOM_BACKOFF,
            ports.StartOutcome.OUTDATED: _workers.ROOM_BACKOFF,
            ports.StartOutcome.LATE: _workers.ROOM_BACKOFF,
            ports.StartOutcome.REBORN: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.UNHEALTHY: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.INVALID: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.NO_PERMIT: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.FENCED: _workers.UNHEALTHY_BACKOFF,
        }
        worker.paused_until = max(worker.paused_until,
                                  now + pauses[outcome].total_seconds())
        worker.runs.pop((run.task, run.number), None)
        job = self.jobs.get(run.task.job_id)
        if job is not None:
            job.apply_end(run, ports.EndCause.STOPPED, run.checkpoint)
            if outcome is ports.StartOutcome.OUTDATED:
                job.last_run += RUN_NUMBERS_PER_EPOCH

    def apply_stop_reply(self, order: StopOrder, is_done: bool,
                         now: float) -> None:
        """Applies a worker's reply to a stop order."""
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return
        worker.strangers.pop((order.task, order.run), None)
        run = worker.runs.get((order.task, order.run))
        if run is None:
            return
        run.is_ordered = False
        if is_done:
            # A look sent from now on lists the run, its end, or neither.
            run.phase = _runs.RunPhase.STOPPING
            run.confirmed_at = now
        else:
            worker.is_answering = False

    def apply_pace_reply(self, order: PaceOrder, is_done: bool) -> None:
        """Applies a worker's reply to a pace order."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if run is not None:
            run.is_ordered = False
            run.pace = order.percent if is_done else -1

    # Output.

    def plan(self, now: float, now_ms: int, may_start: bool) -> list[Order]:
        """Returns the orders to send now.

        Args:
            now: Monotonic time in seconds.
            now_ms: Time of day in milliseconds since 1970.
            may_start: Whether the leader's right to start is fresh.
        """
        self._end_lapsed(now)
        self._settle_jobs(now)
        orders: list[Order] = []
        self._plan_stops(orders, now)
        if may_start:
            self._plan_repeats(orders)
            if not self.is_evacuated:
                self._plan_starts(orders, now, now_ms)
        self._plan_pace(orders)
        return orders

    def _end_lapsed(self, now: float) -> None:
        for worker in self.workers.values():
            if worker.runs and not worker.is_answering and worker.is_lapsed(
                    now):
                self._end_runs(worker, ports.EndCause.LAPSED, now)

    def _settle_jobs(self, now: float) -> None:
        if now < self._settled_at and any(
                worker.reached_at is None for worker in self.workers.values()):
            return
        for job in self.jobs.values():
            job.is_settled = True

    def _plan_stops(self, orders: list[Order], now: float) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                reason = self._find_stop_reason(run, now)
                if reason and not run.is_ordered and (
                        run.phase is not _runs.RunPhase.STOPPING or
                        now - run.confirmed_at
                        > 2 * self._rules.stop_limit.total_seconds()):
                    run.is_ordered = True
                    orders.append(
                        StopOrder(worker.worker_id, run.task, run.number,
                                  reason))
            for (task, number), since in worker.strangers.items():
                if (self._is_obsolete(task) or
                        now - since > STRANGER_GRACE.total_seconds()):
                    orders.append(
                        StopOrder(worker.worker_id, task, number, "obsolete"))

    def _is_obsolete(self, task: model.TaskKey) -> bool:
        job = self.jobs.get(task.job_id)
        if job is None:
            return False
        step_run = job.get_step(task)
        return (job.is_over or step_run is None or
                task.index not in step_run.waiting)

    def _find_stop_reason(self, run: _runs.Run, now: float) -> str:
        job = self.jobs.get(run.task.job_id)
        if job is None or job.is_over:
            return "job is over"
        if run.phase is _runs.RunPhase.UNKNOWN and (run.attempts
                                                    >= ORDER_ATTEMPTS):
            return "no reply to its start"
        if run.phase is _runs.RunPhase.STOPPING:
            return "its stop took no effect"
        step_run = job.get_step(run.task)
        if run.task.index in step_run.done:
            return "task is done"
        if self._is_stalled(run, now):
            return "no progress"
        if self._should_leave(run, now):
            return "disturbs serving tasks"
        return ""

    def _should_leave(self, run: _runs.Run, now: float) -> bool:
        """Returns whether a slowed filler can go on elsewhere."""
        step = run.step
        if (not step.is_filler or not step.has_checkpoints or
                run.phase is not _runs.RunPhase.RUNNING or
                not 0 <= run.pace <= LEAVE_PACE):
            return False
        return any(
            worker.worker_id != run.worker_id and worker.can_start(now) and
            _placement.fits(_placement.build_candidate(worker), step,
                            _placement.Need.NORMAL) and
            _pacing.may_add(worker, self._model, step.image, step.cpu_millis)
            for worker in self.workers.values())

    def _is_stalled(self, run: _runs.Run, now: float) -> bool:
        if run.phase is not _runs.RunPhase.RUNNING or run.pace != 100:
            return False
        worker = self.workers[run.worker_id]
        if not worker.is_answering:
            return False
        idle = now - run.progressed_at
        if run.step.is_lasting:
            return (run.percent < 100 and
                    idle > LASTING_START_LIMIT.total_seconds())
        limit = max(STALL_MIN.total_seconds(),
                    STALL_FACTOR * run.step.estimate_ms / 1000)
        return idle > limit and run.percent < 100

    def _plan_repeats(self, orders: list[Order]) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                if (run.phase is _runs.RunPhase.UNKNOWN and
                        not run.is_ordered and run.attempts < ORDER_ATTEMPTS):
                    job = self.jobs.get(run.task.job_id)
                    if job is None or job.is_over:
                        continue
                    run.is_ordered = True
                    run.attempts += 1
                    orders.append(
                        StartOrder(worker.worker_id, run.task, run.number,
                                   job.job.payload, run.checkpoint))

    def _plan_pace(self, orders: list[Order]) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                if (not run.step.is_filler or run.is_ordered or
                        run.phase is not _runs.RunPhase.RUNNING):
                    continue
                pace = worker.get_pace(run)
                change = abs(run.pace - pace)
                if change >= _pacing.MIN_CHANGE or (change and
                                                    pace in (0, 100)):
                    run.is_ordered = True
                    orders.append(
                        PaceOrder(worker.worker_id, run.task, run.number, pace))

    def _plan_starts(self, orders: list[Order], now: float,
                     now_ms: int) -> None:
        candidates = {
            worker.worker_id: _placement.build_candidate(worker)
            for worker in self.workers.values()
            if worker.can_start(now)
        }
        if not candidates:
            return
        misses = 0
        for job, step_run in self._list_startable(now_ms):
            if misses >= PLAN_MISSES:
                break
            if self._start_step(job, step_run, candidates, orders, now):
                step_run.stuck_since = None
                continue
            misses += 1
            if step_run.stuck_since is None:
                step_run.stuck_since = now

    def _list_startable(
            self, now_ms: int) -> list[tuple[_runs.JobRun, _runs.StepRun]]:
        """Returns steps with waiting tasks, the most urgent first."""
        rows = []
        for job in self.jobs.values():
            if job.is_over or not job.is_settled or job.moving:
                continue
            for step_run in job.steps.values():
                if step_run.waiting and job.is_step_due(step_run, now_ms):
                    step = step_run.step
                    kind = 0 if step.is_lasting else 2 if step.is_filler else 1
                    rank = (kind, job.deadline_ms < now_ms, job.deadline_ms,
                            job.job.job_id, step_run.key)
                    rows.append((rank, job, step_run))
        rows.sort(key=lambda row: row[0])
        return [(job, step_run) for _, job, step_run in rows]

    def _start_step(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    candidates: dict[str, _placement.Candidate],
                    orders: list[Order], now: float) -> bool:
        """Starts what fits of a step; returns whether all tasks started."""
        step = step_run.step
        queue = job.job.queue
        service = self.queues.get((queue.host, queue.path_prefix),
                                  queue).service
        rows = [
            candidate for candidate in candidates.values()
            if candidate.worker.entry.service == service
        ]
        counts: dict[str, int] = {}
        for run in step_run.active.values():
            counts[run.worker_id] = counts.get(run.worker_id, 0) + 1
        racks = self._find_rack(step_run)
        if step.is_gang:
            return self._start_gang(job, step_run, rows, counts, candidates,
                                    orders, now)
        need = self._compute_need(job, step_run, now)
        for index in sorted(step_run.waiting):
            chosen = _placement.choose_worker(rows, step,
                                              step_run.avoided.get(index, ""),
                                              counts, racks, self._model, need)
            if chosen is None:
                return False
            worker = chosen.worker
            self._start_task(job, step_run, index, worker, self._take_run(job),
                             orders, now)
            if step.is_rack_bound and racks is None:
                racks = worker.entry.labels
            need = _placement.Need.NORMAL
            counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
            candidates[worker.worker_id] = _placement.build_candidate(worker)
            rows = [
                candidates[row.worker.worker_id]
                if row.worker is worker else row for row in rows
            ]
        return True

    def _compute_need(self, job: _runs.JobRun, step_run: _runs.StepRun,
                      now: float) -> _placement.Need:
        if step_run.stuck_since is None or job.list_active():
            return _placement.Need.NORMAL
        waited = now - step_run.stuck_since
        if waited >= DESPERATE_LIMIT.total_seconds():
            return _placement.Need.DESPERATE
        if waited >= STARVING_LIMIT.total_seconds():
            return _placement.Need.STARVING
        return _placement.Need.NORMAL

    def _start_gang(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    rows: list[_placement.Candidate], counts: dict[str, int],
                    candidates: dict[str, _placement.Candidate],
                    orders: list[Order], now: float) -> bool:
        """Starts all members of a gang, or none."""
        step = step_run.step
        if step_run.active:
            return False
        chosen: list[_workers.WorkerState] = []
        racks = None
        left = {row.worker.worker_id: row for row in rows}
        for _ in range(step.count):
            row = _placement.choose_worker(list(left.values()), step, "",
                                           counts, racks, self._model)
            if row is None:
                return False
            worker = row.worker
            chosen.append(worker)
            if step.is_rack_bound:
                racks = worker.entry.labels
            counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
            left[worker.worker_id] = row._replace(
                free_cpu=row.free_cpu - step.cpu_millis,
                spare_cpu=row.spare_cpu - step.cpu_millis,
                free_memory=row.free_memory - step.memory_mib,
                free_gpu=row.free_gpu - step.accelerators)
        number = self._take_run(job)
        for index, worker in enumerate(chosen):
            self._start_task(job, step_run, index, worker, number, orders, now)
        for worker in chosen:
            candidates[worker.worker_id] = _placement.build_candidate(worker)
        return True

    def _find_rack(self, step_run: _runs.StepRun) -> frozenset[str] | None:
        if not step_run.step.is_rack_bound:
            return None
        for run in step_run.active.values():
            worker = self.workers.get(run.worker_id)
            if worker is not None:
                return worker.entry.labels
        return None

    def _take_run(self, job: _runs.JobRun) -> int:
        job.last_run = max(job.last_run + 1,
                           self.epoch * RUN_NUMBERS_PER_EPOCH + 1)
        return job.last_run

    def _start_task(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    index: int, worker: _workers.WorkerState, number: int,
                    orders: list[Order], now: float) -> None:
        task = model.TaskKey(job.job.job_id, *step_run.key, index)
        run = _runs.Run(task, step_run.step, number, worker.worker_id, now)
        run.checkpoint = self._choose_checkpoint(step_run, index)
        run.attempts = 1
        run.is_ordered = True
        step_run.waiting.discard(index)
        step_run.active[index] = run
        worker.runs[(task, number)] = run
        orders.append(
            StartOrder(worker.worker_id, task, number, job.job.payload,
                       run.checkpoint))

    def _choose_checkpoint(self, step_run: _runs.StepRun, index: int) -> str:
        if not step_run.step.is_gang:
            return step_run.checkpoints.get(index, "")
        # All members of a gang must resume from the same checkpoint.
        return next(
            (step_run.checkpoints[i] for i in sorted(step_run.checkpoints)), "")

    def take_dirty(self) -> list[_records.ProgressRecord]:
        """Returns the progress to store."""
        records = []
        for job in self.jobs.values():
            if job.is_dirty:
                job.is_dirty = False
                records.append(job.build_progress(self.group, self.epoch))
        return records

    def list_movable(self) -> list[_runs.JobRun]:
        """Returns settled jobs of which nothing runs, for another group."""
        return [
            job for job in self.jobs.values() if job.is_settled and
            not job.is_over and not job.moving and not job.list_active()
        ]

    def list_stuck(self, now: float) -> list[tuple[_runs.JobRun, list[int]]]:
        """Returns lasting tasks that have found no room here for a while."""
        stuck = []
        for job in self.jobs.values():
            step_run = job.steps.get((0, 0))
            if job.is_over or job.moving or not job.is_settled:
                continue
            if step_run is None or not step_run.step.is_lasting:
                continue
            if (step_run.waiting and step_run.stuck_since is not None and
                    now - step_run.stuck_since >= STUCK_LIMIT.total_seconds()):
                stuck.append((job, sorted(step_run.waiting)))
        return stuck

    def summarize(self, now: float) -> GroupSummary:
        """Returns the state of the group for the log."""
        usable = [
            worker for worker in self.workers.values() if worker.can_start(now)
        ]
        waiting = [0, 0, 0]
        for job in self.jobs.values():
            if job.is_over:
                continue
            for step_run in job.steps.values():
                if all((0, i) not in job.steps or job.steps[(0, i)].is_done
                       for i in step_run.step.depends_on):
                    kind = (0 if step_run.step.is_lasting else
                            2 if step_run.step.is_filler else 1)
                    waiting[kind] += len(step_run.waiting)
        loads = [worker.compute_load() for worker in usable]
        used = sum(run.gauge or 0
                   for worker in usable
                   for run in worker.runs.values()
                   if run.step.is_filler)
        return GroupSummary(len(self.workers), len(usable), len(self.jobs),
                            sum(worker.entry.cpu_millis for worker in usable),
                            sum(load.serving for load in loads),
                            sum(load.firm - load.serving for load in loads),
                            sum(load.filling for load in loads), used, *waiting)

    def compute_load(self, now: float) -> GroupLoad:
        """Returns how busy the group is."""
        capacity = firm = serving = workers = 0
        labels: set[str] = set()
        for worker in self.workers.values():
            if worker.can_start(now):
                load = worker.compute_load()
                workers += 1
                capacity += worker.entry.cpu_millis
                firm += load.firm
                serving += load.serving
                labels |= worker.entry.labels
        work = {True: 0.0, False: 0.0}
        for job in self.jobs.values():
            if job.is_over:
                continue
            for step_run in job.steps.values():
                step = step_run.step
                if step.is_lasting:
                    continue
                left = len(step_run.waiting) + 0.5 * len(step_run.active)
                if left and (step_run.key[0] == 0 or not job.job.is_timed):
                    work[step.is_filler] += (left * step.cpu_millis *
                                             step.estimate_ms)
        is_usable = capacity > 0 and not self.is_evacuated
        left_over = max(1, capacity - serving)
        return GroupLoad(is_usable, capacity, firm,
                         int(work[False] / left_over),
                         int((work[True] + work[False]) / left_over), workers,
                         tuple(sorted(labels)))
