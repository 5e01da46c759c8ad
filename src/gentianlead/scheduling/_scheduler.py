"""Scheduler of one failure domain, which plans task starts and evictions."""

from typing import Callable, Iterable, Iterator

from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead.scheduling import _penalties
from gentianlead.scheduling import _colocation
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _deferrals
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _estimates
from gentianlead.scheduling import _eviction_tracker
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _placement
from gentianlead.scheduling import _quarantine
from gentianlead.scheduling import _queue
from gentianlead.scheduling import _quotas
from gentianlead.scheduling import _reclaim
from gentianlead.scheduling import _workload_history
from gentianlead.scheduling import _run_times
from gentianlead.scheduling import _suspects
from gentianlead.scheduling import _trials
from gentianlead.scheduling import _usage

MAX_PENALTY_RATIO = 0.5
"""A run is moved because of interference only if the placement penalty of the
new worker is below this share of the penalty of the present one."""

_NO_WAIT_REASON = _decisions.WaitReason(_decisions.WaitCode.NOTHING_WAITS, "")


class DomainScheduler:
    """Plans starts and evictions in one failure domain.

    The scheduler observes the domain state and never changes it. The caller
    appends the claims of planned starts and discards those that are rejected:

        scheduler = DomainScheduler(state_machine, configuration, "domain-1",
                                    clock.monotonic)
        for start in scheduler.plan_starts(clock.monotonic(), 100):
            append(start.build_claim(holder))   # on rejection: discard_claim

    Attributes:
        placement: Policy that chooses the workers of tasks.
    """

    def __init__(self,
                 state_machine: state.DomainStateMachine,
                 configuration: model.Configuration,
                 domain: str,
                 read_clock: Callable[[], float],
                 placement: _placement.PlacementPolicy | None = None,
                 settings: _colocation.ColocationSettings = _colocation.
                 TAIL_LATENCY_FIRST):
        """Builds the indexes from the domain state and observes its changes.

        Args:
            state_machine: State of the domain.
            configuration: Configuration in force.
            domain: Name of the domain.
            read_clock: Returns the present time in monotonic seconds.
            placement: Placement policy; `PackAndSpreadPolicy` if None.
            settings: Limits of slowdown, weights of slowdown in placement, move
                budget and trial limit.
        """
        self._state_machine = state_machine
        self._read_clock = read_clock
        self._configuration = configuration
        self._domain = domain
        self._estimator = _estimates.SizeEstimator()
        self._domain_index = _domain_index.DomainIndex(
            state_machine, _quotas.QuotaLedger(configuration),
            self._estimator.estimate_resources, read_clock)
        self._quarantine = self._build_quarantine(read_clock)
        self._workload_history = _workload_history.WorkloadHistory(
            state_machine, configuration, read_clock)
        self._suspect_tasks = _suspects.SuspectTasks(state_machine,
                                                     self._domain_index,
                                                     self._workload_history,
                                                     self._quarantine,
                                                     read_clock)
        self._interference_model = _interference.InterferenceModel()
        self._trial_limiter = _trials.TrialLimiter(
            state_machine, self._domain_index, self._workload_history,
            self._interference_model, read_clock, settings.trial_run_limit)
        self._deferred_jobs = _deferrals.DeferredJobs(state_machine,
                                                      self._domain_index,
                                                      read_clock)
        self._penalty_model = _penalties.Advisor(
            settings, self._workload_history, self._interference_model,
            self._quarantine, self._trial_limiter, self._deferred_jobs)
        self.placement = (placement or
                          _placement.PackAndSpreadPolicy(self._penalty_model))
        self._eviction_tracker = _eviction_tracker.EvictionTracker(
            state_machine)
        self._usage_tracker = _usage.UsageTracker(
            state_machine, self._domain_index,
            self._eviction_tracker.has_open_order)
        self._colocation_policy = self._build_colocation(settings)
        self._reclaimer = _reclaim.CapacityReclaimer(
            self._domain_index, self._eviction_tracker.has_open_order)
        self._leaving_workers: dict[str, None] = {}
        self._run_time_observer = _run_times.RunTimeObserver(
            state_machine, self._domain_index, self._estimator,
            self._interference_model, read_clock)

    def _build_quarantine(
            self, read_clock: Callable[[], float]) -> _quarantine.Quarantine:
        return _quarantine.Quarantine(self._state_machine, self._domain_index,
                                      read_clock)

    def _build_colocation(
        self, settings: _colocation.ColocationSettings
    ) -> _colocation.ColocationPolicy:
        return _colocation.ThrottleThenMovePolicy(
            self._state_machine, self._domain_index, self._workload_history,
            self._interference_model, settings,
            self._eviction_tracker.has_open_order, self._has_better_worker)

    def _has_better_worker(self, run: state.LiveRun) -> bool:
        request = _placement.PlacementRequest(run.job_id, run.resources)
        new_worker = self.placement.choose_worker(
            request, self._domain_index.worker_index)
        if new_worker is None or new_worker.name == run.worker:
            return False
        penalties = self._penalty_model.build_penalties(request)
        current_worker = self._domain_index.worker_index.workers[run.worker]
        return (penalties.compute_penalty(new_worker)
                < MAX_PENALTY_RATIO * penalties.compute_penalty(current_worker))

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Applies a new version of the configuration."""
        self._configuration = configuration
        self._domain_index.quota_ledger.set_configuration(configuration)
        self._workload_history.set_configuration(configuration)
        self._domain_index.queue.mark_all_teams_changed()
        self._domain_index.update_blocked_jobs()

    def set_leaving_workers(self, workers: Iterable[str]) -> None:
        """Replaces the set of leaving workers.

        Leaving workers get no new tasks, and `plan_evictions` returns orders to
        move their runs.
        """
        new_leaving_workers = set(workers)
        for worker in [
                worker for worker in self._leaving_workers
                if worker not in new_leaving_workers
        ]:
            del self._leaving_workers[worker]
            self._domain_index.worker_index.include(worker)
        for worker in new_leaving_workers:
            if worker not in self._leaving_workers:
                self._leaving_workers[worker] = None
                self._domain_index.worker_index.exclude(worker)

    def cancel_job(self, job_id: str) -> None:
        """Cancels a job: no more of its tasks start, and its runs are stopped.

        `plan_evictions` returns the stop orders, at a cost in proportion to the
        number of the job's live runs. Does nothing if the job is not open in
        this domain.
        """
        self._domain_index.cancel_job(job_id)

    def discard_claim(self, start: _decisions.PlannedStart) -> None:
        """Drops a planned start whose claim was rejected or never appended."""
        self._domain_index.remove_planned_start(start)
        if start.is_suspect:
            self._suspect_tasks.discard_start(start)

    def observe_usage(self, worker: str, report: ports.UsageReport,
                      as_of: float) -> None:
        """Records the usage and the slowdown of a live run.

        The report is ignored if its run is not live on `worker`, or if it is
        not newer than the last recorded report about the run.

        Args:
            worker: Worker that sent the report.
            report: Usage and slowdown of one run.
            as_of: Time that the report describes, on this daemon's monotonic
                clock.
        """
        run_key = report.key
        run = self._domain_index.get_live_run((run_key.job_id, run_key.task))
        if run is None or run.run != run_key.run or run.worker != worker:
            return
        if not self._record_usage(run, report.resources, as_of):
            return
        self._observe_slowdown(
            worker, _workload_history.Workload(False, run_key.job_id),
            report.slowdown, as_of)

    def _record_usage(self, run: state.LiveRun, usage: model.Resources,
                      as_of: float) -> bool:
        """Records a usage report and updates the size estimate of the job.

        Returns False, without recording the report, if it is not newer than the
        last recorded report about the run.
        """
        if not self._usage_tracker.record_usage(run, usage, as_of):
            return False
        job_state = self._domain_index.job_states[run.job_id]
        run_age = self._run_time_observer.compute_run_age(run, as_of)
        if self._estimator.record_usage(job_state.job.spec, run, usage,
                                        run_age):
            self._domain_index.update_queue_membership(job_state)
        return True

    def observe_service_slowdown(self, worker: str, service: str,
                                 slowdown: float, as_of: float) -> None:
        """Records a slowdown report about a service on a worker.

        Args:
            worker: Worker that runs a target of the service.
            service: Name of the service.
            slowdown: Ratio of the target's latency to its undisturbed latency.
            as_of: Time that the slowdown describes, on this daemon's monotonic
                clock.
        """
        self._observe_slowdown(worker,
                               _workload_history.Workload(True, service),
                               slowdown, as_of)

    def _observe_slowdown(self, worker: str, victim: _workload_history.Workload,
                          slowdown: float, as_of: float) -> None:
        neighbour_weights = self._workload_history.compute_workload_weights(
            worker, as_of)
        neighbour_weights.pop(victim, None)
        self._interference_model.record_slowdown(victim, neighbour_weights,
                                                 slowdown, as_of)
        self._colocation_policy.record_slowdown(worker, victim, slowdown, as_of)

    def plan_starts(self, now: float,
                    max_starts: int) -> list[_decisions.PlannedStart]:
        """Plans task starts.

        Reserved workers with enough free capacity come first, then probes of
        quarantined workers, then retries of failing jobs, then a suspect, and
        last the queue. A planned start counts as a claim at once, so that the
        next call uses neither its task nor its capacity again.

        Args:
            now: Monotonic seconds.
            max_starts: Maximum number of starts.

        Returns:
            The starts whose claims the caller is to append; none if the domain
            is out of service.
        """
        starts: list[_decisions.PlannedStart] = []
        if not self._configuration.is_domain_in_service(self._domain):
            self._reclaimer.clear()
            return starts
        for worker, group_key in self._reclaimer.take_ready_reservations(
                now, max_starts):
            starts.extend(self._plan_start_on_worker(worker, group_key))
        self._trial_limiter.end_due_trials(now)
        self._deferred_jobs.end_due_deferrals(now)
        starts.extend(self._plan_probes(now, max_starts - len(starts)))
        starts.extend(self._plan_suspect(now))
        queue_pass = _queue.QueuePass(self._domain_index.queue)
        unplaceable_resources: list[model.Resources] = []
        while len(starts) < max_starts:
            group_and_job = queue_pass.pop_first_job()
            if group_and_job is None:
                break
            group_key, job_id = group_and_job
            if any(
                    task_resources.fits_in(group_key.resources)
                    for task_resources in unplaceable_resources):
                self._domain_index.queue.mark_unschedulable(group_key.resources)
                queue_pass.push_next_job(group_key)
                continue
            start = self._plan_start(job_id, group_key.resources)
            if start is None and self._has_fitting_worker(group_key.resources):
                self._deferred_jobs.defer_job(job_id, now)
                queue_pass.push_next_job(group_key)
                continue
            if start is None:
                unplaceable_resources.append(group_key.resources)
                self._domain_index.queue.mark_unschedulable(group_key.resources)
                queue_pass.push_next_job(group_key)
                continue
            starts.append(start)
            self._reclaimer.reset_waiting_time(group_key)
            queue_pass.push_next_job(group_key)
        return starts

    def plan_urgent_starts(self, now: float, max_starts: int,
                           min_wait: float) -> list[_decisions.PlannedStart]:
        """Plans starts of urgent tasks that the preferred scheduler missed.

        A daemon that is not the preferred scheduler calls this instead of
        `plan_starts`, with a minimum wait that grows with its rank among the
        daemons. Reserved workers with enough free capacity are used first,
        without a minimum wait and for any class of job.

        Args:
            now: Monotonic seconds.
            max_starts: Maximum number of starts.
            min_wait: Minimum seconds since an urgent job entered the queue or
                last had a task claimed; jobs with a shorter wait are skipped.
        """
        starts: list[_decisions.PlannedStart] = []
        self._suspect_tasks.end_due_observations(now)
        self._suspect_tasks.end_reservation()
        if not self._configuration.is_domain_in_service(self._domain):
            return starts
        for worker, group_key in self._reclaimer.take_ready_reservations(
                now, max_starts):
            starts.extend(self._plan_start_on_worker(worker, group_key))
        for group_key, job_id in self._domain_index.list_waiting_urgent_jobs(
                now - min_wait):
            while len(
                    starts) < max_starts and job_id in self._domain_index.queue:
                start = self._plan_start(job_id, group_key.resources)
                if start is None:
                    self._domain_index.queue.mark_unschedulable(
                        group_key.resources)
                    break
                starts.append(start)
        return starts

    def has_urgent_work(self, waiting_before: float) -> bool:
        """Returns whether a queued urgent job waits since before a time.

        Args:
            waiting_before: Monotonic seconds.
        """
        return bool(self._domain_index.list_waiting_urgent_jobs(waiting_before))

    def plan_urgent_evictions(self, now: float) -> list[_decisions.Eviction]:
        """Returns evictions for urgent tasks that could not be placed.

        Open move and stop orders of any reason that are due to be repeated or
        escalated are returned too.
        """
        evictions = self._eviction_tracker.escalate_and_repeat_orders(now)
        for eviction in self._reclaimer.plan_evictions(now,
                                                       is_urgent_only=True):
            if self._eviction_tracker.record_order(eviction, now):
                evictions.append(eviction)
        return evictions

    def _plan_probes(self, now: float,
                     max_starts: int) -> Iterator[_decisions.PlannedStart]:
        """Yields starts of probe tasks and of retries of failing jobs."""
        for worker in self._quarantine.list_due_probes(now)[:max_starts]:
            free_capacity = self._domain_index.worker_index.workers[
                worker].free_capacity
            group_key = self._find_probe_group(free_capacity)
            if worker not in self._leaving_workers and group_key is not None:
                for start in self._plan_start_on_worker(worker, group_key):
                    self._quarantine.record_probe(start, now)
                    yield start
                max_starts -= 1
        for job_id in self._quarantine.list_due_retries(
                now)[:max(0, max_starts)]:
            group_key = self._domain_index.job_states[job_id].group_key
            start = self._plan_start(job_id, group_key.resources)
            if start is not None:
                self._quarantine.record_retry(job_id, now)
                yield start

    def _find_probe_group(
            self, free_capacity: model.Resources) -> _queue.JobGroupKey | None:
        for group_key in self._domain_index.queue.iterate_groups():
            if (group_key.job_class == _queue.BATCH_CLASS and
                    group_key.resources.fits_in(free_capacity)):
                return group_key
        return None

    def _plan_start_on_worker(
            self, worker: str,
            group_key: _queue.JobGroupKey) -> list[_decisions.PlannedStart]:
        """Plans a start of a group's first job on a given worker.

        Returns an empty list if no job of the group is queued, or its tasks do
        not fit in the worker's free capacity.
        """
        first_offset_and_job_id = self._domain_index.queue.get_first_job(
            group_key)
        if first_offset_and_job_id is None or not group_key.resources.fits_in(
                self._domain_index.worker_index.workers[worker].free_capacity):
            return []
        return [
            self._plan_claim(first_offset_and_job_id[1], group_key.resources,
                             worker)
        ]

    def _has_fitting_worker(self, resources: model.Resources) -> bool:
        fitting_workers = self._domain_index.worker_index.iterate_tightest(
            resources)
        return next(fitting_workers, None) is not None

    def _plan_start(
            self, job_id: str,
            resources: model.Resources) -> _decisions.PlannedStart | None:
        job_state = self._domain_index.job_states[job_id]
        spec = job_state.job.spec
        may_wait = not spec.is_urgent and not spec.is_watcher
        request = _placement.PlacementRequest(job_id, resources,
                                              spec.is_watcher, may_wait)
        worker = self.placement.choose_worker(request,
                                              self._domain_index.worker_index)
        if worker is None:
            return None
        return self._plan_claim(job_id, resources, worker.name)

    def _plan_suspect(self, now: float) -> Iterator[_decisions.PlannedStart]:
        """Yields the start of a suspect if one may start now."""
        self._suspect_tasks.end_due_observations(now)
        task_key_and_worker = self._suspect_tasks.choose_start(now)
        if task_key_and_worker is None:
            return
        (job_id, task_index), worker = task_key_and_worker
        group_key = self._domain_index.job_states[job_id].group_key
        start = self._plan_claim_of_task(job_id, task_index,
                                         group_key.resources, worker, True)
        self._suspect_tasks.record_start(start)
        yield start

    def _plan_claim(self, job_id: str, resources: model.Resources,
                    worker: str) -> _decisions.PlannedStart:
        task_index = self._domain_index.job_states[job_id].take_next_task()
        return self._plan_claim_of_task(job_id, task_index, resources, worker)

    def _plan_claim_of_task(
            self,
            job_id: str,
            task_index: int,
            resources: model.Resources,
            worker: str,
            is_suspect: bool = False) -> _decisions.PlannedStart:
        job_state = self._domain_index.job_states[job_id]
        start = _decisions.PlannedStart(
            job_id, task_index,
            job_state.job.get_next_run_number(task_index), worker, resources,
            job_state.job.checkpoints.get(task_index, ""), is_suspect)
        self._domain_index.add_planned_start(start)
        self._trial_limiter.record_start(job_id, self._read_clock())
        self._deferred_jobs.record_start(job_id)
        return start

    def plan_evictions(self, now: float) -> list[_decisions.Eviction]:
        """Returns the throttle, move and stop orders to send for live runs.

        Move and stop orders are tracked until their runs end. Meanwhile, an
        order is not planned again for the same run, but repeated or escalated
        when that is due.
        """
        evictions = self._eviction_tracker.escalate_and_repeat_orders(now)
        for eviction in self._iterate_proposed_evictions(now):
            if self._eviction_tracker.record_order(eviction, now):
                evictions.append(eviction)
        return evictions

    def _iterate_proposed_evictions(
            self, now: float) -> Iterator[_decisions.Eviction]:
        yield from self._stop_cancelled_runs()
        if not self._configuration.is_domain_in_service(self._domain):
            for worker in self._domain_index.runs_by_worker:
                yield from self._move_all_runs(
                    worker, _decisions.EvictionReason.DOMAIN_OUT)
            return
        for worker in sorted(self._leaving_workers,
                             key=self._domain_index.get_worker_order):
            yield from self._move_all_runs(
                worker, _decisions.EvictionReason.WORKER_LEAVING)
        yield from self._usage_tracker.plan_memory_pressure_moves(now)
        yield from self._reclaimer.plan_evictions(now)
        yield from self._colocation_policy.plan_orders(now)

    def _stop_cancelled_runs(self) -> Iterator[_decisions.Eviction]:
        for job_id in list(self._domain_index.cancelled_jobs):
            job_state = self._domain_index.job_states.get(job_id)
            if job_state is None:
                del self._domain_index.cancelled_jobs[job_id]
                continue
            for task_index in sorted(job_state.job.live_tasks):
                run = self._domain_index.get_live_run((job_id, task_index))
                yield _decisions.Eviction(
                    job_id, task_index, run.run, run.worker,
                    _decisions.EvictionAction.STOP,
                    _decisions.EvictionReason.JOB_CANCELLED)

    def _move_all_runs(
            self, worker: str,
            reason: _decisions.EvictionReason) -> Iterator[_decisions.Eviction]:
        for run in self._domain_index.runs_by_worker.get(worker, {}).values():
            yield _decisions.Eviction(run.job_id, run.task, run.run, worker,
                                      _decisions.EvictionAction.MOVE, reason)

    def list_idle_jobs(self,
                       max_jobs: int) -> list[tuple[str, model.Resources]]:
        """Returns waiting jobs without a live or planned run, for `plan_moves`.

        Args:
            max_jobs: Maximum number of jobs.

        Returns:
            Job ids, the last opened first, each with the total resources of its
            waiting tasks. Blocked, paused and cancelled jobs are left out,
            because they would wait in another domain too.
        """
        idle_jobs: list[tuple[str, model.Resources]] = []
        for job_id in reversed(self._domain_index.job_states):
            job_state = self._domain_index.job_states[job_id]
            if (job_state.may_be_queued and not job_state.job.live_tasks and
                    not job_state.planned_tasks):
                task_resources = job_state.group_key.resources.times(
                    job_state.count_waiting_tasks())
                idle_jobs.append((job_id, task_resources))
                if len(idle_jobs) >= max_jobs:
                    break
        return idle_jobs

    def list_quarantined(self) -> list[str]:
        """Returns the names of the quarantined workers.

        They get only probe tasks.
        """
        return self._quarantine.list_quarantined()

    def list_failing_jobs(self) -> list[_quarantine.FailingJob]:
        """Returns the jobs that are paused because they fail."""
        return self._quarantine.list_failing_jobs()

    def list_blocked_jobs(self) -> dict[str, _decisions.WaitReason]:
        """Returns the open jobs that an operator or their owner must act on.

        The result maps the id of each job whose `WaitCode` is permanent to the
        reason why it waits.
        """
        return {
            job_id: job_state.blocked_reason or job_state.paused_reason
            for job_id, job_state in self._domain_index.job_states.items()
            if (job_state.blocked_reason or job_state.paused_reason or
                _NO_WAIT_REASON).code.is_permanent
        }

    def explain_job(self, job_id: str) -> _decisions.WaitReason:
        """Returns why tasks of a job wait.

        If several reasons apply, the one that is checked first is returned. The
        code of the result is `NOT_OPEN` for a job that is not open in this
        domain, and `NOTHING_WAITS` if none of its tasks waits.
        """
        job_state = self._domain_index.job_states.get(job_id)
        wait_codes = _decisions.WaitCode
        if job_state is None:
            return _decisions.WaitReason(wait_codes.NOT_OPEN,
                                         "the job is not open in this domain")
        given_up_reason = model.explain_given_up_tasks(job_state.job.crashes)
        if given_up_reason:
            return _decisions.WaitReason(wait_codes.GIVEN_UP, given_up_reason)
        if job_state.is_cancelled:
            return _decisions.WaitReason(
                wait_codes.CANCELLED,
                f"the job is cancelled; {len(job_state.job.live_tasks)} "
                "tasks stop")
        if job_state.blocked_reason is not None:
            return job_state.blocked_reason
        if job_state.paused_reason is not None:
            return job_state.paused_reason
        waiting_task_count = job_state.count_waiting_tasks()
        if waiting_task_count <= 0:
            suspects_reason = self._suspect_tasks.explain_job(job_id)
            if suspects_reason is not None:
                return suspects_reason
            return _decisions.WaitReason(wait_codes.NOTHING_WAITS,
                                         "no task of the job waits")
        if not self._configuration.is_domain_in_service(self._domain):
            return _decisions.WaitReason(
                wait_codes.DOMAIN_OUT,
                f"domain {self._domain!r} is out of service")
        request = _placement.PlacementRequest(job_id,
                                              job_state.group_key.resources,
                                              job_state.job.spec.is_watcher)
        if self.placement.choose_worker(
                request, self._domain_index.worker_index) is None:
            return _decisions.WaitReason(
                wait_codes.NO_CAPACITY,
                f"{waiting_task_count} tasks wait; no worker has "
                f"{job_state.group_key.resources} free now")
        return _decisions.WaitReason(
            wait_codes.QUEUED,
            f"{waiting_task_count} tasks wait for their turn in the queue")
