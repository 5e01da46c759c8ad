"""A store, a clock and a log for tests of the daemon's parts."""

import asyncio
import datetime
import os
from typing import Sequence

from gentianlead import adapters
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log


class FakeStore(ports.KeyedStore):
    """A store in memory that fails as a test says.

    Attributes:
        records: All records of the topics, by topic.
        failures: What happens to the next appends: `refuse` (not stored),
            `lose` (stored, no reply), `drop` (not stored, no reply).
        is_down: Whether all calls are refused.
        first: First offset that is retained, by topic.
        appends: Number of append calls.
    """

    def __init__(self) -> None:
        self.records: dict[str, list[ports.KeyedRecord]] = {}
        self.failures: list[str] = []
        self.is_down = False
        self.first: dict[str, int] = {}
        self.appends = 0
        self._sequences: dict[str, tuple[int, int, int]] = {}
        self._grown = asyncio.Event()

    def write(self, topic: str, *records: ports.KeyedRecord) -> int:
        """Stores records as another writer does."""
        rows = self.records.setdefault(topic, [])
        start = len(rows)
        for record in records:
            rows.append(record._replace(offset=len(rows)))
        self._grown.set()
        self._grown = asyncio.Event()
        return start

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        self.appends += 1
        await asyncio.sleep(0)
        failure = self.failures.pop(0) if self.failures else ""
        if self.is_down or failure == "refuse":
            raise ports.StoreError("refused", errors.Verdict.DID_NOT_RUN)
        if failure == "drop":
            raise ports.StoreError("no reply", errors.Verdict.MAY_HAVE_RUN)
        epoch, last, offset = self._sequences.get(producer.name, (0, 0, 0))
        if producer.epoch < epoch:
            raise ports.ProducerFencedError("fenced", errors.Verdict.DID_NOT_RUN)
        if producer.epoch == epoch and sequence == last:
            return offset
        if producer.epoch == epoch and sequence != last + 1:
            raise ports.SequenceError("sequence", last + 1)
        offset = self.write(topic, *records)
        self._sequences[producer.name] = (producer.epoch, sequence, offset)
        if failure == "lose":
            raise ports.StoreError("no reply", errors.Verdict.MAY_HAVE_RUN)
        return offset

    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> ports.KeyedBatch | None:
        await asyncio.sleep(0)
        self._check_up()
        if start < self.first.get(topic, 0):
            return None
        rows = self.records.get(topic, [])
        if len(rows) <= start:
            try:
                async with asyncio.timeout(min(0.02, wait.total_seconds())):
                    await self._grown.wait()
            except TimeoutError:
                pass
            self._check_up()
        rows = self.records.get(topic, [])
        return ports.KeyedBatch(len(rows), tuple(rows[start:]))

    async def read_newest(self, topic: str) -> ports.KeyedBatch:
        await asyncio.sleep(0)
        self._check_up()
        rows = self.records.get(topic, [])
        newest = {row.key: row for row in rows}
        return ports.KeyedBatch(len(rows), tuple(newest.values()))

    def _check_up(self) -> None:
        if self.is_down:
            raise ports.StoreError("refused", errors.Verdict.DID_NOT_RUN)


def build_log() -> _decision_log.DecisionLog:
    """Returns a log whose lines go nowhere."""
    return _decision_log.DecisionLog("entry-1", adapters.SystemClock(),
                                     os.open(os.devnull, os.O_WRONLY))
