"""Calls between daemons over their streams."""

import datetime
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
"""Streams between daemons. Suspicion may be quick, because fences and not
suspicion keep tasks from running twice."""

CALL_TIMEOUT = datetime.timedelta(milliseconds=700)
"""Longest wait for the reply of a peer to a notice."""

Handler = Callable[[bytes], Awaitable[object]]


class Peering(peers.PeerHandler):
    """Sends and serves calls between daemons.

    Example:
        >>> peering = Peering("entry-1#ab", "north-1", clock, random_source)
        >>> peering.handlers["state"] = answer_state
        >>> await peering.call("entry-2", "state", question, StateReply)

    Attributes:
        handlers: Handlers of calls by subject.
    """

    def __init__(self, identity: str, domain: str, clock: ports.Clock,
                 random_source: ports.RandomSource):
        hello = peers.Hello(identity, domain)
        self.handlers: dict[str, Handler] = {}
        self._server = peers.PeerServer(hello,
                                        self,
                                        clock,
                                        settings=LINK_SETTINGS)
        self._pool = peers.PeerPool(hello,
                                    self,
                                    clock,
                                    random_source,
                                    settings=LINK_SETTINGS)
        self._addresses: dict[str, str] = {}

    async def start(self, host: str, ports_range: tuple[int, int]) -> str:
        """Listens on the first free port and returns the address.

        Raises:
            OSError: No port is free.
        """
        problem: OSError | None = None
        for port in range(ports_range[0], ports_range[1] + 1):
            try:
                await self._server.start(host, port)
                return self._server.address
            except OSError as error:
                problem = error
        raise problem or OSError("no port for peers")

    async def close(self) -> None:
        """Ends all streams."""
        await self._pool.close()
        await self._server.close()

    def set_members(self, members: dict[str, str]) -> None:
        """Sets the addresses of the other daemons by name."""
        if members != self._addresses:
            self._addresses = dict(members)
            self._pool.set_addresses(members.values())

    def list_reachable(self) -> frozenset[str]:
        """Returns the names of daemons that a stream reaches now."""
        reached = self._pool.get_peers()
        return frozenset(name for name, address in self._addresses.items()
                         if address in reached)

    async def call(self,
                   name: str,
                   subject: str,
                   argument: object,
                   kind: type,
                   timeout: datetime.timedelta = CALL_TIMEOUT) -> object:
        """Calls a daemon.

        Raises:
            RequestError: It cannot be reached, refused or did not answer.
        """
        address = self._addresses.get(name)
        if address is None:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                      f"no member {name!r}")
        answer = await self._pool.request(
            address, peers.GroupCall(subject, dispatch.encode_value(argument)),
            timeout)
        try:
            return dispatch.decode_value(answer.payload, kind)
        except errors.ProtocolError as error:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED, str(error),
                                      errors.Verdict.MAY_HAVE_RUN) from error

    async def handle_group_call(self, peer: peers.Hello,
                                message: peers.GroupCall) -> peers.GroupAnswer:
        handler = self.handlers.get(message.subject)
        if handler is None:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      f"no call {message.subject!r}")
        try:
            result = await handler(message.payload)
        except errors.ProtocolError as error:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      str(error)) from error
        return peers.GroupAnswer(dispatch.encode_value(result))

    # A stepped-job daemon forwards no requests and lends no slots.

    async def handle_forward(self, peer: peers.Hello,
                             message: peers.ForwardRequest) -> ports.HttpResponse:
        raise _build_unsupported("forwarded requests")

    async def handle_loan_ask(self, peer: peers.Hello,
                              message: peers.LoanAsk) -> peers.LoanGrant:
        raise _build_unsupported("loans")

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        raise _build_unsupported("loans")

    async def handle_status_query(
            self, peer: peers.Hello,
            message: peers.StatusQuery) -> peers.StatusAnswer:
        raise _build_unsupported("status queries")


def _build_unsupported(what: str) -> errors.RequestError:
    return errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                               f"this daemon serves no {what}")
