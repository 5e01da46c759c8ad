"""Tests of the runs that a resigning leader leaves to its successor."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
OTHER_JOB_ID = "00000000000000bb"
SUCCESSOR_EPOCH = 2 * builders.EPOCH
SUCCESSOR_OFFSET = 500
LEASE_S = builders.LEASE.total_seconds()
LONG_RUNNING = builders.build_step(2, is_long_running=True)


def build_successor(
    driver: builders.GroupDriver,
    *workers: ports.WorkerEntry,
    delay_s: float = 0.5,
    silent_workers: tuple[str, ...] = ()
) -> builders.GroupDriver:
    """Returns the driver of a leader that follows the one of `driver`.

    Args:
        driver: Driver of the leader that resigns now.
        *workers: Workers that the registry lists.
        delay_s: Time in seconds from the resignation to the takeover. The
            record is read in the middle of it.
        silent_workers: Workers that do not reply to the new leader.
    """
    record = driver.scheduler.build_handover(driver.now)
    stored = dispatch.encode_record(record)
    successor = builders.GroupDriver(now=driver.now + delay_s,
                                     epoch=SUCCESSOR_EPOCH,
                                     leadership_offset=SUCCESSOR_OFFSET)
    for job in driver.scheduler.jobs.values():
        successor.scheduler.put_job(job.entry)
    for worker in driver.scheduler.workers.values():
        if worker.is_recorded:
            successor.scheduler.put_recorded_worker(worker.entry, successor.now)
    for entry in workers:
        successor.scheduler.put_worker(entry)
    successor.scheduler.apply_handover(dispatch.decode_record(stored),
                                       driver.now + delay_s / 2, successor.now)
    successor.scheduler.mark_workers_recorded(
        successor.scheduler.build_workers_record())
    for entry in workers:
        if entry.worker_id not in silent_workers:
            successor.scheduler.apply_status(
                entry.worker_id,
                builders.build_status(int(successor.now * 1000),
                                      list_active_runs(driver,
                                                       entry.worker_id)),
                successor.now, successor.now)
    return successor


def list_active_runs(driver: builders.GroupDriver,
                     worker_id: str) -> tuple[ports.ActiveRun, ...]:
    """Returns the runs of a worker as it would report them."""
    worker = driver.scheduler.workers.get(worker_id)
    return tuple(
        ports.ActiveRun(run.task, run.number, "", 100, None)
        for run in (worker.runs.values() if worker else ()))


class HandoverTest(unittest.TestCase):
    """Tests which tasks the successor of a resigned leader may start."""

    def setUp(self):
        self.entries = [
            builders.build_worker(name, cpu_millis=1000)
            for name in ("w1", "w2")
        ]
        self.spare = builders.build_worker("w3")
        self.driver = builders.GroupDriver(*self.entries)
        self.driver.put_job(JOB_ID, LONG_RUNNING)
        self.orders = {
            order.worker_id: order for order in self.driver.start_all()
        }
        # Reports after a second show that the runs do not crash their workers.
        self.driver.now += 1.0
        self.report_runs(self.driver, "w1", "w2")

    def report_runs(self, driver: builders.GroupDriver, *worker_ids:
                    str) -> None:
        """Applies reports of workers that list the first leader's runs."""
        for worker_id in worker_ids:
            driver.apply_status(worker_id,
                                running=list_active_runs(
                                    self.driver, worker_id))

    def list_started(self, driver: builders.GroupDriver) -> list[model.TaskKey]:
        """Returns the tasks that a leader starts now."""
        return [order.task for order in driver.plan_starts()]

    def test_runs_that_go_on_are_not_started_again(self):
        """Guards against a second run beside one of the former leader."""
        successor = build_successor(self.driver, *self.entries, self.spare)
        self.assertEqual(self.list_started(successor), [])
        successor.now += 60.0
        self.report_runs(successor, "w1", "w2", "w3")
        self.assertEqual(self.list_started(successor), [])

    def test_task_whose_run_ended_starts_beside_a_silent_worker(self):
        """Guards against one wait for the group (LOST).

        One worker is silent. The task of the other one, whose end the former
        leader saw, must not wait for the silent worker.
        """
        self.driver.apply_status("w1",
                                 ended=(builders.build_ended_run(
                                     self.orders["w1"],
                                     cause=ports.EndCause.STOPPED),))
        successor = build_successor(self.driver, self.entries[0], self.spare)
        self.assertEqual(self.list_started(successor), [self.orders["w1"].task])

    def test_task_of_a_silent_worker_waits_for_its_lease(self):
        """Guards against a second run, and against a wait that begins anew.

        The lease counts from its last renewal by the former leader. The
        successor may count the time until it read the record twice.
        """
        started_at = self.driver.now - 1.0
        self.driver.now += 1.0
        self.report_runs(self.driver, "w1")
        successor = build_successor(self.driver, self.entries[0], self.spare)
        successor.now = started_at + LEASE_S * 0.99
        self.report_runs(successor, "w1", "w3")
        self.assertEqual(self.list_started(successor), [])
        successor.now = started_at + LEASE_S * 1.03 + 0.2 + 0.25
        self.report_runs(successor, "w1", "w3")
        self.assertEqual(self.list_started(successor), [self.orders["w2"].task])

    def test_lease_does_not_begin_anew_with_each_leader(self):
        """Guards against waits that add up with a restart every 2 s (LOST)."""
        started_at = self.driver.now - 1.0
        driver = self.driver
        for _ in range(2):
            driver.now += 1.5
            driver = build_successor(driver, self.entries[0], self.spare)
            self.assertEqual(self.list_started(driver), [])
        driver.now = started_at + LEASE_S * 1.03 + 0.2 + 2 * 0.25
        self.report_runs(driver, "w1", "w3")
        self.assertEqual(self.list_started(driver), [self.orders["w2"].task])

    def test_reported_ends_count(self):
        """Guards against a task that runs again after it was done."""
        driver = builders.GroupDriver(self.spare)
        driver.put_job(OTHER_JOB_ID, builders.build_step(2))
        orders = driver.start_all()
        successor = build_successor(driver, self.spare, silent_workers=("w3",))
        successor.apply_status("w3",
                               ended=tuple(
                                   builders.build_ended_run(order, number)
                                   for number, order in enumerate(orders, 1)))
        self.assertEqual(self.list_started(successor), [])
        (record,) = successor.scheduler.take_dirty_progress()
        self.assertIs(record.state, model.JobState.COMPLETED)

    def test_start_without_reply_is_handed_over(self):
        """Guards against a second run beside one whose start got no reply."""
        driver = builders.GroupDriver(self.spare)
        driver.put_job(OTHER_JOB_ID)
        (order,) = driver.plan_starts()
        for outcome in (None, ports.StartOutcome.UNKNOWN):
            with self.subTest(outcome):
                if outcome is not None:
                    driver.apply_start_outcome(order, outcome)
                successor = build_successor(driver,
                                            self.spare,
                                            self.entries[0],
                                            silent_workers=("w3",))
                self.assertEqual(self.list_started(successor), [])
                successor.apply_status("w3")
                self.assertEqual(self.list_started(successor), [order.task])

    def test_replaced_worker_has_no_handed_over_runs(self):
        """Guards against runs that are taken for those of a new instance."""
        successor = build_successor(self.driver,
                                    *self.entries,
                                    self.spare,
                                    silent_workers=("w2",))
        successor.apply_status("w2", born_ms=builders.INSTANCE_START_MS + 1)
        self.assertEqual(self.list_started(successor), [self.orders["w2"].task])

    def test_leader_is_sole_only_after_the_handed_over_leases(self):
        """Guards against a third leader that does not wait for them."""
        successor = build_successor(self.driver, self.entries[0])
        self.assertFalse(successor.scheduler.is_takeover_over(successor.now))
        self.assertTrue(
            successor.scheduler.is_takeover_over(successor.now + LEASE_S * 1.1))


