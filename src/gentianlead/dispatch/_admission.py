"""Admission of jobs, and choice of the groups that run or take over a job."""

import datetime
import hashlib
import types
from typing import AbstractSet, Iterable, Mapping, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _load
from gentianlead.dispatch import _objectives

MAX_REPORT_AGE = datetime.timedelta(seconds=2)
"""Age above which a group's load report is ignored: several report intervals.
If the reports of all usable groups are older, a submitted job goes to the
daemon's own group."""

OWN_GROUP_BONUS = 0.1
"""Subtracted from the load score of the daemon's own group when the group with
the lowest score is chosen for a job. A difference of a tenth of a group's
capacity does not justify running the job in another domain."""

MAX_LONG_RUNNING_RESERVED_SHARE = 0.85
"""A long-running job is refused if it would raise the reserved share of the CPU
of all eligible groups together above this limit. A short job earns several
times as much per CPU second, and finds no capacity at all once long-running
tasks hold everything."""

LONG_RUNNING_RETRY_DELAY = datetime.timedelta(seconds=5)
"""Delay after which a caller may retry when its long-running job was refused
because of `MAX_LONG_RUNNING_RESERVED_SHARE`. Such jobs run for tens of seconds,
so one of them ends about every five seconds in a full site."""

NO_GROUP_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay after which a caller may retry when no group can take a job: a new
leader takes over a group in about this time."""

HIGH_RESERVED_SHARE = 0.9
HIGH_RESERVED_WEIGHT = 20.0
"""If the reserved share of a group's CPU, with the job's widest step, is above
`HIGH_RESERVED_SHARE`, the excess times `HIGH_RESERVED_WEIGHT` is added to the
group's load score, because new short tasks have to wait there."""

SHORT_TASK_RESERVE_SHARE = 0.25
"""Share of a group's CPU that long-running tasks leave free for short tasks.
They use it only if no group can take a task and still keep this share free."""

MAX_BACKLOG_FACTOR = 4.0
"""A job is refused if the work ahead of it takes longer than this multiple of
the objective for the job's duration; long-running jobs and jobs with a start
time have no such limit. A late completion still counts for the caller up to
three times the objective."""

MAX_RETRY_DELAY = datetime.timedelta(seconds=10)
"""Upper bound of `Admission.retry_after` when a job is refused because the
backlog is too long."""


class GroupReport(NamedTuple):
    """Newest load report of a group, and when it arrived.

    Attributes:
        load: Load of the group.
        reported_at: Monotonic time in seconds at which the report arrived.
    """

    load: _load.GroupLoad
    reported_at: float


class Admission(NamedTuple):
    """Decision whether a job is accepted.

    Attributes:
        assignment: Groups that get the job: either one group for the whole job,
            or the group of each task by `SteppedJob.compute_task_number`. Empty
            when the job is refused.
        reason: Why the job is refused; empty when it is accepted.
        retry_after: Delay after which the caller of a refused job may retry; 0
            when the job is accepted.
    """

    assignment: tuple[str, ...]
    reason: str = ""
    retry_after: datetime.timedelta = datetime.timedelta(0)


