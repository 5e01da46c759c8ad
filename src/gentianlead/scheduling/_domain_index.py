"""Indexes of the domain state that planning uses."""

from typing import Callable, Iterator

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _job_state
from gentianlead.scheduling import _queue
from gentianlead.scheduling import _quotas
from gentianlead.scheduling import _worker_index

_NO_RESOURCES = model.Resources()


class DomainIndex(state.DomainObserver):
    """Maintains indexes of workers, waiting jobs, quotas and planned starts.

    The indexes are updated with each change of the domain state. A start that
    this daemon planned counts as a claim until its record is applied or
    rejected, so that planning twice on the same state uses neither a task nor
    capacity twice.

    Attributes:
        workers: Workers by free capacity, planned starts deducted.
        queue: Jobs with waiting tasks that may start.
        quota_ledger: Quota shares and claims of the teams.
        job_states: Scheduling state of the open jobs by job id.
        planned_starts: Starts of this daemon whose claim has not been applied
            to the domain state yet.
        cancelled_jobs: Cancelled jobs in the order of cancellation. The values
            are unused.
        runs_by_worker: Live runs by worker, in order of their claims.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 quota_ledger: _quotas.QuotaLedger,
                 estimate_resources: Callable[[model.JobSpec], model.Resources],
                 read_clock: Callable[[], float]):
        self._state_machine = state_machine
        self._estimate_resources = estimate_resources
        self._read_clock = read_clock
        self.quota_ledger = quota_ledger
        self.queue = _queue.JobQueue(self._is_borrowing)
        self.workers = _worker_index.WorkerIndex(self.queue.mark_schedulable)
        self.job_states: dict[str, _job_state.JobSchedulingState] = {}
        self.planned_starts: dict[_decisions.TaskKey,
                                  _decisions.PlannedStart] = {}
        self.cancelled_jobs: dict[str, None] = {}
        self.runs_by_worker: dict[str, dict[_decisions.TaskKey,
                                            state.LiveRun]] = {}
        self._batch_runs_by_team: dict[str, dict[_decisions.TaskKey, None]] = {}
        self._live_runs: dict[_decisions.TaskKey, state.LiveRun] = {}
        self._planned_by_worker: dict[str, model.Resources] = {}
        self._excess_usage_by_worker: dict[str, model.Resources] = {}
        self.on_reset()
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self.quota_ledger.clear()
        self.workers.clear()
        self.queue.clear()
        self.job_states.clear()
        self.planned_starts.clear()
        self.runs_by_worker.clear()
        self._live_runs.clear()
        self._batch_runs_by_team.clear()
        self._planned_by_worker.clear()
        self._excess_usage_by_worker.clear()
        for name in self._state_machine.workers:
            self.on_worker_changed(name)
        for job_id in self._state_machine.jobs:
            self.on_job_changed(job_id)
        for task_key in self._state_machine.runs:
            self.on_run_changed(task_key)

    def get_run(self, task_key: _decisions.TaskKey) -> state.LiveRun | None:
        """Returns the live run of a task, or None."""
        return self._live_runs.get(task_key)

    def count_runs(self) -> int:
        """Returns the number of live runs."""
        return len(self._live_runs)

    def list_batch_runs_on(self, worker: str) -> list[state.LiveRun]:
        """Returns the batch runs of a worker, oldest first."""
        return [
            run for run in self.runs_by_worker.get(worker, {}).values()
            if self.is_batch_job(run.job_id)
        ]

    def is_batch_job(self, job_id: str) -> bool:
        """Returns whether the job is of the batch class."""
        spec = self.job_states[job_id].job.spec
        return _queue.compute_job_class(spec) == _queue.BATCH_CLASS

    def get_worker_order(self, worker: str) -> int:
        """Returns the order of appearance of a worker, or -1 if unknown."""
        indexed_worker = self.workers.workers.get(worker)
        return (indexed_worker.appearance_order
                if indexed_worker is not None else -1)

    def on_worker_changed(self, worker: str) -> None:
        worker_state = self._state_machine.workers.get(worker)
        if worker_state is None:
            self.runs_by_worker.pop(worker, None)
            self._excess_usage_by_worker.pop(worker, None)
            have_capacities_changed = self.workers.remove(worker)
        else:
            free_capacity = worker_state.free.minus(
                self._planned_by_worker.get(worker, _NO_RESOURCES))
            have_capacities_changed = self.workers.put(worker,
                                                       worker_state.rack,
                                                       worker_state.capacity,
                                                       free_capacity)
        if have_capacities_changed:
            self.update_blocked_jobs()

    def on_run_changed(self, key: _decisions.TaskKey) -> None:
        old_run = self._live_runs.get(key)
        new_run = self._state_machine.runs.get(key)
        start = self.planned_starts.get(key)
        if (start is not None and new_run is not None and
                new_run.run >= start.run):
            self.remove_planned_start(start)
        if old_run is not None and (new_run is None or
                                    new_run.run != old_run.run):
            self._remove_run(key, old_run)
        if new_run is None:
            return
        if old_run is None or new_run.run != old_run.run:
            self._add_run(key, new_run)
        self._live_runs[key] = new_run
        self.runs_by_worker[new_run.worker][key] = new_run

    def _add_run(self, key: _decisions.TaskKey, run: state.LiveRun) -> None:
        self.runs_by_worker.setdefault(run.worker, {})
        job_state = self.job_states[run.job_id]
        job_state.waiting_since = self._read_clock()
        spec = job_state.job.spec
        self._change_team_claims(spec, run.resources, 1)
        if _queue.compute_job_class(spec) == _queue.BATCH_CLASS:
            self._batch_runs_by_team.setdefault(spec.team, {})[key] = None
        self._change_watcher_count(run.worker, spec, 1)

    def _remove_run(self, key: _decisions.TaskKey, run: state.LiveRun) -> None:
        del self._live_runs[key]
        self.runs_by_worker[run.worker].pop(key, None)
        spec = self.job_states[run.job_id].job.spec
        self._change_team_claims(spec, run.resources, -1)
        self._batch_runs_by_team.get(spec.team, {}).pop(key, None)
        self._change_watcher_count(run.worker, spec, -1)

    def _change_watcher_count(self, worker: str, spec: model.JobSpec,
                              change: int) -> None:
        if spec.is_watcher and worker in self.workers.workers:
            self.workers.add_watchers(worker, change)

    def on_job_changed(self, job_id: str) -> None:
        job = self._state_machine.jobs.get(job_id)
        job_state = self.job_states.get(job_id)
        if job_state is not None and job_state.job is not job:
            self._remove_job(job_id, job_state)
            job_state = None
        if job is None:
            return
        if job_state is None:
            job_state = _job_state.JobSchedulingState(
                job, self._build_group_key(job.spec))
            self.job_states[job_id] = job_state
            job_state.is_cancelled = job_id in self.cancelled_jobs
            self._update_blocked_reason(job_state)
        self.update_queue_membership(job_state)

    def cancel(self, job_id: str) -> None:
        """Marks the job as cancelled and removes it from the queue for good."""
        job_state = self.job_states.get(job_id)
        if job_state is not None:
            job_state.is_cancelled = True
            self.cancelled_jobs[job_id] = None
            self.update_queue_membership(job_state)

    def _remove_job(self, job_id: str,
                    job_state: _job_state.JobSchedulingState) -> None:
        for task in sorted(job_state.planned_tasks):
            self.remove_planned_start(self.planned_starts[(job_id, task)])
        self.queue.remove(job_id)
        del self.job_states[job_id]

    def update_queue_membership(
            self, job_state: _job_state.JobSchedulingState) -> None:
        """Adds the job to the queue or removes it, according to its state."""
        job_id = job_state.job.spec.job_id
        if not job_state.may_be_queued:
            self.queue.remove(job_id)
            return
        if job_id not in self.queue:
            job_state.waiting_since = self._read_clock()
        job_state.group_key = self._build_group_key(job_state.job.spec)
        self.queue.put(job_id, job_state.group_key, job_state.job.open_offset)

    def _build_group_key(self, spec: model.JobSpec) -> _queue.JobGroupKey:
        task_resources = self._estimate_resources(spec)
        if not self._fits_any_worker(task_resources):
            task_resources = spec.resources
        return _queue.JobGroupKey(_queue.compute_job_class(spec), spec.team,
                                  task_resources)

    def _fits_any_worker(self, task_resources: model.Resources) -> bool:
        return any(
            task_resources.fits_in(capacity)
            for capacity in self.workers.capacities)

    def list_waiting_urgent_jobs(
            self,
            waiting_before: float) -> list[tuple[_queue.JobGroupKey, str]]:
        """Returns the urgent jobs that have waited since `waiting_before`.

        Args:
            waiting_before: Latest start of the wait, in monotonic seconds.
        """
        return [(group_key, job_id)
                for group_key in self.queue.iterate_groups()
                if group_key.job_class == _queue.URGENT_CLASS
                for job_id in self.queue.iterate_jobs(group_key)
                if self.job_states[job_id].waiting_since <= waiting_before]

    def _is_borrowing(self, group_key: _queue.JobGroupKey) -> bool:
        return self.quota_ledger.would_borrow(group_key.team,
                                              group_key.resources)

    def _change_team_claims(self, spec: model.JobSpec,
                            resources: model.Resources, sign: int) -> None:
        self.quota_ledger.add_claim(spec, resources.times(sign))
        self.queue.mark_team_changed(spec.team)

    def count_waiting_tasks(self, group_key: _queue.JobGroupKey,
                            limit: int) -> int:
        """Returns the number of waiting tasks in a group.

        Counting stops once `limit` is reached.
        """
        count = 0
        for job_id in self.queue.iterate_jobs(group_key):
            count += self.job_states[job_id].count_waiting_tasks()
            if count >= limit:
                break
        return count

    def iterate_batch_runs(self, team: str) -> Iterator[state.LiveRun]:
        """Yields the batch runs of a team, newest first."""
        for task_key in reversed(self._batch_runs_by_team.get(team, {})):
            yield self._live_runs[task_key]

    def update_blocked_jobs(self) -> None:
        """Recomputes for each open job why it cannot run, if it cannot."""
        for job_state in self.job_states.values():
            self._update_blocked_reason(job_state)
            self.update_queue_membership(job_state)

    def _update_blocked_reason(
            self, job_state: _job_state.JobSchedulingState) -> None:
        spec = job_state.job.spec
        job_state.blocked_reason = None
        if not self.quota_ledger.is_known_team(spec.team):
            job_state.blocked_reason = _decisions.WaitReason(
                _decisions.WaitCode.UNKNOWN_TEAM,
                f"team {spec.team!r} is not configured; add it with put_team "
                "or cancel the job")
        elif not self._fits_any_worker(spec.resources):
            largest = max(self.workers.capacities, default=_NO_RESOURCES)
            job_state.blocked_reason = _decisions.WaitReason(
                _decisions.WaitCode.TOO_LARGE,
                f"no worker of the domain can hold a task of {spec.resources}; "
                f"the largest of {len(self.workers.workers)} workers has "
                f"{largest}")

    def add_planned_start(self, start: _decisions.PlannedStart) -> None:
        """Counts a planned start as a claim."""
        job_state = self.job_states[start.job_id]
        self.planned_starts[start.task_key] = start
        job_state.planned_tasks.add(start.task)
        self._change_planned_resources(start.worker, start.resources)
        self._change_watcher_count(start.worker, job_state.job.spec, 1)
        self._change_team_claims(job_state.job.spec, start.resources, 1)
        self.update_queue_membership(job_state)

    def remove_planned_start(self, start: _decisions.PlannedStart) -> None:
        """Stops counting a start whose claim was applied or rejected."""
        if self.planned_starts.get(start.task_key) != start:
            return
        del self.planned_starts[start.task_key]
        self._change_planned_resources(start.worker,
                                       _NO_RESOURCES.minus(start.resources))
        job_state = self.job_states[start.job_id]
        job_state.planned_tasks.discard(start.task)
        self._change_watcher_count(start.worker, job_state.job.spec, -1)
        self._change_team_claims(job_state.job.spec, start.resources, -1)
        self.update_queue_membership(job_state)

    def _change_planned_resources(self, worker: str,
                                  change: model.Resources) -> None:
        total = self._planned_by_worker.get(worker, _NO_RESOURCES).plus(change)
        if total.is_empty():
            self._planned_by_worker.pop(worker, None)
        else:
            self._planned_by_worker[worker] = total
        self._update_free_capacity(worker)

    def set_excess_usage(self, worker: str,
                         excess_usage: model.Resources) -> None:
        """Sets the usage beyond claims, which reduces the free capacity."""
        if excess_usage.is_empty():
            if self._excess_usage_by_worker.pop(worker, None) is None:
                return
        else:
            self._excess_usage_by_worker[worker] = excess_usage
        self._update_free_capacity(worker)

    def _update_free_capacity(self, worker: str) -> None:
        worker_state = self._state_machine.workers.get(worker)
        if worker_state is not None and worker in self.workers.workers:
            self.workers.set_free_capacity(
                worker, self._compute_free_capacity(worker_state))

    def _compute_free_capacity(
            self, worker_state: state.WorkerState) -> model.Resources:
        free_capacity = worker_state.free.minus(
            self._planned_by_worker.get(worker_state.name, _NO_RESOURCES))
        return free_capacity.minus(
            self._excess_usage_by_worker.get(worker_state.name, _NO_RESOURCES))
