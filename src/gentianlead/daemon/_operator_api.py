"""HTTP interface of operators: configuration, status, explanations."""

import hmac
from typing import Any, Protocol

from aiohttp import web

from gentianlead import errors
from gentianlead import gateway
from gentianlead import telemetry
from gentianlead.daemon import _caller_api
from gentianlead.daemon import _documents
from gentianlead.daemon import _patches

_OPEN_PATHS = frozenset({"/livez", "/readyz"})
MAX_TEXT_LENGTH = 500


class StatusReader(Protocol):
    """Describes the daemon and what it knows."""

    def describe_status(self) -> _documents.Document:
        """Returns the body of `GET /v1/status`."""

    def describe_services(self) -> _documents.Document:
        """Returns the body of `GET /v1/services`."""

    async def explain_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/explain/jobs/{id}`."""


def build_token_check(token: str) -> Any:
    """Returns a middleware that asks for a bearer token.

    Args:
        token: The token; empty lets everybody in.
    """

    @web.middleware
    async def check_token(request: web.Request,
                          handler: _caller_api.Handler) -> web.StreamResponse:
        if token and request.path not in _OPEN_PATHS:
            scheme, _, given = request.headers.get("Authorization",
                                                   "").partition(" ")
            is_valid = hmac.compare_digest(given.strip().encode(),
                                           token.encode())
            if scheme.lower() != "bearer" or not is_valid:
                telemetry.emit(telemetry.Event.OPERATOR_UNAUTHORIZED,
                               address=request.remote)
                raise errors.RequestError(
                    errors.ErrorCode.UNAUTHORIZED,
                    "the operator port needs 'Authorization: Bearer <token>'")
        return await handler(request)

    return check_token


class OperatorAPI:
    """Handlers of the operator port.

    Args:
        patches: Submission of patches.
        status: Describes the daemon.
        traces: Last requests.
        metrics: Metrics of the daemon.
    """

    def __init__(self, patches: _patches.PatchService, status: StatusReader,
                 traces: gateway.TraceStore, metrics: telemetry.DaemonMetrics):
        self._patches = patches
        self._status = status
        self._traces = traces
        self._metrics = metrics

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds all paths that only operators may use."""
        router.add_get("/v1/config", self.handle_config)
        router.add_get("/v1/config/history", self.handle_history)
        router.add_post("/v1/config/patches", self.handle_patch)
        router.add_get("/v1/config/patches/{patch_id}", self.handle_verdict)
        router.add_get("/v1/status", self.handle_status)
        router.add_get("/v1/services", self.handle_services)
        router.add_get("/v1/explain/jobs/{job_id}", self.handle_explain_job)
        router.add_get("/v1/explain/requests/{request_id}",
                       self.handle_explain_request)
        router.add_get("/metrics", self.handle_metrics)

    async def handle_config(self, request: web.Request) -> web.Response:
        """Shows the configuration in force here."""
        del request
        configuration = self._patches.state_machine.configuration
        return web.json_response(
            _documents.describe_configuration(configuration))

    async def handle_history(self, request: web.Request) -> web.Response:
        """Shows the last accepted patches."""
        del request
        patches = [
            _documents.describe_patch(entry)
            for entry in self._patches.state_machine.history
        ]
        return web.json_response({"patches": patches})

    async def handle_patch(self, request: web.Request) -> web.Response:
        """Submits a patch."""
        document = _documents.parse_body(await request.read())
        patch_id = _documents.get_field(document, "patch_id", str)
        if not 1 <= len(patch_id) <= _caller_api.MAX_IDENTIFIER_LENGTH:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST, f"field 'patch_id': needs 1 to "
                f"{_caller_api.MAX_IDENTIFIER_LENGTH} characters")
        entry = await self._patches.submit(
            patch_id, _documents.get_field(document, "base_version", int),
            _documents.parse_operations(document),
            _documents.get_field(document, "author", str, "")[:MAX_TEXT_LENGTH],
            _documents.get_field(document, "comment", str,
                                 "")[:MAX_TEXT_LENGTH])
        if entry.is_accepted:
            return web.json_response(_documents.describe_verdict(entry))
        is_stale = entry.patch.base_version != entry.version
        code = (errors.ErrorCode.PATCH_VERSION_CONFLICT
                if is_stale else errors.ErrorCode.PATCH_INVALID)
        refusal = errors.RequestError(code, entry.reason)
        body = _documents.build_error(refusal)
        body["current_version"] = entry.version
        return web.json_response(body, status=code.http_status)

    async def handle_verdict(self, request: web.Request) -> web.Response:
        """Tells the verdict on a patch."""
        entry = self._patches.get(request.match_info["patch_id"])
        return web.json_response(_documents.describe_verdict(entry))

    async def handle_status(self, request: web.Request) -> web.Response:
        """Describes this daemon."""
        del request
        return web.json_response(self._status.describe_status())

    async def handle_services(self, request: web.Request) -> web.Response:
        """Lists services with their targets."""
        del request
        return web.json_response(self._status.describe_services())

    async def handle_explain_job(self, request: web.Request) -> web.Response:
        """Explains why a job waits."""
        job_id = request.match_info["job_id"]
        return web.json_response(await self._status.explain_job(job_id))

    async def handle_explain_request(self,
                                     request: web.Request) -> web.Response:
        """Explains where a request went."""
        request_id = request.match_info["request_id"]
        trace = self._traces.get(request_id)
        if trace is None:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"request {request_id!r} is not among the last requests of "
                f"this daemon")
        return web.json_response(_documents.describe_trace(trace))

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Returns the metrics."""
        del request
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": self._metrics.CONTENT_TYPE})
