"""Record of what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Notes what was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, event: str, **fields: Any) -> dict[str, Any]:
        """Adds an event and returns it."""
        row = {"at": round(self.now, 3), "event": event, **fields}
        self.rows.append(row)
        return row

    def list(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Returns the events of a kind whose fields have the given values."""
        return [
            row for row in self.rows if row["event"] == event and all(
                row.get(name) == value for name, value in fields.items())
        ]

    def write(self, path: pathlib.Path) -> None:
        """Writes one event a line."""
        path.write_text("".join(json.dumps(row) + "\n" for row in self.rows),
                        encoding="utf-8")
