"""Records of the shared job topic and their encoding.

The prefix of a key gives the type of its record. Each acceptance of a job has
a key of its own, also if one daemon accepts the job twice: the record with the
lowest offset takes effect, and a daemon that reads only the newest record of
each key must find it. Each move of tasks has a key of its own, too, and all
moves take effect in the order of their offsets. Under any other key the newest
record takes effect, except that a leader record has no effect if its epoch is
lower than that of an earlier leader record of the group.
"""

from typing import NamedTuple

import msgpack
import msgspec

from gentianlead import errors
from gentianlead import model
from gentianlead import ports

JOB_TOPIC = "jobs"
"""Name of the job topic in the store."""


class AcceptedRecord(NamedTuple):
    """States that a daemon accepted a job.

    Attributes:
        job: The job.
        acceptance_id: Identity of the daemon process that accepted it, and a
            number that no other acceptance by this process has. Records of
            older daemons lack the number.
    """

    job: model.SteppedJob
    acceptance_id: str


class CancelledRecord(NamedTuple):
    """States that a caller cancelled a job.

    Attributes:
        job_id: Identifier of the job.
    """

    job_id: str


class EarlyCancelledRecord(NamedTuple):
    """States that a caller cancelled a job that may be accepted later.

    Each has a key of its own, so that the removal of an old one cannot remove
    one that was stored meanwhile.

    Attributes:
        job_id: Identifier of the job.
        cancellation_id: Identity of the daemon process that stored the record,
            and a number that no other such record of this process has.
    """

    job_id: str
    cancellation_id: str


class DoneTasks(NamedTuple):
    """Lists the tasks of one step that are done, as a bit mask.

    Attributes:
        occurrence: Number of the repetition of the job, from 0.
        step: Index of the step.
        done_mask: Hexadecimal number in which bit i stands for the task with
            index i.
    """

    occurrence: int
    step: int
    done_mask: str


class CrashedRun(NamedTuple):
    """Stores a run that counts as the crash of its worker.

    Attributes:
        run: Number of the run.
        evidence: Value of a `_suspicions.CrashEvidence`. It is -1 or 0 for a
            run whose outcome was not known; a record with -1 may be older than
            the run's start order.
    """

    run: int
    evidence: int


class TaskProgress(NamedTuple):
    """Stores the failed and crashed runs and the checkpoint of a task.

    The task is not done.

    Attributes:
        occurrence: Number of the repetition of the job, from 0.
        step: Index of the step.
        index: Index of the task in the step.
        failures: Number of failed runs of the task.
        checkpoint: Newest checkpoint of the task, or empty.
        highest_failed_run: Highest run number in `failed_runs`; records of
            older daemons have this number but no `failed_runs`.
        failed_runs: Numbers of all runs that are counted as failed. All of
            them are needed to count each failure once: workers report the end
            of a run until it is acknowledged, also to a new leader, and
            different workers report in no common order.
        crashed_runs: Runs that count as crashes of their workers; for a gang
            those of all its members, with index 0.
        proven_run: Highest number of a run that did not crash its worker; 0 if
            no run was suspected before. Records of other groups may still have
            lower numbers in `crashed_runs`, which do not count any more.
    """

    occurrence: int
    step: int
    index: int
    failures: int
    checkpoint: str
    highest_failed_run: int = 0
    failed_runs: tuple[int, ...] = ()
    crashed_runs: tuple[CrashedRun, ...] = ()
    proven_run: int = 0


class ProgressRecord(NamedTuple):
    """Stores the progress of a job in one group; written by the group's leader.

    Attributes:
        job_id: Identifier of the job.
        group: Group whose leader wrote the record.
        epoch: Epoch of that leader.
        state: State of the job in this group.
        last_run_number: Highest run number of the job that the leader has used
            or knows of.
        done_tasks: Tasks that are done, one item for each step and occurrence
            that has any.
        unfinished_tasks: Tasks that are not done and have failures, crashes or
            a checkpoint.
    """

    job_id: str
    group: str
    epoch: int
    state: model.JobState
    last_run_number: int = 0
    done_tasks: tuple[DoneTasks, ...] = ()
    unfinished_tasks: tuple[TaskProgress, ...] = ()

    def has_end(self, ended_run: ports.EndedRun) -> bool:
        """Returns whether the record shows a run as failed, or a task as done.
        """
        task = ended_run.task
        if ended_run.cause is ports.EndCause.FAILED:
            return ended_run.run in self.list_failed_runs(task)
        return any((done_tasks.occurrence, done_tasks.step) == (
            task.occurrence,
            task.step) and has_mask_index(done_tasks.done_mask, task.index)
                   for done_tasks in self.done_tasks)

    def list_failed_runs(self, task: model.TaskKey) -> tuple[int, ...]:
        """Returns the numbers of the failed runs of a task that is not done."""
        for progress in self.unfinished_tasks:
            if (progress.occurrence, progress.step, progress.index) == task[1:]:
                return progress.failed_runs
        return ()

    def drop_checkpoints(self) -> "ProgressRecord":
        """Returns the record with only the tasks whose failures count."""
        return self._replace(unfinished_tasks=tuple(
            task._replace(checkpoint="")
            for task in self.unfinished_tasks
            if task.failures or task.crashed_runs or task.proven_run))


