"""Loads of topics: full reads of the newest record of each key."""

import datetime
from typing import NamedTuple, Sequence

from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

FAILURE_LOG_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between two `topic-load-failed` lines of a topic. A load that
the store refuses is continued up to twelve times a second."""

FIRST_REPLY_TIMEOUT = datetime.timedelta(milliseconds=900)
"""Longest wait for the store to begin its reply with a page, in the first
attempt. A store that is slow by a factor of 60 begins it within 0.3 s."""

MAX_REPLY_TIMEOUT = datetime.timedelta(seconds=5)
"""Upper bound of the wait, which grows with each call of a load that gets no
reply: a store whose bandwidth many daemons share may need longer than the first
wait."""


class LoadedTopic(NamedTuple):
    """The records of a topic after a load.

    Attributes:
        batch: Newest record of each key; the end offset is the one from which
            on records have not been read.
        fresh_as_of: Monotonic time in seconds at which the last read that
            reached the end of the topic was sent.
    """

    batch: ports.KeyedBatch
    fresh_as_of: float


class TopicLoader:
    """Loads one topic page by page, and reports failures.

    Pages that arrived are kept when a call gets no complete reply or is refused
    for now, so that each attempt makes progress over a slow or unreliable link.
    If there are several pages, the records appended meanwhile are read after
    each of them: the store may delete these records before the last page has
    arrived.

    A reply that the same call would get again ends the attempt, and the next
    one begins with the first page.

    A daemon that has not loaded the job topic refuses its callers, so the log
    names the reason why a load fails.

    Example:
        >>> loader = TopicLoader("jobs", store, clock, log, metrics)
        >>> loaded = await loader.load()  # After a StoreError: once more.
    """

    def __init__(self, topic: str, store: ports.KeyedStore, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._topic = topic
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._started_at: float | None = None
        self._failure_count = 0
        self._unanswered_count = 0
        self._failure_logged_at: float | None = None
        self._page_count = 0
        self._after_key = ""
        self._newest_records: dict[str, ports.KeyedRecord] = {}
        self._position = 0
        self._fresh_as_of = 0.0

    async def load(self) -> LoadedTopic:
        """Reads the pages that are missing and returns all records.

        The next call after a successful one begins a new load.

        Raises:
            StoreError: A read failed; the next call continues the load.
        """
        attempted_at = self._clock.monotonic()
        if self._started_at is None:
            self._started_at = attempted_at
        try:
            while await self._read_page():
                pass
        except ports.StoreError as error:
            self._report_failure(error, attempted_at)
            if error.verdict is errors.Verdict.RAN:
                # The same call would get the same unusable reply.
                self._discard_pages()
            elif error.verdict is errors.Verdict.MAY_HAVE_RUN:
                self._unanswered_count += 1
            raise
        loaded_topic = LoadedTopic(
            ports.KeyedBatch(
                self._position,
                tuple(
                    sorted(self._newest_records.values(),
                           key=lambda record: record.offset))),
            self._fresh_as_of)
        self._report_success(loaded_topic.batch)
        self._started_at = None
        self._failure_count = 0
        self._unanswered_count = 0
        self._failure_logged_at = None
        self._discard_pages()
        return loaded_topic

    def _discard_pages(self) -> None:
        self._page_count = 0
        self._after_key = ""
        self._newest_records = {}

    async def _read_page(self) -> bool:
        """Reads the next page and, beside a single one, the new records.

        Returns:
            Whether there are more pages.
        """
        sent_at = self._clock.monotonic()
        reply_timeout = min(MAX_REPLY_TIMEOUT,
                            FIRST_REPLY_TIMEOUT * (1 + self._unanswered_count))
        page = await self._store.read_newest_page(self._topic, self._after_key,
                                                  reply_timeout)
        if page.has_more and page.records[-1].key <= self._after_key:
            raise ports.StoreError(
                f"the page after key {self._after_key!r} ends with key "
                f"{page.records[-1].key!r}", errors.Verdict.RAN)
        if self._page_count == 0:
            self._position = page.end_offset
            self._fresh_as_of = sent_at
        self._keep_newest(page.records)
        self._page_count += 1
        if page.records:
            self._after_key = page.records[-1].key
        if self._page_count > 1 or page.has_more:
            await self._read_new_records()
        return page.has_more

    async def _read_new_records(self) -> None:
        """Reads up to the end that the topic has when this begins.

        The pages that arrived hold no records beyond this end. The end offset
        of the load must not be before any of its records: records from there on
        are read again, and an older one of a key would follow a newer one.

        Raises:
            StoreError: A read failed, or the store has deleted some of the
                records appended since the first page, so that the pages read so
                far may lack changes.
        """
        known_end: int | None = None
        while known_end is None or self._position < known_end:
            sent_at = self._clock.monotonic()
            batch = await self._store.read(self._topic, self._position,
                                           datetime.timedelta(0))
            if batch is None:
                self._log.write("topic-expired",
                                topic=self._topic,
                                position=self._position)
                raise ports.StoreError(
                    f"records from offset {self._position} on were deleted "
                    "during the load", errors.Verdict.RAN)
            if not batch.records and self._position < batch.end_offset:
                raise ports.StoreError(
                    f"no records from offset {self._position} on although the "
                    f"topic ends at {batch.end_offset}", errors.Verdict.RAN)
            self._keep_newest(batch.records)
            if batch.records:
                self._position = batch.records[-1].offset + 1
            if self._position >= batch.end_offset:
                self._fresh_as_of = sent_at
            if known_end is None:
                known_end = batch.end_offset

    def _keep_newest(self, records: Sequence[ports.KeyedRecord]) -> None:
        for record in records:
            known_record = self._newest_records.get(record.key)
            if known_record is None or known_record.offset < record.offset:
                self._newest_records[record.key] = record

    def _report_failure(self, error: ports.StoreError,
                        attempted_at: float) -> None:
        """Counts a failed attempt; logs it unless another one was just logged.
        """
        now = self._clock.monotonic()
        self._failure_count += 1
        self._metrics.topic_loads.inc({
            "topic": self._topic,
            "outcome": "failed"
        })
        if (self._failure_logged_at is not None and
                now - self._failure_logged_at
                < FAILURE_LOG_INTERVAL.total_seconds()):
            return
        self._failure_logged_at = now
        self._log.write("topic-load-failed",
                        topic=self._topic,
                        failures=self._failure_count,
                        error=str(error),
                        verdict=error.verdict.value,
                        pages=self._page_count,
                        keys=len(self._newest_records),
                        seconds=round(now - attempted_at, 3))

    def _report_success(self, batch: ports.KeyedBatch) -> None:
        self._metrics.topic_loads.inc({"topic": self._topic, "outcome": "ok"})
        self._metrics.work.count_read(self._topic, len(batch.records))
        self._log.write(
            "topic-loaded",
            topic=self._topic,
            keys=len(batch.records),
            value_bytes=sum(len(record.value) for record in batch.records),
            pages=self._page_count,
            seconds=round(self._clock.monotonic() - self._started_at, 3),
            failures=self._failure_count,
            position=batch.end_offset)
