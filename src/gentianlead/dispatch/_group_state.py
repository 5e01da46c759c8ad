"""What the leader of a group knows: jobs, workers, runs.

A task has at most one run that has not certainly ended. A run ends when its
worker lists the end, when a look that was sent after its start no longer lists
it, when the worker was born again, or when its lease has certainly lapsed.
"""

import datetime
from typing import Iterable

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _pacing
from gentianlead.dispatch import _records
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _table
from gentianlead.dispatch import _workers

RUN_NUMBERS_PER_EPOCH = 1 << 13
"""Run numbers of a job in one epoch; jobs have far fewer tasks."""

UNLISTED_GRACE = datetime.timedelta(milliseconds=2500)
"""Time for a worker's entry to come back after the store's return."""

ORDER_ATTEMPTS = 2
"""Start orders without a reply before the run is stopped instead."""

WAIT_LIMIT = datetime.timedelta(milliseconds=400)
"""Time without room after which a job of which nothing runs may go to another
group: a move takes two appends' time."""

STUCK_LIMIT = datetime.timedelta(milliseconds=700)
"""Time without room after which lasting tasks go to another group."""

RESERVED_LIMIT = datetime.timedelta(milliseconds=1800)
"""The same for lasting tasks that short ones make room for: most short tasks
end within that time."""


