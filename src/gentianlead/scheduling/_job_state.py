"""Scheduling state of an open job, which is local to this daemon."""

import collections

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _queue

_CANDIDATE_BATCH_SIZE = 64


class JobSchedulingState:
    """Tracks which tasks of an open job can start, and why a job cannot.

    Attributes:
        job: The job in the domain state.
        group_key: Queue group of the job.
        planned_tasks: Indexes of the tasks that this daemon planned to start
            and whose claim was neither applied to the domain state nor rejected
            yet.
        blocked_reason: Why no task of the job can start until the configuration
            or the workers change: its team is unknown or its tasks are too
            large; None if it is not blocked.
        paused_reason: Why the job is kept out of the queue for a while: it
            fails, has reached the run limit of its trial or is deferred; None
            if it is not paused. A failing job retries single tasks while it is
            paused.
        is_cancelled: Whether an operator cancelled the job.
        waiting_since: Monotonic seconds at which the job last entered the queue
            or had a task claimed, whichever is later.
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
        """Whether the job may enter the queue.

        It may if tasks wait and it is neither blocked, paused nor cancelled.
        """
        return (self.blocked_reason is None and self.paused_reason is None and
                not self.is_cancelled and self.count_waiting_tasks() > 0)

    @property
    def may_retry(self) -> bool:
        """Whether the job may start a single task even while it is paused.

        This requires a waiting task, no live run and no planned start. Blocked
        and cancelled jobs may not.
        """
        return (self.blocked_reason is None and not self.is_cancelled and
                self.count_waiting_tasks() > 0 and not self.job.live_tasks and
                not self.planned_tasks)

    def count_waiting_tasks(self) -> int:
        """Returns the number of tasks that still have to be planned.

        These are neither done, nor do they have a live run or a planned start.
        Suspects are left out, because `SuspectTasks` starts them.
        """
        skipped_tasks = self.planned_tasks
        if self.job.crashes:
            skipped_tasks = skipped_tasks.union(
                self.job.list_waiting_suspects())
        return self.job.count_pending_tasks() - len(skipped_tasks)

    def take_next_task(self) -> int | None:
        """Returns the index of the next task to start.

        Returns None if every task is done, live, planned or a suspect. The
        caller must plan a start of the task, or give it back with
        `return_unplaced_task`.
        """
        task_index = self._pop_candidate_task()
        if task_index is not None or self.count_waiting_tasks() <= 0:
            return task_index
        self._candidate_tasks.extend(
            self.job.list_claimable_tasks(
                len(self.planned_tasks) + len(self.job.crashes) +
                _CANDIDATE_BATCH_SIZE))
        return self._pop_candidate_task()

    def _pop_candidate_task(self) -> int | None:
        while self._candidate_tasks:
            task_index = self._candidate_tasks.popleft()
            if (task_index not in self.planned_tasks and
                    task_index not in self.job.done and
                    task_index not in self.job.live_tasks and
                    not model.is_suspect(self.job.crashes.get(task_index, ()))):
                return task_index
        return None

    def return_unplaced_task(self, task_index: int) -> None:
        """Puts back a task, so that `take_next_task` returns it again next."""
        self._candidate_tasks.appendleft(task_index)
