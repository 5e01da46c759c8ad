"""Tests of waits of long-running tasks that begin anew or add up."""

import unittest

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting
from gentianlead.dispatch.tests import test_moves
from gentianlead.dispatch.tests import test_step_moves

JOB_ID = test_lasting.SERVICE_JOB_ID
FORMER_OFFSET = 20


class ArrivedTaskTest(unittest.TestCase):
    """Tests tasks that move to a group which cannot place them."""

    def test_task_goes_on_without_the_full_delay(self):
        """Guards against the delay of a first move in each further group.

        The leaders of two groups moved tasks into one gap. The other task has
        got it.
        """
        groups = test_step_moves.TwoGroups(
            test_lasting.build_service_step(cpu_millis=6000), cpu_millis=500)
        full_move = dispatch.MovedRecord(JOB_ID, "north-1", (), "north-2", 9, 0,
                                         1)
        groups.add(full_move)
        driver = groups.other
        report = dispatch.GroupReport(
            builders.GroupDriver(
                builders.build_worker()).scheduler.compute_load(driver.now),
            driver.now + 0.25)
        driver.plan()
        for elapsed_s, group, destinations in ((0.1, "north-3",
                                                []), (0.15, "north-1", []),
                                               (0.0, "north-3", ["north-3"])):
            with self.subTest((elapsed_s, group)):
                driver.now += elapsed_s
                driver.apply_status("w2")
                driver.plan()
                moves = driver.scheduler.plan_moves(
                    lambda: driver.scheduler.compute_load(driver.now),
                    {group: report}, driver.now)
                self.assertEqual(
                    [move.record.destination_group for move in moves],
                    destinations)

    def test_started_task_has_the_full_delay_again(self):
        """Guards against early moves of all tasks that ever moved."""
        groups = test_step_moves.TwoGroups(test_lasting.build_service_step())
        groups.add(
            dispatch.MovedRecord(JOB_ID, "north-1", (), "north-2", 9, 0, 1))
        job = groups.other.scheduler.jobs[JOB_ID]
        self.assertEqual(job.steps[0, 0].moved_indexes, {0})
        groups.other.start_all()
        self.assertEqual(job.steps[0, 0].moved_indexes, set())


class UnreconciledTaskTest(unittest.TestCase):
    """Tests tasks that wait until a new leader knows all former runs."""

    def test_wait_for_reconciliation_counts_as_lack_of_capacity(self):
        """Guards against a second wait, for a move, after the takeover wait.

        The only worker that replies has no room, and the other one is gone.
        """
        driver = builders.GroupDriver(builders.build_worker(cpu_millis=500))
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        driver.put_job(JOB_ID,
                       test_lasting.build_service_step(),
                       offset=FORMER_OFFSET)
        driver.plan()
        self.assertFalse(driver.scheduler.is_reconciled)
        driver.now += builders.TAKEOVER_WAIT.total_seconds() + 0.01
        driver.apply_status()
        self.assertEqual(driver.plan_starts(), [])
        self.assertTrue(driver.scheduler.is_reconciled)
        ((job, _),) = driver.scheduler.list_unplaced_steps(driver.now)
        self.assertEqual(job.job.job_id, JOB_ID)

    def test_later_wait_counts_from_its_own_beginning(self):
        """Guards against a move at once of each task of a job that waited.

        The task starts after the wait. Its run ends later, and the worker
        leaves.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        driver.put_job(JOB_ID,
                       test_lasting.build_service_step(),
                       offset=FORMER_OFFSET)
        driver.plan()
        driver.now += builders.TAKEOVER_WAIT.total_seconds() + 0.01
        driver.apply_status()
        driver.plan()
        driver.flush()
        (order,) = driver.start_all()
        driver.now += 1.0
        driver.scheduler.put_worker(builders.build_worker(is_draining=True))
        driver.apply_status(ended=(
            builders.build_ended_run(order, cause=ports.EndCause.STOPPED),))
        self.assertEqual(driver.plan_starts(), [])
        self.assertEqual(driver.scheduler.list_unplaced_steps(driver.now), [])

    def test_task_that_moves_in_does_not_wait(self):
        """Guards against a wait for runs of a task that cannot exist.

        A leader that waits for a silent worker gets a task of a job of which it
        has another task. The group that gave the task away had no run of it,
        and neither had this one before that.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        job = builders.build_job(JOB_ID,
                                 test_lasting.build_service_step(2),
                                 assignment=("north-1", "north-2"))
        entry = builders.build_job_entry(job, FORMER_OFFSET)
        driver.scheduler.put_job(entry)
        self.assertEqual(driver.plan_starts(), [])
        driver.scheduler.put_job(
            entry._replace(assignment=("north-1", "north-1"),
                           assignment_offsets={"north-1": FORMER_OFFSET},
                           last_move_numbers={"north-2": 7}))
        self.assertEqual([order.task.index for order in driver.plan_starts()],
                         [1])


class MoveChainTest(unittest.TestCase):
    """Tests tasks that move more than once before they start.

    Each of three groups has one worker. That of the first group is too small.
    """

    def build_site(self, **services: str) -> test_moves.SiteModel:
        """Builds the site with a waiting job in the first group.

        Args:
            **services: Service of the worker of each group, by group; the job
                runs on workers of `svc`.
        """
        site = test_moves.SiteModel()
        for group, service in services.items():
            site.drivers[group] = builders.GroupDriver(builders.build_worker(
                group,
                domain=group,
                service=service,
                cpu_millis=500
                if group == "n1" else 10_000 if service == "other" else 5000),
                                                       now=site.now,
                                                       group=group)
        site.accept("n1", JOB_ID,
                    test_lasting.build_service_step(cpu_millis=4000))
        return site

    def test_group_with_room_is_reached_in_time(self):
        """Guards against moves that each begin the whole wait anew.

        The report of another group looks better, but no task starts there.
        """
        site = self.build_site(n1="svc", n2="other", n3="svc")
        site.run(6.0)
        self.assertEqual([order.worker_id for _, order in site.starts], ["n3"])

    def test_task_stays_off_groups_without_its_service(self):
        """Guards against a task that moves to and fro without an end.

        Each move adds a key to the topic.
        """
        site = self.build_site(n1="svc", n2="other", n3="other")
        site.run(20.0)
        self.assertEqual(site.count_moves(JOB_ID), 0)
