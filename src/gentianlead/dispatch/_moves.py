"""Moves of waiting jobs: which job leaves its group, and for which group."""

import datetime
from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _admission
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _load
from gentianlead.dispatch import _runs

JOB_MOVE_DELAY = datetime.timedelta(milliseconds=400)
"""Time without capacity after which a job without active runs may move to a
less loaded group as a whole, if it is not long-running. A move takes as long as
two appends."""

LESS_LOADED_FACTOR = 1.5
"""A waiting job moves to another group only if the load there, multiplied by
this factor, is still below the load of the job's own group."""


class PlannedMove(NamedTuple):
    """Move of tasks to another group that has begun but is not stored.

    Attributes:
        job: The job; none of its tasks starts until the topic shows the move.
        indexes: Indexes of the moved tasks; empty if the whole job moves.
        group: Group that receives the tasks.
        number: Run number that identifies the move.
    """

    job: _runs.JobRun
    indexes: tuple[int, ...]
    group: str
    number: int


def plan_moves(state: _group_state.GroupState,
               get_own_load: Callable[[], _load.GroupLoad],
               reports: dict[str, _admission.GroupReport],
               now: float) -> list[PlannedMove]:
    """Begins the moves of jobs and tasks that should leave a group now.

    Args:
        state: State of the group.
        get_own_load: Returns the present load of the group.
        reports: Newest load reports by group.
        now: Present monotonic time in seconds.

    Returns:
        The moves, which the caller has to store.
    """
    moves = []
    for job in state.list_movable_jobs():
        group = _choose_new_group(job, get_own_load(), reports, now)
        if group:
            moves.append(PlannedMove(job, (), group, job.begin_move()))
    for job, indexes in state.list_unplaced_tasks(now):
        fallback_group = _admission.choose_fallback_group(
            job.job, job.entry.assignment, job.group, reports, now)
        if not fallback_group.group:
            continue
        is_spread = len(job.entry.assignment) > 1
        if is_spread or not job.list_active_runs():
            moved_indexes = (tuple(indexes[:fallback_group.max_tasks])
                             if is_spread else ())
            moves.append(
                PlannedMove(job, moved_indexes, fallback_group.group,
                            job.begin_move()))
    return moves


def _choose_new_group(job: _runs.JobRun, own_load: _load.GroupLoad,
                      reports: dict[str,
                                    _admission.GroupReport], now: float) -> str:
    """Returns the group to which a whole job should move.

    If the job's own group is unusable or lacks a label that the job needs, any
    group that can take the job is chosen. Otherwise only a less loaded group is
    chosen, and only if the job is not long-running and one of its steps has
    lacked capacity for `JOB_MOVE_DELAY`.

    Args:
        job: A job that may move: see `GroupState.list_movable_jobs`.
        own_load: Present load of the job's own group.
        reports: Newest load reports by group.
        now: Present monotonic time in seconds.

    Returns:
        The group, or an empty string if the job stays.
    """
    needed_labels = {
        step.required_label for step in job.job.steps if step.required_label
    }
    if own_load.is_usable and needed_labels <= set(own_load.labels):
        if job.job.is_long_running or not job.has_unplaced_tasks(
                now, JOB_MOVE_DELAY.total_seconds()):
            return ""
        return _choose_less_loaded_group(job, own_load, reports, now)
    other_reports = {
        group: report for group, report in reports.items() if group != job.group
    }
    admission = _admission.decide_admission(job.job, other_reports, job.group,
                                            now)
    group = admission.assignment[0] if admission.assignment else ""
    return group if group != job.group else ""


def _choose_less_loaded_group(job: _runs.JobRun, own_load: _load.GroupLoad,
                              reports: dict[str, _admission.GroupReport],
                              now: float) -> str:
    """Returns a group to which a waiting job should move, or an empty string.

    The only candidate is the group that `decide_admission` chooses among the
    other groups. With the job's demand, it must be less loaded than the own
    group, whose load includes this demand, by `LESS_LOADED_FACTOR`. For a job
    without best-effort steps, one worker of the candidate must also have enough
    free CPU for the job's largest task.
    """
    other_reports = {
        group: report for group, report in reports.items() if group != job.group
    }
    admission = _admission.decide_admission(job.job, other_reports, job.group,
                                            now)
    if len(set(admission.assignment)) != 1:
        return ""
    group = admission.assignment[0]
    if group not in other_reports:
        return ""
    load = _load.add_demand_to_load(other_reports[group].load,
                                    _load.compute_job_demand(job))
    if _compute_move_score(job.job, load) * LESS_LOADED_FACTOR >= (
            _compute_move_score(job.job, own_load)):
        return ""
    if not any(step.is_best_effort for step in job.job.steps):
        largest_task_cpu_millis = max(step.cpu_millis for step in job.job.steps)
        if load.largest_free_cpu_millis < largest_task_cpu_millis:
            return ""
    return group


def _compute_move_score(job: model.SteppedJob, load: _load.GroupLoad) -> float:
    """Returns how loaded the group of a waiting job is; lower is better.

    `load` includes the job's demand. The score is the CPU that best-effort
    tasks declare, divided by the CPU that those of the job's images can use; or
    for a job without best-effort steps the backlog of short tasks in seconds.
    """
    if any(step.is_best_effort for step in job.steps):
        return (load.best_effort_cpu_millis /
                _admission.compute_best_effort_capacity(job, load))
    return load.short_backlog_ms / 1000
