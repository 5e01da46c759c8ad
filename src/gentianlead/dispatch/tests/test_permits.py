"""Tests of steps that run only on workers with a permit."""

import datetime
import unittest

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
OTHER_JOB_ID = "00000000000000bb"
PERMIT_VALIDITY = datetime.timedelta(seconds=3)


class PermitTest(unittest.TestCase):
    """Tests of permit requests, and of starts that need a permit.

    The group has two workers, and the queue of the job needs permits.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        queue = builders.QUEUE._replace(needs_permit=True)
        job = builders.build_job(JOB_ID, builders.build_step(
            2, cpu_millis=6000))._replace(queue=queue)
        self.driver.scheduler.put_job(builders.build_job_entry(job))

    def plan(self) -> tuple[list[dispatch.StartOrder], list]:
        """Makes a plan; returns its start orders and its permit requests."""
        orders = self.driver.plan()
        return ([
            order for order in orders if isinstance(order, dispatch.StartOrder)
        ], [
            order for order in orders
            if isinstance(order, dispatch.PermitRequest)
        ])

    def apply_permit_reply(self, request: dispatch.PermitRequest,
                           **permits: str) -> None:
        """Applies a reply of the advisory service to a permit request.

        Args:
            request: The request.
            **permits: Permit by worker; the other workers of the request are
                refused.
        """
        self.driver.scheduler.apply_permits(
            request, ports.PermitReply(permits, PERMIT_VALIDITY),
            self.driver.now, self.driver.now)

    def test_start_waits_for_a_permit_and_carries_it(self):
        """Checks that a task starts only where a permit was granted.

        Guards against starts on workers for which there is no permit. The start
        order has to contain the permit.
        """
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        self.assertEqual(request.workers, {
            "w1": builders.INSTANCE_START_MS,
            "w2": builders.INSTANCE_START_MS
        })
        self.assertEqual(self.plan(), ([], []))
        self.apply_permit_reply(request, w2="permit-2")
        starts, requests = self.plan()
        self.assertEqual([(order.worker_id, order.permit) for order in starts],
                         [("w2", "permit-2")])
        self.assertEqual(requests, [])

    def test_expired_permit_is_requested_again(self):
        """Checks that a permit that is about to expire is requested again.

        Guards against starts that a worker refuses for an expired permit.
        """
        _, (request,) = self.plan()
        self.apply_permit_reply(request, w2="permit-2")
        self.driver.now += 2.9
        self.driver.apply_status("w1")
        self.driver.apply_status("w2")
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        # The other worker was refused, which stays valid for its instance.
        self.assertEqual(list(request.workers), ["w2"])

    def test_replaced_worker_needs_a_new_permit(self):
        """Checks that a permit is requested for the new instance of a worker.

        Guards against use of a permit that was granted to its former instance.
        """
        _, (request,) = self.plan()
        self.driver.apply_status("w1",
                                 born_ms=builders.INSTANCE_START_MS + 500,
                                 clock_ms=10)
        self.apply_permit_reply(request, w1="permit-1")
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        self.assertEqual(request.workers,
                         {"w1": builders.INSTANCE_START_MS + 500})

    def test_request_without_reply_is_repeated(self):
        """Checks that a request without reply is repeated, but not at once.

        Guards against a leader that waits for a lost reply for ever, and
        against one that repeats the request in each plan.
        """
        _, (request,) = self.plan()
        self.driver.scheduler.apply_permits(request, None, self.driver.now,
                                            self.driver.now)
        self.assertEqual(self.plan(), ([], []))
        self.driver.now += 0.31
        _, (repeated_request,) = self.plan()
        self.assertEqual(repeated_request, request)

    def test_permits_that_arrive_too_late_are_not_requested_at_once(self):
        """Checks what follows a reply whose permits have expired on arrival.

        Guards against an overloaded advisory service that gets the next request
        with each late reply.
        """
        request_count = 0
        while self.driver.now < 105.0:
            starts, requests = self.plan()
            self.assertEqual(starts, [])
            request_count += len(requests)
            for request in requests:
                self.driver.scheduler.apply_permits(
                    request,
                    ports.PermitReply({"w1": "permit-1"}, PERMIT_VALIDITY),
                    self.driver.now - 3.0, self.driver.now)
            self.driver.now += 0.004
        self.assertLessEqual(request_count, 17)

    def test_refused_permit_is_dropped(self):
        """Checks that a new permit is requested after a worker refused one.

        Guards against start orders that contain the refused permit again.
        """
        _, (request,) = self.plan()
        self.apply_permit_reply(request, w1="permit-1")
        (start,), _ = self.plan()
        self.driver.apply_start_outcome(start, ports.StartOutcome.NO_PERMIT)
        starts, (request,) = self.plan()
        self.assertEqual(starts, [])
        self.assertEqual(list(request.workers), ["w1"])

    def test_permits_that_a_worker_never_accepts_are_requested_rarely(self):
        """Checks the orders to a worker that refuses every permit it is given.

        Guards against a cycle of a permit request and a refused start without
        a pause, as both calls cost.
        """
        start_count = 0
        while self.driver.now < 105.0:
            self.driver.apply_status("w1")
            starts, requests = self.plan()
            for request in requests:
                self.apply_permit_reply(
                    request, **{
                        worker_id: "permit"
                        for worker_id in request.workers
                        if worker_id == "w1"
                    })
            for start in starts:
                start_count += 1
                self.driver.apply_start_outcome(start,
                                                ports.StartOutcome.NO_PERMIT)
            self.driver.now += 0.004
        self.assertGreaterEqual(start_count, 6)
        self.assertLessEqual(start_count, 12)

    def test_refusals_of_one_permit_count_once(self):
        """Checks that a permit refused for two tasks is requested at once.

        Guards against a pause because several tasks started with one permit
        that had expired on the way.
        """
        job = builders.build_job(OTHER_JOB_ID, builders.build_step(3))._replace(
            queue=builders.QUEUE._replace(needs_permit=True))
        self.driver.scheduler.cancel_job(JOB_ID)
        self.driver.scheduler.put_job(builders.build_job_entry(job))
        _, (request,) = self.plan()
        self.apply_permit_reply(request, w1="permit-1")
        starts, _ = self.plan()
        self.assertEqual(len(starts), 3)
        for start in starts:
            self.driver.apply_start_outcome(start, ports.StartOutcome.NO_PERMIT)
        _, (request,) = self.plan()
        self.assertEqual(list(request.workers), ["w1"])

    def test_step_without_permits_counts_as_unplaced(self):
        """Checks that a job that got no permit at all counts as unplaced.

        It may then move to another group. Guards against a job that waits where
        no worker may run it.
        """
        _, (request,) = self.plan()
        self.apply_permit_reply(request)
        self.plan()
        self.driver.now += dispatch.JOB_MOVE_DELAY.total_seconds() + 0.1
        self.driver.apply_status("w1")
        self.driver.apply_status("w2")
        job = self.driver.scheduler.jobs[JOB_ID]
        self.assertTrue(
            job.has_unplaced_tasks(self.driver.now,
                                   dispatch.JOB_MOVE_DELAY.total_seconds()))


class UnexpectedPermitTest(unittest.TestCase):
    """Tests starts on workers that demand a permit for a queue without them.

    The leader may not have read yet that the queue needs permits.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker("w1"),
                                           builders.build_worker("w2"))
        self.driver.put_job(JOB_ID, builders.build_step(4))

    def refuse_starts(self, duration_s: float) -> int:
        """Plans for some time; workers refuse all starts, which are counted."""
        start_count = 0
        ends_at = self.driver.now + duration_s
        while self.driver.now < ends_at:
            self.driver.apply_status("w1")
            self.driver.apply_status("w2")
            for order in self.driver.plan_starts():
                start_count += 1
                self.driver.apply_start_outcome(order,
                                                ports.StartOutcome.NO_PERMIT)
            self.driver.now += 0.004
        return start_count

    def test_refused_starts_are_repeated_with_growing_pauses(self):
        """Guards against starts of all tasks in each planning pass.

        Each refused start costs.
        """
        start_count = self.refuse_starts(5.0)
        self.assertGreaterEqual(start_count, 4 * 6)
        self.assertLessEqual(start_count, 4 * 10)

    def test_accepted_start_ends_the_pause(self):
        """Guards against tasks that wait although workers accept their step.
        """
        (order, *other_orders) = self.driver.plan_starts()
        for other_order in other_orders:
            self.driver.apply_start_outcome(other_order,
                                            ports.StartOutcome.NO_PERMIT)
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.apply_start_outcome(order, ports.StartOutcome.STARTED)
        self.assertEqual(len(self.driver.plan_starts()), 3)
