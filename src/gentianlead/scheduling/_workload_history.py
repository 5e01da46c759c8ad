"""Workloads that each worker ran at a past time.

Slowdown reports arrive late and must be attributed to the workloads that ran at
the time that they describe.
"""

import collections
from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state

HISTORY_DURATION = 120.0
"""Seconds for which changes of the weights of jobs on workers are stored.
Slowdown reports lag by a few seconds only."""

SERVICE_WEIGHT = 1.0


class Workload(NamedTuple):
    """Identity of a service or job that may slow down others on its workers.

    Attributes:
        is_service: True for a service, False for a job.
        name: Service name or job id.
    """

    is_service: bool
    name: str


class _WeightChange(NamedTuple):
    """A change of the weight of a job on a worker.

    The weight is the number of live runs of the job on the worker, in which a
    throttled run counts as the share of its resources that it keeps.

    Attributes:
        changed_at: Monotonic seconds of the change.
        workload: Job whose weight changed.
        added_weight: Amount added to the weight; negative for a decrease.
    """

    changed_at: float
    workload: Workload
    added_weight: float


class _WeightTimeline:
    """Present weights of jobs on a worker, and their recent changes."""

    __slots__ = ("weights", "changes")

    def __init__(self) -> None:
        self.weights: dict[Workload, float] = {}
        self.changes: collections.deque[_WeightChange] = collections.deque()

    def add_change(self, changed_at: float, workload: Workload,
                   added_weight: float) -> None:
        """Changes the weight of a job on the worker.

        Drops the changes that are older than `HISTORY_DURATION`.
        """
        _add_weight(self.weights, workload, added_weight)
        self.changes.append(_WeightChange(changed_at, workload, added_weight))
        while self.changes and self.changes[
                0].changed_at < changed_at - HISTORY_DURATION:
            self.changes.popleft()


class WorkloadHistory(state.DomainObserver):
    """Keeps the present and recent weight of each workload on each worker.

    The weight of a job on a worker is the sum over its live runs there: 1.0 for
    a run, or the share of its resources that a throttled run keeps. A service
    has weight `SERVICE_WEIGHT` on each worker with one of its targets, and no
    history.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 configuration: model.Configuration,
                 read_clock: Callable[[], float]):
        self._state_machine = state_machine
        self._read_clock = read_clock
        self._timelines_by_worker: dict[str, _WeightTimeline] = {}
        self._live_runs: dict[tuple[str, int], state.LiveRun] = {}
        self._throttle_shares_by_task: dict[tuple[str, int], float] = {}
        self._services: list[model.Service] = []
        self._services_by_worker: dict[str, tuple[Workload, ...]] = {}
        self._service_combinations: tuple[tuple[Workload, ...],
                                          ...] | None = None
        self.set_configuration(configuration)
        self.on_reset()
        state_machine.add_observer(self)

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Replaces the services by those of a new configuration."""
        self._services = list(configuration.services.values())
        self._services_by_worker.clear()
        self._service_combinations = None

    def on_reset(self) -> None:
        self._timelines_by_worker.clear()
        self._live_runs.clear()
        self._throttle_shares_by_task.clear()
        for task_key in self._state_machine.runs:
            self.on_run_changed(task_key)

    def on_run_changed(self, key: tuple[str, int]) -> None:
        old_run = self._live_runs.pop(key, None)
        new_run = self._state_machine.runs.get(key)
        now = self._read_clock()
        if old_run is not None and (new_run is None or
                                    new_run.run != old_run.run):
            throttle_share = self._throttle_shares_by_task.pop(key, 1.0)
            self._record_weight_change(old_run.worker, now, key,
                                       -throttle_share)
        if new_run is not None:
            self._live_runs[key] = new_run
            if old_run is None or new_run.run != old_run.run:
                self._record_weight_change(new_run.worker, now, key, 1.0)

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._state_machine.workers:
            self._timelines_by_worker.pop(worker, None)
            self._services_by_worker.pop(worker, None)
            self._service_combinations = None
        elif worker not in self._services_by_worker:
            self._service_combinations = None

    def _record_weight_change(self, worker: str, now: float,
                              task_key: tuple[str, int],
                              added_weight: float) -> None:
        timeline = self._timelines_by_worker.setdefault(worker,
                                                        _WeightTimeline())
        timeline.add_change(now, Workload(False, task_key[0]), added_weight)

    def set_throttle_share(self, task_key: tuple[str, int],
                           throttle_share: float) -> None:
        """Records the share of its resources that a live run keeps.

        Does nothing if the task has no live run.
        """
        run = self._live_runs.get(task_key)
        if run is None:
            return
        old_throttle_share = self._throttle_shares_by_task.get(task_key, 1.0)
        self._throttle_shares_by_task[task_key] = throttle_share
        self._record_weight_change(run.worker, self._read_clock(), task_key,
                                   throttle_share - old_throttle_share)

    def get_throttle_share(self, task_key: tuple[str, int]) -> float:
        """Returns the share of its resources that the run of a task keeps.

        The share is 1.0 if the run is not throttled or the task has no live
        run.
        """
        return self._throttle_shares_by_task.get(task_key, 1.0)

    @property
    def has_services(self) -> bool:
        """Whether at least one service is configured."""
        return bool(self._services)

    def list_services(self) -> list[Workload]:
        """Returns the workloads of all configured services."""
        return [Workload(True, service.name) for service in self._services]

    def get_services_on(self, worker: str) -> tuple[Workload, ...]:
        """Returns the services that have a target on the worker."""
        services = self._services_by_worker.get(worker)
        if services is None:
            services = tuple(
                Workload(True, service.name)
                for service in self._services
                if service.has_target(worker))
            self._services_by_worker[worker] = services
        return services

    def list_service_combinations(self) -> tuple[tuple[Workload, ...], ...]:
        """Returns the distinct sets of services that workers run.

        The empty set is included if a worker runs no service.
        """
        if self._service_combinations is None:
            self._service_combinations = tuple(
                dict.fromkeys(
                    map(self.get_services_on, self._state_machine.workers)))
        return self._service_combinations

    def get_job_weights(self, worker: str) -> dict[Workload, float]:
        """Returns the present weight of each job with a run on a worker."""
        timeline = self._timelines_by_worker.get(worker)
        return timeline.weights if timeline is not None else {}

    def compute_workload_weights(self, worker: str,
                                 as_of: float) -> dict[Workload, float]:
        """Returns the weight of each workload on a worker at `as_of`.

        For a time before the oldest change that is still kept, the weights of
        jobs are those just before that change. Services are those of the
        present configuration.
        """
        timeline = self._timelines_by_worker.get(worker)
        weights: dict[Workload, float] = {}
        if timeline is not None:
            weights = dict(timeline.weights)
            for change in reversed(timeline.changes):
                if change.changed_at <= as_of:
                    break
                _add_weight(weights, change.workload, -change.added_weight)
        for workload in self.get_services_on(worker):
            weights[workload] = SERVICE_WEIGHT
        return weights


def _add_weight(weights: dict[Workload, float], workload: Workload,
                added_weight: float) -> None:
    new_weight = weights.get(workload, 0.0) + added_weight
    if new_weight > 0:
        weights[workload] = new_weight
    else:
        weights.pop(workload, None)
