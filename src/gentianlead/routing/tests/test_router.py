"""Tests of the request router."""

import datetime
import unittest

from gentianlead import errors
from gentianlead import routing
from gentianlead.routing.tests import seeded

_SUCCEEDED = routing.AttemptOutcome(errors.Verdict.RAN, True)
_DID_NOT_RUN = routing.AttemptOutcome(errors.Verdict.DID_NOT_RUN, False,
                                      errors.ErrorCode.TARGET_FAILED)
_TIMED_OUT = routing.AttemptOutcome(errors.Verdict.MAY_HAVE_RUN, False,
                                    errors.ErrorCode.TARGET_TIMEOUT)


def _make_router(targets: int = 2,
                 slots: int = 8,
                 **settings: object) -> routing.RequestRouter:
    router = routing.RequestRouter(routing.RouterSettings(**settings),
                                   seeded.SeededRandom(), 0.0)
    router.update_targets(
        [routing.TargetSpec(f"worker-{i}", slots) for i in range(targets)], 0.0)
    return router


def _fill_retry_budget(router: routing.RequestRouter, requests: int) -> None:
    for i in range(requests):
        step = router.admit(routing.Request(f"filler-{i}", "s", 10.0), 0.0)
        router.report(step.attempt_id, _SUCCEEDED, 0.01)


