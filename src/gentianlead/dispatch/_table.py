"""State of jobs, leaders and members, built from the records of the job topic.
"""

import types
from typing import Mapping, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _member_ranks
from gentianlead.dispatch import _records


class JobEntry(NamedTuple):
    """State of a job according to the topic.

    Attributes:
        job: The job as it was accepted.
        offset: Offset of the acceptance that took effect.
        assignment: Present groups of the tasks: either one group that has all
            tasks of the job, or the group of each task, by the number that
            `SteppedJob.compute_task_number` returns.
        assignment_offsets: For each group that has tasks of the job, the offset
            of the acceptance or move from which on it has had any.
        last_run_number: Highest run number in the job's progress records and
            moves.
        is_cancelled: Whether a caller cancelled the job.
        progress_by_group: Newest progress record of each group, by group.
        last_move_numbers: Highest `MovedRecord.move_number` of the moves of
            tasks out of a group, by that group.
        waited_ms: `MovedRecord.waited_ms` of the last move of the whole job; 0
            once a progress record shows a later run.
        moves_without_start: `MovedRecord.moves_without_start`, likewise.
        run_limits_by_group: Newest record of run limits of each group.
        reported_ends_by_group: Newest record of ends that the leader of a group
            got without having the job, by group.
    """

    job: model.SteppedJob
    offset: int
    assignment: tuple[str, ...]
    assignment_offsets: dict[str, int]
    last_run_number: int = 0
    is_cancelled: bool = False
    progress_by_group: Mapping[
        str, _records.ProgressRecord] = types.MappingProxyType({})
    last_move_numbers: Mapping[str, int] = types.MappingProxyType({})
    waited_ms: int = 0
    moves_without_start: int = 0
    run_limits_by_group: Mapping[
        str, _records.RunLimitsRecord] = types.MappingProxyType({})
    reported_ends_by_group: Mapping[
        str, _records.ReportedEndsRecord] = types.MappingProxyType({})

    @property
    def state(self) -> model.JobState:
        """State of the job over all its groups, as reported to callers.

        This is the final state of any group, else `CANCELLED` if a caller
        cancelled the job, else `RUNNING` if it runs in any group.
        """
        states = {record.state for record in self.progress_by_group.values()}
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
        """All groups that have tasks of the job, without repetitions."""
        return tuple(dict.fromkeys(self.assignment))

    def has_task(self, group: str, step_index: int, task_index: int) -> bool:
        """Returns whether a task is assigned to `group`."""
        if len(self.assignment) == 1:
            return self.assignment[0] == group
        number = self.job.compute_task_number(step_index, task_index)
        return (number < len(self.assignment) and
                self.assignment[number] == group)


def build_job_entry(job: model.SteppedJob, offset: int) -> JobEntry:
    """Builds the state of a job whose acceptance is stored at an offset."""
    return JobEntry(job, offset, job.assignment,
                    {group: offset for group in job.assignment})


class LeaderEntry(NamedTuple):
    """The leader of a group according to the topic.

    Attributes:
        record: Newest leader record of the group.
        epoch_offset: Offset of the first leader record of the same epoch that
            this process has read.
        last_record_read_at: Monotonic time in seconds at which the last record
            of any type that the leader wrote was read.
        epoch_read_at: Monotonic time in seconds at which this process first
            read a record of the leader.
        former: Entry of the former leader, which can write no record any more,
            without that leader's own `former`; None if this process has read
            none. A daemon that has only claimed the group counts only if no
            earlier leader is known.
    """

    record: _records.LeaderRecord
    epoch_offset: int
    last_record_read_at: float
    epoch_read_at: float = 0.0
    former: "LeaderEntry | None" = None


class HandoverEntry(NamedTuple):
    """What a leader left to its successor when it resigned.

    Attributes:
        record: The record of the leader.
        read_at: Monotonic time in seconds at which it was read, which is after
            the leader built it.
    """

    record: _records.HandoverRecord
    read_at: float


class MemberEntry(NamedTuple):
    """A daemon that announced itself in the topic.

    Attributes:
        record: Newest member record of the daemon.
        seen_at: Monotonic time in seconds at which this record was read.
        capacity: Capacity of the daemon's VM by
            `_member_ranks.compute_capacity`; 0 if it is not known.
    """

    record: _records.MemberRecord
    seen_at: float
    capacity: float = 0.0


