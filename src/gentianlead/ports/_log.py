"""The platform's append-only log service."""

import abc
import datetime
from typing import NamedTuple


class LogBatch(NamedTuple):
    """Reply to a read.

    Attributes:
        earliest: Earliest retained offset of the stream.
        next_offset: Offset that the next append will get.
        records: Pairs of offset and bytes, in offset order.
    """

    earliest_offset: int
    next_offset: int
    records: tuple[tuple[int, bytes], ...]


class LogService(abc.ABC):
    """Appends to and reads from the streams."""

    @abc.abstractmethod
    async def append(self, stream: str, records: list[bytes],
                     timeout: datetime.timedelta) -> int:
        """Appends records atomically and in order.

        Returns:
            The offset of the first record.

        Raises:
            LogUnavailableError: No reply; the append may have taken effect.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, limit: int,
                   wait: datetime.timedelta) -> LogBatch:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            start: First offset wanted.
            limit: Most records to return.
            wait: How long the service may hold the reply when there is
                nothing new.

        Returns:
            The records from `start` on; empty when there is nothing new.

        Raises:
            LogUnavailableError: No reply.
            LogReadExpiredError: `start` is below the earliest offset.
        """
