"""Interface to worker agents, which run tasks with one lease for each run."""

import abc
import enum
from typing import NamedTuple

from gentianlead import model


class RunKey(NamedTuple):
    """Identity of one run of a task.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task in the job.
        run: Number of the run, which rises with each start of the task.
    """

    job_id: str
    task: int
    run: int


class RunState(enum.Enum):
    """State of a run as its worker reports it.

    Attributes:
        RUNNING: The task runs.
        FINISHED: The task succeeded.
        FAILED: The task failed.
        STOPPED: The run was stopped by an order.
        LEASE_EXPIRED: The worker stopped the run because its lease expired.
        UNKNOWN: The worker does not know the run.
    """

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    UNKNOWN = "unknown"

    @property
    def is_ended(self) -> bool:
        """Whether the run is not running."""
        return self is not RunState.RUNNING


class RunReport(NamedTuple):
    """A worker's report of one run.

    Attributes:
        key: Identity of the run.
        state: State of the run.
        expires_at_ms: End of the run's lease in milliseconds on the worker's
            clock.
        checkpoint: Identifier of the newest confirmed checkpoint, or empty.
    """

    key: RunKey
    state: RunState
    expires_at_ms: int = 0
    checkpoint: str = ""


class WorkerReply(NamedTuple):
    """Fields that every reply of a worker agent has.

    Attributes:
        boot_id: Identifier that changes when the VM restarts; no run survives
            a restart.
        worker_time_ms: Time of the reply in milliseconds on the worker's
            monotonic clock.
        runs: Reports of the runs that the call concerned.
    """

    boot_id: str
    worker_time_ms: int
    runs: tuple[RunReport, ...] = ()


class StartOrder(NamedTuple):
    """Order to start a run.

    Attributes:
        key: Identity of the run.
        boot_id: Boot identifier whose clock the times refer to; the worker
            refuses the order if it has another one.
        resources: Resources that are reserved for the run.
        expires_at_ms: End of the lease in milliseconds on the worker's clock.
        start_by_ms: Latest start in milliseconds on the worker's clock; the
            worker refuses the order afterwards.
        fence_token: Fencing token; the worker refuses later orders for the
            run that carry a lower one.
        payload: Opaque bytes that the worker passes to the task.
        checkpoint: Identifier of the checkpoint to resume from, or empty.
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
    """Request to extend the lease of one run.

    Attributes:
        key: Identity of the run.
        expires_at_ms: New end of the lease in milliseconds on the worker's
            clock.
        fence_token: Fencing token; the worker refuses the renewal if it
            knows a higher one.
    """

    key: RunKey
    expires_at_ms: int
    fence_token: int


class UsageReport(NamedTuple):
    """Resource usage of one run, measured some time before it is reported.

    Attributes:
        key: Identity of the run.
        as_of_ms: Time of the measurement in milliseconds on the worker's
            clock.
        resources: Resources that the run used.
        slowdown: Duration relative to running alone on the worker; 1.0 means
            undisturbed, and 2.0 means that the run takes twice as long.
    """

    key: RunKey
    as_of_ms: int
    resources: model.Resources
    slowdown: float


class WorkerAgent(abc.ABC):
    """Sends calls to worker agents, which are named by their address.

    Every method raises `WorkerError` when the call fails; its verdict says
    whether the call may have taken effect.
    """

    @abc.abstractmethod
    async def start(self, address: str, order: StartOrder) -> WorkerReply:
        """Starts a run."""

    @abc.abstractmethod
    async def renew(self, address: str, boot_id: str,
                    renewals: list[LeaseRenewal]) -> WorkerReply:
        """Extends leases and returns the state of each run in `renewals`.

        One call covers all runs on a worker, so that the number of calls does
        not grow with the number of runs. A run that the worker does not know
        is reported as `UNKNOWN`; an ended run keeps its state.
        """

    @abc.abstractmethod
    async def checkpoint(self, address: str, key: RunKey) -> WorkerReply:
        """Takes a checkpoint; the reply names it once it is stored durably."""

    @abc.abstractmethod
    async def throttle(self, address: str, key: RunKey,
                       fraction: float) -> WorkerReply:
        """Limits a run to a fraction (above 0, at most 1) of its resources."""

    @abc.abstractmethod
    async def stop(self, address: str, key: RunKey) -> WorkerReply:
        """Stops a run; the reply confirms that the run ended."""

    @abc.abstractmethod
    async def forget(self, address: str, key: RunKey) -> WorkerReply:
        """Tells the worker to drop its record of an ended run."""

    @abc.abstractmethod
    async def list_runs(self, address: str) -> WorkerReply:
        """Returns reports of all runs that the worker knows."""

    @abc.abstractmethod
    async def read_usage(self,
                         address: str) -> tuple[WorkerReply, list[UsageReport]]:
        """Returns the newest usage report of each run."""
