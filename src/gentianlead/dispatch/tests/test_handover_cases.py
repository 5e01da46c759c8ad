"""Tests of hand-overs beside moves, cancellations, gangs and replaced workers.
"""

import random
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_handover

JOB_ID = "00000000000000aa"
OTHER_JOB_ID = "00000000000000bb"
LEASE_S = builders.LEASE.total_seconds()
LONG_RUNNING = builders.build_step(2, is_long_running=True)


def prove_runs(driver: builders.GroupDriver) -> None:
    """Has the workers report after a second that their runs go on.

    The runs thus do not count as causes of a later loss.
    """
    driver.now += 1.0
    for worker_id in driver.scheduler.workers:
        driver.apply_status(worker_id,
                            running=test_handover.list_active_runs(
                                driver, worker_id))


class GangTest(unittest.TestCase):
    """Tests a gang with a member on a worker that is silent after it."""

    def setUp(self):
        self.entries = [
            builders.build_worker(name, cpu_millis=1000)
            for name in ("w1", "w2")
        ]
        self.spares = [builders.build_worker(name) for name in ("w3", "w4")]
        self.driver = builders.GroupDriver(*self.entries)
        self.driver.put_job(JOB_ID, builders.build_step(2, is_gang=True))
        self.orders = {
            order.worker_id: order for order in self.driver.start_all()
        }
        self.assertEqual(len(self.orders), 2)
        prove_runs(self.driver)

    def test_gang_waits_for_all_its_members(self):
        """Guards against a gang that starts beside a member of its last run."""
        successor = test_handover.build_successor(self.driver, self.entries[0],
                                                  *self.spares)
        successor.apply_status("w1",
                               ended=(builders.build_ended_run(
                                   self.orders["w1"],
                                   cause=ports.EndCause.GANG_MEMBER_ENDED),))
        self.assertEqual(successor.plan_starts(), [])
        successor.now += LEASE_S * 1.03 + 0.2
        for worker_id in ("w1", "w3", "w4"):
            successor.apply_status(worker_id)
        orders = successor.plan_starts()
        self.assertEqual([order.task.index for order in orders], [0, 1])
        self.assertEqual(len({order.run for order in orders}), 1)
        self.assertGreater(orders[0].run, self.orders["w1"].run)

    def test_end_of_one_member_counts_for_the_gang(self):
        """Guards against a gang that runs again after it was done."""
        successor = test_handover.build_successor(self.driver, self.entries[0],
                                                  *self.spares)
        successor.apply_status("w1",
                               ended=(builders.build_ended_run(
                                   self.orders["w1"]),))
        successor.now += LEASE_S * 1.03 + 0.2
        for worker_id in ("w1", "w3", "w4"):
            successor.apply_status(worker_id)
        self.assertEqual(successor.plan_starts(), [])
        self.assertIs(successor.scheduler.jobs[JOB_ID].state,
                      model.JobState.COMPLETED)


