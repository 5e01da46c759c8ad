"""Choice of the placement rules that a waiting best-effort job may ignore."""

import datetime
from typing import Iterable

from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs

IGNORE_SPARE_CPU_DELAY = datetime.timedelta(seconds=2)

IGNORE_INTERFERENCE_DELAY = datetime.timedelta(seconds=8)
"""A best-effort job without runs may start one task regardless of spare CPU
after it has lacked capacity for `IGNORE_SPARE_CPU_DELAY`. After
`IGNORE_INTERFERENCE_DELAY` it may also start the task beside latency-critical
tasks with which the task interferes."""

BUSY_IGNORE_INTERFERENCE_DELAY = datetime.timedelta(seconds=30)
"""Replaces `IGNORE_INTERFERENCE_DELAY` in a busy group: an interfering
best-effort task is throttled to a standstill there, so it only does harm."""

BUSY_RESERVED_SHARE = 0.6
"""A group counts as busy if at least this share of the CPU of the workers that
may receive starts is reserved."""


def is_group_busy(candidates: Iterable[_placement.Candidate]) -> bool:
    """Returns whether much of a group's CPU is reserved.

    Args:
        candidates: The workers of the group that may receive starts.
    """
    capacity_cpu_millis = free_cpu_millis = 0
    for candidate in candidates:
        capacity_cpu_millis += candidate.worker.entry.cpu_millis
        free_cpu_millis += candidate.free_cpu_millis
    return (capacity_cpu_millis - free_cpu_millis
            >= BUSY_RESERVED_SHARE * capacity_cpu_millis)


def choose_relaxation(job: _runs.JobRun, step_run: _runs.StepRun, is_busy: bool,
                      now: float) -> _placement.Relaxation:
    """Returns which placement rules are ignored for a task of a waiting step.

    Args:
        job: The job.
        step_run: A step of the job with waiting tasks.
        is_busy: Whether the group is busy, see `is_group_busy`.
        now: Present monotonic time in seconds.
    """
    if job.list_active_runs():
        return _placement.Relaxation.NORMAL
    waited_s = job.waited_before_s
    if step_run.unplaced_since is not None:
        waited_s += now - step_run.unplaced_since
    interference_delay = (BUSY_IGNORE_INTERFERENCE_DELAY
                          if is_busy else IGNORE_INTERFERENCE_DELAY)
    if waited_s >= interference_delay.total_seconds():
        return _placement.Relaxation.IGNORE_INTERFERENCE
    if waited_s >= IGNORE_SPARE_CPU_DELAY.total_seconds():
        return _placement.Relaxation.IGNORE_SPARE_CPU
    return _placement.Relaxation.NORMAL
