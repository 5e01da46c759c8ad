"""Ejection of failing targets: probes, and slow start after the ejection."""

import datetime
from typing import Collection, NamedTuple

from gentianlead.routing import _target_state


class EjectionSettings(NamedTuple):
    """Thresholds and durations for the ejection of failing targets.

    Attributes:
        is_enabled: Whether targets are ejected at all.
        consecutive_failure_threshold: Number of consecutive failures that ejects a target
            while more than half of the other targets do not fail.
        min_success_rate: Success rate below which a target is ejected if the
            rate is also below the mean of the other targets by
            `success_rate_gap`.
        success_rate_gap: Smallest gap to the mean success rate of the other
            targets for an ejection. It prevents ejections for a fault that
            all targets share.
        min_observations: Decayed number of observations below which the
            success rate of a target does not cause an ejection.
        max_ejected_fraction: Largest fraction of the targets that may be
            ejected at a time.
        base_ejection_time: Time from the first ejection to the first probe;
            doubles with each further ejection.
        max_ejection_time: Longest time from an ejection to the next probe.
        required_probes: Number of successful probes that end an ejection.
        slow_start_duration: Time over which a target that was ejected or added
            goes from low to normal load.
        unresponsive_latency_factor: A target counts as unresponsive when an
            attempt has waited this many times the high quantile of the latency
            of its service.
        min_unresponsive_time: Shortest wait of an attempt after which its
            target counts as unresponsive.
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

    The decisions are stored in the `TargetState` that each method is given.
    """

    def __init__(self, settings: EjectionSettings = EjectionSettings()):
        self._settings = settings
        self._slow_start_duration_s = settings.slow_start_duration.total_seconds(
        )
        self._min_unresponsive_time_s = (
            settings.min_unresponsive_time.total_seconds())

    def record_success(self, target_state: _target_state.TargetState,
                       now: float) -> None:
        """Counts a successful probe; ends the ejection after enough of them.

        A success at a target that is not ejected changes nothing here.
        """
        if not target_state.is_ejected:
            return
        target_state.probe_successes += 1
        if target_state.probe_successes < self._settings.required_probes:
            target_state.next_probe_at = now
            return
        target_state.next_probe_at = None
        target_state.consecutive_failures = 0
        target_state.success_rate.reset()
        self.begin_slow_start(target_state, now)

    def record_failure(self, target_state: _target_state.TargetState,
                       all_target_states: Collection[_target_state.TargetState],
                       now: float, was_unresponsive: bool) -> None:
        """Ejects the target if it is an outlier; extends a current ejection.

        Args:
            state: State of the target that failed.
            all_target_states: States of all targets.
            now: Monotonic seconds.
            was_unresponsive: Whether the target responded to no attempt
                while the failed one was in flight.
        """
        if target_state.is_ejected:
            self._eject(target_state, now)
        elif was_unresponsive or self._is_outlier(target_state,
                                                  all_target_states, now):
            ejected_count = sum(
                1 for other in all_target_states if other.is_ejected)
            if ejected_count + 1 <= len(
                    all_target_states) * self._settings.max_ejected_fraction:
                self._eject(target_state, now)

    def begin_slow_start(self, target_state: _target_state.TargetState,
                         now: float) -> None:
        """Begins to raise the load of a target that is new or back in use."""
        target_state.slow_start_began_at = now

    def get_load_weight(self, target_state: _target_state.TargetState,
                        now: float) -> float:
        """Returns the fraction of normal load for a target, above 0 to 1.

        It is below 1 during slow start only.
        """
        if target_state.slow_start_began_at is None:
            return 1.0
        progress = (now - target_state.slow_start_began_at
                   ) / self._slow_start_duration_s
        if progress >= 1.0:
            target_state.slow_start_began_at = None
            target_state.consecutive_ejections = 0
            return 1.0
        return max(_MIN_LOAD_WEIGHT, progress)

    def is_probe_due(self, target_state: _target_state.TargetState,
                     now: float) -> bool:
        """Returns whether a probe may now be sent to an ejected target."""
        return (target_state.next_probe_at is not None and
                not target_state.is_probing and
                target_state.next_probe_at <= now)

    def is_unresponsive(self, target_state: _target_state.TargetState,
                        attempt_started_at: float, latency_quantile_s: float,
                        now: float) -> bool:
        """Returns whether a target has stopped responding.

        A success after the start of the attempt shows that the target still
        responds and that only this attempt is stuck.

        Args:
            state: State of the target.
            attempt_started_at: Start of an attempt at the target, in monotonic seconds.
            latency_quantile_s: High quantile of the latency of the service, in
                seconds.
            now: Monotonic seconds.
        """
        if not self._settings.is_enabled:
            return False
        unresponsive_after = max(
            self._min_unresponsive_time_s,
            self._settings.unresponsive_latency_factor * latency_quantile_s)
        return (now - attempt_started_at >= unresponsive_after and
                target_state.last_success_at < attempt_started_at)

    def _is_outlier(self, target_state: _target_state.TargetState,
                    all_target_states: Collection[_target_state.TargetState],
                    now: float) -> bool:
        if not self._settings.is_enabled:
            return False
        other_states = [
            other for other in all_target_states
            if other is not target_state and not other.is_ejected
        ]
        if not other_states:
            return False
        healthy_others = sum(
            1 for other in other_states if not other.consecutive_failures)
        if (target_state.consecutive_failures
                >= self._settings.consecutive_failure_threshold and
                healthy_others > len(other_states) / 2):
            return True
        mean_success_rate = sum(
            other.success_rate.get_mean(now)
            for other in other_states) / len(other_states)
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
        target_state.probe_successes = 0
        target_state.next_probe_at = now + ejection_time_s


_MIN_LOAD_WEIGHT = 0.1
_MAX_COUNTED_EJECTIONS = 10
