"""Estimates how much workloads on the same worker slow each other down."""

import math
from typing import NamedTuple

from gentianlead.scheduling import _workload_history

PRIOR_DEVIATION = 0.3
"""Assumed standard deviation of the effect of one workload on another before
any report about the pair."""

NOISE_DEVIATION = 0.1
"""Standard deviation of the measurement noise of one report."""

ESTIMATE_HALF_LIFE = 1800.0
"""Seconds in which an estimate decays halfway to its prior mean and variance.
Load changes over hours, so that old reports lose their value."""

GENERAL_EFFECT_GAIN = 0.2
"""The general effect of an aggressor is a moving average of its estimated
effects on all victims. This is the weight in it of an estimate that has just
been updated, if that estimate has no uncertainty; uncertain ones weigh less."""

MAX_SLOWDOWN_EFFECT = 10.0
"""Maximum estimated increase of a slowdown ratio. Larger reported increases are
treated as equal to it."""

_MAX_VICTIMS_PER_AGGRESSOR = 512

_PRIOR_VARIANCE = PRIOR_DEVIATION**2
_NOISE_VARIANCE = NOISE_DEVIATION**2


class Effect(NamedTuple):
    """Estimated effect of one workload, the aggressor, on another, the victim.

    Attributes:
        mean: Expected increase of the victim's slowdown ratio if the aggressor
            has a weight of 1.0 on the worker, as in `WorkloadHistory`.
        deviation: Standard deviation of this estimate.
    """

    mean: float
    deviation: float


class _EffectEstimate:
    """Estimated effect of one aggressor on one victim.

    Attributes:
        mean: Expected increase of the victim's slowdown ratio if the aggressor
            has a weight of 1.0 on the worker, as in `WorkloadHistory`.
        variance: Variance of the estimate.
        updated_at: Time that the last report describes, in monotonic seconds.
    """

    __slots__ = ("mean", "variance", "updated_at")

    def __init__(self, mean: float, updated_at: float):
        self.mean = mean
        self.variance = _PRIOR_VARIANCE
        self.updated_at = updated_at

    def fade_to_prior(self, prior_mean: float, now: float) -> None:
        """Decays the mean and the variance towards their prior values.

        The decay depends on the time from the last update until `now`.
        """
        decay_factor = 0.5**(max(0.0, now - self.updated_at) /
                             ESTIMATE_HALF_LIFE)
        self.mean = prior_mean + (self.mean - prior_mean) * decay_factor
        self.variance = _PRIOR_VARIANCE - (_PRIOR_VARIANCE -
                                           self.variance) * decay_factor
        self.updated_at = now


