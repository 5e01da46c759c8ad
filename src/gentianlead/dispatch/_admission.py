"""Whether a job is accepted, and by which group."""

import datetime
import hashlib
from typing import Iterable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _load
from gentianlead.dispatch import _runs

REPORT_LIMIT = datetime.timedelta(seconds=2)
"""Age of a group's report above which another group is preferred: several
report intervals."""

HOME_BONUS = 0.1
"""Crowding that another group must be below to get a job: a tenth of a group's
room is not worth the way to another domain."""

LASTING_LIMIT = 0.85
"""Part of all processors that may be reserved after a lasting job is accepted.
A short job earns several times as much per processor and second, and finds no
room at all once lasting tasks hold everything."""

RETRY_LASTING = datetime.timedelta(seconds=5)
"""Delay that the caller of a lasting job is told: lasting jobs stay for tens of
seconds, so that one of a full site ends about that often."""

ROOMIER_FACTOR = 1.5
"""How much less crowded another group must be for fillers to go there."""

RETRY_NO_GROUP = datetime.timedelta(seconds=1)
"""Delay that a caller is told when no group can take a job: a takeover takes
about as long."""

FULL_USE = 0.9
FULL_WEIGHT = 20.0
"""Reserved part of a group's processors above which a job of short tasks
waits for others, and the weight of what is above it against waiting work."""

RESERVE = 0.25
"""Part of a group's processors that lasting tasks leave to short ones, as far
as another group has room."""

BACKLOG_FACTOR = 4.0
"""Multiple of a job's objective that the work ahead of it may take; up to three
times the objective a late end still counts for the caller."""

MAX_RETRY = datetime.timedelta(seconds=10)
"""Longest delay that a caller is told."""


class GroupReport(NamedTuple):
    """Newest report of a group's leader.

    Attributes:
        load: How busy the group is.
        reported_at: Monotonic time in seconds of its arrival.
    """

    load: _load.GroupLoad
    reported_at: float


class Admission(NamedTuple):
    """Decision on a job.

    Attributes:
        assignment: Groups that get the job, as in a job; empty when it is
            refused.
        reason: Why it is refused, or empty.
        retry_after: When the caller may come back.
    """

    assignment: tuple[str, ...]
    reason: str = ""
    retry_after: datetime.timedelta = datetime.timedelta(0)


def decide_admission(job: model.SteppedJob, reports: dict[str, GroupReport],
                     home: str, now: float) -> Admission:
    """Chooses a group for a job, or refuses it.

    Args:
        job: The job; its group is not set yet.
        reports: Newest reports by group.
        home: Group of the daemon's own failure domain.
        now: Monotonic time in seconds.
    """
    usable = {
        group: report.load
        for group, report in reports.items()
        if report.load.is_usable and now -
        report.reported_at <= REPORT_LIMIT.total_seconds()
    }
    needed = {step.required_label for step in job.steps if step.required_label}
    near = {step.preferred_rack for step in job.steps if step.preferred_rack}
    able = {
        group: load
        for group, load in usable.items()
        if needed <= set(load.labels)
    }
    if not able:
        if usable or any(report.load.is_usable for report in reports.values()):
            # A group with such a label may be between two leaders.
            return Admission((), "no group can run the job",
                             RETRY_NO_GROUP) if usable else Admission((home,))
        return Admission((), "no group has usable workers", RETRY_NO_GROUP)
    if job.is_long_running and not _has_lasting_room(job, able):
        return Admission((), "lasting tasks would crowd out short ones",
                         RETRY_LASTING)
    if job.is_long_running and len(job.steps) == 1:
        return Admission(spread_tasks(job, able))

    def compute_cost(group: str) -> tuple[bool, float]:
        load = able[group]
        is_far = bool(near) and not near & set(load.labels)
        bonus = HOME_BONUS if group == home else 0.0
        return is_far, compute_crowding(job, load) - bonus

    group = min(able, key=compute_cost)
    excess = compute_excess_ms(job, able[group])
    if excess > 0:
        return Admission((), "the backlog is too long",
                         min(MAX_RETRY,
                             datetime.timedelta(milliseconds=max(500, excess))))
    return Admission((group,))


def _has_lasting_room(job: model.SteppedJob,
                      loads: dict[str, _load.GroupLoad]) -> bool:
    capacity = sum(load.capacity_millis for load in loads.values())
    firm = sum(load.firm_millis for load in loads.values())
    need = sum(step.count * step.cpu_millis for step in job.steps)
    return firm + need <= LASTING_LIMIT * capacity


def compute_lasting(
    entries: Iterable[tuple[model.SteppedJob, tuple[str,
                                                    ...]]]) -> dict[str, int]:
    """Returns the processors that lasting jobs want, by group.

    Args:
        entries: Jobs that are not over, with the groups of their tasks.
    """
    millis: dict[str, int] = {}
    for job, assignment in entries:
        for step in job.steps:
            if not step.is_long_running:
                continue
            share = (step.count
                     if len(assignment) == 1 else 1) * step.cpu_millis
            for group in assignment:
                millis[group] = millis.get(group, 0) + share
    return millis


def raise_reserved(reports: dict[str, GroupReport],
                   lasting: dict[str, int]) -> dict[str, GroupReport]:
    """Returns reports that count lasting jobs which their leaders do not yet.

    Args:
        reports: Newest reports by group.
        lasting: Processors that accepted lasting jobs want, by group.
    """
    return {
        group:
            report._replace(load=report.load._replace(
                firm_millis=max(report.load.firm_millis, lasting.get(group, 0)))
                           ) for group, report in reports.items()
    }


