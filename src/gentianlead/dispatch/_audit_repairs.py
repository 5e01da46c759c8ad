"""Repair of lasting differences between a leader's state and the topic."""

import enum

from gentianlead import model
from gentianlead.dispatch import _audit
from gentianlead.dispatch import _succession

_REPAIRED_KINDS = frozenset({
    _audit.DifferenceKind.JOB_NOT_HELD, _audit.DifferenceKind.JOB_NOT_ASSIGNED,
    _audit.DifferenceKind.ENTRY_OUTDATED,
    _audit.DifferenceKind.TASK_NOT_TRACKED,
    _audit.DifferenceKind.TASK_NOT_ASSIGNED
})


class RepairOutcome(enum.Enum):
    """What was done about a difference; for the log.

    Attributes:
        NOT_REPAIRED: Nothing; differences of this kind are only reported.
        TOPIC_APPLIED: The state of the job in the topic was applied again.
        RUNS_EXIST: Nothing, as a worker may have a run of the job that its
            tasks do not show: a task could start a second time.
        ASSIGNMENT_IGNORED: Nothing, as the job has departed from the group
            since the offset of the assignment.
    """

    NOT_REPAIRED = "not-repaired"
    TOPIC_APPLIED = "topic-applied"
    RUNS_EXIST = "runs-exist"
    ASSIGNMENT_IGNORED = "assignment-ignored"


def repair_from_topic(state: _succession.StoredGroupState,
                      topic: _audit.TopicView,
                      difference: _audit.Difference) -> RepairOutcome:
    """Applies the state of a job in the topic again, as after any read of it.

    A run stays in `WorkerState.runs` until it has certainly ended. So a task
    without such a run, and without one that a worker reports beside them, may
    wait for its next start.
    """
    entry = topic.jobs.get(difference.job_id)
    if difference.kind not in _REPAIRED_KINDS or entry is None:
        return RepairOutcome.NOT_REPAIRED
    if _has_stray_run(state, difference.job_id):
        return RepairOutcome.RUNS_EXIST
    state.put_job(entry)
    is_assigned = state.group in entry.assignment_offsets
    if is_assigned and difference.job_id not in state.jobs:
        return RepairOutcome.ASSIGNMENT_IGNORED
    return RepairOutcome.TOPIC_APPLIED


def _has_stray_run(state: _succession.StoredGroupState, job_id: str) -> bool:
    """Returns whether a worker has a run that the job does not show."""
    job = state.jobs.get(job_id)
    shown_runs = set(job.list_active_runs()) if job is not None else set()

    def is_of_job(task: model.TaskKey) -> bool:
        return task.job_id == job_id

    return any(
        any(is_of_job(task)
            for task, _ in worker.unknown_runs) or any(
                is_of_job(run.task) and run not in shown_runs
                for run in worker.runs.values())
        for worker in state.workers.values())
