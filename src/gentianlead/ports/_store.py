"""Interface to the durable store, whose keyed topics all daemons share."""

import abc
import datetime
from typing import NamedTuple, Sequence

from gentianlead import errors


class KeyedRecord(NamedTuple):
    """A record of a keyed topic.

    The topic retains at least the newest record of each key.

    Attributes:
        key: Key of the record.
        value: Encoded value; empty if the record removes the key.
        offset: Position in the topic; -1 before the record is appended.
    """

    key: str
    value: bytes
    offset: int = -1


class KeyedBatch(NamedTuple):
    """Records that a read returns.

    Attributes:
        end_offset: Offset that the next record appended to the topic will get.
        records: Records in order of offset.
    """

    end_offset: int
    records: tuple[KeyedRecord, ...]


class NewestPage(NamedTuple):
    """A page of the newest records of the keys of a topic.

    Attributes:
        records: Newest records of consecutive keys, in order of key.
        end_offset: Offset that the next record appended to the topic will get.
        has_more: Whether there are keys after the last one of this page.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    has_more: bool


class Producer(NamedTuple):
    """Identity of a writer to a topic.

    The store refuses appends with a lower epoch than the highest of that name.

    Attributes:
        name: Name that a writer and its successors share.
        epoch: Number that rises with each successor.
    """

    name: str
    epoch: int


class StoreError(errors.GentianleadError):
    """A call to the store failed.

    Attributes:
        verdict: Whether the call may have taken effect.
    """

    code = errors.ErrorCode.LOG_UNAVAILABLE

    def __init__(self, message: str, verdict: errors.Verdict):
        super().__init__(message)
        self.verdict = verdict


class RecordsRejectedError(StoreError):
    """The store never accepts these records, for example if they are too large.

    A repetition with the same records is useless.
    """


class ProducerFencedError(StoreError):
    """The store refused an append because it knows a higher producer epoch."""


class SequenceError(StoreError):
    """The sequence number of an append does not follow the last one.

    Attributes:
        expected: Sequence number that the store expects next; -1 if unknown.
    """

    def __init__(self, message: str, expected: int):
        super().__init__(message, errors.Verdict.DID_NOT_RUN)
        self.expected = expected


class KeyedStore(abc.ABC):
    """Appends records to keyed topics and reads them."""

    @abc.abstractmethod
    async def append(self, topic: str, records: Sequence[KeyedRecord],
                     producer: Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        """Appends records atomically and in order.

        A repeated append with the same sequence number takes effect only once.

        Returns:
            The offset of the first record.

        Raises:
            RecordsRejectedError: The records are too large, or the store
                rejects them for another lasting reason.
            ProducerFencedError: The epoch of the producer is no longer the
                highest.
            SequenceError: The sequence number does not follow the last one.
            StoreError: The call failed or the reply is not usable.
        """

    @abc.abstractmethod
    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> KeyedBatch | None:
        """Reads the records of a topic that start at an offset.

        Args:
            topic: Name of the topic.
            start: Offset of the first record to return.
            wait: Maximum time for which the store may hold the reply while
                there is no record at `start`.

        Returns:
            The records, or None if records from `start` on are no longer
            retained.

        Raises:
            StoreError: The call failed or the reply is not usable.
        """

    @abc.abstractmethod
    async def read_newest_page(self, topic: str, after_key: str,
                               reply_timeout: datetime.timedelta) -> NewestPage:
        """Reads the newest records of the keys that follow a key.

        The pages of a topic do not show one state: each shows the newest
        records at the time of its call.

        Args:
            topic: Name of the topic.
            after_key: Last key of the page before; empty for the first page.
            reply_timeout: Longest wait for the start of the reply.

        Raises:
            StoreError: The call failed or the reply is not usable. The verdict
                is RAN if the same call would probably fail again.
        """
