"""A job that is open in a failure domain, and the tombstone of a closed one."""

import itertools
from typing import NamedTuple

import sortedcontainers

from gentianlead import model

RUN_NUMBERS_PER_EPOCH = 1_000_000
"""The first run of a task in an epoch has the run number (epoch - 1) times this
number, plus 1. Run numbers thus also increase when a job moves to another
domain, and a worker can refuse orders for an older run."""


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
        crashes: Crashes of workers under each task, also in earlier epochs. A
            task's crashes are removed when the task is finished or a run of it
            is released with a new checkpoint.
        open_offset: Offset of the job's `JobOpened` record.
    """

    __slots__ = ("spec", "epoch", "done", "last_run_numbers", "checkpoints",
                 "live_tasks", "failures", "crashes", "open_offset",
                 "_first_never_claimed", "_released_tasks")

    def __init__(self, spec: model.JobSpec, epoch: int, done: tuple[int, ...],
                 checkpoints: dict[int, str], crashes: model.TaskCrashes,
                 open_offset: int):
        self.spec = spec
        self.epoch = epoch
        self.done = set(done)
        self.last_run_numbers: dict[int, int] = {}
        self.checkpoints = dict(checkpoints)
        self.live_tasks: set[int] = set()
        self.failures: dict[int, int] = {}
        self.crashes = dict(crashes)
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

    def list_waiting_suspects(self) -> list[int]:
        """Returns the claimable tasks that may start only alone, or not at all.

        See `model.is_suspect`.
        """
        return [
            task for task, crashes in self.crashes.items()
            if self._is_claimable(task) and model.is_suspect(crashes)
        ]

    def record_crash(self, task: int, crash: model.WorkerCrash) -> None:
        """Records that a worker crashed soon after a start of a task."""
        self.crashes[task] = (*self.crashes.get(task, ()), crash)

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
        crashes: Crashes of workers under the tasks that are not done, if the
            reason is `moved`; else empty.
        detail: Error code and reason if the reason is `failed` because a task
            was given up; else empty.
    """

    # All instances share the default dictionary, which no code modifies.
    # pylint: disable=dangerous-default-value
    epoch: int
    reason: str
    done_count: int = 0
    done: tuple[int, ...] = ()
    checkpoints: dict[int, str] = {}
    crashes: model.TaskCrashes = {}
    detail: str = ""


def build_tombstone(record: model.JobClosed,
                    job: DomainJob | None) -> Tombstone:
    """Returns the tombstone of a job that a record closes.

    Args:
        record: Record that closes the job.
        job: The job; None if it is not open in the domain.
    """
    if job is None:
        return Tombstone(record.epoch, record.reason)
    tombstone = Tombstone(record.epoch, record.reason, len(job.done))
    if record.reason == model.CloseReason.FAILED.value:
        return tombstone._replace(
            detail=model.explain_given_up_tasks(job.crashes))
    if record.reason != model.CloseReason.MOVED.value:
        return tombstone
    remaining_checkpoints = {
        task: checkpoint
        for task, checkpoint in job.checkpoints.items()
        if task not in job.done
    }
    return tombstone._replace(done=tuple(sorted(job.done)),
                              checkpoints=remaining_checkpoints,
                              crashes=dict(job.crashes))


class SerializedJob(NamedTuple):
    """A `DomainJob` in the form that snapshots contain."""

    # All instances share the default dictionary, which no code modifies.
    # pylint: disable=dangerous-default-value
    spec: model.JobSpec
    epoch: int
    done: list[int]
    last_run_numbers: dict[int, int]
    checkpoints: dict[int, str]
    failures: dict[int, int]
    open_offset: int
    crashes: model.TaskCrashes = {}


def serialize_job(job: DomainJob) -> tuple:
    """Returns the fields of a `SerializedJob` for a job."""
    return model.omit_trailing_defaults(
        SerializedJob(job.spec, job.epoch, sorted(job.done),
                      dict(job.last_run_numbers), dict(job.checkpoints),
                      dict(job.failures), job.open_offset, dict(job.crashes)))


def restore_job(serialized_job: SerializedJob) -> DomainJob:
    """Returns the job that was serialized; none of its tasks is live."""
    job = DomainJob(serialized_job.spec, serialized_job.epoch,
                    tuple(serialized_job.done), serialized_job.checkpoints,
                    serialized_job.crashes, serialized_job.open_offset)
    job.last_run_numbers = dict(serialized_job.last_run_numbers)
    job.failures = dict(serialized_job.failures)
    return job
