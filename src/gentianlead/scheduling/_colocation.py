"""Mitigation of interference between workloads that share a worker."""

import abc
from typing import Callable, Iterator, NamedTuple

from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _workload_history

THROTTLE_STEP_SHARES = (0.5, 0.25)
"""Shares of its resources that a run keeps after the first and the second
throttling step."""

ORDER_EFFECT_DELAY = 2.0
"""Seconds that an order takes to affect the measurements of its worker. Reports
that describe a time before the end of this delay are ignored."""

REPORTS_TO_ACT = 2
"""Consecutive reports above the slowdown limit, about one service or job on a
worker, after which throttle or move orders are planned. A severe report counts
twice."""

SEVERE_SLOWDOWN_FACTOR = 2.5
"""A report above the slowdown limit is severe, and counts twice, if its
slowdown beyond 1.0 is at least this multiple of the limit beyond 1.0."""

REPORTS_TO_RESTORE = 4
"""Consecutive reports below the restore limit that are required about each
service on a worker, if its last report is younger than `REPORT_VALIDITY`,
before one throttling step ends for one run on the worker.
`MAX_RESTORE_REPORT_FACTOR` describes how the number grows."""

MAX_RESTORE_REPORT_FACTOR = 16
"""Maximum of the factor, kept for each worker, by which `REPORTS_TO_RESTORE` is
multiplied. The factor starts at 1 and doubles each time that a run on the
worker must be throttled after a throttling step ended there."""

REPORT_VALIDITY = 60.0
"""Age in seconds at which a report about a service loses its effect on the end
of throttling. A throttling step may end without waiting for a service whose
last report has at least this age."""

MIN_BLAMED_SLOWDOWN = 0.08
"""A run is throttled or moved for a slow victim only if it is expected, at its
present throttling, to increase the victim's slowdown ratio by at least this
much."""

MOVE_BUDGET_SHARE_PER_HOUR = 0.1
"""Share of the live runs of the domain that may be moved because of
interference per hour. It is multiplied by `move_budget_factor` of the settings.
"""

MOVE_BUDGET_BURST = 2.0
"""Number of moves that the budget allows at the start. Unused budget is kept up
to this number, or up to the number of moves that the budget gains in 60 s if
that is larger."""


class ColocationSettings(NamedTuple):
    """Settings that balance the speed of services against that of batch tasks.

    A slowdown is a ratio: 1.0 is undisturbed, and 2.0 is twice as slow.

    Attributes:
        service_slowdown_limit: Slowdown of a service above which runs on its
            worker are throttled or, if that is not enough, moved.
        service_restore_limit: Slowdown below which all services on a worker
            must stay before throttling ends there step by step.
        task_slowdown_limit: Slowdown of a task above which batch runs of other
            jobs on its worker are moved.
        service_weight: Factor on the slowdown of services in the penalty of a
            worker for placement.
        task_weight: Factor on the slowdown of tasks in the penalty of a worker
            for placement.
        move_budget_factor: Multiplier of `MOVE_BUDGET_SHARE_PER_HOUR`.
        trial_run_limit: Maximum number of live and planned runs of a new job
            until its effect on services is known or its trial times out; 0 for
            no limit.
    """

    service_slowdown_limit: float
    service_restore_limit: float
    task_slowdown_limit: float
    service_weight: float
    task_weight: float
    move_budget_factor: float
    trial_run_limit: int


TAIL_LATENCY_FIRST = ColocationSettings(1.2, 1.08, 3.0, 8.0, 0.5, 20.0, 6)
"""Preset that favours the tail latency of services."""

THROUGHPUT_FIRST = ColocationSettings(3.0, 2.0, 2.5, 3.0, 1.0, 5.0, 0)
"""Preset that favours the throughput of batch tasks."""


class ColocationPolicy(abc.ABC):
    """Decides which runs to throttle or move because of interference."""

    @abc.abstractmethod
    def record_slowdown(self, worker: str, victim: _workload_history.Workload,
                        slowdown: float, as_of: float) -> None:
        """Records one slowdown report about a service or job on a worker.

        Args:
            worker: Worker that the report is about.
            victim: Service or job that the report is about.
            slowdown: Reported slowdown; 1.0 is undisturbed.
            as_of: Time that the report describes, in monotonic seconds.
        """

    @abc.abstractmethod
    def plan_orders(self, now: float) -> Iterator[_decisions.Eviction]:
        """Yields the throttle and move orders that the reports require."""


