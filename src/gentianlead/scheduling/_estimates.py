"""Estimates of task resources and run times from observed runs."""

import math
from typing import NamedTuple

from gentianlead import model
from gentianlead import state

MEMORY_MARGIN = 1.2
"""Factor on the highest memory reported for any run of a job. It is larger than
`CPU_MARGIN`, because a task that exceeds its memory fails."""

CPU_MARGIN = 1.1
"""Factor on the quantile `CPU_QUANTILE` of the runs' peak processor usage. Too
few processors only slow a task down."""

CPU_QUANTILE = 0.9
"""Quantile of the peak processor usage of a job's runs on which the estimate
for processors is based. Higher peaks are ignored."""

HALF_TRUST_RUNS = 2.0
"""Number of settled runs at which observed usage below the declared size and
the declared size itself have equal weights in the estimate. With more settled
runs, the observed usage has more weight."""

SETTLED_AGE = 120.0
"""Age in seconds from which a run counts as settled, which means that its peak
usage is assumed to be known. Half of the expected run time applies instead if
that is longer. The first reports are too low, because usage grows while a task
loads its data."""

MIN_STABLE_TIME = 20.0
MIN_STABLE_AGE_SHARE = 0.25
"""A run counts as settled before `SETTLED_AGE` if its memory has not grown for
at least this many seconds and at least this share of the run's age. The share
keeps runs with slow but steady growth from counting as settled."""

NOTICEABLE_GROWTH = 0.02
"""Memory counts as grown again when the peak exceeds the peak at the last
counted growth by more than this share of it."""

MIN_ESTIMATE_SHARE = 0.05
"""Minimum estimate, as a share of the declared size."""

MIN_CHANGE_SHARE = 0.1
"""An estimate replaces the previous one, or the declared size if there is none,
only if at least one amount differs by more than this share, so that jobs with
equal sizes stay in one group of the queue. Also, an amount that would be at
most this share below the declared one is set to the declared one."""

RUN_TIME_MARGIN = 1.2
"""The expected run time of a task is the mean run time that was observed for
its job, multiplied by this factor."""

_MAX_RUNS_PER_JOB = 48


