"""Counters and latency histograms of a daemon."""

import aioprometheus

LATENCY_BUCKETS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]
"""Upper bounds in seconds: from a calm append to the longest deadline."""


class ClusterMetrics:
    """Metrics, with names that start with `gentianlead_`.

    Attributes:
        requests: Requests of callers by operation and outcome.
        request_seconds: Duration of callers' requests by operation.
        starts: Start orders by outcome.
        start_seconds: Duration of start orders.
        ends: Ends of runs by cause.
        store_calls: Calls to the store by operation and outcome.
        store_seconds: Duration of calls to the store by operation.
        looks: Looks at workers by outcome.
        lead_changes: Groups that this daemon began or ceased to lead.
        lines_dropped: Log lines that were not written.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._add_counter("requests_total",
                                          "Requests of callers")
        self.request_seconds = self._add_histogram(
            "request_seconds", "Duration of callers' requests")
        self.starts = self._add_counter("start_orders_total", "Start orders")
        self.start_seconds = self._add_histogram("start_order_seconds",
                                                 "Duration of start orders")
        self.ends = self._add_counter("run_ends_total", "Ends of runs")
        self.store_calls = self._add_counter("store_calls_total",
                                             "Calls to the store")
        self.store_seconds = self._add_histogram(
            "store_call_seconds", "Duration of calls to the store")
        self.looks = self._add_counter("worker_looks_total", "Looks at workers")
        self.lead_changes = self._add_counter("lead_changes_total",
                                              "Changes of the lead of a group")
        self.lines_dropped = aioprometheus.Gauge(
            "gentianlead_log_lines_dropped",
            "Log lines that were not written",
            registry=self.registry)

    def _add_counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(f"gentianlead_{name}",
                                     text,
                                     registry=self.registry)

    def _add_histogram(self, name: str, text: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(f"gentianlead_{name}",
                                       text,
                                       registry=self.registry,
                                       buckets=LATENCY_BUCKETS)

    def render(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        content, _ = aioprometheus.render(self.registry, [])
        return content
