"""Tests of interference, and of the actions against it."""

import unittest

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead.scheduling.tests import domains

_SIZE = model.Resources(1000, 1000)
_THROTTLE = scheduling.EvictionAction.THROTTLE
_MOVE = scheduling.EvictionAction.MOVE
_STOP = scheduling.EvictionAction.STOP


class ColocationTest(unittest.TestCase):
    """A service on the first two of four workers, and noisy batch work."""

    def setUp(self) -> None:
        service = model.Service("service-1", ("worker-0", "worker-1"))
        self.domain = domains.DomainFixture(
            model.Configuration(services={"service-1": service}))
        self.domain.put_workers(4)

    def start_noise(self) -> scheduling.PlannedStart:
        """Starts the only task of a job on a worker of the service."""
        self.domain.open_job(
            model.JobSpec("job-1", resources=_SIZE, is_urgent=False))
        start, = self.domain.start()
        self.assertEqual(start.worker, "worker-0")
        return start

    def observe(self, slowdown: float, lag: float = 3.0) -> None:
        """Advances 5 s and reports the service on the first worker."""
        self.domain.now += 5.0
        self.domain.scheduler.observe_service_slowdown("worker-0", "service-1",
                                                       slowdown,
                                                       self.domain.now - lag)

    def act(self, slowdown: float, reports: int) -> list[scheduling.Eviction]:
        """Reports several times and returns all orders."""
        orders = []
        for _ in range(reports):
            self.observe(slowdown)
            orders.extend(self.domain.evict())
        return orders

    def test_steps_come_in_order(self) -> None:
        """Guards against an eviction where throttling was not tried."""
        self.start_noise()
        orders = self.act(1.6, 20)
        steps = dict.fromkeys(
            (order.action, order.fraction) for order in orders)
        self.assertEqual(list(steps), [(_THROTTLE, 0.5), (_THROTTLE, 0.25),
                                       (_MOVE, 1.0), (_STOP, 1.0)])
        self.assertEqual({order.task_key for order in orders}, {("job-1", 0)})

    def test_late_evidence_counts_once(self) -> None:
        """Guards against a second action on reports from before the first."""
        self.start_noise()
        first = self.act(1.6, 1)
        self.assertEqual(len(first), 1)
        acted_at = self.domain.now
        for i in range(5):
            self.domain.now += 0.5
            self.domain.scheduler.observe_service_slowdown(
                "worker-0", "service-1", 1.6, acted_at - 2.0 + 0.3 * i)
            self.assertEqual(self.domain.evict(), [])

    def test_throttling_ends_with_hysteresis(self) -> None:
        """Guards against runs that are throttled and restored in turn."""
        self.start_noise()
        orders = []
        for _ in range(60):
            throttled = orders and orders[-1].fraction < 1.0
            orders.extend(self.act(1.05 if throttled else 1.5, 1))
        restored = [order for order in orders if order.fraction == 1.0]
        self.assertLessEqual(len(restored), 3)

    def test_undisturbed_service_causes_nothing(self) -> None:
        """Guards against actions on noise."""
        self.start_noise()
        self.assertEqual(self.act(1.1, 20), [])

    def test_report_counts_for_what_ran_at_its_time(self) -> None:
        """Guards against blame for a job that started after the report."""
        self.domain.now = 10.0
        self.start_noise()
        for i in range(10):
            self.domain.now += 1.0
            self.domain.scheduler.observe_service_slowdown(
                "worker-0", "service-1", 1.8, 5.0 + i * 0.3)
        self.assertEqual(self.domain.evict(), [])

    def test_placement_avoids_bad_pairs(self) -> None:
        """Guards against noisy work beside a service when room is elsewhere."""
        self.domain.open_job(model.JobSpec("job-1", tasks=9, resources=_SIZE))
        starts = self.domain.start()
        for _ in range(4):
            self.domain.now += 5.0
            for worker in ("worker-0", "worker-1"):
                beside = sum(start.worker == worker for start in starts)
                self.domain.scheduler.observe_service_slowdown(
                    worker, "service-1", 1 + 0.5 * beside,
                    self.domain.now - 2.0)
        self.domain.now += 30.0
        workers = [start.worker for start in self.domain.start()]
        self.assertEqual(len(workers), 3)
        self.assertLessEqual(set(workers), {"worker-2", "worker-3"})

    def test_moves_are_capped(self) -> None:
        """Guards against a storm of evictions when everything is slow."""
        cases = [(scheduling.TAIL_LATENCY_FIRST, 5),
                 (scheduling.THROUGHPUT_FIRST, 2)]
        for settings, most in cases:
            self.assertEqual(self.count_moves(settings), most, settings)

    def count_moves(self, settings: scheduling.ColocationSettings) -> int:
        """Returns how many of 60 slow runs are moved within 100 s."""
        domain = domains.DomainFixture(settings=settings)
        domain.put_workers(20)
        for i in range(60):
            domain.open_job(model.JobSpec(f"job-{i}", resources=_SIZE))
        starts = domain.start()
        moved: set[tuple[str, int]] = set()
        for _ in range(20):
            domain.now += 5.0
            for start in starts:
                key = ports.RunKey(start.job_id, start.task, start.run)
                domain.scheduler.observe_usage(
                    start.worker, ports.UsageReport(key, 0, _SIZE, 6.0),
                    domain.now - 2.0)
            moved.update(order.task_key for order in domain.evict())
        return len(moved)


class PlacementTest(unittest.TestCase):
    """Packing and spreading."""

    def test_watchers_spread_over_racks(self) -> None:
        """Guards against all watchers lost with one rack."""
        domain = domains.DomainFixture()
        domain.put_workers(12, racks=4)
        for i in range(8):
            domain.open_job(
                model.JobSpec(f"job-{i}", kind="watcher", resources=_SIZE))
        racks = [domain.fold.workers[s.worker].rack for s in domain.start()]
        self.assertEqual({racks.count(rack) for rack in set(racks)}, {2})
        self.assertEqual(len(set(racks)), 4)

    def test_batch_work_packs_and_spares_accelerators(self) -> None:
        """Guards against fragments, and idle accelerators without room."""
        domain = domains.DomainFixture()
        domain.put_workers(4)
        domain.append(
            model.WorkerPut("worker-9", "rack-9",
                            model.Resources(4000, 4000, 2)))
        domain.open_job(model.JobSpec("job-1", tasks=6, resources=_SIZE))
        workers = [start.worker for start in domain.start()]
        self.assertEqual(len(set(workers)), 2)
        self.assertNotIn("worker-9", workers)
        domain.open_job(
            model.JobSpec("job-2", resources=model.Resources(1000, 1000, 2)))
        self.assertEqual(domain.start()[0].worker, "worker-9")
