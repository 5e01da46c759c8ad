"""One stream as a daemon sees it: reader, replica and appender."""

import asyncio
import datetime

from gentianlead import errors
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead.streams import _appender

READ_LIMIT_RECORDS = 2000
READ_RETRY_DELAY = datetime.timedelta(milliseconds=200)


class StreamObserver:
    """Told of what a stream client meets; the default does nothing."""

    def on_records_applied(self, applied: list[state.AppliedRecord]) -> None:
        """Records were applied to the state."""

    def on_records_expired(self, stream: str, earliest: int) -> None:
        """The next offset has expired; the state is incomplete."""

    def on_state_restored(self, stream: str, position: int) -> None:
        """The state was rebuilt from a snapshot."""

    def on_log_unavailable(self, stream: str, error: errors.GentianleadError) -> None:
        """The first of a series of reads failed."""

    def on_log_available(self, stream: str) -> None:
        """A read succeeded after failures."""


class StreamClient:
    """Keeps a replica of a stream current and appends to it.

    Attributes:
        replica: The state with its position.
        freshness: As of when the state was current.
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
        self._is_log_lost = False
        self._appender = _appender.StreamAppender(stream, log, clock, writer,
                                                  self._wait_for_head,
                                                  append_timeout)

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def appender(self) -> _appender.StreamAppender:
        """The appender, for its counters."""
        return self._appender

    def add_observer(self, observer: StreamObserver) -> None:
        """Adds an observer."""
        self._observers.append(observer)

    def is_ready(self) -> bool:
        """Returns whether the state is complete and was current once."""
        return self.replica.is_complete and self.freshness.as_of is not None

    def get_age(self) -> datetime.timedelta:
        """Returns the age of the knowledge that the state is current."""
        if not self.replica.is_complete:
            return datetime.timedelta.max
        return self.freshness.get_age(self._clock.monotonic())

    async def submit(
        self,
        record: model.Record,
        timeout: datetime.timedelta = datetime.timedelta(seconds=5)
    ) -> state.AppliedRecord:
        """Appends a record and waits for the verdict of the fold.

        Raises:
            AppendUnresolvedError: The verdict is not known after `timeout`.
        """
        return await self._appender.submit(record, timeout)

    async def run(self) -> None:
        """Reads and appends until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_reader())
            group.create_task(self._appender.run())

    def _wait_for_head(self) -> asyncio.Future[None]:
        future = asyncio.get_running_loop().create_future()
        self._head_waiters.append((self._clock.monotonic(), future))
        return future

    async def _run_reader(self) -> None:
        while True:
            try:
                await self._read_once()
            except errors.LogReadExpiredError as error:
                self._start_over(error.earliest)
            except errors.LogUnavailableError as error:
                self._note_lost(error)
                await self._clock.sleep(READ_RETRY_DELAY)

    def _start_over(self, earliest: int) -> None:
        self.replica.reset_after_expiry(earliest)
        self.freshness.reset()
        for observer in self._observers:
            observer.on_records_expired(self._stream, earliest)

    def _note_lost(self, error: errors.GentianleadError) -> None:
        if self._is_log_lost:
            return
        self._is_log_lost = True
        for observer in self._observers:
            observer.on_log_unavailable(self._stream, error)

    async def _read_once(self) -> None:
        sent_at = self._clock.monotonic()
        was_complete = self.replica.is_complete
        wait = self._read_wait if not self._head_waiters else (
            datetime.timedelta())
        batch = await self._log.read(self._stream, self.replica.position,
                                     READ_LIMIT_RECORDS, wait)
        if batch.next_offset < self.replica.position:
            raise errors.LogUnavailableError(
                f"stream {self._stream!r} ends at {batch.next_offset}, below "
                f"the position {self.replica.position} already read")
        if self._is_log_lost:
            self._is_log_lost = False
            for observer in self._observers:
                observer.on_log_available(self._stream)
        applied = self.replica.feed(batch.records)
        if not was_complete and self.replica.is_complete:
            self._note_restored()
        self._deliver(applied)
        if self.replica.position >= batch.next_offset:
            self.freshness.note_head_reached(sent_at)
            self._wake_head_waiters(sent_at)

    def _note_restored(self) -> None:
        self._appender.note_restored(
            self.replica.get_last_sequence(self._writer))
        for observer in self._observers:
            observer.on_state_restored(self._stream, self.replica.position)

    def _deliver(self, applied: list[state.AppliedRecord]) -> None:
        if not applied:
            return
        for record in applied:
            self._appender.note_applied(record)
        for observer in self._observers:
            observer.on_records_applied(applied)

    def _wake_head_waiters(self, sent_at: float) -> None:
        waiting = []
        for since, future in self._head_waiters:
            if sent_at < since:
                waiting.append((since, future))
            elif not future.done():
                future.set_result(None)
        self._head_waiters = waiting
