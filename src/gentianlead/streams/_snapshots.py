"""Policy that decides when a snapshot of a stream is written."""

import datetime

from gentianlead import state

MIN_RECORD_BYTES_PER_SNAPSHOT_BYTE = 4
"""The number of records makes the next snapshot due only if the records after
the last snapshot have at least this many times its size in bytes."""


class SnapshotPolicy:
    """Decides when the next snapshot of a stream is due.

    A snapshot is due after a number of records, unless they are small compared
    with the last snapshot. It is also due when a quarter of the log's retention
    has passed since the last one, so that two failed attempts do no harm.

    Args:
        max_records: Number of records since the last snapshot from which on
            the next one is due.
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
        restore the state. No snapshot is due while the replica is incomplete
        or has read nothing. Until `mark_snapshot_written` is called for the
        stream, the quarter of the retention counts from the first call in
        which the number of records did not make a snapshot due.

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
        """Stores `now` as the time of the stream's last snapshot.

        Args:
            replica: Replica of the stream.
            now: Monotonic time in seconds.
        """
        self._last_snapshot_at[replica.stream] = now
