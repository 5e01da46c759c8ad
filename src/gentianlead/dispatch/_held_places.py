"""Places that are held on workers for tasks that are stopped to move there."""

import datetime
from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers

HOLD_LIMIT = datetime.timedelta(seconds=3)
"""Longest time for which a place is held: twice the longest stop limit, after
which a stop without effect is ordered again, and a status report."""

# Starts a task on a worker; returns False if it has to start later.
StartTask = Callable[[
    _runs.JobRun, _runs.StepRun, int, _workers.WorkerState, list[_orders.
                                                                 Order], float
], bool]


class HeldPlace(NamedTuple):
    """Capacity of a worker that is held for the next run of a task.

    Attributes:
        worker_id: The worker.
        step: Step of the task.
        run: Number of the run that is stopped.
        held_since: Monotonic time in seconds.
    """

    worker_id: str
    step: model.Step
    run: int
    held_since: float


class HeldPlaces:
    """Holds the place that justified a stop until the task starts there.

    A stop takes up to the stop limit of the workers. Without the hold, the same
    place would justify the stops of several runs, or another task would take
    it, and the stopped tasks would wait although they could have gone on.
    """

    def __init__(self, state: _group_state.GroupState):
        self._state = state
        self._places: dict[model.TaskKey, HeldPlace] = {}

    def hold(self, run: _task_runs.Run, worker_id: str, now: float) -> None:
        """Holds a place for the next run of a task that is to be stopped."""
        self._places[run.task] = HeldPlace(worker_id, run.step, run.number, now)

    def has_place(self, run: _task_runs.Run, now: float) -> bool:
        """Returns whether a place is held on a worker that receives starts."""
        place = self._places.get(run.task)
        if place is None or place.run != run.number:
            return False
        worker = self._state.workers.get(place.worker_id)
        if worker is None or not worker.can_receive_starts(now):
            del self._places[run.task]
            return False
        return True

    def build_candidate(self,
                        worker: _workers.WorkerState) -> _placement.Candidate:
        """Returns the capacity of a worker without the places held there."""
        candidate = _placement.build_candidate(worker)
        for place in self._places.values():
            if place.worker_id == worker.worker_id:
                candidate = _placement.subtract_task(candidate, place.step)
        return candidate

    def start_tasks(self, start: StartTask, orders: list[_orders.Order],
                    now: float) -> None:
        """Starts the tasks whose runs have ended at the places held for them.

        Ends the holds that have become useless.
        """
        for task, place in list(self._places.items()):
            job = self._state.jobs.get(task.job_id)
            step_run = job.get_step(task) if job is not None else None
            if (step_run is None or job.has_ended or
                    now - place.held_since > HOLD_LIMIT.total_seconds()):
                del self._places[task]
                continue
            active_run = step_run.active_runs.get(task.index)
            if active_run is not None and active_run.number == place.run:
                continue
            if (job.pending_move_number is not None and
                    task.index in step_run.waiting_indexes):
                continue
            del self._places[task]
            if active_run is None:
                self._start_task(job, step_run, task.index, place, start,
                                 orders, now)

    def _start_task(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    index: int, place: HeldPlace, start: StartTask,
                    orders: list[_orders.Order], now: float) -> None:
        worker = self._state.workers.get(place.worker_id)
        if worker is None or not worker.can_receive_starts(now):
            return
        if not worker.enforces_capacity and not self._state.is_registry_current:
            return
        queue = self._state.find_queue(job)
        if worker.entry.service != queue.service or queue.needs_permit:
            return
        if (step_run.step.is_gang or step_run.needs_probation(index) or
                index not in job.list_startable_indexes(step_run)):
            return
        if _placement.find_obstacle(self.build_candidate(worker), step_run.step,
                                    step_run.count_runs_by_worker(),
                                    self._state.interference) is None:
            start(job, step_run, index, worker, orders, now)
