"""Planning of stop orders: which runs are stopped, and why."""

import datetime

from gentianlead import model
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _held_places
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _throttling

UNKNOWN_RUN_GRACE = datetime.timedelta(seconds=3)
"""Time for which a worker may report an unknown run before the run is stopped:
the leader may not have read the run's job from the topic yet. If the leader
knows that the job has ended, or that the task does not wait for a start, it
stops the run at once."""

STALL_LIMIT_FACTOR = 4.0
"""A run of a task that is not long-running is stopped if it has made no
progress for longer than this multiple of its estimated duration. Throttled runs
and runs on unreachable workers are never stopped for lack of progress."""

MIN_STALL_LIMIT = datetime.timedelta(seconds=2)
"""Lower bound of the time without progress after which such a run is stopped;
applies if `STALL_LIMIT_FACTOR` times the estimated duration is shorter."""

LONG_RUNNING_STALL_LIMIT = datetime.timedelta(seconds=6)
"""A long-running task that is not ready is stopped if its readiness has not
changed for longer than this time."""

MAX_MOVE_THROTTLE_PERCENT = 50
MOVE_COST = datetime.timedelta(seconds=2)
"""A best-effort task with checkpoints is moved to another worker with capacity
if its throttle, in percent, is at most `MAX_MOVE_THROTTLE_PERCENT` and it ends
sooner there by more than `MOVE_COST`: it loses the work since its checkpoint,
and time for the stop and the start."""

FULL_SPEED = 0.99
"""Share of its full speed that a task must be able to keep on the worker to
which it moves because of interference."""

MAX_RESTART_THROTTLE_PERCENT = 15
MAX_RESTART_PROGRESS_PERCENT = 30
"""A best-effort task without checkpoints is restarted on another worker with
capacity if its throttle is at most `MAX_RESTART_THROTTLE_PERCENT` and its
progress at most `MAX_RESTART_PROGRESS_PERCENT`. At 15 % of its speed, the rest
of such a task takes longer than the whole task at full speed."""

_STALL_REASON = "no progress"


