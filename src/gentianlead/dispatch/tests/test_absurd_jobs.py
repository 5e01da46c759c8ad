"""Tests of groups with jobs whose needs are valid but absurd."""

import unittest

from gentianlead import dispatch
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_capacity


class AbsurdJobTest(unittest.TestCase):
    """Tests the load that a leader reports."""

    def test_load_fits_a_report(self):
        """Guards against a leader whose load reports reach no daemon.

        Records of older daemons may hold such jobs.
        """
        for fields in ({
                "cpu_millis": 2**31 - 1,
                "estimate_ms": 2**53 - 1
        }, {
                "cpu_millis": 100,
                "estimate_ms": 2**63 - 1
        }, {
                "cpu_millis": 2**63 - 1,
                "estimate_ms": 1000,
                "is_best_effort": True
        }):
            with self.subTest(fields):
                driver = builders.GroupDriver(builders.build_worker())
                step = builders.build_step(10_000, **fields)
                driver.scheduler.put_job(
                    builders.build_job_entry(
                        builders.build_job(test_capacity.JOB_ID, step)))
                load = driver.scheduler.compute_load(driver.now)
                dispatch.encode_value(load)
                self.assertGreater(load.total_backlog_ms, 10**9)
