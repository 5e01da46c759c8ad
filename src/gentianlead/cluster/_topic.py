"""Appends to and reads from the job topic."""

import asyncio
import datetime
from typing import Callable, NamedTuple, Sequence

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
"""Longest wait for the reply to an append: a store that is slow by a factor of
60 answers a queue of a few appends in that time."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=80)
"""Pause after a refused append: at ten daemons about 120 calls a second, a
fifth of what the store admits."""

READ_WAIT = datetime.timedelta(seconds=1)
"""How long the store may hold a read; bounds the age of what a reader knows."""

READ_INTERVAL = datetime.timedelta(milliseconds=300)
"""Least time between two reads of the topic; news that cannot wait that long
travels on peer streams."""

MAX_BATCH = 200
"""Records of one append; below the store's limits for records of jobs."""

FRESH_LIMIT = datetime.timedelta(milliseconds=2200)
"""Age above which the topic counts as not fresh: a read's wait, its allowance
and its interval."""


class _Item(NamedTuple):
    """Records that wait to be appended.

    Attributes:
        records: The records.
        future: Gets the offset of the first record.
        deadline: Monotonic time in seconds after which they are given up.
        refuse_at: The same while they are certainly not stored.
    """

    records: list[ports.KeyedRecord]
    future: asyncio.Future
    deadline: float
    refuse_at: float


class TopicWriter:
    """Appends records in groups, one call at a time, each once.

    A call whose outcome is unknown is repeated with the same sequence number
    until the store tells, so that nothing is stored twice or out of order.

    Attributes:
        confirmed_at: Monotonic time at which the last append that succeeded
            was sent; None before the first.
        is_healthy: Whether the last call was answered with success.
    """

    def __init__(self,
                 store: ports.KeyedStore,
                 producer: ports.Producer,
                 clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 first_sequence: int = 1):
        self.confirmed_at: float | None = None
        self.is_healthy = True
        self._store = store
        self._producer = producer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._sequence = first_sequence
        self._queue: list[_Item] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to append."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops; records that wait are refused."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        for item in self._queue:
            if not item.future.done():
                item.future.set_exception(
                    ports.StoreError("the writer stopped",
                                     errors.Verdict.DID_NOT_RUN))
        self._queue.clear()

    async def append(self,
                     records: Sequence[dispatch.Record],
                     patience: datetime.timedelta,
                     refuse_after: datetime.timedelta | None = None) -> int:
        """Appends records.

        Args:
            records: The records.
            patience: Longest wait for the outcome.
            refuse_after: Longest wait while they are certainly not stored;
                None for `patience`.

        Returns:
            The offset of the first record.

        Raises:
            ProducerFencedError: Another writer of the same name has a higher epoch.
            StoreError: Not stored in time; the verdict says whether it may
                still be.
        """
        future = asyncio.get_running_loop().create_future()
        now = self._clock.monotonic()
        if refuse_after is None:
            refuse_after = patience
        self._queue.append(
            _Item([dispatch.encode_record(record) for record in records],
                  future, now + patience.total_seconds(),
                  now + min(patience, refuse_after).total_seconds()))
        self._wake.set()
        return await future

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self._expire_waiting()
            if not self._queue:
                await self._wake.wait()
                continue
            batch = self._take_batch()
            try:
                await self._append_batch(batch)
            except ports.ProducerFencedError as error:
                _fail(batch, error)
                _fail(self._queue, error)
                self._queue.clear()
                return
            except asyncio.CancelledError:
                _fail(
                    batch,
                    ports.StoreError("the writer stopped",
                                     errors.Verdict.MAY_HAVE_RUN))
                raise

    def _take_batch(self) -> list[_Item]:
        batch: list[_Item] = []
        size = 0
        while self._queue and size < MAX_BATCH:
            item = self._queue.pop(0)
            batch.append(item)
            size += len(item.records)
        return batch

    def _expire_waiting(self) -> None:
        now = self._clock.monotonic()
        late = [item for item in self._queue if item.refuse_at <= now]
        _fail(
            late,
            ports.StoreError("the store did not take it in time",
                             errors.Verdict.DID_NOT_RUN))
        self._queue = [item for item in self._queue if item.refuse_at > now]

    async def _append_batch(self, batch: list[_Item]) -> None:
        may_have_run = False
        while True:
            records = [record for item in batch for record in item.records]
            sent_at = self._clock.monotonic()
            try:
                offset = await self._call(records)
            except ports.SequenceError as error:
                if error.expected == self._sequence + 1 and may_have_run:
                    offset = -1  # Stored by an earlier try.
                else:
                    self._log.write("append-sequence-repaired",
                                    producer=self._producer.name,
                                    sent=self._sequence,
                                    expected=error.expected)
                    if error.expected < 0:
                        raise ports.ProducerFencedError(str(error),
                                                errors.Verdict.MAY_HAVE_RUN)
                    self._sequence = error.expected
                    continue
            except ports.ProducerFencedError:
                raise
            except ports.StoreError as error:
                may_have_run |= error.verdict is not errors.Verdict.DID_NOT_RUN
                self._note_failure(error)
                if not may_have_run:
                    batch = self._drop_late(batch)
                    if not batch:
                        return
                else:
                    self._give_up_late(batch)
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            self._sequence += 1
            self.confirmed_at = sent_at
            self._note_success()
            for item in batch:
                if not item.future.done():
                    item.future.set_result(offset)
                if offset >= 0:
                    offset += len(item.records)
            return

    async def _call(self, records: list[ports.KeyedRecord]) -> int:
        began = self._clock.monotonic()
        outcome = "failed"
        try:
            offset = await self._store.append(dispatch.TOPIC, records,
                                              self._producer, self._sequence,
                                              APPEND_TIMEOUT)
            outcome = "ok"
            return offset
        finally:
            self._metrics.store_calls.inc({
                "operation": "append",
                "outcome": outcome
            })
            self._metrics.store_seconds.observe({"operation": "append"},
                                                self._clock.monotonic() - began)

    def _drop_late(self, batch: list[_Item]) -> list[_Item]:
        """Refuses items of a batch that was certainly not stored."""
        now = self._clock.monotonic()
        late = [item for item in batch if item.refuse_at <= now]
        _fail(
            late,
            ports.StoreError("the store did not take it in time",
                             errors.Verdict.DID_NOT_RUN))
        return [item for item in batch if item.refuse_at > now]

    def _give_up_late(self, batch: list[_Item]) -> None:
        """Tells callers that the outcome is unknown; the tries go on."""
        now = self._clock.monotonic()
        _fail([item for item in batch if item.deadline <= now],
              ports.StoreError("the outcome of the append is unknown",
                               errors.Verdict.MAY_HAVE_RUN))

    def _note_failure(self, error: ports.StoreError) -> None:
        if self.is_healthy:
            self.is_healthy = False
            self._log.write("store-lost",
                            producer=self._producer.name,
                            error=str(error),
                            verdict=error.verdict.value)

    def _note_success(self) -> None:
        if not self.is_healthy:
            self.is_healthy = True
            self._log.write("store-regained", producer=self._producer.name)


