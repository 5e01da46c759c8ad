"""Writer and reader of the job topic, which the daemons share in the store."""

import asyncio
import datetime
import itertools
from typing import Callable, Sequence

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _append_queue
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _topic_load
from gentianlead.cluster import _unreadable_records

PERSISTENT_APPEND_TIMEOUT = datetime.timedelta(days=1)
"""Timeout of appends that should repeat until they are stored or fenced."""

EXPIRY_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
"""Time between two checks, while a call to the store lasts, for requests whose
time is over."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=80)
"""Pause between a failed call to the store and its repetition. Ten daemons that
repeat calls make about 120 calls a second, a fifth of the store's limit."""

LONG_POLL_WAIT = datetime.timedelta(seconds=1)
"""How long the store may hold a read until new records arrive. After this time
it replies without records, which shows that the table is up to date; the wait
thus bounds the age of the table."""

MIN_READ_INTERVAL = datetime.timedelta(milliseconds=300)
"""Shortest time between the starts of two reads of the topic, unless a caller
waits for a record. Urgent changes reach the other daemons earlier, on peer
streams."""

FRESHNESS_LIMIT = datetime.timedelta(milliseconds=2200)
"""Age above which the table counts as stale. The age is the time since the last
read that reached the end of the topic was sent. The limit is the sum of the
long-poll wait, the store client's allowance for the reply (900 ms) and the read
interval."""

RELOAD_DELAY = datetime.timedelta(seconds=1)
"""Pause between an unexpected error of the reader and the next load."""

OVERDUE_READ_LIMIT = datetime.timedelta(milliseconds=1900)
"""Duration of a read of new records from which on the topic does not count as
readable: the long-poll wait and 900 ms for the store. A longer read transfers
many records, also those by which leaders show that they are alive."""


