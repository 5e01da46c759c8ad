"""Running estimates of means and quantiles that favour recent observations."""

import math


class DecayingMean:
    """Mean of observations whose weights decay exponentially with time.

    Without new observations the estimate returns to its prior, so that a
    target with bad results in the past is tried again.
    """

    def __init__(self, time_constant_s: float, prior_mean: float,
                 prior_weight: float, max_weight: float):
        """Creates an estimate without observations.

        Args:
            time_constant_s: Seconds in which a weight falls to 1/e.
            prior: Estimate when there are no recent observations.
            prior_weight: Number of observations that the prior counts as.
            max_weight: Upper bound of the sum of the weights. Without it, the
                estimate of a busy target would need many more observations to
                follow a change than that of a target with few requests.
        """
        self._max_weight = max_weight
        self._time_constant_s = time_constant_s
        self._prior_mean = prior_mean
        self._prior_weight = prior_weight
        self._weighted_sum = 0.0
        self._total_weight = 0.0
        self._updated_at = 0.0

    def add(self, observed_value: float, now: float) -> None:
        """Adds a value observed at a time in monotonic seconds."""
        decay = self._compute_decay(now)
        if self._total_weight * decay > self._max_weight - 1.0:
            decay = (self._max_weight - 1.0) / self._total_weight
        self._weighted_sum = self._weighted_sum * decay + observed_value
        self._total_weight = self._total_weight * decay + 1.0
        self._updated_at = now

    def get_mean(self, now: float) -> float:
        """Returns the estimated mean at a time in monotonic seconds."""
        decay = self._compute_decay(now)
        return ((self._weighted_sum * decay +
                 self._prior_mean * self._prior_weight) /
                (self._total_weight * decay + self._prior_weight))

    def get_observation_count(self, now: float) -> float:
        """Returns the sum of the decayed weights of all observations."""
        return self._total_weight * self._compute_decay(now)

    def reset(self) -> None:
        """Removes all observations, which leaves the prior."""
        self._weighted_sum = 0.0
        self._total_weight = 0.0

    def _compute_decay(self, now: float) -> float:
        age = now - self._updated_at
        return math.exp(-age / self._time_constant_s) if age > 0 else 1.0


class LatencyEstimate:
    """Running mean and high quantile of the latency of one service."""

    def __init__(self, initial_latency_s: float, quantile_level: float):
        """Creates an estimate without observations.

        Args:
            initial_latency_s: Seconds assumed before the first observation.
            quantile: Level of the quantile to estimate, between 0 and 1.
        """
        self._initial_latency_s = initial_latency_s
        self._quantile_level = quantile_level
        self._mean_s = 0.0
        self._quantile_s = initial_latency_s
        self._observation_count = 0

    @property
    def observation_count(self) -> int:
        """Number of observations."""
        return self._observation_count

    @property
    def mean_s(self) -> float:
        """Estimated mean in seconds."""
        return self._mean_s if self._observation_count else self._initial_latency_s

    @property
    def quantile_s(self) -> float:
        """Estimated quantile in seconds."""
        return self._quantile_s

    def add(self, latency_s: float) -> None:
        """Adds an observed latency in seconds.

        The quantile changes by a small factor on each observation. The steps up
        are larger than those down, so that it settles where a fraction of
        1 - quantile of the observations is larger. No samples are stored.
        """
        self._observation_count += 1
        mean_gain = max(1.0 / self._observation_count, _MIN_MEAN_GAIN)
        self._mean_s += mean_gain * (latency_s - self._mean_s)
        if self._observation_count == 1:
            self._quantile_s = 3.0 * latency_s
        elif latency_s > self._quantile_s:
            self._quantile_s *= 1.0 + _QUANTILE_STEP * self._quantile_level
        else:
            self._quantile_s *= 1.0 - _QUANTILE_STEP * (1.0 -
                                                        self._quantile_level)


_MIN_MEAN_GAIN = 0.005
_QUANTILE_STEP = 0.05
