"""Choice of the placement rules that a waiting best-effort job may ignore."""

import datetime
from typing import Iterable

from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs

IGNORE_SPARE_CPU_DELAY = datetime.timedelta(seconds=2)
"""A best-effort job without runs may start one task regardless of spare CPU
after it has lacked capacity for this time."""

IGNORE_INTERFERENCE_DELAY = datetime.timedelta(milliseconds=2200)
"""Wait after which such a job may also start the task beside latency-critical
tasks with which it interferes, on a worker that is not busy. By the users'
rules, a job must not have nothing running for 3 s beside enough free capacity.
A move to such a worker takes another 0.3 s, and a second move 0.4 s more."""

ANY_WORKER_DELAY = datetime.timedelta(seconds=8)
"""Wait after which such a job may start the task on any worker of its group."""

BUSY_ANY_WORKER_DELAY = datetime.timedelta(seconds=30)
"""Replaces `ANY_WORKER_DELAY` in a busy group: on a busy worker an interfering
best-effort task is throttled to a standstill, so it only does harm."""


def is_group_busy(candidates: Iterable[_placement.Candidate]) -> bool:
    """Returns whether much of a group's CPU is reserved.

    Args:
        candidates: The workers of the group that may receive starts.
    """
    capacity_cpu_millis = free_cpu_millis = 0
    for candidate in candidates:
        capacity_cpu_millis += candidate.worker.entry.cpu_millis
        free_cpu_millis += candidate.free_cpu_millis
    return _placement.is_mostly_reserved(capacity_cpu_millis, free_cpu_millis)


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
    any_worker_delay = BUSY_ANY_WORKER_DELAY if is_busy else ANY_WORKER_DELAY
    for delay, relaxation in (
        (any_worker_delay, _placement.Relaxation.IGNORE_INTERFERENCE),
        (IGNORE_INTERFERENCE_DELAY,
         _placement.Relaxation.IGNORE_INTERFERENCE_UNLESS_BUSY),
        (IGNORE_SPARE_CPU_DELAY, _placement.Relaxation.IGNORE_SPARE_CPU)):
        if waited_s >= delay.total_seconds():
            return relaxation
    return _placement.Relaxation.NORMAL