class JobTable:
    """Builds the state of the job topic from its records.

    Example:
        >>> table = JobTable()
        >>> table.apply(stored, now=clock.monotonic())
        >>> table.jobs["5c0e7a21d94b36f8"].state
        <JobState.QUEUED: 'queued'>

    Attributes:
        jobs: State of each job, by job identifier.
        leaders: Leader of each group, by group.
        members: Daemons that announced themselves, by name.
        recorded_workers: Registry entries of the workers on which runs may
            exist, by group.
        handovers: Newest record that a resigning leader of the group left to
            its successor, by group.
        position: Offset of the next record to read.
        decoded_record_count: Number of records decoded so far.
        changed_jobs: Identifiers of jobs that changed or were removed since the
            last `take_changed_jobs`.
        keys_by_job: Keys under which records of a job are stored, by job
            identifier.
        early_cancellations: Keys of the cancellations of a job that hold for
            acceptances stored later, too, by job identifier. The job need not
            exist.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobEntry] = {}
        self.leaders: dict[str, LeaderEntry] = {}
        self.members: dict[str, MemberEntry] = {}
        self.recorded_workers: dict[str, tuple[ports.WorkerEntry, ...]] = {}
        self.handovers: dict[str, HandoverEntry] = {}
        self.position = 0
        self.decoded_record_count = 0
        self.changed_jobs: set[str] = set()
        self.keys_by_job: dict[str, set[str]] = {}
        self.early_cancellations: dict[str, set[str]] = {}
        # Newest capacity record of each daemon, by name.
        self._capacities: dict[str, _records.CapacityRecord] = {}
        # Records that were read before the acceptance of their job, with their
        # offsets, by job identifier. They exist because pages of newest records
        # are not in offset order.
        self._early_records: dict[str, list[tuple[int, _records.Record]]] = {}

    def apply(self, stored: ports.KeyedRecord, now: float) -> None:
        """Applies a stored record to the state.

        `now` is the monotonic time in seconds at which the record was read.

        Raises:
            ProtocolError: The record cannot be decoded and has no effect.
        """
        self.position = max(self.position, stored.offset + 1)
        self.decoded_record_count += 1
        record = _records.decode_record(stored)
        if record is None:
            self._remove_key(stored.key)
        elif isinstance(record, _records.LeaderRecord):
            self._apply_leader(stored.offset, record, now)
        elif isinstance(record, _records.MemberRecord):
            self.members[record.node] = MemberEntry(record, now)
            self._update_capacity(record.node)
        elif isinstance(record, _records.CapacityRecord):
            self._capacities[record.node] = record
            self._update_capacity(record.node)
        elif isinstance(record, _records.WorkersRecord):
            self.recorded_workers[record.group] = record.workers
            self.mark_leader_alive(record.group, record.epoch, now)
        elif isinstance(record, _records.HandoverRecord):
            self.handovers[record.group] = HandoverEntry(record, now)
            self.mark_leader_alive(record.group, record.epoch, now)
        elif isinstance(record, _records.AcceptedRecord):
            self._add_key(stored.key)
            self._apply_accepted(stored.offset, record)
        elif isinstance(record, _records.EarlyCancelledRecord):
            self._add_key(stored.key)
            self.early_cancellations.setdefault(record.job_id,
                                                set()).add(stored.key)
            self._cancel_job(record.job_id)
        else:
            self._add_key(stored.key)
            self._apply_to_job(stored.offset, record, now)

    def load_newest_records(
            self, batch: ports.KeyedBatch,
            now: float) -> list[tuple[ports.KeyedRecord, Exception]]:
        """Rebuilds the whole state from the newest record of each key.

        All jobs then count as changed. What is known about the takeover by the
        leader of a group is kept while the group has the same leader, and when
        a hand-over was first read. No error ends the load: it would end the
        next one, too.

        Returns:
            The records that cannot be decoded or applied, each with its error.
        """
        known_leaders = dict(self.leaders)
        known_handovers = dict(self.handovers)
        self.jobs.clear()
        self.leaders.clear()
        self.members.clear()
        self._capacities.clear()
        self.recorded_workers.clear()
        self.handovers.clear()
        self._early_records.clear()
        self.keys_by_job.clear()
        self.early_cancellations.clear()
        failures: list[tuple[ports.KeyedRecord, Exception]] = []
        for stored in sorted(batch.records, key=lambda record: record.offset):
            try:
                self.apply(stored, now)
            except Exception as error:  # pylint: disable=broad-exception-caught
                failures.append((stored, error))
        for known_leader in known_leaders.values():
            self._restore_takeover(known_leader)
        for group, known_entry in known_handovers.items():
            entry = self.handovers.get(group)
            if entry is not None and entry.record == known_entry.record:
                self.handovers[group] = known_entry
        self.position = batch.end_offset
        self.changed_jobs.update(self.jobs)
        return failures

    def _restore_takeover(self, known_leader: LeaderEntry) -> None:
        # Between leaders of different epochs there may have been others, whose
        # records were replaced before they were read.
        group = known_leader.record.group
        leader = self.leaders.get(group)
        if (leader is not None and
                leader.record.epoch == known_leader.record.epoch):
            self.leaders[group] = leader._replace(
                epoch_read_at=known_leader.epoch_read_at,
                former=known_leader.former)

    def count_early_cancellations(self) -> int:
        """Returns the number of stored keys in `early_cancellations`."""
        return sum(map(len, self.early_cancellations.values()))

    def take_changed_jobs(self) -> set[str]:
        """Returns and clears `changed_jobs`."""
        changed_jobs, self.changed_jobs = self.changed_jobs, set()
        return changed_jobs

    def mark_leader_alive(self, group: str, epoch: int, now: float) -> None:
        """Sets `last_record_read_at` of a group's leader to `now`.

        Does nothing if the epoch is not that of the present leader, or if a
        later record has been read.
        """
        entry = self.leaders.get(group)
        if (entry is not None and entry.record.epoch == epoch and
                entry.last_record_read_at < now):
            self.leaders[group] = entry._replace(last_record_read_at=now)

    def find_handover(self, group: str) -> HandoverEntry | None:
        """Returns what the former leader of a group left, or None.

        The former leader is the one before the present leader, without daemons
        that have only claimed the group.
        """
        leader = self.leaders.get(group)
        entry = self.handovers.get(group)
        if (leader is None or leader.former is None or entry is None or
                entry.record.epoch != leader.former.record.epoch):
            return None
        return entry

    def is_superseded(self, group: str, epoch: int) -> bool:
        """Returns whether the group has a leader with a higher epoch."""
        entry = self.leaders.get(group)
        return entry is not None and entry.record.epoch > epoch

    def _add_key(self, key: str) -> None:
        job_id = key.split("/")[1]
        self.keys_by_job.setdefault(job_id, set()).add(key)

    def _remove_key(self, key: str) -> None:
        key_prefix, _, key_suffix = key.partition("/")
        job_id = key_suffix.partition("/")[0]
        if key_prefix == "n":
            self.members.pop(key_suffix, None)
            return
        if key_prefix == "v":
            self._capacities.pop(key_suffix, None)
            self._update_capacity(key_suffix)
            return
        keys = self.keys_by_job.get(job_id)
        if keys is not None:
            keys.discard(key)
            if not keys:
                del self.keys_by_job[job_id]
        if key_prefix == "j":
            self.jobs.pop(job_id, None)
            self.changed_jobs.add(job_id)
        elif key_prefix == "e":
            cancellation_keys = self.early_cancellations.get(job_id, set())
            cancellation_keys.discard(key)
            if not cancellation_keys:
                self.early_cancellations.pop(job_id, None)
        else:
            self._early_records.pop(job_id, None)

    def _update_capacity(self, node: str) -> None:
        """Sets the capacity of a member from the record of its own process.

        A daemon of a former version stores no such record when it restarts.
        """
        member = self.members.get(node)
        if member is None:
            return
        record = self._capacities.get(node)
        capacity = 0.0
        if (record is not None and
                record.incarnation == member.record.incarnation):
            capacity = _member_ranks.compute_capacity(record.processor_cores,
                                                      record.link_mbit_s)
        self.members[node] = member._replace(capacity=capacity)

    def _apply_leader(self, offset: int, record: _records.LeaderRecord,
                      now: float) -> None:
        known_leader = self.leaders.get(record.group)
        if (known_leader is not None and
                record.epoch < known_leader.record.epoch):
            return
        if known_leader is None:
            self.leaders[record.group] = LeaderEntry(record,
                                                     offset,
                                                     now,
                                                     epoch_read_at=now)
        elif record.epoch > known_leader.record.epoch:
            former = known_leader
            if known_leader.record.is_claim and known_leader.former is not None:
                former = known_leader.former
            self.leaders[record.group] = LeaderEntry(
                record, offset, now, now, former._replace(former=None))
        else:
            self.leaders[record.group] = known_leader._replace(
                record=record, last_record_read_at=now)

    def _apply_accepted(self, offset: int,
                        record: _records.AcceptedRecord) -> None:
        job = record.job
        known_job = self.jobs.get(job.job_id)
        if known_job is not None and known_job.offset <= offset:
            return
        self.jobs[job.job_id] = build_job_entry(job, offset)
        self.changed_jobs.add(job.job_id)
        for early_offset, early_record in self._early_records.pop(
                job.job_id, ()):
            self._apply_to_job(early_offset, early_record, 0.0)
        if job.job_id in self.early_cancellations:
            self._cancel_job(job.job_id)

    def _cancel_job(self, job_id: str) -> None:
        entry = self.jobs.get(job_id)
        if entry is not None:
            self.jobs[job_id] = entry._replace(is_cancelled=True)
            self.changed_jobs.add(job_id)

    def _apply_to_job(self, offset: int, record: _records.Record,
                      now: float) -> None:
        entry = self.jobs.get(record.job_id)
        if isinstance(record,
                      (_records.ProgressRecord, _records.RunLimitsRecord,
                       _records.ReportedEndsRecord)):
            self.mark_leader_alive(record.group, record.epoch, now)
        elif isinstance(record, _records.MovedRecord):
            # Only the present leader of a group can store its moves.
            leader = self.leaders.get(record.source_group)
            if leader is not None:
                self.mark_leader_alive(record.source_group, leader.record.epoch,
                                       now)
        if entry is None:
            self._early_records.setdefault(record.job_id, []).append(
                (offset, record))
            return
        if isinstance(record, _records.CancelledRecord):
            entry = entry._replace(is_cancelled=True)
        elif isinstance(record, _records.MovedRecord):
            entry = _apply_move(entry, offset, record)
        elif isinstance(record, _records.ProgressRecord):
            entry = _apply_progress(entry, record)
        elif isinstance(record, _records.RunLimitsRecord):
            entry = entry._replace(run_limits_by_group={
                **entry.run_limits_by_group, record.group: record
            })
        elif isinstance(record, _records.ReportedEndsRecord):
            entry = entry._replace(reported_ends_by_group={
                **entry.reported_ends_by_group, record.group: record
            })
        self.jobs[record.job_id] = entry
        self.changed_jobs.add(record.job_id)


def _apply_progress(entry: JobEntry,
                    record: _records.ProgressRecord) -> JobEntry:
    progress_by_group = {**entry.progress_by_group, record.group: record}
    if record.last_run_number <= entry.last_run_number:
        return entry._replace(progress_by_group=progress_by_group)
    return entry._replace(last_run_number=record.last_run_number,
                          progress_by_group=progress_by_group,
                          waited_ms=0,
                          moves_without_start=0)


def _apply_move(entry: JobEntry, offset: int,
                record: _records.MovedRecord) -> JobEntry:
    assignment = entry.assignment
    if record.task_indexes and len(assignment) == 1:
        assignment *= entry.job.task_count
    assignment = tuple(
        record.destination_group if group == record.source_group and
        (not record.task_indexes or number in record.task_indexes) else group
        for number, group in enumerate(assignment))
    assignment_offsets = {
        group: entry.assignment_offsets.get(group, offset)
        for group in assignment
    }
    move_number = max(record.move_number,
                      entry.last_move_numbers.get(record.source_group, 0))
    if not record.task_indexes:
        entry = entry._replace(waited_ms=record.waited_ms,
                               moves_without_start=record.moves_without_start)
    return entry._replace(assignment=assignment,
                          assignment_offsets=assignment_offsets,
                          last_run_number=max(entry.last_run_number,
                                              record.move_number),
                          last_move_numbers={
                              **entry.last_move_numbers, record.source_group:
                                  move_number
                          })
