"""The request router: every decision on a request, without any I/O."""

import datetime
import enum
import heapq
import itertools
from typing import Collection

from gentianlead import errors
from gentianlead import ports
from gentianlead.routing import _book
from gentianlead.routing import _limits
from gentianlead.routing import _messages
from gentianlead.routing import _policies
from gentianlead.routing import _queues
from gentianlead.routing import _settings
from gentianlead.routing import _shares
from gentianlead.routing import _spill
from gentianlead.routing import _targets

_VERDICT_ORDER = (errors.Verdict.DID_NOT_RUN, errors.Verdict.MAY_HAVE_RUN,
                  errors.Verdict.RAN)
_OVERLOAD_CODES = frozenset(
    (errors.ErrorCode.OVERLOADED, errors.ErrorCode.TARGET_TIMEOUT))
_LOAN_IDLE = datetime.timedelta(seconds=1)


class _TimerKind(enum.Enum):
    RETRY = "retry"
    HEDGE = "hedge"


class _Live:
    """A request that has no final step yet."""

    def __init__(self, request: _messages.Request):
        self.request = request
        self.verdict = errors.Verdict.DID_NOT_RUN
        self.code = errors.ErrorCode.DEADLINE_EXCEEDED
        self.attempts: list[int] = []
        self.tried: list[str] = []
        self.started = 0
        self.next_kind = _messages.AttemptKind.FIRST
        self.has_deposited = False
        self.forwards_left = 0 if request.is_forwarded else _MOST_FORWARDS

    @property
    def key(self) -> str:
        """Identity of the request."""
        return self.request.request_id

    def note_verdict(self, verdict: errors.Verdict) -> None:
        """Keeps the strongest verdict of all attempts."""
        if _VERDICT_ORDER.index(verdict) > _VERDICT_ORDER.index(self.verdict):
            self.verdict = verdict


class _Attempt:
    """An attempt in flight."""

    def __init__(self, live: _Live, kind: _messages.AttemptKind,
                 placement: _book.Placement | None, peer: str, ends_by: float):
        self.live = live
        self.kind = kind
        self.placement = placement
        self.peer = peer
        self.ends_by = ends_by


class RouterCounts:
    """Totals since the start, for metrics.

    Attributes:
        first_attempts: Requests with at least one attempt, forwarded ones of
            peers not included.
        retries: Retries.
        hedges: Hedges.
        spills: Requests forwarded to peers.
        refused: Requests refused before any attempt.
    """

    def __init__(self) -> None:
        self.first_attempts = 0
        self.retries = 0
        self.hedges = 0
        self.spills = 0
        self.refused = 0


