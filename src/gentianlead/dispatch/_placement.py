"""Choice of the worker on which a task starts.

Each worker with enough capacity gets a score that depends on the kind of task.
"""

import abc
import enum
from typing import AbstractSet, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _throttling
from gentianlead.dispatch import _workers

LATENCY_CRITICAL_CPU_USE_SHARE = 0.6
"""Share of its declared CPU that a latency-critical task is expected to use.
The use varies around one half, and reaches this share at high load. Tail
latencies rise on a worker without spare CPU."""

MIN_SPARE_CPU_SHARE = 0.7
"""A best-effort task starts only on a worker whose spare CPU is at least this
share of the CPU that the task declares, unless a `Relaxation` drops the rule.
"""

SHORT_TASK_SHARING_BONUS = 0.5
"""Added for a short task to the score of a worker with latency-critical tasks.
A wholly free worker scores 1, so a worker with latency-critical tasks is
preferred to a wholly free one while more than half of its own CPU is free."""

SAME_IMAGE_BONUS = 1.0
"""Added to the score of a worker that runs latency-critical tasks of the same
image as the placed task, and subtracted for each other latency-critical image
there. The CPU of its latency-critical tasks adds at most as much. Most
best-effort tasks interfere with some images only, so the fewer images a worker
has, the more best-effort tasks may run there."""

BEST_EFFORT_PENALTY = 0.1
"""Subtracted from the score of a worker with best-effort tasks when a
long-running or latency-critical task is placed."""

INTERFERENCE_PENALTY = 1.0
"""Subtracted from the score of a worker if a best-effort task may interfere
with latency-critical tasks there. It is as much as a wholly free worker scores,
so that any other worker with capacity is taken. It is subtracted once more for
a task that could not run at all, and in part for one that runs slowly."""

NO_INTERFERENCE_BONUS = 0.5
"""Added to the score of a worker with latency-critical tasks if a best-effort
task interferes with none of them. Workers without latency-critical tasks are
thus left to the best-effort tasks that need them."""

NO_INTERFERENCE_STRETCH = 0.15
"""Predicted stretch up to which a best-effort task counts as not interfering,
if its image was observed beside the latency-critical one. The load of the
latency-critical task itself varies more."""

SLOWNESS_PENALTY_WEIGHT = 4.0
"""The score of a slow worker is lowered by this value times the relative excess
of its duration ratio over `SLOW_DURATION_RATIO`. For comparison: the share of
the worker's CPU that is free, spare or reserved by latency-critical tasks,
depending on the kind of task, enters the score with a weight of 1."""

BUSY_RESERVED_SHARE = 0.6
"""A worker counts as busy if at least this share of its CPU is reserved, and a
group if it is reserved of all CPU that may receive starts."""


class Relaxation(enum.Enum):
    """Which placement rules are ignored for a best-effort task.

    While a job without runs waits for capacity, first the rule on spare CPU is
    ignored, then the one on interference, too: at first on workers that are not
    busy, and after a longer wait on all.

    Attributes:
        NORMAL: None is ignored.
        IGNORE_SPARE_CPU: The worker may lack spare CPU.
        IGNORE_INTERFERENCE_UNLESS_BUSY: The worker may lack spare CPU. If it is
            not busy, the best-effort task may also interfere with
            latency-critical tasks there. If it does, the best-effort task is
            throttled.
        IGNORE_INTERFERENCE: Likewise on all workers.
    """

    NORMAL = "normal"
    IGNORE_SPARE_CPU = "starving"
    IGNORE_INTERFERENCE_UNLESS_BUSY = "ignore-interference-unless-busy"
    IGNORE_INTERFERENCE = "desperate"