class RequestRouterTest(unittest.TestCase):
    """Decisions of the router about requests and slot loans.

    The tests cover the start, queueing, retry, hedging, refusal, forwarding and
    cancellation of requests, and the borrowing of slots.
    """

    def test_response_ends_the_request(self) -> None:
        """Guards against a request that goes on after its response.

        The response must be returned once: a second report of the same attempt
        must return None. The request must not be active any more.
        """
        router = _make_router()
        step = router.admit(routing.Request("r", "s", 10.0), 0.0)
        self.assertIsInstance(step, routing.StartAttempt)
        self.assertEqual(router.report(step.attempt_id, _SUCCEEDED, 0.1),
                         routing.ReturnResponse("r", step.attempt_id))
        self.assertIsNone(router.report(step.attempt_id, _SUCCEEDED, 0.2))
        self.assertEqual(router.active_requests, 0)

    def test_retry_depends_on_verdict_and_idempotency(self) -> None:
        """Guards against a wrong decision to retry after a failed attempt.

        A request that is not idempotent must not be retried if it may have run;
        all others must be.
        """
        for outcome, is_idempotent, is_retried in (
            (_DID_NOT_RUN, False, True),
            (_DID_NOT_RUN, True, True),
            (_TIMED_OUT, False, False),
            (_TIMED_OUT, True, True),
        ):
            case = f"{outcome.verdict}, is_idempotent={is_idempotent}"
            router = _make_router()
            _fill_retry_budget(router, 20)
            step = router.admit(
                routing.Request("r", "s", 10.0, is_idempotent=is_idempotent),
                1.0)
            step = router.report(step.attempt_id, outcome, 1.1)
            if isinstance(step, routing.Wait):
                step = router.poll(step.next_step_by)[0]
            if is_retried:
                self.assertIs(step.kind, routing.AttemptKind.RETRY, case)
            else:
                self.assertEqual((step.code, step.verdict),
                                 (errors.ErrorCode.TARGET_TIMEOUT,
                                  errors.Verdict.MAY_HAVE_RUN), case)

    def test_error_verdict_covers_all_attempts(self) -> None:
        """Checks that the error says that the request may have run.

        The first attempt may have run, the two retries did not run. The test
        guards against an error that has the verdict of the last attempt only.
        """
        router = _make_router()
        _fill_retry_budget(router, 40)
        step = router.admit(routing.Request("r", "s", 10.0, is_idempotent=True),
                            1.0)
        for outcome in (_TIMED_OUT, _DID_NOT_RUN, _DID_NOT_RUN):
            step = router.report(step.attempt_id, outcome, 1.1)
            if isinstance(step, routing.Wait):
                step = router.poll(step.next_step_by)[0]
        self.assertIsInstance(step, routing.ReturnError)
        self.assertIs(step.verdict, errors.Verdict.MAY_HAVE_RUN)

    def test_retries_stay_within_budget(self) -> None:
        """Guards against retries and hedges above 10 % of the first attempts.

        Every attempt fails without running, so that it could be retried. At
        least one retry must be made.
        """
        router = _make_router()
        for i in range(500):
            now = 0.1 * i
            step = router.admit(
                routing.Request(f"r-{i}", "s", now + 10, is_idempotent=True),
                now)
            steps = [step] + router.poll(now)
            while steps:
                step = steps.pop()
                if isinstance(step, routing.StartAttempt):
                    steps.append(
                        router.report(step.attempt_id, _DID_NOT_RUN, now))
        counts = router.counts
        self.assertGreater(counts.retries, 0)
        self.assertLessEqual(counts.retries + counts.hedges,
                             0.1 * counts.first_attempts)

    def test_hedge_goes_to_another_target(self) -> None:
        """Guards against a request that waits for a target without response.

        A hedge must go to the other target, and its response must be returned.
        The later outcome of the first attempt must be ignored.
        """
        router = _make_router()
        _fill_retry_budget(router, 100)
        first_attempt = router.admit(
            routing.Request("r", "s", 10.0, is_idempotent=True), 1.0)
        hedge = router.poll(router.get_next_poll_time())[0]
        self.assertIs(hedge.kind, routing.AttemptKind.HEDGE)
        self.assertNotEqual(hedge.destination, first_attempt.destination)
        self.assertEqual(
            router.report(hedge.attempt_id, _SUCCEEDED, 2.0),
            routing.ReturnResponse("r", hedge.attempt_id,
                                   (first_attempt.attempt_id,)))
        self.assertIsNone(
            router.report(first_attempt.attempt_id, _TIMED_OUT, 6.0))

    def test_waiting_interactive_request_goes_first(self) -> None:
        """Guards against an interactive request started after a bulk one.

        Both are queued, the bulk request first.
        """
        router = _make_router(1, 1)
        running_request = router.admit(routing.Request("running", "s", 10.0),
                                       0.0)
        for name, request_class in (("bulk", routing.RequestClass.BULK),
                                    ("interactive",
                                     routing.RequestClass.INTERACTIVE)):
            step = router.admit(
                routing.Request(name, "s", 10.0, request_class=request_class),
                0.0)
            self.assertIsInstance(step, routing.Wait)
        router.report(running_request.attempt_id, _SUCCEEDED, 0.05)
        self.assertEqual(
            [started_step.request_id for started_step in router.poll(0.05)],
            ["interactive"])

    def test_refusals_carry_code_and_verdict(self) -> None:
        """Guards against a refusal with a wrong error code or verdict.

        The requests are refused for a full queue, a deadline that is too close,
        a domain without targets and a daemon that is stopping.
        """
        router = _make_router(1, 1, interactive_queue_limit=1)
        router.admit(routing.Request("running", "s", 10.0), 0.0)
        router.admit(routing.Request("waiting", "s", 10.0), 0.0)
        router_without_targets = _make_router(0)
        draining_router = _make_router()
        draining_router.start_draining()
        for refusing_router, deadline, code in (
            (router, 10.0, errors.ErrorCode.OVERLOADED),
            (router, 0.01, errors.ErrorCode.DEADLINE_EXCEEDED),
            (router_without_targets, 10.0, errors.ErrorCode.NO_TARGET),
            (draining_router, 10.0, errors.ErrorCode.DRAINING),
        ):
            step = refusing_router.admit(routing.Request("r", "s", deadline),
                                         0.0)
            self.assertEqual((step.code, step.verdict),
                             (code, errors.Verdict.DID_NOT_RUN))

    def test_late_request_is_shed_first(self) -> None:
        """Checks that a late request gives up its place in a full queue.

        The late request can no longer meet its deadline. It must be shed, and a
        new request must be queued and started instead of being refused.
        """
        router = _make_router(1, 1, interactive_queue_limit=1)
        running_request = router.admit(routing.Request("running", "s", 10.0),
                                       0.0)
        router.admit(routing.Request("late", "s", 0.3), 0.0)
        step = router.admit(routing.Request("new", "s", 10.0), 0.28)
        self.assertIsInstance(step, routing.Wait)
        shed = router.poll(0.28)[0]
        self.assertEqual((shed.request_id, shed.code, shed.verdict),
                         ("late", errors.ErrorCode.DEADLINE_EXCEEDED,
                          errors.Verdict.DID_NOT_RUN))
        router.report(running_request.attempt_id, _SUCCEEDED, 0.3)
        self.assertEqual(router.poll(0.3)[0].request_id, "new")

    def test_request_without_target_is_forwarded_once(self) -> None:
        """Guards against a refusal while a peer has free slots.

        The request must go to the nearer peer. A request that a peer forwarded
        must be refused, not forwarded again.
        """
        router = _make_router(0)
        router.update_peers([
            routing.PeerStatus("far", "b", datetime.timedelta(milliseconds=1.4),
                               9),
            routing.PeerStatus("near", "c",
                               datetime.timedelta(milliseconds=0.5), 9)
        ])
        step = router.admit(routing.Request("r", "s", 10.0), 0.0)
        self.assertEqual(step.destination, routing.PeerDestination("near"))
        forwarded = routing.Request("f", "s", 10.0, is_forwarded=True)
        self.assertIs(
            router.admit(forwarded, 0.0).code, errors.ErrorCode.NO_TARGET)

    def test_leaving_target_gets_no_requests(self) -> None:
        """Guards against new attempts at a target that is leaving."""
        router = _make_router(1)
        router.update_targets([
            routing.TargetSpec("worker-0", is_leaving=True),
            routing.TargetSpec("worker-1")
        ], 0.0)
        for i in range(8):
            step = router.admit(routing.Request(f"r-{i}", "s", 10.0), 10.0)
            if isinstance(step, routing.StartAttempt):
                self.assertEqual(step.destination.target, "worker-1")

    def test_failing_domain_gets_only_probes(self) -> None:
        """Guards against too many attempts at a failed domain.

        The VMs of the domain are still listed, but all attempts there fail. For
        300 requests there must be at most 40 of these attempts, and at least
        10, so that the recovery of the domain would be noticed.
        """
        router = _make_router(8)
        router.update_peers([
            routing.PeerStatus("peer", "b",
                               datetime.timedelta(milliseconds=0.5), 1000)
        ])
        own_domain_attempts = 0
        for i in range(300):
            now = 0.01 * i
            step = router.admit(
                routing.Request(f"r-{i}", "s", now + 10, is_idempotent=True),
                now)
            while isinstance(step, routing.StartAttempt):
                is_own = isinstance(step.destination, routing.TargetDestination)
                own_domain_attempts += is_own
                step = router.report(step.attempt_id,
                                     _DID_NOT_RUN if is_own else _SUCCEEDED,
                                     now)
        self.assertLessEqual(own_domain_attempts, 40)
        self.assertGreaterEqual(own_domain_attempts, 10)

    def test_cancelled_request_has_no_more_steps(self) -> None:
        """Guards against a retry or a step for a request that was cancelled."""
        router = _make_router()
        _fill_retry_budget(router, 20)
        step = router.admit(routing.Request("r", "s", 10.0, is_idempotent=True),
                            1.0)
        self.assertEqual(router.cancel("r"), (step.attempt_id,))
        self.assertIsNone(router.report(step.attempt_id, _TIMED_OUT, 1.1))
        self.assertEqual(router.poll(20.0), [])

    def test_deadline_does_not_free_the_slot(self) -> None:
        """Guards against a slot that is reused while the target still runs.

        The deadlines of the first two requests pass long before the attempt
        timeout; one attempt times out, the other is abandoned.
        """
        router = _make_router(1, 2)
        timeout = datetime.timedelta(seconds=3)
        steps = [
            router.admit(routing.Request(f"r-{i}", "s", 1.5, timeout), 1.0)
            for i in range(2)
        ]
        router.report(steps[0].attempt_id, _TIMED_OUT, 1.5)
        router.cancel("r-1")
        router.report(
            steps[1].attempt_id,
            routing.AttemptOutcome(errors.Verdict.MAY_HAVE_RUN,
                                   False,
                                   is_aborted=True), 1.5)
        waiting = router.admit(routing.Request("r-2", "s", 10.0, timeout), 1.6)
        self.assertIsInstance(waiting, routing.Wait)
        self.assertEqual(router.poll(3.9), [])
        self.assertEqual([step.request_id for step in router.poll(4.0)],
                         ["r-2"])

    def test_old_timer_does_not_affect_new_request(self) -> None:
        """Guards against a retry timer that retries a later request.

        The later request has the same identifier as the cancelled request for
        which the timer was set.
        """
        router = _make_router()
        _fill_retry_budget(router, 20)
        request = routing.Request("r", "s", 10.0, is_idempotent=True)
        step = router.admit(request, 1.0)
        waiting = router.report(step.attempt_id, _TIMED_OUT, 1.1)
        self.assertIsInstance(waiting, routing.Wait)
        router.cancel("r")
        router.admit(request, 1.1)
        self.assertFalse([
            step for step in router.poll(waiting.next_step_by)
            if step.kind is routing.AttemptKind.RETRY
        ])

    def test_loan_lets_a_waiting_request_start(self) -> None:
        """Guards against a request left queued while a slot can be borrowed.

        One slot must be requested once, borrowed, used for the queued request
        and returned after it was idle.
        """
        routers = [_make_router(1, 4, seat=seat, seats=2) for seat in range(2)]
        started_at = 100.0
        timeout = datetime.timedelta(seconds=2)
        steps = [
            routers[0].admit(
                routing.Request(f"r-{i}", "s", started_at + 10, timeout),
                started_at) for i in range(3)
        ]
        self.assertIsInstance(steps[2], routing.Wait)
        loan_requests = routers[0].build_loan_requests(started_at)
        self.assertEqual(
            [loan_request.target for loan_request in loan_requests],
            ["worker-0"])
        self.assertEqual(routers[0].build_loan_requests(started_at), [])
        grant = routers[1].lend(loan_requests[0], started_at)
        self.assertEqual(grant.slots, 1)
        routers[0].apply_loan_grant(grant, started_at)
        started_attempts = routers[0].poll(started_at)
        self.assertEqual([step.request_id for step in started_attempts],
                         ["r-2"])
        routers[0].report(started_attempts[0].attempt_id, _SUCCEEDED,
                          started_at + 0.1)
        loan_returns = routers[0].build_loan_returns(started_at + 1.2)
        self.assertEqual([loan_return.loan_id for loan_return in loan_returns],
                         [grant.loan_id])
