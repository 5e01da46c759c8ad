"""Limits on attempts: retry budget, backoff and adaptive concurrency limit."""

import datetime
import math

from gentianlead import ports

_RETRY_BUDGET_CAPACITY = 50.0
_RESERVE_FOR_RETRIES = 5.0
_ADJUSTMENT_WINDOW_S = 0.5
_LIMIT_DECREASE_FACTOR = 0.8
_OVERLOADED_ATTEMPT_FRACTION = 0.25
_OVERLOADED_TARGET_FRACTION = 0.5
_MIN_LIMIT_INCREASE = 1.0
_MIN_LIMIT_FRACTION = 0.2


class RetryBudget:
    """Allows retries and hedges up to a fraction of the first attempts.

    Each first attempt adds the fraction to the budget, and each retry or hedge
    takes 1 from it. The budget starts empty, so that the fraction holds from
    the start of the daemon on. It holds at most 50 retries, so that a long time
    without failures does not allow a storm of retries afterwards.
    """

    def __init__(self, retry_fraction: float):
        """Creates an empty budget.

        Args:
            retry_fraction: Number of retries and hedges allowed per first
                attempt; infinite for no limit.
        """
        self._retry_fraction = retry_fraction
        self._available_retries = 0.0

    def deposit(self) -> None:
        """Adds `retry_fraction` to the budget, for one first attempt."""
        self._available_retries = min(
            _RETRY_BUDGET_CAPACITY,
            self._available_retries + self._retry_fraction)

    def withdraw(self, is_hedge: bool = False) -> bool:
        """Takes one retry or hedge from the budget.

        A hedge must leave at least 5 retries in the budget, so that retries
        after failures remain possible.

        Args:
            is_hedge: Whether it is taken for a hedge instead of a retry.

        Returns:
            Whether the budget sufficed; if not, it is unchanged.
        """
        if math.isinf(self._retry_fraction):
            return True
        if self._available_retries < 1.0 + (_RESERVE_FOR_RETRIES
                                            if is_hedge else 0.0):
            return False
        self._available_retries -= 1.0
        return True

    def refund(self) -> None:
        """Gives back one retry or hedge that was withdrawn but not started."""
        self._available_retries = min(_RETRY_BUDGET_CAPACITY,
                                      self._available_retries + 1.0)


class Backoff:
    """Computes random retry delays; their upper bound doubles per retry.

    The upper bound grows to a maximum; each delay lies between 0 and the bound.
    The randomness (full jitter) spreads the retries of requests that failed at
    the same time.
    """

    def __init__(self, initial_delay: datetime.timedelta,
                 max_delay: datetime.timedelta, random: ports.RandomSource):
        self._initial_delay_s = initial_delay.total_seconds()
        self._max_delay_s = max_delay.total_seconds()
        self._random = random

    def get_delay_s(self, retry_number: int) -> float:
        """Returns a random delay in seconds before a retry.

        Args:
            retry_number: Number of the retry among those of the request, from
                1.
        """
        jitter_bound_s = min(self._max_delay_s,
                             self._initial_delay_s * 2.0**(retry_number - 1))
        return jitter_bound_s * self._random.random()


class ConcurrencyLimit:
    """Adaptive limit on the attempts that a daemon has in flight at targets.

    Timeouts and refusals for overload count as overload signals. The limit is
    adjusted at most every 0.5 s, from the attempts that ended since the last
    adjustment. A target counts as overloaded if at least a quarter of these
    attempts at it ended with such a signal. If at least half of the targets
    with ended attempts are overloaded, the limit falls by 20 %, but not below
    20 % of its upper bound. Else it rises by 10 % of its upper bound, but at
    least by 1. A single bad target is handled by ejection instead. Latency is
    not a signal: work colocated on the VM of the target raises it, and fewer
    requests would not lower it.
    """

    def __init__(self) -> None:
        self._max_limit = 0
        self._limit = 0.0
        self._window_began_at = -math.inf
        self._attempt_counts_by_target: dict[str, tuple[int, int]] = {}

    @property
    def limit(self) -> int:
        """Maximum number of attempts in flight at targets, at least 1."""
        return max(1, int(self._limit))

    def set_max_limit(self, max_limit: int) -> None:
        """Sets the upper bound of the limit.

        A limit that is at the old bound is raised to the new one.

        Args:
            max_limit: Slots of this daemon at all targets of its domain.
        """
        if self._limit >= self._max_limit:
            self._limit = max_limit
        self._max_limit = max_limit
        self._limit = min(self._limit, max_limit)

    def record_attempt(self, target: str, is_overload_signal: bool,
                       now: float) -> None:
        """Records the end of an attempt, to adjust the limit later.

        If the last adjustment was 0.5 s ago or more, the limit is adjusted
        first, from the attempts recorded since then, without this one.

        Args:
            target: Name of the target of the attempt.
            is_overload_signal: Whether it ended with an overload signal.
            now: Monotonic seconds.
        """
        if now - self._window_began_at >= _ADJUSTMENT_WINDOW_S:
            self._adjust_limit(now)
        total_attempts, overloaded_attempts = (
            self._attempt_counts_by_target.get(target, (0, 0)))
        self._attempt_counts_by_target[target] = (total_attempts + 1,
                                                  overloaded_attempts +
                                                  is_overload_signal)

    def _adjust_limit(self, now: float) -> None:
        self._window_began_at = now
        overloaded_target_count = sum(
            1 for total_attempts, overloaded_attempts in
            self._attempt_counts_by_target.values()
            if overloaded_attempts >= total_attempts *
            _OVERLOADED_ATTEMPT_FRACTION)
        if self._attempt_counts_by_target and overloaded_target_count >= len(
                self._attempt_counts_by_target) * _OVERLOADED_TARGET_FRACTION:
            self._limit = max(self._limit * _LIMIT_DECREASE_FACTOR,
                              self._max_limit * _MIN_LIMIT_FRACTION)
        else:
            limit_increase = max(_MIN_LIMIT_INCREASE, self._max_limit * 0.1)
            self._limit = min(self._limit + limit_increase, self._max_limit)
        self._attempt_counts_by_target.clear()
