"""Tests of the count and the log of unreadable records."""

import datetime
import unittest

from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _metrics
from gentianlead.cluster import _unreadable_records
from gentianlead.cluster.tests import fakes


class SteppedClock(ports.Clock):
    """Clock that a test moves on.

    Attributes:
        seconds: Monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        return self.seconds

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.seconds,
                                               datetime.timezone.utc)

    async def sleep(self, duration: datetime.timedelta) -> None:
        raise NotImplementedError()


class UnreadableRecordsTest(unittest.TestCase):
    """Tests which unreadable records are logged."""

    def setUp(self):
        self.clock = SteppedClock()
        self.log = fakes.RecordingLog()
        self.metrics = _metrics.ClusterMetrics()
        self.unreadable_records = _unreadable_records.UnreadableRecords(
            "t", self.clock, self.log, self.metrics)

    def report_each_second(self, count: int, is_same_problem: bool) -> None:
        """Reports a record of the key `a` each second."""
        for offset in range(count):
            self.unreadable_records.report(
                ports.KeyedRecord("a", b"x", offset),
                errors.ProtocolError(
                    "bad" if is_same_problem else f"bad {offset}"))
            self.clock.seconds += 1

    def list_offsets(self) -> list[int]:
        """Returns the offsets of the records that were logged."""
        return [
            fields["offset"]
            for fields in self.log.list_fields("record-unreadable")
        ]

    def test_rewritten_record_is_logged_once(self):
        """Guards against a log that an entry fills that is rewritten."""
        self.report_each_second(1000, True)
        self.assertEqual(self.list_offsets(), [0])
        self.assertIn(b'gentianlead_unreadable_records_total{topic="t"} 1000',
                      self.metrics.render())

    def test_changing_problem_is_logged_once_a_minute(self):
        """Guards against a line for each record that shows another value."""
        self.report_each_second(130, False)
        self.assertEqual(self.list_offsets(), [0, 60, 120])

    def test_each_key_is_logged(self):
        """Guards against a second bad entry that nobody notices."""
        self.report_each_second(1, True)
        self.unreadable_records.report(ports.KeyedRecord("b", b"x", 1),
                                       errors.ProtocolError("bad"))
        self.assertEqual(self.list_offsets(), [0, 1])

    def test_record_is_logged_again_after_a_readable_one(self):
        """Guards against a fault that returns without a line."""
        self.report_each_second(2, True)
        self.unreadable_records.mark_readable("a")
        self.report_each_second(1, True)
        self.unreadable_records.forget_missing(["a"])
        self.report_each_second(1, True)
        self.assertEqual(len(self.list_offsets()), 2)
        self.unreadable_records.forget_missing([])
        self.report_each_second(1, True)
        self.assertEqual(len(self.list_offsets()), 3)
