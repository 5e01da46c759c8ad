"""Estimates a worker's monotonic clock from its replies."""

import datetime

DRIFT_LIMIT = 0.001
"""Largest assumed difference in rate between the monotonic clocks of a daemon
and a worker, as a fraction; 0.001 means 1 ms per second."""

EXPIRY_MARGIN = datetime.timedelta(milliseconds=500)
"""Time that must pass after the end of a lease before a daemon counts the lease
as expired. It covers scheduling delays on the worker."""


def compute_expiry_bound(lease: datetime.timedelta) -> datetime.timedelta:
    """Returns the time after which a lease has certainly expired.

    Args:
        lease: Greatest remaining length of the lease, on the worker's clock or
            on that of another daemon.
    """
    # The clocks of two daemons may each differ from that of the worker.
    return lease * (1 + 2 * DRIFT_LIMIT) + EXPIRY_MARGIN


class WorkerClockEstimate:
    """Computes bounds on a worker's clock from the time in its last reply.

    The worker read its clock at some time between the sending of the request
    and the receipt of the reply. The end of a lease is computed from the lower
    bound, so that the lease never lasts longer than the daemon assumes. A lease
    has certainly expired only when the lower bound is `EXPIRY_MARGIN` past its
    end.

    Args:
        boot_id: Boot identifier of the worker; its clock starts anew at boot.
        worker_time_ms: Time in the reply, in milliseconds on the worker's
            clock.
        sent_at: Time at which the request was sent, in monotonic seconds of
            this daemon.
        received_at: Time at which the reply arrived, in monotonic seconds of
            this daemon.

    Example:
        >>> estimate = WorkerClockEstimate("boot-1", 5_000, 10.0, 10.2)
        >>> estimate.get_expiry_ms(10.2, datetime.timedelta(seconds=10))
        15000
    """

    def __init__(self, boot_id: str, worker_time_ms: int, sent_at: float,
                 received_at: float):
        self.boot_id = boot_id
        self._worker_time_ms = worker_time_ms
        self._sent_at = sent_at
        self._received_at = received_at

    def get_lower_bound_ms(self, now: float) -> int:
        """Returns a lower bound of the worker's clock at `now`, in ms."""
        elapsed_s = max(0.0, now - self._received_at)
        return self._worker_time_ms + int(elapsed_s * (1 - DRIFT_LIMIT) * 1000)

    def get_upper_bound_ms(self, now: float) -> int:
        """Returns an upper bound of the worker's clock at `now`, in ms."""
        elapsed_s = max(0.0, now - self._sent_at)
        return self._worker_time_ms + int(elapsed_s *
                                          (1 + DRIFT_LIMIT) * 1000) + 1

    def get_expiry_ms(self, now: float, length: datetime.timedelta) -> int:
        """Returns the time `length` after `now` in ms on the worker's clock.

        It is computed from the lower bound at `now`, so it is never too late,
        apart from clock drift during `length`.
        """
        return self.get_lower_bound_ms(now) + int(length.total_seconds() * 1000)

    def is_certainly_past(self, worker_time_ms: int, now: float) -> bool:
        """Returns whether the worker's clock has certainly passed a time.

        This holds if the lower bound of the clock is at least `EXPIRY_MARGIN`
        after the time.

        Args:
            worker_time_ms: Time in milliseconds on the worker's clock.
            now: Current time in monotonic seconds of this daemon.
        """
        margin_ms = int(EXPIRY_MARGIN.total_seconds() * 1000)
        return self.get_lower_bound_ms(now) >= worker_time_ms + margin_ms
