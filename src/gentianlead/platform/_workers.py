"""HTTP client of the platform's workers."""

import datetime
import json
from typing import Any, NamedTuple

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _http
from gentianlead.platform import _jobs
from gentianlead.platform import _json

MAX_ORDER_CONNECTIONS = 3
MAX_STATUS_CONNECTIONS = 1
"""Connections to one worker for concurrent orders, and for the status request
that renews the lease. They are apart, as status requests that wait for orders
without a reply would let the lease run out. A worker accepts 64 connections
from all daemons together."""

MAX_REPORTED_ENDS = 500
"""Highest number of ended runs in a status report. A worker reports the others
when the first ones are acknowledged."""

_STATUS_PATH = "/hold"
_EXPECTED_INSTANCE_HEADER = "Gentianlead-Expected-Instance"
_STATUS_WORKER_REPLACED = 421
_UNHEALTHY_STATUSES = frozenset({429, 503})
_START_OUTCOME_BY_REASON = {
    "fence": ports.StartOutcome.FENCED,
    "old": ports.StartOutcome.OUTDATED_RUN,
    "late": ports.StartOutcome.LEASE_ALREADY_EXPIRED,
    "room": ports.StartOutcome.NO_FREE_CAPACITY,
    "ticket": ports.StartOutcome.NO_PERMIT,
}


class _WorkerEndpoints(NamedTuple):
    """Pools of connections to one worker.

    Attributes:
        orders: Pool of the orders.
        status: Pool of the status requests.
    """

    orders: _http.HttpEndpoint
    status: _http.HttpEndpoint


