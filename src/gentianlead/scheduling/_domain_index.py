"""Indexes over a domain's fold, kept up to date change by change."""

from typing import Callable, Iterator

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _job_entry
from gentianlead.scheduling import _queue
from gentianlead.scheduling import _quotas
from gentianlead.scheduling import _worker_index

_NOTHING = model.Resources()


class DomainIndex(state.DomainObserver):
    """What decisions look up: workers, waiting jobs, quotas, own claims.

    Claims of this daemon count from the moment they are planned until their
    record is folded or rejected. A second plan over the same fold therefore
    neither takes the same task nor the same capacity.

    Attributes:
        workers: Workers by free capacity, own claims deducted.
        queue: Jobs with waiting tasks that may start.
        ledger: Use of each team.
        entries: Open jobs by id.
        planned: Own claims that are not folded yet.
        cancelled: Open jobs that were cancelled, in order.
        runs_by_worker: Live runs by worker, in order of their claims.
    """

    def __init__(self, fold: state.DomainFold, ledger: _quotas.QuotaLedger,
                 estimate: Callable[[model.JobSpec], model.Resources],
                 read_clock: Callable[[], float]):
        self._fold = fold
        self._estimate = estimate
        self._read_clock = read_clock
        self.ledger = ledger
        self.queue = _queue.JobQueue(self._is_borrowing)
        self.workers = _worker_index.WorkerIndex(self.queue.unpark_fitting)
        self.entries: dict[str, _job_entry.JobEntry] = {}
        self.planned: dict[_decisions.RunSlot, _decisions.PlannedStart] = {}
        self.cancelled: dict[str, None] = {}
        self.runs_by_worker: dict[str, dict[_decisions.RunSlot,
                                            state.LiveRun]] = {}
        self._batch_runs: dict[str, dict[_decisions.RunSlot, None]] = {}
        self._runs: dict[_decisions.RunSlot, state.LiveRun] = {}
        self._planned_on: dict[str, model.Resources] = {}
        self._excess: dict[str, model.Resources] = {}
        self.on_reset()
        fold.add_observer(self)

    def on_reset(self) -> None:
        self.ledger.clear()
        self.workers.clear()
        self.queue.clear()
        self.entries.clear()
        self.planned.clear()
        self.runs_by_worker.clear()
        self._runs.clear()
        self._batch_runs.clear()
        self._planned_on.clear()
        self._excess.clear()
        for name in self._fold.workers:
            self.on_worker_changed(name)
        for job_id in self._fold.jobs:
            self.on_job_changed(job_id)
        for slot in self._fold.runs:
            self.on_run_changed(slot)

    def get_run(self, slot: _decisions.RunSlot) -> state.LiveRun | None:
        """Returns the live run of a task, or None."""
        return self._runs.get(slot)

    def count_runs(self) -> int:
        """Returns the number of live runs."""
        return len(self._runs)

    def list_batch_runs_on(self, worker: str) -> list[state.LiveRun]:
        """Returns the runs of a worker that may be evicted, oldest first."""
        return [
            run for run in self.runs_by_worker.get(worker, {}).values()
            if self.is_batch(run.job_id)
        ]

    def is_batch(self, job_id: str) -> bool:
        """Returns whether the job is neither a watcher nor urgent."""
        spec = self.entries[job_id].job.spec
        return _queue.compute_class(spec) == _queue.BATCH

    def get_serial(self, worker: str) -> int:
        """Returns the order of appearance of a worker, -1 when unknown."""
        known = self.workers.workers.get(worker)
        return known.serial if known is not None else -1

    def on_worker_changed(self, worker: str) -> None:
        folded = self._fold.workers.get(worker)
        if folded is None:
            self.runs_by_worker.pop(worker, None)
            self._excess.pop(worker, None)
            has_changed = self.workers.remove(worker)
        else:
            free = folded.free.minus(self._planned_on.get(worker, _NOTHING))
            has_changed = self.workers.put(worker, folded.rack, folded.capacity,
                                           free)
        if has_changed:
            self.review_jobs()

    def on_run_changed(self, key: _decisions.RunSlot) -> None:
        old = self._runs.get(key)
        new = self._fold.runs.get(key)
        start = self.planned.get(key)
        if start is not None and new is not None and new.run >= start.run:
            self.forget(start)
        if old is not None and (new is None or new.run != old.run):
            self._drop_run(key, old)
        if new is None:
            return
        if old is None or new.run != old.run:
            self._add_run(key, new)
        self._runs[key] = new
        self.runs_by_worker[new.worker][key] = new

    def _add_run(self, key: _decisions.RunSlot, run: state.LiveRun) -> None:
        self.runs_by_worker.setdefault(run.worker, {})
        entry = self.entries[run.job_id]
        entry.waiting_since = self._read_clock()
        spec = entry.job.spec
        self._change_use(spec, run.resources, 1)
        if _queue.compute_class(spec) == _queue.BATCH:
            self._batch_runs.setdefault(spec.team, {})[key] = None
        self._count(run.worker, spec, 1)

    def _drop_run(self, key: _decisions.RunSlot, run: state.LiveRun) -> None:
        del self._runs[key]
        self.runs_by_worker[run.worker].pop(key, None)
        spec = self.entries[run.job_id].job.spec
        self._change_use(spec, run.resources, -1)
        self._batch_runs.get(spec.team, {}).pop(key, None)
        self._count(run.worker, spec, -1)

    def _count(self, worker: str, spec: model.JobSpec, change: int) -> None:
        if spec.is_watcher and worker in self.workers.workers:
            self.workers.count_watchers(worker, change)

    def on_job_changed(self, job_id: str) -> None:
        job = self._fold.jobs.get(job_id)
        entry = self.entries.get(job_id)
        if entry is not None and entry.job is not job:
            self._drop_job(job_id, entry)
            entry = None
        if job is None:
            return
        if entry is None:
            entry = _job_entry.JobEntry(job, self._build_key(job.spec))
            self.entries[job_id] = entry
            entry.is_cancelled = job_id in self.cancelled
            self._review(entry)
        self.requeue(entry)

    def cancel(self, job_id: str) -> None:
        """Takes the job out of the queue for good."""
        entry = self.entries.get(job_id)
        if entry is not None:
            entry.is_cancelled = True
            self.cancelled[job_id] = None
            self.requeue(entry)

    def _drop_job(self, job_id: str, entry: _job_entry.JobEntry) -> None:
        for task in sorted(entry.pending):
            self.forget(self.planned[(job_id, task)])
        self.queue.remove(job_id)
        del self.entries[job_id]

    def requeue(self, entry: _job_entry.JobEntry) -> None:
        """Puts the job in or out of the queue as its state demands."""
        job_id = entry.job.spec.job_id
        if not entry.may_queue:
            self.queue.remove(job_id)
            return
        if job_id not in self.queue:
            entry.waiting_since = self._read_clock()
        entry.key = self._build_key(entry.job.spec)
        self.queue.put(job_id, entry.key, entry.job.opened_at)

    def _build_key(self, spec: model.JobSpec) -> _queue.GroupKey:
        size = self._estimate(spec)
        if not self._fits_somewhere(size):
            size = spec.resources
        return _queue.GroupKey(_queue.compute_class(spec), spec.team, size)

    def _fits_somewhere(self, size: model.Resources) -> bool:
        return any(
            size.fits_in(capacity) for capacity in self.workers.capacities)

    def list_urgent(self,
                    waiting_before: float) -> list[tuple[_queue.GroupKey, str]]:
        """Returns urgent jobs that wait since a time or longer."""
        return [(key, job_id) for key in self.queue.iterate_groups()
                if key.job_class == _queue.URGENT
                for job_id in self.queue.iterate_jobs(key)
                if self.entries[job_id].waiting_since <= waiting_before]

    def _is_borrowing(self, key: _queue.GroupKey) -> bool:
        return self.ledger.would_borrow(key.team, key.resources)

    def _change_use(self, spec: model.JobSpec, resources: model.Resources,
                    sign: int) -> None:
        self.ledger.add(spec, resources.times(sign))
        self.queue.mark_changed(spec.team)

    def count_waiting(self, key: _queue.GroupKey, limit: int) -> int:
        """Returns how many tasks of a group wait, counted up to `limit`."""
        count = 0
        for job_id in self.queue.iterate_jobs(key):
            count += self.entries[job_id].count_waiting()
            if count >= limit:
                break
        return count

    def iterate_batch_runs(self, team: str) -> Iterator[state.LiveRun]:
        """Yields the team's runs that may be evicted, the newest first."""
        for slot in reversed(self._batch_runs.get(team, {})):
            yield self._runs[slot]

    def review_jobs(self) -> None:
        """Checks anew which open jobs can ever run."""
        for entry in self.entries.values():
            self._review(entry)
            self.requeue(entry)

    def _review(self, entry: _job_entry.JobEntry) -> None:
        spec = entry.job.spec
        entry.blocked = None
        if not self.ledger.is_known(spec.team):
            entry.blocked = _decisions.WaitReason(
                _decisions.WaitCode.UNKNOWN_TEAM,
                f"team {spec.team!r} is not configured; add it with put_team "
                "or cancel the job")
        elif not self._fits_somewhere(spec.resources):
            largest = max(self.workers.capacities, default=_NOTHING)
            entry.blocked = _decisions.WaitReason(
                _decisions.WaitCode.TOO_LARGE,
                f"no worker of the domain can hold a task of {spec.resources}; "
                f"the largest of {len(self.workers.workers)} workers has "
                f"{largest}")

    def plan(self, start: _decisions.PlannedStart) -> None:
        """Counts an own claim from now on."""
        entry = self.entries[start.job_id]
        self.planned[start.task_key] = start
        entry.pending.add(start.task)
        self._change_planned(start.worker, start.resources)
        self._count(start.worker, entry.job.spec, 1)
        self._change_use(entry.job.spec, start.resources, 1)
        self.requeue(entry)

    def forget(self, start: _decisions.PlannedStart) -> None:
        """Stops counting an own claim that was folded or rejected."""
        if self.planned.get(start.task_key) != start:
            return
        del self.planned[start.task_key]
        self._change_planned(start.worker, _NOTHING.minus(start.resources))
        entry = self.entries[start.job_id]
        entry.pending.discard(start.task)
        self._count(start.worker, entry.job.spec, -1)
        self._change_use(entry.job.spec, start.resources, -1)
        self.requeue(entry)

    def _change_planned(self, worker: str, change: model.Resources) -> None:
        total = self._planned_on.get(worker, _NOTHING).plus(change)
        if total.is_empty():
            self._planned_on.pop(worker, None)
        else:
            self._planned_on[worker] = total
        self._update_free(worker)

    def set_excess(self, worker: str, excess: model.Resources) -> None:
        """Deducts what the runs of a worker use beyond their claims."""
        if excess.is_empty():
            if self._excess.pop(worker, None) is None:
                return
        else:
            self._excess[worker] = excess
        self._update_free(worker)

    def _update_free(self, worker: str) -> None:
        folded = self._fold.workers.get(worker)
        if folded is not None and worker in self.workers.workers:
            self.workers.set_free(worker, self._compute_free(folded))

    def _compute_free(self, folded: state.WorkerState) -> model.Resources:
        free = folded.free.minus(self._planned_on.get(folded.name, _NOTHING))
        return free.minus(self._excess.get(folded.name, _NOTHING))
