"""Estimates how much best-effort images slow down latency-critical tasks.

The tail latency of a task that serves requests grows without bound as its
utilization approaches 1: `tail = base / (1 - utilization)`. Best-effort tasks
on the same worker slow each request down, which stretches the utilization by
the factor `1 + coefficient * cpu_share`, summed over their images. The same
best-effort task therefore leaves a lightly loaded task within its limit and
takes a highly loaded one far beyond it.

The model estimates the base latency of each latency-critical image, and one
coefficient for each pair of images. A `LoadTracker` separates the load of a
task, which changes all the time, from the stretch.
"""

import math
from typing import Iterable, NamedTuple

MIN_OBSERVED_S = 0.6
MAX_TRUSTED_VARIANCE = 8.0
"""Observation time in seconds from which a coefficient is trusted, and variance
up to which it is, half of the initial one: tail latencies are measured over
half a second, and a throttled trial tells little."""

TYPICAL_TASK_CPU_SHARE = 0.05
"""CPU share of one typical best-effort task. Samples in which all best-effort
tasks together use much less have little weight."""

BASE_LATENCY_SHARE = 0.8
"""Base latency of an image as a share of its lowest tail latency. A task is
never without load, so that its lowest tail latency is above the base."""

MAX_BASE_LIMIT_SHARE = 0.5
UNKNOWN_BASE_LIMIT_SHARE = 0.25
"""Upper bound of the base latency as a share of the latency limit, until lower
tail latencies show that it is lower; and the assumed share before the first
tail latency of an image."""

MIN_UTILIZATION = 0.05
MAX_UTILIZATION = 0.97
"""Range of utilizations that a tail latency shows. Above it, a tail latency
shows no more than that the task is overloaded."""

INITIAL_LOAD = 0.4
INITIAL_LOAD_VARIANCE = 0.3
"""Assumed load of a task before its first tail latency, and the variance of its
logarithm."""

LOAD_DRIFT_VARIANCE = 0.2
"""Increase of the variance of a load's logarithm in one second: the load may
rise or fall by almost a half in this time."""

SAMPLE_VARIANCE = 0.01
"""Variance of the logarithm of a utilization that was computed from a tail
latency, without the error by rounding to whole milliseconds."""

UNKNOWN_COEFFICIENT = 2.0
"""Assumed coefficient of a best-effort image that was not observed yet."""

INITIAL_COEFFICIENT_VARIANCE = 16.0
MIN_COEFFICIENT_VARIANCE = 0.01
COEFFICIENT_DRIFT_VARIANCE = 0.01
"""Variance of a coefficient before the first sample, its lower bound, and its
increase in one second of observation."""

UNOBSERVED_DRIFT_VARIANCE = 0.05
"""Increase of the variance of a coefficient in one second without observation.
An image that was taken for a harmful one is tried again after a while."""

MERGED_VARIANCE_DECREASE_RATE = 1.0
"""Variance of a coefficient that another daemon estimated: the initial one,
divided by 1 plus this rate times the observation time in seconds."""

USUAL_SHARE_TIME_S = 1.5
"""Time constant in seconds after which a changed CPU share of a best-effort
image counts as usual. The estimate of the load has adapted to it by then, so
that later samples do not show which of the two caused a tail latency."""

PAIR_VARIANCE = 2.0
"""Variance of the coefficients of one best-effort image beside different
latency-critical images. The higher the variance of an estimate is compared with
it, the more the other pairs count."""

MIN_COEFFICIENT = 1.2
"""A lower coefficient counts as 0: its effect cannot be told from changes of
the load."""

LATENCY_DECAY_S = 0.45
"""Time constant in seconds with which the effect of a stopped best-effort task
on the tail latency fades."""

MIN_IMAGE_CPU_SHARE = 0.01
"""Share of a worker's CPU below which a best-effort image's use is ignored."""

INTERFERING_STRETCH = 0.15
"""Stretch by one typical best-effort task above which a pair counts as
interfering when a group is chosen."""

AGING_INTERVAL_S = 1.0
"""Interval in seconds at which estimates of unobserved pairs are aged."""

MAX_SAMPLE_GAP_S = 1.0
"""Longest time in seconds that one sample represents; a longer gap since the
previous sample counts as this time."""


class InterferenceEstimate(NamedTuple):
    """Estimated interference of a pair of images.

    Attributes:
        latency_critical_image: Image of the latency-critical task.
        best_effort_image: Image of the best-effort task.
        coefficient: Relative increase of the utilization of the
            latency-critical task if the best-effort image used all CPU of a
            worker.
        observed_s: Time in seconds for which the best-effort image was observed
            beside the latency-critical one. A time in which it used little CPU
            counts less.
    """

    latency_critical_image: str
    best_effort_image: str
    coefficient: float
    observed_s: float


