"""Records of the shared job topic.

Each key names its kind by a prefix. A job has one record for each acceptance,
so that two daemons that accept the same job cannot overwrite each other: the
first offset takes effect. All other keys hold the newest value.
"""

from typing import NamedTuple

import msgpack
import msgspec

from gentianlead import errors
from gentianlead import model
from gentianlead import ports

JOB_TOPIC = "jobs"
"""Name of the topic."""


class AcceptedRecord(NamedTuple):
    """A daemon accepted a job.

    Attributes:
        job: The job.
        writer: Identity of the daemon's process.
    """

    job: model.SteppedJob
    writer: str


class CancelledRecord(NamedTuple):
    """A caller cancelled a job.

    Attributes:
        job_id: The job.
    """

    job_id: str


class StepDone(NamedTuple):
    """Tasks of a step that are done, one bit for each index.

    Attributes:
        occurrence: Number of the repetition.
        step: Index of the step.
        mask: Bits in hexadecimal.
    """

    occurrence: int
    step: int
    mask: str


class TaskFact(NamedTuple):
    """What is stored of a task that is not done.

    Attributes:
        occurrence: Number of the repetition.
        step: Index of the step.
        index: Index of the task.
        failures: Runs that failed.
        checkpoint: Newest checkpoint, or empty.
        failed_run: Highest number of a run that is counted as failed; records
            of older daemons have it alone.
        failed_runs: Numbers of all runs that are counted as failed. Workers
            list their ends until they are acknowledged, also to a new leader,
            and in no common order.
    """

    occurrence: int
    step: int
    index: int
    failures: int
    checkpoint: str
    failed_run: int = 0
    failed_runs: tuple[int, ...] = ()


class ProgressRecord(NamedTuple):
    """Progress of a job, written by the leader of its group.

    Attributes:
        job_id: The job.
        group: Group of the writer.
        epoch: Epoch of the writer.
        state: State that callers are told.
        last_run: Highest number of a run so far.
        done: Steps with tasks that are done.
        tasks: Tasks with failures or checkpoints.
    """

    job_id: str
    group: str
    epoch: int
    state: model.JobState
    last_run: int = 0
    done: tuple[StepDone, ...] = ()
    tasks: tuple[TaskFact, ...] = ()


class MovedRecord(NamedTuple):
    """A leader gave tasks to another group; none of them runs in its own.

    Attributes:
        job_id: The job.
        origin: The group that gives them up; tasks of others stay where they
            are.
        indexes: Tasks of the lasting step; empty for the whole job.
        target: The group that gets them.
        last_run: Highest number of a run so far.
    """

    job_id: str
    origin: str
    indexes: tuple[int, ...]
    target: str
    last_run: int


class LeaderRecord(NamedTuple):
    """A daemon leads a group.

    Attributes:
        group: The group.
        epoch: Rises with each leader; the fence of its orders.
        node: Name of the daemon; empty when the leader resigned.
        incarnation: Identity of the daemon's process.
        beat: Rises with each confirmation.
    """

    group: str
    epoch: int
    node: str
    incarnation: str
    beat: int


class MemberRecord(NamedTuple):
    """A daemon and how its peers reach it.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of its process.
        address: `host:port` for peers.
        domain: Failure domain.
        beat: Rises while the daemon runs.
    """

    node: str
    incarnation: str
    address: str
    domain: str
    beat: int


class WorkersRecord(NamedTuple):
    """Workers of a group on which runs may exist.

    A leader starts nothing on a worker that is not stored here, so that its
    successor asks them all, also those that the registry no longer lists.

    Attributes:
        group: The group.
        epoch: Epoch of the writer.
        workers: Entries as the registry listed them last.
    """

    group: str
    epoch: int
    workers: tuple[ports.WorkerEntry, ...]


class RemovedKey(NamedTuple):
    """Removes a key from the topic.

    Attributes:
        key: The key.
    """

    key: str


Record = (AcceptedRecord | CancelledRecord | ProgressRecord | MovedRecord |
          LeaderRecord | MemberRecord | WorkersRecord | RemovedKey)

_KINDS: dict[str, type] = {
    "j": AcceptedRecord,
    "c": CancelledRecord,
    "p": ProgressRecord,
    "m": MovedRecord,
    "g": LeaderRecord,
    "n": MemberRecord,
    "w": WorkersRecord,
}


def build_key(record: Record) -> str:
    """Returns the key that a record is stored under."""
    if isinstance(record, RemovedKey):
        return record.key
    if isinstance(record, AcceptedRecord):
        return f"j/{record.job.job_id}/{record.writer}"
    if isinstance(record, LeaderRecord):
        return f"g/{record.group}"
    if isinstance(record, MemberRecord):
        return f"n/{record.node}"
    if isinstance(record, WorkersRecord):
        return f"w/{record.group}"
    if isinstance(record, CancelledRecord):
        return f"c/{record.job_id}"
    if isinstance(record, ProgressRecord):
        return f"p/{record.job_id}/{record.group}"
    # Moves build on each other, so none may replace another one.
    return f"m/{record.job_id}/{record.origin}/{record.last_run}"


def _encode_value(value: object) -> object:
    if isinstance(value, model.JobState):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(f"cannot store a {type(value).__name__}")


def encode_value(record: object) -> bytes:
    """Returns a record, or a part of one, as bytes."""
    return msgpack.packb(record, default=_encode_value)


def encode_record(record: Record) -> ports.KeyedRecord:
    """Returns a record in the form that the store takes."""
    value = b"" if isinstance(record, RemovedKey) else encode_value(record)
    return ports.KeyedRecord(build_key(record), value)


def decode_value(data: bytes, kind: type) -> object:
    """Returns a record, or a part of one, from bytes.

    Raises:
        ProtocolError: The bytes do not have the expected form.
    """
    try:
        return msgspec.convert(msgpack.unpackb(data), kind, strict=True)
    except (ValueError, msgpack.UnpackException,
            msgspec.ValidationError) as error:
        raise errors.ProtocolError(f"unreadable {kind.__name__}: "
                                   f"{error}") from error


def decode_record(stored: ports.KeyedRecord) -> Record | None:
    """Returns the record of a stored key; None when the key was removed.

    Raises:
        ProtocolError: The record cannot be read.
    """
    kind = _KINDS.get(stored.key.partition("/")[0])
    if kind is None:
        raise errors.ProtocolError(f"unknown kind of key {stored.key!r}")
    if not stored.value:
        return None
    return decode_value(stored.value, kind)
