"""Log lines and metrics of loads: full reads of a topic's newest records."""

import datetime

from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

FAILURE_LOG_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between two `topic-load-failed` lines of a topic. A load that
the store refuses is repeated up to twelve times a second."""


class TopicLoadReporter:
    """Reports the attempts to load one topic.

    A daemon that has not loaded the job topic refuses its callers, so each
    reason why a load fails has to appear in its log.
    """

    def __init__(self, topic: str, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._topic = topic
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._failure_count = 0
        self._failure_logged_at: float | None = None

    def report_failure(self, error: ports.StoreError,
                       started_at: float) -> None:
        """Counts a failed attempt that began at a monotonic time in seconds.

        It is logged unless another one was within `FAILURE_LOG_INTERVAL`.
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
                        seconds=round(now - started_at, 3))

    def report_success(self, batch: ports.KeyedBatch,
                       started_at: float) -> None:
        """Counts and logs a load that began at a monotonic time in seconds."""
        self._metrics.topic_loads.inc({"topic": self._topic, "outcome": "ok"})
        self._log.write("topic-loaded",
                        topic=self._topic,
                        keys=len(batch.records),
                        value_bytes=sum(
                            len(record.value) for record in batch.records),
                        seconds=round(self._clock.monotonic() - started_at, 3),
                        failures=self._failure_count,
                        position=batch.end_offset)
        self._failure_count = 0
        self._failure_logged_at = None
