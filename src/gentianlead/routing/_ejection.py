"""Ejection of failing targets.

An ejected target gets only probes, which are single requests. After enough
successful probes it is used again and begins with a slow start.
"""

import datetime
from typing import Collection, NamedTuple

from gentianlead.routing import _target_state


class EjectionSettings(NamedTuple):
    """Thresholds and durations for the ejection of failing targets.

    Attributes:
        is_enabled: Whether targets are ejected at all.
        consecutive_failure_threshold: Number of consecutive failures after
            which a target is ejected, if more than half of the other targets
            that are not ejected have not failed since their last success.
        min_success_rate: Success rate, from 0 to 1, below which a target is
            ejected if the rate is also more than `success_rate_gap` below the
            mean rate of the other targets that are not ejected.
        success_rate_gap: Difference, from 0 to 1, by more than which the
            success rate of a target must be below the mean rate of the others
            to cause an ejection. A fault that all targets share thus causes
            none.
        min_observations: Number of attempts at a target, each counted less as
            it ages, below which its success rate does not cause an ejection.
        max_ejected_fraction: Largest fraction of the targets that may be
            ejected at a time.
        base_ejection_time: Time from an ejection to the first probe. It doubles
            with each further failure during the ejection, and with each new
            ejection before the end of the slow start.
        max_ejection_time: Longest time from an ejection, or from a failure
            during the ejection, to the next probe.
        required_probes: Number of successful probes, without a failed one
            between them, that end an ejection.
        slow_start_duration: Time over which the load of a target that was
            ejected or added is raised from 10 % to 100 % of the normal load.
        unresponsive_latency_factor: Multiple of the high latency quantile of
            the service for which an attempt must wait before its target counts
            as unresponsive, if no other attempt there succeeds meanwhile.
        min_unresponsive_time: Shortest wait of an attempt after which its
            target counts as unresponsive, however low the latency is.
    """

    is_enabled: bool = True
    consecutive_failure_threshold: int = 5
    min_success_rate: float = 0.7
    success_rate_gap: float = 0.2
    min_observations: float = 5.0
    max_ejected_fraction: float = 0.5
    base_ejection_time: datetime.timedelta = datetime.timedelta(seconds=1)
    max_ejection_time: datetime.timedelta = datetime.timedelta(seconds=30)
    required_probes: int = 3
    slow_start_duration: datetime.timedelta = datetime.timedelta(seconds=5)
    unresponsive_latency_factor: float = 3.0
    min_unresponsive_time: datetime.timedelta = datetime.timedelta(
        milliseconds=300)


