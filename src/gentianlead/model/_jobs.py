"""Specifications and outcomes of batch jobs and watchers."""

import enum
from typing import NamedTuple

from gentianlead import errors
from gentianlead.model import _resources

MAX_TASKS = 100_000
MAX_PAYLOAD_BYTES = 64 * 1024
MAX_JOB_ID_LENGTH = 200


class JobKind(enum.Enum):
    """Kind of a job.

    Attributes:
        BATCH: A job whose tasks end.
        WATCHER: A job of one task that runs until the job is cancelled.
    """

    BATCH = "batch"
    WATCHER = "watcher"


class JobOutcome(enum.Enum):
    """Outcome of an ended job.

    Attributes:
        DONE: All tasks succeeded.
        CANCELLED: The job was cancelled.
        FAILED: A task failed too often, or too many workers crashed under it.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"


class ReleaseReason(enum.Enum):
    """Reason why a run ended without completing its task.

    Attributes:
        FAILED: The worker reported that the task failed.
        EVICTED: The scheduler stopped the run to free its resources.
        CANCELLED: The job was cancelled.
        LEASE_EXPIRED: The lease of the run expired.
        LOST: The worker restarted or does not know the run any more, or the
            task of a watcher ended by itself.
        NOT_STARTED: The run certainly never started.
        LONE_CRASH: The worker restarted, or could not be reached until the
            lease expired, soon after the run had started, and no other worker
            was lost at about the same time.
        SHARED_CRASH: As `LONE_CRASH`, but another worker was lost at about the
            same time, or it is unknown how soon after the start it was.
    """

    FAILED = "failed"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    LEASE_EXPIRED = "lapsed"
    LOST = "lost"
    NOT_STARTED = "not-started"
    LONE_CRASH = "lone-crash"
    SHARED_CRASH = "shared-crash"


CRASH_REASONS = frozenset(
    (ReleaseReason.LONE_CRASH.value, ReleaseReason.SHARED_CRASH.value))
"""Release reasons that are evidence against the task of the run."""


class CloseReason(enum.Enum):
    """Reason why a job was closed in a failure domain.

    Attributes:
        DONE: All tasks succeeded.
        CANCELLED: The job was cancelled.
        FAILED: A task failed too often, or too many workers crashed under it.
        MOVED: The job continues in another failure domain.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"
    MOVED = "moved"


class JobSpec(NamedTuple):
    """Specification of a job; never changed after submission.

    Attributes:
        job_id: Identifier, chosen by the caller or generated.
        team: Name of the team whose quota the job uses; empty for none.
        kind: Value of a `JobKind`.
        tasks: Number of tasks; 1 for a watcher.
        resources: Resources that the caller declared for each task.
        run_time_ms: Run time of a task in milliseconds, as declared by the
            caller; 0 if unknown.
        is_urgent: Whether the scheduler may evict runs at once to reclaim
            resources that other teams have borrowed.
        payload: Opaque bytes that the worker passes to each task.
    """

    job_id: str
    team: str = ""
    kind: str = JobKind.BATCH.value
    tasks: int = 1
    resources: _resources.Resources = _resources.Resources(100, 64, 0)
    run_time_ms: int = 0
    is_urgent: bool = False
    payload: bytes = b""

    @property
    def is_watcher(self) -> bool:
        """Whether the job is a watcher."""
        return self.kind == JobKind.WATCHER.value


def check_job_spec(spec: JobSpec) -> None:
    """Checks that all fields of a job specification are valid.

    Raises:
        ConfigurationError: A field is invalid; the message names the field and
            the allowed values.
    """
    if not 1 <= len(spec.job_id) <= MAX_JOB_ID_LENGTH or "/" in spec.job_id:
        raise errors.ConfigurationError(
            f"job_id must have 1 to {MAX_JOB_ID_LENGTH} characters and no '/'")
    kinds = [kind.value for kind in JobKind]
    if spec.kind not in kinds:
        raise errors.ConfigurationError(
            f"kind {spec.kind!r} is not one of {', '.join(kinds)}")
    max_tasks = 1 if spec.is_watcher else MAX_TASKS
    if not 1 <= spec.tasks <= max_tasks:
        raise errors.ConfigurationError(
            f"tasks {spec.tasks} is outside 1 to {max_tasks}")
    if not spec.resources.is_valid() or spec.resources.is_empty():
        raise errors.ConfigurationError(
            f"resources must not be negative or all zero: {spec.resources}")
    if spec.run_time_ms < 0:
        raise errors.ConfigurationError(
            f"run_time_ms {spec.run_time_ms} must not be negative")
    if len(spec.payload) > MAX_PAYLOAD_BYTES:
        raise errors.ConfigurationError(
            f"payload of {len(spec.payload)} bytes exceeds "
            f"{MAX_PAYLOAD_BYTES}")
