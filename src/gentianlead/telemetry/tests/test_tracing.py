"""Tests of trace contexts and spans."""

import io
import json
import unittest

from gentianlead import telemetry

_TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
_PARENT_CONTEXT = telemetry.TraceContext(f"00-{_TRACE_ID}-00f067aa0ba902b7-01",
                                         "a=1")


class TraceContextTest(unittest.TestCase):
    """Tests the encoding and decoding of a trace context."""

    def test_context_survives_headers_and_frames(self) -> None:
        """Guards against a context that changes on its way to a peer."""
        self.assertEqual(
            telemetry.TraceContext.from_headers(_PARENT_CONTEXT.to_headers()),
            _PARENT_CONTEXT)
        self.assertEqual(
            telemetry.TraceContext.from_frame_field(
                _PARENT_CONTEXT.to_frame_field()), _PARENT_CONTEXT)

    def test_malformed_contexts_are_empty(self) -> None:
        """Guards against an exception for a malformed trace header."""
        for field in (None, [], ["x"], [1, 2], ["junk", ""],
                      ["00-" + "0" * 32 + "-" + "0" * 16 + "-01",
                       ""], [_PARENT_CONTEXT.traceparent, "a" * 10_000]):
            self.assertEqual(telemetry.TraceContext.from_frame_field(field),
                             telemetry.TraceContext(), field)


class TracingTest(unittest.TestCase):
    """Tests the spans that each exporter records."""

    def test_context_passes_through_without_exporter(self) -> None:
        """Guards against a lost caller's context while tracing is off."""
        tracing = telemetry.Tracing("none", "entry-1")
        with tracing.open_span("request", telemetry.SpanKind.SERVER,
                               _PARENT_CONTEXT) as context:
            self.assertEqual(context, _PARENT_CONTEXT)

    def test_spans_form_one_trace(self) -> None:
        """Guards against an inner span that has another parent or trace."""
        output = io.StringIO()
        tracing = telemetry.Tracing("console", "entry-1", output)
        with tracing.open_span("request", telemetry.SpanKind.SERVER,
                               _PARENT_CONTEXT) as outer_context:
            with tracing.open_span("attempt", telemetry.SpanKind.CLIENT,
                                   outer_context,
                                   {"target": "worker-1"}) as inner_context:
                self.assertIn(_TRACE_ID, inner_context.traceparent)
                self.assertEqual(inner_context.tracestate, "a=1")
        spans = [json.loads(line) for line in output.getvalue().splitlines()]
        self.assertEqual([span["name"] for span in spans],
                         ["attempt", "request"])
        self.assertEqual(spans[0]["parent_id"], spans[1]["context"]["span_id"])
        self.assertEqual(spans[0]["attributes"], {"target": "worker-1"})

    def test_unknown_exporter_is_refused(self) -> None:
        """Guards against a mistyped exporter that disables tracing silently."""
        with self.assertRaisesRegex(ValueError, "none, console"):
            telemetry.Tracing("collector", "entry-1")
