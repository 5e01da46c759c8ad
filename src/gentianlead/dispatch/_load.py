"""Load of a group: CPU capacity, reservations and unfinished work.

A task with a tail-latency limit is latency-critical. Best-effort tasks use
only CPU that other tasks leave over. A task that is neither long-running nor
best-effort is called short.
"""

from typing import Iterable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _rooms
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _throttling
from gentianlead.dispatch import _workers

MAX_REPORTED_VALUE = 2**53 - 1
"""Upper bound of the sums over all jobs in a reported load. Without it, jobs
with absurd estimates would have sums of more than 64 bits, which no report can
hold."""


class ImageCapacity(NamedTuple):
    """CPU that best-effort tasks of one image can use in a group.

    Attributes:
        image: Image of the best-effort tasks.
        cpu_millis: Unreserved CPU and half of the CPU that latency-critical
            tasks reserve, in thousandths of a core. Only workers count that may
            receive starts and that have no latency-critical task with which the
            image interferes.
    """

    image: str
    cpu_millis: int


class ImageRoom(NamedTuple):
    """Largest best-effort task of an image that may start in a group at once.

    Attributes:
        image: Image of the task; empty for all images without an estimate.
        cpu_millis: CPU of the largest task that the rules of placement allow on
            any worker that is not on probation, in thousandths of a core.
    """

    image: str
    cpu_millis: int


class GroupLoad(NamedTuple):
    """Load of a group as its leader reports it.

    Fields that end with `cpu_millis` are CPU in thousandths of a core.

    Attributes:
        is_usable: Whether tasks can be started in the group: it has usable
            workers and is not evacuated.
        capacity_cpu_millis: Whole CPU of the usable workers, which are those
            that may receive starts.
        reserved_cpu_millis: CPU reserved on usable workers by all runs except
            best-effort ones; on a worker that has shrunk, at most its whole
            CPU.
        short_backlog_ms: Estimated time in milliseconds that the unfinished
            short tasks take if they use all of
            `best_effort_capacity_cpu_millis`. The work of a running task counts
            half. Of a job with a start time, only the first repetition counts.
        total_backlog_ms: The same time for short and best-effort tasks
            together.
        worker_count: Number of usable workers.
        largest_free_cpu_millis: Most unreserved CPU on one usable worker that
            is not on probation.
        best_effort_cpu_millis: CPU declared by best-effort tasks that run on
            usable workers, or that wait although all steps on which they depend
            are done. Of the waiting tasks of a job with a start time, only
            those of the first repetition count.
        image_capacities: CPU that best-effort tasks can use, for each of their
            images that was observed beside latency-critical tasks.
        labels: All labels that at least one usable worker has.
        best_effort_capacity_cpu_millis: `capacity_cpu_millis` less half of the
            CPU that latency-critical tasks reserve, at least 1.
        largest_reclaimable_cpu_millis: Most CPU on one usable worker that no
            long-running task reserves; it is free once the short tasks of the
            worker have ended.
        image_rooms: Room for best-effort tasks of each image with an estimate,
            and of those without.
        free_rooms: Free capacity of the usable workers that are not on
            probation and do not keep refusing starts, without those whose
            capacity `_rooms.MAX_COVERING_ROOMS` others of the same service and
            labels cover.
        reclaimable_rooms: Capacity of the usable workers that no long-running
            task holds, likewise; also of those on probation.
        probation_rooms: Free capacity of the usable workers on probation, which
            receive one start at a time and may fail it, likewise; also of those
            in quarantine that a long-running task may test.
        quiet_rooms: Free capacity of the workers in `free_rooms` that are not
            busy, likewise.
    """

    is_usable: bool
    capacity_cpu_millis: int
    reserved_cpu_millis: int
    short_backlog_ms: int
    total_backlog_ms: int
    worker_count: int = 0
    largest_free_cpu_millis: int = 0
    best_effort_cpu_millis: int = 0
    image_capacities: tuple[ImageCapacity, ...] = ()
    labels: tuple[str, ...] = ()
    best_effort_capacity_cpu_millis: int = 0
    largest_reclaimable_cpu_millis: int = 0
    image_rooms: tuple[ImageRoom, ...] = ()
    free_rooms: tuple[_rooms.WorkerRoom, ...] = ()
    reclaimable_rooms: tuple[_rooms.WorkerRoom, ...] = ()
    probation_rooms: tuple[_rooms.WorkerRoom, ...] = ()
    quiet_rooms: tuple[_rooms.WorkerRoom, ...] = ()


