"""Jobs that have nothing running although the turn of a task has come."""

import collections
from typing import Any, Iterable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _admission
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _load
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _relaxation
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _throttling

MAX_KEPT_ENDS = 4
"""Newest ends of runs that are kept for each job."""

_OTHER_SERVICE = "other-service"
_TOO_MUCH_STRETCH = "too-much-stretch"


class RunEnd(NamedTuple):
    """End of a run of a job; for the log.

    Attributes:
        task: Numbers of the occurrence, the step and the task.
        cause: Cause of the end.
        seconds: Duration of the run in seconds.
        ended_at: Monotonic time in seconds at which this leader applied it.
    """

    task: tuple[int, int, int]
    cause: str
    seconds: float
    ended_at: float


class IdleJob(NamedTuple):
    """Job of a group that has due tasks and no runs.

    Attributes:
        job_id: Identifier of the job.
        idle_s: Time in seconds since the last run of the job ended here, or
            since it was first found without runs if no task was due before.
        steps: Keys of the steps with due tasks that wait in this group.
        run_ends: Newest ends of runs of the job, oldest first.
    """

    job_id: str
    idle_s: float
    steps: tuple[tuple[int, int], ...]
    run_ends: tuple[RunEnd, ...]


class IdleJobMonitor:
    """Measures for how long jobs of a group have had nothing running.

    Only the runs in this group count; other groups of a divided job have lines
    of their own. The memory is bounded by the jobs of the group.
    """

    def __init__(self) -> None:
        self._idle_since: dict[str, float] = {}
        self._observed_at = 0.0
        self._run_ends: dict[str, collections.deque[RunEnd]] = {}

    def add_run_ends(self, ended_runs: Iterable[_orders.AppliedRunEnd],
                     now: float) -> None:
        """Adds the ends of runs that were just applied."""
        for ended_run in ended_runs:
            task = ended_run.task
            self._run_ends.setdefault(
                task.job_id, collections.deque(maxlen=MAX_KEPT_ENDS)).append(
                    RunEnd((task.occurrence, task.step, task.index),
                           ended_run.cause, ended_run.seconds, now))

    def observe(self, state: _group_state.GroupState, now: float,
                now_ms: int) -> list[IdleJob]:
        """Returns the jobs that have nothing running, longest first.

        Args:
            state: State of the group.
            now: Present monotonic time in seconds.
            now_ms: Time of day in milliseconds since 1970.
        """
        self._run_ends = {
            job_id: run_ends
            for job_id, run_ends in self._run_ends.items()
            if job_id in state.jobs
        }
        idle_since = {}
        idle_jobs = []
        for job_id, job in state.jobs.items():
            if job.has_ended or job.list_active_runs():
                continue
            steps = tuple(step_run.key
                          for step_run in job.steps.values()
                          if step_run.waiting_indexes and
                          job.is_step_due(step_run, now_ms))
            if not steps:
                continue
            run_ends = tuple(self._run_ends.get(job_id, ()))
            since = self._idle_since.get(job_id, now)
            if (job_id not in self._idle_since and run_ends and
                    run_ends[-1].ended_at > self._observed_at):
                since = run_ends[-1].ended_at
            idle_since[job_id] = since
            idle_jobs.append(IdleJob(job_id, now - since, steps, run_ends))
        self._idle_since = idle_since
        self._observed_at = now
        idle_jobs.sort(key=lambda idle_job: -idle_job.idle_s)
        return idle_jobs


