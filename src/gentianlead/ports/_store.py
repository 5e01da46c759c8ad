"""Durable keyed topics that daemons share."""

import abc
import datetime
from typing import NamedTuple, Sequence

from gentianlead import errors


class KeyedRecord(NamedTuple):
    """A record of a keyed topic.

    Attributes:
        key: Key; the newest record of each key is retained.
        value: Value; empty when the record removes the key.
        offset: Position in the topic; -1 before it is appended.
    """

    key: str
    value: bytes
    offset: int = -1


class KeyedBatch(NamedTuple):
    """Reply to a read.

    Attributes:
        end: Offset that the next record will get.
        records: Records in offset order.
    """

    end_offset: int
    records: tuple[KeyedRecord, ...]


class Producer(NamedTuple):
    """Identity of a writer; the store refuses writers of a lower epoch.

    Attributes:
        name: Name that successive writers share.
        epoch: Number that rises with each new writer.
    """

    name: str
    epoch: int


class StoreError(errors.GentianleadError):
    """A call to the store that failed.

    Attributes:
        verdict: Whether the call may have taken effect.
    """

    code = errors.ErrorCode.LOG_UNAVAILABLE

    def __init__(self, message: str, verdict: errors.Verdict):
        super().__init__(message)
        self.verdict = verdict


class ProducerFencedError(StoreError):
    """A writer of a higher epoch has taken over."""


class SequenceError(StoreError):
    """The sequence number does not follow the last one.

    Attributes:
        expected: Number that the store expects next.
    """

    def __init__(self, message: str, expected: int):
        super().__init__(message, errors.Verdict.DID_NOT_RUN)
        self.expected = expected


class KeyedStore(abc.ABC):
    """Appends to and reads from keyed topics."""

    @abc.abstractmethod
    async def append(self, topic: str, records: Sequence[KeyedRecord],
                     producer: Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        """Appends records atomically and in order.

        The same sequence number again has no second effect.

        Returns:
            The offset of the first record.

        Raises:
            ProducerFencedError: The epoch of the producer is no longer the highest.
            SequenceError: The sequence number does not follow the last one.
            StoreError: No usable reply.
        """

    @abc.abstractmethod
    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> KeyedBatch | None:
        """Reads records from an offset on.

        Returns:
            The records, or None when records from `start` on have expired.

        Raises:
            StoreError: No usable reply.
        """

    @abc.abstractmethod
    async def read_newest(self, topic: str) -> KeyedBatch:
        """Reads the newest record of each key.

        The end is that of the first page: records appended meanwhile may be
        included and are read again from there.

        Raises:
            StoreError: No usable reply.
        """
