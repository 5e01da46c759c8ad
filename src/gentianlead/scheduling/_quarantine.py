"""Workers and jobs that fail, told apart by where else each succeeds."""

from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

FAILED = model.ReleaseReason.FAILED.value
"""Release reason of a run whose task failed."""

LOST = frozenset(
    (model.ReleaseReason.LEASE_EXPIRED.value, model.ReleaseReason.NOT_STARTED.value))
"""Release reasons that speak against the worker and not the job."""

BLAME_LIMIT = 3.0
"""Failures, weighted by how likely the worker caused them, that quarantine a
worker."""

SUCCESS_RATE_LIMIT = 0.3
"""Success rate above which a worker stays in use in spite of its failures."""

RECENT_GAIN = 0.3
"""Weight of the newest end in a worker's success rate: four failures in a row
bring it below the limit, however well the worker did before."""

FIRST_PROBE = 30.0
"""Seconds from quarantine to the first probe; doubles with each failure."""

LAST_PROBE = 1800.0
"""Longest time between probes in seconds."""

PROBES_TO_PASS = 2
"""Probes in a row that must succeed to end the quarantine."""

MAX_SHARE = 0.34
"""Share of the workers that may be in quarantine: beyond it the cause is
unlikely to be the workers, and the capacity is needed."""

JOB_WORKERS = 3
"""Distinct workers on which a job must fail to count as failing itself."""

JOB_SUCCESS_LIMIT = 0.1
"""Success rate below which such a job is failing."""

AVOIDANCE = 300.0
"""Seconds for which a job avoids a worker that one of its tasks failed on."""

FIRST_BACKOFF = 5.0
LAST_BACKOFF = 600.0
"""Shortest and longest time in seconds between tries of a failing job."""

_MEMORY = 600.0
_MAX_JOBS = 64


class _Tally:
    """Successes and failures, fading with time."""

    __slots__ = ("successes", "failures", "_at")

    def __init__(self, now: float) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self._at = now

    def add(self, has_succeeded: bool, now: float) -> None:
        """Counts an end of a run."""
        kept = 0.5**(max(0.0, now - self._at) / _MEMORY)
        self._at = now
        self.successes = self.successes * kept + has_succeeded
        self.failures = self.failures * kept + (not has_succeeded)


class FailingJob(NamedTuple):
    """A job whose tasks fail wherever they run.

    Attributes:
        job_id: Job.
        failures: Failures, recent ones in full.
        workers: Distinct workers on which it failed.
        next_try_at: Monotonic seconds of the next try.
    """

    job_id: str
    failures: float
    workers: int
    next_try_at: float


class _JobRecord:

    __slots__ = ("tally", "failed_on", "next_try_at", "backoff")

    def __init__(self, now: float) -> None:
        self.tally = _Tally(now)
        self.failed_on: dict[str, float] = {}
        self.next_try_at = 0.0
        self.backoff = FIRST_BACKOFF

    @property
    def is_failing(self) -> bool:
        """Whether the job, and not a worker, is the cause."""
        tally = self.tally
        rate = tally.successes / max(1.0, tally.successes + tally.failures)
        return (len(self.failed_on) >= JOB_WORKERS and rate < JOB_SUCCESS_LIMIT)


class _WorkerRecord:

    __slots__ = ("by_job", "lost", "lost_at", "probe_at", "interval", "passed",
                 "is_quarantined", "recent")

    def __init__(self, now: float) -> None:
        self.by_job: dict[str, _Tally] = {}
        self.lost = _Tally(now)
        self.lost_at = float("-inf")
        self.recent = 1.0
        self.probe_at = 0.0
        self.interval = FIRST_PROBE
        self.passed = 0
        self.is_quarantined = False


