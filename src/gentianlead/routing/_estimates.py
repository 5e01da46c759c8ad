"""Estimates of means and quantiles that give recent observations more weight.

No observations are stored.
"""

import math


class DecayingMean:
    """Mean of observations whose weights decay exponentially with time.

    Without new observations the estimate returns to the prior mean, so that a
    target with bad results in the past is tried again.
    """

    def __init__(self, time_constant_s: float, prior_mean: float,
                 prior_weight: float, max_weight: float):
        """Creates an estimate without observations.

        Args:
            time_constant_s: Seconds in which the weight of an observation falls
                to 1/e.
            prior_mean: Mean that is assumed while there are no observations.
            prior_weight: Number of new observations whose weight the prior mean
                has; it does not decay.
            max_weight: Upper bound of the sum of the weights of all
                observations. Without it, the estimate of a busy target would
                need many more observations to follow a change than that of a
                target with few requests.
        """
        self._max_weight = max_weight
        self._time_constant_s = time_constant_s
        self._prior_mean = prior_mean
        self._prior_weight = prior_weight
        self._weighted_sum = 0.0
        self._total_weight = 0.0
        self._last_added_at = 0.0

    def add(self, observed_value: float, now: float) -> None:
        """Adds a value observed at a time in monotonic seconds."""
        decay_factor = self._compute_decay(now)
        if self._total_weight * decay_factor > self._max_weight - 1.0:
            decay_factor = (self._max_weight - 1.0) / self._total_weight
        self._weighted_sum = self._weighted_sum * decay_factor + observed_value
        self._total_weight = self._total_weight * decay_factor + 1.0
        self._last_added_at = now

    def get_mean(self, now: float) -> float:
        """Returns the estimated mean at a time in monotonic seconds."""
        decay_factor = self._compute_decay(now)
        return ((self._weighted_sum * decay_factor +
                 self._prior_mean * self._prior_weight) /
                (self._total_weight * decay_factor + self._prior_weight))

    def get_observation_count(self, now: float) -> float:
        """Returns the sum of the decayed weights of all observations.

        An observation counts 1 when it is added and less as it ages.
        """
        return self._total_weight * self._compute_decay(now)

    def reset(self) -> None:
        """Removes all observations; the estimate is the prior mean again."""
        self._weighted_sum = 0.0
        self._total_weight = 0.0

    def _compute_decay(self, now: float) -> float:
        age_s = now - self._last_added_at
        return math.exp(-age_s / self._time_constant_s) if age_s > 0 else 1.0


class LatencyEstimate:
    """Estimates the mean and a high quantile of the latency of one service."""

    def __init__(self, initial_latency_s: float, quantile_level: float):
        """Creates an estimate without observations.

        Args:
            initial_latency_s: Mean and quantile in seconds until the first
                observation.
            quantile_level: Fraction of the latencies, between 0 and 1, that are
                below the quantile to estimate.
        """
        self._initial_latency_s = initial_latency_s
        self._quantile_level = quantile_level
        self._mean_s = 0.0
        self._quantile_s = initial_latency_s
        self._observation_count = 0

    @property
    def observation_count(self) -> int:
        """Number of latencies that were added."""
        return self._observation_count

    @property
    def mean_s(self) -> float:
        """Estimated mean latency in seconds."""
        return (self._mean_s
                if self._observation_count else self._initial_latency_s)

    @property
    def quantile_s(self) -> float:
        """Estimated high quantile of the latency in seconds."""
        return self._quantile_s

    def add(self, latency_s: float) -> None:
        """Adds an observed latency in seconds.

        The first latency times 3 is the first estimate of the quantile. Each
        further latency above the estimate raises it by 5 % * `quantile_level`.
        Each other latency lowers it by 5 % * (1 - `quantile_level`). The
        estimate therefore settles where a fraction of 1 - `quantile_level` of
        the latencies is larger. No samples are stored.
        """
        self._observation_count += 1
        new_observation_weight = max(1.0 / self._observation_count,
                                     _MIN_NEW_OBSERVATION_WEIGHT)
        self._mean_s += new_observation_weight * (latency_s - self._mean_s)
        if self._observation_count == 1:
            self._quantile_s = 3.0 * latency_s
        elif latency_s > self._quantile_s:
            self._quantile_s *= (1.0 +
                                 _QUANTILE_STEP_FRACTION * self._quantile_level)
        else:
            self._quantile_s *= 1.0 - _QUANTILE_STEP_FRACTION * (
                1.0 - self._quantile_level)


_MIN_NEW_OBSERVATION_WEIGHT = 0.005
_QUANTILE_STEP_FRACTION = 0.05