class LatencySample(NamedTuple):
    """Tail latency of one latency-critical task in a status report.

    Attributes:
        image: Image of the task.
        tail_latency_ms: Its tail latency in milliseconds.
        limit_ms: Limit of its tail latency in milliseconds.
    """

    image: str
    tail_latency_ms: int
    limit_ms: int


class LoadTracker:
    """Estimates the load of one latency-critical task.

    The load is the utilization that the task would have without best-effort
    tasks beside it.

    Attributes:
        log_load: Logarithm of the load.
        variance: Variance of `log_load`.
        base_ms: Base latency of the task's image in milliseconds to which the
            load refers; 0 before the first sample.
        usual_shares: Share of the worker's CPU that each best-effort image has
            used lately.
    """

    __slots__ = ("log_load", "variance", "base_ms", "usual_shares")

    def __init__(self) -> None:
        self.log_load = math.log(INITIAL_LOAD)
        self.variance = INITIAL_LOAD_VARIANCE
        self.base_ms = 0.0
        self.usual_shares: dict[str, float] = {}

    @property
    def load(self) -> float:
        """The estimated load, above 0."""
        return math.exp(self.log_load)

    def change_base(self, base_ms: float) -> None:
        """Converts the load to another base latency of the image."""
        if self.base_ms:
            headroom = max(0.0, 1.0 - self.load) * base_ms / self.base_ms
            self.log_load = math.log(
                min(MAX_UTILIZATION, max(MIN_UTILIZATION, 1.0 - headroom)))
        self.base_ms = base_ms

    def follow_shares(self, cpu_shares: dict[str, float],
                      duration_s: float) -> None:
        """Lets CPU shares that were in use for some time count as usual."""
        weight = 1.0 - math.exp(-duration_s / USUAL_SHARE_TIME_S)
        usual_shares = {}
        for image in cpu_shares.keys() | self.usual_shares.keys():
            usual_share = self.usual_shares.get(image, 0.0)
            usual_share += weight * (cpu_shares.get(image, 0.0) - usual_share)
            if usual_share >= MIN_IMAGE_CPU_SHARE / 10:
                usual_shares[image] = usual_share
        self.usual_shares = usual_shares


class DecayedUsage:
    """Tracks how much of a worker's CPU each best-effort image used recently.

    When an image uses less CPU or none any more, its share here decays to the
    new value as fast as its effect on tail latencies fades.

    Attributes:
        cpu_shares: Share of the worker's CPU, with this decay, by image.
        used_at: Monotonic time in seconds of the last update with CPU use.
    """

    def __init__(self) -> None:
        self.cpu_shares: dict[str, float] = {}
        self.used_at = 0.0
        self._updated_at = 0.0

    def update(self, cpu_shares: dict[str, float], now: float) -> float:
        """Applies the present CPU share of each image.

        Returns:
            Time in seconds since the previous update, at most
            `MAX_SAMPLE_GAP_S`: the time that a sample of these shares
            represents.
        """
        gap_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        if any(share >= MIN_IMAGE_CPU_SHARE for share in cpu_shares.values()):
            self.used_at = now
        decay_factor = math.exp(-gap_s / LATENCY_DECAY_S)
        decayed_shares = {
            image: share * decay_factor
            for image, share in self.cpu_shares.items()
            if share * decay_factor >= MIN_IMAGE_CPU_SHARE
        }
        for image, share in cpu_shares.items():
            decayed_shares[image] = max(share, decayed_shares.get(image, 0.0))
        self.cpu_shares = decayed_shares
        return min(gap_s, MAX_SAMPLE_GAP_S)


class _PairState:
    """Estimate of a pair of images while it changes.

    Attributes:
        coefficient: See `InterferenceEstimate`.
        observed_s: See `InterferenceEstimate`.
        variance: Variance of the coefficient.
        is_in_use: Whether it was observed since the model last aged.
    """

    __slots__ = ("coefficient", "observed_s", "variance", "is_in_use")

    def __init__(self, coefficient: float, observed_s: float, variance: float):
        self.coefficient = coefficient
        self.observed_s = observed_s
        self.variance = variance
        self.is_in_use = True