class StopPlanner:
    """Plans the stop orders for the runs on the workers of a group.

    These are the runs that this leader tracks, and those that workers report
    but this leader does not track (`WorkerState.unknown_runs`).
    """

    def __init__(self, state: _group_state.GroupState,
                 held_places: _held_places.HeldPlaces):
        self._state = state
        self._held_places = held_places
        # Capacity left on the workers that may receive starts, by worker
        # identifier, without those on probation: they may fail the run, and
        # receive one start at a time. Held places are already subtracted. None
        # until the plan looks for capacity for a first run.
        self._destination_candidates: dict[str,
                                           _placement.Candidate] | None = None

    def plan(self, orders: list[_orders.Order], now: float) -> None:
        """Appends to `orders` the stop orders that are to be sent now.

        A stop that a worker accepted is ordered again if the run has not ended
        after twice the stop limit. One that failed is ordered again after a
        pause, see `OrderRetry`.
        """
        self._destination_candidates = None
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                reason = self._find_stop_reason(run, now)
                if reason and self._is_stop_due(run, now):
                    run.has_pending_order = True
                    orders.append(
                        _orders.StopOrder(worker.worker_id, run.task,
                                          run.number, reason,
                                          run.stop_retry.failure_count))
                    if reason == _STALL_REASON:
                        self._state.jobs[run.task.job_id].get_step(
                            run.task).last_failed_workers[
                                run.task.index] = worker.worker_id
            if not worker.is_reachable and worker.is_lease_expired(now):
                continue  # Its unknown runs have ended with the lease.
            for (task, run_number), unknown_run in worker.unknown_runs.items():
                if self._should_stop_unknown_run(task, unknown_run, now):
                    unknown_run.has_pending_order = True
                    orders.append(
                        _orders.StopOrder(worker.worker_id, task, run_number,
                                          "obsolete",
                                          unknown_run.stop_retry.failure_count))

    def _is_stop_due(self, run: _task_runs.Run, now: float) -> bool:
        if run.has_pending_order or not run.stop_retry.is_due(now):
            return False
        return (run.phase is not _task_runs.RunPhase.STOPPING or
                now - run.confirmed_at
                > 2 * self._state.timings.stop_limit.total_seconds())

    def _should_stop_unknown_run(self, task: model.TaskKey,
                                 unknown_run: _task_runs.UnknownRun,
                                 now: float) -> bool:
        if (unknown_run.has_pending_order or
                not unknown_run.stop_retry.is_due(now)):
            return False
        if unknown_run.stop_accepted_at is not None and (
                now - unknown_run.stop_accepted_at
                <= 2 * self._state.timings.stop_limit.total_seconds()):
            return False
        return (self._is_obsolete(task) or now - unknown_run.first_reported_at
                > UNKNOWN_RUN_GRACE.total_seconds())

    def _is_obsolete(self, task: model.TaskKey) -> bool:
        job = self._state.jobs.get(task.job_id)
        if job is None:
            entry = self._state.find_job_entry(task.job_id)
            return entry is not None and entry.state.is_final
        step_run = job.get_step(task)
        return (job.has_ended or step_run is None or
                task.index not in step_run.waiting_indexes)

    def _find_stop_reason(self, run: _task_runs.Run, now: float) -> str:
        job = self._state.jobs.get(run.task.job_id)
        if job is None or job.has_ended:
            return "job has ended"
        if run.phase is _task_runs.RunPhase.UNKNOWN and (
                run.start_attempts >= _orders.MAX_START_ATTEMPTS):
            return "no reply to its start order"
        if run.phase is _task_runs.RunPhase.STOPPING:
            return "its stop had no effect"
        step_run = job.get_step(run.task)
        if run.task.index in step_run.done_indexes:
            return "task is done"
        if self._is_stalled(run, now):
            return _STALL_REASON
        if run.phase is not _task_runs.RunPhase.RUNNING:
            return ""
        if self._should_leave_worker(run) and (
                run.may_leave_group or self._find_place_elsewhere(run, now)):
            return "worker is leaving"
        if _is_faster_elsewhere(run) and self._find_place_elsewhere(run, now):
            return "interferes with latency-critical tasks"
        return ""

    def _should_leave_worker(self, run: _task_runs.Run) -> bool:
        """Returns whether a run should move because its worker is leaving.

        Long-running tasks always move. Any other task moves only if it has
        checkpoints and would not end before the worker leaves; a worker whose
        time of leaving is unknown counts as leaving now.
        """
        entry = self._state.workers[run.worker_id].entry
        if not entry.is_draining:
            return False
        if run.step.is_long_running:
            return True
        if not run.step.has_checkpoints:
            return False
        remaining_ms = run.step.estimate_ms * (100 - run.progress_percent) / 100
        return remaining_ms > (entry.leaves_in_ms or 0)

    def _find_place_elsewhere(self, run: _task_runs.Run, now: float) -> bool:
        """Finds a place for a run on another worker of the same service.

        The place is held for the next run of a long-running task; for any other
        task it is reserved in the present plan only.

        Returns:
            Whether there is a place.
        """
        if self._held_places.has_place(run, now):
            return True
        if self._destination_candidates is None:
            self._destination_candidates = {
                worker.worker_id: self._held_places.build_candidate(worker)
                for worker in self._state.workers.values()
                if worker.can_receive_starts(now) and not worker.is_on_probation
            }
        job = self._state.jobs[run.task.job_id]
        step_run = job.get_step(run.task)
        other_candidates = [
            candidate for candidate in self._destination_candidates.values()
            if candidate.worker.worker_id != run.worker_id and candidate.worker.
            entry.service == self._state.workers[run.worker_id].entry.service
            and (not run.step.is_best_effort or candidate.predict_speed(
                run.step, self._state.interference) >= FULL_SPEED)
        ]
        chosen_candidate = _placement.choose_worker(
            other_candidates, run.step, "", step_run.count_runs_by_worker(),
            None, self._state.interference)
        if chosen_candidate is None:
            return False
        worker_id = chosen_candidate.worker.worker_id
        if run.step.is_long_running:
            self._held_places.hold(run, worker_id, now)
        self._destination_candidates[worker_id] = _placement.subtract_task(
            chosen_candidate, run.step)
        return True

    def _is_stalled(self, run: _task_runs.Run, now: float) -> bool:
        if (run.phase is not _task_runs.RunPhase.RUNNING or
                run.throttle_percent != 100):
            return False
        worker = self._state.workers[run.worker_id]
        if not worker.is_reachable:
            return False
        no_progress_s = now - run.progressed_at
        if run.step.is_long_running:
            return (run.progress_percent < 100 and
                    no_progress_s > LONG_RUNNING_STALL_LIMIT.total_seconds())
        stall_limit_s = max(MIN_STALL_LIMIT.total_seconds(),
                            STALL_LIMIT_FACTOR * run.step.estimate_ms / 1000)
        return no_progress_s > stall_limit_s and run.progress_percent < 100


def _is_faster_elsewhere(run: _task_runs.Run) -> bool:
    """Returns whether a throttled best-effort run would end sooner elsewhere.
    """
    if not run.step.is_best_effort or run.throttle_percent < 0:
        return False
    if run.step.has_checkpoints:
        if run.throttle_percent > MAX_MOVE_THROTTLE_PERCENT:
            return False
        rest_ms = run.step.estimate_ms * (100 - run.progress_percent) / 100
        throttled_rest_ms = rest_ms * 100 / max(
            run.throttle_percent, _throttling.MIN_THROTTLE_PERCENT)
        return throttled_rest_ms - rest_ms > 1000 * MOVE_COST.total_seconds()
    return (run.throttle_percent <= MAX_RESTART_THROTTLE_PERCENT and
            run.progress_percent <= MAX_RESTART_PROGRESS_PERCENT)
