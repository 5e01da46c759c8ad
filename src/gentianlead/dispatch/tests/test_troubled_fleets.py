"""Randomized tests of long-running tasks beside troubles of their workers.

To run many seeds by hand, replace `MIXED_SEEDS` by a larger range.
"""

import unittest

from gentianlead.dispatch import _task_runs
from gentianlead.dispatch.tests import troubled_fleets

MIXED_SEEDS = range(6)

DAYS = (*((seed, ()) for seed in MIXED_SEEDS), (133, ("reclaim", "loss",
                                                      "restart", "cut")))
"""Seeds and troubles."""

MAX_WAIT_S = 8.0
"""Longest time without a run beside free capacity after the troubles: a lease
with drift (5.8 s) of a worker that is gone, and a move or a queue of suspects
(2 s)."""

UNANSWERED_DAYS = ((13, ()), (33, ()), (4308, ()), (3001, ("deaf", "drain",
                                                           "loss", "reload")))
"""Days on which a worker replies to status calls only, also after the troubles.
A leader waited for good for the end of a run that it had never started; on day
4308, a worker that restarted under its identifier forgot that a task was done.
"""

MAX_UNANSWERED_WAIT_S = _task_runs.MAX_ORDER_DELAY.total_seconds() + 2.0
"""Replaces `MAX_WAIT_S` on these days, as no reply tells of the end."""


class TroubledFleetTest(unittest.TestCase):
    """Tests long-running tasks whose leaders stay the same on most days."""

    def test_long_running_tasks_run_after_troubles(self):
        """Checks that all tasks with room run again, and none runs twice.

        Guards against a leader whose memory keeps a task from starting until
        the process is restarted.
        """
        for days, max_wait_s in ((DAYS, MAX_WAIT_S), (UNANSWERED_DAYS,
                                                      MAX_UNANSWERED_WAIT_S)):
            for seed, kinds in days:
                with self.subTest(seed=seed):
                    self.check_day(seed, kinds, max_wait_s)

    def check_day(self, seed: int, kinds: tuple[str, ...],
                  max_wait_s: float) -> None:
        """Runs a day with troubles of some kinds, and a calm time after it."""
        site = troubled_fleets.TroubledSite(seed, kinds)
        site.run(40.0, max_wait_s + 6.0)
        self.assertEqual(site.observer.violations, [])
        self.assertLess(site.longest_wait.seconds, max_wait_s)
        self.assertEqual([
            task for task in site.list_waiting_tasks()
            if site.list_workers_with_room(task)
        ], [])
