"""Tests of how many targets one request can crash, also through peers."""

import datetime
import unittest
from typing import NamedTuple

from gentianlead import errors
from gentianlead import routing
from gentianlead.routing.tests import seeded

MAX_CRASHED_TARGETS = 4
_TICK = 0.005
_DEADLINE = 40.0
_CRASHED = routing.AttemptOutcome(errors.Verdict.MAY_HAVE_RUN, False,
                                  errors.ErrorCode.TARGET_FAILED)


class _Attempt(NamedTuple):
    """An attempt in flight.

    Attributes:
        domain: Index of the domain whose router started it.
        ends_at: Time at which its target crashes; infinite at a peer.
        forwarded_id: Identifier of the request at a peer; empty at a target.
    """

    domain: int
    attempt_id: int
    ends_at: float
    forwarded_id: str


class _Domains:
    """One router for each domain, with a request that crashes every target.

    A crashed target is replaced at once, so that only the routers limit the
    number of crashes.

    Args:
        crash_delay: Seconds from the start of an attempt to the crash.
        own_target_count: Number of targets of the first domain.
        lost_peers: Whether streams to peers break instead of the targets.
    """

    def __init__(self, crash_delay: float, own_target_count: int,
                 lost_peers: bool):
        self.crash_count = 0
        self.forward_count = 0
        self._crash_delay = crash_delay
        self._lost_peers = lost_peers
        self._attempts: list[_Attempt] = []
        self._error: routing.ReturnError | None = None
        self._routers = [self._build_router(index) for index in range(5)]
        self._routers[0].update_targets([
            routing.TargetSpec(f"worker-{i}", 8)
            for i in range(own_target_count)
        ], 1.0)
        self._update_peers()

    @staticmethod
    def _build_router(index: int) -> routing.RequestRouter:
        router = routing.RequestRouter(routing.RouterSettings(),
                                       seeded.SeededRandom(index), 0.0)
        router.update_targets(
            [routing.TargetSpec(f"worker-{i}", 8) for i in range(20)], 0.0)
        for filler in range(600):
            step = router.admit(routing.Request(f"filler-{filler}", "s", 10.0),
                                0.0)
            router.report(step.attempt_id,
                          routing.AttemptOutcome(errors.Verdict.RAN, True),
                          0.01)
        return router

    def run(self, is_idempotent: bool) -> routing.ReturnError:
        """Serves the request and returns the error for the caller."""
        now = 1.0
        self._execute(
            0, self._routers[0].admit(
                routing.Request("r",
                                "s",
                                _DEADLINE,
                                is_idempotent=is_idempotent), now), now)
        while self._error is None and now < _DEADLINE + 1:
            now += _TICK
            self._update_peers()
            self._end_attempts(now)
            for domain, router in enumerate(self._routers):
                for step in router.poll(now):
                    self._execute(domain, step, now)
        assert self._error is not None, "the request did not end"
        return self._error

    def _update_peers(self) -> None:
        self._routers[0].update_peers([
            routing.PeerStatus(str(domain), f"domain-{domain}",
                               datetime.timedelta(milliseconds=1), 20)
            for domain in range(1, 5)
        ])

    def _end_attempts(self, now: float) -> None:
        for attempt in list(self._attempts):
            if attempt.ends_at <= now:
                self._report(attempt, _CRASHED, now)

    def _report(self, attempt: _Attempt, outcome: routing.AttemptOutcome,
                now: float) -> None:
        self._attempts.remove(attempt)
        step = self._routers[attempt.domain].report(attempt.attempt_id, outcome,
                                                    now)
        if step is not None:
            self._execute(attempt.domain, step, now)

    def _execute(self, domain: int, step: routing.RoutingStep,
                 now: float) -> None:
        if isinstance(step, routing.StartAttempt):
            self._start(domain, step, now)
        elif isinstance(step, routing.ReturnError):
            if not domain:
                self._error = step
                return
            attempt = next(attempt for attempt in self._attempts
                           if attempt.forwarded_id == step.request_id)
            self._report(attempt,
                         routing.AttemptOutcome(step.verdict, False, step.code),
                         now)

    def _start(self, domain: int, step: routing.StartAttempt,
               now: float) -> None:
        if isinstance(step.destination, routing.TargetDestination):
            self.crash_count += 1
            self._attempts.append(
                _Attempt(domain, step.attempt_id, now + self._crash_delay, ""))
            return
        self.forward_count += 1
        if self._lost_peers:
            self._attempts.append(
                _Attempt(domain, step.attempt_id, now + self._crash_delay, ""))
            return
        forwarded_id = f"forwarded-{self.forward_count}"
        self._attempts.append(
            _Attempt(domain, step.attempt_id, float("inf"), forwarded_id))
        peer = int(step.destination.peer)
        self._execute(
            peer, self._routers[peer].admit(
                routing.Request(forwarded_id,
                                "s",
                                now + step.timeout.total_seconds(),
                                is_idempotent=True,
                                is_forwarded=True), now), now)


class CrashBoundTest(unittest.TestCase):
    """Tests the number of targets that one request crashes."""

    def test_crashing_request(self) -> None:
        """Guards against a request that crashes target after target.

        Retries, hedges and forwards must not multiply. A request that is not
        idempotent must crash one target. An idempotent one must still be tried
        more than once.
        """
        for crash_delay in (0.001, 0.5, 4.9):
            for own_target_count in (20, 1, 0):
                for is_idempotent in (True, False):
                    if not is_idempotent and not own_target_count:
                        continue  # The simulation forwards idempotent ones.
                    with self.subTest(crash_delay=crash_delay,
                                      own_target_count=own_target_count,
                                      is_idempotent=is_idempotent):
                        domains = _Domains(crash_delay, own_target_count, False)
                        error = domains.run(is_idempotent)
                        self.assertIs(error.verdict,
                                      errors.Verdict.MAY_HAVE_RUN)
                        if not is_idempotent:
                            self.assertEqual(domains.crash_count, 1)
                            continue
                        self.assertGreaterEqual(domains.crash_count, 2)
                        self.assertLessEqual(domains.crash_count,
                                             MAX_CRASHED_TARGETS)

    def test_lost_peer_leaves_a_retry(self) -> None:
        """Guards against a healthy request that fails with a single peer.

        The request has no target in its own domain.
        """
        domains = _Domains(0.001, 0, True)
        domains.run(True)
        self.assertEqual(domains.forward_count, 2)
