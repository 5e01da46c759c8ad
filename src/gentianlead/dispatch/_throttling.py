"""Throttles of best-effort tasks, set from latencies on the same worker.

A latency ratio is the tail latency of a latency-critical task divided by its
limit. A throttle is the share of its full speed, in percent, at which a
best-effort task may run. See `_interference` for load, stretch and base
latency.
"""

import enum
import math
from typing import NamedTuple

from gentianlead.dispatch import _interference
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers

SAFE_LATENCY_RATIO = 0.8
"""Latency ratio up to which best-effort tasks may raise the tail latency of a
task on their worker."""

LOAD_MARGIN = 1.15
"""Factor by which the load of a latency-critical task may rise until the next
throttles take effect, half a second later."""

NEGLIGIBLE_STRETCH = 0.06
"""A best-effort image is not throttled if its effect on the utilization of each
latency-critical task is at most this: the estimates are no more exact."""

MIN_THROTTLE_PERCENT = 5
"""A throttle below this percentage becomes 0, which pauses the tasks."""

MIN_THROTTLE_CHANGE_PERCENT = 5
"""Smallest change of a throttle, in percentage points, that is sent to the
worker. Smaller changes are sent only if the new throttle is 0 or 100."""

MIN_THROTTLE_RAISE_FACTOR = 1.25
"""A throttle is raised only by at least this factor, unless to 100: each change
is a call to the worker for each task."""

THROTTLE_EFFECT_DELAY_S = 0.5
"""Time in seconds until a change of a throttle shows in the tail latency. The
throttle of an image is not raised again within this time."""

OVERLOAD_DELAY_S = 1.0
"""All best-effort tasks of a worker are paused, and no other ones start there,
if the tail latency of a task has been above its limit for this time in seconds
in spite of the throttles."""

OVERLOAD_IDLE_S = 1.5
"""The pause ends if best-effort tasks have used no CPU for this time in seconds
and the tail latency is still too high: it comes from the task's own load."""

MIN_START_SPEED = 0.6
"""A best-effort task starts beside latency-critical ones only if it can run
with at least this share of its full speed there."""


def compute_latency_ratios(worker: _workers.WorkerState) -> dict[str, float]:
    """Returns the highest latency ratio by latency-critical image on a worker.

    Tasks that are not ready, or without a latency in the last status report,
    are left out.
    """
    latency_ratios: dict[str, float] = {}
    for run in _list_measured_runs(worker):
        latency_ratio = (run.latency_ms_or_cpu_millis /
                         run.step.tail_latency_limit_ms)
        latency_ratios[run.step.image] = max(
            latency_ratio, latency_ratios.get(run.step.image, 0.0))
    return latency_ratios


