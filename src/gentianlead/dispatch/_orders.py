"""Orders and permit requests that a group leader sends, and applied run ends.

Also defines the durations that bound leases, takeovers and stops.
"""

import datetime
from typing import NamedTuple

from gentianlead import model

RUN_NUMBERS_PER_EPOCH = 1 << 13
"""How many run numbers each epoch sets aside for a job; a job starts far fewer
runs in one epoch."""

MAX_START_ATTEMPTS = 2
"""Number of start orders for one run, all without a conclusive reply, after
which the run is stopped."""


class StartOrder(NamedTuple):
    """Order to start a run on a worker.

    Attributes:
        worker_id: The worker.
        task: The task.
        run: Number of the run; the same for all tasks of a gang.
        payload: Text of the job, passed on to the task.
        checkpoint: Checkpoint to resume from; empty if there is none.
        permit: Permit of the advisory service; empty if there is none.
    """

    worker_id: str
    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str
    permit: str = ""


class StopOrder(NamedTuple):
    """Order to stop a run on a worker.

    Attributes:
        worker_id: The worker.
        task: The task.
        run: Number of the run.
        reason: Why the run is stopped, for the log.
        failure_count: Number of stop orders for the run that failed since the
            last one that succeeded.
    """

    worker_id: str
    task: model.TaskKey
    run: int
    reason: str
    failure_count: int = 0


class ThrottleOrder(NamedTuple):
    """Order to limit the speed of a best-effort run.

    Attributes:
        worker_id: The worker.
        task: The task.
        run: Number of the run.
        throttle_percent: Share of its full speed that the run is allowed, in
            percent.
        failure_count: Number of throttle orders for the run that failed since
            the last one that succeeded.
    """

    worker_id: str
    task: model.TaskKey
    run: int
    throttle_percent: int
    failure_count: int = 0


class PermitRequest(NamedTuple):
    """Request to the advisory service for permits to run a step.

    Attributes:
        job_id: The job.
        occurrence: Number of the repetition of the job, from 0.
        step: Index of the step.
        workers: Workers for which permits are requested: start time of the
            present instance in milliseconds since 1970, by worker identifier.
    """

    job_id: str
    occurrence: int
    step: int
    workers: dict[str, int]


Order = StartOrder | StopOrder | ThrottleOrder | PermitRequest


class AppliedRunEnd(NamedTuple):
    """End of a run that the leader has applied, for the log and the metrics.

    Attributes:
        worker_id: Worker of the run.
        task: The task.
        run: Number of the run.
        cause: Why the run ended; value of a `ports.EndCause`.
        seconds: Time in seconds from the first start order to the moment at
            which the end was applied; for a run that a former leader started,
            from the moment at which this leader took it over.
    """

    worker_id: str
    task: model.TaskKey
    run: int
    cause: str
    seconds: float


class RefusedStarts(NamedTuple):
    """Starts of a task that workers refused since it last started.

    Attributes:
        count: Number of refusals.
        last_outcome: Value of the `ports.StartOutcome` of the last one.
        last_worker_id: Worker of the last one.
    """

    count: int
    last_outcome: str
    last_worker_id: str


class GroupTimings(NamedTuple):
    """Durations that bound leases, takeovers and stops in a group.

    Attributes:
        lease: Time for which an order or status call extends a worker's lease.
        max_lease: Longest lease that a worker holds; it shortens longer ones.
        takeover_wait: Time after a takeover until which a worker that has not
            replied to the new leader may still execute runs that a former
            leader started.
        stop_limit: Longest time that a worker takes to stop a run.
    """

    lease: datetime.timedelta
    max_lease: datetime.timedelta
    takeover_wait: datetime.timedelta
    stop_limit: datetime.timedelta
