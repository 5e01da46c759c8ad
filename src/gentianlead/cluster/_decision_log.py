"""Structured log on standard output, with one line for each decision.

A line is a JSON object with the time, the daemon, the event and its fields. A
line is dropped if it exceeds the rate of a token bucket or while the previous
line is not fully written. Dropped lines are counted, and the next line states
how many were dropped before it.
"""

import json
import os
import sys
import traceback
from typing import Any

from gentianlead import ports

LINES_PER_S = 400.0
"""Long-term limit of the line rate: about four times the run starts and ends of
a busy group."""

BURST_LINES = 2000
"""Size of the token bucket: number of lines that may be written in one burst,
for example after a takeover."""


class DecisionLog:
    """Writes log lines without blocking the daemon.

    Example:
        >>> log = DecisionLog("entry-1", clock, sys.stdout.fileno())
        >>> log.write("job-accepted", job="5c0e7a21d94b36f8", group="north-1")

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(self,
                 daemon_name: str,
                 clock: ports.Clock,
                 descriptor: int | None = None):
        self.dropped = 0
        self._daemon_name = daemon_name
        self._clock = clock
        self._descriptor = (sys.stdout.fileno()
                            if descriptor is None else descriptor)
        self._bucket_tokens = float(BURST_LINES)
        self._refilled_at = clock.monotonic()
        self._unreported_drops = 0
        self._unwritten = b""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line, or drops and counts it."""
        now = self._clock.monotonic()
        self._bucket_tokens = min(
            float(BURST_LINES),
            self._bucket_tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._bucket_tokens < 1.0 or not self._write_remaining():
            self._count_dropped_line()
            return
        self._bucket_tokens -= 1.0
        line: dict[str, Any] = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            "daemon": self._daemon_name,
            "event": event
        }
        line.update(fields)
        if self._unreported_drops:
            line["lines_dropped_before"] = self._unreported_drops
        self._unwritten = (json.dumps(line, default=str) + "\n").encode()
        self._unreported_drops = 0
        self._write_remaining()

    def _count_dropped_line(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1

    def _write_remaining(self) -> bool:
        """Writes the rest of the last line; returns whether none is left."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The pipe has no reader any more.
                self._unwritten = b""
                return False
            self._unwritten = self._unwritten[written:]
        return True


def format_error(error: BaseException) -> str:
    """Returns an error with its innermost three call sites, for the log."""
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    call_sites = " < ".join(
        f"{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}"
        for frame in reversed(frames))
    return f"{error!r} at {call_sites}"
