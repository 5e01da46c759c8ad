"""Jobs, task names and states in the platform's format."""

import json
import re
from typing import Any

from gentianlead import errors
from gentianlead import model
from gentianlead.platform import _fields

MAX_PAYLOAD_BYTES = 4000
"""Longest payload of a job, by the platform's protocol."""

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000
MAX_OCCURRENCES = 10_000
"""Bounds against input that would fill the memory; jobs of the sites have at
most five steps of 36 tasks and eight occurrences."""

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")

_STATE_WORDS = {
    model.JobState.QUEUED: "queued",
    model.JobState.RUNNING: "in_progress",
    model.JobState.COMPLETED: "completed",
    model.JobState.FAILED: "failed",
    model.JobState.CANCELLED: "cancelled",
}


def is_job_id(text: str) -> bool:
    """Returns whether a text can name a job."""
    return _JOB_ID.fullmatch(text) is not None


def format_task(task: model.TaskKey) -> str:
    """Returns the platform's name of a task."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> model.TaskKey:
    """Returns the task that the platform names.

    Raises:
        ProtocolError: The text names no task.
    """
    job_id, *numbers = str(text).split(".")
    if len(numbers) != 3 or not all(number.isascii() and number.isdigit()
                                    for number in numbers):
        raise errors.ProtocolError(f"{text!r:.60} names no task")
    return model.TaskKey(job_id, *map(int, numbers))


def format_state(state: model.JobState) -> str:
    """Returns the platform's word for a state."""
    return _STATE_WORDS[state]


def _parse_dependencies(value: Any, position: int) -> tuple[int, ...]:
    if value is None:
        return ()
    if not isinstance(value, list) or not all(
            isinstance(item, int) and not isinstance(item, bool) and
            0 <= item < position for item in value):
        raise errors.ProtocolError(
            f"'depends_on' of step {position} is {value!r:.60}, expected "
            "numbers of earlier steps")
    return tuple(value)


def parse_step(value: Any, position: int) -> model.Step:
    """Returns a step of a submission.

    Raises:
        ProtocolError: A field is of the wrong type or out of range.
    """
    row = _fields.require_object(value, f"step {position}")
    count = _fields.read_int(row, "count", least=1)
    if count > MAX_TASKS_PER_STEP:
        raise errors.ProtocolError(
            f"'count' of step {position} is {count}, at most "
            f"{MAX_TASKS_PER_STEP}")
    # Fields that are 0, false or empty are left out by the platform, but for
    # `miss_allowed`, whose absence means that the step sets no limit.
    absences = (_fields.read_int(row, "miss_allowed")
                if "miss_allowed" in row else None)
    return model.Step(
        count=count,
        cpu_millis=_fields.read_int(row, "cpu", 0),
        memory_mib=_fields.read_int(row, "mem_mb", 0),
        accelerators=_fields.read_int(row, "gpu", 0),
        estimate_ms=_fields.read_int(row, "estimate_ms", 0),
        depends_on=_parse_dependencies(row.get("depends_on"), position),
        has_checkpoints=_fields.read_flag(row, "checkpointing"),
        is_gang=_fields.read_flag(row, "gang"),
        prefers_same_rack=_fields.read_flag(row, "same_rack"),
        required_label=_fields.read_text(row, "requires", ""),
        preferred_rack=_fields.read_text(row, "data_rack", ""),
        # Not a flag: the number of tasks that one worker may run.
        max_tasks_per_worker=_fields.read_int(row, "anti_affinity", 0),
        allows_speculative_copies=_fields.read_flag(row, "speculative"),
        is_long_running=_fields.read_flag(row, "long_running"),
        image=_fields.read_text(row, "image", ""),
        # A bound on the tail latency of the task's own users.
        tail_latency_limit_ms=_fields.read_int(row, "target_ms", 0),
        is_best_effort=_fields.read_flag(row, "fills"),
        max_unavailable=absences)


def parse_submission(body: bytes, job_id: str, queue: model.Queue,
                     accepted_at_ms: int) -> model.SteppedJob:
    """Returns the job that a caller submits, without an assignment.

    Raises:
        ProtocolError: The body is not a job.
    """
    try:
        document = _fields.require_object(json.loads(body), "the body")
    except ValueError as error:
        raise errors.ProtocolError(f"the body is not JSON: {error}") from error
    payload = _fields.read_text(document, "spec", "")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise errors.ProtocolError(
            f"'spec' has {len(payload.encode())} bytes, at most "
            f"{MAX_PAYLOAD_BYTES}")
    rows = document.get("steps")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_STEPS:
        raise errors.ProtocolError(
            f"'steps' must be a list of 1 to {MAX_STEPS} steps")
    occurrences = max(1, _fields.read_int(document, "repeat_count", 0))
    if occurrences > MAX_OCCURRENCES:
        raise errors.ProtocolError(
            f"'repeat_count' is {occurrences}, at most {MAX_OCCURRENCES}")
    return model.SteppedJob(
        job_id=job_id,
        queue=queue,
        payload=payload,
        steps=tuple(parse_step(row, i) for i, row in enumerate(rows)),
        assignment=(),
        accepted_at_ms=accepted_at_ms,
        first_run_ms=_fields.read_int(document, "first_run_ms", 0),
        interval_ms=_fields.read_int(document, "interval_ms", 0),
        occurrences=occurrences)
