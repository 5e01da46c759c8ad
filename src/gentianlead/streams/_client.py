"""Client of one stream: reads it into a replica and appends to it."""

import asyncio
import datetime

from gentianlead import errors
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead.streams import _appender
from gentianlead.streams import _snapshot_times

MAX_READ_RECORDS = 2000
READ_RETRY_DELAY = datetime.timedelta(milliseconds=200)


class StreamObserver:
    """Receives the events of a `StreamClient`; its own methods do nothing."""

    def on_records_applied(self, applied: list[state.AppliedRecord]) -> None:
        """Called after a read through which records were accepted or rejected.

        Args:
            applied: These records with the verdicts on them.
        """

    def on_records_expired(self, stream: str, earliest: int) -> None:
        """Called when a read failed because unread records had expired.

        The state is then incomplete. A gap between the offsets of two reads
        also makes it incomplete, but is not reported.

        Args:
            stream: Name of the stream.
            earliest: Offset of the first record that has not expired.
        """

    def on_state_restored(self, stream: str, position: int) -> None:
        """Called when a snapshot has made an incomplete state complete.

        Args:
            stream: Name of the stream.
            position: Offset of the next record to read.
        """

    def on_log_unavailable(self, stream: str,
                           error: errors.GentianleadError) -> None:
        """Called when a read failed and the read before it had not failed."""

    def on_log_available(self, stream: str) -> None:
        """Called when a read succeeded and the read before it had failed."""


