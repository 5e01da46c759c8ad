"""When to write a snapshot of a stream."""

import datetime

from gentianlead import state

MIN_GROWTH = 4
"""Bytes of records per byte of the last snapshot before the next is due."""


class SnapshotPolicy:
    """Asks for a snapshot by count of records and by age.

    Args:
        max_records: Records after which a snapshot is due.
        retention: How long the log keeps records; a snapshot is due after a
            quarter of it, so that two failed attempts do no harm.
    """

    def __init__(self, max_records: int, retention: datetime.timedelta):
        self.max_records = max_records
        self._max_age = retention / 4
        self._last_at: dict[str, float] = {}

    def is_due(self, replica: state.StreamReplica, now: float) -> bool:
        """Returns whether a snapshot of the stream is due.

        A stream without new records needs one too: its last snapshot expires
        like any record, and a daemon that starts then could not read the state.
        """
        if not replica.is_complete or replica.position == 0:
            return False
        # A large state is written less often, so that snapshots stay a small
        # part of the stream's traffic.
        if (replica.records_since_snapshot >= self.max_records and
                replica.bytes_since_snapshot
                >= MIN_GROWTH * replica.snapshot_bytes):
            return True
        last = self._last_at.setdefault(replica.stream, now)
        return now - last >= self._max_age.total_seconds()

    def mark_snapshot_written(self, replica: state.StreamReplica, now: float) -> None:
        """Records that a snapshot was written or seen."""
        self._last_at[replica.stream] = now
