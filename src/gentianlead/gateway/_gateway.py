"""Drives the request router: attempts, answers, refusals."""

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
from gentianlead.gateway import _once
from gentianlead.gateway import _traces

MIN_POLL_DELAY_S = 0.001

SendToPeer = Callable[[str, _messages.CallerRequest, datetime.timedelta],
                      Coroutine[Any, Any, ports.HttpResponse]]


class _Flight:
    """A request that waits for its final step."""

    __slots__ = ("request", "future", "answers", "attempts", "router_id")

    def __init__(self, request: _messages.CallerRequest, router_id: str,
                 future: asyncio.Future[ports.HttpResponse]):
        self.request = request
        self.router_id = router_id
        self.future = future
        self.answers: dict[int, ports.HttpResponse] = {}
        self.attempts: list[_messages.AttemptTrace] = []


class RequestGateway:
    """Serves requests with the targets of the own domain and with peers.

    Args:
        router: Decisions.
        targets: Client of targets.
        send_to_peer: Forwards a request to a peer by name.
        once: Guard of one-time requests.
        get_configuration: Returns the configuration in force.
        platform: Last known VMs.
        clock: Source of time.
        random: Source of identifiers.
        observer: Told of what happens.
    """

    def __init__(self, router: routing.RequestRouter,
                 targets: ports.TargetClient, send_to_peer: SendToPeer,
                 once: _once.OnceGuard,
                 get_configuration: Callable[[], model.Configuration],
                 platform: control.PlatformView, clock: ports.Clock,
                 random: ports.RandomSource,
                 observer: _observer.GatewayObserver):
        self.traces = _traces.TraceBook()
        self._router = router
        self._targets = targets
        self._send_to_peer = send_to_peer
        self._once = once
        self._get_configuration = get_configuration
        self._platform = platform
        self._clock = clock
        self._random = random
        self._observer = observer
        self._prefix = random.generate_id()
        self._last_id = 0
        self._flights: dict[str, _Flight] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._poll_handle: asyncio.TimerHandle | None = None
        self._poll_at = float("inf")
        self._idle = asyncio.Event()
        self._idle.set()
        self._open = 0
        self._is_draining = False

    @property
    def router(self) -> routing.RequestRouter:
        """The decisions."""
        return self._router

    @property
    def open_requests(self) -> int:
        """Requests in progress, from their arrival on."""
        return self._open

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Keeps a planned stop waiting while a request is in progress.

        It begins when the head of a request arrives, so that a request whose
        body is still on its way is served as well.

        Raises:
            RequestError: The daemon is stopping and takes no new requests.
        """
        if self._is_draining:
            raise errors.RequestError(errors.ErrorCode.DRAINING,
                                      "the daemon is stopping")
        self._open += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    def build_request_id(self) -> str:
        """Returns an identifier that no other request or attempt has."""
        self._last_id += 1
        return f"{self._prefix}-{self._last_id}"

    async def serve(self, request: _messages.CallerRequest) -> ports.HttpResponse:
        """Gets the whole answer to a request; call it inside `hold`.

        Raises:
            RequestError: The request is refused; the verdict says whether it
                may have run.
        """
        started_at = self._clock.monotonic()
        error = None
        try:
            if request.is_one_time:
                return await self._serve_once(request, started_at)
            return await self._route(request, started_at)
        except errors.RequestError as refusal:
            error = refusal
            raise
        finally:
            elapsed = self._clock.monotonic() - started_at
            self._observer.on_request(request,
                                      datetime.timedelta(seconds=elapsed),
                                      error)

    async def _serve_once(self, request: _messages.CallerRequest,
                          started_at: float) -> ports.HttpResponse:
        hold_id = self.build_request_id()
        try:
            await self._once.begin(request, hold_id)
        except errors.RequestError as error:
            if error.code is errors.ErrorCode.LOG_UNAVAILABLE:
                self._spawn(self._once.release(request, hold_id))
            raise
        try:
            answer = await self._route(request, started_at)
        except errors.RequestError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                # The caller may send it again at once, so the key should be
                # free when the refusal arrives. While the log is down the
                # refusal does not wait beyond the deadline.
                task = self._spawn(self._once.release(request, hold_id))
                deadline = started_at + request.timeout.total_seconds()
                remaining = deadline - self._clock.monotonic()
                await asyncio.wait((task,), timeout=max(0.0, remaining))
            raise
        self._spawn(self._once.end(request, hold_id, answer.status))
        return answer

    async def _route(self, request: _messages.CallerRequest,
                     started_at: float) -> ports.HttpResponse:
        service = self._get_configuration().services.get(request.service)
        if service is None:
            raise errors.RequestError(errors.ErrorCode.UNKNOWN_SERVICE,
                                      f"unknown service {request.service!r}")
        future = asyncio.get_running_loop().create_future()
        flight = _Flight(request, self.build_request_id(), future)
        targets = (None if service.targets == (model.ALL_WORKERS,) else
                   frozenset(service.targets))
        routed = routing.Request(
            flight.router_id, request.service,
            started_at + request.timeout.total_seconds(),
            datetime.timedelta(milliseconds=service.timeout_ms),
            request.request_class, request.is_idempotent, request.is_forwarded,
            targets)
        self._flights[flight.router_id] = flight
        try:
            self._drive(self._router.admit(routed, self._clock.monotonic()))
            self._poll()
            return await future
        finally:
            if not future.done() or future.cancelled():
                self._router.cancel(flight.router_id)
            self._flights.pop(flight.router_id, None)

    def _poll(self) -> None:
        for step in self._router.poll(self._clock.monotonic()):
            self._drive(step)
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        next_poll = self._router.get_next_poll()
        if next_poll is None or next_poll >= self._poll_at:
            return
        if self._poll_handle is not None:
            self._poll_handle.cancel()
        self._poll_at = next_poll
        delay = max(MIN_POLL_DELAY_S, next_poll - self._clock.monotonic())
        self._poll_handle = asyncio.get_running_loop().call_later(
            delay, self._poll_on_time)

    def _poll_on_time(self) -> None:
        self._poll_handle = None
        self._poll_at = float("inf")
        self._poll()

    def poll(self) -> None:
        """Takes the steps that are due; call it after targets changed."""
        self._poll()

    def _drive(self, step: routing.Step) -> None:
        flight = self._flights.get(step.request_id)
        if isinstance(step, routing.StartAttempt):
            if flight is None:
                self._router.report(
                    step.attempt_id,
                    routing.Outcome(errors.Verdict.DID_NOT_RUN, False),
                    self._clock.monotonic())
                return
            self._spawn(self._attempt(flight, step))
        elif flight is None or flight.future.done():
            return
        elif isinstance(step, routing.Done):
            answer = flight.answers[step.attempt_id]
            self._note_trace(flight, f"answered with status {answer.status}")
            flight.future.set_result(answer)
        elif isinstance(step, routing.Fail):
            self._note_trace(
                flight, f"refused {step.code.value} ({step.verdict.value}): "
                f"{step.message}")
            flight.future.set_exception(
                errors.RequestError(step.code, step.message, step.verdict))

    def _note_trace(self, flight: _Flight, summary: str) -> None:
        self.traces.add(
            _messages.RequestTrace(flight.request.request_id,
                                   flight.request.service, summary,
                                   tuple(flight.attempts)))

    async def _attempt(self, flight: _Flight,
                       step: routing.StartAttempt) -> None:
        started_at = self._clock.monotonic()
        answer = None
        try:
            answer = await self._send(flight, step)
            outcome = routing.Outcome(errors.Verdict.RAN, answer.status < 500)
            text = f"status {answer.status}"
        except errors.RequestError as error:
            outcome = routing.Outcome(error.verdict, False, error.code)
            text = f"{error.code.value}: {error}"
        elapsed = self._clock.monotonic() - started_at
        trace = _messages.AttemptTrace(step.kind, _get_name(step.destination),
                                       outcome.verdict,
                                       datetime.timedelta(seconds=elapsed),
                                       text)
        flight.attempts.append(trace)
        self._observer.on_attempt(flight.request, trace)
        if answer is not None:
            if flight.future.done():
                self._observer.on_late_answer(flight.request, answer)
            flight.answers[step.attempt_id] = answer
        next_step = self._router.report(step.attempt_id, outcome,
                                        self._clock.monotonic())
        if next_step is not None:
            self._drive(next_step)
        self._poll()

    async def _send(self, flight: _Flight,
                    step: routing.StartAttempt) -> ports.HttpResponse:
        request = flight.request
        headers = dict(request.headers)
        with self._observer.start_span(request, step, headers):
            if isinstance(step.destination, routing.PeerDestination):
                return await self._send_to_peer(
                    step.destination.peer, request._replace(headers=headers),
                    step.timeout)
            vm = self._platform.get(step.destination.target)
            if vm is None:
                raise errors.RequestError(
                    errors.ErrorCode.NO_TARGET,
                    f"target {step.destination.target!r} is not listed")
            attempt = ports.TargetRequest(request.method, request.path, headers,
                                          request.body, self.build_request_id())
            return await self._targets.send(vm.address, attempt, step.timeout)

    def _spawn(self, coroutine: Coroutine[Any, Any,
                                          None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start_draining(self) -> None:
        """Refuses new requests; those in progress go on."""
        self._is_draining = True

    async def wait_idle(self, timeout: datetime.timedelta) -> bool:
        """Waits until all requests are answered.

        Returns:
            Whether that happened within the timeout.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Ends all attempts."""
        self._router.start_draining()
        if self._poll_handle is not None:
            self._poll_handle.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _get_name(
        destination: routing.TargetDestination | routing.PeerDestination
) -> str:
    if isinstance(destination, routing.PeerDestination):
        return f"peer {destination.peer}"
    return destination.target
