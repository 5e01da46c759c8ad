"""Choice of another group for a job whose best-effort tasks wait."""

import enum
from typing import NamedTuple

from gentianlead.dispatch import _admission
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _load
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _relaxation
from gentianlead.dispatch import _rooms
from gentianlead.dispatch import _runs


class MoveReason(enum.Enum):
    """Why tasks leave their group.

    Attributes:
        GROUP_UNUSABLE: The group has no usable workers, is evacuated, or lacks
            a label that the job needs.
        FREE_ROOM: Best-effort tasks wait, and some could start in another group
            at once.
        LESS_LOADED: A job waits, and another group is less loaded.
        QUIET_WORKER: Best-effort tasks interfere wherever they could start, and
            only in another group a worker with the capacity is not busy.
        NO_CAPACITY: Tasks do not fit on any worker of the group.
    """

    GROUP_UNUSABLE = "group-unusable"
    FREE_ROOM = "free-room"
    LESS_LOADED = "less-loaded"
    QUIET_WORKER = "quiet-worker"
    NO_CAPACITY = "no-capacity"


class MoveChoice(NamedTuple):
    """Group to which a job should move, and what decided.

    Attributes:
        group: The group; empty if the job stays.
        reason: Why the job moves.
        own_score: Score of the job's own group by `_compute_move_score` if the
            reason is `LESS_LOADED`, its room in cores if it is `FREE_ROOM`,
            else 0.
        new_score: Score of the chosen group, likewise; the most free CPU of a
            worker that is not busy, in cores, if the reason is `QUIET_WORKER`.
    """

    group: str
    reason: MoveReason = MoveReason.LESS_LOADED
    own_score: float = 0.0
    new_score: float = 0.0


STAY = MoveChoice("")


def find_waiting_best_effort_step(job: _runs.JobRun) -> _runs.StepRun | None:
    """Returns the first best-effort step with a task that lacks capacity."""
    return next(
        (step_run for step_run in job.steps.values()
         if step_run.step.is_best_effort and step_run.waiting_indexes and
         step_run.unplaced_since is not None), None)


def _list_fresh_reports(job: _runs.JobRun,
                        reports: dict[str, _admission.GroupReport],
                        now: float) -> dict[str, _admission.GroupReport]:
    """Returns recent reports of other groups that can take a whole job.

    These are usable and have all labels that the job requires.
    """
    needed_labels = {
        step.required_label for step in job.job.steps if step.required_label
    }
    return {
        group: report
        for group, report in reports.items()
        if group != job.group and report.load.is_usable and
        needed_labels <= set(report.load.labels) and now -
        report.reported_at <= _admission.MAX_REPORT_AGE.total_seconds()
    }


def choose_group_with_room(job: _runs.JobRun, own_load: _load.GroupLoad,
                           reports: dict[str, _admission.GroupReport],
                           now: float) -> MoveChoice:
    """Chooses a group in which a task of a waiting best-effort step fits.

    A group is a candidate if it is usable, has a recent load report and all
    labels that the job requires, and has room for a task of the step. The one
    with the most room is chosen. The job stays if its own group has room for
    the task, as something else then keeps the step from starting.
    """
    step_run = find_waiting_best_effort_step(job)
    if step_run is None:
        return STAY
    step = step_run.step
    own_room_cpu_millis = _load.get_image_room(own_load, step.image)
    rooms = {
        group: _load.get_image_room(report.load, step.image)
        for group, report in _list_fresh_reports(job, reports, now).items()
    }
    group = max(rooms, key=rooms.__getitem__, default="")
    if (not group or rooms[group] < step.cpu_millis or
            own_room_cpu_millis >= step.cpu_millis):
        return STAY
    return MoveChoice(group, MoveReason.FREE_ROOM, own_room_cpu_millis / 1000,
                      rooms[group] / 1000)


def may_ignore_interference(job: _runs.JobRun, now: float) -> bool:
    """Returns whether a waiting job may start beside any latency-critical task.

    That holds on workers that are not busy, see `Relaxation`.
    """
    return (find_waiting_best_effort_step(job) is not None and
            job.compute_waited_s(now)
            >= _relaxation.IGNORE_INTERFERENCE_DELAY.total_seconds())


def list_quiet_candidates(state: _group_state.GroupState,
                          now: float) -> list[_placement.Candidate]:
    """Returns the workers of a group that may receive starts and are not busy.
    """
    candidates = (_placement.build_candidate(worker)
                  for worker in state.workers.values()
                  if worker.can_receive_starts(now))
    return [candidate for candidate in candidates if not candidate.is_busy]


def has_quiet_worker(state: _group_state.GroupState, job: _runs.JobRun,
                     candidates: list[_placement.Candidate]) -> bool:
    """Returns whether a worker that is not busy has capacity for a waiting job.

    Args:
        state: State of the group.
        job: A job with a waiting best-effort step.
        candidates: Result of `list_quiet_candidates`.
    """
    step = find_waiting_best_effort_step(job).step
    relaxation = _placement.Relaxation.IGNORE_INTERFERENCE_UNLESS_BUSY
    return any(candidate.worker.entry.service == job.service and
               _placement.find_obstacle(candidate, step, {}, state.interference,
                                        relaxation) is None
               for candidate in candidates)


def choose_group_with_quiet_worker(job: _runs.JobRun,
                                   reports: dict[str, _admission.GroupReport],
                                   may_return: bool, now: float) -> MoveChoice:
    """Chooses a group for a job that only a `Relaxation` lets start.

    Its best-effort tasks interfere with latency-critical ones in all groups. It
    moves to the group whose worker has the most free CPU of those that are not
    busy and have the capacity for a task.

    Args:
        job: A job with a waiting best-effort step.
        reports: Newest load reports by group.
        may_return: Whether it may be a group that tasks of the job have left.
        now: Present monotonic time in seconds.
    """
    step = find_waiting_best_effort_step(job).step
    rooms = {
        group:
            _rooms.find_largest_room(report.load.quiet_rooms, step, job.service)
        for group, report in _list_fresh_reports(job, reports, now).items()
        if may_return or group not in job.entry.last_move_numbers
    }
    group = max(rooms, key=rooms.__getitem__, default="")
    if not group or rooms[group] < 0:
        return STAY
    return MoveChoice(group, MoveReason.QUIET_WORKER, 0.0, rooms[group] / 1000)
