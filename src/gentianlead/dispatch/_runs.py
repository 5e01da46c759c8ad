"""Progress of one job in memory: which tasks wait, run and are done."""

import enum

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _permits
from gentianlead.dispatch import _records
from gentianlead.dispatch import _table


class RunPhase(enum.Enum):
    """What is known of a run at its worker."""

    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    STOPPING = "stopping"


class Run:
    """A start of a task that has not certainly ended.

    Attributes:
        task: The task.
        step: Shape of the task.
        number: Number of the run.
        worker_id: Worker that it was sent to.
        phase: What is known of it.
        sent_at: Monotonic time in seconds of the first order.
        confirmed_at: Time at which the worker last confirmed the phase; None
            before its first answer.
        attempts: Start or stop orders sent in this phase.
        checkpoint: Newest checkpoint.
        percent: Progress, or readiness of a lasting task.
        progressed_at: Time at which `percent` last changed.
        gauge: Newest gauge of the worker's list.
        pace: Share of its speed, in percent, that it was told to keep to.
        is_ordered: Whether an order for it is on its way.
    """

    __slots__ = ("task", "step", "number", "worker_id", "phase", "sent_at",
                 "confirmed_at", "attempts", "checkpoint", "percent",
                 "progressed_at", "latency_ms_or_cpu_millis", "pace", "is_ordered")

    def __init__(self, task: model.TaskKey, step: model.Step, number: int,
                 worker_id: str, now: float):
        self.task = task
        self.step = step
        self.number = number
        self.worker_id = worker_id
        self.phase = RunPhase.STARTING
        self.sent_at = now
        self.confirmed_at: float | None = None
        self.attempts = 0
        self.checkpoint = ""
        self.percent = 0
        self.progressed_at = now
        self.latency_ms_or_cpu_millis: int | None = None
        self.pace = 100
        self.is_ordered = False


class StepRun:
    """Tasks of one step of one occurrence.

    Attributes:
        key: Occurrence and index of the step.
        step: Shape of the tasks.
        waiting: Indexes of tasks that wait for a start.
        active: Runs by index of the task.
        done: Indexes of tasks that are done.
        failures: Failed runs by index.
        failed_runs: Numbers of the failed runs by index; not of lasting tasks,
            whose failures have no limit.
        checkpoints: Newest checkpoints by index.
        avoided: Workers on which a task failed last, by index.
        stuck_since: Monotonic time since which tasks wait although no worker
            has room; None if they do not.
        reserved: Worker that short tasks leave to a lasting one of this step,
            or empty.
        permits: Workers that may run the step, where its queue needs permits.
    """

    __slots__ = ("key", "step", "waiting", "active", "done", "failures",
                 "failed_runs", "checkpoints", "avoided", "stuck_since",
                 "reserved", "permits")

    def __init__(self, key: tuple[int, int], step: model.Step):
        self.key = key
        self.step = step
        self.waiting: set[int] = set(range(step.count))
        self.active: dict[int, Run] = {}
        self.done: set[int] = set()
        self.failures: dict[int, int] = {}
        self.failed_runs: dict[int, set[int]] = {}
        self.checkpoints: dict[int, str] = {}
        self.avoided: dict[int, str] = {}
        self.stuck_since: float | None = None
        self.reserved = ""
        self.permits = _permits.PermitBook()

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return len(self.done) == self.step.count

    def count_by_worker(self) -> dict[str, int]:
        """Returns the number of runs by worker."""
        counts: dict[str, int] = {}
        for run in self.active.values():
            counts[run.worker_id] = counts.get(run.worker_id, 0) + 1
        return counts

    def compute_left_ms(self) -> float:
        """Returns how long the tasks that are not done take side by side."""
        if self.is_done:
            return 0.0
        if self.waiting:
            return float(self.step.estimate_ms)
        slowest = min((run.percent for run in self.active.values()), default=0)
        return self.step.estimate_ms * (100 - slowest) / 100


