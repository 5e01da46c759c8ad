"""Structured log on standard output, with one line for each decision or event.

A line is a JSON object with the time, the daemon, the event and its fields. A
line is dropped if the token bucket that limits the rate is empty, or if the
pipe has not taken the whole previous line yet. Dropped lines are counted. The
next line that is written states how many were dropped since the previous one.
"""

import json
import os
import sys
import traceback
from typing import Any

from gentianlead import ports

LINES_PER_S = 400.0
"""Limit of the average line rate, in lines per second: about four times the
rate of run starts and run ends in a busy group."""

BURST_LINES = 2000
"""Size of the token bucket: number of lines that may be written in one burst,
for example after a takeover."""


class DecisionLog:
    """Writes log lines at a limited rate and without blocking the daemon.

    Example:
        >>> log = DecisionLog("entry-1", clock, sys.stdout.fileno())
        >>> log.write("job-accepted", job="5c0e7a21d94b36f8", group="north-1")

    Attributes:
        dropped_line_count: Number of lines dropped since this log was created.
    """

    def __init__(self,
                 daemon_name: str,
                 clock: ports.Clock,
                 file_descriptor: int | None = None):
        self.dropped_line_count = 0
        self._daemon_name = daemon_name
        self._clock = clock
        self._file_descriptor = (sys.stdout.fileno() if file_descriptor is None
                                 else file_descriptor)
        self._bucket_tokens = float(BURST_LINES)
        self._bucket_refilled_at = clock.monotonic()
        self._unreported_drop_count = 0
        self._unwritten_bytes = b""
        os.set_blocking(self._file_descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line for an event, or drops and counts the line."""
        now = self._clock.monotonic()
        self._bucket_tokens = min(
            float(BURST_LINES), self._bucket_tokens +
            (now - self._bucket_refilled_at) * LINES_PER_S)
        self._bucket_refilled_at = now
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
        if self._unreported_drop_count:
            line["lines_dropped_before"] = self._unreported_drop_count
        self._unwritten_bytes = (json.dumps(line, default=str) + "\n").encode()
        self._unreported_drop_count = 0
        self._write_remaining()

    def _count_dropped_line(self) -> None:
        self.dropped_line_count += 1
        self._unreported_drop_count += 1

    def _write_remaining(self) -> bool:
        """Writes what the pipe takes of the rest of the last line.

        Returns:
            Whether nothing is left to write. False also if the pipe has no
            reader any more; the rest of the line is then discarded.
        """
        while self._unwritten_bytes:
            try:
                written_count = os.write(self._file_descriptor,
                                         self._unwritten_bytes)
            except BlockingIOError:
                return False
            except OSError:
                # The pipe has no reader any more. Discards the rest of the
                # line.
                self._unwritten_bytes = b""
                return False
            self._unwritten_bytes = self._unwritten_bytes[written_count:]
        return True


def format_error(error: BaseException) -> str:
    """Returns an error as text with its innermost call sites, at most three."""
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    call_sites = " < ".join(
        f"{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}"
        for frame in reversed(frames))
    return f"{error!r} at {call_sites}"
