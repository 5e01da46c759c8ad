"""Reclaims capacity for waiting tasks that fit in no worker's free capacity.

For work within its team's quota, batch runs are evicted, mostly those of teams
that borrow capacity. After a longer wait, a worker is drained.
"""

import itertools
from typing import Callable, Iterator, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _queue
from gentianlead.scheduling import _worker_index

RECLAIM_DELAY = 15.0
"""Seconds for which a job group within its team's quota share waits, because
its tasks fit in no worker's free capacity, before runs of borrowing teams are
evicted for it. Where tasks run for minutes, runs that end by themselves free
enough capacity within this time in most cases. Urgent work does not wait."""

DRAIN_DELAY = 120.0
"""Seconds for which a job group waits, because its tasks fit in no worker's
free capacity, before a worker is drained for it, whatever its team's quota."""

RESERVATION_TIMEOUT = 20.0
"""Maximum seconds for which a worker is reserved after evictions from it were
planned. The reservation ends earlier when a task of the group fits in the
worker's free capacity, or no job of the group waits any more."""

DRAIN_TIMEOUT = 900.0
"""Maximum seconds for which a worker is reserved to drain. While a worker
drains, its runs end by themselves and no others start."""

WORKERS_PER_DRAIN = 50
"""At most one in this many workers may be drained at the same time, but one
drain is always allowed."""

_MAX_CANDIDATES_CONSIDERED = 256
_MAX_RESERVATIONS_PER_GROUP = 64


class Reservation(NamedTuple):
    """Reservation of a worker for the next task of a job group.

    A reserved worker is excluded from placement.

    Attributes:
        group_key: Job group that the worker is reserved for.
        expires_at: Monotonic seconds at which the reservation ends.
        is_drain: Whether the worker drains. If False, runs were evicted from it
            for this reservation.
    """

    group_key: _queue.JobGroupKey
    expires_at: float
    is_drain: bool


class _ReclaimPlan(NamedTuple):
    """Evictions that free enough capacity on one worker for a task.

    Attributes:
        worker: Name of the worker to reserve for the task.
        runs_to_evict: Runs on the worker that must be evicted.
    """

    worker: str
    runs_to_evict: tuple[state.LiveRun, ...]