class _ImageEffects:
    """Estimates for all pairs of one best-effort image.

    Attributes:
        pairs: State of each pair that was observed or merged, by
            latency-critical image.
    """

    def __init__(self) -> None:
        self.pairs: dict[str, _PairState] = {}
        # Results for the present state of the pairs: mean coefficient and its
        # variance, None before they are computed; and coefficients by
        # latency-critical image.
        self._mean: tuple[float, float] | None = None
        self._coefficients: dict[str, float] = {}

    def forget_results(self) -> None:
        """Has to be called after each change of a pair."""
        self._mean = None
        self._coefficients.clear()

    def get_pair(self, latency_critical_image: str) -> _PairState:
        """Returns the state of a pair, which begins with the first call."""
        pair = self.pairs.get(latency_critical_image)
        if pair is None:
            pair = _PairState(self.compute_mean()[0], 0.0,
                              INITIAL_COEFFICIENT_VARIANCE)
            self.pairs[latency_critical_image] = pair
        return pair

    def compute_mean(self) -> tuple[float, float]:
        """Returns the mean coefficient of the pairs, and its variance.

        Most of a coefficient comes from what the best-effort task does, so
        that other latency-critical images tell what to expect.
        """
        if self._mean is None:
            # The assumed coefficient counts like a pair without samples.
            weight = 1.0 / (PAIR_VARIANCE + INITIAL_COEFFICIENT_VARIANCE)
            coefficient_sum = weight * UNKNOWN_COEFFICIENT
            for pair in self.pairs.values():
                pair_weight = 1.0 / (PAIR_VARIANCE + pair.variance)
                weight += pair_weight
                coefficient_sum += pair_weight * pair.coefficient
            self._mean = (coefficient_sum / weight, 1.0 / weight)
        return self._mean

    def compute_coefficient(self, latency_critical_image: str) -> float:
        """Returns the coefficient of a pair by which tasks are placed."""
        coefficient = self._coefficients.get(latency_critical_image)
        if coefficient is None:
            coefficient, variance = self.compute_expected(
                latency_critical_image)
            coefficient -= math.sqrt(variance)
            if coefficient < MIN_COEFFICIENT:
                coefficient = 0.0
            self._coefficients[latency_critical_image] = coefficient
        return coefficient

    def compute_expected(self,
                         latency_critical_image: str) -> tuple[float, float]:
        """Returns the most likely coefficient of a pair, and its variance."""
        coefficient, mean_variance = self.compute_mean()
        variance = PAIR_VARIANCE + mean_variance
        pair = self.pairs.get(latency_critical_image)
        if pair is None:
            return coefficient, variance
        weight = variance / (variance + pair.variance)
        coefficient += weight * (pair.coefficient - coefficient)
        return coefficient, weight * pair.variance


