"""Traces of the most recent requests, for operators."""

import collections

from gentianlead.gateway import _messages

MAX_TRACES = 2000


class TraceStore:
    """Keeps the traces of the most recent requests, up to a limit.

    Args:
        max_traces: Number of traces above which the oldest one is dropped.
    """

    def __init__(self, max_traces: int = MAX_TRACES):
        self._max_traces = max_traces
        self._traces: collections.OrderedDict[str, _messages.RequestTrace] = (
            collections.OrderedDict())

    def add(self, trace: _messages.RequestTrace) -> None:
        """Adds the trace of a request; drops the oldest one if full."""
        self._traces[trace.request_id] = trace
        if len(self._traces) > self._max_traces:
            self._traces.popitem(last=False)

    def get(self, request_id: str) -> _messages.RequestTrace | None:
        """Returns the trace of a request, or None if it is not kept."""
        return self._traces.get(request_id)
