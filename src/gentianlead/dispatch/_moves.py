"""Moves of waiting jobs: which job leaves its group, and for which group."""

import datetime
from typing import AbstractSet, Callable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _admission
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _load
from gentianlead.dispatch import _move_choices
from gentianlead.dispatch import _records
from gentianlead.dispatch import _relaxation
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _task_runs

JOB_MOVE_DELAY = datetime.timedelta(milliseconds=400)
"""Time without capacity after which a job without active runs may move to a
less loaded group as a whole, if it is not long-running. A move takes as long as
two appends. The delay doubles with each move since the job last started a task,
up to `MAX_JOB_MOVE_DELAY`: the groups to which the job moved did not place it
either, and each move adds a key to the topic."""

MAX_JOB_MOVE_DELAY = datetime.timedelta(milliseconds=6400)
"""Upper bound of the delay that grows from `JOB_MOVE_DELAY`."""

ROOM_MOVE_DELAY_FACTOR = 0.25
"""Multiplies the delay, down to `JOB_MOVE_DELAY`, before a move to a group that
has room for a task of the job. Most of these moves are followed by a start."""

MAX_START_WAIT_S = (_relaxation.IGNORE_INTERFERENCE_DELAY +
                    JOB_MOVE_DELAY).total_seconds()
"""Wait of a job in seconds up to which it stays in a group with a worker that
is not busy. After it, something else keeps the job from starting there, such as
a reservation."""

LESS_LOADED_FACTOR = 1.5
"""A waiting job moves to another group only if the load there, multiplied by
this factor, is still below the load of the job's own group."""

ARRIVAL_MOVE_DELAY = datetime.timedelta(milliseconds=200)
"""Time without capacity after which a long-running task that moved to a group
may go on to one with room that no task of its job has left. Leaders of several
groups may have moved tasks into the same room. As each such move adds a group
that the job has left, the delay before other moves bounds their rate."""

MOVE_DURATION = datetime.timedelta(milliseconds=300)
"""Time of a move, which is one append and the read of the destination. Nothing
of the job starts meanwhile, so it counts as a wait for capacity; the
destination cannot measure it, as daemons do not share a clock."""

MOVE_REPORT_DELAY = datetime.timedelta(milliseconds=150)
"""A load report that arrives at least this long after a move has begun includes
the moved job: the time covers the append, the read by the destination's leader
and the age of the load in its report."""

RELEASED_ROOM_DURATION = datetime.timedelta(milliseconds=2500)
"""Time for which the room of another group that justified the stop of a run is
not used for a further one: the stop, the delay before the move, the move, and
the next load report of that group."""


class PlannedMove(NamedTuple):
    """Move of tasks to another group that has begun but is not stored.

    Attributes:
        job: The job; none of its tasks starts until the topic shows the move.
        record: The record to store.
        choice: The chosen group, and what decided.
        report_age_s: Age in seconds of the load report of the chosen group.
    """

    job: _runs.JobRun
    record: _records.MovedRecord
    choice: _move_choices.MoveChoice
    report_age_s: float


class _TakenRooms(NamedTuple):
    """Rooms that moved tasks of a step will use in their new group.

    Attributes:
        step: The step.
        service: Service whose workers run the tasks.
        task_count: Number of tasks.
    """

    step: model.Step
    service: str
    task_count: int


class _RecentMove(NamedTuple):
    """Move that the load reports of its destination may not include yet.

    Attributes:
        group: Destination.
        demand: Demand of the moved job.
        begun_at: Monotonic time in seconds at which the move began, or at which
            it was last found not to be read from the topic.
        job: The job.
        move_number: Number of the move.
        rooms: Rooms that the tasks will use; None for a move that does not need
            them at once.
    """

    group: str
    demand: _load.JobDemand
    begun_at: float
    job: _runs.JobRun
    move_number: int
    rooms: _TakenRooms | None = None


