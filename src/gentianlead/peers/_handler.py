"""Interfaces to the owner of the connections."""

import abc
import datetime
import enum
from typing import Callable, NamedTuple

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _messages


class PeerHandler(abc.ABC):
    """Serves the requests of peers.

    A method that raises `errors.RequestError` refuses the request with the
    code and the verdict of the error. Any other exception is reported to the
    event callback and refuses the request as one that may have run. A method
    is cancelled when the peer abandons the request or its connection breaks.
    """

    @abc.abstractmethod
    async def handle_forward(self, peer: _messages.Hello,
                             message: _messages.ForwardRequest) -> ports.HttpResponse:
        """Sends the request to a target and returns the whole answer."""

    @abc.abstractmethod
    async def handle_loan_ask(
            self, peer: _messages.Hello,
            message: _messages.LoanAsk) -> _messages.LoanGrant:
        """Lends slots, or none."""

    @abc.abstractmethod
    def handle_loan_return(self, peer: _messages.Hello,
                           message: _messages.LoanReturn) -> None:
        """Takes lent slots back."""

    @abc.abstractmethod
    async def handle_status_query(
            self, peer: _messages.Hello,
            message: _messages.StatusQuery) -> _messages.StatusAnswer:
        """Returns a part of this daemon's status."""

    async def handle_group_call(
            self, peer: _messages.Hello,
            message: _messages.GroupCall) -> _messages.GroupAnswer:
        """Serves a call that concerns jobs or a group of workers."""
        del peer
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  f"no group call {message.subject!r}")


class PeerEventKind(enum.Enum):
    """What happened to a connection."""

    CONNECTED = "connected"
    CLOSED = "closed"
    BROKEN = "broken"
    DIAL_FAILED = "dial-failed"
    HANDLER_FAILED = "handler-failed"


class PeerEvent(NamedTuple):
    """Something to log.

    Attributes:
        kind: What happened.
        address: `host:port` of the other side.
        peer: Name of the other side, or empty before its hello.
        error: Cause, or None.
    """

    kind: PeerEventKind
    address: str
    peer: str = ""
    error: Exception | None = None


EventCallback = Callable[[PeerEvent], None]


class LinkSettings(NamedTuple):
    """Times and limits of connections between daemons.

    Attributes:
        heartbeat_interval: Time between two heartbeats.
        suspect_limit: Silence after which another connection is opened and
            nothing more is sent on this one.
        silence_limit: Silence after which a connection is closed. It also
            limits the wait for a hello and for a peer that stopped reading.
        dial_timeout: Longest time to connect and exchange hellos.
        min_backoff: Longest delay before the first repeated dial.
        max_backoff: Longest delay before any dial.
        max_outgoing_bytes: Bytes that may wait to be sent on a connection; at
            half of it, requests of the peer are refused.
        max_assembly_bytes: Bytes of unfinished answers on a connection.
        max_incoming: Requests of the peer that may be in progress.
        max_connections: Connections that a listener accepts.
    """

    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    suspect_limit: datetime.timedelta = datetime.timedelta(seconds=2)
    silence_limit: datetime.timedelta = datetime.timedelta(seconds=3)
    dial_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    min_backoff: datetime.timedelta = datetime.timedelta(milliseconds=200)
    max_backoff: datetime.timedelta = datetime.timedelta(seconds=5)
    max_outgoing_bytes: int = 32 * 1024 * 1024
    max_assembly_bytes: int = 32 * 1024 * 1024
    max_incoming: int = 256
    max_connections: int = 256
