"""Queue of waiting jobs, grouped by class, team and resources per task."""

import heapq
from typing import Callable, Iterator, NamedTuple

import sortedcontainers

from gentianlead import model

URGENT_CLASS = 0
WATCHER_CLASS = 1
BATCH_CLASS = 2


class JobGroupKey(NamedTuple):
    """Properties that all jobs of a group share.

    Attributes:
        job_class: `URGENT_CLASS`, `WATCHER_CLASS` or `BATCH_CLASS`; lower
            values are scheduled first.
        team: Team that owns the jobs; empty for jobs without a team.
        resources: Resources to claim for each task.
    """

    job_class: int
    team: str
    resources: model.Resources


def compute_job_class(spec: model.JobSpec) -> int:
    """Returns the scheduling class of a job."""
    if spec.is_urgent:
        return URGENT_CLASS
    return WATCHER_CLASS if spec.is_watcher else BATCH_CLASS


class _TeamCandidate(NamedTuple):
    """The first schedulable group of a team.

    Candidates compare by their fields in order; the lowest one is scheduled
    first.
    """

    job_class: int
    is_borrowing: bool
    opened_offset: int
    group_key: JobGroupKey


_GroupHead = tuple[int, int, JobGroupKey]


class JobQueue:
    """Keeps the waiting jobs of a domain in groups.

    Jobs of one group are ordered by the offset at which they were opened. The
    first schedulable group of each team is cached; only teams whose jobs,
    claims or quota changed are evaluated again. Groups whose tasks fit no
    worker are marked unschedulable until a worker has enough free capacity, so
    that planning in a full domain costs nothing.
    """

    def __init__(self, is_borrowing: Callable[[JobGroupKey], bool]):
        """Creates an empty queue.

        Args:
            is_borrowing: Returns whether one more task of a group would exceed
                its team's quota share.
        """
        self._is_borrowing = is_borrowing
        self._groups: dict[JobGroupKey, sortedcontainers.SortedDict] = {}
        self._queue_positions_by_job: dict[str, tuple[JobGroupKey, int]] = {}
        self._group_heads_by_team: dict[str, sortedcontainers.SortedList] = {}
        self._candidates_by_team: dict[str, _TeamCandidate] = {}
        self._ordered_candidates = sortedcontainers.SortedList()
        self._changed_teams: dict[str, None] = {}
        self._groups_by_resources: dict[model.Resources, dict[JobGroupKey,
                                                              None]] = {}
        self._unschedulable_resources: dict[model.Resources, None] = {}

    def __len__(self) -> int:
        return len(self._queue_positions_by_job)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._queue_positions_by_job

    def clear(self) -> None:
        """Removes all jobs."""
        self._groups.clear()
        self._queue_positions_by_job.clear()
        self._group_heads_by_team.clear()
        self._candidates_by_team.clear()
        self._ordered_candidates.clear()
        self._changed_teams.clear()
        self._groups_by_resources.clear()
        self._unschedulable_resources.clear()

    def put(self, job_id: str, group_key: JobGroupKey,
            opened_offset: int) -> None:
        """Adds a job to a group, removing it from its previous group if any."""
        position = (group_key, opened_offset)
        if self._queue_positions_by_job.get(job_id) == position:
            return
        self.remove(job_id)
        self._queue_positions_by_job[job_id] = position
        group = self._groups.get(group_key)
        if group is None:
            group = self._groups[group_key] = sortedcontainers.SortedDict()
            self._groups_by_resources.setdefault(group_key.resources,
                                                 {})[group_key] = None
        self._update_group_head(group_key, group,
                                lambda: group.setdefault(opened_offset, job_id))

    def remove(self, job_id: str) -> None:
        """Removes a job; does nothing if the job is not in the queue."""
        position = self._queue_positions_by_job.pop(job_id, None)
        if position is None:
            return
        group_key, opened_offset = position
        group = self._groups[group_key]
        self._update_group_head(group_key, group,
                                lambda: group.pop(opened_offset))
        if not group:
            del self._groups[group_key]
            groups_with_resources = self._groups_by_resources[
                group_key.resources]
            del groups_with_resources[group_key]
            if not groups_with_resources:
                del self._groups_by_resources[group_key.resources]
                self._unschedulable_resources.pop(group_key.resources, None)

    def _update_group_head(self, group_key: JobGroupKey,
                           group: sortedcontainers.SortedDict,
                           apply_change: Callable[[], object]) -> None:
        group_heads = self._group_heads_by_team.get(group_key.team)
        if group_heads is None:
            group_heads = self._group_heads_by_team[
                group_key.team] = sortedcontainers.SortedList()
        old_offset = group.keys()[0] if group else None
        apply_change()
        new_offset = group.keys()[0] if group else None
        if old_offset == new_offset:
            return
        if old_offset is not None:
            group_heads.remove((group_key.job_class, old_offset, group_key))
        if new_offset is not None:
            group_heads.add((group_key.job_class, new_offset, group_key))
        self.mark_team_changed(group_key.team)

    def mark_team_changed(self, team: str) -> None:
        """Marks a team whose first schedulable group may have changed."""
        self._changed_teams[team] = None

    def mark_all_teams_changed(self) -> None:
        """Marks all teams, for example after their quota shares changed."""
        self._changed_teams.update(dict.fromkeys(self._group_heads_by_team))

    def list_team_candidates(self) -> list[_TeamCandidate]:
        """Returns the first schedulable group of each team, in queue order."""
        for team in self._changed_teams:
            old_candidate = self._candidates_by_team.pop(team, None)
            if old_candidate is not None:
                self._ordered_candidates.remove(old_candidate)
            new_candidate = self.find_best_group(team)
            if new_candidate is not None:
                self._candidates_by_team[team] = new_candidate
                self._ordered_candidates.add(new_candidate)
        self._changed_teams.clear()
        return list(self._ordered_candidates)

    def mark_unschedulable(self, resources: model.Resources) -> None:
        """Skips the groups whose tasks need more than any worker has free."""
        self._unschedulable_resources[resources] = None
        self._mark_teams_requesting(resources)

    def mark_schedulable(self, free_capacity: model.Resources) -> None:
        """Stops skipping the groups whose tasks fit in `free_capacity`."""
        for resources in [
                resources for resources in self._unschedulable_resources
                if resources.fits_in(free_capacity)
        ]:
            del self._unschedulable_resources[resources]
            self._mark_teams_requesting(resources)

    def _mark_teams_requesting(self, resources: model.Resources) -> None:
        for group_key in self._groups_by_resources.get(resources, ()):
            self._changed_teams[group_key.team] = None

    def iterate_unschedulable(self) -> Iterator[JobGroupKey]:
        """Yields the groups that are marked unschedulable."""
        for resources in self._unschedulable_resources:
            yield from self._groups_by_resources.get(resources, ())

    def find_best_group(self, team: str) -> _TeamCandidate | None:
        """Returns the first schedulable group of a team, or None."""
        for (job_class, opened_offset,
             group_key) in self._group_heads_by_team.get(team, ()):
            if group_key.resources not in self._unschedulable_resources:
                return _TeamCandidate(job_class, self._is_borrowing(group_key),
                                      opened_offset, group_key)
        return None

    def get_first_job(self, group_key: JobGroupKey) -> tuple[int, str] | None:
        """Returns the opening offset and the id of the first job, or None."""
        group = self._groups.get(group_key)
        return group.peekitem(0) if group else None

    def iterate_jobs(self, group_key: JobGroupKey) -> Iterator[str]:
        """Yields the ids of a group's jobs, in the order of their opening."""
        return iter(self._groups.get(group_key, {}).values())

    def iterate_groups(self) -> Iterator[JobGroupKey]:
        """Yields the keys of all groups, including unschedulable ones."""
        return iter(self._groups)


class QueuePass:
    """Iterates over the schedulable jobs once, in queue order.

    Jobs are ordered by class. Within a class, jobs inside their team's quota
    share come before jobs that would borrow capacity, and earlier opened jobs
    come first.
    """

    def __init__(self, queue: JobQueue):
        self._queue = queue
        self._candidate_heap = queue.list_team_candidates()

    def pop_first_job(self) -> tuple[JobGroupKey, str] | None:
        """Returns the next group and the id of its first job, or None.

        Each call must be followed by a call of `push_next_job`, even if the
        group was marked unschedulable.
        """
        while self._candidate_heap:
            candidate = heapq.heappop(self._candidate_heap)
            current_candidate = self._queue.find_best_group(
                candidate.group_key.team)
            if current_candidate is None:
                continue
            if current_candidate > candidate:
                heapq.heappush(self._candidate_heap, current_candidate)
                continue
            return current_candidate.group_key, self._queue.get_first_job(
                current_candidate.group_key)[1]
        return None

    def push_next_job(self, group_key: JobGroupKey) -> None:
        """Adds the next schedulable group of the same team to the pass."""
        candidate = self._queue.find_best_group(group_key.team)
        if candidate is not None:
            heapq.heappush(self._candidate_heap, candidate)
