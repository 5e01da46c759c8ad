"""Tests that moves planned at once share the room of the other group."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting

JOB_IDS = tuple(f"{number:016x}" for number in range(4))


def build_report(*workers: dict, **fields) -> dispatch.GroupReport:
    """Builds a report of a group with some workers, which arrives at 100 s.

    Args:
        *workers: Fields of the workers.
        **fields: Fields of the load to replace.
    """
    driver = builders.GroupDriver(
        *(builders.build_worker(f"o{number}", **worker)
          for number, worker in enumerate(workers)))
    return dispatch.GroupReport(
        driver.scheduler.compute_load(driver.now)._replace(**fields), 100.0)


class LimitedWorkersTest(unittest.TestCase):
    """Tests steps with a limit of tasks per worker."""

    def test_group_whose_workers_with_room_may_be_at_the_limit(self):
        """Guards against a move to a group that cannot take the task.

        `n2` has the most room, on the worker that runs a task of the step.
        """
        step = test_lasting.build_service_step(3,
                                               cpu_millis=2000,
                                               max_tasks_per_worker=1)
        job = builders.build_job(JOB_IDS[0], step)
        small = {"cpu_millis": 500}
        for workers, assignment, group in ((({}, small), ("n1", "n2", "n1"),
                                            "n3"), (({}, {}), ("n1", "n2",
                                                               "n1"), "n2"),
                                           (({}, small), ("n1", "n1", "n1"),
                                            "n2")):
            with self.subTest((workers, assignment)):
                reports = {
                    "n2": build_report(*workers),
                    "n3": build_report({"cpu_millis": 3000})
                }
                self.assertEqual(
                    dispatch.choose_fallback_group(job, assignment, "n1",
                                                   reports, 100.0).group, group)


class SharedRoomTest(unittest.TestCase):
    """Tests long-running tasks of several jobs that wait in a full group."""

    def setUp(self):
        self.driver = builders.GroupDriver(
            builders.build_worker(cpu_millis=500))

    def put_jobs(self, step: model.Step) -> None:
        """Adds jobs of a step, and lets them wait until a move is due."""
        for job_id in JOB_IDS:
            self.driver.put_job(job_id, step)
        self.driver.plan()
        self.driver.now += 1.0
        self.driver.apply_status()
        self.driver.plan()

    def plan_moves(self,
                   report: dispatch.GroupReport) -> list[dispatch.PlannedMove]:
        """Plans moves with a report of the other group that arrives now."""
        return self.driver.scheduler.plan_moves(
            lambda: self.driver.scheduler.compute_load(self.driver.now),
            {"north-2": report._replace(reported_at=self.driver.now)},
            self.driver.now)

    def test_no_more_tasks_move_than_fit(self):
        """Guards against tasks that move into one gap, and wait there.

        Also guards against equal workers that are counted as one.
        """
        large = {"cpu_millis": 8000}
        for step_fields, report, move_count in (
            (large, build_report({}), 1),
            (large, build_report({}, {}), 2),
            (large, build_report({}, {}, {"cpu_millis": 500}), 2),
            ({
                "cpu_millis": 4000
            }, build_report({}), 2),
            ({
                "memory_mib": 6000
            }, build_report({}, {"accelerators": 1}), 2),
                # Both workers are full of short tasks for now.
            (large, build_report({}, {}, free_rooms=()), 2),
                # A leader that does not list the capacity of workers.
            (large, build_report({}, reclaimable_rooms=()), 1)):
            with self.subTest((step_fields, report.load.free_rooms)):
                self.setUp()
                self.put_jobs(test_lasting.build_service_step(**step_fields))
                self.assertEqual(len(self.plan_moves(report)), move_count)

    def test_probation_takes_one_task(self):
        """Guards against tasks that wait for a worker on probation."""
        report = build_report({}, free_rooms=())
        report = report._replace(load=report.load._replace(
            probation_rooms=report.load.reclaimable_rooms,
            reclaimable_rooms=(report.load.reclaimable_rooms[0]._replace(
                cpu_millis=0),)))
        self.put_jobs(test_lasting.build_service_step())
        self.assertEqual(len(self.plan_moves(report)), 1)

    def test_room_stays_taken_until_the_move_is_read(self):
        """Guards against a report that shows room although a task comes.

        The leader of the other group cannot have read a move yet that its own
        leader waits to read.
        """
        self.put_jobs(test_lasting.build_service_step(cpu_millis=8000))
        (move,) = self.plan_moves(build_report({}))
        for _ in range(4):
            self.driver.now += 0.8
            self.driver.apply_status()
            self.driver.plan()
            self.assertEqual(self.plan_moves(build_report({})), [])
        table = dispatch.JobTable()
        for record in (dispatch.AcceptedRecord(move.job.job,
                                               "a#1"), move.record):
            stored = dispatch.encode_record(record)
            table.apply(stored._replace(offset=table.position), 1.0)
        self.driver.scheduler.put_job(table.jobs[move.record.job_id])
        self.assertEqual(self.plan_moves(build_report({})), [])
        self.driver.now += 0.2
        self.assertEqual(len(self.plan_moves(build_report({}))), 1)