def _list_measured_runs(worker: _workers.WorkerState) -> list[_task_runs.Run]:
    """Returns the latency-critical runs that are ready and have a latency."""
    return [
        run for run in worker.runs.values()
        if run.step.tail_latency_limit_ms and
        run.latency_ms_or_cpu_millis is not None and run.progress_percent >= 100
    ]


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

    Called after the values of a status report were stored in its runs.
    """
    interference.age(now)
    worker.latency_ratios = compute_latency_ratios(worker)
    sample_duration_s = worker.best_effort_usage.update(
        compute_best_effort_cpu_shares(worker), now)
    for run in _list_measured_runs(worker):
        if run.load_tracker is None:
            run.load_tracker = _interference.LoadTracker()
        interference.add_sample(
            run.load_tracker,
            _interference.LatencySample(run.step.image,
                                        run.latency_ms_or_cpu_millis,
                                        run.step.tail_latency_limit_ms),
            worker.best_effort_usage.cpu_shares, sample_duration_s)
        if run.latency_ms_or_cpu_millis <= run.step.tail_latency_limit_ms:
            run.over_limit_since = None
        elif run.over_limit_since is None:
            run.over_limit_since = now
    targets = _compute_target_throttles(worker, interference)
    worker.is_overloaded = _is_overloaded(worker, now)
    if worker.is_overloaded:
        targets = dict.fromkeys(targets, 0)
    for image in list(worker.throttles):
        if image not in targets:
            del worker.throttles[image]
    for image, target_percent in targets.items():
        throttle_percent = worker.throttles.get(image, 100)
        if target_percent > throttle_percent:
            is_due = (now - worker.throttle_changed_at.get(
                image, -THROTTLE_EFFECT_DELAY_S) >= THROTTLE_EFFECT_DELAY_S)
            if not is_due or (target_percent < 100 and target_percent
                              < MIN_THROTTLE_RAISE_FACTOR * throttle_percent):
                continue
        _set_throttle(worker, image, target_percent, now)


def _is_overloaded(worker: _workers.WorkerState, now: float) -> bool:
    """Returns whether all best-effort tasks of a worker have to pause."""
    return (now - worker.best_effort_usage.used_at < OVERLOAD_IDLE_S and
            any(now - run.over_limit_since >= OVERLOAD_DELAY_S
                for run in _list_measured_runs(worker)
                if run.over_limit_since is not None))


def lower_throttles(worker: _workers.WorkerState,
                    interference: _interference.InterferenceModel,
                    now: float) -> None:
    """Lowers the throttles of a worker on which a task is about to start."""
    targets = _compute_target_throttles(worker, interference)
    for image, target_percent in targets.items():
        if target_percent < worker.throttles.get(image, 100):
            _set_throttle(worker, image, target_percent, now)


def _set_throttle(worker: _workers.WorkerState, image: str,
                  throttle_percent: int, now: float) -> None:
    if throttle_percent == worker.throttles.get(image, 100):
        return
    worker.throttle_changed_at[image] = now
    if throttle_percent >= 100:
        del worker.throttles[image]
    else:
        worker.throttles[image] = throttle_percent


def _compute_target_throttles(
        worker: _workers.WorkerState,
        interference: _interference.InterferenceModel) -> dict[str, int]:
    """Returns the throttle in percent that each best-effort image should have.

    With these throttles, the tail latency of no latency-critical task is
    predicted to exceed `SAFE_LATENCY_RATIO` by the effect of best-effort tasks
    that is not negligible.
    """
    full_shares = compute_declared_cpu_shares(worker, {})
    speeds = dict.fromkeys(full_shares, 1.0)
    for run in _list_measured_runs(worker):
        # A trial of a pair of which little is known ends near the limit.
        is_safe = (run.latency_ms_or_cpu_millis
                   <= SAFE_LATENCY_RATIO * run.step.tail_latency_limit_ms)
        coefficients = {
            image:
                interference.get_coefficient(run.step.image, image) if
                is_safe or interference.is_observed(run.step.image, image) else
                interference.get_expected_coefficient(run.step.image, image)
            for image in full_shares
        }
        budget = compute_stretch_budget(run, interference)
        for image, speed in _divide_stretch(coefficients, full_shares,
                                            budget).items():
            speeds[image] = min(speeds[image], speed)
    return {
        image: 0 if 100 * speed < MIN_THROTTLE_PERCENT else int(100 * speed)
        for image, speed in speeds.items()
    }


def _divide_stretch(coefficients: dict[str, float], shares: dict[str, float],
                    budget: float) -> dict[str, float]:
    """Returns at which share of its full speed each image keeps a budget.

    The images with the highest coefficients are slowed down first, one after
    the other: the others do the most work within the budget. Besides, images
    that are always slowed down together could not be told apart.

    Args:
        coefficients: Coefficient of each best-effort image.
        shares: Share of the worker's CPU that each image uses at full speed.
        budget: Stretch that all images together may cause.
    """
    speeds = {}
    total = sum(coefficient * shares[image]
                for image, coefficient in coefficients.items())
    for image in sorted(coefficients,
                        key=lambda image: (-coefficients[image], image)):
        effect = coefficients[image] * shares[image]
        if total <= budget:
            break
        if effect <= NEGLIGIBLE_STRETCH:
            continue
        speeds[image] = max(0.0, 1.0 - (total - budget) / effect)
        total -= effect * (1.0 - speeds[image])
    return speeds


def compute_stretch_budget(
        run: _task_runs.Run,
        interference: _interference.InterferenceModel) -> float:
    """Returns by how much the utilization of a task may be stretched.

    The result is negative for a task that is near its limit by its own load. A
    task without a load estimate counts as loaded as a new `LoadTracker` says.
    """
    base_ms = interference.get_base_latency_ms(run.step.image,
                                               run.step.tail_latency_limit_ms)
    safe_utilization = 1.0 - base_ms / (SAFE_LATENCY_RATIO *
                                        run.step.tail_latency_limit_ms)
    tracker = run.load_tracker
    load = (tracker.load if tracker is not None else _interference.INITIAL_LOAD)
    return safe_utilization / (LOAD_MARGIN * load) - 1.0


def compute_declared_cpu_shares(worker: _workers.WorkerState,
                                throttles: dict[str, int]) -> dict[str, float]:
    """Returns the share of a worker's CPU that each best-effort image may use.

    It is the CPU that the tasks declare, multiplied by the given throttles in
    percent. Tasks that are being stopped are left out.
    """
    capacity_cpu_millis = max(1, worker.entry.cpu_millis)
    cpu_shares: dict[str, float] = {}
    for run in worker.runs.values():
        if (run.step.is_best_effort and
                run.phase is not _task_runs.RunPhase.STOPPING):
            image = run.step.image
            cpu_shares[image] = cpu_shares.get(
                image, 0.0) + (run.step.cpu_millis / capacity_cpu_millis *
                               throttles.get(image, 100) / 100)
    return cpu_shares


class LatencyMargins(NamedTuple):
    """What limits the best-effort tasks that may join the tasks of a worker.

    Attributes:
        margins: Stretch that more best-effort tasks may cause, by
            latency-critical image; the lowest of its tasks counts. It is
            negative if the tail latency is already too high.
        overloaded_images: Latency-critical images with a task that is too near
            its limit for a trial.
        best_effort_counts: Number of best-effort runs by image.
    """

    margins: dict[str, float]
    overloaded_images: frozenset[str]
    best_effort_counts: dict[str, int]


def compute_latency_margins(
        worker: _workers.WorkerState,
        interference: _interference.InterferenceModel) -> LatencyMargins:
    """Computes what is the same for all images that may join a worker.

    The load of a group asks this for dozens of images on each worker.
    """
    best_effort_counts: dict[str, int] = {}
    latency_critical_runs = []
    for run in worker.runs.values():
        if run.step.is_best_effort:
            image = run.step.image
            best_effort_counts[image] = best_effort_counts.get(image, 0) + 1
        if run.step.tail_latency_limit_ms:
            latency_critical_runs.append(run)
    shares = compute_declared_cpu_shares(worker, worker.throttles)
    budgets: dict[str, float] = {}
    for run in latency_critical_runs:
        image = run.step.image
        budget = compute_stretch_budget(run, interference)
        budgets[image] = min(budget, budgets.get(image, budget))
    margins = {
        image: budget - interference.predict_stretch(image, shares)
        for image, budget in budgets.items()
    }
    overloaded_images = frozenset(
        image for image, latency_ratio in worker.latency_ratios.items()
        if latency_ratio > SAFE_LATENCY_RATIO)
    return LatencyMargins(margins, overloaded_images, best_effort_counts)


class Interference(enum.Enum):
    """Why no task of a best-effort image may join the tasks of a worker.

    Attributes:
        OVERLOADED: All best-effort tasks of the worker are paused.
        IMAGE_THROTTLED: The tasks of the image there are throttled.
        NEAR_LIMIT: The image was not observed beside a latency-critical one
            that is too near its limit for a trial.
        OTHER_TRIAL: The image was not observed, and neither was another one
            that runs there.
    """

    OVERLOADED = "overloaded"
    IMAGE_THROTTLED = "image-throttled"
    NEAR_LIMIT = "near-limit"
    OTHER_TRIAL = "other-trial"


def find_interference(worker: _workers.WorkerState,
                      interference: _interference.InterferenceModel, image: str,
                      margins: LatencyMargins) -> Interference | None:
    """Returns why no task of an image may join a worker, or None.

    None does not mean that a task of any size may join. The arguments are those
    of `compute_addable_cpu`.
    """
    if not margins.margins:
        return None
    if worker.is_overloaded:
        return Interference.OVERLOADED
    if worker.throttles.get(image, 100) < 100:
        return Interference.IMAGE_THROTTLED
    for latency_critical_image in margins.margins:
        if interference.is_observed(latency_critical_image, image):
            continue
        if latency_critical_image in margins.overloaded_images:
            return Interference.NEAR_LIMIT
        # Trials of two images at a time could not be told apart.
        if not all(
                interference.is_observed(latency_critical_image, other_image)
                for other_image in margins.best_effort_counts):
            return Interference.OTHER_TRIAL
    return None


def compute_addable_cpu(worker: _workers.WorkerState,
                        interference: _interference.InterferenceModel,
                        image: str, margins: LatencyMargins) -> float:
    """Returns the CPU of the largest task of an image that may join a worker.

    It is predicted to run with at least `MIN_START_SPEED` there. The result is
    in thousandths of a core, infinite if interference sets no limit, and
    negative if no task may join. Of all images that cannot be trusted beside a
    latency-critical image of the worker, only one task may run there at a time.

    Args:
        worker: The worker.
        interference: Estimated interference between images.
        image: Image of the task.
        margins: Result of `compute_latency_margins` for the worker.
    """
    if not margins.margins:
        return math.inf
    if find_interference(worker, interference, image, margins) is not None:
        return -1.0
    addable_share = math.inf
    for latency_critical_image, margin in margins.margins.items():
        coefficient = interference.get_coefficient(latency_critical_image,
                                                   image)
        if coefficient <= 0:
            continue
        share = max(margin / MIN_START_SPEED, NEGLIGIBLE_STRETCH) / coefficient
        addable_share = min(addable_share, share)
    return addable_share * max(1, worker.entry.cpu_millis)


def predict_start_speed(worker: _workers.WorkerState,
                        interference: _interference.InterferenceModel,
                        image: str, cpu_millis: int) -> float:
    """Returns at which share of its full speed a best-effort task can start.

    It is 0 if the task may not join the tasks of the worker, see
    `compute_addable_cpu`.
    """
    if not worker.latency_critical_images:
        return 1.0
    margins = compute_latency_margins(worker, interference)
    if cpu_millis > compute_addable_cpu(worker, interference, image, margins):
        return 0.0
    cpu_share = cpu_millis / max(1, worker.entry.cpu_millis)
    speed = 1.0
    for latency_critical_image, margin in margins.margins.items():
        effect = cpu_share * interference.get_coefficient(
            latency_critical_image, image)
        if effect > NEGLIGIBLE_STRETCH:
            speed = min(speed, margin / effect)
    return max(MIN_START_SPEED, speed)


class ThrottleCause(NamedTuple):
    """What decided the throttle of a best-effort image; for the log.

    Attributes:
        service_image: Latency-critical image on the worker with the lowest
            budget.
        load: Estimated load of its task with the lowest budget.
        budget: Stretch that all best-effort tasks may cause for this task.
        coefficient: Coefficient of the best-effort image beside this image.
        observed_s: Time in seconds for which the pair was observed.
    """

    service_image: str
    load: float
    budget: float
    coefficient: float
    observed_s: float


def explain_throttles(
        worker: _workers.WorkerState,
        interference: _interference.InterferenceModel
) -> dict[str, ThrottleCause]:
    """Returns the cause of each throttle of a worker, by best-effort image."""
    budgets = [(compute_stretch_budget(run, interference), run)
               for run in _list_measured_runs(worker)
               if run.load_tracker is not None]
    if not budgets:
        return {}
    budget, run = min(budgets, key=lambda item: item[0])
    return {
        image:
            ThrottleCause(
                run.step.image, round(run.load_tracker.load, 2),
                round(budget, 2),
                round(interference.get_coefficient(run.step.image, image), 1),
                round(interference.get_observed_s(run.step.image, image), 1))
        for image in worker.throttles
    }
