"""The request router: queues, starts, retries and ends requests without I/O."""

import datetime
import enum
import heapq
import itertools
from typing import Collection

from gentianlead import errors
from gentianlead import ports
from gentianlead.routing import _counts
from gentianlead.routing import _target_pool
from gentianlead.routing import _limits
from gentianlead.routing import _messages
from gentianlead.routing import _policies
from gentianlead.routing import _queues
from gentianlead.routing import _request_state
from gentianlead.routing import _settings
from gentianlead.routing import _slots
from gentianlead.routing import _forwarding
from gentianlead.routing import _target_state

_OVERLOAD_CODES = frozenset(
    (errors.ErrorCode.OVERLOADED, errors.ErrorCode.TARGET_TIMEOUT))
_MAX_LOAN_IDLE_TIME = datetime.timedelta(seconds=1)


class _TimerKind(enum.Enum):
    """What `RequestRouter.poll` starts when the timer of a request expires."""

    RETRY = "retry"
    HEDGE = "hedge"


class RequestRouter:
    """Decides what happens to each request; the caller does the I/O.

    `now` is always the current monotonic time in seconds. The returned steps
    tell the I/O layer what to do:

    - `StartAttempt`: send the attempt, then call `report` with its outcome.
    - `Wait`: nothing; `poll` or `report` returns the next step later.
    - `ReturnResponse`: pass the response of the attempt to the caller.
    - `ReturnError`: send the error to the caller.

    `ReturnResponse` and `ReturnError` end the request. Attempts that are still
    in flight then are abandoned: the I/O layer drops their responses, but still
    calls `report` (which returns None) at their end, because they occupy their
    slots until then. An attempt that may have run, or whose connection
    the I/O layer closed (`is_aborted`), occupies its slot until its timeout.

    Call `poll` after every `admit` and `report`, and at the time that
    `get_next_poll_time` returns. The package's doc comment has an example.

    Daemons of one domain lend each other target slots. `build_loan_requests`
    and `build_loan_returns` return the messages to send; `lend`,
    `apply_loan_grant` and `apply_loan_return` process received ones.
    """

    def __init__(self,
                 settings: _settings.RouterSettings,
                 random: ports.RandomSource,
                 now: float,
                 policy: _policies.TargetPolicy | None = None):
        """Creates a router without targets.

        Args:
            settings: Settings of the router.
            random: Source of random numbers and identifiers.
            now: Monotonic seconds.
            policy: Policy that chooses targets; `LatencyPolicy` if None.
        """
        self.counts = _counts.RouterCounts()
        self._settings = settings
        self._random = random
        self._targets = _target_pool.TargetPool(
            settings, policy or _policies.LatencyPolicy(random), random, now)
        self._retry_budget = _limits.RetryBudget(settings.retry_budget_fraction)
        self._backoff = _limits.Backoff(settings.initial_backoff,
                                        settings.max_backoff, random)
        self._concurrency = _limits.ConcurrencyLimit()
        self._forwarding = _forwarding.ForwardingPolicy(random,
                                                        settings.forwarding)
        self._queues: _queues.RequestQueues[
            _request_state.RequestState] = _queues.RequestQueues({
                _messages.RequestClass.INTERACTIVE:
                    settings.interactive_queue_limit,
                _messages.RequestClass.BULK:
                    settings.bulk_queue_limit,
            })
        self._active_requests: dict[str, _request_state.RequestState] = {}
        self._attempts_in_flight: dict[int, _request_state.Attempt] = {}
        self._attempts_at_targets = 0
        self._attempt_ids = itertools.count(1)
        self._timers: list[tuple[float, int, _TimerKind,
                                 _request_state.RequestState, int]] = []
        self._timer_ids = itertools.count()
        self._pending_steps: list[_messages.RoutingStep] = []
        self._is_draining = False
        self._last_polled_at = now

    @property
    def active_requests(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._active_requests)

    @property
    def slot_allocator(self) -> _slots.SlotAllocator:
        """Allocator of this daemon's slots at the targets of its domain."""
        return self._targets.allocator

    def update_targets(self, target_specs: Collection[_target_state.TargetSpec],
                       now: float) -> None:
        """Replaces the descriptions of all targets of the own domain."""
        self._targets.set_targets(target_specs, now)
        self._concurrency.set_max_limit(self._targets.get_daemon_slots(now))

    def update_peers(self,
                     statuses: Collection[_forwarding.PeerStatus]) -> None:
        """Replaces the statuses of the connected peers in other domains."""
        self._forwarding.set_peers(statuses)

    def start_draining(self) -> None:
        """Refuses new requests from now on; admitted ones continue."""
        self._is_draining = True

    def admit(self, request: _messages.Request,
              now: float) -> _messages.RoutingStep:
        """Starts, queues or refuses a new request.

        Returns:
            `StartAttempt`, `Wait` if the request is queued, or `ReturnError`.

        Raises:
            ValueError: An active request has the same identifier.
        """
        if request.request_id in self._active_requests:
            raise ValueError(f"request {request.request_id!r} is active; "
                             "give each request an identifier of its own")
        state = _request_state.RequestState(request)
        if self._is_draining:
            return self._refuse(state, errors.ErrorCode.DRAINING,
                                "the daemon is stopping")
        if self._would_miss_deadline(state, 0.0, now):
            return self._refuse(state, errors.ErrorCode.DEADLINE_EXCEEDED,
                                "the deadline is too close")
        self._active_requests[state.request_id] = state
        return self._start_or_enqueue(state, now)

    def report(self, attempt_id: int, outcome: _messages.AttemptOutcome,
               now: float) -> _messages.RoutingStep | None:
        """Processes the outcome of an attempt; ignores a repeated report.

        Returns:
            Next step of the request; None if it ended or the report is ignored.
        """
        attempt = self._attempts_in_flight.pop(attempt_id, None)
        if attempt is None:
            return None
        self._record_end(attempt_id, attempt, outcome, now)
        state = attempt.request_state
        if self._active_requests.get(state.request_id) is not state:
            return None
        state.in_flight_ids.remove(attempt_id)
        state.update_verdict(outcome.verdict)
        if outcome.verdict is errors.Verdict.RAN:
            self._remove_request(state)
            return _messages.ReturnResponse(state.request_id, attempt_id,
                                            tuple(state.in_flight_ids))
        state.error_code = outcome.code or errors.ErrorCode.TARGET_FAILED
        if state.in_flight_ids:
            return _messages.Wait(state.request_id, state.request.deadline)
        return self._decide_retry(state, attempt, outcome, now)

    def poll(self, now: float) -> list[_messages.RoutingStep]:
        """Returns due steps: retries, hedges, starts and errors from queues."""
        self._last_polled_at = now
        self._targets.allocator.process_expirations(now)
        steps, self._pending_steps = self._pending_steps, []
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, state, attempt_id = heapq.heappop(self._timers)
            if self._active_requests.get(state.request_id) is not state:
                continue
            if kind is _TimerKind.RETRY:
                step = self._start_at_target(state, state.next_attempt_kind,
                                             now)
                step = step or self._start_at_peer(state, now)
                if step is None:
                    self._queues.push(state.request, state)
            else:
                step = self._start_hedge(state, attempt_id, now)
            if step is not None:
                steps.append(step)
        if self._queues:
            self._shed_late_requests(now)
            steps.extend(self._start_queued_requests(now))
        steps.extend(self._pending_steps)
        self._pending_steps = []
        return steps

    def get_next_poll_time(self) -> float | None:
        """Returns when to poll next, in monotonic seconds; None if never."""
        poll_times = [self._targets.allocator.get_next_release_time()]
        if self._timers:
            poll_times.append(self._timers[0][0])
        if self._queues:
            poll_times.append(self._queues.get_earliest_deadline())
            poll_times.append(self._last_polled_at + _QUEUE_POLL_INTERVAL_S)
        return min((due_at for due_at in poll_times if due_at is not None),
                   default=None)

    def cancel(self, request_id: str) -> tuple[int, ...]:
        """Ends a request whose caller no longer waits.

        Returns:
            Identifiers of its abandoned attempts; empty if it ended already.
        """
        state = self._active_requests.get(request_id)
        if state is None:
            return ()
        self._remove_request(state)
        return tuple(state.in_flight_ids)

    def get_free_slots(self, now: float) -> int:
        """Returns how many forwarded requests could start here at once."""
        if self._queues or self._targets.is_domain_failing(now):
            return 0
        return max(
            0,
            min(self._concurrency.limit, self._targets.get_usable_slots(now)) -
            self._attempts_at_targets)

    def get_queue_delay(self, now: float) -> datetime.timedelta:
        """Returns a new request's expected wait, assuming `initial_latency`.

        It is 10 s when no target is usable or the domain is failing, so that
        peers do not prefer this daemon because its queue is empty.
        """
        if not self._targets.get_usable_slots(
                now) or self._targets.is_domain_failing(now):
            return _NO_CAPACITY_DELAY
        return datetime.timedelta(
            seconds=self._estimate_wait_s(len(self._queues), "", now))

    def build_loan_requests(self, now: float) -> list[_slots.LoanRequest]:
        """Returns requests to borrow a slot, if callers' requests are queued.

        There is one for each usable target without an open loan. The loans are
        recorded here, so that their duration counts from before the sending.
        """
        loan_requests = []
        if self._queues:
            for name in self._targets.list_usable_targets():
                if not self._targets.allocator.has_open_loan(name):
                    request = _slots.LoanRequest(self._random.generate_id(),
                                                 name, 1)
                    self._targets.allocator.record_loan_request(request, now)
                    loan_requests.append(request)
        return loan_requests

    def build_loan_returns(self, now: float) -> list[_slots.LoanReturn]:
        """Ends borrowed loans idle for 1 s; returns the notices to lenders."""
        return self._targets.allocator.end_idle_loans(now, _MAX_LOAN_IDLE_TIME)

    def lend(self, loan_request: _slots.LoanRequest,
             now: float) -> _slots.LoanGrant:
        """Lends a slot if another one stays free and no request is queued."""
        reserved_slots = _RESERVE_ALL_SLOTS if self._queues else 1
        return self._targets.allocator.lend(loan_request, now, reserved_slots)

    def apply_loan_grant(self, grant: _slots.LoanGrant, now: float) -> None:
        """Applies the lender's reply to a loan request of this daemon."""
        self._targets.apply_loan_grant(grant, now)

    def apply_loan_return(self, loan_return: _slots.LoanReturn) -> None:
        """Ends a loan that this daemon granted and the borrower returned."""
        self._targets.allocator.apply_loan_return(loan_return)

    def _enqueue_or_refuse(self, state: _request_state.RequestState,
                           now: float) -> _messages.RoutingStep:
        request = state.request
        if not self._targets.can_serve(request):
            return self._refuse(state, errors.ErrorCode.NO_TARGET,
                                _NO_TARGET_MESSAGE)
        if self._queues.is_full(request.request_class):
            self._shed_late_requests(now)
        if self._queues.is_full(request.request_class):
            return self._refuse(state, errors.ErrorCode.OVERLOADED,
                                "the queue is full")
        requests_ahead = self._queues.count_ahead(request.request_class)
        wait_s = self._estimate_wait_s(requests_ahead, request.service, now)
        if self._would_miss_deadline(state, wait_s, now):
            return self._refuse(state, errors.ErrorCode.OVERLOADED,
                                "the request would wait beyond its deadline")
        self._queues.push(request, state)
        return _messages.Wait(state.request_id, request.deadline)

    def _decide_retry(self, state: _request_state.RequestState,
                      attempt: _request_state.Attempt,
                      outcome: _messages.AttemptOutcome,
                      now: float) -> _messages.RoutingStep:
        request = state.request
        if (attempt.peer and outcome.verdict is errors.Verdict.DID_NOT_RUN):
            # The peer sent nothing to a target, so the attempt does not count
            # as started. The request starts elsewhere, is queued or fails.
            state.attempts_started -= attempt.max_attempts_at_targets
            if self._targets.can_serve(request) or state.remaining_forwards:
                return self._start_or_enqueue(state, now)
            return self._fail(state, "no peer has a free slot for the request")
        if not outcome.verdict.allows_retry(request.is_idempotent):
            return self._fail(state, "the attempt failed")
        if state.attempts_started >= self._get_max_attempts(request):
            return self._fail(state, "all attempts failed")
        state.next_attempt_kind = _messages.AttemptKind.RETRY
        delay_s = 0.0
        if outcome.verdict is not errors.Verdict.DID_NOT_RUN:
            delay_s = self._backoff.get_delay_s(state.attempts_started)
        if self._would_miss_deadline(state, delay_s, now):
            return self._fail(state, "no time is left for a retry")
        if not self._retry_budget.withdraw():
            return self._fail(state, "the retry budget is used up")
        if not delay_s:
            step = self._start_at_target(state, state.next_attempt_kind, now)
            step = step or self._start_at_peer(state, now)
            if step is not None:
                return step
            delay_s = self._backoff.get_delay_s(state.attempts_started)
        self._push_timer(now + delay_s, _TimerKind.RETRY, state, 0)
        return _messages.Wait(state.request_id, now + delay_s)

    def _get_max_attempts(self, request: _messages.Request) -> int:
        if request.is_forwarded:
            return min(self._settings.max_attempts,
                       _request_state.MAX_ATTEMPTS_OF_FORWARDED)
        return self._settings.max_attempts

    def _start_or_enqueue(self, state: _request_state.RequestState,
                          now: float) -> _messages.RoutingStep:
        step: _messages.StartAttempt | None = None
        if not self._queues.count_ahead(state.request.request_class):
            step = self._start_at_target(state, state.next_attempt_kind, now)
        return (step or self._start_at_peer(state, now) or
                self._enqueue_or_refuse(state, now))

    def _avoids_own_domain(self, state: _request_state.RequestState,
                           now: float) -> bool:
        """Returns whether to forward a request because the own domain fails.

        False for a probe and when no peer is available or no forward is left.
        """
        return (state.remaining_forwards > 0 and
                self._targets.is_domain_failing(now) and
                self._forwarding.has_available_peer(now) and
                not self._targets.try_domain_probe(state.request, now))

    def _start_at_target(self, state: _request_state.RequestState,
                         kind: _messages.AttemptKind,
                         now: float) -> _messages.StartAttempt | None:
        request = state.request
        timeout = min(request.attempt_timeout.total_seconds(),
                      request.deadline - now)
        self._concurrency.set_max_limit(self._targets.get_daemon_slots(now))
        is_limited = (self._settings.is_concurrency_limit_enabled and
                      self._attempts_at_targets >= self._concurrency.limit)
        if is_limited or timeout <= 0 or self._avoids_own_domain(state, now):
            return None
        assignment = self._targets.assign_target(request, state.tried_targets,
                                                 now, now + timeout)
        if assignment is None:
            return None
        self._attempts_at_targets += 1
        state.tried_targets.append(assignment.target)
        attempt = _request_state.Attempt(state, kind, assignment, "",
                                         now + timeout)
        step = self._register_attempt(
            state, attempt, _messages.TargetDestination(assignment.target), now)
        self._targets.record_start(assignment.target, step.attempt_id, now)
        return step

    def _start_at_peer(self, state: _request_state.RequestState,
                       now: float) -> _messages.StartAttempt | None:
        if not state.remaining_forwards:
            return None
        request = state.request
        own_queue_delay_s = None
        if self._targets.can_serve(
                request) and not self._targets.is_domain_failing(now):
            own_queue_delay_s = self._estimate_wait_s(
                self._queues.count_ahead(request.request_class),
                request.service, now)
        peer = self._forwarding.choose_peer(own_queue_delay_s, now)
        if peer is None:
            return None
        latest_end = request.deadline - self._forwarding.get_one_way_delay_s(
            peer)
        if latest_end <= now:
            return None
        self.counts.forwarded += 1
        state.remaining_forwards -= 1
        attempt = _request_state.Attempt(state, state.next_attempt_kind, None,
                                         peer, latest_end)
        return self._register_attempt(state, attempt,
                                      _messages.PeerDestination(peer), now)

    def _start_hedge(self, state: _request_state.RequestState, attempt_id: int,
                     now: float) -> _messages.StartAttempt | None:
        if (attempt_id not in state.in_flight_ids or
                len(state.in_flight_ids) > 1 or self._queues or
                state.attempts_started >= self._get_max_attempts(
                    state.request)):
            return None
        if self._would_miss_deadline(state, 0.0, now):
            return None
        if not self._retry_budget.withdraw(is_hedge=True):
            return None
        step = self._start_at_target(state, _messages.AttemptKind.HEDGE, now)
        if step is None:
            self._retry_budget.refund()
        return step

    def _register_attempt(self, state: _request_state.RequestState,
                          attempt: _request_state.Attempt,
                          destination: (_messages.TargetDestination |
                                        _messages.PeerDestination),
                          now: float) -> _messages.StartAttempt:
        attempt_id = next(self._attempt_ids)
        self._attempts_in_flight[attempt_id] = attempt
        state.in_flight_ids.append(attempt_id)
        state.attempts_started += attempt.max_attempts_at_targets
        if attempt.kind is _messages.AttemptKind.RETRY:
            self.counts.retries += 1
        elif attempt.kind is _messages.AttemptKind.HEDGE:
            self.counts.hedges += 1
        elif not (state.has_funded_retry_budget or state.request.is_forwarded):
            state.has_funded_retry_budget = True
            self.counts.first_attempts += 1
            self._retry_budget.deposit()
        if (self._settings.is_hedging_enabled and
                state.request.is_idempotent and not attempt.peer):
            delay_s = self._targets.get_latency(
                state.request.service).quantile_s
            self._push_timer(now + delay_s, _TimerKind.HEDGE, state, attempt_id)
        return _messages.StartAttempt(
            state.request_id, attempt_id, attempt.kind, destination,
            datetime.timedelta(seconds=attempt.latest_end - now))

    def _record_end(self, attempt_id: int, attempt: _request_state.Attempt,
                    outcome: _messages.AttemptOutcome, now: float) -> None:
        if attempt.assignment is None:
            if outcome.verdict is not errors.Verdict.RAN:
                self._forwarding.record_failure(attempt.peer, outcome, now)
            return
        self._attempts_at_targets -= 1
        occupied_until = None
        if (outcome.verdict is errors.Verdict.MAY_HAVE_RUN or
                outcome.is_aborted):
            occupied_until = attempt.latest_end
        target = attempt.assignment.target
        self._targets.allocator.release(attempt.assignment.slot, now,
                                        occupied_until)
        self._targets.record_end(attempt.request_state.request, target,
                                 attempt_id, outcome, now)
        if not outcome.is_aborted:
            self._concurrency.record_attempt(target, outcome.code
                                             in _OVERLOAD_CODES, now)

    def _start_queued_requests(self, now: float) -> list[_messages.RoutingStep]:
        """Starts, forwards or refuses queued requests, in order of the queues.

        After a request that finds no free slot, those with the same permitted
        targets are skipped; if it may use all targets, all later ones are.
        """
        removals: list[tuple[_request_state.RequestState,
                             _messages.StartAttempt | None]] = []
        blocked_target_sets: set[frozenset[str] | None] = set()
        for state in self._queues:
            targets = state.request.targets
            if targets in blocked_target_sets:
                continue
            step = self._start_at_target(state, state.next_attempt_kind, now)
            if step is not None:
                removals.append((state, step))
            elif (not self._targets.can_serve(state.request) or
                  self._avoids_own_domain(state, now)):
                removals.append((state, self._start_at_peer(state, now)))
            else:
                blocked_target_sets.add(targets)
                if targets is None:
                    break
        for state, _ in removals:
            self._queues.remove(state.request_id)
        return [
            step or
            self._refuse(state, errors.ErrorCode.NO_TARGET, _NO_TARGET_MESSAGE)
            for state, step in removals
        ]

    def _shed_late_requests(self, now: float) -> None:
        shed_states = self._queues.shed_late_requests(
            now, self._estimate_service_time_s, lambda state: state.request_id)
        for state in shed_states:
            state.error_code = errors.ErrorCode.DEADLINE_EXCEEDED
            self._pending_steps.append(
                self._fail(state, "its deadline came too close in the queue"))

    def _estimate_service_time_s(self,
                                 state: _request_state.RequestState) -> float:
        if not self._settings.is_shedding_enabled:
            return 0.0
        return self._targets.get_latency(state.request.service).mean_s

    def _would_miss_deadline(self, state: _request_state.RequestState,
                             wait_s: float, now: float) -> bool:
        if not self._settings.is_shedding_enabled:
            return now >= state.request.deadline
        return now + wait_s + self._estimate_service_time_s(
            state) >= state.request.deadline

    def _estimate_wait_s(self, requests_ahead: int, service: str,
                         now: float) -> float:
        """Returns the expected wait of a request in the queue, in seconds."""
        usable_slots = max(1, self._targets.get_usable_slots(now))
        if not requests_ahead and self._attempts_at_targets < usable_slots:
            return 0.0
        return (requests_ahead +
                1) * self._targets.get_latency(service).mean_s / usable_slots

    def _push_timer(self, due_at: float, kind: _TimerKind,
                    state: _request_state.RequestState,
                    attempt_id: int) -> None:
        heapq.heappush(self._timers,
                       (due_at, next(self._timer_ids), kind, state, attempt_id))

    def _refuse(self, state: _request_state.RequestState,
                code: errors.ErrorCode, message: str) -> _messages.ReturnError:
        if not state.attempts_started:
            self.counts.refused += 1
        state.error_code = code
        return self._fail(state, message)

    def _fail(self, state: _request_state.RequestState,
              message: str) -> _messages.ReturnError:
        self._remove_request(state)
        return _messages.ReturnError(state.request_id, state.error_code,
                                     state.verdict, message)

    def _remove_request(self, state: _request_state.RequestState) -> None:
        if self._active_requests.pop(state.request_id, None) is not None:
            self._queues.remove(state.request_id)


_RESERVE_ALL_SLOTS = 1_000_000
_NO_CAPACITY_DELAY = datetime.timedelta(seconds=10)
_QUEUE_POLL_INTERVAL_S = 0.02
_NO_TARGET_MESSAGE = "no target and no peer can serve the request"
