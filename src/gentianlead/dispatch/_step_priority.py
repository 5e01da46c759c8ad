"""Order in which the planner starts steps that have waiting tasks."""

import enum
from typing import NamedTuple

from gentianlead.dispatch import _runs

MAX_LATENESS_FACTOR = 3
"""By the users' rule on credit, a late completion still has value for the
caller if the job took at most this multiple of the time that its objective
allows. A job that would take longer is called overdue."""

WaitingStep = tuple[_runs.JobRun, _runs.StepRun]


class _PriorityClass(enum.IntEnum):
    """Priority classes of steps; the lowest value is served first.

    A best-effort job that cannot meet its objective any more waits for those
    that can. If the deadline alone decided, an overloaded group would start
    each job just too late and meet no objective at all.

    Attributes:
        LONG_RUNNING: Long-running tasks.
        SHORT: Short tasks of a job before its deadline.
        LATE_SHORT: Short tasks of a job after its deadline.
        BEST_EFFORT_STARTED: Best-effort tasks of a job that can still meet its
            objective and has an active run or a done task.
        BEST_EFFORT_NEW: Best-effort tasks of a job that can still meet its
            objective and has neither an active run nor a done task.
        BEST_EFFORT_LATE: Best-effort tasks of a job that misses its objective,
            but by the estimate can complete within `MAX_LATENESS_FACTOR` times
            the time that the objective allows.
        BEST_EFFORT_OVERDUE: Best-effort tasks of a job that by the estimate
            cannot complete within that time.
    """

    LONG_RUNNING = 0
    SHORT = 1
    LATE_SHORT = 2
    BEST_EFFORT_STARTED = 3
    BEST_EFFORT_NEW = 4
    BEST_EFFORT_LATE = 5
    BEST_EFFORT_OVERDUE = 6


class _SortKey(NamedTuple):
    """Sort key of a step.

    Attributes:
        priority_class: Priority class of the step.
        deadline_rank: Deadline in milliseconds since 1970, or the negative of
            it if the latest deadline comes first.
        job_id: Identifier of the job, for a stable order.
        step_key: Number of the repetition of the job, and index of the step.
    """

    priority_class: _PriorityClass
    deadline_rank: int
    job_id: str
    step_key: tuple[int, int]


def sort_steps(waiting_steps: list[WaitingStep],
               now_ms: int) -> list[WaitingStep]:
    """Returns the given steps sorted by priority, the most urgent first.

    Sorts by priority class, and within a class by the earliest deadline. If any
    of the steps is of the class `BEST_EFFORT_LATE` or `BEST_EFFORT_OVERDUE`,
    the class `BEST_EFFORT_NEW` is sorted by the latest deadline instead. The
    newest of its jobs have most of their slack left, so those that get workers
    meet their objective.
    """
    priority_classes = [
        _choose_priority_class(job, step_run, now_ms)
        for job, step_run in waiting_steps
    ]
    is_overloaded = any(priority_class >= _PriorityClass.BEST_EFFORT_LATE
                        for priority_class in priority_classes)
    ranked_steps = []
    for priority_class, (job, step_run) in zip(priority_classes, waiting_steps):
        deadline_ms = job.compute_deadline_ms(step_run.key[0])
        deadline_rank = (-deadline_ms
                         if priority_class is _PriorityClass.BEST_EFFORT_NEW and
                         is_overloaded else deadline_ms)
        ranked_steps.append(
            (_SortKey(priority_class, deadline_rank, job.job.job_id,
                      step_run.key), job, step_run))
    ranked_steps.sort(key=lambda ranked_step: ranked_step[0])
    return [(job, step_run) for _, job, step_run in ranked_steps]


def _choose_priority_class(job: _runs.JobRun, step_run: _runs.StepRun,
                           now_ms: int) -> _PriorityClass:
    step = step_run.step
    if step.is_long_running:
        return _PriorityClass.LONG_RUNNING
    occurrence = step_run.key[0]
    deadline_ms = job.compute_deadline_ms(occurrence)
    if not step.is_best_effort:
        return (_PriorityClass.LATE_SHORT
                if deadline_ms < now_ms else _PriorityClass.SHORT)
    estimated_end_ms = now_ms + job.compute_remaining_ms(occurrence)
    if estimated_end_ms <= deadline_ms:
        return _PriorityClass.BEST_EFFORT_STARTED if job.has_started(
            occurrence) else _PriorityClass.BEST_EFFORT_NEW
    objective_start_ms = job.compute_objective_start_ms(occurrence)
    if estimated_end_ms <= objective_start_ms + MAX_LATENESS_FACTOR * (
            deadline_ms - objective_start_ms):
        return _PriorityClass.BEST_EFFORT_LATE
    return _PriorityClass.BEST_EFFORT_OVERDUE
