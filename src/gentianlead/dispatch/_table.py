"""Fold of the job topic: what all daemons know of jobs, leaders and members."""

import types
from typing import Mapping, NamedTuple

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _records


class JobEntry(NamedTuple):
    """A job as the topic describes it.

    Attributes:
        job: The job as it was accepted.
        offset: Offset of the acceptance that took effect.
        assignment: Groups of the tasks, as in the job.
        since: Offset from which each group has had tasks of the job.
        last_run: Highest number of a run before the last move.
        is_cancelled: Whether a caller cancelled it.
        progress: Newest progress by group.
        moves: Number of the last move that a group made, by group.
    """

    job: model.SteppedJob
    offset: int
    assignment: tuple[str, ...]
    since: dict[str, int]
    last_run: int = 0
    is_cancelled: bool = False
    progress: Mapping[str, _records.ProgressRecord] = types.MappingProxyType({})
    moves: Mapping[str, int] = types.MappingProxyType({})

    @property
    def state(self) -> model.JobState:
        """State that a caller is told."""
        states = {record.state for record in self.progress.values()}
        for state in states:
            if state.is_final:
                return state
        if self.is_cancelled:
            return model.JobState.CANCELLED
        if model.JobState.RUNNING in states:
            return model.JobState.RUNNING
        return model.JobState.QUEUED

    @property
    def groups(self) -> tuple[str, ...]:
        """All groups that have tasks of the job."""
        return tuple(dict.fromkeys(self.assignment))

    def has_task(self, group: str, index: int) -> bool:
        """Returns whether a group has a task of a step, by its index."""
        if len(self.assignment) == 1:
            return self.assignment[0] == group
        return (index < len(self.assignment) and
                self.assignment[index] == group)


def build_entry(job: model.SteppedJob, offset: int) -> JobEntry:
    """Returns a job that was accepted at an offset."""
    return JobEntry(job, offset, job.assignment,
                    {group: offset for group in job.assignment})


class LeaderEntry(NamedTuple):
    """The leader of a group.

    Attributes:
        record: Newest record.
        offset: Offset of the first record of its epoch.
        confirmed_at: Monotonic time in seconds at which the newest record, or
            another record of this leader, was read.
    """

    record: _records.LeaderRecord
    offset: int
    confirmed_at: float


class MemberEntry(NamedTuple):
    """A member.

    Attributes:
        record: Newest record.
        seen_at: Monotonic time in seconds at which it was read.
    """

    record: _records.MemberRecord
    seen_at: float