class GroupState:
    """Jobs, workers and runs of a group, as lists and replies tell of them.

    Attributes:
        group: Name of the group.
        epoch: Epoch of this leadership; the fence of all orders.
        jobs: Jobs that are not over, and those with runs.
        workers: Workers by identifier.
        notes: Ends applied since the service last took them.
        is_evacuated: Whether operators took the group out of service.
    """

    def __init__(self, group: str, epoch: int, rules: _orders.GroupRules,
                 now: float, epoch_offset: int,
                 interference: _interference.InterferenceModel):
        self.group = group
        self.epoch = epoch
        self.jobs: dict[str, _runs.JobRun] = {}
        self.workers: dict[str, _workers.WorkerState] = {}
        self.notes: list[_orders.EndNote] = []
        self.is_evacuated = False
        self.queues: dict[tuple[str, str], model.Queue] = {}
        # Jobs that left this group, with the offset of the acceptance or move
        # that they had: the topic is read back later than it is written.
        self._left: dict[str, int] = {}
        self._recorded: set[str] = set()
        self.interference = interference
        self.rules = rules
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

    def apply_gone(self, worker_id: str, now: float) -> None:
        """Ends the runs of a worker whose lifetime has certainly ended."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self._end_runs(worker, ports.EndCause.LEASE_EXPIRED, now)

    def apply_look(self, worker_id: str, look: ports.WorkerStatus, sent_at: float,
                   now: float) -> None:
        """Applies a worker's lists."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if worker.born_ms != look.born_ms:
            if worker.born_ms > look.born_ms:
                return  # A late reply of a former lifetime.
            self._end_runs(worker, ports.EndCause.LEASE_EXPIRED, now)
            worker.restart(look.born_ms)
        worker.note_clock(look.clock_ms, now)
        worker.replied_at = now
        worker.is_answering = True
        if worker.reached_at is None:
            worker.reached_at = now
            # A former leader may have renewed the lease just before.
            worker.extend_lease(now, self.rules.lease)
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
        _pacing.update_paces(worker, self.interference, now)

    def _apply_end(self, worker: _workers.WorkerState, ended: ports.EndedRun,
                   now: float) -> None:
        run = worker.runs.pop((ended.task, ended.run), None)
        job = self.jobs.get(ended.task.job_id)
        if run is None:
            if job is not None and ended.cause is ports.EndCause.DONE:
                job.mark_done_elsewhere(ended.task)
            elif job is not None and ended.cause is ports.EndCause.FAILED:
                job.count_failure(ended.task, ended.run)
            return
        seconds = now - run.sent_at
        self.notes.append(
            _orders.EndNote(worker.worker_id, ended.task, ended.run,
                            ended.cause.value, seconds))
        if ended.cause is ports.EndCause.DONE:
            worker.note_result(True, now)
            if not run.step.is_best_effort:
                worker.note_duration(seconds, run.step.estimate_ms)
        elif ended.cause is ports.EndCause.FAILED:
            worker.note_result(False, now)
        if job is not None:
            job.apply_end(run, ended.cause, ended.checkpoint or run.checkpoint)

    def _apply_running(self, worker: _workers.WorkerState,
                       row: ports.ActiveRun, now: float) -> None:
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
        run.latency_ms_or_cpu_millis = row.latency_ms_or_cpu_millis
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_at = now

    def _adopt(self, worker: _workers.WorkerState, row: ports.ActiveRun,
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
            self._end_run(worker, run, ports.EndCause.LEASE_EXPIRED, now)

    def _end_run(self, worker: _workers.WorkerState, run: _runs.Run,
                 cause: ports.EndCause, now: float) -> None:
        worker.runs.pop((run.task, run.number), None)
        self.notes.append(
            _orders.EndNote(worker.worker_id, run.task, run.number, cause.value,
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

    def apply_start_reply(self, order: _orders.StartOrder,
                          reply: ports.StartReply, now: float) -> None:
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
        if run.attempts > 1 and outcome is not ports.StartOutcome.WORKER_REPLACED:
            # The first order may still be carried out.
            run.phase = _runs.RunPhase.UNKNOWN
            run.attempts = max(run.attempts, ORDER_ATTEMPTS)
            return
        self._apply_refusal(worker, run, outcome, now)

    def _apply_refusal(self, worker: _workers.WorkerState, run: _runs.Run,
                       outcome: ports.StartOutcome, now: float) -> None:
        pauses = {
            ports.StartOutcome.NO_FREE_CAPACITY: _workers.ROOM_BACKOFF,
            ports.StartOutcome.OUTDATED_RUN: _workers.ROOM_BACKOFF,
            ports.StartOutcome.LEASE_ALREADY_EXPIRED: _workers.ROOM_BACKOFF,
            ports.StartOutcome.WORKER_REPLACED: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.UNHEALTHY: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.INVALID: _workers.UNHEALTHY_BACKOFF,
            ports.StartOutcome.FENCED: _workers.UNHEALTHY_BACKOFF,
        }
        if outcome in pauses:
            worker.paused_until = max(worker.paused_until,
                                      now + pauses[outcome].total_seconds())
        worker.runs.pop((run.task, run.number), None)
        job = self.jobs.get(run.task.job_id)
        if job is not None:
            if outcome is ports.StartOutcome.NO_PERMIT:
                job.get_step(run.task).permits.drop(worker.worker_id,
                                                    worker.born_ms)
            job.apply_end(run, ports.EndCause.STOPPED, run.checkpoint)
            if outcome is ports.StartOutcome.OUTDATED_RUN:
                job.last_run += RUN_NUMBERS_PER_EPOCH

    def apply_stop_reply(self, order: _orders.StopOrder, is_done: bool,
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

    def apply_pace_reply(self, order: _orders.PaceOrder, is_done: bool) -> None:
        """Applies a worker's reply to a pace order."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if run is not None:
            run.is_ordered = False
            run.pace = order.percent if is_done else -1

    def apply_permits(self, request: _orders.PermitRequest,
                      answer: ports.PermitReply | None, sent_at: float,
                      now: float) -> None:
        """Applies the answer to a request for permits; None for no answer."""
        job = self.jobs.get(request.job_id)
        if job is not None:
            step_run = job.steps[request.occurrence, request.step]
            step_run.permits.apply_answer(request.workers, answer, sent_at, now)

    # Output.

    def end_lapsed(self, now: float) -> None:
        """Ends the runs of workers whose lease has certainly lapsed."""
        for worker in self.workers.values():
            if worker.runs and not worker.is_answering and worker.is_lapsed(
                    now):
                self._end_runs(worker, ports.EndCause.LEASE_EXPIRED, now)

    def settle_jobs(self, now: float) -> None:
        """Settles all jobs once no unknown run can exist any more."""
        if now < self._settled_at and any(
                worker.reached_at is None for worker in self.workers.values()):
            return
        for job in self.jobs.values():
            job.is_settled = True

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
            job for job in self.jobs.values()
            if job.is_settled and not job.is_over and
            job.move_number is None and not job.list_active()
        ]

    def list_stuck(self, now: float) -> list[tuple[_runs.JobRun, list[int]]]:
        """Returns lasting tasks that have found no room here for a while."""
        stuck = []
        for job in self.jobs.values():
            step_run = job.steps.get((0, 0))
            if (job.is_over or job.move_number is not None or
                    not job.is_settled):
                continue
            if step_run is None or not step_run.step.is_long_running:
                continue
            limit = RESERVED_LIMIT if step_run.reserved else STUCK_LIMIT
            if (step_run.waiting and step_run.stuck_since is not None and
                    now - step_run.stuck_since >= limit.total_seconds()):
                stuck.append((job, sorted(step_run.waiting)))
        return stuck
