"""Starts of a task that its workers did not confirm."""

import datetime

REPEAT_DELAY = datetime.timedelta(milliseconds=200)
"""Time after the second refusal by one worker, and after each later one, before
the task is ordered again to a worker that refused it. Meanwhile it counts as
lacking capacity, so that it may move. Otherwise a start order could always be
pending in a group whose workers refuse in turn."""


class Refusals:
    """Starts of a task that were not confirmed since the last one that was.

    A start was not confirmed if the worker refused it, or if its run ended
    before the worker showed that it had begun; this counts as a refusal. Times
    are monotonic and in seconds.

    Attributes:
        since: Time since which the task has lacked capacity.
        worker_ids: Identifiers of the workers that refused a start.
        repeat_at: Time before which the task is not ordered to one of them.
    """

    __slots__ = ("since", "worker_ids", "repeat_at")

    def __init__(self, since: float):
        self.since = since
        self.worker_ids: set[str] = set()
        self.repeat_at = 0.0

    def add(self, worker_id: str, now: float) -> None:
        """Records that a worker has refused a start of the task."""
        if worker_id in self.worker_ids:
            self.repeat_at = now + REPEAT_DELAY.total_seconds()
        self.worker_ids.add(worker_id)

    def is_paused(self, worker_id: str, now: float) -> bool:
        """Returns whether the task must not be ordered to a worker yet."""
        return worker_id in self.worker_ids and now < self.repeat_at