class Candidate(NamedTuple):
    """A worker and the capacity that is left on it.

    CPU is in thousandths of a core.

    Attributes:
        worker: The worker.
        free_cpu_millis: CPU that is not reserved. It is negative if the worker
            may get no start at all, as it has shrunk below what it runs, or
            runs a task of unknown size.
        spare_cpu_millis: CPU that is expected to stay unused, so that more
            best-effort tasks can use it.
        reclaimable_cpu_millis: CPU that no long-running task reserves.
        free_memory_mib: Free memory in MiB.
        free_accelerators: Number of free accelerators.
        reclaimable_memory_mib: Memory in MiB that no long-running task holds.
        reclaimable_accelerators: Number of accelerators that no long-running
            task holds.
        reserved_latency_critical_cpu_millis: CPU reserved by latency-critical
            tasks.
        has_best_effort: Whether best-effort tasks run on the worker.
        latency_critical_images: Images of its latency-critical tasks.
        colocation_cache: Results of `predict_speed`, by image and declared CPU
            of the task; valid until a task is placed on the worker.
    """

    worker: _workers.WorkerState
    free_cpu_millis: int
    spare_cpu_millis: int
    reclaimable_cpu_millis: int
    free_memory_mib: int
    free_accelerators: int
    reclaimable_memory_mib: int
    reclaimable_accelerators: int
    reserved_latency_critical_cpu_millis: int
    has_best_effort: bool
    latency_critical_images: frozenset[str]
    colocation_cache: dict[tuple[str, int], float]

    @property
    def is_busy(self) -> bool:
        """Whether much of the worker's CPU is reserved."""
        return is_mostly_reserved(self.worker.entry.cpu_millis,
                                  self.free_cpu_millis)

    def predict_speed(self, step: model.Step,
                      interference: _interference.InterferenceModel) -> float:
        """Returns at which share of its full speed a best-effort task can run.

        It is 0 if interference permits no task of the step on the worker. Free
        capacity is not checked.
        """
        cache_key = (step.image, step.cpu_millis)
        speed = self.colocation_cache.get(cache_key)
        if speed is None:
            speed = _throttling.predict_start_speed(self.worker, interference,
                                                    *cache_key)
            self.colocation_cache[cache_key] = speed
        return speed


def is_mostly_reserved(capacity_cpu_millis: int, free_cpu_millis: int) -> bool:
    """Returns whether at least `BUSY_RESERVED_SHARE` of some CPU is reserved.
    """
    return (capacity_cpu_millis - free_cpu_millis
            >= BUSY_RESERVED_SHARE * capacity_cpu_millis)


def build_candidate(worker: _workers.WorkerState,
                    load: _workers.WorkerLoad | None = None) -> Candidate:
    """Computes the capacity that is left on a worker.

    Args:
        worker: The worker.
        load: Its present load, if the caller has computed it.
    """
    entry = worker.entry
    if load is None:
        load = worker.compute_load()
    free_cpu_millis = entry.cpu_millis - load.reserved_cpu_millis
    if worker.may_exceed_capacity:
        free_cpu_millis = min(free_cpu_millis, -1)
    expected_use_cpu_millis = (
        load.reserved_cpu_millis - load.latency_critical_cpu_millis +
        int(LATENCY_CRITICAL_CPU_USE_SHARE * load.latency_critical_cpu_millis))
    return Candidate(
        worker, free_cpu_millis, entry.cpu_millis - expected_use_cpu_millis -
        load.throttled_best_effort_cpu_millis,
        entry.cpu_millis - load.long_running_cpu_millis,
        entry.memory_mib - load.memory_mib,
        entry.accelerators - load.accelerators,
        entry.memory_mib - load.long_running_memory_mib,
        entry.accelerators - load.long_running_accelerators,
        load.latency_critical_cpu_millis, load.best_effort_cpu_millis > 0,
        frozenset(worker.latency_critical_images), {})


class PlacementObstacle(enum.Enum):
    """Why a task may not start on a worker that may receive starts.

    Attributes:
        NO_MEMORY: Too little free memory.
        NO_ACCELERATOR: Too few free accelerators.
        NO_LABEL: The worker lacks the label that the task requires.
        NO_CPU: Too little free CPU, or spare CPU for a best-effort task.
        TASK_LIMIT: The worker has as many tasks of the step as allowed.
        INTERFERENCE: The best-effort task may interfere with latency-critical
            ones.
    """

    NO_MEMORY = "no-memory"
    NO_ACCELERATOR = "no-accelerator"
    NO_LABEL = "no-label"
    NO_CPU = "no-cpu"
    TASK_LIMIT = "task-limit"
    INTERFERENCE = "interference"


def find_capacity_obstacle(candidate: Candidate, step: model.Step,
                           relaxation: Relaxation) -> PlacementObstacle | None:
    """Returns which capacity or label a worker lacks for a task, or None.

    The CPU of the worker is not checked for a best-effort task unless
    `relaxation` is `NORMAL`.
    """
    # A worker that has shrunk below what it runs gets no start at all, not even
    # of a best-effort task, whose CPU does not count.
    if candidate.free_cpu_millis < 0:
        return PlacementObstacle.NO_CPU
    if step.memory_mib > candidate.free_memory_mib:
        return PlacementObstacle.NO_MEMORY
    if step.accelerators > candidate.free_accelerators:
        return PlacementObstacle.NO_ACCELERATOR
    if (step.required_label and
            step.required_label not in candidate.worker.entry.labels):
        return PlacementObstacle.NO_LABEL
    if not step.is_best_effort:
        return (PlacementObstacle.NO_CPU
                if candidate.free_cpu_millis < step.cpu_millis else None)
    if (relaxation is Relaxation.NORMAL and
            candidate.spare_cpu_millis < MIN_SPARE_CPU_SHARE * step.cpu_millis):
        return PlacementObstacle.NO_CPU
    return None


