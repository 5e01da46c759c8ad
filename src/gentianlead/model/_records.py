"""Immutable records of the streams in the platform's log.

Whether a record takes effect depends on the records before it in its stream;
the folds in `gentianlead.state` contain the rules.
"""

from typing import NamedTuple, Union

from gentianlead.model import _crashes
from gentianlead.model import _jobs
from gentianlead.model import _resources

CONFIG_STREAM = "config"
ONE_TIME_REQUEST_STREAM = "once"
_DOMAIN_STREAM_PREFIX = "domain."


def get_domain_stream(domain: str) -> str:
    """Returns the name of a failure domain's stream."""
    return _DOMAIN_STREAM_PREFIX + domain


class PatchSubmitted(NamedTuple):
    """Submits a configuration patch; accepted only on its base version.

    Attributes:
        patch_id: Identifier of the patch.
        base_version: Configuration version that the patch was made for.
        operations: Name and field values of each operation.
        author: Name of the operator who submitted the patch.
        comment: Explanation by the operator.
        time_ms: Time of submission in milliseconds since 1970.
    """

    patch_id: str
    base_version: int
    operations: tuple[tuple[str, tuple], ...]
    author: str
    comment: str
    time_ms: int


class JobSubmitted(NamedTuple):
    """Submits a job and assigns it to a failure domain as epoch 1.

    Attributes:
        spec: Specification of the job.
        domain: Name of the failure domain.
        time_ms: Time of submission in milliseconds since 1970.
    """

    spec: _jobs.JobSpec
    domain: str
    time_ms: int


class JobMoved(NamedTuple):
    """Assigns a job to another failure domain, after `JobClosed` in the former.

    Attributes:
        job_id: Identifier of the job.
        epoch: Number of the new assignment; one more than the former.
        domain: Name of the new failure domain.
        done: Indexes of the tasks that are done.
        checkpoints: Newest checkpoint by index of the task.
        crashes: Crashes of workers under the tasks that are not done.
    """

    # All instances share the default dictionary, which no code modifies.
    # pylint: disable=dangerous-default-value
    job_id: str
    epoch: int
    domain: str
    done: tuple[int, ...]
    checkpoints: dict[int, str]
    crashes: _crashes.TaskCrashes = {}


class JobCancelled(NamedTuple):
    """Requests the cancellation of a job.

    Attributes:
        job_id: Identifier of the job.
    """

    job_id: str


class JobEnded(NamedTuple):
    """Ends a job with its final outcome.

    Attributes:
        job_id: Identifier of the job.
        epoch: Number of the job's last assignment.
        outcome: Value of a `JobOutcome`.
        detail: Explanation of the outcome.
    """

    job_id: str
    epoch: int
    outcome: str
    detail: str


class MemberJoined(NamedTuple):
    """Adds an entry daemon to the members of its failure domain.

    Attributes:
        member: Incarnation of the daemon.
        seat: Seat number from the settings of the daemon.
        peer_address: `host:port` of the daemon's listener for other daemons.
    """

    member: str
    seat: int
    peer_address: str


class MemberHeartbeat(NamedTuple):
    """Shows that a daemon is alive and can append to the log.

    Attributes:
        member: Incarnation of the daemon.
    """

    member: str


class MemberLeft(NamedTuple):
    """Removes a daemon that left, or that others have not heard for too long.

    Attributes:
        member: Incarnation of the daemon.
    """

    member: str


class WorkerPut(NamedTuple):
    """Adds a worker or replaces its rack and capacity.

    Attributes:
        worker: Name of the worker.
        rack: Rack of the worker.
        capacity: Resources of the worker that tasks may use.
    """

    worker: str
    rack: str
    capacity: _resources.Resources


class WorkerRemoved(NamedTuple):
    """Removes a worker; refused while runs are claimed on it.

    Attributes:
        worker: Name of the worker.
    """

    worker: str


class JobOpened(NamedTuple):
    """Makes the tasks of an assigned job claimable in this domain.

    Attributes:
        spec: Specification of the job.
        epoch: Number of the job's assignment to this domain.
        done: Indexes of the tasks that were done under earlier assignments.
        checkpoints: Newest checkpoint by index of the task.
        crashes: Crashes of workers under the tasks under earlier assignments.
    """

    # All instances share the default dictionary, which no code modifies.
    # pylint: disable=dangerous-default-value
    spec: _jobs.JobSpec
    epoch: int
    done: tuple[int, ...]
    checkpoints: dict[int, str]
    crashes: _crashes.TaskCrashes = {}


class JobClosed(NamedTuple):
    """Ends the assignment of a job to this domain; refused while runs are live.

    Attributes:
        job_id: Identifier of the job.
        epoch: Number of the assignment.
        reason: Value of a `CloseReason`.
    """

    job_id: str
    epoch: int
    reason: str


