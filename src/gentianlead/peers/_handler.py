"""Interface of connections to the code that uses them.

It consists of the handler of requests, the reported events and the settings.
"""

import abc
import datetime
import enum
from typing import Callable, NamedTuple

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _messages


class PeerHandler(abc.ABC):
    """Serves the requests of peers.

    When a method raises `errors.RequestError`, the peer gets a refusal with the
    code and the verdict of the error. Any other exception is reported to the
    event callback, and the peer gets a refusal that says that the request may
    have run. An asynchronous method is cancelled when the peer abandons the
    request or the connection ends.
    """

    @abc.abstractmethod
    async def handle_forward(
            self, peer: _messages.Hello,
            message: _messages.ForwardRequest) -> ports.HttpResponse:
        """Sends the request to a target and returns its complete response."""

    @abc.abstractmethod
    async def handle_loan_request(
            self, peer: _messages.Hello,
            message: _messages.LoanRequest) -> _messages.LoanGrant:
        """Lends slots of a target, or grants 0 slots if none can be lent."""

    @abc.abstractmethod
    def handle_loan_return(self, peer: _messages.Hello,
                           message: _messages.LoanReturn) -> None:
        """Takes back the slots of a loan that the borrower returned early."""

    @abc.abstractmethod
    async def handle_status_query(
            self, peer: _messages.Hello,
            message: _messages.StatusQuery) -> _messages.StatusReply:
        """Returns one section of this daemon's status."""

    async def handle_group_call(
            self, peer: _messages.Hello,
            message: _messages.GroupCall) -> _messages.GroupCallReply:
        """Calls a function for jobs or a group of workers.

        By default, all calls are refused.
        """
        del peer
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  f"unknown group call {message.subject!r}")


class PeerEventKind(enum.Enum):
    """Kinds of events on a connection that the event callback receives.

    Attributes:
        CONNECTED: The hello of the peer was accepted.
        CLOSED: The connection ended without an error.
        BROKEN: The connection ended because of an error, or was refused.
        DIAL_FAILED: No connection could be opened, or the hello failed.
        HANDLER_FAILED: A method of the handler raised an unexpected exception,
            or its reply cannot be sent.
    """

    CONNECTED = "connected"
    CLOSED = "closed"
    BROKEN = "broken"
    DIAL_FAILED = "dial-failed"
    HANDLER_FAILED = "handler-failed"


class PeerEvent(NamedTuple):
    """An event on a connection, reported so that it can be logged.

    Attributes:
        kind: Kind of the event.
        address: `host:port` of the peer.
        peer: Name from the hello of the peer; empty before the hello.
        error: Error that caused the event, or None.
    """

    kind: PeerEventKind
    address: str
    peer: str = ""
    error: Exception | None = None


EventCallback = Callable[[PeerEvent], None]


class LinkSettings(NamedTuple):
    """Timeouts and limits of connections between daemons.

    A peer is silent while nothing is received from it.

    Attributes:
        heartbeat_interval: Time between two heartbeats.
        suspect_limit: Time of silence after which another connection is opened
            and no new requests are sent on this one.
        silence_limit: Time of silence after which a connection is closed. It
            also limits how long to wait for a hello, and for a peer that has
            stopped reading.
        dial_timeout: Longest time to connect and exchange hellos.
        min_backoff: Upper bound of the random delay after the first failed
            dial; the bound doubles with each further failure.
        max_backoff: Upper bound of the random delay after any failed dial.
        max_outgoing_bytes: Bytes that may wait to be sent on a connection;
            requests from the peer are refused once less than half is free.
        max_partial_reply_bytes: Bytes of incomplete replies that a connection
            may buffer.
        max_incoming_requests: Requests from the peer that may be in progress on
            a connection.
        max_connections: Open connections that a listener accepts.
    """

    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    suspect_limit: datetime.timedelta = datetime.timedelta(seconds=2)
    silence_limit: datetime.timedelta = datetime.timedelta(seconds=3)
    dial_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    min_backoff: datetime.timedelta = datetime.timedelta(milliseconds=200)
    max_backoff: datetime.timedelta = datetime.timedelta(seconds=5)
    max_outgoing_bytes: int = 32 * 1024 * 1024
    max_partial_reply_bytes: int = 32 * 1024 * 1024
    max_incoming_requests: int = 256
    max_connections: int = 256
