"""Reads the operators' topic and the topic of the worker registry."""

import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

OPERATOR_LONG_POLL_WAIT = datetime.timedelta(seconds=1)
"""How long the store may hold a read of the operators' topic until new records
arrive. A change must be in force within two seconds, and a lost reply uses up
this wait and the client's allowance for the reply."""

REGISTRY_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two reads of the worker registry: half of the time within which
a draining worker must stop getting work."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=150)
"""Pause after a failed read of a topic."""


class PlatformTopicReader:
    """Reads a topic of another system and passes each record to a callback.

    Attributes:
        is_loaded: Whether the newest record of every key was read.
        fresh_as_of: Monotonic time in seconds at which the last successful read
            was sent; None before the first.
    """

    def __init__(self, topic: str, long_poll_wait: datetime.timedelta,
                 interval: datetime.timedelta, store: ports.KeyedStore,
                 clock: ports.Clock, log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_record: Callable[[ports.KeyedRecord],
                                     None], on_loaded: Callable[[set[str]],
                                                                None]):
        self.is_loaded = False
        self.fresh_as_of: float | None = None
        self._topic = topic
        self._long_poll_wait = long_poll_wait
        self._interval = interval
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_record = on_record
        self._on_loaded = on_loaded
        self._position = 0
        self._is_reachable = True

    async def run(self) -> None:
        """Reads the topic until the calling task is cancelled."""
        while True:
            sent_at = self._clock.monotonic()
            try:
                await self._read()
                self.fresh_as_of = sent_at
                self._record_read_result(True, "")
                await self._clock.sleep(self._interval)
            except ports.StoreError as error:
                self._record_read_result(False, str(error))
                await self._clock.sleep(RETRY_INTERVAL)

    async def _read(self) -> None:
        if not self.is_loaded:
            batch = await self._store.read_newest(self._topic)
            self._deliver_records(batch.records)
            self._position = batch.end_offset
            self.is_loaded = True
            self._on_loaded(
                {record.key for record in batch.records if record.value})
            return
        batch = await self._store.read(self._topic, self._position,
                                       self._long_poll_wait)
        if batch is None:
            # The store has deleted records at this position. The next read
            # loads the newest record of each key, which the store retains.
            self._log.write("topic-expired",
                            topic=self._topic,
                            position=self._position)
            self.is_loaded = False
            return
        self._deliver_records(batch.records)
        self._position += len(batch.records)

    def _deliver_records(self, records: tuple[ports.KeyedRecord, ...]) -> None:
        for record in records:
            try:
                self._on_record(record)
            except errors.ProtocolError as error:
                self._log.write("record-unreadable",
                                topic=self._topic,
                                key=record.key,
                                offset=record.offset,
                                problem=str(error))

    def _record_read_result(self, is_reachable: bool, error: str) -> None:
        self._metrics.store_calls.inc({
            "operation": "follow",
            "outcome": "ok" if is_reachable else "failed"
        })
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            self._log.write("topic-regained" if is_reachable else "topic-lost",
                            topic=self._topic,
                            position=self._position,
                            error=error)


class OperatorState:
    """Holds the operators' configuration and the domains taken out of service.

    Attributes:
        configuration: Configuration in force, or None before the first.
        evacuated_domains: Failure domains that operators took out of service.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 on_change: Callable[[], None]):
        self.configuration: model.FleetConfiguration | None = None
        self.evacuated_domains: frozenset[str] = frozenset()
        self._log = log
        self._on_change = on_change

    def apply(self, record: ports.KeyedRecord) -> None:
        """Applies a record of the operators' topic.

        Raises:
            ProtocolError: The record cannot be read.
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

    def apply_loaded(self, keys: set[str]) -> None:
        """Sets the domains out of service from the keys of a full read."""
        listed_domains = frozenset(
            key[len(platform.EVACUATION_KEY_PREFIX):]
            for key in keys
            if key.startswith(platform.EVACUATION_KEY_PREFIX))
        if listed_domains != self.evacuated_domains:
            self._log.write("domains-out", domains=sorted(listed_domains))
            self.evacuated_domains = listed_domains
            self._on_change()

    def _apply_configuration(self, data: bytes) -> None:
        configuration, problems = platform.parse_configuration(data)
        for problem in problems:
            self._log.write("configuration-problem",
                            version=configuration.version,
                            problem=problem)
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self._log.write("configuration-in-force",
                        version=configuration.version,
                        queues=len(configuration.queues))
        self._on_change()


class WorkerRegistry:
    """Holds the entries of the workers that the registry lists.

    Attributes:
        entries: Entries by identifier of the worker.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 on_entry: Callable[[ports.WorkerEntry],
                                    None], on_removed: Callable[[str], None]):
        self.entries: dict[str, ports.WorkerEntry] = {}
        self._log = log
        self._on_entry = on_entry
        self._on_removed = on_removed

    def apply(self, record: ports.KeyedRecord) -> None:
        """Applies a record of the registry.

        Raises:
            ProtocolError: The record describes no usable worker; the worker
                listed under its key, if any, is removed.
        """
        if not record.value:
            self._remove(record.key, "registry entry removed")
            return
        try:
            entry = platform.parse_worker_entry(record.key, record.value)
        except errors.ProtocolError:
            self._remove(record.key, "registry entry unreadable")
            raise
        former_entry = self.entries.get(record.key)
        self.entries[record.key] = entry
        if (former_entry is None or
                former_entry.is_draining != entry.is_draining or
                former_entry.born_ms != entry.born_ms):
            self._log.write("worker-listed",
                            worker=entry.worker_id,
                            domain=entry.domain,
                            draining=entry.is_draining,
                            born_ms=entry.born_ms,
                            offset=record.offset)
        self._on_entry(entry)

    def apply_loaded(self, keys: set[str]) -> None:
        """Removes the workers whose keys are not in a full read."""
        for worker_id in set(self.entries) - keys:
            self._remove(worker_id, "missing from a full read of the registry")

    def _remove(self, worker_id: str, reason: str) -> None:
        if self.entries.pop(worker_id, None) is not None:
            self._log.write("worker-unlisted", worker=worker_id, reason=reason)
            self._on_removed(worker_id)
