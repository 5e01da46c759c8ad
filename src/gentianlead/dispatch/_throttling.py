"""Throttles of best-effort tasks, set from latencies on the same worker.

A latency ratio is the tail latency of a latency-critical task divided by its
limit. A throttle is the share of its full speed, in percent, at which a
best-effort task may run.
"""

import math
from typing import NamedTuple

from gentianlead.dispatch import _interference
from gentianlead.dispatch import _workers

HIGH_LATENCY_RATIO = 0.9
"""The best-effort tasks of a worker are throttled while its highest latency
ratio is above this value."""

SEVERE_LATENCY_RATIO = 1.3
"""`SEVERE_THROTTLE_FACTOR` replaces `THROTTLE_FACTOR` while the highest latency
ratio of the worker is above this value."""

LOW_LATENCY_RATIO = 0.65
"""Throttles on a worker are raised while its highest latency ratio is below
this value."""

SAFE_LATENCY_RATIO = 0.8
"""A throttle is raised, or a best-effort task added, only if no latency ratio
of the worker is then predicted to be above this value."""

THROTTLE_FACTOR = 0.6
SEVERE_THROTTLE_FACTOR = 0.25
THROTTLE_RAISE_FACTOR = 1.5
THROTTLE_RAISE_STEP_PERCENT = 10
"""To lower a throttle, it is multiplied by `THROTTLE_FACTOR`, or by
`SEVERE_THROTTLE_FACTOR` above `SEVERE_LATENCY_RATIO`. To raise it, it is
multiplied by `THROTTLE_RAISE_FACTOR`, and `THROTTLE_RAISE_STEP_PERCENT`
percentage points are added."""

MIN_THROTTLE_PERCENT = 5
"""A throttle that would be lowered below this percentage becomes 0, which
pauses the tasks."""

MIN_THROTTLE_CHANGE_PERCENT = 5
"""Smallest change of a throttle, in percentage points, that is sent to the
worker. Smaller changes are sent only if the new throttle is 0 or 100."""

THROTTLE_EFFECT_DELAY_S = 0.5
"""Time in seconds until a change of a throttle shows in the tail latency. The
throttle of the image does not change again within this time."""

MIN_LATENCY_EFFECT = 0.03
"""A best-effort image is not throttled further if it is predicted to raise the
latency ratio by less than this value: the latency then comes from the load of
the latency-critical task. The rule does not hold for an image that was not yet
observed beside each latency-critical image of the worker."""

MIN_LATENCY_EFFECT_SHARE = 0.25
"""A best-effort image is not throttled further if its predicted effect is less
than this share of the largest predicted effect of any image on the worker. The
same images as for `MIN_LATENCY_EFFECT` are exempt from the rule."""


def compute_latency_ratios(worker: _workers.WorkerState) -> dict[str, float]:
    """Returns the highest latency ratio by latency-critical image on a worker.

    Tasks that are not ready, or without a latency in the last status report,
    are left out.
    """
    latency_ratios: dict[str, float] = {}
    for run in worker.runs.values():
        limit_ms = run.step.tail_latency_limit_ms
        if (limit_ms and run.latency_ms_or_cpu_millis is not None and
                run.progress_percent >= 100):
            latency_ratio = run.latency_ms_or_cpu_millis / limit_ms
            latency_ratios[run.step.image] = max(
                latency_ratio, latency_ratios.get(run.step.image, 0.0))
    return latency_ratios


def compute_best_effort_cpu_shares(
        worker: _workers.WorkerState) -> dict[str, float]:
    """Returns the share of a worker's CPU that each best-effort image uses.

    The use is that of the last status report.
    """
    capacity_cpu_millis = max(1, worker.entry.cpu_millis)
    cpu_shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.is_best_effort:
            image = run.step.image
            cpu_shares[image] = (
                cpu_shares.get(image, 0.0) +
                (run.latency_ms_or_cpu_millis or 0) / capacity_cpu_millis)
    return cpu_shares


