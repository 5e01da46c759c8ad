"""Interface to the platform's append-only log service."""

import abc
import datetime
from typing import NamedTuple


class LogBatch(NamedTuple):
    """Records and retained offsets that a read returns.

    Attributes:
        earliest_offset: Earliest retained offset of the stream.
        next_offset: Offset that the next appended record will get.
        records: Pairs of offset and encoded record, in order of offset.
    """

    earliest_offset: int
    next_offset: int
    records: tuple[tuple[int, bytes], ...]


class LogService(abc.ABC):
    """Appends records to streams and reads them from streams."""

    @abc.abstractmethod
    async def append(self, stream: str, records: list[bytes],
                     timeout: datetime.timedelta) -> int:
        """Appends records atomically and in order.

        Args:
            stream: Name of the stream.
            records: Encoded records.
            timeout: Longest wait for the reply. An implementation may add time
                for the transfer of the records.

        Returns:
            The offset of the first record.

        Raises:
            LogUnavailableError: No usable reply; the append may have taken
                effect.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, limit: int,
                   wait: datetime.timedelta) -> LogBatch:
        """Reads the records of a stream that start at an offset.

        Args:
            stream: Name of the stream.
            start: Offset of the first record to return.
            limit: Maximum number of records to return.
            wait: Maximum time for which the service may hold the reply while
                there is no record at `start`.

        Returns:
            The records from `start` on; none if no record has that offset yet.

        Raises:
            LogUnavailableError: No usable reply.
            LogReadExpiredError: `start` is below the earliest retained offset.
        """
