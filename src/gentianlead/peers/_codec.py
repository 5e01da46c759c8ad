"""Encodes messages between daemons as frames and decodes them.

A frame is the length of its body in 4 bytes, big-endian, and then the body: a
msgpack array of the protocol version, the number of the message kind, the
correlation id and the fields of the message.

Example:
    >>> reader = FrameReader()
    >>> [body] = reader.feed(encode_frame(1, 7, Cancel()))
    >>> decode_body(body)
    Frame(version=1, correlation_id=7, message=Cancel())
"""

import enum
import struct
from typing import NamedTuple

import msgpack
import msgspec

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _messages

MAX_FRAME_BYTES = 1024 * 1024
"""Longest body of a frame, in bytes."""

REPLY_PART_BYTES = 128 * 1024
"""Bytes of a long reply that one `ReplyPart` carries. The size is far below the
frame limit, so that short replies are sent between the parts of long ones."""

MAX_REPLY_BODY_BYTES = 8 * 1024 * 1024
"""Longest HTTP body of an `HttpResponse`, and longest encoded form of any other
reply, in bytes."""

MAX_SPLIT_REPLY_BYTES = MAX_REPLY_BODY_BYTES + MAX_FRAME_BYTES
"""Longest encoded reply that is split into parts, in bytes. It includes the
HTTP headers of an `HttpResponse` besides its body."""

_LENGTH_PREFIX = struct.Struct(">I")
_MAX_CORRELATION_ID = 2**63 - 1
_KIND_NUMBERS_BY_TYPE = {
    message_type: kind_number for kind_number, message_type in
    _messages.MESSAGE_TYPES_BY_KIND_NUMBER.items()
}


class Frame(NamedTuple):
    """A decoded frame.

    Attributes:
        version: Protocol version that the sender used.
        correlation_id: Identifier of the request within its connection, which
            its reply and its cancellation repeat; 0 for other messages.
        message: Content of the frame.
    """

    version: int
    correlation_id: int
    message: _messages.Message


def _encode_value(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"cannot send a {type(value).__name__}")


def _encode_body(version: int, correlation_id: int,
                 message: _messages.Message) -> bytes:
    kind_number = _KIND_NUMBERS_BY_TYPE[type(message)]
    return msgpack.packb([version, kind_number, correlation_id, *message],
                         default=_encode_value)


def encode_frame(version: int, correlation_id: int,
                 message: _messages.Message) -> bytes:
    """Encodes a message as one frame.

    Raises:
        ProtocolError: The message exceeds `MAX_FRAME_BYTES`.
    """
    body = _encode_body(version, correlation_id, message)
    if len(body) > MAX_FRAME_BYTES:
        raise errors.ProtocolError(
            f"{type(message).__name__} of {len(body)} bytes exceeds the frame "
            f"limit of {MAX_FRAME_BYTES}")
    return _LENGTH_PREFIX.pack(len(body)) + body


def encode_reply(version: int, correlation_id: int,
                 message: _messages.Reply) -> list[bytes]:
    """Encodes a reply as one frame, or as `ReplyPart` frames when it is long.

    Raises:
        ProtocolError: The reply exceeds `MAX_REPLY_BODY_BYTES` or
            `MAX_SPLIT_REPLY_BYTES`.
    """
    body = _encode_body(version, correlation_id, message)
    if len(body) <= MAX_FRAME_BYTES:
        return [_LENGTH_PREFIX.pack(len(body)) + body]
    payload_size = (len(message.body)
                    if isinstance(message, ports.HttpResponse) else len(body))
    if payload_size > MAX_REPLY_BODY_BYTES or len(body) > MAX_SPLIT_REPLY_BYTES:
        raise errors.ProtocolError(
            f"{type(message).__name__} of {payload_size} bytes exceeds the "
            f"reply limit of {MAX_REPLY_BODY_BYTES}")
    part_count = -(-len(body) // REPLY_PART_BYTES)
    return [
        encode_frame(
            version, correlation_id,
            _messages.ReplyPart(
                index, part_count,
                body[index * REPLY_PART_BYTES:(index + 1) * REPLY_PART_BYTES]))
        for index in range(part_count)
    ]


def decode_body(body: bytes) -> Frame:
    """Decodes the body of a frame.

    Values after the fields that this version knows are ignored, because a newer
    daemon may send them.

    Raises:
        ProtocolError: The body is malformed or of an unknown kind.
    """
    try:
        values = msgpack.unpackb(body, strict_map_key=False)
        version, kind_number, correlation_id = values[:3]
        message_type = _messages.MESSAGE_TYPES_BY_KIND_NUMBER.get(kind_number)
        if message_type is None:
            raise errors.ProtocolError(
                f"unknown message kind {kind_number!r:.40}")
        if type(version) is not int or type(correlation_id) is not int:  # pylint: disable=unidiomatic-typecheck
            raise errors.ProtocolError("malformed frame header")
        if not 0 <= correlation_id <= _MAX_CORRELATION_ID:
            raise errors.ProtocolError(
                f"correlation id {correlation_id} is out of range")
        fields = values[3:3 + len(message_type._fields)]
        return Frame(version, correlation_id,
                     msgspec.convert(fields, message_type))
    except errors.ProtocolError:
        raise
    except Exception as error:  # The network can deliver arbitrary bytes.
        raise errors.ProtocolError(
            f"malformed frame: {error!s:.200}") from error


class FrameReader:
    """Splits a received byte stream into the bodies of frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete frame is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the bodies that are now complete.

        Raises:
            ProtocolError: The length of a frame exceeds the frame limit.
        """
        buffer = self._buffer
        buffer += data
        bodies: list[bytes] = []
        start = 0
        while len(buffer) - start >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
            end = start + _LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            bodies.append(bytes(buffer[start + _LENGTH_PREFIX.size:end]))
            start = end
        del buffer[:start]
        return bodies


class ReplyAssembler:
    """Joins the parts of one long reply.

    Attributes:
        received_bytes: Bytes of the reply that have been received so far.
    """

    def __init__(self, correlation_id: int) -> None:
        self._correlation_id = correlation_id
        self._parts: list[bytes] = []
        self._part_count = 0
        self.received_bytes = 0

    def add(self, part: _messages.ReplyPart) -> Frame | None:
        """Adds the next part of the reply.

        Returns:
            The reply when it is complete, else None.

        Raises:
            ProtocolError: A part is missing or repeated, the number of parts
                changed, the reply is too long, or the parts contain no valid
                reply to this request.
        """
        if part.index != len(self._parts):
            raise errors.ProtocolError(
                f"reply part {part.index} follows {len(self._parts)} parts")
        if part.index == 0:
            self._part_count = part.count
        if part.count != self._part_count or part.index >= part.count:
            raise errors.ProtocolError(
                f"reply part {part.index} of {part.count} does not match the "
                f"announced {self._part_count} parts")
        self.received_bytes += len(part.data)
        if self.received_bytes > MAX_SPLIT_REPLY_BYTES:
            raise errors.ProtocolError(
                f"reply in parts exceeds {MAX_SPLIT_REPLY_BYTES} bytes")
        self._parts.append(part.data)
        if len(self._parts) < self._part_count:
            return None
        frame = decode_body(b"".join(self._parts))
        if frame.correlation_id != self._correlation_id or isinstance(
                frame.message, _messages.ReplyPart):
            raise errors.ProtocolError(
                "reply in parts contains another message")
        return frame
