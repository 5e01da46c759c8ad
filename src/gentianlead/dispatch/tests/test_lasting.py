"""Tests of the room that lasting tasks find, and of workers that leave."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders

WATCHER = "00000000000000aa"
SHORT = "00000000000000bb"
OTHER = "00000000000000cc"


def build_watcher(count: int = 1, **fields) -> model.Step:
    """Returns a step of lasting tasks that serve."""
    values = {"is_lasting": True, "tail_limit_ms": 20, "image": "watcher"}
    values.update(fields)
    return builders.build_step(count, **values)


class ReservationTest(unittest.TestCase):
    """Short tasks make room for a lasting one."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())

    def put(self, job_id: str, step: model.Step) -> None:
        """Adds a job of one step."""
        self.driver.scheduler.put_job(
            builders.build_entry(builders.build_job(job_id, step)))

    def test_short_tasks_that_never_cease(self):
        """Load pattern: short tasks arrive as fast as they end.

        Guards against a lasting task that never finds room, as short tasks
        take each processor that becomes free.
        """
        self.put(SHORT, builders.build_step(4, cpu_millis=3000))
        first = self.driver.start()
        self.assertEqual(len(first), 3)
        self.put(WATCHER, build_watcher(cpu_millis=6000))
        ended = []
        for number, order in enumerate(first[:2], 1):
            self.assertEqual(self.driver.plan_starts(), [])
            ended.append(builders.build_end(order, number))
            running = tuple(map(builders.build_row, first[number:]))
            self.driver.now += 0.1
            self.driver.look(running=running, ended=tuple(ended))
        (order,) = self.driver.start()
        self.assertEqual(order.task.job_id, WATCHER)

    def test_fillers_take_no_room(self):
        """Guards against bundles that wait for a reservation."""
        self.put(SHORT, builders.build_step(1, cpu_millis=3000))
        self.driver.start()
        self.put(WATCHER, build_watcher(cpu_millis=8000))
        self.put(OTHER, builders.build_step(is_best_effort=True, image="bundle"))
        orders = self.driver.start()
        self.assertEqual([order.task.job_id for order in orders], [OTHER])

    def test_nothing_is_reserved_where_lasting_tasks_hold_the_worker(self):
        """Guards against idle processors that nobody can use."""
        self.put(WATCHER, build_watcher(cpu_millis=6000))
        self.driver.start()
        self.put(OTHER, build_watcher(cpu_millis=6000))
        self.put(SHORT, builders.build_step(1, cpu_millis=3000))
        (order,) = self.driver.start()
        self.assertEqual(order.task.job_id, SHORT)

    def test_lasting_task_of_a_domain_out_of_service_is_stuck(self):
        """Guards against a watcher that waits in a domain without starts."""
        self.driver.scheduler.is_evacuated = True
        self.put(WATCHER, build_watcher(2))
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.now += 0.8
        self.driver.plan()
        ((job, indexes),) = self.driver.scheduler.list_stuck(self.driver.now)
        self.assertEqual((job.job.job_id, indexes), (WATCHER, [0, 1]))


class LeavingWorkerTest(unittest.TestCase):
    """Tasks of a worker that is about to leave."""

    def test_stops(self):
        """Guards against tasks that end with a worker that was emptied."""
        bundle = {
            "is_filler": True,
            "image": "bundle",
            "has_checkpoints": True,
            "estimate_ms": 5000
        }
        cases = (
            ("watcher with room elsewhere", build_watcher(), "w2", True),
            ("watcher without room elsewhere", build_watcher(cpu_millis=9000),
             "w3", False),
            ("bundle that would not be done", builders.build_step(**bundle),
             "w2", True),
            ("bundle that will be done",
             builders.build_step(**{
                 **bundle, "estimate_ms": 500
             }), "w2", False),
            ("short task", builders.build_step(), "w2", False),
        )
        for name, step, other, expected in cases:
            with self.subTest(name):
                driver = builders.GroupDriver(builders.build_worker())
                driver.scheduler.put_job(
                    builders.build_entry(builders.build_job(WATCHER, step)))
                (order,) = driver.start()
                driver.add_worker(
                    builders.build_worker(
                        other, cpu_millis=10_000 if other == "w2" else 2000))
                driver.look(running=(builders.build_row(order),))
                driver.scheduler.put_worker(
                    builders.build_worker(is_draining=True, leaves_in_ms=2000))
                self.assertEqual(bool(driver.plan_stops()), expected)

    def test_tasks_share_the_room_elsewhere(self):
        """Guards against more stops than there are places."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_entry(
                builders.build_job(WATCHER, build_watcher(3, cpu_millis=3000))))
        rows = tuple(map(builders.build_row, driver.start()))
        driver.add_worker(builders.build_worker("w2", cpu_millis=6500))
        driver.look(running=rows)
        driver.scheduler.put_worker(builders.build_worker(is_draining=True))
        self.assertEqual(len(driver.plan_stops()), 2)


class RefugeTest(unittest.TestCase):
    """Where lasting tasks go that find no room in their group."""

    def choose(self, **reports: tuple[int, int]) -> dispatch.Refuge:
        """Chooses for tasks of 4,000 millis of the group `own`.

        Args:
            **reports: Largest free and largest attainable room by group.
        """
        job = builders.build_job(WATCHER, build_watcher(4, cpu_millis=4000))
        loads = {
            group:
                dispatch.GroupReport(
                    dispatch.GroupLoad(True,
                                       10_000,
                                       0,
                                       0,
                                       0,
                                       workers=2,
                                       largest_free=free,
                                       largest_attainable=attainable), 50.0)
            for group, (free, attainable) in reports.items()
        }
        return dispatch.choose_refuge(job, ("own",) * 4, "own", loads, 50.0)

    def test_choice(self):
        """Guards against tasks that move to and fro between full groups."""
        cases = (
            ("room now", {
                "own": (0, 0),
                "a": (9000, 9000),
                "b": (4000, 9000)
            }, dispatch.Refuge("a", 2)),
            ("room for exactly one", {
                "own": (0, 0),
                "a": (4000, 4000)
            }, dispatch.Refuge("a", 1)),
            ("room after short tasks elsewhere only", {
                "own": (0, 3000),
                "a": (1000, 8000)
            }, dispatch.Refuge("a", 2)),
            ("room after short tasks in the own group", {
                "own": (0, 4000),
                "a": (1000, 8000)
            }, dispatch.Refuge("")),
            ("no room", {
                "own": (0, 3000),
                "a": (1000, 3000)
            }, dispatch.Refuge("")),
        )
        for name, reports, expected in cases:
            with self.subTest(name):
                refuge = self.choose(**reports)
                self.assertEqual(refuge.group, expected.group)
                if expected.group:
                    self.assertEqual(refuge.tasks, expected.tasks)


class LostWorkerTest(unittest.TestCase):
    """Lasting tasks of a worker that was lost."""

    def test_restart_after_the_lapse(self):
        """Guards against a watcher that stays away after its worker died."""
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_entry(builders.build_job(WATCHER, build_watcher())))
        (order,) = driver.start()
        other = "w2" if order.worker_id == "w1" else "w1"
        driver.scheduler.workers[order.worker_id].extend_lease(
            driver.now, builders.LEASE)
        driver.scheduler.note_no_reply(order.worker_id)
        driver.now += builders.LEASE.total_seconds() * 1.03 + 0.2
        driver.look(other)
        (again,) = driver.plan_starts()
        self.assertEqual(again.worker_id, other)
        self.assertGreater(again.run, order.run)
