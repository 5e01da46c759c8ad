"""Tests of how long a new leader waits for workers that do not reply."""

import datetime
import unittest

from gentianlead.cluster import _group_leader

LEASE = datetime.timedelta(seconds=5)


class TakeoverWaitTest(unittest.TestCase):
    """Tests the wait after which no run of a former leader can go on."""

    def test_silence_of_the_former_leader_counts(self):
        """Guards against tasks that wait for a dead worker for too long.

        The start permission of the former leader has been running out since its
        last record, not only since the takeover.
        """
        full_wait = _group_leader.compute_takeover_wait(LEASE, None)
        self.assertEqual(
            _group_leader.compute_takeover_wait(LEASE,
                                                datetime.timedelta(seconds=2)),
            full_wait - datetime.timedelta(seconds=2))
        self.assertEqual(
            _group_leader.compute_takeover_wait(LEASE,
                                                datetime.timedelta(minutes=1)),
            datetime.timedelta(0))

    def test_unknown_former_leader(self):
        """Guards against a second run beside one of a leader not known."""
        self.assertGreaterEqual(
            _group_leader.compute_takeover_wait(LEASE, None),
            _group_leader.START_PERMISSION_PERIOD + LEASE)
