"""HTTP interface of callers: requests to services, jobs, health."""

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
KEY_HEADER = "Gentianlead-Idempotency-Key"
CLASS_HEADER = "Gentianlead-Class"
REQUEST_ID_HEADER = "Gentianlead-Request-Id"
ERROR_HEADER = "Gentianlead-Error"
VERDICT_HEADER = "Gentianlead-Verdict"

MAX_IDENTIFIER_LENGTH = 200
MAX_NUMBER_DIGITS = 18
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})
_SERVICE_PATH_PARTS = 4
_BOOLEANS = {"true": True, "false": False}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Health(Protocol):
    """What readiness depends on."""

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping."""

    def find_unready_reason(self) -> str:
        """Returns why the daemon is not ready; empty when it is."""

    def list_warnings(self) -> list[str]:
        """Returns limits that a ready daemon works under."""


class JobReader(Protocol):
    """Describes jobs, wherever they run."""

    async def describe_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/jobs/{id}`."""


@web.middleware
async def refuse_errors(request: web.Request,
                        handler: Handler) -> web.StreamResponse:
    """Turns exceptions into refusals with a code and a verdict."""
    try:
        return await handler(request)
    except errors.RequestError as error:
        return build_refusal(error)
    except web.HTTPRequestEntityTooLarge:
        return build_refusal(
            errors.RequestError(errors.ErrorCode.BODY_TOO_LARGE,
                                "the body exceeds the limit of this daemon"))
    except web.HTTPException:
        raise
    except Exception as error:  # pylint: disable=broad-exception-caught
        # A fault in a handler must not leave the caller without a verdict.
        telemetry.emit(telemetry.Event.INTERNAL_ERROR,
                       place=request.path[:100],
                       error=repr(error))
        return build_refusal(
            errors.RequestError(errors.ErrorCode.INTERNAL,
                                f"unexpected {type(error).__name__}",
                                errors.Verdict.MAY_HAVE_RUN))


def build_refusal(error: errors.RequestError) -> web.Response:
    """Returns the response that carries a refusal."""
    headers = {
        ERROR_HEADER: error.code.value,
        VERDICT_HEADER: error.verdict.value,
    }
    return web.json_response(_documents.build_error(error),
                             status=error.code.http_status,
                             headers=headers)


