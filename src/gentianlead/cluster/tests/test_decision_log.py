"""Tests of the structured log."""

import json
import os
import unittest

from gentianlead.cluster import _decision_log
from gentianlead import adapters


class DecisionLogTest(unittest.TestCase):
    """Lines on a pipe."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.log = _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                             writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def test_line(self):
        """Guards against lines that a collector cannot read."""
        self.log.write("job-accepted", job="aa", groups=["n1"])
        line = json.loads(os.read(self.reader, 65536))
        self.assertEqual((line["daemon"], line["event"], line["job"]),
                         ("entry-1", "job-accepted", "aa"))

    def test_reader_that_stops_never_blocks(self):
        """Guards against a full pipe that stops the daemon."""
        for number in range(3000):
            self.log.write("run-ordered", number=number, text="x" * 200)
        self.assertGreater(self.log.dropped, 0)
        while True:
            os.set_blocking(self.reader, False)
            try:
                if not os.read(self.reader, 1 << 20):
                    break
            except BlockingIOError:
                break
        self.log.write("after")
        text = os.read(self.reader, 1 << 20).decode()
        last = json.loads(text.splitlines()[-1])
        self.assertIn("lines_dropped_before", text)
        self.assertEqual(last["event"], "after")

    def test_rate_is_bounded(self):
        """Guards against log volume that grows with the load."""
        log = _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                        os.open(os.devnull, os.O_WRONLY))
        for number in range(_decision_log.BURST_LINES * 2):
            log.write("run-ordered", number=number)
        self.assertGreater(log.dropped, _decision_log.BURST_LINES // 2)
