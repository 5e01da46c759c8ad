"""Randomized tests of runs while leaders resign and workers leave."""

import unittest

from gentianlead.dispatch.tests import resignations

TROUBLED_SEEDS = (*range(5), 1009, 1043, 1070, 1074, 1099, 1106, 1147)
"""The seeds above 1000 break a rule if the successor ignores handed-over runs
(1009, 1043, 1106), their leases (1043) or unseen workers (1074, 1147), if a
leader hands on only the leases that it granted itself (1106), goes on while it
resigns (1099), or sends starts that it planned before it froze (1070)."""

CALM_SEEDS = range(40)


class TroubledResignationTest(unittest.TestCase):
    """Tests resignations beside crashes, freezes, cuts and late calls."""

    def test_no_task_runs_twice(self):
        """Checks that no task runs after it was done, or twice at a time.

        All long-running tasks must run some seconds after the troubles. Guards
        against a successor that starts a task whose run it does not know, and
        against a leader that still starts runs when its successor counts on the
        end of all its leases.
        """
        for seed in TROUBLED_SEEDS:
            with self.subTest(seed=seed):
                site = resignations.ResignationSite(seed, has_troubles=True)
                site.run(10.0, 12.0)
                self.assertEqual(site.observer.violations, [])
                self.assertEqual(site.list_waiting_tasks(), [])


class CalmResignationTest(unittest.TestCase):
    """Tests days on which leaders only resign, and workers only leave."""

    def test_long_running_tasks_run_again_soon(self):
        """Checks that no long-running task waits longer than `MAX_WAIT_S`.

        Guards against a successor that waits for the workers of a leader that
        has resigned in good order.
        """
        for seed in CALM_SEEDS:
            with self.subTest(seed=seed):
                site = resignations.ResignationSite(seed, has_troubles=False)
                site.run(10.0, 0.0)
                self.assertEqual(site.observer.violations, [])
                self.assertEqual(site.waits.violations, [])