class UnseenWorkersTest(unittest.TestCase):
    """Tests the resignation of a leader that waits for runs of earlier ones."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"))
        self.driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                                  self.driver.now)
        self.driver.put_job(JOB_ID, offset=40)
        self.driver.put_job(OTHER_JOB_ID, offset=60)
        self.driver.now += 4.0
        self.driver.apply_status()
        (order,) = self.driver.plan_starts()
        self.assertEqual(order.task.job_id, OTHER_JOB_ID)
        self.driver.apply_start_outcome(order,
                                        ports.StartOutcome.NO_FREE_CAPACITY)

    def test_wait_goes_on_where_the_former_leader_left_it(self):
        """Guards against waits that begin anew with each takeover (LOST)."""
        successor = build_successor(self.driver, builders.build_worker("w1"))
        wait_s = builders.TAKEOVER_WAIT.total_seconds() - 4.0
        successor.now = self.driver.now + wait_s
        successor.apply_status()
        self.assertNotIn(
            JOB_ID, [order.task.job_id for order in successor.plan_starts()])
        successor.now += 0.3
        successor.apply_status()
        successor.plan()
        self.assertTrue(successor.scheduler.jobs[JOB_ID].is_reconciled)

    def test_job_of_the_former_leaders_own_time_does_not_wait(self):
        """Guards against a wait of jobs that no earlier leader knew."""
        successor = build_successor(self.driver, builders.build_worker("w1"))
        self.assertEqual(
            [order.task.job_id for order in successor.plan_starts()],
            [OTHER_JOB_ID])

    def test_reply_of_the_unseen_worker_ends_the_wait(self):
        """Guards against a wait for a worker that has shown its runs."""
        successor = build_successor(self.driver, builders.build_worker("w1"),
                                    builders.build_worker("w2"))
        self.assertEqual(
            {order.task.job_id for order in successor.plan_starts()},
            {JOB_ID, OTHER_JOB_ID})


class FindHandoverTest(unittest.TestCase):
    """Tests whose record a new leader goes by."""

    def build_table(self, *records: dispatch.Record) -> dispatch.JobTable:
        """Returns the state of a topic with some records."""
        table = dispatch.JobTable()
        for offset, record in enumerate(records):
            table.apply(
                dispatch.encode_record(record)._replace(offset=offset),
                float(offset))
        return table

    def test_record_of_the_direct_former_leader(self):
        """Guards against runs of another leader that is not waited for.

        A daemon that only claimed the group started nothing, so the leader
        before it counts.
        """
        first = dispatch.LeaderRecord("n1", 64, "a", "a#1", 1)
        handover = dispatch.HandoverRecord("n1", 64, (), (), 0, 7)
        resignation = dispatch.LeaderRecord("n1", 64, "", "", 2)
        lost_claim = dispatch.LeaderRecord("n1", 128, "b", "b#1", 0)
        other_leader = dispatch.LeaderRecord("n1", 128, "b", "b#1", 1)
        claim = dispatch.LeaderRecord("n1", 192, "c", "c#1", 0)
        cases = (
            ("no later leader", (first, handover, resignation), False),
            ("claim", (first, handover, resignation, claim), True),
            ("no resignation", (first, claim), False),
            ("lost claim", (first, handover, resignation, lost_claim, claim),
             True),
            ("other leader", (first, handover, resignation, other_leader,
                              claim), False),
        )
        for name, records, is_found in cases:
            with self.subTest(name):
                entry = self.build_table(*records).find_handover("n1")
                self.assertEqual(entry is not None, is_found)
                if entry is not None:
                    self.assertEqual((entry.record, entry.read_at),
                                     (handover, 1.0))