class StepRunLimits(NamedTuple):
    """Tells which runs of some tasks of a step may have been given up.

    Attributes:
        occurrence: Number of the repetition of the job, from 0.
        step: Index of the step.
        limit: Runs with lower numbers may have ended as done although no leader
            knew it, and their task may have started again since.
        task_mask: Hexadecimal number in which bit i stands for the task with
            index i.
    """

    occurrence: int
    step: int
    limit: int
    task_mask: str


class RunLimitsRecord(NamedTuple):
    """Lists the runs of a job that may have been given up.

    It is stored before these tasks start again. The end of such a run is not
    acknowledged by any leader, as a later run has replaced its result. Daemons
    of former versions cannot read this record and go on without it, which they
    could not if `ProgressRecord` had the limits.

    Attributes:
        job_id: Identifier of the job.
        group: Group whose leader wrote the record.
        epoch: Epoch of that leader.
        limits: All limits that the leader knows.
    """

    job_id: str
    group: str
    epoch: int
    limits: tuple[StepRunLimits, ...]

    def has_run(self, task: model.TaskKey, run: int) -> bool:
        """Returns whether a run of a task may have been given up."""
        return any(
            (limits.occurrence, limits.step) == (task.occurrence, task.step) and
            run < limits.limit and has_mask_index(limits.task_mask, task.index)
            for limits in self.limits)


class FailedRuns(NamedTuple):
    """Lists failed runs of a task.

    Attributes:
        occurrence: Number of the repetition of the job, from 0.
        step: Index of the step.
        index: Index of the task in the step.
        runs: Numbers of the runs.
    """

    occurrence: int
    step: int
    index: int
    runs: tuple[int, ...]


class ReportedEndsRecord(NamedTuple):
    """Lists ends of runs that the leader of their worker got without the job.

    Each leader that has the job applies them. The writer cannot store them as
    its progress: that would need all progress which its group stored before.
    Daemons of former versions cannot read this record and go on without it.

    Attributes:
        job_id: Identifier of the job.
        group: Group whose leader wrote the record.
        epoch: Epoch of that leader.
        done_tasks: Tasks that are done, one item for each step and occurrence
            that has any.
        failed_runs: Failed runs, one item for each task that has any.
    """

    job_id: str
    group: str
    epoch: int
    done_tasks: tuple[DoneTasks, ...]
    failed_runs: tuple[FailedRuns, ...]


class MovedRecord(NamedTuple):
    """States that a leader handed tasks over to another group.

    None of these tasks has a run in the source group any more.

    Attributes:
        job_id: Identifier of the job.
        source_group: The group that hands the tasks over; tasks of other
            groups are not affected.
        task_indexes: Numbers of the moved tasks by
            `SteppedJob.compute_task_number`, which are the indexes if the job
            has one step; empty if all tasks of the job in the source group
            move.
        destination_group: The group that receives the tasks.
        move_number: Run number of the job that the source group took for this
            move and gives to no run. It identifies the move, and later runs of
            the job have higher numbers.
        waited_ms: Time in milliseconds for which the job has lacked capacity,
            in all its groups, since it last started a task. A duration needs no
            common clock. Like the next field, it is 0 in records of older
            daemons.
        moves_without_start: Number of moves of the whole job since it last
            started a task, with this one.
    """

    job_id: str
    source_group: str
    task_indexes: tuple[int, ...]
    destination_group: str
    move_number: int
    waited_ms: int = 0
    moves_without_start: int = 0


