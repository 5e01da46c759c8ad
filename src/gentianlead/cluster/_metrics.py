"""Metrics of a daemon: counters, duration histograms and a gauge."""

import collections
from typing import Sequence

import aioprometheus

LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the histogram buckets in seconds. The lowest bound suits the
duration of an append to an idle store, the highest the longest deadline of a
caller."""

TAKEOVER_WAIT_BUCKETS = (0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 6.0, 8.0, 10.0, 12.0)
"""Upper bounds of the histogram buckets in seconds. Long-running tasks should
run again within 6 s; the longest wait is a start permission and a lease."""


class WorkCounts:
    """Plain counts of frequent operations, which are rendered as metrics.

    Attributes:
        records_read: Number of records read from the store, by topic. A full
            read counts the newest record of each key.
        records_decoded: Number of those that were decoded, by topic.
    """

    def __init__(self) -> None:
        self.records_read: dict[str, int] = collections.defaultdict(int)
        self.records_decoded: dict[str, int] = collections.defaultdict(int)

    def count_read(self, topic: str, record_count: int) -> None:
        """Adds to the number of records read from a topic."""
        self.records_read[topic] += record_count


class ClusterMetrics:
    """Registers and renders the metrics of a daemon for Prometheus.

    The names of all metrics start with `gentianlead_`.

    Attributes:
        work: Counts of frequent operations. They and the counts of peer streams
            become metrics when the metrics are rendered.
        caller_requests: Number of callers' requests, by operation and HTTP
            status.
        request_seconds: Duration of callers' requests in seconds, by operation.
        start_orders: Number of start orders sent to workers, by outcome.
        start_order_seconds: Time in seconds from sending a start order to its
            reply.
        order_retries: Number of stop orders and throttle orders that were sent
            again after a failure, by order (`stop` or `throttle`).
        run_ends: Number of runs that ended, by cause.
        late_ends: Number of ends of done runs that the leader of a group did
            not track, by outcome: `acknowledged`, or `withheld` as the task may
            have started again since.
        crash_events: Number of decisions on tasks that may crash their workers,
            by event: a crash was counted against a task, a probation began or
            ended, or a task was given up.
        store_calls: Number of calls to the store, by operation and outcome.
            Appends that claim a leadership are not counted.
        topic_loads: Number of attempts to read the newest record of every key
            of a topic, by topic and outcome (`ok` or `failed`).
        unreadable_records: Number of records without effect because they could
            not be decoded or applied, by topic. A record that is read again
            counts again.
        store_call_seconds: Duration of calls to the store in seconds, by
            operation. Only the appends counted in `store_calls` are measured.
        append_repetitions: Number of failed append calls that were repeated, by
            verdict on whether the call may have been carried out.
        rejected_appends: Number of append requests that the store rejected for
            good, such as those with a record that is too large.
        leader_reports: Number of reports to peers by outcome: `ok` or `failed`
            for those that were sent, `merged` for those that were combined with
            a later one because the peer had not replied yet.
        status_requests: Number of status requests to workers, by outcome (`ok`,
            `failed`, or `late` for one without a reply that is repeated, as the
            event loop was late). A request that a worker refuses for a stale
            fencing token, or whose worker was replaced, is not counted.
        leadership_changes: Number of times that this daemon took or lost the
            leadership of a group, by change (`taken`, `lost`, or `handed-back`
            to a member of the group's own domain). Resignations at the stop of
            the daemon are not counted.
        takeover_wait_seconds: Time in seconds from a takeover until the new
            leader knew all runs of former leaders, or could exclude them.
        longest_wait_seconds: Longest time for which a due task has waited for
            its start in a group that this daemon leads, by group and by whether
            the task is long-running (`long-running` or `other`).
        state_differences: Number of differences that lasted for longer than
            their limit between what a leader holds and what the topic and the
            workers show, by kind. A difference counts once.
        longest_difference_seconds: Age in seconds of the oldest such difference
            that is present, by group and kind.
        unled_tasks: Number of long-running tasks in a group without a live
            leader, by group, as far as this daemon has read the topic.
        early_cancellations: Number of stored cancellations that hold for later
            acceptances of their jobs, as far as this daemon has read the topic.
        loop_delay_seconds: Sum of the delays of the event loop in seconds, by
            which a periodic timer fired late.
        processor_seconds: Processor time of the process in seconds, its start
            included.
        peer_messages: Number of messages on peer streams, by direction (`sent`
            or `received`) and kind (`heartbeat`, `report`, `call`, `reply` or
            `other`).
        peer_bytes: Number of bytes on peer streams, by direction (`sent` or
            `received`).
        peer_streams: Number of open peer streams, by side (`dialed` or
            `accepted`).
        liveness_checks: Number of timed checks of peer streams.
        records_read: Number of records read from the store, by topic.
        records_decoded: Number of records decoded, by topic.
        rankings: Number of times that members were ranked for a group.
        log_lines_dropped: Number of log lines dropped since the start because
            of the rate limit or a full pipe.
    """

    def __init__(self) -> None:
        self.work = WorkCounts()
        self.registry = aioprometheus.Registry()
        self.caller_requests = self._add_counter("requests_total",
                                                 "Requests of callers")
        self.request_seconds = self._add_histogram(
            "request_seconds", "Duration of callers' requests")
        self.start_orders = self._add_counter("start_orders_total",
                                              "Start orders")
        self.start_order_seconds = self._add_histogram(
            "start_order_seconds", "Duration of start orders")
        self.order_retries = self._add_counter(
            "order_retries_total", "Orders sent again after a failure")
        self.run_ends = self._add_counter("run_ends_total", "Ends of runs")
        self.late_ends = self._add_counter(
            "late_ends_total", "Ends of runs that the leader did not track")
        self.crash_events = self._add_counter(
            "crash_events_total", "Decisions on tasks that crash workers")
        self.store_calls = self._add_counter("store_calls_total",
                                             "Calls to the store")
        self.topic_loads = self._add_counter(
            "topic_loads_total", "Attempts to load all keys of a topic")
        self.unreadable_records = self._add_counter(
            "unreadable_records_total", "Records that could not be read")
        self.store_call_seconds = self._add_histogram(
            "store_call_seconds", "Duration of calls to the store")
        self.append_repetitions = self._add_counter(
            "append_repetitions_total", "Repeated appends to the store")
        self.rejected_appends = self._add_counter(
            "rejected_appends_total", "Appends that the store rejected")
        self.leader_reports = self._add_counter("leader_reports_total",
                                                "Reports of leaders to peers")
        self.status_requests = self._add_counter("worker_looks_total",
                                                 "Looks at workers")
        self.leadership_changes = self._add_counter(
            "lead_changes_total", "Changes of the lead of a group")
        self.takeover_wait_seconds = self._add_histogram(
            "takeover_wait_seconds",
            "Wait of a new leader for the runs of former leaders",
            TAKEOVER_WAIT_BUCKETS)
        self.longest_wait_seconds = aioprometheus.Gauge(
            "gentianlead_longest_wait_seconds",
            "Longest wait of a due task for its start",
            registry=self.registry)
        self.state_differences = self._add_counter(
            "state_differences_total",
            "Lasting differences between leader, topic and workers")
        self.longest_difference_seconds = aioprometheus.Gauge(
            "gentianlead_longest_difference_seconds",
            "Age of the oldest difference between leader, topic and workers",
            registry=self.registry)
        self.unled_tasks = aioprometheus.Gauge(
            "gentianlead_unled_long_running_tasks",
            "Long-running tasks in groups without a live leader",
            registry=self.registry)
        self.early_cancellations = aioprometheus.Gauge(
            "gentianlead_early_cancellations",
            "Stored cancellations that hold for jobs accepted later",
            registry=self.registry)
        self.loop_delay_seconds = self._add_counter("loop_delay_seconds_total",
                                                    "Delays of the event loop")
        self.processor_seconds = self._add_counter(
            "processor_seconds_total", "Processor time of the process")
        self.peer_messages = self._add_counter("peer_messages_total",
                                               "Messages on peer streams")
        self.peer_bytes = self._add_counter("peer_bytes_total",
                                            "Bytes on peer streams")
        self.peer_streams = aioprometheus.Gauge("gentianlead_peer_streams",
                                                "Open peer streams",
                                                registry=self.registry)
        self.liveness_checks = self._add_counter(
            "peer_liveness_checks_total", "Timed checks of peer streams")
        self.records_read = self._add_counter("topic_records_read_total",
                                              "Records read from the store")
        self.records_decoded = self._add_counter("topic_records_decoded_total",
                                                 "Records decoded")
        self.rankings = self._add_counter(
            "election_rankings_total", "Rankings of all members for a group")
        self.log_lines_dropped = aioprometheus.Gauge(
            "gentianlead_log_lines_dropped",
            "Log lines that were not written",
            registry=self.registry)

    def _add_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(f"gentianlead_{name}",
                                     help_text,
                                     registry=self.registry)

    def _add_histogram(
            self,
            name: str,
            help_text: str,
            buckets: Sequence[float] = LATENCY_BUCKETS
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(f"gentianlead_{name}",
                                       help_text,
                                       registry=self.registry,
                                       buckets=list(buckets))

    def render(self) -> bytes:
        """Returns the values of all metrics in the Prometheus text format."""
        content, _ = aioprometheus.render(self.registry, [])
        return content