class JobTopicWriter:
    """Appends records to the job topic in batches, each record at most once.

    There is one call to the store at a time. A call whose outcome is unknown
    is repeated with the same sequence number until the store tells whether it
    stored the records, so that nothing is stored twice or out of order.

    Attributes:
        last_success_sent_at: Monotonic time in seconds at which the last
            successful append was sent; None before the first. For an append
            that was repeated, this is the first call that may have stored it.
        last_call_succeeded: Whether the last call succeeded; True before any.
    """

    def __init__(self,
                 store: ports.KeyedStore,
                 producer: ports.Producer,
                 clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 first_sequence: int = 1):
        self.last_success_sent_at: float | None = None
        self.last_call_succeeded = True
        self._store = store
        self._producer = producer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._next_sequence = first_sequence
        self._queue = _append_queue.AppendQueue(clock)
        self._rejection_count = 0
        self._call_limit = _append_queue.CallLimit()
        self._append_queued = asyncio.Event()
        self._loop_task: asyncio.Task | None = None
        self._end_error: ports.StoreError | None = None

    def start(self) -> None:
        """Starts the loop that sends queued append requests to the store."""
        self._loop_task = asyncio.get_running_loop().create_task(
            self._append_forever())

    async def stop(self) -> None:
        """Stops the loop and fails all append requests that are not completed.

        Requests in the queue fail with the verdict DID_NOT_RUN, requests in a
        call to the store with MAY_HAVE_RUN.
        """
        if self._loop_task is not None:
            self._loop_task.cancel()
            await asyncio.wait([self._loop_task])
        self._end(
            ports.StoreError("the writer of the job topic was stopped",
                             errors.Verdict.DID_NOT_RUN))

    def _end(self, error: ports.StoreError) -> None:
        """Fails all queued and later requests, for which no loop runs."""
        if self._end_error is None:
            self._end_error = error
        self._queue.fail_all(error)

    async def append(
        self,
        records: Sequence[dispatch.Record],
        timeout: datetime.timedelta,
        refusal_timeout: datetime.timedelta | None = None,
        replacements: Sequence[dispatch.Record] = ()
    ) -> int:
        """Queues records for the next append and waits until they are stored.

        Args:
            records: The records to append.
            timeout: Time after which an error is raised although the records
                may be stored.
            refusal_timeout: Time after which the request is dropped and an
                error is raised, if the records are certainly not stored. None
                or a value above `timeout` stands for `timeout`.
            replacements: Records that calls after `timeout` append instead, one
                for each of `records`; see `_append_queue.PendingAppend`.

        Returns:
            The offset of the first record; -1 if the records were stored by a
            call whose reply was lost, so that the offset is unknown.

        Raises:
            ProducerFencedError: A producer of the same name has a higher epoch.
            StoreError: The records were not stored in time, or the writer was
                stopped; the verdict says whether they may be stored.
        """
        if refusal_timeout is None:
            refusal_timeout = timeout
        return await self._enqueue(records, timeout, refusal_timeout,
                                   replacements)

    async def append_each(self, records: Sequence[dispatch.Record]) -> None:
        """Appends records in order that need not be stored all at once.

        Unlike `append`, this divides many records between calls to the store,
        so that each call is small enough for a slow link. The calls are
        repeated until the store has the records, or the writer is stopped.

        If the store rejects a progress record as too large, the record is
        stored without checkpoints; if that is rejected too, it is left out.

        Raises:
            RecordsRejectedError: The store rejected a record of another type.
            ProducerFencedError: A producer of the same name has a higher epoch.
            StoreError: The writer was stopped.
        """
        results = await asyncio.gather(*[
            self._enqueue([record], PERSISTENT_APPEND_TIMEOUT,
                          PERSISTENT_APPEND_TIMEOUT, ()) for record in records
        ],
                                       return_exceptions=True)
        for record, result in zip(records, results):
            if isinstance(result, ports.RecordsRejectedError) and isinstance(
                    record, dispatch.ProgressRecord):
                await self._append_without_checkpoints(record)
            elif isinstance(result, BaseException):
                raise result

    async def _append_without_checkpoints(
            self, record: dispatch.ProgressRecord) -> None:
        try:
            await self._enqueue([record.drop_checkpoints()],
                                PERSISTENT_APPEND_TIMEOUT,
                                PERSISTENT_APPEND_TIMEOUT, ())
        except ports.RecordsRejectedError:
            # `append-rejected` has been logged. The tasks of the job run again
            # if the leader changes before a smaller record is stored.
            pass

    def _enqueue(self, records: Sequence[dispatch.Record],
                 timeout: datetime.timedelta,
                 refusal_timeout: datetime.timedelta,
                 replacements: Sequence[dispatch.Record]) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        if self._end_error is not None:
            future.set_exception(self._end_error)
            return future
        now = self._clock.monotonic()
        encoded_records = [dispatch.encode_record(record) for record in records]
        self._queue.add(
            _append_queue.PendingAppend(
                encoded_records, _append_queue.count_bytes(encoded_records),
                future, now + timeout.total_seconds(),
                now + min(timeout, refusal_timeout).total_seconds(),
                tuple(map(dispatch.encode_record, replacements))))
        self._append_queued.set()
        return future

    async def _append_forever(self) -> None:
        while True:
            self._append_queued.clear()
            self._queue.refuse_expired()
            if not self._queue:
                await self._append_queued.wait()
                continue
            batch = self._queue.take_batch()
            try:
                await self._append_batch(batch)
            except ports.ProducerFencedError as error:
                _append_queue.fail_appends(batch, error)
                self._end(error)
                return
            except asyncio.CancelledError:
                _append_queue.fail_appends(
                    batch,
                    ports.StoreError("the writer of the job topic was stopped",
                                     errors.Verdict.MAY_HAVE_RUN))
                raise

    async def _append_batch(self,
                            batch: list[_append_queue.PendingAppend]) -> None:
        may_be_stored = False
        stored_at_earliest = first_sent_at = self._clock.monotonic()
        for attempt_number in itertools.count(1):
            sent_at = self._clock.monotonic()
            batch = _append_queue.replace_expired(batch, sent_at)
            try:
                offset = await self._send_batch(batch)
            except ports.SequenceError as error:
                if error.expected == self._next_sequence + 1 and may_be_stored:
                    # An earlier call stored the records. Its reply with their
                    # offset was lost.
                    offset = -1
                else:
                    await self._repair_sequence(error, attempt_number)
                    continue
            except ports.ProducerFencedError:
                raise
            except ports.RecordsRejectedError as error:
                await self._handle_rejection(batch, error)
                return
            except ports.StoreError as error:
                if error.verdict is not errors.Verdict.DID_NOT_RUN:
                    self._call_limit.lengthen()
                    if not may_be_stored:
                        stored_at_earliest = sent_at
                    may_be_stored = True
                self._handle_store_failure(error)
                self._report_repetition(batch, attempt_number, first_sent_at,
                                        error)
                if not may_be_stored:
                    batch = _append_queue.refuse_expired(
                        batch, self._clock.monotonic())
                    if not batch:
                        return
                else:
                    # The records stay in the batch, whose call is repeated.
                    _append_queue.report_unknown_outcomes(
                        batch, self._clock.monotonic())
                self._queue.refuse_expired()
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            self._next_sequence += 1
            # The store replies to a repeated call as to the first one, also if
            # a leader of a higher epoch has appended in between.
            self.last_success_sent_at = (stored_at_earliest
                                         if may_be_stored else sent_at)
            self._call_limit.shorten()
            self._handle_store_success()
            for pending in batch:
                if not pending.future.done():
                    pending.future.set_result(offset)
                if offset >= 0:
                    offset += len(pending.records)
            return

    async def _repair_sequence(self, error: ports.SequenceError,
                               attempt_number: int) -> None:
        """Takes over the sequence number that the store expects.

        A pause follows unless this is the first attempt to append a batch.
        """
        self._log.write("append-sequence-repaired",
                        producer=self._producer.name,
                        sent=self._next_sequence,
                        expected=error.expected)
        if error.expected < 0:
            raise ports.ProducerFencedError(str(error),
                                            errors.Verdict.MAY_HAVE_RUN)
        self._next_sequence = error.expected
        if attempt_number > 1:
            await self._clock.sleep(RETRY_INTERVAL)

    async def _handle_rejection(self, batch: list[_append_queue.PendingAppend],
                                error: ports.RecordsRejectedError) -> None:
        """Fails a rejected request, or sends those of a rejected batch alone.
        """
        if len(batch) > 1:
            for pending in batch:
                await self._append_batch([pending])
            return
        self._metrics.rejected_appends.inc({})
        self._rejection_count += 1
        if not self._rejection_count & (self._rejection_count - 1):
            self._log.write("append-rejected",
                            producer=self._producer.name,
                            rejections=self._rejection_count,
                            error=str(error))
        _append_queue.fail_appends(batch, error)

    async def _send_batch(self,
                          batch: list[_append_queue.PendingAppend]) -> int:
        """Sends a batch once and returns the offset of its first record.

        Meanwhile it fails the requests in the batch and in the queue whose time
        is over.
        """
        records = [record for pending in batch for record in pending.records]
        byte_count = sum(pending.byte_count for pending in batch)
        call = asyncio.get_running_loop().create_task(
            self._append_once(records,
                              self._call_limit.compute_timeout(byte_count)))
        try:
            while not (await asyncio.wait(
                [call], timeout=EXPIRY_CHECK_INTERVAL.total_seconds()))[0]:
                _append_queue.report_unknown_outcomes(batch,
                                                      self._clock.monotonic())
                self._queue.refuse_expired()
            return call.result()
        finally:
            call.cancel()

    async def _append_once(self, records: list[ports.KeyedRecord],
                           timeout: datetime.timedelta) -> int:
        started_at = self._clock.monotonic()
        outcome = "failed"
        try:
            offset = await self._store.append(dispatch.JOB_TOPIC, records,
                                              self._producer,
                                              self._next_sequence, timeout)
            outcome = "ok"
            return offset
        except ports.StoreError:
            raise
        except Exception as error:
            # Ends neither the loop nor the repetitions: the records may be
            # stored, and the store would take the next ones for a repetition.
            raise ports.StoreError(_decision_log.format_error(error),
                                   errors.Verdict.MAY_HAVE_RUN) from error
        finally:
            self._metrics.store_calls.inc({
                "operation": "append",
                "outcome": outcome
            })
            self._metrics.store_call_seconds.observe({"operation": "append"},
                                                     self._clock.monotonic() -
                                                     started_at)

    def _handle_store_failure(self, error: ports.StoreError) -> None:
        if self.last_call_succeeded:
            self.last_call_succeeded = False
            self._log.write("store-lost",
                            producer=self._producer.name,
                            error=str(error),
                            verdict=error.verdict.value)

    def _report_repetition(self, batch: list[_append_queue.PendingAppend],
                           failure_count: int, first_sent_at: float,
                           error: ports.StoreError) -> None:
        """Counts a failed call that is repeated, and logs some of them.

        Of the failures of one batch, the second, fourth, eighth and so on are
        logged, so that a call that is repeated for long does not fill the log.
        """
        self._metrics.append_repetitions.inc({"verdict": error.verdict.value})
        if failure_count == 1 or failure_count & (failure_count - 1):
            return
        byte_count = sum(pending.byte_count for pending in batch)
        self._log.write(
            "append-repeated",
            producer=self._producer.name,
            sequence=self._next_sequence,
            failures=failure_count,
            records=sum(len(pending.records) for pending in batch),
            bytes=byte_count,
            next_timeout_s=round(
                self._call_limit.compute_timeout(byte_count).total_seconds(),
                2),
            seconds=round(self._clock.monotonic() - first_sent_at, 2),
            error=str(error))

    def _handle_store_success(self) -> None:
        if not self.last_call_succeeded:
            self.last_call_succeeded = True
            self._log.write("store-regained", producer=self._producer.name)


