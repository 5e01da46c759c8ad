"""The leader's decisions for one group of workers.

They do no I/O: the service feeds entries, looks, replies and jobs, asks `plan`
for orders, and reports what became of each order.
"""

from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _load
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _pacing
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _starting
from gentianlead.dispatch import _stopping


class GroupScheduler(_group_state.GroupState):
    """Decides what runs where in one group.

    Example:
        >>> scheduler = GroupScheduler("north-1", 64, rules, 0.0, 120, model)
        >>> scheduler.put_worker(entry)
        >>> scheduler.apply_look(worker_id, look, sent_at=1.0, now=1.2)
        >>> scheduler.put_job(job_entry)
        >>> orders = scheduler.plan(1.2, 1764849600000, may_start=True)
    """

    def __init__(self, group: str, epoch: int, rules: _orders.GroupRules,
                 now: float, epoch_offset: int,
                 interference: _interference.InterferenceModel):
        super().__init__(group, epoch, rules, now, epoch_offset, interference)
        self._starts = _starting.StartPlanner(self)
        self._stops = _stopping.StopPlanner(self)

    def plan(self, now: float, now_ms: int,
             may_start: bool) -> list[_orders.Order]:
        """Returns the orders to send now.

        Args:
            now: Monotonic time in seconds.
            now_ms: Time of day in milliseconds since 1970.
            may_start: Whether the leader's right to start is fresh.
        """
        self.end_lapsed(now)
        self.settle_jobs(now)
        orders: list[_orders.Order] = []
        self._stops.plan(orders, now)
        if may_start:
            self._plan_repeats(orders, now)
            self._starts.plan(orders, now, now_ms)
        self._plan_pace(orders)
        return orders

    def _plan_repeats(self, orders: list[_orders.Order], now: float) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                if (run.phase is _runs.RunPhase.UNKNOWN and
                        not run.is_ordered and
                        run.attempts < _group_state.ORDER_ATTEMPTS):
                    job = self.jobs.get(run.task.job_id)
                    if job is None or job.is_over:
                        continue
                    run.is_ordered = True
                    run.attempts += 1
                    orders.append(
                        _orders.StartOrder(
                            worker.worker_id, run.task, run.number,
                            job.job.payload, run.checkpoint,
                            job.get_step(run.task).permits.find(
                                worker.worker_id, worker.born_ms, now)))

    def _plan_pace(self, orders: list[_orders.Order]) -> None:
        for worker in self.workers.values():
            for run in worker.runs.values():
                if (not run.step.is_best_effort or run.is_ordered or
                        run.phase is not _runs.RunPhase.RUNNING):
                    continue
                pace = worker.get_pace(run)
                change = abs(run.pace - pace)
                if change >= _pacing.MIN_CHANGE or (change and
                                                    pace in (0, 100)):
                    run.is_ordered = True
                    orders.append(
                        _orders.PaceOrder(worker.worker_id, run.task,
                                          run.number, pace))

    def summarize(self, now: float) -> _load.GroupSummary:
        """Returns the state of the group for the log."""
        return _load.summarize_group(list(self.workers.values()),
                                     list(self.jobs.values()), now)

    def compute_load(self, now: float) -> _load.GroupLoad:
        """Returns how busy the group is."""
        return _load.compute_group_load(self.workers.values(),
                                        self.jobs.values(), self.interference,
                                        self.is_evacuated, now)
