"""Appends records in batches and sends again those that were not stored.

A record gets its sequence number when it is first put into a batch. After each
append, also a failed one, the appender waits for a read that is sent after the
append and reaches the head of the stream, which is its newest record. Records
that were not read by then are sent again with the same sequence number. If the
first append still takes effect later, replicas reject the duplicate by its
sequence number.
"""

import asyncio
import collections
import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead import state

MAX_BATCH_RECORDS = 512
MAX_BATCH_BYTES = 512 * 1024
APPEND_RETRY_DELAY = datetime.timedelta(milliseconds=200)
MIN_APPEND_INTERVAL = datetime.timedelta(milliseconds=40)
"""Minimum time between the starts of two appends to a stream. It limits 14 busy
streams to 350 appends a second. An append after a longer pause is not delayed.
"""


class AppendUnresolvedError(errors.LogUnavailableError):
    """No verdict on a submitted record came in time, or none can come.

    Attributes:
        verdict: `DID_NOT_RUN` if the record certainly was never sent to the
            log, else `MAY_HAVE_RUN`.
    """

    def __init__(self, message: str, verdict: errors.Verdict):
        super().__init__(message)
        self.verdict = verdict


class _PendingRecord:
    """A submitted record on which the verdict is not known yet.

    Attributes:
        record: Record to append.
        deadline: Monotonic time in seconds from which on the record is dropped
            if it was not put into a batch before.
        future: Receives the record's `AppliedRecord`, or an error.
        sequence: Sequence number, assigned when the record is first put into a
            batch; 0 before.
    """

    __slots__ = ("record", "deadline", "future", "sequence")

    def __init__(self, record: model.Record, deadline: float,
                 future: asyncio.Future[state.AppliedRecord]):
        self.record = record
        self.deadline = deadline
        self.future = future
        self.sequence = 0