class RequestRouter:
    """Decides on requests step by step; the caller does the I/O.

    Each call takes the reading of the monotonic clock and returns steps. The
    I/O layer does what a step says:

    - `StartAttempt`: send the attempt, then call `report` with its outcome.
    - `Wait`: nothing; `poll` returns the next step of the request.
    - `Done`: pass the answer of the attempt to the caller.
    - `Fail`: answer the caller with the error.

    `Done` and `Fail` are final. Attempts that are still in flight then are
    abandoned: the I/O layer drops their answers, but still reports their end,
    because their slots are in use until then. `report` returns None for them.
    An attempt whose connection the I/O layer closes itself is reported with
    `Outcome.is_cut_off`; its slot stays in use until its timeout.

    `poll` is called after every `admit` and `report`, and at the time that
    `get_next_poll` returns. Example::

        router = routing.RequestRouter(routing.RouterSettings(seat=0, seats=3),
                                       random_source, clock.monotonic())
        router.update_targets([routing.TargetSpec("worker-1")],
                              clock.monotonic())
        router.update_peers([])         # Peers in other domains.

        def drive(step):
            if isinstance(step, routing.StartAttempt):
                spawn(send(step))       # Calls on_outcome when it ends.
            elif isinstance(step, routing.Done):
                answer(step.request_id, answers[step.attempt_id])
            elif isinstance(step, routing.Fail):
                refuse(step.request_id, step.code, step.verdict)

        def on_request(request):
            drive(router.admit(request, clock.monotonic()))
            poll()

        def on_outcome(attempt_id, outcome):
            step = router.report(attempt_id, outcome, clock.monotonic())
            if step is not None:
                drive(step)
            poll()

        def poll():                     # Also at router.get_next_poll().
            for step in router.poll(clock.monotonic()):
                drive(step)

    Loans: `plan_asks` returns what to ask peers of the own domain for;
    `lend`, `note_grant`, `plan_returns` and `take_back` handle the messages.
    """

    def __init__(self,
                 settings: _settings.RouterSettings,
                 random: ports.RandomSource,
                 now: float,
                 policy: _policies.TargetPolicy | None = None):
        """Creates a router without targets.

        Args:
            settings: Settings of the daemon.
            random: Source of random choices.
            now: Monotonic seconds.
            policy: Choice of targets; the current policy by default.
        """
        self.counts = RouterCounts()
        self._settings = settings
        self._random = random
        self._book = _book.TargetBook(settings, policy or
                                      _policies.LatencyPolicy(random), random,
                                      now)
        self._budget = _limits.RetryBudget(settings.retry_fraction)
        self._backoff = _limits.Backoff(settings.first_backoff,
                                        settings.longest_backoff, random)
        self._limit = _limits.ConcurrencyLimit()
        self._spill = _spill.SpillPolicy(random, settings.spill)
        self._queues: _queues.ClassQueues[_Live] = _queues.ClassQueues({
            _messages.RequestClass.INTERACTIVE: settings.interactive_queue,
            _messages.RequestClass.BULK: settings.bulk_queue,
        })
        self._live: dict[str, _Live] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._target_attempts = 0
        self._attempt_ids = itertools.count(1)
        self._timers: list[tuple[float, int, _TimerKind, _Live, int]] = []
        self._timer_ids = itertools.count()
        self._ready: list[_messages.Step] = []
        self._is_draining = False
        self._polled_at = now

    @property
    def live_requests(self) -> int:
        """Number of requests without a final step."""
        return len(self._live)

    @property
    def shares(self) -> _shares.SlotShares:
        """The books of slots."""
        return self._book.shares

    def update_targets(self, specs: Collection[_targets.TargetSpec],
                       now: float) -> None:
        """Replaces the list of targets of the own domain."""
        self._book.update(specs, now)
        self._limit.set_largest(self._book.get_slots(now))

    def update_peers(self, views: Collection[_spill.PeerView]) -> None:
        """Replaces the peers of other domains that are connected."""
        self._spill.set_peers(views)

    def start_draining(self) -> None:
        """Refuses new requests; those admitted before go on."""
        self._is_draining = True

    def admit(self, request: _messages.Request, now: float) -> _messages.Step:
        """Admits a request.

        Returns:
            `StartAttempt`, `Wait` when it is queued, or `Fail`.

        Raises:
            ValueError: Another live request has the same identity.
        """
        if request.request_id in self._live:
            raise ValueError(f"request {request.request_id!r} is live already; "
                             "give each request an identity of its own")
        live = _Live(request)
        if self._is_draining:
            return self._refuse(live, errors.ErrorCode.DRAINING,
                                "the daemon is stopping")
        if self._needs_more_time(live, 0.0, now):
            return self._refuse(live, errors.ErrorCode.DEADLINE_EXCEEDED,
                                "the deadline is too close to serve it")
        self._live[live.key] = live
        return self._start_or_wait(live, now)

    def report(self, attempt_id: int, outcome: _messages.Outcome,
               now: float) -> _messages.Step | None:
        """Notes the end of an attempt.

        Returns:
            The next step of the request; None when it is over already.
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self._note_end(attempt_id, attempt, outcome, now)
        live = attempt.live
        if self._live.get(live.key) is not live:
            return None
        live.attempts.remove(attempt_id)
        live.note_verdict(outcome.verdict)
        if outcome.verdict is errors.Verdict.RAN:
            self._end(live)
            return _messages.Done(live.key, attempt_id, tuple(live.attempts))
        live.code = outcome.code or errors.ErrorCode.TARGET_FAILED
        if live.attempts:
            return _messages.Wait(live.key, live.request.deadline)
        return self._decide_retry(live, attempt, outcome, now)

    def poll(self, now: float) -> list[_messages.Step]:
        """Returns the steps that are due by now."""
        self._polled_at = now
        self._book.shares.expire(now)
        steps, self._ready = self._ready, []
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, live, attempt_id = heapq.heappop(self._timers)
            if self._live.get(live.key) is not live:
                continue
            if kind is _TimerKind.RETRY:
                step = self._start_own(live, live.next_kind, now)
                step = step or self._start_spill(live, now)
                if step is None:
                    self._queues.push(live.request, live)
            else:
                step = self._start_hedge(live, attempt_id, now)
            if step is not None:
                steps.append(step)
        if self._queues:
            self._shed(now)
            steps.extend(self._dispatch(now))
        steps.extend(self._ready)
        self._ready = []
        return steps

    def get_next_poll(self) -> float | None:
        """Returns the monotonic seconds of the next poll that is needed."""
        times = [self._book.shares.get_next_release()]
        if self._timers:
            times.append(self._timers[0][0])
        if self._queues:
            times.append(self._queues.get_first_deadline())
            times.append(self._polled_at + _QUEUE_POLL_INTERVAL_S)
        return min((time for time in times if time is not None), default=None)

    def cancel(self, request_id: str) -> tuple[int, ...]:
        """Forgets a request whose caller has gone.

        Returns:
            Its attempts in flight, which are abandoned.
        """
        live = self._live.get(request_id)
        if live is None:
            return ()
        self._end(live)
        return tuple(live.attempts)

    def get_free_slots(self, now: float) -> int:
        """Returns the free slots, for the status that peers are told."""
        if self._queues or self._book.is_failing(now):
            return 0
        return max(
            0,
            min(self._limit.limit, self._book.get_capacity(now)) -
            self._target_attempts)

    def get_queue_delay(self, now: float) -> datetime.timedelta:
        """Returns the time that a new request waits here.

        A daemon without usable targets reports a long time, so that no peer
        prefers it for its empty queue.
        """
        if not self._book.get_capacity(now) or self._book.is_failing(now):
            return _NO_CAPACITY_DELAY
        return datetime.timedelta(
            seconds=self._estimate_wait(len(self._queues), "", now))

    def plan_asks(self, now: float) -> list[_shares.LoanAsk]:
        """Returns asks for slots while requests wait; send each to a peer.

        The loans are entered in the book before they are returned, so that
        their time counts from before the asks are sent.
        """
        asks = []
        if self._queues:
            for name in self._book.list_usable_names():
                if not self._book.shares.has_asked(name):
                    ask = _shares.LoanAsk(self._random.generate_id(), name, 1)
                    self._book.shares.note_ask(ask, now)
                    asks.append(ask)
        return asks

    def plan_returns(self, now: float) -> list[_shares.LoanReturn]:
        """Returns the loans to give back because they are idle."""
        return self._book.shares.collect_returns(now, _LOAN_IDLE)

    def lend(self, ask: _shares.LoanAsk, now: float) -> _shares.LoanGrant:
        """Answers the ask of a peer; lends nothing while requests wait."""
        reserve = _NEVER if self._queues else 1
        return self._book.shares.lend(ask, now, reserve)

    def note_grant(self, grant: _shares.LoanGrant, now: float) -> None:
        """Enters the answer to an ask."""
        self._book.note_grant(grant, now)

    def take_back(self, message: _shares.LoanReturn) -> None:
        """Ends a loan that a peer returned."""
        self._book.shares.take_back(message)

    def _enqueue(self, live: _Live, now: float) -> _messages.Step:
        request = live.request
        if not self._book.has_usable(request):
            return self._refuse(live, errors.ErrorCode.NO_TARGET, _NO_TARGET)
        if self._queues.is_full(request.request_class):
            self._shed(now)
        if self._queues.is_full(request.request_class):
            return self._refuse(live, errors.ErrorCode.OVERLOADED,
                                "the queue is full")
        waiting = self._queues.get_length_before(request.request_class)
        wait = self._estimate_wait(waiting, request.service, now)
        if self._needs_more_time(live, wait, now):
            return self._refuse(live, errors.ErrorCode.OVERLOADED,
                                "it would wait beyond its deadline")
        self._queues.push(request, live)
        return _messages.Wait(live.key, request.deadline)

    def _decide_retry(self, live: _Live, attempt: _Attempt,
                      outcome: _messages.Outcome, now: float) -> _messages.Step:
        request = live.request
        if (attempt.peer and outcome.verdict is errors.Verdict.DID_NOT_RUN):
            # The peer had no room and sent nothing to a target, so that the
            # request is still before its first attempt.
            live.started -= 1
            if self._book.has_usable(request) or live.forwards_left:
                return self._start_or_wait(live, now)
            return self._fail(live, "no peer has room for it")
        if not outcome.verdict.allows_retry(request.is_idempotent):
            return self._fail(live, "the attempt failed")
        if live.started >= self._settings.most_attempts:
            return self._fail(live, "all attempts failed")
        live.next_kind = _messages.AttemptKind.RETRY
        delay = 0.0
        if outcome.verdict is not errors.Verdict.DID_NOT_RUN:
            delay = self._backoff.get_delay(live.started)
        if self._needs_more_time(live, delay, now):
            return self._fail(live, "no time is left for a retry")
        if not self._budget.withdraw():
            return self._fail(live, "the retry budget is used up")
        if not delay:
            step = self._start_own(live, live.next_kind, now)
            step = step or self._start_spill(live, now)
            if step is not None:
                return step
            delay = self._backoff.get_delay(live.started)
        self._push_timer(now + delay, _TimerKind.RETRY, live, 0)
        return _messages.Wait(live.key, now + delay)

    def _start_or_wait(self, live: _Live, now: float) -> _messages.Step:
        step: _messages.StartAttempt | None = None
        if not self._queues.get_length_before(live.request.request_class):
            step = self._start_own(live, live.next_kind, now)
        return (step or self._start_spill(live, now) or
                self._enqueue(live, now))

    def _avoids_own_domain(self, live: _Live, now: float) -> bool:
        """Returns whether a request leaves a failing domain alone."""
        return (live.forwards_left > 0 and self._book.is_failing(now) and
                self._spill.has_peers(now) and
                not self._book.take_domain_probe(live.request, now))

    def _start_own(self, live: _Live, kind: _messages.AttemptKind,
                   now: float) -> _messages.StartAttempt | None:
        request = live.request
        timeout = min(request.attempt_timeout.total_seconds(),
                      request.deadline - now)
        self._limit.set_largest(self._book.get_slots(now))
        is_limited = (self._settings.is_limiting and
                      self._target_attempts >= self._limit.limit)
        if is_limited or timeout <= 0 or self._avoids_own_domain(live, now):
            return None
        placement = self._book.acquire(request, live.tried, now, now + timeout)
        if placement is None:
            return None
        self._target_attempts += 1
        live.tried.append(placement.target)
        attempt = _Attempt(live, kind, placement, "", now + timeout)
        step = self._start(live, attempt,
                           _messages.TargetDestination(placement.target), now)
        self._book.note_start(placement.target, step.attempt_id, now)
        return step

    def _start_spill(self, live: _Live,
                     now: float) -> _messages.StartAttempt | None:
        if not live.forwards_left:
            return None
        request = live.request
        own_wait = None
        if self._book.has_usable(request) and not self._book.is_failing(now):
            own_wait = self._estimate_wait(
                self._queues.get_length_before(request.request_class),
                request.service, now)
        peer = self._spill.choose(own_wait, now)
        if peer is None:
            return None
        ends_by = request.deadline - self._spill.get_delay(peer)
        if ends_by <= now:
            return None
        self.counts.spills += 1
        live.forwards_left -= 1
        attempt = _Attempt(live, live.next_kind, None, peer, ends_by)
        return self._start(live, attempt, _messages.PeerDestination(peer), now)

    def _start_hedge(self, live: _Live, attempt_id: int,
                     now: float) -> _messages.StartAttempt | None:
        if (attempt_id not in live.attempts or len(live.attempts) > 1 or
                self._queues or live.started >= self._settings.most_attempts):
            return None
        if self._needs_more_time(live, 0.0, now):
            return None
        if not self._budget.withdraw(is_hedge=True):
            return None
        step = self._start_own(live, _messages.AttemptKind.HEDGE, now)
        if step is None:
            self._budget.refund()
        return step

    def _start(self, live: _Live, attempt: _Attempt,
               destination: (_messages.TargetDestination |
                             _messages.PeerDestination),
               now: float) -> _messages.StartAttempt:
        attempt_id = next(self._attempt_ids)
        self._attempts[attempt_id] = attempt
        live.attempts.append(attempt_id)
        live.started += 1
        if attempt.kind is _messages.AttemptKind.RETRY:
            self.counts.retries += 1
        elif attempt.kind is _messages.AttemptKind.HEDGE:
            self.counts.hedges += 1
        elif not (live.has_deposited or live.request.is_forwarded):
            live.has_deposited = True
            self.counts.first_attempts += 1
            self._budget.deposit()
        if (self._settings.is_hedging and live.request.is_idempotent and
                not attempt.peer):
            delay = self._book.get_estimate(live.request.service).quantile
            self._push_timer(now + delay, _TimerKind.HEDGE, live, attempt_id)
        return _messages.StartAttempt(
            live.key, attempt_id, attempt.kind, destination,
            datetime.timedelta(seconds=attempt.ends_by - now))

    def _note_end(self, attempt_id: int, attempt: _Attempt,
                  outcome: _messages.Outcome, now: float) -> None:
        if attempt.placement is None:
            if outcome.verdict is not errors.Verdict.RAN:
                self._spill.note_failure(attempt.peer, outcome, now)
            return
        self._target_attempts -= 1
        hold_until = None
        if (outcome.verdict is errors.Verdict.MAY_HAVE_RUN or
                outcome.is_cut_off):
            hold_until = attempt.ends_by
        target = attempt.placement.target
        self._book.shares.release(attempt.placement.ticket, now, hold_until)
        self._book.note_end(attempt.live.request, target, attempt_id, outcome,
                            now)
        if not outcome.is_cut_off:
            self._limit.note(target, outcome.code in _OVERLOAD_CODES, now)

    def _dispatch(self, now: float) -> list[_messages.Step]:
        """Starts waiting requests in order.

        When no target of one set of targets has a slot, other requests for the
        same set are passed over.
        """
        started: list[tuple[_Live, _messages.StartAttempt | None]] = []
        blocked: set[frozenset[str] | None] = set()
        for live in self._queues:
            targets = live.request.targets
            if targets in blocked:
                continue
            step = self._start_own(live, live.next_kind, now)
            if step is not None:
                started.append((live, step))
            elif (not self._book.has_usable(live.request) or
                  self._avoids_own_domain(live, now)):
                started.append((live, self._start_spill(live, now)))
            else:
                blocked.add(targets)
                if targets is None:
                    break
        for live, _ in started:
            self._queues.remove(live.key)
        return [
            step or self._refuse(live, errors.ErrorCode.NO_TARGET, _NO_TARGET)
            for live, step in started
        ]

    def _shed(self, now: float) -> None:
        shed = self._queues.shed_late(now, self._get_needed_time,
                                      lambda live: live.key)
        for live in shed:
            live.code = errors.ErrorCode.DEADLINE_EXCEEDED
            self._ready.append(
                self._fail(live, "it waited until its deadline was too close"))

    def _get_needed_time(self, live: _Live) -> float:
        if not self._settings.is_shedding:
            return 0.0
        return self._book.get_estimate(live.request.service).mean

    def _needs_more_time(self, live: _Live, wait: float, now: float) -> bool:
        if not self._settings.is_shedding:
            return now >= live.request.deadline
        return now + wait + self._get_needed_time(live) >= live.request.deadline

    def _estimate_wait(self, waiting: int, service: str, now: float) -> float:
        """Returns the seconds that a request behind `waiting` others waits."""
        slots = max(1, self._book.get_capacity(now))
        if not waiting and self._target_attempts < slots:
            return 0.0
        return (waiting + 1) * self._book.get_estimate(service).mean / slots

    def _push_timer(self, time: float, kind: _TimerKind, live: _Live,
                    attempt_id: int) -> None:
        heapq.heappush(self._timers,
                       (time, next(self._timer_ids), kind, live, attempt_id))

    def _refuse(self, live: _Live, code: errors.ErrorCode,
                message: str) -> _messages.Fail:
        if not live.started:
            self.counts.refused += 1
        live.code = code
        return self._fail(live, message)

    def _fail(self, live: _Live, message: str) -> _messages.Fail:
        self._end(live)
        return _messages.Fail(live.key, live.code, live.verdict, message)

    def _end(self, live: _Live) -> None:
        if self._live.pop(live.key, None) is not None:
            self._queues.remove(live.key)


_NEVER = 1_000_000
_NO_CAPACITY_DELAY = datetime.timedelta(seconds=10)
_MOST_FORWARDS = 2
_QUEUE_POLL_INTERVAL_S = 0.02
_NO_TARGET = "no target and no peer can serve it"
