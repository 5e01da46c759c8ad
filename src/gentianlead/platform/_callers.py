"""HTTP server for callers, readiness checks and metrics."""

import datetime
import json
import math
from typing import Awaitable, Callable

from aiohttp import web

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.platform import _jobs

DEADLINE_HEADER = "Gentianlead-Deadline-Ms"

DEFAULT_DEADLINE = datetime.timedelta(seconds=3)
"""Time that a request may take if it does not have the deadline header."""

RESPONSE_MARGIN = datetime.timedelta(milliseconds=200)
"""Part of a request's time that is reserved for sending the response."""

MIN_DEADLINE = datetime.timedelta(milliseconds=100)
"""Minimum time that a request gets, even if its header states less."""

CONFIGURATION_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Delay in the header Retry-After while the daemon has no configuration yet."""

JOBS_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Delay in the header Retry-After while the daemon cannot read the jobs."""

MAX_READ_BODY_BYTES = 1 << 20
"""Maximum size of a request body that the server reads. The limit of the
configuration is checked after the body was read."""

CLOSE_TIMEOUT_SECONDS = 2.0
"""Maximum time at a stop for requests in progress to complete, in seconds."""

RequestObserver = Callable[[str, int, float], None]
"""Receives the method, the response status and the duration in seconds of each
request."""


class CallerServer:
    """Serves the platform's HTTP interface for jobs, readiness and metrics.

    Callers submit, read and cancel jobs; the job service carries this out.

    Example:
        >>> server = CallerServer(job_service, clock, observe_request,
        ...                       render_metrics)
        >>> await server.start("10.1.0.13:8161", "10.1.0.13:8167", "")
    """

    def __init__(self, job_service: ports.JobService, clock: ports.Clock,
                 observe_request: RequestObserver,
                 render_metrics: Callable[[], bytes]):
        self._job_service = job_service
        self._clock = clock
        self._observe_request = observe_request
        self._render_metrics = render_metrics
        self._app_runners: list[web.AppRunner] = []

    async def start(self, caller_address: str, ready_address: str,
                    metrics_address: str) -> list[str]:
        """Starts listening at all addresses.

        Args:
            caller_address: `host:port` for callers.
            ready_address: `host:port` for readiness checks.
            metrics_address: `host:port` for metrics; empty to serve none.

        Returns:
            The bound addresses, in the order of the arguments.

        Raises:
            OSError: An address cannot be bound.
        """
        addresses = [
            await self._listen(caller_address, self._serve_caller), await
            self._listen(ready_address, self._serve_ready)
        ]
        if metrics_address:
            addresses.append(await self._listen(metrics_address,
                                                self._serve_metrics))
        return addresses

    async def _listen(
            self, address: str,
            handler: Callable[[web.Request], Awaitable[web.Response]]) -> str:
        app = web.Application(client_max_size=MAX_READ_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(app,
                               access_log=None,
                               handle_signals=False,
                               keepalive_timeout=75,
                               shutdown_timeout=CLOSE_TIMEOUT_SECONDS)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=512).start()
        self._app_runners.append(runner)
        bound_host, bound_port = runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def close(self) -> None:
        """Stops listening and waits for requests in progress."""
        for runner in self._app_runners:
            await runner.cleanup()
        self._app_runners.clear()

    async def _serve_ready(self, request: web.Request) -> web.Response:
        del request
        return web.Response(status=200 if self._job_service.is_ready() else 503)

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.Response(body=self._render_metrics(),
                            content_type="text/plain")

    async def _serve_caller(self, request: web.Request) -> web.Response:
        started_at = self._clock.monotonic()
        method = request.method.lower()
        try:
            response = await self._route_request(request)
        except errors.ProtocolError as error:
            response = _build_error_response(400, "BAD_REQUEST", str(error))
        self._observe_request(method, response.status,
                              self._clock.monotonic() - started_at)
        return response

    async def _route_request(self, request: web.Request) -> web.Response:
        configuration = self._job_service.get_configuration()
        if configuration is None:
            return _build_refusal_response(
                "the daemon has not read a configuration yet",
                CONFIGURATION_RETRY_AFTER)
        host = request.host.partition(":")[0].lower()
        queue = configuration.find_queue(host, request.path)
        if queue is None:
            return _build_error_response(404, "UNKNOWN_QUEUE",
                                         "no queue serves this host and path")
        job_id = request.path[len(queue.path_prefix):]
        if not job_id and request.method == "GET":
            return self._serve_count(queue)
        if not _jobs.is_job_id(job_id):
            return _build_error_response(
                404, "UNKNOWN_JOB",
                "the path does not end with a job identifier")
        deadline = _parse_deadline(request)
        if request.method == "POST":
            return await self._serve_submission(request, configuration, queue,
                                                job_id, deadline)
        if request.method == "GET":
            return await self._serve_job_state(job_id, deadline)
        if request.method == "DELETE":
            return await self._serve_cancellation(job_id, deadline)
        return _build_error_response(405, "BAD_METHOD",
                                     "the method must be POST, GET or DELETE")

    def _serve_count(self, queue: model.Queue) -> web.Response:
        pending_count = self._job_service.count_pending(queue)
        if pending_count is None:
            return _build_refusal_response(
                "the daemon has not read the jobs from the store yet",
                JOBS_RETRY_AFTER)
        return web.json_response({"pending": pending_count})

    async def _serve_submission(self, request: web.Request,
                                configuration: model.FleetConfiguration,
                                queue: model.Queue, job_id: str,
                                deadline: datetime.timedelta) -> web.Response:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            body = None
        if body is None or len(body) > configuration.max_body_bytes:
            return _build_error_response(
                413, "BODY_TOO_LARGE",
                f"body exceeds {configuration.max_body_bytes} bytes")
        job = _jobs.parse_submission(body, job_id, queue,
                                     self._job_service.get_unix_time_ms())
        reply = await self._job_service.submit(job, deadline)
        return _build_outcome_response(reply)

    async def _serve_job_state(self, job_id: str,
                               deadline: datetime.timedelta) -> web.Response:
        lookup = await self._job_service.find_state(job_id, deadline)
        if lookup.state is not None:
            return web.json_response(
                {"state": _jobs.format_job_state(lookup.state)})
        if lookup.is_certain:
            return _build_error_response(410, "UNKNOWN_JOB", "no such job")
        return _build_refusal_response(
            "the state of the job cannot be read now", JOBS_RETRY_AFTER)

    async def _serve_cancellation(self, job_id: str,
                                  deadline: datetime.timedelta) -> web.Response:
        reply = await self._job_service.cancel(job_id, deadline)
        if reply is None:
            return _build_error_response(410, "UNKNOWN_JOB", "no such job")
        return _build_outcome_response(reply)