def update_throttles(worker: _workers.WorkerState,
                     interference: _interference.InterferenceModel,
                     now: float) -> None:
    """Updates the interference model and a worker's throttles.

    Called after the values of a status report were stored in its runs. The
    throttles stay as they are while the highest latency ratio is between
    `LOW_LATENCY_RATIO` and `HIGH_LATENCY_RATIO`. All are lifted if the worker
    has no latency ratio.
    """
    latency_ratios = compute_latency_ratios(worker)
    cpu_shares = compute_best_effort_cpu_shares(worker)
    worker.latency_ratios = latency_ratios
    sample_duration_s = worker.best_effort_usage.update(cpu_shares, now)
    if latency_ratios and worker.best_effort_usage.cpu_shares:
        interference.add_sample(latency_ratios,
                                worker.best_effort_usage.cpu_shares,
                                sample_duration_s)
    best_effort_images = {
        run.step.image
        for run in worker.runs.values()
        if run.step.is_best_effort
    }
    worker.throttles = {
        image: throttle_percent
        for image, throttle_percent in worker.throttles.items()
        if image in best_effort_images
    }
    if not latency_ratios:
        worker.throttles.clear()
        return
    highest_latency_ratio = max(latency_ratios.values())
    if highest_latency_ratio > HIGH_LATENCY_RATIO:
        _lower_throttles(worker, interference, cpu_shares,
                         highest_latency_ratio, now)
    elif highest_latency_ratio < LOW_LATENCY_RATIO:
        _raise_throttles(worker, interference, cpu_shares, now)


def _lower_throttles(worker: _workers.WorkerState,
                     interference: _interference.InterferenceModel,
                     cpu_shares: dict[str, float], highest_latency_ratio: float,
                     now: float) -> None:
    predicted_effects = {
        image:
            max((interference.get_coefficient(latency_critical_image, image) *
                 share for latency_critical_image, latency_ratio in worker.
                 latency_ratios.items() if latency_ratio > HIGH_LATENCY_RATIO),
                default=0.0) for image, share in cpu_shares.items()
    }
    largest_effect = max(predicted_effects.values(), default=0.0)
    throttle_factor = (SEVERE_THROTTLE_FACTOR if highest_latency_ratio
                       > SEVERE_LATENCY_RATIO else THROTTLE_FACTOR)
    for image, predicted_effect in predicted_effects.items():
        is_observed = all(
            interference.is_observed(latency_critical_image, image)
            for latency_critical_image in worker.latency_ratios)
        if is_observed and predicted_effect < max(
                MIN_LATENCY_EFFECT, MIN_LATENCY_EFFECT_SHARE * largest_effect):
            continue
        if now - worker.throttle_changed_at.get(
                image, -THROTTLE_EFFECT_DELAY_S) < THROTTLE_EFFECT_DELAY_S:
            continue
        throttle_percent = int(
            worker.throttles.get(image, 100) * throttle_factor)
        worker.throttles[image] = (0 if throttle_percent < MIN_THROTTLE_PERCENT
                                   else throttle_percent)
        worker.throttle_changed_at[image] = now


def _raise_throttles(worker: _workers.WorkerState,
                     interference: _interference.InterferenceModel,
                     cpu_shares: dict[str, float], now: float) -> None:
    for image, throttle_percent in list(worker.throttles.items()):
        if now - worker.throttle_changed_at.get(
                image, -THROTTLE_EFFECT_DELAY_S) < THROTTLE_EFFECT_DELAY_S:
            continue
        raised_throttle_percent = min(
            100,
            int(throttle_percent * THROTTLE_RAISE_FACTOR) +
            THROTTLE_RAISE_STEP_PERCENT)
        unthrottled_cpu_share = compute_unthrottled_cpu_share(worker, image)
        cpu_share_increase = max(
            0.0, unthrottled_cpu_share * raised_throttle_percent / 100 -
            cpu_shares.get(image, 0.0))
        is_safe = all(
            latency_ratio +
            interference.get_coefficient(latency_critical_image, image) *
            cpu_share_increase <= SAFE_LATENCY_RATIO for latency_critical_image,
            latency_ratio in worker.latency_ratios.items())
        if not is_safe:
            continue
        worker.throttle_changed_at[image] = now
        if raised_throttle_percent >= 100:
            del worker.throttles[image]
        else:
            worker.throttles[image] = raised_throttle_percent


