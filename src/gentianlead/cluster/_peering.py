"""Calls between daemons over peer streams."""

import datetime
import functools
from typing import Awaitable, Callable

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import peers
from gentianlead import ports

LINK_SETTINGS = peers.LinkSettings(
    heartbeat_interval=datetime.timedelta(milliseconds=250),
    suspect_limit=datetime.timedelta(milliseconds=700),
    silence_limit=datetime.timedelta(milliseconds=1500),
    dial_timeout=datetime.timedelta(milliseconds=800),
    min_backoff=datetime.timedelta(milliseconds=100),
    max_backoff=datetime.timedelta(seconds=1))
"""Timings of peer streams. The limits of silence are short, because it is
harmless to suspect a peer wrongly: fencing tokens keep tasks from running
twice."""

CALL_TIMEOUT = datetime.timedelta(milliseconds=700)
"""Longest wait for the reply of a peer, unless the caller passes another
timeout."""

# Serves a call: takes the encoded message and returns the result to encode.
CallHandler = Callable[[bytes], Awaitable[object]]


class SharedRequest:
    """A request that is encoded once, to however many daemons it is sent.

    Attributes:
        value: The request, which must not change.
    """

    def __init__(self, value: object):
        self.value = value

    @functools.cached_property
    def payload(self) -> bytes:
        """The encoded request."""
        return dispatch.encode_value(self.value)


class Peering(peers.PeerHandler):
    """Sends calls to the other daemons and serves the calls that they send.

    Example:
        >>> peering = Peering("entry-1#ab", "north-1", clock, random_source)
        >>> peering.handlers["state"] = serve_state
        >>> await peering.call("entry-2", "state", query, StateReply)

    Attributes:
        handlers: Functions that serve received calls, by subject of the call.
    """

    def __init__(self, incarnation: str, domain: str, clock: ports.Clock,
                 random_source: ports.RandomSource):
        hello = peers.Hello(incarnation, domain)
        self.handlers: dict[str, CallHandler] = {}
        self._peer_server = peers.PeerServer(hello,
                                             self,
                                             clock,
                                             settings=LINK_SETTINGS)
        self._peer_pool = peers.PeerPool(hello,
                                         self,
                                         clock,
                                         random_source,
                                         settings=LINK_SETTINGS)
        self._member_addresses: dict[str, str] = {}

    async def start(self, host: str, port_range: tuple[int, int]) -> str:
        """Listens for peers on the first free port of a range.

        Returns:
            The `host:port` at which peers can reach this daemon.

        Raises:
            OSError: No port of the range is free, or the range is empty.
        """
        last_error: OSError | None = None
        for port in range(port_range[0], port_range[1] + 1):
            try:
                await self._peer_server.start(host, port)
                return self._peer_server.address
            except OSError as error:
                last_error = error
        raise last_error or OSError("the port range for peers is empty")

    async def close(self) -> None:
        """Closes all peer streams and stops listening for new ones."""
        await self._peer_pool.close()
        await self._peer_server.close()

    def set_member_addresses(self, addresses_by_name: dict[str, str]) -> None:
        """Sets the daemons to which peer streams are kept open.

        Args:
            addresses_by_name: Address (`host:port`) of each other daemon, by
                its name.
        """
        if addresses_by_name != self._member_addresses:
            self._member_addresses = dict(addresses_by_name)
            self._peer_pool.set_addresses(addresses_by_name.values())

    def list_reachable_daemons(self) -> frozenset[str]:
        """Returns the names of the daemons that an open peer stream reaches."""
        connected_addresses = self._peer_pool.get_peers()
        return frozenset(
            daemon_name
            for daemon_name, address in self._member_addresses.items()
            if address in connected_addresses)

    async def call(self,
                   daemon_name: str,
                   subject: str,
                   request: object,
                   reply_type: type,
                   timeout: datetime.timedelta = CALL_TIMEOUT) -> object:
        """Calls another daemon and decodes its reply.

        Args:
            daemon_name: Name of the daemon.
            subject: Subject of the call.
            request: Message of the subject, or a `SharedRequest` of it.
            reply_type: Type of the reply.
            timeout: Longest wait for the reply.

        Raises:
            RequestError: The daemon is unknown or unreachable, refused the
                call, or sent no usable reply in time.
        """
        address = self._member_addresses.get(daemon_name)
        if address is None:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                      f"unknown daemon {daemon_name!r}")
        if not isinstance(request, SharedRequest):
            request = SharedRequest(request)
        reply = await self._peer_pool.request(
            address, peers.GroupCall(subject, request.payload), timeout)
        try:
            return dispatch.decode_value(reply.payload, reply_type)
        except errors.ProtocolError as error:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED, str(error),
                                      errors.Verdict.MAY_HAVE_RUN) from error

    async def handle_group_call(
            self, peer: peers.Hello,
            message: peers.GroupCall) -> peers.GroupCallReply:
        handler = self.handlers.get(message.subject)
        if handler is None:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      f"unknown call {message.subject!r}")
        try:
            result = await handler(message.payload)
        except errors.ProtocolError as error:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      str(error)) from error
        return peers.GroupCallReply(dispatch.encode_value(result))

    # Peer messages of the request router. This daemon does not serve them and
    # refuses each with BAD_REQUEST.

    async def handle_forward(
            self, peer: peers.Hello,
            message: peers.ForwardRequest) -> ports.HttpResponse:
        raise _build_unsupported("forwarded requests")

    async def handle_loan_request(
            self, peer: peers.Hello,
            message: peers.LoanRequest) -> peers.LoanGrant:
        raise _build_unsupported("loans")

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        raise _build_unsupported("loans")

    async def handle_status_query(
            self, peer: peers.Hello,
            message: peers.StatusQuery) -> peers.StatusReply:
        raise _build_unsupported("status queries")


def _build_unsupported(feature: str) -> errors.RequestError:
    return errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                               f"this daemon serves no {feature}")
