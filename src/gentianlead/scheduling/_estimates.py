"""Estimates of task resources and run times from observed runs."""

import math
from typing import NamedTuple

from gentianlead import model
from gentianlead import state

MEMORY_MARGIN = 1.2
"""Factor on the highest reported memory. The margin is larger than for
processors, because a task that exceeds its memory fails."""

CPU_MARGIN = 1.1
"""Factor on the 90th percentile of processor usage. Too few processors only
slow a task down."""

CPU_QUANTILE = 0.9
"""Quantile of the peak processor usage of runs that the estimate covers."""

HALF_TRUST_RUNS = 2.0
"""Number of settled runs at which an estimate below the declared size gets half
of the weight."""

SETTLED_AGE = 120.0
"""Age in seconds at which a run counts as settled: its peak usage is assumed to
be known. Half of the expected run time applies if that is longer. The first
reports are too low, because usage grows while a task loads its data."""

MIN_STABLE_TIME = 20.0
MIN_STABLE_AGE_SHARE = 0.25
"""Seconds, and share of the age of a run, for which its memory must not grow
for the run to count as settled before `SETTLED_AGE`. The share keeps runs with
slow but steady growth from counting as settled."""

NOTICEABLE_GROWTH = 0.02
"""Growth of memory, as a share, above which a run still counts as growing."""

MIN_ESTIMATE_SHARE = 0.05
"""Lowest estimate as a share of the declared size."""

MIN_CHANGE_SHARE = 0.1
"""An estimate changes only if it differs from the previous one by more than
this share, so that jobs with equal sizes stay in one group of the queue."""

RUN_TIME_MARGIN = 1.2
"""Factor on the mean run time of a job."""

_MAX_RUNS_PER_JOB = 48


