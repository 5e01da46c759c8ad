"""Tests of the target policies and of the ejection of targets."""

import unittest

from gentianlead import errors
from gentianlead import routing
from gentianlead.routing.tests import seeded

_SUCCEEDED = routing.AttemptOutcome(errors.Verdict.RAN, True)
_FAILED = routing.AttemptOutcome(errors.Verdict.RAN, False)


class LatencyPolicyTest(unittest.TestCase):
    """Choice of `LatencyPolicy` between two candidates."""

    def test_worse_candidate_is_avoided(self) -> None:
        """Guards against the choice of a candidate with the higher cost.

        In each case one candidate has more attempts in flight, is slower, fails
        fast or is in slow start. The other one must be chosen.
        """
        reference_candidate = routing.TargetCandidate("usual", 1, 4)
        policy = routing.LatencyPolicy(seeded.SeededRandom())
        for case, worse_candidate in (
            ("more in flight",
             reference_candidate._replace(name="worse", attempts_in_flight=2)),
            ("slower", reference_candidate._replace(name="worse",
                                                    slowdown=1.5)),
            ("fails fast",
             reference_candidate._replace(name="worse",
                                          slowdown=0.1,
                                          success_rate=0.0)),
            ("in slow start",
             reference_candidate._replace(name="worse", load_weight=0.5)),
        ):
            for candidates in ([reference_candidate, worse_candidate],
                               [worse_candidate, reference_candidate]):
                self.assertEqual(policy.choose(candidates, 0.0),
                                 reference_candidate, case)


class BaselinePoliciesTest(unittest.TestCase):
    """Choices of the baseline policies that are kept for comparison.

    `LatencyPolicy` is only tested without candidates here.
    """

    def test_no_candidates_yield_none(self) -> None:
        """Checks that each policy returns None if there are no candidates."""
        random_source = seeded.SeededRandom()
        for policy in (routing.RandomPolicy(random_source),
                       routing.RoundRobinPolicy(),
                       routing.LeastLoadedPolicy(random_source),
                       routing.TwoChoicesPolicy(random_source),
                       routing.LatencyPolicy(random_source)):
            self.assertIsNone(policy.choose([], 0.0), policy)

    def test_round_robin_takes_turns(self) -> None:
        """Guards against a round robin that skips or repeats a target."""
        policy = routing.RoundRobinPolicy()
        candidates = [routing.TargetCandidate(name, 0, 1) for name in "bca"]
        target_names = [policy.choose(candidates, 0.0).name for _ in range(4)]
        self.assertEqual(target_names, ["a", "b", "c", "a"])

    def test_loaded_target_is_avoided(self) -> None:
        """Guards against choosing a target with more attempts in flight."""
        random_source = seeded.SeededRandom()
        candidates = [
            routing.TargetCandidate("busy", 3, 4),
            routing.TargetCandidate("free", 0, 4)
        ]
        for policy in (routing.LeastLoadedPolicy(random_source),
                       routing.TwoChoicesPolicy(random_source)):
            self.assertEqual(policy.choose(candidates, 0.0).name, "free")


class EjectionTest(unittest.TestCase):
    """Ejection and return of failing targets, tested through the router."""

    def _send_requests(self, failing_targets: set[str], started_at: float,
                       count: int) -> dict[str, int]:
        """Sends requests one by one, 10 ms apart.

        Attempts at the failing targets get a server error after 0.1 ms, the
        others a response after 5 ms.

        Returns:
            Number of first attempts by target.
        """
        attempts_by_target = dict.fromkeys(self.target_names, 0)
        for i in range(count):
            now = started_at + 0.01 * i
            step = self.router.admit(
                routing.Request(f"r-{now}", "s", now + 10, is_idempotent=True),
                now)
            name = step.destination.target
            attempts_by_target[name] += 1
            self.router.report(
                step.attempt_id,
                _FAILED if name in failing_targets else _SUCCEEDED,
                now + (0.0001 if name in failing_targets else 0.005))
        return attempts_by_target

    def setUp(self) -> None:
        self.target_names = [f"worker-{i}" for i in range(4)]
        self.router = routing.RequestRouter(routing.RouterSettings(),
                                            seeded.SeededRandom(), 0.0)
        self.router.update_targets(
            [routing.TargetSpec(name) for name in self.target_names], 0.0)

    def test_fast_failures_attract_few_requests(self) -> None:
        """Guards against more than 20 of 2000 requests to a target that fails.

        It fails fast, so that it would otherwise look like the fastest one.
        """
        self.assertLessEqual(
            self._send_requests({"worker-0"}, 0.0, 2000)["worker-0"], 20)

    def test_target_returns_after_probes(self) -> None:
        """Guards against a recovered target that stays ejected.

        After its recovery it must get more than half of the requests that it
        would get if all four targets got equally many.
        """
        self._send_requests({"worker-0"}, 0.0, 500)
        self.assertGreater(
            self._send_requests(set(), 5.0, 4000)["worker-0"], 4000 / 4 / 2)

    def test_at_most_half_is_ejected(self) -> None:
        """Guards against the ejection of more than half of the targets.

        All four targets fail, but at least two of them must each get more than
        100 of the last 1000 requests.
        """
        self._send_requests(set(self.target_names), 0.0, 1000)
        attempts_by_target = self._send_requests(set(self.target_names), 10.0,
                                                 1000)
        self.assertGreaterEqual(
            sum(attempt_count > 100
                for attempt_count in attempts_by_target.values()), 2)