def find_obstacle(
        candidate: Candidate,
        step: model.Step,
        task_counts: dict[str, int],
        interference: _interference.InterferenceModel,
        relaxation: Relaxation = Relaxation.NORMAL) -> PlacementObstacle | None:
    """Returns why a task may not start on a worker, or None if it may.

    Args:
        candidate: A worker that may receive starts.
        step: Step of the task.
        task_counts: Number of tasks of the step by worker, for the limit of the
            step.
        interference: Estimated interference between images.
        relaxation: Which placement rules are ignored.
    """
    obstacle = find_capacity_obstacle(candidate, step, relaxation)
    if obstacle is not None:
        return obstacle
    if step.max_tasks_per_worker and task_counts.get(
            candidate.worker.worker_id, 0) >= step.max_tasks_per_worker:
        return PlacementObstacle.TASK_LIMIT
    if not step.is_best_effort or _ignores_interference(candidate, relaxation):
        return None
    return (None if candidate.predict_speed(step, interference) else
            PlacementObstacle.INTERFERENCE)


def _ignores_interference(candidate: Candidate, relaxation: Relaxation) -> bool:
    if relaxation is Relaxation.IGNORE_INTERFERENCE_UNLESS_BUSY:
        return not candidate.is_busy
    return relaxation is Relaxation.IGNORE_INTERFERENCE


def compute_spare_room(candidate: Candidate) -> int:
    """Returns the CPU of the largest best-effort task by spare CPU alone.

    It is in thousandths of a core, and 0 on a worker that has shrunk so far
    that it gets no start.
    """
    if candidate.free_cpu_millis < 0 or candidate.free_memory_mib <= 0:
        return 0
    return max(0, int(candidate.spare_cpu_millis / MIN_SPARE_CPU_SHARE))


def compute_best_effort_room(candidate: Candidate, image: str,
                             interference: _interference.InterferenceModel,
                             margins: _throttling.LatencyMargins) -> int:
    """Returns the CPU of the largest task of an image that may start at once.

    It is in thousandths of a core, and 0 if no task of the image may start on
    the worker without a `Relaxation`.
    """
    return max(
        0,
        int(
            min(
                compute_spare_room(candidate),
                _throttling.compute_addable_cpu(candidate.worker, interference,
                                                image, margins))))


def subtract_task(candidate: Candidate, step: model.Step) -> Candidate:
    """Returns a copy of a candidate, less the capacity that a new task takes.
    """
    reserved_cpu_millis = 0 if step.is_best_effort else step.cpu_millis
    return candidate._replace(
        free_cpu_millis=candidate.free_cpu_millis - reserved_cpu_millis,
        spare_cpu_millis=candidate.spare_cpu_millis - step.cpu_millis,
        free_memory_mib=candidate.free_memory_mib - step.memory_mib,
        free_accelerators=candidate.free_accelerators - step.accelerators)


def may_fit_later(candidate: Candidate, step: model.Step,
                  task_counts: dict[str, int]) -> bool:
    """Returns whether a long-running task fits beside long-running ones only.

    It fits on the worker once all other tasks there have ended.

    Args:
        candidate: The worker.
        step: Step of the task.
        task_counts: Number of tasks of the step by worker, for the limit of the
            step.
    """
    entry = candidate.worker.entry
    if step.required_label and step.required_label not in entry.labels:
        return False
    if step.max_tasks_per_worker and task_counts.get(
            entry.worker_id, 0) >= step.max_tasks_per_worker:
        return False
    return (step.cpu_millis <= candidate.reclaimable_cpu_millis and
            step.memory_mib <= candidate.reclaimable_memory_mib and
            step.accelerators <= candidate.reclaimable_accelerators)


class TaskPlacement(abc.ABC):
    """Ranks the workers that have capacity for a task."""

    @abc.abstractmethod
    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        """Returns the score of a worker; the highest score is chosen."""


class ShortTaskPlacement(TaskPlacement):
    """Prefers free CPU, and workers with latency-critical tasks.

    Only best-effort tasks interfere with latency-critical ones, so a short
    task beside them takes CPU that best-effort tasks could hardly use.
    """

    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        capacity_cpu_millis = max(1, candidate.worker.entry.cpu_millis)
        score = (candidate.free_cpu_millis / capacity_cpu_millis -
                 compute_slowness_penalty(candidate))
        if candidate.reserved_latency_critical_cpu_millis:
            score += SHORT_TASK_SHARING_BONUS
        return score


