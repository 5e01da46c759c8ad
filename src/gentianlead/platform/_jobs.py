"""Encodes and decodes jobs, task names and job states of the platform."""

import re
from typing import Any

from gentianlead import errors
from gentianlead import model
from gentianlead.platform import _fields
from gentianlead.platform import _json

MAX_PAYLOAD_BYTES = 4000
"""Maximum size of a job's payload in bytes, set by the platform's protocol."""

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000
MAX_OCCURRENCES = 10_000
MAX_STEP_RUNS = 10_000
MAX_TASKS = 200_000
"""Limits on submitted jobs, so that a request cannot exhaust the memory. The
last two count the steps and the tasks of all occurrences, which the leader
keeps in memory. Jobs at the sites have at most five steps, 36 tasks per step
and eight occurrences."""

_JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")

_TASK_NAME_PATTERN = re.compile(
    r"([0-9a-fA-F]{16})\.([0-9]{1,4})\.([0-9]{1,2})\.([0-9]{1,4})")
"""Name of a task of a job within the limits above."""

_JOB_STATE_NAMES = {
    model.JobState.QUEUED: "queued",
    model.JobState.RUNNING: "in_progress",
    model.JobState.COMPLETED: "completed",
    model.JobState.FAILED: "failed",
    model.JobState.CANCELLED: "cancelled",
}


def is_job_id(text: str) -> bool:
    """Returns whether a text has the form of a job identifier."""
    return _JOB_ID_PATTERN.fullmatch(text) is not None


def format_task_name(task: model.TaskKey) -> str:
    """Returns the platform's name of a task.

    The name consists of the job, the occurrence, the step and the index of the
    task, for example `5c0e7a21d94b36f8.0.1.2`.
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_name(text: str) -> model.TaskKey:
    """Decodes the platform's name of a task.

    Raises:
        ProtocolError: The text is not the name of a task.
    """
    match = (_TASK_NAME_PATTERN.fullmatch(text)
             if isinstance(text, str) else None)
    if match is None:
        raise errors.ProtocolError(
            f"{_fields.describe(text)} is not the name of a task")
    return model.TaskKey(match[1], int(match[2]), int(match[3]), int(match[4]))


def format_job_state(state: model.JobState) -> str:
    """Returns the platform's name of a job state."""
    return _JOB_STATE_NAMES[state]


def _parse_dependencies(value: Any, step_index: int) -> tuple[int, ...]:
    if value is None:
        return ()
    if not isinstance(value, list) or not all(
            isinstance(item, int) and not isinstance(item, bool) and
            0 <= item < step_index for item in value):
        raise errors.ProtocolError(
            f"'depends_on' of step {step_index} is {_fields.describe(value)}, "
            "expected indexes of earlier steps")
    return tuple(value)


def parse_step(value: Any, step_index: int) -> model.Step:
    """Decodes a step of a submitted job.

    Args:
        value: The decoded JSON value of the step.
        step_index: Index of the step in the job.

    Raises:
        ProtocolError: A field is of the wrong type or out of range.
    """
    fields = _fields.require_object(value, f"step {step_index}")
    count = _fields.read_int(fields, "count", minimum=1)
    if count > MAX_TASKS_PER_STEP:
        raise errors.ProtocolError(
            f"'count' of step {step_index} is {count}, at most "
            f"{MAX_TASKS_PER_STEP}")
    # The platform leaves out fields that are 0, false or empty. Only for
    # `miss_allowed` does a missing field differ from 0: it means no limit.
    max_unavailable = (_fields.read_int(fields, "miss_allowed")
                       if "miss_allowed" in fields else None)
    return model.Step(
        count=count,
        cpu_millis=_fields.read_amount(fields, "cpu"),
        memory_mib=_fields.read_amount(fields, "mem_mb"),
        accelerators=_fields.read_amount(fields, "gpu"),
        # A longer estimate does not change when or where a task starts.
        estimate_ms=min(_fields.MAX_AMOUNT,
                        _fields.read_int(fields, "estimate_ms", 0)),
        depends_on=_parse_dependencies(fields.get("depends_on"), step_index),
        has_checkpoints=_fields.read_bool(fields, "checkpointing"),
        is_gang=_fields.read_bool(fields, "gang"),
        prefers_same_rack=_fields.read_bool(fields, "same_rack"),
        required_label=_fields.read_string(fields, "requires", ""),
        preferred_rack=_fields.read_string(fields, "data_rack", ""),
        # The wire name misleads: the maximum number of tasks per worker.
        max_tasks_per_worker=_fields.read_int(fields, "anti_affinity", 0),
        allows_speculative_copies=_fields.read_bool(fields, "speculative"),
        is_long_running=_fields.read_bool(fields, "long_running"),
        image=_fields.read_string(fields, "image", ""),
        # Limit on the tail latency of the requests that the task serves.
        tail_latency_limit_ms=_fields.read_int(fields, "target_ms", 0),
        is_best_effort=_fields.read_bool(fields, "fills"),
        max_unavailable=max_unavailable)


def parse_submission(body: bytes, job_id: str, queue: model.Queue,
                     accepted_at_ms: int) -> model.SteppedJob:
    """Decodes a submitted job; it has no assignment to worker groups yet.

    Args:
        body: Body of the request.
        job_id: Identifier of the job.
        queue: Queue to which the job is submitted.
        accepted_at_ms: Time of the request in milliseconds since 1970.

    Raises:
        ProtocolError: The body is not a valid job.
    """
    document = _json.decode_object(body, "the body")
    payload = _fields.read_string(document, "spec", "")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise errors.ProtocolError(
            f"'spec' has {len(payload.encode())} bytes, at most "
            f"{MAX_PAYLOAD_BYTES}")
    step_documents = document.get("steps")
    if not isinstance(step_documents,
                      list) or not 1 <= len(step_documents) <= MAX_STEPS:
        raise errors.ProtocolError(
            f"'steps' must be a list of 1 to {MAX_STEPS} steps")
    occurrences = max(1, _fields.read_int(document, "repeat_count", 0))
    if occurrences > MAX_OCCURRENCES:
        raise errors.ProtocolError(
            f"'repeat_count' is {occurrences}, at most {MAX_OCCURRENCES}")
    steps = tuple(
        parse_step(step, index) for index, step in enumerate(step_documents))
    step_run_count = occurrences * len(steps)
    task_count = occurrences * sum(step.count for step in steps)
    if step_run_count > MAX_STEP_RUNS or task_count > MAX_TASKS:
        raise errors.ProtocolError(
            f"the job has {step_run_count} steps and {task_count} tasks in "
            f"all occurrences, at most {MAX_STEP_RUNS} and {MAX_TASKS}")
    return model.SteppedJob(
        job_id=job_id,
        queue=queue,
        payload=payload,
        steps=steps,
        assignment=(),
        accepted_at_ms=accepted_at_ms,
        first_run_ms=_fields.read_int(document, "first_run_ms", 0),
        interval_ms=_fields.read_int(document, "interval_ms", 0),
        occurrences=occurrences)
