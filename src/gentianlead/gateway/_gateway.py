"""Sends callers' requests as the request router decides; returns responses."""

import asyncio
import contextlib
import datetime
from typing import Any, Callable, Coroutine, Iterator

from gentianlead import control
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead import routing
from gentianlead.gateway import _messages
from gentianlead.gateway import _observer
from gentianlead.gateway import _idempotency_keys
from gentianlead.gateway import _trace_store

MIN_POLL_DELAY_S = 0.001

SendToPeer = Callable[[str, _messages.CallerRequest, datetime.timedelta],
                      Coroutine[Any, Any, ports.HttpResponse]]


class _PendingRequest:
    """A request in the router whose caller still waits for the response.

    Attributes:
        request: The caller's request.
        response_future: Future that is set to the response or the error for the
            caller.
        responses: Responses received so far, by attempt identifier.
        attempt_traces: Traces of the attempts that have ended.
        routing_id: Identifier of the request in the router. It differs from the
            caller's identifier, which need not be unique.
    """

    __slots__ = ("request", "response_future", "responses", "attempt_traces",
                 "routing_id")

    def __init__(self, request: _messages.CallerRequest, routing_id: str,
                 response_future: asyncio.Future[ports.HttpResponse]):
        self.request = request
        self.routing_id = routing_id
        self.response_future = response_future
        self.responses: dict[int, ports.HttpResponse] = {}
        self.attempt_traces: list[_messages.AttemptTrace] = []


