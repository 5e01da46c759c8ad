"""Records of the streams in the platform's log.

A record is immutable. Its position in its stream decides whether it takes
effect; the folds in `gentianlead.state` hold the rules.
"""

from typing import NamedTuple, Union

from gentianlead.model import _jobs
from gentianlead.model import _resources

CONFIG_STREAM = "config"
ONE_TIME_REQUEST_STREAM = "once"
_DOMAIN_PREFIX = "domain."


def get_domain_stream(domain: str) -> str:
    """Returns the name of a failure domain's stream."""
    return _DOMAIN_PREFIX + domain


class PatchSubmitted(NamedTuple):
    """A configuration patch; accepted only on its base version."""

    patch_id: str
    base_version: int
    operations: tuple[tuple[str, tuple], ...]
    author: str
    comment: str
    time_ms: int


class JobSubmitted(NamedTuple):
    """A job and its first assignment to a failure domain (epoch 1)."""

    spec: _jobs.JobSpec
    domain: str
    time_ms: int


class JobMoved(NamedTuple):
    """Assigns a job to another failure domain, after `JobClosed` there."""

    job_id: str
    epoch: int
    domain: str
    done: tuple[int, ...]
    checkpoints: dict[int, str]


class JobCancelled(NamedTuple):
    """Asks for the end of a job."""

    job_id: str


class JobEnded(NamedTuple):
    """The final outcome of a job."""

    job_id: str
    epoch: int
    outcome: str
    detail: str


class MemberJoined(NamedTuple):
    """An entry daemon that joined its failure domain."""

    member: str
    seat: int
    peer_address: str


class MemberHeartbeat(NamedTuple):
    """Shows that a daemon is alive and can append."""

    member: str


class MemberLeft(NamedTuple):
    """A daemon that left, or that others found silent for long."""

    member: str


class WorkerPut(NamedTuple):
    """Capacity of a worker that tasks may use; replaces an earlier one."""

    worker: str
    rack: str
    capacity: _resources.Resources


class WorkerRemoved(NamedTuple):
    """Removes a worker; refused while runs are claimed on it."""

    worker: str


class JobOpened(NamedTuple):
    """Makes the tasks of an assigned job claimable in this domain."""

    spec: _jobs.JobSpec
    epoch: int
    done: tuple[int, ...]
    checkpoints: dict[int, str]


class JobClosed(NamedTuple):
    """Ends an epoch of a job in this domain; refused while runs are live."""

    job_id: str
    epoch: int
    reason: str


class TaskClaimed(NamedTuple):
    """Reserves capacity on a worker for one run of a task."""

    job_id: str
    task: int
    run: int
    worker: str
    resources: _resources.Resources
    holder: str


class TaskFinished(NamedTuple):
    """A run that completed its task; only its holder may say so."""

    job_id: str
    task: int
    run: int
    holder: str


class TaskReleased(NamedTuple):
    """A run that certainly ended without completing its task.

    Only its holder may say so: a former holder that was paused may believe
    that a lease has lapsed which its successor renews.
    """

    job_id: str
    task: int
    run: int
    reason: str
    checkpoint: str
    holder: str


class HolderChanged(NamedTuple):
    """Moves the duty for a live run from one daemon to another."""

    job_id: str
    task: int
    run: int
    old_holder: str
    new_holder: str


class OnceBegun(NamedTuple):
    """Claims the single execution of a one-time request."""

    key: str
    service: str
    request_id: str


class OnceEnded(NamedTuple):
    """The result of a one-time request."""

    key: str
    request_id: str
    status: int


class OnceReleased(NamedTuple):
    """Frees the key of a one-time request that was certainly never sent."""

    key: str
    request_id: str


class SnapshotPart(NamedTuple):
    """One part of a snapshot of the stream's state through an offset."""

    snapshot_id: str
    through_offset: int
    index: int
    count: int
    digest: int
    data: bytes


Record = Union[PatchSubmitted, JobSubmitted, JobMoved, JobCancelled, JobEnded,
               MemberJoined, MemberHeartbeat, MemberLeft, WorkerPut,
               WorkerRemoved, JobOpened, JobClosed, TaskClaimed, TaskFinished,
               TaskReleased, HolderChanged, OnceBegun, OnceEnded, OnceReleased,
               SnapshotPart]

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
    30: OnceBegun,
    31: OnceEnded,
    32: OnceReleased,
    40: SnapshotPart,
}
