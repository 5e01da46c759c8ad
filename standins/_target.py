"""Target of one worker: answers the requests of any service."""

import asyncio
import json
import time
from typing import Any

from aiohttp import web

from standins import _endpoint
from standins import _journal

_FILLER = b"."
_KEY_HEADERS = ("Gentianlead-Idempotency-Key", "Idempotency-Key")
_CALLER_ID_HEADER = "Gentianlead-Request-Id"


class Target:
    """HTTP server with a limit of requests at the same time.

    Query parameters of a request: `work_ms` (work time), `body_bytes` (least
    size of the body), `status`, and, for the journal, `id` (the caller's own
    name for the request) and `key` (its idempotency key).

    Attributes:
        endpoint: Its port.
        is_leaving: Whether new requests are refused.
        extra_seconds: Work time that each request takes in addition.
    """

    def __init__(self, worker: str, domain: str, slots: int, connections: int,
                 journal: _journal.Journal):
        self.endpoint = _endpoint.Endpoint(f"{worker}/target", self._handle,
                                           journal, connections)
        self.is_leaving = False
        self.extra_seconds = 0.0
        self._fields = {"worker": worker, "domain": domain}
        self._slots = slots
        self._running = 0
        self._journal = journal

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        request_id = request.headers.get("X-Request-Id", "")
        if self.is_leaving:
            return self._refuse("request_refused", request_id, "leaving")
        if self._running >= self._slots:
            return self._refuse("slot_overrun", request_id, "no free slot")
        self._running += 1
        entry = self._journal.add("request",
                                  **self._fields,
                                  request_id=request_id,
                                  method=request.method,
                                  path=request.path_qs,
                                  key=_find_key(request),
                                  caller_id=_find_caller_id(request))
        try:
            return await self._run(request, request_id, entry)
        finally:
            entry["ended_at"] = time.monotonic()
            self._running -= 1

    def _refuse(self, kind: str, request_id: str, reason: str) -> web.Response:
        self._journal.add(kind,
                          **self._fields,
                          request_id=request_id,
                          reason=reason)
        return web.Response(status=503,
                            text=reason,
                            headers={
                                "X-Not-Run": "1",
                                "X-Request-Id": request_id
                            })

    async def _run(self, request: web.BaseRequest, request_id: str,
                   entry: _journal.Entry) -> web.Response:
        body = await request.read()
        query = request.query
        work = float(query.get("work_ms", 0)) / 1000 + self.extra_seconds
        if work > 0:
            await asyncio.sleep(work)
        status = int(query.get("status", 200))
        entry["status"] = status
        answer: dict[str, Any] = {
            **self._fields,
            "path": request.path_qs,
            "request_id": request_id,
            "caller_id": entry["caller_id"],
            "received": len(body),
        }
        text = json.dumps(answer).encode()
        size = int(query.get("body_bytes", 0))
        return web.Response(body=text.ljust(size, _FILLER),
                            status=status,
                            headers={
                                "Content-Type": "application/json",
                                "X-Request-Id": request_id
                            })


def _find_header(request: web.BaseRequest, *names: str) -> str:
    for name in names:
        if name in request.headers:
            return request.headers[name]
    return ""


def _find_key(request: web.BaseRequest) -> str:
    return request.query.get("key") or _find_header(request, *_KEY_HEADERS)


def _find_caller_id(request: web.BaseRequest) -> str:
    return request.query.get("id") or _find_header(request, _CALLER_ID_HEADER)