class RequestGateway:
    """Serves requests through targets of the own domain and through peers.

    The own domain is the failure domain of this daemon.

    It sends the attempts that the router starts, passes their outcomes to the
    router, and returns the response or error that the router decides on. It
    also calls the router's `poll` when that is due.

    Args:
        router: Decides where and when each attempt is sent.
        target_client: HTTP client for targets.
        send_to_peer: Forwards a request to the peer with a given address within
            a timeout and returns the response.
        key_guard: Claims the idempotency key of a one-time request before it is
            sent, and records the status of its response. It releases the key if
            the request did not run.
        get_configuration: Returns the current configuration of the services.
        vm_inventory: Last known list of VMs, with the addresses of the targets.
        clock: Source of monotonic time.
        random: Source of the prefix of generated identifiers.
        observer: Is called when a request or an attempt ends and when a
            response arrives too late; opens the tracing spans of attempts.

    Attributes:
        traces: Traces of the most recent requests.
    """

    def __init__(self, router: routing.RequestRouter,
                 target_client: ports.TargetClient, send_to_peer: SendToPeer,
                 key_guard: _idempotency_keys.IdempotencyKeyGuard,
                 get_configuration: Callable[[], model.Configuration],
                 vm_inventory: control.VMInventory, clock: ports.Clock,
                 random: ports.RandomSource,
                 observer: _observer.GatewayObserver):
        self.traces = _trace_store.TraceStore()
        self._router = router
        self._target_client = target_client
        self._send_to_peer = send_to_peer
        self._key_guard = key_guard
        self._get_configuration = get_configuration
        self._vm_inventory = vm_inventory
        self._clock = clock
        self._random = random
        self._observer = observer
        self._id_prefix = random.generate_id()
        self._last_id_number = 0
        self._pending_requests: dict[str, _PendingRequest] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._poll_timer: asyncio.TimerHandle | None = None
        self._next_poll_at = float("inf")
        self._no_open_requests = asyncio.Event()
        self._no_open_requests.set()
        self._open_requests = 0
        self._is_draining = False

    @property
    def router(self) -> routing.RequestRouter:
        """The request router, which also handles loans of target slots."""
        return self._router

    @property
    def open_requests(self) -> int:
        """Number of requests whose context of `track_request` is open."""
        return self._open_requests

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Counts a request as open within the context, for `wait_idle`.

        A planned stop waits until no request is open. Enter the context when
        the head of a request arrives, so that the stop also waits for a request
        whose body has not fully arrived.

        Raises:
            RequestError: The daemon is stopping and takes no new requests.
        """
        if self._is_draining:
            raise errors.RequestError(errors.ErrorCode.DRAINING,
                                      "the daemon is stopping")
        self._open_requests += 1
        self._no_open_requests.clear()
        try:
            yield
        finally:
            self._open_requests -= 1
            if not self._open_requests:
                self._no_open_requests.set()

    def generate_unique_id(self) -> str:
        """Returns a new identifier that is unique among all daemons.

        It is used for requests, attempts, claims of keys and loans.
        """
        self._last_id_number += 1
        return f"{self._id_prefix}-{self._last_id_number}"

    async def serve(self,
                    request: _messages.CallerRequest) -> ports.HttpResponse:
        """Serves a request and returns the complete response.

        Call it inside `track_request`. A request that has an idempotency key
        and is not idempotent is sent only after this daemon claimed the key.

        Raises:
            RequestError: The request failed or was refused; its attribute
                `verdict` says whether the request ran, did not, or may have.
        """
        started_at = self._clock.monotonic()
        error = None
        try:
            if request.is_one_time:
                return await self._serve_one_time_request(request, started_at)
            return await self._route(request, started_at)
        except errors.RequestError as refusal:
            error = refusal
            raise
        finally:
            elapsed_s = self._clock.monotonic() - started_at
            self._observer.on_request_ended(
                request, datetime.timedelta(seconds=elapsed_s), error)

    async def _serve_one_time_request(self, request: _messages.CallerRequest,
                                      started_at: float) -> ports.HttpResponse:
        claim_id = self.generate_unique_id()
        try:
            await self._key_guard.claim_key(request, claim_id)
        except errors.RequestError as error:
            if error.code is errors.ErrorCode.LOG_UNAVAILABLE:
                self._spawn_task(self._key_guard.release_key(request, claim_id))
            raise
        try:
            response = await self._route(request, started_at)
        except errors.RequestError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                # The caller may retry at once, so the key should be released
                # before the error is returned. If the log is unavailable, the
                # error is not delayed beyond the deadline of the request.
                release_task = self._spawn_task(
                    self._key_guard.release_key(request, claim_id))
                deadline = started_at + request.timeout.total_seconds()
                remaining_s = deadline - self._clock.monotonic()
                await asyncio.wait((release_task,),
                                   timeout=max(0.0, remaining_s))
            raise
        self._spawn_task(
            self._key_guard.record_response(request, claim_id, response.status))
        return response

    async def _route(self, request: _messages.CallerRequest,
                     started_at: float) -> ports.HttpResponse:
        service = self._get_configuration().services.get(request.service)
        if service is None:
            raise errors.RequestError(errors.ErrorCode.UNKNOWN_SERVICE,
                                      f"unknown service {request.service!r}")
        response_future = asyncio.get_running_loop().create_future()
        pending_request = _PendingRequest(request, self.generate_unique_id(),
                                          response_future)
        permitted_targets = (None if service.targets == (model.ALL_WORKERS,)
                             else frozenset(service.targets))
        routing_request = routing.Request(
            pending_request.routing_id, request.service,
            started_at + request.timeout.total_seconds(),
            datetime.timedelta(milliseconds=service.timeout_ms),
            request.request_class, request.is_idempotent, request.is_forwarded,
            permitted_targets)
        self._pending_requests[pending_request.routing_id] = pending_request
        try:
            self._execute_step(
                self._router.admit(routing_request, self._clock.monotonic()))
            self._poll()
            return await response_future
        finally:
            if not response_future.done() or response_future.cancelled():
                self._router.cancel(pending_request.routing_id)
            self._pending_requests.pop(pending_request.routing_id, None)

    def _poll(self) -> None:
        for step in self._router.poll(self._clock.monotonic()):
            self._execute_step(step)
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        next_poll_at = self._router.get_next_poll_time()
        if next_poll_at is None or next_poll_at >= self._next_poll_at:
            return
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._next_poll_at = next_poll_at
        delay_s = max(MIN_POLL_DELAY_S, next_poll_at - self._clock.monotonic())
        self._poll_timer = asyncio.get_running_loop().call_later(
            delay_s, self._poll_from_timer)

    def _poll_from_timer(self) -> None:
        self._poll_timer = None
        self._next_poll_at = float("inf")
        self._poll()

    def poll(self) -> None:
        """Executes the router's due steps and schedules the next poll.

        The gateway does this itself when steps become due. Call it after the
        targets of the router were updated.
        """
        self._poll()

    def _execute_step(self, step: routing.RoutingStep) -> None:
        pending_request = self._pending_requests.get(step.request_id)
        if isinstance(step, routing.StartAttempt):
            if pending_request is None:
                self._router.report(
                    step.attempt_id,
                    routing.AttemptOutcome(errors.Verdict.DID_NOT_RUN, False),
                    self._clock.monotonic())
                return
            self._spawn_task(self._run_attempt(pending_request, step))
        elif pending_request is None or pending_request.response_future.done():
            return
        elif isinstance(step, routing.ReturnResponse):
            response = pending_request.responses[step.attempt_id]
            self._record_trace(pending_request,
                               f"answered with status {response.status}")
            pending_request.response_future.set_result(response)
        elif isinstance(step, routing.ReturnError):
            self._record_trace(
                pending_request,
                f"refused {step.code.value} ({step.verdict.value}): "
                f"{step.message}")
            pending_request.response_future.set_exception(
                errors.RequestError(step.code, step.message, step.verdict))

    def _record_trace(self, pending_request: _PendingRequest,
                      summary: str) -> None:
        self.traces.add(
            _messages.RequestTrace(pending_request.request.request_id,
                                   pending_request.request.service, summary,
                                   tuple(pending_request.attempt_traces)))

    async def _run_attempt(self, pending_request: _PendingRequest,
                           step: routing.StartAttempt) -> None:
        started_at = self._clock.monotonic()
        response = None
        try:
            response = await self._send_attempt(pending_request, step)
            outcome = routing.AttemptOutcome(errors.Verdict.RAN, response.status
                                             < 500)
            outcome_text = f"status {response.status}"
        except errors.RequestError as error:
            outcome = routing.AttemptOutcome(error.verdict, False, error.code)
            outcome_text = f"{error.code.value}: {error}"
        elapsed_s = self._clock.monotonic() - started_at
        trace = _messages.AttemptTrace(step.kind,
                                       _describe_destination(step.destination),
                                       outcome.verdict,
                                       datetime.timedelta(seconds=elapsed_s),
                                       outcome_text)
        pending_request.attempt_traces.append(trace)
        self._observer.on_attempt_ended(pending_request.request, trace)
        if response is not None:
            if pending_request.response_future.done():
                self._observer.on_late_response(pending_request.request,
                                                response)
            pending_request.responses[step.attempt_id] = response
        next_step = self._router.report(step.attempt_id, outcome,
                                        self._clock.monotonic())
        if next_step is not None:
            self._execute_step(next_step)
        self._poll()

    async def _send_attempt(self, pending_request: _PendingRequest,
                            step: routing.StartAttempt) -> ports.HttpResponse:
        request = pending_request.request
        headers = dict(request.headers)
        with self._observer.start_span(request, step, headers):
            if isinstance(step.destination, routing.PeerDestination):
                return await self._send_to_peer(
                    step.destination.peer, request._replace(headers=headers),
                    step.timeout)
            target_vm = self._vm_inventory.get(step.destination.target)
            if target_vm is None:
                raise errors.RequestError(
                    errors.ErrorCode.NO_TARGET,
                    f"target {step.destination.target!r} is not in the VM list")
            target_request = ports.TargetRequest(request.method, request.path,
                                                 headers, request.body,
                                                 self.generate_unique_id())
            return await self._target_client.send(target_vm.address,
                                                  target_request, step.timeout)

    def _spawn_task(self, coroutine: Coroutine[Any, Any,
                                               None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def start_draining(self) -> None:
        """Makes `track_request` refuse new requests; open ones continue."""
        self._is_draining = True

    async def wait_idle(self, timeout: datetime.timedelta) -> bool:
        """Waits until no request is open; see `track_request`.

        Args:
            timeout: Longest time to wait; open requests continue after it.

        Returns:
            True as soon as no request is open; False if that did not happen
            within the timeout.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._no_open_requests.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Cancels the attempts, the timer and the other tasks of the gateway.

        The router refuses all new requests from then on.
        """
        self._router.start_draining()
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        tasks = list(self._background_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _describe_destination(
        destination: routing.TargetDestination | routing.PeerDestination
) -> str:
    if isinstance(destination, routing.PeerDestination):
        return f"peer {destination.peer}"
    return destination.target
