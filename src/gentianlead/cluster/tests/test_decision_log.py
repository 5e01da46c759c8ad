"""Tests of the structured decision log."""

import json
import os
import unittest

from gentianlead.cluster import _decision_log
from gentianlead import adapters


class DecisionLogTest(unittest.TestCase):
    """Tests a log that writes to a pipe."""

    def setUp(self) -> None:
        self.pipe_reader, pipe_writer = os.pipe()
        self.log = _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                             pipe_writer)
        self.addCleanup(os.close, self.pipe_reader)
        self.addCleanup(os.close, pipe_writer)

    def test_line_is_json_with_fields(self):
        """Guards against lines that are not JSON with the expected fields."""
        self.log.write("job-accepted", job="aa", groups=["n1"])
        line = json.loads(os.read(self.pipe_reader, 65536))
        self.assertEqual((line["daemon"], line["event"], line["job"]),
                         ("entry-1", "job-accepted", "aa"))

    def test_full_pipe_never_blocks(self):
        """Guards against a daemon that blocks while nobody reads its log."""
        for number in range(3000):
            self.log.write("run-ordered", number=number, text="x" * 200)
        self.assertGreater(self.log.dropped, 0)
        while True:
            os.set_blocking(self.pipe_reader, False)
            try:
                if not os.read(self.pipe_reader, 1 << 20):
                    break
            except BlockingIOError:
                break
        self.log.write("after")
        text = os.read(self.pipe_reader, 1 << 20).decode()
        last_line = json.loads(text.splitlines()[-1])
        self.assertIn("lines_dropped_before", text)
        self.assertEqual(last_line["event"], "after")

    def test_rate_is_bounded(self):
        """Guards against a log volume that grows without bound under load."""
        log = _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                        os.open(os.devnull, os.O_WRONLY))
        for number in range(_decision_log.BURST_LINES * 2):
            log.write("run-ordered", number=number)
        self.assertGreater(log.dropped, _decision_log.BURST_LINES // 2)
