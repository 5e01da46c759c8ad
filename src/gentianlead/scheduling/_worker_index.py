"""Index of workers by free capacity, which avoids scans of all workers."""

import math
from typing import Callable, Iterator

import sortedcontainers

from gentianlead import model

LEVELS_PER_DOUBLING = 2
"""Capacity levels per doubling of a free amount. Two levels keep the number of
groups in the low hundreds for 1,400 workers, while the workers of a group have
nearly equal free capacity."""

_CapacityGroupKey = tuple[int, int, int, int]


class Worker:
    """Placement data of a worker.

    Attributes:
        name: Opaque identity.
        rack: Name of its rack.
        appearance_order: Position in the order in which workers were added. It
            decides ties, because decisions must not depend on names.
        capacity: Resources that tasks may use.
        free_capacity: Capacity minus applied claims, planned claims and usage
            beyond claims.
        watchers: Number of watchers on the worker.
        group_key: Group of the worker in the index; None if it may get no work.
    """

    __slots__ = ("name", "rack", "appearance_order", "capacity",
                 "free_capacity", "watchers", "group_key")

    def __init__(self, name: str, rack: str, appearance_order: int,
                 capacity: model.Resources):
        self.name = name
        self.rack = rack
        self.appearance_order = appearance_order
        self.capacity = capacity
        self.free_capacity = capacity
        self.watchers = 0
        self.group_key: _CapacityGroupKey | None = None


class Rack:
    """Placement data of a rack: its workers and its number of watchers.

    Attributes:
        appearance_order: Position in the order in which racks were added.
        workers: Workers by name, in order of appearance.
        watchers: Number of watchers in the rack.
    """

    __slots__ = ("appearance_order", "workers", "watchers")

    def __init__(self, appearance_order: int) -> None:
        self.appearance_order = appearance_order
        self.workers: dict[str, Worker] = {}
        self.watchers = 0


