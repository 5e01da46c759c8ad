"""Reads the operators' topic and the topic of the worker registry."""

import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _topic_load
from gentianlead.cluster import _unreadable_records

OPERATOR_LONG_POLL_WAIT = datetime.timedelta(seconds=1)
"""How long the store may hold a read of the operators' topic until new records
arrive. A change must be in force within two seconds. A read whose reply is lost
uses up 1.9 s of these: this wait plus the store client's allowance for the
reply (900 ms)."""

REGISTRY_INTERVAL = datetime.timedelta(seconds=1)
"""Pause between two reads of the worker registry: half of the time within which
a draining worker must stop getting work."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=150)
"""Pause between a failed read of a topic and its repetition."""

MIN_LONG_POLL_INTERVAL = datetime.timedelta(milliseconds=150)
"""Shortest time between the starts of two reads that the store may hold. It
bounds the number of calls if the store replies at once without records."""

RELOAD_DELAY = datetime.timedelta(seconds=1)
"""Pause between an unexpected error of a reader and the next load."""

MAX_REGISTRY_AGE = datetime.timedelta(seconds=2)
"""Age of the last read of the registry up to which entries count as current.
From 3 s after its next report on, a worker that has shrunk must get no start
that does not fit; the rest of this time is for orders on their way."""


class RegistryFreshness:
    """Tells whether the registry shows what the workers last reported.

    After a gap in the reads, the store may have been down for the workers, too,
    so that their entries are old until each has reported again.

    Args:
        report_interval: Interval at which workers report to the registry.
    """

    def __init__(self, report_interval: datetime.timedelta):
        self._report_interval = report_interval
        self._unbroken_since: float | None = None
        self._last_read_at = 0.0

    def mark_read(self, sent_at: float) -> None:
        """Notes a read that reached the end of the registry.

        Args:
            sent_at: Monotonic time in seconds at which the read was sent.
        """
        if (self._unbroken_since is None or sent_at - self._last_read_at
                > MAX_REGISTRY_AGE.total_seconds()):
            self._unbroken_since = sent_at
        self._last_read_at = sent_at

    def is_current(self, now: float) -> bool:
        """Returns whether the entries are current at a monotonic time."""
        return (self._unbroken_since is not None and
                now - self._last_read_at <= MAX_REGISTRY_AGE.total_seconds() and
                self._last_read_at - self._unbroken_since
                >= self._report_interval.total_seconds())


class PlatformTopicReader:
    """Reads a topic that other systems write; passes its records to callbacks.

    Each record goes to `on_record`. After a read of the newest record of every
    key (a full read), `on_loaded` gets the keys whose records have a value.
    `on_read_to_end` gets the monotonic time in seconds at which a read was sent
    that reached the end of the topic.

    Attributes:
        is_loaded: Whether a full read has succeeded. False again when the store
            has deleted unread records, until the next full read.
        fresh_as_of: Monotonic time in seconds at which the last read that
            reached the end of the topic was sent; None before the first.
    """

    def __init__(self,
                 topic: str,
                 long_poll_wait: datetime.timedelta,
                 read_interval: datetime.timedelta,
                 store: ports.KeyedStore,
                 clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_record: Callable[[ports.KeyedRecord], None],
                 on_loaded: Callable[[set[str]], None],
                 on_read_to_end: Callable[[float],
                                          None] = lambda sent_at: None):
        self.is_loaded = False
        self.fresh_as_of: float | None = None
        self._topic = topic
        self._long_poll_wait = long_poll_wait
        self._read_interval = read_interval
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_record = on_record
        self._on_loaded = on_loaded
        self._on_read_to_end = on_read_to_end
        self._loader = _topic_load.TopicLoader(topic, store, clock, log,
                                               metrics)
        self._unreadable_records = _unreadable_records.UnreadableRecords(
            topic, clock, log, metrics)
        self._next_offset = 0
        self._is_store_reachable = True

    async def run(self) -> None:
        """Reads the topic until the calling task is cancelled.

        Without the reader, the daemon would never see another change. After an
        unexpected error it therefore loads the topic again.
        """
        while True:
            started_at = self._clock.monotonic()
            try:
                has_more = await self._read()
                self._handle_read_result(True, "")
                if not has_more:
                    await self._clock.sleep(self._compute_pause(started_at))
            except ports.StoreError as error:
                self._handle_read_result(False, str(error))
                await self._clock.sleep(RETRY_INTERVAL)
            except Exception as error:  # pylint: disable=broad-exception-caught
                self._log.write("internal-error",
                                topic=self._topic,
                                error=_decision_log.format_error(error))
                self.is_loaded = False
                await self._clock.sleep(RELOAD_DELAY)

    def _compute_pause(self, started_at: float) -> datetime.timedelta:
        """Returns the pause after a read that began at a monotonic time."""
        if not self._long_poll_wait:
            return self._read_interval
        elapsed = datetime.timedelta(seconds=self._clock.monotonic() -
                                     started_at)
        return max(self._read_interval, MIN_LONG_POLL_INTERVAL - elapsed)

    async def _read(self) -> bool:
        """Reads the whole topic once, then its new records.

        Returns:
            Whether more records are left, because the size of a reply is
            limited.
        """
        if not self.is_loaded:
            batch, self.fresh_as_of = await self._loader.load()
            self._deliver_records(batch.records)
            self._unreadable_records.forget_missing(
                record.key for record in batch.records)
            self._next_offset = batch.end_offset
            self.is_loaded = True
            self._on_loaded(
                {record.key for record in batch.records if record.value})
            self._on_read_to_end(self.fresh_as_of)
            return False
        sent_at = self._clock.monotonic()
        batch = await self._store.read(self._topic, self._next_offset,
                                       self._long_poll_wait)
        if batch is None:
            # The store has deleted records from this position on before they
            # were read. The next read is a full read; the store retains the
            # newest record of each key.
            self._log.write("topic-expired",
                            topic=self._topic,
                            position=self._next_offset)
            self.is_loaded = False
            return False
        self._metrics.work.count_read(self._topic, len(batch.records))
        self._deliver_records(batch.records)
        self._next_offset += len(batch.records)
        is_at_end = self._next_offset >= batch.end_offset
        if is_at_end:
            self.fresh_as_of = sent_at
            self._on_read_to_end(sent_at)
        return bool(batch.records) and not is_at_end

    def _deliver_records(self, records: tuple[ports.KeyedRecord, ...]) -> None:
        for record in records:
            try:
                self._on_record(record)
            except Exception as error:  # pylint: disable=broad-exception-caught
                # The other records apply. A record that causes the same error
                # after each load would otherwise hide them for good.
                self._unreadable_records.report(record, error)
            else:
                self._unreadable_records.mark_readable(record.key)

    def _handle_read_result(self, has_succeeded: bool, error: str) -> None:
        self._metrics.store_calls.inc({
            "operation": "follow",
            "outcome": "ok" if has_succeeded else "failed"
        })
        if has_succeeded != self._is_store_reachable:
            self._is_store_reachable = has_succeeded
            self._log.write("topic-regained" if has_succeeded else "topic-lost",
                            topic=self._topic,
                            position=self._next_offset,
                            error=error)


class OperatorState:
    """Holds the operators' configuration and the domains taken out of service.

    It calls `on_change` after each change of the configuration or of these
    domains.

    Attributes:
        configuration: Configuration in force, or None before one is read.
        evacuated_domains: Failure domains that operators took out of service.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics, on_change: Callable[[],
                                                                       None]):
        self.configuration: model.FleetConfiguration | None = None
        self.evacuated_domains: frozenset[str] = frozenset()
        self._log = log
        self._metrics = metrics
        self._on_change = on_change

    def apply_record(self, record: ports.KeyedRecord) -> None:
        """Applies a configuration, or a change of the domains out of service.

        Records of other kinds, an empty configuration, and a configuration
        whose version is not above that in force are ignored.

        Raises:
            ProtocolError: The record holds a configuration that cannot be
                decoded.
        """
        if record.key == platform.CONFIGURATION_KEY:
            if record.value:
                self._apply_configuration(record.value)
        elif record.key.startswith(platform.EVACUATION_KEY_PREFIX):
            domain = record.key[len(platform.EVACUATION_KEY_PREFIX):]
            previous_domains = self.evacuated_domains
            self.evacuated_domains = (previous_domains | {domain}
                                      if record.value else previous_domains -
                                      {domain})
            if self.evacuated_domains != previous_domains:
                self._log.write("domain-out" if record.value else "domain-in",
                                domain=domain,
                                offset=record.offset)
                self._on_change()

    def apply_loaded_keys(self, listed_keys: set[str]) -> None:
        """Sets `evacuated_domains` to the domains with a key in a full read.

        A domain whose key is missing is in service again.
        """
        listed_domains = frozenset(
            key[len(platform.EVACUATION_KEY_PREFIX):]
            for key in listed_keys
            if key.startswith(platform.EVACUATION_KEY_PREFIX))
        if listed_domains != self.evacuated_domains:
            self._log.write("domains-out", domains=sorted(listed_domains))
            self.evacuated_domains = listed_domains
            self._on_change()

    def _apply_configuration(self, encoded_configuration: bytes) -> None:
        self._metrics.work.records_decoded[platform.OPERATOR_TOPIC] += 1
        configuration, problems = platform.parse_configuration(
            encoded_configuration)
        for problem in problems:
            self._log.write("configuration-problem",
                            version=configuration.version,
                            problem=problem)
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return
        self.configuration = configuration
        self._log.write("configuration-in-force",
                        version=configuration.version,
                        queues=len(configuration.queues))
        self._on_change()


