"""Scheduling decisions that the daemon carries out."""

import enum
from typing import NamedTuple

from gentianlead import model

TaskKey = tuple[str, int]
"""Job id and task index, which identify a task."""


class PlannedStart(NamedTuple):
    """A planned start of a task, whose claim the daemon is to append.

    Attributes:
        job_id: Job of the task.
        task: Index of the task.
        run: Number of the run that the claim begins.
        worker: Worker that runs the task.
        resources: Resources to claim: the estimate for the task, which may
            differ from its declared size.
        checkpoint: Checkpoint to resume from; empty for a fresh start.
        is_suspect: Whether the task starts alone, because workers crashed soon
            after its earlier starts.
    """

    job_id: str
    task: int
    run: int
    worker: str
    resources: model.Resources
    checkpoint: str
    is_suspect: bool = False

    @property
    def task_key(self) -> TaskKey:
        """Job id and index of the task."""
        return (self.job_id, self.task)

    def build_claim(self, holder: str) -> model.TaskClaimed:
        """Returns the record that claims the task for a holder."""
        return model.TaskClaimed(self.job_id, self.task, self.run, self.worker,
                                 self.resources, holder)


class EvictionAction(enum.Enum):
    """What an order does to a run; members are listed from mild to severe."""

    THROTTLE = "throttle"
    MOVE = "move"
    STOP = "stop"


class EvictionReason(enum.Enum):
    """Why a run is throttled, moved or stopped."""

    JOB_CANCELLED = "job_cancelled"
    DOMAIN_OUT = "domain_out"
    WORKER_LEAVING = "worker_leaving"
    QUOTA_RECLAIMED = "quota_reclaimed"
    URGENT_WORK = "urgent_work"
    INTERFERENCE = "interference"
    MEMORY_PRESSURE = "memory_pressure"


class Eviction(NamedTuple):
    """An order to throttle, move or stop one run.

    Attributes:
        job_id: Job of the task.
        task: Index of the task.
        run: Number of the run.
        worker: Worker that executes the run.
        action: `THROTTLE` limits the run to `throttle_share` of its
            resources; `MOVE` takes a checkpoint and stops the run, so that the
            task resumes on another worker; `STOP` stops the run without a new
            checkpoint.
        reason: Why the order was planned.
        throttle_share: Share of its resources, from 0.0 to 1.0, that the run
            keeps after a `THROTTLE` order; 1.0 ends the throttling. Not used by
            other actions.
    """

    job_id: str
    task: int
    run: int
    worker: str
    action: EvictionAction
    reason: EvictionReason
    throttle_share: float = 1.0

    @property
    def task_key(self) -> TaskKey:
        """Job id and index of the task."""
        return (self.job_id, self.task)


class WaitCode(enum.Enum):
    """Why tasks of a job do not run, or that none waits."""

    NOT_OPEN = "not_open"
    NOTHING_WAITS = "nothing_waits"
    CANCELLED = "cancelled"
    DOMAIN_OUT = "domain_out"
    UNKNOWN_TEAM = "unknown_team"
    TOO_LARGE = "too_large"
    FAILS_EVERYWHERE = "fails_everywhere"
    GIVEN_UP = "given_up"
    CRASHED_WORKERS = "crashed_workers"
    ON_TRIAL = "on_trial"
    HARMS_SERVICES = "harms_services"
    QUEUED = "queued"
    NO_CAPACITY = "no_capacity"

    @property
    def is_permanent(self) -> bool:
        """Whether an operator or the owner of the job must act.

        This is the case if the team is unknown, the tasks are too large, the
        job is paused because it fails, or a task was given up.
        """
        return self in (WaitCode.UNKNOWN_TEAM, WaitCode.TOO_LARGE,
                        WaitCode.FAILS_EVERYWHERE, WaitCode.GIVEN_UP)


class WaitReason(NamedTuple):
    """The reason why tasks of a job wait, with an explanation for operators.

    Attributes:
        code: Machine-readable reason.
        message: Explanation for operators, with the figures and the remedy if
            there are any.
    """

    code: WaitCode
    message: str
