"""The scheduler of a failure domain: what to start and what to evict."""

from typing import Callable, Iterable, Iterator

from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead.scheduling import _advice
from gentianlead.scheduling import _colocation
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _deferrals
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _estimates
from gentianlead.scheduling import _eviction_log
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _placement
from gentianlead.scheduling import _quarantine
from gentianlead.scheduling import _queue
from gentianlead.scheduling import _quotas
from gentianlead.scheduling import _reclaim
from gentianlead.scheduling import _run_history
from gentianlead.scheduling import _run_times
from gentianlead.scheduling import _trials
from gentianlead.scheduling import _usage

BETTER_SHARE = 0.5
"""A move for interference must at least halve the expected slowdown."""

_NOT_BLOCKED = _decisions.WaitReason(_decisions.WaitCode.NOTHING_WAITS, "")


class DomainScheduler:
    """Plans starts and evictions in one failure domain.

    The scheduler observes the fold and never changes it. The caller appends
    what is planned and tells of rejected claims:

        scheduler = DomainScheduler(fold, configuration, "domain-1",
                                    clock.monotonic)
        for start in scheduler.plan_starts(clock.monotonic(), 100):
            append(start.build_claim(holder))   # on rejection: discard_claim

    Attributes:
        placement: Policy that chooses workers.
    """

    def __init__(self,
                 fold: state.DomainFold,
                 configuration: model.Configuration,
                 domain: str,
                 read_clock: Callable[[], float],
                 placement: _placement.PlacementPolicy | None = None,
                 settings: _colocation.ColocationSettings = _colocation.
                 TAIL_LATENCY_FIRST):
        """Builds the indexes from the fold and observes it from then on.

        Args:
            fold: State of the domain's stream.
            configuration: Configuration in force.
            domain: Name of the domain.
            read_clock: Returns monotonic seconds; times changes of the fold.
            placement: Policy; `PackAndSpreadPolicy` when None.
            settings: Limits and weights of colocation.
        """
        self._fold = fold
        self._read_clock = read_clock
        self._configuration = configuration
        self._domain = domain
        self._estimator = _estimates.SizeEstimator()
        self._index = _domain_index.DomainIndex(
            fold, _quotas.QuotaLedger(configuration), self._estimator.estimate,
            read_clock)
        self._quarantine = self._build_quarantine(read_clock)
        self._history = _run_history.RunHistory(fold, configuration, read_clock)
        self._effects = _interference.InterferenceModel()
        self._trials = _trials.Trials(fold, self._index, self._history,
                                      self._effects, read_clock,
                                      settings.trial_runs)
        self._deferrals = _deferrals.Deferrals(fold, self._index, read_clock)
        self._advisor = _advice.Advisor(settings, self._history, self._effects,
                                        self._quarantine, self._trials,
                                        self._deferrals)
        self.placement = (placement or
                          _placement.PackAndSpreadPolicy(self._advisor))
        self._evictions = _eviction_log.EvictionLog(fold)
        self._usage = _usage.UsageBook(fold, self._index,
                                       self._evictions.is_ordered)
        self._colocation = self._build_colocation(settings)
        self._reclaimer = _reclaim.Reclaimer(self._index,
                                             self._evictions.is_ordered)
        self._leaving: dict[str, None] = {}
        self._run_times = _run_times.RunTimes(fold, self._index,
                                              self._estimator, self._effects,
                                              read_clock)

    def _build_quarantine(
            self, read_clock: Callable[[], float]) -> _quarantine.Quarantine:
        return _quarantine.Quarantine(self._fold, self._index, read_clock)

    def _build_colocation(
        self, settings: _colocation.ColocationSettings
    ) -> _colocation.ColocationPolicy:
        return _colocation.SteppedPolicy(self._fold, self._index, self._history,
                                         self._effects, settings,
                                         self._evictions.is_ordered,
                                         self._has_better_place)

    def _has_better_place(self, run: state.LiveRun) -> bool:
        request = _placement.PlacementRequest(run.job_id, run.resources)
        there = self.placement.choose(request, self._index.workers)
        if there is None or there.name == run.worker:
            return False
        assessment = self._advisor.assess(request)
        here = self._index.workers.workers[run.worker]
        return (assessment.compute_penalty(there)
                < BETTER_SHARE * assessment.compute_penalty(here))

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Takes a new version of the configuration."""
        self._configuration = configuration
        self._index.ledger.set_configuration(configuration)
        self._history.set_configuration(configuration)
        self._index.queue.mark_all_changed()
        self._index.review_jobs()

    def set_leaving_workers(self, workers: Iterable[str]) -> None:
        """Replaces the set of workers that get no new work and are emptied."""
        new = set(workers)
        for name in [name for name in self._leaving if name not in new]:
            del self._leaving[name]
            self._index.workers.include(name)
        for name in new:
            if name not in self._leaving:
                self._leaving[name] = None
                self._index.workers.exclude(name)

    def cancel_job(self, job_id: str) -> None:
        """Starts no more tasks of the job, and stops those that run.

        The cost is proportional to the job's running tasks.
        """
        self._index.cancel(job_id)

    def discard_claim(self, start: _decisions.PlannedStart) -> None:
        """Drops a planned claim that was rejected or never appended."""
        self._index.forget(start)

    def observe_usage(self, worker: str, report: ports.UsageReport,
                      as_of: float) -> None:
        """Takes a usage report; reports of other runs are ignored.

        Args:
            worker: Worker that reports.
            report: The report.
            as_of: Time that the report describes, on this daemon's monotonic
                clock.
        """
        key = report.key
        run = self._index.get_run((key.job_id, key.task))
        if run is None or run.run != key.run or run.worker != worker:
            return
        if not self._observe_use(run, report.resources, as_of):
            return
        self._observe_slowdown(worker, _run_history.Kind(False, key.job_id),
                               report.slowdown, as_of)

    def _observe_use(self, run: state.LiveRun, used: model.Resources,
                     as_of: float) -> bool:
        """Learns sizes; returns whether the report is new."""
        if not self._usage.observe(run, used, as_of):
            return False
        entry = self._index.entries[run.job_id]
        age = self._run_times.compute_age(run, as_of)
        if self._estimator.observe(entry.job.spec, run, used, age):
            self._index.requeue(entry)
        return True

    def observe_service_slowdown(self, worker: str, service: str,
                                 slowdown: float, as_of: float) -> None:
        """Takes the slowdown of a service on a worker.

        Args:
            worker: Worker that serves it.
            service: Name of the service.
            slowdown: Latency relative to an undisturbed target.
            as_of: Time that the value describes, on this daemon's monotonic
                clock.
        """
        self._observe_slowdown(worker, _run_history.Kind(True, service),
                               slowdown, as_of)

    def _observe_slowdown(self, worker: str, victim: _run_history.Kind,
                          slowdown: float, as_of: float) -> None:
        beside = self._history.compute_weights_at(worker, as_of)
        beside.pop(victim, None)
        self._effects.observe(victim, beside, slowdown, as_of)
        self._colocation.observe(worker, victim, slowdown, as_of)

    def plan_starts(self, now: float,
                    limit: int) -> list[_decisions.PlannedStart]:
        """Returns claims to append now, and counts them from then on.

        Args:
            now: Monotonic seconds.
            limit: Most claims to return.
        """
        starts: list[_decisions.PlannedStart] = []
        if not self._configuration.is_domain_in_service(self._domain):
            self._reclaimer.clear()
            return starts
        for worker, key in self._reclaimer.take_ready(now, limit):
            starts.extend(self._start_on(worker, key))
        self._trials.end_due(now)
        self._deferrals.end_due(now)
        starts.extend(self._plan_probes(now, limit - len(starts)))
        queue_round = _queue.QueueRound(self._index.queue)
        unplaceable: list[model.Resources] = []
        while len(starts) < limit:
            head = queue_round.pop()
            if head is None:
                break
            key, job_id = head
            if any(size.fits_in(key.resources) for size in unplaceable):
                self._index.queue.park(key.resources)
                queue_round.keep(key)
                continue
            start = self._plan_start(job_id, key.resources)
            if start is None and self._has_room(key.resources):
                self._deferrals.defer(job_id, now)
                queue_round.keep(key)
                continue
            if start is None:
                unplaceable.append(key.resources)
                self._index.queue.park(key.resources)
                queue_round.keep(key)
                continue
            starts.append(start)
            self._reclaimer.note_placed(key)
            queue_round.keep(key)
        return starts

    def plan_urgent_starts(self, now: float, limit: int,
                           waited: float) -> list[_decisions.PlannedStart]:
        """Returns claims of urgent tasks that nobody claims.

        A daemon that is not the preferred scheduler calls this in place of
        `plan_starts`, with a wait that grows with its rank.

        Args:
            now: Monotonic seconds.
            limit: Most claims to return.
            waited: Seconds for which a job must have seen no claim.
        """
        starts: list[_decisions.PlannedStart] = []
        if not self._configuration.is_domain_in_service(self._domain):
            return starts
        for worker, key in self._reclaimer.take_ready(now, limit):
            starts.extend(self._start_on(worker, key))
        for key, job_id in self._index.list_urgent(now - waited):
            while len(starts) < limit and job_id in self._index.queue:
                start = self._plan_start(job_id, key.resources)
                if start is None:
                    self._index.queue.park(key.resources)
                    break
                starts.append(start)
        return starts

    def plan_urgent_evictions(self, now: float) -> list[_decisions.Eviction]:
        """Returns evictions for what `plan_urgent_starts` could not place."""
        evictions = self._evictions.repeat(now)
        for eviction in self._reclaimer.plan(now, is_urgent_only=True):
            if self._evictions.add(eviction, now):
                evictions.append(eviction)
        return evictions

    def _plan_probes(self, now: float,
                     limit: int) -> Iterator[_decisions.PlannedStart]:
        """Yields probes of workers in quarantine and tries of failing jobs."""
        for worker in self._quarantine.list_due_probes(now)[:limit]:
            free = self._index.workers.workers[worker].free
            key = self._find_probe(free)
            if worker not in self._leaving and key is not None:
                self._quarantine.note_probe(worker, now)
                yield from self._start_on(worker, key)
                limit -= 1
        for job_id in self._quarantine.list_due_tries(now)[:max(0, limit)]:
            key = self._index.entries[job_id].key
            start = self._plan_start(job_id, key.resources)
            if start is not None:
                self._quarantine.note_try(job_id, now)
                yield start

    def _find_probe(self, free: model.Resources) -> _queue.GroupKey | None:
        for key in self._index.queue.iterate_groups():
            if (key.job_class == _queue.BATCH and key.resources.fits_in(free)):
                return key
        return None

    def _start_on(self, worker: str,
                  key: _queue.GroupKey) -> list[_decisions.PlannedStart]:
        """Starts the head of a group on the worker that was kept for it."""
        head = self._index.queue.get_head(key)
        if head is None or not key.resources.fits_in(
                self._index.workers.workers[worker].free):
            return []
        return [self._claim(head[1], key.resources, worker)]

    def _has_room(self, resources: model.Resources) -> bool:
        fitting = self._index.workers.iterate_tightest(resources)
        return next(fitting, None) is not None

    def _plan_start(
            self, job_id: str,
            resources: model.Resources) -> _decisions.PlannedStart | None:
        entry = self._index.entries[job_id]
        spec = entry.job.spec
        may_wait = not spec.is_urgent and not spec.is_watcher
        request = _placement.PlacementRequest(job_id, resources,
                                              spec.is_watcher, may_wait)
        worker = self.placement.choose(request, self._index.workers)
        if worker is None:
            return None
        return self._claim(job_id, resources, worker.name)

    def _claim(self, job_id: str, resources: model.Resources,
               worker: str) -> _decisions.PlannedStart:
        entry = self._index.entries[job_id]
        task = entry.take_task()
        start = _decisions.PlannedStart(job_id, task,
                                        entry.job.get_next_run(task), worker,
                                        resources,
                                        entry.job.checkpoints.get(task, ""))
        self._index.plan(start)
        self._trials.note_start(job_id, self._read_clock())
        self._deferrals.note_start(job_id)
        return start

    def plan_evictions(self, now: float) -> list[_decisions.Eviction]:
        """Returns orders for running tasks, and remembers them."""
        evictions = self._evictions.repeat(now)
        for eviction in self._propose_evictions(now):
            if self._evictions.add(eviction, now):
                evictions.append(eviction)
        return evictions

    def _propose_evictions(self, now: float) -> Iterator[_decisions.Eviction]:
        yield from self._stop_cancelled()
        if not self._configuration.is_domain_in_service(self._domain):
            for worker in self._index.runs_by_worker:
                yield from self._empty(worker,
                                       _decisions.EvictionReason.DOMAIN_OUT)
            return
        for worker in sorted(self._leaving, key=self._index.get_serial):
            yield from self._empty(worker,
                                   _decisions.EvictionReason.WORKER_LEAVING)
        yield from self._usage.plan_memory_moves(now)
        yield from self._reclaimer.plan(now)
        yield from self._colocation.plan(now)

    def _stop_cancelled(self) -> Iterator[_decisions.Eviction]:
        for job_id in list(self._index.cancelled):
            entry = self._index.entries.get(job_id)
            if entry is None:
                del self._index.cancelled[job_id]
                continue
            for task in sorted(entry.job.live):
                run = self._index.get_run((job_id, task))
                yield _decisions.Eviction(
                    job_id, task, run.run, run.worker,
                    _decisions.EvictionAction.STOP,
                    _decisions.EvictionReason.JOB_CANCELLED)

    def _empty(
            self, worker: str,
            reason: _decisions.EvictionReason) -> Iterator[_decisions.Eviction]:
        for run in self._index.runs_by_worker.get(worker, {}).values():
            yield _decisions.Eviction(run.job_id, run.task, run.run, worker,
                                      _decisions.EvictionAction.MOVE, reason)

    def list_idle_jobs(self, limit: int) -> list[tuple[str, model.Resources]]:
        """Returns jobs without a live or planned run, for `plan_moves`.

        Args:
            limit: Most jobs to return.

        Returns:
            The newest jobs first, each with the resources of its unfinished
            tasks. Jobs that would wait elsewhere as well are left out.
        """
        idle: list[tuple[str, model.Resources]] = []
        for job_id in reversed(self._index.entries):
            entry = self._index.entries[job_id]
            if entry.may_queue and not entry.job.live and not entry.pending:
                size = entry.key.resources.times(entry.count_waiting())
                idle.append((job_id, size))
                if len(idle) >= limit:
                    break
        return idle

    def list_quarantined(self) -> list[str]:
        """Returns the workers that get only probes."""
        return self._quarantine.list_quarantined()

    def list_failing_jobs(self) -> list[_quarantine.FailingJob]:
        """Returns the jobs whose tasks fail wherever they run."""
        return self._quarantine.list_failing_jobs()

    def list_blocked_jobs(self) -> dict[str, _decisions.WaitReason]:
        """Returns the open jobs that run only after somebody acts."""
        return {
            job_id: entry.blocked or entry.paused
            for job_id, entry in self._index.entries.items()
            if (entry.blocked or entry.paused or _NOT_BLOCKED).code.is_permanent
        }

    def explain_job(self, job_id: str) -> _decisions.WaitReason:
        """Returns why tasks of the job wait."""
        entry = self._index.entries.get(job_id)
        codes = _decisions.WaitCode
        if entry is None:
            return _decisions.WaitReason(codes.NOT_OPEN,
                                         "the job is not open in this domain")
        if entry.is_cancelled:
            return _decisions.WaitReason(
                codes.CANCELLED,
                f"the job is cancelled; {len(entry.job.live)} tasks stop")
        if entry.blocked is not None:
            return entry.blocked
        if entry.paused is not None:
            return entry.paused
        waiting = entry.count_waiting()
        if waiting <= 0:
            return _decisions.WaitReason(codes.NOTHING_WAITS,
                                         "no task of the job waits")
        if not self._configuration.is_domain_in_service(self._domain):
            return _decisions.WaitReason(
                codes.DOMAIN_OUT, f"domain {self._domain!r} is out of service")
        request = _placement.PlacementRequest(job_id, entry.key.resources,
                                              entry.job.spec.is_watcher)
        if self.placement.choose(request, self._index.workers) is None:
            return _decisions.WaitReason(
                codes.NO_CAPACITY,
                f"{waiting} tasks wait; no worker has {entry.key.resources} "
                "free now")
        return _decisions.WaitReason(
            codes.QUEUED, f"{waiting} tasks wait for their turn in the queue")
