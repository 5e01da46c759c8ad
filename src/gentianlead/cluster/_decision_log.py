"""Structured lines on standard output, one for each decision.

A line is JSON with the time, the daemon, the event and its fields. The rate is
bounded by a token bucket, and a line that cannot be written at once is dropped;
both are counted, and the next line that is written tells how many are missing.
"""

import json
import os
import sys
import traceback
from typing import Any

from gentianlead import ports

LINES_PER_S = 400.0
"""Long-term rate: about four times the starts and ends of a busy group."""

BURST_LINES = 2000
"""Lines that may be written at once, for example after a takeover."""


class DecisionLog:
    """Writes lines without ever blocking.

    Example:
        >>> log = DecisionLog("entry-1", clock, sys.stdout.fileno())
        >>> log.write("job-accepted", job="5c0e7a21d94b36f8", group="north-1")

    Attributes:
        dropped: Lines that were not written so far.
    """

    def __init__(self,
                 node: str,
                 clock: ports.Clock,
                 descriptor: int | None = None):
        self.dropped = 0
        self._node = node
        self._clock = clock
        self._descriptor = (sys.stdout.fileno()
                            if descriptor is None else descriptor)
        self._tokens = float(BURST_LINES)
        self._refilled_at = clock.monotonic()
        self._unreported = 0
        self._rest = b""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line, or counts it as dropped."""
        now = self._clock.monotonic()
        self._tokens = min(
            float(BURST_LINES),
            self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0 or not self._flush():
            self._drop()
            return
        self._tokens -= 1.0
        line: dict[str, Any] = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            "daemon": self._node,
            "event": event
        }
        line.update(fields)
        if self._unreported:
            line["lines_dropped_before"] = self._unreported
        self._rest = (json.dumps(line, default=str) + "\n").encode()
        self._unreported = 0
        self._flush()

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _flush(self) -> bool:
        """Writes what is left of the last line; returns whether all went."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone; nobody is left to tell.
                self._rest = b""
                return False
            self._rest = self._rest[written:]
        return True


def format_error(error: BaseException) -> str:
    """Returns an unexpected error with the place that it comes from."""
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    places = " < ".join(
        f"{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}"
        for frame in reversed(frames))
    return f"{error!r} at {places}"
