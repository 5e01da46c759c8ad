"""Journal of what a stand-in really did."""

import collections
import itertools
import time
from typing import Any

# A journal entry is an open mapping: it is JSON from its creation to the
# checks, and each kind of entry has fields of its own.
Entry = dict[str, Any]

DEFAULT_MOST_ENTRIES = 1_000_000


class Journal:
    """Timestamped entries, oldest first.

    `at` is `time.monotonic()` in seconds. All processes of one machine share
    this clock, so that entries of several journals can be compared.

    Attributes:
        source: Name of the process, a field of every entry.
        entries: The newest entries.
    """

    def __init__(self, source: str, most: int = DEFAULT_MOST_ENTRIES):
        self.source = source
        self.entries: collections.deque[Entry] = collections.deque(maxlen=most)
        self._sequence = itertools.count()

    def add(self, kind: str, at: float | None = None, **fields: Any) -> Entry:
        """Adds an entry.

        Args:
            kind: What happened.
            at: Monotonic time in seconds; now by default.
            **fields: Fields of this kind of entry.

        Returns:
            The entry, to which the caller may add fields later.
        """
        entry: Entry = {
            "seq": next(self._sequence),
            "at": time.monotonic() if at is None else at,
            "source": self.source,
            "kind": kind,
            **fields,
        }
        self.entries.append(entry)
        return entry

    def clear(self) -> int:
        """Drops all entries but the descriptions of the workers.

        Returns:
            The number of dropped entries.
        """
        kept = [entry for entry in self.entries if entry["kind"] == "worker"]
        count = len(self.entries) - len(kept)
        self.entries.clear()
        self.entries.extend(kept)
        return count

    def select(self, since: int, kinds: frozenset[str]) -> list[Entry]:
        """Returns the entries from a sequence number on.

        Args:
            since: First sequence number wanted.
            kinds: Kinds wanted; empty for all.
        """
        return [
            entry for entry in self.entries
            if entry["seq"] >= since and (not kinds or entry["kind"] in kinds)
        ]
