"""Tests of the liveness of members."""

import datetime
import unittest

from gentianlead import membership
from gentianlead import state


def _member(name: str, join_offset: int, last_heartbeat_offset: int) -> state.Member:
    return state.Member(name, 0, "", join_offset, last_heartbeat_offset)


class MembershipTrackerTest(unittest.TestCase):
    """Silence, ranks and outages."""

    def setUp(self) -> None:
        self.tracker = membership.MembershipTracker(
            datetime.timedelta(seconds=6))

    def update(self, fresh_as_of: float, **last_heartbeat_offset: int) -> None:
        """Takes in members `a` and `b`, joined in this order."""
        order = {"a": 1, "b": 2}
        members = {
            name: _member(name, order[name], offset)
            for name, offset in last_heartbeat_offset.items()
        }
        self.tracker.update(members, fresh_as_of)

    def test_silent_member_loses_its_rank(self) -> None:
        """Guards against a dead member that stays the preferred scheduler."""
        self.update(0.0, a=1, b=2)
        self.assertEqual(self.tracker.get_rank("a"), 0)
        self.update(7.0, a=1, b=3)
        self.assertIsNone(self.tracker.get_rank("a"))
        self.assertEqual(self.tracker.get_rank("b"), 0)

    def test_outage_of_the_log_kills_nobody(self) -> None:
        """Guards against members taken for dead when nobody can append."""
        self.update(1.0, a=1, b=2)
        for _ in range(100):
            self.update(1.0, a=1, b=2)
        self.assertEqual(self.tracker.get_rank("a"), 0)
