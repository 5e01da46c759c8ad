"""Tests of the order in which waiting steps get workers."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders

BEGUN = "00000000000000aa"
OLD = "00000000000000bb"
NEW = "00000000000000cc"
LATE = "00000000000000dd"


def build_bundle(count: int = 1, **fields) -> model.Step:
    """Returns a step of fillers that take 4 s; its objective is 9 s."""
    values = {
        "is_filler": True,
        "image": "bundle",
        "estimate_ms": 4000,
        "cpu_millis": 10_000
    }
    values.update(fields)
    return builders.build_step(count, **values)


class BundleOrderTest(unittest.TestCase):
    """Order of bundles; one fits on the worker at a time."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.ends = 0

    def put(self, job_id: str, age_ms: int, step: model.Step) -> None:
        """Adds a bundle that was accepted some time ago."""
        self.driver.scheduler.put_job(
            builders.build_entry(
                builders.build_job(job_id,
                                   step,
                                   accepted_at_ms=builders.NOW_MS - age_ms)))

    def start_one(self) -> str:
        """Returns the job whose task starts, and ends that task."""
        (order,) = self.driver.start()
        self.driver.now += 0.1
        self.ends += 1
        self.driver.look(ended=(builders.build_end(order, self.ends),))
        return order.task.job_id

    def test_bundles_come_faster_than_they_end(self):
        """Load pattern: a burst of bundles, several times what fits.

        Guards against a group that starts each bundle when its objective has
        just become out of reach, so that all of them are late.
        """
        self.put(BEGUN, 3000, build_bundle(2))
        self.assertEqual(self.start_one(), BEGUN)
        self.put(LATE, 8000, build_bundle())
        self.put(OLD, 2000, build_bundle())
        self.put(NEW, 100, build_bundle())
        order = [self.start_one() for _ in range(4)]
        self.assertEqual(order, [BEGUN, NEW, OLD, LATE])

    def test_without_late_bundles_the_earliest_deadline_goes_first(self):
        """Guards against bundles that wait although all can be in time."""
        self.put(NEW, 100, build_bundle())
        self.put(OLD, 2000, build_bundle())
        self.assertEqual([self.start_one(), self.start_one()], [OLD, NEW])

    def test_hopeless_bundles_come_last(self):
        """Guards against work for an end that no longer counts."""
        self.put(OLD, 30_000, build_bundle())
        self.put(LATE, 10_000, build_bundle())
        self.assertEqual([self.start_one(), self.start_one()], [LATE, OLD])

    def test_short_and_lasting_tasks_go_first(self):
        """Guards against lookups that wait behind bundles."""
        self.put(BEGUN, 0, build_bundle())
        self.put(
            NEW, 0,
            builders.build_step(is_long_running=True,
                                tail_latency_limit_ms=20,
                                cpu_millis=6000))
        self.put(OLD, 0, builders.build_step(cpu_millis=4000))
        orders = self.driver.start()
        self.assertEqual([order.task.job_id for order in orders[:2]],
                         [NEW, OLD])


class RemainingTimeTest(unittest.TestCase):
    """How long a job takes from now on."""

    def test_steps_and_progress(self):
        """Guards against objectives that are given up too early or too late."""
        job = builders.build_job(BEGUN, build_bundle(2),
                                 build_bundle(estimate_ms=1000),
                                 build_bundle(depends_on=(0, 1)))
        driver = builders.GroupDriver(builders.build_worker(cpu_millis=100_000))
        driver.scheduler.put_job(builders.build_entry(job))
        orders = driver.start()
        run = driver.scheduler.jobs[BEGUN]
        self.assertEqual(run.compute_left_ms(0), 8000)
        rows = [
            builders.build_row(order, percent)
            for order, percent in zip(orders, (50, 75, 0))
        ]
        driver.look(running=tuple(rows))
        self.assertEqual(run.compute_left_ms(0), 6000)
        self.assertTrue(run.has_begun(0))
        self.assertIsInstance(run, dispatch.JobRun)