class JobTopicReader:
    """Keeps a job table up to date by reading the job topic.

    Attributes:
        job_table: Jobs, leaders, members and workers according to the records
            read.
        is_loaded: Whether the newest record of every key was read, so that the
            table is complete. False again when the store has deleted unread
            records, until the next read of the newest records.
        fresh_as_of: Monotonic time in seconds at which the last read that
            reached the end of the topic was sent; None before the first.
    """

    def __init__(self, store: ports.KeyedStore, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_jobs_changed: Callable[[set[str]], None]):
        self.job_table = dispatch.JobTable()
        self.is_loaded = False
        self.fresh_as_of: float | None = None
        self._readable_since: float | None = None
        self._read_sent_at: float | None = None
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_jobs_changed = on_jobs_changed
        self._loader = _topic_load.TopicLoader(dispatch.JOB_TOPIC, store, clock,
                                               log, metrics)
        self._unreadable_records = _unreadable_records.UnreadableRecords(
            dispatch.JOB_TOPIC, clock, log, metrics)
        self._read_requested = asyncio.Event()
        self._records_applied = asyncio.Event()
        self._loop_task: asyncio.Task | None = None

    @property
    def readable_since(self) -> float | None:
        """Monotonic time in seconds since which all reads succeeded.

        None while reads fail, while a read takes longer than
        `OVERDUE_READ_LIMIT`, and before the first read.
        """
        return None if self._is_read_overdue() else self._readable_since

    def _is_read_overdue(self) -> bool:
        return (self._read_sent_at is not None and
                self._clock.monotonic() - self._read_sent_at
                > OVERDUE_READ_LIMIT.total_seconds())

    def start(self) -> None:
        """Starts the loop that reads the topic."""
        self._loop_task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops the loop that reads the topic."""
        if self._loop_task is not None:
            self._loop_task.cancel()
            await asyncio.wait([self._loop_task])

    def is_fresh(self) -> bool:
        """Returns whether the topic was read to its end recently.

        The last such read must have been sent at most `FRESHNESS_LIMIT` ago.
        """
        return (self.fresh_as_of is not None and
                self._clock.monotonic() - self.fresh_as_of
                <= FRESHNESS_LIMIT.total_seconds())

    async def wait_until_applied(self, offset: int,
                                 timeout: datetime.timedelta) -> bool:
        """Waits until the table is loaded and includes the record at an offset.

        Returns:
            True if this happened before the timeout, else False.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while self.job_table.position <= offset or not self.is_loaded:
                    self._read_requested.set()
                    self._records_applied.clear()
                    await self._records_applied.wait()
        except TimeoutError:
            return False
        return True

    def request_read(self) -> None:
        """Reads the topic again without the pause between two reads."""
        self._read_requested.set()

    async def _run(self) -> None:
        """Reads the topic, and loads it again after an unexpected error.

        The loop also runs the code that handles changed jobs. Without the
        reader, the daemon would refuse its callers until it is restarted.
        """
        while True:
            try:
                await self._read_forever()
            except Exception as error:  # pylint: disable=broad-exception-caught
                self._log.write("internal-error",
                                error=_decision_log.format_error(error))
                self._readable_since = None
                self.is_loaded = False
                await self._clock.sleep(RELOAD_DELAY)

    async def _read_forever(self) -> None:
        while True:
            started_at = self._clock.monotonic()
            has_more = False
            try:
                if self.is_loaded:
                    has_more = await self._read_new_records(started_at)
                else:
                    await self._load_topic()
            except ports.StoreError as error:
                self._handle_read_failure(error)
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            if not has_more:
                await self._wait_for_next_read(started_at)

    async def _wait_for_next_read(self, started_at: float) -> None:
        remaining_s = (MIN_READ_INTERVAL.total_seconds() -
                       (self._clock.monotonic() - started_at))
        if remaining_s > 0 and not self._read_requested.is_set():
            try:
                async with asyncio.timeout(remaining_s):
                    await self._read_requested.wait()
            except TimeoutError:
                pass
        self._read_requested.clear()

    async def _load_topic(self) -> None:
        loaded_topic = await self._loader.load()
        self._unreadable_records.forget_missing(
            record.key for record in loaded_topic.batch.records)
        for stored_record, error in self.job_table.load_newest_records(
                loaded_topic.batch, self._clock.monotonic()):
            self._unreadable_records.report(stored_record, error)
        self.is_loaded = True
        self._handle_read_success("newest", loaded_topic.fresh_as_of, True)

    async def _read_new_records(self, sent_at: float) -> bool:
        """Reads new records once.

        Returns:
            Whether more records are left, because the size of a reply is
            limited.
        """
        start_offset = self.job_table.position
        self._read_sent_at = sent_at
        try:
            batch = await self._store.read(dispatch.JOB_TOPIC, start_offset,
                                           LONG_POLL_WAIT)
            if self._is_read_overdue():
                self._readable_since = None
        finally:
            self._read_sent_at = None
        if batch is None:
            self._log.write("topic-expired", position=start_offset)
            self.is_loaded = False
            return False
        self._metrics.work.count_read(dispatch.JOB_TOPIC, len(batch.records))
        now = self._clock.monotonic()
        for stored_record in batch.records:
            try:
                self.job_table.apply(stored_record, now)
            except Exception as error:  # pylint: disable=broad-exception-caught
                # The other records apply. A load would meet the same error.
                self._unreadable_records.report(stored_record, error)
            else:
                self._unreadable_records.mark_readable(stored_record.key)
        is_at_end = self.job_table.position >= batch.end_offset
        self._handle_read_success("read", sent_at, is_at_end)
        return bool(batch.records) and not is_at_end

    def _handle_read_success(self, operation: str, sent_at: float,
                             is_at_end: bool) -> None:
        now = self._clock.monotonic()
        self._metrics.store_calls.inc({"operation": operation, "outcome": "ok"})
        if is_at_end:
            self.fresh_as_of = sent_at
        if self._readable_since is None:
            self._readable_since = now
            self._log.write("topic-regained", position=self.job_table.position)
        changed_job_ids = self.job_table.take_changed_jobs()
        self._records_applied.set()
        self._on_jobs_changed(changed_job_ids)

    def _handle_read_failure(self, error: ports.StoreError) -> None:
        self._metrics.store_calls.inc({
            "operation": "read",
            "outcome": "failed"
        })
        if self._readable_since is not None:
            self._readable_since = None
            self._log.write("topic-lost",
                            position=self.job_table.position,
                            error=str(error))
