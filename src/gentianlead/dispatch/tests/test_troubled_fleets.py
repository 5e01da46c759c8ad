"""Randomized tests of long-running tasks beside troubles of their workers.

To run many seeds by hand, replace `MIXED_SEEDS` by a larger range.
"""

import unittest

from gentianlead.dispatch.tests import troubled_fleets

MIXED_SEEDS = (*range(6), 13, 33)
"""On days 13 and 33, a leader waited for good for the end of a run that its
worker had never started."""

DAYS = (*((seed, ()) for seed in MIXED_SEEDS),
        (3001, ("deaf", "drain", "loss", "reload")), (133, ("reclaim", "loss",
                                                            "restart", "cut")))
"""Seeds and troubles. Seed 3001 has the same fault as 13; on day 133, suspects
queued for 13 s beside free capacity."""

MAX_WAIT_S = 8.0
"""Longest time without a run beside free capacity after the troubles: a lease
with drift (5.8 s) of a worker that is gone, and a move or a queue of suspects
(2 s)."""


class TroubledFleetTest(unittest.TestCase):
    """Tests long-running tasks whose leaders stay the same on most days."""

    def test_long_running_tasks_run_after_troubles(self):
        """Checks that all tasks with room run again, and none runs twice.

        Guards against a leader whose memory keeps a task from starting until
        the process is restarted.
        """
        for seed, kinds in DAYS:
            with self.subTest(seed=seed):
                site = troubled_fleets.TroubledSite(seed, kinds)
                site.run(40.0, 14.0)
                self.assertEqual(site.observer.violations, [])
                self.assertLess(site.longest_wait.seconds, MAX_WAIT_S)
                self.assertEqual([
                    task for task in site.list_waiting_tasks()
                    if site.list_workers_with_room(task)
                ], [])
