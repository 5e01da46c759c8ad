"""Tests that workers and tasks which planning leaves out come back into it."""

import unittest

from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class RelistedWorkerTest(unittest.TestCase):
    """Tests a worker that the registry lists again after the group dropped it.
    """

    def test_worker_gets_starts_again(self):
        """Guards against a worker that stays unrecorded once it is back.

        It is listed again before the workers without it were stored.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.mark_worker_removed("w1", driver.now)
        driver.now += 10.0
        self.assertEqual(driver.scheduler.drop_removed_workers(driver.now),
                         ["w1"])
        driver.add_worker(builders.build_worker())
        driver.put_job(JOB_ID, builders.build_step())
        self.assertEqual(len(driver.plan_starts()), 1)
