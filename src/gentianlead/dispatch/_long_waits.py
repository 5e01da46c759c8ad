"""Explains why the long-running tasks of a step wait for long."""

import enum
from typing import Any

from gentianlead import model
from gentianlead.dispatch import _admission
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _load
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _waiting


class WaitReason(enum.Enum):
    """First reason that applies to waiting tasks, in this order.

    Attributes:
        FORMER_RUNS_UNKNOWN: The leader does not know all former runs yet.
        MOVE_PENDING: The topic does not show a move of the job.
        STARTS_REFUSED: Workers have refused starts since the tasks last ran.
        SUSPECTS: All of them need a worker that is kept for them.
        ROOM_IN_GROUP: A worker of the group could take a task.
        NO_RECENT_REPORT: No other group has a recent load report.
        ROOM_ELSEWHERE: A report shows room, but no move has begun.
        GROUP_UNUSABLE: The group may start nothing, and no report shows room.
        FITS_NOWHERE: A task fits on no worker of any group.
    """

    FORMER_RUNS_UNKNOWN = "former-runs-unknown"
    MOVE_PENDING = "move-pending"
    STARTS_REFUSED = "starts-refused"
    SUSPECTS = "suspects"
    ROOM_IN_GROUP = "room-in-group"
    NO_RECENT_REPORT = "no-recent-report"
    ROOM_ELSEWHERE = "room-elsewhere"
    GROUP_UNUSABLE = "group-unusable"
    FITS_NOWHERE = "fits-nowhere"


def explain_long_wait(state: _group_state.GroupState, job: _runs.JobRun,
                      step_run: _runs.StepRun,
                      reports: dict[str, _admission.GroupReport],
                      now: float) -> dict[str, Any]:
    """Returns the reason of a wait and what it was decided from.

    Args:
        state: State of the group.
        job: The job.
        step_run: A long-running step of the job with waiting tasks.
        reports: Newest load reports by group.
        now: Present monotonic time in seconds.
    """
    indexes = sorted(step_run.waiting_indexes)
    wait = _waiting.StepWait(job.job.job_id, step_run.key, tuple(indexes), 0.0,
                             True)
    cause = _waiting.find_wait_cause(state, wait, now)
    is_usable = not state.is_evacuated and any(
        worker.can_receive_starts(now) for worker in state.workers.values())
    report_ages_s = {
        group: round(now - report.reported_at, 2)
        for group, report in reports.items()
        if group != state.group
    }
    max_age_s = _admission.MAX_REPORT_AGE.total_seconds()
    rooms_cpu_millis = {
        group: _find_room(report.load, step_run.step, job.service)
        for group, report in reports.items()
        if group != state.group and now - report.reported_at <= max_age_s
    }
    rooms_cpu_millis = {
        group: cpu_millis
        for group, cpu_millis in rooms_cpu_millis.items()
        if cpu_millis >= 0
    }
    refusals = {
        index: state.refused_starts[task]
        for index in indexes
        if (task := model.TaskKey(job.job.job_id, *step_run.key, index)
           ) in state.refused_starts
    }
    checks = (
        (not job.is_reconciled, WaitReason.FORMER_RUNS_UNKNOWN),
        (job.pending_move_number is not None, WaitReason.MOVE_PENDING),
        (bool(refusals), WaitReason.STARTS_REFUSED),
        (all(map(step_run.needs_probation, indexes)), WaitReason.SUSPECTS),
        (is_usable and "free" in cause.workers, WaitReason.ROOM_IN_GROUP),
        (all(age_s > max_age_s for age_s in report_ages_s.values()),
         WaitReason.NO_RECENT_REPORT),
        (bool(rooms_cpu_millis), WaitReason.ROOM_ELSEWHERE),
        (not is_usable, WaitReason.GROUP_UNUSABLE),
    )
    reason = next((reason for applies, reason in checks if applies),
                  WaitReason.FITS_NOWHERE)
    return {
        "reason":
            reason.value,
        "is_group_usable":
            is_usable,
        "is_evacuated":
            state.is_evacuated,
        "unplaced_s":
            cause.unplaced_s,
        "reserved_worker":
            cause.reserved_worker,
        "workers":
            cause.workers,
        "report_ages_s":
            report_ages_s,
        "rooms_cpu_millis":
            rooms_cpu_millis,
        "refusals": {
            index: refusal._asdict() for index, refusal in refusals.items()
        },
        "suspects": [
            index for index in indexes if step_run.needs_probation(index)
        ]
    }


def _find_room(load: _load.GroupLoad, step: model.Step, service: str) -> int:
    """Returns the most free CPU of a worker that could take a task, or -1."""
    if not load.is_usable or (step.required_label and
                              step.required_label not in load.labels):
        return -1
    return _load.find_free_cpu(load, step, service)