class OutlierEjector:
    """Decides when targets are ejected, probed and taken back into use.

    It keeps no data about targets itself: its methods read and change the
    `TargetState` that they are given.
    """

    def __init__(self, settings: EjectionSettings = EjectionSettings()):
        self._settings = settings
        self._slow_start_duration_s = (
            settings.slow_start_duration.total_seconds())
        self._min_unresponsive_time_s = (
            settings.min_unresponsive_time.total_seconds())

    def record_success(self, target_state: _target_state.TargetState,
                       now: float) -> None:
        """Counts a success at an ejected target as a successful probe.

        After `required_probes` of them the ejection ends and a slow start
        begins; before that, the next probe is due at once. A success at a
        target that is not ejected changes nothing.
        """
        if not target_state.is_ejected:
            return
        target_state.successful_probe_count += 1
        if target_state.successful_probe_count < self._settings.required_probes:
            target_state.next_probe_at = now
            return
        target_state.next_probe_at = None
        target_state.consecutive_failures = 0
        target_state.success_rate.reset()
        self.begin_slow_start(target_state, now)

    def record_failure(self, target_state: _target_state.TargetState,
                       all_target_states: Collection[_target_state.TargetState],
                       now: float, was_unresponsive: bool) -> None:
        """Ejects the target if it is unresponsive or fails more than others.

        It is not ejected if more than `max_ejected_fraction` of the targets
        would then be ejected. A failure at an ejected target postpones the
        next probe.

        Args:
            target_state: State of the target that failed.
            all_target_states: States of all targets.
            now: Monotonic seconds.
            was_unresponsive: Result of `is_unresponsive` for the failed
                attempt.
        """
        if target_state.is_ejected:
            self._eject(target_state, now)
        elif was_unresponsive or self._is_outlier(target_state,
                                                  all_target_states, now):
            ejected_target_count = sum(
                1 for other in all_target_states if other.is_ejected)
            if ejected_target_count + 1 <= len(
                    all_target_states) * self._settings.max_ejected_fraction:
                self._eject(target_state, now)

    def begin_slow_start(self, target_state: _target_state.TargetState,
                         now: float) -> None:
        """Begins the slow start of a target that is new or back in use."""
        target_state.slow_start_began_at = now

    def get_load_weight(self, target_state: _target_state.TargetState,
                        now: float) -> float:
        """Returns the fraction of its normal load that a target should get.

        During slow start it rises from 0.1 to 1; else it is 1. The first call
        after `slow_start_duration` ends the slow start and resets the count of
        ejections.
        """
        if target_state.slow_start_began_at is None:
            return 1.0
        slow_start_progress = (now - target_state.slow_start_began_at
                              ) / self._slow_start_duration_s
        if slow_start_progress >= 1.0:
            target_state.slow_start_began_at = None
            target_state.consecutive_ejections = 0
            return 1.0
        return max(_MIN_LOAD_WEIGHT, slow_start_progress)

    def is_probe_due(self, target_state: _target_state.TargetState,
                     now: float) -> bool:
        """Returns whether a probe may be sent to a target now.

        The target must be ejected, its next probe due and none in flight.
        """
        return (target_state.next_probe_at is not None and
                not target_state.is_probing and
                target_state.next_probe_at <= now)

    def is_probe_overdue(self, target_state: _target_state.TargetState,
                         now: float) -> bool:
        """Returns whether a due probe has waited for `max_ejection_time`.

        It then waits no longer for an idempotent request, because a service may
        get none.
        """
        max_ejection_time_s = self._settings.max_ejection_time.total_seconds()
        return (target_state.next_probe_at is not None and
                now - target_state.next_probe_at >= max_ejection_time_s)

    def is_unresponsive(self, target_state: _target_state.TargetState,
                        attempt_started_at: float, latency_quantile_s: float,
                        now: float) -> bool:
        """Returns whether a target has stopped responding to an attempt.

        It has if the attempt started at least `unresponsive_latency_factor`
        times `latency_quantile_s` ago, and at least `min_unresponsive_time`
        ago, and no attempt at the target has succeeded since that start. A
        success since then shows that only this attempt is stuck.

        Args:
            target_state: State of the target.
            attempt_started_at: Start of the attempt, in monotonic seconds.
            latency_quantile_s: High quantile of the latency of the service, in
                seconds.
            now: Monotonic seconds.

        Returns:
            Whether the target is unresponsive; False if ejection is disabled.
        """
        if not self._settings.is_enabled:
            return False
        unresponsive_after_s = max(
            self._min_unresponsive_time_s,
            self._settings.unresponsive_latency_factor * latency_quantile_s)
        return (now - attempt_started_at >= unresponsive_after_s and
                target_state.last_success_at < attempt_started_at)

    def _is_outlier(self, target_state: _target_state.TargetState,
                    all_target_states: Collection[_target_state.TargetState],
                    now: float) -> bool:
        if not self._settings.is_enabled:
            return False
        other_target_states = [
            other for other in all_target_states
            if other is not target_state and not other.is_ejected
        ]
        if not other_target_states:
            return False
        healthy_other_count = sum(1 for other in other_target_states
                                  if not other.consecutive_failures)
        if (target_state.consecutive_failures
                >= self._settings.consecutive_failure_threshold and
                healthy_other_count > len(other_target_states) / 2):
            return True
        mean_success_rate = sum(
            other.success_rate.get_mean(now)
            for other in other_target_states) / len(other_target_states)
        success_rate = target_state.success_rate.get_mean(now)
        return (success_rate < min(
            self._settings.min_success_rate,
            mean_success_rate - self._settings.success_rate_gap) and
                target_state.success_rate.get_observation_count(now)
                >= self._settings.min_observations)

    def _eject(self, target_state: _target_state.TargetState,
               now: float) -> None:
        ejection_time_s = min(
            self._settings.base_ejection_time.total_seconds() *
            2.0**target_state.consecutive_ejections,
            self._settings.max_ejection_time.total_seconds())
        target_state.consecutive_ejections = min(
            target_state.consecutive_ejections + 1, _MAX_COUNTED_EJECTIONS)
        target_state.successful_probe_count = 0
        target_state.next_probe_at = now + ejection_time_s


_MIN_LOAD_WEIGHT = 0.1
_MAX_COUNTED_EJECTIONS = 10