class EvictOnSlowdownPolicy(ColocationPolicy):
    """Moves the newest batch run of each worker with a slow report; a baseline.

    A report is slow if its slowdown exceeds `slowdown_limit`. Several slow
    reports about a worker between two calls of `plan_orders` cause only one
    move.
    """

    def __init__(self,
                 domain_index: _domain_index.DomainIndex,
                 slowdown_limit: float = 1.1):
        self._domain_index = domain_index
        self._slowdown_limit = slowdown_limit
        self._slowed_workers: dict[str, None] = {}

    def record_slowdown(self, worker: str, victim: _workload_history.Workload,
                        slowdown: float, as_of: float) -> None:
        if slowdown > self._slowdown_limit:
            self._slowed_workers[worker] = None

    def plan_orders(self, now: float) -> Iterator[_decisions.Eviction]:
        for worker in self._slowed_workers:
            runs = self._domain_index.list_batch_runs_on(worker)
            if runs:
                yield _build_eviction(runs[-1], _decisions.EvictionAction.MOVE)
        self._slowed_workers.clear()


class _AggressorRun(NamedTuple):
    """A batch run that is expected to slow down a victim.

    Attributes:
        run: The run.
        slowdown_effect: Expected increase of the victim's slowdown ratio if the
            run is not throttled.
        throttle_share: Share of its resources that the run keeps at present.
    """

    run: state.LiveRun
    slowdown_effect: float
    throttle_share: float


class _VictimState:
    """Slowdown reports about one service or job on one worker.

    Attributes:
        slow_report_count: Number of consecutive reports above the slowdown
            limit since the last orders for the worker; severe ones count twice.
        normal_report_count: Number of consecutive reports below the restore
            limit since the last orders for the worker.
        last_report_as_of: Time that the last counted report describes, in
            monotonic seconds; negative infinity before the first one.
        last_slowdown: Slowdown in the last counted report.
    """

    __slots__ = ("slow_report_count", "normal_report_count",
                 "last_report_as_of", "last_slowdown")

    def __init__(self) -> None:
        self.slow_report_count = 0
        self.normal_report_count = 0
        self.last_report_as_of = float("-inf")
        self.last_slowdown = 1.0


class _WorkerState:
    """Slowdown reports about one worker, and the throttling of its runs.

    Attributes:
        victim_states: Reports about each service or job on the worker, whether
            it was slowed down or not.
        last_order_at: Monotonic seconds at which orders for the worker were
            last planned; negative infinity before the first ones.
        throttle_steps_by_task: Number of throttling steps that apply to each
            throttled run, by the key of its task.
        restore_report_factor: Factor by which `REPORTS_TO_RESTORE` is
            multiplied for this worker.
        restored_since_throttling: Whether a throttling step has ended on the
            worker since a run there was last throttled.
    """

    __slots__ = ("victim_states", "last_order_at", "throttle_steps_by_task",
                 "restore_report_factor", "restored_since_throttling")

    def __init__(self) -> None:
        self.victim_states: dict[_workload_history.Workload, _VictimState] = {}
        self.last_order_at = float("-inf")
        self.throttle_steps_by_task: dict[_decisions.TaskKey, int] = {}
        self.restore_report_factor = 1
        self.restored_since_throttling = False

    def update_restore_factor(self) -> None:
        """Updates the factor when a run on the worker is throttled.

        The factor doubles, up to `MAX_RESTORE_REPORT_FACTOR`, if a throttling
        step has ended since a run on the worker was last throttled.
        """
        if self.restored_since_throttling:
            self.restore_report_factor = min(MAX_RESTORE_REPORT_FACTOR,
                                             2 * self.restore_report_factor)
        self.restored_since_throttling = False

    def reset_report_counts(self, now: float) -> None:
        """Resets the report counts because orders are planned at `now`.

        From then on, a report counts only if it describes a time more than
        `ORDER_EFFECT_DELAY` after `now`.
        """
        self.last_order_at = now
        for reports in self.victim_states.values():
            reports.slow_report_count = reports.normal_report_count = 0


