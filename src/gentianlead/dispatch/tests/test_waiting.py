"""Tests of what is reported about tasks that wait for their start."""

import unittest

from gentianlead import dispatch
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting

SHORT_JOB_ID = "00000000000000bb"
SERVICE_JOB_ID = "00000000000000aa"


class WaitMonitorTest(unittest.TestCase):
    """Tests which waits are reported, and in which order."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.monitor = dispatch.WaitMonitor()

    def observe(self) -> list[dispatch.StepWait]:
        """Observes the group after a planning pass."""
        self.driver.start_all()
        return self.monitor.observe(self.driver.scheduler, self.driver.now,
                                    builders.NOW_MS)

    def test_long_running_tasks_come_first(self):
        """Guards against bounded lines that hide a long-running task's wait."""
        self.driver.put_job(SHORT_JOB_ID, builders.build_step(cpu_millis=11000))
        self.observe()
        self.driver.now += 3.0
        self.driver.put_job(SERVICE_JOB_ID,
                            test_lasting.build_service_step(cpu_millis=11000))
        self.observe()
        self.driver.now += 1.0
        self.assertEqual(
            [(wait.job_id, wait.waited_s) for wait in self.observe()],
            [(SERVICE_JOB_ID, 1.0), (SHORT_JOB_ID, 4.0)])

    def test_wait_ends_with_the_start(self):
        """Guards against a wait that is reported for running tasks."""
        self.driver.put_job(SHORT_JOB_ID, builders.build_step())
        self.assertEqual(self.observe(), [])

    def test_wait_of_a_job_that_is_never_planned(self):
        """Guards against a wait that shows only if the planner looks at it."""
        self.driver.put_job(SHORT_JOB_ID, builders.build_step(), offset=10)
        self.driver.scheduler.jobs[SHORT_JOB_ID].is_reconciled = False
        (wait,) = self.monitor.observe(self.driver.scheduler, self.driver.now,
                                       builders.NOW_MS)
        cause = dispatch.find_wait_cause(self.driver.scheduler, wait,
                                         self.driver.now)
        self.assertFalse(cause.is_reconciled)
        self.assertIsNone(cause.unplaced_s)


class WaitCauseTest(unittest.TestCase):
    """Tests that each worker is counted under what keeps a task off it."""

    def test_obstacle_of_each_worker(self):
        """Guards against a wait whose cause the log does not show."""
        driver = builders.GroupDriver(
            builders.build_worker("small", cpu_millis=500),
            builders.build_worker("full", memory_mib=10),
            builders.build_worker("leaving", is_draining=True),
            builders.build_worker("other", service="other"),
            builders.build_worker("unlabelled", labels=frozenset()))
        driver.put_job(SHORT_JOB_ID, builders.build_step(required_label="a"))
        driver.plan()
        (wait,) = dispatch.WaitMonitor().observe(driver.scheduler, driver.now,
                                                 builders.NOW_MS)
        cause = dispatch.find_wait_cause(driver.scheduler, wait, driver.now)
        self.assertEqual(
            cause.workers, {
                "no-cpu": 1,
                "no-memory": 1,
                "draining": 1,
                "other-service": 1,
                "no-label": 1
            })

    def test_capacity_beside_long_running_tasks(self):
        """Guards against a log that does not tell a lack of capacity from gaps.

        Of the 20 cores of the service, long-running tasks reserve 8. The task
        of 8 cores fits beside them on no worker although 12 are left.
        """
        driver = builders.GroupDriver(
            *(builders.build_worker(worker_id, labels=frozenset({worker_id}))
              for worker_id in ("w1", "w2")),
            builders.build_worker("other", service="other"))
        for label in ("w1", "w2"):
            driver.put_job(
                label,
                test_lasting.build_service_step(cpu_millis=4000,
                                                required_label=label))
        driver.put_job(SHORT_JOB_ID, builders.build_step(2, cpu_millis=5000))
        driver.start_all()
        driver.put_job(SERVICE_JOB_ID,
                       test_lasting.build_service_step(cpu_millis=8000))
        driver.start_all()
        (wait,) = dispatch.WaitMonitor().observe(driver.scheduler, driver.now,
                                                 builders.NOW_MS)
        cause = dispatch.find_wait_cause(driver.scheduler, wait, driver.now)
        self.assertEqual((cause.largest_reclaimable_cpu_millis,
                          cause.reclaimable_cpu_millis), (6000, 12000))
