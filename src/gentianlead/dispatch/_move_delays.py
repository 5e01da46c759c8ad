"""Delays before tasks that lack capacity move to another group."""

import datetime
from typing import Iterable

from gentianlead.dispatch import _runs
from gentianlead.dispatch import _workers

TASK_MOVE_DELAY = datetime.timedelta(milliseconds=700)
"""Time without capacity after which waiting long-running tasks should move to
another group."""

RESERVED_TASK_MOVE_DELAY = datetime.timedelta(milliseconds=1800)
"""Replaces `TASK_MOVE_DELAY` while a worker starts no short tasks, so that a
long-running task fits there soon, and for tasks that are not long-running
themselves: most short tasks end within this time."""


def is_move_due(step_run: _runs.StepRun, now: float) -> bool:
    """Returns whether the waiting tasks of a step should move to another group.

    Args:
        step_run: The step.
        now: Present monotonic time in seconds.
    """
    if step_run.unplaced_since is None or not step_run.waiting_indexes:
        return False
    move_delay = (TASK_MOVE_DELAY if step_run.step.is_long_running and
                  not step_run.reserved_worker else RESERVED_TASK_MOVE_DELAY)
    return now - step_run.unplaced_since >= move_delay.total_seconds()


def may_start_after_own_runs(job: _runs.JobRun, step_run: _runs.StepRun,
                             workers: Iterable[_workers.WorkerState],
                             now: float) -> bool:
    """Returns whether the end of a run of a job may let a step start here.

    Runs of long-running tasks do not end, and a step cannot start in a group
    that has no usable worker with its label.

    Args:
        job: The job.
        step_run: A step of the job whose tasks lack capacity.
        workers: Workers of the group.
        now: Present monotonic time in seconds.
    """
    if all(run.step.is_long_running for run in job.list_active_runs()):
        return False
    label = step_run.step.required_label
    return any(
        worker.can_receive_starts(now) and
        (not label or label in worker.entry.labels) for worker in workers)
