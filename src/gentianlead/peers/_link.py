"""One connection between two daemons; both sides may send requests."""

import asyncio
import datetime
import itertools
from typing import Callable

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _codec
from gentianlead.peers import _handler
from gentianlead.peers import _incoming
from gentianlead.peers import _messages
from gentianlead.peers import _outgoing
from gentianlead.peers import _silence
from gentianlead.peers import _waiting

_HELLO_VERSION = 0
"""Version of hellos and of refusals of a connection, which are exchanged
before the versions are known and never change except by fields at the end."""


class PeerLink(asyncio.Protocol):
    """A connection, from its hello to its end.

    Attributes:
        peer: Hello of the other side, or None before it came.
        address: `host:port` of the other side.
        attention: Set once the link is silent for `suspect_limit` or closed.
    """

    def __init__(self,
                 identity: _messages.Hello,
                 handler: _handler.PeerHandler,
                 clock: ports.Clock,
                 settings: _handler.LinkSettings,
                 on_event: _handler.EventCallback,
                 on_closed: Callable[["PeerLink"], None] | None = None):
        self.peer: _messages.Hello | None = None
        self.address = ""
        self.attention = asyncio.Event()
        self._identity = identity
        self._handler = handler
        self._clock = clock
        self._settings = settings
        self._on_event = on_event
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._outgoing: _outgoing.OutgoingBuffer | None = None
        self._reader = _codec.FrameReader()
        self._waiting = _waiting.WaitingRequests(identity.name,
                                                 settings.max_assembly_bytes)
        self._incoming = _incoming.IncomingRequests(handler,
                                                    settings.max_incoming,
                                                    self._send_reply,
                                                    self._report_handler)
        self._version = _HELLO_VERSION
        self._is_closed = False
        self._is_retired = False
        self._error: Exception | None = None
        self._settled = asyncio.Event()
        self._lost = asyncio.Event()
        self._monitor_task: asyncio.Task | None = None
        self._silence: _silence.SilenceMeter | None = None
        self._receivers = {
            _messages.Heartbeat: lambda frame: None,
            _messages.ForwardRequest: self._receive_request,
            _messages.LoanAsk: self._receive_request,
            _messages.StatusQuery: self._receive_request,
            _messages.GroupCall: self._receive_request,
            _messages.LoanReturn: self._receive_loan_return,
            _messages.Cancel: self._receive_cancel,
            ports.HttpResponse: self._receive_reply,
            _messages.Refusal: self._receive_refusal,
            _messages.LoanGrant: self._receive_reply,
            _messages.StatusAnswer: self._receive_reply,
            _messages.GroupAnswer: self._receive_reply,
            _messages.AnswerPart: self._receive_part,
        }

    # Use by the owner.

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent."""
        return (self.peer is not None and not self._is_closed and
                not self._silence.is_suspect)

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended or is ending."""
        return self._is_closed

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a reply."""
        return len(self._waiting)

    @property
    def incoming_count(self) -> int:
        """Number of requests of the peer in progress."""
        return len(self._incoming)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait to be sent."""
        return self._outgoing.waiting_bytes

    async def wait_ready(self) -> _messages.Hello:
        """Waits for the hello of the other side.

        Raises:
            ProtocolError: The other side refused or sent something else.
            RequestError: The connection ended.
        """
        await self._settled.wait()
        if self.peer is None or self._is_closed:
            raise self._error or errors.RequestError(
                errors.ErrorCode.PEER_FAILED, "connection ended before hello")
        return self.peer

    async def wait_closed(self) -> None:
        """Waits until the connection has ended."""
        await self._lost.wait()

    async def wait_idle(self) -> None:
        """Waits until no request of the peer is in progress."""
        await self._incoming.wait_idle()

    async def request(self, message: _messages.Request,
                      timeout: datetime.timedelta) -> _messages.Reply:
        """Sends a request and waits for its reply.

        When the wait ends early, by timeout or cancellation, the peer is told
        to cancel the request, and a late reply is dropped.

        Raises:
            RequestError: The request was refused, timed out, or the connection
                ended; the verdict says whether it may have run.
        """
        correlation_id, future = self._send_request(message)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError as error:
            self._abandon(correlation_id)
            raise errors.RequestError(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                f"peer {self.address} gave no answer within {timeout}",
                errors.Verdict.MAY_HAVE_RUN) from error
        except asyncio.CancelledError:
            self._abandon(correlation_id)
            raise

    def notify(self, message: _messages.LoanReturn) -> None:
        """Sends a message without reply; it is lost if the connection is."""
        if self.peer is not None and not self._is_closed:
            self._send_control(0, message)

    def retire(self) -> None:
        """Ends the connection once no request waits for a reply."""
        self._is_retired = True
        if not self._waiting:
            self.close()

    def close(self) -> None:
        """Ends the connection after the bytes already written."""
        self._finish(None, "connection closed by this daemon")

    # Sending.

    def _send_request(self,
                      message: _messages.Request) -> tuple[int, asyncio.Future]:
        if self._is_closed or self.peer is None:
            raise errors.RequestError(
                errors.ErrorCode.PEER_FAILED,
                f"no connection to peer {self.address}: {self._error}")
        correlation_id = self._waiting.take_id()
        try:
            frame = _codec.encode_frame(self._version, correlation_id, message)
        except errors.ProtocolError as error:
            raise errors.RequestError(errors.ErrorCode.BODY_TOO_LARGE,
                                      str(error)) from error
        if not self._outgoing.has_room(len(frame)):
            raise errors.RequestError(
                errors.ErrorCode.OVERLOADED,
                f"{self._outgoing.waiting_bytes} bytes wait to be sent to "
                f"peer {self.address}")
        start = self._outgoing.write(frame)
        return correlation_id, self._waiting.add(correlation_id, message, start)

    def _abandon(self, correlation_id: int) -> None:
        if self._waiting.abandon(correlation_id) and not self._is_closed:
            self._send_control(correlation_id, _messages.Cancel())

    def _send_control(self, correlation_id: int,
                      message: _messages.Message) -> None:
        frame = _codec.encode_frame(self._version, correlation_id, message)
        if not self._outgoing.has_room(len(frame), is_control=True):
            self._break(
                errors.ProtocolError("the peer does not read: "
                                     f"{self._outgoing.waiting_bytes} bytes "
                                     "wait to be sent"))
            return
        self._outgoing.write(frame)

    async def _send_reply(self, correlation_id: int,
                          reply: _messages.Reply) -> None:
        if self._is_closed:
            return
        verdict = getattr(reply, "verdict", errors.Verdict.RAN)
        try:
            frames = _codec.encode_reply(self._version, correlation_id, reply)
        except (errors.ProtocolError, TypeError, ValueError,
                OverflowError) as error:
            self._report_handler(error)
            self._send_control(
                correlation_id,
                _messages.Refusal(errors.ErrorCode.BODY_TOO_LARGE.value,
                                  f"cannot send the answer: {error!s:.200}",
                                  verdict))
            return
        if not self._outgoing.has_room(sum(map(len, frames))):
            if verdict is errors.Verdict.RAN:
                verdict = errors.Verdict.MAY_HAVE_RUN
            self._send_control(
                correlation_id,
                _messages.Refusal(
                    errors.ErrorCode.PEER_FAILED.value,
                    "the answer does not fit the outgoing buffer", verdict))
        elif len(frames) == 1:
            self._outgoing.write(frames[0])
        else:
            await self._outgoing.write_slowly(frames)

    # Receiving.

    def _receive(self, frame: _codec.Frame) -> None:
        message = frame.message
        if self.peer is None:
            self._receive_first(message)
            return
        is_refusal_of_link = (isinstance(message, _messages.Refusal) and
                              frame.correlation_id == 0)
        if frame.version != self._version and not is_refusal_of_link:
            raise errors.ProtocolError(
                f"frame of protocol version {frame.version} on a connection "
                f"of version {self._version}")
        receive = self._receivers.get(type(message))
        if receive is None:
            raise errors.ProtocolError(
                f"unexpected {type(message).__name__} message")
        receive(frame)

    def _receive_first(self, message: _messages.Message) -> None:
        if isinstance(message, _messages.Refusal):
            raise errors.ProtocolError(f"peer refused: {message.message}")
        if not isinstance(message, _messages.Hello):
            raise errors.ProtocolError(
                f"{type(message).__name__} message before hello")
        common = set(message.versions) & set(self._identity.versions)
        if not common:
            text = (f"peer {message.name!r} speaks protocol versions "
                    f"{list(message.versions)}, {self._identity.name!r} "
                    f"speaks {list(self._identity.versions)}")
            self._send_control(
                0,
                _messages.Refusal(errors.ErrorCode.PROTOCOL_ERROR.value, text,
                                  errors.Verdict.DID_NOT_RUN))
            self._finish(errors.ProtocolError(text), text)
            return
        self.peer = message
        self._version = max(common)
        self._settled.set()
        self._emit(_handler.PeerEventKind.CONNECTED, None)

    def _receive_request(self, frame: _codec.Frame) -> None:
        # A request is refused while much waits to be sent, because its answer
        # might not fit once it has run.
        is_full = not self._outgoing.has_room(
            self._settings.max_outgoing_bytes // 2)
        refusal = self._incoming.start(self.peer, frame.correlation_id,
                                       frame.message, is_full)
        if refusal is not None:
            self._send_control(frame.correlation_id, refusal)

    def _receive_loan_return(self, frame: _codec.Frame) -> None:
        try:
            self._handler.handle_loan_return(self.peer, frame.message)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # A fault in the handler must not break the connection.
            self._report_handler(error)

    def _receive_cancel(self, frame: _codec.Frame) -> None:
        self._incoming.cancel(frame.correlation_id)

    def _receive_reply(self, frame: _codec.Frame) -> None:
        self._waiting.accept_reply(frame.correlation_id, frame.message)

    def _receive_refusal(self, frame: _codec.Frame) -> None:
        if frame.correlation_id == 0:
            raise errors.ProtocolError(f"peer refused: {frame.message.message}")
        self._receive_reply(frame)

    def _receive_part(self, frame: _codec.Frame) -> None:
        if not self._waiting.accept_part(frame.correlation_id, frame.message):
            self._send_control(frame.correlation_id, _messages.Cancel())

    async def _monitor(self) -> None:
        """Sends heartbeats and ends the connection when the peer is silent."""
        interval = (self._settings.heartbeat_interval /
                    _silence.TICKS_PER_HEARTBEAT)
        for tick in itertools.count(1):
            await self._clock.sleep(interval)
            self._silence.advance()
            if self._silence.fault:
                self._break(
                    errors.ProtocolError(
                        f"peer {self.address} {self._silence.fault}"))
                return
            if self._silence.is_suspect:
                self.attention.set()
            if self._is_retired:
                self.retire()
            if (tick % _silence.TICKS_PER_HEARTBEAT == 0 and
                    self.peer is not None and not self._is_closed):
                self._send_control(0, _messages.Heartbeat())

    # End of the connection.

    def _break(self, error: Exception) -> None:
        """Ends the connection at once after an error."""
        self._finish(error, f"connection to peer {self.address} broke: {error}")
        self._transport.abort()

    def _finish(self, error: Exception | None, reason: str) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._error = error
        self._settled.set()
        self.attention.set()
        if self._outgoing is None:  # Never connected.
            return
        self._waiting.fail_all(reason, self._outgoing.taken)
        self._incoming.cancel_all()
        self._transport.close()
        self._emit(
            _handler.PeerEventKind.CLOSED
            if error is None else _handler.PeerEventKind.BROKEN, error)

    def _report_handler(self, error: Exception) -> None:
        self._emit(_handler.PeerEventKind.HANDLER_FAILED, error)

    def _emit(self, kind: _handler.PeerEventKind,
              error: Exception | None) -> None:
        name = self.peer.name if self.peer is not None else ""
        self._on_event(_handler.PeerEvent(kind, self.address, name, error))

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        address = transport.get_extra_info("peername") or ("unknown", 0)
        self.address = f"{address[0]}:{address[1]}"
        self._outgoing = _outgoing.OutgoingBuffer(
            transport, self._settings.max_outgoing_bytes)
        self._silence = _silence.SilenceMeter(self._clock, self._settings,
                                              self._outgoing)
        self._send_control(0, self._identity)
        self._monitor_task = asyncio.get_running_loop().create_task(
            self._monitor())

    def data_received(self, data: bytes) -> None:
        if self._is_closed:
            return
        try:
            for body in self._reader.feed(data):
                self._receive(_codec.decode_body(body))
                if self._is_closed:
                    return
            # Bytes before the hello do not count, so that a peer that never
            # completes it is dropped.
            if self.peer is not None:
                self._silence.note_received()
        except errors.ProtocolError as error:
            self._break(error)

    def eof_received(self) -> None:
        if not self._reader.is_empty:
            self._break(errors.ProtocolError("stream ended inside a frame"))

    def pause_writing(self) -> None:
        self._outgoing.pause()

    def resume_writing(self) -> None:
        self._outgoing.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish(
            exc, f"connection to peer {self.address} ended: "
            f"{exc or 'closed by the peer'}")
        self._lost.set()
        self._monitor_task.cancel()
        if self._on_closed is not None:
            self._on_closed(self)
