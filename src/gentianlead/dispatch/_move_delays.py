"""Delays before tasks that lack capacity move to another group."""

import datetime

from gentianlead.dispatch import _runs

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
