"""Pace of fillers beside serving tasks, from the tails that workers list."""

from gentianlead.dispatch import _interference
from gentianlead.dispatch import _workers

HIGH_PRESSURE = 0.9
"""Tail against its limit above which fillers are slowed."""

SEVERE_PRESSURE = 1.3
"""Tail against its limit above which fillers are slowed strongly."""

LOW_PRESSURE = 0.65
"""Tail against its limit below which fillers are sped up."""

SAFE_PRESSURE = 0.8
"""Predicted tail against its limit up to which fillers are sped up or added."""

SLOW_FACTOR = 0.6
SEVERE_FACTOR = 0.25
SPEED_FACTOR = 1.5
SPEED_STEP = 10
"""Percentage points added beside `SPEED_FACTOR`."""

MIN_PACE = 5
"""Percent below which fillers are stood still."""

MIN_CHANGE = 5
"""Smallest change in percent that is worth a call."""

SETTLE_S = 0.5
"""Time in seconds until a tail shows a change of pace."""

MIN_EFFECT = 0.03
"""Predicted rise of a tail against its limit below which a filler is not
slowed: the tail is due to the load of the serving task itself."""

BLAME_SHARE = 0.25
"""Part of the largest predicted effect from which an image is slowed too."""


def compute_pressures(worker: _workers.WorkerState) -> dict[str, float]:
    """Returns the worst tail against its limit by image of serving tasks."""
    pressures: dict[str, float] = {}
    for run in worker.runs.values():
        limit = run.step.tail_latency_limit_ms
        if limit and run.latency_ms_or_cpu_millis is not None and run.percent >= 100:
            pressure = run.latency_ms_or_cpu_millis / limit
            pressures[run.step.image] = max(pressure,
                                            pressures.get(run.step.image, 0.0))
    return pressures


def compute_shares(worker: _workers.WorkerState) -> dict[str, float]:
    """Returns the share of the processors in use by image of fillers."""
    capacity = max(1, worker.entry.cpu_millis)
    shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.is_best_effort:
            image = run.step.image
            shares[image] = shares.get(image, 0.0) + (run.latency_ms_or_cpu_millis or 0) / capacity
    return shares


def update_paces(worker: _workers.WorkerState,
                 model: _interference.InterferenceModel, now: float) -> None:
    """Learns from a look, and sets the pace of each image of fillers."""
    pressures = compute_pressures(worker)
    shares = compute_shares(worker)
    worker.pressures = pressures
    seconds = worker.exposure.update(shares, now)
    if pressures and worker.exposure.shares:
        model.learn(pressures, worker.exposure.shares, seconds)
    images = {
        run.step.image for run in worker.runs.values() if run.step.is_best_effort
    }
    worker.paces = {
        image: pace for image, pace in worker.paces.items() if image in images
    }
    if not pressures:
        worker.paces.clear()
        return
    worst = max(pressures.values())
    if worst > HIGH_PRESSURE:
        _slow_down(worker, model, shares, worst, now)
    elif worst < LOW_PRESSURE:
        _speed_up(worker, model, shares, now)


def _slow_down(worker: _workers.WorkerState,
               model: _interference.InterferenceModel, shares: dict[str, float],
               worst: float, now: float) -> None:
    effects = {
        image:
            max((model.get_coefficient(serving, image) * share
                 for serving, pressure in worker.pressures.items()
                 if pressure > HIGH_PRESSURE),
                default=0.0) for image, share in shares.items()
    }
    largest = max(effects.values(), default=0.0)
    factor = SEVERE_FACTOR if worst > SEVERE_PRESSURE else SLOW_FACTOR
    for image, effect in effects.items():
        is_tried = all(
            model.is_tried(serving, image) for serving in worker.pressures)
        if is_tried and effect < max(MIN_EFFECT, BLAME_SHARE * largest):
            continue
        if now - worker.paced_at.get(image, -SETTLE_S) < SETTLE_S:
            continue
        pace = int(worker.paces.get(image, 100) * factor)
        worker.paces[image] = 0 if pace < MIN_PACE else pace
        worker.paced_at[image] = now


def _speed_up(worker: _workers.WorkerState,
              model: _interference.InterferenceModel, shares: dict[str, float],
              now: float) -> None:
    for image, pace in list(worker.paces.items()):
        if now - worker.paced_at.get(image, -SETTLE_S) < SETTLE_S:
            continue
        raised = min(100, int(pace * SPEED_FACTOR) + SPEED_STEP)
        wanted = compute_full_share(worker, image)
        rise = max(0.0, wanted * raised / 100 - shares.get(image, 0.0))
        is_safe = all(
            pressure +
            model.get_coefficient(serving, image) * rise <= SAFE_PRESSURE
            for serving, pressure in worker.pressures.items())
        if not is_safe:
            continue
        worker.paced_at[image] = now
        if raised >= 100:
            del worker.paces[image]
        else:
            worker.paces[image] = raised


def compute_full_share(worker: _workers.WorkerState, image: str) -> float:
    """Returns the share that an image's fillers would use at full speed."""
    capacity = max(1, worker.entry.cpu_millis)
    return sum(run.step.cpu_millis
               for run in worker.runs.values()
               if run.step.is_best_effort and run.step.image == image) / capacity


def may_add(worker: _workers.WorkerState,
            model: _interference.InterferenceModel, image: str,
            cpu_millis: int) -> bool:
    """Returns whether a filler may be added beside a worker's serving tasks.

    A pair that was never seen together is tried with one task.
    """
    if not worker.serving_images:
        return True
    if worker.paces.get(image, 100) < 100:
        return False
    capacity = max(1, worker.entry.cpu_millis)
    # Runs that the last look did not show yet.
    pending = {}
    count = 0
    for run in worker.runs.values():
        if run.step.is_best_effort:
            if run.step.image == image:
                count += 1
            if not run.latency_ms_or_cpu_millis:
                pending[run.step.image] = (pending.get(run.step.image, 0.0) +
                                           run.step.cpu_millis / capacity)
    pending[image] = pending.get(image, 0.0) + cpu_millis / capacity
    for serving in worker.serving_images:
        if not model.is_tried(serving, image) and count:
            return False
        pressure = worker.pressures.get(serving, 0.0)
        if pressure + model.predict(serving, pending) > SAFE_PRESSURE:
            return False
    return True