class GroupSummary(NamedTuple):
    """Summary of a group for the log; its field names are names of log fields.

    CPU is in thousandths of a core and refers to usable workers. A task counts
    as waiting only if all steps on which it depends are done.

    Attributes:
        workers: Number of workers.
        usable: Number of usable workers: those that may receive starts.
        jobs: Number of jobs that the leader keeps in memory, including ended
            ones whose end is not stored yet.
        capacity: Whole CPU of the usable workers.
        serving: CPU reserved by latency-critical tasks.
        short: CPU reserved by all other tasks except best-effort ones.
        filling: CPU declared by best-effort tasks that run.
        filling_used: CPU in use by best-effort tasks according to the last
            status reports.
        waiting_lasting: Number of long-running tasks that wait.
        waiting_short: Number of short tasks that wait.
        waiting_filling: Number of best-effort tasks that wait.
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


class JobDemand(NamedTuple):
    """Part of a group's load that comes from one job that has not ended.

    Work is CPU in thousandths of a core times estimated milliseconds.

    Attributes:
        short_work: Work of unfinished short tasks; a running one counts half.
        best_effort_work: Work of unfinished best-effort tasks, likewise.
        waiting_best_effort_cpu_millis: CPU in thousandths of a core that
            best-effort tasks declare which wait although all steps on which
            they depend are done.
        reserved_cpu_millis: CPU in thousandths of a core that tasks will
            reserve which move for lack of capacity.
    """

    short_work: int
    best_effort_work: int
    waiting_best_effort_cpu_millis: int
    reserved_cpu_millis: int = 0


def summarize_group(workers: Iterable[_workers.WorkerState],
                    jobs: Iterable[_runs.JobRun], now: float) -> GroupSummary:
    """Summarizes the workers and jobs of a group for the log."""
    usable_workers = [
        worker for worker in workers if worker.can_receive_starts(now)
    ]
    waiting_counts = [0, 0, 0]
    for job in jobs:
        if job.has_ended:
            continue
        for step_run in job.steps.values():
            if job.is_step_ready(step_run):
                kind_index = (0 if step_run.step.is_long_running else
                              2 if step_run.step.is_best_effort else 1)
                waiting_counts[kind_index] += len(step_run.waiting_indexes)
    loads = [worker.compute_load() for worker in usable_workers]
    best_effort_use_cpu_millis = sum(run.latency_ms_or_cpu_millis or 0
                                     for worker in usable_workers
                                     for run in worker.runs.values()
                                     if run.step.is_best_effort)
    return GroupSummary(
        len(workers), len(usable_workers), len(jobs),
        sum(worker.entry.cpu_millis for worker in usable_workers),
        sum(load.latency_critical_cpu_millis for load in loads),
        sum(load.reserved_cpu_millis - load.latency_critical_cpu_millis
            for load in loads),
        sum(load.best_effort_cpu_millis for load in loads),
        best_effort_use_cpu_millis, *waiting_counts)


def get_image_room(load: GroupLoad, image: str) -> int:
    """Returns the room for best-effort tasks of an image; see `ImageRoom`."""
    rooms = {room.image: room.cpu_millis for room in load.image_rooms}
    return max(0, rooms.get(image, rooms.get("", 0)))


def has_service(load: GroupLoad, service: str) -> bool:
    """Returns whether a group has a usable worker of a service.

    That is assumed of a load that does not list the capacity of workers.
    """
    return not load.reclaimable_rooms or any(
        room.service == service for room in load.reclaimable_rooms)


def find_free_cpu(load: GroupLoad, step: model.Step, service: str) -> int:
    """Returns the most free CPU on a worker of a service where a task fits.

    It is in thousandths of a core, and -1 if a task fits nowhere at present.
    For a best-effort task it is the room for its image.
    """
    if step.is_best_effort:
        has_room = any(
            room._replace(
                cpu_millis=step.cpu_millis).has_room_for(step, service)
            for room in load.free_rooms)
        image_room_cpu_millis = get_image_room(load, step.image)
        return (image_room_cpu_millis if has_room and
                image_room_cpu_millis >= step.cpu_millis else -1)
    if load.capacity_cpu_millis - load.reserved_cpu_millis < step.cpu_millis:
        return -1
    if not load.reclaimable_rooms:
        # The report of a leader that does not list the capacity of workers.
        return (load.largest_free_cpu_millis
                if load.largest_free_cpu_millis >= step.cpu_millis else -1)
    return _rooms.find_largest_room(load.free_rooms, step, service)


def count_free_rooms(load: GroupLoad, step: model.Step, service: str) -> int:
    """Returns how many of the listed workers have room for a task at present.
    """
    return sum(room.has_room_for(step, service) for room in load.free_rooms)


def find_reclaimable_cpu(load: GroupLoad, step: model.Step,
                         service: str) -> int:
    """Returns the most CPU that no long-running task holds on one worker.

    Only workers count where a task of the step fits once all tasks that are not
    long-running have ended. The CPU is in thousandths of a core, and -1 if
    there is no such worker.
    """
    if not load.reclaimable_rooms:
        return (load.largest_reclaimable_cpu_millis if
                load.largest_reclaimable_cpu_millis >= step.cpu_millis else -1)
    return _rooms.find_largest_room(load.reclaimable_rooms, step, service)


def has_probation_room(load: GroupLoad, step: model.Step, service: str) -> bool:
    """Returns whether a task of a step may test a worker on probation."""
    return _rooms.find_largest_room(load.probation_rooms, step, service) >= 0


def take_rooms(load: GroupLoad, step: model.Step, service: str,
               task_count: int) -> GroupLoad:
    """Returns the load of a group without the rooms that tasks will use.

    Each task takes its resources from the worker with the most CPU, as the
    group's leader may choose any. A worker on probation has no more room then,
    as it receives one start at a time. Long-running tasks also take up
    reclaimable room. Of a best-effort task, only memory and
    accelerators count.

    Args:
        load: Load of the group.
        step: Step of the tasks.
        service: Service whose workers run them.
        task_count: Number of tasks; those that fit nowhere take nothing.
    """
    if not load.reclaimable_rooms:
        # The report of a leader that does not list the capacity of workers.
        if step.is_best_effort:
            return load
        cpu_millis = task_count * step.cpu_millis
        long_running_cpu_millis = cpu_millis if step.is_long_running else 0
        return load._replace(largest_free_cpu_millis=max(
            0, load.largest_free_cpu_millis - cpu_millis),
                             largest_reclaimable_cpu_millis=max(
                                 0, load.largest_reclaimable_cpu_millis -
                                 long_running_cpu_millis))
    if step.is_best_effort and not (step.memory_mib or step.accelerators):
        return load
    free_rooms = load.free_rooms
    probation_rooms = load.probation_rooms
    reclaimable_rooms = load.reclaimable_rooms
    quiet_rooms = load.quiet_rooms
    for _ in range(task_count):
        quiet_number = _rooms.find_room(quiet_rooms, step, service)
        if quiet_number is not None:
            quiet_rooms = _rooms.take_room(quiet_rooms, quiet_number, step)
        number = _rooms.find_room(free_rooms, step, service)
        if number is not None:
            free_rooms = _rooms.take_room(free_rooms, number, step)
        else:
            number = _rooms.find_room(probation_rooms, step, service)
            if number is not None:
                probation_rooms = (probation_rooms[:number] +
                                   probation_rooms[number + 1:])
        reclaimable_number = (_rooms.find_room(reclaimable_rooms, step, service)
                              if step.is_long_running else None)
        if reclaimable_number is not None:
            reclaimable_rooms = _rooms.take_room(reclaimable_rooms,
                                                 reclaimable_number, step)
        if number is None and reclaimable_number is None:
            break
    return load._replace(free_rooms=free_rooms,
                         probation_rooms=probation_rooms,
                         reclaimable_rooms=reclaimable_rooms,
                         quiet_rooms=quiet_rooms)


def compute_job_demand(job: _runs.JobRun) -> JobDemand:
    """Computes the part of a group's load that comes from a job.

    Long-running tasks and, for a job with a start time, all repetitions but the
    first one are left out.
    """
    short_work = best_effort_work = best_effort_cpu_millis = 0
    for step_run in job.steps.values():
        step = step_run.step
        if step.is_long_running or (step_run.key[0] and job.job.has_start_time):
            continue
        waiting_count = len(step_run.waiting_indexes)
        work = ((2 * waiting_count + len(step_run.active_runs)) *
                step.cpu_millis * step.estimate_ms // 2)
        if not step.is_best_effort:
            short_work += work
            continue
        best_effort_work += work
        if waiting_count and job.is_step_ready(step_run):
            best_effort_cpu_millis += waiting_count * step.cpu_millis
    return JobDemand(short_work, best_effort_work, best_effort_cpu_millis)


def compute_step_demand(step: model.Step, task_count: int) -> JobDemand:
    """Computes the demand of waiting tasks that are about to start."""
    cpu_millis = task_count * step.cpu_millis
    work = cpu_millis * step.estimate_ms
    if step.is_best_effort:
        return JobDemand(0, work, cpu_millis)
    return JobDemand(0 if step.is_long_running else work, 0, 0, cpu_millis)


def add_demand_to_load(load: GroupLoad, demand: JobDemand) -> GroupLoad:
    """Returns the load of a group increased by the demand of a job."""
    capacity_cpu_millis = max(1, load.best_effort_capacity_cpu_millis)
    return load._replace(
        reserved_cpu_millis=load.reserved_cpu_millis +
        demand.reserved_cpu_millis,
        short_backlog_ms=load.short_backlog_ms +
        demand.short_work // capacity_cpu_millis,
        total_backlog_ms=load.total_backlog_ms +
        (demand.short_work + demand.best_effort_work) // capacity_cpu_millis,
        best_effort_cpu_millis=load.best_effort_cpu_millis +
        demand.waiting_best_effort_cpu_millis,
        image_rooms=tuple(
            room._replace(cpu_millis=room.cpu_millis -
                          demand.waiting_best_effort_cpu_millis)
            for room in load.image_rooms))


def subtract_demand_from_load(load: GroupLoad, demand: JobDemand) -> GroupLoad:
    """Returns the load of a group without the demand of one of its jobs.

    The room stays as it is, as waiting tasks do not take any.
    """
    negative_demand = JobDemand(*(-value for value in demand))
    return add_demand_to_load(
        load, negative_demand)._replace(image_rooms=load.image_rooms)


def compute_group_load(workers: Iterable[_workers.WorkerState],
                       jobs: Iterable[_runs.JobRun],
                       interference: _interference.InterferenceModel,
                       is_evacuated: bool, now: float) -> GroupLoad:
    """Computes the load of a group from its workers and jobs.

    A job with a pending move does not count: its destination does the work.
    """
    capacity_cpu_millis = reserved_cpu_millis = \
        latency_critical_cpu_millis = worker_count = \
        largest_free_cpu_millis = largest_reclaimable_cpu_millis = 0
    best_effort_cpu_millis = 0
    image_capacities = dict.fromkeys(interference.list_best_effort_images(), 0)
    image_rooms = dict.fromkeys([*image_capacities, ""], 0)
    labels: set[str] = set()
    free_rooms: _rooms.RoomsByKind = {}
    reclaimable_rooms: _rooms.RoomsByKind = {}
    probation_rooms: _rooms.RoomsByKind = {}
    quiet_rooms: _rooms.RoomsByKind = {}
    for worker in workers:
        if worker.may_be_tested(now):
            _rooms.add_free_room(probation_rooms,
                                 _placement.build_candidate(worker))
        if worker.can_receive_starts(now):
            load = worker.compute_load()
            worker_count += 1
            capacity_cpu_millis += worker.entry.cpu_millis
            reserved_cpu_millis += min(load.reserved_cpu_millis,
                                       worker.entry.cpu_millis)
            latency_critical_cpu_millis += min(load.latency_critical_cpu_millis,
                                               worker.entry.cpu_millis)
            best_effort_cpu_millis += load.best_effort_cpu_millis
            has_room = not worker.keeps_refusing(now)
            if has_room and not worker.is_on_probation:
                largest_free_cpu_millis = max(
                    largest_free_cpu_millis,
                    worker.entry.cpu_millis - load.reserved_cpu_millis)
            largest_reclaimable_cpu_millis = max(
                largest_reclaimable_cpu_millis,
                worker.entry.cpu_millis - load.long_running_cpu_millis)
            best_effort_usable_cpu_millis = max(
                0, worker.entry.cpu_millis - load.reserved_cpu_millis +
                load.latency_critical_cpu_millis // 2)
            latency_critical_images = worker.latency_critical_images
            for image in image_capacities:
                if not any(
                        interference.is_interfering(latency_critical_image,
                                                    image)
                        for latency_critical_image in latency_critical_images):
                    image_capacities[image] += best_effort_usable_cpu_millis
            candidate = _placement.build_candidate(worker, load)
            margins = _throttling.compute_latency_margins(worker, interference)
            spare_room_cpu_millis = _placement.compute_spare_room(candidate)
            for image, room_cpu_millis in image_rooms.items():
                # Interference only lowers the room, so it needs no look if the
                # spare CPU is not above the room on another worker.
                if (spare_room_cpu_millis > room_cpu_millis and has_room and
                        not worker.is_on_probation):
                    image_rooms[image] = max(
                        room_cpu_millis,
                        _placement.compute_best_effort_room(
                            candidate, image, interference, margins))
            if has_room:
                _rooms.add_free_room(
                    probation_rooms if worker.is_on_probation else free_rooms,
                    candidate)
                if not candidate.is_busy and not worker.is_on_probation:
                    _rooms.add_free_room(quiet_rooms, candidate)
            kind = (worker.entry.service, worker.entry.labels)
            reclaimable_rooms.setdefault(kind, []).append(
                (candidate.reclaimable_cpu_millis,
                 candidate.reclaimable_memory_mib,
                 candidate.reclaimable_accelerators))
            labels |= worker.entry.labels
    short_work = best_effort_work = 0
    for job in jobs:
        if not job.has_ended and job.pending_move_number is None:
            demand = compute_job_demand(job)
            short_work += demand.short_work
            best_effort_work += demand.best_effort_work
            best_effort_cpu_millis += demand.waiting_best_effort_cpu_millis
    is_usable = capacity_cpu_millis > 0 and not is_evacuated
    best_effort_capacity_cpu_millis = max(
        1, capacity_cpu_millis - latency_critical_cpu_millis // 2)
    return GroupLoad(
        is_usable, capacity_cpu_millis, reserved_cpu_millis,
        min(MAX_REPORTED_VALUE, short_work // best_effort_capacity_cpu_millis),
        min(MAX_REPORTED_VALUE,
            (short_work + best_effort_work) // best_effort_capacity_cpu_millis),
        worker_count, largest_free_cpu_millis,
        min(MAX_REPORTED_VALUE, best_effort_cpu_millis),
        tuple(
            ImageCapacity(*item) for item in sorted(image_capacities.items())),
        tuple(sorted(labels)), best_effort_capacity_cpu_millis,
        largest_reclaimable_cpu_millis,
        tuple(ImageRoom(*item) for item in sorted(image_rooms.items())),
        _rooms.list_rooms(free_rooms), _rooms.list_rooms(reclaimable_rooms),
        _rooms.list_rooms(probation_rooms), _rooms.list_rooms(quiet_rooms))


def list_step_groups(job: model.SteppedJob, step_index: int,
                     assignment: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the group of each task of a step."""
    task_count = job.steps[step_index].count
    if len(assignment) == 1:
        return assignment * task_count
    first_number = job.compute_task_number(step_index, 0)
    return assignment[first_number:first_number + task_count]


