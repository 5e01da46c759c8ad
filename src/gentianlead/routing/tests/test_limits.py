"""Tests of retry budget, backoff, concurrency limit, queues and estimates."""

import datetime
import math
import unittest

from gentianlead import routing
from gentianlead.routing import _estimates
from gentianlead.routing import _limits
from gentianlead.routing import _queues
from gentianlead.routing.tests import seeded


class RetryBudgetTest(unittest.TestCase):
    """Number of retries and hedges that the retry budget allows."""

    def test_retries_never_exceed_fraction(self) -> None:
        """Guards against retries above 10 % of the first attempts so far.

        The first 1000 first attempts take no retries. After each further one,
        as many retries are taken as the budget allows.
        """
        budget = _limits.RetryBudget(0.1)
        withdrawn_retries = 0
        for first_attempts in range(1, 3000):
            budget.deposit()
            if first_attempts > 1000:
                while budget.withdraw():
                    withdrawn_retries += 1
            self.assertLessEqual(withdrawn_retries, 0.1 * first_attempts + 1e-6)
        self.assertGreater(withdrawn_retries, 100)

    def test_unused_budget_is_bounded(self) -> None:
        """Checks that after many first attempts just 50 retries are left."""
        budget = _limits.RetryBudget(0.1)
        for _ in range(100_000):
            budget.deposit()
        self.assertEqual(sum(budget.withdraw() for _ in range(1000)), 50)

    def test_hedges_leave_a_reserve(self) -> None:
        """Guards against hedges that use the last 5 retries of the budget."""
        budget = _limits.RetryBudget(0.5)
        for _ in range(20):
            budget.deposit()
        hedges = sum(budget.withdraw(is_hedge=True) for _ in range(20))
        retries = sum(budget.withdraw() for _ in range(20))
        self.assertEqual((hedges, retries), (5, 5))

    def test_infinite_fraction_has_no_limit(self) -> None:
        """Guards against a limit on retries when the fraction is infinite."""
        self.assertTrue(_limits.RetryBudget(math.inf).withdraw())


class BackoffTest(unittest.TestCase):
    """Range of the random delays before retries."""

    def test_delays_spread_up_to_maximum(self) -> None:
        """Guards against retry delays that are not spread from 0 to the bound.

        Without the spread, retries of requests that failed at the same time
        would arrive at the same time. The bound doubles per retry, up to the
        maximum of 100 ms.
        """
        backoff = _limits.Backoff(datetime.timedelta(milliseconds=20),
                                  datetime.timedelta(milliseconds=100),
                                  seeded.SeededRandom())
        for retry, max_delay in ((1, 0.02), (2, 0.04), (3, 0.08), (9, 0.1)):
            delays = [backoff.get_delay_s(retry) for _ in range(200)]
            self.assertLess(max(delays), max_delay)
            self.assertGreater(max(delays), 0.8 * max_delay)
            self.assertLess(min(delays), 0.2 * max_delay)


class ConcurrencyLimitTest(unittest.TestCase):
    """Adaptation of the concurrency limit to overload signals."""

    def setUp(self) -> None:
        self.limit = _limits.ConcurrencyLimit()
        self.limit.set_max_limit(20)

    def _record_attempts(self, started_at: float,
                         overloaded_targets: set[str]) -> None:
        for i in range(400):
            name = f"worker-{i % 4}"
            self.limit.record_attempt(name, name in overloaded_targets,
                                      started_at + 0.05 * i)

    def test_one_overloaded_target_does_not_lower_limit(self) -> None:
        """Checks that one overloaded target of 4 does not lower the limit."""
        self._record_attempts(0.0, {"worker-0"})
        self.assertEqual(self.limit.limit, 20)

    def test_limit_falls_and_recovers(self) -> None:
        """Guards against a limit that does not fall or not rise again.

        It must fall to 20 % of its upper bound while all targets are overloaded
        and rise to the bound after the overload.
        """
        self._record_attempts(0.0, {f"worker-{i}" for i in range(4)})
        self.assertEqual(self.limit.limit, 4)
        self._record_attempts(20.0, set())
        self.assertEqual(self.limit.limit, 20)