class JobRun:
    """A job that this leader runs.

    Attributes:
        entry: The job as the topic describes it.
        group: Group of this leader.
        steps: Steps by occurrence and index.
        state: State that callers are told.
        last_run: Highest number of a run.
        is_settled: Whether no run can exist that this leader does not know.
        move_number: Number of the move by which tasks are being given to
            another group, until the topic shows it; nothing of the job starts
            meanwhile. None without such a move.
        is_dirty: Whether progress changed since the last append.
        deadline_ms: Time by which the objective wants the job done, in
            milliseconds since 1970; of its first occurrence.
    """

    def __init__(self, entry: _table.JobEntry, group: str, is_settled: bool):
        self.entry = entry
        self.group = group
        self.steps: dict[tuple[int, int], StepRun] = {}
        self.state = model.JobState.QUEUED
        self.last_run = entry.last_run
        self.is_settled = is_settled
        self.move_number: int | None = None
        self.is_dirty = False
        self.deadline_ms = compute_deadline_ms(entry.job)
        for occurrence in range(entry.job.occurrences):
            for index, step in enumerate(entry.job.steps):
                key = (occurrence, index)
                self.steps[key] = StepRun(key, step)
        for progress in entry.progress.values():
            self._restore(progress)
        self.update_entry(entry)

    def update_entry(self, entry: _table.JobEntry) -> None:
        """Takes over which tasks the group has, and a cancellation."""
        is_cancelled = self.entry.is_cancelled or entry.is_cancelled
        self.entry = entry._replace(is_cancelled=is_cancelled)
        # Not by the tasks that are left: another group may have given them
        # back before this group has read its own move.
        if (self.move_number is not None and
                entry.moves.get(self.group, 0) >= self.move_number):
            self.move_number = None
        for step_run in self.steps.values():
            step_run.waiting = {
                index for index in range(step_run.step.count)
                if index not in step_run.done and index not in step_run.active
                and entry.has_task(self.group, index)
            }
        if is_cancelled:
            self.set_state(model.JobState.CANCELLED)

    def _restore(self, progress: _records.ProgressRecord) -> None:
        if not self.state.is_final and progress.state is not (
                model.JobState.QUEUED):
            self.state = progress.state
        self.last_run = max(self.last_run, progress.last_run)
        for item in progress.done:
            step_run = self.steps.get((item.occurrence, item.step))
            if step_run is None:
                continue
            mask = int(item.mask, 16)
            done = {i for i in range(step_run.step.count) if mask >> i & 1}
            step_run.done |= done
            step_run.waiting -= done
        for fact in progress.tasks:
            step_run = self.steps.get((fact.occurrence, fact.step))
            if step_run is None:
                continue
            if fact.failures:
                step_run.failures[fact.index] = max(
                    fact.failures, step_run.failures.get(fact.index, 0))
                step_run.failed_runs.setdefault(fact.index, set()).update(
                    fact.failed_runs, (fact.failed_run,))
            if fact.checkpoint:
                step_run.checkpoints[fact.index] = fact.checkpoint

    def begin_move(self) -> int:
        """Stops all starts until a move is read back; returns its number."""
        self.last_run += 1
        self.move_number = self.last_run
        return self.last_run

    @property
    def job(self) -> model.SteppedJob:
        """The job as it was accepted."""
        return self.entry.job

    @property
    def is_over(self) -> bool:
        """Whether nothing of the job may start any more."""
        return self.state.is_final or self.entry.is_cancelled

    def is_stuck(self, now: float, limit: float) -> bool:
        """Returns whether a step has found no room for `limit` seconds."""
        return any(
            step_run.waiting and step_run.stuck_since is not None and now -
            step_run.stuck_since >= limit for step_run in self.steps.values())

    def list_active(self) -> list[Run]:
        """Returns all runs that have not certainly ended."""
        return [
            run for step_run in self.steps.values()
            for run in step_run.active.values()
        ]

    def get_step(self, task: model.TaskKey) -> StepRun | None:
        """Returns the step of a task, or None when there is no such task."""
        step_run = self.steps.get((task.occurrence, task.step))
        if step_run is None or not 0 <= task.index < step_run.step.count:
            return None
        return step_run

    def is_step_due(self, step_run: StepRun, now_ms: int) -> bool:
        """Returns whether the tasks of a step may start now."""
        occurrence = step_run.key[0]
        if self.job.has_start_time and now_ms < (self.job.first_run_ms +
                                           occurrence * self.job.interval_ms):
            return False
        return self.is_step_ready(step_run)

    def compute_left_ms(self, occurrence: int) -> float:
        """Returns how long an occurrence takes from now on, with room at once.
        """
        lengths: list[float] = []
        for index, step in enumerate(self.job.steps):
            before = max((lengths[i] for i in step.depends_on), default=0.0)
            lengths.append(before +
                           self.steps[occurrence, index].compute_left_ms())
        return max(lengths)

    def compute_deadline_ms(self, occurrence: int) -> int:
        """Returns when the objective wants an occurrence done."""
        return self.deadline_ms + occurrence * self.job.interval_ms

    def compute_begin_ms(self, occurrence: int) -> int:
        """Returns the time from which the objective of an occurrence counts."""
        return (max(self.job.accepted_at_ms, self.job.first_run_ms) +
                occurrence * self.job.interval_ms)

    def has_begun(self, occurrence: int) -> bool:
        """Returns whether a task of an occurrence runs or is done."""
        return any(
            bool(self.steps[occurrence, index].active or self.steps[occurrence,
                                                                    index].done)
            for index in range(len(self.job.steps)))

    def is_step_ready(self, step_run: StepRun) -> bool:
        """Returns whether all steps that a step depends on are done."""
        occurrence = step_run.key[0]
        return all(
            (occurrence, index) in self.steps and self.steps[(occurrence,
                                                              index)].is_done
            for index in step_run.step.depends_on)

    def build_progress(self, group: str, epoch: int) -> _records.ProgressRecord:
        """Returns the record of the present progress."""
        done = []
        facts = []
        for (occurrence, index), step_run in self.steps.items():
            if step_run.done:
                mask = sum(1 << i for i in step_run.done)
                done.append(
                    _records.StepDone(occurrence, index, format(mask, "x")))
            for i in sorted((set(step_run.failures) |
                             set(step_run.checkpoints)) - step_run.done):
                failed = step_run.failed_runs.get(i, ())
                facts.append(
                    _records.TaskFact(occurrence, index, i,
                                      step_run.failures.get(i, 0),
                                      step_run.checkpoints.get(i, ""),
                                      max(failed, default=0),
                                      tuple(sorted(failed))))
        return _records.ProgressRecord(self.job.job_id, group, epoch,
                                       self.state, self.last_run, tuple(done),
                                       tuple(facts))

    def apply_end(self, run: Run, cause: ports.EndCause,
                  checkpoint: str) -> None:
        """Applies the end of a run; the caller has removed its resources."""
        step_run = self.get_step(run.task)
        index = run.task.index
        if step_run.active.get(index) is run:
            del step_run.active[index]
        if index in step_run.done:
            return
        if cause is ports.EndCause.DONE and not run.step.is_long_running:
            self._mark_done(step_run, index)
            return
        if checkpoint and run.step.has_checkpoints:
            step_run.checkpoints[index] = checkpoint
            self.is_dirty = True
        if cause is ports.EndCause.FAILED:
            step_run.avoided[index] = run.worker_id
            self.count_failure(run.task, run.number)
        if (index not in step_run.active and
                self.entry.has_task(self.group, index)):
            step_run.waiting.add(index)

    def count_failure(self, task: model.TaskKey, number: int) -> None:
        """Counts a failed run, once."""
        step_run = self.get_step(task)
        index = task.index
        if (step_run is None or step_run.step.is_long_running or
                index in step_run.done):
            return
        counted = step_run.failed_runs.setdefault(index, set())
        if number in counted:
            return
        counted.add(number)
        step_run.failures[index] = step_run.failures.get(index, 0) + 1
        self.is_dirty = True
        if step_run.failures[index] >= self.job.queue.max_attempts:
            self.set_state(model.JobState.FAILED)

    def mark_done_elsewhere(self, task: model.TaskKey) -> None:
        """Applies an end `done` of a run that this leader did not follow."""
        step_run = self.get_step(task)
        if (step_run is not None and not step_run.step.is_long_running and
                task.index not in step_run.done):
            self._mark_done(step_run, task.index)

    def _mark_done(self, step_run: StepRun, index: int) -> None:
        indexes = (set(range(step_run.step.count))
                   if step_run.step.is_gang else {index})
        step_run.done |= indexes
        step_run.waiting -= indexes
        for i in indexes:
            step_run.checkpoints.pop(i, None)
        self.is_dirty = True
        if all(item.is_done for item in self.steps.values()):
            self.set_state(model.JobState.COMPLETED)

    def set_state(self, state: model.JobState) -> None:
        """Changes the state unless it is final."""
        if not self.state.is_final and state is not self.state:
            self.state = state
            self.is_dirty = True


def compute_chain_ms(job: model.SteppedJob) -> int:
    """Returns the estimated duration of the longest chain of steps."""
    lengths: list[int] = []
    for step in job.steps:
        before = max((lengths[i] for i in step.depends_on if i < len(lengths)),
                     default=0)
        lengths.append(before + step.estimate_ms)
    return max(lengths, default=0)


def compute_deadline_ms(job: model.SteppedJob) -> int:
    """Returns when the objective wants the job done, in ms since 1970."""
    return (max(job.accepted_at_ms, job.first_run_ms) +
            int(job.queue.objective_factor * compute_chain_ms(job)) +
            job.queue.objective_slack_ms)
