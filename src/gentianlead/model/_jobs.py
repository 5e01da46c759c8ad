"""Batch jobs and watchers."""

import enum
from typing import NamedTuple

from gentianlead import errors
from gentianlead.model import _resources

MAX_TASKS = 100_000
MAX_PAYLOAD_BYTES = 64 * 1024
MAX_JOB_ID_LENGTH = 200


class JobKind(enum.Enum):
    """What a job is."""

    BATCH = "batch"
    WATCHER = "watcher"


class JobOutcome(enum.Enum):
    """How a job ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"


class ReleaseReason(enum.Enum):
    """Why a run ended without completing its task."""

    FAILED = "failed"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    LEASE_EXPIRED = "lapsed"
    LOST = "lost"
    NOT_STARTED = "not-started"


class CloseReason(enum.Enum):
    """Why a job was closed in a failure domain."""

    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"
    MOVED = "moved"


class JobSpec(NamedTuple):
    """What a caller asked for; never changed after submission.

    Attributes:
        job_id: Identity, chosen by the caller or generated.
        team: Team whose quota the job uses; empty for none.
        kind: `batch` or `watcher`.
        tasks: Number of tasks; a watcher has one.
        resources: Declared resources of each task.
        run_time_ms: Declared run time of a task, 0 when unknown.
        is_urgent: Whether the job may reclaim borrowed resources at once.
        payload: Opaque bytes handed to the worker.
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
    """Checks the ranges of all fields.

    Raises:
        ConfigurationError: A field is outside its range; the message names the
            field, the value and what is allowed.
    """
    if not 1 <= len(spec.job_id) <= MAX_JOB_ID_LENGTH or "/" in spec.job_id:
        raise errors.ConfigurationError(
            f"job_id must have 1 to {MAX_JOB_ID_LENGTH} characters and no '/'")
    kinds = [kind.value for kind in JobKind]
    if spec.kind not in kinds:
        raise errors.ConfigurationError(
            f"kind {spec.kind!r} is not one of {', '.join(kinds)}")
    most = 1 if spec.is_watcher else MAX_TASKS
    if not 1 <= spec.tasks <= most:
        raise errors.ConfigurationError(
            f"tasks {spec.tasks} is outside 1 to {most}")
    if not spec.resources.is_valid() or spec.resources.is_empty():
        raise errors.ConfigurationError(
            f"resources must not be negative nor all zero: {spec.resources}")
    if spec.run_time_ms < 0:
        raise errors.ConfigurationError(
            f"run_time_ms {spec.run_time_ms} must not be negative")
    if len(spec.payload) > MAX_PAYLOAD_BYTES:
        raise errors.ConfigurationError(
            f"payload of {len(spec.payload)} bytes exceeds "
            f"{MAX_PAYLOAD_BYTES}")
