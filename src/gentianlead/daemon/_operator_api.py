"""HTTP interface for operators: configuration, status, explanations."""

import hmac
from typing import Any, Protocol

from aiohttp import web

from gentianlead import errors
from gentianlead import gateway
from gentianlead import telemetry
from gentianlead.daemon import _caller_api
from gentianlead.daemon import _documents
from gentianlead.daemon import _patches

_UNAUTHENTICATED_PATHS = frozenset({"/livez", "/readyz"})
MAX_PATCH_TEXT_LENGTH = 500


class StatusDescriber(Protocol):
    """Describes the daemon, the services and why jobs wait."""

    def describe_status(self) -> _documents.Document:
        """Returns the body of `GET /v1/status`."""

    def describe_services(self) -> _documents.Document:
        """Returns the body of `GET /v1/services`."""

    async def explain_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/explain/jobs/{id}`."""


def build_token_middleware(token: str) -> Any:
    """Returns a middleware that requires a bearer token.

    Args:
        token: The token; when it is empty, no token is required.
    """

    @web.middleware
    async def check_token(request: web.Request,
                          handler: _caller_api.Handler) -> web.StreamResponse:
        if token and request.path not in _UNAUTHENTICATED_PATHS:
            scheme, _, given_token = request.headers.get("Authorization",
                                                         "").partition(" ")
            is_valid = hmac.compare_digest(given_token.strip().encode(),
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
    """Handles the HTTP requests that arrive at the operator port.

    Args:
        patch_service: Submits configuration patches.
        status_service: Describes the daemon.
        trace_store: Traces of the last requests to services.
        metrics: Metrics of the daemon.
    """

    def __init__(self, patch_service: _patches.PatchService,
                 status_service: StatusDescriber,
                 trace_store: gateway.TraceStore,
                 metrics: telemetry.DaemonMetrics):
        self._patch_service = patch_service
        self._status_service = status_service
        self._trace_store = trace_store
        self._metrics = metrics

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of the paths that only the operator port serves."""
        router.add_get("/v1/config", self.handle_get_config)
        router.add_get("/v1/config/history", self.handle_list_patches)
        router.add_post("/v1/config/patches", self.handle_submit_patch)
        router.add_get("/v1/config/patches/{patch_id}", self.handle_get_patch)
        router.add_get("/v1/status", self.handle_get_status)
        router.add_get("/v1/services", self.handle_list_services)
        router.add_get("/v1/explain/jobs/{job_id}", self.handle_explain_job)
        router.add_get("/v1/explain/requests/{request_id}",
                       self.handle_explain_request)
        router.add_get("/metrics", self.handle_metrics)

    async def handle_get_config(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/config`: the configuration that this daemon uses."""
        del request
        configuration = self._patch_service.state_machine.configuration
        return web.json_response(
            _documents.describe_configuration(configuration))

    async def handle_list_patches(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/config/history`: the last accepted patches."""
        del request
        patches = [
            _documents.describe_patch(entry)
            for entry in self._patch_service.state_machine.history
        ]
        return web.json_response({"patches": patches})

    async def handle_submit_patch(self, request: web.Request) -> web.Response:
        """Handles `POST /v1/config/patches`: submits a patch."""
        document = _documents.parse_body(await request.read())
        patch_id = _documents.get_field(document, "patch_id", str)
        if not 1 <= len(patch_id) <= _caller_api.MAX_IDENTIFIER_LENGTH:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST, f"field 'patch_id': needs 1 to "
                f"{_caller_api.MAX_IDENTIFIER_LENGTH} characters")
        entry = await self._patch_service.submit(
            patch_id, _documents.get_field(document, "base_version", int),
            _documents.parse_operations(document),
            _documents.get_field(document, "author", str,
                                 "")[:MAX_PATCH_TEXT_LENGTH],
            _documents.get_field(document, "comment", str,
                                 "")[:MAX_PATCH_TEXT_LENGTH])
        if entry.is_accepted:
            return web.json_response(_documents.describe_patch_verdict(entry))
        is_version_conflict = entry.patch.base_version != entry.version
        code = (errors.ErrorCode.PATCH_VERSION_CONFLICT
                if is_version_conflict else errors.ErrorCode.PATCH_INVALID)
        error = errors.RequestError(code, entry.reason)
        body = _documents.build_error_document(error)
        body["current_version"] = entry.version
        return web.json_response(body, status=code.http_status)

    async def handle_get_patch(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/config/patches/{id}`: the verdict on a patch."""
        entry = self._patch_service.get_patch_entry(
            request.match_info["patch_id"])
        return web.json_response(_documents.describe_patch_verdict(entry))

    async def handle_get_status(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/status`: describes this daemon."""
        del request
        return web.json_response(self._status_service.describe_status())

    async def handle_list_services(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/services`: lists services with their targets."""
        del request
        return web.json_response(self._status_service.describe_services())

    async def handle_explain_job(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/explain/jobs/{id}`: why the tasks of a job wait."""
        job_id = request.match_info["job_id"]
        return web.json_response(await self._status_service.explain_job(job_id))

    async def handle_explain_request(self,
                                     request: web.Request) -> web.Response:
        """Handles `GET /v1/explain/requests/{id}`: attempts of a request."""
        request_id = request.match_info["request_id"]
        trace = self._trace_store.get(request_id)
        if trace is None:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                f"request {request_id!r} is not among the last requests of "
                f"this daemon")
        return web.json_response(_documents.describe_request_trace(trace))

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Handles `GET /metrics`: the metrics in Prometheus format."""
        del request
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": self._metrics.CONTENT_TYPE})
