"""Tests of workers that start again under their identifier."""

import unittest
from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
NEXT_BORN_MS = builders.INSTANCE_START_MS + 60_000
LEASE_S = builders.LEASE.total_seconds()
MAX_LEASE_S = builders.MAX_LEASE.total_seconds()


class Replacement(NamedTuple):
    """A lease call around the time at which a worker starts again.

    Times are in seconds from the call. The clocks are in seconds, too.

    Attributes:
        name: What is special.
        replied_at: Time of the reply; None without a reply.
        ended_at: Time at which the call ended without a reply.
        reply_clock_s: Worker's clock in the reply.
        seen_at: Time of the first report of the new instance.
        new_clock_s: Worker's clock in that report.
        lease_from: Time from which on the longest lease counts; None if the new
            instance cannot have got the call.
    """

    name: str
    replied_at: float | None
    ended_at: float | None
    reply_clock_s: float
    seen_at: float
    new_clock_s: float
    lease_from: float | None


REPLACEMENTS = (
    Replacement("the new instance replies", 0.1, None, 0.4, 1.0, 1.3, 0.1),
    Replacement("no reply, the new instance is up", None, 0.8, 0, 1.0, 0.7,
                0.8),
    Replacement("the reply is under way", None, 1.5, 0, 1.0, 0.7, 1.5),
    Replacement("the call ends before the new instance starts", None, 0.2, 0,
                1.0, 0.5, None),
    Replacement("the former instance replies", 0.1, None, 100.1, 1.0, 0.5,
                None),
    Replacement("the new clock is ahead", 0.1, None, 130.1, 1.0, 131.0, None),
)


