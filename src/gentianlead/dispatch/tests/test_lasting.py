"""Tests of the placement and restart of long-running tasks.

Also tests which runs are stopped on a worker that is about to leave.
"""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders

SERVICE_JOB_ID = "00000000000000aa"
SHORT_JOB_ID = "00000000000000bb"
OTHER_JOB_ID = "00000000000000cc"


def build_service_step(count: int = 1, **fields) -> model.Step:
    """Builds a step of long-running, latency-critical tasks."""
    values = {
        "is_long_running": True,
        "tail_latency_limit_ms": 20,
        "image": "watcher"
    }
    values.update(fields)
    return builders.build_step(count, **values)


class WaitingServiceTest(unittest.TestCase):
    """Tests of which tasks start while long-running ones lack capacity."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())

    def put_job(self, job_id: str, step: model.Step) -> None:
        """Adds a job of one step."""
        self.driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(job_id, step)))

    def test_worker_is_reserved_despite_constant_short_tasks(self):
        """Checks that a long-running task starts before waiting short tasks.

        No short task starts while the running ones end one by one, until the
        long-running task fits. Guards against a long-running task that never
        finds free capacity, because short tasks take each core that becomes
        free.
        """
        self.put_job(SHORT_JOB_ID, builders.build_step(4, cpu_millis=3000))
        short_orders = self.driver.start_all()
        self.assertEqual(len(short_orders), 3)
        self.put_job(SERVICE_JOB_ID, build_service_step(cpu_millis=6000))
        ended_runs = []
        for number, order in enumerate(short_orders[:2], 1):
            self.assertEqual(self.driver.plan_starts(), [])
            ended_runs.append(builders.build_ended_run(order, number))
            active_runs = tuple(
                map(builders.build_active_run, short_orders[number:]))
            self.driver.now += 0.1
            self.driver.apply_status(running=active_runs,
                                     ended=tuple(ended_runs))
        (order,) = self.driver.start_all()
        self.assertEqual(order.task.job_id, SERVICE_JOB_ID)

    def test_best_effort_tasks_start_despite_a_reservation(self):
        """Checks that a best-effort task starts on a reserved worker.

        Guards against a reservation that keeps best-effort tasks waiting; it
        should keep only short tasks off the worker.
        """
        self.put_job(SHORT_JOB_ID, builders.build_step(1, cpu_millis=3000))
        self.driver.start_all()
        self.put_job(SERVICE_JOB_ID, build_service_step(cpu_millis=8000))
        self.put_job(OTHER_JOB_ID,
                     builders.build_step(is_best_effort=True, image="bundle"))
        orders = self.driver.start_all()
        self.assertEqual([order.task.job_id for order in orders],
                         [OTHER_JOB_ID])

    def test_nothing_is_reserved_beside_long_running_tasks(self):
        """Checks that a short task starts where no long-running one can fit.

        The waiting long-running task does not fit beside the running one,
        however many short tasks end. Guards against a reservation that keeps
        CPU idle in vain.
        """
        self.put_job(SERVICE_JOB_ID, build_service_step(cpu_millis=6000))
        self.driver.start_all()
        self.put_job(OTHER_JOB_ID, build_service_step(cpu_millis=6000))
        self.put_job(SHORT_JOB_ID, builders.build_step(1, cpu_millis=3000))
        (order,) = self.driver.start_all()
        self.assertEqual(order.task.job_id, SHORT_JOB_ID)

    def test_task_of_an_evacuated_group_is_unplaced(self):
        """Checks that long-running tasks should move out of an evacuated group.

        They are listed as lacking capacity after 0.8 s. Guards against
        long-running tasks that wait in an evacuated group.
        """
        self.driver.scheduler.is_evacuated = True
        self.put_job(SERVICE_JOB_ID, build_service_step(2))
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.now += 0.8
        self.driver.plan()
        ((job, step_run),) = self.driver.scheduler.list_unplaced_steps(
            self.driver.now)
        self.assertEqual((job.job.job_id, step_run.waiting_indexes),
                         (SERVICE_JOB_ID, {0, 1}))


class ReturnedTaskTest(unittest.TestCase):
    """Tests tasks that moved to another group and come back."""

    def test_wait_begins_anew(self):
        """Guards against a task that leaves at once for its former wait."""
        driver = builders.GroupDriver(builders.build_worker())
        step = build_service_step(2, cpu_millis=11000)
        assignment = ("north-1", "north-2")
        job = builders.build_job(SERVICE_JOB_ID, step, assignment=assignment)
        entry = builders.build_job_entry(job)
        driver.scheduler.put_job(entry)
        driver.plan()
        driver.scheduler.put_job(
            entry._replace(assignment=("north-2", "north-2"),
                           assignment_offsets={
                               "north-1": 100,
                               "north-2": 100
                           }))
        driver.now += 10.0
        driver.apply_status()
        driver.plan()
        driver.scheduler.put_job(entry)
        driver.plan()
        self.assertEqual(driver.scheduler.list_unplaced_steps(driver.now), [])


class LeavingWorkerTest(unittest.TestCase):
    """Tests of which runs are stopped on a worker that is about to leave."""

    def test_only_runs_that_can_move_are_stopped_early(self):
        """Checks which runs are stopped before their worker leaves.

        These are runs of long-running tasks, and of tasks with checkpoints that
        would end too late, if another worker has capacity for them. Guards
        against a stop of other runs, and against runs that are cut off.
        """
        best_effort_fields = {
            "is_best_effort": True,
            "image": "bundle",
            "has_checkpoints": True,
            "estimate_ms": 5000
        }
        cases = (
            ("service task with capacity elsewhere", build_service_step(), "w2",
             True),
            ("service task without capacity elsewhere",
             build_service_step(cpu_millis=9000), "w3", False),
            ("best-effort task that ends too late",
             builders.build_step(**best_effort_fields), "w2", True),
            ("best-effort task that ends in time",
             builders.build_step(**{
                 **best_effort_fields, "estimate_ms": 500
             }), "w2", False),
            ("short task", builders.build_step(), "w2", False),
        )
        for name, step, other_worker_id, is_stopped in cases:
            with self.subTest(name):
                driver = builders.GroupDriver(builders.build_worker())
                driver.scheduler.put_job(
                    builders.build_job_entry(
                        builders.build_job(SERVICE_JOB_ID, step)))
                (order,) = driver.start_all()
                driver.add_worker(
                    builders.build_worker(
                        other_worker_id,
                        cpu_millis=10_000 if other_worker_id == "w2" else 2000))
                driver.apply_status(running=(builders.build_active_run(order),))
                driver.scheduler.put_worker(
                    builders.build_worker(is_draining=True, leaves_in_ms=2000))
                self.assertEqual(bool(driver.plan_stops()), is_stopped)

    def test_stops_match_the_capacity_of_other_workers(self):
        """Checks that two of three runs are stopped on a leaving worker.

        The other worker has capacity for two. Guards against more stops than
        other workers have free capacity for.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(SERVICE_JOB_ID,
                                   build_service_step(3, cpu_millis=3000))))
        active_runs = tuple(map(builders.build_active_run, driver.start_all()))
        driver.add_worker(builders.build_worker("w2", cpu_millis=6500))
        driver.apply_status(running=active_runs)
        driver.scheduler.put_worker(builders.build_worker(is_draining=True))
        self.assertEqual(len(driver.plan_stops()), 2)


