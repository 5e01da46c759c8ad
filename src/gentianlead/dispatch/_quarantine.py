"""Starts of long-running tasks on workers in quarantine.

The failures that begin a quarantine also make room, and a hopeless job causes
them on a healthy worker, too. A long-running task that fits nowhere else loses
nothing there.
"""

from typing import Callable

from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _step_priority
from gentianlead.dispatch import _workers

StartTask = Callable[[
    _runs.JobRun, _runs.StepRun, int, _workers.WorkerState, list[_orders.
                                                                 Order], float
], bool]
"""Starts the task of a step with the given index on a worker, with an order
that is added to the list. Returns whether it could; the last argument is the
present monotonic time in seconds."""


class QuarantineTester:
    """Tests workers in quarantine with long-running tasks that wait.

    Args:
        state: State of the group.
        start_task: Starts a task.
    """

    def __init__(self, state: _group_state.GroupState, start_task: StartTask):
        self._state = state
        self._start_task = start_task

    def plan(self, steps: list[_step_priority.WaitingStep],
             orders: list[_orders.Order], now: float) -> None:
        """Starts at most one task on each worker that may be tested.

        Args:
            steps: Steps with tasks that may start, the most urgent first.
            orders: Receives the start orders.
            now: Present monotonic time in seconds.
        """
        candidates = [
            _placement.build_candidate(worker)
            for worker in self._state.workers.values()
            if worker.may_be_tested(now) and
            (worker.enforces_capacity or self._state.is_registry_current)
        ]
        for job, step_run in steps:
            if not candidates:
                return
            if (step_run.unplaced_since is None or
                    not step_run.step.is_long_running or step_run.step.is_gang):
                continue
            index = next(
                (index for index in job.list_startable_indexes(step_run)
                 if not step_run.needs_probation(index)), None)
            candidate = (None if index is None else self._choose_candidate(
                job, step_run, index, candidates, now))
            if candidate is None or not self._start_task(
                    job, step_run, index, candidate.worker, orders, now):
                continue
            candidate.worker.tested_at = now
            candidates.remove(candidate)
            if not step_run.waiting_indexes:
                step_run.unplaced_since = None
                step_run.reserved_worker = ""

    def _choose_candidate(self, job: _runs.JobRun, step_run: _runs.StepRun,
                          index: int, candidates: list[_placement.Candidate],
                          now: float) -> _placement.Candidate | None:
        queue = self._state.find_queue(job)
        eligible_candidates = [
            candidate for candidate in candidates
            if candidate.worker.entry.service == queue.service and
            (not queue.needs_permit or step_run.permits.find_permit(
                candidate.worker.worker_id, candidate.worker.born_ms, now))
        ]
        return _placement.choose_worker(
            eligible_candidates, step_run.step,
            step_run.last_failed_workers.get(index, ""),
            step_run.count_runs_by_worker(), None, self._state.interference)
