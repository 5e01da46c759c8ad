"""Calls between daemons over peer streams."""

import datetime
import functools
from typing import Awaitable, Callable, Mapping, NamedTuple

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import peers
from gentianlead import ports
from gentianlead.cluster import _peer_messages

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

CONNECTION_LINGER = datetime.timedelta(seconds=5)
"""Time for which a usable connection to a daemon is kept after it was last
wanted, so that candidates that come and go do not open and close connections.
A connection that was lost within this time marks its daemon as unreachable
until a dial succeeds."""


class Reachability(NamedTuple):
    """What open connections and dials tell about the other daemons.

    Attributes:
        reachable_names: Names of the daemons that an open connection reaches.
        unreachable_names: Names of the selected daemons to which there is no
            usable connection. A daemon that is dialed for the first time is not
            among them until this dial has ended.
    """

    reachable_names: frozenset[str]
    unreachable_names: frozenset[str]


class _DialedDaemon(NamedTuple):
    """A daemon that is dialed.

    Attributes:
        address: `host:port` of the daemon.
        wanted_at: Monotonic time in seconds at which the connection was last
            wanted.
        replaces_lost_link: Whether the connection replaces one that was usable
            and is not any more.
    """

    address: str
    wanted_at: float
    replaces_lost_link: bool


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

    It dials some of the other daemons and is dialed by some. Calls go over both
    kinds of connections. An accepted connection belongs to the member whose
    newest record names the incarnation in the hello of the connection.

    Example:
        >>> peering = Peering("entry-1#ab", "north-1", clock, random_source)
        >>> peering.handlers["state"] = serve_state
        >>> await peering.call("entry-2", "state", query, StateReply)

    Attributes:
        handlers: Functions that serve received calls, by subject of the call.
        traffic: Counts of the messages and checks of all peer streams.
    """

    def __init__(self, incarnation: str, domain: str, clock: ports.Clock,
                 random_source: ports.RandomSource):
        hello = peers.Hello(incarnation, domain)
        self.handlers: dict[str, CallHandler] = {}
        self.traffic = peers.LinkTraffic(_peer_messages.NOTICE_REPORT)
        self._peer_server = peers.PeerServer(hello,
                                             self,
                                             clock,
                                             settings=LINK_SETTINGS,
                                             traffic=self.traffic)
        self._peer_pool = peers.PeerPool(hello,
                                         self,
                                         clock,
                                         random_source,
                                         settings=LINK_SETTINGS,
                                         traffic=self.traffic)
        self._clock = clock
        self._node = incarnation.partition("#")[0]
        self._members: Mapping[str, dispatch.MemberRecord] = {}
        self._selected_names: frozenset[str] = frozenset()
        self._dialed_daemons: dict[str, _DialedDaemon] = {}
        self._linked_at: dict[str, float] = {}

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

    def set_members(self, members: Mapping[str, dispatch.MemberRecord],
                    selected_names: frozenset[str]) -> None:
        """Sets the other daemons, and those to which this daemon connects.

        A selected daemon that has dialed this one is not dialed, if its name
        comes before the own name: one connection is enough for both.

        Args:
            members: Newest records of the other daemons, by name.
            selected_names: Names of the daemons to connect to.
        """
        now = self._clock.monotonic()
        self._members = members
        self._selected_names = selected_names
        accepted_incarnations = self._peer_server.get_peer_names()
        connected_addresses = self._peer_pool.get_peers()
        self._record_links(
            now,
            accepted_incarnations.union(
                hello.name for hello in connected_addresses.values()))
        dialed_daemons = {}
        for name in selected_names:
            record = self._members[name]
            if (name > self._node or
                    record.incarnation not in accepted_incarnations):
                dialed_daemons[name] = self._build_dialed_daemon(record, now)
        for name, dialed_daemon in self._dialed_daemons.items():
            record = self._members.get(name)
            if (name not in dialed_daemons and
                    dialed_daemon.address in connected_addresses and
                (record is None or record.address == dialed_daemon.address) and
                    self._must_linger(dialed_daemon, now)):
                dialed_daemons[name] = dialed_daemon
        self._dialed_daemons = dialed_daemons
        self._peer_pool.set_addresses(
            dialed_daemon.address for dialed_daemon in dialed_daemons.values())

    def _record_links(self, now: float,
                      linked_incarnations: frozenset[str]) -> None:
        """Keeps in memory when each peer last had a usable connection."""
        self._linked_at = {
            incarnation: linked_at
            for incarnation, linked_at in self._linked_at.items()
            if now - linked_at <= CONNECTION_LINGER.total_seconds()
        }
        self._linked_at.update(dict.fromkeys(linked_incarnations, now))

    def _build_dialed_daemon(self, record: dispatch.MemberRecord,
                             now: float) -> _DialedDaemon:
        former = self._dialed_daemons.get(record.node)
        if former is not None and former.address == record.address:
            return former._replace(wanted_at=now)
        return _DialedDaemon(record.address, now, record.incarnation
                             in self._linked_at)

    def _must_linger(self, dialed_daemon: _DialedDaemon, now: float) -> bool:
        return (now - dialed_daemon.wanted_at
                <= CONNECTION_LINGER.total_seconds() or
                not self._peer_pool.is_idle(dialed_daemon.address))

    def count_open_links(self) -> tuple[int, int]:
        """Returns the numbers of open peer streams, dialed and accepted."""
        return (self._peer_pool.count_open_links(),
                len(self._peer_server.links))

    def list_reachable_daemons(self) -> frozenset[str]:
        """Returns the names of the daemons that an open connection reaches."""
        connected_addresses = self._peer_pool.get_peers()
        accepted_incarnations = self._peer_server.get_peer_names()
        return frozenset([
            name for name, dialed_daemon in self._dialed_daemons.items()
            if dialed_daemon.address in connected_addresses
        ] + [
            name for name, record in self._members.items()
            if record.incarnation in accepted_incarnations
        ])

    def find_reachability(self) -> Reachability:
        """Returns which daemons are reachable and which are not."""
        reachable_names = self.list_reachable_daemons()
        failed_addresses = self._peer_pool.get_failed_addresses()
        unreachable_names = set()
        for name in self._selected_names - reachable_names:
            dialed_daemon = self._dialed_daemons.get(name)
            if (dialed_daemon is None or dialed_daemon.replaces_lost_link or
                    dialed_daemon.address in failed_addresses):
                unreachable_names.add(name)
        return Reachability(reachable_names, frozenset(unreachable_names))

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
        if not isinstance(request, SharedRequest):
            request = SharedRequest(request)
        message = peers.GroupCall(subject, request.payload)
        dialed_daemon = self._dialed_daemons.get(daemon_name)
        record = self._members.get(daemon_name)
        if (dialed_daemon is not None and
                self._peer_pool.is_connected(dialed_daemon.address)):
            reply = await self._peer_pool.request(dialed_daemon.address,
                                                  message, timeout)
        elif record is not None:
            reply = await self._peer_server.request(record.incarnation, message,
                                                    timeout)
        else:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                      f"unknown daemon {daemon_name!r}")
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
