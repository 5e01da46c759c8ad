"""Counts and logs the records of a topic that cannot be read."""

import datetime
from typing import Iterable

from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

CHANGED_PROBLEM_LOG_INTERVAL = datetime.timedelta(minutes=1)
"""Shortest time between two lines of a key that stays unreadable. The message
may change with each record, as it shows the odd value."""


class UnreadableRecords:
    """Counts all unreadable records of a topic; logs the first of each key.

    Workers write their entries again and again, so a key that stays unreadable
    is logged again only for another problem, and at most once in
    `CHANGED_PROBLEM_LOG_INTERVAL`.

    Example:
        >>> unreadable_records = UnreadableRecords("jobs", clock, log, metrics)
        >>> unreadable_records.report(record, error)
    """

    def __init__(self, topic: str, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._topic = topic
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Last logged problem and monotonic time of its line, by key.
        self._logged_problems: dict[str, tuple[str, float]] = {}

    def report(self, record: ports.KeyedRecord, error: Exception) -> None:
        """Counts a record that has no effect, and may log it.

        Args:
            record: The record.
            error: Error of its decoder, or an unexpected error of its handler.
        """
        is_expected = isinstance(error, errors.ProtocolError)
        event = "record-unreadable" if is_expected else "internal-error"
        problem = (str(error)
                   if is_expected else _decision_log.format_error(error))
        self._metrics.unreadable_records.inc({"topic": self._topic})
        now = self._clock.monotonic()
        logged = self._logged_problems.get(record.key)
        if logged is not None and (
                logged[0] == problem or
                now - logged[1] < CHANGED_PROBLEM_LOG_INTERVAL.total_seconds()):
            return
        self._logged_problems[record.key] = (problem, now)
        self._log.write(event,
                        topic=self._topic,
                        key=record.key,
                        offset=record.offset,
                        problem=problem)

    def mark_readable(self, key: str) -> None:
        """Forgets a key whose newest record is readable or removes it."""
        self._logged_problems.pop(key, None)

    def forget_missing(self, listed_keys: Iterable[str]) -> None:
        """Forgets the keys that a full read of the topic does not list."""
        if self._logged_problems:
            for key in set(self._logged_problems).difference(listed_keys):
                del self._logged_problems[key]
