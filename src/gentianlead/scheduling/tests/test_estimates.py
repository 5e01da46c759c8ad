"""Tests of size estimates and of evictions under memory pressure."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_DECLARED_SIZE = model.Resources(1000, 1000)


class EstimateTest(unittest.TestCase):
    """Tests the effect of usage reports on task sizes, starts and evictions.

    The reports are about runs of one job on four workers.
    """

    def setUp(self) -> None:
        self.domain = domains.DomainFixture()
        self.domain.put_workers(4, model.Resources(8000, 8000))
        self.domain.open_job(
            model.JobSpec("job-1", tasks=900, resources=_DECLARED_SIZE))

    def report_usage(self, start: scheduling.PlannedStart,
                     usage: model.Resources, as_of: float) -> None:
        """Reports the usage of a run, with a slowdown of 1.0."""
        run_key = ports.RunKey(start.job_id, start.task, start.run)
        self.domain.scheduler.observe_usage(
            start.worker, ports.UsageReport(run_key, 0, usage, 1.0), as_of)

    def estimate_after_reports(self, usage: model.Resources,
                               run_age: float) -> model.Resources:
        """Returns the resources of the next planned start after ten reports.

        Each report is about another run, with the same usage and at the age
        `run_age` in seconds.
        """
        starts = self.domain.start_tasks(10)
        self.domain.now = run_age
        for start in starts:
            self.report_usage(start, usage, run_age)
        return self.domain.plan_starts(1)[0].resources

    def test_estimates_follow_the_reports(self) -> None:
        """Checks the estimate after reports of different usage and run age.

        Usage above the declared size must raise the estimate at once. Usage
        below it must lower the estimate at an age of 300 s, when the runs have
        settled, but not at 5 s.
        """
        cases = [
            (model.Resources(2000, 1500), 5.0, model.Resources(2200, 1800)),
            (model.Resources(1000, 1000), 300.0, _DECLARED_SIZE),
            (model.Resources(200, 100), 5.0, _DECLARED_SIZE),
            (model.Resources(200, 100), 300.0, model.Resources(380, 300)),
            (model.Resources(0, 0), 300.0, model.Resources(170, 170)),
        ]
        for usage, run_age, expected_resources in cases:
            self.setUp()
            self.assertEqual(self.estimate_after_reports(usage, run_age),
                             expected_resources, (usage, run_age))

    def test_usage_beyond_the_claim_is_not_free_capacity(self) -> None:
        """Checks that at most two tasks start beside a run that uses too much.

        The run uses 6 of the 8 cores of its worker, but has claimed only one.
        Guards against placing tasks on capacity that other runs use.
        """
        loaded_run, = self.domain.start_tasks(1)
        self.report_usage(loaded_run, model.Resources(6000, 1000), 1.0)
        workers = [start.worker for start in self.domain.plan_starts(100)]
        self.assertLessEqual(workers.count(loaded_run.worker), 2)

    def test_memory_is_freed_once_for_one_report(self) -> None:
        """Checks that memory pressure on a worker evicts one run, only once.

        Reports that arrive after the eviction order still show the usage before
        the order. They must not cause a second eviction.
        """
        starts = [
            start for start in self.domain.start_tasks(32)
            if start.worker == "worker-0"
        ]
        for start in starts:
            self.report_usage(start, model.Resources(1000, 1050), 1.0)
        evictions = self.domain.plan_evictions()
        self.assertEqual(len(evictions), 1)
        self.assertEqual(evictions[0].reason,
                         scheduling.EvictionReason.MEMORY_PRESSURE)
        for start in starts:
            self.report_usage(start, model.Resources(1000, 1050), 2.0)
        self.assertEqual(self.domain.plan_evictions(), [])

    def test_growth_within_the_claim_causes_no_eviction(self) -> None:
        """Checks that fast growth of memory within the claim evicts no run.

        Guards against evictions while tasks load their data.
        """
        starts = self.domain.start_tasks(32)
        for as_of in (1.0, 2.0):
            for start in starts:
                self.report_usage(start,
                                  model.Resources(1000,
                                                  int(480 * as_of)), as_of)
        self.assertEqual(self.domain.plan_evictions(), [])
