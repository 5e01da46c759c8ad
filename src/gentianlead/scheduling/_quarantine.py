"""Quarantine of failing workers and backoff of failing jobs.

When a run fails, the success rate of the same job on other workers shows
whether the worker or the job is the likely cause.
"""

from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

FAILED_REASON = model.ReleaseReason.FAILED.value
"""Release reason of a run whose task failed."""

WORKER_FAULT_REASONS = model.CRASH_REASONS | {
    model.ReleaseReason.LEASE_EXPIRED.value,
    model.ReleaseReason.NOT_STARTED.value
}
"""Release reasons that indicate a fault of the worker and not of the job. A run
that ended for one of them is called a lost run here; `ReleaseReason.LOST` is
not among them."""

BLAME_LIMIT = 3.0
"""A worker is quarantined if the weighted sum of its failures is at least this
and its success rate is below `SUCCESS_RATE_LIMIT`. A failed run is weighted by
the success rate of its job on other workers, and a lost run counts as 1.0.
Older failures count less."""

SUCCESS_RATE_LIMIT = 0.3
"""A worker is not quarantined, in spite of its failures, if the success rate of
its recent runs is at least this."""

SUCCESS_RATE_GAIN = 0.3
"""Weight of the last ended run in the moving average that is a worker's success
rate. Four failures in a row bring any success rate below `SUCCESS_RATE_LIMIT`.
"""

FIRST_PROBE_DELAY = 30.0
"""Seconds from the start of a worker's quarantine until the first probe may
start. A probe is a single task that tests the worker. Each failed probe doubles
the delay before the next probe."""

MAX_PROBE_DELAY = 1800.0
"""Maximum seconds from a planned or failed probe until the next probe of the
worker may start."""

LASTING_PROBE_TIME = 600.0
"""Seconds from the planned start of a probe from which it counts as successful
although it still runs. The quarantine thus ends even if all tasks last long."""

PROBES_TO_PASS = 2
"""Consecutive successful probes that end the quarantine."""

MAX_QUARANTINED_SHARE = 0.34
"""Maximum share of the workers of the domain in quarantine; one worker is
always allowed. If more workers fail, the workers are unlikely to be the cause,
and their capacity is needed."""

MIN_FAILED_WORKERS = 3
"""A job is paused as failing if it has failed on at least this many workers,
without a later success on the same worker, and its success rate is also below
`JOB_SUCCESS_RATE_LIMIT`.
"""

JOB_SUCCESS_RATE_LIMIT = 0.1
"""Success rate of a job's runs below which the job is paused as failing, if it
also failed on `MIN_FAILED_WORKERS` workers or more."""

AVOIDANCE_TIME = 300.0
"""Seconds for which a job avoids a worker after it failed there, unless it has
succeeded there since. All jobs avoid a worker for the same time after a run was
lost there, unless a run of any job has succeeded there since."""

MIN_RETRY_BACKOFF = 5.0
MAX_RETRY_BACKOFF = 600.0
"""Minimum and maximum seconds from the end of a failing job's run until one of
its tasks may be retried. The time starts at the minimum and doubles with each
further run that ends while the job is failing."""

_COUNT_HALF_LIFE = 600.0
"""Seconds in which the counts of successes and failures decay by half."""

_MAX_COUNTED_JOBS_PER_WORKER = 64


class _DecayingCounts:
    """Counts successful and failed runs with exponential decay over time."""

    __slots__ = ("successes", "failures", "_updated_at")

    def __init__(self, now: float) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self._updated_at = now

    def count_run_end(self, has_succeeded: bool, now: float) -> None:
        """Counts a run that ended, after decaying the earlier counts."""
        decay_factor = 0.5**(max(0.0, now - self._updated_at) /
                             _COUNT_HALF_LIFE)
        self._updated_at = now
        self.successes = self.successes * decay_factor + has_succeeded
        self.failures = self.failures * decay_factor + (not has_succeeded)


class FailingJob(NamedTuple):
    """A job that is paused because its tasks fail on several workers.

    Attributes:
        job_id: Id of the job.
        decayed_failure_count: Number of failed runs, in which older runs count
            less; lost runs are not included.
        failed_worker_count: Number of workers on which the job has failed and
            not succeeded since.
        next_retry_at: Monotonic seconds from which one task may be retried.
    """

    job_id: str
    decayed_failure_count: float
    failed_worker_count: int
    next_retry_at: float


