"""Interface to workers that run all their tasks under one lease.

A worker accepts orders only with the highest fencing token that it has seen,
so that orders of a former leader are refused.
"""

import abc
import datetime
import enum
from typing import NamedTuple

from gentianlead import errors
from gentianlead import model


class WorkerEntry(NamedTuple):
    """A worker's entry in the registry.

    Attributes:
        worker_id: Identifier of the worker.
        service: Service that the worker belongs to.
        address: `host:port` of the worker.
        domain: Failure domain of the worker.
        is_draining: Whether the worker is about to leave the deployment.
        cpu_millis: Processor capacity in thousandths of a core.
        memory_mib: Memory capacity in MiB.
        accelerators: Number of accelerators.
        labels: Labels that steps can require, such as the kind of the worker
            and its rack.
        born_ms: Start time of the worker instance in milliseconds since 1970;
            0 if the registry does not state it.
        leaves_in_ms: Minimum time in milliseconds until a draining worker
            leaves; None if unknown.
    """

    worker_id: str
    service: str
    address: str
    domain: str
    is_draining: bool
    cpu_millis: int
    memory_mib: int
    accelerators: int
    labels: frozenset[str]
    born_ms: int = 0
    leaves_in_ms: int | None = None


class StartOutcome(enum.Enum):
    """Outcome of a start order.

    Attributes:
        STARTED: The worker runs the task.
        FENCED: The worker has seen a higher fencing token.
        OUTDATED_RUN: The worker has seen a higher run number of the task.
        LEASE_ALREADY_EXPIRED: The lease in the order ends in the past of the
            worker's clock.
        NO_FREE_CAPACITY: The worker lacks free resources for the task.
        NO_PERMIT: The permit is missing or not valid.
        UNHEALTHY: The worker takes no orders now, or the order certainly did
            not reach it.
        WORKER_REPLACED: Another instance has replaced the worker.
        INVALID: The worker refused the order for any other reason.
        UNKNOWN: The order may have taken effect; no usable reply came.
    """

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED_RUN = "outdated"
    LEASE_ALREADY_EXPIRED = "late"
    NO_FREE_CAPACITY = "no-room"
    NO_PERMIT = "no-permit"
    UNHEALTHY = "unhealthy"
    WORKER_REPLACED = "reborn"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class LeasedStartOrder(NamedTuple):
    """Order to start a run under the lease of its worker.

    Attributes:
        task: The task to run.
        run: Number of the run; rises with each start of the task.
        payload: Text that the worker passes to the task.
        expires_at_ms: End of the lease in milliseconds on the worker's clock.
        fence_token: Fencing token of the leader.
        checkpoint: Identifier of the checkpoint to resume from, or empty.
        permit: Permit of the advisory service, or empty.
    """

    task: model.TaskKey
    run: int
    payload: str
    expires_at_ms: int
    fence_token: int
    checkpoint: str = ""
    permit: str = ""


class StartReply(NamedTuple):
    """Result of sending a start order.

    Attributes:
        outcome: Outcome of the order.
        clock_ms: Time on the worker's clock in milliseconds; None if no reply
            came or it states no time.
        detail: Status of the reply or error of the call, for the decision log.
    """

    outcome: StartOutcome
    clock_ms: int | None = None
    detail: str = ""


class ActiveRun(NamedTuple):
    """A run that a worker reports as running.

    Attributes:
        task: The task that runs.
        run: Number of the run.
        checkpoint: Identifier of the newest checkpoint, or empty.
        percent: Progress of the task in percent; for a long-running task, its
            readiness in percent.
        latency_ms_or_cpu_millis: For a latency-critical task, its tail latency
            in milliseconds; for any other, the processors in use in
            thousandths of a core. None if the worker reports neither.
    """

    task: model.TaskKey
    run: int
    checkpoint: str
    percent: int
    latency_ms_or_cpu_millis: int | None


