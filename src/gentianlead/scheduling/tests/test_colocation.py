"""Tests of interference mitigation and of placement."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_TASK_SIZE = model.Resources(1000, 1000)
_THROTTLE = scheduling.EvictionAction.THROTTLE
_MOVE = scheduling.EvictionAction.MOVE
_STOP = scheduling.EvictionAction.STOP


class ColocationTest(unittest.TestCase):
    """Tests evictions and placement when tasks or a service are slowed down.

    The service runs on two of four workers, with batch tasks beside it.
    """

    def setUp(self) -> None:
        service = model.Service("service-1", ("worker-0", "worker-1"))
        self.domain = domains.DomainFixture(
            model.Configuration(services={"service-1": service}))
        self.domain.put_workers(4)

    def start_interfering_task(self) -> scheduling.PlannedStart:
        """Starts a job with one task, which runs on a worker of the service."""
        self.domain.open_job(
            model.JobSpec("job-1", resources=_TASK_SIZE, is_urgent=False))
        start, = self.domain.start_tasks()
        self.assertEqual(start.worker, "worker-0")
        return start

    def report_slowdown(self, slowdown: float, lag: float = 3.0) -> None:
        """Advances the clock by 5 s and reports the service's slowdown.

        The report is about `worker-0` and describes the time `lag` seconds
        before the new clock reading.
        """
        self.domain.now += 5.0
        self.domain.scheduler.observe_service_slowdown("worker-0", "service-1",
                                                       slowdown,
                                                       self.domain.now - lag)

    def report_and_plan_orders(self, slowdown: float,
                               report_count: int) -> list[scheduling.Eviction]:
        """Reports a slowdown several times and returns all planned orders."""
        orders = []
        for _ in range(report_count):
            self.report_slowdown(slowdown)
            orders.extend(self.domain.plan_evictions())
        return orders

    def test_throttling_comes_before_a_move_and_a_stop(self) -> None:
        """Checks that a slow service causes two throttling steps, then a move.

        A stop must follow, but only after the move. Guards against a move
        before all throttling steps were tried.
        """
        self.start_interfering_task()
        orders = self.report_and_plan_orders(1.6, 20)
        actions = dict.fromkeys(
            (order.action, order.throttle_share) for order in orders)
        self.assertEqual(list(actions), [(_THROTTLE, 0.5), (_THROTTLE, 0.25),
                                         (_MOVE, 1.0), (_STOP, 1.0)])
        self.assertEqual({order.task_key for order in orders}, {("job-1", 0)})

    def test_reports_from_before_an_order_do_not_count(self) -> None:
        """Checks that late reports after an order cause no second order.

        The reports arrive after the first order, but describe times before it.
        """
        self.start_interfering_task()
        first_orders = self.report_and_plan_orders(1.6, 1)
        self.assertEqual(len(first_orders), 1)
        ordered_at = self.domain.now
        for index in range(5):
            self.domain.now += 0.5
            self.domain.scheduler.observe_service_slowdown(
                "worker-0", "service-1", 1.6, ordered_at - 2.0 + 0.3 * index)
            self.assertEqual(self.domain.plan_evictions(), [])

    def test_throttling_ends_with_hysteresis(self) -> None:
        """Checks that throttling ends at most three times in 60 reports.

        The service is slow whenever the run is not throttled. Guards against a
        run that is throttled and restored again and again.
        """
        self.start_interfering_task()
        orders = []
        for _ in range(60):
            is_throttled = orders and orders[-1].throttle_share < 1.0
            orders.extend(
                self.report_and_plan_orders(1.05 if is_throttled else 1.5, 1))
        restore_orders = [
            order for order in orders if order.throttle_share == 1.0
        ]
        self.assertLessEqual(len(restore_orders), 3)

    def test_undisturbed_service_causes_no_orders(self) -> None:
        """Checks that a slowdown of 1.1, below the limit, causes no orders."""
        self.start_interfering_task()
        self.assertEqual(self.report_and_plan_orders(1.1, 20), [])

    def test_report_counts_for_runs_at_its_time(self) -> None:
        """Checks that reports about times before a start cause no orders.

        The reports arrive after the task has started. Guards against blaming a
        job for a slowdown before its start.
        """
        self.domain.now = 10.0
        self.start_interfering_task()
        for index in range(10):
            self.domain.now += 1.0
            self.domain.scheduler.observe_service_slowdown(
                "worker-0", "service-1", 1.8, 5.0 + index * 0.3)
        self.assertEqual(self.domain.plan_evictions(), [])

    def test_placement_avoids_interfering_pairs(self) -> None:
        """Checks that a job's last tasks start on workers without the service.

        Before that, slowdowns of the service are reported that grow with the
        number of the job's tasks on the worker. Guards against further tasks
        beside a service that their job slows down.
        """
        self.domain.open_job(
            model.JobSpec("job-1", tasks=9, resources=_TASK_SIZE))
        starts = self.domain.start_tasks()
        for _ in range(4):
            self.domain.now += 5.0
            for worker in ("worker-0", "worker-1"):
                task_count = sum(start.worker == worker for start in starts)
                self.domain.scheduler.observe_service_slowdown(
                    worker, "service-1", 1 + 0.5 * task_count,
                    self.domain.now - 2.0)
        self.domain.now += 30.0
        workers = [start.worker for start in self.domain.start_tasks()]
        self.assertEqual(len(workers), 3)
        self.assertLessEqual(set(workers), {"worker-2", "worker-3"})

    def test_moves_are_capped(self) -> None:
        """Checks the number of moves within 100 s for two presets of settings.

        The number depends on the move budget of the preset. Guards against mass
        evictions when every run is slow.
        """
        cases = [(scheduling.TAIL_LATENCY_FIRST, 5),
                 (scheduling.THROUGHPUT_FIRST, 2)]
        for settings, expected_moves in cases:
            self.assertEqual(self.count_moves(settings), expected_moves,
                             settings)

    def count_moves(self, settings: scheduling.ColocationSettings) -> int:
        """Returns for how many of 60 slow runs an order is planned in 100 s.

        All runs are reported as slow every 5 s.
        """
        domain = domains.DomainFixture(settings=settings)
        domain.put_workers(20)
        for index in range(60):
            domain.open_job(model.JobSpec(f"job-{index}", resources=_TASK_SIZE))
        starts = domain.start_tasks()
        moved_tasks: set[tuple[str, int]] = set()
        for _ in range(20):
            domain.now += 5.0
            for start in starts:
                run_key = ports.RunKey(start.job_id, start.task, start.run)
                domain.scheduler.observe_usage(
                    start.worker, ports.UsageReport(run_key, 0, _TASK_SIZE,
                                                    6.0), domain.now - 2.0)
            moved_tasks.update(
                order.task_key for order in domain.plan_evictions())
        return len(moved_tasks)


class PlacementTest(unittest.TestCase):
    """Tests spreading of watchers, packing of tasks and use of accelerators."""

    def test_watchers_spread_over_racks(self) -> None:
        """Checks that eight watchers start as two on each of four racks.

        Guards against losing all watchers when one rack fails.
        """
        domain = domains.DomainFixture()
        domain.put_workers(12, rack_count=4)
        for index in range(8):
            domain.open_job(
                model.JobSpec(f"job-{index}",
                              kind="watcher",
                              resources=_TASK_SIZE))
        racks = [
            domain.state_machine.workers[start.worker].rack
            for start in domain.start_tasks()
        ]
        self.assertEqual({racks.count(rack) for rack in set(racks)}, {2})
        self.assertEqual(len(set(racks)), 4)

    def test_batch_work_packs_and_spares_accelerators(self) -> None:
        """Checks that six tasks share two workers that have no accelerators.

        A task that needs accelerators must then start on the worker that has
        them. Guards against fragmented capacity, and against tasks without
        accelerators that fill the workers with some.
        """
        domain = domains.DomainFixture()
        domain.put_workers(4)
        domain.append_record(
            model.WorkerPut("worker-9", "rack-9",
                            model.Resources(4000, 4000, 2)))
        domain.open_job(model.JobSpec("job-1", tasks=6, resources=_TASK_SIZE))
        workers = [start.worker for start in domain.start_tasks()]
        self.assertEqual(len(set(workers)), 2)
        self.assertNotIn("worker-9", workers)
        domain.open_job(
            model.JobSpec("job-2", resources=model.Resources(1000, 1000, 2)))
        self.assertEqual(domain.start_tasks()[0].worker, "worker-9")
