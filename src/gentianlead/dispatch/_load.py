"""How busy a group is: for admission, and for the log."""

from typing import Iterable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _workers


class ImageRoom(NamedTuple):
    """Room for fillers of one image.

    Attributes:
        image: Image of the fillers.
        millis: Left-over processors of workers that they may join.
    """

    image: str
    millis: int


class GroupLoad(NamedTuple):
    """How busy a group is.

    Attributes:
        is_usable: Whether tasks can be started.
        capacity_millis: Processors of usable workers.
        firm_millis: Reserved by runs that do not fill.
        urgent_ms: Waiting work of tasks that fillers give way to, in
            milliseconds of all usable processors.
        filling_ms: Waiting work of fillers, in milliseconds of `left_over`.
        workers: Number of usable workers.
        largest_free: Most unreserved processors on one worker.
        filling_millis: Processors that waiting and running fillers declare.
        rooms: Processors that fillers find beside the serving tasks, by image
            of the fillers that were seen.
        labels: Labels of usable workers.
        left_over: Processors that serving tasks leave to fillers, in
            thousandths.
        largest_attainable: Most processors on one worker that no lasting task
            has: room for another one once short tasks have ended.
    """

    is_usable: bool
    capacity_millis: int
    firm_millis: int
    urgent_ms: int
    filling_ms: int
    workers: int = 0
    largest_free: int = 0
    filling_millis: int = 0
    rooms: tuple[ImageRoom, ...] = ()
    labels: tuple[str, ...] = ()
    left_over: int = 0
    largest_attainable: int = 0


class GroupSummary(NamedTuple):
    """State of a group for the log; processors in thousandths.

    Attributes:
        workers: Number of workers.
        usable: Workers that may get starts.
        jobs: Jobs that are not forgotten.
        capacity: Processors of usable workers.
        serving: Reserved by serving tasks.
        short: Reserved by other tasks that do not fill.
        filling: Declared by fillers that run.
        filling_used: Used by fillers at the last looks.
        waiting_lasting: Lasting tasks that wait.
        waiting_short: Other tasks that wait and do not fill.
        waiting_filling: Fillers that wait.
    """

    workers: int
    usable: int
    jobs: int
    capacity: int
    serving: int
    short: int
    filling: int
    filling_used: int
    waiting_lasting: int
    waiting_short: int
    waiting_filling: int


def summarize_group(workers: Iterable[_workers.WorkerState],
                    jobs: Iterable[_runs.JobRun], now: float) -> GroupSummary:
    """Returns the state of the group for the log."""
    usable = [worker for worker in workers if worker.can_start(now)]
    waiting = [0, 0, 0]
    for job in jobs:
        if job.is_over:
            continue
        for step_run in job.steps.values():
            if job.is_step_ready(step_run):
                kind = (0 if step_run.step.is_long_running else
                        2 if step_run.step.is_best_effort else 1)
                waiting[kind] += len(step_run.waiting)
    loads = [worker.compute_load() for worker in usable]
    used = sum(run.latency_ms_or_cpu_millis or 0
               for worker in usable
               for run in worker.runs.values()
               if run.step.is_best_effort)
    return GroupSummary(len(workers), len(usable), len(jobs),
                        sum(worker.entry.cpu_millis for worker in usable),
                        sum(load.serving for load in loads),
                        sum(load.firm - load.serving for load in loads),
                        sum(load.filling for load in loads), used, *waiting)


def compute_group_load(workers: Iterable[_workers.WorkerState],
                       jobs: Iterable[_runs.JobRun],
                       interference: _interference.InterferenceModel,
                       is_evacuated: bool, now: float) -> GroupLoad:
    """Returns how busy the group is."""
    capacity = firm = serving = usable = largest = attainable = 0
    filling = 0
    rooms = dict.fromkeys(interference.list_fillers(), 0)
    labels: set[str] = set()
    for worker in workers:
        if worker.can_start(now):
            load = worker.compute_load()
            usable += 1
            capacity += worker.entry.cpu_millis
            firm += load.firm
            serving += load.serving
            filling += load.filling
            largest = max(largest, worker.entry.cpu_millis - load.firm)
            attainable = max(attainable, worker.entry.cpu_millis - load.lasting)
            left = worker.entry.cpu_millis - load.firm + load.serving // 2
            for image in rooms:
                if not any(
                        interference.is_harmful(serving_image, image)
                        for serving_image in worker.serving_images):
                    rooms[image] += left
            labels |= worker.entry.labels
    work = {True: 0.0, False: 0.0}
    for job in jobs:
        if job.is_over:
            continue
        for step_run in job.steps.values():
            step = step_run.step
            if step.is_long_running:
                continue
            left = len(step_run.waiting) + 0.5 * len(step_run.active)
            if left and (step_run.key[0] == 0 or not job.job.has_start_time):
                if step.is_best_effort and job.is_step_ready(step_run):
                    filling += len(step_run.waiting) * step.cpu_millis
                work[step.is_best_effort] += (left * step.cpu_millis *
                                         step.estimate_ms)
    is_usable = capacity > 0 and not is_evacuated
    left_over = max(1, capacity - serving // 2)
    return GroupLoad(is_usable, capacity, firm, int(work[False] / left_over),
                     int((work[True] + work[False]) / left_over), usable,
                     largest, filling,
                     tuple(ImageRoom(*row) for row in sorted(rooms.items())),
                     tuple(sorted(labels)), left_over, attainable)


def add_job(load: GroupLoad, job: model.SteppedJob, group: str) -> GroupLoad:
    """Returns the load of a group that also has a job just given to it.

    Until the leader's next report, the other jobs of a burst would all go to
    the group that was the least busy before it.
    """
    firm = load.firm_millis
    urgent = filling = 0.0
    filling_millis = load.filling_millis
    for step in job.steps:
        count = step.count
        if len(job.assignment) > 1:
            count = job.assignment.count(group)
        millis = count * step.cpu_millis
        if step.is_long_running:
            firm += millis
        elif step.is_best_effort:
            filling += millis * step.estimate_ms
            filling_millis += millis
        else:
            urgent += millis * step.estimate_ms
    urgent_ms = int(urgent / max(1, load.left_over))
    filling_ms = int(filling / max(1, load.left_over))
    return load._replace(firm_millis=firm,
                         urgent_ms=load.urgent_ms + urgent_ms,
                         filling_ms=load.filling_ms + filling_ms + urgent_ms,
                         filling_millis=filling_millis)
