"""Tests of steps that run only on workers with a permit."""

import datetime
import unittest

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB = "00000000000000aa"
VALID = datetime.timedelta(seconds=3)


class PermitTest(unittest.TestCase):
    """A group with two workers and a queue that needs permits."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        queue = builders.QUEUE._replace(needs_permit=True)
        job = builders.build_job(JOB, builders.build_step(
            2, cpu_millis=6000))._replace(queue=queue)
        self.driver.scheduler.put_job(builders.build_entry(job))

    def plan(self) -> tuple[list[dispatch.StartOrder], list]:
        """Returns the starts and the requests for permits of a plan."""
        orders = self.driver.plan()
        return ([
            order for order in orders if isinstance(order, dispatch.StartOrder)
        ], [
            order for order in orders
            if isinstance(order, dispatch.PermitRequest)
        ])

    def answer(self, request: dispatch.PermitRequest, **permits: str) -> None:
        """Applies an answer of the service."""
        self.driver.scheduler.apply_permits(request,
                                            ports.PermitReply(permits, VALID),
                                            self.driver.now, self.driver.now)

    def test_start_waits_for_a_permit_and_carries_it(self):
        """Guards against starts on workers that the policy forbids."""
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        self.assertEqual(request.workers, {
            "w1": builders.BORN,
            "w2": builders.BORN
        })
        self.assertEqual(self.plan(), ([], []))
        self.answer(request, w2="permit-2")
        starts, requests = self.plan()
        self.assertEqual([(order.worker_id, order.permit) for order in starts],
                         [("w2", "permit-2")])
        self.assertEqual(requests, [])

    def test_permits_end(self):
        """Guards against starts that the worker refuses as outdated."""
        _, (request,) = self.plan()
        self.answer(request, w2="permit-2")
        self.driver.now += 2.9
        self.driver.look("w1")
        self.driver.look("w2")
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        # The refusal for the other worker never changes.
        self.assertEqual(list(request.workers), ["w2"])

    def test_reborn_worker_needs_a_new_permit(self):
        """Guards against permits of a former lifetime."""
        _, (request,) = self.plan()
        self.driver.look("w1", born_ms=builders.BORN + 500, clock_ms=10)
        self.answer(request, w1="permit-1")
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        self.assertEqual(request.workers, {"w1": builders.BORN + 500})

    def test_missing_answer_is_asked_for_again(self):
        """Guards against a step that waits for a lost answer, and a storm."""
        _, (request,) = self.plan()
        self.driver.scheduler.apply_permits(request, None, self.driver.now,
                                            self.driver.now)
        self.assertEqual(self.plan(), ([], []))
        self.driver.now += 0.31
        _, (again,) = self.plan()
        self.assertEqual(again, request)

    def test_refused_permit_is_dropped(self):
        """Guards against a permit that is refused again and again."""
        _, (request,) = self.plan()
        self.answer(request, w1="permit-1")
        (start,), _ = self.plan()
        self.driver.answer(start, ports.StartOutcome.NO_PERMIT)
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        self.assertEqual(list(request.workers), ["w1"])

    def test_step_without_permits_goes_to_another_group(self):
        """Guards against a job that waits where no worker may run it."""
        _, (request,) = self.plan()
        self.answer(request)
        self.plan()
        self.driver.now += dispatch.WAIT_LIMIT.total_seconds() + 0.1
        self.driver.look("w1")
        self.driver.look("w2")
        job = self.driver.scheduler.jobs[JOB]
        self.assertTrue(
            job.is_stuck(self.driver.now, dispatch.WAIT_LIMIT.total_seconds()))
