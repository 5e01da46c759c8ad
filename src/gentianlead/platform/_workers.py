"""Client of the platform's workers."""

import datetime
import json
from typing import Any

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _http
from gentianlead.platform import _jobs

MAX_CONNECTIONS = 4
"""One for the look that waits, the others for orders side by side. A worker
takes 64 from all daemons together."""

_INSTANCE_HEADER = "Gentianlead-Expected-Instance"
_STATUS_REBORN = 421
_UNHEALTHY = frozenset({429, 503})
_REFUSALS = {
    "fence": ports.StartOutcome.FENCED,
    "old": ports.StartOutcome.OUTDATED_RUN,
    "late": ports.StartOutcome.LEASE_ALREADY_EXPIRED,
    "room": ports.StartOutcome.NO_FREE_CAPACITY,
    "ticket": ports.StartOutcome.NO_PERMIT,
}


class PlatformWorkers(ports.LeasedWorkerClient):
    """Calls to all workers of a group."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _http.HttpEndpoint] = {}

    async def start(self, entry: ports.WorkerEntry, order: ports.LeasedStartOrder,
                    timeout: datetime.timedelta) -> ports.StartReply:
        document: dict[str, Any] = {
            "task": _jobs.format_task(order.task),
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
        return _decode_start(reply)

    async def stop(self, entry: ports.WorkerEntry, task: model.TaskKey,
                   run: int, fence_token: int, timeout: datetime.timedelta) -> None:
        await self._order(entry, "/run-stop", {
            "task": _jobs.format_task(task),
            "run_id": run,
            "fencing_token": fence_token
        }, timeout)

    async def set_throttle(self, entry: ports.WorkerEntry, task: model.TaskKey,
                   run: int, percent: int, fence_token: int,
                   timeout: datetime.timedelta) -> None:
        await self._order(
            entry, "/pace", {
                "task": _jobs.format_task(task),
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
            # Ends up to this number are stored; the worker forgets them.
            "last_seen": acknowledged_number
        }
        if expires_at_ms is not None:
            document["expires_ms"] = expires_at_ms
        wait_ms = int(wait.total_seconds() * 1000)
        if wait_ms:
            document["wait_ms"] = wait_ms
        reply = await self._order(entry, "/hold", document, timeout)
        try:
            return _decode_look(reply)
        except (errors.ProtocolError, ValueError, TypeError,
                IndexError) as error:
            raise errors.WorkerError(
                f"unreadable lists of {entry.worker_id}: {error}",
                errors.Verdict.RAN) from error

    async def forget(self, address: str) -> None:
        """Closes the connections to a worker."""
        endpoint = self._endpoints.pop(address, None)
        if endpoint is not None:
            await endpoint.close()

    async def close(self) -> None:
        """Closes all connections."""
        for address in list(self._endpoints):
            await self.forget(address)

    async def _call(self, entry: ports.WorkerEntry, path: str,
                    document: dict[str, Any],
                    timeout: datetime.timedelta) -> _http.HttpReply:
        endpoint = self._endpoints.get(entry.address)
        if endpoint is None:
            endpoint = _http.HttpEndpoint(entry.address, MAX_CONNECTIONS)
            self._endpoints[entry.address] = endpoint
        return await endpoint.call("POST",
                                   path,
                                   timeout,
                                   json.dumps(document).encode(),
                                   headers={
                                       "Content-Type": "application/json",
                                       _INSTANCE_HEADER: entry.worker_id
                                   })

    async def _order(self, entry: ports.WorkerEntry, path: str,
                     document: dict[str, Any],
                     timeout: datetime.timedelta) -> _http.HttpReply:
        try:
            reply = await self._call(entry, path, document, timeout)
        except _http.HttpCallError as error:
            raise errors.WorkerError(str(error), error.verdict) from error
        if reply.status == 200:
            return reply
        if reply.status == _STATUS_REBORN:
            raise ports.WorkerReplacedError(f"{entry.worker_id} is another lifetime now")
        if _read_reason(reply) == "fence":
            raise ports.StaleFencingTokenError(f"{entry.worker_id} has a higher fence")
        raise errors.WorkerError(
            f"{entry.worker_id}: status {reply.status}: {reply.body[:80]!r}",
            errors.Verdict.DID_NOT_RUN)


def _read_document(reply: _http.HttpReply) -> dict[str, Any]:
    try:
        document = json.loads(reply.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _read_reason(reply: _http.HttpReply) -> str:
    return str(_read_document(reply).get("reason", ""))


def _decode_start(reply: _http.HttpReply) -> ports.StartReply:
    document = _read_document(reply)
    clock = document.get("clock_ms")
    clock_ms = clock if isinstance(clock, int) else None
    detail = f"status {reply.status} {document.get('reason', '')}".strip()
    if reply.status == 200:
        outcome = ports.StartOutcome.STARTED
    elif reply.status == 409:
        outcome = _REFUSALS.get(str(document.get("reason")),
                                ports.StartOutcome.INVALID)
    elif reply.status == _STATUS_REBORN:
        outcome = ports.StartOutcome.WORKER_REPLACED
    elif reply.status in _UNHEALTHY:
        outcome = ports.StartOutcome.UNHEALTHY
    elif reply.status == 400:
        outcome = ports.StartOutcome.INVALID
    else:
        outcome = ports.StartOutcome.UNKNOWN
    return ports.StartReply(outcome, clock_ms, detail)


def _decode_look(reply: _http.HttpReply) -> ports.WorkerStatus:
    document = _fields.require_object(json.loads(reply.body), "lists")
    running = []
    for row in document.get("running") or ():
        latency_ms_or_cpu_millis = row[4] if len(row) > 4 else None
        running.append(
            ports.ActiveRun(_jobs.parse_task(row[0]), int(row[1]),
                              str(row[2] or ""), int(row[3]),
                              None if latency_ms_or_cpu_millis is None else int(latency_ms_or_cpu_millis)))
    ended = [
        ports.EndedRun(int(row[0]), _jobs.parse_task(row[1]), int(row[2]),
                        ports.EndCause(row[3]), str(row[4] or ""))
        for row in document.get("finished") or ()
    ]
    return ports.WorkerStatus(_fields.read_int(document, "clock_ms"),
                            _fields.read_int(document, "born", 0),
                            tuple(running), tuple(ended))
