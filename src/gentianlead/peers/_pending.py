"""Requests sent on a connection that wait for their replies."""

import asyncio

import xxhash

from gentianlead import errors
from gentianlead.peers import _codec
from gentianlead.peers import _messages

_CHECKSUM_BITS = 24
"""Number of low bits of a correlation id that are a checksum of its other bits.
A damaged id is then detected, instead of matching the reply to another
request."""


class _PendingRequest:
    """A request that waits for its reply.

    Attributes:
        future: Completed with the reply or a `RequestError`.
        reply_type: Type of the reply, unless it is a refusal.
        frame_position: Position of the first byte of the request's frame in
            the `OutgoingBuffer`.
        assembler: Joins the received parts of a long reply; None before the
            first part.
    """

    __slots__ = ("future", "reply_type", "frame_position", "assembler")

    def __init__(self, future: asyncio.Future, reply_type: type,
                 frame_position: int):
        self.future = future
        self.reply_type = reply_type
        self.frame_position = frame_position
        self.assembler: _codec.ReplyAssembler | None = None


class PendingRequests:
    """Matches replies to requests by correlation id.

    Correlation ids increase with each request. A reply to a request that was
    sent but is no longer pending is late and is dropped. A reply to a request
    that was never sent is a protocol error of the peer.
    """

    def __init__(self, hash_salt: str, max_partial_reply_bytes: int) -> None:
        """Creates an empty table of requests.

        Args:
            hash_salt: Text that no other daemon uses. It is part of the input
                of the checksums, so that the correlation ids of different
                daemons differ.
            max_partial_reply_bytes: Bytes of incomplete replies that may be
                buffered.
        """
        self._hash_salt = hash_salt
        self._max_partial_reply_bytes = max_partial_reply_bytes
        self._partial_reply_bytes = 0
        self._last_request_number = 0
        self._requests_by_id: dict[int, _PendingRequest] = {}

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def allocate_correlation_id(self) -> int:
        """Returns a correlation id that this connection has not used."""
        self._last_request_number += 1
        return self._build_correlation_id(self._last_request_number)

    def _build_correlation_id(self, request_number: int) -> int:
        checksum = xxhash.xxh3_64_intdigest(
            f"{self._hash_salt}/{request_number}".encode())
        return (request_number << _CHECKSUM_BITS) | (checksum & (
            (1 << _CHECKSUM_BITS) - 1))

    def add(self, correlation_id: int, request: _messages.Request,
            frame_position: int) -> asyncio.Future:
        """Adds a sent request and returns the future of its reply.

        Args:
            correlation_id: Identifier of the request within the connection.
            request: The request.
            frame_position: Position of the first byte of the request's frame in
                the `OutgoingBuffer`.
        """
        future = asyncio.get_running_loop().create_future()
        self._requests_by_id[correlation_id] = _PendingRequest(
            future, _messages.REPLY_TYPES[type(request)], frame_position)
        return future

    def remove(self, correlation_id: int) -> bool:
        """Removes a request; returns False if it was not pending."""
        pending_request = self._requests_by_id.pop(correlation_id, None)
        if pending_request is None:
            return False
        if pending_request.assembler is not None:
            self._partial_reply_bytes -= (
                pending_request.assembler.received_bytes)
        return True

    def _find_pending_request(self,
                              correlation_id: int) -> _PendingRequest | None:
        pending_request = self._requests_by_id.get(correlation_id)
        if pending_request is not None:
            return pending_request
        request_number = correlation_id >> _CHECKSUM_BITS
        if (not 0 < request_number <= self._last_request_number or
                correlation_id != self._build_correlation_id(request_number)):
            raise errors.ProtocolError(
                f"reply to request {correlation_id}, which was never sent")
        return None

    def deliver_reply(self, correlation_id: int,
                      reply: _messages.Reply) -> None:
        """Completes the request of a reply, or drops the reply if it is late.

        Raises:
            ProtocolError: The reply has the wrong type for the request, or the
                request was never sent.
        """
        pending_request = self._find_pending_request(correlation_id)
        if pending_request is None:
            return
        if isinstance(reply, _messages.Refusal):
            self._complete(correlation_id, pending_request,
                           _messages.build_request_error(reply))
        elif isinstance(reply, pending_request.reply_type):
            self._complete(correlation_id, pending_request, reply)
        else:
            raise errors.ProtocolError(
                f"{type(reply).__name__} is no reply to request "
                f"{correlation_id}")

    def _complete(self, correlation_id: int, pending_request: _PendingRequest,
                  result: object) -> None:
        self.remove(correlation_id)
        if pending_request.future.done():
            return
        if isinstance(result, errors.RequestError):
            pending_request.future.set_exception(result)
        else:
            pending_request.future.set_result(result)

    def add_reply_part(self, correlation_id: int,
                       part: _messages.ReplyPart) -> bool:
        """Adds a part of a long reply.

        Returns:
            False if incomplete replies exceed `max_partial_reply_bytes`. The
            request has then failed, and the peer should be asked to cancel it.

        Raises:
            ProtocolError: The part is invalid, or the request was never sent.
        """
        pending_request = self._find_pending_request(correlation_id)
        if pending_request is None:
            return True
        if pending_request.assembler is None:
            pending_request.assembler = _codec.ReplyAssembler(correlation_id)
        self._partial_reply_bytes += len(part.data)
        frame = pending_request.assembler.add(part)
        if frame is not None:
            self.deliver_reply(correlation_id, frame.message)
        elif self._partial_reply_bytes > self._max_partial_reply_bytes:
            self._complete(
                correlation_id, pending_request,
                errors.RequestError(
                    errors.ErrorCode.PEER_FAILED, f"incomplete replies exceed "
                    f"{self._max_partial_reply_bytes} bytes",
                    errors.Verdict.MAY_HAVE_RUN))
            return False
        return True

    def fail_all(self, reason: str, unsent_position: int) -> None:
        """Fails all pending requests when the connection ends.

        Args:
            reason: Why the connection ended.
            unsent_position: Position of the first byte that certainly has not
                been sent. A request whose frame starts there or later certainly
                did not run; any other request may have run.
        """
        pending_requests, self._requests_by_id = self._requests_by_id, {}
        self._partial_reply_bytes = 0
        for pending_request in pending_requests.values():
            verdict = (errors.Verdict.DID_NOT_RUN
                       if pending_request.frame_position >= unsent_position else
                       errors.Verdict.MAY_HAVE_RUN)
            if not pending_request.future.done():
                pending_request.future.set_exception(
                    errors.RequestError(errors.ErrorCode.PEER_FAILED, reason,
                                        verdict))
