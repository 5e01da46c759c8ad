"""Which runs are stopped, and why."""

import datetime

from gentianlead import model
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs

STRANGER_GRACE = datetime.timedelta(seconds=3)
"""Time for the topic to tell of a job that a worker already runs."""

STALL_FACTOR = 4.0
"""Multiple of its estimate after which a run without progress is given up."""

STALL_MIN = datetime.timedelta(seconds=2)
"""Shortest time without progress after which a run is given up."""

LASTING_START_LIMIT = datetime.timedelta(seconds=6)
"""Time in which a lasting task must be at work after its start."""

LEAVE_PACE = 50
"""Pace in percent at and below which a filler with checkpoints goes on
elsewhere, if a worker has room."""

RESTART_PACE = 15
RESTART_PERCENT = 30
"""Pace and progress in percent at and below which a filler without checkpoints
starts anew elsewhere: at a seventh of its speed the rest takes longer than the
whole task does at full speed."""


class StopPlanner:
    """Plans the stops of a group."""

    def __init__(self, state: _group_state.GroupState):
        self._state = state
        # Workers that may get starts, less what this pass sends there; built
        # when the first run needs one.
        self._candidates: dict[str, _placement.Candidate] | None = None

    def plan(self, orders: list[_orders.Order], now: float) -> None:
        """Adds the stop orders that are due."""
        self._candidates = None
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                reason = self._find_stop_reason(run, now)
                if reason and not run.is_ordered and (
                        run.phase is not _runs.RunPhase.STOPPING or
                        now - run.confirmed_at
                        > 2 * self._state.rules.stop_limit.total_seconds()):
                    run.is_ordered = True
                    orders.append(
                        _orders.StopOrder(worker.worker_id, run.task,
                                          run.number, reason))
            for (task, number), since in worker.strangers.items():
                if (self._is_obsolete(task) or
                        now - since > STRANGER_GRACE.total_seconds()):
                    orders.append(
                        _orders.StopOrder(worker.worker_id, task, number,
                                          "obsolete"))

    def _is_obsolete(self, task: model.TaskKey) -> bool:
        job = self._state.jobs.get(task.job_id)
        if job is None:
            return False
        step_run = job.get_step(task)
        return (job.is_over or step_run is None or
                task.index not in step_run.waiting)

    def _find_stop_reason(self, run: _runs.Run, now: float) -> str:
        job = self._state.jobs.get(run.task.job_id)
        if job is None or job.is_over:
            return "job is over"
        if run.phase is _runs.RunPhase.UNKNOWN and (
                run.attempts >= _group_state.ORDER_ATTEMPTS):
            return "no reply to its start"
        if run.phase is _runs.RunPhase.STOPPING:
            return "its stop took no effect"
        step_run = job.get_step(run.task)
        if run.task.index in step_run.done:
            return "task is done"
        if self._is_stalled(run, now):
            return "no progress"
        if run.phase is not _runs.RunPhase.RUNNING:
            return ""
        if self._is_on_leaving_worker(run) and self._take_room(run, now):
            return "worker is leaving"
        if _is_held_back(run) and self._take_room(run, now):
            return "disturbs serving tasks"
        return ""

    def _is_on_leaving_worker(self, run: _runs.Run) -> bool:
        """Returns whether a run ends with its worker unless it is moved."""
        entry = self._state.workers[run.worker_id].entry
        if not entry.is_draining:
            return False
        if run.step.is_long_running:
            return True
        if not run.step.has_checkpoints:
            return False
        left_ms = run.step.estimate_ms * (100 - run.percent) / 100
        return left_ms > (entry.leaves_in_ms or 0)

    def _take_room(self, run: _runs.Run, now: float) -> bool:
        """Returns whether another worker has room for a run, and takes it."""
        if self._candidates is None:
            self._candidates = {
                worker.worker_id: _placement.build_candidate(worker)
                for worker in self._state.workers.values()
                if worker.can_start(now)
            }
        job = self._state.jobs[run.task.job_id]
        step_run = job.get_step(run.task)
        rows = [
            row for row in self._candidates.values()
            if row.worker.worker_id != run.worker_id and row.worker.entry.
            service == self._state.workers[run.worker_id].entry.service
        ]
        chosen = _placement.choose_worker(rows, run.step, "",
                                          step_run.count_by_worker(), None,
                                          self._state.interference)
        if chosen is None:
            return False
        self._candidates[chosen.worker.worker_id] = _placement.take_part(
            chosen, run.step)
        return True

    def _is_stalled(self, run: _runs.Run, now: float) -> bool:
        if run.phase is not _runs.RunPhase.RUNNING or run.pace != 100:
            return False
        worker = self._state.workers[run.worker_id]
        if not worker.is_answering:
            return False
        idle = now - run.progressed_at
        if run.step.is_long_running:
            return (run.percent < 100 and
                    idle > LASTING_START_LIMIT.total_seconds())
        limit = max(STALL_MIN.total_seconds(),
                    STALL_FACTOR * run.step.estimate_ms / 1000)
        return idle > limit and run.percent < 100


def _is_held_back(run: _runs.Run) -> bool:
    """Returns whether a slowed filler would be done sooner elsewhere."""
    if not run.step.is_best_effort or run.pace < 0:
        return False
    if run.step.has_checkpoints:
        return run.pace <= LEAVE_PACE
    return run.pace <= RESTART_PACE and run.percent <= RESTART_PERCENT
