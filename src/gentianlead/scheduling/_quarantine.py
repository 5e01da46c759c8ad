"""Quarantine of failing workers and backoff of failing jobs.

When a run fails, the success of the same job on other workers shows whether
the worker or the job is the cause.
"""

from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

FAILED_REASON = model.ReleaseReason.FAILED.value
"""Release reason of a run whose task failed."""

WORKER_FAULT_REASONS = frozenset((model.ReleaseReason.LEASE_EXPIRED.value,
                                  model.ReleaseReason.NOT_STARTED.value))
"""Release reasons that indicate a fault of the worker, not of the job."""

BLAME_LIMIT = 3.0
"""Failures after which a worker is quarantined. Each failure is weighted by the
likelihood that the worker caused it."""

SUCCESS_RATE_LIMIT = 0.3
"""Success rate from which a worker stays in use in spite of its failures."""

SUCCESS_RATE_GAIN = 0.3
"""Weight of the newest run in the moving average of a worker's success rate.
Four failures in a row bring any success rate below `SUCCESS_RATE_LIMIT`."""

FIRST_PROBE_DELAY = 30.0
"""Seconds from quarantine to the first probe; each failed probe doubles it."""

MAX_PROBE_DELAY = 1800.0
"""Maximum seconds between probes."""

PROBES_TO_PASS = 2
"""Consecutive successful probes that end the quarantine."""

MAX_QUARANTINED_SHARE = 0.34
"""Maximum share of the workers in quarantine. If more workers fail, the workers
are unlikely to be the cause, and their capacity is needed."""

MIN_FAILED_WORKERS = 3
"""Distinct workers on which a job must fail before the job is the cause."""

JOB_SUCCESS_RATE_LIMIT = 0.1
"""Success rate below which a job that fails on enough workers is failing."""

AVOIDANCE_TIME = 300.0
"""Seconds for which a job avoids a worker after a failure there."""

MIN_BACKOFF = 5.0
MAX_BACKOFF = 600.0
"""Minimum and maximum seconds between retries of a failing job."""

_COUNT_HALF_LIFE = 600.0
"""Seconds in which the counts of successes and failures decay by half."""

_MAX_JOBS_PER_WORKER = 64


class _DecayingCounts:
    """Counts successes and failures with exponential decay over time."""

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
    """A job whose tasks fail wherever they run.

    Attributes:
        job_id: Id of the job.
        failures: Number of failures; older ones count less.
        workers: Number of distinct workers on which the job failed.
        next_retry_at: Monotonic seconds from which one task may be retried.
    """

    job_id: str
    failures: float
    workers: int
    next_retry_at: float


class _JobRecord:
    """Failures of one job on all workers.

    Attributes:
        counts: Successful and failed runs of the job.
        failed_at_by_worker: Monotonic seconds of the last failure on each
            worker on which the job has not succeeded since.
        next_retry_at: Monotonic seconds from which one task may be retried.
        backoff: Seconds until the next retry if the job fails again.
    """

    __slots__ = ("counts", "failed_at_by_worker", "next_retry_at", "backoff")

    def __init__(self, now: float) -> None:
        self.counts = _DecayingCounts(now)
        self.failed_at_by_worker: dict[str, float] = {}
        self.next_retry_at = 0.0
        self.backoff = MIN_BACKOFF

    @property
    def is_failing(self) -> bool:
        """Whether the job itself, and not a worker, causes its failures."""
        counts = self.counts
        success_rate = counts.successes / max(
            1.0, counts.successes + counts.failures)
        return (len(self.failed_at_by_worker) >= MIN_FAILED_WORKERS and
                success_rate < JOB_SUCCESS_RATE_LIMIT)


class _WorkerRecord:
    """Failures of all jobs on one worker, and the state of its quarantine.

    Attributes:
        counts_by_job: Successful and failed runs of each job on the worker.
        lost_run_counts: Runs that ended for one of `WORKER_FAULT_REASONS`.
        last_lost_at: Monotonic seconds of the last lost run; negative infinity
            if a run has succeeded since.
        next_probe_at: Monotonic seconds from which the next probe may start.
        probe_interval: Seconds between probes.
        successful_probes: Consecutive successful probes.
        is_quarantined: Whether the worker is in quarantine.
        recent_success_rate: Moving average of the success of runs, from 0.0 to
            1.0.
    """

    __slots__ = ("counts_by_job", "lost_run_counts", "last_lost_at",
                 "next_probe_at", "probe_interval", "successful_probes",
                 "is_quarantined", "recent_success_rate")

    def __init__(self, now: float) -> None:
        self.counts_by_job: dict[str, _DecayingCounts] = {}
        self.lost_run_counts = _DecayingCounts(now)
        self.last_lost_at = float("-inf")
        self.recent_success_rate = 1.0
        self.next_probe_at = 0.0
        self.probe_interval = FIRST_PROBE_DELAY
        self.successful_probes = 0
        self.is_quarantined = False


