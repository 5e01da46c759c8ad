"""Tests that the ejection of a repaired target ends."""

import unittest

from gentianlead import errors
from gentianlead import routing
from gentianlead.routing.tests import seeded

_SUCCEEDED = routing.AttemptOutcome(errors.Verdict.RAN, True)
_FAILED = routing.AttemptOutcome(errors.Verdict.MAY_HAVE_RUN, False,
                                 errors.ErrorCode.TARGET_FAILED)


class EjectionEndTest(unittest.TestCase):
    """Tests the return of a target that failed for some time."""

    def setUp(self) -> None:
        self.router = routing.RequestRouter(routing.RouterSettings(),
                                            seeded.SeededRandom(), 0.0)
        self.router.update_targets(
            [routing.TargetSpec(f"worker-{i}", 8) for i in range(4)], 0.0)
        self.now = 0.0

    def serve(self, seconds: int, is_idempotent: bool,
              failing_target: str) -> dict[str, int]:
        """Serves a burst of 24 requests each second.

        Returns:
            The number of attempts by target.
        """
        attempt_counts: dict[str, int] = {}
        for _ in range(seconds):
            self.now += 1.0
            steps: list[routing.RoutingStep | None] = [
                self.router.admit(
                    routing.Request(f"r-{self.now}-{number}",
                                    "s",
                                    self.now + 10,
                                    is_idempotent=is_idempotent), self.now)
                for number in range(24)
            ]
            while steps:
                step = steps.pop(0)
                if not isinstance(step, routing.StartAttempt):
                    continue
                target = step.destination.target
                attempt_counts[target] = attempt_counts.get(target, 0) + 1
                outcome = _FAILED if target == failing_target else _SUCCEEDED
                steps.append(
                    self.router.report(step.attempt_id, outcome,
                                       self.now + 0.01))
                steps.extend(self.router.poll(self.now + 0.02))
        return attempt_counts

    def test_repaired_target_returns(self) -> None:
        """Guards against an ejection that lasts for ever.

        A service may get only requests that are not idempotent.
        """
        for is_idempotent in (True, False):
            with self.subTest(is_idempotent=is_idempotent):
                self.setUp()
                self.serve(30, is_idempotent, "worker-0")
                counts = self.serve(5, is_idempotent, "worker-0")
                self.assertLess(counts.get("worker-0", 0), 5)
                self.serve(240, is_idempotent, "")
                counts = self.serve(20, is_idempotent, "")
                self.assertGreater(counts.get("worker-0", 0), 20)

    def test_failing_target_gets_few_requests(self) -> None:
        """Guards against probes that make many requests fail."""
        self.serve(30, False, "worker-0")
        counts = self.serve(600, False, "worker-0")
        self.assertLess(counts.get("worker-0", 0), 25)