class EndCause(enum.Enum):
    """Cause of a run's end as the worker reports it.

    Attributes:
        DONE: The task succeeded.
        FAILED: The task failed.
        STOPPED: The run was stopped by an order or did not start.
        LEASE_EXPIRED: The lease of the worker expired.
        GANG_MEMBER_ENDED: Another task of the gang ended. The task is started
            again, and the end does not count as a failed attempt.
        GANG_INCOMPLETE: The other tasks of the gang did not start in time. The
            task is started again, and the end does not count as a failed
            attempt.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_INCOMPLETE = "alone"


class EndedRun(NamedTuple):
    """A run that a worker reports as ended.

    Attributes:
        number: Number of the report; rises with each ended run of the worker.
        task: The task that ran.
        run: Number of the run.
        cause: Cause of the end.
        checkpoint: Identifier of the newest checkpoint, or empty.
    """

    number: int
    task: model.TaskKey
    run: int
    cause: EndCause
    checkpoint: str


class WorkerStatus(NamedTuple):
    """Status report of a worker.

    Attributes:
        clock_ms: Time on the worker's clock in milliseconds.
        born_ms: Start time of the worker instance in milliseconds since 1970.
        running: All runs that are running.
        ended: Ended runs that were not acknowledged yet, in order of number;
            only the first of them if there are many.
        may_lack_ends: Whether more runs may have ended than `ended` lists. Such
            a run is in neither list.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    may_lack_ends: bool = False


class StaleFencingTokenError(errors.GentianleadError):
    """The worker refused a call because it has seen a higher fencing token."""

    code = errors.ErrorCode.WORKER_FAILED


class WorkerReplacedError(errors.GentianleadError):
    """Another instance has replaced the worker."""

    code = errors.ErrorCode.WORKER_FAILED


class LeasedWorkerClient(abc.ABC):
    """Sends orders to workers and reads their status.

    Each method takes the registry entry of the worker, whose address it calls.
    """

    @abc.abstractmethod
    async def start(self, entry: WorkerEntry, order: LeasedStartOrder,
                    timeout: datetime.timedelta) -> StartReply:
        """Starts a run.

        A failed call raises no error; the outcome of the reply reports it.
        """

    @abc.abstractmethod
    async def stop(self, entry: WorkerEntry, task: model.TaskKey, run: int,
                   fence_token: int, timeout: datetime.timedelta) -> None:
        """Stops a run, even if its start order arrives only after this order.

        Raises:
            StaleFencingTokenError: The worker has seen a higher
                fencing token.
            WorkerError: The call failed or the reply is not usable.
        """

    @abc.abstractmethod
    async def poll_status(self, entry: WorkerEntry, fence_token: int,
                          acknowledged_number: int, expires_at_ms: int | None,
                          wait: datetime.timedelta,
                          timeout: datetime.timedelta) -> WorkerStatus:
        """Reads the status of a worker and optionally renews its lease.

        Args:
            entry: Registry entry of the worker.
            fence_token: Fencing token of the leader.
            acknowledged_number: Highest number of an ended run whose end is
                stored; the worker drops its reports up to this number.
            expires_at_ms: New end of the lease in milliseconds on the worker's
                clock, or None to leave the lease unchanged.
            wait: Maximum time for which the worker may hold the reply until a
                run ends.
            timeout: Time after which the call fails.

        Raises:
            StaleFencingTokenError: The worker has seen a higher
                fencing token.
            WorkerReplacedError: Another instance has replaced the worker, and
                all its runs have ended.
            WorkerError: The call failed or the reply is not usable.
        """

    @abc.abstractmethod
    async def set_throttle(self, entry: WorkerEntry, task: model.TaskKey,
                           run: int, percent: int, fence_token: int,
                           timeout: datetime.timedelta) -> None:
        """Limits the speed of a run to `percent` of its full speed.

        Raises:
            StaleFencingTokenError: The worker has seen a higher
                fencing token.
            WorkerError: The call failed or the reply is not usable.
        """