class Quarantine(state.DomainObserver):
    """Excludes failing workers from placement and limits failing jobs.

    A quarantined worker gets only single probe tasks until enough of them
    succeed. A job that fails on every worker is paused and retries one task at
    a time, with exponential backoff. Each failure counts against its worker in
    proportion to the success rate of the job on other workers.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 index: _domain_index.DomainIndex, read_clock: Callable[[],
                                                                        float]):
        self._index = index
        self._read_clock = read_clock
        self._worker_records: dict[str, _WorkerRecord] = {}
        self._job_records: dict[str, _JobRecord] = {}
        self._quarantined_workers: dict[str, _WorkerRecord] = {}
        self._failing_jobs: dict[str, _JobRecord] = {}
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        for worker, worker_record in list(self._quarantined_workers.items()):
            self._end_quarantine(worker, worker_record)
        self._worker_records.clear()
        self._job_records.clear()
        self._failing_jobs.clear()

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._index.job_states:
            self._job_records.pop(job_id, None)
            self._failing_jobs.pop(job_id, None)

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._index.workers.workers:
            worker_record = self._worker_records.pop(worker, None)
            if worker_record is not None and worker_record.is_quarantined:
                self._end_quarantine(worker, worker_record)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        if reason not in WORKER_FAULT_REASONS and reason not in (
                FAILED_REASON, state.FINISHED_REASON):
            return
        now = self._read_clock()
        worker_record = self._worker_records.setdefault(run.worker,
                                                        _WorkerRecord(now))
        has_succeeded = reason == state.FINISHED_REASON
        worker_record.recent_success_rate += SUCCESS_RATE_GAIN * (
            has_succeeded - worker_record.recent_success_rate)
        if has_succeeded:
            worker_record.last_lost_at = float("-inf")
        if reason in WORKER_FAULT_REASONS:
            worker_record.lost_run_counts.count_run_end(False, now)
            worker_record.last_lost_at = now
        else:
            self._record_job_outcome(run, has_succeeded, worker_record, now)
        if worker_record.is_quarantined:
            self._record_probe_outcome(run.worker, worker_record, has_succeeded,
                                       now)
        elif not has_succeeded and self._is_worker_failing(worker_record):
            self._quarantine_worker(run.worker, worker_record, now)

    def _record_job_outcome(self, run: state.LiveRun, has_succeeded: bool,
                            worker_record: _WorkerRecord, now: float) -> None:
        if (len(worker_record.counts_by_job) >= _MAX_JOBS_PER_WORKER and
                run.job_id not in worker_record.counts_by_job):
            del worker_record.counts_by_job[next(
                iter(worker_record.counts_by_job))]
        worker_record.counts_by_job.setdefault(
            run.job_id, _DecayingCounts(now)).count_run_end(has_succeeded, now)
        job_record = self._job_records.setdefault(run.job_id, _JobRecord(now))
        job_record.counts.count_run_end(has_succeeded, now)
        if has_succeeded:
            job_record.failed_at_by_worker.pop(run.worker, None)
        else:
            job_record.failed_at_by_worker[run.worker] = now
        if job_record.is_failing:
            self._failing_jobs[run.job_id] = job_record
            job_record.next_retry_at = now + job_record.backoff
            job_record.backoff = min(MAX_BACKOFF, 2 * job_record.backoff)
            self._pause(run.job_id, job_record)
        elif self._failing_jobs.pop(run.job_id, None) is not None:
            job_record.backoff = MIN_BACKOFF
            self._resume(run.job_id)

    def _pause(self, job_id: str, job_record: _JobRecord) -> None:
        job_state = self._index.job_states[job_id]
        job_state.paused_reason = _decisions.WaitReason(
            _decisions.WaitCode.FAILS_EVERYWHERE,
            f"tasks failed on all of {len(job_record.failed_at_by_worker)} "
            "workers tried; one task at a time is retried; check the payload "
            "or cancel the job")
        self._index.update_queue_membership(job_state)

    def _resume(self, job_id: str) -> None:
        job_state = self._index.job_states[job_id]
        job_state.paused_reason = None
        self._index.update_queue_membership(job_state)

    def _compute_blame(self, worker_record: _WorkerRecord) -> float:
        blame = worker_record.lost_run_counts.failures
        for job_id, worker_counts in worker_record.counts_by_job.items():
            job_record = self._job_records.get(job_id)
            success_rate_elsewhere = 0.5
            if job_record is not None:
                successes = max(
                    0.0, job_record.counts.successes - worker_counts.successes)
                failures = max(
                    0.0, job_record.counts.failures - worker_counts.failures)
                success_rate_elsewhere = (successes + 0.5) / (successes +
                                                              failures + 1)
            # Caps the failures of each job, so that one job reaches the limit
            # only after it has succeeded on another worker.
            blame += min(worker_counts.failures,
                         BLAME_LIMIT + 1) * success_rate_elsewhere
        return blame

    def _is_worker_failing(self, worker_record: _WorkerRecord) -> bool:
        return (worker_record.recent_success_rate < SUCCESS_RATE_LIMIT and
                self._compute_blame(worker_record) >= BLAME_LIMIT)

    def _quarantine_worker(self, worker: str, worker_record: _WorkerRecord,
                           now: float) -> None:
        max_quarantined = max(
            1, int(len(self._index.workers.workers) * MAX_QUARANTINED_SHARE))
        if len(self._quarantined_workers) >= max_quarantined:
            return
        worker_record.is_quarantined = True
        worker_record.successful_probes = 0
        worker_record.probe_interval = FIRST_PROBE_DELAY
        worker_record.next_probe_at = now + worker_record.probe_interval
        self._quarantined_workers[worker] = worker_record
        self._index.workers.exclude(worker)

    def _record_probe_outcome(self, worker: str, worker_record: _WorkerRecord,
                              has_succeeded: bool, now: float) -> None:
        if has_succeeded:
            worker_record.successful_probes += 1
            if worker_record.successful_probes >= PROBES_TO_PASS:
                self._end_quarantine(worker, worker_record)
                self._worker_records[worker] = _WorkerRecord(now)
            else:
                worker_record.next_probe_at = now
            return
        worker_record.successful_probes = 0
        worker_record.probe_interval = min(MAX_PROBE_DELAY,
                                           2 * worker_record.probe_interval)
        worker_record.next_probe_at = now + worker_record.probe_interval

    def _end_quarantine(self, worker: str,
                        worker_record: _WorkerRecord) -> None:
        worker_record.is_quarantined = False
        self._quarantined_workers.pop(worker, None)
        self._index.workers.include(worker)

    def list_quarantined(self) -> list[str]:
        """Returns the workers in quarantine."""
        return list(self._quarantined_workers)

    def list_due_probes(self, now: float) -> list[str]:
        """Returns the quarantined workers that may run one probe task now."""
        return [
            worker
            for worker, worker_record in self._quarantined_workers.items()
            if now >= worker_record.next_probe_at and
            not self._index.runs_by_worker.get(worker)
        ]

    def record_probe(self, worker: str, now: float) -> None:
        """Schedules the next probe of a worker after one was planned."""
        worker_record = self._quarantined_workers[worker]
        worker_record.next_probe_at = now + worker_record.probe_interval

    def list_due_retries(self, now: float) -> list[str]:
        """Returns the failing jobs that may retry one task now."""
        return [
            job_id for job_id, job_record in self._failing_jobs.items()
            if now >= job_record.next_retry_at and
            self._index.job_states[job_id].may_retry
        ]

    def record_retry(self, job_id: str, now: float) -> None:
        """Schedules the next retry of a job after one was planned."""
        self._failing_jobs[job_id].next_retry_at = now + MIN_BACKOFF

    def has_recent_failure_on(self, job_id: str, worker: str) -> bool:
        """Returns whether the job should avoid the worker after a failure.

        If the last run on the worker was lost, every job avoids the worker: it
        may be unreachable, and a start order to an unreachable worker fails
        only when its lease expires.
        """
        now = self._read_clock()
        job_record = self._job_records.get(job_id)
        failed_at = (None if job_record is None else
                     job_record.failed_at_by_worker.get(worker))
        if failed_at is not None and now - failed_at < AVOIDANCE_TIME:
            return True
        worker_record = self._worker_records.get(worker)
        return (worker_record is not None and
                now - worker_record.last_lost_at < AVOIDANCE_TIME)

    def list_failing_jobs(self) -> list[FailingJob]:
        """Returns the jobs whose tasks fail wherever they run."""
        return [
            FailingJob(job_id, job_record.counts.failures,
                       len(job_record.failed_at_by_worker),
                       job_record.next_retry_at)
            for job_id, job_record in self._failing_jobs.items()
        ]