class MovePlanner:
    """Plans the moves of jobs and tasks out of a group.

    A move counts in the load of both groups as soon as it begins. Otherwise all
    jobs that wait in a group would move to the one that had the least load in
    the last reports, and back again with the next ones.
    """

    def __init__(self, state: _group_state.GroupState):
        self._state = state
        self._recent_moves: list[_RecentMove] = []
        # Runs that may leave the group, each with the monotonic time in seconds
        # at which they were marked.
        self._released_runs: list[tuple[_task_runs.Run, float]] = []

    def plan(self, get_own_load: Callable[[], _load.GroupLoad],
             reports: dict[str, _admission.GroupReport],
             now: float) -> list[PlannedMove]:
        """Begins the moves of jobs and tasks that should leave the group now.

        Args:
            get_own_load: Returns the present load of the group.
            reports: Newest load reports by group.
            now: Present monotonic time in seconds.

        Returns:
            The moves, which the caller has to store.
        """
        reports = self._include_recent_moves(reports, now)
        moves = []
        own_load = None
        quiet_candidates = None
        for job in self._state.list_movable_jobs():
            if own_load is None:
                own_load = get_own_load()
            may_ignore_interference = (own_load.is_usable and
                                       _move_choices.may_ignore_interference(
                                           job, now))
            if may_ignore_interference:
                if quiet_candidates is None:
                    quiet_candidates = _move_choices.list_quiet_candidates(
                        self._state, now)
                if (job.compute_waited_s(now) < MAX_START_WAIT_S and
                        _move_choices.has_quiet_worker(self._state, job,
                                                       quiet_candidates)):
                    continue  # A worker of this group may take a task now.
            choice = _choose_new_group(job, own_load, reports, now)
            if may_ignore_interference and not choice.group:
                choice = _move_choices.choose_group_with_quiet_worker(
                    job, reports,
                    job.has_unplaced_tasks(now, JOB_MOVE_DELAY.total_seconds()),
                    now)
            if choice.group:
                demand = _load.compute_job_demand(job)
                move = _begin_move(job, (), choice, reports, now)
                moves.append(move)
                self._add_recent_move(
                    reports,
                    _RecentMove(choice.group, demand, now, job,
                                move.record.move_number,
                                _list_taken_rooms(job, choice)))
                own_load = _load.subtract_demand_from_load(own_load, demand)
        for job, step_run in self._state.list_unplaced_steps(now):
            if job.pending_move_number is not None:
                continue  # Another step of the job has just begun to move.
            move = _plan_step_move(job, step_run,
                                   _list_idle_indexes(job, step_run), reports,
                                   now)
            if move is not None:
                moves.append(move)
                self._add_step_move(reports, step_run, move, now)
        for job, step_run in self._list_unplaced_arrivals(now):
            if job.pending_move_number is not None:
                continue
            move = _plan_step_move(
                job, step_run, [
                    index for index in _list_idle_indexes(job, step_run)
                    if index in step_run.moved_indexes
                ], _filter_untried_groups(job, step_run.step, reports), now)
            if move is not None:
                moves.append(move)
                self._add_step_move(reports, step_run, move, now)
        self._release_leaving_runs(reports, now)
        return moves

    def _add_step_move(self, reports: dict[str, _admission.GroupReport],
                       step_run: _runs.StepRun, move: PlannedMove,
                       now: float) -> None:
        task_count = (len(move.record.task_indexes) or
                      len(step_run.waiting_indexes))
        self._add_recent_move(
            reports,
            _RecentMove(
                move.choice.group,
                _load.compute_step_demand(step_run.step, task_count), now,
                move.job, move.record.move_number,
                _TakenRooms(step_run.step, move.job.service, task_count)))

    def _list_unplaced_arrivals(
            self, now: float) -> list[tuple[_runs.JobRun, _runs.StepRun]]:
        """Returns long-running steps with tasks that moved here in vain.

        They have lacked capacity for `ARRIVAL_MOVE_DELAY`.
        """
        return [
            (job, step_run) for job in self._state.jobs.values()
            if job.is_reconciled and not job.has_ended
            for step_run in job.steps.values()
            if step_run.step.is_long_running and
            step_run.unplaced_since is not None and now -
            step_run.unplaced_since >= ARRIVAL_MOVE_DELAY.total_seconds() and
            step_run.waiting_indexes & step_run.moved_indexes
        ]

    def _release_leaving_runs(self, reports: dict[str, _admission.GroupReport],
                              now: float) -> None:
        """Marks long-running runs on leaving workers that fit in other groups.

        They are stopped although their own group may have no room. Without a
        stop, such a run ends with its worker, and its task can move only after
        the lease. No more runs are marked at a time than fit on one worker of
        the other group; those that have ended count until a report can show
        their tasks. A gang is left out, as all its members would have to move.
        """
        leaving_runs = [
            run for worker in self._state.workers.values()
            if worker.entry.is_draining and worker.is_reachable
            for run in worker.runs.values()
            if run.step.is_long_running and not run.step.is_gang
        ]
        self._released_runs = [
            (run, released_at)
            for run, released_at in self._released_runs
            if run in leaving_runs or now -
            released_at <= RELEASED_ROOM_DURATION.total_seconds()
        ]
        for run in leaving_runs:
            job = self._state.jobs.get(run.task.job_id)
            if job is None or job.has_ended or run.may_leave_group:
                continue
            fallback_group = _choose_fallback_group(job, run.task.step,
                                                    frozenset(), reports, now)
            if (fallback_group.group and
                    len(self._released_runs) < fallback_group.max_tasks):
                run.may_leave_group = True
                self._released_runs.append((run, now))

    def _include_recent_moves(self, reports: dict[str, _admission.GroupReport],
                              now: float) -> dict[str, _admission.GroupReport]:
        """Returns the reports with all moves that they may not include.

        A move that this leader has not read from the topic was not read by the
        other one for longer than a moment.
        """
        self._recent_moves = [
            move._replace(begun_at=now) if self._is_pending(move) else move
            for move in self._recent_moves
        ]
        self._recent_moves = [
            move for move in self._recent_moves
            if now - move.begun_at <= _admission.MAX_REPORT_AGE.total_seconds()
            and move.group in reports and reports[move.group].reported_at <
            move.begun_at + MOVE_REPORT_DELAY.total_seconds()
        ]
        reports = dict(reports)
        for move in self._recent_moves:
            _add_move_to_report(reports, move)
        return reports

    def _is_pending(self, move: _RecentMove) -> bool:
        return (move.job.pending_move_number == move.move_number and
                self._state.jobs.get(move.job.job.job_id) is move.job)

    def _add_recent_move(self, reports: dict[str, _admission.GroupReport],
                         move: _RecentMove) -> None:
        self._recent_moves.append(move)
        _add_move_to_report(reports, move)


