"""Tests of the log lines for jobs that have nothing running."""

import json
import unittest

from gentianlead import adapters
from gentianlead.cluster import _idle_job_log
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders


class IdleJobLogTest(unittest.TestCase):
    """Tests which jobs are written, and how many at a time."""

    def test_lines_are_bounded(self):
        """Guards against a full group that fills the log, and early lines."""
        log = fakes.RecordingLog()
        driver = builders.GroupDriver(builders.build_worker())
        idle_job_log = _idle_job_log.IdleJobLog(driver.scheduler,
                                                adapters.SystemClock(), log,
                                                dict)
        for number in range(2 * _idle_job_log.MAX_LINES):
            driver.put_job(f"{number:016x}",
                           builders.build_step(cpu_millis=11000))
        for elapsed_s, line_count in ((0.0, 0), (0.9, 0),
                                      (0.2, _idle_job_log.MAX_LINES)):
            driver.now += elapsed_s
            driver.plan()
            idle_job_log.write(driver.now)
            lines = log.list_fields("job-idle")
            self.assertEqual(len(lines), line_count)
        self.assertEqual(lines[0]["idle_jobs"], 2 * _idle_job_log.MAX_LINES)
        self.assertEqual(
            json.loads(json.dumps(lines[0]))["workers"], {"no-cpu": 1})
