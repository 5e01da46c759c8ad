"""Runs that a leader gave up, and their ends that workers list later.

A leader that cannot reach a worker counts its runs as ended once the lease has
expired, and starts their tasks again. The worker may have done such a task
before that. Once it is reached again, it lists that end, perhaps to another
leader. To acknowledge it would confirm a result that another run has replaced.
"""

import enum
from typing import Callable, Iterable, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _records
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _table
from gentianlead.dispatch import _task_runs


class TaskState(enum.Enum):
    """What a leader knows of a task; the value is the text in its log.

    Attributes:
        WAITING: The task waits for a start in this group.
        ACTIVE: The leader tracks a run of it.
        DONE: The task is done.
        ELSEWHERE: The task belongs to another group.
        UNKNOWN: The leader does not have the job.
    """

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


class EndRule(enum.Enum):
    """Decides on the acknowledgement of an end of a run.

    The value is the text in the log of the leader.

    Attributes:
        NO_RESULT: Acknowledged: the run is neither done nor failed.
        UNKNOWN_JOB: The topic does not show the job.
        MORE_ATTEMPTS: Acknowledged: the run failed, and the leader has the task
            and knows that it may fail again.
        RUN_LIMIT: Not acknowledged: the run may have been given up.
        ELSEWHERE: Not acknowledged: the task belongs to another group, or is
            about to.
        STORED: Acknowledged: the same, but the progress of the leader's group
            shows the end.
        CURRENT: Acknowledged: no later run of the task can exist.
    """

    NO_RESULT = "no-result"
    UNKNOWN_JOB = "unknown-job"
    MORE_ATTEMPTS = "more-attempts"
    RUN_LIMIT = "run-limit"
    ELSEWHERE = "elsewhere"
    STORED = "stored"
    CURRENT = "current"

    @property
    def is_superseded(self) -> bool:
        """Whether the end would forbid a later start."""
        return self in (EndRule.RUN_LIMIT, EndRule.ELSEWHERE)


class LateEnd(NamedTuple):
    """End of a done run that the leader did not track, for the log.

    Attributes:
        worker_id: Worker of the run.
        task: The task.
        run: Number of the run.
        number: Number of the end at the worker.
        task_state: What the leader knew of the task.
        last_run: Highest run number of the job that the leader knew; 0 if it
            does not have the job.
        rule: What decided whether the end is acknowledged.
        is_kept: Whether the end is stored for other leaders, as the leader does
            not have the job.
    """

    worker_id: str
    task: model.TaskKey
    run: int
    number: int
    task_state: TaskState
    last_run: int
    rule: EndRule
    is_kept: bool

    @property
    def is_superseded(self) -> bool:
        """Whether the task may have started again since the run."""
        return self.rule.is_superseded


def give_up_run(job: _runs.JobRun, run: _task_runs.Run) -> None:
    """Counts a run as given up; its task waits until that is stored.

    No run of a long-running task ends as done.
    """
    if not job.has_ended and not run.step.is_long_running:
        job.get_step(run.task).run_limits.give_up(run.task.index, run.number)
        job.is_dirty = True


def give_up_unseen_runs(job: _runs.JobRun, epoch: int) -> None:
    """Counts all runs as given up that former leaders may have started.

    The leader has not seen all workers that may have them. Former leaders may
    have used run numbers above those that are stored, so that numbers are left
    out if the epoch does not bound them.

    Args:
        job: The job.
        epoch: Epoch of the leader.
    """
    if job.has_ended:
        return
    first_number = epoch * _orders.RUN_NUMBERS_PER_EPOCH
    if job.last_run_number >= first_number:
        first_number = job.last_run_number + _orders.RUN_NUMBERS_PER_EPOCH
    job.last_run_number = first_number
    for step_run in job.steps.values():
        if step_run.step.is_long_running:
            continue
        for index in step_run.waiting_indexes - step_run.arrived_indexes:
            step_run.run_limits.raise_limit(index, first_number + 1)
            job.is_dirty = True


def build_run_limits(job: _runs.JobRun, group: str,
                     epoch: int) -> list[_records.RunLimitsRecord]:
    """Builds the record of a job whose run limits are not stored yet."""
    if not any(step_run.run_limits.unstored_indexes
               for step_run in job.steps.values()):
        return []
    return [_build_record(job, group, epoch)]


def _build_record(job: _runs.JobRun, group: str,
                  epoch: int) -> _records.RunLimitsRecord:
    return _records.RunLimitsRecord(
        job.job.job_id, group, epoch,
        tuple(step_limits for key, step_run in job.steps.items()
              for step_limits in step_run.run_limits.build(*key)))


