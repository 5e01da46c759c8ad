"""Workers that run tasks under one lease and one fence."""

import abc
import datetime
import enum
from typing import NamedTuple

from gentianlead import errors
from gentianlead import model


class WorkerEntry(NamedTuple):
    """A worker as the registry lists it.

    Attributes:
        worker_id: Identifier.
        service: Service that it belongs to.
        address: `host:port`.
        domain: Failure domain.
        is_draining: Whether it will leave.
        cpu_millis: Capacity in thousandths of a core.
        memory_mib: Memory capacity.
        accelerators: Number of accelerators.
        labels: Kind and rack.
        born_ms: Start of its lifetime in milliseconds since 1970; 0 where the
            entry does not say.
        leaves_in_ms: Least time until a draining worker leaves; None if
            unknown.
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
    """What a worker answered to a start order."""

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
    """Order to start a run.

    Attributes:
        task: The task.
        run: Number of the run; rises with each start of the task.
        payload: Text for the task.
        expires_at_ms: End of the lease on the worker's clock.
        fence: Fence of the leader.
        checkpoint: Checkpoint to resume from, or empty.
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
    """Reply to a start order.

    Attributes:
        outcome: What became of the order.
        clock_ms: The worker's clock; None without a reply.
        detail: Status or error of the reply, for the log.
    """

    outcome: StartOutcome
    clock_ms: int | None = None
    detail: str = ""


class ActiveRun(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: Newest checkpoint, or empty.
        percent: Readiness of a lasting task, else the progress.
        gauge: Tail latency in milliseconds of a serving task, else the
            processors in use in thousandths of a core; None if not listed.
    """

    task: model.TaskKey
    run: int
    checkpoint: str
    percent: int
    latency_ms_or_cpu_millis: int | None


class EndCause(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class EndedRun(NamedTuple):
    """A run that a worker lists as ended.

    Attributes:
        number: Position in the worker's list of ends.
        task: The task.
        run: Number of the run.
        cause: How it ended.
        checkpoint: Newest checkpoint, or empty.
    """

    number: int
    task: model.TaskKey
    run: int
    cause: EndCause
    checkpoint: str


class WorkerStatus(NamedTuple):
    """Reply to a look at a worker.

    Attributes:
        clock_ms: The worker's clock.
        born_ms: Start of its lifetime in milliseconds since 1970.
        running: All runs.
        ended: Ends that were not acknowledged yet, in order.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class StaleFencingTokenError(errors.GentianleadError):
    """The worker has seen a higher fence."""

    code = errors.ErrorCode.WORKER_FAILED


class WorkerReplacedError(errors.GentianleadError):
    """The worker's lifetime has ended; its address has another one."""

    code = errors.ErrorCode.WORKER_FAILED


class LeasedWorkerClient(abc.ABC):
    """Calls to workers; each names the address of the worker."""

    @abc.abstractmethod
    async def start(self, entry: WorkerEntry, order: LeasedStartOrder,
                    timeout: datetime.timedelta) -> StartReply:
        """Starts a run; never raises for a failed call."""

    @abc.abstractmethod
    async def stop(self, entry: WorkerEntry, task: model.TaskKey, run: int,
                   fence_token: int, timeout: datetime.timedelta) -> None:
        """Stops a run, also one that has not arrived yet.

        Raises:
            StaleFencingTokenError: The worker has seen a higher fence.
            WorkerError: No usable reply.
        """

    @abc.abstractmethod
    async def poll_status(self, entry: WorkerEntry, fence_token: int, acknowledged_number: int,
                   expires_at_ms: int | None, wait: datetime.timedelta,
                   timeout: datetime.timedelta) -> WorkerStatus:
        """Renews the lease and returns what runs and what ended.

        Args:
            entry: The worker.
            fence: Fence of the leader.
            acknowledged: Number of the last end that is stored.
            expires_at_ms: New end of the lease, or None to leave it.
            wait: How long the worker may wait for an end.
            timeout: Time after which the call is given up.

        Raises:
            StaleFencingTokenError: The worker has seen a higher fence.
            WorkerReplacedError: The lifetime has ended, and all its runs with it.
            WorkerError: No usable reply.
        """

    @abc.abstractmethod
    async def set_throttle(self, entry: WorkerEntry, task: model.TaskKey, run: int,
                   percent: int, fence_token: int,
                   timeout: datetime.timedelta) -> None:
        """Limits the share of its speed that a run works at.

        Raises:
            StaleFencingTokenError: The worker has seen a higher fence.
            WorkerError: No usable reply.
        """
