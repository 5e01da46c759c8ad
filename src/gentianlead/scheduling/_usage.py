"""Reported resource usage of runs, and protection of worker memory."""

from typing import Callable, Iterator, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

MEMORY_PRESSURE_SHARE = 0.95
"""Runs are moved away from a worker when the predicted memory of its runs
exceeds this share of the worker's memory and at least one of them uses more
memory than it claimed."""

GROWTH_HORIZON = 5.0
"""Seconds into the future for which memory growth is extrapolated. A
checkpoint, which precedes a move, takes about this long."""

MAX_GROWTH_FACTOR = 1.5
"""Maximum ratio of predicted to reported memory, for runs that use more memory
than they claimed."""

_NO_RESOURCES = model.Resources()


class _RunUsage(NamedTuple):
    """The last usage report about a run, and its memory growth.

    Attributes:
        run: Run that the report is about.
        used_resources: Resources that the run uses.
        as_of: Time that the report describes, in monotonic seconds.
        memory_growth_mib_per_s: Growth of memory since the previous report
            about the run, in MiB per second; 0.0 for a decrease and for the
            first report.
    """

    run: state.LiveRun
    used_resources: model.Resources
    as_of: float
    memory_growth_mib_per_s: float

    def compute_excess_usage(self) -> model.Resources:
        """Returns the resources that the run uses beyond its claim.

        Each amount that is within the claim is returned as 0.
        """
        if self.used_resources.fits_in(self.run.resources):
            return _NO_RESOURCES
        return model.Resources(*(max(0, used_amount - claimed_amount)
                                 for used_amount, claimed_amount in zip(
                                     self.used_resources, self.run.resources)))

    @property
    def exceeds_claimed_memory(self) -> bool:
        """Whether the run uses more memory than it claimed."""
        return self.used_resources.memory_mib > self.run.resources.memory_mib

    def predict_memory_mib(self, now: float) -> float:
        """Returns the memory expected `GROWTH_HORIZON` after `now`, in MiB.

        A run within its claim is expected to stay within it, because tasks that
        are still loading their data grow fast for a while. For a run beyond its
        claim, the growth is limited by `MAX_GROWTH_FACTOR`.
        """
        extrapolated_seconds = now - self.as_of + GROWTH_HORIZON
        reported_memory_mib = self.used_resources.memory_mib
        upper_limit_mib = (reported_memory_mib *
                           MAX_GROWTH_FACTOR if self.exceeds_claimed_memory else
                           self.run.resources.memory_mib)
        return min(
            upper_limit_mib, reported_memory_mib +
            self.memory_growth_mib_per_s * extrapolated_seconds)


class UsageTracker(state.DomainObserver):
    """Keeps the reported usage of each run and detects memory pressure.

    Usage beyond the claim of a run is deducted from the free capacity of its
    worker.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 has_open_order: Callable[[_decisions.TaskKey], bool]):
        self._domain_index = domain_index
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
        if worker not in self._domain_index.worker_index.workers:
            self._usage_by_worker.pop(worker, None)
            self._excess_usage_by_worker.pop(worker, None)

    def on_reset(self) -> None:
        self._usage_by_worker.clear()
        self._excess_usage_by_worker.clear()
        self._workers_to_check.clear()

    def record_usage(self, run: state.LiveRun, used_resources: model.Resources,
                     as_of: float) -> bool:
        """Records a usage report about a run.

        Returns:
            Whether the report was recorded. False if it is not newer than the
            previous one of the same run.
        """
        task_key = (run.job_id, run.task)
        usage_by_task = self._usage_by_worker.setdefault(run.worker, {})
        previous_usage = usage_by_task.get(task_key)
        memory_growth_mib_per_s = 0.0
        if previous_usage is not None and previous_usage.run.run == run.run:
            if as_of <= previous_usage.as_of:
                return False
            memory_growth_mib_per_s = (
                (used_resources.memory_mib -
                 previous_usage.used_resources.memory_mib) /
                (as_of - previous_usage.as_of))
        usage_by_task[task_key] = _RunUsage(run, used_resources, as_of,
                                            max(0.0, memory_growth_mib_per_s))
        self._workers_to_check[run.worker] = None
        if previous_usage is not None:
            self._change_excess_usage(run.worker,
                                      previous_usage.compute_excess_usage(), -1)
        self._change_excess_usage(
            run.worker, usage_by_task[task_key].compute_excess_usage(), 1)
        return True

    def _change_excess_usage(self, worker: str, excess_usage: model.Resources,
                             sign: int) -> None:
        if excess_usage.is_empty():
            return
        total_excess_usage = self._excess_usage_by_worker.get(
            worker, _NO_RESOURCES).plus(excess_usage.times(sign))
        self._excess_usage_by_worker[worker] = total_excess_usage
        self._domain_index.set_excess_usage(worker, total_excess_usage)

    def plan_memory_pressure_moves(self,
                                   now: float) -> Iterator[_decisions.Eviction]:
        """Yields moves from workers whose memory is about to run out.

        A worker is checked after a usage report about one of its runs, and in
        each later call until its memory suffices. The memory of runs with an
        open move or stop order is not counted, so that the same report does not
        cause a second move.
        """
        for worker_name in list(self._workers_to_check):
            worker = self._domain_index.worker_index.workers.get(worker_name)
            if worker is None:
                del self._workers_to_check[worker_name]
                continue
            max_memory_mib = MEMORY_PRESSURE_SHARE * worker.capacity.memory_mib
            remaining_usages = [
                usage for task_key, usage in self._usage_by_worker.get(
                    worker_name, {}).items()
                if not self._has_open_order(task_key)
            ]
            expected_memory_mib = sum(
                usage.predict_memory_mib(now) for usage in remaining_usages)
            if expected_memory_mib <= max_memory_mib or not any(
                    usage.exceeds_claimed_memory for usage in remaining_usages):
                del self._workers_to_check[worker_name]
                continue
            for usage in self._sort_by_eviction_order(remaining_usages, now):
                if expected_memory_mib <= max_memory_mib:
                    break
                expected_memory_mib -= usage.predict_memory_mib(now)
                yield _decisions.Eviction(
                    usage.run.job_id, usage.run.task, usage.run.run,
                    worker_name, _decisions.EvictionAction.MOVE,
                    _decisions.EvictionReason.MEMORY_PRESSURE)

    def _sort_by_eviction_order(self, run_usages: list[_RunUsage],
                                now: float) -> list[_RunUsage]:
        """Sorts runs in the order in which to evict them.

        Batch runs come before urgent and watcher runs. Within each of these two
        kinds, the runs are sorted by predicted memory minus claimed memory, the
        largest first. Among equals, the run that was claimed last comes first.
        """
        return sorted(run_usages,
                      key=lambda usage:
                      (not self._domain_index.is_batch_job(usage.run.job_id),
                       -(usage.predict_memory_mib(now) - usage.run.resources.
                         memory_mib), -usage.run.claim_offset))
