"""Deployments, single requests and continuous load for request tests."""

import asyncio
from concurrent import futures
import http.client
import itertools
import json
import threading
import time
import types
from typing import Any, Callable, Collection, Mapping, NamedTuple, Self
import unittest

import aiohttp

from gentianlead import errors
from gentianlead import model
from standins import checks
from standins import deployment

SERVICE_NAME = "lookups"
READY_TIMEOUT_SECONDS = 60.0
WAIT_TIMEOUT_SECONDS = 60.0
DID_NOT_RUN = errors.Verdict.DID_NOT_RUN.value
MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN.value
NOT_IDEMPOTENT_HEADERS = {"Gentianlead-Idempotent": "false"}
DEPLOYMENT_OPTIONS = deployment.Options(daemon_arguments=("--drain-wait",
                                                          "300ms"))
_POLL_INTERVAL_SECONDS = 0.05
_READINESS_VALIDITY_SECONDS = 0.15
"""Half of the drain wait of the daemons. A caller that relies on an older reply
of `/readyz` may send a request when the drain wait is over, which a stopping
daemon refuses as it should."""
_CALL_TIMEOUT_SECONDS = 40.0


def build_deployment_shape(domains: int, daemons: int,
                           workers: int) -> deployment.Shape:
    """Returns the sizes of a deployment with `domain-1`, `domain-2` and so on.

    Args:
        domains: Number of failure domains.
        daemons: Number of daemons in each domain.
        workers: Number of workers in each domain.
    """
    return deployment.Shape(
        "small", "region-1",
        tuple(f"domain-{number + 1}" for number in range(domains)), daemons,
        workers, model.Resources(8000, 8000, 0), 0.5)


class CallerResponse(NamedTuple):
    """HTTP response to a caller, or the error that prevented one.

    Attributes:
        status: HTTP status; 0 when the connection failed.
        headers: Values of the headers by name in lower case.
        body: Complete body.
        connection_error: Error of the connection; empty for a response.
    """

    status: int
    headers: Mapping[str, str] = types.MappingProxyType({})
    body: bytes = b""
    connection_error: str = ""

    @property
    def verdict(self) -> str:
        """Verdict of an error response; empty for another response."""
        return self.headers.get("gentianlead-verdict", "")

    @property
    def code(self) -> str:
        """Error code of an error response; empty for another response."""
        return self.headers.get("gentianlead-error", "")

    def is_complete_response_to(self, caller_id: str) -> bool:
        """Returns whether it is a target's complete response to a request."""
        if self.status != 200:
            return False
        try:
            return json.loads(self.body.rstrip(b"."))["caller_id"] == caller_id
        except (ValueError, KeyError):
            return False


