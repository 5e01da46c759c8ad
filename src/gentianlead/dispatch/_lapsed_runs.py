"""Runs that a leader ended by their lease, and their ends at the worker.

A leader that cannot reach a worker counts its runs as ended once the lease has
expired, and starts their tasks again. The worker may have done such a task
before that. Once it is reached again, it lists that end. To acknowledge it
would confirm a result that another run has replaced.
"""

import enum
from typing import NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _runs

MAX_WITHHELD_ENDS = 300
"""Number of listed ends up to which acknowledgements are withheld. A report
lists 500 ends at most, and the leader must see all later ones."""


class TaskState(enum.Enum):
    """What a leader knows of a task; the value is the text in its log.

    Attributes:
        WAITING: The task waits for a start in this group.
        ACTIVE: The leader tracks a run of it.
        DONE: The task is done.
        ELSEWHERE: The task belongs to another group.
        UNKNOWN: The leader does not have the job.
    """

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


class LateEnd(NamedTuple):
    """End of a done run that the leader did not track, for the log.

    Attributes:
        worker_id: Worker of the run.
        task: The task.
        run: Number of the run.
        number: Number of the end at the worker.
        task_state: What the leader knew of the task.
        last_run: Highest run number of the job that the leader knew; 0 if it
            does not have the job.
        is_withheld: Whether the end is not acknowledged.
    """

    worker_id: str
    task: model.TaskKey
    run: int
    number: int
    task_state: TaskState
    last_run: int
    is_withheld: bool


class LapsedRuns:
    """Decides which run ends of one worker are not acknowledged."""

    def __init__(self) -> None:
        # Highest run number of the job when the run was ended, by run.
        self._last_run_numbers: dict[tuple[model.TaskKey, int], int] = {}
        self._withheld_number: int | None = None

    @property
    def withholds_ends(self) -> bool:
        """Whether an end that the worker lists is not acknowledged."""
        return self._withheld_number is not None

    def add(self, task: model.TaskKey, run: int, last_run_number: int) -> None:
        """Adds a run that the leader has ended by the lease of its worker.

        Args:
            task: The task.
            run: Number of the run.
            last_run_number: Highest run number of the job.
        """
        self._last_run_numbers[task, run] = last_run_number

    def apply_end(self, ended_run: ports.EndedRun,
                  last_run_number: int | None) -> None:
        """Applies an end that the worker lists for the first time.

        Args:
            ended_run: The end.
            last_run_number: Highest run number of the job; None if this leader
                does not have the job any more.
        """
        # After an expiry that the worker has noticed, earlier ends do not count
        # any more.
        if ended_run.cause is ports.EndCause.LEASE_EXPIRED or (
                self._withheld_number is not None and
                ended_run.number - self._withheld_number >= MAX_WITHHELD_ENDS):
            self._withheld_number = None
        former_number = self._last_run_numbers.pop(
            (ended_run.task, ended_run.run), None)
        if (former_number is not None and self._withheld_number is None and
                ended_run.cause is ports.EndCause.DONE and
                former_number != last_run_number):
            self._withheld_number = ended_run.number

    def limit_acknowledgement(self, number: int) -> int:
        """Returns up to which number ends are acknowledged, at most `number`.
        """
        if self._withheld_number is None:
            return number
        return min(number, self._withheld_number - 1)


def describe_late_end(worker_id: str, ended_run: ports.EndedRun,
                      job: _runs.JobRun | None,
                      lapsed_runs: LapsedRuns) -> LateEnd:
    """Describes an end that was just applied to the runs of its worker.

    Args:
        worker_id: Worker of the run.
        ended_run: The end.
        job: The job, to which the end has not been applied; None if the leader
            does not have it.
        lapsed_runs: Runs of the worker, to which the end has been applied.
    """
    return LateEnd(worker_id, ended_run.task, ended_run.run, ended_run.number,
                   _find_task_state(ended_run.task, job),
                   job.last_run_number if job is not None else 0,
                   lapsed_runs.withholds_ends)


def _find_task_state(task: model.TaskKey,
                     job: _runs.JobRun | None) -> TaskState:
    step_run = job.get_step(task) if job is not None else None
    if step_run is None:
        return TaskState.UNKNOWN
    if task.index in step_run.done_indexes:
        return TaskState.DONE
    if task.index in step_run.active_runs:
        return TaskState.ACTIVE
    if task.index in step_run.waiting_indexes:
        return TaskState.WAITING
    return TaskState.ELSEWHERE
