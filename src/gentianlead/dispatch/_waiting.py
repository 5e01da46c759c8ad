"""Steps whose tasks wait for a start, and what keeps them from starting."""

import collections
from typing import NamedTuple

from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs

_OTHER_SERVICE = "other-service"


class StepWait(NamedTuple):
    """Tasks of a step that are due and wait in a group.

    Attributes:
        job_id: Identifier of the job.
        step: Number of the repetition of the job and index of the step.
        indexes: Indexes of the waiting tasks of the group.
        waited_s: Time in seconds since `WaitMonitor.observe` first found tasks
            of the step waiting in this group.
        is_long_running: Whether the tasks are long-running.
    """

    job_id: str
    step: tuple[int, int]
    indexes: tuple[int, ...]
    waited_s: float
    is_long_running: bool


class WaitCause(NamedTuple):
    """What keeps the tasks of a step from starting; for the log.

    Attributes:
        is_reconciled: Whether the leader knows all runs of the job.
        has_pending_move: Whether the job has a move that the topic does not
            show yet.
        unplaced_s: Time in seconds for which the planner has found no capacity
            for the step; None if it has not looked or has found some.
        reserved_worker: Worker that is reserved for the step, or empty.
        cpu_millis: CPU that a task needs, in thousandths of a core.
        largest_free_cpu_millis: Most unreserved CPU on one worker that may
            receive starts.
        largest_reclaimable_cpu_millis: Most CPU that no long-running task
            reserves on one worker of the service that may receive starts. A
            task that needs more waits for the end of long-running tasks.
        reclaimable_cpu_millis: Sum of this CPU over these workers.
        memory_mib: Memory that a task needs in MiB.
        workers: Number of workers by obstacle; those that could take a task are
            counted under `free`.
        oldest_status_s: Age in seconds of the oldest status report of a worker
            that the registry lists; None if one has sent none.
    """

    is_reconciled: bool
    has_pending_move: bool
    unplaced_s: float | None
    reserved_worker: str
    cpu_millis: int
    largest_free_cpu_millis: int
    largest_reclaimable_cpu_millis: int
    reclaimable_cpu_millis: int
    memory_mib: int
    workers: dict[str, int]
    oldest_status_s: float | None


class WaitMonitor:
    """Measures how long tasks wait for a start in a group.

    Waits of steps whose tasks the planner never considers count as well.
    """

    def __init__(self) -> None:
        self._waiting_since: dict[tuple[str, tuple[int, int]], float] = {}

    def observe(self, state: _group_state.GroupState, now: float,
                now_ms: int) -> list[StepWait]:
        """Returns the waiting steps: long-running first, then longest first.

        Args:
            state: State of the group.
            now: Present monotonic time in seconds.
            now_ms: Time of day in milliseconds since 1970.
        """
        waiting_since = {}
        waits = []
        for job in state.jobs.values():
            if job.has_ended:
                continue
            for step_run in job.steps.values():
                if not step_run.waiting_indexes or not job.is_step_due(
                        step_run, now_ms):
                    continue
                key = (job.job.job_id, step_run.key)
                since = self._waiting_since.get(key, now)
                waiting_since[key] = since
                waits.append(
                    StepWait(*key, tuple(sorted(step_run.waiting_indexes)),
                             now - since, step_run.step.is_long_running))
        self._waiting_since = waiting_since
        waits.sort(key=lambda wait: (not wait.is_long_running, -wait.waited_s))
        return waits


def find_wait_cause(state: _group_state.GroupState, wait: StepWait,
                    now: float) -> WaitCause:
    """Determines what keeps the tasks of a step from starting."""
    job = state.jobs[wait.job_id]
    step_run = job.steps[wait.step]
    step = step_run.step
    largest_free_cpu_millis = max(
        (worker.entry.cpu_millis - worker.compute_load().reserved_cpu_millis
         for worker in state.workers.values()
         if worker.can_receive_starts(now)),
        default=0)
    service = state.find_queue(job).service
    reclaimable_cpu_millis = [
        max(0,
            _placement.build_candidate(worker).reclaimable_cpu_millis)
        for worker in state.workers.values()
        if worker.entry.service == service and worker.can_receive_starts(now)
    ]
    status_times = [
        worker.last_status_at
        for worker in state.workers.values()
        if worker.is_registered
    ]
    return WaitCause(
        job.is_reconciled, job.pending_move_number is not None,
        None if step_run.unplaced_since is None else now -
        step_run.unplaced_since, step_run.reserved_worker, step.cpu_millis,
        largest_free_cpu_millis, max(reclaimable_cpu_millis, default=0),
        sum(reclaimable_cpu_millis), step.memory_mib,
        _count_obstacles(state, job, step_run, now),
        None if None in status_times else now - min(status_times, default=now))


def _count_obstacles(state: _group_state.GroupState, job: _runs.JobRun,
                     step_run: _runs.StepRun, now: float) -> dict[str, int]:
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
                state.interference)
        counts[obstacle.value if obstacle else "free"] += 1
    return dict(counts)