class ServicePlacement(TaskPlacement):
    """Prefers workers with latency-critical tasks of the same image.

    Used for long-running tasks and for latency-critical ones.

    A best-effort task may run on a worker only if it interferes with none of
    the latency-critical images there, so each worker should have few of them.
    """

    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        capacity_cpu_millis = max(1, candidate.worker.entry.cpu_millis)
        score = (candidate.reserved_latency_critical_cpu_millis /
                 capacity_cpu_millis - compute_slowness_penalty(candidate))
        images = candidate.latency_critical_images
        if images:
            score += SAME_IMAGE_BONUS if step.image in images else 0.0
            score -= SAME_IMAGE_BONUS * len(images - {step.image})
        if candidate.has_best_effort:
            score -= BEST_EFFORT_PENALTY
        return score


class BestEffortPlacement(TaskPlacement):
    """Places best-effort tasks where they interfere least.

    The score is the spare share of the worker's CPU, less the penalty of a slow
    worker. A worker with latency-critical tasks gets a bonus if the task
    interferes with none of their images. Otherwise it gets a penalty, which is
    lower the faster the task can run there. A pair of images that was not
    observed together counts as interfering.
    """

    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        capacity_cpu_millis = max(1, candidate.worker.entry.cpu_millis)
        score = (candidate.spare_cpu_millis / capacity_cpu_millis -
                 compute_slowness_penalty(candidate))
        if not candidate.reserved_latency_critical_cpu_millis:
            return score
        if _causes_no_interference(candidate, step, interference):
            return score + NO_INTERFERENCE_BONUS
        return (score - 2 * INTERFERENCE_PENALTY +
                candidate.predict_speed(step, interference))


def _causes_no_interference(
        candidate: Candidate, step: model.Step,
        interference: _interference.InterferenceModel) -> bool:
    cpu_share = step.cpu_millis / max(1, candidate.worker.entry.cpu_millis)
    return all(
        interference.is_observed(latency_critical_image, step.image) and
        cpu_share *
        interference.get_coefficient(latency_critical_image, step.image) <=
        NO_INTERFERENCE_STRETCH
        for latency_critical_image in candidate.latency_critical_images)


def compute_slowness_penalty(candidate: Candidate) -> float:
    """Returns the penalty to subtract from the score of a slow worker.

    It is 0 unless the worker's runs take longer than `SLOW_DURATION_RATIO`
    times their estimates.
    """
    excess = (candidate.worker.duration_ratio / _workers.SLOW_DURATION_RATIO -
              1.0)
    return SLOWNESS_PENALTY_WEIGHT * max(0.0, excess)


_SHORT_TASK = ShortTaskPlacement()
_SERVICE = ServicePlacement()
_BEST_EFFORT = BestEffortPlacement()


def choose_placement(step: model.Step) -> TaskPlacement:
    """Returns the rules that rank workers for the tasks of a step."""
    if step.is_best_effort:
        return _BEST_EFFORT
    if step.tail_latency_limit_ms or step.is_long_running:
        return _SERVICE
    return _SHORT_TASK


def choose_worker(
    candidates: list[Candidate],
    step: model.Step,
    last_failed_worker: str,
    task_counts: dict[str, int],
    rack_labels: frozenset[str] | None,
    interference: _interference.InterferenceModel,
    relaxation: Relaxation = Relaxation.NORMAL,
    refusing_workers: AbstractSet[str] = frozenset()
) -> Candidate | None:
    """Returns the best worker that may run a task, or None if there is none.

    Any worker is better than those that refused to start the task, and then
    than the one on which it failed last. Among the others, one on the preferred
    rack is better, and then one with a higher score.

    Args:
        candidates: Workers that may receive starts.
        step: Step of the task.
        last_failed_worker: Worker on which the task failed last, or empty.
        task_counts: Number of tasks of the step by worker, for the limit of the
            step.
        rack_labels: Labels of a worker that runs another task of the step; a
            worker with the same labels is on the preferred rack. None if the
            step need not stay on one rack, or if no other task runs.
        interference: Estimated interference between images.
        relaxation: Which placement rules are ignored.
        refusing_workers: Identifiers of workers that refused to start the task.
    """
    placement = choose_placement(step)
    best_candidate = None
    best_sort_key = None
    for candidate in candidates:
        worker = candidate.worker
        if find_obstacle(candidate, step, task_counts, interference,
                         relaxation) is not None:
            continue
        labels = worker.entry.labels
        is_on_preferred_rack = ((not step.preferred_rack or
                                 step.preferred_rack in labels) and
                                (rack_labels is None or rack_labels == labels))
        sort_key = (worker.worker_id not in refusing_workers, worker.worker_id
                    != last_failed_worker, is_on_preferred_rack,
                    placement.score(candidate, step, interference))
        if best_sort_key is None or sort_key > best_sort_key:
            best_candidate, best_sort_key = candidate, sort_key
    return best_candidate
