"""Pace of fillers beside serving tasks, from the tails that workers list."""

from gentianlead.dispatch import _workers

HIGH_PRESSURE = 0.9
"""Tail against its limit above which fillers are slowed."""

SEVERE_PRESSURE = 1.3
"""Tail against its limit above which fillers are slowed at once."""

LOW_PRESSURE = 0.65
"""Tail against its limit below which fillers are sped up."""

SLOW_FACTOR = 0.7
SEVERE_FACTOR = 0.4
SPEED_FACTOR = 1.25
SPEED_STEP = 5
"""Percentage points added beside `SPEED_FACTOR`."""

MIN_PACE = 5
"""Percent below which fillers are stood still."""

MIN_CHANGE = 5
"""Smallest change in percent that is worth a call."""


def compute_pressure(worker: _workers.WorkerState) -> float:
    """Returns the worst tail against its limit; 0 without serving tasks."""
    return max((run.gauge / run.step.tail_limit_ms
                for run in worker.runs.values()
                if run.step.tail_limit_ms and run.gauge is not None),
               default=0.0)


def update_pace(worker: _workers.WorkerState, now: float) -> None:
    """Sets the pace of a worker's fillers after a look."""
    worker.pressure = compute_pressure(worker)
    if worker.pressure > 1.0:
        if worker.pressed_at is None:
            worker.pressed_at = now
    else:
        worker.pressed_at = None
    if worker.pressure > SEVERE_PRESSURE:
        pace = int(worker.pace * SEVERE_FACTOR)
    elif worker.pressure > HIGH_PRESSURE:
        pace = int(worker.pace * SLOW_FACTOR)
    elif worker.pressure < LOW_PRESSURE:
        pace = min(100, int(worker.pace * SPEED_FACTOR) + SPEED_STEP)
    else:
        pace = worker.pace
    worker.pace = 0 if pace < MIN_PACE else pace
