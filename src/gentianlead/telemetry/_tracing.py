"""Trace spans, and trace contexts in HTTP headers and in frames to peers.

A trace context consists of the values of the W3C headers `traceparent` and
`tracestate`. With the exporter `none` no span is recorded, but a trace context
that a caller sent is still passed on to the target.
"""

import contextlib
import enum
import sys
from typing import Any, Iterator, Mapping, NamedTuple, TextIO

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_MAX_VALUE_CHARACTERS = 512


class SpanKind(enum.Enum):
    """Role of the process in the operation that a span describes.

    `SERVER` handles a request, `CLIENT` sends one, `INTERNAL` does neither.
    """

    SERVER = trace.SpanKind.SERVER
    CLIENT = trace.SpanKind.CLIENT
    INTERNAL = trace.SpanKind.INTERNAL


class TraceContext(NamedTuple):
    """Trace context that one process passes to the next.

    Attributes:
        traceparent: Value of the W3C header with the ids of the trace and the
            parent span; empty if there is no trace.
        tracestate: Value of the W3C header with vendor data; may be empty.
    """

    traceparent: str = ""
    tracestate: str = ""

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> "TraceContext":
        """Reads the context from HTTP headers; empty if it is malformed."""
        return cls._parse_header_values(headers.get("traceparent", ""),
                                        headers.get("tracestate", ""))

    @classmethod
    def from_frame_field(cls, field: Any) -> "TraceContext":
        """Reads the context from a field of a frame; empty if it is malformed.

        `to_frame_field` writes the field.
        """
        if (not isinstance(field, (list, tuple)) or len(field) != 2 or
                not all(isinstance(value, str) for value in field)):
            return cls()
        return cls._parse_header_values(*field)

    @classmethod
    def _parse_header_values(cls, traceparent: str,
                             tracestate: str) -> "TraceContext":
        if not traceparent:
            return cls()
        if max(len(traceparent), len(tracestate)) > _MAX_VALUE_CHARACTERS:
            return cls()
        carrier = {"traceparent": traceparent, "tracestate": tracestate}
        span = trace.get_current_span(
            _PROPAGATOR.extract(carrier, otel_context.Context()))
        return cls._from_span(span)

    @classmethod
    def _from_span(cls, span: trace.Span) -> "TraceContext":
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(
            carrier, trace.set_span_in_context(span, otel_context.Context()))
        return cls(carrier.get("traceparent", ""),
                   carrier.get("tracestate", ""))

    def to_headers(self) -> dict[str, str]:
        """Returns the HTTP headers for the context, without empty ones."""
        headers = {
            "traceparent": self.traceparent,
            "tracestate": self.tracestate
        }
        return {name: value for name, value in headers.items() if value}

    def to_frame_field(self) -> list[str]:
        """Returns the context as a list, the form that it has in a frame."""
        return list(self)


class Tracing:
    """Creates trace spans and exports them when they end.

    Example:
        >>> tracing = Tracing("none", "entry-1")
        >>> parent = TraceContext.from_headers({})
        >>> with tracing.open_span("request", SpanKind.SERVER, parent) as child:
        ...     headers = child.to_headers()
    """

    def __init__(self,
                 exporter: str,
                 daemon_name: str,
                 output: TextIO | None = None):
        """Creates the span exporter.

        Args:
            exporter: `none` or `console`.
            daemon_name: Name of the daemon, attached to each span.
            output: Text stream that `console` writes to; standard error by
                default.

        Raises:
            ValueError: The exporter is unknown.
        """
        self._tracer: trace.Tracer | None = None
        if exporter == "none":
            return
        if exporter != "console":
            raise ValueError(f"unknown trace exporter {exporter!r}; "
                             "known: none, console")
        provider = sdk_trace.TracerProvider(resource=resources.Resource({
            "service.name": "gentianleadd",
            "service.instance.id": daemon_name
        }),
                                            shutdown_on_exit=False)
        # `SimpleSpanProcessor` exports without a thread of its own.
        provider.add_span_processor(
            export.SimpleSpanProcessor(
                export.ConsoleSpanExporter(
                    out=output or sys.stderr,
                    formatter=lambda span: span.to_json(indent=None) + "\n")))
        self._tracer = provider.get_tracer("gentianlead")

    @property
    def is_recording(self) -> bool:
        """Whether spans are recorded."""
        return self._tracer is not None

    @contextlib.contextmanager
    def open_span(
        self,
        name: str,
        kind: SpanKind,
        parent: TraceContext,
        attributes: Mapping[str, str | int] | None = None
    ) -> Iterator[TraceContext]:
        """Records a span that lasts as long as the `with` block.

        Args:
            name: Name of the operation.
            kind: Role of this process in the operation.
            parent: Trace context of the caller, or of an enclosing span.
            attributes: Values to attach; must not contain secrets or request
                bodies.

        Yields:
            The trace context to send with requests made in the block; `parent`
            if spans are not recorded.
        """
        if self._tracer is None:
            yield parent
            return
        parent_context = _PROPAGATOR.extract(parent.to_headers(),
                                             otel_context.Context())
        with self._tracer.start_as_current_span(name,
                                                context=parent_context,
                                                kind=kind.value,
                                                attributes=attributes) as span:
            # pylint: disable-next=protected-access
            yield TraceContext._from_span(span)
