"""Pauses before an order that failed is repeated."""

import datetime

FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=100)
"""Pause after the first failure of an order. It is short because a single
broken connection is no sign of a lasting fault. It is also the shortest time
between a failure and the next order to a worker that replies to status calls
but refuses the order."""

MAX_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Longest pause between two orders. It doubles with each failure up to this
value. A worker whose replies are lost carries out the orders that it receives,
so a cancelled task must not wait much longer than a worker takes to stop it."""


class OrderRetry:
    """Decides when an order of one kind for one run may be sent again.

    Times are monotonic and in seconds.

    Attributes:
        failure_count: Number of orders that failed since the last one that
            succeeded.
    """

    __slots__ = ("failure_count", "_earliest_at", "_due_at")

    def __init__(self) -> None:
        self.failure_count = 0
        self._earliest_at = 0.0
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether the order may be sent now."""
        return now >= self._due_at

    def record_result(self, has_succeeded: bool, now: float) -> None:
        """Begins a pause after a failure; a success ends the series."""
        if has_succeeded:
            self.failure_count = 0
            self._due_at = now
            return
        delay = min(MAX_RETRY_DELAY,
                    FIRST_RETRY_DELAY * 2**min(self.failure_count, 10))
        self.failure_count += 1
        self._earliest_at = now + FIRST_RETRY_DELAY.total_seconds()
        self._due_at = now + delay.total_seconds()

    def shorten_pause(self) -> None:
        """Reduces the pause to `FIRST_RETRY_DELAY`: the worker replies again.
        """
        self._due_at = min(self._due_at, self._earliest_at)