class ForgottenRunLimits:
    """Keeps the run limits of jobs that a leader has forgotten.

    A job is forgotten once its end is stored, but the topic is read later than
    it is written, so that the state of the job there may lack the limits.
    """

    def __init__(self) -> None:
        self._records: dict[str, _records.RunLimitsRecord] = {}

    def add(self, job: _runs.JobRun, group: str, epoch: int,
            find_job_entry: Callable[[str], _table.JobEntry | None]) -> None:
        """Keeps the limits of a job, and drops those that the topic shows.

        Args:
            job: The job.
            group: Group of the leader.
            epoch: Epoch of the leader.
            find_job_entry: Returns the state of a job in the topic, or None.
        """
        record = _build_record(job, group, epoch)
        if record.limits:
            self._records[job.job.job_id] = record
        self._records = {
            job_id: kept_record
            for job_id, kept_record in self._records.items()
            if (entry := find_job_entry(job_id)) is not None and
            entry.run_limits_by_group.get(kept_record.group) != kept_record
        }

    def complete(self, entry: _table.JobEntry | None) -> _table.JobEntry | None:
        """Returns the state of a job in the topic with its kept limits."""
        record = self._records.get(entry.job.job_id) if entry else None
        if record is None:
            return entry
        return entry._replace(run_limits_by_group={
            **entry.run_limits_by_group, record.group: record
        })


def mark_run_limits_stored(jobs: dict[str, _runs.JobRun],
                           records: Iterable[_records.Record]) -> bool:
    """Marks the run limits in records that the caller has stored.

    Returns:
        Whether a task waited for that, so that starts can be planned.
    """
    has_waiting_task = False
    for record in records:
        job = (jobs.get(record.job_id)
               if isinstance(record, _records.RunLimitsRecord) else None)
        if job is None:
            continue
        for limits in record.limits:
            step_run = job.steps[limits.occurrence, limits.step]
            has_waiting_task |= step_run.run_limits.mark_stored(limits)
    return has_waiting_task


def find_rule(ended_run: ports.EndedRun, group: str, job: _runs.JobRun | None,
              entry: _table.JobEntry | None) -> EndRule:
    """Returns what decides on the acknowledgement of an end of a run.

    An end would forbid a later start if the task may have started again since,
    and the run is done, or has failed and may be the last one that the queue
    allows: the failures of a task that is done are not known any more, and
    another group that has the task may not know of this one for a while.

    Args:
        ended_run: End of a run that the leader does not track.
        group: Group of the leader and of the worker.
        job: The job; None if the leader does not have it.
        entry: The job according to the topic; None if there is none.
    """
    if ended_run.cause not in (ports.EndCause.DONE, ports.EndCause.FAILED):
        return EndRule.NO_RESULT
    if entry is None:
        return EndRule.UNKNOWN_JOB
    task = ended_run.task
    # The progress that a move carries along is older than the end.
    is_moving = job is not None and job.pending_move_number is not None
    is_elsewhere = is_moving or not entry.has_task(group, task.step, task.index)
    step_run = job.get_step(task) if job is not None else None
    if (ended_run.cause is ports.EndCause.FAILED and not is_elsewhere and
            step_run is not None and task.index not in step_run.done_indexes and
            len({ended_run.run, *step_run.failed_runs.get(task.index, ())
                }) < entry.job.queue.max_attempts):
        return EndRule.MORE_ATTEMPTS
    if step_run is not None:
        if step_run.run_limits.is_superseded(task.index, ended_run.run):
            return EndRule.RUN_LIMIT
    elif any(
            record.has_run(task, ended_run.run)
            for record in entry.run_limits_by_group.values()):
        return EndRule.RUN_LIMIT
    if not is_elsewhere:
        return EndRule.CURRENT
    # A task moves to another group only once no run of it can go on here. One
    # that ended before is in the progress of this group.
    progress = entry.progress_by_group.get(group)
    if progress is not None and progress.has_end(ended_run):
        return EndRule.STORED
    return EndRule.ELSEWHERE


def describe_late_end(worker_id: str, ended_run: ports.EndedRun,
                      job: _runs.JobRun | None, rule: EndRule,
                      is_kept: bool) -> LateEnd:
    """Describes the end of a run that the leader does not track.

    Args:
        worker_id: Worker of the run.
        ended_run: The end.
        job: The job, to which the end has not been applied; None if the leader
            does not have it.
        rule: See `LateEnd`.
        is_kept: See `LateEnd`.
    """
    return LateEnd(worker_id, ended_run.task, ended_run.run, ended_run.number,
                   _find_task_state(ended_run.task, job),
                   job.last_run_number if job is not None else 0, rule, is_kept)


def _find_task_state(task: model.TaskKey,
                     job: _runs.JobRun | None) -> TaskState:
    step_run = job.get_step(task) if job is not None else None
    if step_run is None:
        return TaskState.UNKNOWN
    if task.index in step_run.done_indexes:
        return TaskState.DONE
    if task.index in step_run.active_runs:
        return TaskState.ACTIVE
    if task.index in step_run.waiting_indexes:
        return TaskState.WAITING
    return TaskState.ELSEWHERE
