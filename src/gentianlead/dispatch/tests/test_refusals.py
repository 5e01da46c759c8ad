"""Tests of tasks whose start orders are refused again and again."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _move_delays
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting

JOB_ID = "00000000000000aa"
TICK_S = 0.02
OTHER_REPORT = dispatch.GroupReport(
    builders.GroupDriver(
        builders.build_worker("o1")).scheduler.compute_load(100.0), 0.0)


class RefusingGroup:
    """Simulates a group whose workers never confirm a start.

    One more worker is too small for the task, so that the group stays usable
    while the others pause. Another group has room for the task all the time.

    Attributes:
        driver: Driver of the scheduler of the group.
        orders: All start orders.
        has_other_group: Whether the other group sends reports.
    """

    def __init__(self, outcome: ports.StartOutcome, reply_delay_s: float,
                 worker_count: int, step: model.Step):
        self.driver = builders.GroupDriver(
            builders.build_worker("small", cpu_millis=1000),
            *(builders.build_worker(f"w{number}", cpu_millis=4000)
              for number in range(worker_count)))
        self.driver.put_job(JOB_ID, step)
        self.orders: list[dispatch.StartOrder] = []
        self.has_other_group = True
        self._outcome = outcome
        self._reply_delay_s = reply_delay_s
        self._replies: list[tuple[float, dispatch.Order]] = []

    def find_move(self, duration_s: float) -> dispatch.PlannedMove | None:
        """Returns the first move within some time, or None."""
        end = self.driver.now + duration_s
        while self.driver.now < end:
            self.driver.now += TICK_S
            self._deliver_replies()
            for worker_id in self.driver.scheduler.workers:
                self.driver.apply_status(worker_id, sent_ago_s=TICK_S)
            for order in self.driver.plan():
                self._replies.append(
                    (self.driver.now + self._reply_delay_s, order))
                if isinstance(order, dispatch.StartOrder):
                    self.orders.append(order)
            reports = {
                "north-2": OTHER_REPORT._replace(reported_at=self.driver.now)
            } if self.has_other_group else {}
            moves = self.driver.scheduler.plan_moves(
                lambda: self.driver.scheduler.compute_load(self.driver.now),
                reports, self.driver.now)
            if moves:
                return moves[0]
        return None

    def _deliver_replies(self) -> None:
        due = [order for at, order in self._replies if at <= self.driver.now]
        self._replies = [
            reply for reply in self._replies if reply[0] > self.driver.now
        ]
        for order in due:
            if isinstance(order, dispatch.StartOrder):
                self.driver.apply_start_outcome(order, self._outcome)
            elif isinstance(order, dispatch.StopOrder):
                self.driver.scheduler.apply_stop_reply(order, True,
                                                       self.driver.now)


class RefusedTaskTest(unittest.TestCase):
    """Tests tasks that never get a start confirmed in their group."""

    def test_task_moves_within_a_bound(self):
        """Guards against a wait without a bound in a group that refuses.

        Each start order ended the time without capacity, so that the delay
        before a move never passed. A start without a reply is ordered twice and
        then stopped.
        """
        step = test_lasting.build_service_step(cpu_millis=3000)
        for outcome in ports.StartOutcome:
            if outcome is ports.StartOutcome.STARTED:
                continue
            for worker_count, reply_delay_s, bound_s in ((1, 0.01,
                                                          2.0), (4, 0.01, 2.0),
                                                         (3, 0.5, 7.0)):
                with self.subTest((outcome, worker_count, reply_delay_s)):
                    group = RefusingGroup(outcome, reply_delay_s, worker_count,
                                          step)
                    move = group.find_move(bound_s)
                    self.assertIsNotNone(move)
                    self.assertGreaterEqual(
                        group.driver.now,
                        100.0 + _move_delays.TASK_MOVE_DELAY.total_seconds())

    def test_other_workers_are_tried_first(self):
        """Guards against orders to one refusing worker beside free ones."""
        group = RefusingGroup(ports.StartOutcome.NO_FREE_CAPACITY, 0.01, 4,
                              builders.build_step(cpu_millis=3000))
        group.find_move(0.3)
        self.assertEqual(len({order.worker_id for order in group.orders[:4]}),
                         4)

    def test_report_hides_the_room(self):
        """Guards against moves into a group whose worker refuses starts.

        The room is listed again some time after the last refusal.
        """
        step = test_lasting.build_service_step(cpu_millis=3000)
        for outcome, duration_s, has_room in (
            (ports.StartOutcome.NO_FREE_CAPACITY, 0.0,
             False), (ports.StartOutcome.UNHEALTHY, 0.5,
                      False), (ports.StartOutcome.NO_FREE_CAPACITY, 4.1, True)):
            with self.subTest((outcome, duration_s)):
                group = RefusingGroup(outcome, 0.01, 1, step)
                group.has_other_group = False
                group.find_move(2.4)
                driver = group.driver
                self.assertGreaterEqual(len(group.orders), 2)
                driver.now += 0.5 + duration_s
                driver.apply_status("w0")
                driver.apply_status("small")
                rooms = driver.scheduler.compute_load(driver.now).free_rooms
                self.assertEqual(any(room.cpu_millis == 4000 for room in rooms),
                                 has_room)

    def test_confirmed_start_ends_the_time_without_capacity(self):
        """Guards against a move at once when a task waits again much later."""
        group = RefusingGroup(ports.StartOutcome.NO_FREE_CAPACITY, 0.01, 1,
                              test_lasting.build_service_step(cpu_millis=3000))
        group.find_move(0.5)
        driver = group.driver
        driver.now += 1.0
        driver.apply_status("w0")
        (order,) = driver.start_all()
        driver.now += 1.0
        driver.apply_status("w0",
                            ended=(builders.build_ended_run(
                                order, cause=ports.EndCause.STOPPED),))
        driver.scheduler.put_worker(builders.build_worker("w0",
                                                          cpu_millis=1000))
        self.assertEqual(driver.plan_starts(), [])
        self.assertEqual(driver.scheduler.list_unplaced_steps(driver.now), [])
