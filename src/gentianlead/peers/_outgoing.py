"""Bounded buffer of the bytes that a connection has yet to send."""

import asyncio

_CONTROL_RESERVE_BYTES = 1024 * 1024
"""Bytes above the limit that only control messages, such as refusals and
heartbeats, may use, so that they are sent when long replies fill the buffer."""

_HIGH_WATER_BYTES = 512 * 1024
"""Bytes in the buffer of the transport above which it pauses the writing of
long replies."""


class OutgoingBuffer:
    """Writes frames and tracks which bytes the operating system has taken.

    The position of a byte is the number of bytes written to the connection
    before it.

    Attributes:
        written_bytes: Number of bytes written so far.
    """

    def __init__(self, transport: asyncio.Transport, max_bytes: int) -> None:
        self._transport = transport
        self._max_bytes = max_bytes
        self.written_bytes = 0
        self._queued_bytes = 0
        self._may_write_long_replies = asyncio.Event()
        self._may_write_long_replies.set()
        transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken yet.

        They include the frames that `write_with_flow_control` has yet to write.
        """
        return self._transport.get_write_buffer_size() + self._queued_bytes

    @property
    def unsent_position(self) -> int:
        """Position of the first byte that certainly has not been sent.

        The operating system has taken all bytes before it and may have sent
        them.
        """
        return self.written_bytes - self._transport.get_write_buffer_size()

    def has_space(self, size: int, is_control: bool = False) -> bool:
        """Returns whether the buffer can take `size` more bytes.

        Args:
            size: Number of bytes to write.
            is_control: Whether the bytes are a control message, which may use
                the reserve above the limit.
        """
        reserve_bytes = _CONTROL_RESERVE_BYTES if is_control else 0
        return self.unsent_bytes + size <= self._max_bytes + reserve_bytes

    def write(self, frame: bytes) -> int:
        """Writes a frame and returns the position of its first byte."""
        frame_position = self.written_bytes
        self.written_bytes += len(frame)
        self._transport.write(frame)
        return frame_position

    async def write_with_flow_control(self, frames: list[bytes]) -> None:
        """Writes frames, and waits while the buffer of the transport is full.

        Other frames can be written in between.
        """
        self._queued_bytes += sum(map(len, frames))
        remaining_bytes = sum(map(len, frames))
        try:
            for frame in frames:
                await self._may_write_long_replies.wait()
                self._queued_bytes -= len(frame)
                remaining_bytes -= len(frame)
                self.write(frame)
        finally:
            self._queued_bytes -= remaining_bytes

    def pause_long_replies(self) -> None:
        """Makes `write_with_flow_control` wait before its next frame."""
        self._may_write_long_replies.clear()

    def resume_long_replies(self) -> None:
        """Lets `write_with_flow_control` continue."""
        self._may_write_long_replies.set()
