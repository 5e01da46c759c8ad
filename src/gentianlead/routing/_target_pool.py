"""Choice of a target of the own domain for each attempt."""

import math
from typing import Collection, NamedTuple

from gentianlead import errors
from gentianlead import ports
from gentianlead.routing import _ejection
from gentianlead.routing import _estimates
from gentianlead.routing import _messages
from gentianlead.routing import _policies
from gentianlead.routing import _settings
from gentianlead.routing import _slots
from gentianlead.routing import _target_state

# The sums of slots and the count of unavailable targets are recomputed only
# when they are older than this, to save CPU time.
_CACHED_SUMS_MAX_AGE_S = 0.02
_MAX_CANDIDATES = 16
# Reachability is the fraction of recent attempts at the targets of the own
# domain that got a response. The domain counts as failing while it is below
# _FAILING_REACHABILITY and the decayed number of attempts is at least
# _REACHABILITY_MIN_OBSERVATIONS.
_REACHABILITY_TIME_CONSTANT_S = 3.0
_REACHABILITY_MAX_WEIGHT = 20.0
_REACHABILITY_MIN_OBSERVATIONS = 5.0
_FAILING_REACHABILITY = 0.5
_DOMAIN_PROBE_INTERVAL_S = 0.2


class TargetAssignment(NamedTuple):
    """The target chosen for an attempt, with the slot acquired there.

    Attributes:
        target: Name of the target.
        slot: Acquired slot; the attempt occupies it until it is released.
    """

    target: str
    slot: _slots.AcquiredSlot