class Quarantine(state.DomainObserver):
    """Keeps work from workers that fail it, and slows jobs that always fail.

    A failure is blamed on the worker by the success rate that the job has on
    other workers. A job that succeeds nowhere therefore hardly counts against
    a worker, and one that succeeds elsewhere counts in full.
    """

    def __init__(self, fold: state.DomainFold, index: _domain_index.DomainIndex,
                 read_clock: Callable[[], float]):
        self._index = index
        self._read_clock = read_clock
        self._workers: dict[str, _WorkerRecord] = {}
        self._jobs: dict[str, _JobRecord] = {}
        self._quarantined: dict[str, _WorkerRecord] = {}
        self._failing: dict[str, _JobRecord] = {}
        fold.add_observer(self)

    def on_reset(self) -> None:
        for name, record in list(self._quarantined.items()):
            self._release(name, record)
        self._workers.clear()
        self._jobs.clear()
        self._failing.clear()

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._index.entries:
            self._jobs.pop(job_id, None)
            self._failing.pop(job_id, None)

    def on_worker_changed(self, worker: str) -> None:
        if worker not in self._index.workers.workers:
            record = self._workers.pop(worker, None)
            if record is not None and record.is_quarantined:
                self._release(worker, record)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        if reason not in LOST and reason not in (FAILED, state.FINISHED):
            return
        now = self._read_clock()
        record = self._workers.setdefault(run.worker, _WorkerRecord(now))
        has_succeeded = reason == state.FINISHED
        record.recent += RECENT_GAIN * (has_succeeded - record.recent)
        if has_succeeded:
            record.lost_at = float("-inf")
        if reason in LOST:
            record.lost.add(False, now)
            record.lost_at = now
        else:
            self._count_job(run, has_succeeded, record, now)
        if record.is_quarantined:
            self._judge_probe(run.worker, record, has_succeeded, now)
        elif not has_succeeded and self._is_worker_failing(record):
            self._put_in(run.worker, record, now)

    def _count_job(self, run: state.LiveRun, has_succeeded: bool,
                   worker: _WorkerRecord, now: float) -> None:
        if len(worker.by_job) >= _MAX_JOBS and run.job_id not in worker.by_job:
            del worker.by_job[next(iter(worker.by_job))]
        worker.by_job.setdefault(run.job_id,
                                 _Tally(now)).add(has_succeeded, now)
        job = self._jobs.setdefault(run.job_id, _JobRecord(now))
        job.tally.add(has_succeeded, now)
        if has_succeeded:
            job.failed_on.pop(run.worker, None)
        else:
            job.failed_on[run.worker] = now
        if job.is_failing:
            self._failing[run.job_id] = job
            job.next_try_at = now + job.backoff
            job.backoff = min(LAST_BACKOFF, 2 * job.backoff)
            self._pause(run.job_id, job)
        elif self._failing.pop(run.job_id, None) is not None:
            job.backoff = FIRST_BACKOFF
            self._resume(run.job_id)

    def _pause(self, job_id: str, job: _JobRecord) -> None:
        entry = self._index.entries[job_id]
        entry.paused = _decisions.WaitReason(
            _decisions.WaitCode.FAILS_EVERYWHERE,
            f"tasks failed on all of {len(job.failed_on)} workers tried; one "
            "task at a time is tried again; check the payload or cancel the "
            "job")
        self._index.requeue(entry)

    def _resume(self, job_id: str) -> None:
        entry = self._index.entries[job_id]
        entry.paused = None
        self._index.requeue(entry)

    def _compute_blame(self, record: _WorkerRecord) -> float:
        blame = record.lost.failures
        for job_id, here in record.by_job.items():
            job = self._jobs.get(job_id)
            elsewhere = 0.5
            if job is not None:
                successes = max(0.0, job.tally.successes - here.successes)
                failures = max(0.0, job.tally.failures - here.failures)
                elsewhere = (successes + 0.5) / (successes + failures + 1)
            # One job alone counts for less than the limit until it has
            # succeeded on another worker.
            blame += min(here.failures, BLAME_LIMIT + 1) * elsewhere
        return blame

    def _is_worker_failing(self, record: _WorkerRecord) -> bool:
        return (record.recent < SUCCESS_RATE_LIMIT and
                self._compute_blame(record) >= BLAME_LIMIT)

    def _put_in(self, name: str, record: _WorkerRecord, now: float) -> None:
        most = max(1, int(len(self._index.workers.workers) * MAX_SHARE))
        if len(self._quarantined) >= most:
            return
        record.is_quarantined = True
        record.passed = 0
        record.interval = FIRST_PROBE
        record.probe_at = now + record.interval
        self._quarantined[name] = record
        self._index.workers.exclude(name)

    def _judge_probe(self, name: str, record: _WorkerRecord,
                     has_succeeded: bool, now: float) -> None:
        if has_succeeded:
            record.passed += 1
            if record.passed >= PROBES_TO_PASS:
                self._release(name, record)
                self._workers[name] = _WorkerRecord(now)
            else:
                record.probe_at = now
            return
        record.passed = 0
        record.interval = min(LAST_PROBE, 2 * record.interval)
        record.probe_at = now + record.interval

    def _release(self, name: str, record: _WorkerRecord) -> None:
        record.is_quarantined = False
        self._quarantined.pop(name, None)
        self._index.workers.include(name)

    def list_quarantined(self) -> list[str]:
        """Returns the workers in quarantine."""
        return list(self._quarantined)

    def list_due_probes(self, now: float) -> list[str]:
        """Returns the workers in quarantine that may get one probe now."""
        return [
            name for name, record in self._quarantined.items() if
            now >= record.probe_at and not self._index.runs_by_worker.get(name)
        ]

    def note_probe(self, name: str, now: float) -> None:
        """Remembers that a probe was planned."""
        record = self._quarantined[name]
        record.probe_at = now + record.interval

    def list_due_tries(self, now: float) -> list[str]:
        """Returns failing jobs that may try one task now."""
        return [
            job_id for job_id, record in self._failing.items()
            if now >= record.next_try_at and self._index.entries[job_id].may_try
        ]

    def note_try(self, job_id: str, now: float) -> None:
        """Remembers that a try was planned."""
        self._failing[job_id].next_try_at = now + FIRST_BACKOFF

    def has_failed_on(self, job_id: str, worker: str) -> bool:
        """Returns whether a task of the job failed on the worker lately.

        A worker that lost its last run counts for every job: it may be
        unreachable, and a start order to it takes a whole lease to give up.
        """
        now = self._read_clock()
        record = self._jobs.get(job_id)
        failed_at = None if record is None else record.failed_on.get(worker)
        if failed_at is not None and now - failed_at < AVOIDANCE:
            return True
        known = self._workers.get(worker)
        return known is not None and now - known.lost_at < AVOIDANCE

    def list_failing_jobs(self) -> list[FailingJob]:
        """Returns the jobs that fail wherever they run."""
        return [
            FailingJob(job_id, record.tally.failures, len(record.failed_on),
                       record.next_try_at)
            for job_id, record in self._failing.items()
        ]