class WorkerRegistry:
    """Holds the workers that the registry lists.

    It passes each registry entry that it reads, and the identifier of each
    removed worker, to callbacks. An entry that repeats the worker's former one
    but for its counters is not decoded again: all daemons read all entries, and
    each worker reports every second or two.

    Attributes:
        entries: Newest registry entry of each listed worker, by its identifier.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_worker_entry: Callable[[ports.WorkerEntry], None],
                 on_worker_removed: Callable[[str], None]):
        self.entries: dict[str, ports.WorkerEntry] = {}
        # Content from which each of `entries` was decoded; its counters are 0.
        self._decoded_contents: dict[str, bytes] = {}
        self._log = log
        self._metrics = metrics
        self._on_worker_entry = on_worker_entry
        self._on_worker_removed = on_worker_removed

    def apply_record(self, record: ports.KeyedRecord) -> None:
        """Applies a record of the registry: adds, updates or removes a worker.

        Raises:
            ProtocolError: The record describes no usable worker. The worker
                with this key, if it was listed, is removed.
        """
        if not record.value:
            self._remove_worker(record.key, "registry entry removed")
            return
        content = platform.clear_report_counters(record.value)
        if self._decoded_contents.get(record.key) == content:
            self._on_worker_entry(self.entries[record.key])
            return
        self._metrics.work.records_decoded[platform.REGISTRY_TOPIC] += 1
        try:
            entry = platform.parse_worker_entry(record.key, record.value)
        except errors.ProtocolError:
            self._remove_worker(record.key, "registry entry unreadable")
            raise
        former_entry = self.entries.get(record.key)
        self.entries[record.key] = entry
        self._decoded_contents[record.key] = content
        if (former_entry is None or
                former_entry.is_draining != entry.is_draining or
                former_entry.born_ms != entry.born_ms):
            self._log.write("worker-listed",
                            worker=entry.worker_id,
                            domain=entry.domain,
                            draining=entry.is_draining,
                            born_ms=entry.born_ms,
                            offset=record.offset)
        self._on_worker_entry(entry)

    def apply_loaded_keys(self, listed_keys: set[str]) -> None:
        """Removes the listed workers whose keys are not in a full read."""
        for worker_id in set(self.entries) - listed_keys:
            self._remove_worker(worker_id,
                                "missing from a full read of the registry")

    def _remove_worker(self, worker_id: str, removal_reason: str) -> None:
        self._decoded_contents.pop(worker_id, None)
        if self.entries.pop(worker_id, None) is not None:
            self._log.write("worker-unlisted",
                            worker=worker_id,
                            reason=removal_reason)
            self._on_worker_removed(worker_id)