def _list_taken_rooms(job: _runs.JobRun,
                      choice: _move_choices.MoveChoice) -> _TakenRooms | None:
    """Returns the room of the task that a whole job starts at once."""
    if choice.reason is not _move_choices.MoveReason.QUIET_WORKER:
        return None
    step = _move_choices.find_waiting_best_effort_step(job).step
    return _TakenRooms(step, job.service, 1)


def _add_move_to_report(reports: dict[str, _admission.GroupReport],
                        move: _RecentMove) -> None:
    report = reports.get(move.group)
    if report is None:
        return
    load = _load.add_demand_to_load(report.load, move.demand)
    if move.rooms is not None:
        load = _load.take_rooms(load, *move.rooms)
    reports[move.group] = report._replace(load=load)


def _begin_move(job: _runs.JobRun, indexes: tuple[int, ...],
                choice: _move_choices.MoveChoice,
                reports: dict[str, _admission.GroupReport],
                now: float) -> PlannedMove:
    report = reports.get(choice.group)
    report_age_s = now - report.reported_at if report is not None else 0.0
    waited_s = job.compute_waited_s(now) + MOVE_DURATION.total_seconds()
    record = _records.MovedRecord(job.job.job_id, job.group, indexes,
                                  choice.group, job.begin_move(),
                                  int(1000 * waited_s),
                                  job.moves_without_start + 1)
    return PlannedMove(job, record, choice, report_age_s)


