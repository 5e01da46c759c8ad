"""HTTP servers for callers and for readiness, in the platform's format."""

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
"""Time of a caller that does not say how long it waits."""

REPLY_MARGIN = datetime.timedelta(milliseconds=200)
"""Part of a caller's time that is left for the way of the reply."""

SHORTEST_DEADLINE = datetime.timedelta(milliseconds=100)

RETRY_CONFIGURATION = datetime.timedelta(seconds=1)
"""Delay that a caller is told before the first configuration is known."""

MAX_BODY_BYTES = 1 << 20
"""Longest body that is read at all."""

CLOSE_TIMEOUT_S = 2.0
"""Longest wait at a stop for answers in progress, in seconds."""

Observer = Callable[[str, int, float], None]


class CallerServer:
    """Serves jobs to callers.

    Example:
        >>> server = CallerServer(desk, clock, observe)
        >>> await server.start("10.1.0.13:8161", "10.1.0.13:8167")
    """

    def __init__(self, desk: ports.JobService, clock: ports.Clock,
                 observe: Observer, render_metrics: Callable[[], bytes]):
        self._desk = desk
        self._clock = clock
        self._observe = observe
        self._render_metrics = render_metrics
        self._runners: list[web.AppRunner] = []

    async def start(self, caller_address: str, ready_address: str,
                    metrics_address: str) -> list[str]:
        """Listens at all addresses.

        Returns:
            The addresses that it is bound to, in the order of the arguments.

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
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(app,
                               access_log=None,
                               handle_signals=False,
                               keepalive_timeout=75,
                               shutdown_timeout=CLOSE_TIMEOUT_S)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=512).start()
        self._runners.append(runner)
        bound_host, bound_port = runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def close(self) -> None:
        """Stops listening and waits for answers in progress."""
        for runner in self._runners:
            await runner.cleanup()
        self._runners.clear()

    async def _serve_ready(self, request: web.Request) -> web.Response:
        del request
        return web.Response(status=200 if self._desk.is_ready() else 503)

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.Response(body=self._render_metrics(),
                            content_type="text/plain")

    async def _serve_caller(self, request: web.Request) -> web.Response:
        began = self._clock.monotonic()
        operation = request.method.lower()
        try:
            response = await self._dispatch(request)
        except errors.ProtocolError as error:
            response = _build_error(400, "BAD_REQUEST", str(error))
        self._observe(operation, response.status,
                      self._clock.monotonic() - began)
        return response

    async def _dispatch(self, request: web.Request) -> web.Response:
        configuration = self._desk.get_configuration()
        if configuration is None:
            return _build_refusal("no configuration is known yet",
                                  RETRY_CONFIGURATION)
        host = request.host.partition(":")[0].lower()
        queue = configuration.find_queue(host, request.path)
        if queue is None:
            return _build_error(404, "UNKNOWN_QUEUE", "no such queue")
        job_id = request.path[len(queue.path_prefix):]
        if not job_id and request.method == "GET":
            return web.json_response(
                {"pending": self._desk.count_pending(queue)})
        if not _jobs.is_job_id(job_id):
            return _build_error(404, "UNKNOWN_JOB", "the path names no job")
        deadline = _read_deadline(request)
        if request.method == "POST":
            return await self._submit(request, configuration, queue, job_id,
                                      deadline)
        if request.method == "GET":
            return await self._show(job_id, deadline)
        if request.method == "DELETE":
            return await self._cancel(job_id, deadline)
        return _build_error(405, "BAD_METHOD", "use POST, GET or DELETE")

    async def _submit(self, request: web.Request,
                      configuration: model.FleetConfiguration,
                      queue: model.Queue, job_id: str,
                      deadline: datetime.timedelta) -> web.Response:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            body = None
        if body is None or len(body) > configuration.max_body_bytes:
            return _build_error(
                413, "BODY_TOO_LARGE",
                f"at most {configuration.max_body_bytes} bytes")
        job = _jobs.parse_submission(body, job_id, queue,
                                     self._desk.get_unix_time_ms())
        reply = await self._desk.submit(job, deadline)
        return _build_submit_response(reply)

    async def _show(self, job_id: str,
                    deadline: datetime.timedelta) -> web.Response:
        lookup = await self._desk.find_state(job_id, deadline)
        if lookup.state is not None:
            return web.json_response(
                {"state": _jobs.format_state(lookup.state)})
        if lookup.is_certain:
            return _build_error(410, "UNKNOWN_JOB", "no such job")
        return _build_refusal("the state cannot be read now",
                              datetime.timedelta(seconds=1))

    async def _cancel(self, job_id: str,
                      deadline: datetime.timedelta) -> web.Response:
        reply = await self._desk.cancel(job_id, deadline)
        if reply is None:
            return _build_error(410, "UNKNOWN_JOB", "no such job")
        return _build_submit_response(reply)


def _read_deadline(request: web.Request) -> datetime.timedelta:
    text = request.headers.get(DEADLINE_HEADER, "")
    deadline = DEFAULT_DEADLINE
    if text.isascii() and text.isdigit() and len(text) < 10:
        deadline = datetime.timedelta(milliseconds=int(text))
    return max(SHORTEST_DEADLINE, deadline - REPLY_MARGIN)


def _build_submit_response(reply: ports.SubmitReply) -> web.Response:
    if reply.outcome is ports.SubmitOutcome.ACCEPTED:
        return web.json_response({})
    if reply.outcome is ports.SubmitOutcome.REFUSED:
        return _build_refusal(reply.reason, reply.retry_after)
    return _build_error(504, "RESULT_UNKNOWN", reply.reason)


def _build_refusal(reason: str,
                   retry_after: datetime.timedelta) -> web.Response:
    """Returns a refusal of something that certainly did not run."""
    response = _build_error(503, "REFUSED", reason)
    response.headers["Retry-After"] = str(
        max(1, math.ceil(retry_after.total_seconds())))
    return response


def _build_error(status: int, code: str, message: str) -> web.Response:
    return web.Response(status=status,
                        body=json.dumps({
                            "error": {
                                "code": code,
                                "message": message
                            }
                        }).encode(),
                        content_type="application/json")
