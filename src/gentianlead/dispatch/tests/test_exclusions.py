"""Tests that workers and tasks which planning leaves out come back into it."""

import datetime
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _starting
from gentianlead.dispatch import _workers
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_admission
from gentianlead.dispatch.tests import test_lasting

JOB_ID = "00000000000000aa"


class RelistedWorkerTest(unittest.TestCase):
    """Tests a worker that the registry lists again after the group dropped it.
    """

    def test_worker_gets_starts_again(self):
        """Guards against a worker that stays unrecorded once it is back.

        It is listed again before the workers without it were stored.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.mark_worker_removed("w1", driver.now)
        driver.now += 10.0
        self.assertEqual(driver.scheduler.drop_removed_workers(driver.now),
                         ["w1"])
        driver.add_worker(builders.build_worker())
        driver.put_job(JOB_ID, builders.build_step())
        self.assertEqual(len(driver.plan_starts()), 1)


class ReplacedWorkerTest(unittest.TestCase):
    """Tests a worker that another instance replaces, after a jump of its clock.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.put_job(JOB_ID, builders.build_step())
        (self.order,) = self.driver.start_all()
        self.driver.now += 1.0
        self.driver.apply_status(
            running=(builders.build_active_run(self.order),))
        self.driver.now += 0.5

    def test_instance_with_an_earlier_start_time(self):
        """Guards against a worker that is ignored as its clock went back."""
        self.driver.apply_status(born_ms=builders.INSTANCE_START_MS - 500,
                                 clock_ms=10)
        (new_order,) = self.driver.plan_starts()
        self.assertGreater(new_order.run, self.order.run)

    def test_late_reply_of_the_former_instance(self):
        """Guards against a second run of a task that the new instance runs."""
        for change_ms in (-500, 500):
            with self.subTest(change_ms):
                self.setUp()
                self.driver.apply_status(born_ms=builders.INSTANCE_START_MS +
                                         change_ms,
                                         clock_ms=10)
                (new_order,) = self.driver.start_all()
                self.driver.now += 0.1
                self.driver.apply_status(sent_ago_s=0.3,
                                         running=(builders.build_active_run(
                                             self.order),))
                worker = self.driver.scheduler.workers["w1"]
                self.assertEqual(list(worker.runs),
                                 [(new_order.task, new_order.run)])
                self.assertEqual(worker.unknown_runs, {})


class OutdatedReportTest(unittest.TestCase):
    """Tests long-running jobs that were accepted without recent load reports.
    """

    def test_tasks_without_capacity_move_beside_running_ones(self):
        """Guards against tasks that wait for as long as others of the job run.

        All tasks are accepted for the daemon's own group, which has capacity
        for one of them.
        """
        step = test_lasting.build_service_step(3, cpu_millis=6000)
        job = builders.build_job(JOB_ID, step)
        admission = dispatch.decide_admission(
            job, {"north-2": test_admission.build_report(age_s=5.0)}, "north-1",
            test_admission.NOW)
        driver = builders.GroupDriver(builders.build_worker())
        driver.put_job(JOB_ID, step, assignment=admission.assignment)
        (order,) = driver.start_all()
        driver.now += 2.0
        driver.apply_status(running=(builders.build_active_run(order),))
        report = dispatch.GroupReport(
            test_admission.build_report(largest_free_cpu_millis=10_000).load,
            driver.now)
        (move,) = driver.scheduler.plan_moves(
            lambda: driver.scheduler.compute_load(driver.now),
            {"north-2": report}, driver.now)
        self.assertEqual(move.record.task_indexes, (1,))


