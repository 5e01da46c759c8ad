"""Tests of the losses of workers that leaders compare across groups."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch import _loss_reports
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000dd"
TASK = model.TaskKey(JOB_ID, 0, 0, 0)


class OtherGroupTest(unittest.TestCase):
    """Tests a second crash that coincides with losses in another group.

    The worker is lost 10 ms after the start of a task under which a worker has
    crashed before.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(
            *(builders.build_worker(f"w{i}") for i in range(3)))
        self.reported_losses = self.driver.scheduler.crashes.reported_losses
        self.driver.put_job(JOB_ID)
        self.job = self.driver.scheduler.jobs[JOB_ID]
        self.job.get_suspicion(TASK).add_crash(1,
                                               _suspicions.CrashEvidence.STRONG,
                                               0.0)
        self.driver.plan()
        self.driver.flush()
        (self.order,) = self.driver.start_all()
        self.driver.now += 0.01
        self.driver.scheduler.mark_unreachable(self.order.worker_id,
                                               self.driver.now)
        self.lost_at = self.driver.now

    def report_loss(self, lost_at: float, group: str = "north-2") -> None:
        """Reports that a group lost a worker."""
        age_ms = int((self.driver.now - lost_at) * 1000)
        self.reported_losses.add(
            group, (dispatch.LossReport("x1", 7, age_ms, age_ms),),
            self.driver.now)

    def replace_worker(self, delay_s: float) -> None:
        """Replaces the lost worker some time after now."""
        self.driver.now += delay_s
        self.driver.scheduler.remove_replaced_worker(self.order.worker_id,
                                                     self.driver.now)
        self.driver.plan()

    def start_for(self, seconds: float) -> list[dispatch.StartOrder]:
        """Plans for some time, and returns the start orders."""
        orders = []
        end = self.driver.now + seconds
        while self.driver.now < end:
            self.driver.now += 0.05
            for worker_id in self.driver.scheduler.workers:
                self.driver.apply_status(worker_id)
            self.driver.flush()
            orders += self.driver.plan_starts()
        return orders

    def test_loss_of_power_in_two_groups_keeps_the_task(self):
        """Checks the job if another group reports a loss before the worker is
        replaced.

        Guards against giving up a healthy task that a loss of power hits right
        after its second start, with no other worker of its own group.
        """
        self.driver.now += 0.5
        self.report_loss(self.lost_at + 0.02)
        self.replace_worker(2.5)
        self.assertFalse(self.job.has_ended)

    def test_late_report_keeps_the_task(self):
        """Checks the job if the worker is replaced before the report arrives.

        Guards against giving up a task before the other groups could report.
        """
        self.replace_worker(0.1)
        self.assertFalse(self.job.has_ended)
        self.driver.now += 0.5
        self.report_loss(self.lost_at - 0.1)
        self.assertEqual(len(self.start_for(3.0)), 1)
        self.assertFalse(self.job.has_ended)

    def test_lone_crash_is_confirmed_without_a_start(self):
        """Checks that the task is given up one second after an early verdict.

        Guards against a further start, and against a task that is never given
        up since its workers restart quickly.
        """
        self.replace_worker(0.1)
        self.assertFalse(self.job.has_ended)
        self.assertEqual(self.start_for(1.2), [])
        self.assertIs(self.job.state, model.JobState.FAILED)

    def test_losses_at_other_times_confirm_the_crash(self):
        """Checks that earlier and later losses elsewhere change nothing.

        Guards against a task that is kept since other groups lose workers, too.
        """
        self.driver.now += 2.0
        self.report_loss(self.lost_at - 0.5)
        self.report_loss(self.lost_at + 0.5, "north-3")
        self.replace_worker(1.0)
        self.assertIs(self.job.state, model.JobState.FAILED)

    def test_own_report_confirms_the_crash(self):
        """Checks that the report of the own group changes nothing.

        Guards against a loss that its own report makes look like two.
        """
        self.reported_losses.add(
            "north-1",
            self.driver.scheduler.crashes.build_loss_reports(self.driver.now),
            self.driver.now)
        self.replace_worker(3.0)
        self.assertIs(self.job.state, model.JobState.FAILED)


class LossReportTest(unittest.TestCase):
    """Tests which losses a leader reports, and how they are kept."""

    def test_report_lists_recent_losses(self):
        """Checks that a report has few and recent losses, with their ages.

        Guards against reports that grow with the losses of a large group, and
        against times that a peer cannot compare with its own.
        """
        driver = builders.GroupDriver(
            *(builders.build_worker(f"w{i:02}") for i in range(30)))
        crashes = driver.scheduler.crashes
        driver.scheduler.mark_unreachable("w00", driver.now)
        driver.now += 4.0
        driver.scheduler.put_worker(
            builders.build_worker("w01", is_draining=True))
        for i in range(1, 11):
            driver.scheduler.mark_unreachable(f"w{i:02}", driver.now,
                                              driver.now - 0.25)
        reports = crashes.build_loss_reports(driver.now + 0.5)
        self.assertEqual([report.worker_id for report in reports],
                         [f"w{i:02}" for i in range(2, 11)])
        self.assertEqual(
            {(report.lost_since_age_ms, report.lost_at_age_ms)
             for report in reports}, {(750, 500)})
        for i in range(11, 30):
            driver.scheduler.mark_unreachable(f"w{i:02}", driver.now)
        self.assertEqual([
            report.worker_id
            for report in crashes.build_loss_reports(driver.now + 0.5)
        ], [f"w{i}" for i in range(14, 30)])

    def test_fastest_report_gives_the_time(self):
        """Checks the time of a loss that a slow and a fast report list.

        Guards against a loss that looks too late to have a common cause.
        """
        losses = _loss_reports.ReportedLosses()
        losses.add("north-2", (dispatch.LossReport("x1", 7, 100, 100),), 51.0)
        self.assertFalse(losses.has_loss_between(49.9, 50.1, "north-1"))
        losses.add("north-2", (dispatch.LossReport("x1", 7, 1500, 1500),), 51.5)
        losses.add("north-2", (dispatch.LossReport("x1", 7, 1600, 1600),), 52.0)
        self.assertTrue(losses.has_loss_between(49.9, 50.1, "north-1"))
        self.assertFalse(losses.has_loss_between(50.2, 51.0, "north-1"))

    def test_old_losses_are_forgotten(self):
        """Guards against losses that a daemon keeps for as long as it runs."""
        losses = _loss_reports.ReportedLosses()
        losses.add("north-2", (dispatch.LossReport("x1", 7, 0, 0),), 50.0)
        losses.add("north-2", (), 60.0)
        self.assertTrue(losses.has_loss_between(49.9, 50.1, "north-1"))
        losses.add("north-2", (), 71.0)
        self.assertFalse(losses.has_loss_between(49.9, 50.1, "north-1"))