class ChangedJobTest(unittest.TestCase):
    """Tests jobs that were cancelled or moved around the hand-over."""

    def setUp(self):
        self.entries = [
            builders.build_worker(name, cpu_millis=1000)
            for name in ("w1", "w2")
        ]
        self.driver = builders.GroupDriver(*self.entries)

    def change_job(self, **fields) -> None:
        """Changes the entry with which the successor gets the job."""
        job = self.driver.scheduler.jobs[JOB_ID]
        job.entry = job.entry._replace(**fields)

    def test_cancelled_job_is_stopped_at_the_first_report(self):
        """Guards against a run that goes on after its job was cancelled.

        The job was cancelled between the two leaders, so the new one does not
        lead it.
        """
        self.driver.put_job(JOB_ID, LONG_RUNNING)
        orders = self.driver.start_all()
        self.change_job(is_cancelled=True)
        entry = self.driver.scheduler.jobs[JOB_ID].entry
        successor = test_handover.build_successor(self.driver, *self.entries)
        successor.scheduler.find_job_entry = {JOB_ID: entry}.get
        self.assertEqual(
            {(order.worker_id, order.task, order.run)
             for order in successor.plan_stops()},
            {(order.worker_id, order.task, order.run) for order in orders})

    def test_cancellation_reaches_runs_on_silent_workers(self):
        """Guards against a run that goes on after its job was cancelled.

        The job is cancelled before its worker replies to the new leader.
        """
        self.driver.put_job(JOB_ID, LONG_RUNNING)
        orders = self.driver.start_all()
        successor = test_handover.build_successor(self.driver,
                                                  *self.entries,
                                                  silent_workers=("w1", "w2"))
        successor.scheduler.cancel_job(JOB_ID)
        for worker_id in ("w1", "w2"):
            successor.apply_status(worker_id,
                                   running=test_handover.list_active_runs(
                                       self.driver, worker_id))
        self.assertEqual({order.run for order in successor.plan_stops()},
                         {order.run for order in orders})

    def test_task_that_returns_after_the_hand_over(self):
        """Guards against a second run of the other task of a job that moved.

        Task 1 has moved to another group and comes back to the new leader while
        task 0 runs on a silent worker.
        """
        self.driver.put_job(JOB_ID, LONG_RUNNING)
        (order,) = [
            order for order in self.driver.start_all() if order.task.index == 0
        ]
        (other,) = [
            run
            for run in self.driver.scheduler.jobs[JOB_ID].list_active_runs()
            if run.task.index == 1
        ]
        self.driver.apply_status(other.worker_id,
                                 ended=(ports.EndedRun(1, other.task,
                                                       other.number,
                                                       ports.EndCause.STOPPED,
                                                       ""),))
        self.change_job(assignment=("north-1", "north-2"),
                        assignment_offsets={
                            "north-1": 100,
                            "north-2": 200
                        })
        (silent, idle) = (self.entries if order.worker_id == "w1" else reversed(
            self.entries))
        successor = test_handover.build_successor(
            self.driver, silent, idle, silent_workers=(silent.worker_id,))
        self.assertEqual(successor.plan_starts(), [])
        entry = successor.scheduler.jobs[JOB_ID].entry
        successor.scheduler.put_job(
            entry._replace(assignment=("north-1", "north-1"),
                           last_run_number=other.number + 5000))
        (started,) = successor.plan_starts()
        self.assertEqual((started.task.index, started.worker_id),
                         (1, idle.worker_id))

    def test_run_of_a_job_that_the_former_leader_had_not_read(self):
        """Guards against a second run beside one of unknown origin."""
        status_run = ports.ActiveRun(model.TaskKey(JOB_ID, 0, 0, 0), 7, "", 50,
                                     None)
        self.driver.apply_status("w1", running=(status_run,))
        successor = test_handover.build_successor(self.driver,
                                                  *self.entries,
                                                  silent_workers=("w1",))
        # The record does not name the job to the scheduler, so the successor
        # gets it as the table of the topic has it.
        record = self.driver.scheduler.build_handover(self.driver.now)
        self.assertEqual([run.number for run in record.workers[0].runs], [7])
        self.assertNotIn(JOB_ID, successor.scheduler.jobs)
        successor = builders.GroupDriver(now=self.driver.now,
                                         epoch=test_handover.SUCCESSOR_EPOCH,
                                         leadership_offset=500)
        successor.put_job(JOB_ID)
        for entry in self.entries:
            successor.scheduler.put_recorded_worker(entry, successor.now)
            successor.scheduler.put_worker(entry)
        successor.scheduler.apply_handover(record, successor.now, successor.now)
        successor.apply_status("w2")
        self.assertEqual(successor.plan_starts(), [])
        successor.now += LEASE_S * 1.03 + 0.2
        successor.apply_status("w2")
        # The run may have crashed its worker, so the next one is stored ahead.
        self.assertEqual(successor.plan_starts(), [])
        successor.now += 1.0
        successor.apply_status("w2")
        successor.plan()
        successor.flush()
        self.assertEqual([order.worker_id for order in successor.plan_starts()],
                         ["w2"])


class ReplacedWorkerTest(unittest.TestCase):
    """Tests workers that start again under their id around the hand-over."""

    def setUp(self):
        self.entry = builders.build_worker("w1",
                                           cpu_millis=1000,
                                           born_ms=builders.INSTANCE_START_MS)
        self.spare = builders.build_worker("w2")
        self.driver = builders.GroupDriver(self.entry)
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.start_all()
        prove_runs(self.driver)

    def test_entry_of_a_new_instance_ends_no_runs(self):
        """Guards against a second run beside one of an instance that is up.

        Only a reply shows which instance runs at the address.
        """
        new_entry = self.entry._replace(born_ms=self.entry.born_ms + 1)
        successor = test_handover.build_successor(self.driver,
                                                  new_entry,
                                                  self.spare,
                                                  silent_workers=("w1",))
        self.assertEqual(successor.plan_starts(), [])
        successor.apply_status("w1", born_ms=new_entry.born_ms)
        self.assertEqual([order.task for order in successor.plan_starts()],
                         [self.order.task])

    def test_old_instance_lists_its_run(self):
        """Guards against a second run if the registry is ahead of the worker.
        """
        new_entry = self.entry._replace(born_ms=self.entry.born_ms + 1)
        successor = test_handover.build_successor(self.driver, new_entry,
                                                  self.spare)
        successor.now += 2 * LEASE_S
        successor.apply_status("w1",
                               running=test_handover.list_active_runs(
                                   self.driver, "w1"))
        successor.apply_status("w2")
        self.assertEqual(successor.plan_starts(), [])

    def test_capacity_is_held_until_the_run_has_ended(self):
        """Guards against starts beyond the capacity of an unguarded worker."""
        successor = test_handover.build_successor(self.driver,
                                                  self.entry,
                                                  silent_workers=("w1",))
        successor.put_job(OTHER_JOB_ID, offset=600)
        self.assertEqual(successor.plan_starts(), [])
        successor.apply_status("w1",
                               running=test_handover.list_active_runs(
                                   self.driver, "w1"))
        self.assertEqual(successor.plan_starts(), [])
        successor.apply_status("w1",
                               ended=(builders.build_ended_run(self.order),))
        self.assertEqual(
            [order.task.job_id for order in successor.plan_starts()],
            [OTHER_JOB_ID])