def decide_admission(job: model.SteppedJob,
                     reports: dict[str, GroupReport],
                     own_group: str,
                     now: float,
                     service: str = "",
                     may_divide: bool = True) -> Admission:
    """Chooses the groups for a job, or refuses it.

    Eligible groups are usable, have a recent load report, a worker of the job's
    service and all labels that the job requires. The tasks of a long-running
    job with one step that is no gang are spread over them. Any other job goes
    to one eligible group: if possible, one that has a rack which the job
    prefers; among these, the one with the lowest load score, less
    `OWN_GROUP_BONUS` for the own group. If no group has all labels, the steps
    are divided between groups, each of which has the labels of its steps.

    A job is refused if a step has no group, unless the reports of all usable
    groups are too old. It is also refused if it would exceed
    `MAX_LONG_RUNNING_RESERVED_SHARE`, or if the backlog of a chosen group is
    too long.

    Args:
        job: The job; its assignment is ignored.
        reports: Newest load reports by group.
        own_group: Group of the daemon's own failure domain.
        now: Present monotonic time in seconds.
        service: Service whose workers run the job, if it is not the one of the
            queue that is stored with the job.
        may_divide: Whether steps may get different groups if no group has the
            labels of all of them.
    """
    usable_loads = {
        group: report.load
        for group, report in reports.items()
        if report.load.is_usable and now -
        report.reported_at <= MAX_REPORT_AGE.total_seconds()
    }
    required_labels = {
        step.required_label for step in job.steps if step.required_label
    }
    service_loads = {
        group: load
        for group, load in usable_loads.items()
        if _load.has_service(load, service or job.queue.service)
    }
    eligible_loads = {
        group: load
        for group, load in service_loads.items()
        if required_labels <= set(load.labels)
    }
    step_groups: tuple[str, ...] = ()
    if not eligible_loads and may_divide:
        step_groups = _divide_steps(job, service_loads, own_group)
        eligible_loads = {group: service_loads[group] for group in step_groups}
    if not eligible_loads:
        if usable_loads or any(
                report.load.is_usable for report in reports.values()):
            # If any usable group has a recent report, the job is refused. The
            # caller may retry: a group that has the required labels may be
            # between two leaders. If all reports of usable groups are too old,
            # the own group gets the job. The tasks of a long-running job have a
            # group each, so that those without capacity may move alone.
            task_count = job.steps[0].count if _may_be_spread(job) else 1
            return Admission(
                (), "no group can run the job",
                NO_GROUP_RETRY_DELAY) if usable_loads else Admission(
                    (own_group,) * task_count)
        return Admission((), "no group has usable workers",
                         NO_GROUP_RETRY_DELAY)
    if job.is_long_running and not _has_long_running_capacity(
            job, eligible_loads):
        return Admission((), "lasting tasks would crowd out short ones",
                         LONG_RUNNING_RETRY_DELAY)
    if _may_be_spread(job):
        return Admission(spread_tasks(job, eligible_loads))

    if step_groups:
        assignment = tuple(group for step, group in zip(job.steps, step_groups)
                           for _ in range(step.count))
    else:
        assignment = (min(eligible_loads,
                          key=lambda group: _compute_group_sort_key(
                              job, group, eligible_loads[group], own_group)),)
    excess_ms = max(
        compute_excess_backlog_ms(job, eligible_loads[group])
        for group in set(assignment))
    if excess_ms > 0:
        return Admission(
            (), "the backlog is too long",
            min(MAX_RETRY_DELAY,
                datetime.timedelta(milliseconds=max(500, excess_ms))))
    return Admission(assignment)


def _compute_group_sort_key(job: model.SteppedJob, group: str,
                            load: _load.GroupLoad,
                            own_group: str) -> tuple[bool, float]:
    preferred_racks = {
        step.preferred_rack for step in job.steps if step.preferred_rack
    }
    lacks_preferred_rack = bool(preferred_racks) and not preferred_racks & set(
        load.labels)
    own_group_bonus = OWN_GROUP_BONUS if group == own_group else 0.0
    return lacks_preferred_rack, compute_load_score(job, load) - own_group_bonus


def _divide_steps(job: model.SteppedJob, loads: dict[str, _load.GroupLoad],
                  own_group: str) -> tuple[str, ...]:
    """Divides the steps of a job between groups that have their labels.

    The group that can run the most of the remaining steps comes first, so that
    few steps depend on steps of other groups, whose ends their leader learns
    only with its next read of the topic.

    Returns:
        The group of each step; empty if no group has the label of a step.
    """
    step_groups: dict[int, str] = {}
    while len(step_groups) < len(job.steps):
        runnable_steps = {
            group: [
                index
                for index, step in enumerate(job.steps)
                if index not in step_groups and
                (not step.required_label or step.required_label in load.labels)
            ] for group, load in loads.items()
        }
        group = min(
            loads,
            key=lambda group:
            (-len(runnable_steps[group]),
             _compute_group_sort_key(job, group, loads[group], own_group)),
            default="")
        if not group or not runnable_steps[group]:
            return ()
        step_groups.update(dict.fromkeys(runnable_steps[group], group))
    return tuple(step_groups[index] for index in range(len(job.steps)))


