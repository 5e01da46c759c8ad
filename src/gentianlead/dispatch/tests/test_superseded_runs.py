"""Tests of ends that workers list after a leader gave their runs up."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _withheld_ends
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class LateEndTest(unittest.TestCase):
    """A worker is out of reach until its lease has expired, and returns."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.start_all()
        self.worker = self.driver.scheduler.workers["w1"]

    def lose_worker(self, has_other_worker: bool) -> None:
        """Lets the lease of the worker expire out of reach.

        The task starts again if there is another worker.
        """
        # The run has shown that it does not crash its worker.
        self.driver.now += 1.0
        self.driver.apply_status(
            running=(builders.build_active_run(self.order),))
        self.worker.extend_lease(self.driver.now, builders.LEASE)
        if has_other_worker:
            self.driver.add_worker(builders.build_worker("w2"))
        self.driver.scheduler.mark_unreachable("w1", self.driver.now)
        self.driver.now += builders.LEASE.total_seconds() + 1.0
        if has_other_worker:
            self.driver.apply_status("w2")
        self.assertEqual(len(self.driver.start_all()), int(has_other_worker))

    def count_acknowledged_ends(self, *causes: ports.EndCause) -> int:
        """Returns up to which end the next status call acknowledges.

        The worker reports the end of the run, and then those of unknown runs.
        """
        self.driver.apply_status(ended=tuple(
            builders.build_ended_run(
                self.order if number == 1 else self.order._replace(
                    run=1000 + number), number, cause)
            for number, cause in enumerate(causes, 1)))
        self.worker.last_stored_end_number = (
            self.worker.last_applied_end_number)
        return self.worker.acknowledged_end_number

    def test_acknowledged_ends(self):
        """Guards against a task that started again although it was done.

        Its end must not be acknowledged: it would count as its result. The
        lease was over when nothing ran any more, so that the worker did not
        notice it.
        """
        done = ports.EndCause.DONE
        stopped = ports.EndCause.STOPPED
        lapsed = ports.EndCause.LEASE_EXPIRED
        many = (stopped,) * _withheld_ends.MAX_WITHHELD_ENDS
        for name, has_other_worker, causes, expected_number in (
            ("started again", True, (done, stopped),
             0), ("not started again", False, (done, stopped), 2),
            ("the lease expired there", True, (done, lapsed, stopped),
             3), ("the run failed", True, (ports.EndCause.FAILED, stopped),
                  2), ("many later ends", True, (done, *many), len(many) + 1)):
            with self.subTest(name):
                self.setUp()
                self.lose_worker(has_other_worker)
                self.assertEqual(self.count_acknowledged_ends(*causes),
                                 expected_number)
                self.assertEqual(self.worker.withheld_ends.is_empty,
                                 bool(expected_number))

    def test_task_waits_until_its_limit_is_stored(self):
        """Guards against a start of which a successor would not know.

        The record of the limit comes before the progress.
        """
        self.lose_worker(has_other_worker=False)
        scheduler = self.driver.scheduler
        self.driver.now += 1.0
        self.driver.add_worker(builders.build_worker("w2"))
        step_run = scheduler.jobs[JOB_ID].steps[0, 0]
        step_run.run_limits.give_up(0, self.order.run + 1)
        self.assertEqual(
            scheduler.plan(self.driver.now, builders.NOW_MS, may_start=True),
            [])
        records = scheduler.take_unstored_records()
        self.assertIsInstance(records[0], dispatch.RunLimitsRecord)
        self.assertTrue(records[0].has_run(self.order.task, self.order.run))
        self.assertTrue(scheduler.mark_progress_stored(records))
        self.assertEqual(len(self.driver.start_all()), 1)

    def test_ends_during_a_move(self):
        """Guards against an acknowledged failure that no group counts.

        The move carries older progress, and this group drops the job with it.
        """
        for cause in (ports.EndCause.DONE, ports.EndCause.FAILED):
            with self.subTest(cause):
                self.setUp()
                self.lose_worker(has_other_worker=False)
                self.driver.scheduler.jobs[JOB_ID].begin_move()
                self.assertEqual(self.count_acknowledged_ends(cause), 0)

    def test_limits_outlast_the_job(self):
        """Guards against an acknowledged end of a task that started again.

        The leader has forgotten the job, and the topic as it has read it does
        not show yet that the run was given up.
        """
        for cause in (ports.EndCause.DONE, ports.EndCause.FAILED):
            with self.subTest(cause):
                self.setUp()
                scheduler = self.driver.scheduler
                scheduler.find_job_entry = {
                    JOB_ID: scheduler.jobs[JOB_ID].entry
                }.get
                self.lose_worker(has_other_worker=True)
                (run,) = scheduler.workers["w2"].runs.values()
                self.driver.apply_status(
                    "w2",
                    ended=(builders.build_ended_run(
                        self.order._replace(run=run.number)),))
                self.driver.flush()
                scheduler.forget_job(JOB_ID)
                self.assertNotIn(JOB_ID, scheduler.jobs)
                self.assertEqual(self.count_acknowledged_ends(cause), 0)