class StreamClient:
    """Keeps a replica of a stream up to date and appends records to the stream.

    Args:
        stream: Name of the stream.
        state_machine: State machine for the records of the stream.
        log: Log service that stores the stream.
        clock: Clock for deadlines, delays and the age of the state.
        writer: Identifier of the daemon's incarnation.
        read_wait: How long a read waits at the log for new records. A read
            does not wait while the appender waits for the head of the stream.
        append_timeout: Timeout of one append to the log.
        observer: Observer of the client's events, if any; `add_observer` adds
            further ones.

    Attributes:
        replica: Replica of the stream's state.
        freshness: Time as of which the state was last known to be current.
    """

    def __init__(
            self,
            stream: str,
            state_machine: state.StateMachine,
            log: ports.LogService,
            clock: ports.Clock,
            writer: str,
            read_wait: datetime.timedelta = datetime.timedelta(
                milliseconds=500),
            append_timeout: datetime.timedelta = datetime.timedelta(seconds=2),
            observer: StreamObserver | None = None):
        self.replica = state.StreamReplica(stream, state_machine)
        self.freshness = leases.Freshness()
        self._stream = stream
        self._log = log
        self._clock = clock
        self._writer = writer
        self._read_wait = read_wait
        self._observers = [observer] if observer else []
        self._head_waiters: list[tuple[float, asyncio.Future[None]]] = []
        self._is_log_unavailable = False
        # Consecutive reads of records that had expired.
        self._expired_read_count = 0
        self._snapshot_times = _snapshot_times.SnapshotTimes()
        self._appender = _appender.StreamAppender(stream, log, clock, writer,
                                                  self._wait_for_head,
                                                  append_timeout)

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def appender(self) -> _appender.StreamAppender:
        """Appender of this client; it counts the appends that it sends."""
        return self._appender

    @property
    def newest_snapshot_appended_after(self) -> float | None:
        """Lower bound of the time at which the newest snapshot was appended.

        It is in monotonic seconds and None if the client has read no whole
        snapshot, or only such that were in the log before it reached the head.
        """
        return self._snapshot_times.newest_appended_after

    def add_observer(self, observer: StreamObserver) -> None:
        """Adds an observer, which receives all later events."""
        self._observers.append(observer)

    def is_ready(self) -> bool:
        """Returns whether the state is complete and its age is known.

        The age is known once a read has reached the head of the stream.
        """
        return self.replica.is_complete and self.freshness.as_of is not None

    def get_age(self) -> datetime.timedelta:
        """Returns how long ago the state was last known to be current.

        Returns `timedelta.max` if the state is incomplete or was never known
        to be current.
        """
        if not self.replica.is_complete:
            return datetime.timedelta.max
        return self.freshness.get_age(self._clock.monotonic())

    async def submit(
        self,
        record: model.Record,
        timeout: datetime.timedelta = datetime.timedelta(seconds=5)
    ) -> state.AppliedRecord:
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
        return await self._appender.submit(record, timeout)

    async def run(self) -> None:
        """Reads the stream and sends submitted records until cancelled."""
        async with asyncio.TaskGroup() as task_group:
            task_group.create_task(self._run_reader())
            task_group.create_task(self._appender.run())

    def _wait_for_head(self) -> asyncio.Future[None]:
        future = asyncio.get_running_loop().create_future()
        self._head_waiters.append((self._clock.monotonic(), future))
        return future

    async def _run_reader(self) -> None:
        while True:
            try:
                await self._read_once()
            except errors.LogReadExpiredError as error:
                self._reset_after_expiry(self._choose_restart_offset(error))
            except errors.LogUnavailableError as error:
                self._report_log_unavailable(error)
                await self._clock.sleep(READ_RETRY_DELAY)

    def _choose_restart_offset(self, error: errors.LogReadExpiredError) -> int:
        """Returns the offset to read next after unread records have expired.

        It is the earliest offset at first. If records expire faster than a read
        takes, that offset has expired again when the next read arrives.
        Consecutive attempts therefore skip a number of records that doubles, up
        to a quarter of the retained ones.
        """
        self._expired_read_count += 1
        if self._expired_read_count == 1:
            return error.earliest_offset
        n_retained = error.next_offset - error.earliest_offset
        return error.earliest_offset + min(2**(self._expired_read_count - 2),
                                           n_retained // 4)

    def _reset_after_expiry(self, earliest: int) -> None:
        self.replica.reset_after_expiry(earliest)
        self.freshness.reset()
        for observer in self._observers:
            observer.on_records_expired(self._stream, earliest)

    def _report_log_unavailable(self, error: errors.GentianleadError) -> None:
        if self._is_log_unavailable:
            return
        self._is_log_unavailable = True
        for observer in self._observers:
            observer.on_log_unavailable(self._stream, error)

    async def _read_once(self) -> None:
        read_sent_at = self._clock.monotonic()
        was_complete = self.replica.is_complete
        max_wait = self._read_wait if not self._head_waiters else (
            datetime.timedelta())
        batch = await self._log.read(self._stream, self.replica.position,
                                     MAX_READ_RECORDS, max_wait)
        self._expired_read_count = 0
        if batch.next_offset < self.replica.position:
            raise errors.LogUnavailableError(
                f"stream {self._stream!r} ends at {batch.next_offset}, below "
                f"the next offset to read, {self.replica.position}")
        if self._is_log_unavailable:
            self._is_log_unavailable = False
            for observer in self._observers:
                observer.on_log_available(self._stream)
        applied = self.replica.feed(batch.records)
        self._snapshot_times.add_records(applied, self.freshness.as_of)
        if not was_complete and self.replica.is_complete:
            self._report_restored_state()
        self._publish_applied_records(applied)
        if self.replica.position >= batch.next_offset:
            self.freshness.mark_current(read_sent_at)
            self._wake_head_waiters(read_sent_at)

    def _report_restored_state(self) -> None:
        self._appender.fail_records_through(
            self.replica.get_last_sequence(self._writer))
        for observer in self._observers:
            observer.on_state_restored(self._stream, self.replica.position)

    def _publish_applied_records(self,
                                 applied: list[state.AppliedRecord]) -> None:
        if not applied:
            return
        for record in applied:
            self._appender.resolve_record(record)
        for observer in self._observers:
            observer.on_records_applied(applied)

    def _wake_head_waiters(self, read_sent_at: float) -> None:
        remaining_waiters = []
        for wait_started_at, future in self._head_waiters:
            if read_sent_at < wait_started_at:
                remaining_waiters.append((wait_started_at, future))
            elif not future.done():
                future.set_result(None)
        self._head_waiters = remaining_waiters
