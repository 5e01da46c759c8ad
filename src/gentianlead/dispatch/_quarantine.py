"""Starts of long-running tasks on workers in quarantine.

The failures that begin a quarantine also make room, and a hopeless job causes
them on a healthy worker, too. A long-running task that fits nowhere else loses
nothing there.
"""

import datetime
from typing import Callable

from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _probation
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _step_priority
from gentianlead.dispatch import _workers

MIN_UNPLACED_TIME = datetime.timedelta(seconds=1)
"""Time without capacity after which a task may test a worker. Tasks that may
move to a group with room have begun to do so by then; a test that fails would
begin their wait anew."""

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

    def plan(self, list_steps: Callable[[], list[_step_priority.WaitingStep]],
             orders: list[_orders.Order], now: float) -> None:
        """Starts at most one task on each worker that may be tested.

        Args:
            list_steps: Returns the steps with tasks that may start, the most
                urgent first.
            orders: Receives the start orders.
            now: Present monotonic time in seconds.
        """
        candidates = [
            _placement.build_candidate(worker)
            for worker in self._state.workers.values()
            if worker.may_be_tested(now) and
            not _probation.has_probation(worker) and
            (worker.enforces_capacity or self._state.is_registry_current)
        ]
        if not candidates:
            return
        for job, step_run in list_steps():
            if (step_run.unplaced_since is None or now - step_run.unplaced_since
                    < MIN_UNPLACED_TIME.total_seconds() or
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
