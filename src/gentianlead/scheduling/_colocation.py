"""Mitigation of interference between workloads that share a worker."""

import abc
from typing import Callable, Iterator, NamedTuple

from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _workload_history

THROTTLE_STEPS = (0.5, 0.25)
"""Fractions of its resources that a run keeps at each throttling step."""

ORDER_EFFECT_DELAY = 2.0
"""Seconds until an order has an effect on the measurements of a worker."""

REPORTS_TO_ACT = 2
"""Reports above the slowdown limit that trigger an order."""

SEVERE_SLOWDOWN_FACTOR = 2.5
"""A report counts twice if its slowdown beyond 1.0 is at least this multiple of
the tolerated slowdown beyond 1.0."""

REPORTS_TO_RESTORE = 4
"""Reports below the restore limit that end one throttling step."""

MAX_RESTORE_REPORT_FACTOR = 16
"""Maximum factor on `REPORTS_TO_RESTORE`. The factor doubles each time that a
run must be throttled again after a throttling step ended."""

REPORT_VALIDITY = 60.0
"""Seconds for which a report of a service counts. Restoring does not wait for
services without newer reports."""

MIN_BLAMED_SLOWDOWN = 0.08
"""Minimum expected slowdown caused by a run for it to be throttled or moved."""

MOVE_BUDGET_SHARE_PER_HOUR = 0.1
"""Share of the live runs that may be moved because of interference per hour,
before `move_budget_factor` is applied."""

MOVE_BUDGET_BURST = 2.0
"""Number of moves that the budget allows at once after a time without moves."""


