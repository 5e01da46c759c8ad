"""Fake operator port for tests, which can fail requests on purpose."""

import asyncio
import collections
from typing import Any

from aiohttp import web

CLOSE_BEFORE_CHANGE = "connection closed before the change"
CLOSE_AFTER_CHANGE = "connection closed after the change"
NO_REPLY = "no reply"


class FakeCluster:
    """State that all fake daemons share: configuration, patches and jobs.

    Attributes:
        version: Current configuration version.
        patches: Verdicts by patch id.
        accepted_patch_ids: Patch ids in order of acceptance.
        jobs: Submitted bodies by job id.
        cancelled: Ids of cancelled jobs.
    """

    def __init__(self) -> None:
        self.version = 7
        self.patches: dict[str, dict[str, Any]] = {}
        self.accepted_patch_ids: list[str] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancelled: set[str] = set()

    def get_config(self) -> dict[str, Any]:
        """Returns the document of `GET /v1/config`."""
        return {
            "version": self.version,
            "domains": [{
                "name": "north-1",
                "region": "north",
                "is_in_service": True
            }],
            "services": [],
            "teams": [{
                "name": "receipts",
                "quota": {
                    "cpu_millis": 4000,
                    "memory_mib": 512,
                    "accelerators": 0
                }
            }],
            "leaving_targets": [],
        }


class FakeDaemon:
    """HTTP server that imitates the operator port of one daemon.

    Attributes:
        cluster: The shared state.
        faults_by_method: Faults of the next requests; an empty text means that
            the request gets a reply. The last fault applies to all later ones.
        requests: Method and path of all requests.
        checks_version_first: Whether a stale version is refused even if the
            patch id is known.
        version_lag: Number of configuration versions not yet read.
        token: Token that requests must carry, or empty.
        replies_by_path: Documents to reply with, instead of the state of the
            cluster.
    """

    def __init__(self, cluster: FakeCluster):
        self.cluster = cluster
        self.faults_by_method: dict[str,
                                    list[str]] = collections.defaultdict(list)
        self.requests: list[str] = []
        self.checks_version_first = False
        self.version_lag = 0
        self.token = ""
        self.replies_by_path: dict[str, dict[str, Any]] = {}
        self.url = ""
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a free port of the loopback interface."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.url = f"http://{host}:{port}"

    async def stop(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self.requests.append(f"{request.method} {request.path}")
        if self.token and (request.headers.get("Authorization")
                           != f"Bearer {self.token}"):
            return _build_error_reply(401, "UNAUTHORIZED")
        faults = self.faults_by_method[request.method]
        fault = faults.pop(0) if len(faults) > 1 else "".join(faults)
        if fault == NO_REPLY:
            await asyncio.sleep(60)
        reply = None
        if fault != CLOSE_BEFORE_CHANGE:
            reply = await self._build_reply(request)
        if fault:
            assert request.transport is not None
            request.transport.close()
        return reply or web.Response()

    async def _build_reply(self, request: web.Request) -> web.Response:
        if request.path in self.replies_by_path:
            return web.json_response(self.replies_by_path[request.path])
        parts = request.path.strip("/").split("/")
        if request.method == "POST":
            return self._handle_change(parts, await request.json())
        if parts == ["v1", "config"]:
            return web.json_response(self.cluster.get_config())
        if parts[:3] == ["v1", "config", "patches"]:
            known = self.cluster.patches.get(parts[3])
            return (web.json_response(known) if known else _build_error_reply(
                404, "UNKNOWN_PATCH"))
        if parts[:2] == ["v1", "jobs"] and parts[2:]:
            return self._get_job(parts[2])
        return _build_error_reply(404, "BAD_REQUEST")

    def _get_job(self, job_id: str) -> web.Response:
        body = self.cluster.jobs.get(job_id)
        if body is None:
            return _build_error_reply(404, "UNKNOWN_JOB")
        state = "cancelled" if job_id in self.cluster.cancelled else "queued"
        return web.json_response({
            **body, "domain": "north-1",
            "state": state,
            "done": 0,
            "running": 0,
            "waiting": 1
        })

    def _handle_change(self, parts: list[str], body: dict[str,
                                                          Any]) -> web.Response:
        if parts[1] == "config":
            return self._handle_patch(body)
        if parts[-1] == "cancel":
            if parts[2] in self.cluster.cancelled:
                return _build_error_reply(409, "JOB_ENDED")
            self.cluster.cancelled.add(parts[2])
            return web.json_response({"job_id": parts[2]}, status=202)
        known = self.cluster.jobs.setdefault(body["job_id"], body)
        if known != body:
            return _build_error_reply(409, "JOB_ID_CONFLICT")
        return web.json_response(
            {
                "job_id": body["job_id"],
                "domain": "north-1",
                "state": "queued"
            },
            status=202)

    def _handle_patch(self, body: dict[str, Any]) -> web.Response:
        cluster, patch_id = self.cluster, body["patch_id"]
        version = cluster.version - self.version_lag
        is_current = body["base_version"] == version
        if patch_id in cluster.patches and not self.checks_version_first:
            return web.json_response(cluster.patches[patch_id])
        if body["operations"][0]["name"] == "invalid":
            return _build_error_reply(422,
                                      "PATCH_INVALID",
                                      current_version=version)
        if not is_current:
            return _build_error_reply(409,
                                      "PATCH_VERSION_CONFLICT",
                                      current_version=version)
        cluster.version += 1
        cluster.accepted_patch_ids.append(patch_id)
        cluster.patches[patch_id] = {
            "patch_id": patch_id,
            "accepted": True,
            "version": cluster.version,
            "reason": ""
        }
        return web.json_response(cluster.patches[patch_id])


def _build_error_reply(status: int, code: str, **extra: Any) -> web.Response:
    error = {"code": code, "message": "refused", "verdict": "did-not-run"}
    return web.json_response({"error": error, **extra}, status=status)
