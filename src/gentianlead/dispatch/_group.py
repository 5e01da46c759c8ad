"""Scheduler of one group: turns the state of workers and jobs into orders.

It does no I/O. The caller feeds it registry entries, status reports and jobs,
calls `plan`, sends the orders that `plan` returns, and feeds it the reply to
each order.
"""

from typing import Callable, Iterable

from gentianlead import model
from gentianlead.dispatch import _admission
from gentianlead.dispatch import _crashes
from gentianlead.dispatch import _held_places
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _load
from gentianlead.dispatch import _moves
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _records
from gentianlead.dispatch import _superseded_runs
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _throttling
from gentianlead.dispatch import _starting
from gentianlead.dispatch import _stopping
from gentianlead.dispatch import _succession


class GroupScheduler(_succession.StoredGroupState):
    """Decides which runs to start, stop and throttle in one group.

    Example:
        >>> scheduler = GroupScheduler("north-1", 64, timings, 0.0, 120, model)
        >>> scheduler.put_worker(entry)
        >>> scheduler.apply_status(worker_id, status, sent_at=1.0, now=1.2)
        >>> scheduler.put_job(job_entry)
        >>> orders = scheduler.plan(1.2, 1764849600000, may_start=True)
    """

    def __init__(self, group: str, epoch: int, timings: _orders.GroupTimings,
                 now: float, leadership_offset: int,
                 interference: _interference.InterferenceModel):
        super().__init__(group, epoch, timings, now, leadership_offset,
                         interference)
        held_places = _held_places.HeldPlaces(self)
        self._start_planner = _starting.StartPlanner(self, held_places)
        self._stop_planner = _stopping.StopPlanner(self, held_places)
        self._move_planner = _moves.MovePlanner(self)

    def set_queues(self, queues: Iterable[model.Queue]) -> None:
        """Sets the queues of the configuration in force."""
        self.queues = {
            (queue.host, queue.path_prefix): queue for queue in queues
        }
        for job in self.jobs.values():
            job.service = self.find_queue(job).service

    def set_capacity_enforcing_services(self, services: frozenset[str]) -> None:
        """Sets the services whose workers refuse starts that do not fit."""
        self._capacity_enforcing_services = services
        for worker in self.workers.values():
            worker.enforces_capacity = worker.entry.service in services

    def plan(self, now: float, now_ms: int,
             may_start: bool) -> list[_orders.Order]:
        """Returns the orders to send now.

        Before that, it ends the runs of unreachable workers whose lease has
        expired, marks the jobs as reconciled if they are, and fails those with
        a task that has to be given up by now.

        Args:
            now: Present monotonic time in seconds.
            now_ms: Time of day in milliseconds since 1970.
            may_start: Whether the leader's start permission is valid. If not,
                the result has no start orders and no permit requests.
        """
        self.end_expired_runs(now)
        self.mark_jobs_reconciled(now)
        self.untracked_ends.settle_held_ends(now)
        self.crashes.confirm_crashes(now)
        orders: list[_orders.Order] = []
        self._stop_planner.plan(orders, now)
        if may_start:
            self._plan_start_retries(orders, now)
            self._start_planner.plan(orders, now, now_ms)
            for worker_id in {
                    order.worker_id
                    for order in orders
                    if isinstance(order, _orders.StartOrder)
            }:
                _throttling.lower_throttles(self.workers[worker_id],
                                            self.interference, now)
        self._plan_throttles(orders, now)
        return orders

    def plan_moves(self, get_own_load: Callable[[], _load.GroupLoad],
                   reports: dict[str, _admission.GroupReport],
                   now: float) -> list[_moves.PlannedMove]:
        """Begins the moves of jobs and tasks that should leave the group now.

        The caller has to store them. See `MovePlanner.plan`.
        """
        return self._move_planner.plan(get_own_load, reports, now)

    def _plan_start_retries(self, orders: list[_orders.Order],
                            now: float) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                if (run.phase is _task_runs.RunPhase.UNKNOWN and
                        not run.has_pending_order and
                        run.start_attempts < _orders.MAX_START_ATTEMPTS):
                    job = self.jobs.get(run.task.job_id)
                    if job is None or job.has_ended:
                        continue
                    is_closed = worker.entry.is_draining or self.is_evacuated
                    if is_closed or not worker.enforces_capacity:
                        # The worker would start the run although it is to get
                        # none any more, has shrunk, or has been replaced by a
                        # smaller instance.
                        if (not worker.is_reachable or
                                not self.is_registry_current):
                            continue
                        if (is_closed or worker.is_over_capacity() or
                                worker.may_exceed_capacity):
                            run.start_attempts = _orders.MAX_START_ATTEMPTS
                            continue
                    run.has_pending_order = True
                    run.unanswered_at = None
                    run.start_attempts += 1
                    orders.append(
                        _orders.StartOrder(
                            worker.worker_id, run.task, run.number,
                            job.job.payload, run.checkpoint,
                            job.get_step(run.task).permits.find_permit(
                                worker.worker_id, worker.born_ms, now)))

    def _plan_throttles(self, orders: list[_orders.Order], now: float) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                if (not run.step.is_best_effort or run.has_pending_order or
                        run.phase is not _task_runs.RunPhase.RUNNING or
                        not run.throttle_retry.is_due(now)):
                    continue
                throttle_percent = worker.get_throttle_percent(run)
                change_percent = abs(run.throttle_percent - throttle_percent)
                if (change_percent >= _throttling.MIN_THROTTLE_CHANGE_PERCENT or
                    (change_percent and throttle_percent in (0, 100))):
                    run.has_pending_order = True
                    orders.append(
                        _orders.ThrottleOrder(worker.worker_id, run.task,
                                              run.number, throttle_percent,
                                              run.throttle_retry.failure_count))

    def mark_progress_stored(self, records: Iterable[_records.Record]) -> bool:
        """Marks what `take_unstored_records` has returned as stored.

        Returns:
            Whether starts waited for this.
        """
        self.untracked_ends.mark_stored()
        has_claim = _crashes.mark_claims_stored(self.jobs, records)
        return _superseded_runs.mark_run_limits_stored(self.jobs,
                                                       records) or has_claim

    def summarize(self, now: float) -> _load.GroupSummary:
        """Returns a summary of the group for the log."""
        return _load.summarize_group(list(self.workers.values()),
                                     list(self.jobs.values()), now)

    def compute_load(self, now: float) -> _load.GroupLoad:
        """Returns the load of the group."""
        return _load.compute_group_load(self.workers.values(),
                                        self.jobs.values(), self.interference,
                                        self.is_evacuated, now)