class _JobHealth:
    """Outcomes of one job's runs on all workers, and its retries.

    Attributes:
        run_counts: Counts of the job's successful and failed runs; lost runs
            are not included.
        failed_at_by_worker: Monotonic seconds of the last failure on each
            worker on which the job has not succeeded since.
        next_retry_at: Monotonic seconds from which one task may be retried.
        retry_backoff: Seconds from the end of the job's next run until one task
            may be retried, if the job is then failing.
    """

    __slots__ = ("run_counts", "failed_at_by_worker", "next_retry_at",
                 "retry_backoff")

    def __init__(self, now: float) -> None:
        self.run_counts = _DecayingCounts(now)
        self.failed_at_by_worker: dict[str, float] = {}
        self.next_retry_at = 0.0
        self.retry_backoff = MIN_RETRY_BACKOFF

    @property
    def is_failing(self) -> bool:
        """Whether the job itself is the likely cause of its failures.

        This is the case if it has failed on `MIN_FAILED_WORKERS` workers or
        more and its success rate is below `JOB_SUCCESS_RATE_LIMIT`.
        """
        run_counts = self.run_counts
        success_rate = run_counts.successes / max(
            1.0, run_counts.successes + run_counts.failures)
        return (len(self.failed_at_by_worker) >= MIN_FAILED_WORKERS and
                success_rate < JOB_SUCCESS_RATE_LIMIT)


class _WorkerHealth:
    """Outcomes of all jobs' runs on one worker, and its quarantine.

    Attributes:
        run_counts_by_job: Decaying counts of the successful and failed runs on
            the worker by job, for at most `_MAX_COUNTED_JOBS_PER_WORKER` jobs;
            lost runs are not included.
        lost_run_counts: Decaying counts, of which only `failures` is used: the
            number of runs that ended for one of `WORKER_FAULT_REASONS`.
        last_lost_run_at: Monotonic seconds at which the last lost run ended;
            negative infinity if there was none, or a run has succeeded since.
        next_probe_at: Monotonic seconds from which the next probe may start.
        probe_interval: Seconds from the start of the quarantine, a planned
            probe or a failed probe until the next probe may start; doubles with
            each failed probe, up to `MAX_PROBE_DELAY`.
        last_probe: Start of the last probe; None if it has counted.
        last_probe_at: Monotonic seconds at which `last_probe` was planned.
        successful_probe_count: Number of successful probes since the start of
            the quarantine or the last failed probe.
        is_quarantined: Whether the worker is in quarantine.
        recent_success_rate: Moving average over the ended runs, in which a
            success counts 1.0 and a failed or lost run 0.0.
    """

    __slots__ = ("run_counts_by_job", "lost_run_counts", "last_lost_run_at",
                 "next_probe_at", "probe_interval", "last_probe",
                 "last_probe_at", "successful_probe_count", "is_quarantined",
                 "recent_success_rate")

    def __init__(self, now: float) -> None:
        self.run_counts_by_job: dict[str, _DecayingCounts] = {}
        self.lost_run_counts = _DecayingCounts(now)
        self.last_lost_run_at = float("-inf")
        self.recent_success_rate = 1.0
        self.next_probe_at = 0.0
        self.probe_interval = FIRST_PROBE_DELAY
        self.last_probe: _decisions.PlannedStart | None = None
        self.last_probe_at = 0.0
        self.successful_probe_count = 0
        self.is_quarantined = False


