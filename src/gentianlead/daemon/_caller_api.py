"""HTTP interface for callers: services, jobs, liveness and readiness."""

import datetime
from typing import Awaitable, Callable, Protocol

from aiohttp import web

from gentianlead import errors
from gentianlead import gateway
from gentianlead import ports
from gentianlead import routing
from gentianlead import settings as settings_module
from gentianlead import telemetry
from gentianlead.daemon import _documents
from gentianlead.daemon import _jobs

DEADLINE_HEADER = "Gentianlead-Deadline-Ms"
IDEMPOTENT_HEADER = "Gentianlead-Idempotent"
IDEMPOTENCY_KEY_HEADER = "Gentianlead-Idempotency-Key"
REQUEST_CLASS_HEADER = "Gentianlead-Class"
REQUEST_ID_HEADER = "Gentianlead-Request-Id"
ERROR_HEADER = "Gentianlead-Error"
VERDICT_HEADER = "Gentianlead-Verdict"

MAX_IDENTIFIER_LENGTH = 200
MAX_DEADLINE_DIGITS = 18
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})
_SERVICE_PATH_PARTS = 4
_BOOLEAN_VALUES = {"true": True, "false": False}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ReadinessReporter(Protocol):
    """Reports whether the daemon is ready to serve requests, and why not."""

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping and about to refuse requests."""

    def find_unready_reason(self) -> str:
        """Returns why the daemon is not ready; empty when it is ready."""

    def list_warnings(self) -> list[str]:
        """Returns the problems that limit what a ready daemon can do."""


class JobDescriber(Protocol):
    """Describes the jobs of all failure domains."""

    async def describe_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/jobs/{id}`."""


@web.middleware
async def convert_errors(request: web.Request,
                         handler: Handler) -> web.StreamResponse:
    """Converts exceptions to error responses with a code and a verdict."""
    try:
        return await handler(request)
    except errors.RequestError as error:
        return build_error_response(error)
    except web.HTTPRequestEntityTooLarge:
        return build_error_response(
            errors.RequestError(errors.ErrorCode.BODY_TOO_LARGE,
                                "the body exceeds the limit of this daemon"))
    except web.HTTPException:
        raise
    except Exception as error:  # pylint: disable=broad-exception-caught
        # Without a verdict the caller could not tell whether its request ran.
        telemetry.emit(telemetry.Event.INTERNAL_ERROR,
                       place=request.path[:100],
                       error=repr(error))
        return build_error_response(
            errors.RequestError(errors.ErrorCode.INTERNAL,
                                f"unexpected {type(error).__name__}",
                                errors.Verdict.MAY_HAVE_RUN))


def build_error_response(error: errors.RequestError) -> web.Response:
    """Returns the HTTP response that reports an error to the caller."""
    headers = {
        ERROR_HEADER: error.code.value,
        VERDICT_HEADER: error.verdict.value,
    }
    return web.json_response(_documents.build_error_document(error),
                             status=error.code.http_status,
                             headers=headers)


