"""Indexes of the domain state that the scheduler uses for planning."""

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
    this daemon planned counts as a claim until its claim record is applied or
    rejected, so that planning twice on the same state uses neither a task nor
    capacity twice.

    Attributes:
        worker_index: Index of the workers by their free capacity.
        queue: Jobs that have waiting tasks and are neither blocked, paused nor
            cancelled.
        quota_ledger: Quota shares of the teams, and the resources that they
            claim.
        job_states: Scheduling state of the open jobs by job id.
        planned_starts: Starts that this daemon planned and whose claim was
            neither applied to the domain state nor rejected yet, by task key.
        cancelled_jobs: Ids of the cancelled jobs as keys, in the order of
            cancellation. The values are unused.
        runs_by_worker: Live runs by worker and task key, in order of their
            claims.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 quota_ledger: _quotas.QuotaLedger,
                 estimate_resources: Callable[[model.JobSpec], model.Resources],
                 read_clock: Callable[[], float]):
        self._state_machine = state_machine
        self._estimate_resources = estimate_resources
        self._read_clock = read_clock
        self.quota_ledger = quota_ledger
        self.queue = _queue.JobQueue(self._would_borrow)
        self.worker_index = _worker_index.WorkerIndex(
            self.queue.mark_schedulable)
        self.job_states: dict[str, _job_state.JobSchedulingState] = {}
        self.planned_starts: dict[_decisions.TaskKey,
                                  _decisions.PlannedStart] = {}
        self.cancelled_jobs: dict[str, None] = {}
        self.runs_by_worker: dict[str, dict[_decisions.TaskKey,
                                            state.LiveRun]] = {}
        self._batch_runs_by_team: dict[str, dict[_decisions.TaskKey, None]] = {}
        self._live_runs: dict[_decisions.TaskKey, state.LiveRun] = {}
        self._planned_resources_by_worker: dict[str, model.Resources] = {}
        self._excess_usage_by_worker: dict[str, model.Resources] = {}
        self.on_reset()
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self.quota_ledger.clear()
        self.worker_index.clear()
        self.queue.clear()
        self.job_states.clear()
        self.planned_starts.clear()
        self.runs_by_worker.clear()
        self._live_runs.clear()
        self._batch_runs_by_team.clear()
        self._planned_resources_by_worker.clear()
        self._excess_usage_by_worker.clear()
        for worker in self._state_machine.workers:
            self.on_worker_changed(worker)
        for job_id in self._state_machine.jobs:
            self.on_job_changed(job_id)
        for task_key in self._state_machine.runs:
            self.on_run_changed(task_key)

    def get_live_run(self,
                     task_key: _decisions.TaskKey) -> state.LiveRun | None:
        """Returns the live run of a task, or None."""
        return self._live_runs.get(task_key)

    def count_live_runs(self) -> int:
        """Returns the number of live runs."""
        return len(self._live_runs)

    def list_batch_runs_on(self, worker: str) -> list[state.LiveRun]:
        """Returns the batch runs of a worker, oldest first."""
        return [
            run for run in self.runs_by_worker.get(worker, {}).values()
            if self.is_batch_job(run.job_id)
        ]

    def is_batch_job(self, job_id: str) -> bool:
        """Returns whether the job is neither urgent nor a watcher."""
        spec = self.job_states[job_id].job.spec
        return _queue.compute_job_class(spec) == _queue.BATCH_CLASS

    def get_worker_order(self, worker: str) -> int:
        """Returns how many workers were added before the given worker.

        Returns -1 if the worker is not in the domain.
        """
        indexed_worker = self.worker_index.workers.get(worker)
        return (indexed_worker.appearance_order
                if indexed_worker is not None else -1)

    def on_worker_changed(self, worker: str) -> None:
        worker_state = self._state_machine.workers.get(worker)
        if worker_state is None:
            self.runs_by_worker.pop(worker, None)
            self._excess_usage_by_worker.pop(worker, None)
            have_capacities_changed = self.worker_index.remove(worker)
        else:
            free_capacity = worker_state.free.minus(
                self._planned_resources_by_worker.get(worker, _NO_RESOURCES))
            have_capacities_changed = self.worker_index.put(
                worker, worker_state.rack, worker_state.capacity, free_capacity)
        if have_capacities_changed:
            self.update_blocked_jobs()

    def on_run_changed(self, key: _decisions.TaskKey) -> None:
        old_run = self._live_runs.get(key)
        new_run = self._state_machine.runs.get(key)
        planned_start = self.planned_starts.get(key)
        if (planned_start is not None and new_run is not None and
                new_run.run >= planned_start.run):
            self.remove_planned_start(planned_start)
        if old_run is not None and (new_run is None or
                                    new_run.run != old_run.run):
            self._remove_run(key, old_run)
        if new_run is None:
            return
        if old_run is None or new_run.run != old_run.run:
            self._add_run(key, new_run)
        self._live_runs[key] = new_run
        self.runs_by_worker[new_run.worker][key] = new_run

    def _add_run(self, task_key: _decisions.TaskKey,
                 run: state.LiveRun) -> None:
        self.runs_by_worker.setdefault(run.worker, {})
        job_state = self.job_states[run.job_id]
        job_state.waiting_since = self._read_clock()
        spec = job_state.job.spec
        self._change_team_claims(spec, run.resources, 1)
        if _queue.compute_job_class(spec) == _queue.BATCH_CLASS:
            self._batch_runs_by_team.setdefault(spec.team, {})[task_key] = None
        self._change_watcher_count(run.worker, spec, 1)

    def _remove_run(self, task_key: _decisions.TaskKey,
                    run: state.LiveRun) -> None:
        del self._live_runs[task_key]
        self.runs_by_worker[run.worker].pop(task_key, None)
        spec = self.job_states[run.job_id].job.spec
        self._change_team_claims(spec, run.resources, -1)
        self._batch_runs_by_team.get(spec.team, {}).pop(task_key, None)
        self._change_watcher_count(run.worker, spec, -1)

    def _change_watcher_count(self, worker: str, spec: model.JobSpec,
                              watcher_change: int) -> None:
        if spec.is_watcher and worker in self.worker_index.workers:
            self.worker_index.add_watchers(worker, watcher_change)

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

    def cancel_job(self, job_id: str) -> None:
        """Marks an open job as cancelled, so that it is never queued again.

        Does nothing if the job is not open in this domain.
        """
        job_state = self.job_states.get(job_id)
        if job_state is not None:
            job_state.is_cancelled = True
            self.cancelled_jobs[job_id] = None
            self.update_queue_membership(job_state)

    def _remove_job(self, job_id: str,
                    job_state: _job_state.JobSchedulingState) -> None:
        for task_index in sorted(job_state.planned_tasks):
            self.remove_planned_start(self.planned_starts[(job_id, task_index)])
        self.queue.remove(job_id)
        del self.job_states[job_id]

    def update_queue_membership(
            self, job_state: _job_state.JobSchedulingState) -> None:
        """Puts a job into the queue if it may be queued, else takes it out.

        A queued job moves to another group if its estimated resources changed.
        """
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
            for capacity in self.worker_index.capacities)

    def list_waiting_urgent_jobs(
            self,
            waiting_before: float) -> list[tuple[_queue.JobGroupKey, str]]:
        """Returns the queued urgent jobs that have waited for long enough.

        Args:
            waiting_before: Monotonic seconds; jobs that entered the queue or
                had a task claimed later than this are left out.

        Returns:
            The group key and the id of each job.
        """
        return [(group_key, job_id)
                for group_key in self.queue.iterate_groups()
                if group_key.job_class == _queue.URGENT_CLASS
                for job_id in self.queue.iterate_jobs(group_key)
                if self.job_states[job_id].waiting_since <= waiting_before]

    def _would_borrow(self, group_key: _queue.JobGroupKey) -> bool:
        return self.quota_ledger.would_borrow(group_key.team,
                                              group_key.resources)

    def _change_team_claims(self, spec: model.JobSpec,
                            resources: model.Resources, sign: int) -> None:
        self.quota_ledger.add_claim(spec, resources.times(sign))
        self.queue.mark_team_changed(spec.team)

    def count_waiting_tasks(self, group_key: _queue.JobGroupKey,
                            max_count: int) -> int:
        """Returns the number of waiting tasks in a group.

        Jobs are counted one by one until the sum is `max_count` or more; such a
        result is a lower bound.
        """
        waiting_count = 0
        for job_id in self.queue.iterate_jobs(group_key):
            waiting_count += self.job_states[job_id].count_waiting_tasks()
            if waiting_count >= max_count:
                break
        return waiting_count

    def iterate_batch_runs(self, team: str) -> Iterator[state.LiveRun]:
        """Yields the batch runs of a team, newest first."""
        for task_key in reversed(self._batch_runs_by_team.get(team, {})):
            yield self._live_runs[task_key]

    def update_blocked_jobs(self) -> None:
        """Recomputes which open jobs are blocked and which are queued."""
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
            largest_capacity = max(self.worker_index.capacities,
                                   default=_NO_RESOURCES)
            job_state.blocked_reason = _decisions.WaitReason(
                _decisions.WaitCode.TOO_LARGE,
                f"no worker of the domain can hold a task of {spec.resources}; "
                f"the largest of {len(self.worker_index.workers)} workers has "
                f"{largest_capacity}")

    def add_planned_start(self, planned_start: _decisions.PlannedStart) -> None:
        """Counts a planned start as a claim.

        Its resources are deducted from the worker's free capacity and added to
        the claims of the team.
        """
        job_state = self.job_states[planned_start.job_id]
        self.planned_starts[planned_start.task_key] = planned_start
        job_state.planned_tasks.add(planned_start.task)
        self._change_planned_resources(planned_start.worker,
                                       planned_start.resources)
        self._change_watcher_count(planned_start.worker, job_state.job.spec, 1)
        self._change_team_claims(job_state.job.spec, planned_start.resources, 1)
        self.update_queue_membership(job_state)

    def remove_planned_start(self,
                             planned_start: _decisions.PlannedStart) -> None:
        """Stops counting a planned start as a claim.

        Does nothing if the start is not counted.
        """
        if self.planned_starts.get(planned_start.task_key) != planned_start:
            return
        del self.planned_starts[planned_start.task_key]
        self._change_planned_resources(
            planned_start.worker, _NO_RESOURCES.minus(planned_start.resources))
        job_state = self.job_states[planned_start.job_id]
        job_state.planned_tasks.discard(planned_start.task)
        self._change_watcher_count(planned_start.worker, job_state.job.spec, -1)
        self._change_team_claims(job_state.job.spec, planned_start.resources,
                                 -1)
        self.update_queue_membership(job_state)

    def _change_planned_resources(self, worker: str,
                                  resource_change: model.Resources) -> None:
        planned_resources = self._planned_resources_by_worker.get(
            worker, _NO_RESOURCES).plus(resource_change)
        if planned_resources.is_empty():
            self._planned_resources_by_worker.pop(worker, None)
        else:
            self._planned_resources_by_worker[worker] = planned_resources
        self._update_free_capacity(worker)

    def set_excess_usage(self, worker: str,
                         excess_usage: model.Resources) -> None:
        """Sets the usage beyond claims on a worker.

        It is deducted from the free capacity of the worker.
        """
        if excess_usage.is_empty():
            if self._excess_usage_by_worker.pop(worker, None) is None:
                return
        else:
            self._excess_usage_by_worker[worker] = excess_usage
        self._update_free_capacity(worker)

    def _update_free_capacity(self, worker: str) -> None:
        worker_state = self._state_machine.workers.get(worker)
        if worker_state is not None and worker in self.worker_index.workers:
            self.worker_index.set_free_capacity(
                worker, self._compute_free_capacity(worker_state))

    def _compute_free_capacity(
            self, worker_state: state.WorkerState) -> model.Resources:
        free_capacity = worker_state.free.minus(
            self._planned_resources_by_worker.get(worker_state.name,
                                                  _NO_RESOURCES))
        return free_capacity.minus(
            self._excess_usage_by_worker.get(worker_state.name, _NO_RESOURCES))