def _parse_deadline(request: web.Request) -> datetime.timedelta:
    """Returns the time left for a request, without `RESPONSE_MARGIN`."""
    text = request.headers.get(DEADLINE_HEADER, "")
    deadline = DEFAULT_DEADLINE
    if text.isascii() and text.isdigit() and len(text) < 10:
        deadline = datetime.timedelta(milliseconds=int(text))
    return max(MIN_DEADLINE, deadline - RESPONSE_MARGIN)


def _build_outcome_response(reply: ports.SubmitReply) -> web.Response:
    if reply.outcome is ports.SubmitOutcome.ACCEPTED:
        return web.json_response({})
    if reply.outcome is ports.SubmitOutcome.REFUSED:
        return _build_refusal_response(reply.reason, reply.retry_after)
    return _build_error_response(504, "RESULT_UNKNOWN", reply.reason)


def _build_refusal_response(reason: str,
                            retry_after: datetime.timedelta) -> web.Response:
    """Builds the response to a request that certainly had no effect."""
    response = _build_error_response(503, "REFUSED", reason)
    response.headers["Retry-After"] = str(
        max(1, math.ceil(retry_after.total_seconds())))
    return response


def _build_error_response(status: int, code: str, message: str) -> web.Response:
    return web.Response(status=status,
                        body=json.dumps({
                            "error": {
                                "code": code,
                                "message": message
                            }
                        }).encode(),
                        content_type="application/json")
