"""Index of workers by free capacity, which avoids scans of all workers."""

import math
from typing import Callable, Iterator

import sortedcontainers

from gentianlead import model

LEVELS_PER_DOUBLING = 2
"""Number of capacity levels per doubling of a free amount. Workers form a group
if they have equally many free accelerators and equal levels of free processors
and of free memory. Two levels keep the number of groups in the low hundreds for
1,400 workers, while the workers of a group have nearly equal free capacity.
"""

_CapacityGroupKey = tuple[int, int, int, int]


class Worker:
    """Placement data of a worker.

    Attributes:
        name: Name of the worker; it must not affect decisions.
        rack: Name of its rack.
        appearance_order: Number of workers that were added before this one,
            including those that were removed since. It decides ties, because
            decisions must not depend on names.
        capacity: Total resources of the worker for tasks, free or not.
        free_capacity: Capacity minus applied claims, planned claims and usage
            beyond claims.
        watcher_count: Number of live and planned runs of watchers on the
            worker.
        group_key: Key of the worker's group in the index; None if the worker is
            excluded or an amount of its free capacity is negative.
    """

    __slots__ = ("name", "rack", "appearance_order", "capacity",
                 "free_capacity", "watcher_count", "group_key")

    def __init__(self, name: str, rack: str, appearance_order: int,
                 capacity: model.Resources):
        self.name = name
        self.rack = rack
        self.appearance_order = appearance_order
        self.capacity = capacity
        self.free_capacity = capacity
        self.watcher_count = 0
        self.group_key: _CapacityGroupKey | None = None


class Rack:
    """Placement data of a rack.

    Attributes:
        appearance_order: Number of racks that were added before this one.
        workers: Workers by name, in the order in which they were added.
        watcher_count: Number of live and planned runs of watchers in the rack.
    """

    __slots__ = ("appearance_order", "workers", "watcher_count")

    def __init__(self, appearance_order: int) -> None:
        self.appearance_order = appearance_order
        self.workers: dict[str, Worker] = {}
        self.watcher_count = 0