class SlowClockTest(unittest.TestCase):
    """Tests leases on a worker whose clock is as wrong as it may be."""

    def test_no_start_before_the_lease_has_ended(self):
        """Guards against a second run beside one on a worker that is cut off.

        The worker replies to some of the leaders, which renew its lease, and is
        then cut off. Further leaders follow.
        """
        for seed in range(200):
            with self.subTest(seed=seed):
                self.run_leaders(random.Random(seed))

    def run_leaders(self, rng: random.Random) -> None:
        """Changes the leader until one starts the task of the lost worker."""
        rate = rng.choice((0.98, 1.0, 1.02))
        max_delay_s = rng.choice((0.0, 0.6))
        entry = builders.build_worker("w1", cpu_millis=1000)
        spare = builders.build_worker("w2", cpu_millis=1000)
        driver = builders.GroupDriver()
        first = driver
        clock_offset = 7000 - driver.now * 1000 * rate

        def report(driver: builders.GroupDriver) -> None:
            driver.apply_status(
                "w1",
                clock_ms=int(clock_offset + driver.now * 1000 * rate),
                running=test_handover.list_active_runs(first, "w1"))

        driver.scheduler.put_worker(entry)
        driver.scheduler.mark_workers_recorded(
            driver.scheduler.build_workers_record())
        report(driver)
        driver.put_job(JOB_ID, builders.build_step(1, is_long_running=True))
        driver.start_all()
        worker = driver.scheduler.workers["w1"]
        lease_ms = worker.extend_lease(driver.now, builders.LEASE)
        # The run has shown that it does not crash its worker.
        driver.now += 1.0
        report(driver)
        renewing_leaders = rng.randint(0, 3)
        for number in range(60):
            is_reached = number < renewing_leaders
            for _ in range(rng.randint(0, 20)):
                driver.now += rng.uniform(0.01, 0.2)
                if is_reached:
                    worker = driver.scheduler.workers["w1"]
                    lease_ms = max(
                        lease_ms, worker.extend_lease(driver.now,
                                                      builders.LEASE))
                    report(driver)
                elif number:
                    driver.apply_status("w2")
                    if driver.plan_starts():
                        worker_clock_ms = (clock_offset +
                                           driver.now * 1000 * rate)
                        self.assertGreaterEqual(worker_clock_ms, lease_ms)
                        return
            driver = test_handover.build_successor(driver,
                                                   entry,
                                                   spare,
                                                   delay_s=max_delay_s *
                                                   rng.random(),
                                                   silent_workers=("w1", "w2"))
            if number + 1 < renewing_leaders:
                report(driver)
        self.fail("the task was not started")


class ReloadedTopicTest(unittest.TestCase):
    """Tests a reload of the topic around the hand-over."""

    def test_hand_over_is_found_after_a_reload(self):
        """Guards against a full takeover wait, and against an old record."""
        first = dispatch.LeaderRecord("n1", 64, "a", "a#1", 1)
        handover = dispatch.HandoverRecord("n1", 64, (), (), 0, 7)
        resignation = dispatch.LeaderRecord("n1", 64, "", "", 2)
        claim = dispatch.LeaderRecord("n1", 192, "c", "c#1", 0)
        other_leader = dispatch.LeaderRecord("n1", 128, "b", "b#1", 4)
        records = (first, handover, resignation, other_leader, claim)
        # Records read before and until the reload, and whether the hand-over
        # is found once the rest is read.
        for read_count, load_count, skipped, is_found in (
            (3, 3, other_leader, True), (2, 3, other_leader, True),
            (0, 3, other_leader, True), (5, 5, other_leader, True),
            (3, 5, other_leader, False), (3, 4, None, False),
            (4, 4, None, False), (3, 5, None, False), (5, 5, None, False)):
            with self.subTest(read=read_count, loaded=load_count):
                stored = [
                    dispatch.encode_record(record)._replace(offset=offset)
                    for offset, record in enumerate(records)
                    if record is not skipped
                ]
                table = dispatch.JobTable()
                for record in stored:
                    if record.offset < read_count:
                        table.apply(record, 1.0)
                loaded = {
                    record.key: record
                    for record in stored
                    if record.offset < load_count
                }
                table.load_newest_records(
                    ports.KeyedBatch(load_count, tuple(loaded.values())), 2.0)
                for record in stored:
                    if record.offset >= load_count:
                        table.apply(record, 3.0)
                self.assertEqual(
                    table.find_handover("n1") is not None, is_found)
