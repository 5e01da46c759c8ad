"""Follows the operators' records and the workers' registry."""

import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

OPERATOR_WAIT = datetime.timedelta(seconds=1)
"""How long the store may hold a read of the operators' records. A lost reply
costs this and the read's allowance out of the two seconds that a change may
take to be in force."""

REGISTRY_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two reads of the registry: half of the time in which a worker
that drains must get no more work."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=150)
"""Pause after a failed read."""


class TopicFollower:
    """Reads a topic of others and passes each record on.

    Attributes:
        is_loaded: Whether the whole topic was read once.
        fresh_as_of: Monotonic time at which the last successful read was sent.
    """

    def __init__(self, topic: str, wait: datetime.timedelta,
                 interval: datetime.timedelta, store: ports.KeyedStore,
                 clock: ports.Clock, log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 on_record: Callable[[ports.KeyedRecord],
                                     None], on_loaded: Callable[[set[str]],
                                                                None]):
        self.is_loaded = False
        self.fresh_as_of: float | None = None
        self._topic = topic
        self._wait = wait
        self._interval = interval
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_record = on_record
        self._on_loaded = on_loaded
        self._position = 0
        self._is_reached = True

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            sent_at = self._clock.monotonic()
            try:
                await self._read()
                self.fresh_as_of = sent_at
                self._note(True, "")
                await self._clock.sleep(self._interval)
            except ports.StoreError as error:
                self._note(False, str(error))
                await self._clock.sleep(RETRY_INTERVAL)

    async def _read(self) -> None:
        if not self.is_loaded:
            batch = await self._store.read_newest(self._topic)
            self._pass_on(batch.records)
            self._position = batch.end_offset
            self.is_loaded = True
            self._on_loaded(
                {record.key for record in batch.records if record.value})
            return
        batch = await self._store.read(self._topic, self._position, self._wait)
        if batch is None:
            # Records were deleted; the newest ones are still there.
            self._log.write("topic-expired",
                            topic=self._topic,
                            position=self._position)
            self.is_loaded = False
            return
        self._pass_on(batch.records)
        self._position += len(batch.records)

    def _pass_on(self, records: tuple[ports.KeyedRecord, ...]) -> None:
        for record in records:
            try:
                self._on_record(record)
            except errors.ProtocolError as error:
                self._log.write("record-unreadable",
                                topic=self._topic,
                                key=record.key,
                                offset=record.offset,
                                problem=str(error))

    def _note(self, is_reached: bool, error: str) -> None:
        self._metrics.store_calls.inc({
            "operation": "follow",
            "outcome": "ok" if is_reached else "failed"
        })
        if is_reached != self._is_reached:
            self._is_reached = is_reached
            self._log.write("topic-regained" if is_reached else "topic-lost",
                            topic=self._topic,
                            position=self._position,
                            error=error)


class OperatorState:
    """What the operators ask for.

    Attributes:
        configuration: Configuration in force, or None before the first.
        evacuated: Failure domains out of service.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 on_change: Callable[[], None]):
        self.configuration: model.FleetConfiguration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self._log = log
        self._on_change = on_change

    def apply(self, record: ports.KeyedRecord) -> None:
        """Applies a record of the operators.

        Raises:
            ProtocolError: It cannot be read.
        """
        if record.key == platform.CONFIGURATION_KEY:
            if record.value:
                self._apply_configuration(record.value)
        elif record.key.startswith(platform.EVACUATION_PREFIX):
            domain = record.key[len(platform.EVACUATION_PREFIX):]
            before = self.evacuated
            self.evacuated = (before | {domain} if record.value else before -
                              {domain})
            if self.evacuated != before:
                self._log.write("domain-out" if record.value else "domain-in",
                                domain=domain,
                                offset=record.offset)
                self._on_change()

    def apply_loaded(self, keys: set[str]) -> None:
        """Drops evacuations whose records are gone."""
        listed = frozenset(key[len(platform.EVACUATION_PREFIX):]
                           for key in keys
                           if key.startswith(platform.EVACUATION_PREFIX))
        if listed != self.evacuated:
            self._log.write("domains-out", domains=sorted(listed))
            self.evacuated = listed
            self._on_change()

    def _apply_configuration(self, data: bytes) -> None:
        configuration, problems = platform.parse_configuration(data)
        for problem in problems:
            self._log.write("configuration-problem",
                            version=configuration.version,
                            problem=problem)
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self._log.write("configuration-in-force",
                        version=configuration.version,
                        queues=len(configuration.queues))
        self._on_change()


class WorkerRegistry:
    """Workers that the registry lists.

    Attributes:
        entries: Entries by identifier.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 on_entry: Callable[[ports.WorkerEntry],
                                    None], on_gone: Callable[[str], None]):
        self.entries: dict[str, ports.WorkerEntry] = {}
        self._log = log
        self._on_entry = on_entry
        self._on_gone = on_gone

    def apply(self, record: ports.KeyedRecord) -> None:
        """Applies a record of the registry.

        Raises:
            ProtocolError: It names no worker to use; one that was listed
                under the key is taken out.
        """
        if not record.value:
            self._remove(record.key, "entry removed")
            return
        try:
            entry = platform.parse_entry(record.key, record.value)
        except errors.ProtocolError:
            self._remove(record.key, "entry unreadable")
            raise
        known = self.entries.get(record.key)
        self.entries[record.key] = entry
        if (known is None or known.is_draining != entry.is_draining or
                known.born_ms != entry.born_ms):
            self._log.write("worker-listed",
                            worker=entry.worker_id,
                            domain=entry.domain,
                            draining=entry.is_draining,
                            born_ms=entry.born_ms,
                            offset=record.offset)
        self._on_entry(entry)

    def apply_loaded(self, keys: set[str]) -> None:
        """Removes workers that a full read does not show."""
        for worker_id in set(self.entries) - keys:
            self._remove(worker_id, "not in a full read")

    def _remove(self, worker_id: str, reason: str) -> None:
        if self.entries.pop(worker_id, None) is not None:
            self._log.write("worker-unlisted", worker=worker_id, reason=reason)
            self._on_gone(worker_id)
