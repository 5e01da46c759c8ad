"""Tests of the capacity that a group reports, and of moves based on it."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_capacity


class FallbackGroupTest(unittest.TestCase):
    """Tests that tasks move only to a group where a worker can run them."""

    STEP = builders.build_step(2,
                               cpu_millis=4000,
                               memory_mib=4000,
                               accelerators=1,
                               required_label="a",
                               is_long_running=True)
    SMALL_FIELDS = ({
        "cpu_millis": 3000
    }, {
        "memory_mib": 3000
    }, {
        "accelerators": 0
    }, {
        "labels": frozenset({"b"})
    })

    def build_report(self, *worker_fields: dict) -> dispatch.GroupReport:
        """Builds the report of a group; by default, a task fits on a worker.

        Args:
            *worker_fields: Fields of the registry entry of each worker.
        """
        driver = builders.GroupDriver(
            *(builders.build_worker(f"w{number}", **{
                "accelerators": 1,
                **fields
            }) for number, fields in enumerate(worker_fields)))
        return dispatch.GroupReport(driver.scheduler.compute_load(driver.now),
                                    driver.now)

    def choose_group(self, own_worker: dict, *other_workers: dict) -> str:
        """Chooses the group to which tasks of the group `own` may move."""
        reports = {
            "own": self.build_report(own_worker),
            "other": self.build_report(*other_workers)
        }
        return dispatch.choose_fallback_group(
            builders.build_job(test_capacity.JOB_ID, self.STEP), ("own",) * 2,
            "own", reports, 100.0).group

    def test_one_worker_has_all_that_a_task_needs(self):
        """Checks that a group is chosen only if a single worker has it all.

        Guards against tasks that move to and fro between groups where the free
        CPU, the memory, the accelerators and the label that they need are on
        different workers.
        """
        for fields in self.SMALL_FIELDS:
            with self.subTest(fields):
                self.assertEqual(
                    self.choose_group({"cpu_millis": 0}, fields, {
                        "labels": frozenset({"a"}),
                        "cpu_millis": 100
                    }), "")
                self.assertEqual(
                    self.choose_group({"cpu_millis": 0}, fields, {}), "other")

    def test_task_leaves_a_group_where_no_worker_can_run_it(self):
        """Checks that a task moves to a full group rather than stay in vain.

        It fits in the other group once a short task has ended, and never in its
        own one. Guards against a task that waits for good because the CPU alone
        would suffice.
        """
        driver = builders.GroupDriver(builders.build_worker(accelerators=1))
        driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(test_capacity.OTHER_JOB_ID,
                                   builders.build_step(cpu_millis=8000))))
        driver.start_all()
        full_report = dispatch.GroupReport(
            driver.scheduler.compute_load(driver.now), driver.now)
        job = builders.build_job(test_capacity.JOB_ID, self.STEP)
        for fields in self.SMALL_FIELDS:
            with self.subTest(fields):
                reports = {
                    "own": self.build_report(fields),
                    "other": full_report
                }
                self.assertEqual(
                    dispatch.choose_fallback_group(job, ("own",) * 2, "own",
                                                   reports, 100.0).group,
                    "other")

    def test_report_lists_few_workers(self):
        """Checks that at most three workers of the same room are listed.

        Guards against reports that grow with the number of workers, and against
        equal workers that are listed as one.
        """
        load = self.build_report({}, {}, {}, {}, {}, {
            "cpu_millis": 9000
        }, {
            "memory_mib": 20_000,
            "cpu_millis": 8000
        }, {
            "labels": frozenset({"b"})
        }).load
        self.assertEqual(
            [(room.cpu_millis, room.memory_mib) for room in load.free_rooms],
            [(10_000, 10_000)] * 3 + [(8000, 20_000), (10_000, 10_000)])
        self.assertEqual(load.reclaimable_rooms, load.free_rooms)


class GroupLoadTest(test_capacity.CapacityTest):
    """Tests of the load that a group with shrunk workers reports."""

    def start_and_shrink(self, step: model.Step, **fields) -> None:
        """Starts a task on a worker, adds a second one and shrinks the first.
        """
        self.put_job(step)
        self.assertEqual(len(self.driver.start_all()), 1)
        self.driver.add_worker(builders.build_worker("w2"))
        self.driver.scheduler.put_worker(builders.build_worker(**fields))

    def test_lack_on_one_worker_does_not_use_up_another(self):
        """Checks the free CPU of a group with a worker over its capacity.

        Guards against refused jobs and moves: what a worker lacks was taken
        from the free CPU of the other workers.
        """
        for fields in ({}, {"tail_latency_limit_ms": 20, "image": "watcher"}):
            with self.subTest(fields):
                self.setUp()
                self.driver.interference.merge(
                    [dispatch.InterferenceEstimate("other", "bundle", 0.5, 20)])
                self.start_and_shrink(builders.build_step(cpu_millis=8000,
                                                          is_long_running=True,
                                                          **fields),
                                      cpu_millis=2000)
                load = self.driver.scheduler.compute_load(self.driver.now)
                self.assertEqual(load.capacity_cpu_millis, 12_000)
                self.assertEqual(load.reserved_cpu_millis, 2000)
                self.assertEqual(load.largest_free_cpu_millis, 10_000)
                (capacity,) = load.image_capacities
                self.assertGreaterEqual(capacity.cpu_millis, 10_000)

    def test_worker_over_its_capacity_has_no_room(self):
        """Checks the room for best-effort tasks on a shrunk worker.

        Guards against moves of best-effort jobs to a group where they do not
        start.
        """
        step = builders.build_step(cpu_millis=8000,
                                   is_long_running=True,
                                   tail_latency_limit_ms=20,
                                   image="watcher")
        for fields in ({"cpu_millis": 7000}, {"memory_mib": 50}):
            with self.subTest(fields):
                self.setUp()
                self.put_job(step)
                self.driver.start_all()
                self.driver.scheduler.put_worker(
                    builders.build_worker(**fields))
                load = self.driver.scheduler.compute_load(self.driver.now)
                self.assertEqual(load.image_rooms, (("", 0),))
