"""Metrics and log lines that show what processor time is spent on."""

import datetime
import time
from typing import Callable, NamedTuple

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peering

LOG_INTERVAL = datetime.timedelta(seconds=10)
"""Time between two `daemon-load` lines."""


class LoadTotals(NamedTuple):
    """Totals since the start of the daemon, by field name of the log line.

    Attributes:
        loop_delay_s: Sum of the delays of the event loop in seconds.
        processor_s: Processor time of the process in seconds, its start
            included.
        liveness_checks: Number of timed checks of peer streams.
        rankings: Number of times that members were ranked for a group.
        sent: Number of peer messages sent, by kind.
        received: Number of peer messages received, by kind.
        sent_bytes: Number of bytes sent to peers.
        received_bytes: Number of bytes received from peers.
        records_read: Number of records read, by topic.
        records_decoded: Number of records decoded, by topic.
    """

    loop_delay_s: float
    processor_s: float
    liveness_checks: int
    rankings: int
    sent: dict[str, int]
    received: dict[str, int]
    sent_bytes: int
    received_bytes: int
    records_read: dict[str, int]
    records_decoded: dict[str, int]


class DaemonLoadLog:
    """Collects the totals of a daemon for its metrics and its log.

    Example:
        >>> load_log = DaemonLoadLog(peering, topic_reader, loop_delay,
        ...                          clock, log, metrics)
        >>> await load_log.run()
    """

    def __init__(self,
                 peering: _peering.Peering,
                 topic_reader: _job_topic.JobTopicReader,
                 loop_delay: ports.MeasuredLoopDelay,
                 clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 read_processor_time: Callable[[], float] = time.process_time):
        self._peering = peering
        self._topic_reader = topic_reader
        self._loop_delay = loop_delay
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._read_processor_time = read_processor_time
        self._logged_totals: LoadTotals | None = None
        self._logged_at = clock.monotonic()

    async def run(self) -> None:
        """Writes a line each `LOG_INTERVAL` until the task is cancelled."""
        while True:
            await self._clock.sleep(LOG_INTERVAL)
            self.write_line()

    def collect(self) -> LoadTotals:
        """Returns the present totals."""
        traffic = self._peering.traffic
        work = self._metrics.work
        job_table = self._topic_reader.job_table
        return LoadTotals(
            self._loop_delay.read_total_s(), self._read_processor_time(),
            traffic.liveness_checks, dispatch.count_rankings(),
            dict(traffic.sent), dict(traffic.received), traffic.sent_bytes,
            traffic.received_bytes, dict(work.records_read), {
                **work.records_decoded, dispatch.JOB_TOPIC:
                    job_table.decoded_record_count
            })

    def write_line(self) -> None:
        """Writes what was added to the totals since the last line.

        The first line has the totals since the start of the process.
        """
        totals = self.collect()
        now = self._clock.monotonic()
        known = self._logged_totals or LoadTotals(0.0, 0.0, 0, 0, {}, {}, 0, 0,
                                                  {}, {})
        dialed, accepted = self._peering.count_open_links()
        self._log.write("daemon-load",
                        seconds=round(now - self._logged_at, 3),
                        loop_delay_max_ms=round(
                            self._loop_delay.take_max_s() * 1000, 1),
                        streams_dialed=dialed,
                        streams_accepted=accepted,
                        **{
                            name: _subtract(total, getattr(known, name))
                            for name, total in totals._asdict().items()
                        })
        self._logged_totals = totals
        self._logged_at = now

    def render_metrics(self) -> bytes:
        """Renders all metrics of the daemon, with the present totals."""
        totals = self.collect()
        metrics = self._metrics
        metrics.log_lines_dropped.set({}, self._log.dropped_line_count)
        metrics.early_cancellations.set(
            {}, self._topic_reader.job_table.count_early_cancellations())
        metrics.loop_delay_seconds.set({}, totals.loop_delay_s)
        metrics.processor_seconds.set({}, totals.processor_s)
        metrics.liveness_checks.set({}, totals.liveness_checks)
        metrics.rankings.set({}, totals.rankings)
        for direction, counts in (("sent", totals.sent), ("received",
                                                          totals.received)):
            for kind, count in counts.items():
                metrics.peer_messages.set({
                    "direction": direction,
                    "kind": kind
                }, count)
        metrics.peer_bytes.set({"direction": "sent"}, totals.sent_bytes)
        metrics.peer_bytes.set({"direction": "received"}, totals.received_bytes)
        for counter, counts in ((metrics.records_read, totals.records_read),
                                (metrics.records_decoded,
                                 totals.records_decoded)):
            for topic, count in counts.items():
                counter.set({"topic": topic}, count)
        dialed, accepted = self._peering.count_open_links()
        metrics.peer_streams.set({"side": "dialed"}, dialed)
        metrics.peer_streams.set({"side": "accepted"}, accepted)
        return metrics.render()


def _subtract(total, known):
    if isinstance(total, dict):
        return {key: count - known.get(key, 0) for key, count in total.items()}
    return round(total - known, 3)
