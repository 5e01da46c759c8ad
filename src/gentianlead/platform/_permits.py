"""HTTP client of the platform's advisory service."""

import datetime
import json
from typing import Sequence

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _http
from gentianlead.platform import _json

MAX_CONNECTIONS = 4
"""Connections to the service. It processes one request of each VM at a time, so
more connections would only queue requests there."""

DEFAULT_PERMIT_VALIDITY_MS = 1000
"""Validity of permits in milliseconds if the reply states none. It is short
because an expired permit leads to a refused start, while an early renewal costs
only a request."""


class PlatformPermitService(ports.PermitService):
    """Requests start permits from the advisory service over HTTP."""

    def __init__(self, address: str):
        self._endpoint = _http.HttpEndpoint(address, MAX_CONNECTIONS)

    async def request_permits(self, job_id: str, occurrence: int, step: int,
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
        return _decode_permit_reply(reply.body)

    async def close(self) -> None:
        """Closes all connections."""
        await self._endpoint.close()


def _decode_permit_reply(body: bytes) -> ports.PermitReply:
    try:
        document = _json.decode_object(body, "the reply")
        permits: dict[str, str] = {}
        for grant in document.get("granted") or ():
            worker_id, permit = grant
            if not isinstance(worker_id, str) or not isinstance(permit, str):
                raise ValueError(
                    f"permit {_fields.describe(grant)} is not a pair of strings"
                )
            permits[worker_id] = permit
        valid_ms = _fields.read_int(document, "valid_ms",
                                    DEFAULT_PERMIT_VALIDITY_MS)
    except (errors.ProtocolError, TypeError, ValueError) as error:
        raise ports.PermitError(
            f"malformed reply of the advisory service: {error}") from error
    return ports.PermitReply(permits, datetime.timedelta(milliseconds=valid_ms))
