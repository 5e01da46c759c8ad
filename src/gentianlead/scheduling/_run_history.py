"""What ran on each worker at a past time, to align late usage reports."""

import collections
from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state

HISTORY = 120.0
"""Seconds of changes kept; usage reports lag by seconds."""

SERVICE_WEIGHT = 1.0


class Kind(NamedTuple):
    """A kind of work that interferes, known by its identity alone.

    Attributes:
        is_service: Whether it is a service and not a job.
        name: Service name or job id.
    """

    is_service: bool
    name: str


class _Change(NamedTuple):
    at: float
    kind: Kind
    weight: float


class _Timeline:
    """Present weights of a worker and the changes that led to them."""

    __slots__ = ("weights", "changes")

    def __init__(self) -> None:
        self.weights: dict[Kind, float] = {}
        self.changes: collections.deque[_Change] = collections.deque()

    def change(self, at: float, kind: Kind, weight: float) -> None:
        """Adds to the weight of a kind, and drops old changes."""
        _add(self.weights, kind, weight)
        self.changes.append(_Change(at, kind, weight))
        while self.changes and self.changes[0].at < at - HISTORY:
            self.changes.popleft()


class RunHistory(state.DomainObserver):
    """Weights of the kinds of work on each worker, now and lately.

    A run weighs 1.0, and a throttled run weighs the fraction that it keeps. A
    service weighs 1.0 on each of its workers.
    """

    def __init__(self, fold: state.DomainFold,
                 configuration: model.Configuration,
                 read_clock: Callable[[], float]):
        self._fold = fold
        self._read_clock = read_clock
        self._timelines: dict[str, _Timeline] = {}
        self._runs: dict[tuple[str, int], state.LiveRun] = {}
        self._fractions: dict[tuple[str, int], float] = {}
        self._services: list[model.Service] = []
        self._services_by_worker: dict[str, tuple[Kind, ...]] = {}
        self._combinations: tuple[tuple[Kind, ...], ...] | None = None
        self.set_configuration(configuration)
        self.on_reset()
        fold.add_observer(self)

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Takes the services."""
        self._services = list(configuration.services.values())
        self._services_by_worker.clear()
        self._combinations = None

    def on_reset(self) -> None:
        self._timelines.clear()
        self._runs.clear()
        self._fractions.clear()
        for key in self._fold.runs:
            self.on_run_changed(key)

    def on_run_changed(self, key: tuple[str, int]) -> None:
        old = self._runs.pop(key, None)
        new = self._fold.runs.get(key)
        now = self._read_clock()
        if old is not None and (new is None or new.run != old.run):
            fraction = self._fractions.pop(key, 1.0)
            self._change(old.worker, now, key, -fraction)
        if new is not None:
            self._runs[key] = new
            if old is None or new.run != old.run:
                self._change(new.worker, now, key, 1.0)

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._fold.workers:
            self._timelines.pop(worker, None)
            self._services_by_worker.pop(worker, None)
            self._combinations = None
        elif worker not in self._services_by_worker:
            self._combinations = None

    def _change(self, worker: str, now: float, key: tuple[str, int],
                weight: float) -> None:
        timeline = self._timelines.setdefault(worker, _Timeline())
        timeline.change(now, Kind(False, key[0]), weight)

    def set_fraction(self, key: tuple[str, int], fraction: float) -> None:
        """Notes that a run was throttled, or is not any more."""
        run = self._runs.get(key)
        if run is None:
            return
        old = self._fractions.get(key, 1.0)
        self._fractions[key] = fraction
        self._change(run.worker, self._read_clock(), key, fraction - old)

    def get_fraction(self, key: tuple[str, int]) -> float:
        """Returns the fraction of its resources that a run keeps."""
        return self._fractions.get(key, 1.0)

    @property
    def has_services(self) -> bool:
        """Whether any service is configured."""
        return bool(self._services)

    def list_all_services(self) -> list[Kind]:
        """Returns all services."""
        return [Kind(True, service.name) for service in self._services]

    def get_services(self, worker: str) -> tuple[Kind, ...]:
        """Returns the services on a worker."""
        kinds = self._services_by_worker.get(worker)
        if kinds is None:
            kinds = tuple(
                Kind(True, service.name)
                for service in self._services
                if service.has_target(worker))
            self._services_by_worker[worker] = kinds
        return kinds

    def list_combinations(self) -> tuple[tuple[Kind, ...], ...]:
        """Returns the distinct sets of services that workers have."""
        if self._combinations is None:
            self._combinations = tuple(
                dict.fromkeys(map(self.get_services, self._fold.workers)))
        return self._combinations

    def get_weights(self, worker: str) -> dict[Kind, float]:
        """Returns the present weights of the jobs on a worker."""
        timeline = self._timelines.get(worker)
        return timeline.weights if timeline is not None else {}

    def compute_weights_at(self, worker: str,
                           as_of: float) -> dict[Kind, float]:
        """Returns the weights of all kinds that a worker had at `as_of`."""
        timeline = self._timelines.get(worker)
        weights: dict[Kind, float] = {}
        if timeline is not None:
            weights = dict(timeline.weights)
            for change in reversed(timeline.changes):
                if change.at <= as_of:
                    break
                _add(weights, change.kind, -change.weight)
        for kind in self.get_services(worker):
            weights[kind] = SERVICE_WEIGHT
        return weights


def _add(weights: dict[Kind, float], kind: Kind, weight: float) -> None:
    total = weights.get(kind, 0.0) + weight
    if total > 0:
        weights[kind] = total
    else:
        weights.pop(kind, None)