def compute_unthrottled_cpu_share(worker: _workers.WorkerState,
                                  image: str) -> float:
    """Returns the share of a worker's CPU that the tasks of an image declare.

    The best-effort tasks of the image use this share at full speed.
    """
    capacity_cpu_millis = max(1, worker.entry.cpu_millis)
    return sum(run.step.cpu_millis for run in worker.runs.values() if run.step.
               is_best_effort and run.step.image == image) / capacity_cpu_millis


def may_add_best_effort(worker: _workers.WorkerState,
                        interference: _interference.InterferenceModel,
                        image: str, cpu_millis: int) -> bool:
    """Returns whether a best-effort task may join the tasks of a worker.

    It always may if the worker has no latency-critical tasks. Otherwise its
    image must not be throttled there, and the predicted latency ratios must
    stay at or below `SAFE_LATENCY_RATIO`. While its image was not observed long
    enough beside each latency-critical image, only one task of it is allowed.
    """
    if not worker.latency_critical_images:
        return True
    margins = compute_latency_margins(worker, interference)
    return cpu_millis <= compute_addable_cpu(worker, interference, image,
                                             margins)


class LatencyMargins(NamedTuple):
    """What limits the best-effort tasks that may join the tasks of a worker.

    Attributes:
        margins: Latency ratio by which each latency-critical image of the
            worker may still rise; negative if it is already too high.
        best_effort_counts: Number of best-effort runs by image.
    """

    margins: dict[str, float]
    best_effort_counts: dict[str, int]


def compute_latency_margins(
        worker: _workers.WorkerState,
        interference: _interference.InterferenceModel) -> LatencyMargins:
    """Computes what is the same for all images that may join a worker.

    The load of a group asks this for dozens of images on each worker.
    """
    capacity_cpu_millis = max(1, worker.entry.cpu_millis)
    # Share of the worker's CPU that best-effort runs declare, by image, for
    # runs without CPU use in the last status report.
    unreported_shares: dict[str, float] = {}
    best_effort_counts: dict[str, int] = {}
    for run in worker.runs.values():
        if run.step.is_best_effort:
            image = run.step.image
            best_effort_counts[image] = best_effort_counts.get(image, 0) + 1
            if not run.latency_ms_or_cpu_millis:
                unreported_shares[image] = (
                    unreported_shares.get(image, 0.0) +
                    run.step.cpu_millis / capacity_cpu_millis)
    margins = {
        latency_critical_image:
            SAFE_LATENCY_RATIO -
            worker.latency_ratios.get(latency_critical_image, 0.0) -
            interference.predict(latency_critical_image, unreported_shares)
        for latency_critical_image in worker.latency_critical_images
    }
    return LatencyMargins(margins, best_effort_counts)


def compute_addable_cpu(worker: _workers.WorkerState,
                        interference: _interference.InterferenceModel,
                        image: str, margins: LatencyMargins) -> float:
    """Returns the CPU of the largest task that `may_add_best_effort` allows.

    The result is in thousandths of a core, infinite if interference sets no
    limit, and negative if no task may join.

    Args:
        worker: The worker.
        interference: Estimated interference between images.
        image: Image of the task.
        margins: Result of `compute_latency_margins` for the worker.
    """
    if not margins.margins:
        return math.inf
    if worker.throttles.get(image, 100) < 100:
        return -1.0
    has_same_image = image in margins.best_effort_counts
    addable_share = math.inf
    for latency_critical_image, margin in margins.margins.items():
        if margin < 0 or (has_same_image and not interference.is_observed(
                latency_critical_image, image)):
            return -1.0
        coefficient = interference.get_coefficient(latency_critical_image,
                                                   image)
        if coefficient > 0:
            addable_share = min(addable_share, margin / coefficient)
    return addable_share * max(1, worker.entry.cpu_millis)