class LeaderRecord(NamedTuple):
    """States that a daemon claims or leads a group, or that it has resigned.

    Attributes:
        group: Name of the group.
        epoch: Number that rises with each new leader; fencing token of the
            leader's orders.
        node: Name of the daemon; empty when the leader resigned. A leader sends
            no order and renews no lease after its resignation.
        incarnation: Identity of the daemon's process.
        heartbeat_number: Number that rises with each heartbeat of the leader;
            0 in a claim. The writer of a claim starts no run, renews no lease
            and moves no job before it has stored a record with a higher number.
            Claims of older daemons have 1 and promise nothing.
        is_sole: Whether no run of an earlier leader can go on any more, also on
            workers that do not reply. Records of older daemons lack it.
    """

    group: str
    epoch: int
    node: str
    incarnation: str
    heartbeat_number: int
    is_sole: bool = False

    @property
    def is_claim(self) -> bool:
        """Whether the writer may not have acted as the leader yet."""
        return self.heartbeat_number == 0

    @property
    def has_resigned(self) -> bool:
        """Whether the leader has stopped in order."""
        return not self.node


class MemberRecord(NamedTuple):
    """Announces a running daemon and the address at which peers reach it.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of the daemon's process.
        address: `host:port` at which peers reach the daemon.
        domain: Failure domain of the daemon.
        heartbeat_number: Number that rises with each heartbeat of the daemon.
    """

    node: str
    incarnation: str
    address: str
    domain: str
    heartbeat_number: int


class CapacityRecord(NamedTuple):
    """States what the VM of a running daemon has.

    Daemons of former versions cannot read this record and go on without it,
    which they could not if `MemberRecord` had the fields.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of the daemon's process.
        processor_cores: Processor of the VM in cores; 0 if it is not known.
        link_mbit_s: Bandwidth of the VM's network link in Mbit/s; 0 if it is
            not known.
    """

    node: str
    incarnation: str
    processor_cores: float
    link_mbit_s: float


class WorkersRecord(NamedTuple):
    """Lists the workers of a group on which runs may exist.

    A leader starts runs only on workers that are stored here. Its successor
    therefore knows every worker that it has to query for runs, including those
    that the registry no longer lists.

    Attributes:
        group: Name of the group.
        epoch: Epoch of the leader that wrote the record.
        workers: Registry entry of each worker when the record was written.
    """

    group: str
    epoch: int
    workers: tuple[ports.WorkerEntry, ...]


class HandedOverRun(NamedTuple):
    """A run that had not certainly ended when its leader resigned.

    Attributes:
        task: The task.
        number: Number of the run.
        is_proven: Whether the run has shown that it does not crash its worker.
    """

    task: model.TaskKey
    number: int
    is_proven: bool


class HandedOverWorker(NamedTuple):
    """A worker with runs that had not certainly ended.

    Attributes:
        entry: Last registry entry of the worker.
        born_ms: Start time of the instance with the runs, in milliseconds since
            1970; 0 if the leader has not seen it.
        lease_ms: Longest time in milliseconds for which the runs can go on
            after the record was built, if the worker does not reply.
        runs: The runs.
    """

    entry: ports.WorkerEntry
    born_ms: int
    lease_ms: int
    runs: tuple[HandedOverRun, ...]


class HandoverRecord(NamedTuple):
    """Lists the runs that a resigning leader leaves to its successor.

    The leader sends no order and renews no lease after it has built the record.

    Attributes:
        group: Name of the group.
        epoch: Epoch of the leader that resigns.
        workers: Workers with runs that have not certainly ended.
        unseen_worker_ids: Workers on which other runs may exist: earlier
            leaders may have started them, and this leader has not seen them.
        unseen_wait_ms: Longest time in milliseconds for which such other runs
            can go on after the record was built.
        known_until_offset: Jobs that the group got at a higher offset have no
            such other runs.
    """

    group: str
    epoch: int
    workers: tuple[HandedOverWorker, ...]
    unseen_worker_ids: tuple[str, ...]
    unseen_wait_ms: int
    known_until_offset: int


class RemovedKey(NamedTuple):
    """Deletes the record under a key from the topic.

    Attributes:
        key: Key of the deleted record.
    """

    key: str


Record = (AcceptedRecord | CancelledRecord | EarlyCancelledRecord |
          ProgressRecord | MovedRecord | LeaderRecord | MemberRecord |
          CapacityRecord | WorkersRecord | HandoverRecord | RunLimitsRecord |
          ReportedEndsRecord | RemovedKey)