def explain_idle_job(state: _group_state.GroupState, idle_job: IdleJob,
                     reports: dict[str, _admission.GroupReport],
                     now: float) -> dict[str, Any]:
    """Returns what keeps the first waiting step of a job from starting.

    Args:
        state: State of the group.
        idle_job: The job.
        reports: Newest load reports by group.
        now: Present monotonic time in seconds.
    """
    job = state.jobs[idle_job.job_id]
    step_run = job.steps[idle_job.steps[0]]
    step = step_run.step
    candidates = [
        _placement.build_candidate(worker)
        for worker in state.workers.values()
        if worker.can_receive_starts(now)
    ]
    is_busy = _relaxation.is_group_busy(candidates)
    relaxation = _relaxation.choose_relaxation(job, step_run, is_busy, now)
    indexes = sorted(step_run.waiting_indexes)
    retry_times = [
        suspicion.retry_at - now
        for index, suspicion in step_run.suspicions.items()
        if suspicion.retry_at > now
    ] + [
        refusals.repeat_at - now
        for index, refusals in step_run.refusals.items()
        if refusals.repeat_at > now
    ]
    return {
        "step":
            step_run.key,
        "waiting_tasks":
            len(indexes),
        "image":
            step.image,
        "is_best_effort":
            step.is_best_effort,
        "cpu_millis":
            step.cpu_millis,
        "unfinished_by_group":
            _count_unfinished_tasks(job),
        "is_reconciled":
            job.is_reconciled,
        "has_pending_move":
            job.pending_move_number is not None,
        "unplaced_s":
            None if step_run.unplaced_since is None else now -
            step_run.unplaced_since,
        "waited_before_s":
            job.waited_before_s,
        "moves_without_start":
            job.moves_without_start,
        "left_groups":
            sorted(job.entry.last_move_numbers),
        "is_busy":
            is_busy,
        "relaxation":
            relaxation.value,
        "workers":
            _count_obstacles(state, job, step_run, relaxation, now),
        "reserved_worker":
            step_run.reserved_worker,
        "suspects":
            sum(map(step_run.needs_probation, indexes)),
        "refused":
            len(step_run.refusals),
        "longest_retry_s":
            max(retry_times, default=0.0),
        "run_ends": [(run_end.task, run_end.cause, round(run_end.seconds, 2),
                      round(now - run_end.ended_at, 2))
                     for run_end in idle_job.run_ends],
        "reserved_share":
            _compute_reserved_share(
                sum(candidate.worker.entry.cpu_millis
                    for candidate in candidates),
                sum(candidate.free_cpu_millis for candidate in candidates)),
        "other_groups": {
            group: _summarize_report(report, step, job.service, now)
            for group, report in reports.items()
            if group != state.group
        }
    }


def _count_unfinished_tasks(job: _runs.JobRun) -> dict[str, int]:
    """Returns the tasks that are not done as far as is known, by group."""
    counts: collections.Counter[str] = collections.Counter()
    for step_run in job.steps.values():
        for index in set(range(step_run.step.count)) - step_run.done_indexes:
            counts.update(group for group in job.entry.groups
                          if job.entry.has_task(group, step_run.key[1], index))
    return dict(counts)


def _count_obstacles(state: _group_state.GroupState, job: _runs.JobRun,
                     step_run: _runs.StepRun, relaxation: _placement.Relaxation,
                     now: float) -> dict[str, int]:
    """Returns the number of workers by what keeps the step off them."""
    service = state.find_queue(job).service
    task_counts = step_run.count_runs_by_worker()
    counts: collections.Counter[str] = collections.Counter()
    for worker in state.workers.values():
        if worker.entry.service != service:
            counts[_OTHER_SERVICE] += 1
            continue
        obstacle = worker.find_start_obstacle(now)
        if obstacle is None:
            obstacle = _placement.find_obstacle(
                _placement.build_candidate(worker), step_run.step, task_counts,
                state.interference, relaxation)
        name = obstacle.value if obstacle else "free"
        if obstacle is _placement.PlacementObstacle.INTERFERENCE:
            interference = _throttling.find_interference(
                worker, state.interference, step_run.step.image,
                _throttling.compute_latency_margins(worker, state.interference))
            name = interference.value if interference else _TOO_MUCH_STRETCH
        counts[name] += 1
    return dict(counts)


def _compute_reserved_share(capacity_cpu_millis: int,
                            free_cpu_millis: int) -> float:
    return round(1.0 - free_cpu_millis / max(1, capacity_cpu_millis), 2)


def _summarize_report(report: _admission.GroupReport, step: model.Step,
                      service: str, now: float) -> dict[str, Any]:
    load = report.load
    return {
        "age_s":
            round(now - report.reported_at, 2),
        "is_usable":
            load.is_usable,
        "reserved_share":
            _compute_reserved_share(
                load.capacity_cpu_millis,
                load.capacity_cpu_millis - load.reserved_cpu_millis),
        "room_cpu_millis":
            _load.find_free_cpu(load, step, service)
    }