class CallerAPI:
    """Handles the HTTP requests that arrive at the caller port.

    Args:
        request_gateway: Sends requests for services to targets and peers.
        job_service: Submits, cancels and lists jobs.
        job_describer: Describes jobs of all failure domains.
        readiness: Reports whether the daemon is ready.
        settings: Default and maximum of the deadlines of requests.
        random: Generates the identifiers of jobs.
    """

    def __init__(self, request_gateway: gateway.RequestGateway,
                 job_service: _jobs.CallerJobService,
                 job_describer: JobDescriber, readiness: ReadinessReporter,
                 settings: settings_module.Settings,
                 random: ports.RandomSource):
        self._request_gateway = request_gateway
        self._job_service = job_service
        self._job_describer = job_describer
        self._readiness = readiness
        self._settings = settings
        self._random = random

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of all paths of the caller port."""
        router.add_route("*", "/s/{service}", self.handle_service_request)
        router.add_route("*", "/s/{service}/{path:.*}",
                         self.handle_service_request)
        self.add_shared_routes(router)

    def add_shared_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of the paths that both ports serve."""
        router.add_post("/v1/jobs", self.handle_submit_job)
        router.add_get("/v1/jobs", self.handle_list_jobs)
        router.add_get("/v1/jobs/{job_id}", self.handle_get_job)
        router.add_post("/v1/jobs/{job_id}/cancel", self.handle_cancel_job)
        router.add_get("/livez", self.handle_liveness)
        router.add_get("/readyz", self.handle_readiness)

    async def handle_service_request(self,
                                     request: web.Request) -> web.Response:
        """Handles a request for a service: `/s/{service}/{path}`."""
        if not self._readiness.is_draining:
            reason = self._readiness.find_unready_reason()
            if reason:
                raise errors.RequestError(errors.ErrorCode.NOT_READY, reason)
        with self._request_gateway.track_request():
            response = await self._serve_request(request)
        if self._readiness.is_draining:
            # The daemon is about to close this connection, and another request
            # on it would fail.
            response.force_close()
        return response

    async def _serve_request(self, request: web.Request) -> web.Response:
        body = await request.read() if request.can_read_body else b""
        caller_request = self._parse_request(request, body)
        try:
            target_response = await self._request_gateway.serve(caller_request)
        except errors.RequestError as error:
            response = build_error_response(error)
            response.headers[REQUEST_ID_HEADER] = caller_request.request_id
            return response
        response = web.Response(status=target_response.status,
                                body=target_response.body)
        if "Content-Type" in response.headers:
            del response.headers["Content-Type"]
        for name, value in target_response.headers:
            response.headers.add(name, value)
        response.headers[REQUEST_ID_HEADER] = caller_request.request_id
        return response

    def _parse_request(self, request: web.Request,
                       body: bytes) -> gateway.CallerRequest:
        headers = request.headers
        path_parts = request.raw_path.split("/", _SERVICE_PATH_PARTS - 1)
        path = "/" + (path_parts[3]
                      if len(path_parts) == _SERVICE_PATH_PARTS else "")
        is_idempotent = request.method in _IDEMPOTENT_METHODS
        if IDEMPOTENT_HEADER in headers:
            value = headers[IDEMPOTENT_HEADER].lower()
            if value not in _BOOLEAN_VALUES:
                raise errors.RequestError(
                    errors.ErrorCode.BAD_REQUEST,
                    f"{IDEMPOTENT_HEADER}: {value[:40]!r} is neither true nor "
                    f"false")
            is_idempotent = _BOOLEAN_VALUES[value]
        return gateway.CallerRequest(
            self._parse_identifier(headers.get(REQUEST_ID_HEADER, "")) or
            self._request_gateway.generate_unique_id(),
            request.match_info["service"], request.method, path, headers, body,
            self._parse_deadline(headers.get(DEADLINE_HEADER)), is_idempotent,
            self._parse_identifier(headers.get(IDEMPOTENCY_KEY_HEADER, "")),
            self._parse_request_class(headers.get(REQUEST_CLASS_HEADER)))

    @staticmethod
    def _parse_identifier(value: str) -> str:
        if len(value) > MAX_IDENTIFIER_LENGTH:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"an identifier of {len(value)} characters exceeds "
                f"{MAX_IDENTIFIER_LENGTH}")
        if not value.isascii() or not value.isprintable():
            # Log records hold text as UTF-8; other bytes cannot be encoded.
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"the identifier {value[:40]!r} is not printable ASCII")
        return value

    def _parse_deadline(self, value: str | None) -> datetime.timedelta:
        if value is None:
            return self._settings.default_deadline
        maximum = self._settings.maximum_deadline
        maximum_ms = int(maximum.total_seconds() * 1000)
        if (not value.isascii() or not value.isdigit() or
                len(value) > MAX_DEADLINE_DIGITS or int(value) < 1):
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"{DEADLINE_HEADER}: {value[:40]!r} is not a whole number of "
                f"milliseconds from 1 to {maximum_ms}")
        return min(maximum, datetime.timedelta(milliseconds=int(value)))

    @staticmethod
    def _parse_request_class(value: str | None) -> routing.RequestClass:
        if value is None:
            return routing.RequestClass.INTERACTIVE
        try:
            return routing.RequestClass(value.lower())
        except ValueError as error:
            known_classes = ", ".join(
                item.value for item in routing.RequestClass)
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"{REQUEST_CLASS_HEADER}: {value[:40]!r} is not one of "
                f"{known_classes}") from error

    async def handle_submit_job(self, request: web.Request) -> web.Response:
        """Handles `POST /v1/jobs`: submits a job."""
        document = _documents.parse_body(await request.read())
        spec = _documents.parse_job_spec(document,
                                         f"job-{self._random.generate_id()}")
        entry = await self._job_service.submit(spec)
        progress = self._job_service.compute_progress(spec.job_id)
        return web.json_response(_documents.describe_job(entry, progress),
                                 status=202)

    async def handle_list_jobs(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/jobs`: lists the jobs of all failure domains."""
        del request
        jobs = [
            _documents.describe_job(
                entry, self._job_service.compute_progress(entry.spec.job_id))
            for entry in self._job_service.list_jobs()
        ]
        return web.json_response({"jobs": jobs})

    async def handle_get_job(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/jobs/{id}`: describes a job."""
        job_id = request.match_info["job_id"]
        return web.json_response(await self._job_describer.describe_job(job_id))

    async def handle_cancel_job(self, request: web.Request) -> web.Response:
        """Handles `POST /v1/jobs/{id}/cancel`: cancels a job."""
        entry = await self._job_service.cancel(request.match_info["job_id"])
        progress = self._job_service.compute_progress(entry.spec.job_id)
        return web.json_response(_documents.describe_job(entry, progress),
                                 status=202)

    async def handle_liveness(self, request: web.Request) -> web.Response:
        """Handles `GET /livez`, by which the platform checks the process."""
        del request
        return web.json_response({"live": True})

    async def handle_readiness(self, request: web.Request) -> web.Response:
        """Handles `GET /readyz`, which the platform's load balancer polls.

        The load balancer sends requests only to daemons that are ready.
        """
        del request
        reason = self._readiness.find_unready_reason()
        body = {
            "ready": not reason,
            "reason": reason,
            "warnings": self._readiness.list_warnings(),
        }
        return web.json_response(body, status=503 if reason else 200)