class RequestQueuesTest(unittest.TestCase):
    """Order, maximum lengths and shedding of the queued requests."""

    def setUp(self) -> None:
        self.queues: _queues.RequestQueues[str] = _queues.RequestQueues(
            {queue_class: 2 for queue_class in routing.RequestClass})
        for name, deadline, request_class in (
            ("bulk-1", 1.0, routing.RequestClass.BULK),
            ("late", 9.0, routing.RequestClass.INTERACTIVE),
            ("soon", 3.0, routing.RequestClass.INTERACTIVE),
        ):
            self.queues.push(
                routing.Request(name,
                                "s",
                                deadline,
                                request_class=request_class), name)

    def test_queue_order(self) -> None:
        """Guards against a wrong order of queued requests.

        Interactive requests must come before bulk ones, and in each class the
        one with the earliest deadline first. The earliest deadline must be that
        of the requests of both classes.
        """
        self.assertEqual(list(self.queues), ["soon", "late", "bulk-1"])
        self.assertEqual(self.queues.get_earliest_deadline(), 1.0)

    def test_queue_length_limits_are_per_class(self) -> None:
        """Checks that a full interactive queue leaves the bulk queue usable."""
        self.assertEqual([
            self.queues.is_full(request_class)
            for request_class in routing.RequestClass
        ], [True, False])

    def test_only_late_requests_are_shed(self) -> None:
        """Guards against shedding too few or too many queued requests.

        With an expected service time of 0.5 s, a request must be removed from
        0.5 s before its deadline on, and not earlier.
        """
        for now, shed in ((0.4, []), (0.5, ["bulk-1"]), (2.5, ["soon"])):
            self.assertEqual(
                self.queues.shed_late_requests(now, lambda _: 0.5,
                                               lambda name: name), shed)
        self.assertIsNone(self.queues.remove("soon"))
        self.assertEqual(len(self.queues), 1)


class EstimatesTest(unittest.TestCase):
    """Running estimates of means and quantiles."""

    def test_mean_follows_a_change_at_any_rate(self) -> None:
        """Guards against a mean that follows a change slowly at a busy target.

        After 1000 observations of 1, 30 observations of 0 must lower the mean
        below 0.35, whether all of them are 1 ms or 100 ms apart.
        """
        for interval_s in (0.001, 0.1):
            mean = _estimates.DecayingMean(10.0, 1.0, 1.0, 20.0)
            for i in range(1000):
                mean.add(1.0, interval_s * i)
            for i in range(1000, 1030):
                mean.add(0.0, interval_s * i)
            self.assertLess(mean.get_mean(interval_s * 1030), 0.35)

    def test_mean_returns_to_its_prior(self) -> None:
        """Guards against a mean that an old observation still determines.

        60 s after the only observation, the mean must be the prior mean again.
        Otherwise a target with bad results would never be used again.
        """
        mean = _estimates.DecayingMean(2.0, 1.0, 1.0, 12.0)
        mean.add(9.0, 0.0)
        self.assertAlmostEqual(mean.get_mean(60.0), 1.0)

    def test_mean_and_quantile_of_uniform_latencies(self) -> None:
        """Guards against a wrong mean or quantile of uniform latencies.

        For latencies between 0 and 1 s, the mean must be close to 0.5 s and the
        95 % quantile close to 0.95 s. Hedges are started after the quantile, so
        a wrong one would start them at the wrong time.
        """
        random_source = seeded.SeededRandom()
        estimate = _estimates.LatencyEstimate(1.0, 0.95)
        for _ in range(5000):
            estimate.add(random_source.random())
        self.assertAlmostEqual(estimate.mean_s, 0.5, delta=0.1)
        self.assertAlmostEqual(estimate.quantile_s, 0.95, delta=0.07)