class _Peak(NamedTuple):
    """Peak usage of a run.

    Attributes:
        cpu_millis: Peak processor usage in thousandths of a core.
        memory_mib: Peak memory in MiB.
        is_settled: Whether the peak is assumed to be final.
        last_growth_mib: Memory in MiB after the last noticeable growth.
        last_growth_age: Age of the run in seconds at the last noticeable
            growth.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    is_settled: bool = False
    last_growth_mib: int = 0
    last_growth_age: float = 0.0

    def update(self, usage: model.Resources, age: float,
               settled_age: float) -> "_Peak":
        """Returns the peak including usage reported at an age of the run."""
        memory = max(self.memory_mib, usage.memory_mib)
        last_growth_mib, last_growth_age = (self.last_growth_mib,
                                            self.last_growth_age)
        if memory > last_growth_mib * (1 + NOTICEABLE_GROWTH):
            last_growth_mib, last_growth_age = memory, age
        is_settled = (self.is_settled or
                      age >= settled_age or age - last_growth_age >= max(
                          MIN_STABLE_TIME, MIN_STABLE_AGE_SHARE * age))
        return _Peak(max(self.cpu_millis, usage.cpu_millis), memory, is_settled,
                     last_growth_mib, last_growth_age)


class _JobUsage:
    """Observed usage and run times of one job.

    Attributes:
        peaks: Peak usage of the most recent runs, by task and run number.
        estimate: Resources to claim per task; None before the first report.
        mean_run_time: Mean run time of successful runs, in seconds.
        run_time_count: Number of run times in the mean, up to
            `_MAX_RUNS_PER_JOB`.
    """

    __slots__ = ("peaks", "estimate", "mean_run_time", "run_time_count")

    def __init__(self) -> None:
        self.peaks: dict[tuple[int, int], _Peak] = {}
        self.estimate: model.Resources | None = None
        self.mean_run_time = 0.0
        self.run_time_count = 0


class SizeEstimator:
    """Estimates the resources to claim for tasks, and their run times.

    Declared sizes are hints. Usage above the declared size raises the estimate
    at once. Usage below it lowers the estimate gradually, as more runs of the
    job confirm it.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _JobUsage] = {}

    def estimate_resources(self, spec: model.JobSpec) -> model.Resources:
        """Returns the resources to claim for a task of the job."""
        job_usage = self._jobs.get(spec.job_id)
        if job_usage is None or job_usage.estimate is None:
            return spec.resources
        return job_usage.estimate

    def estimate_run_time(self, spec: model.JobSpec) -> float:
        """Returns the expected run time with a margin, in seconds.

        Returns 0.0 if no run time was observed or declared.
        """
        job_usage = self._jobs.get(spec.job_id)
        if job_usage is not None and job_usage.run_time_count:
            return job_usage.mean_run_time * RUN_TIME_MARGIN
        return spec.run_time_ms / 1000

    def observe(self, spec: model.JobSpec, run: state.LiveRun,
                usage: model.Resources, age: float) -> bool:
        """Records the reported usage of a run.

        Args:
            spec: Job of the run.
            run: Run that was reported.
            usage: Resources in use.
            age: Age of the run in seconds at the time of the report.

        Returns:
            Whether the estimate of the job changed.
        """
        job_usage = self._jobs.setdefault(spec.job_id, _JobUsage())
        key = (run.task, run.run)
        old_peak = job_usage.peaks.pop(key, _Peak())
        half_run_time = self.estimate_run_time(spec) / 2
        job_usage.peaks[key] = old_peak.update(usage, age,
                                               max(SETTLED_AGE, half_run_time))
        if len(job_usage.peaks) > _MAX_RUNS_PER_JOB:
            del job_usage.peaks[next(iter(job_usage.peaks))]
        if job_usage.peaks[
                key][:3] == old_peak[:3] and job_usage.estimate is not None:
            return False
        return self._update_estimate(spec, job_usage)

    def observe_completion(self, spec: model.JobSpec, run: state.LiveRun,
                           run_time: float) -> bool:
        """Records the run time of a successful run and marks it as settled.

        Args:
            spec: Job of the run.
            run: Run that ended.
            run_time: Run time in seconds.

        Returns:
            Whether the estimate of the job changed.
        """
        job_usage = self._jobs.setdefault(spec.job_id, _JobUsage())
        job_usage.run_time_count = min(job_usage.run_time_count + 1,
                                       _MAX_RUNS_PER_JOB)
        job_usage.mean_run_time += (
            run_time - job_usage.mean_run_time) / job_usage.run_time_count
        peak = job_usage.peaks.get((run.task, run.run))
        if peak is None or peak.is_settled:
            return False
        job_usage.peaks[(run.task, run.run)] = peak._replace(is_settled=True)
        return self._update_estimate(spec, job_usage)

    def remove_job(self, job_id: str) -> None:
        """Removes the data of a closed job."""
        self._jobs.pop(job_id, None)

    def _update_estimate(self, spec: model.JobSpec,
                         job_usage: _JobUsage) -> bool:
        estimate = _compute_estimate(spec.resources,
                                     list(job_usage.peaks.values()))
        previous = job_usage.estimate or spec.resources
        if all(
                abs(new - old) <= MIN_CHANGE_SHARE * old
                for new, old in zip(estimate, previous)):
            return False
        job_usage.estimate = estimate
        return True


def _compute_estimate(declared: model.Resources,
                      peaks: list[_Peak]) -> model.Resources:
    cpu_peaks = sorted(peak.cpu_millis for peak in peaks)
    high_cpu = cpu_peaks[min(
        len(cpu_peaks) - 1, int(CPU_QUANTILE * len(cpu_peaks)))]
    max_memory = max(peak.memory_mib for peak in peaks)
    settled_runs = sum(peak.is_settled for peak in peaks)
    return model.Resources(
        _blend_with_declared(declared.cpu_millis, high_cpu, CPU_MARGIN,
                             settled_runs),
        _blend_with_declared(declared.memory_mib, max_memory, MEMORY_MARGIN,
                             settled_runs), declared.accelerators)


def _blend_with_declared(declared: int, observed: int, margin: float,
                         settled_runs: int) -> int:
    """Returns the estimate for processors or memory.

    Observed usage within the declared amount gets no margin beyond it, so that
    exact declarations are not inflated.
    """
    if observed > declared:
        return _round_up(observed * margin)
    trusted_estimate = min(float(declared), observed * margin)
    estimate = declared + (trusted_estimate - declared) * settled_runs / (
        settled_runs + HALF_TRUST_RUNS)
    if estimate >= declared * (1 - MIN_CHANGE_SHARE):
        return declared
    return min(declared, _round_up(max(estimate,
                                       MIN_ESTIMATE_SHARE * declared)))


def _round_up(amount: float) -> int:
    """Rounds up to two significant digits."""
    if amount <= 10:
        return math.ceil(amount)
    step = 10**(int(math.log10(amount)) - 1)
    return math.ceil(amount / step) * step