def _filter_untried_groups(
    job: _runs.JobRun, step: model.Step, reports: dict[str,
                                                       _admission.GroupReport]
) -> dict[str, _admission.GroupReport]:
    """Returns the reports of groups with room that no task of a job has left.
    """
    return {
        group: report
        for group, report in reports.items()
        if group not in job.entry.last_move_numbers and
        (_load.find_free_cpu(report.load, step, job.service) >= 0 or
         _load.has_probation_room(report.load, step, job.service))
    }


def _plan_step_move(job: _runs.JobRun, step_run: _runs.StepRun,
                    idle_indexes: list[int],
                    reports: dict[str, _admission.GroupReport],
                    now: float) -> PlannedMove | None:
    """Begins a move of tasks that lack capacity; None if no group has any.

    The whole job moves if it has no active runs, unless its tasks are in
    several groups or no group with capacity has the labels of all its ready
    steps. Else only tasks of the step move, of those in `idle_indexes`: all
    those of a short step or a gang, or as many as fit on one worker of the
    other group.
    """
    step = step_run.step
    step_index = step_run.key[1]
    is_whole = len(job.entry.assignment) == 1 and not job.list_active_runs()
    needed_labels = _list_needed_labels(job) if is_whole else frozenset()
    fallback_group = _admission.FallbackGroup("")
    if is_whole:
        fallback_group = _choose_fallback_group(job, step_index, needed_labels,
                                                reports, now)
        indexes = []
    if not fallback_group.group and (not is_whole or
                                     needed_labels - {step.required_label}):
        fallback_group = _choose_fallback_group(job, step_index, frozenset(),
                                                reports, now)
        indexes = idle_indexes
        if step.is_gang and len(indexes) < step.count:
            return None
        if step.is_long_running and not step.is_gang:
            indexes = indexes[:fallback_group.max_tasks]
        if not indexes:
            return None
    if not fallback_group.group:
        return None
    return _begin_move(
        job,
        tuple(
            job.job.compute_task_number(step_index, index)
            for index in indexes),
        _move_choices.MoveChoice(fallback_group.group,
                                 _move_choices.MoveReason.NO_CAPACITY), reports,
        now)


def _list_idle_indexes(job: _runs.JobRun, step_run: _runs.StepRun) -> list[int]:
    """Returns the waiting tasks of a step that run in no other repetition.

    An assignment to a group holds for all repetitions.
    """
    active_indexes = {
        index for (_, step_index), other in job.steps.items()
        if step_index == step_run.key[1] for index in other.active_runs
    }
    return sorted(step_run.waiting_indexes - active_indexes)


def _choose_fallback_group(job: _runs.JobRun, step_index: int,
                           required_labels: AbstractSet[str],
                           reports: dict[str, _admission.GroupReport],
                           now: float) -> _admission.FallbackGroup:
    return _admission.choose_fallback_group(job.job, job.entry.assignment,
                                            job.group, reports, now,
                                            job.entry.last_move_numbers,
                                            step_index, required_labels,
                                            job.service)


def _list_needed_labels(job: _runs.JobRun) -> frozenset[str]:
    """Returns the labels that the waiting tasks of a job require.

    Steps whose dependencies are not done are left out: the job can move again
    before they start.
    """
    return frozenset(
        step_run.step.required_label
        for step_run in job.steps.values()
        if step_run.waiting_indexes and step_run.step.required_label and
        job.is_step_ready(step_run))


def compute_move_delay(moves_without_start: int) -> datetime.timedelta:
    """Returns how long a job must lack capacity in a group before it moves."""
    return min(MAX_JOB_MOVE_DELAY,
               JOB_MOVE_DELAY * 2**min(moves_without_start, 10))


