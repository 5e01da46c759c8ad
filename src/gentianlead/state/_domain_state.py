"""State machine of a failure domain's stream: members, workers, jobs, runs."""

import collections
import itertools
from typing import NamedTuple

import msgspec
import sortedcontainers

from gentianlead import errors
from gentianlead import model
from gentianlead.state import _state_machine

RUN_NUMBERS_PER_EPOCH = 1_000_000
"""The first run of a task in an epoch has the run number (epoch - 1) times this
number, plus 1. Run numbers thus also increase when a job moves to another
domain, and a worker can refuse orders for an older run."""

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


class DomainJob:
    """Progress of a job that is open in this failure domain.

    Attributes:
        spec: Specification of the job.
        epoch: Number of the assignment for which the job was opened.
        done: Indexes of the done tasks, including those of earlier epochs.
        last_run_numbers: Number of the last run claimed in this epoch, by index
            of the task. Tasks without a claim in this epoch are missing.
        checkpoints: Newest checkpoint by index of the task. A task's checkpoint
            is removed when the task is finished.
        live_tasks: Indexes of the tasks that have a live run.
        failures: Number of runs in this epoch that were released as failed, by
            index of the task. A task's count is removed when the task is
            finished.
        open_offset: Offset of the job's `JobOpened` record.
    """

    __slots__ = ("spec", "epoch", "done", "last_run_numbers", "checkpoints",
                 "live_tasks", "failures", "open_offset",
                 "_first_never_claimed", "_released_tasks")

    def __init__(self, spec: model.JobSpec, epoch: int, done: tuple[int, ...],
                 checkpoints: dict[int, str], open_offset: int):
        self.spec = spec
        self.epoch = epoch
        self.done = set(done)
        self.last_run_numbers: dict[int, int] = {}
        self.checkpoints = dict(checkpoints)
        self.live_tasks: set[int] = set()
        self.failures: dict[int, int] = {}
        self.open_offset = open_offset
        self._first_never_claimed = 0
        # A set, because a watcher's task is released any number of times and a
        # list of releases would grow without limit.
        self._released_tasks = sortedcontainers.SortedSet()

    def get_next_claimable_task(self) -> int | None:
        """Returns the lowest index of a claimable task, or None.

        A task is claimable if it is not done and has no live run.
        """
        while self._released_tasks and not self._is_claimable(
                self._released_tasks[0]):
            del self._released_tasks[0]
        while (self._first_never_claimed < self.spec.tasks and
               not self._is_claimable(self._first_never_claimed)):
            self._first_never_claimed += 1
        candidate_tasks = [*self._released_tasks[:1], self._first_never_claimed]
        task = min(candidate_tasks)
        return task if task < self.spec.tasks else None

    def list_claimable_tasks(self, limit: int) -> list[int]:
        """Returns up to `limit` indexes of claimable tasks, lowest first."""
        self.get_next_claimable_task()
        candidate_tasks = itertools.chain(
            self._released_tasks.irange(maximum=self._first_never_claimed - 1),
            range(self._first_never_claimed, self.spec.tasks))
        return list(
            itertools.islice(filter(self._is_claimable, candidate_tasks),
                             limit))

    def get_next_run_number(self, task: int) -> int:
        """Returns the run number that the next claim of the task must have."""
        epoch_base = (self.epoch - 1) * RUN_NUMBERS_PER_EPOCH
        return self.last_run_numbers.get(task, epoch_base) + 1

    def count_pending_tasks(self) -> int:
        """Returns how many tasks are not done and have no live run."""
        return self.spec.tasks - len(self.done) - len(self.live_tasks)

    def _is_claimable(self, task: int) -> bool:
        return task not in self.done and task not in self.live_tasks

    def add_released_task(self, task: int) -> None:
        """Makes a task claimable again after its run was released."""
        self._released_tasks.add(task)

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done."""
        return len(self.done) >= self.spec.tasks


class Tombstone(NamedTuple):
    """Entry for a job that was closed in this domain.

    While it is stored, the job can be opened here only with a higher epoch.

    Attributes:
        epoch: Highest epoch of the job that was closed in this domain.
        reason: Value of a `CloseReason`: `done`, `cancelled`, `failed` or
            `moved`.
        done_count: Number of tasks that were done when the job was closed; 0 if
            the job was not open in this domain.
        done: Indexes of these tasks if the reason is `moved`, else empty.
        checkpoints: Newest checkpoint of each task that is not done, by index
            of the task, if the reason is `moved`; else empty.
    """

    # All instances share the default dictionary, which no code modifies.
    # pylint: disable=dangerous-default-value
    epoch: int
    reason: str
    done_count: int = 0
    done: tuple[int, ...] = ()
    checkpoints: dict[int, str] = {}


def _build_tombstone(record: model.JobClosed,
                     job: DomainJob | None) -> Tombstone:
    if job is None:
        return Tombstone(record.epoch, record.reason)
    tombstone = Tombstone(record.epoch, record.reason, len(job.done))
    if record.reason != model.CloseReason.MOVED.value:
        return tombstone
    remaining_checkpoints = {
        task: checkpoint
        for task, checkpoint in job.checkpoints.items()
        if task not in job.done
    }
    return tombstone._replace(done=tuple(sorted(job.done)),
                              checkpoints=remaining_checkpoints)


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


class _SerializedJob(NamedTuple):
    """A `DomainJob` in the form that snapshots contain."""

    spec: model.JobSpec
    epoch: int
    done: list[int]
    last_run_numbers: dict[int, int]
    checkpoints: dict[int, str]
    failures: dict[int, int]
    open_offset: int


class _SerializedState(NamedTuple):
    """State of a domain's stream in the form that snapshots contain."""

    members: list[Member]
    workers: list[tuple[str, str, model.Resources]]
    jobs: list[_SerializedJob]
    runs: list[LiveRun]
    tombstones: list[tuple[str, Tombstone]]


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
        self.jobs: dict[str, DomainJob] = {}
        self.runs: dict[TaskKey, LiveRun] = {}
        self.tombstones: collections.OrderedDict[str, Tombstone] = (
            collections.OrderedDict())
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
        return _state_machine.ACCEPTED

    def _apply_member_left(
            self, offset: int,
            record: model.MemberLeft) -> _state_machine.RecordVerdict:
        del offset
        if self.members.pop(record.member, None) is None:
            return _state_machine.reject("the member has not joined")
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
        self.jobs[job_id] = DomainJob(record.spec, record.epoch, record.done,
                                      record.checkpoints, offset)
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
        self.tombstones[record.job_id] = _build_tombstone(record, job)
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
        self._notify_run_changed(task_key, record.worker)
        return _state_machine.ACCEPTED

    def _find_live_run(
        self, record: model.TaskFinished | model.TaskReleased
    ) -> tuple[LiveRun | None, str]:
        live_run = self.runs.get((record.job_id, record.task))
        if live_run is None or live_run.run != record.run:
            return None, "the run is not live"
        if live_run.holder != record.holder:
            return None, f"the holder is {live_run.holder}"
        return live_run, ""

    def _remove_live_run(self, live_run: LiveRun) -> DomainJob:
        task_key = (live_run.job_id, live_run.task)
        del self.runs[task_key]
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
            job.checkpoints[record.task] = record.checkpoint
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
        self.runs[task_key] = live_run._replace(
            holder=record.new_holder, fence_token=live_run.fence_token + 1)
        self._notify_run_changed(task_key, live_run.worker)
        return _state_machine.ACCEPTED

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
             for worker in self.workers.values()], [
                 _SerializedJob(job.spec, job.epoch, sorted(
                     job.done), dict(job.last_run_numbers), dict(
                         job.checkpoints), dict(job.failures), job.open_offset)
                 for job in self.jobs.values()
             ], list(self.runs.values()), list(self.tombstones.items()))
        return state

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
            self._load_job(serialized_job)
        self.runs = {}
        for run in serialized_state.runs:
            self._load_run(run)
        self.tombstones = collections.OrderedDict(serialized_state.tombstones)

    def _load_job(self, serialized_job: _SerializedJob) -> None:
        job = DomainJob(serialized_job.spec, serialized_job.epoch,
                        tuple(serialized_job.done), serialized_job.checkpoints,
                        serialized_job.open_offset)
        job.last_run_numbers = dict(serialized_job.last_run_numbers)
        job.failures = dict(serialized_job.failures)
        self.jobs[serialized_job.spec.job_id] = job

    def _load_run(self, run: LiveRun) -> None:
        task_key = (run.job_id, run.task)
        self.runs[task_key] = run
        worker = self.workers[run.worker]
        worker.free = worker.free.minus(run.resources)
        worker.runs.add(task_key)
        self.jobs[run.job_id].live_tasks.add(run.task)
