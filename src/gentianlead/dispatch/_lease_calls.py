"""Calls that extend leases, and may reach another instance of a worker.

A worker may start again under its identifier, with a new clock. The end of a
lease is a time on the clock of one instance. If the call reaches the next one,
whose clock is behind, the lease lasts longer there than its sender meant: up to
the longest lease that workers hold.
"""

import datetime

MAX_RELATIVE_CLOCK_DRIFT = 0.02
"""Largest relative error of a worker's clock; guaranteed by the platform."""

LEASE_EXPIRY_MARGIN_MS = 150
"""Time in milliseconds that a worker may need after the end of its lease to
stop its runs: covers scheduling delays at the worker."""

CALL_END_LIMIT = datetime.timedelta(seconds=2.5)
"""Time by which each call to a worker has ended, also if the delay of the event
loop is added to its timeout."""


def compute_longest_lease_s(lease: datetime.timedelta) -> float:
    """Returns after which time in seconds a new lease has certainly expired.

    The clock of the worker may be slow.
    """
    return ((lease.total_seconds() + LEASE_EXPIRY_MARGIN_MS / 1000) /
            (1 - MAX_RELATIVE_CLOCK_DRIFT))


class LeaseCall:
    """A call that extends the lease of a worker.

    Times are monotonic and in seconds unless stated otherwise.

    Attributes:
        lease_end_ms: End of the lease in milliseconds on the clock of the
            instance that was meant; None if a former leader made the call.
        clock_ms: Lower bound of that clock, in milliseconds, when the call was
            sent.
        ended_at: Time at which the call ended, with or without a reply; None
            while it lasts. No instance that starts later gets the call.
    """

    __slots__ = ("lease_end_ms", "clock_ms", "ended_at")

    def __init__(self, lease_end_ms: int | None, clock_ms: int,
                 ended_at: float | None):
        self.lease_end_ms = lease_end_ms
        self.clock_ms = clock_ms
        self.ended_at = ended_at


class LeaseCalls:
    """Calls to one worker that extend its lease.

    Only the calls that the instance for which they were meant has not answered
    are kept. When the worker has been replaced, those that may have reached the
    new instance bound its lease.
    """

    def __init__(self) -> None:
        self._unconfirmed: list[LeaseCall] = []
        self._misdirected: list[LeaseCall] = []

    @property
    def has_misdirected(self) -> bool:
        """Whether a call may have reached another instance than was meant."""
        return bool(self._misdirected)

    def begin(self, lease_end_ms: int, clock_ms: int) -> LeaseCall:
        """Adds a call that is sent now."""
        call = LeaseCall(lease_end_ms, clock_ms, None)
        self._unconfirmed.append(call)
        return call

    def end(self, call: LeaseCall, clock_ms: int | None, now: float) -> bool:
        """Ends a call.

        Args:
            call: The call.
            clock_ms: Clock of the worker according to the reply; None without a
                reply.
            now: Present monotonic time in seconds.

        Returns:
            Whether another instance than the one that was meant has replied. It
            shows in its clock, which is behind.
        """
        call.ended_at = now
        if clock_ms is None or call not in self._unconfirmed:
            return False
        self._unconfirmed.remove(call)
        if clock_ms >= call.clock_ms:
            return False
        self._misdirected.append(call)
        return True

    def add_former_calls(self, ended_at: float) -> None:
        """Adds the calls of a former leader, of which the last one has ended.
        """
        self._unconfirmed.append(LeaseCall(None, 0, ended_at))

    def drop_settled(self, seen_at: float) -> None:
        """Drops calls that ended before the present instance was seen last.

        They cannot reach the next instance.
        """
        self._unconfirmed = [
            call for call in self._unconfirmed
            if call.ended_at is None or call.ended_at >= seen_at
        ]

    def apply_replacement(self, started_at: float) -> None:
        """Keeps the calls that may have reached a new instance.

        Args:
            started_at: Time at which the new instance started, or earlier.
        """
        self._misdirected = [
            call for call in (*self._misdirected, *self._unconfirmed)
            if call.ended_at is None or call.ended_at >= started_at
        ]
        self._unconfirmed = []

    def compute_rest_s(self, longest_lease_s: float, clock_ms: int,
                       now: float) -> float:
        """Returns for how long a misdirected call may give a lease, in seconds.

        Args:
            longest_lease_s: Time after which the longest lease that workers
                hold has certainly expired.
            clock_ms: Lower bound of the worker's clock.
            now: Present monotonic time in seconds.
        """
        rest_s = 0.0
        for call in self._misdirected:
            call_rest_s = longest_lease_s
            if call.ended_at is not None:
                call_rest_s += call.ended_at - now
            if call.lease_end_ms is not None:
                call_rest_s = min(
                    call_rest_s,
                    (call.lease_end_ms + LEASE_EXPIRY_MARGIN_MS - clock_ms) /
                    1000 / (1 - MAX_RELATIVE_CLOCK_DRIFT))
            rest_s = max(rest_s, call_rest_s)
        return rest_s