_RECORD_TYPES: dict[str, type] = {
    "j": AcceptedRecord,
    "c": CancelledRecord,
    "e": EarlyCancelledRecord,
    "p": ProgressRecord,
    "m": MovedRecord,
    "g": LeaderRecord,
    "n": MemberRecord,
    "v": CapacityRecord,
    "w": WorkersRecord,
    "h": HandoverRecord,
    "l": RunLimitsRecord,
    "r": ReportedEndsRecord,
}


def list_mask_indexes(mask: str) -> list[int]:
    """Returns the indexes whose bits are set in a hexadecimal number."""
    bits = int(mask, 16)
    return [index for index in range(bits.bit_length()) if bits >> index & 1]


def has_mask_index(mask: str, index: int) -> bool:
    """Returns whether the bit of an index is set in a hexadecimal number."""
    return bool(int(mask, 16) >> index & 1)


def build_key(record: Record) -> str:
    """Returns the key under which a record is stored."""
    if isinstance(record, RemovedKey):
        return record.key
    if isinstance(record, AcceptedRecord):
        return f"j/{record.job.job_id}/{record.acceptance_id}"
    if isinstance(record, LeaderRecord):
        return f"g/{record.group}"
    if isinstance(record, MemberRecord):
        return f"n/{record.node}"
    if isinstance(record, CapacityRecord):
        return f"v/{record.node}"
    if isinstance(record, WorkersRecord):
        return f"w/{record.group}"
    if isinstance(record, HandoverRecord):
        return f"h/{record.group}"
    if isinstance(record, CancelledRecord):
        return f"c/{record.job_id}"
    if isinstance(record, EarlyCancelledRecord):
        return f"e/{record.job_id}/{record.cancellation_id}"
    if isinstance(record, RunLimitsRecord):
        return f"l/{record.job_id}/{record.group}"
    if isinstance(record, ReportedEndsRecord):
        return f"r/{record.job_id}/{record.group}"
    if isinstance(record, ProgressRecord):
        return f"p/{record.job_id}/{record.group}"
    # Each move applies on top of the earlier ones, so each has its own key.
    return f"m/{record.job_id}/{record.source_group}/{record.move_number}"


def build_withdrawal(record: AcceptedRecord) -> RemovedKey:
    """Returns a record without effect that takes the place of an acceptance.

    It removes a key that no record has. To remove the key of the acceptance
    would remove the job, which another acceptance may have created.
    """
    return RemovedKey(f"e/{record.job.job_id}/{record.acceptance_id}/withdrawn")


def _convert_unsupported_value(value: object) -> object:
    if isinstance(value, model.JobState):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(f"cannot encode a value of type {type(value).__name__}")


def encode_value(record: object) -> bytes:
    """Encodes a record, or a value nested in one, as msgpack."""
    return msgpack.packb(record, default=_convert_unsupported_value)


def encode_record(record: Record) -> ports.KeyedRecord:
    """Encodes a record as the key and value that the store takes."""
    value = b"" if isinstance(record, RemovedKey) else encode_value(record)
    return ports.KeyedRecord(build_key(record), value)


def decode_value(data: bytes, value_type: type) -> object:
    """Decodes a record, or a value nested in one, from msgpack.

    Raises:
        ProtocolError: The bytes do not have the expected form.
    """
    try:
        return msgspec.convert(msgpack.unpackb(data), value_type, strict=True)
    except (ValueError, RecursionError, msgpack.UnpackException,
            msgspec.ValidationError) as error:
        raise errors.ProtocolError(f"unreadable {value_type.__name__}: "
                                   f"{error!s:.200}") from error


def decode_record(stored: ports.KeyedRecord) -> Record | None:
    """Decodes a stored record; returns None for the deletion of its key.

    Raises:
        ProtocolError: The key is of an unknown type, or the value cannot be
            decoded or belongs under another key.
    """
    value_type = _RECORD_TYPES.get(stored.key.partition("/")[0])
    if value_type is None:
        raise errors.ProtocolError(f"unknown type of key {stored.key!r}")
    if not stored.value:
        return None
    record = decode_value(stored.value, value_type)
    if build_key(record) != stored.key:
        raise errors.ProtocolError(
            f"record of the key {build_key(record)[:80]!r} is stored under "
            f"another one")
    return record
