"""Decisions that the scheduler hands to the daemon."""

import enum
from typing import NamedTuple

from gentianlead import model

RunSlot = tuple[str, int]
"""A job and the index of one of its tasks."""


class PlannedStart(NamedTuple):
    """A claim to append now.

    Attributes:
        job_id: Job.
        task: Index of the task.
        run: Number of the run that the claim must carry.
        worker: Worker to run on.
        resources: Resources to reserve; an estimate, not the declared size.
        checkpoint: Checkpoint to resume from, or empty.
    """

    job_id: str
    task: int
    run: int
    worker: str
    resources: model.Resources
    checkpoint: str

    @property
    def task_key(self) -> RunSlot:
        """The job and the task."""
        return (self.job_id, self.task)

    def build_claim(self, holder: str) -> model.TaskClaimed:
        """Returns the record to append for this start."""
        return model.TaskClaimed(self.job_id, self.task, self.run, self.worker,
                                 self.resources, holder)


class EvictionAction(enum.Enum):
    """What to do with a run, mildest first."""

    THROTTLE = "throttle"
    MOVE = "move"
    STOP = "stop"


class EvictionReason(enum.Enum):
    """Why a run is throttled or evicted."""

    JOB_CANCELLED = "job_cancelled"
    DOMAIN_OUT = "domain_out"
    WORKER_LEAVING = "worker_leaving"
    QUOTA_RECLAIMED = "quota_reclaimed"
    URGENT_WORK = "urgent_work"
    INTERFERENCE = "interference"
    MEMORY_PRESSURE = "memory_pressure"


class Eviction(NamedTuple):
    """An order for one run.

    Attributes:
        job_id: Job.
        task: Index of the task.
        run: Number of the run.
        worker: Worker that it runs on.
        action: `THROTTLE` limits it to `fraction`; `MOVE` takes a checkpoint
            and stops it, so that it resumes elsewhere; `STOP` stops it at
            once.
        reason: Why.
        fraction: Share of its resources that a throttled run keeps; 1.0 ends
            the throttling.
    """

    job_id: str
    task: int
    run: int
    worker: str
    action: EvictionAction
    reason: EvictionReason
    fraction: float = 1.0

    @property
    def task_key(self) -> RunSlot:
        """The job and the task."""
        return (self.job_id, self.task)


class WaitCode(enum.Enum):
    """Why a job has tasks that do not run."""

    NOT_OPEN = "not_open"
    NOTHING_WAITS = "nothing_waits"
    CANCELLED = "cancelled"
    DOMAIN_OUT = "domain_out"
    UNKNOWN_TEAM = "unknown_team"
    TOO_LARGE = "too_large"
    FAILS_EVERYWHERE = "fails_everywhere"
    ON_TRIAL = "on_trial"
    HARMS_SERVICES = "harms_services"
    QUEUED = "queued"
    NO_CAPACITY = "no_capacity"

    @property
    def is_permanent(self) -> bool:
        """Whether the job runs only after somebody changes something."""
        return self in (WaitCode.UNKNOWN_TEAM, WaitCode.TOO_LARGE,
                        WaitCode.FAILS_EVERYWHERE)


class WaitReason(NamedTuple):
    """Why a job waits, for operators.

    Attributes:
        code: Stable code.
        message: Explanation with the figures and the remedy.
    """

    code: WaitCode
    message: str