def _may_be_spread(job: model.SteppedJob) -> bool:
    """Returns whether the tasks of a job may be in different groups."""
    return (job.is_long_running and len(job.steps) == 1 and
            not job.steps[0].is_gang)


def _has_long_running_capacity(job: model.SteppedJob,
                               loads: dict[str, _load.GroupLoad]) -> bool:
    capacity_cpu_millis = sum(
        load.capacity_cpu_millis for load in loads.values())
    reserved_cpu_millis = sum(
        load.reserved_cpu_millis for load in loads.values())
    needed_cpu_millis = sum(step.count * step.cpu_millis for step in job.steps)
    return (reserved_cpu_millis + needed_cpu_millis
            <= MAX_LONG_RUNNING_RESERVED_SHARE * capacity_cpu_millis)


def sum_long_running_cpu(
    entries: Iterable[tuple[model.SteppedJob, tuple[str,
                                                    ...]]]) -> dict[str, int]:
    """Returns the CPU that all tasks of long-running steps need, by group.

    Args:
        entries: Pairs of a job that has not ended and its assignment: either
            one group for the whole job, or the group of each task by
            `SteppedJob.compute_task_number`.

    Returns:
        CPU in thousandths of a core by group.
    """
    cpu_millis_by_group: dict[str, int] = {}
    for job, assignment in entries:
        for index, step in enumerate(job.steps):
            if not step.is_long_running:
                continue
            for group in _load.list_step_groups(job, index, assignment):
                cpu_millis_by_group[group] = cpu_millis_by_group.get(
                    group, 0) + step.cpu_millis
    return cpu_millis_by_group


def include_unreported_jobs(
        reports: dict[str, GroupReport],
        long_running_cpu_millis_by_group: dict[str,
                                               int]) -> dict[str, GroupReport]:
    """Returns load reports that include all accepted long-running jobs.

    A leader's newest report may be older than the acceptance of a job. If the
    reserved CPU in a report is below what the long-running jobs of the group
    need, it is raised to that.

    Args:
        reports: Newest load reports by group.
        long_running_cpu_millis_by_group: CPU in thousandths of a core that all
            accepted long-running jobs need, by group.
    """
    return {
        group:
            report._replace(load=report.load._replace(reserved_cpu_millis=max(
                report.load.reserved_cpu_millis,
                long_running_cpu_millis_by_group.get(group, 0))))
        for group, report in reports.items()
    }


def compute_load_score(job: model.SteppedJob, load: _load.GroupLoad) -> float:
    """Returns how loaded a group is for a job; a lower score is better.

    For a job with best-effort steps, the score is the CPU that best-effort
    tasks declare in the group, including the job's widest best-effort step,
    divided by the CPU that best-effort tasks of the job's images can use there.

    For any other job, it is the backlog of short tasks in seconds plus the
    reserved share of the group's CPU, including the job's widest step. The part
    of this share above `HIGH_RESERVED_SHARE` is added once more, multiplied by
    `HIGH_RESERVED_WEIGHT`.
    """
    best_effort_steps = [step for step in job.steps if step.is_best_effort]
    if not best_effort_steps:
        widest_step_cpu_millis = max(
            step.count * step.cpu_millis for step in job.steps)
        reserved_share = (load.reserved_cpu_millis +
                          widest_step_cpu_millis) / max(
                              1, load.capacity_cpu_millis)
        return (load.short_backlog_ms / 1000 + reserved_share +
                HIGH_RESERVED_WEIGHT *
                max(0.0, reserved_share - HIGH_RESERVED_SHARE))
    widest_step_cpu_millis = max(
        step.count * step.cpu_millis for step in best_effort_steps)
    return (load.best_effort_cpu_millis +
            widest_step_cpu_millis) / compute_best_effort_capacity(job, load)


