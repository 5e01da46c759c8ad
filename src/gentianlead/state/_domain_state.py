"""State machine of a failure domain's stream: members, workers, jobs, runs."""

import collections
import datetime
from typing import NamedTuple

import msgspec

from gentianlead import errors
from gentianlead import model
from gentianlead.state import _domain_job
from gentianlead.state import _state_machine

MAX_TOMBSTONES = 50_000
"""Greatest number of closed jobs whose tombstones are stored. One more
tombstone removes the oldest. A tombstone prevents a delayed `JobOpened` of an
old epoch from reopening a job that now runs in another domain."""

FINISHED_REASON = "finished"
"""Reason that observers receive for the end of a run that finished its task."""

TaskKey = tuple[str, int]
"""Job id and index of a task."""


class Member(NamedTuple):
    """A daemon that has joined the failure domain.

    Attributes:
        member: Identifier of the daemon's incarnation.
        seat: Number of the entry VM in the domain, from 0, as in the settings
            of the daemon.
        peer_address: `host:port` of the daemon's listener for other daemons.
        join_offset: Offset of the daemon's `MemberJoined` record.
        last_heartbeat_offset: Offset of the daemon's last `MemberHeartbeat`,
            or of `MemberJoined` before the first heartbeat.
    """

    member: str
    seat: int
    peer_address: str
    join_offset: int
    last_heartbeat_offset: int


class LiveRun(NamedTuple):
    """A run whose claim was accepted and that has not ended.

    Attributes:
        job_id: Identifier of the job.
        task: Index of the task in the job.
        run: Number of the run; increases with each run of the task.
        worker: Name of the worker on which capacity is reserved for the run.
        resources: Resources reserved for the run.
        holder: Incarnation of the daemon that renews the lease of the run.
        fence_token: Fencing token of the holder; 1 for the holder in the claim
            and one more after each change of the holder.
        claim_offset: Offset of the run's `TaskClaimed` record.
    """

    job_id: str
    task: int
    run: int
    worker: str
    resources: model.Resources
    holder: str
    fence_token: int
    claim_offset: int


class WorkerState:
    """Capacity of a worker and the live runs that use it.

    Attributes:
        name: Name of the worker.
        rack: Name of the rack that the worker is in.
        capacity: Resources of the worker that tasks may use.
        free: Free capacity: `capacity` minus the resources of all live runs.
            A component is negative after the capacity was reduced below the
            resources in use; every claim on the worker is then rejected.
        runs: Job id and index of the task of each live run on the worker.
    """

    __slots__ = ("name", "rack", "capacity", "free", "runs")

    def __init__(self, name: str, rack: str, capacity: model.Resources):
        self.name = name
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.runs: set[TaskKey] = set()


class DomainObserver:
    """Receives changes of workers, jobs and runs of a `DomainStateMachine`.

    Changes of members are not reported. The methods of this class do nothing;
    subclasses use the calls to keep indexes of the state up to date without
    scanning the state.
    """

    def on_worker_changed(self, worker: str) -> None:
        """Called when the free capacity of a worker may have changed.

        This is after the worker was added, updated or removed, and after each
        change of a run on it.

        Args:
            worker: Name of the worker.
        """

    def on_job_changed(self, job_id: str) -> None:
        """Called after a job opened or closed, or one of its runs changed."""

    def on_run_changed(self, key: TaskKey) -> None:
        """Called after a run was claimed, ended or got another holder.

        Args:
            key: Job id and index of the task.
        """

    def on_run_ended(self, run: LiveRun, reason: str) -> None:
        """Called after a run ended, before `on_run_changed`.

        Args:
            run: The run as it was before it ended.
            reason: Reason in the `TaskReleased` record, or `FINISHED_REASON`.
        """

    def on_reset(self) -> None:
        """Called after `load` replaced the whole state."""


