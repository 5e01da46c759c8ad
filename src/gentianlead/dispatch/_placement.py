"""Choice of the worker for a task."""

import abc
import enum
from typing import NamedTuple

from gentianlead import model
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _pacing
from gentianlead.dispatch import _workers

SERVING_USE = 0.6
"""Part of its declared processors that a serving task uses at a high load; the
load swings around half. Tails rise on a worker without spare processors."""

MIN_FILL_SHARE = 0.7
"""Part of its declared processors that must be left over for a filler."""

SERVING_BONUS = 0.5
"""Score of a worker with serving tasks for a short task, against a whole free
worker: such a worker is taken unless it is nearly full."""

IMAGE_BONUS = 1.0
"""Score of a worker that serves the same image, and loss for each other one:
as much as a whole worker. Most fillers disturb some images and not others, so
that the fewer images a worker serves, the more fillers may join."""

FILLER_MALUS = 0.1
"""Score that a worker loses for fillers when a serving task is placed."""

SHARING_MALUS = 1.0
"""Score that a worker loses for serving tasks when a filler is placed that they
suffer from, or may suffer from: as much as all of its processors, so that any
other worker with room is taken."""

HARMLESS_BONUS = 0.5
"""Score of a worker whose serving tasks a filler does not disturb: a worker
without any is left to the fillers that need it."""

HARMLESS_RISE = 0.15
"""Predicted rise of a tail against its limit up to which a filler counts as
harmless: within the swing of the tail by its own load."""

SLOW_PENALTY = 4.0
"""Weight of a worker's slowness against free room in the score."""


class Need(enum.Enum):
    """How much a filler needs a place.

    A filler of a job of which nothing runs is placed without spare processors
    after a while, and at last also where it has to be slowed.
    """

    NORMAL = "normal"
    STARVING = "starving"
    DESPERATE = "desperate"


class Candidate(NamedTuple):
    """A worker with what it has left.

    Attributes:
        worker: The worker.
        free_cpu: Unreserved processors in thousandths.
        spare_cpu: Processors that fillers can use, in thousandths.
        attainable_cpu: Processors that no lasting task has, in thousandths.
        free_memory: Memory in MiB.
        free_gpu: Accelerators.
        serving_cpu: Reserved by serving tasks, in thousandths.
        has_fillers: Whether fillers run there.
        serving_images: Images of serving tasks there.
        joinable: Whether a filler may be added, by image and processors; a
            cache that holds until something is placed there.
    """

    worker: _workers.WorkerState
    free_cpu: int
    spare_cpu: int
    attainable_cpu: int
    free_memory: int
    free_gpu: int
    serving_cpu: int
    has_fillers: bool
    serving_images: frozenset[str]
    joinable: dict[tuple[str, int], bool]

    def may_join(self, step: model.Step,
                 interference: _interference.InterferenceModel) -> bool:
        """Returns whether a filler may be added beside the serving tasks."""
        key = (step.image, step.cpu_millis)
        known = self.joinable.get(key)
        if known is None:
            known = _pacing.may_add(self.worker, interference, *key)
            self.joinable[key] = known
        return known


def build_candidate(worker: _workers.WorkerState) -> Candidate:
    """Returns a worker with what it has left."""
    entry = worker.entry
    load = worker.compute_load()
    used = load.firm - load.serving + int(SERVING_USE * load.serving)
    return Candidate(worker, entry.cpu_millis - load.firm,
                     entry.cpu_millis - used - load.filling_use,
                     entry.cpu_millis - load.lasting,
                     entry.memory_mib - load.memory,
                     entry.accelerators - load.accelerators, load.serving,
                     load.filling > 0, frozenset(worker.serving_images), {})


def fits(candidate: Candidate, step: model.Step, need: Need) -> bool:
    """Returns whether a task of a step has room."""
    if (step.memory_mib > candidate.free_memory or
            step.accelerators > candidate.free_gpu):
        return False
    if (step.required_label and
            step.required_label not in candidate.worker.entry.labels):
        return False
    if step.is_best_effort:
        if need is not Need.NORMAL:
            return True
        return candidate.spare_cpu >= MIN_FILL_SHARE * step.cpu_millis
    return candidate.free_cpu >= step.cpu_millis


def take_part(candidate: Candidate, step: model.Step) -> Candidate:
    """Returns a worker with what it has left beside one more task."""
    firm = 0 if step.is_best_effort else step.cpu_millis
    return candidate._replace(free_cpu=candidate.free_cpu - firm,
                              spare_cpu=candidate.spare_cpu - step.cpu_millis,
                              free_memory=candidate.free_memory -
                              step.memory_mib,
                              free_gpu=candidate.free_gpu - step.accelerators)


