"""Scheduling state of an open job that is not part of the domain state."""

import collections

from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _queue

_CANDIDATE_BATCH_SIZE = 64


class JobSchedulingState:
    """Tracks which tasks of an open job can start, and why others cannot.

    Attributes:
        job: The job in the domain state.
        group_key: Queue group of the job.
        planned_tasks: Indexes of tasks that this daemon planned to start and
            whose claim has not been applied to the domain state yet.
        blocked_reason: Why no task of the job can start; None if tasks can.
        paused_reason: Why the job is kept out of the queue for a while, with
            single retries at most; None if it may be queued.
        is_cancelled: Whether an operator cancelled the job.
        waiting_since: Monotonic seconds when the job last entered the queue
            or had a task claimed.
    """

    __slots__ = ("job", "group_key", "planned_tasks", "blocked_reason",
                 "paused_reason", "is_cancelled", "waiting_since",
                 "_candidate_tasks")

    def __init__(self, job: state.DomainJob, group_key: _queue.JobGroupKey):
        self.job = job
        self.group_key = group_key
        self.planned_tasks: set[int] = set()
        self.blocked_reason: _decisions.WaitReason | None = None
        self.paused_reason: _decisions.WaitReason | None = None
        self.is_cancelled = False
        self.waiting_since = 0.0
        self._candidate_tasks: collections.deque[int] = collections.deque()

    @property
    def may_be_queued(self) -> bool:
        """Whether tasks wait and only a lack of capacity can delay them."""
        return (self.blocked_reason is None and self.paused_reason is None and
                not self.is_cancelled and self.count_waiting_tasks() > 0)

    @property
    def may_retry(self) -> bool:
        """Whether the job may start a single task although it is paused."""
        return (self.blocked_reason is None and not self.is_cancelled and
                self.count_waiting_tasks() > 0 and not self.job.live_tasks and
                not self.planned_tasks)

    def count_waiting_tasks(self) -> int:
        """Returns the number of tasks that are not done, running or planned."""
        return self.job.count_pending_tasks() - len(self.planned_tasks)

    def take_next_task(self) -> int | None:
        """Returns the index of the next task to start, or None."""
        task = self._pop_candidate_task()
        if task is not None or self.count_waiting_tasks() <= 0:
            return task
        self._candidate_tasks.extend(
            self.job.list_claimable_tasks(
                len(self.planned_tasks) + _CANDIDATE_BATCH_SIZE))
        return self._pop_candidate_task()

    def _pop_candidate_task(self) -> int | None:
        while self._candidate_tasks:
            task = self._candidate_tasks.popleft()
            if (task not in self.planned_tasks and task not in self.job.done and
                    task not in self.job.live_tasks):
                return task
        return None

    def return_unplaced_task(self, task: int) -> None:
        """Makes a taken task available again after its placement failed."""
        self._candidate_tasks.appendleft(task)
