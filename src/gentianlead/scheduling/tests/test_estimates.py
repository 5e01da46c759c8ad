"""Tests of estimates and of the watch on memory."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_DECLARED = model.Resources(1000, 1000)


class EstimateTest(unittest.TestCase):
    """Declared sizes against reported ones."""

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(4, model.Resources(8000, 8000))
        self.domain.open_job(
            model.JobSpec("job-1", tasks=900, resources=_DECLARED))

    def report(self, start: scheduling.PlannedStart, used: model.Resources,
               as_of: float) -> None:
        """Reports the use of a run, undisturbed."""
        key = ports.RunKey(start.job_id, start.task, start.run)
        self.domain.scheduler.observe_usage(
            start.worker, ports.UsageReport(key, 0, used, 1.0), as_of)

    def estimate_after(self, used: model.Resources,
                       age: float) -> model.Resources:
        """Returns what the next task reserves after ten reports."""
        starts = self.domain.start(10)
        self.domain.now = age
        for start in starts:
            self.report(start, used, age)
        return self.domain.plan(1)[0].resources

    def test_estimates_follow_the_reports(self) -> None:
        """Guards against sizes that stay as declared, or shrink too early."""
        cases = [
            (model.Resources(2000, 1500), 5.0, model.Resources(2200, 1800)),
            (model.Resources(1000, 1000), 300.0, _DECLARED),
            (model.Resources(200, 100), 5.0, _DECLARED),
            (model.Resources(200, 100), 300.0, model.Resources(380, 300)),
            (model.Resources(0, 0), 300.0, model.Resources(170, 170)),
        ]
        for used, age, expected in cases:
            self.setUp()
            self.assertEqual(self.estimate_after(used, age), expected,
                             (used, age))

    def test_use_beyond_the_claim_is_not_given_away(self) -> None:
        """Guards against tasks placed on capacity that others use already."""
        first, = self.domain.start(1)
        self.report(first, model.Resources(6000, 1000), 1.0)
        workers = [start.worker for start in self.domain.plan(100)]
        self.assertLessEqual(workers.count(first.worker), 2)

    def test_memory_is_freed_once_for_one_report(self) -> None:
        """Guards against two evictions on the same late evidence."""
        starts = [
            start for start in self.domain.start(32)
            if start.worker == "worker-0"
        ]
        for start in starts:
            self.report(start, model.Resources(1000, 1050), 1.0)
        moves = self.domain.evict()
        self.assertEqual(len(moves), 1)
        self.assertEqual(moves[0].reason,
                         scheduling.EvictionReason.MEMORY_PRESSURE)
        for start in starts:
            self.report(start, model.Resources(1000, 1050), 2.0)
        self.assertEqual(self.domain.evict(), [])

    def test_growth_within_the_claim_evicts_nothing(self) -> None:
        """Guards against evictions of tasks that load their data."""
        starts = self.domain.start(32)
        for as_of in (1.0, 2.0):
            for start in starts:
                self.report(start, model.Resources(1000, int(480 * as_of)),
                            as_of)
        self.assertEqual(self.domain.evict(), [])
