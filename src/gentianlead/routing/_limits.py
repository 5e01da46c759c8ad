"""Limits on attempts: retry budget, backoff and adaptive concurrency limit."""

import datetime
import math

from gentianlead import ports

_BUDGET_CAPACITY = 50.0
_HEDGE_RESERVE = 5.0
_ADJUSTMENT_WINDOW_S = 0.5
_LIMIT_DECREASE_FACTOR = 0.8
_OVERLOADED_ATTEMPT_FRACTION = 0.25
_OVERLOADED_TARGET_FRACTION = 0.5
_MIN_LIMIT_INCREASE = 1.0
_MIN_LIMIT_FRACTION = 0.2


class RetryBudget:
    """Allows retries and hedges up to a fraction of the first attempts.

    Each first attempt adds the fraction to the budget, and each retry or hedge
    takes one from it. The budget starts empty, so that the fraction holds from
    the start of the daemon on. Its capacity is bounded, so that a long time
    without failures does not allow a storm of retries afterwards.
    """

    def __init__(self, fraction: float):
        """Creates an empty budget.

            fraction: Retries and hedges per first attempt; infinite for no
                limit.
        """
        self._fraction = fraction
        self._available_retries = 0.0

    def deposit(self) -> None:
        """Adds to the budget for a first attempt."""
        self._available_retries = min(_BUDGET_CAPACITY,
                                      self._available_retries + self._fraction)

    def withdraw(self, is_hedge: bool = False) -> bool:
        """Takes one retry or hedge from the budget; returns whether it could.

        Hedges leave a reserve in the budget, so that retries after failures
        remain possible.
        """
        if math.isinf(self._fraction):
            return True
        if self._available_retries < 1.0 + (_HEDGE_RESERVE
                                            if is_hedge else 0.0):
            return False
        self._available_retries -= 1.0
        return True

    def refund(self) -> None:
        """Gives back one retry or hedge that was withdrawn but not started."""
        self._available_retries = min(_BUDGET_CAPACITY,
                                      self._available_retries + 1.0)


class Backoff:
    """Exponential retry delays with full jitter.

    The jitter spreads the retries of requests that failed at the same time.
    """

    def __init__(self, initial_delay: datetime.timedelta,
                 maximum_delay: datetime.timedelta, random: ports.RandomSource):
        self._initial_delay = initial_delay.total_seconds()
        self._maximum_delay = maximum_delay.total_seconds()
        self._random = random

    def get_delay(self, retry: int) -> float:
        """Returns the delay in seconds before a retry, numbered from 1."""
        max_delay = min(self._maximum_delay,
                        self._initial_delay * 2.0**(retry - 1))
        return max_delay * self._random.random()


class ConcurrencyLimit:
    """Adaptive limit on the attempts that a daemon has in flight.

    Timeouts and refusals for overload count as overload signals. The limit
    falls only when at least half of the targets in use give such signals; a
    single bad target is handled by ejection instead. Latency is not a signal:
    work colocated on the VM of the target raises it, and fewer requests would
    not lower it.
    """

    def __init__(self) -> None:
        self._maximum = 0
        self._limit = 0.0
        self._window_began_at = -math.inf
        self._attempt_counts: dict[str, tuple[int, int]] = {}

    @property
    def limit(self) -> int:
        """Maximum number of attempts in flight."""
        return max(1, int(self._limit))

    def set_maximum(self, maximum: int) -> None:
        """Sets the upper bound of the limit, the number of slots.

        A limit that is at the old bound is raised to the new one.
        """
        if self._limit >= self._maximum:
            self._limit = maximum
        self._maximum = maximum
        self._limit = min(self._limit, maximum)

    def record_attempt(self, target: str, is_overload_signal: bool,
                       now: float) -> None:
        """Records the end of an attempt; adjusts the limit once per window."""
        if now - self._window_began_at >= _ADJUSTMENT_WINDOW_S:
            self._adjust_limit(now)
        total_attempts, overloaded_attempts = self._attempt_counts.get(
            target, (0, 0))
        self._attempt_counts[target] = (total_attempts + 1,
                                        overloaded_attempts +
                                        is_overload_signal)

    def _adjust_limit(self, now: float) -> None:
        self._window_began_at = now
        overloaded_targets = sum(1 for total_attempts, overloaded_attempts in
                                 self._attempt_counts.values()
                                 if overloaded_attempts >= total_attempts *
                                 _OVERLOADED_ATTEMPT_FRACTION)
        if self._attempt_counts and overloaded_targets >= len(
                self._attempt_counts) * _OVERLOADED_TARGET_FRACTION:
            self._limit = max(self._limit * _LIMIT_DECREASE_FACTOR,
                              self._maximum * _MIN_LIMIT_FRACTION)
        else:
            limit_increase = max(_MIN_LIMIT_INCREASE, self._maximum * 0.1)
            self._limit = min(self._limit + limit_increase, self._maximum)
        self._attempt_counts.clear()