def add_job_to_load(load: GroupLoad, job: model.SteppedJob,
                    group: str) -> GroupLoad:
    """Returns the load of a group increased by the tasks of a newly placed job.

    Only tasks that the job's assignment gives to the group are added. Without
    them, all jobs that arrive before the next load reports would go to the
    group that has the least load in the last reports.
    """
    reserved_cpu_millis = load.reserved_cpu_millis
    short_work = best_effort_work = 0.0
    best_effort_cpu_millis = load.best_effort_cpu_millis
    for index, step in enumerate(job.steps):
        task_count = list_step_groups(job, index, job.assignment).count(group)
        step_cpu_millis = task_count * step.cpu_millis
        if step.is_long_running:
            reserved_cpu_millis += step_cpu_millis
        elif step.is_best_effort:
            best_effort_work += step_cpu_millis * step.estimate_ms
            best_effort_cpu_millis += step_cpu_millis
        else:
            short_work += step_cpu_millis * step.estimate_ms
    added_short_ms = int(short_work /
                         max(1, load.best_effort_capacity_cpu_millis))
    added_best_effort_ms = int(best_effort_work /
                               max(1, load.best_effort_capacity_cpu_millis))
    return load._replace(
        reserved_cpu_millis=reserved_cpu_millis,
        short_backlog_ms=load.short_backlog_ms + added_short_ms,
        total_backlog_ms=load.total_backlog_ms + added_best_effort_ms +
        added_short_ms,
        best_effort_cpu_millis=best_effort_cpu_millis)