class TaskClaimed(NamedTuple):
    """Reserves capacity on a worker for one run of a task.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task.
        run: Number of the run; rises with each run of the task.
        worker: Name of the worker.
        resources: Reserved resources.
        holder: Incarnation of the daemon that starts the run and renews its
            lease.
    """

    job_id: str
    task: int
    run: int
    worker: str
    resources: _resources.Resources
    holder: str


class TaskFinished(NamedTuple):
    """Reports that a run completed its task; accepted only from its holder.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task.
        run: Number of the run; rises with each run of the task.
        holder: Incarnation of the daemon that reports.
    """

    job_id: str
    task: int
    run: int
    holder: str


class TaskReleased(NamedTuple):
    """Reports that a run certainly ended without completing its task.

    It is accepted only from the holder of the run: a former holder that was
    paused may take a lease for expired that its successor renews.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task.
        run: Number of the run; rises with each run of the task.
        reason: Value of a `ReleaseReason`.
        checkpoint: Identifier of the newest checkpoint, or empty.
        holder: Incarnation of the daemon that reports.
    """

    job_id: str
    task: int
    run: int
    reason: str
    checkpoint: str
    holder: str


class HolderChanged(NamedTuple):
    """Transfers the responsibility for a live run to another daemon.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task.
        run: Number of the run; rises with each run of the task.
        old_holder: Incarnation of the daemon that was responsible.
        new_holder: Incarnation of the daemon that becomes responsible.
    """

    job_id: str
    task: int
    run: int
    old_holder: str
    new_holder: str


class RenewalsEnded(NamedTuple):
    """Tells when the lease of a run ends that its holder renews no more.

    A holder appends it before it hands over the run in a planned stop. If the
    worker cannot be reached, the next holder thus knows how long the run can
    still be alive. A version of the program that does not know the record drops
    it and waits as after a failure of the holder.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task.
        run: Number of the run; rises with each run of the task.
        holder: Incarnation of the daemon that has stopped renewing the lease.
        lease_ms: Greatest time in milliseconds for which the lease lasts after
            this record was appended.
    """

    job_id: str
    task: int
    run: int
    holder: str
    lease_ms: int


class OnceBegun(NamedTuple):
    """Claims the single execution of a one-time request.

    Attributes:
        key: Idempotency key of the caller.
        service: Name of the service that the request is sent to.
        request_id: Identifier of the request that claims the key.
    """

    key: str
    service: str
    request_id: str


class OnceEnded(NamedTuple):
    """Reports the result of a one-time request.

    Attributes:
        key: Idempotency key of the caller.
        request_id: Identifier of the request that claimed the key.
        status: HTTP status code of the response.
    """

    key: str
    request_id: str
    status: int


class OnceReleased(NamedTuple):
    """Frees the key of a one-time request that certainly was never sent.

    Attributes:
        key: Idempotency key of the caller.
        request_id: Identifier of the request that claimed the key.
    """

    key: str
    request_id: str


class SnapshotPart(NamedTuple):
    """One part of a snapshot of a stream's state.

    Attributes:
        snapshot_id: Identifier of the snapshot.
        through_offset: Offset of the last record that the state contains.
        index: Index of the part, from 0.
        count: Number of parts of the snapshot.
        digest: Digest of the complete state and of `through_offset`.
        data: Bytes of this part.
    """

    snapshot_id: str
    through_offset: int
    index: int
    count: int
    digest: int
    data: bytes


Record = Union[PatchSubmitted, JobSubmitted, JobMoved, JobCancelled, JobEnded,
               MemberJoined, MemberHeartbeat, MemberLeft, WorkerPut,
               WorkerRemoved, JobOpened, JobClosed, TaskClaimed, TaskFinished,
               TaskReleased, HolderChanged, RenewalsEnded, OnceBegun, OnceEnded,
               OnceReleased, SnapshotPart]

RECORD_TYPES_BY_KIND_NUMBER: dict[int, type] = {
    1: PatchSubmitted,
    2: JobSubmitted,
    3: JobMoved,
    4: JobCancelled,
    5: JobEnded,
    10: MemberJoined,
    11: MemberHeartbeat,
    12: MemberLeft,
    13: WorkerPut,
    14: WorkerRemoved,
    15: JobOpened,
    16: JobClosed,
    17: TaskClaimed,
    18: TaskFinished,
    19: TaskReleased,
    20: HolderChanged,
    21: RenewalsEnded,
    30: OnceBegun,
    31: OnceEnded,
    32: OnceReleased,
    40: SnapshotPart,
}