class _Peak(NamedTuple):
    """Peak usage that was reported for one run.

    Attributes:
        cpu_millis: Peak processor usage in thousandths of a core.
        memory_mib: Peak memory in MiB.
        is_settled: Whether the run's peak usage is assumed to be known.
        last_growth_memory_mib: Peak memory in MiB after it last grew by more
            than `NOTICEABLE_GROWTH`.
        last_growth_age: Age of the run in seconds at that growth.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    is_settled: bool = False
    last_growth_memory_mib: int = 0
    last_growth_age: float = 0.0

    def with_report(self, usage: model.Resources, run_age: float,
                    settled_age: float) -> "_Peak":
        """Returns the peak including one more usage report.

        Args:
            usage: Reported resources in use.
            run_age: Age of the run in seconds at the time of the report.
            settled_age: Age in seconds from which the run counts as settled
                even if its memory still grows. A settled run stays settled.
        """
        peak_memory_mib = max(self.memory_mib, usage.memory_mib)
        last_growth_memory_mib, last_growth_age = (self.last_growth_memory_mib,
                                                   self.last_growth_age)
        if peak_memory_mib > last_growth_memory_mib * (1 + NOTICEABLE_GROWTH):
            last_growth_memory_mib, last_growth_age = peak_memory_mib, run_age
        is_settled = (self.is_settled or run_age >= settled_age or
                      run_age - last_growth_age >= max(
                          MIN_STABLE_TIME, MIN_STABLE_AGE_SHARE * run_age))
        return _Peak(max(self.cpu_millis, usage.cpu_millis), peak_memory_mib,
                     is_settled, last_growth_memory_mib, last_growth_age)


class _JobUsage:
    """Observed usage and run times of one job.

    Attributes:
        peaks_by_run: Peak usage by task index and run number, for at most
            `_MAX_RUNS_PER_JOB` runs, those with the latest reports.
        estimate: Resources to claim per task; None until reports justify an
            estimate that differs from the declared size.
        mean_run_time: Mean run time of successful runs in seconds; recent runs
            count more once `run_time_count` has reached its maximum.
        run_time_count: Number of observed run times, at most
            `_MAX_RUNS_PER_JOB`.
    """

    __slots__ = ("peaks_by_run", "estimate", "mean_run_time", "run_time_count")

    def __init__(self) -> None:
        self.peaks_by_run: dict[tuple[int, int], _Peak] = {}
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
        self._usage_by_job: dict[str, _JobUsage] = {}

    def estimate_resources(self, spec: model.JobSpec) -> model.Resources:
        """Returns the resources to claim for a task of the job.

        These are the declared resources if there is no estimate.
        """
        job_usage = self._usage_by_job.get(spec.job_id)
        if job_usage is None or job_usage.estimate is None:
            return spec.resources
        return job_usage.estimate

    def estimate_run_time(self, spec: model.JobSpec) -> float:
        """Returns the expected run time of a task of the job, in seconds.

        The result is the mean observed run time with a margin, or the declared
        run time if none was observed. It is 0.0 if none was declared either.
        """
        job_usage = self._usage_by_job.get(spec.job_id)
        if job_usage is not None and job_usage.run_time_count:
            return job_usage.mean_run_time * RUN_TIME_MARGIN
        return spec.run_time_ms / 1000

    def record_usage(self, spec: model.JobSpec, run: state.LiveRun,
                     usage: model.Resources, run_age: float) -> bool:
        """Records the reported usage of a run.

        Args:
            spec: Job of the run.
            run: Run that was reported.
            usage: Resources in use.
            run_age: Age of the run in seconds at the time of the report.

        Returns:
            Whether the estimate of the job changed.
        """
        job_usage = self._usage_by_job.setdefault(spec.job_id, _JobUsage())
        run_key = (run.task, run.run)
        old_peak = job_usage.peaks_by_run.pop(run_key, _Peak())
        half_run_time = self.estimate_run_time(spec) / 2
        job_usage.peaks_by_run[run_key] = old_peak.with_report(
            usage, run_age, max(SETTLED_AGE, half_run_time))
        if len(job_usage.peaks_by_run) > _MAX_RUNS_PER_JOB:
            del job_usage.peaks_by_run[next(iter(job_usage.peaks_by_run))]
        if job_usage.peaks_by_run[
                run_key][:3] == old_peak[:3] and job_usage.estimate is not None:
            return False
        return self._update_estimate(spec, job_usage)

    def record_completion(self, spec: model.JobSpec, run: state.LiveRun,
                          run_time: float) -> bool:
        """Records the run time of a successful run.

        The run also counts as settled from now on if its usage was reported.

        Args:
            spec: Job of the run.
            run: Run that ended.
            run_time: Run time in seconds.

        Returns:
            Whether the estimate of the job changed.
        """
        job_usage = self._usage_by_job.setdefault(spec.job_id, _JobUsage())
        job_usage.run_time_count = min(job_usage.run_time_count + 1,
                                       _MAX_RUNS_PER_JOB)
        job_usage.mean_run_time += (
            run_time - job_usage.mean_run_time) / job_usage.run_time_count
        peak = job_usage.peaks_by_run.get((run.task, run.run))
        if peak is None or peak.is_settled:
            return False
        job_usage.peaks_by_run[(run.task,
                                run.run)] = peak._replace(is_settled=True)
        return self._update_estimate(spec, job_usage)

    def remove_job(self, job_id: str) -> None:
        """Removes the reported usage and run times of a closed job."""
        self._usage_by_job.pop(job_id, None)

    def _update_estimate(self, spec: model.JobSpec,
                         job_usage: _JobUsage) -> bool:
        estimate = _compute_estimate(spec.resources,
                                     list(job_usage.peaks_by_run.values()))
        previous_estimate = job_usage.estimate or spec.resources
        if all(
                abs(new_amount - old_amount) <= MIN_CHANGE_SHARE * old_amount
                for new_amount, old_amount in zip(estimate, previous_estimate)):
            return False
        job_usage.estimate = estimate
        return True


def _compute_estimate(declared_resources: model.Resources,
                      peaks: list[_Peak]) -> model.Resources:
    cpu_peaks = sorted(peak.cpu_millis for peak in peaks)
    quantile_cpu_millis = cpu_peaks[min(
        len(cpu_peaks) - 1, int(CPU_QUANTILE * len(cpu_peaks)))]
    max_memory_mib = max(peak.memory_mib for peak in peaks)
    settled_run_count = sum(peak.is_settled for peak in peaks)
    return model.Resources(
        _blend_with_declared(declared_resources.cpu_millis, quantile_cpu_millis,
                             CPU_MARGIN, settled_run_count),
        _blend_with_declared(declared_resources.memory_mib, max_memory_mib,
                             MEMORY_MARGIN, settled_run_count),
        declared_resources.accelerators)


def _blend_with_declared(declared_amount: int, observed_amount: int,
                         margin: float, settled_run_count: int) -> int:
    """Returns the estimated amount of processors or memory.

    An observed amount above the declared one is multiplied by the margin.
    Otherwise the estimate lies between the declared amount and the observed
    amount with its margin. It moves towards the observed amount as more runs
    settle, but not below `MIN_ESTIMATE_SHARE`, and never exceeds the declared
    amount, so that exact declarations are not inflated.
    """
    if observed_amount > declared_amount:
        return _round_up(observed_amount * margin)
    trusted_amount = min(float(declared_amount), observed_amount * margin)
    blended_amount = declared_amount + (trusted_amount -
                                        declared_amount) * settled_run_count / (
                                            settled_run_count + HALF_TRUST_RUNS)
    if blended_amount >= declared_amount * (1 - MIN_CHANGE_SHARE):
        return declared_amount
    return min(
        declared_amount,
        _round_up(max(blended_amount, MIN_ESTIMATE_SHARE * declared_amount)))


def _round_up(amount: float) -> int:
    """Rounds up to two significant digits; to an integer if at most 10."""
    if amount <= 10:
        return math.ceil(amount)
    rounding_step = 10**(int(math.log10(amount)) - 1)
    return math.ceil(amount / rounding_step) * rounding_step
