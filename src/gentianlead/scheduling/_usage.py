"""Reported resource usage of runs, and protection of worker memory."""

from typing import Callable, Iterator, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

MEMORY_PRESSURE_SHARE = 0.95
"""Share of a worker's memory. Runs are moved away when the predicted usage
exceeds it and at least one run uses more memory than it claimed."""

GROWTH_HORIZON = 5.0
"""Seconds beyond the present for which memory growth is extrapolated. A
checkpoint takes about this long."""

MAX_GROWTH_FACTOR = 1.5
"""Maximum ratio of extrapolated to reported memory."""

_NO_RESOURCES = model.Resources()


class _RunUsage(NamedTuple):
    """The most recent usage report of a run.

    Attributes:
        run: Run that was reported.
        used: Resources in use.
        as_of: Time that the report describes, in monotonic seconds.
        memory_growth: Growth of memory since the previous report, in MiB per
            second; never negative.
    """

    run: state.LiveRun
    used: model.Resources
    as_of: float
    memory_growth: float

    def compute_excess_usage(self) -> model.Resources:
        """Returns the resources that the run uses beyond its claim."""
        if self.used.fits_in(self.run.resources):
            return _NO_RESOURCES
        return model.Resources(
            *(max(0, used - claimed)
              for used, claimed in zip(self.used, self.run.resources)))

    @property
    def exceeds_claimed_memory(self) -> bool:
        """Whether the run uses more memory than it claimed."""
        return self.used.memory_mib > self.run.resources.memory_mib

    def predict_memory(self, now: float) -> float:
        """Returns the memory expected `GROWTH_HORIZON` after `now`, in MiB.

        A run within its claim is expected to stay within it, because tasks
        that are still loading their data grow fast for a while.
        """
        extrapolated_seconds = now - self.as_of + GROWTH_HORIZON
        memory = self.used.memory_mib
        upper_limit = (memory * MAX_GROWTH_FACTOR if self.exceeds_claimed_memory
                       else self.run.resources.memory_mib)
        return min(upper_limit,
                   memory + self.memory_growth * extrapolated_seconds)


class UsageTracker(state.DomainObserver):
    """Keeps the reported usage of each run and detects memory pressure.

    Usage beyond the claim of a run is deducted from the free capacity of its
    worker.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 index: _domain_index.DomainIndex,
                 has_open_order: Callable[[_decisions.TaskKey], bool]):
        self._index = index
        self._has_open_order = has_open_order
        self._usage_by_worker: dict[str, dict[_decisions.TaskKey,
                                              _RunUsage]] = {}
        self._excess_usage_by_worker: dict[str, model.Resources] = {}
        self._workers_to_check: dict[str, None] = {}
        state_machine.add_observer(self)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        del reason
        usage = self._usage_by_worker.get(run.worker, {}).pop(
            (run.job_id, run.task), None)
        if usage is not None:
            self._change_excess_usage(run.worker, usage.compute_excess_usage(),
                                      -1)

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._index.workers.workers:
            self._usage_by_worker.pop(worker, None)
            self._excess_usage_by_worker.pop(worker, None)

    def on_reset(self) -> None:
        self._usage_by_worker.clear()
        self._excess_usage_by_worker.clear()
        self._workers_to_check.clear()

    def observe(self, run: state.LiveRun, used: model.Resources,
                as_of: float) -> bool:
        """Records the reported usage of a run.

        Returns:
            Whether the report is newer than the previous one of the run.
        """
        task_key = (run.job_id, run.task)
        worker_usages = self._usage_by_worker.setdefault(run.worker, {})
        previous = worker_usages.get(task_key)
        memory_growth = 0.0
        if previous is not None and previous.run.run == run.run:
            if as_of <= previous.as_of:
                return False
            memory_growth = ((used.memory_mib - previous.used.memory_mib) /
                             (as_of - previous.as_of))
        worker_usages[task_key] = _RunUsage(run, used, as_of,
                                            max(0.0, memory_growth))
        self._workers_to_check[run.worker] = None
        if previous is not None:
            self._change_excess_usage(run.worker,
                                      previous.compute_excess_usage(), -1)
        self._change_excess_usage(
            run.worker, worker_usages[task_key].compute_excess_usage(), 1)
        return True

    def _change_excess_usage(self, worker: str, excess_usage: model.Resources,
                             sign: int) -> None:
        if excess_usage.is_empty():
            return
        total = self._excess_usage_by_worker.get(worker, _NO_RESOURCES).plus(
            excess_usage.times(sign))
        self._excess_usage_by_worker[worker] = total
        self._index.set_excess_usage(worker, total)

    def plan_memory_pressure_moves(self,
                                   now: float) -> Iterator[_decisions.Eviction]:
        """Yields moves from workers whose memory is about to run out.

        A run with an open move or stop order is not counted, so that the same
        report does not cause a second move.
        """
        for worker_name in list(self._workers_to_check):
            worker = self._index.workers.workers.get(worker_name)
            if worker is None:
                del self._workers_to_check[worker_name]
                continue
            limit = MEMORY_PRESSURE_SHARE * worker.capacity.memory_mib
            remaining_runs = [
                usage for task_key, usage in self._usage_by_worker.get(
                    worker_name, {}).items()
                if not self._has_open_order(task_key)
            ]
            expected_memory = sum(
                usage.predict_memory(now) for usage in remaining_runs)
            if expected_memory <= limit or not any(usage.exceeds_claimed_memory
                                                   for usage in remaining_runs):
                del self._workers_to_check[worker_name]
                continue
            for usage in self._sort_by_eviction_order(remaining_runs, now):
                if expected_memory <= limit:
                    break
                expected_memory -= usage.predict_memory(now)
                yield _decisions.Eviction(
                    usage.run.job_id, usage.run.task, usage.run.run,
                    worker_name, _decisions.EvictionAction.MOVE,
                    _decisions.EvictionReason.MEMORY_PRESSURE)

    def _sort_by_eviction_order(self, worker_usages: list[_RunUsage],
                                now: float) -> list[_RunUsage]:
        """Sorts runs in the order in which to evict them.

        Batch runs come first, then runs with the most memory beyond the claim.
        """
        return sorted(worker_usages,
                      key=lambda usage:
                      (not self._index.is_batch_job(usage.run.job_id),
                       -(usage.predict_memory(now) - usage.run.resources.
                         memory_mib), -usage.run.claim_offset))
