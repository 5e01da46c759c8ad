"""Tests of ends that a leader gets without having their job."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class SiteDriver:
    """Drives the leaders of two groups that share a topic.

    The leader of `north-1` has started the tasks of a job and lost its worker.

    Attributes:
        table: The topic.
        home: Leader of `north-1`, with worker `w1`.
        other: Leader of `north-2`, with worker `w2`.
        orders: Start orders of the lost runs.
        job: The job.
    """

    def __init__(self, task_count: int = 1, **step_fields):
        self.table = dispatch.JobTable()
        self.home = self.build_leader("north-1", "w1", builders.EPOCH)
        self.other = self.build_leader("north-2", "w2", builders.EPOCH)
        self.job = builders.build_job(
            JOB_ID, builders.build_step(task_count, **step_fields))
        self.store(dispatch.AcceptedRecord(self.job, "a#1"))
        self.read(self.home)
        self.orders = self.home.start_all()

    def build_leader(self, group: str, worker_id: str,
                     epoch: int) -> builders.GroupDriver:
        """Builds the leader of a group with one worker."""
        driver = builders.GroupDriver(builders.build_worker(worker_id,
                                                            domain=group),
                                      group=group,
                                      epoch=epoch)
        driver.scheduler.find_job_entry = self.table.jobs.get
        return driver

    def store(self, *records: dispatch.Record) -> None:
        """Appends records to the topic."""
        for record in records:
            stored = dispatch.encode_record(record)
            self.table.apply(stored._replace(offset=self.table.position), 1.0)

    def flush(self, driver: builders.GroupDriver) -> None:
        """Stores all that a leader has to store."""
        records = driver.scheduler.take_unstored_records()
        self.store(*records)
        driver.scheduler.mark_progress_stored(records)

    def read(self, driver: builders.GroupDriver) -> None:
        """Lets a leader apply the state of the job in the topic."""
        driver.scheduler.put_job(self.table.jobs[JOB_ID])

    def lose_runs(self) -> None:
        """Lets the leases of the runs of `north-1` expire out of reach."""
        self.home.now += 1.0
        self.home.apply_status(running=tuple(
            builders.build_active_run(order) for order in self.orders))
        self.home.scheduler.mark_unreachable("w1", self.home.now)
        self.home.now += 2 * builders.LEASE.total_seconds()
        self.home.plan()
        self.flush(self.home)

    def store_move(self, source: builders.GroupDriver,
                   destination: str) -> None:
        """Stores the move of the whole job out of a group."""
        job = source.scheduler.jobs[JOB_ID]
        group = source.scheduler.group
        self.store(
            job.build_progress(group, source.scheduler.epoch),
            dispatch.MovedRecord(JOB_ID, group, (), destination,
                                 job.begin_move()))

    def move_away(self) -> None:
        """Moves the job to `north-2`, as both leaders read."""
        self.lose_runs()
        self.store_move(self.home, "north-2")
        self.read(self.home)
        self.read(self.other)

    def list_end(self,
                 driver: builders.GroupDriver,
                 number: int = 1,
                 cause: ports.EndCause = ports.EndCause.DONE) -> None:
        """Lets worker `w1` list the end of one of the lost runs."""
        driver.apply_status(
            ended=(builders.build_ended_run(self.orders[number -
                                                        1], number, cause),))

    def get_acknowledged_number(self) -> int:
        """Returns up to which end the leader of `north-1` acknowledges."""
        worker = self.home.scheduler.workers["w1"]
        worker.last_stored_end_number = worker.last_applied_end_number
        return worker.acknowledged_end_number


class ReportedEndTest(unittest.TestCase):
    """The leader of a worker gets an end of a job that another group has."""

    def check_done(self, driver: builders.GroupDriver) -> None:
        """Checks that a leader starts nothing and knows the job as done."""
        self.assertEqual(driver.start_all(), [])
        self.assertIs(driver.scheduler.jobs[JOB_ID].state,
                      model.JobState.COMPLETED)

    def test_job_returns_to_the_leader(self):
        """Guards against a start by the very leader that knew the end.

        It has not stored the end when the job comes back, or has not read it.
        """
        for has_stored in (False, True):
            with self.subTest(has_stored=has_stored):
                site = SiteDriver()
                site.move_away()
                site.list_end(site.home)
                site.store_move(site.other, "north-1")
                entry = site.table.jobs[JOB_ID]
                if has_stored:
                    site.flush(site.home)
                site.home.scheduler.put_job(entry)
                self.check_done(site.home)

    def test_other_leader_reads_the_end(self):
        """Guards against a start of a task that is known to be done.

        The other leader reads the end before it starts the task, or stops its
        run after that; or a leader of its group gets the job later.
        """
        with self.subTest("waiting"):
            site = SiteDriver()
            site.move_away()
            notified_groups = []
            site.home.scheduler.untracked_ends.on_ends_stored = (
                notified_groups.append)
            site.list_end(site.home)
            self.assertTrue(site.home.scheduler.has_unstored_progress())
            site.flush(site.home)
            self.assertEqual(notified_groups, [{"north-2"}])
            self.assertFalse(site.home.scheduler.has_unstored_progress())
            site.read(site.other)
            self.check_done(site.other)
            self.assertTrue(site.other.scheduler.jobs[JOB_ID].is_dirty)
        with self.subTest("running"):
            site = SiteDriver()
            site.move_away()
            (order,) = site.other.start_all()
            site.list_end(site.home)
            site.flush(site.home)
            site.read(site.other)
            (stop,) = site.other.plan_stops()
            self.assertEqual((stop.task, stop.run), (order.task, order.run))
        with self.subTest("later leader"):
            site = SiteDriver()
            site.move_away()
            site.list_end(site.home)
            site.flush(site.home)
            successor = site.build_leader("north-2", "w2", builders.EPOCH + 1)
            site.read(successor)
            self.check_done(successor)

    def test_end_during_a_move(self):
        """Guards against a move that loses an end listed after it was stored.

        The leader forgets the job before it stores its progress.
        """
        site = SiteDriver()
        site.lose_runs()
        site.store_move(site.home, "north-2")
        site.list_end(site.home)
        site.read(site.home)
        self.assertNotIn(JOB_ID, site.home.scheduler.jobs)
        site.flush(site.home)
        site.read(site.other)
        self.check_done(site.other)

    def test_last_failure(self):
        """Guards against one start more than the queue of a task allows."""
        site = SiteDriver()
        failed = ports.EndCause.FAILED
        for _ in range(builders.QUEUE.max_attempts - 1):
            site.list_end(site.home, cause=failed)
            site.home.scheduler.workers["w1"].last_applied_end_number = 0
            site.home.now += 60.0
            site.home.apply_status()
            site.orders = site.home.start_all()
        site.move_away()
        site.list_end(site.home, cause=failed)
        site.flush(site.home)
        site.read(site.other)
        self.assertEqual(site.other.start_all(), [])
        self.assertIs(site.other.scheduler.jobs[JOB_ID].state,
                      model.JobState.FAILED)

    def test_later_leader_gets_another_end(self):
        """Guards against a record that replaces the ends in the last one."""
        site = SiteDriver(task_count=2)
        site.move_away()
        site.list_end(site.home)
        site.flush(site.home)
        successor = site.build_leader("north-1", "w1", builders.EPOCH + 1)
        site.read(successor)
        site.list_end(successor, number=2)
        site.flush(successor)
        site.read(site.other)
        self.check_done(site.other)
        self.assertIn(f"r/{JOB_ID}/north-1", site.table.keys_by_job[JOB_ID])

    def test_long_running_task(self):
        """Guards against a record for each failed run of a task that lasts."""
        site = SiteDriver(is_long_running=True)
        site.move_away()
        site.list_end(site.home, cause=ports.EndCause.FAILED)
        self.assertFalse(site.home.scheduler.has_unstored_progress())
        self.assertEqual(site.home.scheduler.take_unstored_records(), [])


class UnknownJobTest(unittest.TestCase):
    """A worker lists an end before its leader has read of the job."""

    def setUp(self):
        self.site = SiteDriver()
        self.entry = self.site.table.jobs.pop(JOB_ID)
        self.site.home = self.site.build_leader("north-1", "w1",
                                                builders.EPOCH + 1)
        self.site.list_end(self.site.home)
        self.site.home.plan()
        self.site.flush(self.site.home)

    def test_job_arrives(self):
        """Guards against a lost end: acknowledged, but neither stored nor kept.
        """
        self.assertEqual(self.site.get_acknowledged_number(), 0)
        self.site.table.jobs[JOB_ID] = self.entry
        self.site.read(self.site.home)
        self.assertEqual(self.site.home.start_all(), [])
        self.assertEqual(self.site.get_acknowledged_number(), 0)
        self.site.flush(self.site.home)
        self.assertEqual(self.site.get_acknowledged_number(), 1)
        self.assertIs(self.site.table.jobs[JOB_ID].state,
                      model.JobState.COMPLETED)

    def test_job_does_not_arrive(self):
        """Guards against a worker whose later ends are withheld for good."""
        home = self.site.home
        untracked_ends = home.scheduler.untracked_ends
        for get_view_time, wait_s in ((lambda: home.now, 0.1), (lambda: None,
                                                                60.0)):
            with self.subTest(wait_s=wait_s):
                self.setUp()
                home = self.site.home
                untracked_ends = home.scheduler.untracked_ends
                untracked_ends.get_view_time = get_view_time
                self.assertEqual(self.site.get_acknowledged_number(), 0)
                home.now += wait_s
                home.plan()
                self.assertEqual(self.site.get_acknowledged_number(), 1)
                (released_end,) = untracked_ends.released_ends
                self.assertEqual(released_end.cause.value, "no-job")


class ReleasedEndTest(unittest.TestCase):
    """The job of a withheld end is known, and the worker lists later ends."""

    def test_causes(self):
        """Guards against withheld ends that are let go without a log line."""
        for cause, later_number, expected_causes in (
            (ports.EndCause.LEASE_EXPIRED, 2,
             ["lapsed"]), (ports.EndCause.STOPPED, 400,
                           ["too-many"]), (ports.EndCause.STOPPED, 2, [])):
            with self.subTest(expected_causes):
                site = SiteDriver()
                site.move_away()
                site.list_end(site.home)
                site.home.apply_status(ended=(
                    builders.build_ended_run(site.orders[0]._replace(
                        run=1000), later_number, cause),))
                released_ends = (
                    site.home.scheduler.untracked_ends.released_ends)
                self.assertEqual([
                    released_end.cause.value for released_end in released_ends
                ], expected_causes)