class PlatformWorkerClient(ports.LeasedWorkerClient):
    """Sends orders and status requests to workers and decodes their replies.

    Each worker address has its own pools of connections.
    """

    def __init__(self, loop_delay: ports.LoopDelay,
                 end_limit: datetime.timedelta):
        """Creates a client without connections.

        Args:
            loop_delay: Delay of the event loop. It is added to the timeouts of
                calls, as a reply that is read late may have come in time.
            end_limit: Longest time of a call with this addition.
        """
        self._loop_delay = loop_delay
        self._end_limit = end_limit
        self._endpoints: dict[str, _WorkerEndpoints] = {}

    async def start(self, entry: ports.WorkerEntry,
                    order: ports.LeasedStartOrder,
                    timeout: datetime.timedelta) -> ports.StartReply:
        document: dict[str, Any] = {
            "task": _jobs.format_task_name(order.task),
            "run_id": order.run,
            "spec": order.payload,
            "expires_ms": order.expires_at_ms,
            "fencing_token": order.fence_token
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        if order.permit:
            document["ticket"] = order.permit
        try:
            reply = await self._call(entry, "/run-start", document, timeout)
        except _http.HttpCallError as error:
            outcome = (ports.StartOutcome.UNHEALTHY
                       if error.verdict is errors.Verdict.DID_NOT_RUN else
                       ports.StartOutcome.UNKNOWN)
            return ports.StartReply(outcome, None, str(error))
        return _decode_start_reply(reply)

    async def stop(self, entry: ports.WorkerEntry, task: model.TaskKey,
                   run: int, fence_token: int,
                   timeout: datetime.timedelta) -> None:
        await self._call_and_check(
            entry, "/run-stop", {
                "task": _jobs.format_task_name(task),
                "run_id": run,
                "fencing_token": fence_token
            }, timeout)

    async def set_throttle(self, entry: ports.WorkerEntry, task: model.TaskKey,
                           run: int, percent: int, fence_token: int,
                           timeout: datetime.timedelta) -> None:
        await self._call_and_check(
            entry, "/pace", {
                "task": _jobs.format_task_name(task),
                "run_id": run,
                "percent": percent,
                "fencing_token": fence_token
            }, timeout)

    async def poll_status(self, entry: ports.WorkerEntry, fence_token: int,
                          acknowledged_number: int, expires_at_ms: int | None,
                          wait: datetime.timedelta,
                          timeout: datetime.timedelta) -> ports.WorkerStatus:
        document: dict[str, Any] = {
            "fencing_token": fence_token,
            # The leader has stored the ended runs up to this number, so the
            # worker need not report them again.
            "last_seen": acknowledged_number
        }
        if expires_at_ms is not None:
            document["expires_ms"] = expires_at_ms
        wait_ms = int(wait.total_seconds() * 1000)
        if wait_ms:
            document["wait_ms"] = wait_ms
        reply = await self._call_and_check(entry, _STATUS_PATH, document,
                                           timeout)
        try:
            return _decode_status(reply)
        except errors.ProtocolError as error:
            raise errors.WorkerError(
                f"malformed status of {entry.worker_id}: {error}",
                errors.Verdict.RAN) from error

    async def close_connections(self, address: str) -> None:
        """Closes the connections to the worker at an address."""
        for endpoint in self._endpoints.pop(address, ()):
            await endpoint.close()

    async def close(self) -> None:
        """Closes all connections."""
        for address in list(self._endpoints):
            await self.close_connections(address)

    async def _call(self, entry: ports.WorkerEntry, path: str,
                    document: dict[str, Any],
                    timeout: datetime.timedelta) -> _http.HttpReply:
        endpoints = self._endpoints.get(entry.address)
        if endpoints is None:
            endpoints = _WorkerEndpoints(
                *(_http.HttpEndpoint(entry.address, max_connections,
                                     self._loop_delay, self._end_limit)
                  for max_connections in (MAX_ORDER_CONNECTIONS,
                                          MAX_STATUS_CONNECTIONS)))
            self._endpoints[entry.address] = endpoints
        endpoint = (endpoints.status
                    if path == _STATUS_PATH else endpoints.orders)
        return await endpoint.call(
            "POST",
            path,
            timeout,
            json.dumps(document).encode(),
            headers={
                "Content-Type": "application/json",
                _EXPECTED_INSTANCE_HEADER: entry.worker_id
            })

    async def _call_and_check(self, entry: ports.WorkerEntry, path: str,
                              document: dict[str, Any],
                              timeout: datetime.timedelta) -> _http.HttpReply:
        """Calls a worker and raises an error unless the status is 200."""
        try:
            reply = await self._call(entry, path, document, timeout)
        except _http.HttpCallError as error:
            raise errors.WorkerError(str(error), error.verdict) from error
        if reply.status == 200:
            return reply
        if reply.status == _STATUS_WORKER_REPLACED:
            raise ports.WorkerReplacedError(
                f"{entry.worker_id} was replaced by another instance")
        if _read_refusal_reason(_decode_object_or_empty(reply)) == "fence":
            raise ports.StaleFencingTokenError(
                f"{entry.worker_id} has seen a higher fencing token")
        raise errors.WorkerError(
            f"{entry.worker_id}: status {reply.status}: {reply.body[:80]!r}",
            errors.Verdict.DID_NOT_RUN)


def _decode_object_or_empty(reply: _http.HttpReply) -> dict[str, Any]:
    """Returns the JSON object in a body, or an empty one if there is none."""
    try:
        return _json.decode_object(reply.body, "the reply")
    except errors.ProtocolError:
        return {}


def _read_refusal_reason(document: dict[str, Any]) -> str:
    reason = document.get("reason")
    return reason if isinstance(reason, str) else ""


def _decode_start_reply(reply: _http.HttpReply) -> ports.StartReply:
    document = _decode_object_or_empty(reply)
    reason = _read_refusal_reason(document)
    try:
        clock_ms = _fields.read_int(document, "clock_ms")
    except errors.ProtocolError:
        clock_ms = None
    detail = f"status {reply.status} {reason:.80}".strip()
    if reply.status == 200:
        outcome = ports.StartOutcome.STARTED
    elif reply.status == 409:
        outcome = _START_OUTCOME_BY_REASON.get(reason,
                                               ports.StartOutcome.INVALID)
    elif reply.status == _STATUS_WORKER_REPLACED:
        outcome = ports.StartOutcome.WORKER_REPLACED
    elif reply.status in _UNHEALTHY_STATUSES:
        outcome = ports.StartOutcome.UNHEALTHY
    elif reply.status == 400:
        outcome = ports.StartOutcome.INVALID
    else:
        outcome = ports.StartOutcome.UNKNOWN
    return ports.StartReply(outcome, clock_ms, detail)


def _decode_checkpoint(value: Any) -> str:
    """Returns the identifier of a checkpoint, or an empty string for none.

    Raises:
        ProtocolError: The value is neither a string nor null.
    """
    if value is None:
        return ""
    if not isinstance(value, str):
        raise errors.ProtocolError(
            f"checkpoint is {_fields.describe(value)}, expected a string")
    return value


def _decode_active_run(row: list[Any]) -> ports.ActiveRun:
    usage = row[4] if len(row) > 4 else None
    return ports.ActiveRun(
        _jobs.parse_task_name(row[0]), _fields.check_int(row[1], "run"),
        _decode_checkpoint(row[2]), _fields.truncate_number(row[3], "percent"),
        None if usage is None else _fields.truncate_number(usage, "usage"))


def _decode_ended_run(row: list[Any]) -> ports.EndedRun:
    try:
        cause = ports.EndCause(row[3])
    except ValueError as error:
        raise errors.ProtocolError(
            f"unknown cause of an end {_fields.describe(row[3])}") from error
    return ports.EndedRun(_fields.check_int(row[0], "number of an end"),
                          _jobs.parse_task_name(row[1]),
                          _fields.check_int(row[2], "run"), cause,
                          _decode_checkpoint(row[4]))


def _decode_status(reply: _http.HttpReply) -> ports.WorkerStatus:
    """Decodes a status report.

    Raises:
        ProtocolError: The body or a row of its lists is malformed.
    """
    document = _json.decode_object(reply.body, "worker status")
    active_runs = tuple(
        _decode_active_run(row)
        for row in _fields.read_rows(document, "running", 4))
    ended_runs = tuple(
        _decode_ended_run(row)
        for row in _fields.read_rows(document, "finished", 5))
    return ports.WorkerStatus(_fields.read_int(document, "clock_ms"),
                              _fields.read_int(document, "born", 0),
                              active_runs, ended_runs,
                              len(ended_runs) >= MAX_REPORTED_ENDS)
