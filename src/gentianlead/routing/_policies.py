"""Policies that choose the target of an attempt among several candidates."""

import abc
from typing import NamedTuple, Sequence

from gentianlead import ports

_SUCCESS_RATE_EXPONENT = 2.0
_MIN_SUCCESS_RATE = 0.05
_MAX_COST_RATIO = 1.2


class TargetCandidate(NamedTuple):
    """A target with a free slot that a policy may choose for an attempt.

    Attributes:
        name: Name of the target.
        attempts_in_flight: Attempts of this daemon in flight at the target.
        slots: Slots that this daemon may use at the target, free or in use.
        slowdown: Recent latency relative to the mean latency of the service.
        success_rate: Recent fraction of attempts that succeeded, from 0 to 1.
        load_weight: Fraction of normal load, above 0 to 1; below 1 during slow
            start.
    """

    name: str
    attempts_in_flight: int
    usable_slots: int
    slowdown: float = 1.0
    success_rate: float = 1.0
    load_weight: float = 1.0


class TargetPolicy(abc.ABC):
    """Interface of the policies that choose the target of an attempt."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        """Returns the chosen target, or None if there are no candidates.

        Args:
            candidates: Targets with a free slot.
            now: Monotonic seconds.
        """


class RandomPolicy(TargetPolicy):
    """Baseline for comparison: a random target, all equally likely."""

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        if not candidates:
            return None
        return candidates[int(self._random.random() * len(candidates))]


class RoundRobinPolicy(TargetPolicy):
    """Baseline for comparison: the targets in turn, in the order of names."""

    def __init__(self) -> None:
        self._last_name = ""

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        if not candidates:
            return None
        chosen_candidate = min(
            candidates,
            key=lambda candidate:
            (candidate.name <= self._last_name, candidate.name))
        self._last_name = chosen_candidate.name
        return chosen_candidate


class LeastLoadedPolicy(TargetPolicy):
    """Baseline for comparison: the target with fewest attempts in flight."""

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        return min(candidates,
                   key=lambda candidate:
                   (candidate.attempts_in_flight, self._random.random()),
                   default=None)


class TwoChoicesPolicy(TargetPolicy):
    """Baseline for comparison: the less loaded of two random targets."""

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        sampled_candidates = self._random.sample(candidates,
                                                 min(2, len(candidates)))
        return min(sampled_candidates,
                   key=lambda candidate: candidate.attempts_in_flight,
                   default=None)


class LatencyPolicy(TargetPolicy):
    """Current policy: chooses a target with a low expected cost of an attempt.

    The cost is the recent slowdown, increased by the fraction of slots in use.
    The load counts less than the slowdown because the slots of a target are
    reserved. The cost is divided by the square of the success rate, because a
    target that fails fast would otherwise look like the fastest one.

    One of the targets within 20 % of the lowest cost is chosen at random. The
    estimates are not more precise than that, and a single target would
    otherwise get nearly all requests while the load is low.
    """

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        if not candidates:
            return None
        costs = [self.compute_cost(candidate) for candidate in candidates]
        max_cost = min(costs) * _MAX_COST_RATIO
        cheapest_candidates = [
            candidate for candidate, cost in zip(candidates, costs)
            if cost <= max_cost
        ]
        return cheapest_candidates[int(self._random.random() *
                                       len(cheapest_candidates))]

    def compute_cost(self, candidate: TargetCandidate) -> float:
        """Returns the expected cost of an attempt; lower is better."""
        success_rate = max(_MIN_SUCCESS_RATE, candidate.success_rate)
        used_slot_fraction = candidate.attempts_in_flight / max(
            1, candidate.usable_slots)
        return (candidate.slowdown * (1.0 + used_slot_fraction) /
                (success_rate**_SUCCESS_RATE_EXPONENT * candidate.load_weight))
