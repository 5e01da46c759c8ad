"""A connection between two daemons, on which both sides may send requests."""

import asyncio
import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _codec
from gentianlead.peers import _handler
from gentianlead.peers import _incoming
from gentianlead.peers import _link_monitor
from gentianlead.peers import _messages
from gentianlead.peers import _outgoing
from gentianlead.peers import _peer_liveness
from gentianlead.peers import _pending
from gentianlead.peers import _traffic

_HELLO_VERSION = 0
"""Protocol version in the frames of a hello and of a refusal of the connection.
Both are sent before the sides have agreed on a version, so their layout never
changes, except for new fields at the end."""


class PeerLink(asyncio.Protocol):
    """A connection to a peer, called link in names.

    It exchanges hellos and agrees on a protocol version, sends requests and
    matches replies to them, runs the handler for the requests of the peer,
    sends heartbeats while it sends nothing else, and closes when the peer is
    silent or stops reading. A `LinkMonitor` calls its regular checks.

    Attributes:
        peer: Hello of the peer, or None before it is received.
        address: `host:port` of the peer.
        replacement_needed: Set once the connection is closed, or the peer has
            been silent or has not read for `suspect_limit`.
    """

    def __init__(self,
                 own_hello: _messages.Hello,
                 handler: _handler.PeerHandler,
                 clock: ports.Clock,
                 monitor: _link_monitor.LinkMonitor,
                 settings: _handler.LinkSettings,
                 on_event: _handler.EventCallback,
                 on_closed: Callable[["PeerLink"], None] | None = None,
                 traffic: _traffic.LinkTraffic | None = None):
        self.peer: _messages.Hello | None = None
        self.address = ""
        self.replacement_needed = asyncio.Event()
        self._own_hello = own_hello
        self._handler = handler
        self._clock = clock
        self._monitor = monitor
        self._settings = settings
        self._on_event = on_event
        self._on_closed = on_closed
        self._traffic = traffic or _traffic.LinkTraffic()
        self._transport: asyncio.Transport | None = None
        self._outgoing_buffer: _outgoing.OutgoingBuffer | None = None
        self._frame_reader = _codec.FrameReader()
        self._pending_requests = _pending.PendingRequests(
            own_hello.name, settings.max_partial_reply_bytes)
        self._incoming_requests = _incoming.IncomingRequests(
            handler, settings.max_incoming_requests, self._send_reply,
            self._report_handler_error)
        self._protocol_version = _HELLO_VERSION
        self._heartbeat_frame = b""
        self._is_closed = False
        self._is_closing_after_replies = False
        self._closing_error: Exception | None = None
        self._handshake_ended = asyncio.Event()
        self._connection_ended = asyncio.Event()
        self._liveness_monitor: _peer_liveness.LivenessMonitor | None = None
        self._heartbeat_schedule: _peer_liveness.HeartbeatSchedule | None = None
        self._receive_methods = {
            _messages.Heartbeat: lambda frame: None,
            _messages.ForwardRequest: self._receive_request,
            _messages.LoanRequest: self._receive_request,
            _messages.StatusQuery: self._receive_request,
            _messages.GroupCall: self._receive_request,
            _messages.LoanReturn: self._receive_loan_return,
            _messages.Cancel: self._receive_cancel,
            ports.HttpResponse: self._receive_reply,
            _messages.Refusal: self._receive_refusal,
            _messages.LoanGrant: self._receive_reply,
            _messages.StatusReply: self._receive_reply,
            _messages.GroupCallReply: self._receive_reply,
            _messages.ReplyPart: self._receive_reply_part,
        }

    # Methods for the user of the connection.

    @property
    def is_usable(self) -> bool:
        """Whether requests can be sent."""
        return (self.peer is not None and not self._is_closed and
                not self._liveness_monitor.is_suspect)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed or is being closed."""
        return self._is_closed

    @property
    def pending_request_count(self) -> int:
        """Number of requests sent to the peer that wait for a reply."""
        return len(self._pending_requests)

    @property
    def incoming_request_count(self) -> int:
        """Number of requests from the peer that are in progress."""
        return len(self._incoming_requests)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken yet."""
        return self._outgoing_buffer.unsent_bytes

    async def wait_ready(self) -> _messages.Hello:
        """Waits for the hello of the peer and returns it.

        Raises:
            ProtocolError: The peer refused the connection, or its first message
                is not a hello of a supported version.
            RequestError: The connection ended before the hello.
        """
        await self._handshake_ended.wait()
        if self.peer is None or self._is_closed:
            raise self._closing_error or errors.RequestError(
                errors.ErrorCode.PEER_FAILED, "connection ended before hello")
        return self.peer

    async def wait_closed(self) -> None:
        """Waits until the transport of the connection is closed."""
        await self._connection_ended.wait()

    async def wait_idle(self) -> None:
        """Waits until no request from the peer is in progress."""
        await self._incoming_requests.wait_idle()

    async def request(self, message: _messages.Request,
                      timeout: datetime.timedelta) -> _messages.Reply:
        """Sends a request and waits for its reply.

        After a timeout or a cancellation of this call, the peer is asked to
        cancel the request, and a late reply is dropped.

        Raises:
            RequestError: The request was refused, timed out, or the connection
                ended; the verdict says whether it may have run.
        """
        correlation_id, future = self._send_request(message)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError as error:
            self._cancel_request(correlation_id)
            raise errors.RequestError(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                f"peer {self.address} sent no reply within {timeout}",
                errors.Verdict.MAY_HAVE_RUN) from error
        except asyncio.CancelledError:
            self._cancel_request(correlation_id)
            raise

    def notify(self, message: _messages.LoanReturn) -> None:
        """Sends a message that gets no reply.

        The message is lost if the connection ends before the peer reads it.
        """
        if self.peer is not None and not self._is_closed:
            self._send_control_message(0, message)

    def close_after_replies(self) -> None:
        """Closes the connection once no sent request waits for a reply.

        After the first call, the connection checks regularly whether it can be
        closed.
        """
        self._is_closing_after_replies = True
        if not self._pending_requests:
            self.close()

    def close(self) -> None:
        """Closes the connection after the bytes already written are sent."""
        self._shut_down(None, "connection closed by this daemon")

    # Sending of messages.

    def _send_request(self,
                      message: _messages.Request) -> tuple[int, asyncio.Future]:
        if self._is_closed or self.peer is None:
            raise errors.RequestError(
                errors.ErrorCode.PEER_FAILED,
                f"no connection to peer {self.address}: {self._closing_error}")
        correlation_id = self._pending_requests.allocate_correlation_id()
        try:
            frame = _codec.encode_frame(self._protocol_version, correlation_id,
                                        message)
        except errors.ProtocolError as error:
            raise errors.RequestError(errors.ErrorCode.BODY_TOO_LARGE,
                                      str(error)) from error
        if not self._outgoing_buffer.has_space(len(frame)):
            raise errors.RequestError(
                errors.ErrorCode.OVERLOADED,
                f"{self._outgoing_buffer.unsent_bytes} bytes wait to be sent "
                f"to peer {self.address}")
        self._traffic.count_sent(message)
        self._traffic.sent_bytes += len(frame)
        frame_position = self._outgoing_buffer.write(frame)
        return correlation_id, self._pending_requests.add(
            correlation_id, message, frame_position)

    def _cancel_request(self, correlation_id: int) -> None:
        if self._pending_requests.remove(
                correlation_id) and not self._is_closed:
            self._send_control_message(correlation_id, _messages.Cancel())

    def _send_control_message(self, correlation_id: int,
                              message: _messages.Message) -> None:
        frame = _codec.encode_frame(self._protocol_version, correlation_id,
                                    message)
        self._write_control_frame(frame, message)

    def _write_control_frame(self, frame: bytes,
                             message: _messages.Message) -> None:
        if not self._outgoing_buffer.has_space(len(frame), is_control=True):
            self._abort(
                errors.ProtocolError(
                    "the peer reads too slowly: "
                    f"{self._outgoing_buffer.unsent_bytes} bytes "
                    "wait to be sent"))
            return
        self._traffic.count_sent(message)
        self._traffic.sent_bytes += len(frame)
        self._outgoing_buffer.write(frame)

    async def _send_reply(self, correlation_id: int,
                          reply: _messages.Reply) -> None:
        if self._is_closed:
            return
        verdict = getattr(reply, "verdict", errors.Verdict.RAN)
        try:
            frames = _codec.encode_reply(self._protocol_version, correlation_id,
                                         reply)
        except (errors.ProtocolError, TypeError, ValueError,
                OverflowError) as error:
            self._report_handler_error(error)
            self._send_control_message(
                correlation_id,
                _messages.Refusal(errors.ErrorCode.BODY_TOO_LARGE.value,
                                  f"cannot send the reply: {error!s:.200}",
                                  verdict))
            return
        if not self._outgoing_buffer.has_space(sum(map(len, frames))):
            if verdict is errors.Verdict.RAN:
                verdict = errors.Verdict.MAY_HAVE_RUN
            self._send_control_message(
                correlation_id,
                _messages.Refusal(
                    errors.ErrorCode.PEER_FAILED.value,
                    "the reply does not fit into the outgoing buffer", verdict))
            return
        self._traffic.count_sent(reply, len(frames))
        self._traffic.sent_bytes += sum(map(len, frames))
        if len(frames) == 1:
            self._outgoing_buffer.write(frames[0])
        else:
            await self._outgoing_buffer.write_with_flow_control(frames)

    # Receiving of messages.

    def _receive_frame(self, frame: _codec.Frame) -> None:
        message = frame.message
        self._traffic.count_received(message)
        if self.peer is None:
            self._receive_hello(message)
            return
        is_connection_refusal = (isinstance(message, _messages.Refusal) and
                                 frame.correlation_id == 0)
        if (frame.version != self._protocol_version and
                not is_connection_refusal):
            raise errors.ProtocolError(
                f"frame of protocol version {frame.version} on a connection "
                f"of version {self._protocol_version}")
        receive_method = self._receive_methods.get(type(message))
        if receive_method is None:
            raise errors.ProtocolError(
                f"unexpected {type(message).__name__} message")
        receive_method(frame)

    def _receive_hello(self, message: _messages.Message) -> None:
        if isinstance(message, _messages.Refusal):
            raise errors.ProtocolError(
                f"peer refused the connection: {message.message}")
        if not isinstance(message, _messages.Hello):
            raise errors.ProtocolError(
                f"{type(message).__name__} message before hello")
        common_versions = set(message.versions) & set(self._own_hello.versions)
        if not common_versions:
            error_text = (f"peer {message.name!r} speaks protocol versions "
                          f"{list(message.versions)}, {self._own_hello.name!r} "
                          f"speaks {list(self._own_hello.versions)}")
            self._send_control_message(
                0,
                _messages.Refusal(errors.ErrorCode.PROTOCOL_ERROR.value,
                                  error_text, errors.Verdict.DID_NOT_RUN))
            self._shut_down(errors.ProtocolError(error_text), error_text)
            return
        self.peer = message
        self._protocol_version = max(common_versions)
        self._heartbeat_frame = _codec.encode_frame(self._protocol_version, 0,
                                                    _messages.Heartbeat())
        self._handshake_ended.set()
        self._emit_event(_handler.PeerEventKind.CONNECTED, None)

    def _receive_request(self, frame: _codec.Frame) -> None:
        # A request is refused while more than half of the outgoing buffer is
        # in use, because its reply might not fit once the request has run.
        is_send_buffer_full = not self._outgoing_buffer.has_space(
            self._settings.max_outgoing_bytes // 2)
        refusal = self._incoming_requests.start_handler(self.peer,
                                                        frame.correlation_id,
                                                        frame.message,
                                                        is_send_buffer_full)
        if refusal is not None:
            self._send_control_message(frame.correlation_id, refusal)

    def _receive_loan_return(self, frame: _codec.Frame) -> None:
        try:
            self._handler.handle_loan_return(self.peer, frame.message)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # A bug in the handler must not close the connection.
            self._report_handler_error(error)

    def _receive_cancel(self, frame: _codec.Frame) -> None:
        self._incoming_requests.cancel(frame.correlation_id)

    def _receive_reply(self, frame: _codec.Frame) -> None:
        self._pending_requests.deliver_reply(frame.correlation_id,
                                             frame.message)

    def _receive_refusal(self, frame: _codec.Frame) -> None:
        if frame.correlation_id == 0:
            raise errors.ProtocolError(
                f"peer refused the connection: {frame.message.message}")
        self._receive_reply(frame)

    def _receive_reply_part(self, frame: _codec.Frame) -> None:
        if not self._pending_requests.add_reply_part(frame.correlation_id,
                                                     frame.message):
            self._send_control_message(frame.correlation_id, _messages.Cancel())

    def _check_liveness(self, now: float) -> None:
        """Closes the connection if the peer is silent, or sends a heartbeat.

        The peer also counts as silent when it has stopped reading.

        Args:
            now: Monotonic time in seconds.
        """
        self._traffic.liveness_checks += 1
        self._liveness_monitor.add_elapsed_time(now)
        if self._liveness_monitor.failure_reason:
            self._abort(
                errors.ProtocolError(
                    f"peer {self.address} "
                    f"{self._liveness_monitor.failure_reason}"))
            return
        if self._liveness_monitor.is_suspect:
            self.replacement_needed.set()
        if self._is_closing_after_replies:
            self.close_after_replies()
        if (self._heartbeat_schedule.is_due(now) and self.peer is not None and
                not self._is_closed):
            self._write_control_frame(self._heartbeat_frame,
                                      _messages.Heartbeat())
            self._heartbeat_schedule.record_heartbeat(now)

    # Closing of the connection.

    def _abort(self, error: Exception) -> None:
        """Closes the connection at once and discards all unsent bytes."""
        self._shut_down(error,
                        f"connection to peer {self.address} broke: {error}")
        self._transport.abort()

    def _shut_down(self, error: Exception | None, reason: str) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._closing_error = error
        self._handshake_ended.set()
        self.replacement_needed.set()
        if self._outgoing_buffer is None:  # The connection was never made.
            return
        self._pending_requests.fail_all(reason,
                                        self._outgoing_buffer.unsent_position)
        self._incoming_requests.cancel_all()
        self._transport.close()
        self._emit_event(
            _handler.PeerEventKind.CLOSED
            if error is None else _handler.PeerEventKind.BROKEN, error)

    def _report_handler_error(self, error: Exception) -> None:
        self._emit_event(_handler.PeerEventKind.HANDLER_FAILED, error)

    def _emit_event(self, kind: _handler.PeerEventKind,
                    error: Exception | None) -> None:
        name = self.peer.name if self.peer is not None else ""
        self._on_event(_handler.PeerEvent(kind, self.address, name, error))

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        peer_address = transport.get_extra_info("peername") or ("unknown", 0)
        self.address = f"{peer_address[0]}:{peer_address[1]}"
        self._outgoing_buffer = _outgoing.OutgoingBuffer(
            transport, self._settings.max_outgoing_bytes)
        now = self._clock.monotonic()
        self._liveness_monitor = _peer_liveness.LivenessMonitor(
            now, self._settings, self._outgoing_buffer)
        self._heartbeat_schedule = _peer_liveness.HeartbeatSchedule(
            now, self._settings, self._outgoing_buffer)
        self._send_control_message(0, self._own_hello)
        self._monitor.add(self._check_liveness)

    def data_received(self, data: bytes) -> None:
        if self._is_closed:
            return
        self._traffic.received_bytes += len(data)
        if data == self._heartbeat_frame and self._frame_reader.is_empty:
            self._traffic.received[_traffic.HEARTBEAT] += 1
            self._liveness_monitor.record_received_data()
            return
        try:
            for body in self._frame_reader.feed(data):
                self._receive_frame(_codec.decode_body(body))
                if self._is_closed:
                    return
            # Bytes before the hello do not reset the time of silence, so that
            # the connection of a peer that never completes its hello is closed.
            if self.peer is not None:
                self._liveness_monitor.record_received_data()
        except errors.ProtocolError as error:
            self._abort(error)

    def eof_received(self) -> None:
        if not self._frame_reader.is_empty:
            self._abort(errors.ProtocolError("stream ended inside a frame"))

    def pause_writing(self) -> None:
        self._outgoing_buffer.pause_long_replies()

    def resume_writing(self) -> None:
        self._outgoing_buffer.resume_long_replies()

    def connection_lost(self, exc: Exception | None) -> None:
        self._shut_down(
            exc, f"connection to peer {self.address} ended: "
            f"{exc or 'closed by the peer'}")
        self._connection_ended.set()
        self._monitor.remove(self._check_liveness)
        if self._on_closed is not None:
            self._on_closed(self)