class FallbackGroupTest(unittest.TestCase):
    """Tests of the choice of a group to which long-running tasks move."""

    def choose_group(self, **reports: tuple[int,
                                            int]) -> dispatch.FallbackGroup:
        """Chooses the group to which tasks of the group `own` may move.

        The tasks are long-running and need four cores each.

        Args:
            **reports: For each group, the most CPU that is free on one worker
                and the most that no long-running task reserves on one worker,
                in thousandths of a core.
        """
        job = builders.build_job(SERVICE_JOB_ID,
                                 build_service_step(4, cpu_millis=4000))
        group_reports = {
            group:
                dispatch.GroupReport(
                    dispatch.GroupLoad(
                        True,
                        10_000,
                        0,
                        0,
                        0,
                        worker_count=2,
                        largest_free_cpu_millis=free,
                        largest_reclaimable_cpu_millis=reclaimable), 50.0)
            for group, (free, reclaimable) in reports.items()
        }
        return dispatch.choose_fallback_group(job, ("own",) * 4, "own",
                                              group_reports, 50.0)

    def test_choice_of_a_fallback_group(self):
        """Checks which group is chosen, and how many tasks it may get.

        A group with free capacity comes first. A group that has capacity only
        once short tasks have ended is not chosen if that also holds for the own
        group. Guards against a move to a group that is as full as the own one.
        """
        cases = (
            ("free capacity", {
                "own": (0, 0),
                "a": (9000, 9000),
                "b": (4000, 9000)
            }, dispatch.FallbackGroup("a", 2)),
            ("free capacity for exactly one task", {
                "own": (0, 0),
                "a": (4000, 4000)
            }, dispatch.FallbackGroup("a", 1)),
            ("capacity after short tasks in another group only", {
                "own": (0, 3000),
                "a": (1000, 8000)
            }, dispatch.FallbackGroup("a", 2)),
            ("capacity after short tasks in the own group", {
                "own": (0, 4000),
                "a": (1000, 8000)
            }, dispatch.FallbackGroup("")),
            ("no capacity", {
                "own": (0, 3000),
                "a": (1000, 3000)
            }, dispatch.FallbackGroup("")),
        )
        for name, reports, expected_fallback in cases:
            with self.subTest(name):
                fallback = self.choose_group(**reports)
                self.assertEqual(fallback.group, expected_fallback.group)
                if expected_fallback.group:
                    self.assertEqual(fallback.max_tasks,
                                     expected_fallback.max_tasks)


class UnreachableWorkerTest(unittest.TestCase):
    """Tests that a long-running task of an unreachable worker restarts."""

    def test_task_restarts_elsewhere_after_lease_expiry(self):
        """Checks that a task restarts elsewhere when the lease has expired.

        Guards against a task that never restarts after its worker died.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(SERVICE_JOB_ID, build_service_step())))
        (order,) = driver.start_all()
        driver.now += 1.0
        driver.apply_status(order.worker_id,
                            running=(builders.build_active_run(order),))
        other_worker_id = "w2" if order.worker_id == "w1" else "w1"
        driver.scheduler.workers[order.worker_id].extend_lease(
            driver.now, builders.LEASE)
        driver.scheduler.mark_unreachable(order.worker_id, driver.now)
        driver.now += builders.LEASE.total_seconds() * 1.03 + 0.2
        driver.apply_status(other_worker_id)
        (second_order,) = driver.plan_starts()
        self.assertEqual(second_order.worker_id, other_worker_id)
        self.assertGreater(second_order.run, order.run)
