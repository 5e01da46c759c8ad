"""Policy that decides when a snapshot of a stream is written."""

import datetime

from gentianlead import state

MIN_RECORD_BYTES_PER_SNAPSHOT_BYTE = 4
"""The records after a snapshot must be this many times as large as the snapshot
before their number can make the next snapshot due."""


class SnapshotPolicy:
    """Decides when the next snapshot of a stream is due.

    A snapshot is due after a number of records or after a quarter of the log's
    retention, so that two failed attempts do no harm.

    Args:
        max_records: Number of records after which a snapshot is due.
        retention: How long the log retains records.
    """

    def __init__(self, max_records: int, retention: datetime.timedelta):
        self.max_records = max_records
        self._max_snapshot_age = retention / 4
        self._last_snapshot_at: dict[str, float] = {}

    def is_due(self, replica: state.StreamReplica, now: float) -> bool:
        """Returns whether a snapshot of the stream is due.

        A stream without new records needs snapshots too. Its last snapshot
        expires like any other record, and a daemon that starts later could not
        restore the state.

        Args:
            replica: Replica of the stream.
            now: Monotonic time in seconds.
        """
        if not replica.is_complete or replica.position == 0:
            return False
        # Snapshots of a large state are written less often, so that they remain
        # a small part of the bytes of the stream.
        if (replica.records_since_snapshot >= self.max_records and
                replica.bytes_since_snapshot
                >= MIN_RECORD_BYTES_PER_SNAPSHOT_BYTE * replica.snapshot_bytes):
            return True
        last_snapshot_at = self._last_snapshot_at.setdefault(
            replica.stream, now)
        return now - last_snapshot_at >= self._max_snapshot_age.total_seconds()

    def mark_snapshot_written(self, replica: state.StreamReplica,
                              now: float) -> None:
        """Stores the time at which a snapshot of the stream was written.

        Args:
            replica: Replica of the stream.
            now: Monotonic time in seconds.
        """
        self._last_snapshot_at[replica.stream] = now