def may_fit_later(candidate: Candidate, step: model.Step,
                  counts: dict[str, int]) -> bool:
    """Returns whether a lasting task has room once all short tasks have ended.

    Args:
        candidate: The worker.
        step: Shape of the task.
        counts: Tasks of the step by worker, for its spread limit.
    """
    entry = candidate.worker.entry
    if step.required_label and step.required_label not in entry.labels:
        return False
    if step.max_tasks_per_worker and counts.get(entry.worker_id,
                                        0) >= step.max_tasks_per_worker:
        return False
    return (step.cpu_millis <= candidate.attainable_cpu and
            step.memory_mib <= entry.memory_mib)


class TaskPlacement(abc.ABC):
    """Ranks the workers that have room for a task."""

    @abc.abstractmethod
    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        """Returns a score; the highest one is chosen."""


class SpreadPlacement(TaskPlacement):
    """For short tasks: free processors, first those that fillers avoid.

    Only fillers disturb serving tasks, so a short task beside serving tasks
    takes nothing from anybody.
    """

    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        capacity = max(1, candidate.worker.entry.cpu_millis)
        score = candidate.free_cpu / capacity - compute_slowness(candidate)
        if candidate.serving_cpu:
            score += SERVING_BONUS
        return score


class ServingPlacement(TaskPlacement):
    """Fills workers that serve the same image already.

    A filler may run beside serving tasks only if it disturbs none of their
    images, so each worker should have few of them.
    """

    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        capacity = max(1, candidate.worker.entry.cpu_millis)
        score = candidate.serving_cpu / capacity - compute_slowness(candidate)
        images = candidate.serving_images
        if images:
            score += IMAGE_BONUS if step.image in images else 0.0
            score -= IMAGE_BONUS * len(images - {step.image})
        if candidate.has_fillers:
            score -= FILLER_MALUS
        return score


class FillerPlacement(TaskPlacement):
    """Chooses harmless company first, then workers without serving tasks."""

    def score(self, candidate: Candidate, step: model.Step,
              interference: _interference.InterferenceModel) -> float:
        capacity = max(1, candidate.worker.entry.cpu_millis)
        score = candidate.spare_cpu / capacity - compute_slowness(candidate)
        if not candidate.serving_cpu:
            return score
        if _is_harmless(candidate, step, interference):
            return score + HARMLESS_BONUS
        score -= SHARING_MALUS
        return score - max(candidate.worker.pressures.values(), default=0.0)


def _is_harmless(candidate: Candidate, step: model.Step,
                 interference: _interference.InterferenceModel) -> bool:
    share = step.cpu_millis / max(1, candidate.worker.entry.cpu_millis)
    return all(
        interference.is_tried(serving, step.image) and
        interference.predict(serving, {step.image: share}) <= HARMLESS_RISE
        for serving in candidate.serving_images)


def compute_slowness(candidate: Candidate) -> float:
    """Returns a penalty for a worker on which runs take long."""
    excess = candidate.worker.ratio / _workers.SLOW_RATIO - 1.0
    return SLOW_PENALTY * max(0.0, excess)


_SPREAD = SpreadPlacement()
_SERVING = ServingPlacement()
_FILLER = FillerPlacement()


def choose_placement(step: model.Step) -> TaskPlacement:
    """Returns the placement for the tasks of a step."""
    if step.is_best_effort:
        return _FILLER
    if step.tail_latency_limit_ms or step.is_long_running:
        return _SERVING
    return _SPREAD


def choose_worker(candidates: list[Candidate],
                  step: model.Step,
                  avoided: str,
                  counts: dict[str, int],
                  racks: frozenset[str] | None,
                  interference: _interference.InterferenceModel,
                  need: Need = Need.NORMAL) -> Candidate | None:
    """Returns the best worker with room, or None.

    Args:
        candidates: Workers that may get starts.
        step: Shape of the task.
        avoided: Worker on which the task failed last, or empty.
        counts: Tasks of the step by worker, for its spread limit.
        racks: Labels of the rack that a rack-bound step runs on, or None.
        interference: What fillers do to serving tasks.
        need: How much the task needs a place.
    """
    placement = choose_placement(step)
    best = None
    best_rank = None
    for candidate in candidates:
        worker = candidate.worker
        if not fits(candidate, step, need):
            continue
        if step.max_tasks_per_worker and counts.get(worker.worker_id,
                                            0) >= step.max_tasks_per_worker:
            continue
        if (step.is_best_effort and need is not Need.DESPERATE and
                not candidate.may_join(step, interference)):
            continue
        labels = worker.entry.labels
        is_near = ((not step.preferred_rack or step.preferred_rack in labels) and
                   (racks is None or racks == labels))
        rank = (worker.worker_id != avoided, is_near,
                placement.score(candidate, step, interference))
        if best_rank is None or rank > best_rank:
            best, best_rank = candidate, rank
    return best