class _SerializedState(NamedTuple):
    """State of a domain's stream in the form that snapshots contain."""

    members: list[Member]
    workers: list[tuple[str, str, model.Resources]]
    jobs: list[_domain_job.SerializedJob]
    runs: list[LiveRun]
    tombstones: list[tuple[str, _domain_job.Tombstone]]


class DomainStateMachine(_state_machine.StateMachine):
    """Builds the state of one failure domain; see `docs/design.md`.

    A claim is rejected if the worker has too little free capacity or the task
    already has a live run, also when several daemons race to claim.

    Attributes:
        members: Daemons that have joined and neither left nor been removed
            since, by incarnation.
        workers: Workers of the domain by name.
        jobs: Open jobs by job id.
        runs: Live runs by job id and index of the task.
        tombstones: Tombstones of closed jobs by job id, in the order in which
            the jobs were last closed.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.workers: dict[str, WorkerState] = {}
        self.jobs: dict[str, _domain_job.DomainJob] = {}
        self.runs: dict[TaskKey, LiveRun] = {}
        self.tombstones: collections.OrderedDict[str, _domain_job.Tombstone] = (
            collections.OrderedDict())
        # These counts are not part of snapshots, so that older versions can
        # load them. A run whose claim a snapshot contains has no count.
        self._heartbeat_counts: dict[str, int] = {}
        self._heartbeats_at_claim: dict[TaskKey, int] = {}
        self._heartbeats_before_takeover: dict[TaskKey, int] = {}
        # Leases that holders have stopped renewing, in milliseconds: those of
        # the present holders, and those of the holders before them. They are
        # not part of snapshots either.
        self._ended_renewals: dict[TaskKey, int] = {}
        self._former_leases: dict[TaskKey, int] = {}
        self._observers: list[DomainObserver] = []
        self._handlers_by_record_type = {
            model.MemberJoined: self._apply_member_joined,
            model.MemberHeartbeat: self._apply_member_heartbeat,
            model.MemberLeft: self._apply_member_left,
            model.WorkerPut: self._apply_worker_put,
            model.WorkerRemoved: self._apply_worker_removed,
            model.JobOpened: self._apply_job_opened,
            model.JobClosed: self._apply_job_closed,
            model.TaskClaimed: self._apply_task_claimed,
            model.TaskFinished: self._apply_task_finished,
            model.TaskReleased: self._apply_task_released,
            model.HolderChanged: self._apply_holder_changed,
            model.RenewalsEnded: self._apply_renewals_ended,
        }

    def add_observer(self, observer: DomainObserver) -> None:
        """Adds an observer of all later changes of workers, jobs and runs."""
        self._observers.append(observer)

    def apply(self, offset: int,
              record: model.Record) -> _state_machine.RecordVerdict:
        handler = self._handlers_by_record_type.get(type(record))
        if handler is None:
            return _state_machine.reject(
                f"{type(record).__name__} is not for this stream")
        return handler(offset, record)

    def _apply_member_joined(
            self, offset: int,
            record: model.MemberJoined) -> _state_machine.RecordVerdict:
        if record.member in self.members:
            return _state_machine.reject("the member has already joined")
        self.members[record.member] = Member(record.member, record.seat,
                                             record.peer_address, offset,
                                             offset)
        return _state_machine.ACCEPTED

    def _apply_member_heartbeat(
            self, offset: int,
            record: model.MemberHeartbeat) -> _state_machine.RecordVerdict:
        member = self.members.get(record.member)
        if member is None:
            return _state_machine.reject(
                "the member has not joined or was removed")
        self.members[record.member] = member._replace(
            last_heartbeat_offset=offset)
        self._heartbeat_counts[record.member] = self._heartbeat_counts.get(
            record.member, 0) + 1
        return _state_machine.ACCEPTED

    def _apply_member_left(
            self, offset: int,
            record: model.MemberLeft) -> _state_machine.RecordVerdict:
        del offset
        if self.members.pop(record.member, None) is None:
            return _state_machine.reject("the member has not joined")
        self._heartbeat_counts.pop(record.member, None)
        return _state_machine.ACCEPTED

    def _apply_worker_put(
            self, offset: int,
            record: model.WorkerPut) -> _state_machine.RecordVerdict:
        del offset
        worker = self.workers.get(record.worker)
        if worker is None:
            worker = WorkerState(record.worker, record.rack, record.capacity)
            self.workers[record.worker] = worker
        claimed_resources = worker.capacity.minus(worker.free)
        worker.rack = record.rack
        worker.capacity = record.capacity
        worker.free = record.capacity.minus(claimed_resources)
        self._notify_worker_changed(record.worker)
        return _state_machine.ACCEPTED

    def _apply_worker_removed(
            self, offset: int,
            record: model.WorkerRemoved) -> _state_machine.RecordVerdict:
        del offset
        worker = self.workers.get(record.worker)
        if worker is None:
            return _state_machine.reject("the worker is unknown")
        if worker.runs:
            return _state_machine.reject("runs are claimed on the worker")
        del self.workers[record.worker]
        self._notify_worker_changed(record.worker)
        return _state_machine.ACCEPTED

    def _apply_job_opened(
            self, offset: int,
            record: model.JobOpened) -> _state_machine.RecordVerdict:
        job_id = record.spec.job_id
        if job_id in self.jobs:
            return _state_machine.reject("the job is already open")
        tombstone = self.tombstones.get(job_id)
        if tombstone is not None and record.epoch <= tombstone.epoch:
            return _state_machine.reject(f"epoch {record.epoch} was closed")
        self.jobs[job_id] = _domain_job.DomainJob(record.spec, record.epoch,
                                                  record.done,
                                                  record.checkpoints,
                                                  record.crashes, offset)
        self._notify_job_changed(job_id)
        return _state_machine.ACCEPTED

    def _apply_job_closed(
            self, offset: int,
            record: model.JobClosed) -> _state_machine.RecordVerdict:
        del offset
        job = self.jobs.get(record.job_id)
        if job is not None and record.epoch < job.epoch:
            return _state_machine.reject(f"the open epoch is {job.epoch}")
        if job is not None and job.live_tasks:
            return _state_machine.reject(f"{len(job.live_tasks)} runs are live")
        tombstone = self.tombstones.get(record.job_id)
        if (job is None and tombstone is not None and
                record.epoch <= tombstone.epoch):
            return _state_machine.reject("the epoch is already closed")
        self.tombstones[record.job_id] = _domain_job.build_tombstone(
            record, job)
        self.jobs.pop(record.job_id, None)
        self.tombstones.move_to_end(record.job_id)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)
        self._notify_job_changed(record.job_id)
        return _state_machine.ACCEPTED

    def _apply_task_claimed(
            self, offset: int,
            record: model.TaskClaimed) -> _state_machine.RecordVerdict:
        job = self.jobs.get(record.job_id)
        if job is None:
            return _state_machine.reject("the job is not open in this domain")
        if not 0 <= record.task < job.spec.tasks:
            return _state_machine.reject("the task does not exist")
        if record.task in job.done:
            return _state_machine.reject("the task is done")
        if record.task in job.live_tasks:
            return _state_machine.reject("a run of the task is live")
        if record.run != job.get_next_run_number(record.task):
            return _state_machine.reject(
                "the run number does not follow the last one")
        worker = self.workers.get(record.worker)
        if worker is None:
            return _state_machine.reject("the worker is unknown")
        if not record.resources.is_valid() or not record.resources.fits_in(
                worker.free):
            return _state_machine.reject(
                "the worker has not enough free capacity")
        task_key = (record.job_id, record.task)
        self.runs[task_key] = LiveRun(record.job_id, record.task, record.run,
                                      record.worker, record.resources,
                                      record.holder, 1, offset)
        worker.free = worker.free.minus(record.resources)
        worker.runs.add(task_key)
        job.live_tasks.add(record.task)
        job.last_run_numbers[record.task] = record.run
        self._heartbeats_at_claim[task_key] = self._heartbeat_counts.get(
            record.holder, 0)
        self._notify_run_changed(task_key, record.worker)
        return _state_machine.ACCEPTED

    def _find_live_run(
        self,
        record: model.TaskFinished | model.TaskReleased | model.RenewalsEnded
    ) -> tuple[LiveRun | None, str]:
        live_run = self.runs.get((record.job_id, record.task))
        if live_run is None or live_run.run != record.run:
            return None, "the run is not live"
        if live_run.holder != record.holder:
            return None, f"the holder is {live_run.holder}"
        return live_run, ""

    def _remove_live_run(self, live_run: LiveRun) -> _domain_job.DomainJob:
        task_key = (live_run.job_id, live_run.task)
        del self.runs[task_key]
        self._heartbeats_at_claim.pop(task_key, None)
        self._heartbeats_before_takeover.pop(task_key, None)
        self._ended_renewals.pop(task_key, None)
        self._former_leases.pop(task_key, None)
        worker = self.workers[live_run.worker]
        worker.free = worker.free.plus(live_run.resources)
        worker.runs.discard(task_key)
        job = self.jobs[live_run.job_id]
        job.live_tasks.discard(live_run.task)
        return job

    def _apply_task_finished(
            self, offset: int,
            record: model.TaskFinished) -> _state_machine.RecordVerdict:
        del offset
        live_run, reason = self._find_live_run(record)
        if live_run is None:
            return _state_machine.reject(reason)
        job = self._remove_live_run(live_run)
        job.done.add(record.task)
        job.checkpoints.pop(record.task, None)
        job.failures.pop(record.task, None)
        job.crashes.pop(record.task, None)
        self._notify_run_ended(live_run, FINISHED_REASON)
        return _state_machine.ACCEPTED

    def _apply_task_released(
            self, offset: int,
            record: model.TaskReleased) -> _state_machine.RecordVerdict:
        del offset
        live_run, reason = self._find_live_run(record)
        if live_run is None:
            return _state_machine.reject(reason)
        job = self._remove_live_run(live_run)
        if record.checkpoint:
            if record.checkpoint != job.checkpoints.get(record.task):
                job.crashes.pop(record.task, None)
            job.checkpoints[record.task] = record.checkpoint
        if record.reason in model.CRASH_REASONS:
            job.record_crash(
                record.task,
                model.WorkerCrash(
                    live_run.worker,
                    record.reason == model.ReleaseReason.LONE_CRASH.value))
        if record.reason == model.ReleaseReason.FAILED.value:
            job.failures[record.task] = job.failures.get(record.task, 0) + 1
        job.add_released_task(record.task)
        self._notify_run_ended(live_run, record.reason)
        return _state_machine.ACCEPTED

    def _apply_holder_changed(
            self, offset: int,
            record: model.HolderChanged) -> _state_machine.RecordVerdict:
        del offset
        task_key = (record.job_id, record.task)
        live_run = self.runs.get(task_key)
        if live_run is None or live_run.run != record.run:
            return _state_machine.reject("the run is not live")
        if live_run.holder != record.old_holder:
            return _state_machine.reject(f"the holder is {live_run.holder}")
        self._heartbeats_before_takeover.pop(task_key, None)
        heartbeats_at_claim = self._heartbeats_at_claim.pop(task_key, None)
        heartbeat_count = self._heartbeat_counts.get(record.old_holder)
        if heartbeats_at_claim is not None and heartbeat_count is not None:
            self._heartbeats_before_takeover[task_key] = (heartbeat_count -
                                                          heartbeats_at_claim)
        self._former_leases.pop(task_key, None)
        if task_key in self._ended_renewals:
            self._former_leases[task_key] = self._ended_renewals.pop(task_key)
        self.runs[task_key] = live_run._replace(
            holder=record.new_holder, fence_token=live_run.fence_token + 1)
        self._notify_run_changed(task_key, live_run.worker)
        return _state_machine.ACCEPTED

    def _apply_renewals_ended(
            self, offset: int,
            record: model.RenewalsEnded) -> _state_machine.RecordVerdict:
        del offset
        live_run, reason = self._find_live_run(record)
        if live_run is None:
            return _state_machine.reject(reason)
        self._ended_renewals[record.job_id, record.task] = record.lease_ms
        return _state_machine.ACCEPTED

    def get_former_lease(self, key: TaskKey) -> datetime.timedelta | None:
        """Returns how long the lease of a run's last holder can still last.

        The time counts from any moment after the last change of the holder was
        read. Returns None if the last holder did not stop to renew the lease
        before that change, or if it is unknown.

        Args:
            key: Job id and index of the task.
        """
        lease_ms = self._former_leases.get(key)
        if lease_ms is None:
            return None
        return datetime.timedelta(milliseconds=lease_ms)

    def count_heartbeats_before_takeover(self, key: TaskKey) -> int | None:
        """Returns how long the first holder of a run lived after its claim.

        Records carry no time, so the unit is a heartbeat of the holder. Returns
        None if that is unknown or the run was not taken over exactly once.

        Args:
            key: Job id and index of the task.
        """
        return self._heartbeats_before_takeover.get(key)

    def _notify_worker_changed(self, worker: str) -> None:
        for observer in self._observers:
            observer.on_worker_changed(worker)

    def _notify_job_changed(self, job_id: str) -> None:
        for observer in self._observers:
            observer.on_job_changed(job_id)

    def _notify_run_ended(self, run: LiveRun, reason: str) -> None:
        for observer in self._observers:
            observer.on_run_ended(run, reason)
        self._notify_run_changed((run.job_id, run.task), run.worker)

    def _notify_run_changed(self, task_key: TaskKey, worker: str) -> None:
        for observer in self._observers:
            observer.on_run_changed(task_key)
            observer.on_worker_changed(worker)
            observer.on_job_changed(task_key[0])

    def dump(self) -> object:
        state = _SerializedState(
            list(self.members.values()),
            [(worker.name, worker.rack, worker.capacity)
             for worker in self.workers.values()],
            [_domain_job.serialize_job(job) for job in self.jobs.values()],
            list(self.runs.values()),
            [(job_id, model.omit_trailing_defaults(tombstone))
             for job_id, tombstone in self.tombstones.items()])
        # `load` converts the items of a list, but not those of a
        # `_SerializedState`.
        return list(state)

    def load(self, state: object) -> None:
        try:
            self._load_state(msgspec.convert(state, _SerializedState))
        except (KeyError, msgspec.ValidationError) as error:
            raise errors.ProtocolError(
                f"malformed state of a domain stream: {error}") from error
        for observer in self._observers:
            observer.on_reset()

    def _load_state(self, serialized_state: _SerializedState) -> None:
        self.members = {
            member.member: member for member in serialized_state.members
        }
        self.workers = {
            name: WorkerState(name, rack, capacity)
            for name, rack, capacity in serialized_state.workers
        }
        self.jobs = {}
        for serialized_job in serialized_state.jobs:
            self.jobs[serialized_job.spec.job_id] = _domain_job.restore_job(
                serialized_job)
        self.runs = {}
        self._heartbeat_counts.clear()
        self._heartbeats_at_claim.clear()
        self._heartbeats_before_takeover.clear()
        self._ended_renewals.clear()
        self._former_leases.clear()
        for run in serialized_state.runs:
            self._load_run(run)
        self.tombstones = collections.OrderedDict(serialized_state.tombstones)

    def _load_run(self, run: LiveRun) -> None:
        task_key = (run.job_id, run.task)
        self.runs[task_key] = run
        worker = self.workers[run.worker]
        worker.free = worker.free.minus(run.resources)
        worker.runs.add(task_key)
        self.jobs[run.job_id].live_tasks.add(run.task)
