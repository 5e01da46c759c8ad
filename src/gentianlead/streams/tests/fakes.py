"""Fake log service that can drop appends and replies or be down."""

import asyncio
import datetime

from gentianlead import errors
from gentianlead import ports


class FakeLog(ports.LogService):
    """Keeps one stream in memory and simulates faults of the log service.

    Attributes:
        records: Encoded records of the stream; the index is the offset.
        earliest_offset: Offset of the first record that has not expired.
        appends_to_drop: How many of the next appends fail and store nothing.
        replies_to_drop: How many of the next appends store their records and
            then fail.
        is_down: Whether all calls fail.
        records_expired_per_read: How many records expire before each read.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.earliest_offset = 0
        self.appends_to_drop = 0
        self.replies_to_drop = 0
        self.is_down = False
        self.records_expired_per_read = 0

    async def append(self, stream: str, records: list[bytes],
                     timeout: datetime.timedelta) -> int:
        await asyncio.sleep(0)
        if self.is_down or self.appends_to_drop:
            self.appends_to_drop = max(0, self.appends_to_drop - 1)
            raise errors.LogUnavailableError("the append was dropped")
        first_offset = len(self.records)
        self.records.extend(records)
        if self.replies_to_drop:
            self.replies_to_drop -= 1
            raise errors.LogUnavailableError("the reply was dropped")
        return first_offset

    async def read(self, stream: str, start: int, limit: int,
                   wait: datetime.timedelta) -> ports.LogBatch:
        await asyncio.sleep(0.001)
        if self.is_down:
            raise errors.LogUnavailableError("down")
        self.earliest_offset = min(
            self.earliest_offset + self.records_expired_per_read,
            len(self.records))
        if start < self.earliest_offset:
            raise errors.LogReadExpiredError(stream, start,
                                             self.earliest_offset,
                                             len(self.records))
        selected_records = tuple(enumerate(self.records))[start:start + limit]
        return ports.LogBatch(self.earliest_offset, len(self.records),
                              selected_records)