def compute_best_effort_capacity(job: model.SteppedJob,
                                 load: _load.GroupLoad) -> int:
    """Returns the CPU that best-effort tasks of a job's images can use.

    It is the lowest value of all images of the job's best-effort steps, in
    thousandths of a core and at least 1. An image that was not observed beside
    latency-critical tasks counts as able to use half of the reserved CPU.
    """
    cpu_millis_by_image = {
        capacity.image: capacity.cpu_millis
        for capacity in load.image_capacities
    }
    return max(
        1,
        min(
            cpu_millis_by_image.get(
                step.image, load.capacity_cpu_millis -
                load.reserved_cpu_millis // 2)
            for step in job.steps
            if step.is_best_effort))


def get_backlog_ms(job: model.SteppedJob, load: _load.GroupLoad) -> int:
    """Returns the duration of the work ahead of a job, in milliseconds.

    Best-effort tasks ahead of the job count only if the job has best-effort
    steps itself; they do not delay other jobs.
    """
    if any(step.is_best_effort for step in job.steps):
        return load.total_backlog_ms
    return load.short_backlog_ms


def compute_excess_backlog_ms(job: model.SteppedJob,
                              load: _load.GroupLoad) -> int:
    """Returns by how many milliseconds the backlog exceeds a job's limit.

    The limit is `MAX_BACKLOG_FACTOR` times the objective for the job's
    duration. The result is negative for a backlog below the limit. It is 0 for
    jobs without a limit: long-running ones and those with a start time.

    A job that completes late is still worth running for the caller. One that
    waits many times its objective only takes capacity from the others.
    """
    if job.is_long_running or job.has_start_time:
        return 0
    critical_path_ms = _objectives.compute_critical_path_ms(job)
    objective_ms = (job.queue.objective_factor * critical_path_ms +
                    job.queue.objective_slack_ms)
    return int(get_backlog_ms(job, load) - MAX_BACKLOG_FACTOR * objective_ms)


def spread_tasks(job: model.SteppedJob,
                 loads: dict[str, _load.GroupLoad]) -> tuple[str, ...]:
    """Returns the group of each task of a job whose only step is long-running.

    Groups are filled one after the other. A group is full when one more task
    would use CPU of its reserve for short tasks, or when all its workers have
    reached the step's limit of tasks per worker. A step with such a limit can
    thus use the workers of all domains, and the loss of a domain affects only a
    part of a job that is spread.
    """
    step = job.steps[0]
    free_cpu_millis_by_group = {
        group: load.capacity_cpu_millis - load.reserved_cpu_millis
        for group, load in loads.items()
    }
    capacity_cpu_millis_by_group = {
        group: load.capacity_cpu_millis for group, load in loads.items()
    }
    task_count_by_group = dict.fromkeys(loads, 0)
    # A hash of the image orders the groups, so tasks of one image go to the
    # same groups as long as these have capacity. Best-effort tasks that
    # interfere with them can then use other groups.
    group_order = sorted(loads,
                         key=lambda group: _hash_image_and_group(
                             step.image or job.job_id, group))
    assignment = []
    for _ in range(step.count):
        groups_with_reserve = [
            group for group in group_order if free_cpu_millis_by_group[group] -
            step.cpu_millis >= SHORT_TASK_RESERVE_SHARE *
            capacity_cpu_millis_by_group[group] and
            (not step.max_tasks_per_worker or task_count_by_group[group] <
             loads[group].worker_count * step.max_tasks_per_worker)
        ]
        # If all groups are full, the one with the largest share of free CPU is
        # chosen, even if its workers then exceed the limit of tasks per worker.
        group = (groups_with_reserve[0] if groups_with_reserve else max(
            group_order,
            key=lambda other_group: free_cpu_millis_by_group[other_group] / max(
                1, capacity_cpu_millis_by_group[other_group])))
        assignment.append(group)
        task_count_by_group[group] += 1
        free_cpu_millis_by_group[group] -= step.cpu_millis
    return tuple(assignment)


def _hash_image_and_group(image: str, group: str) -> bytes:
    return hashlib.blake2b(f"{image}/{group}".encode(), digest_size=8).digest()


class FallbackGroup(NamedTuple):
    """Group to which tasks of a step move if their own group is full.

    Attributes:
        group: Name of the group; empty when no other group has capacity.
        max_tasks: Highest number of tasks that may move there at once: always 1
            for a step with a limit of tasks per worker; else as many as the
            CPU of one worker there allows, but at least 1.
    """

    group: str
    max_tasks: int = 1


def choose_fallback_group(job: model.SteppedJob,
                          assignment: tuple[str, ...],
                          own_group: str,
                          reports: dict[str, GroupReport],
                          now: float,
                          last_move_numbers: Mapping[
                              str, int] = types.MappingProxyType({}),
                          step_index: int = 0,
                          required_labels: AbstractSet[str] = frozenset(),
                          service: str = "") -> FallbackGroup:
    """Returns a group for tasks of a step that their own group cannot place.

    Other groups in which a task fits on one worker at present come first, then
    those in which it fits on a worker on probation, which one task may test.
    A group in which a task fits only after short tasks have ended is chosen
    only if a task does not fit in the own group even then. Of several such
    groups, the one that tasks of the job left the longest ago is chosen, or
    never left; among these, one that lists more workers with room than may have
    reached the step's limit of tasks per worker, and then the one whose worker
    has the most CPU for them. A report does not show all that placement checks,
    so tasks would otherwise move in a circle between the groups that look best.

    Groups are left out if they are not usable, have no recent load report, lack
    the label of the step, one of `required_labels` or a worker of the service
    of the job, or have reached the step's limit of tasks per worker.
    """
    step = job.steps[step_index]
    service = service or job.queue.service
    if step.required_label:
        required_labels = required_labels | {step.required_label}
    step_groups = _load.list_step_groups(job, step_index, assignment)
    best_group = ""
    best_sort_key = (0, 0, False, 0)
    own_report = reports.get(own_group)
    may_fit_in_own_group = (own_report is not None and
                            own_report.load.is_usable and
                            _load.find_reclaimable_cpu(own_report.load, step,
                                                       service) >= 0)
    for group, report in reports.items():
        load = report.load
        if (group == own_group or not load.is_usable or
                now - report.reported_at > MAX_REPORT_AGE.total_seconds()):
            continue
        if not required_labels <= set(load.labels):
            continue
        if step.max_tasks_per_worker and step_groups.count(
                group) >= load.worker_count * step.max_tasks_per_worker:
            continue
        free_cpu_millis = _load.find_free_cpu(load, step, service)
        reclaimable_cpu_millis = _load.find_reclaimable_cpu(load, step, service)
        if free_cpu_millis >= 0:
            rank, usable_cpu_millis = 2, free_cpu_millis
        elif _load.has_probation_room(load, step, service):
            rank, usable_cpu_millis = 1, step.cpu_millis
        elif may_fit_in_own_group or reclaimable_cpu_millis < 0:
            continue
        else:
            rank, usable_cpu_millis = 0, reclaimable_cpu_millis
        # A report does not tell which workers have reached the limit of the
        # step, but at most this number have.
        full_worker_count = (step_groups.count(group) //
                             step.max_tasks_per_worker
                             if step.max_tasks_per_worker else 0)
        may_be_limited = (bool(load.reclaimable_rooms) and
                          0 < full_worker_count >= _load.count_free_rooms(
                              load, step, service))
        sort_key = (rank, -last_move_numbers.get(group, 0), not may_be_limited,
                    usable_cpu_millis)
        if not best_group or sort_key > best_sort_key:
            best_group, best_sort_key = group, sort_key
    if step.max_tasks_per_worker:
        return FallbackGroup(best_group)
    return FallbackGroup(best_group,
                         max(1, best_sort_key[3] // max(1, step.cpu_millis)))