class EvacuatedGroupTest(unittest.TestCase):
    """Tests long-running tasks that wait in a group out of service."""

    def test_tasks_move_to_a_group_in_which_they_fit_later(self):
        """Guards against tasks that wait for the evacuated group's own CPU.

        Short tasks fill the other group, and nothing starts in the own one.
        """
        step = test_lasting.build_service_step(2, cpu_millis=6000)
        assignment = ("n1", "n1")
        job = builders.build_job(JOB_ID, step, assignment=assignment)
        reports = {
            "n1":
                test_admission.build_report(
                    is_usable=False, largest_reclaimable_cpu_millis=10_000),
            "n2":
                test_admission.build_report(
                    largest_free_cpu_millis=0,
                    largest_reclaimable_cpu_millis=10_000)
        }
        fallback_group = dispatch.choose_fallback_group(job, assignment, "n1",
                                                        reports,
                                                        test_admission.NOW)
        self.assertEqual(fallback_group.group, "n2")


class RefusedPermitTest(unittest.TestCase):
    """Tests a long-running task that may not run on the only worker."""

    def test_worker_is_not_reserved_for_it(self):
        """Guards against a free worker that starts no short task for good."""
        driver = builders.GroupDriver(builders.build_worker())
        job = builders.build_job(JOB_ID, test_lasting.build_service_step())
        queue = builders.QUEUE._replace(path_prefix="/p/", needs_permit=True)
        driver.scheduler.put_job(
            builders.build_job_entry(job._replace(queue=queue)))
        (request,) = driver.plan()
        driver.scheduler.apply_permits(
            request, ports.PermitReply({}, datetime.timedelta(seconds=10)),
            driver.now, driver.now)
        driver.put_job(JOB_ID[::-1], builders.build_step())
        self.assertEqual(len(driver.plan_starts()), 1)


class ManyWaitingStepsTest(unittest.TestCase):
    """Tests a group in which more steps wait than a planning pass may try."""

    def test_long_running_steps_do_not_end_the_pass(self):
        """Guards against steps that are never tried behind ones that never fit.
        """
        driver = builders.GroupDriver(builders.build_worker())
        for number in range(_starting.MAX_UNPLACED_STEPS_PER_PASS):
            driver.put_job(f"{number:016x}",
                           test_lasting.build_service_step(cpu_millis=11_000))
        driver.put_job("f" * 16, test_lasting.build_service_step())
        (order,) = driver.plan_starts()
        self.assertEqual(order.task.job_id, "f" * 16)

    def test_short_steps_are_tried_in_turn(self):
        """Guards against a step that is never tried behind many that never fit.

        No worker has their memory or their label.
        """
        step_count = 3 * _starting.MAX_UNPLACED_STEPS_PER_PASS
        for fields in ({"memory_mib": 20_000}, {"required_label": "b"}):
            with self.subTest(fields):
                driver = builders.GroupDriver(builders.build_worker())
                for number in range(step_count):
                    driver.put_job(f"{number:016x}",
                                   builders.build_step(**fields))
                driver.put_job("f" * 16, builders.build_step())
                orders = []
                for _ in range(step_count):
                    orders += driver.start_all()
                self.assertEqual([order.task.job_id for order in orders],
                                 ["f" * 16])

    def test_urgent_steps_are_tried_in_each_pass(self):
        """Guards against turns in which urgent steps have to wait.

        They fit as soon as the worker has more memory.
        """
        driver = builders.GroupDriver(builders.build_worker(cpu_millis=2000))
        step_count = 3 * _starting.MAX_UNPLACED_STEPS_PER_PASS
        for number in range(step_count):
            driver.put_job(f"{number:016x}",
                           builders.build_step(memory_mib=20_000))
        for _ in range(5):
            self.assertEqual(driver.start_all(), [])
        driver.scheduler.put_worker(
            builders.build_worker(cpu_millis=2000, memory_mib=40_000))
        self.assertEqual([order.task.job_id for order in driver.start_all()],
                         [f"{number:016x}" for number in range(2)])


