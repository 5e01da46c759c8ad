"""Metrics of one daemon, in the text format of Prometheus.

All durations are exported in seconds. Streams, services and failure domains are
label values, not parts of metric names. A test compares `docs/metrics.md` with
the table `METRIC_SPECS`.
"""

import datetime
import enum
from typing import NamedTuple

import aioprometheus
from aioprometheus import histogram

LATENCY_BUCKETS_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                           0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
"""Upper bounds of the histogram buckets.

The last bound equals the longest deadline that a request may have.
"""


class MetricKind(enum.Enum):
    """Metric type of Prometheus."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricSpec(NamedTuple):
    """Name, type, labels and help text of a metric.

    Attributes:
        name: Metric name, which ends with the unit if there is one.
        kind: Metric type.
        labels: Names of the labels, in the order of the values that
            `DaemonMetrics` stores.
        help: Help text, which says what the metric measures.
    """

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    help: str


_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE
_HISTOGRAM = MetricKind.HISTOGRAM

METRIC_SPECS: tuple[MetricSpec, ...] = (
    MetricSpec(
        "gentianlead_requests_total", _COUNTER, ("service", "code", "verdict"),
        "Requests that ended; code is OK or an error code, verdict says "
        "whether the request ran."),
    MetricSpec("gentianlead_request_seconds", _HISTOGRAM, ("service",),
               "Time from the first byte of a request to its whole answer."),
    MetricSpec("gentianlead_requests_in_flight", _GAUGE, ("service",),
               "Requests admitted and not yet answered."),
    MetricSpec("gentianlead_attempts_total", _COUNTER, ("service", "outcome"),
               "Attempts at a target, by outcome."),
    MetricSpec("gentianlead_attempt_seconds", _HISTOGRAM, ("service",),
               "Time of one attempt at a target."),
    MetricSpec("gentianlead_retries_total", _COUNTER, ("service", "reason"),
               "Attempts after the first one of a request; hedges included."),
    MetricSpec("gentianlead_sheds_total", _COUNTER, ("service", "reason"),
               "Requests refused by admission as not run."),
    MetricSpec("gentianlead_forwarded_total", _COUNTER, ("service", "domain"),
               "Requests forwarded to a peer in another failure domain."),
    MetricSpec("gentianlead_log_appends_total", _COUNTER, ("stream", "outcome"),
               "Appends to the log, by outcome: ok, unknown or failed."),
    MetricSpec("gentianlead_log_records_total", _COUNTER, ("stream",),
               "Records appended to the log."),
    MetricSpec("gentianlead_log_append_seconds", _HISTOGRAM, ("stream",),
               "Time from sending an append to its reply."),
    MetricSpec("gentianlead_stream_position", _GAUGE, ("stream",),
               "Offset of the next record to read."),
    MetricSpec(
        "gentianlead_stream_age_seconds", _GAUGE, ("stream",),
        "Age of the last proof that the state is current; +Inf before the "
        "first one."),
    MetricSpec("gentianlead_stream_complete", _GAUGE, ("stream",),
               "1 while the state of the stream is complete, else 0."),
    MetricSpec("gentianlead_config_version", _GAUGE, (),
               "Version of the configuration in force."),
    MetricSpec("gentianlead_task_starts_total", _COUNTER, ("kind", "outcome"),
               "Task starts, by kind of job and outcome at the worker."),
    MetricSpec("gentianlead_evictions_total", _COUNTER, ("reason",),
               "Runs evicted, by reason."),
    MetricSpec("gentianlead_releases_total", _COUNTER, ("reason",),
               "Runs released before their end, by reason."),
    MetricSpec(
        "gentianlead_worker_crashes_total", _COUNTER, ("kind",),
        "Workers lost soon after a start of a task, once for each lost run, "
        "by kind: lone-crash or shared-crash."),
    MetricSpec(
        "gentianlead_suspect_starts_total", _COUNTER, (),
        "Tasks started alone because workers crashed soon after their "
        "earlier starts."),
    MetricSpec(
        "gentianlead_jobs_given_up_total", _COUNTER, (),
        "Jobs that failed because workers crashed soon after the starts of a "
        "task."),
    MetricSpec("gentianlead_runs_held", _GAUGE, (),
               "Live runs of which this daemon is the holder."),
    MetricSpec("gentianlead_tasks_waiting", _GAUGE, (),
               "Tasks of this failure domain that could be claimed."),
    MetricSpec("gentianlead_watchers_stopped", _GAUGE, (),
               "Watchers of this failure domain without a live run."),
    MetricSpec("gentianlead_members", _GAUGE, (),
               "Live daemons of this failure domain."),
    MetricSpec("gentianlead_peer_streams", _GAUGE, (), "Open peer streams."),
    MetricSpec("gentianlead_ready", _GAUGE, (),
               "1 while the daemon is ready, else 0."),
)

_COLLECTOR_TYPES = {
    _COUNTER: aioprometheus.Counter,
    _GAUGE: aioprometheus.Gauge,
}
# aioprometheus does not escape label values. A quotation mark in the name of a
# service, for example, would make the whole metrics page impossible to parse.
_LABEL_VALUE_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class DaemonMetrics:
    """Holds the metric values of one daemon and renders them for Prometheus.

    Example:
        >>> metrics = DaemonMetrics()
        >>> metrics.count_shed_request("previews", "queue_full")
        >>> b"gentianlead_sheds_total" in metrics.render()
        True
    """

    CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._collectors = {
            spec.name: self._build_metric_collector(spec)
            for spec in METRIC_SPECS
        }
        self._label_names = {spec.name: spec.labels for spec in METRIC_SPECS}
        # Keys are the metric name followed by the label values. The values are
        # copied to the collectors only in `render`, because aioprometheus
        # serializes the labels on each access: counting one request took 19 us
        # with it and takes 4 us with this dictionary.
        self._values_by_series: dict[tuple[str, ...], float] = {}
        self._histograms_by_series: dict[tuple[str, ...],
                                         histogram.Histogram] = {}

    def _build_metric_collector(self,
                                spec: MetricSpec) -> aioprometheus.Counter:
        if spec.kind is MetricKind.HISTOGRAM:
            return aioprometheus.Histogram(spec.name,
                                           spec.help,
                                           registry=self._registry,
                                           buckets=LATENCY_BUCKETS_SECONDS)
        return _COLLECTOR_TYPES[spec.kind](spec.name,
                                           spec.help,
                                           registry=self._registry)

    def _build_labels(self, name: str, label_values: tuple[str, ...]) -> dict:
        escaped = (
            value.translate(_LABEL_VALUE_ESCAPES) for value in label_values)
        return dict(zip(self._label_names[name], escaped, strict=True))

    def _increment(self, *series_key: str, count: int = 1) -> None:
        self._values_by_series[series_key] = (
            self._values_by_series.get(series_key, 0) + count)

    def _set_gauge(self, value: float, *series_key: str) -> None:
        self._values_by_series[series_key] = value

    def _observe_duration(self, duration: datetime.timedelta, *series_key:
                          str) -> None:
        series = self._histograms_by_series.get(series_key)
        if series is None:
            name, *label_values = series_key
            series = histogram.Histogram(*LATENCY_BUCKETS_SECONDS)
            self._collectors[name].set_value(
                self._build_labels(name, tuple(label_values)), series)
            self._histograms_by_series[series_key] = series
        series.observe(duration.total_seconds())

    def count_request(self, service: str, code: str, verdict: str,
                      elapsed: datetime.timedelta) -> None:
        """Counts a request that ended.

        Args:
            service: Name of a configured service; empty for any other name,
                because each name that callers make up would add a time series
                that is never removed.
            code: `OK` or an error code.
            verdict: Whether the request ran, as a value of `errors.Verdict`.
            elapsed: Time from the first byte of the request to the last byte
                of the response.
        """
        self._increment("gentianlead_requests_total", service, code, verdict)
        self._observe_duration(elapsed, "gentianlead_request_seconds", service)

    def set_requests_in_flight(self, service: str, n_requests: int) -> None:
        """Sets the number of requests admitted and not yet responded to."""
        self._set_gauge(n_requests, "gentianlead_requests_in_flight", service)

    def count_attempt(self, service: str, outcome: str,
                      elapsed: datetime.timedelta) -> None:
        """Counts an attempt to send a request to a target and its duration."""
        self._increment("gentianlead_attempts_total", service, outcome)
        self._observe_duration(elapsed, "gentianlead_attempt_seconds", service)

    def count_retry(self, service: str, reason: str) -> None:
        """Counts an attempt after the first one of a request, or a hedge."""
        self._increment("gentianlead_retries_total", service, reason)

    def count_shed_request(self, service: str, reason: str) -> None:
        """Counts a request that admission control refused."""
        self._increment("gentianlead_sheds_total", service, reason)

    def count_forwarded_request(self, service: str, domain: str) -> None:
        """Counts a request forwarded to another failure domain."""
        self._increment("gentianlead_forwarded_total", service, domain)

    def count_log_append(self, stream: str, outcome: str, n_records: int,
                         elapsed: datetime.timedelta) -> None:
        """Counts an append to the log.

        Args:
            stream: Name of the stream.
            outcome: `ok`, `unknown` or `failed`.
            n_records: Number of records in the append.
            elapsed: Time from sending the append to its reply.
        """
        self._increment("gentianlead_log_appends_total", stream, outcome)
        self._increment("gentianlead_log_records_total",
                        stream,
                        count=n_records)
        self._observe_duration(elapsed, "gentianlead_log_append_seconds",
                               stream)

    def set_stream(self, stream: str, position: int, age: datetime.timedelta,
                   is_complete: bool) -> None:
        """Sets how far and how recently a stream was read.

        Args:
            stream: Name of the stream.
            position: Offset of the next record to read.
            age: Time since the state was last known to be current;
                `timedelta.max` if it never was, which is exported as +Inf.
            is_complete: Whether the state of the stream is complete.
        """
        seconds = (float("inf")
                   if age == datetime.timedelta.max else age.total_seconds())
        self._set_gauge(position, "gentianlead_stream_position", stream)
        self._set_gauge(seconds, "gentianlead_stream_age_seconds", stream)
        self._set_gauge(int(is_complete), "gentianlead_stream_complete", stream)

    def set_config_version(self, version: int) -> None:
        """Sets the version of the configuration in force."""
        self._set_gauge(version, "gentianlead_config_version")

    def count_task_start(self, kind: str, outcome: str) -> None:
        """Counts a request to a worker to start a task.

        Args:
            kind: Kind of the job.
            outcome: `ok`, `refused` or `unknown`.
        """
        self._increment("gentianlead_task_starts_total", kind, outcome)

    def count_evicted_run(self, reason: str) -> None:
        """Counts a run that was evicted from its worker."""
        self._increment("gentianlead_evictions_total", reason)

    def count_released_run(self, reason: str) -> None:
        """Counts a run that was released before its end."""
        self._increment("gentianlead_releases_total", reason)

    def count_worker_crash(self, kind: str) -> None:
        """Counts a run that was lost with its worker soon after its start.

        Args:
            kind: Value of the `ReleaseReason`.
        """
        self._increment("gentianlead_worker_crashes_total", kind)

    def count_suspect_start(self) -> None:
        """Counts a task that starts alone because workers crashed under it."""
        self._increment("gentianlead_suspect_starts_total")

    def count_job_given_up(self) -> None:
        """Counts a job that failed because workers crashed under a task."""
        self._increment("gentianlead_jobs_given_up_total")

    def set_tasks(self, n_held_runs: int, n_waiting_tasks: int,
                  n_stopped_watchers: int) -> None:
        """Sets the numbers of runs, waiting tasks and stopped watchers.

        Args:
            n_held_runs: Live runs of which this daemon is the holder.
            n_waiting_tasks: Tasks of the failure domain that could be claimed.
            n_stopped_watchers: Watchers of the failure domain without a live
                run.
        """
        self._set_gauge(n_held_runs, "gentianlead_runs_held")
        self._set_gauge(n_waiting_tasks, "gentianlead_tasks_waiting")
        self._set_gauge(n_stopped_watchers, "gentianlead_watchers_stopped")

    def set_member_count(self, n_members: int) -> None:
        """Sets the number of live daemons of the failure domain."""
        self._set_gauge(n_members, "gentianlead_members")

    def set_peer_stream_count(self, n_streams: int) -> None:
        """Sets the number of open streams to peers."""
        self._set_gauge(n_streams, "gentianlead_peer_streams")

    def set_ready(self, is_ready: bool) -> None:
        """Sets whether the daemon is ready."""
        self._set_gauge(int(is_ready), "gentianlead_ready")

    def render(self) -> bytes:
        """Returns all metrics as a response body of type `CONTENT_TYPE`."""
        for (name, *label_values), value in self._values_by_series.items():
            self._collectors[name].set(
                self._build_labels(name, tuple(label_values)), value)
        return aioprometheus.render(self._registry, [])[0]
