"""Orders of a leader to workers, and what it tells of them."""

import datetime
from typing import NamedTuple

from gentianlead import model


class StartOrder(NamedTuple):
    """Order to start a run on a worker."""

    worker_id: str
    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str
    permit: str = ""


class StopOrder(NamedTuple):
    """Order to stop a run on a worker."""

    worker_id: str
    task: model.TaskKey
    run: int
    reason: str


class ThrottleOrder(NamedTuple):
    """Order to let a run work at a share of its speed."""

    worker_id: str
    task: model.TaskKey
    run: int
    percent: int


class PermitRequest(NamedTuple):
    """Request for permits to run a step.

    Attributes:
        job_id: The job.
        occurrence: Number of the repetition.
        step: Index of the step.
        workers: Lifetime of each worker that is asked for, by identifier.
    """

    job_id: str
    occurrence: int
    step: int
    workers: dict[str, int]


Order = StartOrder | StopOrder | ThrottleOrder | PermitRequest


class EndNote(NamedTuple):
    """An end that was applied, for the log."""

    worker_id: str
    task: model.TaskKey
    run: int
    cause: str
    seconds: float


class GroupTimings(NamedTuple):
    """Times of a group.

    Attributes:
        lease: Length of a worker's lease.
        takeover_wait: Time after which nothing that a former leader started
            can run on a worker that was never reached.
        stop_limit: Longest time that a stop takes at a worker.
    """

    lease: datetime.timedelta
    takeover_wait: datetime.timedelta
    stop_limit: datetime.timedelta
