"""Tests of the log lines and the histogram of a takeover wait."""

import unittest

from gentianlead.cluster import _metrics
from gentianlead.cluster import _takeover_log
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders


class TakeoverLogTest(unittest.TestCase):
    """Tests what is reported of a leader that waits for a silent worker."""

    def setUp(self):
        self.driver = builders.GroupDriver()
        self.log = fakes.RecordingLog()
        self.metrics = _metrics.ClusterMetrics()
        self.takeover_log = _takeover_log.TakeoverLog(self.driver.scheduler,
                                                      self.driver.now, self.log,
                                                      self.metrics)
        self.driver.scheduler.put_recorded_worker(builders.build_worker("w1"),
                                                  self.driver.now)
        self.driver.put_job("job", offset=10)

    def write_after(self, duration_s: float) -> None:
        """Plans after some time, and reports the wait."""
        self.driver.now += duration_s
        self.driver.plan()
        self.takeover_log.write(self.driver.now)

    def test_silent_workers_are_named_once_a_second(self):
        """Guards against a wait of which the log does not tell the cause."""
        for _ in range(40):
            self.write_after(0.05)
        lines = self.log.list_fields("takeover-waiting")
        self.assertIn(len(lines), (1, 2))
        self.assertEqual(lines[0]["workers"], {"w1": "not-registered"})
        self.assertEqual(lines[0]["jobs"], 1)
        self.assertAlmostEqual(lines[0]["waited_s"] + lines[0]["ends_in_s"],
                               builders.TAKEOVER_WAIT.total_seconds())

    def test_end_is_logged_once(self):
        """Guards against waits whose length the metrics do not show."""
        self.write_after(3.0)
        self.driver.apply_status("w1")
        self.write_after(0.1)
        self.write_after(1.0)
        (fields,) = self.log.list_fields("takeover-ended")
        self.assertAlmostEqual(fields["waited_s"], 3.1)
        self.assertEqual(fields["silent_workers"], 0)
        self.assertIn("gentianlead_takeover_wait_seconds_count 1",
                      self.metrics.render().decode().replace("{}", ""))

    def test_resignation_names_runs_on_silent_workers(self):
        """Guards against a log that hides what the leader knew."""
        self.takeover_log.write_resignation()
        (fields,) = self.log.list_fields("lead-resigned")
        self.assertFalse(fields["is_reconciled"])
        self.assertEqual(fields["runs_on_silent_workers"], {"w1": 0})