def _choose_new_group(job: _runs.JobRun, own_load: _load.GroupLoad,
                      reports: dict[str, _admission.GroupReport],
                      now: float) -> _move_choices.MoveChoice:
    """Chooses the group to which a whole job should move.

    If the job's own group is unusable or lacks a label that the job needs, any
    group that can take the job is chosen. Otherwise only a less loaded group is
    chosen, or one that has room for a task, and only if the job is not
    long-running and one of its steps has lacked capacity for the delay by
    `compute_move_delay`, or a share of it if the group has room.

    Args:
        job: A job that may move: see `GroupState.list_movable_jobs`.
        own_load: Present load of the job's own group.
        reports: Newest load reports by group.
        now: Present monotonic time in seconds.
    """
    if own_load.is_usable and _list_needed_labels(job) <= set(own_load.labels):
        if job.job.is_long_running:
            return _move_choices.STAY
        delay = compute_move_delay(job.moves_without_start)
        room_delay = max(JOB_MOVE_DELAY, ROOM_MOVE_DELAY_FACTOR * delay)
        if job.has_unplaced_tasks(now, room_delay.total_seconds()):
            choice = _move_choices.choose_group_with_room(
                job, own_load, reports, now)
            if choice.group:
                return choice
        if job.has_unplaced_tasks(now, delay.total_seconds()):
            return _choose_less_loaded_group(job, own_load, reports, now)
        return _move_choices.STAY
    other_reports = {
        group: report for group, report in reports.items() if group != job.group
    }
    admission = _admission.decide_admission(job.job, other_reports, job.group,
                                            now, job.service, False)
    group = admission.assignment[0] if admission.assignment else ""
    return (_move_choices.MoveChoice(group,
                                     _move_choices.MoveReason.GROUP_UNUSABLE)
            if group != job.group else _move_choices.STAY)


def _choose_less_loaded_group(job: _runs.JobRun, own_load: _load.GroupLoad,
                              reports: dict[str, _admission.GroupReport],
                              now: float) -> _move_choices.MoveChoice:
    """Chooses a less loaded group for a waiting job, if there is one.

    The only candidate is the group that `decide_admission` chooses among the
    other groups. With the job's demand, it must be less loaded than the own
    group, whose load includes this demand, by `LESS_LOADED_FACTOR`. It must
    also have CPU for the job's largest task: CPU that the best-effort tasks of
    the job can use, or for a job without such tasks free CPU on one worker.
    """
    other_reports = {
        group: report for group, report in reports.items() if group != job.group
    }
    admission = _admission.decide_admission(job.job, other_reports, job.group,
                                            now, job.service, False)
    if len(set(admission.assignment)) != 1:
        return _move_choices.STAY
    group = admission.assignment[0]
    if group not in other_reports:
        return _move_choices.STAY
    load = _load.add_demand_to_load(other_reports[group].load,
                                    _load.compute_job_demand(job))
    own_score = _compute_move_score(job.job, own_load)
    new_score = _compute_move_score(job.job, load)
    if any(step.is_best_effort and step.cpu_millis >
           _admission.compute_best_effort_capacity(job.job, load)
           for step in job.job.steps):
        return _move_choices.STAY
    if new_score * LESS_LOADED_FACTOR >= own_score:
        return _move_choices.STAY
    if not any(step.is_best_effort for step in job.job.steps):
        largest_task_cpu_millis = max(step.cpu_millis for step in job.job.steps)
        if load.largest_free_cpu_millis < largest_task_cpu_millis:
            return _move_choices.STAY
    return _move_choices.MoveChoice(group, _move_choices.MoveReason.LESS_LOADED,
                                    own_score, new_score)


def _compute_move_score(job: model.SteppedJob, load: _load.GroupLoad) -> float:
    """Returns how loaded the group of a waiting job is; lower is better.

    `load` includes the job's demand. The score is the CPU that best-effort
    tasks declare, divided by the CPU that those of the job's images can use; or
    for a job without best-effort steps the backlog of short tasks in seconds.
    """
    if any(step.is_best_effort for step in job.steps):
        return (load.best_effort_cpu_millis /
                _admission.compute_best_effort_capacity(job, load))
    return load.short_backlog_ms / 1000