class StreamAppender:
    """Appends the records of one daemon to one stream.

    Submitted records are sent in batches, in the order of submission and with
    at most one append in flight. The reader of the stream has to pass each
    record that it reads to `resolve_record`, because a verdict is known only
    from reading the stream.

    Args:
        stream: Name of the stream.
        log: Log service that stores the stream.
        clock: Clock for deadlines and delays.
        writer: Identifier of the daemon's incarnation.
        wait_for_head: Returns a future that is done once a read sent after the
            call has reached the head of the stream.
        append_timeout: Timeout of one append to the log.

    Attributes:
        append_count: Number of appends sent to the log.
        failed_append_count: Number of these that failed, so that it is unknown
            whether they took effect.
    """

    def __init__(self, stream: str, log: ports.LogService, clock: ports.Clock,
                 writer: str, wait_for_head: Callable[[], asyncio.Future[None]],
                 append_timeout: datetime.timedelta):
        self._stream = stream
        self._log = log
        self._clock = clock
        self._writer = writer
        self._wait_for_head = wait_for_head
        self._append_timeout = append_timeout
        self._queue: collections.deque[_PendingRecord] = collections.deque()
        self._sent_records: dict[int, _PendingRecord] = {}
        self._has_work = asyncio.Event()
        self._last_sequence = 0
        self._last_append_at = float("-inf")
        self.append_count = 0
        self.failed_append_count = 0

    async def submit(self, record: model.Record,
                     timeout: datetime.timedelta) -> state.AppliedRecord:
        """Appends a record and waits for the verdict on it.

        Args:
            record: Record to append.
            timeout: How long to wait for the verdict.

        Returns:
            The record as read from the stream, with its offset and verdict.

        Raises:
            AppendUnresolvedError: The verdict is not known after `timeout` or
                cannot be determined, or the record cannot be encoded.
        """
        future = asyncio.get_running_loop().create_future()
        deadline = self._clock.monotonic() + timeout.total_seconds()
        pending = _PendingRecord(record, deadline, future)
        self._queue.append(pending)
        self._has_work.set()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await asyncio.shield(future)
        except TimeoutError as error:
            raise self._cancel_record(pending) from error

    def _cancel_record(self, pending: _PendingRecord) -> AppendUnresolvedError:
        pending.future.cancel()
        if pending.sequence == 0:
            verdict = errors.Verdict.DID_NOT_RUN
            message = f"no append to stream {self._stream!r} was sent in time"
        else:
            verdict = errors.Verdict.MAY_HAVE_RUN
            message = f"no verdict on a record in stream {self._stream!r}"
        return AppendUnresolvedError(message, verdict)

    def resolve_record(self, applied: state.AppliedRecord) -> None:
        """Passes a record read from the stream to the caller that submitted it.

        Records of other writers are ignored.
        """
        envelope = applied.envelope
        if envelope is None or envelope.writer != self._writer:
            return
        pending = self._sent_records.pop(envelope.sequence, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(applied)

    def fail_records_through(self, last_sequence: int) -> None:
        """Fails the submitted records that a loaded snapshot may cover.

        Their verdicts cannot be determined, because a snapshot contains no
        verdicts on the records that it covers.

        Args:
            last_sequence: Last sequence number of this writer in the snapshot.
        """
        for sequence in [
                number for number in self._sent_records
                if number <= last_sequence
        ]:
            pending = self._sent_records.pop(sequence)
            if not pending.future.done():
                pending.future.set_exception(
                    AppendUnresolvedError(
                        "a snapshot covers the record but not its verdict",
                        errors.Verdict.MAY_HAVE_RUN))

    def is_idle(self) -> bool:
        """Returns whether no record is queued and none awaits its verdict."""
        return not self._queue and not any(
            not pending.future.done()
            for pending in self._sent_records.values())

    async def run(self) -> None:
        """Sends submitted records in batches until cancelled."""
        while True:
            await self._has_work.wait()
            await self._wait_for_append_interval()
            batch = self._build_batch()
            if not batch:
                self._has_work.clear()
                continue
            await self._append_batch(batch)

    async def _wait_for_append_interval(self) -> None:
        interval_s = MIN_APPEND_INTERVAL.total_seconds()
        delay_s = self._last_append_at + interval_s - self._clock.monotonic()
        if delay_s > 0:
            await self._clock.sleep(datetime.timedelta(seconds=delay_s))

    def _build_batch(self) -> list[_PendingRecord]:
        now = self._clock.monotonic()
        for sequence in [
                number for number, sent in self._sent_records.items()
                if sent.future.done()
        ]:
            del self._sent_records[sequence]
        while self._queue and len(self._sent_records) < MAX_BATCH_RECORDS:
            pending = self._queue.popleft()
            if pending.future.done() or now >= pending.deadline:
                continue
            self._last_sequence += 1
            pending.sequence = self._last_sequence
            self._sent_records[pending.sequence] = pending
        return [
            self._sent_records[sequence]
            for sequence in sorted(self._sent_records)
        ]

    async def _append_batch(self, batch: list[_PendingRecord]) -> None:
        encoded_records = []
        batch_bytes = 0
        for pending in batch:
            try:
                encoded_record = model.encode_record(self._writer,
                                                     pending.sequence,
                                                     pending.record)
            except (TypeError, ValueError, OverflowError) as error:
                # Only this record fails; the others are still appended.
                del self._sent_records[pending.sequence]
                if not pending.future.done():
                    pending.future.set_exception(
                        AppendUnresolvedError(
                            f"a record for stream {self._stream!r} cannot be "
                            f"encoded: {error}", errors.Verdict.DID_NOT_RUN))
                continue
            batch_bytes += len(encoded_record)
            if encoded_records and batch_bytes > MAX_BATCH_BYTES:
                break
            encoded_records.append(encoded_record)
        if not encoded_records:
            return
        try:
            self.append_count += 1
            self._last_append_at = self._clock.monotonic()
            await self._log.append(self._stream, encoded_records,
                                   self._append_timeout)
        except errors.LogUnavailableError:
            self.failed_append_count += 1
            await self._clock.sleep(APPEND_RETRY_DELAY)
        await self._wait_for_head()