class TargetPool:
    """Chooses targets of the own domain for attempts and acquires their slots.

    It keeps the state of each target, the latency of each service and the
    fraction of attempts at the domain that get a response, all as observed by
    this daemon. The own domain is the failure domain of this daemon.

    Attributes:
        allocator: Allocates the slots of this daemon at the targets.
    """

    def __init__(self, settings: _settings.RouterSettings,
                 policy: _policies.TargetPolicy, random: ports.RandomSource,
                 now: float):
        self.allocator = _slots.SlotAllocator(settings.seat, settings.seats,
                                              now, settings.loan_durations)
        self._settings = settings
        self._policy = policy
        self._random = random
        self._ejector = _ejection.OutlierEjector(settings.ejection)
        self._target_states: dict[str, _target_state.TargetState] = {}
        self._target_names: list[str] = []
        self._latency_estimates: dict[str, _estimates.LatencyEstimate] = {}
        self._reachability = _estimates.DecayingMean(
            _REACHABILITY_TIME_CONSTANT_S, 1.0, 1.0, _REACHABILITY_MAX_WEIGHT)
        self._last_domain_probe_at = -math.inf
        self._usable_slots = 0
        self._daemon_slots = 0
        self._slot_sums_updated_at = -math.inf
        self._has_ejected_target = False
        self._unavailable_target_count = 0
        self._unavailable_count_updated_at = -math.inf

    def set_targets(self, target_specs: Collection[_target_state.TargetSpec],
                    now: float) -> None:
        """Replaces the list of targets; keeps the state of those still listed.

        A target that is added to a list that was not empty begins with a slow
        start. So does a target that was leaving and no longer is; then the
        observations of the reachability of the domain are dropped, too.
        """
        is_first_update = not self._target_states
        target_names = {target_spec.name for target_spec in target_specs}
        for name in set(self._target_states) - target_names:
            self.allocator.remove_target(name)
            del self._target_states[name]
        for target_spec in target_specs:
            self.allocator.set_target(target_spec.name, target_spec.slots,
                                      target_spec.connections)
            target_state = self._target_states.get(target_spec.name)
            if target_state is None:
                target_state = _target_state.TargetState(target_spec)
                self._target_states[target_spec.name] = target_state
                if not is_first_update:
                    self._ejector.begin_slow_start(target_state, now)
            elif target_state.spec.is_leaving and not target_spec.is_leaving:
                self._reachability.reset()
                self._ejector.begin_slow_start(target_state, now)
            target_state.spec = target_spec
        self._target_names = sorted(self._target_states)
        self._slot_sums_updated_at = -math.inf

    def get_latency(self, service: str) -> _estimates.LatencyEstimate:
        """Returns the latency estimate of a service, creating it if needed."""
        latency_estimate = self._latency_estimates.get(service)
        if latency_estimate is None:
            latency_estimate = _estimates.LatencyEstimate(
                self._settings.initial_latency.total_seconds(),
                self._settings.hedge_quantile)
            self._latency_estimates[service] = latency_estimate
        return latency_estimate

    def get_usable_slots(self, now: float) -> int:
        """Returns how many slots this daemon has at the usable targets.

        Free and used slots count, and own and borrowed ones, but no lent ones.
        A target is usable if it is neither leaving nor ejected.
        """
        self._update_slot_sums(now)
        return self._usable_slots

    def apply_loan_grant(self, grant: _slots.LoanGrant, now: float) -> None:
        """Applies the reply to a loan request.

        The cached sums of slots are recomputed at their next use, so that they
        include the borrowed slots.
        """
        self.allocator.apply_loan_grant(grant, now)
        self._slot_sums_updated_at = -math.inf

    def get_daemon_slots(self, now: float) -> int:
        """Returns how many slots this daemon has at all targets.

        Free and used slots count, and own and borrowed ones, but no lent ones.
        """
        self._update_slot_sums(now)
        return self._daemon_slots

    def list_usable_targets(self) -> list[str]:
        """Returns the names of the targets neither leaving nor ejected."""
        return [
            name for name in self._target_names
            if not (self._target_states[name].spec.is_leaving or
                    self._target_states[name].is_ejected)
        ]

    def can_serve(self, request: _messages.Request) -> bool:
        """Returns whether any target may serve a request, now or later.

        Targets without free slots and ejected ones count, as they may become
        usable again; leaving ones do not.
        """
        return any(not target_state.spec.is_leaving and
                   (request.targets is None or name in request.targets)
                   for name, target_state in self._target_states.items())

    def is_domain_failing(self, now: float) -> bool:
        """Returns whether over half of the recent attempts got no response.

        Only attempts at targets of the own domain count. Aborted attempts do
        not, nor do attempts that timed out before their target counted as
        unresponsive. The result is False if ejection is disabled or there were
        too few recent attempts.

        Ejection does not suffice when the whole domain fails, because at most
        `max_ejected_fraction` of the targets are ejected. The list of VMs shows
        the failure only after a delay. The router therefore uses this method to
        forward requests to other domains until then.
        """
        return (self._settings.ejection.is_enabled and
                self._reachability.get_mean(now) < _FAILING_REACHABILITY and
                self._reachability.get_observation_count(now)
                >= _REACHABILITY_MIN_OBSERVATIONS)

    def try_domain_probe(self, request: _messages.Request, now: float) -> bool:
        """Returns whether to send a request to the failing domain as a probe.

        It returns True for at most one request per 0.2 s, and only for
        idempotent ones. By these probes the daemon notices when the domain
        recovers. The caller checks that the domain is failing.
        """
        if (not request.is_idempotent or
                now < self._last_domain_probe_at + _DOMAIN_PROBE_INTERVAL_S):
            return False
        self._last_domain_probe_at = now
        return True

    def assign_target(self, request: _messages.Request,
                      excluded_targets: Collection[str], now: float,
                      latest_end: float) -> TargetAssignment | None:
        """Chooses the target of an attempt and acquires a slot there.

        An ejected target that is due for a probe is preferred; otherwise the
        target policy chooses.

        Args:
            request: Request to which the attempt belongs.
            excluded_targets: Names of the targets that were tried already. They
                are used only if every other target that may serve the request
                is ejected.
            now: Monotonic seconds.
            latest_end: Monotonic seconds at which the attempt ends at the
                latest.

        Returns:
            The target with the slot, or None if no eligible target has a free
            slot. Ejected targets are eligible only for due probes. Unresponsive
            ones are eligible only if too many targets are unavailable.
        """
        probe_target = self._find_probe_target(request, excluded_targets, now,
                                               latest_end)
        if probe_target is not None:
            probe_target.is_probing = True
            return self._acquire_slot(probe_target.spec.name, now, latest_end)
        candidates = self._list_candidates(request, excluded_targets, now,
                                           latest_end)
        chosen_candidate = self._policy.choose(candidates, now)
        if chosen_candidate is None:
            return None
        return self._acquire_slot(chosen_candidate.name, now, latest_end)

    def record_start(self, target: str, attempt_id: int, now: float) -> None:
        """Records the start time of an attempt at a target."""
        self._target_states[target].attempt_start_times[attempt_id] = now

    def record_end(self, request: _messages.Request, target: str,
                   attempt_id: int, outcome: _messages.AttemptOutcome,
                   now: float) -> None:
        """Updates the estimates and the ejection of a target after an attempt.

        Neither changes if the attempt was aborted, if it timed out before its
        target counted as unresponsive, or if the target was removed meanwhile.
        """
        target_state = self._target_states.get(target)
        if (target_state is None or
                attempt_id not in target_state.attempt_start_times):
            # The target was removed from the list during the attempt, and
            # perhaps added again with a new state.
            return
        attempt_started_at = target_state.attempt_start_times.pop(attempt_id)
        target_state.is_probing = False
        if outcome.is_aborted:
            return
        latency_estimate = self.get_latency(request.service)
        if outcome.is_success:
            latency_s = now - attempt_started_at
            latency_estimate.add(latency_s)
            target_state.record_success(
                latency_s / max(latency_estimate.mean_s, 1e-9), now)
            self._reachability.add(1.0, now)
            self._ejector.record_success(target_state, now)
            return
        was_unresponsive = self._ejector.is_unresponsive(
            target_state, attempt_started_at, latency_estimate.quantile_s, now)
        if (outcome.code is errors.ErrorCode.TARGET_TIMEOUT and
                not was_unresponsive):
            # Under overload, attempts start close to their deadline, so they
            # time out after a short wait. That says nothing about the target.
            return
        got_response = outcome.verdict is errors.Verdict.RAN
        self._reachability.add(float(got_response), now)
        target_state.record_failure(now)
        self._ejector.record_failure(target_state, self._target_states.values(),
                                     now, was_unresponsive)

    def _update_slot_sums(self, now: float) -> None:
        """Recomputes the sums of slots if they are more than 20 ms old.

        It also updates whether any target is ejected.
        """
        if now - self._slot_sums_updated_at <= _CACHED_SUMS_MAX_AGE_S:
            return
        self._slot_sums_updated_at = now
        self._usable_slots = 0
        self._daemon_slots = 0
        self._has_ejected_target = False
        for name, target_state in self._target_states.items():
            slots_at_target = (self.allocator.get_unlent_slots(name, now) +
                               self.allocator.get_borrowed_slots(name))
            self._daemon_slots += slots_at_target
            self._has_ejected_target |= target_state.is_ejected
            if not (target_state.spec.is_leaving or target_state.is_ejected):
                self._usable_slots += slots_at_target

    def _acquire_slot(self, target: str, now: float,
                      latest_end: float) -> TargetAssignment | None:
        slot = self.allocator.acquire(target, now, latest_end)
        return None if slot is None else TargetAssignment(target, slot)

    def _get_slowdown(self, target_state: _target_state.TargetState,
                      mean_latency_s: float, now: float) -> float:
        """Returns the latency of a target relative to the service's mean.

        It is the recent mean slowdown or, if that is greater, the age of the
        oldest attempt in flight divided by the mean latency of the service.
        """
        return max(target_state.slowdown.get_mean(now),
                   (now - target_state.get_oldest_start_time(now)) /
                   mean_latency_s)

    def _find_probe_target(
            self, request: _messages.Request, excluded_targets: Collection[str],
            now: float, latest_end: float) -> _target_state.TargetState | None:
        """Returns an ejected target that the request can probe, or None.

        The target must be due for a probe, have a free slot, be permitted for
        the request and not be in `excluded_targets`. Idempotent requests are
        used as probes, because a failed probe is retried. Other requests are
        used only for overdue probes.
        """
        self._update_slot_sums(now)
        if not self._has_ejected_target:
            return None
        for name, target_state in self._target_states.items():
            if (name not in excluded_targets and
                    self._accepts_probe(target_state, request, now) and
                    self.allocator.get_free_slots(name, now, latest_end)):
                return target_state
        return None

    def _accepts_probe(self, target_state: _target_state.TargetState,
                       request: _messages.Request, now: float) -> bool:
        # The first condition is repeated in `is_probe_due`. It comes first
        # because most targets are not ejected.
        return (target_state.next_probe_at is not None and
                self._ejector.is_probe_due(target_state, now) and
                (request.is_idempotent or
                 self._ejector.is_probe_overdue(target_state, now)) and
                self._may_serve(target_state, request))

    def _may_serve(self, target_state: _target_state.TargetState,
                   request: _messages.Request) -> bool:
        return not target_state.spec.is_leaving and (request.targets is None or
                                                     target_state.spec.name
                                                     in request.targets)

    def _list_candidates(self, request: _messages.Request,
                         excluded_targets: Collection[str], now: float,
                         latest_end: float) -> list[_policies.TargetCandidate]:
        target_names = self._target_names
        if len(target_names) > _MAX_CANDIDATES:
            # A random sample of 16 targets keeps the CPU time of a choice
            # independent of the number of targets. If none of the sample can
            # take the attempt, all targets are considered.
            sampled_names = self._random.sample(target_names, _MAX_CANDIDATES)
            candidates = self._build_candidates(sampled_names, request,
                                                excluded_targets, now,
                                                latest_end)
            if candidates:
                return candidates
        candidates = self._build_candidates(target_names, request,
                                            excluded_targets, now, latest_end)
        if not candidates and excluded_targets:
            untried_names = set(target_names) - set(excluded_targets)
            if not any(
                    self._may_serve(self._target_states[name], request) and
                    not self._target_states[name].is_ejected
                    for name in untried_names):
                candidates = self._build_candidates(target_names, request, (),
                                                    now, latest_end)
        return candidates

    def _build_candidates(self, target_names: Collection[str],
                          request: _messages.Request,
                          excluded_targets: Collection[str], now: float,
                          latest_end: float) -> list[_policies.TargetCandidate]:
        latency_estimate = self.get_latency(request.service)
        candidates: list[_policies.TargetCandidate] = []
        unresponsive_candidates: list[_policies.TargetCandidate] = []
        for name in target_names:
            target_state = self._target_states[name]
            if (target_state.next_probe_at is not None or
                    name in excluded_targets or
                    not self._may_serve(target_state, request)):
                continue
            free_slots = self.allocator.get_free_slots(name, now, latest_end)
            if free_slots <= 0:
                continue
            attempts_in_flight = len(target_state.attempt_start_times)
            oldest_attempt_started_at = target_state.get_oldest_start_time(now)
            candidate = _policies.TargetCandidate(
                name, attempts_in_flight, attempts_in_flight + free_slots,
                self._get_slowdown(target_state, latency_estimate.mean_s, now),
                target_state.success_rate.get_mean(now),
                self._ejector.get_load_weight(target_state, now))
            if self._ejector.is_unresponsive(target_state,
                                             oldest_attempt_started_at,
                                             latency_estimate.quantile_s, now):
                unresponsive_candidates.append(candidate)
            else:
                candidates.append(candidate)
        if unresponsive_candidates and self._has_too_many_unavailable_targets(
                latency_estimate.quantile_s, now):
            candidates += unresponsive_candidates
        return candidates

    def _has_too_many_unavailable_targets(self, latency_quantile_s: float,
                                          now: float) -> bool:
        """Returns whether too many targets are ejected or unresponsive.

        If they are more than `max_ejected_fraction` of all targets, the cause
        is more likely a change of the service time or of the network than a
        fault of each target. Unresponsive targets are then used as candidates.
        """
        if now - self._unavailable_count_updated_at > _CACHED_SUMS_MAX_AGE_S:
            self._unavailable_count_updated_at = now
            self._unavailable_target_count = sum(
                1 for target_state in self._target_states.values()
                if target_state.is_ejected or self._ejector.is_unresponsive(
                    target_state, target_state.get_oldest_start_time(now),
                    latency_quantile_s, now))
        max_unavailable_targets = len(
            self._target_states) * self._settings.ejection.max_ejected_fraction
        return self._unavailable_target_count > max_unavailable_targets
