"""Randomized tests of runs while leaders change and jobs move."""

import unittest

from gentianlead.dispatch.tests import fleets

SEEDS = (*range(12), 151, 220, 233)
"""Seed 233 broke a rule while a leader went on beside its successor; 151 and
220 while a job could come back within one read of the topic."""


class FleetTest(unittest.TestCase):
    """Tests of the model of a site whose leaders change and move jobs."""

    def test_no_task_runs_twice(self):
        """Checks that no task runs after it was done, or twice at a time.

        All jobs must have ended some seconds after the troubles. Guards against
        an end that a worker may forget although a later leader of the job does
        not know it, and against a job that is left without a leader.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                site = fleets.SiteModel(seed)
                site.run(8.0, 10.0)
                self.assertEqual(site.observer.violations, [])
                self.assertEqual(site.list_unfinished_jobs(), [])