class InterferenceModel:
    """Estimates the slowdown that each aggressor causes to each victim.

    The model is linear: the slowdown of a victim beyond 1.0 is the sum of
    weight times effect over the other workloads on its worker. Each report
    corrects the estimates in proportion to their uncertainty, as a Kalman
    filter does. An estimate starts from the general effect of its aggressor on
    all victims, and decays towards it between reports.
    """

    def __init__(self) -> None:
        self._estimates_by_aggressor: dict[_workload_history.Workload,
                                           dict[_workload_history.Workload,
                                                _EffectEstimate]] = {}
        self._estimates_by_victim: dict[_workload_history.Workload,
                                        dict[_workload_history.Workload,
                                             _EffectEstimate]] = {}
        self._general_effects: dict[_workload_history.Workload, float] = {}

    def record_slowdown(self, victim: _workload_history.Workload,
                        aggressors: dict[_workload_history.Workload, float],
                        slowdown: float, as_of: float) -> None:
        """Updates the estimated effects on a victim from one slowdown report.

        Does nothing if there were no other workloads on the worker.

        Args:
            victim: Workload that the report is about.
            aggressors: Weights of the other workloads on the worker at the time
                that the report describes.
            slowdown: Reported slowdown; 1.0 is undisturbed.
            as_of: Time that the report describes, in monotonic seconds.
        """
        if not aggressors:
            return
        weighted_estimates = [
            (aggressor, weight,
             self._update_or_create_estimate(victim, aggressor, as_of))
            for aggressor, weight in aggressors.items()
        ]
        expected_increase = sum(weight * estimate.mean
                                for _, weight, estimate in weighted_estimates)
        prediction_variance = _NOISE_VARIANCE + sum(
            weight * weight * estimate.variance
            for _, weight, estimate in weighted_estimates)
        prediction_error = min(MAX_SLOWDOWN_EFFECT,
                               slowdown - 1.0) - expected_increase
        for aggressor, weight, estimate in weighted_estimates:
            gain = weight * estimate.variance / prediction_variance
            estimate.mean = min(
                MAX_SLOWDOWN_EFFECT,
                max(0.0, estimate.mean + gain * prediction_error))
            estimate.variance *= 1.0 - gain * weight
            self._update_general_effect(aggressor, estimate)

    def _update_or_create_estimate(self, victim: _workload_history.Workload,
                                   aggressor: _workload_history.Workload,
                                   as_of: float) -> _EffectEstimate:
        prior_mean = self._general_effects.get(aggressor, 0.0)
        estimates_by_victim = self._estimates_by_aggressor.setdefault(
            aggressor, {})
        estimate = estimates_by_victim.get(victim)
        if estimate is None:
            if len(estimates_by_victim) >= _MAX_VICTIMS_PER_AGGRESSOR:
                oldest_victim = next(iter(estimates_by_victim))
                del estimates_by_victim[oldest_victim]
                self._estimates_by_victim[oldest_victim].pop(aggressor, None)
            estimate = estimates_by_victim[victim] = _EffectEstimate(
                prior_mean, as_of)
            self._estimates_by_victim.setdefault(victim,
                                                 {})[aggressor] = estimate
        else:
            estimate.fade_to_prior(prior_mean, as_of)
        return estimate

    def _update_general_effect(self, aggressor: _workload_history.Workload,
                               estimate: _EffectEstimate) -> None:
        certainty = 1.0 - estimate.variance / _PRIOR_VARIANCE
        general_effect = self._general_effects.get(aggressor, 0.0)
        self._general_effects[
            aggressor] = general_effect + GENERAL_EFFECT_GAIN * certainty * (
                estimate.mean - general_effect)

    def predict_effect(self, victim: _workload_history.Workload,
                       aggressor: _workload_history.Workload) -> Effect:
        """Returns the estimated effect of an aggressor on a victim.

        Without reports about the pair, this is the general effect of the
        aggressor, with the deviation of the prior.
        """
        estimate = self._estimates_by_aggressor.get(aggressor, {}).get(victim)
        if estimate is None:
            return Effect(self._general_effects.get(aggressor, 0.0),
                          PRIOR_DEVIATION)
        return Effect(estimate.mean, math.sqrt(estimate.variance))

    def get_general_effect(self, workload: _workload_history.Workload) -> float:
        """Returns the moving average of a workload's effects on all victims.

        It is 0.0 without reports about workloads that share a worker with it.
        """
        return self._general_effects.get(workload, 0.0)

    def get_estimates_involving(
        self, workload: _workload_history.Workload
    ) -> tuple[dict[_workload_history.Workload, _EffectEstimate], dict[
            _workload_history.Workload, _EffectEstimate], float]:
        """Returns all estimates that involve a workload.

        Placement looks up many pairs with the same workload; fetching the
        dictionaries once saves a lookup for each pair.

        Returns:
            The estimated effects of the workload by victim, the estimated
            effects on the workload by aggressor, and the general effect of the
            workload.
        """
        return (self._estimates_by_aggressor.get(workload, {}),
                self._estimates_by_victim.get(workload, {}),
                self._general_effects.get(workload, 0.0))

    def remove_workload(self, workload: _workload_history.Workload) -> None:
        """Removes all estimates in which a workload is aggressor or victim.

        Its general effect is removed too.
        """
        for victim in self._estimates_by_aggressor.pop(workload, {}):
            self._estimates_by_victim[victim].pop(workload, None)
        for aggressor in self._estimates_by_victim.pop(workload, {}):
            self._estimates_by_aggressor[aggressor].pop(workload, None)
        self._general_effects.pop(workload, None)