class ProbationTest(unittest.TestCase):
    """Tests what planning expects of a worker on probation."""

    def test_no_run_is_stopped_to_move_to_an_untested_worker(self):
        """Guards against tasks that leave a sound worker and then wait.

        Their worker is about to leave. The other one receives one start at a
        time, and may fail it.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.put_job(JOB_ID, test_lasting.build_service_step(2))
        active_runs = tuple(
            builders.build_active_run(order, 100)
            for order in driver.start_all())
        driver.add_worker(builders.build_worker("w2"))
        driver.apply_status(running=active_runs)
        driver.scheduler.put_worker(
            builders.build_worker(is_draining=True, leaves_in_ms=5000))
        worker = driver.scheduler.workers["w2"]
        for _ in range(_workers.FAILURES_TO_QUARANTINE):
            worker.record_result(False, 0.0)
        self.assertTrue(worker.can_receive_starts(driver.now))
        self.assertEqual(driver.plan_stops(), [])
        worker.record_result(True, driver.now)
        self.assertEqual(len(driver.plan_stops()), 2)


class StalledTaskTest(unittest.TestCase):
    """Tests a long-running task that stands still on its worker."""

    def test_task_starts_on_another_worker(self):
        """Guards against a task that returns to a worker where it stands still.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.put_job(JOB_ID, test_lasting.build_service_step())
        (order,) = driver.start_all()
        driver.now += 6.5
        for worker_id in ("w1", "w2"):
            active_runs = ((builders.build_active_run(order),)
                           if worker_id == order.worker_id else ())
            driver.apply_status(worker_id, running=active_runs)
        (stop_order,) = driver.plan_stops()
        driver.scheduler.apply_stop_reply(stop_order, True, driver.now)
        driver.now += 0.1
        driver.apply_status(order.worker_id,
                            ended=(builders.build_ended_run(
                                order, 1, ports.EndCause.STOPPED),))
        (next_order,) = driver.plan_starts()
        self.assertNotEqual(next_order.worker_id, order.worker_id)


class CircleTest(unittest.TestCase):
    """Tests moves between groups that have free CPU but no place for a task."""

    def test_task_reaches_a_group_that_looks_worse(self):
        """Guards against a task that moves to and fro between two groups.

        The workers with the free CPU of these groups have as many tasks of the
        step as allowed, which the load reports do not show.
        """
        step = test_lasting.build_service_step(3,
                                               cpu_millis=2000,
                                               max_tasks_per_worker=1)
        reports = {
            group:
                test_admission.build_report(
                    worker_count=3,
                    largest_free_cpu_millis=cpu_millis,
                    largest_reclaimable_cpu_millis=cpu_millis)
            for group, cpu_millis in (("n1", 9000), ("n2", 8000), ("n3", 3000))
        }
        group = "n1"
        last_move_numbers: dict[str, int] = {}
        visited_groups = []
        for move_number in range(1, 4):
            assignment = ("n1", "n2", group)
            fallback_group = dispatch.choose_fallback_group(
                builders.build_job(JOB_ID, step,
                                   assignment=assignment), assignment, group,
                reports, test_admission.NOW, last_move_numbers)
            last_move_numbers[group] = move_number
            group = fallback_group.group
            visited_groups.append(group)
        self.assertEqual(visited_groups, ["n2", "n3", "n1"])


class CancelledJobTest(unittest.TestCase):
    """Tests runs of a job that was cancelled before its leader took over."""

    def test_run_is_stopped_at_once(self):
        """Guards against runs that outlast the cancellation of their job.

        The wait for the job to be read began again with each new leader.
        """
        driver = builders.GroupDriver(builders.build_worker())
        entry = builders.build_job_entry(builders.build_job(JOB_ID),
                                         offset=40)._replace(is_cancelled=True)
        driver.scheduler.put_job(entry)
        driver.scheduler.find_job_entry = {JOB_ID: entry}.get
        active_run = ports.ActiveRun(model.TaskKey(JOB_ID, 0, 0, 0), 7, "", 0,
                                     None)
        driver.apply_status(running=(active_run,))
        (stop_order,) = driver.plan_stops()
        self.assertEqual(stop_order.task, active_run.task)