def send(port: int,
         method: str,
         path: str,
         headers: dict[str, str] | None = None,
         body: bytes = b"") -> CallerResponse:
    """Sends one request over a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1",
                                            port,
                                            timeout=_CALL_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body or None, headers or {})
        http_response = connection.getresponse()
        headers_by_lower_name = {
            name.lower(): value for name, value in http_response.getheaders()
        }
        return CallerResponse(http_response.status, headers_by_lower_name,
                              http_response.read())
    except (OSError, http.client.HTTPException) as error:
        return CallerResponse(0, connection_error=repr(error))
    finally:
        connection.close()


class RequestTestCase(unittest.TestCase):
    """Starts one deployment that all tests of a class use.

    Attributes:
        shape: Numbers of domains, daemons and workers of the deployment.
        options: Command-line arguments and relays of its processes.
    """

    shape = build_deployment_shape(1, 2, 2)
    options = DEPLOYMENT_OPTIONS
    deployment: deployment.Deployment
    _caller_id_numbers = itertools.count(1)

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = cls.enterClassContext(
            deployment.Deployment(cls.shape, cls.options))
        cls.deployment.wait_ready(READY_TIMEOUT_SECONDS)
        cls.pool = cls.enterClassContext(futures.ThreadPoolExecutor(64))
        cls.apply_patch({
            "op": "put_service",
            "name": SERVICE_NAME
        },
                        *({
                            "op": "put_domain",
                            "name": name,
                            "region": cls.shape.region
                        } for name in cls.shape.domains))

    def setUp(self) -> None:
        self.clear_faults()
        for name, process in self.deployment.daemons.items():
            if not process.is_running:
                self.deployment.start_daemon(name)
        for name in self.deployment.seats:
            self.wait_for(
                f"service at {name}",
                lambda name=name: self.call(name, "warm").status == 200)
        for rack in self.deployment.racks.values():
            rack.control("clear_journal")

    @classmethod
    def clear_faults(cls) -> None:
        """Clears all injected faults of the stand-ins."""
        running_deployment = cls.deployment
        running_deployment.log.control("clear")
        for relay in running_deployment.relays.values():
            relay.control("link", mode="pass")
        for rack in running_deployment.racks.values():
            rack.control("clear")

    @classmethod
    def apply_patch(cls,
                    *operations: dict[str, Any],
                    daemon: str = "entry-1") -> int:
        """Submits a patch on the current version and returns the new one."""
        _, config = cls.deployment.call(daemon, "GET", "/v1/config")
        status, response = cls.deployment.call(
            daemon, "POST", "/v1/config/patches", {
                "patch_id": f"patch-{config['version']}",
                "base_version": config["version"],
                "operations": list(operations),
            })
        assert status == 200, response
        return response["version"]

    def build_caller_id(self) -> str:
        """Returns a caller id that no other request of the test run has."""
        return f"{type(self).__name__}-{next(self._caller_id_numbers)}"

    def call(self,
             daemon: str,
             caller_id: str,
             method: str = "GET",
             headers: dict[str, str] | None = None,
             service: str = SERVICE_NAME,
             **query: object) -> CallerResponse:
        """Sends a request for a service to a daemon."""
        query_string = "&".join(
            f"{key}={value}" for key, value in query.items())
        return send(self.deployment.seats[daemon].caller_port, method,
                    f"/s/{service}/item?id={caller_id}&{query_string}", headers)

    def start_call(self, *arguments: Any,
                   **fields: Any) -> futures.Future[CallerResponse]:
        """Starts `call` in a thread and returns the future of its response."""
        return self.pool.submit(self.call, *arguments, **fields)

    def wait_for(self, description: str, condition: Callable[[], Any]) -> Any:
        """Waits until a condition returns a true value, and returns it."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(_POLL_INTERVAL_SECONDS)
        return self.fail(f"{description}: not within {WAIT_TIMEOUT_SECONDS} s")

    def list_executions(self, caller_id: str) -> list[dict[str, Any]]:
        """Returns the journal entries of the executions of a request."""
        return [
            entry for rack in self.deployment.racks.values()
            for entry in rack.read_journal()
            if entry["kind"] == "request" and entry["caller_id"] == caller_id
        ]

    def wait_for_execution(self, caller_id: str) -> None:
        """Waits until a target executes a request."""
        self.wait_for(f"run of {caller_id}",
                      lambda: self.list_executions(caller_id))

    def check_journals(
        self,
        refused_ids: Collection[str] = (),
        leaving_workers: Collection[checks.Absence] = ()
    ) -> None:
        """Checks the stand-ins' journals for violated guarantees.

        Args:
            refused_ids: Caller ids of requests that were refused as not run.
            leaving_workers: Periods in which workers were marked as leaving.
        """
        violations = checks.check_all(
            self.deployment.read_journals(),
            checks.Expectations(refused_ids=refused_ids,
                                workers_leaving=tuple(leaving_workers)))
        self.assertEqual([str(violation) for violation in violations], [])