class ForgottenRunTest(unittest.TestCase):
    """The leader that is to acknowledge an end did not give the run up."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.start_all()
        self.driver.now += 1.0
        self.driver.apply_status(
            running=(builders.build_active_run(self.order),))

    def count_acknowledged_ends(
            self,
            driver: builders.GroupDriver,
            cause: ports.EndCause = ports.EndCause.DONE) -> int:
        """Returns up to which end a leader acknowledges that of the run."""
        driver.apply_status(
            ended=(builders.build_ended_run(self.order, 1, cause),
                   builders.build_ended_run(self.order._replace(
                       run=1000), 2, ports.EndCause.STOPPED)))
        worker = driver.scheduler.workers["w1"]
        worker.last_stored_end_number = worker.last_applied_end_number
        return worker.acknowledged_end_number

    def build_successor(self) -> builders.GroupDriver:
        """Builds a later leader that has not seen the worker of the run."""
        successor = builders.GroupDriver(now=self.driver.now,
                                         epoch=builders.EPOCH + 1,
                                         leadership_offset=500)
        successor.put_job(JOB_ID)
        successor.scheduler.put_recorded_worker(builders.build_worker(),
                                                successor.now)
        successor.scheduler.put_worker(builders.build_worker())
        return successor

    def test_worker_that_was_dropped(self):
        """Guards against an acknowledged end of a task that started again.

        The worker left the registry while its lease expired, and came back.
        """
        scheduler = self.driver.scheduler
        self.driver.add_worker(builders.build_worker("w2"))
        scheduler.mark_unreachable("w1", self.driver.now)
        scheduler.mark_worker_removed("w1", self.driver.now)
        self.driver.now += 2 * builders.LEASE.total_seconds()
        self.driver.apply_status("w2")
        self.assertEqual(len(self.driver.start_all()), 1)
        self.assertEqual(scheduler.drop_removed_workers(self.driver.now),
                         ["w1"])
        scheduler.put_worker(builders.build_worker())
        self.assertEqual(self.count_acknowledged_ends(self.driver), 0)

    def test_successor_that_had_not_seen_the_worker(self):
        """Guards against an acknowledged end of a task that started again.

        The takeover wait was over before the worker replied.
        """
        successor = self.build_successor()
        successor.add_worker(builders.build_worker("w2"))
        successor.now += builders.TAKEOVER_WAIT.total_seconds()
        # The run may have crashed its worker, so the next one is stored ahead.
        for _ in range(2):
            successor.now += 1.0
            successor.apply_status("w2")
            started = successor.start_all()
            successor.flush()
        self.assertEqual([order.task for order in started], [self.order.task])
        self.assertEqual(self.count_acknowledged_ends(successor), 0)

    def test_successor_of_the_leader_that_gave_the_run_up(self):
        """Guards against an acknowledged end of a task that started again.

        The task is done by its later run, so that nothing of it runs any more.
        """
        scheduler = self.driver.scheduler
        self.driver.add_worker(builders.build_worker("w2"))
        scheduler.mark_unreachable("w1", self.driver.now)
        self.driver.now += 2 * builders.LEASE.total_seconds()
        self.driver.apply_status("w2")
        (order,) = self.driver.start_all()
        self.driver.apply_status("w2", ended=(builders.build_ended_run(order),))
        (record,) = self.driver.flush()
        self.assertIs(record.state, model.JobState.COMPLETED)
        successor = self.build_successor()
        entry = builders.build_job_entry(builders.build_job(JOB_ID))._replace(
            progress_by_group={record.group: record},
            run_limits_by_group={record.group: self.driver.run_limits[JOB_ID]})
        successor.scheduler.forget_job(JOB_ID)
        successor.scheduler.find_job_entry = {JOB_ID: entry}.get
        self.assertEqual(self.count_acknowledged_ends(successor), 0)

    def test_runs_have_numbers_above_their_limit(self):
        """Guards against a run that counts as given up before it starts.

        The leader that stored the limit was lost before it stored its progress.
        """
        limit = self.order.run + 100
        entry = builders.build_job_entry(builders.build_job(JOB_ID))._replace(
            run_limits_by_group={
                "north-2":
                    dispatch.RunLimitsRecord(JOB_ID, "north-2", 1000, (
                        dispatch.StepRunLimits(0, 0, limit, "1"),))
            })
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(entry)
        (order,) = driver.start_all()
        self.assertGreaterEqual(order.run, limit)

    def test_late_ends_are_described(self):
        """Guards against ends of unknown runs that no log line shows."""
        for name, group, expected_state, is_superseded in (("here", "north-1",
                                                            "waiting", False),
                                                           ("moved", "north-2",
                                                            "elsewhere", True)):
            with self.subTest(name):
                successor = self.build_successor()
                successor.scheduler.forget_job(JOB_ID)
                successor.scheduler.put_job(
                    builders.build_job_entry(
                        builders.build_job(
                            JOB_ID, builders.build_step(2)))._replace(
                                assignment=(group, "north-1"),
                                assignment_offsets={"north-1": 900}))
                self.count_acknowledged_ends(successor)
                (late_end,) = successor.scheduler.late_ends
                self.assertEqual(late_end.task_state.value, expected_state)
                self.assertEqual(late_end.is_superseded, is_superseded)

    def test_successor_that_started_nothing(self):
        """Guards against ends that are never acknowledged after a takeover."""
        successor = self.build_successor()
        self.assertEqual(self.count_acknowledged_ends(successor), 2)

    def test_move_number_is_above_unknown_runs(self):
        """Guards against a group that repeats run numbers of another one.

        The leader that moves the job did not start the run.
        """
        for name, cause in (("failed", ports.EndCause.FAILED),
                            ("stopped", ports.EndCause.STOPPED)):
            with self.subTest(name):
                successor = self.build_successor()
                successor.apply_status(
                    ended=(builders.build_ended_run(self.order, cause=cause),))
                job = successor.scheduler.jobs[JOB_ID]
                self.assertGreater(job.begin_move(), self.order.run)
        with self.subTest("not seen"):
            successor = self.build_successor()
            successor.now += builders.TAKEOVER_WAIT.total_seconds()
            successor.plan()
            job = successor.scheduler.jobs[JOB_ID]
            self.assertGreater(job.begin_move(), self.order.run)

    def test_task_that_moved_away(self):
        """Guards against an acknowledged end of a task of another group.

        Its former group gave the run up before the move, under another leader.
        """
        done, failed = ports.EndCause.DONE, ports.EndCause.FAILED
        for cause, has_progress, expected_number in ((done, False,
                                                      0), (failed, False, 0),
                                                     (done, True, 2)):
            with self.subTest(cause=cause, has_progress=has_progress):
                entry = builders.build_job_entry(
                    builders.build_job(JOB_ID))._replace(
                        assignment=("north-2",),
                        assignment_offsets={"north-2": 600})
                if has_progress:
                    self.driver.apply_status(
                        ended=(builders.build_ended_run(self.order),))
                    (record,) = self.driver.flush()
                    entry = entry._replace(
                        progress_by_group={record.group: record})
                successor = self.build_successor()
                successor.scheduler.find_job_entry = {JOB_ID: entry}.get
                successor.scheduler.put_job(entry)
                self.assertNotIn(JOB_ID, successor.scheduler.jobs)
                self.assertEqual(self.count_acknowledged_ends(successor, cause),
                                 expected_number)
