"""Randomized tests of runs while leaders change and jobs move."""

import unittest

from gentianlead.dispatch.tests import fleets

SEEDS = (*range(12), 151, 220, 233)
"""Seed 233 broke a rule while a leader went on beside its successor; 151 and
220 while a job could come back within one read of the topic."""

SUPERSEDED_RUN_SEEDS = (99, 108, 147, 161, 170, 368, 463, 3113)
"""On these days, ends were acknowledged by leaders that did not know that the
run had been given up and its task started again; on day 3113, by one that had
forgotten it."""

SUPERSEDED_FAILURE_SEEDS = (747, 10541)
"""On these days, the former group of a task acknowledged a failed run of which
the new group learned only after it had started the task once too often; on day
10541 while the task moved."""

REPEATED_NUMBER_SEEDS = (917,)
"""On this day, two groups gave the same number to runs of one task. Their
failures counted as one, and the task started once more than its queue allows.
"""

MAX_REPORTED_ENDS = 500
"""Number of ends that the workers of the platform report at a time. A leader
withholds the acknowledgement of more ends than the model reports by default."""


class FleetTest(unittest.TestCase):
    """Tests of the model of a site whose leaders change and move jobs."""

    def test_no_task_runs_twice(self):
        """Checks that no task runs after it was done, or twice at a time.

        All jobs must have ended some seconds after the troubles. Guards against
        an end that a worker may forget although a later leader of the job does
        not know it, and against a job that is left without a leader.
        """
        for seed in SEEDS:
            self.check_day(seed, fleets.SiteModel(seed))

    def test_superseded_runs_are_not_acknowledged(self):
        """Guards against acknowledged ends of tasks that started again.

        The leader that acknowledged them was not the one that had started the
        task again: it was its successor, or led the former group of the task.
        """
        for seed in SUPERSEDED_RUN_SEEDS:
            self.check_day(seed, fleets.SiteModel(seed, MAX_REPORTED_ENDS))

    def test_superseded_failures_are_not_acknowledged(self):
        """Guards against more starts of a task than its queue allows.

        A failed run counts for the queue once its end is acknowledged.
        """
        for seed in SUPERSEDED_FAILURE_SEEDS:
            self.check_day(seed, fleets.SiteModel(seed, MAX_REPORTED_ENDS))

    def test_groups_do_not_repeat_run_numbers(self):
        """Guards against failed runs that are not counted.

        A leader that had learned of a run only by its end moved the job, and
        the new group gave the number of that run to another one.
        """
        for seed in REPEATED_NUMBER_SEEDS:
            self.check_day(seed, fleets.SiteModel(seed, MAX_REPORTED_ENDS))

    def check_day(self, seed: int, site: fleets.SiteModel) -> None:
        """Runs a day with troubles, and a calm time after it."""
        with self.subTest(seed=seed):
            site.run(8.0, 10.0)
            self.assertEqual(site.observer.violations, [])
            self.assertEqual(site.list_unfinished_jobs(), [])