class WorkerIndex:
    """Finds workers with enough free capacity.

    Workers are grouped by free accelerators and by levels of free processors
    and memory. Excluded workers, such as leaving or quarantined ones, stay in
    the index but in no group, so that no search returns them.

    Attributes:
        workers: All workers by name, in order of appearance.
    """

    def __init__(self, on_capacity_available: Callable[[model.Resources],
                                                       None]):
        """Creates an empty index.

        Args:
            on_capacity_available: Called with the free capacity of a worker
                when the worker is added or included, or its capacity changes,
                unless the worker is excluded.
        """
        self._on_capacity_available = on_capacity_available
        self.workers: dict[str, Worker] = {}
        self._racks_by_name: dict[str, Rack] = {}
        self._racks_by_watchers = sortedcontainers.SortedList()
        self._rack_names: list[str] = []
        self._groups: sortedcontainers.SortedDict = sortedcontainers.SortedDict(
        )
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
        self._groups.clear()
        self._worker_counts_by_capacity.clear()
        self._next_appearance_order = 0

    def put(self, name: str, rack: str, capacity: model.Resources,
            free_capacity: model.Resources) -> bool:
        """Adds or updates a worker.

        Returns:
            Whether the set of distinct capacities changed.
        """
        worker = self.workers.get(name)
        if worker is not None and (worker.capacity != capacity or
                                   worker.rack != rack):
            watchers = worker.watchers
            self.remove(name)
            have_capacities_changed = self._add(name, rack, capacity)
            worker = self.workers[name]
            self.add_watchers(name, watchers)
        else:
            have_capacities_changed = worker is None and self._add(
                name, rack, capacity)
        worker = self.workers[name]
        worker.free_capacity = free_capacity
        self._update_group(worker)
        return have_capacities_changed

    def _add(self, name: str, rack: str, capacity: model.Resources) -> bool:
        worker = Worker(name, rack, self._next_appearance_order, capacity)
        self._next_appearance_order += 1
        self.workers[name] = worker
        rack_entry = self._racks_by_name.get(rack)
        if rack_entry is None:
            rack_entry = self._racks_by_name[rack] = Rack(len(self._rack_names))
            self._rack_names.append(rack)
            self._racks_by_watchers.add((0, rack_entry.appearance_order))
        rack_entry.workers[name] = worker
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
        self._change_rack_watchers(rack, -worker.watchers)
        self._worker_counts_by_capacity[worker.capacity] -= 1
        if self._worker_counts_by_capacity[worker.capacity]:
            return False
        del self._worker_counts_by_capacity[worker.capacity]
        return True

    def set_free_capacity(self, name: str,
                          free_capacity: model.Resources) -> None:
        """Changes the free capacity of a worker."""
        worker = self.workers[name]
        if worker.free_capacity != free_capacity:
            worker.free_capacity = free_capacity
            self._update_group(worker)

    def exclude(self, name: str) -> None:
        """Excludes a worker from searches.

        Each call must be reverted by one call of `include`.
        """
        self._exclusion_counts[name] = self._exclusion_counts.get(name, 0) + 1
        worker = self.workers.get(name)
        if worker is not None:
            self._update_group(worker)

    def include(self, name: str) -> None:
        """Reverts one `exclude` call for a worker."""
        count = self._exclusion_counts.get(name, 0) - 1
        if count > 0:
            self._exclusion_counts[name] = count
            return
        self._exclusion_counts.pop(name, None)
        worker = self.workers.get(name)
        if worker is not None:
            self._update_group(worker)

    def is_excluded(self, name: str) -> bool:
        """Returns whether the worker is excluded from searches."""
        return name in self._exclusion_counts

    def add_watchers(self, name: str, change: int) -> None:
        """Changes the number of watchers on a worker by `change`."""
        worker = self.workers[name]
        change = max(change, -worker.watchers)
        worker.watchers += change
        self._change_rack_watchers(self._racks_by_name[worker.rack], change)

    def _change_rack_watchers(self, rack: Rack, change: int) -> None:
        if change:
            self._racks_by_watchers.remove(
                (rack.watchers, rack.appearance_order))
            rack.watchers += change
            self._racks_by_watchers.add((rack.watchers, rack.appearance_order))

    def iterate_tightest(
            self, required_resources: model.Resources) -> Iterator[Worker]:
        """Yields fitting workers, roughly by ascending free capacity."""
        minimum_key = _compute_group_key(required_resources)
        for key in self._groups.irange(minimum_key):
            if _may_fit(key, minimum_key):
                for worker in self._groups[key].values():
                    if required_resources.fits_in(worker.free_capacity):
                        yield worker

    def iterate_emptiest(
            self, required_resources: model.Resources) -> Iterator[Worker]:
        """Yields fitting workers, roughly by descending free capacity.

        Workers without accelerators come before those with accelerators.
        """
        minimum_key = _compute_group_key(required_resources)
        max_accelerators = self._groups.peekitem()[0][0] if self._groups else -1
        for accelerators in range(required_resources.accelerators,
                                  max_accelerators + 1):
            first_key = (accelerators,) + minimum_key[1:]
            last_key = (accelerators + 1, 0, 0, 0)
            for key in self._groups.irange(first_key, last_key, reverse=True):
                if key[0] == accelerators and _may_fit(key, minimum_key):
                    for worker in self._groups[key].values():
                        if required_resources.fits_in(worker.free_capacity):
                            yield worker

    def iterate_racks(self) -> Iterator[Rack]:
        """Yields racks, those with the fewest watchers first."""
        for _, appearance_order in self._racks_by_watchers:
            yield self._racks_by_name[self._rack_names[appearance_order]]

    def iterate_usable(self) -> Iterator[Worker]:
        """Yields the workers that are not excluded, in order of appearance."""
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
            group_workers = self._groups.get(group_key)
            if group_workers is None:
                group_workers = self._groups[group_key] = {}
            group_workers[worker.name] = worker

    def _remove_from_group(self, worker: Worker) -> None:
        if worker.group_key is None:
            return
        group_workers = self._groups[worker.group_key]
        del group_workers[worker.name]
        if not group_workers:
            del self._groups[worker.group_key]
        worker.group_key = None


def _compute_capacity_level(amount: int) -> int:
    return int(math.log2(amount + 1) * LEVELS_PER_DOUBLING)


def _compute_group_key(free_capacity: model.Resources) -> _CapacityGroupKey:
    cpu_level = _compute_capacity_level(free_capacity.cpu_millis)
    memory_level = _compute_capacity_level(free_capacity.memory_mib)
    return (free_capacity.accelerators, cpu_level + memory_level, cpu_level,
            memory_level)


def _may_fit(group_key: _CapacityGroupKey,
             minimum_key: _CapacityGroupKey) -> bool:
    return group_key[2] >= minimum_key[2] and group_key[3] >= minimum_key[3]