class CallerAPI:
    """Handlers of the caller port.

    Args:
        requests: Path of requests.
        jobs: Submission of jobs.
        job_reader: Describes jobs.
        health: Readiness.
        settings: Limits of deadlines.
        random: Source of identifiers.
    """

    def __init__(self, requests: gateway.RequestGateway, jobs: _jobs.JobService,
                 job_reader: JobReader, health: Health,
                 settings: settings_module.Settings,
                 random: ports.RandomSource):
        self._requests = requests
        self._jobs = jobs
        self._job_reader = job_reader
        self._health = health
        self._settings = settings
        self._random = random

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds all paths of the caller port."""
        router.add_route("*", "/s/{service}", self.handle_request)
        router.add_route("*", "/s/{service}/{path:.*}", self.handle_request)
        self.add_shared_routes(router)

    def add_shared_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the paths that the operator port serves as well."""
        router.add_post("/v1/jobs", self.handle_submit)
        router.add_get("/v1/jobs", self.handle_list)
        router.add_get("/v1/jobs/{job_id}", self.handle_status)
        router.add_post("/v1/jobs/{job_id}/cancel", self.handle_cancel)
        router.add_get("/livez", self.handle_live)
        router.add_get("/readyz", self.handle_ready)

    async def handle_request(self, request: web.Request) -> web.Response:
        """Serves a request to a service."""
        if not self._health.is_draining:
            reason = self._health.find_unready_reason()
            if reason:
                raise errors.RequestError(errors.ErrorCode.NOT_READY, reason)
        with self._requests.hold():
            response = await self._serve(request)
        if self._health.is_draining:
            # The caller must not use a connection again that is about to close.
            response.force_close()
        return response

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read() if request.can_read_body else b""
        call = self._read_request(request, body)
        try:
            answer = await self._requests.serve(call)
        except errors.RequestError as error:
            response = build_refusal(error)
            response.headers[REQUEST_ID_HEADER] = call.request_id
            return response
        response = web.Response(status=answer.status, body=answer.body)
        if "Content-Type" in response.headers:
            del response.headers["Content-Type"]
        for name, value in answer.headers:
            response.headers.add(name, value)
        response.headers[REQUEST_ID_HEADER] = call.request_id
        return response

    def _read_request(self, request: web.Request,
                      body: bytes) -> gateway.CallerRequest:
        headers = request.headers
        parts = request.raw_path.split("/", _SERVICE_PATH_PARTS - 1)
        path = "/" + (parts[3] if len(parts) == _SERVICE_PATH_PARTS else "")
        is_idempotent = request.method in _IDEMPOTENT_METHODS
        if IDEMPOTENT_HEADER in headers:
            value = headers[IDEMPOTENT_HEADER].lower()
            if value not in _BOOLEANS:
                raise errors.RequestError(
                    errors.ErrorCode.BAD_REQUEST,
                    f"{IDEMPOTENT_HEADER}: {value[:40]!r} is neither true nor "
                    f"false")
            is_idempotent = _BOOLEANS[value]
        return gateway.CallerRequest(
            self._read_identifier(headers.get(REQUEST_ID_HEADER, "")) or
            self._requests.build_request_id(), request.match_info["service"],
            request.method, path, headers, body,
            self._read_deadline(headers.get(DEADLINE_HEADER)), is_idempotent,
            self._read_identifier(headers.get(KEY_HEADER, "")),
            self._read_class(headers.get(CLASS_HEADER)))

    @staticmethod
    def _read_identifier(value: str) -> str:
        if len(value) > MAX_IDENTIFIER_LENGTH:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"an identifier of {len(value)} characters exceeds "
                f"{MAX_IDENTIFIER_LENGTH}")
        if not value.isascii() or not value.isprintable():
            # Bytes that are not UTF-8 cannot be written to a log record.
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"the identifier {value[:40]!r} is not printable ASCII")
        return value

    def _read_deadline(self, value: str | None) -> datetime.timedelta:
        if value is None:
            return self._settings.default_deadline
        longest = self._settings.maximum_deadline
        longest_ms = int(longest.total_seconds() * 1000)
        if (not value.isascii() or not value.isdigit() or
                len(value) > MAX_NUMBER_DIGITS or int(value) < 1):
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"{DEADLINE_HEADER}: {value[:40]!r} is not a whole number of "
                f"milliseconds from 1 to {longest_ms}")
        return min(longest, datetime.timedelta(milliseconds=int(value)))

    @staticmethod
    def _read_class(value: str | None) -> routing.RequestClass:
        if value is None:
            return routing.RequestClass.INTERACTIVE
        try:
            return routing.RequestClass(value.lower())
        except ValueError as error:
            known = ", ".join(item.value for item in routing.RequestClass)
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"{CLASS_HEADER}: {value[:40]!r} is not one of {known}"
            ) from error

    async def handle_submit(self, request: web.Request) -> web.Response:
        """Submits a job."""
        document = _documents.parse_body(await request.read())
        spec = _documents.parse_job_spec(document,
                                         f"job-{self._random.generate_id()}")
        entry = await self._jobs.submit(spec)
        progress = self._jobs.measure(spec.job_id)
        return web.json_response(_documents.describe_job(entry, progress),
                                 status=202)

    async def handle_list(self, request: web.Request) -> web.Response:
        """Lists jobs."""
        del request
        jobs = [
            _documents.describe_job(entry,
                                    self._jobs.measure(entry.spec.job_id))
            for entry in self._jobs.list_all()
        ]
        return web.json_response({"jobs": jobs})

    async def handle_status(self, request: web.Request) -> web.Response:
        """Describes a job."""
        job_id = request.match_info["job_id"]
        return web.json_response(await self._job_reader.describe_job(job_id))

    async def handle_cancel(self, request: web.Request) -> web.Response:
        """Cancels a job."""
        entry = await self._jobs.cancel(request.match_info["job_id"])
        progress = self._jobs.measure(entry.spec.job_id)
        return web.json_response(_documents.describe_job(entry, progress),
                                 status=202)

    async def handle_live(self, request: web.Request) -> web.Response:
        """Tells the platform that the process answers."""
        del request
        return web.json_response({"live": True})

    async def handle_ready(self, request: web.Request) -> web.Response:
        """Tells the platform's balancer whether to send requests here."""
        del request
        reason = self._health.find_unready_reason()
        body = {
            "ready": not reason,
            "reason": reason,
            "warnings": self._health.list_warnings(),
        }
        return web.json_response(body, status=503 if reason else 200)
