"""Tests of the structured decision log."""

import json
import os
import unittest

from gentianlead.cluster import _decision_log
from gentianlead import adapters


class DecisionLogTest(unittest.TestCase):
    """Tests the format of lines, writes to a full pipe, and the rate limit."""

    def setUp(self) -> None:
        self.pipe_reader, pipe_writer = os.pipe()
        self.log = _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                             pipe_writer)
        self.addCleanup(os.close, self.pipe_reader)
        self.addCleanup(os.close, pipe_writer)

    def test_line_is_json_with_fields(self):
        """Checks that a line is JSON with the daemon, the event and a field."""
        self.log.write("job-accepted", job="aa", groups=["n1"])
        line = json.loads(os.read(self.pipe_reader, 65536))
        self.assertEqual((line["daemon"], line["event"], line["job"]),
                         ("entry-1", "job-accepted", "aa"))

    def test_full_pipe_never_blocks(self):
        """Checks that lines are dropped while nobody reads the full pipe.

        A line written later must have the field `lines_dropped_before`. Guards
        against a daemon that blocks while nobody reads its log.
        """
        for line_number in range(3000):
            self.log.write("run-ordered", number=line_number, text="x" * 200)
        self.assertGreater(self.log.dropped_line_count, 0)
        while True:
            os.set_blocking(self.pipe_reader, False)
            try:
                if not os.read(self.pipe_reader, 1 << 20):
                    break
            except BlockingIOError:
                break
        self.log.write("after")
        log_text = os.read(self.pipe_reader, 1 << 20).decode()
        last_line = json.loads(log_text.splitlines()[-1])
        self.assertIn("lines_dropped_before", log_text)
        self.assertEqual(last_line["event"], "after")

    def test_rate_is_bounded(self):
        """Checks that lines of a burst above the rate limit are dropped.

        Of twice `BURST_LINES` lines, more than a quarter must be dropped.
        Guards against a log without a rate limit.
        """
        log = _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                        os.open(os.devnull, os.O_WRONLY))
        for line_number in range(_decision_log.BURST_LINES * 2):
            log.write("run-ordered", number=line_number)
        self.assertGreater(log.dropped_line_count,
                           _decision_log.BURST_LINES // 2)
