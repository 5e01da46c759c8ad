"""Client of the platform's advisory service."""

import datetime
import json
from typing import Sequence

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _http

MAX_CONNECTIONS = 4
"""The service answers one call of a machine at a time, so that more would only
wait there."""

DEFAULT_VALID_MS = 1000
"""Life of permits where the answer names none: a short one, as an outdated
permit costs a refused start and an early renewal only a call."""


class PlatformPermits(ports.PermitService):
    """Asks the service at one address."""

    def __init__(self, address: str):
        self._endpoint = _http.HttpEndpoint(address, MAX_CONNECTIONS)

    async def request_permits(
            self, job_id: str, occurrence: int, step: int,
            workers: Sequence[str],
            timeout: datetime.timedelta) -> ports.PermitReply:
        document = {
            "step": f"{job_id}.{occurrence}.{step}",
            "workers": list(workers)
        }
        try:
            reply = await self._endpoint.call(
                "POST",
                "/advise",
                timeout,
                json.dumps(document).encode(),
                headers={"Content-Type": "application/json"})
        except _http.HttpCallError as error:
            raise ports.PermitError(str(error)) from error
        if reply.status != 200:
            raise ports.PermitError(
                f"status {reply.status}: {reply.body[:80]!r}")
        return _decode_answer(reply.body)

    async def close(self) -> None:
        """Closes all connections."""
        await self._endpoint.close()


def _decode_answer(body: bytes) -> ports.PermitReply:
    try:
        document = _fields.require_object(json.loads(body), "the answer")
        permits: dict[str, str] = {}
        for row in document.get("granted") or ():
            worker_id, permit = row
            if not isinstance(worker_id, str) or not isinstance(permit, str):
                raise ValueError(f"row {row!r:.60}")
            permits[worker_id] = permit
        valid_ms = _fields.read_int(document, "valid_ms", DEFAULT_VALID_MS)
    except (errors.ProtocolError, TypeError, ValueError) as error:
        raise ports.PermitError(f"unreadable answer: {error}") from error
    return ports.PermitReply(permits,
                              datetime.timedelta(milliseconds=valid_ms))