class RequestLoad:
    """Runs callers that each send one request after another.

    The callers reuse connections and take the ready daemons in turn. As the
    platform's load balancer does, the load polls `/readyz` of all daemons at
    short intervals.

    Args:
        test: Test that has the deployment.
        callers: Number of callers.
        work_ms: Time that a target works on a request, in milliseconds.
        headers: Headers that all requests carry.
        one_time_interval: Every n-th request is a one-time request; 0 for none.

    Attributes:
        responses: Responses by the caller id of the request.
    """

    def __init__(self,
                 test: RequestTestCase,
                 callers: int,
                 work_ms: int,
                 headers: dict[str, str] | None = None,
                 one_time_interval: int = 0):
        self.responses: dict[str, CallerResponse] = {}
        self._test = test
        self._ports = {
            name: seat.caller_port
            for name, seat in test.deployment.seats.items()
        }
        # Monotonic seconds at which the last poll was sent that found a daemon
        # ready, by its name.
        self._ready_at = dict.fromkeys(self._ports, time.monotonic())
        self._callers = callers
        self._work_ms = work_ms
        self._headers = headers or {}
        self._one_time_interval = one_time_interval
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._request_numbers = itertools.count()

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._stop_requested.set()
        self._thread.join()

    @property
    def n_complete_responses(self) -> int:
        """Number of complete responses of targets."""
        return sum(
            response.is_complete_response_to(caller_id)
            for caller_id, response in self.responses.copy().items())

    def get_failed_responses(self) -> dict[str, CallerResponse]:
        """Returns the responses that are no complete responses of targets."""
        return {
            caller_id: response
            for caller_id, response in self.responses.copy().items()
            if not response.is_complete_response_to(caller_id)
        }

    def list_refused_ids(self) -> list[str]:
        """Returns the caller ids of requests that were refused as not run."""
        return [
            caller_id for caller_id, response in self.responses.copy().items()
            if response.verdict == DID_NOT_RUN
        ]

    async def _run(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(connector=connector,
                                         timeout=timeout) as session:
            # aiohttp must not repeat a request that a daemon failed to answer,
            # since that would hide the failure.
            session._retry_connection = False  # pylint: disable=protected-access
            readiness_pollers = [
                asyncio.create_task(self._poll_readiness(session, name, port))
                for name, port in self._ports.items()
            ]
            await asyncio.gather(
                *(self._run_caller(session) for _ in range(self._callers)))
            for readiness_poller in readiness_pollers:
                readiness_poller.cancel()

    async def _poll_readiness(self, session: aiohttp.ClientSession, name: str,
                              port: int) -> None:
        while True:
            sent_at = time.monotonic()
            try:
                async with session.get(
                        f"http://127.0.0.1:{port}/readyz") as http_response:
                    is_ready = http_response.status == 200
            except (aiohttp.ClientError, OSError):
                is_ready = False
            self._ready_at[name] = sent_at if is_ready else 0.0
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _run_caller(self, session: aiohttp.ClientSession) -> None:
        while not self._stop_requested.is_set():
            ready_since = time.monotonic() - _READINESS_VALIDITY_SECONDS
            ready_daemons = sorted(
                name for name, ready_at in self._ready_at.items()
                if ready_at >= ready_since)
            if not ready_daemons:
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                continue
            request_number = next(self._request_numbers)
            await self._send_request(
                session,
                self._ports[ready_daemons[request_number % len(ready_daemons)]],
                request_number)

    async def _send_request(self, session: aiohttp.ClientSession, port: int,
                            request_number: int) -> None:
        caller_id = self._test.build_caller_id()
        method, headers = "GET", dict(self._headers)
        if (self._one_time_interval and
                request_number % self._one_time_interval == 0):
            method = "POST"
            headers["Gentianlead-Idempotency-Key"] = caller_id
        url = (f"http://127.0.0.1:{port}/s/{SERVICE_NAME}/item?id={caller_id}"
               f"&work_ms={self._work_ms}")
        try:
            async with session.request(method, url,
                                       headers=headers) as http_response:
                headers_by_lower_name = {
                    name.lower(): value
                    for name, value in http_response.headers.items()
                }
                response = CallerResponse(http_response.status,
                                          headers_by_lower_name, await
                                          http_response.read())
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            response = CallerResponse(0, connection_error=repr(error))
        self.responses[caller_id] = response
