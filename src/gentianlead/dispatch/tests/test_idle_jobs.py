"""Tests of what is reported about jobs that have nothing running."""

import unittest
from typing import Any

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_interference

JOB_ID = "00000000000000bb"
SERVICE_JOB_ID = "00000000000000aa"
REPORT_AGE_S = 0.5


class IdleJobTest(unittest.TestCase):
    """Tests a group with one worker and a service on it."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.monitor = dispatch.IdleJobMonitor()
        self.driver.put_job(SERVICE_JOB_ID, test_interference.SERVICE_STEP)
        (self.service_order,) = self.driver.start_all()

    def note_run_ends(self) -> None:
        """Passes on the run ends like a leader after a planning pass."""
        scheduler = self.driver.scheduler
        self.monitor.add_run_ends(scheduler.ended_runs, self.driver.now)
        scheduler.ended_runs = []

    def observe(self) -> list[dispatch.IdleJob]:
        """Returns the jobs of the group that have nothing running."""
        return self.monitor.observe(self.driver.scheduler, self.driver.now,
                                    builders.NOW_MS)

    def explain(self, **reports: dispatch.GroupReport) -> dict[str, Any]:
        """Explains the only job that has nothing running."""
        (idle_job,) = self.observe()
        return dispatch.explain_idle_job(self.driver.scheduler, idle_job,
                                         reports, self.driver.now)

    def put_best_effort_job(self, count: int = 1) -> None:
        """Adds a best-effort job that the group does not start."""
        self.driver.put_job(
            JOB_ID,
            test_interference.BEST_EFFORT_STEP._replace(count=count,
                                                        cpu_millis=2000))

    def test_time_counts_since_the_end_of_the_last_run(self):
        """Guards against a job that looks idle only since the last look."""
        self.driver.put_job(JOB_ID, builders.build_step(1, cpu_millis=6000))
        (order,) = self.driver.start_all()
        self.assertEqual(self.observe(), [])
        self.driver.now += 1.0
        self.driver.apply_status(
            running=(builders.build_active_run(self.service_order, 100),),
            ended=(builders.build_ended_run(order,
                                            cause=ports.EndCause.STOPPED),))
        self.note_run_ends()
        self.driver.now += 1.5
        (idle_job,) = self.observe()
        self.assertEqual((idle_job.idle_s, len(idle_job.run_ends)), (1.5, 1))
        self.assertEqual(self.explain()["run_ends"],
                         [((0, 0, 0), "stopped", 1.0, 1.5)])

    def test_time_without_due_tasks_does_not_count(self):
        """Guards against a divided job that looks idle while it runs elsewhere.

        The last task here waits for one that another group runs for 20 s.
        """
        self.driver.put_job(JOB_ID,
                            builders.build_step(2),
                            builders.build_step(1, depends_on=(0,)),
                            assignment=("north-1", "north-2", "north-1"))
        job = self.driver.scheduler.jobs[JOB_ID]
        (order,) = self.driver.start_all()
        self.driver.apply_status(running=(builders.build_active_run(
            self.service_order, 100),),
                                 ended=(builders.build_ended_run(order),))
        self.note_run_ends()
        self.assertEqual(self.observe(), [])
        self.driver.now += 20.0
        job.mark_task_done(order.task._replace(index=1))
        (idle_job,) = self.observe()
        self.assertEqual(idle_job.idle_s, 0.0)

    def test_interference_is_told_by_its_cause(self):
        """Guards against a pause that looks like a pair that interferes."""
        self.put_best_effort_job()
        worker = self.driver.scheduler.workers["w1"]
        worker.is_overloaded = True
        self.driver.plan()
        self.assertEqual(self.explain()["workers"], {"overloaded": 1})
        worker.is_overloaded = False
        self.driver.interference.merge(
            [dispatch.InterferenceEstimate("watch", "bundle", 80.0, 9.0)])
        self.assertEqual(self.explain()["workers"], {"too-much-stretch": 1})
        worker.throttles["bundle"] = 0
        self.assertEqual(self.explain()["workers"], {"image-throttled": 1})

    def test_relaxation_after_a_wait_in_a_former_group(self):
        """Guards against a log that does not show a wait that began anew."""
        self.put_best_effort_job()
        job = self.driver.scheduler.jobs[JOB_ID]
        self.assertEqual(self.explain()["relaxation"], "normal")
        job.waited_before_s = 2.1
        job.moves_without_start = 3
        explanation = self.explain()
        self.assertEqual(
            (explanation["relaxation"], explanation["waited_before_s"],
             explanation["moves_without_start"]), ("starving", 2.1, 3))

    def test_tasks_in_another_group_are_shown(self):
        """Guards against a divided job that looks like one in this group."""
        self.put_best_effort_job(3)
        scheduler = self.driver.scheduler
        entry = scheduler.jobs[JOB_ID].entry
        scheduler.put_job(
            entry._replace(assignment=("north-1", "north-2", "north-2")))
        load = builders.GroupDriver(
            builders.build_worker()).scheduler.compute_load(self.driver.now)
        explanation = self.explain(**{
            "north-2":
                dispatch.GroupReport(load, self.driver.now - REPORT_AGE_S)
        })
        self.assertEqual(explanation["unfinished_by_group"], {
            "north-1": 1,
            "north-2": 2
        })
        self.assertEqual(explanation["reserved_share"], 0.4)
        other_group = explanation["other_groups"]["north-2"]
        self.assertEqual((other_group["age_s"], other_group["reserved_share"]),
                         (REPORT_AGE_S, 0.0))
        self.assertGreater(other_group["room_cpu_millis"], 2000)
