"""Groups without a live leader, according to the job topic alone."""

import datetime
from typing import Iterable, NamedTuple

from gentianlead.dispatch import _table

UNLED_LIMIT = datetime.timedelta(seconds=6)
"""Time without a record of a group's leader after which the group counts as
unled. A leader writes each 0.5 s, and a successor takes over within 4 s."""


class UnledGroup(NamedTuple):
    """A group whose tasks no leader can start.

    Attributes:
        group: The group.
        silent_s: Time in seconds since a record of its leader was read; None if
            it never had one.
        leader: Name of the last leader; empty if it resigned or is not known.
        long_running_tasks: Number of long-running tasks that the topic assigns
            to the group. Their last runs may go on for as long as their leases.
    """

    group: str
    silent_s: float | None
    leader: str
    long_running_tasks: int


def find_unled_groups(table: _table.JobTable, groups: Iterable[str],
                      now: float) -> list[UnledGroup]:
    """Returns the groups with long-running tasks and without a live leader.

    The topic must have been read to its end just now. Jobs are looked at only
    if a group has no live leader.

    Args:
        table: State of the job topic.
        groups: All groups.
        now: Present monotonic time in seconds.
    """
    unled_groups = []
    for group in groups:
        leader = table.leaders.get(group)
        silent_s = None if leader is None else now - leader.last_record_read_at
        if silent_s is not None and silent_s <= UNLED_LIMIT.total_seconds():
            continue
        task_count = sum(
            _count_long_running_tasks(entry, group)
            for entry in table.jobs.values()
            if group in entry.assignment_offsets)
        if task_count:
            unled_groups.append(
                UnledGroup(group, silent_s,
                           leader.record.node if leader else "", task_count))
    return unled_groups


def _count_long_running_tasks(entry: _table.JobEntry, group: str) -> int:
    if not entry.job.is_long_running or entry.state.is_final:
        return 0
    return sum(
        entry.has_task(group, step_index, index)
        for step_index, step in enumerate(entry.job.steps)
        if step.is_long_running for index in range(step.count))