class JobTable:
    """State of the topic up to a position.

    Example:
        >>> table = JobTable()
        >>> table.apply(stored, now=clock.monotonic())
        >>> table.jobs["5c0e7a21d94b36f8"].state
        <JobState.QUEUED: 'queued'>

    Attributes:
        jobs: Jobs by identifier.
        leaders: Leaders by group.
        members: Members by name.
        workers: Workers on which runs may exist, by group.
        position: Offset of the next record.
        changed: Jobs that changed since the last `take_changed`.
        keys: All keys of each job that are stored.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobEntry] = {}
        self.leaders: dict[str, LeaderEntry] = {}
        self.members: dict[str, MemberEntry] = {}
        self.workers: dict[str, tuple[ports.WorkerEntry, ...]] = {}
        self.position = 0
        self.changed: set[str] = set()
        self.keys: dict[str, set[str]] = {}
        # Records of a job whose acceptance was not read yet: pages of newest
        # records are not in offset order.
        self._early: dict[str, list[tuple[int, _records.Record]]] = {}

    def apply(self, stored: ports.KeyedRecord, now: float) -> None:
        """Applies a record.

        Raises:
            ProtocolError: The record cannot be read and has no effect.
        """
        self.position = max(self.position, stored.offset + 1)
        record = _records.decode_record(stored)
        if record is None:
            self._remove(stored.key)
        elif isinstance(record, _records.LeaderRecord):
            self._apply_leader(stored.offset, record, now)
        elif isinstance(record, _records.MemberRecord):
            self.members[record.node] = MemberEntry(record, now)
        elif isinstance(record, _records.WorkersRecord):
            self.workers[record.group] = record.workers
            self.confirm_leader(record.group, record.epoch, now)
        elif isinstance(record, _records.AcceptedRecord):
            self._note_key(stored.key)
            self._apply_accepted(stored.offset, record)
        else:
            self._note_key(stored.key)
            self._apply_to_job(stored.offset, record, now)

    def apply_newest(self, batch: ports.KeyedBatch, now: float) -> list[str]:
        """Replaces the state by the newest records of all keys.

        Returns:
            Descriptions of the records that cannot be read.
        """
        self.jobs.clear()
        self.leaders.clear()
        self.members.clear()
        self.workers.clear()
        self._early.clear()
        self.keys.clear()
        problems = []
        for stored in sorted(batch.records, key=lambda record: record.offset):
            try:
                self.apply(stored, now)
            except errors.ProtocolError as error:
                problems.append(f"{stored.key}: {error}")
        self.position = batch.end_offset
        self.changed.update(self.jobs)
        return problems

    def take_changed(self) -> set[str]:
        """Returns the jobs that changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def confirm_leader(self, group: str, epoch: int, now: float) -> None:
        """Notes a sign of life of a leader."""
        entry = self.leaders.get(group)
        if entry is not None and entry.record.epoch == epoch:
            self.leaders[group] = entry._replace(confirmed_at=now)

    def _note_key(self, key: str) -> None:
        job_id = key.split("/")[1]
        self.keys.setdefault(job_id, set()).add(key)

    def _remove(self, key: str) -> None:
        kind, _, name = key.partition("/")
        job_id = name.partition("/")[0]
        if kind == "n":
            self.members.pop(name, None)
            return
        keys = self.keys.get(job_id)
        if keys is not None:
            keys.discard(key)
            if not keys:
                del self.keys[job_id]
        if kind == "j":
            self.jobs.pop(job_id, None)
            self.changed.add(job_id)
        else:
            self._early.pop(job_id, None)

    def _apply_leader(self, offset: int, record: _records.LeaderRecord,
                      now: float) -> None:
        known = self.leaders.get(record.group)
        if known is not None and record.epoch < known.record.epoch:
            return
        is_new = known is None or record.epoch > known.record.epoch
        self.leaders[record.group] = LeaderEntry(
            record, offset if is_new else known.offset, now)

    def _apply_accepted(self, offset: int,
                        record: _records.AcceptedRecord) -> None:
        job = record.job
        known = self.jobs.get(job.job_id)
        if known is not None and known.offset <= offset:
            return
        self.jobs[job.job_id] = build_entry(job, offset)
        self.changed.add(job.job_id)
        for early_offset, early in self._early.pop(job.job_id, ()):
            self._apply_to_job(early_offset, early, 0.0)

    def _apply_to_job(self, offset: int, record: _records.Record,
                      now: float) -> None:
        entry = self.jobs.get(record.job_id)
        if isinstance(record, _records.ProgressRecord):
            self.confirm_leader(record.group, record.epoch, now)
        if entry is None:
            self._early.setdefault(record.job_id, []).append((offset, record))
            return
        if isinstance(record, _records.CancelledRecord):
            entry = entry._replace(is_cancelled=True)
        elif isinstance(record, _records.MovedRecord):
            entry = _apply_move(entry, offset, record)
        elif isinstance(record, _records.ProgressRecord):
            entry = entry._replace(progress={
                **entry.progress, record.group: record
            },
                                   last_run=max(entry.last_run,
                                                record.last_run))
        self.jobs[record.job_id] = entry
        self.changed.add(record.job_id)


def _apply_move(entry: JobEntry, offset: int,
                record: _records.MovedRecord) -> JobEntry:
    assignment = tuple(
        record.target if group == record.origin and
        (not record.indexes or index in record.indexes) else group
        for index, group in enumerate(entry.assignment))
    since = {group: entry.since.get(group, offset) for group in assignment}
    number = max(record.last_run, entry.moves.get(record.origin, 0))
    return entry._replace(assignment=assignment,
                          since=since,
                          last_run=max(entry.last_run, record.last_run),
                          moves={
                              **entry.moves, record.origin: number
                          })
