"""Decides whether the loss of a worker is evidence against a task."""

import datetime
from typing import Iterable

from gentianlead import model
from gentianlead.execution import _held_run
from gentianlead.execution import _worker_session

EARLY_LOSS_TIME = datetime.timedelta(seconds=5)
"""A run was lost soon after its start if its worker has last reported it as
running within this time after its start order.

It is several times the interval at which workers are polled, so that a task
that crashes its worker some seconds after its start is found too."""

SHARED_LOSS_MARGIN = datetime.timedelta(seconds=2)
"""Two workers were lost at about the same time if this daemon has noticed both
losses within this time and the interval at which it polls workers. A loss is
noticed with the next poll, so losses at one time are noticed within one
interval."""

MAX_HEARTBEATS_BEFORE_TAKEOVER = 5
"""A run was taken over soon after its start if its first holder has sent at
most this many heartbeats after the claim: 10 s with the default interval. In
this time most workers that crashed have not answered again, so that the holder
could not record the crash."""


def was_lost_early(run: _held_run.HeldRun, is_suspect: bool) -> bool:
    """Returns whether a run was lost with its worker soon after its start.

    The holder of a run that was taken over does not know when the run started.
    Such a loss counts only if the first holder failed soon after the claim, or
    if other losses have made the task a suspect: the other runs of a daemon
    that failed together with its workers are most likely not the cause.

    Args:
        run: Run that has ended.
        is_suspect: Result of `model.is_suspect` for its task.
    """
    if not run.was_lost_with_worker:
        return False
    if run.start_ordered_at is None:
        started_at = run.takeover_read_at
        heartbeat_count = run.heartbeats_before_takeover
        if not is_suspect and (heartbeat_count is None or heartbeat_count
                               > MAX_HEARTBEATS_BEFORE_TAKEOVER):
            return False
    else:
        started_at = run.start_ordered_at
    return (run.last_seen_running_at - started_at
            < EARLY_LOSS_TIME.total_seconds())


def compute_shared_loss_time(poll_interval: datetime.timedelta) -> float:
    """Returns the greatest time between two shared losses, in seconds."""
    return (poll_interval + SHARED_LOSS_MARGIN).total_seconds()


def classify_crash(run: _held_run.HeldRun,
                   session: _worker_session.WorkerSession,
                   sessions: Iterable[_worker_session.WorkerSession],
                   shared_loss_time: float) -> model.ReleaseReason:
    """Returns the release reason of a run that was lost early.

    Args:
        run: The run.
        session: Session of its worker.
        sessions: Sessions of all workers.
        shared_loss_time: Result of `compute_shared_loss_time`. This time must
            have passed since the loss of the worker.
    """
    if run.start_ordered_at is None:
        return model.ReleaseReason.SHARED_CRASH
    was_another_lost = any(
        abs(other.lost_at - session.lost_at) <= shared_loss_time
        for other in sessions
        if other is not session)
    return (model.ReleaseReason.SHARED_CRASH
            if was_another_lost else model.ReleaseReason.LONE_CRASH)
