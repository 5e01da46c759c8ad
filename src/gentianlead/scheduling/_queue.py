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
    """Returns the class of a job; lower values are scheduled first."""
    if spec.is_urgent:
        return URGENT_CLASS
    return WATCHER_CLASS if spec.is_watcher else BATCH_CLASS


class _TeamCandidate(NamedTuple):
    """The first schedulable group of a team.

    Candidates are compared field by field, in the order of the fields, and the
    lowest one is scheduled first.

    Attributes:
        job_class: Class of the group's jobs.
        would_borrow: Whether one more task of the group would exceed the team's
            quota share in the domain.
        opened_offset: Stream offset at which the group's first job was opened.
        group_key: Key of the group.
    """

    job_class: int
    would_borrow: bool
    opened_offset: int
    group_key: JobGroupKey


_GroupHead = tuple[int, int, JobGroupKey]


class JobQueue:
    """Keeps the waiting jobs of a domain in groups.

    Jobs of one group are ordered by the stream offset at which they were
    opened. The first schedulable group of each team is cached; only teams whose
    jobs, claims, quota or schedulable groups changed are evaluated again. A
    group for whose tasks no worker was found is marked unschedulable and
    skipped until a worker has enough free capacity for one of them, so that
    planning in a full domain costs nothing.
    """

    def __init__(self, would_borrow: Callable[[JobGroupKey], bool]):
        """Creates an empty queue.

        Args:
            would_borrow: Returns whether one more task of a group would exceed
                its team's quota share in the domain.
        """
        self._would_borrow = would_borrow
        self._jobs_by_group: dict[JobGroupKey, sortedcontainers.SortedDict] = {}
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
        self._jobs_by_group.clear()
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
        queue_position = (group_key, opened_offset)
        if self._queue_positions_by_job.get(job_id) == queue_position:
            return
        self.remove(job_id)
        self._queue_positions_by_job[job_id] = queue_position
        group = self._jobs_by_group.get(group_key)
        if group is None:
            group = self._jobs_by_group[
                group_key] = sortedcontainers.SortedDict()
            self._groups_by_resources.setdefault(group_key.resources,
                                                 {})[group_key] = None
        self._update_group_head(group_key, group,
                                lambda: group.setdefault(opened_offset, job_id))

    def remove(self, job_id: str) -> None:
        """Removes a job; does nothing if the job is not in the queue."""
        queue_position = self._queue_positions_by_job.pop(job_id, None)
        if queue_position is None:
            return
        group_key, opened_offset = queue_position
        group = self._jobs_by_group[group_key]
        self._update_group_head(group_key, group,
                                lambda: group.pop(opened_offset))
        if not group:
            del self._jobs_by_group[group_key]
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
        old_head_offset = group.keys()[0] if group else None
        apply_change()
        new_head_offset = group.keys()[0] if group else None
        if old_head_offset == new_head_offset:
            return
        if old_head_offset is not None:
            group_heads.remove(
                (group_key.job_class, old_head_offset, group_key))
        if new_head_offset is not None:
            group_heads.add((group_key.job_class, new_head_offset, group_key))
        self.mark_team_changed(group_key.team)

    def mark_team_changed(self, team: str) -> None:
        """Marks the cached first schedulable group of a team as outdated."""
        self._changed_teams[team] = None

    def mark_all_teams_changed(self) -> None:
        """Marks the cached groups of all teams as outdated.

        This is required after the quota shares changed.
        """
        self._changed_teams.update(dict.fromkeys(self._group_heads_by_team))

    def list_team_candidates(self) -> list[_TeamCandidate]:
        """Returns the first schedulable group of each team, in queue order.

        Teams without a schedulable group are left out.
        """
        for team in self._changed_teams:
            old_candidate = self._candidates_by_team.pop(team, None)
            if old_candidate is not None:
                self._ordered_candidates.remove(old_candidate)
            new_candidate = self.find_team_candidate(team)
            if new_candidate is not None:
                self._candidates_by_team[team] = new_candidate
                self._ordered_candidates.add(new_candidate)
        self._changed_teams.clear()
        return list(self._ordered_candidates)

    def mark_unschedulable(self, resources: model.Resources) -> None:
        """Marks the groups with these resources per task as unschedulable.

        The caller has found no worker for such a task.
        """
        self._unschedulable_resources[resources] = None
        self._mark_teams_requesting(resources)

    def mark_schedulable(self, free_capacity: model.Resources) -> None:
        """Marks groups whose tasks fit in `free_capacity` schedulable again."""
        for resources in [
                resources for resources in self._unschedulable_resources
                if resources.fits_in(free_capacity)
        ]:
            del self._unschedulable_resources[resources]
            self._mark_teams_requesting(resources)

    def _mark_teams_requesting(self, resources: model.Resources) -> None:
        for group_key in self._groups_by_resources.get(resources, ()):
            self._changed_teams[group_key.team] = None

    def iterate_unschedulable_groups(self) -> Iterator[JobGroupKey]:
        """Yields the keys of the groups that are marked unschedulable."""
        for resources in self._unschedulable_resources:
            yield from self._groups_by_resources.get(resources, ())

    def find_team_candidate(self, team: str) -> _TeamCandidate | None:
        """Returns the first schedulable group of a team, or None.

        The result is computed without the cache.
        """
        for (job_class, opened_offset,
             group_key) in self._group_heads_by_team.get(team, ()):
            if group_key.resources not in self._unschedulable_resources:
                return _TeamCandidate(job_class, self._would_borrow(group_key),
                                      opened_offset, group_key)
        return None

    def get_first_job(self, group_key: JobGroupKey) -> tuple[int, str] | None:
        """Returns the job of a group that was opened first.

        The result is the stream offset at which the job was opened and the id
        of the job; None if the group has no jobs.
        """
        group = self._jobs_by_group.get(group_key)
        return group.peekitem(0) if group else None

    def iterate_jobs(self, group_key: JobGroupKey) -> Iterator[str]:
        """Yields the ids of a group's jobs, those opened earlier first."""
        return iter(self._jobs_by_group.get(group_key, {}).values())

    def iterate_groups(self) -> Iterator[JobGroupKey]:
        """Yields the keys of all groups, including unschedulable ones."""
        return iter(self._jobs_by_group)


class QueuePass:
    """Selects, during one planning pass, the job of which a task starts next.

    Jobs are ordered by class. Within a class, jobs inside their team's quota
    share come before jobs that would borrow capacity. Among these, jobs that
    were opened earlier come first. A job can be selected repeatedly, until no
    task of it waits or its group is marked unschedulable.
    """

    def __init__(self, queue: JobQueue):
        self._queue = queue
        self._candidate_heap = queue.list_team_candidates()

    def pop_first_job(self) -> tuple[JobGroupKey, str] | None:
        """Returns the next group and the id of its first job, or None.

        The pass then skips the team of the group until `push_next_job` is
        called. The caller must therefore call it after each result, even if it
        has marked the group unschedulable.
        """
        while self._candidate_heap:
            candidate = heapq.heappop(self._candidate_heap)
            current_candidate = self._queue.find_team_candidate(
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
        """Adds the first schedulable group of `group_key.team` to the pass."""
        candidate = self._queue.find_team_candidate(group_key.team)
        if candidate is not None:
            heapq.heappush(self._candidate_heap, candidate)
