"""HTTP endpoints with fault switches.

An endpoint is one listening port on the loopback interface. It uses aiohttp's
low-level server, because a fault has to reach the connection itself.
"""

import asyncio
import json
import socket
import weakref
from typing import Any, Awaitable, Callable

from aiohttp import web

from standins import _faults
from standins import _journal
from standins import _ports

HOST = _ports.HOST
MAX_BODY_BYTES = 64 * 1024 * 1024
_BACKLOG = 1024
_HANG_POLL_SECONDS = 0.2
_CUT_SHORT_EXTRA_BYTES = 1000
_ID_HEADER = "X-Request-Id"
_OTHER_ID = "id-of-another-request"

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


def respond_json(value: object, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(body=json.dumps(value).encode(),
                        status=status,
                        content_type="application/json")


class _Server(web.Server):
    """Low-level server that tells its endpoint of each connection."""

    def __init__(self, endpoint: "Endpoint"):
        super().__init__(endpoint.serve, request_factory=self._build_request)
        self._endpoint = endpoint

    def _build_request(self, message: Any, payload: Any, protocol: Any,
                       writer: Any, task: Any) -> web.BaseRequest:
        return web.BaseRequest(message,
                               payload,
                               protocol,
                               writer,
                               task,
                               asyncio.get_running_loop(),
                               client_max_size=MAX_BODY_BYTES)

    def connection_made(self, handler: Any,
                        transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self._endpoint.add_connection(transport)

    def connection_lost(self,
                        handler: Any,
                        exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        self._endpoint.remove_connection(handler.transport)


class Endpoint:
    """One listening port.

    Attributes:
        name: Name in control commands and journal entries.
        port: Port, once it listens.
        faults: Faults that are switched on.
    """

    def __init__(self,
                 name: str,
                 handler: Handler,
                 journal: _journal.Journal,
                 most_connections: int = 0):
        self.name = name
        self.port = 0
        self.faults = _faults.FaultRules()
        self._handler = handler
        self._journal = journal
        self._most_connections = most_connections
        self._transports: set[asyncio.Transport] = set()
        self._silent: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        # Requests that wait on these connections must not run any more.
        self._aborted: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._server: asyncio.AbstractServer | None = None
        self._port_holder: socket.socket | None = None

    async def open(self, port: int) -> None:
        """Listens on a port; 0 takes any free one.

        The port stays reserved until `close`, also while the endpoint is down,
        so that no other process gets the requests meant for this endpoint.
        """
        if self._port_holder is None:
            self._port_holder = _ports.hold_port(port)
            self.port = self._port_holder.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            _Server(self), HOST, self.port, backlog=_BACKLOG)

    def close(self) -> None:
        """Stops listening, resets the open connections and frees the port."""
        self._stop_listening()
        if self._port_holder is not None:
            self._port_holder.close()
            self._port_holder = None

    def _stop_listening(self) -> None:
        """Refuses new connections and resets the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.abort_connections()

    def abort_connections(self) -> None:
        """Resets the open connections."""
        for transport in list(self._transports):
            self._aborted.add(transport)
            transport.abort()

    async def add_fault(self, rule: _faults.FaultRule) -> None:
        """Switches a fault on."""
        if rule.kind is _faults.FaultKind.SILENT:
            self._silent.update(self._transports)
            return
        self.faults.add(rule)
        if rule.kind is _faults.FaultKind.DOWN:
            self._stop_listening()
        elif rule.kind is _faults.FaultKind.FREEZE:
            self._thawed.clear()

    async def clear_faults(self, kind: _faults.FaultKind | None) -> None:
        """Switches the faults of a kind off, or all of them."""
        self.faults.clear(kind)
        if not self.faults.has(_faults.FaultKind.FREEZE):
            self._thawed.set()
        if self._server is None and not self.faults.has(_faults.FaultKind.DOWN):
            await self.open(self.port)

    def add_connection(self, transport: asyncio.Transport) -> None:
        """Counts a new connection and refuses it beyond the limit."""
        self._forget_closed()
        if 0 < self._most_connections <= len(self._transports):
            self._journal.add("connection_overrun",
                              endpoint=self.name,
                              limit=self._most_connections)
            # aiohttp needs the connection until its own task has begun.
            asyncio.get_running_loop().call_soon(transport.abort)
            return
        self._transports.add(transport)

    def remove_connection(self, transport: asyncio.Transport | None) -> None:
        """Forgets a connection that was closed."""
        if transport is not None:
            self._transports.discard(transport)
        self._forget_closed()

    def _forget_closed(self) -> None:
        self._transports = {
            transport for transport in self._transports
            if not transport.is_closing()
        }

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Handles a request with the faults that are switched on."""
        plan = self.faults.plan(request.method, request.path_qs)
        try:
            if not plan.rules and not self._silent:
                return await self._handler(request)
            return await self._serve_with_faults(request, plan)
        except ConnectionError:
            # The client closed the connection before its whole body arrived.
            return web.Response(status=400)

    async def _serve_with_faults(self, request: web.BaseRequest,
                                 plan: _faults.FaultPlan) -> web.Response:
        transport = request.transport
        await self._hold(transport)
        if _faults.FaultKind.FREEZE in plan.rules:
            await self._thawed.wait()
        # Read first: a delayed request takes effect although its sender has
        # given up in the meantime.
        await request.read()
        if _faults.FaultKind.SLOW in plan.rules:
            self._journal.add("request_delayed",
                              endpoint=self.name,
                              path=request.path)
        await asyncio.sleep(plan.get_delay(_faults.FaultKind.SLOW))
        if _faults.FaultKind.CLOSE in plan.rules or transport in self._aborted:
            return _reset(transport)
        response = await self._handler(request)
        await asyncio.sleep(plan.get_delay(_faults.FaultKind.LATE))
        lost = plan.rules.get(_faults.FaultKind.LOSE_REPLY)
        if lost is not None:
            if lost.is_silent and transport is not None:
                self._silent.add(transport)
            else:
                return _reset(transport)
        await self._hold(transport)
        if _faults.FaultKind.WRONG_ID in plan.rules:
            response.headers[_ID_HEADER] = _OTHER_ID
        if _faults.FaultKind.CUT_SHORT in plan.rules:
            return _cut_short(transport, response)
        return response

    async def _hold(self, transport: asyncio.Transport | None) -> None:
        """Waits for the end of a connection that was made silent."""
        while (transport in self._silent and transport is not None and
               not transport.is_closing()):
            await asyncio.sleep(_HANG_POLL_SECONDS)


def _reset(transport: asyncio.Transport | None) -> web.Response:
    if transport is not None:
        transport.abort()
    return web.Response(status=500)


def _cut_short(transport: asyncio.Transport | None,
               response: web.Response) -> web.Response:
    """Declares a longer body than it sends, then closes the connection."""
    body = bytes(response.body or b"")
    headers = dict(response.headers)
    headers["Content-Length"] = str(len(body) + _CUT_SHORT_EXTRA_BYTES)
    lines = [f"HTTP/1.1 {response.status} OK"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if transport is not None and not transport.is_closing():
        transport.write("\r\n".join(lines + ["", ""]).encode() + body)
        transport.close()
    return web.Response(status=500)