class ThrottleThenMovePolicy(ColocationPolicy, state.DomainObserver):
    """Throttles and finally moves the runs that slow down a victim the most.

    Only slow services cause throttling. Runs are moved if no run can be
    throttled further, or if the victim is a job. A throttled run is also moved
    if the end of its throttling step would make a service too slow.

    Hysteresis keeps runs from being throttled and restored in turn: ending a
    throttling step requires a lower slowdown and more reports than throttling,
    and the required number of reports doubles, up to a maximum, each time that
    throttling is needed again on the worker. A report counts only if it
    describes a time more than `ORDER_EFFECT_DELAY` after the last order for the
    worker, so that a late report does not cause a second order.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 workload_history: _workload_history.WorkloadHistory,
                 interference_model: _interference.InterferenceModel,
                 settings: ColocationSettings,
                 has_open_order: Callable[[_decisions.TaskKey], bool],
                 has_better_worker: Callable[[state.LiveRun], bool]):
        """Observes the domain state.

        Args:
            state_machine: State of the domain.
            domain_index: Indexes of the domain.
            workload_history: Workloads on each worker; receives the shares of
                throttled runs.
            interference_model: Estimated effect of each workload on each other
                one.
            settings: Limits of slowdown, and factor on the move budget.
            has_open_order: Returns whether a run already has a move or stop
                order.
            has_better_worker: Returns whether a run could be placed on another
                worker with a clearly lower penalty.
        """
        self._has_open_order = has_open_order
        self._has_better_worker = has_better_worker
        self._domain_index = domain_index
        self._workload_history = workload_history
        self._interference_model = interference_model
        self._settings = settings
        self._worker_states: dict[str, _WorkerState] = {}
        self._workers_to_plan: dict[str, None] = {}
        self._move_budget = MOVE_BUDGET_BURST
        self._budget_updated_at: float | None = None
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._worker_states.clear()
        self._workers_to_plan.clear()

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._domain_index.worker_index.workers:
            self._worker_states.pop(worker, None)
            self._workers_to_plan.pop(worker, None)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        worker_state = self._worker_states.get(run.worker)
        if worker_state is not None:
            worker_state.throttle_steps_by_task.pop((run.job_id, run.task),
                                                    None)
            if not self._workload_history.get_job_weights(run.worker):
                worker_state.victim_states.clear()

    def record_slowdown(self, worker: str, victim: _workload_history.Workload,
                        slowdown: float, as_of: float) -> None:
        worker_state = self._worker_states.setdefault(worker, _WorkerState())
        if as_of <= worker_state.last_order_at + ORDER_EFFECT_DELAY:
            return
        victim_state = worker_state.victim_states.setdefault(
            victim, _VictimState())
        if as_of <= victim_state.last_report_as_of:
            return
        victim_state.last_report_as_of = as_of
        victim_state.last_slowdown = slowdown
        slowdown_limit, restore_limit = self._get_slowdown_limits(victim)
        report_weight = (1 if slowdown - 1 < SEVERE_SLOWDOWN_FACTOR *
                         (slowdown_limit - 1) else 2)
        victim_state.slow_report_count = ((victim_state.slow_report_count +
                                           report_weight)
                                          if slowdown > slowdown_limit else 0)
        victim_state.normal_report_count = ((victim_state.normal_report_count +
                                             1)
                                            if slowdown < restore_limit else 0)
        if victim_state.slow_report_count >= REPORTS_TO_ACT or (
                worker_state.throttle_steps_by_task and
                victim_state.normal_report_count >= REPORTS_TO_RESTORE):
            self._workers_to_plan[worker] = None

    def _get_slowdown_limits(
            self, victim: _workload_history.Workload) -> tuple[float, float]:
        settings = self._settings
        if victim.is_service:
            return (settings.service_slowdown_limit,
                    settings.service_restore_limit)
        return settings.task_slowdown_limit, (1 +
                                              settings.task_slowdown_limit) / 2

    def plan_orders(self, now: float) -> Iterator[_decisions.Eviction]:
        self._refill_move_budget(now)
        workers_to_plan, self._workers_to_plan = self._workers_to_plan, {}
        for worker in workers_to_plan:
            worker_state = self._worker_states.get(worker)
            if worker_state is None:
                continue
            slow_victims = [(workload, victim_state)
                            for workload, victim_state in
                            worker_state.victim_states.items()
                            if victim_state.slow_report_count >= REPORTS_TO_ACT]
            if slow_victims:
                yield from self._plan_mitigation(worker, worker_state,
                                                 slow_victims, now)
            elif worker_state.throttle_steps_by_task:
                yield from self._plan_restore(worker_state, now)

    def _refill_move_budget(self, now: float) -> None:
        if self._budget_updated_at is not None:
            moves_per_second = (MOVE_BUDGET_SHARE_PER_HOUR *
                                self._settings.move_budget_factor *
                                self._domain_index.count_live_runs() / 3600)
            self._move_budget = min(
                max(MOVE_BUDGET_BURST,
                    60 * moves_per_second), self._move_budget +
                moves_per_second * (now - self._budget_updated_at))
        self._budget_updated_at = now

    def _plan_mitigation(self, worker: str, worker_state: _WorkerState,
                         slow_victims: list[tuple[_workload_history.Workload,
                                                  _VictimState]],
                         now: float) -> Iterator[_decisions.Eviction]:
        victim, victim_state = max(
            slow_victims,
            key=lambda slow_victim:
            (slow_victim[0].is_service, slow_victim[1].last_slowdown))
        slowdown_limit, restore_limit = self._get_slowdown_limits(victim)
        excess_slowdown = victim_state.last_slowdown - (slowdown_limit +
                                                        restore_limit) / 2
        aggressors = self._list_aggressors(worker, victim)
        orders: list[_decisions.Eviction] = []
        # Throttling slows down one task to speed up another workload. Between
        # two tasks nothing is gained, so only slow services cause throttling.
        if victim.is_service:
            orders = self._throttle_aggressors(worker_state, aggressors,
                                               excess_slowdown)
        if not orders:
            orders = self._move_aggressors(aggressors, excess_slowdown)
        if orders:
            worker_state.reset_report_counts(now)
            yield from orders

    def _list_aggressors(
            self, worker: str,
            victim: _workload_history.Workload) -> list[_AggressorRun]:
        """Returns the batch runs that slow down a victim, largest effect first.

        Left out are runs of the victim itself, runs with an open move or stop
        order, and runs whose expected effect at their present throttling is
        below `MIN_BLAMED_SLOWDOWN`.
        """
        aggressors = []
        for run in self._domain_index.list_batch_runs_on(worker):
            workload = _workload_history.Workload(False, run.job_id)
            task_key = (run.job_id, run.task)
            if workload == victim or self._has_open_order(task_key):
                continue
            slowdown_effect = self._interference_model.predict_effect(
                victim, workload).mean
            throttle_share = self._workload_history.get_throttle_share(task_key)
            if slowdown_effect * throttle_share >= MIN_BLAMED_SLOWDOWN:
                aggressors.append(
                    _AggressorRun(run, slowdown_effect, throttle_share))
        aggressors.sort(key=lambda aggressor: -aggressor.slowdown_effect *
                        aggressor.throttle_share)
        return aggressors

    def _throttle_aggressors(
            self, worker_state: _WorkerState, aggressors: list[_AggressorRun],
            excess_slowdown: float) -> list[_decisions.Eviction]:
        """Throttles runs by one step each, in the order of `aggressors`.

        Stops once the expected effect of the new steps covers the excess
        slowdown. Runs that can be throttled no further are skipped.
        """
        orders = []
        for aggressor in aggressors:
            task_key = (aggressor.run.job_id, aggressor.run.task)
            applied_steps = worker_state.throttle_steps_by_task.get(task_key, 0)
            if applied_steps >= len(THROTTLE_STEP_SHARES):
                continue
            new_throttle_share = THROTTLE_STEP_SHARES[applied_steps]
            worker_state.throttle_steps_by_task[task_key] = applied_steps + 1
            worker_state.update_restore_factor()
            orders.append(
                self._build_throttle(aggressor.run, new_throttle_share))
            excess_slowdown -= aggressor.slowdown_effect * (
                aggressor.throttle_share - new_throttle_share)
            if excess_slowdown <= 0:
                break
        return orders

    def _move_aggressors(self, aggressors: list[_AggressorRun],
                         excess_slowdown: float) -> list[_decisions.Eviction]:
        orders = []
        for aggressor in aggressors:
            if self._move_budget < 1.0 or excess_slowdown <= 0:
                break
            if self._has_better_worker(aggressor.run):
                self._move_budget -= 1.0
                orders.append(
                    _build_eviction(aggressor.run,
                                    _decisions.EvictionAction.MOVE))
                excess_slowdown -= (aggressor.slowdown_effect *
                                    aggressor.throttle_share)
        return orders

    def _build_throttle(self, run: state.LiveRun,
                        throttle_share: float) -> _decisions.Eviction:
        self._workload_history.set_throttle_share((run.job_id, run.task),
                                                  throttle_share)
        return _build_eviction(run, _decisions.EvictionAction.THROTTLE,
                               throttle_share)

    def _plan_restore(self, worker_state: _WorkerState,
                      now: float) -> Iterator[_decisions.Eviction]:
        """Ends one throttling step of one run, or moves a run instead.

        A run is moved if ending its step would slow down a service beyond its
        limit, the move budget allows it, and a better worker exists. If it
        cannot be moved, the next throttled run is considered. Nothing is
        yielded before there are enough reports below the restore limit about
        each service on the worker with a recent report.
        """
        service_victims = [
            (workload, victim_state)
            for workload, victim_state in worker_state.victim_states.items()
            if workload.is_service and now -
            victim_state.last_report_as_of < REPORT_VALIDITY
        ]
        required_reports = (REPORTS_TO_RESTORE *
                            worker_state.restore_report_factor)
        if any(victim_state.normal_report_count < required_reports
               for _, victim_state in service_victims):
            return
        for task_key, applied_steps in list(
                worker_state.throttle_steps_by_task.items()):
            run = self._domain_index.get_live_run(task_key)
            if run is None:
                del worker_state.throttle_steps_by_task[task_key]
                continue
            new_throttle_share = THROTTLE_STEP_SHARES[
                applied_steps - 2] if applied_steps > 1 else 1.0
            if self._would_slow_services(run, new_throttle_share,
                                         service_victims):
                orders = self._move_aggressors([_AggressorRun(run, 1.0, 1.0)],
                                               1.0)
                if not orders:
                    continue
            else:
                orders = [self._build_throttle(run, new_throttle_share)]
                worker_state.restored_since_throttling = True
                if applied_steps > 1:
                    worker_state.throttle_steps_by_task[
                        task_key] = applied_steps - 1
                else:
                    del worker_state.throttle_steps_by_task[task_key]
            worker_state.reset_report_counts(now)
            yield from orders
            return

    def _would_slow_services(
        self, run: state.LiveRun, new_throttle_share: float,
        service_victims: list[tuple[_workload_history.Workload, _VictimState]]
    ) -> bool:
        """Returns whether a service would exceed its slowdown limit.

        The slowdown is the last reported one plus the expected effect of
        raising the share of resources that the run keeps to
        `new_throttle_share`.
        """
        added_share = (new_throttle_share -
                       self._workload_history.get_throttle_share(
                           (run.job_id, run.task)))
        workload = _workload_history.Workload(False, run.job_id)
        return any(
            victim_state.last_slowdown + added_share *
            self._interference_model.predict_effect(victim, workload).mean >
            self._get_slowdown_limits(victim)[0]
            for victim, victim_state in service_victims)


def _build_eviction(run: state.LiveRun,
                    action: _decisions.EvictionAction,
                    throttle_share: float = 1.0) -> _decisions.Eviction:
    return _decisions.Eviction(run.job_id, run.task, run.run, run.worker,
                               action, _decisions.EvictionReason.INTERFERENCE,
                               throttle_share)
