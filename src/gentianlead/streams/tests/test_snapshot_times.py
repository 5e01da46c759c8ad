"""Tests of the bound on the age of the newest snapshot."""

import unittest

from gentianlead import model
from gentianlead import state
from gentianlead.streams import _snapshot_times


def _build_parts(snapshot_id: str, count: int) -> list[state.AppliedRecord]:
    return [
        state.AppliedRecord(
            index,
            model.Envelope(
                "entry-1#a", index + 1,
                model.SnapshotPart(snapshot_id, 9, index, count, 0, b"x")),
            state.RecordVerdict(True)) for index in range(count)
    ]


class SnapshotTimesTest(unittest.TestCase):
    """Checks which snapshots count, and from which time."""

    def setUp(self) -> None:
        self.times = _snapshot_times.SnapshotTimes()

    def test_partial_snapshot_does_not_count(self) -> None:
        """Guards against an abandoned snapshot that postpones the next one."""
        parts = _build_parts("s-1", 3)
        self.times.add_records(parts[:1] + parts[2:], 5.0)
        self.times.add_records(parts[2:], 6.0)
        self.assertIsNone(self.times.newest_appended_after)

    def test_age_counts_from_the_first_part(self) -> None:
        """Guards against a slowly written snapshot that looks too young."""
        parts = _build_parts("s-1", 3)
        self.times.add_records(parts[:1], 5.0)
        self.times.add_records(parts[1:], 8.0)
        self.assertEqual(self.times.newest_appended_after, 5.0)

    def test_snapshot_read_at_the_start_has_no_bound(self) -> None:
        """Guards against a snapshot from before the start that looks new."""
        self.times.add_records(_build_parts("s-1", 2), None)
        self.assertIsNone(self.times.newest_appended_after)
        self.times.add_records(_build_parts("s-2", 2), 4.0)
        self.assertEqual(self.times.newest_appended_after, 4.0)
        self.times.add_records(_build_parts("s-3", 2), None)
        self.assertEqual(self.times.newest_appended_after, 4.0)

    def test_number_of_partial_snapshots_is_bounded(self) -> None:
        """Guards against memory that abandoned snapshots never free."""
        for number in range(100):
            self.times.add_records(_build_parts(f"s-{number}", 2)[:1], 1.0)
        self.times.add_records(_build_parts("s-0", 2)[1:], 2.0)
        self.assertIsNone(self.times.newest_appended_after)
        self.times.add_records(_build_parts("s-99", 2)[1:], 3.0)
        self.assertEqual(self.times.newest_appended_after, 1.0)