class WorkerIndex:
    """Finds workers with enough free capacity.

    Workers are grouped by free accelerators and by levels of free processors
    and memory. Excluded workers, which are leaving, quarantined or reserved,
    stay in `workers` but are in no group. `iterate_tightest`,
    `iterate_emptiest` and `iterate_included` skip them.

    Attributes:
        workers: All workers by name, in the order in which they were added.
    """

    def __init__(self, on_capacity_available: Callable[[model.Resources],
                                                       None]):
        """Creates an empty index.

        Args:
            on_capacity_available: Called with the free capacity of a worker
                when the worker is added, updated or included again, or its free
                capacity changes. Not called if the worker is excluded or an
                amount of its free capacity is negative.
        """
        self._on_capacity_available = on_capacity_available
        self.workers: dict[str, Worker] = {}
        self._racks_by_name: dict[str, Rack] = {}
        self._racks_by_watchers = sortedcontainers.SortedList()
        self._rack_names: list[str] = []
        self._workers_by_group: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict())
        self._worker_counts_by_capacity: dict[model.Resources, int] = {}
        self._exclusion_counts: dict[str, int] = {}
        self._next_appearance_order = 0

    @property
    def capacities(self) -> tuple[model.Resources, ...]:
        """The distinct capacities of the workers."""
        return tuple(self._worker_counts_by_capacity)

    def clear(self) -> None:
        """Removes all workers; exclusions are kept."""
        self.workers.clear()
        self._racks_by_name.clear()
        self._racks_by_watchers.clear()
        self._rack_names.clear()
        self._workers_by_group.clear()
        self._worker_counts_by_capacity.clear()
        self._next_appearance_order = 0

    def put(self, name: str, rack_name: str, capacity: model.Resources,
            free_capacity: model.Resources) -> bool:
        """Adds a worker, or updates its rack and capacities.

        Returns:
            Whether the set of distinct capacities changed.
        """
        worker = self.workers.get(name)
        if worker is not None and (worker.capacity != capacity or
                                   worker.rack != rack_name):
            watcher_count = worker.watcher_count
            self.remove(name)
            have_capacities_changed = self._add(name, rack_name, capacity)
            worker = self.workers[name]
            self.add_watchers(name, watcher_count)
        else:
            have_capacities_changed = worker is None and self._add(
                name, rack_name, capacity)
        worker = self.workers[name]
        worker.free_capacity = free_capacity
        self._update_group(worker)
        return have_capacities_changed

    def _add(self, name: str, rack_name: str,
             capacity: model.Resources) -> bool:
        worker = Worker(name, rack_name, self._next_appearance_order, capacity)
        self._next_appearance_order += 1
        self.workers[name] = worker
        indexed_rack = self._racks_by_name.get(rack_name)
        if indexed_rack is None:
            indexed_rack = self._racks_by_name[rack_name] = Rack(
                len(self._rack_names))
            self._rack_names.append(rack_name)
            self._racks_by_watchers.add((0, indexed_rack.appearance_order))
        indexed_rack.workers[name] = worker
        worker_count = self._worker_counts_by_capacity.get(capacity, 0)
        self._worker_counts_by_capacity[capacity] = worker_count + 1
        return worker_count == 0

    def remove(self, name: str) -> bool:
        """Removes a worker.

        Returns:
            Whether the set of distinct capacities changed.
        """
        worker = self.workers.pop(name, None)
        if worker is None:
            return False
        self._remove_from_group(worker)
        rack = self._racks_by_name[worker.rack]
        del rack.workers[name]
        self._change_rack_watchers(rack, -worker.watcher_count)
        self._worker_counts_by_capacity[worker.capacity] -= 1
        if self._worker_counts_by_capacity[worker.capacity]:
            return False
        del self._worker_counts_by_capacity[worker.capacity]
        return True

    def set_free_capacity(self, name: str,
                          free_capacity: model.Resources) -> None:
        """Sets the free capacity of a worker and updates its group."""
        worker = self.workers[name]
        if worker.free_capacity != free_capacity:
            worker.free_capacity = free_capacity
            self._update_group(worker)

    def exclude(self, name: str) -> None:
        """Excludes a worker from searches.

        The worker need not be in the index. Each call must be reverted by one
        call of `include`, as several callers may exclude the same worker.
        """
        self._exclusion_counts[name] = self._exclusion_counts.get(name, 0) + 1
        worker = self.workers.get(name)
        if worker is not None:
            self._update_group(worker)

    def include(self, name: str) -> None:
        """Reverts one `exclude` call.

        The worker is excluded until each of these calls was reverted.
        """
        exclusion_count = self._exclusion_counts.get(name, 0) - 1
        if exclusion_count > 0:
            self._exclusion_counts[name] = exclusion_count
            return
        self._exclusion_counts.pop(name, None)
        worker = self.workers.get(name)
        if worker is not None:
            self._update_group(worker)

    def is_excluded(self, name: str) -> bool:
        """Returns whether a worker is excluded from searches."""
        return name in self._exclusion_counts

    def count_exclusions(self, name: str) -> int:
        """Returns how many calls of `exclude` a worker is excluded by."""
        return self._exclusion_counts.get(name, 0)

    def add_watchers(self, name: str, watcher_change: int) -> None:
        """Adds `watcher_change` to the number of watchers on a worker.

        A negative change does not lower the number below 0.
        """
        worker = self.workers[name]
        watcher_change = max(watcher_change, -worker.watcher_count)
        worker.watcher_count += watcher_change
        self._change_rack_watchers(self._racks_by_name[worker.rack],
                                   watcher_change)

    def _change_rack_watchers(self, rack: Rack, watcher_change: int) -> None:
        if watcher_change:
            self._racks_by_watchers.remove(
                (rack.watcher_count, rack.appearance_order))
            rack.watcher_count += watcher_change
            self._racks_by_watchers.add(
                (rack.watcher_count, rack.appearance_order))

    def iterate_tightest(
            self, required_resources: model.Resources) -> Iterator[Worker]:
        """Yields fitting workers, roughly by ascending free capacity.

        Workers with fewer free accelerators always come first. Among equals,
        the order by free processors and memory is approximate.
        """
        minimum_group_key = _compute_group_key(required_resources)
        for group_key in self._workers_by_group.irange(minimum_group_key):
            if _may_fit(group_key, minimum_group_key):
                for worker in self._workers_by_group[group_key].values():
                    if required_resources.fits_in(worker.free_capacity):
                        yield worker

    def iterate_emptiest(
            self, required_resources: model.Resources) -> Iterator[Worker]:
        """Yields fitting workers, roughly by descending free capacity.

        Workers with fewer free accelerators nevertheless come first. Among
        equals, the order by free processors and memory is approximate.
        """
        minimum_group_key = _compute_group_key(required_resources)
        max_accelerators = self._workers_by_group.peekitem(
        )[0][0] if self._workers_by_group else -1
        for accelerators in range(required_resources.accelerators,
                                  max_accelerators + 1):
            first_group_key = (accelerators,) + minimum_group_key[1:]
            last_group_key = (accelerators + 1, 0, 0, 0)
            for group_key in self._workers_by_group.irange(first_group_key,
                                                           last_group_key,
                                                           reverse=True):
                if group_key[0] == accelerators and _may_fit(
                        group_key, minimum_group_key):
                    for worker in self._workers_by_group[group_key].values():
                        if required_resources.fits_in(worker.free_capacity):
                            yield worker

    def iterate_racks(self) -> Iterator[Rack]:
        """Yields racks, those with the fewest watchers first.

        Among equals, the rack that was added first comes first.
        """
        for _, appearance_order in self._racks_by_watchers:
            yield self._racks_by_name[self._rack_names[appearance_order]]

    def iterate_included(self) -> Iterator[Worker]:
        """Yields the workers that are not excluded, first added first."""
        for worker in self.workers.values():
            if worker.name not in self._exclusion_counts:
                yield worker

    def _update_group(self, worker: Worker) -> None:
        group_key = None
        if worker.name not in self._exclusion_counts and min(
                worker.free_capacity) >= 0:
            group_key = _compute_group_key(worker.free_capacity)
            self._on_capacity_available(worker.free_capacity)
        if group_key == worker.group_key:
            return
        self._remove_from_group(worker)
        worker.group_key = group_key
        if group_key is not None:
            group_workers = self._workers_by_group.get(group_key)
            if group_workers is None:
                group_workers = self._workers_by_group[group_key] = {}
            group_workers[worker.name] = worker

    def _remove_from_group(self, worker: Worker) -> None:
        if worker.group_key is None:
            return
        group_workers = self._workers_by_group[worker.group_key]
        del group_workers[worker.name]
        if not group_workers:
            del self._workers_by_group[worker.group_key]
        worker.group_key = None


def _compute_capacity_level(amount: int) -> int:
    return int(math.log2(amount + 1) * LEVELS_PER_DOUBLING)


def _compute_group_key(free_capacity: model.Resources) -> _CapacityGroupKey:
    cpu_level = _compute_capacity_level(free_capacity.cpu_millis)
    memory_level = _compute_capacity_level(free_capacity.memory_mib)
    return (free_capacity.accelerators, cpu_level + memory_level, cpu_level,
            memory_level)


def _may_fit(group_key: _CapacityGroupKey,
             minimum_group_key: _CapacityGroupKey) -> bool:
    return group_key[2] >= minimum_group_key[2] and group_key[
        3] >= minimum_group_key[3]