def compute_crowding(job: model.SteppedJob, load: _load.GroupLoad) -> float:
    """Returns the demand for what a job needs against the room for it."""
    fillers = [step for step in job.steps if step.is_best_effort]
    if not fillers:
        widest = max(step.count * step.cpu_millis for step in job.steps)
        use = (load.firm_millis + widest) / max(1, load.capacity_millis)
        return (load.urgent_ms / 1000 + use +
                FULL_WEIGHT * max(0.0, use - FULL_USE))
    rooms = {row.image: row.millis for row in load.rooms}
    room = min(
        rooms.get(step.image, load.capacity_millis - load.firm_millis // 2)
        for step in fillers)
    widest = max(step.count * step.cpu_millis for step in fillers)
    return (load.filling_millis + widest) / max(1, room)


def get_waiting_ms(job: model.SteppedJob, load: _load.GroupLoad) -> int:
    """Returns how long a job waits for what is ahead of it."""
    if any(step.is_best_effort for step in job.steps):
        return load.filling_ms
    return load.urgent_ms


def compute_excess_ms(job: model.SteppedJob, load: _load.GroupLoad) -> int:
    """Returns by how much the backlog exceeds what a job may wait for.

    A job that will be late is still worth its while to the caller; one that
    waits many times its objective only takes room from the others.
    """
    if job.is_long_running or job.has_start_time:
        return 0
    chain = _runs.compute_chain_ms(job)
    objective = (job.queue.objective_factor * chain +
                 job.queue.objective_slack_ms)
    return int(get_waiting_ms(job, load) - BACKLOG_FACTOR * objective)


def choose_roomier(job: model.SteppedJob, own: str,
                   reports: dict[str, GroupReport], now: float) -> str:
    """Returns a group with room for a job that waits in its own, or nothing."""
    own_report = reports.get(own)
    if own_report is None:
        return ""
    others = {group: row for group, row in reports.items() if group != own}
    admission = decide_admission(job, others, own, now)
    if len(set(admission.assignment)) != 1:
        return ""
    group = admission.assignment[0]
    if group not in others:
        return ""
    load = others[group].load
    if not any(step.is_best_effort for step in job.steps):
        largest = max(step.cpu_millis for step in job.steps)
        own_ms = own_report.load.urgent_ms
        is_ahead = load.urgent_ms * ROOMIER_FACTOR < own_ms
        return group if is_ahead and load.largest_free >= largest else ""
    if compute_crowding(job, load) * ROOMIER_FACTOR < compute_crowding(
            job, own_report.load):
        return group
    return ""


def spread_tasks(job: model.SteppedJob,
                 loads: dict[str, _load.GroupLoad]) -> tuple[str, ...]:
    """Returns the group of each task of a job with one lasting step.

    The loss of a domain takes a part of the job only, and a spread limit finds
    workers in all domains.
    """
    step = job.steps[0]
    free = {
        group: load.capacity_millis - load.firm_millis
        for group, load in loads.items()
    }
    capacity = {group: load.capacity_millis for group, load in loads.items()}
    counts = dict.fromkeys(loads, 0)
    # Watchers of one image go to the same groups as far as they have room, so
    # that fillers which they would suffer from find others.
    order = sorted(
        loads, key=lambda group: _hash_pair(step.image or job.job_id, group))
    assignment = []
    for _ in range(step.count):
        roomy = [
            group for group in order
            if free[group] - step.cpu_millis >= RESERVE * capacity[group] and
            (not step.max_tasks_per_worker or counts[group] < loads[group].workers *
             step.max_tasks_per_worker)
        ]
        # Beyond the reserve all groups share alike.
        group = (roomy[0] if roomy else max(
            order, key=lambda name: free[name] / max(1, capacity[name])))
        assignment.append(group)
        counts[group] += 1
        free[group] -= step.cpu_millis
    return tuple(assignment)


def _hash_pair(image: str, group: str) -> bytes:
    return hashlib.blake2b(f"{image}/{group}".encode(), digest_size=8).digest()


class Refuge(NamedTuple):
    """Where lasting tasks without room go.

    Attributes:
        group: The group, or empty when none has room.
        tasks: How many of them have room on one worker there, at least one.
    """

    group: str
    tasks: int = 1


def choose_refuge(job: model.SteppedJob, assignment: tuple[str, ...], own: str,
                  reports: dict[str, GroupReport], now: float) -> Refuge:
    """Returns a group for a lasting task that finds no room in its own.

    A group with room now comes first. Without one, a group where short tasks
    can make room is taken only if the own group has no such worker.
    """
    step = job.steps[0]
    best = ""
    best_rank = (False, 0)
    own_report = reports.get(own)
    may_wait = (own_report is not None and
                own_report.load.largest_attainable >= step.cpu_millis)
    for group, report in reports.items():
        load = report.load
        if (group == own or not load.is_usable or
                now - report.reported_at > REPORT_LIMIT.total_seconds()):
            continue
        if step.required_label and step.required_label not in load.labels:
            continue
        if step.max_tasks_per_worker and assignment.count(
                group) >= load.workers * step.max_tasks_per_worker:
            continue
        has_room = load.largest_free >= step.cpu_millis
        if not has_room and (may_wait or
                             load.largest_attainable < step.cpu_millis):
            continue
        rank = (has_room,
                load.largest_free if has_room else load.largest_attainable)
        if rank > best_rank:
            best, best_rank = group, rank
    if step.max_tasks_per_worker:
        return Refuge(best)
    return Refuge(best, max(1, best_rank[1] // max(1, step.cpu_millis)))
