"""Tests of places that are held for tasks that are stopped to move there."""

import unittest

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch import _held_places
from gentianlead.dispatch import _moves
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting
from gentianlead.dispatch.tests import test_step_moves

JOB_ID = "00000000000000aa"
OTHER_JOB_ID = "00000000000000bb"
STEP = test_lasting.build_service_step(2, cpu_millis=4000)


class HeldPlaceTest(unittest.TestCase):
    """Two long-running runs on a leaving worker; another one has one place."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.put_job(JOB_ID, STEP)
        self.orders = self.driver.start_all()
        self.driver.add_worker(builders.build_worker("w2", cpu_millis=6000))
        self.ended: tuple[ports.EndedRun, ...] = ()
        self.report()
        self.driver.scheduler.put_worker(
            builders.build_worker(is_draining=True))
        (self.stop,) = self.driver.plan_stops()

    def report(self) -> None:
        """Lets both workers report; 0.1 s have passed."""
        self.driver.now += 0.1
        ended_runs = {ended_run.run for ended_run in self.ended}
        self.driver.apply_status(running=tuple(
            builders.build_active_run(order, 100)
            for order in self.orders
            if order.run not in ended_runs),
                                 ended=self.ended)
        self.driver.apply_status("w2")

    def end_stopped_run(self) -> None:
        """Lets the worker accept the stop, and later report the end."""
        self.driver.scheduler.apply_stop_reply(self.stop, True, self.driver.now)
        self.report()
        self.assertEqual(self.driver.plan(), [])
        self.ended = (ports.EndedRun(1, self.stop.task, self.stop.run,
                                     ports.EndCause.STOPPED, ""),)
        self.report()

    def test_one_place_justifies_one_stop(self):
        """Guards against runs that are stopped for the place of another one.

        The second one has no place, and its worker would let it go on.
        """
        self.end_stopped_run()
        (start,) = self.driver.plan()
        self.assertEqual((start.worker_id, start.task), ("w2", self.stop.task))
        self.driver.apply_start_outcome(start, ports.StartOutcome.STARTED)
        self.assertEqual(self.driver.plan(), [])

    def test_no_other_task_takes_the_place(self):
        """Guards against a stopped task that waits for the one that came."""
        for step in (builders.build_step(cpu_millis=3000),
                     test_lasting.build_service_step(cpu_millis=3000)):
            with self.subTest(is_long_running=step.is_long_running):
                self.setUp()
                self.driver.put_job(OTHER_JOB_ID, step)
                self.end_stopped_run()
                (start,) = self.driver.plan_starts()
                self.assertEqual(start.task, self.stop.task)

    def test_place_is_free_again(self):
        """Guards against a place that is held for good.

        The stop has no effect, the job is cancelled, or the worker is lost.
        """
        limit_s = _held_places.HOLD_LIMIT.total_seconds()
        for name, wait_s in (("stop", limit_s), ("cancelled", 0.0)):
            with self.subTest(name):
                self.setUp()
                self.driver.put_job(OTHER_JOB_ID,
                                    builders.build_step(cpu_millis=5000))
                self.assertEqual(self.driver.plan_starts(), [])
                if name == "cancelled":
                    self.driver.scheduler.cancel_job(JOB_ID)
                self.driver.scheduler.apply_stop_reply(self.stop, True,
                                                       self.driver.now)
                self.driver.now += wait_s
                self.report()
                (start,) = self.driver.plan_starts()
                self.assertEqual(start.task.job_id, OTHER_JOB_ID)

    def test_no_start_while_the_registry_is_not_current(self):
        """Guards against a start on a worker that has shrunk meanwhile."""
        self.end_stopped_run()
        self.driver.scheduler.is_registry_current = False
        self.assertEqual(self.driver.plan_starts(), [])

    def test_lost_place(self):
        """Guards against a stop for a place on a worker that is lost."""
        self.driver.scheduler.mark_unreachable("w2", self.driver.now)
        self.driver.scheduler.apply_stop_reply(self.stop, False,
                                               self.driver.now)
        self.driver.now += 0.5
        self.driver.apply_status(running=tuple(
            builders.build_active_run(order, 100) for order in self.orders))
        self.assertEqual(self.driver.plan(), [])


class RoomOfOtherGroupTest(unittest.TestCase):
    """Two long-running runs whose only worker leaves, beside another group."""

    def test_one_room_justifies_one_stop(self):
        """Guards against runs that are stopped for the room of another one.

        The first run has ended, and its task has not moved yet.
        """
        groups = test_step_moves.TwoGroups(test_lasting.build_service_step(2),
                                           cpu_millis=1000)
        orders = groups.own.start_all()
        groups.pass_time(1.0, *orders)
        groups.own.scheduler.put_worker(
            builders.build_worker(cpu_millis=4000, is_draining=True))
        self.assertEqual(groups.plan_moves(), [])
        (stop,) = groups.own.plan_stops()
        (other,) = (order for order in orders if order.run != stop.run)
        groups.own.apply_status(running=(builders.build_active_run(other),),
                                ended=(ports.EndedRun(1, stop.task, stop.run,
                                                      ports.EndCause.STOPPED,
                                                      ""),))
        groups.pass_time(0.3, other)
        self.assertEqual(groups.plan_moves(), [])
        self.assertEqual(groups.own.plan_stops(), [])
        groups.pass_time(_moves.RELEASED_ROOM_DURATION.total_seconds(), other)
        self.assertIsInstance(groups.plan_moves()[0], dispatch.MovedRecord)
