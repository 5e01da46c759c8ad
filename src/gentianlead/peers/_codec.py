"""Frames between daemons: a length, then a msgpack array.

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
"""Longest body of a frame."""

PART_BYTES = 128 * 1024
"""Data in one part of a long answer. It is far below the frame limit, so that
short answers pass between the parts of long ones."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Longest body of an answer."""

MAX_PARTED_BYTES = MAX_ANSWER_BYTES + MAX_FRAME_BYTES
"""Longest reply in parts: the body of the answer and its headers."""

_LENGTH = struct.Struct(">I")
_MAX_CORRELATION_ID = 2**63 - 1
_KIND_NUMBERS = {cls: kind for kind, cls in _messages.MESSAGE_KINDS.items()}


class Frame(NamedTuple):
    """A decoded frame.

    Attributes:
        version: Protocol version that the sender used.
        correlation_id: Number of the request in its connection, or 0.
        message: The message.
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
    kind = _KIND_NUMBERS[type(message)]
    return msgpack.packb([version, kind, correlation_id, *message],
                         default=_encode_value)


def encode_frame(version: int, correlation_id: int,
                 message: _messages.Message) -> bytes:
    """Returns a message as one frame.

    Raises:
        ProtocolError: The message exceeds the limit of a frame.
    """
    body = _encode_body(version, correlation_id, message)
    if len(body) > MAX_FRAME_BYTES:
        raise errors.ProtocolError(
            f"{type(message).__name__} of {len(body)} bytes exceeds the frame "
            f"limit of {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(body)) + body


def encode_reply(version: int, correlation_id: int,
                 message: _messages.Reply) -> list[bytes]:
    """Returns a reply as one frame, or as several when it is long.

    Raises:
        ProtocolError: The reply exceeds the limit of an answer.
    """
    body = _encode_body(version, correlation_id, message)
    if len(body) <= MAX_FRAME_BYTES:
        return [_LENGTH.pack(len(body)) + body]
    size = (len(message.body)
            if isinstance(message, ports.HttpResponse) else len(body))
    if size > MAX_ANSWER_BYTES or len(body) > MAX_PARTED_BYTES:
        raise errors.ProtocolError(
            f"{type(message).__name__} of {size} bytes exceeds the answer "
            f"limit of {MAX_ANSWER_BYTES}")
    count = -(-len(body) // PART_BYTES)
    return [
        encode_frame(
            version, correlation_id,
            _messages.AnswerPart(
                index, count,
                body[index * PART_BYTES:(index + 1) * PART_BYTES]))
        for index in range(count)
    ]


def decode_body(body: bytes) -> Frame:
    """Reads the body of a frame.

    Fields after the known ones are ignored, because a newer daemon may send
    them.

    Raises:
        ProtocolError: The body is malformed or of an unknown kind.
    """
    try:
        values = msgpack.unpackb(body, strict_map_key=False)
        version, kind, correlation_id = values[:3]
        cls = _messages.MESSAGE_KINDS.get(kind)
        if cls is None:
            raise errors.ProtocolError(f"unknown message kind {kind!r:.40}")
        if type(version) is not int or type(correlation_id) is not int:  # pylint: disable=unidiomatic-typecheck
            raise errors.ProtocolError("malformed frame header")
        if not 0 <= correlation_id <= _MAX_CORRELATION_ID:
            raise errors.ProtocolError(
                f"correlation id {correlation_id} is out of range")
        fields = values[3:3 + len(cls._fields)]
        return Frame(version, correlation_id, msgspec.convert(fields, cls))
    except errors.ProtocolError:
        raise
    except Exception as error:  # Any input may come from the network.
        raise errors.ProtocolError(
            f"malformed frame: {error!s:.200}") from error


class FrameReader:
    """Cuts a stream of bytes into the bodies of frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no frame has been received in part."""
        return not self._buffer

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the bodies that are now whole.

        Raises:
            ProtocolError: A frame announces a length above the limit.
        """
        buffer = self._buffer
        buffer += data
        bodies: list[bytes] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            bodies.append(bytes(buffer[start + _LENGTH.size:end]))
            start = end
        del buffer[:start]
        return bodies


class AnswerAssembler:
    """Joins the parts of one long reply."""

    def __init__(self, correlation_id: int) -> None:
        self._correlation_id = correlation_id
        self._parts: list[bytes] = []
        self._count = 0
        self.size = 0

    def add(self, part: _messages.AnswerPart) -> Frame | None:
        """Adds a part.

        Returns:
            The reply when it is whole, else None.

        Raises:
            ProtocolError: A part is missing, repeated or does not fit.
        """
        if part.index != len(self._parts):
            raise errors.ProtocolError(
                f"answer part {part.index} follows {len(self._parts)} parts")
        if part.index == 0:
            self._count = part.count
        if part.count != self._count or part.index >= part.count:
            raise errors.ProtocolError(
                f"answer part {part.index} of {part.count} does not fit "
                f"{self._count} parts")
        self.size += len(part.data)
        if self.size > MAX_PARTED_BYTES:
            raise errors.ProtocolError(
                f"answer in parts exceeds {MAX_PARTED_BYTES} bytes")
        self._parts.append(part.data)
        if len(self._parts) < self._count:
            return None
        frame = decode_body(b"".join(self._parts))
        if frame.correlation_id != self._correlation_id or isinstance(
                frame.message, _messages.AnswerPart):
            raise errors.ProtocolError("answer in parts holds another message")
        return frame
