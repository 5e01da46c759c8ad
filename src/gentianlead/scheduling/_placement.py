"""Selection of the worker that runs a task."""

import abc
import itertools
from typing import Callable, Iterator, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.scheduling import _worker_index

MAX_CANDIDATE_WORKERS = 8
"""Maximum number of fitting workers without `FORBIDDEN_PENALTY` to compare in
each search. The index yields workers nearly in the preferred order, so
comparing more costs time and changes little."""

MAX_SCANNED_WORKERS = 160
"""Maximum number of fitting workers to examine in each search, including those
with `FORBIDDEN_PENALTY`, which are skipped."""

HIGH_PENALTY = 0.3
"""If even the lowest penalty among the tightest fitting workers is above this,
the emptiest workers are compared too."""

FORBIDDEN_PENALTY = 1e6
"""Penalty of a worker on which the task must not be placed for now, so that it
waits if no other worker fits."""


class PlacementRequest(NamedTuple):
    """Properties of one task that determine the choice of its worker.

    Attributes:
        job_id: Job of the task; interference is estimated per job.
        resources: Resources to claim.
        is_watcher: Whether the job is a watcher; watchers are spread over
            racks.
        may_wait: Whether the task may wait for another worker if it would slow
            down the services on all fitting workers too much.
    """

    job_id: str
    resources: model.Resources
    is_watcher: bool = False
    may_wait: bool = False


class PlacementPolicy(abc.ABC):
    """Chooses the worker on which a task starts."""

    @abc.abstractmethod
    def choose_worker(
            self, request: PlacementRequest,
            worker_index: _worker_index.WorkerIndex
    ) -> _worker_index.Worker | None:
        """Returns the worker for a task, or None if none is suitable.

        The worker has enough free capacity and is not excluded.
        """


class FirstFitPolicy(PlacementPolicy):
    """Chooses the first fitting worker in order of appearance; a baseline."""

    def choose_worker(
            self, request: PlacementRequest,
            worker_index: _worker_index.WorkerIndex
    ) -> _worker_index.Worker | None:
        for worker in worker_index.iterate_included():
            if request.resources.fits_in(worker.free_capacity):
                return worker
        return None


class RandomPolicy(PlacementPolicy):
    """Chooses a fitting worker uniformly at random; a baseline."""

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose_worker(
            self, request: PlacementRequest,
            worker_index: _worker_index.WorkerIndex
    ) -> _worker_index.Worker | None:
        fitting_workers = [
            worker for worker in worker_index.iterate_included()
            if request.resources.fits_in(worker.free_capacity)
        ]
        return self._random.sample(fitting_workers,
                                   1)[0] if fitting_workers else None


class PlacementPenalties(abc.ABC):
    """Computes the penalty of each worker for one placement request."""

    @abc.abstractmethod
    def compute_penalty(self, worker: _worker_index.Worker) -> float:
        """Returns the penalty of a worker: 0.0 or more, less is preferred."""


class PenaltyModel(abc.ABC):
    """Creates the penalties of workers for each placement request."""

    @abc.abstractmethod
    def build_penalties(self, request: PlacementRequest) -> PlacementPenalties:
        """Returns the penalties for one placement request."""


class PackAndSpreadPolicy(PlacementPolicy):
    """Packs tasks, spreads watchers, and avoids penalized workers.

    A task of a job that is no watcher goes to the worker with the lowest sum of
    its penalty and the result of `compute_remaining_share` among the tightest
    fitting workers. If none of these is allowed, or all have a penalty above
    `HIGH_PENALTY`, some of the emptiest workers are compared too.

    A watcher goes to the rack with the fewest watchers among those that have a
    fitting worker, and there to the fitting worker with the fewest watchers.
    For a watcher, penalties only decide among workers with equally many
    watchers.
    """

    def __init__(self, penalty_model: PenaltyModel | None = None):
        self._penalty_model = penalty_model

    def choose_worker(
            self, request: PlacementRequest,
            worker_index: _worker_index.WorkerIndex
    ) -> _worker_index.Worker | None:
        compute_penalty = _build_penalty_function(self._penalty_model, request)
        if request.is_watcher:
            return self._choose_for_watcher(request, worker_index,
                                            compute_penalty)
        scored_workers = _score_workers(
            worker_index.iterate_tightest(request.resources), compute_penalty)
        if not scored_workers or min(scored_workers)[0] > HIGH_PENALTY:
            scored_workers += _score_workers(
                worker_index.iterate_emptiest(request.resources),
                compute_penalty)
        if not scored_workers:
            return None
        return min((penalty + compute_remaining_share(request, worker),
                    appearance_order, worker)
                   for penalty, appearance_order, worker in scored_workers)[2]

    def _choose_for_watcher(
        self, request: PlacementRequest,
        worker_index: _worker_index.WorkerIndex,
        compute_penalty: Callable[[_worker_index.Worker], float]
    ) -> _worker_index.Worker | None:
        for rack in worker_index.iterate_racks():
            fitting_workers = [
                worker for worker in rack.workers.values()
                if worker.group_key is not None and
                request.resources.fits_in(worker.free_capacity)
            ]
            if fitting_workers:
                return min(fitting_workers,
                           key=lambda worker:
                           (worker.watcher_count, compute_penalty(
                               worker) - compute_remaining_share(
                                   request, worker), worker.appearance_order))
        return None


_ScoredWorker = tuple[float, int, _worker_index.Worker]


def _build_penalty_function(
        penalty_model: PenaltyModel | None,
        request: PlacementRequest) -> Callable[[_worker_index.Worker], float]:
    if penalty_model is None:
        return lambda worker: 0.0
    return penalty_model.build_penalties(request).compute_penalty


def _score_workers(
    workers: Iterator[_worker_index.Worker],
    compute_penalty: Callable[[_worker_index.Worker], float]
) -> list[_ScoredWorker]:
    scored_workers: list[_ScoredWorker] = []
    for worker in itertools.islice(workers, MAX_SCANNED_WORKERS):
        penalty = compute_penalty(worker)
        if penalty < FORBIDDEN_PENALTY:
            scored_workers.append((penalty, worker.appearance_order, worker))
            if len(scored_workers) >= MAX_CANDIDATE_WORKERS:
                break
    return scored_workers


def compute_remaining_share(request: PlacementRequest,
                            worker: _worker_index.Worker) -> float:
    """Returns a measure of a worker's free capacity after the placement.

    The result is the sum of three numbers: the share of processors and the
    share of memory that stay free, each from 0.0 to 1.0, and the number of
    accelerators that stay free. Counting each accelerator as 1.0 keeps tasks
    that need no accelerators away from workers that have some.
    """
    free_capacity, capacity, required_resources = (worker.free_capacity,
                                                   worker.capacity,
                                                   request.resources)
    return ((free_capacity.cpu_millis - required_resources.cpu_millis) /
            max(1, capacity.cpu_millis) +
            (free_capacity.memory_mib - required_resources.memory_mib) /
            max(1, capacity.memory_mib) + free_capacity.accelerators -
            required_resources.accelerators)
