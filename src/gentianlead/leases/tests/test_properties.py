"""Property-based tests of worker clock estimates and ages of stream state."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies as st

from gentianlead import leases

_HYPOTHESIS_SETTINGS = hypothesis.settings(derandomize=True,
                                           database=None,
                                           deadline=None,
                                           max_examples=100)
_LEASE_LENGTH = datetime.timedelta(seconds=10)
_delays_s = st.floats(0, 30)
_drift_rates = st.floats(-leases.DRIFT_LIMIT, leases.DRIFT_LIMIT)
_times_s = st.floats(0, 100_000)


class _SimulatedWorkerClock:
    """Simulates the monotonic clock of a worker with an offset and a drift."""

    def __init__(self, offset_s: float, drift_rate: float) -> None:
        self._offset_s = offset_s
        self._drift_rate = drift_rate

    def get_time_ms(self, now: float) -> float:
        """Returns the exact time on the worker's clock, in milliseconds."""
        return (self._offset_s + now * (1 + self._drift_rate)) * 1000


class WorkerClockPropertiesTest(unittest.TestCase):
    """Tests estimates for drift within the limit and delays of up to 30 s."""

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(_times_s, _drift_rates, _times_s, _delays_s, _delays_s,
                      _times_s)
    def test_bounds_enclose_the_true_clock(self, offset_s, drift_rate, sent_at,
                                           request_delay_s, reply_delay_s,
                                           elapsed_s) -> None:
        """Checks that the true worker time lies between the two bounds.

        Guards against bounds that leave out clock drift or a network delay.
        """
        worker_clock = _SimulatedWorkerClock(offset_s, drift_rate)
        replied_at = sent_at + request_delay_s
        received_at = replied_at + reply_delay_s
        estimate = leases.WorkerClockEstimate(
            "boot-1", int(worker_clock.get_time_ms(replied_at)), sent_at,
            received_at)
        now = received_at + elapsed_s
        true_time_ms = worker_clock.get_time_ms(now)
        # The tolerance covers the rounding errors of floats of this size.
        self.assertLessEqual(estimate.get_lower_bound_ms(now),
                             true_time_ms + 1e-4)
        self.assertGreaterEqual(estimate.get_upper_bound_ms(now),
                                int(true_time_ms - 1e-4))

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(_times_s, _drift_rates, _delays_s, _delays_s,
                      st.floats(0, 20))
    def test_expiry_is_never_detected_early(self, offset_s, drift_rate,
                                            request_delay_s, reply_delay_s,
                                            elapsed_s) -> None:
        """Checks that a lease counts as expired after its end, and in time.

        Guards against a lease that counts as expired while it is valid. A
        second run of its task could then start while the first one still runs.
        """
        worker_clock = _SimulatedWorkerClock(offset_s, drift_rate)
        received_at = request_delay_s + reply_delay_s
        estimate = leases.WorkerClockEstimate(
            "boot-1", int(worker_clock.get_time_ms(request_delay_s)), 0.0,
            received_at)
        expires_at_ms = estimate.get_expiry_ms(received_at, _LEASE_LENGTH)
        now = received_at + elapsed_s
        if estimate.is_certainly_past(expires_at_ms, now):
            self.assertGreater(worker_clock.get_time_ms(now), expires_at_ms)
        # The expiry must also be detected at the latest 1.01 lease lengths plus
        # 1 s after the reply arrived.
        detected_by = received_at + 1.01 * _LEASE_LENGTH.total_seconds() + 1
        self.assertTrue(estimate.is_certainly_past(expires_at_ms, detected_by))

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(_times_s, _drift_rates, _delays_s, _delays_s, _delays_s,
                      st.floats(0, 60))
    def test_delayed_renewal_extends_no_lease(self, offset_s, drift_rate,
                                              request_delay_s, reply_delay_s,
                                              renewal_delay_s,
                                              wait_before_renewal_s) -> None:
        """Checks that a lease length counts from the sending of the renewal.

        When the renewal arrives, the rest of the lease must be at most
        `_LEASE_LENGTH` minus the delay of the renewal, apart from clock drift
        during the delay. Guards against a late renewal that makes the lease
        last longer.
        """
        worker_clock = _SimulatedWorkerClock(offset_s, drift_rate)
        received_at = request_delay_s + reply_delay_s
        estimate = leases.WorkerClockEstimate(
            "boot-1", int(worker_clock.get_time_ms(request_delay_s)), 0.0,
            received_at)
        sent_at = received_at + wait_before_renewal_s
        expires_at_ms = estimate.get_expiry_ms(sent_at, _LEASE_LENGTH)
        arrived_at = sent_at + renewal_delay_s
        remaining_ms = expires_at_ms - worker_clock.get_time_ms(arrived_at)
        max_remaining_s = _LEASE_LENGTH.total_seconds() - renewal_delay_s * (
            1 - leases.DRIFT_LIMIT)
        self.assertLessEqual(remaining_ms, max_remaining_s * 1000 + 1e-3)


class FreshnessPropertiesTest(unittest.TestCase):
    """Tests the age of the state and the limits on it."""

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(st.lists(st.tuples(_times_s, _delays_s), min_size=1))
    def test_age_counts_from_the_newest_read_sent(self, reads) -> None:
        """Checks ages of the state and the limits that apply to them.

        The age must count from the sending of the read that was sent last, in
        whatever order the reads are recorded. The limit for starts must apply
        in the same way to the age of the configuration and to that of the
        domain's stream. Before the first read the age must be `timedelta.max`,
        and after `reset` no renewal may be allowed. Guards against a slow reply
        that makes the state look too fresh.
        """
        freshness = leases.Freshness()
        self.assertEqual(freshness.get_age(0), datetime.timedelta.max)
        limits = leases.FreshnessLimits()
        for sent_at, _ in reads:
            freshness.mark_current(sent_at)
        newest_read_sent_at = max(sent_at for sent_at, _ in reads)
        for _, delay in reads:
            age = freshness.get_age(newest_read_sent_at + delay)
            self.assertAlmostEqual(age.total_seconds(), delay, 4)
            self.assertEqual(limits.may_start(age, datetime.timedelta()), age
                             <= limits.max_age_for_starts)
            self.assertEqual(limits.may_start(datetime.timedelta(), age),
                             limits.may_start(age, datetime.timedelta()))
        freshness.reset()
        self.assertFalse(
            limits.may_renew(freshness.get_age(newest_read_sent_at)))
