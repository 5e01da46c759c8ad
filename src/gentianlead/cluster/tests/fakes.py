"""In-memory store and discarding log for tests of the daemon's parts."""

import asyncio
import datetime
import os
import time
from typing import Any, Sequence

from gentianlead import adapters
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log


class FakeStore(ports.KeyedStore):
    """Store in memory whose calls fail as the test sets.

    Attributes:
        records: Stored records in offset order, by topic.
        failures: Failures of the next append calls, in order: `refuse` (not
            stored), `lose` (stored, no reply), `drop` (not stored, no reply).
        is_down: Whether `append`, `read` and `read_newest_page` refuse all
            calls.
        first_offsets: Lowest offset that `read` still accepts, by topic, as if
            the store had deleted the records below it.
        append_calls: Number of calls of `append` so far.
        max_read_records: Maximum number of records in a reply of `read`; 0 for
            no limit.
        page_size: Number of keys in a page of newest records.
        page_starts: The key after which each page requested so far starts.
        reply_timeouts: Longest wait for the start of the reply, of each request
            of a page so far.
        failed_pages: Numbers of the requested pages, counted from 1, that get
            no reply.
        append_called_at: Monotonic time in seconds of each call of `append`.
        record_bytes: Size of a value above which an append is rejected.
        append_delay_s: Time in seconds after which an append is stored.
        bytes_per_s: Rate in bytes per second at which an append reaches the
            store. If its timeout passes before, it is not stored and gets no
            reply.
    """

    def __init__(self) -> None:
        self.records: dict[str, list[ports.KeyedRecord]] = {}
        self.failures: list[str] = []
        self.is_down = False
        self.first_offsets: dict[str, int] = {}
        self.append_calls = 0
        self.max_read_records = 0
        self.page_size = 500
        self.page_starts: list[str] = []
        self.reply_timeouts: list[datetime.timedelta] = []
        self.failed_pages: set[int] = set()
        self.append_called_at: list[float] = []
        self.record_bytes = 262_144
        self.append_delay_s = 0.0
        self.bytes_per_s = float("inf")
        self._last_appends: dict[str, tuple[int, int, int]] = {}
        self._records_added = asyncio.Event()

    def write(self, topic: str, *records: ports.KeyedRecord) -> int:
        """Stores records as if another daemon had appended them.

        This succeeds also while `is_down` is set.

        Returns:
            The offset of the first record.
        """
        stored_records = self.records.setdefault(topic, [])
        start = len(stored_records)
        for record in records:
            stored_records.append(record._replace(offset=len(stored_records)))
        self._records_added.set()
        self._records_added = asyncio.Event()
        return start

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        self.append_calls += 1
        self.append_called_at.append(time.monotonic())
        if any(len(record.value) > self.record_bytes for record in records):
            raise ports.RecordsRejectedError("too large",
                                             errors.Verdict.DID_NOT_RUN)
        transfer_s = self.append_delay_s + sum(
            len(record.value) for record in records) / self.bytes_per_s
        await asyncio.sleep(min(transfer_s, timeout.total_seconds()))
        if transfer_s > timeout.total_seconds():
            raise ports.StoreError("no reply", errors.Verdict.MAY_HAVE_RUN)
        failure = self.failures.pop(0) if self.failures else ""
        if self.is_down or failure == "refuse":
            raise ports.StoreError("refused", errors.Verdict.DID_NOT_RUN)
        if failure == "drop":
            raise ports.StoreError("no reply", errors.Verdict.MAY_HAVE_RUN)
        epoch, last_sequence, offset = self._last_appends.get(
            producer.name, (0, 0, 0))
        if producer.epoch < epoch:
            raise ports.ProducerFencedError("fenced",
                                            errors.Verdict.DID_NOT_RUN)
        if producer.epoch == epoch and sequence == last_sequence:
            return offset
        if producer.epoch == epoch and sequence != last_sequence + 1:
            raise ports.SequenceError("sequence", last_sequence + 1)
        offset = self.write(topic, *records)
        self._last_appends[producer.name] = (producer.epoch, sequence, offset)
        if failure == "lose":
            raise ports.StoreError("no reply", errors.Verdict.MAY_HAVE_RUN)
        return offset

    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> ports.KeyedBatch | None:
        await asyncio.sleep(0)
        self._raise_if_down()
        if start < self.first_offsets.get(topic, 0):
            return None
        stored_records = self.records.get(topic, [])
        if len(stored_records) <= start:
            try:
                async with asyncio.timeout(min(0.02, wait.total_seconds())):
                    await self._records_added.wait()
            except TimeoutError:
                pass
            self._raise_if_down()
        stored_records = self.records.get(topic, [])
        end = start + (self.max_read_records or len(stored_records))
        return ports.KeyedBatch(len(stored_records),
                                tuple(stored_records[start:end]))

    async def read_newest_page(
            self, topic: str, after_key: str,
            reply_timeout: datetime.timedelta) -> ports.NewestPage:
        await asyncio.sleep(0)
        self.reply_timeouts.append(reply_timeout)
        self._raise_if_down()
        self.page_starts.append(after_key)
        if len(self.page_starts) in self.failed_pages:
            raise ports.StoreError("no reply", errors.Verdict.MAY_HAVE_RUN)
        stored_records = self.records.get(topic, [])
        newest_records = {record.key: record for record in stored_records}
        following_keys = sorted(
            key for key in newest_records if key > after_key)
        return ports.NewestPage(
            tuple(
                newest_records[key] for key in following_keys[:self.page_size]),
            len(stored_records),
            len(following_keys) > self.page_size)

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise ports.StoreError("refused", errors.Verdict.DID_NOT_RUN)


def build_log() -> _decision_log.DecisionLog:
    """Returns a decision log that writes to the null device."""
    return _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                     os.open(os.devnull, os.O_WRONLY))


class RecordingLog(_decision_log.DecisionLog):
    """Decision log that keeps its lines in memory.

    Attributes:
        lines: Event and fields of each line, in order.
    """

    def __init__(self) -> None:
        super().__init__("entry-1", adapters.SystemClock(),
                         os.open(os.devnull, os.O_WRONLY))
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    def list_fields(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of all lines of an event."""
        return [fields for name, fields in self.lines if name == event]
