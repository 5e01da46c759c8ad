"""Tests of best-effort jobs that interfere wherever they could start."""

import datetime
import unittest

from gentianlead import dispatch
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import idle_fleets
from gentianlead.dispatch.tests import test_interference

JOB_ID = "00000000000000bb"
SERVICE_STEP = test_interference.SERVICE_STEP
STEP = test_interference.BEST_EFFORT_STEP
TICK_S = 0.1

MAX_IDLE = datetime.timedelta(seconds=3)
"""Time for which the users allow that nothing of a job runs beside enough free
capacity."""

SEEDS = (0, 5, 9, 21, 35, 94)


class BusyGroupTest(unittest.TestCase):
    """Tests a busy group with a worker that is not busy.

    Both have a service with which the best-effort tasks interfere.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(
            builders.build_worker("busy", cpu_millis=4000),
            builders.build_worker("other", cpu_millis=9000))
        self.driver.put_job(
            "00000000000000aa",
            SERVICE_STEP._replace(count=2, max_tasks_per_worker=1))
        self.service_orders = self.driver.start_all()
        self.driver.interference.merge(
            [dispatch.InterferenceEstimate("watch", "bundle", 80.0, 9.0)])

    def pass_time(self, duration_s: float) -> list[dispatch.StartOrder]:
        """Lets time pass until a task starts; returns the start orders."""
        for _ in range(round(duration_s / TICK_S)):
            self.driver.now += TICK_S
            for order in self.service_orders:
                self.driver.apply_status(order.worker_id,
                                         running=(builders.build_active_run(
                                             order, 100, 40),))
            orders = self.driver.start_all()
            if orders:
                return orders
        return []

    def test_task_starts_on_the_worker_that_is_not_busy(self):
        """Guards against a wait of 30 s beside a worker that is half free."""
        self.driver.put_job(JOB_ID, STEP)
        self.assertEqual(self.pass_time(2.0), [])
        self.assertEqual([
            order.worker_id
            for order in self.pass_time(MAX_IDLE.total_seconds() - 2.0)
        ], ["other"])

    def test_gang_starts_on_the_worker_that_is_not_busy(self):
        """Guards against a gang that waits for good beside free capacity."""
        self.driver.put_job(JOB_ID, STEP._replace(count=2, is_gang=True))
        self.assertEqual(self.pass_time(2.0), [])
        self.assertEqual([
            order.worker_id
            for order in self.pass_time(MAX_IDLE.total_seconds() - 2.0)
        ], ["other", "other"])

    def test_task_waits_if_all_workers_are_busy(self):
        """Guards against tasks that are throttled to a standstill."""
        self.driver.scheduler.put_worker(
            builders.build_worker("other", cpu_millis=6000))
        self.driver.put_job(JOB_ID, STEP)
        self.assertEqual(self.pass_time(20.0), [])

    def build_other_load(self) -> dispatch.GroupLoad:
        """Returns the load of a group with one worker that is not busy."""
        other = builders.GroupDriver(builders.build_worker("far"),
                                     *(builders.build_worker(worker_id,
                                                             cpu_millis=4000)
                                       for worker_id in ("full-1", "full-2")),
                                     group="north-2")
        other.put_job("00000000000000aa",
                      SERVICE_STEP._replace(count=3, max_tasks_per_worker=1),
                      assignment=("north-2",))
        other.start_all()
        other.interference.merge(
            [dispatch.InterferenceEstimate("watch", "bundle", 80.0, 9.0)])
        return other.scheduler.compute_load(other.now)

    def plan_moves(self, other_load: dispatch.GroupLoad):
        """Plans the moves beside one other group with the given load."""
        scheduler = self.driver.scheduler
        own_load = scheduler.compute_load(self.driver.now)
        reports = {
            group: dispatch.GroupReport(group_load, self.driver.now)
            for group, group_load in (("north-1", own_load), ("north-2",
                                                              other_load))
        }
        return scheduler.plan_moves(lambda: own_load, reports, self.driver.now)

    def test_job_moves_to_a_worker_that_is_not_busy(self):
        """Guards against a wait beside a worker of another group that is free.

        The tasks interfere in the other group, too, so that no report shows
        room for them. The other group is busy on the mean. In the last case,
        something else keeps the job from starting in its own group.
        """
        load = self.build_other_load()
        for cpu_millis, unplanned_s, destinations in ((9000, 0.3, []),
                                                      (6000, 0.3, ["north-2"]),
                                                      (9000, 0.7, ["north-2"])):
            with self.subTest(cpu_millis=cpu_millis, unplanned_s=unplanned_s):
                self.setUp()
                self.driver.scheduler.put_worker(
                    builders.build_worker("other", cpu_millis=cpu_millis))
                self.driver.put_job(JOB_ID, STEP)
                self.assertEqual(self.pass_time(2.1), [])
                self.driver.now += unplanned_s
                moves = self.plan_moves(load)
                self.assertEqual(
                    [move.record.destination_group for move in moves],
                    destinations)

    def test_jobs_move_only_into_the_memory_that_is_free(self):
        """Guards against jobs that all move to one worker in one pass."""
        load = self.build_other_load()
        self.driver.scheduler.put_worker(
            builders.build_worker("other", cpu_millis=6000))
        memory_mib = max(room.memory_mib for room in load.quiet_rooms) // 3
        for number in range(6):
            self.driver.put_job(f"{number:016x}",
                                STEP._replace(memory_mib=memory_mib))
        self.pass_time(2.1)
        self.driver.now += 0.3
        self.assertEqual(len(self.plan_moves(load)), 3)


class IdleFleetTest(unittest.TestCase):
    """Tests days of the model of groups with drawn images and services.

    To run many seeds by hand, replace `SEEDS` by a larger range.
    """

    def test_no_job_is_idle_for_long(self):
        """Guards against jobs that wait although most of the CPU is free."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = idle_fleets.IdleFleet(seed)
                fleet.run(20.0, 20.0)
                self.assertLess(fleet.longest_idle.seconds,
                                MAX_IDLE.total_seconds(), fleet.longest_idle)
