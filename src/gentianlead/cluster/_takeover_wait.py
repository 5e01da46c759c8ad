"""Time after which no run of a former leader can go on at a silent worker."""

import datetime

from gentianlead import dispatch

START_PERMISSION_PERIOD = datetime.timedelta(seconds=4)
"""How long a leader may start runs, renew leases and move jobs after it sent
its last successful append. It is part of the takeover wait; after that wait, a
successor assumes that an unreachable worker has no runs of a former leader."""

CLOCK_DRIFT_FACTOR = 1.02
"""Multiplies the lease in the takeover wait: worker clocks may run 2 % slow."""

TAKEOVER_MARGIN = datetime.timedelta(milliseconds=500)
"""Longest time from a check of the start permission to the arrival of the order
at the worker; part of the takeover wait. The permission is checked again when
the order is sent."""


def compute_takeover_end(lease: datetime.timedelta,
                         former_leader: dispatch.LeaderEntry,
                         process_ended_at: float | None) -> float:
    """Returns when no run of a former leader can go on at a silent worker.

    A leader may start runs until its start permission or its process ends, or
    until it has resigned: it sends nothing after its resignation. The
    permission ends `START_PERMISSION_PERIOD` after the leader sent its last
    record, which was before that record was read. Each leader before it sent
    its own last record before the first record of the former leader was stored;
    its runs do not matter if the former leader was the sole one. A daemon that
    only claimed the group has started no runs itself.

    Args:
        lease: Longest lease of a worker.
        former_leader: The former leader, of which the store takes no record
            any more.
        process_ended_at: Monotonic time in seconds by which the process of the
            former leader had ended; None if that is not known.

    Returns:
        Monotonic time in seconds.
    """
    permission_s = START_PERMISSION_PERIOD.total_seconds()
    last_start_at = former_leader.last_record_read_at + permission_s
    if former_leader.record.has_resigned:
        process_ended_at = former_leader.last_record_read_at
    if former_leader.record.is_claim:
        last_start_at = former_leader.epoch_read_at + permission_s
    elif process_ended_at is not None:
        earlier_start_at = (0.0 if former_leader.record.is_sole else
                            former_leader.epoch_read_at + permission_s)
        last_start_at = min(last_start_at,
                            max(process_ended_at, earlier_start_at))
    return last_start_at + (lease * CLOCK_DRIFT_FACTOR +
                            TAKEOVER_MARGIN).total_seconds()