def _fail(items: list[_Item], error: ports.StoreError) -> None:
    for item in items:
        if not item.future.done():
            item.future.set_exception(error)
            item.future.exception()  # Its caller may be gone.


class TopicReader:
    """Keeps a table up to date with the topic.

    Attributes:
        table: The state.
        is_loaded: Whether the whole topic was read once.
        fresh_as_of: Monotonic time at which the last read was sent that
            reached the end; None before the first.
        fresh_since: Time since which all reads were answered; None while they
            are not.
    """

    def __init__(self, store: ports.KeyedStore, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_change: Callable[[set[str]], None]):
        self.table = dispatch.JobTable()
        self.is_loaded = False
        self.fresh_as_of: float | None = None
        self.fresh_since: float | None = None
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._hurry = asyncio.Event()
        self._advanced = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to read."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops to read."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def is_fresh(self) -> bool:
        """Returns whether the table shows the last few seconds."""
        return (self.fresh_as_of is not None and
                self._clock.monotonic() - self.fresh_as_of
                <= FRESH_LIMIT.total_seconds())

    async def wait_applied(self, offset: int,
                           patience: datetime.timedelta) -> bool:
        """Waits until the record at an offset is applied."""
        try:
            async with asyncio.timeout(patience.total_seconds()):
                while self.table.position <= offset or not self.is_loaded:
                    self._hurry.set()
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    async def _run(self) -> None:
        while True:
            began = self._clock.monotonic()
            try:
                if self.is_loaded:
                    await self._read_on(began)
                else:
                    await self._load(began)
            except ports.StoreError as error:
                self._note_failure(error)
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            await self._wait_interval(began)

    async def _wait_interval(self, began: float) -> None:
        left = (READ_INTERVAL.total_seconds() -
                (self._clock.monotonic() - began))
        if left > 0 and not self._hurry.is_set():
            try:
                async with asyncio.timeout(left):
                    await self._hurry.wait()
            except TimeoutError:
                pass
        self._hurry.clear()

    async def _load(self, sent_at: float) -> None:
        batch = await self._store.read_newest(dispatch.TOPIC)
        problems = self.table.apply_newest(batch, self._clock.monotonic())
        for problem in problems:
            self._log.write("record-unreadable", problem=problem)
        self.is_loaded = True
        self._log.write("topic-loaded",
                        keys=len(batch.records),
                        position=self.table.position)
        self._note_read("newest", sent_at, True)

    async def _read_on(self, sent_at: float) -> None:
        start = self.table.position
        batch = await self._store.read(dispatch.TOPIC, start, READ_WAIT)
        if batch is None:
            self._log.write("topic-expired", position=start)
            self.is_loaded = False
            return
        now = self._clock.monotonic()
        for stored in batch.records:
            try:
                self.table.apply(stored, now)
            except errors.ProtocolError as error:
                self._log.write("record-unreadable",
                                offset=stored.offset,
                                key=stored.key,
                                problem=str(error))
        self._note_read("read", sent_at, self.table.position >= batch.end_offset)

    def _note_read(self, operation: str, sent_at: float,
                   is_at_end: bool) -> None:
        now = self._clock.monotonic()
        self._metrics.store_calls.inc({"operation": operation, "outcome": "ok"})
        if is_at_end:
            self.fresh_as_of = sent_at
        if self.fresh_since is None:
            self.fresh_since = now
            self._log.write("topic-regained", position=self.table.position)
        changed = self.table.take_changed()
        self._advanced.set()
        self._on_change(changed)

    def _note_failure(self, error: ports.StoreError) -> None:
        self._metrics.store_calls.inc({
            "operation": "read",
            "outcome": "failed"
        })
        if self.fresh_since is not None:
            self.fresh_since = None
            self._log.write("topic-lost",
                            position=self.table.position,
                            error=str(error))