class InterferenceModel:
    """Estimates the interference of all pairs of images observed together.

    Example:
        >>> model = InterferenceModel()
        >>> tracker = LoadTracker()
        >>> model.add_sample(tracker, LatencySample("web", 30, 100), {}, 0.4)
        >>> model.add_sample(tracker, LatencySample("web", 240, 100),
        ...                  {"batch": 0.08}, 0.4)
        >>> model.predict_stretch("web", {"batch": 0.08}) > 0.3
        True
    """

    def __init__(self) -> None:
        self._effects: dict[str, _ImageEffects] = {}
        # Pairs of a best-effort image and a latency-critical one.
        self._changed_pairs: set[tuple[str, str]] = set()
        # Lowest tail latency in milliseconds by latency-critical image.
        self._lowest_latencies_ms: dict[str, int] = {}
        self._aged_at: float | None = None

    def age(self, now: float) -> None:
        """Lets the estimates of pairs that were not observed become uncertain.

        Args:
            now: Present monotonic time in seconds.
        """
        if self._aged_at is None:
            self._aged_at = now
        elapsed_s = now - self._aged_at
        if elapsed_s < AGING_INTERVAL_S:
            return
        self._aged_at = now
        for effects in self._effects.values():
            for pair in effects.pairs.values():
                if not pair.is_in_use:
                    pair.variance = min(
                        INITIAL_COEFFICIENT_VARIANCE,
                        pair.variance + UNOBSERVED_DRIFT_VARIANCE * elapsed_s)
                pair.is_in_use = False
            effects.forget_results()

    def add_sample(self, tracker: LoadTracker, sample: LatencySample,
                   cpu_shares: dict[str,
                                    float], sample_duration_s: float) -> None:
        """Updates the load of a task and the estimates from a tail latency.

        The difference between the measured and the predicted utilization is
        divided between the load and the coefficients by their variances, as in
        a Kalman filter without the covariances.

        Args:
            tracker: Tracker of the task's load.
            sample: The tail latency.
            cpu_shares: Share of the worker's CPU by best-effort image.
            sample_duration_s: Time in seconds that the sample represents.
        """
        if sample.tail_latency_ms <= 0:
            return
        lowest_ms = min(
            sample.tail_latency_ms,
            self._lowest_latencies_ms.get(sample.image, sample.tail_latency_ms))
        self._lowest_latencies_ms[sample.image] = lowest_ms
        base_ms = self.get_base_latency_ms(sample.image, sample.limit_ms)
        shares = {
            image: share
            for image, share in cpu_shares.items()
            if share >= MIN_IMAGE_CPU_SHARE
        }
        is_first = not tracker.base_ms
        if base_ms != tracker.base_ms:
            tracker.change_base(base_ms)
        tracker.variance = min(
            INITIAL_LOAD_VARIANCE,
            tracker.variance + LOAD_DRIFT_VARIANCE * sample_duration_s)
        if is_first:
            tracker.usual_shares = dict(shares)
        utilization = _compute_utilization(sample.tail_latency_ms, base_ms)
        log_stretch = math.log(1.0 + sum(
            self._get_pair(sample.image, image).coefficient * share
            for image, share in shares.items()))
        log_limit = math.log(MAX_UTILIZATION)
        predicted = tracker.log_load + log_stretch
        # An overload shows no more than was predicted if that is an overload.
        if utilization < MAX_UTILIZATION or predicted < log_limit:
            innovation = math.log(utilization) - min(log_limit, predicted)
            self._apply_innovation(tracker, sample, shares, log_stretch,
                                   innovation)
        for image, share in shares.items():
            pair = self._get_pair(sample.image, image)
            observed_s = sample_duration_s * share / (share +
                                                      TYPICAL_TASK_CPU_SHARE)
            pair.observed_s += observed_s
            pair.is_in_use = True
            pair.variance += COEFFICIENT_DRIFT_VARIANCE * observed_s
            self._changed_pairs.add((image, sample.image))
            self._effects[image].forget_results()
        tracker.follow_shares(shares, sample_duration_s)

    def _apply_innovation(self, tracker: LoadTracker, sample: LatencySample,
                          shares: dict[str, float], log_stretch: float,
                          innovation: float) -> None:
        # How much the logarithm of the utilization changes with a coefficient,
        # apart from what the load has adapted to.
        slopes = {
            image:
                (shares.get(image, 0.0) - tracker.usual_shares.get(image, 0.0))
                / math.exp(log_stretch)
            for image in shares.keys() | tracker.usual_shares.keys()
        }
        pairs = {image: self._get_pair(sample.image, image) for image in slopes}
        total_variance = (
            tracker.variance +
            _compute_sample_variance(sample.tail_latency_ms, tracker.base_ms) +
            sum(slope**2 * pairs[image].variance
                for image, slope in slopes.items()))
        load_gain = tracker.variance / total_variance
        tracker.log_load = min(math.log(MAX_UTILIZATION),
                               tracker.log_load + load_gain * innovation)
        tracker.variance *= 1.0 - load_gain
        for image, slope in slopes.items():
            pair = pairs[image]
            gain = slope * pair.variance / total_variance
            pair.coefficient = max(0.0, pair.coefficient + gain * innovation)
            pair.variance = max(MIN_COEFFICIENT_VARIANCE,
                                pair.variance * (1.0 - gain * slope))
            self._effects[image].forget_results()

    def _get_pair(self, latency_critical_image: str,
                  best_effort_image: str) -> _PairState:
        return self._effects.setdefault(
            best_effort_image, _ImageEffects()).get_pair(latency_critical_image)

    def get_base_latency_ms(self, latency_critical_image: str,
                            limit_ms: int) -> float:
        """Returns the base latency of an image in milliseconds.

        Before the first sample of the image, it is assumed from `limit_ms`.
        """
        lowest_ms = self._lowest_latencies_ms.get(latency_critical_image)
        if lowest_ms is None:
            return UNKNOWN_BASE_LIMIT_SHARE * limit_ms
        return min(MAX_BASE_LIMIT_SHARE * limit_ms,
                   BASE_LATENCY_SHARE * lowest_ms)

    def is_observed(self, latency_critical_image: str,
                    best_effort_image: str) -> bool:
        """Returns whether the coefficient of a pair can be trusted."""
        effects = self._effects.get(best_effort_image)
        pair = effects.pairs.get(latency_critical_image) if effects else None
        return (pair is not None and pair.observed_s >= MIN_OBSERVED_S and
                pair.variance <= MAX_TRUSTED_VARIANCE)

    def get_observed_s(self, latency_critical_image: str,
                       best_effort_image: str) -> float:
        """Returns for how many seconds a pair was observed."""
        effects = self._effects.get(best_effort_image)
        pair = effects.pairs.get(latency_critical_image) if effects else None
        return pair.observed_s if pair is not None else 0.0

    def get_coefficient(self, latency_critical_image: str,
                        best_effort_image: str) -> float:
        """Returns the coefficient of a pair by which tasks are placed.

        The less certain an estimate is, the more the other pairs with the same
        best-effort image count. The result is lower by the standard deviation:
        a pair of which little is known is tried, as nothing else shows whether
        it interferes. It is 0 below `MIN_COEFFICIENT`.
        """
        effects = self._effects.get(best_effort_image)
        if effects is None:
            return 0.0
        return effects.compute_coefficient(latency_critical_image)

    def get_expected_coefficient(self, latency_critical_image: str,
                                 best_effort_image: str) -> float:
        """Returns the most likely coefficient of a pair.

        In contrast to `get_coefficient`, it does not favor a pair of which
        little is known. It is 0 below `MIN_COEFFICIENT`, too.
        """
        effects = self._effects.get(best_effort_image)
        if effects is None:
            return UNKNOWN_COEFFICIENT
        coefficient = effects.compute_expected(latency_critical_image)[0]
        return coefficient if coefficient >= MIN_COEFFICIENT else 0.0

    def predict_stretch(self, latency_critical_image: str,
                        cpu_shares: dict[str, float]) -> float:
        """Predicts the relative increase of a latency-critical utilization.

        `cpu_shares` maps each best-effort image to the share of the worker's
        CPU that it uses.
        """
        return sum(
            self.get_coefficient(latency_critical_image, best_effort_image) *
            share for best_effort_image, share in cpu_shares.items())

    def is_interfering(self, latency_critical_image: str,
                       best_effort_image: str) -> bool:
        """Returns whether one typical best-effort task interferes noticeably.

        That is so if it stretches the utilization of the latency-critical task
        by more than `INTERFERING_STRETCH`.
        """
        return (
            self.get_coefficient(latency_critical_image, best_effort_image) *
            TYPICAL_TASK_CPU_SHARE > INTERFERING_STRETCH)

    def list_best_effort_images(self) -> set[str]:
        """Returns the best-effort images of all pairs that have an estimate."""
        return set(self._effects)

    def take_changed_estimates(self) -> list[InterferenceEstimate]:
        """Returns the estimates that samples changed since the last call.

        Pairs that only `merge` changed are left out.
        """
        changed_pairs, self._changed_pairs = self._changed_pairs, set()
        estimates = []
        for best_effort_image, latency_critical_image in sorted(changed_pairs):
            pair = self._get_pair(latency_critical_image, best_effort_image)
            estimates.append(
                InterferenceEstimate(latency_critical_image, best_effort_image,
                                     pair.coefficient, pair.observed_s))
        return estimates

    def merge(self, estimates: Iterable[InterferenceEstimate]) -> int:
        """Takes over estimates of pairs that another daemon observed longer.

        An estimate replaces the one of this model if its `observed_s` is
        higher. Estimates with a value that is negative or not finite are
        ignored.

        Returns:
            Number of ignored estimates.
        """
        ignored_count = 0
        for estimate in estimates:
            if not (0 <= estimate.coefficient < math.inf and
                    0 < estimate.observed_s < math.inf):
                ignored_count += 1
                continue
            pair = self._get_pair(estimate.latency_critical_image,
                                  estimate.best_effort_image)
            if estimate.observed_s > pair.observed_s:
                pair.coefficient = estimate.coefficient
                pair.observed_s = estimate.observed_s
                pair.variance = max(
                    MIN_COEFFICIENT_VARIANCE, INITIAL_COEFFICIENT_VARIANCE /
                    (1.0 + MERGED_VARIANCE_DECREASE_RATE * estimate.observed_s))
                self._effects[estimate.best_effort_image].forget_results()
        return ignored_count


def _compute_utilization(tail_latency_ms: float, base_ms: float) -> float:
    return min(MAX_UTILIZATION,
               max(MIN_UTILIZATION, 1.0 - base_ms / tail_latency_ms))


def _compute_sample_variance(tail_latency_ms: float, base_ms: float) -> float:
    """Returns the variance of the logarithm of a measured utilization.

    A latency in whole milliseconds is off by up to half a millisecond, evenly
    distributed.
    """
    utilization = _compute_utilization(tail_latency_ms, base_ms)
    rounding_error = 0.5 * base_ms / (tail_latency_ms**2 * utilization)
    return SAMPLE_VARIANCE + rounding_error**2 / 3
