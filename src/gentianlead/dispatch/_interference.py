"""Estimates how much best-effort images interfere with latency-critical ones.

Interference depends on the pair of images: most pairs do not interfere at any
load, and some raise the tail latency tenfold at a twentieth of a worker's CPU.
The model estimates one coefficient for each pair: the rise of the latency ratio
(tail latency divided by its limit) if the best-effort image used all CPU of a
worker. When a prediction is wrong, the coefficients of all pairs that share the
worker are corrected, larger ones by more.
"""

import math
from typing import Iterable, NamedTuple

UNOBSERVED_S = 0.0
"""Observation time in seconds of a pair that was never observed together."""

MIN_OBSERVED_S = 0.6
"""Observation time in seconds from which a coefficient is trusted: tail
latencies are measured over half a second."""

COEFFICIENT_INCREASE_RATE = 0.5
"""Share of the prediction error that one sample corrects when the latency ratio
is higher than predicted. It is multiplied by the weight of the sample, which
is below 1 and grows with the CPU use of best-effort tasks."""

COEFFICIENT_DECREASE_RATE = 0.5
"""Share of the prediction error that samples correct in one second when the
latency ratio is lower than predicted; multiplied by the weight of the sample
like `COEFFICIENT_INCREASE_RATE`. Coefficients of interfering pairs fall slowly,
as a wrong trial costs more than a best-effort task that is kept off a worker
without need."""

MIN_DECREASE_ERROR = 0.3
"""Coefficients are decreased only if the predicted rise of the latency ratio
exceeds the measured one by more than this. Smaller errors come from the load of
the latency-critical task."""

TYPICAL_TASK_CPU_SHARE = 0.05
"""CPU share of one typical best-effort task. Samples in which all best-effort
tasks together use much less have little weight."""

INITIAL_ATTRIBUTION = 0.5
"""Added to the coefficient of each pair when an increase is divided among pairs
in proportion to coefficient and CPU share. Pairs that were never observed thus
get a part of the increase, too."""

MAX_LATENCY_EXCESS = 5.0
"""Upper bound of the amount by which the latency ratio of a sample exceeds
`UNDISTURBED_LATENCY_RATIO`: a higher latency ratio shows no more than that some
pair interferes."""

LATENCY_DECAY_S = 0.45
"""Time constant in seconds with which the effect of a stopped best-effort task
on the tail latency fades."""

MIN_IMAGE_CPU_SHARE = 0.01
"""Share of a worker's CPU below which a best-effort image's use is ignored."""

INTERFERING_LATENCY_RISE = 0.15
"""Predicted rise of the latency ratio by one typical best-effort task above
which a pair counts as interfering when a group is chosen."""

UNDISTURBED_LATENCY_RATIO = 0.6
"""Latency ratio that a latency-critical task reaches by its own load. Only the
excess above it counts as a rise; lower values show that a best-effort task does
not interfere."""

MAX_SAMPLE_GAP_S = 1.0
"""Longest time in seconds that one sample represents; a longer gap since the
previous sample counts as this time."""


class InterferenceEstimate(NamedTuple):
    """Estimated interference of a pair of images.

    Attributes:
        latency_critical_image: Image of the latency-critical task.
        best_effort_image: Image of the best-effort task.
        coefficient: Rise of the latency ratio if the best-effort image used all
            CPU of a worker.
        observed_s: Total time in seconds for which both images were observed
            together on a worker.
    """

    latency_critical_image: str
    best_effort_image: str
    coefficient: float
    observed_s: float


class DecayedUsage:
    """Tracks how much of a worker's CPU each best-effort image used recently.

    When an image uses less CPU or none any more, its share here decays to the
    new value as fast as its effect on tail latencies fades.

    Attributes:
        cpu_shares: Share of the worker's CPU, with this decay, by image.
    """

    def __init__(self) -> None:
        self.cpu_shares: dict[str, float] = {}
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