class Quarantine(state.DomainObserver):
    """Excludes failing workers from placement and pauses failing jobs.

    A quarantined worker gets only single probe tasks until `PROBES_TO_PASS` in
    a row succeed. Other runs on the worker do not hinder a probe, because some
    never end. Each run that succeeds, fails or is lost on a quarantined
    worker counts as a probe, even one that began before the quarantine. A
    failed run counts against its worker in proportion to the success rate of
    the job on other workers. A lost run, which ended for one of
    `WORKER_FAULT_REASONS`, counts in full.

    A job is paused if it has failed on at least `MIN_FAILED_WORKERS` workers
    and its success rate is below `JOB_SUCCESS_RATE_LIMIT`; it then retries one
    task at a time, with exponential backoff.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 read_clock: Callable[[], float]):
        self._domain_index = domain_index
        self._read_clock = read_clock
        self._health_by_worker: dict[str, _WorkerHealth] = {}
        self._health_by_job: dict[str, _JobHealth] = {}
        self._quarantined_workers: dict[str, _WorkerHealth] = {}
        self._failing_jobs: dict[str, _JobHealth] = {}
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        for worker, worker_health in list(self._quarantined_workers.items()):
            self._end_quarantine(worker, worker_health)
        self._health_by_worker.clear()
        self._health_by_job.clear()
        self._failing_jobs.clear()

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._domain_index.job_states:
            self._health_by_job.pop(job_id, None)
            self._failing_jobs.pop(job_id, None)

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._domain_index.worker_index.workers:
            worker_health = self._health_by_worker.pop(worker, None)
            if worker_health is not None and worker_health.is_quarantined:
                self._end_quarantine(worker, worker_health)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        if reason not in WORKER_FAULT_REASONS and reason not in (
                FAILED_REASON, state.FINISHED_REASON):
            return
        now = self._read_clock()
        worker_health = self._health_by_worker.setdefault(
            run.worker, _WorkerHealth(now))
        has_succeeded = reason == state.FINISHED_REASON
        worker_health.recent_success_rate += SUCCESS_RATE_GAIN * (
            has_succeeded - worker_health.recent_success_rate)
        if has_succeeded:
            worker_health.last_lost_run_at = float("-inf")
        if reason in WORKER_FAULT_REASONS:
            worker_health.lost_run_counts.count_run_end(False, now)
            worker_health.last_lost_run_at = now
        else:
            self._record_job_outcome(run, has_succeeded, worker_health, now)
        if worker_health.is_quarantined:
            self._record_probe_outcome(run.worker, worker_health, has_succeeded,
                                       now)
        elif not has_succeeded and self._is_worker_failing(worker_health):
            self._quarantine_worker(run.worker, worker_health, now)

    def _record_job_outcome(self, run: state.LiveRun, has_succeeded: bool,
                            worker_health: _WorkerHealth, now: float) -> None:
        if (len(worker_health.run_counts_by_job) >= _MAX_COUNTED_JOBS_PER_WORKER
                and run.job_id not in worker_health.run_counts_by_job):
            del worker_health.run_counts_by_job[next(
                iter(worker_health.run_counts_by_job))]
        worker_health.run_counts_by_job.setdefault(
            run.job_id, _DecayingCounts(now)).count_run_end(has_succeeded, now)
        job_health = self._health_by_job.setdefault(run.job_id, _JobHealth(now))
        job_health.run_counts.count_run_end(has_succeeded, now)
        if has_succeeded:
            job_health.failed_at_by_worker.pop(run.worker, None)
        else:
            job_health.failed_at_by_worker[run.worker] = now
        if job_health.is_failing:
            self._failing_jobs[run.job_id] = job_health
            job_health.next_retry_at = now + job_health.retry_backoff
            job_health.retry_backoff = min(MAX_RETRY_BACKOFF,
                                           2 * job_health.retry_backoff)
            self._pause_job(run.job_id, job_health)
        elif self._failing_jobs.pop(run.job_id, None) is not None:
            job_health.retry_backoff = MIN_RETRY_BACKOFF
            self._resume_job(run.job_id)

    def _pause_job(self, job_id: str, job_health: _JobHealth) -> None:
        job_state = self._domain_index.job_states[job_id]
        job_state.paused_reason = _decisions.WaitReason(
            _decisions.WaitCode.FAILS_EVERYWHERE,
            f"tasks failed on all of {len(job_health.failed_at_by_worker)} "
            "workers tried; one task at a time is retried; check the payload "
            "or cancel the job")
        self._domain_index.update_queue_membership(job_state)

    def _resume_job(self, job_id: str) -> None:
        job_state = self._domain_index.job_states[job_id]
        job_state.paused_reason = None
        self._domain_index.update_queue_membership(job_state)

    def _compute_blame(self, worker_health: _WorkerHealth) -> float:
        blame = worker_health.lost_run_counts.failures
        for job_id, counts_on_worker in worker_health.run_counts_by_job.items():
            job_health = self._health_by_job.get(job_id)
            success_rate_elsewhere = 0.5
            if job_health is not None:
                successes_elsewhere = max(
                    0.0, job_health.run_counts.successes -
                    counts_on_worker.successes)
                failures_elsewhere = max(
                    0.0,
                    job_health.run_counts.failures - counts_on_worker.failures)
                success_rate_elsewhere = (successes_elsewhere + 0.5) / (
                    successes_elsewhere + failures_elsewhere + 1)
            # Caps the failures of each job, so that the failures of a single
            # job reach the limit only if it has succeeded on another worker.
            blame += min(counts_on_worker.failures,
                         BLAME_LIMIT + 1) * success_rate_elsewhere
        return blame

    def _is_worker_failing(self, worker_health: _WorkerHealth) -> bool:
        return (worker_health.recent_success_rate < SUCCESS_RATE_LIMIT and
                self._compute_blame(worker_health) >= BLAME_LIMIT)

    def _quarantine_worker(self, worker: str, worker_health: _WorkerHealth,
                           now: float) -> None:
        max_quarantined_workers = max(
            1,
            int(
                len(self._domain_index.worker_index.workers) *
                MAX_QUARANTINED_SHARE))
        if len(self._quarantined_workers) >= max_quarantined_workers:
            return
        worker_health.is_quarantined = True
        worker_health.successful_probe_count = 0
        worker_health.probe_interval = FIRST_PROBE_DELAY
        worker_health.next_probe_at = now + worker_health.probe_interval
        self._quarantined_workers[worker] = worker_health
        self._domain_index.worker_index.exclude(worker)

    def _record_probe_outcome(self, worker: str, worker_health: _WorkerHealth,
                              has_succeeded: bool, now: float) -> None:
        if has_succeeded:
            worker_health.successful_probe_count += 1
            if worker_health.successful_probe_count >= PROBES_TO_PASS:
                self._end_quarantine(worker, worker_health)
                self._health_by_worker[worker] = _WorkerHealth(now)
            else:
                worker_health.next_probe_at = now
            return
        worker_health.successful_probe_count = 0
        worker_health.probe_interval = min(MAX_PROBE_DELAY,
                                           2 * worker_health.probe_interval)
        worker_health.next_probe_at = now + worker_health.probe_interval

    def _end_quarantine(self, worker: str,
                        worker_health: _WorkerHealth) -> None:
        worker_health.is_quarantined = False
        self._quarantined_workers.pop(worker, None)
        self._domain_index.worker_index.include(worker)

    def list_quarantined(self) -> list[str]:
        """Returns the names of the workers in quarantine."""
        return list(self._quarantined_workers)

    def list_due_probes(self, now: float) -> list[str]:
        """Returns the quarantined workers that may run one probe task now.

        A worker whose last probe still runs is left out, until that probe has
        run for `LASTING_PROBE_TIME` and so counts as successful.
        """
        for worker, worker_health in list(self._quarantined_workers.items()):
            if (self._is_probe_live(worker_health) and
                    now - worker_health.last_probe_at >= LASTING_PROBE_TIME):
                worker_health.last_probe = None
                self._record_probe_outcome(worker, worker_health, True, now)
        return [
            worker
            for worker, worker_health in self._quarantined_workers.items()
            if now >= worker_health.next_probe_at and
            not self._is_probe_live(worker_health)
        ]

    def _is_probe_live(self, worker_health: _WorkerHealth) -> bool:
        probe = worker_health.last_probe
        if probe is None:
            return False
        run = self._domain_index.get_live_run(probe.task_key)
        return run is not None and run.run == probe.run

    def record_probe(self, probe: _decisions.PlannedStart, now: float) -> None:
        """Delays the next probe of a worker because a probe was planned now."""
        worker_health = self._quarantined_workers[probe.worker]
        worker_health.last_probe = probe
        worker_health.last_probe_at = now
        worker_health.next_probe_at = now + worker_health.probe_interval

    def list_due_retries(self, now: float) -> list[str]:
        """Returns the ids of the failing jobs that may retry one task now."""
        return [
            job_id for job_id, job_health in self._failing_jobs.items()
            if now >= job_health.next_retry_at and
            self._domain_index.job_states[job_id].may_retry
        ]

    def record_retry(self, job_id: str, now: float) -> None:
        """Delays the next retry of a job by `MIN_RETRY_BACKOFF` after `now`.

        The caller has planned a retry. If that retry fails, its failure sets a
        new delay.
        """
        self._failing_jobs[job_id].next_retry_at = now + MIN_RETRY_BACKOFF

    def has_recent_failure_on(self, job_id: str, worker: str) -> bool:
        """Returns whether the job should avoid the worker for now.

        This is the case if the job failed there within `AVOIDANCE_TIME` and has
        not succeeded there since. If any run was lost there within this time,
        and none has succeeded since, every job avoids the worker: it may be
        unreachable, and a start order to an unreachable worker fails only when
        its lease expires.
        """
        now = self._read_clock()
        job_health = self._health_by_job.get(job_id)
        failed_at = (None if job_health is None else
                     job_health.failed_at_by_worker.get(worker))
        if failed_at is not None and now - failed_at < AVOIDANCE_TIME:
            return True
        worker_health = self._health_by_worker.get(worker)
        return (worker_health is not None and
                now - worker_health.last_lost_run_at < AVOIDANCE_TIME)

    def list_failing_jobs(self) -> list[FailingJob]:
        """Returns the jobs that are paused because they fail."""
        return [
            FailingJob(job_id, job_health.run_counts.failures,
                       len(job_health.failed_at_by_worker),
                       job_health.next_retry_at)
            for job_id, job_health in self._failing_jobs.items()
        ]
