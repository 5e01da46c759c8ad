"""Limits of the polls in which a leader asks its workers for their status."""

import datetime

from gentianlead import dispatch

STATUS_REPLY_ALLOWANCE = datetime.timedelta(milliseconds=700)
"""Time for a status reply beyond the time that the worker may hold it back."""

STATUS_WAIT_IDLE = datetime.timedelta(milliseconds=1500)
STATUS_WAIT_BUSY = datetime.timedelta(milliseconds=1000)
STATUS_WAIT_SHARED = datetime.timedelta(milliseconds=400)
"""How long a worker may hold back its status reply until a run ends: without
runs, with runs, and with best-effort tasks beside latency-critical ones. The
last wait is short because workers measure tail latency in periods of 0.5 s."""

STATUS_RETRY_DELAY = datetime.timedelta(milliseconds=150)
"""Pause between a failed status request and the next one to the worker."""

WITHHELD_POLL_INTERVAL = datetime.timedelta(milliseconds=400)
"""Pause before the next poll of a worker that lists ends which the leader does
not acknowledge: it may reply to each poll at once."""

LATE_CALL_DELAY = datetime.timedelta(milliseconds=100)
"""Delay of the event loop in a status call without a reply from which on it may
explain the lack of the reply. The timers of a loop that is not late are up to
50 ms late in all during such a call."""

MAX_LATE_CALLS = 2
"""Number of status calls in a row without a reply after which a worker is not
lost yet, if the event loop was late during each of them."""

MAX_UNREACHABLE_POLLS = 32
"""Number of unreachable workers that a leader polls at the same time. They
reply at once, with all runs and unacknowledged ends. On a link of 5 Mbit/s, 32
replies of 13 KB arrive within `STATUS_REPLY_ALLOWANCE`."""


def choose_wait(worker: dispatch.WorkerState) -> datetime.timedelta:
    """Returns how long a worker may hold back its reply to the next poll."""
    if (not worker.is_reachable or
            worker.last_applied_end_number > worker.last_stored_end_number):
        return datetime.timedelta(0)
    steps = [run.step for run in worker.runs.values()]
    if not steps:
        return STATUS_WAIT_IDLE
    if any(step.is_best_effort for step in steps) and any(
            step.tail_latency_limit_ms for step in steps):
        return STATUS_WAIT_SHARED
    return STATUS_WAIT_BUSY
