"""Policies that choose the target of an attempt among those with free slots."""

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
        usable_slots: Number of attempts of this daemon in flight at the target
            plus the slots that it could still acquire there.
        slowdown: Recent latency of the target, or the age of its oldest attempt
            in flight if that is longer, divided by the mean latency of the
            service at all targets.
        success_rate: Fraction of the recent attempts at the target that
            succeeded, from 0 to 1.
        load_weight: Fraction of its normal load that the target should get; 1
            except during slow start, when it rises from 0.1 to 1.
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
        """Returns the chosen candidate, or None if there are no candidates.

        Args:
            candidates: Targets with a free slot, in any order.
            now: Monotonic seconds.
        """


class RandomPolicy(TargetPolicy):
    """Baseline for comparison: chooses any candidate with equal probability."""

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        if not candidates:
            return None
        return candidates[int(self._random.random() * len(candidates))]


class RoundRobinPolicy(TargetPolicy):
    """Baseline for comparison: chooses candidates in turn, ordered by name."""

    def __init__(self) -> None:
        self._last_chosen_name = ""

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        if not candidates:
            return None
        chosen_candidate = min(
            candidates,
            key=lambda candidate:
            (candidate.name <= self._last_chosen_name, candidate.name))
        self._last_chosen_name = chosen_candidate.name
        return chosen_candidate


class LeastLoadedPolicy(TargetPolicy):
    """Baseline for comparison: chooses the least loaded candidate.

    It is the one with the fewest attempts in flight. Among several such
    candidates the policy chooses at random.
    """

    def __init__(self, random: ports.RandomSource):
        self._random = random

    def choose(self, candidates: Sequence[TargetCandidate],
               now: float) -> TargetCandidate | None:
        return min(candidates,
                   key=lambda candidate:
                   (candidate.attempts_in_flight, self._random.random()),
                   default=None)


class TwoChoicesPolicy(TargetPolicy):
    """Baseline for comparison: chooses among two random candidates.

    It chooses the one of the two with fewer attempts in flight.
    """

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
    """Default policy: chooses a target with a low expected cost of an attempt.

    The cost is the recent slowdown, multiplied by the sum of 1 and the fraction
    of slots in use. The load thus at most doubles the cost. It counts less than
    the slowdown because the slots of a target are reserved. The product is
    divided by the load weight and by the square of the success rate, which
    counts as 0.05 if it is lower. Without the success rate, a target that fails
    fast would look like the fastest one.

    One of the targets whose cost is at most 20 % above the lowest is chosen at
    random. The estimates are not more precise than that, and a single target
    would otherwise get nearly all requests while the load is low.
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
        """Returns the expected cost of an attempt, without unit.

        It is 1 at an unloaded target with the mean latency of the service and
        no failures.
        """
        success_rate = max(_MIN_SUCCESS_RATE, candidate.success_rate)
        used_slot_fraction = candidate.attempts_in_flight / max(
            1, candidate.usable_slots)
        return (candidate.slowdown * (1.0 + used_slot_fraction) /
                (success_rate**_SUCCESS_RATE_EXPONENT * candidate.load_weight))
