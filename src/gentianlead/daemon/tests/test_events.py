"""Tests of the events that the observers of a daemon write."""

import datetime
import io
import json
import unittest

from gentianlead import telemetry
from gentianlead.daemon import _observers


class SnapshotEventsTest(unittest.TestCase):
    """Checks the messages about snapshots."""

    def setUp(self) -> None:
        self.output = io.StringIO()
        self.enterContext(
            telemetry.open_event_log("entry-1", "info", self.output))
        self.observer = _observers.ControlTelemetry("entry-1#1", "domain-1",
                                                    telemetry.DaemonMetrics())

    def read_messages(self) -> list[str]:
        """Returns the messages that were written."""
        return [
            json.loads(line)["message"]
            for line in self.output.getvalue().splitlines()
        ]

    def test_messages_have_all_fields(self) -> None:
        """Guards against messages with placeholders for missing fields."""
        self.observer.on_snapshot_written("config", 41, 2, 70_000)
        self.observer.on_snapshot_overdue("config",
                                          datetime.timedelta(seconds=5))
        self.assertEqual(self.read_messages(), [
            "snapshot of stream config through offset 41 written in 2 parts",
            "last snapshot of stream config is 5000 ms old"
        ])
