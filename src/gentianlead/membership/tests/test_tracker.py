"""Tests of the tracking of live members."""

import datetime
import unittest

from gentianlead import membership
from gentianlead import state


def _build_member(incarnation: str, join_offset: int,
                  last_heartbeat_offset: int) -> state.Member:
    return state.Member(incarnation, 0, "", join_offset, last_heartbeat_offset)


class MembershipTrackerTest(unittest.TestCase):
    """Tests of missing heartbeats, ranks and outages of the log."""

    def setUp(self) -> None:
        self.tracker = membership.MembershipTracker(
            datetime.timedelta(seconds=6))

    def update_tracker(self, fresh_as_of: float,
                       **last_heartbeat_offsets: int) -> None:
        """Updates the tracker with members `a` and `b`, joined in this order.

        Args:
            fresh_as_of: Time as of which the state is current, in monotonic
                seconds.
            **last_heartbeat_offsets: Offset of the last heartbeat by name of
                the member; a member that is left out is not in the state.
        """
        join_offsets = {"a": 1, "b": 2}
        members = {
            incarnation:
                _build_member(incarnation, join_offsets[incarnation], offset)
            for incarnation, offset in last_heartbeat_offsets.items()
        }
        self.tracker.update(members, fresh_as_of)

    def test_silent_member_loses_its_rank(self) -> None:
        """Checks that a member loses its rank after 7 s without a heartbeat.

        The timeout is 6 s. The other member, which sent a heartbeat, must get
        rank 0. Guards against a failed member that stays the preferred
        scheduler.
        """
        self.update_tracker(0.0, a=1, b=2)
        self.assertEqual(self.tracker.get_rank("a"), 0)
        self.update_tracker(7.0, a=1, b=3)
        self.assertIsNone(self.tracker.get_rank("a"))
        self.assertEqual(self.tracker.get_rank("b"), 0)

    def test_log_outage_changes_no_rank(self) -> None:
        """Checks that a member keeps rank 0 over 100 updates without progress.

        During an outage of the log there are no new heartbeats, and the time as
        of which the state is current does not advance. Guards against a member
        that loses its rank in such an outage.
        """
        self.update_tracker(1.0, a=1, b=2)
        for _ in range(100):
            self.update_tracker(1.0, a=1, b=2)
        self.assertEqual(self.tracker.get_rank("a"), 0)

    def test_end_of_log_outage_changes_no_rank(self) -> None:
        """Checks the ranks when the log replies again after 28 s.

        The first read after the outage cannot show a heartbeat yet. Guards
        against members that take over each other's runs after each outage.
        """
        self.update_tracker(1.0, a=1, b=2)
        self.update_tracker(29.0, a=1, b=2)
        self.assertEqual(self.tracker.get_rank("a"), 0)
        self.assertEqual(self.tracker.get_rank("b"), 1)

    def test_failure_in_log_outage(self) -> None:
        """Checks that a member loses its rank 7 s after an outage of 28 s.

        Guards against a member that failed in the outage and counts as live.
        """
        self.update_tracker(1.0, a=1, b=2)
        for second in range(29, 37):
            self.update_tracker(float(second), a=1, b=second)
        self.assertIsNone(self.tracker.get_rank("a"))
        self.assertEqual(self.tracker.get_rank("b"), 0)
