"""Listener for connections from peers."""

import asyncio
import datetime
import functools

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _handler
from gentianlead.peers import _link
from gentianlead.peers import _link_monitor
from gentianlead.peers import _messages
from gentianlead.peers import _traffic


class PeerServer:
    """Listens for connections from peers and serves requests with a handler.

    Example:
        >>> server = PeerServer(Hello("entry-1#ab", "north-1"), handler, clock)
        >>> await server.start("127.0.0.1", 0)
        >>> await server.drain(timedelta(seconds=5))
        >>> await server.close()
    """

    def __init__(self,
                 own_hello: _messages.Hello,
                 handler: _handler.PeerHandler,
                 clock: ports.Clock,
                 on_event: _handler.EventCallback = lambda event: None,
                 settings: _handler.LinkSettings = _handler.LinkSettings(),
                 traffic: _traffic.LinkTraffic | None = None):
        self._settings = settings
        self._on_event = on_event
        # In the order of their acceptance.
        self._links: dict[_link.PeerLink, None] = {}
        self._server: asyncio.Server | None = None
        monitor = _link_monitor.LinkMonitor(clock, settings)
        self._build_link = functools.partial(_link.PeerLink, own_hello, handler,
                                             clock, monitor, settings, on_event,
                                             self._links.pop, traffic)

    @property
    def address(self) -> str:
        """`host:port` that the listener is bound to."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def links(self) -> list[_link.PeerLink]:
        """The accepted connections that have not ended."""
        return list(self._links)

    def get_peer_names(self) -> frozenset[str]:
        """Returns the names of the peers with a usable connection."""
        return frozenset(
            link.peer.name for link in self._links if link.is_usable)

    async def request(self, peer_name: str, message: _messages.Request,
                      timeout: datetime.timedelta) -> _messages.Reply:
        """Sends a request on the newest usable connection of a peer.

        It fails at once if there is none, and never retries.

        Args:
            peer_name: Name from the hello of the peer.
            message: The request.
            timeout: Longest wait for the reply.

        Raises:
            RequestError: There is no usable connection, the peer refused the
                request, or no reply came in time; the verdict says whether the
                request may have run.
        """
        for link in reversed(self._links):
            if (link.peer is not None and link.peer.name == peer_name and
                    link.is_usable):
                return await link.request(message, timeout)
        raise errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                  f"no usable connection from {peer_name}")

    async def start(self, host: str, port: int) -> None:
        """Listens on an address.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            self._accept_connection, host, port, reuse_address=True)

    def _accept_connection(self) -> asyncio.Protocol:
        if len(self._links) >= self._settings.max_connections:
            return _RefusedConnection(self._on_event)
        link = self._build_link()
        self._links[link] = None
        return link

    async def drain(self, timeout: datetime.timedelta) -> bool:
        """Stops listening and waits until the requests in progress have ended.

        Peers can still send requests on open connections, so the handler should
        refuse new requests before this is called.

        Returns:
            Whether all requests ended within the timeout.
        """
        self._server.close()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                for link in self.links:
                    await link.wait_idle()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stops listening, closes all connections and waits for their end."""
        self._server.close()
        for link in self.links:
            link.close()
        for link in self.links:
            await link.wait_closed()


class _RefusedConnection(asyncio.Protocol):
    """Protocol for a connection above `max_connections`, which it aborts."""

    def __init__(self, on_event: _handler.EventCallback) -> None:
        self._on_event = on_event

    def connection_made(self, transport: asyncio.Transport) -> None:
        transport.abort()
        self._on_event(
            _handler.PeerEvent(_handler.PeerEventKind.BROKEN,
                               str(transport.get_extra_info("peername")), "",
                               ConnectionError("too many connections")))
