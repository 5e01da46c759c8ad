"""Age of a stream's state, and limits on the age for starts and renewals."""

import datetime
from typing import NamedTuple


class Freshness:
    """Stores the last time at which a stream's state was known to be current.

    A read to the end of the stream proves only that the state was current when
    the read was sent, because records may be appended before its reply arrives.
    """

    def __init__(self) -> None:
        self._as_of: float | None = None

    @property
    def as_of(self) -> float | None:
        """Time as of which the state was last current, in monotonic seconds.

        It is None if no read has reached the end of the stream yet, or none
        since the last `reset`.
        """
        return self._as_of

    def mark_current(self, read_sent_at: float) -> None:
        """Records that a read reached the end of the stream.

        It has no effect if a read that was sent later was already recorded.

        Args:
            read_sent_at: Time at which the read was sent, in monotonic seconds.
        """
        if self._as_of is None or read_sent_at > self._as_of:
            self._as_of = read_sent_at

    def reset(self) -> None:
        """Discards the stored time; called when the state is incomplete."""
        self._as_of = None

    def get_age(self, now: float) -> datetime.timedelta:
        """Returns the time since the state was last known to be current.

        It is `timedelta.max` while `as_of` is None.
        """
        if self._as_of is None:
            return datetime.timedelta.max
        return datetime.timedelta(seconds=max(0.0, now - self._as_of))


class FreshnessLimits(NamedTuple):
    """Limits on the age of the streams' state for each kind of action.

    Attributes:
        max_age_for_starts: Greatest age with which tasks may be started; it
            applies both to the state of the `config` stream and to that of the
            domain's stream.
        max_age_for_renewals: Greatest age of the state of the domain's stream
            with which leases may be renewed. It is longer than the outages of
            the log that occur, which last up to ten minutes.
    """

    max_age_for_starts: datetime.timedelta = datetime.timedelta(seconds=2)
    max_age_for_renewals: datetime.timedelta = datetime.timedelta(minutes=15)

    def may_start(self, config_age: datetime.timedelta,
                  domain_age: datetime.timedelta) -> bool:
        """Returns whether tasks may be started with state of these ages."""
        return max(config_age, domain_age) <= self.max_age_for_starts

    def may_renew(self, domain_age: datetime.timedelta) -> bool:
        """Returns whether leases may be renewed with state of this age."""
        return domain_age <= self.max_age_for_renewals