class InterferenceModel:
    """Estimates the interference of all pairs of images observed together.

    Example:
        >>> model = InterferenceModel()
        >>> model.add_sample({"web": 2.4}, {"batch": 0.08}, 0.4)
        >>> model.predict("web", {"batch": 0.08}) > 0.3
        True
    """

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], InterferenceEstimate] = {}
        self._changed_pairs: set[tuple[str, str]] = set()

    def add_sample(self, latency_ratios: dict[str, float],
                   cpu_shares: dict[str,
                                    float], sample_duration_s: float) -> None:
        """Updates the estimates from latency ratios and CPU use on one worker.

        Args:
            latency_ratios: Highest latency ratio by latency-critical image.
            cpu_shares: Share of the worker's CPU by best-effort image.
            sample_duration_s: Time in seconds that the sample represents.
        """
        shares = {
            image: share
            for image, share in cpu_shares.items()
            if share >= MIN_IMAGE_CPU_SHARE
        }
        if not shares:
            return
        total_share = sum(shares.values())
        sample_weight = total_share / (total_share + TYPICAL_TASK_CPU_SHARE)
        for latency_critical_image, latency_ratio in latency_ratios.items():
            latency_excess = min(
                MAX_LATENCY_EXCESS,
                max(0.0, latency_ratio - UNDISTURBED_LATENCY_RATIO))
            prediction_error = latency_excess - self.predict(
                latency_critical_image, shares)
            if prediction_error > 0:
                self._increase_coefficients(
                    latency_critical_image, shares, COEFFICIENT_INCREASE_RATE *
                    sample_weight * prediction_error)
            elif prediction_error < -MIN_DECREASE_ERROR:
                self._decrease_coefficients(
                    latency_critical_image, shares, COEFFICIENT_DECREASE_RATE *
                    sample_duration_s * sample_weight * prediction_error)
            for best_effort_image in shares:
                image_pair = (latency_critical_image, best_effort_image)
                estimate = self._get_estimate(image_pair)
                self._estimates[image_pair] = estimate._replace(
                    observed_s=estimate.observed_s + sample_duration_s)
                self._changed_pairs.add(image_pair)

    def _increase_coefficients(self, latency_critical_image: str,
                               cpu_shares: dict[str, float],
                               increase: float) -> None:
        """Raises coefficients so that the predicted rise grows by `increase`.

        Each coefficient is raised in proportion to the CPU share of the
        best-effort image, times the sum of the present coefficient and
        `INITIAL_ATTRIBUTION`.
        """
        attributions = {
            best_effort_image:
                share * (INITIAL_ATTRIBUTION + self.get_coefficient(
                    latency_critical_image, best_effort_image))
            for best_effort_image, share in cpu_shares.items()
        }
        scale = increase / sum(
            attribution * cpu_shares[best_effort_image]
            for best_effort_image, attribution in attributions.items())
        for best_effort_image, attribution in attributions.items():
            image_pair = (latency_critical_image, best_effort_image)
            estimate = self._get_estimate(image_pair)
            self._estimates[image_pair] = estimate._replace(
                coefficient=estimate.coefficient + scale * attribution)

    def _decrease_coefficients(self, latency_critical_image: str,
                               cpu_shares: dict[str,
                                                float], change: float) -> None:
        predicted_rise = self.predict(latency_critical_image, cpu_shares)
        if predicted_rise <= 0:
            return
        factor = 1 + change / predicted_rise
        for best_effort_image in cpu_shares:
            image_pair = (latency_critical_image, best_effort_image)
            estimate = self._get_estimate(image_pair)
            self._estimates[image_pair] = estimate._replace(
                coefficient=estimate.coefficient * factor)

    def _get_estimate(self, image_pair: tuple[str,
                                              str]) -> InterferenceEstimate:
        return self._estimates.get(
            image_pair, InterferenceEstimate(*image_pair, 0.0, UNOBSERVED_S))

    def is_observed(self, latency_critical_image: str,
                    best_effort_image: str) -> bool:
        """Returns whether a pair was observed for at least `MIN_OBSERVED_S`."""
        estimate = self._estimates.get(
            (latency_critical_image, best_effort_image))
        return estimate is not None and estimate.observed_s >= MIN_OBSERVED_S

    def get_coefficient(self, latency_critical_image: str,
                        best_effort_image: str) -> float:
        """Returns the coefficient of a pair; 0 for one that was not observed.
        """
        estimate = self._estimates.get(
            (latency_critical_image, best_effort_image))
        return estimate.coefficient if estimate is not None else 0.0

    def predict(self, latency_critical_image: str,
                cpu_shares: dict[str, float]) -> float:
        """Predicts the rise of the latency ratio that best-effort images cause.

        `cpu_shares` maps each best-effort image to the share of the worker's
        CPU that it uses.
        """
        return sum(
            self.get_coefficient(latency_critical_image, best_effort_image) *
            share for best_effort_image, share in cpu_shares.items())

    def is_interfering(self, latency_critical_image: str,
                       best_effort_image: str) -> bool:
        """Returns whether one typical best-effort task interferes noticeably.

        That is so if its predicted rise of the latency ratio is above
        `INTERFERING_LATENCY_RISE`.
        """
        return (
            self.get_coefficient(latency_critical_image, best_effort_image) *
            TYPICAL_TASK_CPU_SHARE > INTERFERING_LATENCY_RISE)

    def list_best_effort_images(self) -> set[str]:
        """Returns the best-effort images of all pairs that have an estimate."""
        return {best_effort_image for _, best_effort_image in self._estimates}

    def take_changed_estimates(self) -> list[InterferenceEstimate]:
        """Returns the estimates that samples changed since the last call.

        Pairs that only `merge` changed are left out.
        """
        changed_pairs, self._changed_pairs = self._changed_pairs, set()
        return [
            self._estimates[image_pair] for image_pair in sorted(changed_pairs)
        ]

    def merge(self, estimates: Iterable[InterferenceEstimate]) -> None:
        """Takes over estimates of pairs that another daemon observed longer.

        An estimate replaces the one of this model if its `observed_s` is
        higher, or if this model has none for the pair.
        """
        for estimate in estimates:
            image_pair = (estimate.latency_critical_image,
                          estimate.best_effort_image)
            known_estimate = self._estimates.get(image_pair)
            if (known_estimate is None or
                    estimate.observed_s > known_estimate.observed_s):
                self._estimates[image_pair] = estimate
