"""Worker agents: the platform's interface to run tasks under leases."""

import abc
import enum
from typing import NamedTuple

from gentianlead import model


class RunKey(NamedTuple):
    """Identity of one run of a task."""

    job_id: str
    task: int
    run: int


class RunState(enum.Enum):
    """State of a run at its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    UNKNOWN = "unknown"

    @property
    def is_ended(self) -> bool:
        """Whether the run does not run any more."""
        return self is not RunState.RUNNING


class RunReport(NamedTuple):
    """What a worker says of a run.

    Attributes:
        key: The run.
        state: Its state.
        expires_at_ms: End of its lease on the worker's clock.
        checkpoint: Newest confirmed checkpoint, or empty.
    """

    key: RunKey
    state: RunState
    expires_at_ms: int = 0
    checkpoint: str = ""


class WorkerReply(NamedTuple):
    """Fields of every reply of a worker agent.

    Attributes:
        boot_id: Changes when the VM restarts; no run survives a restart.
        worker_time_ms: The worker's monotonic clock when it replied.
        runs: Runs that the reply speaks of.
    """

    boot_id: str
    worker_time_ms: int
    runs: tuple[RunReport, ...] = ()


class StartOrder(NamedTuple):
    """Order to start a run.

    Attributes:
        key: The run.
        boot_id: Boot that the times belong to; another boot refuses.
        resources: Reserved resources.
        expires_at_ms: End of the lease on the worker's clock.
        start_by_ms: The worker refuses the order after this time on its clock.
        fence: Orders with a lower fence are refused later on.
        payload: Opaque bytes of the job.
        checkpoint: Checkpoint to resume from, or empty.
    """

    key: RunKey
    boot_id: str
    resources: model.Resources
    expires_at_ms: int
    start_by_ms: int
    fence_token: int
    payload: bytes
    checkpoint: str


class LeaseRenewal(NamedTuple):
    """Extension of one lease.

    Attributes:
        key: The run.
        expires_at_ms: New end of the lease on the worker's clock.
        fence: Refused by the worker when it knows a higher one.
    """

    key: RunKey
    expires_at_ms: int
    fence_token: int


class UsageReport(NamedTuple):
    """Lagged usage of one run.

    Attributes:
        key: The run.
        as_of_ms: Time on the worker's clock that the report describes.
        resources: Resources in use.
        slowdown: Run speed relative to running alone; 1.0 is undisturbed and
            2.0 takes twice as long.
    """

    key: RunKey
    as_of_ms: int
    resources: model.Resources
    slowdown: float


class WorkerAgent(abc.ABC):
    """Calls to the agent of one worker.

    Every method raises `WorkerError` when the call fails; its verdict says
    whether the call may have taken effect.
    """

    @abc.abstractmethod
    async def start(self, address: str, order: StartOrder) -> WorkerReply:
        """Starts a run."""

    @abc.abstractmethod
    async def renew(self, address: str, boot_id: str,
                    renewals: list[LeaseRenewal]) -> WorkerReply:
        """Extends leases and reports the state of each named run.

        One call serves all runs on a worker, so that its cost does not rise
        with the number of runs. A run that the worker does not know is
        reported as `UNKNOWN`; an ended run keeps its state.
        """

    @abc.abstractmethod
    async def checkpoint(self, address: str, key: RunKey) -> WorkerReply:
        """Takes a checkpoint; the reply names it once it is safe."""

    @abc.abstractmethod
    async def throttle(self, address: str, key: RunKey,
                       fraction: float) -> WorkerReply:
        """Limits a run to a fraction (above 0, at most 1) of its resources."""

    @abc.abstractmethod
    async def stop(self, address: str, key: RunKey) -> WorkerReply:
        """Stops a run; the reply confirms that it ended."""

    @abc.abstractmethod
    async def forget(self, address: str, key: RunKey) -> WorkerReply:
        """Lets the worker drop an ended run."""

    @abc.abstractmethod
    async def list_runs(self, address: str) -> WorkerReply:
        """Returns all runs that the worker knows."""

    @abc.abstractmethod
    async def read_usage(self,
                         address: str) -> tuple[WorkerReply, list[UsageReport]]:
        """Returns the newest usage reports."""
