"""Store of the traces that the command `explain` shows."""

import collections

from gentianlead.gateway import _messages

MAX_TRACES = 2000


class TraceStore:
    """Keeps the traces of the most recent requests in memory.

    Args:
        max_traces: Maximum number of traces that are kept.
    """

    def __init__(self, max_traces: int = MAX_TRACES):
        self._max_traces = max_traces
        self._traces: collections.OrderedDict[str, _messages.RequestTrace] = (
            collections.OrderedDict())

    def add(self, trace: _messages.RequestTrace) -> None:
        """Adds the trace of a request.

        It replaces a trace with the same request identifier. The oldest trace
        is dropped if there are then more than `max_traces`.
        """
        self._traces[trace.request_id] = trace
        if len(self._traces) > self._max_traces:
            self._traces.popitem(last=False)

    def get(self, request_id: str) -> _messages.RequestTrace | None:
        """Returns the trace of a request, or None if there is none."""
        return self._traces.get(request_id)