class LeaseAfterReplacementTest(unittest.TestCase):
    """Tests when the runs of a restarted worker count as ended."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.worker = self.driver.scheduler.workers["w1"]

    def report(self, clock_s: float, born_ms: int = NEXT_BORN_MS) -> None:
        """Applies a report of the new instance."""
        self.driver.apply_status(clock_ms=int(1000 * clock_s), born_ms=born_ms)

    def measure_lease(self) -> float:
        """Returns for how long the lease of the silent worker may last."""
        rest_s = self.worker.compute_lease_rest_s(self.driver.now)
        if rest_s:
            self.assertFalse(
                self.worker.is_lease_expired(self.driver.now + rest_s - 0.01))
        self.assertTrue(
            self.worker.is_lease_expired(self.driver.now + rest_s + 0.01))
        return rest_s

    def test_lease_by_a_call_for_the_former_instance(self):
        """Guards against a second run beside one on a worker that is cut off.

        The end of the lease was a time on the clock of the former instance. The
        new one cuts it to the longest lease that it holds.
        """
        for case in REPLACEMENTS:
            with self.subTest(case.name):
                self.setUp()
                sent_at = self.driver.now
                call = self.worker.begin_lease_call(sent_at)
                ended_at = case.replied_at or case.ended_at
                for time in sorted((ended_at, case.seen_at)):
                    self.driver.now = sent_at + time
                    if time == case.seen_at:
                        self.report(case.new_clock_s)
                    else:
                        is_new = self.worker.end_lease_call(
                            call,
                            int(1000 * case.reply_clock_s)
                            if case.replied_at else None, self.driver.now)
                        self.assertEqual(
                            is_new,
                            bool(case.replied_at) and
                            case.reply_clock_s < sent_at)
                lease_ends_at = self.driver.now + self.measure_lease()
                if case.lease_from is None:
                    self.assertLess(lease_ends_at, sent_at + LEASE_S + 1)
                else:
                    lease_s = lease_ends_at - sent_at - case.lease_from
                    self.assertGreaterEqual(lease_s, MAX_LEASE_S)
                    self.assertLess(lease_s, MAX_LEASE_S + 0.5)

    def test_second_replacement(self):
        """Guards against waiting for a lease that ended with its instance."""
        call = self.worker.begin_lease_call(self.driver.now)
        self.worker.end_lease_call(call, 400, self.driver.now)
        self.report(0.5)
        self.assertGreater(self.measure_lease(), MAX_LEASE_S)
        self.driver.now += 2.0
        self.report(0.5, NEXT_BORN_MS + 2000)
        self.assertLess(self.measure_lease(), LEASE_S)

    def test_no_start_while_the_lease_is_longer_than_usual(self):
        """Guards against a task that waits for it if the worker is lost."""
        call = self.worker.begin_lease_call(self.driver.now)
        self.worker.end_lease_call(call, 400, self.driver.now)
        self.report(0.5)
        self.driver.put_job(JOB_ID)
        begun_at = self.driver.now
        while not self.driver.plan_starts():
            self.assertLess(self.driver.now - begun_at, MAX_LEASE_S)
            self.driver.now += 0.1
            self.report(0.5 + self.driver.now - begun_at)
        self.assertGreaterEqual(self.driver.now - begun_at,
                                MAX_LEASE_S - LEASE_S)

    def test_calls_of_a_former_leader(self):
        """Guards against a lease that a successor does not know of.

        The new instance started before or after the former leader's last call.
        Without a hand-over, that leader noticed the new instance in a few
        seconds.
        """
        for has_handover, worker_age_s, is_long in ((True, 2.0,
                                                     True), (True, 0.5, False),
                                                    (False, 2.0, True),
                                                    (False, 60.0, False)):
            with self.subTest(has_handover=has_handover, age=worker_age_s):
                entry = builders.build_worker(
                    born_ms=builders.INSTANCE_START_MS)
                driver = builders.GroupDriver()
                driver.scheduler.put_recorded_worker(entry, driver.now)
                if has_handover:
                    driver.scheduler.apply_handover(
                        dispatch.HandoverRecord("north-1", 1,
                                                (dispatch.HandedOverWorker(
                                                    entry, entry.born_ms, 3000,
                                                    ()),), (), 0, 0),
                        driver.now, driver.now)
                driver.now += 1.0
                driver.apply_status(clock_ms=int(1000 * worker_age_s),
                                    born_ms=NEXT_BORN_MS)
                worker = driver.scheduler.workers["w1"]
                rest_s = worker.compute_lease_rest_s(driver.now)
                self.assertEqual(rest_s > MAX_LEASE_S - 1.0, is_long, rest_s)
                if not is_long:
                    self.assertLess(rest_s, LEASE_S + 1.0)


class StatusCallTest(unittest.TestCase):
    """Tests the status call that shows a new instance."""

    def test_status_call_extends_the_lease_of_the_new_instance(self):
        """Guards against a lease by the call that has found the restart."""
        driver = builders.GroupDriver(builders.build_worker())
        worker = driver.scheduler.workers["w1"]
        call = worker.begin_lease_call(driver.now)
        driver.now += 0.1
        worker.end_lease_call(call, 300, driver.now)
        driver.apply_status(clock_ms=300, born_ms=NEXT_BORN_MS, sent_ago_s=0.1)
        self.assertGreater(worker.compute_lease_rest_s(driver.now), MAX_LEASE_S)
        self.assertEqual(
            worker.find_start_obstacle(driver.now).value, "lease-too-long")


class PendingStartTest(unittest.TestCase):
    """Tests a start order for the former instance of a restarted worker."""

    def setUp(self):
        self.driver = builders.GroupDriver(
            builders.build_worker("w1"),
            builders.build_worker("w2", is_draining=True))
        self.driver.put_job(JOB_ID, builders.build_step(is_long_running=True))
        (self.order,) = self.driver.plan_starts()
        self.driver.scheduler.put_worker(builders.build_worker("w2"))

    def report(self, *running: ports.ActiveRun, clock_ms: int = 700) -> None:
        """Applies a report of the new instance."""
        self.driver.apply_status("w1",
                                 clock_ms=clock_ms,
                                 born_ms=NEXT_BORN_MS,
                                 running=running)
        self.driver.apply_status("w2")

    def test_which_runs_end_with_the_former_instance(self):
        """Guards against a second run beside one that a late order starts.

        The task of a run that ends starts on another worker. The new instance
        reports before the order reaches it.
        """
        started = ports.StartOutcome.STARTED
        unknown = ports.StartOutcome.UNKNOWN
        for name, outcome, replied_at, has_ended in (
            ("the reply is awaited", None, 0.0,
             False), ("no reply, the new instance is up", unknown, 0.5,
                      False), ("no reply, it starts later", unknown, 0.1, True),
            ("the former instance has replied", started, 0.1, True)):
            with self.subTest(name):
                self.setUp()
                self.driver.now += replied_at
                if outcome is not None:
                    self.driver.apply_start_outcome(self.order, outcome)
                self.driver.now += 1.0 - replied_at
                self.report()
                self.assertEqual(len(self.driver.scheduler.ended_runs),
                                 int(has_ended))

    def test_late_order(self):
        """Guards against a run that its leader ends although it begins."""
        self.driver.now += 1.0
        self.report()
        self.driver.apply_start_outcome(self.order, ports.StartOutcome.STARTED)
        self.report(builders.build_active_run(self.order), clock_ms=900)
        self.assertEqual(self.driver.plan(), [])
        self.assertEqual(self.driver.scheduler.ended_runs, [])

    def test_order_that_the_new_instance_has_carried_out(self):
        """Guards against counting its run as lost with the former instance."""
        self.driver.apply_start_outcome(self.order, ports.StartOutcome.STARTED)
        self.report(builders.build_active_run(self.order))
        self.assertEqual(self.driver.plan(), [])
        self.assertEqual(self.driver.scheduler.ended_runs, [])

    def test_order_that_was_not_carried_out(self):
        """Guards against a task that waits for an order that was lost."""
        self.driver.now += 1.0
        self.report()
        self.driver.apply_start_outcome(self.order, ports.StartOutcome.UNKNOWN)
        self.report(clock_ms=900)
        (retry,) = self.driver.plan_starts()
        self.assertEqual((retry.worker_id, retry.run), ("w1", self.order.run))