class CapacityReclaimer:
    """Evicts batch runs and reserves their workers for waiting tasks.

    Urgent work reclaims capacity at once, within the whole quota of its team,
    from borrowing teams and from batch runs of its own team. Other work
    reclaims capacity after `RECLAIM_DELAY`, within the quota share of its team
    in this domain, from other teams that borrow. After `DRAIN_DELAY`, a worker
    is reserved to drain for either kind of work.
    """

    def __init__(self, domain_index: _domain_index.DomainIndex,
                 has_open_order: Callable[[_decisions.TaskKey], bool]):
        """Creates a reclaimer without reservations.

        Args:
            domain_index: Indexes of the domain.
            has_open_order: Returns whether a run already has a move or stop
                order.
        """
        self._domain_index = domain_index
        self._has_open_order = has_open_order
        self._waiting_since_by_group: dict[_queue.JobGroupKey, float] = {}
        self._reservations_by_worker: dict[str, Reservation] = {}

    def reset_waiting_time(self, group_key: _queue.JobGroupKey) -> None:
        """Resets the waiting time of a group of which a task was placed."""
        self._waiting_since_by_group.pop(group_key, None)

    def clear(self) -> None:
        """Ends all reservations and resets all waiting times."""
        for worker_name in list(self._reservations_by_worker):
            self._end_reservation(worker_name)
        self._waiting_since_by_group.clear()

    def _end_reservation(self, worker_name: str) -> None:
        del self._reservations_by_worker[worker_name]
        self._domain_index.worker_index.include(worker_name)

    def take_ready_reservations(
            self, now: float,
            max_ready: int) -> list[tuple[str, _queue.JobGroupKey]]:
        """Ends reservations that are ready, expired or no longer needed.

        A reservation is ready when its worker has enough free capacity for one
        task of the group. It is no longer needed when the worker is removed or
        no job of the group waits.

        Args:
            now: Monotonic seconds.
            max_ready: Maximum number of ready reservations to return.

        Returns:
            The worker and the job group of each ready reservation whose worker
            is not excluded for another reason.
        """
        ready_reservations = []
        for worker_name, reservation in list(
                self._reservations_by_worker.items()):
            worker = self._domain_index.worker_index.workers.get(worker_name)
            has_waiting_job = self._domain_index.queue.get_first_job(
                reservation.group_key) is not None
            if (worker is None or not has_waiting_job or
                    now >= reservation.expires_at):
                self._end_reservation(worker_name)
            elif (len(ready_reservations) < max_ready and
                  reservation.group_key.resources.fits_in(
                      worker.free_capacity)):
                self._end_reservation(worker_name)
                if not self._domain_index.worker_index.is_excluded(worker_name):
                    ready_reservations.append(
                        (worker_name, reservation.group_key))
        return ready_reservations

    def plan_evictions(
            self,
            now: float,
            is_urgent_only: bool = False) -> Iterator[_decisions.Eviction]:
        """Yields evictions for unplaced work, and reserves workers for it.

        Args:
            now: Monotonic seconds.
            is_urgent_only: Whether to reclaim capacity for urgent work only.
        """
        for group_key in self._domain_index.queue.iterate_unschedulable_groups(
        ):
            self._waiting_since_by_group.setdefault(group_key, now)
        for group_key, waiting_since in sorted(
                self._waiting_since_by_group.items(),
                key=lambda group_and_time:
            (group_and_time[0].job_class, group_and_time[1])):
            if self._domain_index.queue.get_first_job(group_key) is None:
                del self._waiting_since_by_group[group_key]
                continue
            is_urgent = group_key.job_class == _queue.URGENT_CLASS
            if not is_urgent and (is_urgent_only or
                                  now - waiting_since < RECLAIM_DELAY):
                continue
            yield from self._evict_for_group(group_key, now)
            if now - waiting_since >= DRAIN_DELAY:
                self._reserve_for_drain(group_key, now)

    def _evict_for_group(self, group_key: _queue.JobGroupKey,
                         now: float) -> Iterator[_decisions.Eviction]:
        reservation_count = sum(
            reservation.group_key == group_key
            for reservation in self._reservations_by_worker.values())
        required_count = min(
            self._domain_index.count_waiting_tasks(group_key,
                                                   _MAX_RESERVATIONS_PER_GROUP),
            _MAX_RESERVATIONS_PER_GROUP)
        reason = (_decisions.EvictionReason.URGENT_WORK
                  if group_key.job_class == _queue.URGENT_CLASS else
                  _decisions.EvictionReason.QUOTA_RECLAIMED)
        while reservation_count < required_count:
            reservation_count += 1
            if not self._is_within_quota(group_key, reservation_count):
                return
            reclaim_plan = self._find_worker_to_reclaim(group_key)
            if reclaim_plan is None:
                return
            self._reservations_by_worker[reclaim_plan.worker] = Reservation(
                group_key, now + RESERVATION_TIMEOUT, False)
            self._domain_index.worker_index.exclude(reclaim_plan.worker)
            for run in reclaim_plan.runs_to_evict:
                yield _decisions.Eviction(run.job_id, run.task, run.run,
                                          run.worker,
                                          _decisions.EvictionAction.MOVE,
                                          reason)

    def _is_within_quota(self, group_key: _queue.JobGroupKey,
                         task_count: int) -> bool:
        required_resources = group_key.resources.times(task_count)
        if group_key.job_class == _queue.URGENT_CLASS:
            return self._domain_index.quota_ledger.urgent_claims_fit_quota(
                group_key.team, required_resources)
        return not self._domain_index.quota_ledger.would_borrow(
            group_key.team, required_resources)

    def _find_worker_to_reclaim(
            self, group_key: _queue.JobGroupKey) -> _ReclaimPlan | None:
        runs_by_worker: dict[str, list[state.LiveRun]] = {}
        for run in itertools.islice(self._iterate_evictable_runs(group_key),
                                    _MAX_CANDIDATES_CONSIDERED):
            runs_by_worker.setdefault(run.worker, []).append(run)
        best_plan: _ReclaimPlan | None = None
        for worker_name, runs in runs_by_worker.items():
            worker = self._domain_index.worker_index.workers[worker_name]
            runs_to_evict = _choose_runs_to_evict(group_key.resources, worker,
                                                  runs)
            if runs_to_evict and (best_plan is None or len(runs_to_evict) < len(
                    best_plan.runs_to_evict)):
                best_plan = _ReclaimPlan(worker_name, runs_to_evict)
        return best_plan

    def _iterate_evictable_runs(
            self, group_key: _queue.JobGroupKey) -> Iterator[state.LiveRun]:
        """Yields the batch runs to consider for eviction, in order.

        Teams that borrow come first, the one with the largest excess before the
        others. Of each, the newest runs are yielded until the remaining claims
        are within its quota share. The team of the waiting group is left out
        unless the group is urgent. For urgent work of a team that does not
        borrow, the team's own batch runs follow, newest first. Runs on excluded
        workers and runs with an open move or stop order are skipped.
        """
        quota_ledger = self._domain_index.quota_ledger
        is_urgent = group_key.job_class == _queue.URGENT_CLASS
        for team in quota_ledger.list_borrowers():
            if team == group_key.team and not is_urgent:
                continue
            claimed_resources = quota_ledger.get_claimed_resources(team)
            for run in self._domain_index.iterate_batch_runs(team):
                if claimed_resources.fits_in(
                        quota_ledger.get_domain_share(team)):
                    break
                if self._is_evictable(run):
                    claimed_resources = claimed_resources.minus(run.resources)
                    yield run
        if is_urgent and not quota_ledger.is_borrowing(group_key.team):
            yield from filter(
                self._is_evictable,
                self._domain_index.iterate_batch_runs(group_key.team))

    def _is_evictable(self, run: state.LiveRun) -> bool:
        return not (self._domain_index.worker_index.is_excluded(run.worker) or
                    self._has_open_order((run.job_id, run.task)))

    def _reserve_for_drain(self, group_key: _queue.JobGroupKey,
                           now: float) -> None:
        drain_reservations = [
            reservation
            for reservation in self._reservations_by_worker.values()
            if reservation.is_drain
        ]
        max_drains = max(
            1,
            len(self._domain_index.worker_index.workers) // WORKERS_PER_DRAIN)
        if len(drain_reservations) >= max_drains or any(
                reservation.group_key == group_key
                for reservation in self._reservations_by_worker.values()):
            return
        minimum_resources = model.Resources(0, 0,
                                            group_key.resources.accelerators)
        for worker in itertools.islice(
                self._domain_index.worker_index.iterate_emptiest(
                    minimum_resources), _MAX_CANDIDATES_CONSIDERED):
            if group_key.resources.fits_in(worker.capacity):
                self._reservations_by_worker[worker.name] = Reservation(
                    group_key, now + DRAIN_TIMEOUT, True)
                self._domain_index.worker_index.exclude(worker.name)
                return


def _choose_runs_to_evict(
        required_resources: model.Resources, worker: _worker_index.Worker,
        runs: list[state.LiveRun]) -> tuple[state.LiveRun, ...]:
    """Returns the first of the given runs that must end so that a task fits.

    Returns an empty tuple if the task fits already, or would not fit even if
    all given runs were evicted.
    """
    free_capacity = worker.free_capacity
    runs_to_evict = []
    for run in runs:
        if required_resources.fits_in(free_capacity):
            break
        free_capacity = free_capacity.plus(run.resources)
        runs_to_evict.append(run)
    return tuple(runs_to_evict) if required_resources.fits_in(
        free_capacity) else ()