class ColocationSettings(NamedTuple):
    """Limits of slowdown and weights of slowdown in placement.

    A slowdown is a ratio: 1.0 is undisturbed, and 2.0 is twice as slow.

    Attributes:
        service_slowdown_limit: Slowdown of a service above which runs on its
            worker are throttled.
        service_restore_limit: Slowdown of a service below which throttling
            ends.
        task_slowdown_limit: Slowdown of a task above which other runs on its
            worker are moved.
        service_weight: Weight of the slowdown of services in placement.
        task_weight: Weight of the slowdown of tasks in placement.
        move_budget_factor: Multiplier of `MOVE_BUDGET_SHARE_PER_HOUR`.
        trial_run_limit: Maximum runs of a new job until its effect on services
            is known; 0 for no limit.
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
    def observe(self, worker: str, victim: _workload_history.Workload,
                slowdown: float, as_of: float) -> None:
        """Records the reported slowdown of a service or job on a worker.

        Args:
            worker: Worker that the report is about.
            victim: Service or job that is slowed down.
            slowdown: Reported slowdown; 1.0 is undisturbed.
            as_of: Time that the report describes, in monotonic seconds.
        """

    @abc.abstractmethod
    def plan(self, now: float) -> Iterator[_decisions.Eviction]:
        """Yields the throttle and move orders that are due."""


class EvictOnSlowdownPolicy(ColocationPolicy):
    """Moves the newest batch run at each slowdown report; a baseline."""

    def __init__(self, index: _domain_index.DomainIndex, limit: float = 1.1):
        self._index = index
        self._slowdown_limit = limit
        self._slowed_workers: dict[str, None] = {}

    def observe(self, worker: str, victim: _workload_history.Workload,
                slowdown: float, as_of: float) -> None:
        if slowdown > self._slowdown_limit:
            self._slowed_workers[worker] = None

    def plan(self, now: float) -> Iterator[_decisions.Eviction]:
        for worker in self._slowed_workers:
            runs = self._index.list_batch_runs_on(worker)
            if runs:
                yield _build_eviction(runs[-1], _decisions.EvictionAction.MOVE)
        self._slowed_workers.clear()


class _AggressorRun(NamedTuple):
    """A run that slows down a victim.

    Attributes:
        run: The run.
        slowdown_effect: Expected slowdown that the run causes unthrottled.
        throttle_fraction: Fraction of its resources that the run keeps.
    """

    run: state.LiveRun
    slowdown_effect: float
    throttle_fraction: float


class _VictimState:
    """Reports of one service or job on one worker since the last order.

    Attributes:
        slow_reports: Consecutive reports above the slowdown limit; severe ones
            count twice.
        normal_reports: Consecutive reports below the restore limit.
        reported_at: Time that the newest report describes, in monotonic
            seconds.
        slowdown: Slowdown in the newest report.
    """

    __slots__ = ("slow_reports", "normal_reports", "reported_at", "slowdown")

    def __init__(self) -> None:
        self.slow_reports = 0
        self.normal_reports = 0
        self.reported_at = float("-inf")
        self.slowdown = 1.0


class _WorkerState:
    """Reports and throttled runs of one worker.

    Attributes:
        victims: State of each service or job that reported a slowdown.
        last_action_at: Monotonic seconds of the last orders for the worker.
        throttle_steps: Number of throttling steps in force by throttled run.
        restore_report_factor: Factor on `REPORTS_TO_RESTORE`.
        restored_since_throttling: Whether a throttling step has ended since the
            last run was throttled.
    """

    __slots__ = ("victims", "last_action_at", "throttle_steps",
                 "restore_report_factor", "restored_since_throttling")

    def __init__(self) -> None:
        self.victims: dict[_workload_history.Workload, _VictimState] = {}
        self.last_action_at = float("-inf")
        self.throttle_steps: dict[_decisions.TaskKey, int] = {}
        self.restore_report_factor = 1
        self.restored_since_throttling = False

    def update_restore_factor(self) -> None:
        """Doubles the factor if throttling follows a restored run."""
        if self.restored_since_throttling:
            self.restore_report_factor = min(MAX_RESTORE_REPORT_FACTOR,
                                             2 * self.restore_report_factor)
        self.restored_since_throttling = False

    def reset_report_counts(self, now: float) -> None:
        """Resets the report counts; only reports of later times count."""
        self.last_action_at = now
        for victim in self.victims.values():
            victim.slow_reports = victim.normal_reports = 0


class ThrottleThenMovePolicy(ColocationPolicy, state.DomainObserver):
    """Throttles and finally moves the runs that slow down a victim the most.

    Hysteresis keeps runs from being throttled and restored in turn: restoring
    requires a lower slowdown and more reports than throttling, and the required
    number of reports doubles when a restored run must be throttled again. A
    report counts only if it describes a time after the last order for the
    worker took effect, so that a late report does not cause a second order.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 index: _domain_index.DomainIndex,
                 history: _workload_history.WorkloadHistory,
                 interference_model: _interference.InterferenceModel,
                 settings: ColocationSettings,
                 has_open_order: Callable[[_decisions.TaskKey], bool],
                 has_better_worker: Callable[[state.LiveRun], bool]):
        """Observes the domain state.

        Args:
            state_machine: State of the domain.
            index: Indexes of the domain.
            history: Workloads on each worker, and throttled runs.
            interference_model: Estimated slowdown for each pair of workloads.
            settings: Limits of slowdown.
            has_open_order: Returns whether a run already has a move or stop
                order.
            has_better_worker: Returns whether another worker would have clearly
                less interference for a run.
        """
        self._has_open_order = has_open_order
        self._has_better_worker = has_better_worker
        self._index = index
        self._history = history
        self._interference_model = interference_model
        self._settings = settings
        self._worker_states: dict[str, _WorkerState] = {}
        self._due_workers: dict[str, None] = {}
        self._move_budget = MOVE_BUDGET_BURST
        self._budget_updated_at: float | None = None
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._worker_states.clear()
        self._due_workers.clear()

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._index.workers.workers:
            self._worker_states.pop(worker, None)
            self._due_workers.pop(worker, None)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        worker_state = self._worker_states.get(run.worker)
        if worker_state is not None:
            worker_state.throttle_steps.pop((run.job_id, run.task), None)
            if not self._history.get_job_weights(run.worker):
                worker_state.victims.clear()

    def observe(self, worker: str, victim: _workload_history.Workload,
                slowdown: float, as_of: float) -> None:
        worker_state = self._worker_states.setdefault(worker, _WorkerState())
        if as_of <= worker_state.last_action_at + ORDER_EFFECT_DELAY:
            return
        victim_state = worker_state.victims.setdefault(victim, _VictimState())
        if as_of <= victim_state.reported_at:
            return
        victim_state.reported_at = as_of
        victim_state.slowdown = slowdown
        limit, restore_limit = self._get_limits(victim)
        severity = (1 if slowdown - 1 < SEVERE_SLOWDOWN_FACTOR *
                    (limit - 1) else 2)
        victim_state.slow_reports = ((victim_state.slow_reports +
                                      severity) if slowdown > limit else 0)
        victim_state.normal_reports = ((victim_state.normal_reports +
                                        1) if slowdown < restore_limit else 0)
        if victim_state.slow_reports >= REPORTS_TO_ACT or (
                worker_state.throttle_steps and
                victim_state.normal_reports >= REPORTS_TO_RESTORE):
            self._due_workers[worker] = None

    def _get_limits(self,
                    victim: _workload_history.Workload) -> tuple[float, float]:
        settings = self._settings
        if victim.is_service:
            return (settings.service_slowdown_limit,
                    settings.service_restore_limit)
        return settings.task_slowdown_limit, (1 +
                                              settings.task_slowdown_limit) / 2

    def plan(self, now: float) -> Iterator[_decisions.Eviction]:
        self._refill_move_budget(now)
        due_workers, self._due_workers = self._due_workers, {}
        for worker in due_workers:
            worker_state = self._worker_states.get(worker)
            if worker_state is None:
                continue
            slow_victims = [
                (workload, victim_state)
                for workload, victim_state in worker_state.victims.items()
                if victim_state.slow_reports >= REPORTS_TO_ACT
            ]
            if slow_victims:
                yield from self._plan_mitigation(worker, worker_state,
                                                 slow_victims, now)
            elif worker_state.throttle_steps:
                yield from self._plan_restore(worker_state, now)

    def _refill_move_budget(self, now: float) -> None:
        if self._budget_updated_at is not None:
            rate = (MOVE_BUDGET_SHARE_PER_HOUR *
                    self._settings.move_budget_factor *
                    self._index.count_runs() / 3600)
            self._move_budget = min(
                max(MOVE_BUDGET_BURST, 60 * rate),
                self._move_budget + rate * (now - self._budget_updated_at))
        self._budget_updated_at = now

    def _plan_mitigation(self, worker: str, worker_state: _WorkerState,
                         slow_victims: list[tuple[_workload_history.Workload,
                                                  _VictimState]],
                         now: float) -> Iterator[_decisions.Eviction]:
        victim, victim_state = max(slow_victims,
                                   key=lambda item:
                                   (item[0].is_service, item[1].slowdown))
        limit, restore_limit = self._get_limits(victim)
        excess_slowdown = victim_state.slowdown - (limit + restore_limit) / 2
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
        """Returns the runs that slow down a victim, largest effect first."""
        aggressors = []
        for run in self._index.list_batch_runs_on(worker):
            workload = _workload_history.Workload(False, run.job_id)
            task_key = (run.job_id, run.task)
            if workload == victim or self._has_open_order(task_key):
                continue
            slowdown_effect = self._interference_model.predict(
                victim, workload).mean
            fraction = self._history.get_throttle_fraction(task_key)
            if slowdown_effect * fraction >= MIN_BLAMED_SLOWDOWN:
                aggressors.append(_AggressorRun(run, slowdown_effect, fraction))
        aggressors.sort(key=lambda aggressor: -aggressor.slowdown_effect *
                        aggressor.throttle_fraction)
        return aggressors

    def _throttle_aggressors(
            self, worker_state: _WorkerState, aggressors: list[_AggressorRun],
            excess_slowdown: float) -> list[_decisions.Eviction]:
        """Throttles runs by one step until the excess slowdown is covered."""
        orders = []
        for aggressor in aggressors:
            task_key = (aggressor.run.job_id, aggressor.run.task)
            step = worker_state.throttle_steps.get(task_key, 0)
            if step >= len(THROTTLE_STEPS):
                continue
            fraction = THROTTLE_STEPS[step]
            worker_state.throttle_steps[task_key] = step + 1
            worker_state.update_restore_factor()
            orders.append(self._build_throttle(aggressor.run, fraction))
            excess_slowdown -= aggressor.slowdown_effect * (
                aggressor.throttle_fraction - fraction)
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
                                    aggressor.throttle_fraction)
        return orders

    def _build_throttle(self, run: state.LiveRun,
                        fraction: float) -> _decisions.Eviction:
        self._history.set_throttle_fraction((run.job_id, run.task), fraction)
        return _build_eviction(run, _decisions.EvictionAction.THROTTLE,
                               fraction)

    def _plan_restore(self, worker_state: _WorkerState,
                      now: float) -> Iterator[_decisions.Eviction]:
        """Ends one throttling step, or moves a run that must stay throttled."""
        service_victims = [
            (workload, victim_state)
            for workload, victim_state in worker_state.victims.items()
            if workload.is_service and now -
            victim_state.reported_at < REPORT_VALIDITY
        ]
        required_reports = (REPORTS_TO_RESTORE *
                            worker_state.restore_report_factor)
        if any(victim_state.normal_reports < required_reports
               for _, victim_state in service_victims):
            return
        for task_key, step in list(worker_state.throttle_steps.items()):
            run = self._index.get_run(task_key)
            if run is None:
                del worker_state.throttle_steps[task_key]
                continue
            fraction = THROTTLE_STEPS[step - 2] if step > 1 else 1.0
            if self._would_slow_services(run, fraction, service_victims):
                orders = self._move_aggressors([_AggressorRun(run, 1.0, 1.0)],
                                               1.0)
                if not orders:
                    continue
            else:
                orders = [self._build_throttle(run, fraction)]
                worker_state.restored_since_throttling = True
                if step > 1:
                    worker_state.throttle_steps[task_key] = step - 1
                else:
                    del worker_state.throttle_steps[task_key]
            worker_state.reset_report_counts(now)
            yield from orders
            return

    def _would_slow_services(
        self, run: state.LiveRun, new_fraction: float,
        service_victims: list[tuple[_workload_history.Workload, _VictimState]]
    ) -> bool:
        """Returns whether a run at `new_fraction` would exceed a limit."""
        added_fraction = new_fraction - self._history.get_throttle_fraction(
            (run.job_id, run.task))
        workload = _workload_history.Workload(False, run.job_id)
        return any(victim_state.slowdown + added_fraction *
                   self._interference_model.predict(victim, workload).mean >
                   self._get_limits(victim)[0]
                   for victim, victim_state in service_victims)


def _build_eviction(run: state.LiveRun,
                    action: _decisions.EvictionAction,
                    fraction: float = 1.0) -> _decisions.Eviction:
    return _decisions.Eviction(run.job_id, run.task, run.run, run.worker,
                               action, _decisions.EvictionReason.INTERFERENCE,
                               fraction)
