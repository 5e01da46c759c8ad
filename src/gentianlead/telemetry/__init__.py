"""Events, metrics and traces of the daemon.

Events report incidents and state changes to operators. Each is written to
standard error as one line of JSON with a stable number, and `docs/events.md`
lists them. Metrics feed alert rules and graphs; `docs/metrics.md` lists them. A
trace follows one request through the daemons and targets that handle it.

Example:
    >>> with open_event_log("entry-1", "info"):
    ...     emit(Event.PATCH_ACCEPTED, patch="p-1", author="ops", version=7)
"""

from gentianlead.telemetry._events import emit
from gentianlead.telemetry._events import Event
from gentianlead.telemetry._events import EventSpec
from gentianlead.telemetry._events import open_event_log
from gentianlead.telemetry._metrics import DaemonMetrics
from gentianlead.telemetry._metrics import METRIC_SPECS
from gentianlead.telemetry._metrics import MetricKind
from gentianlead.telemetry._metrics import MetricSpec
from gentianlead.telemetry._tracing import SpanKind
from gentianlead.telemetry._tracing import TraceContext
from gentianlead.telemetry._tracing import Tracing

__all__ = [
    "DaemonMetrics",
    "emit",
    "Event",
    "EventSpec",
    "METRIC_SPECS",
    "MetricKind",
    "MetricSpec",
    "open_event_log",
    "SpanKind",
    "TraceContext",
    "Tracing",
]
