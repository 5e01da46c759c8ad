"""Policy that decides when a snapshot of a stream is written."""

import datetime

from gentianlead.streams import _client

MIN_RECORD_BYTES_PER_SNAPSHOT_BYTE = 4
"""The number of records makes the next snapshot due only if the records after
the last snapshot have at least this many times its size in bytes."""

WAIT_PER_TURN = 0.2
"""Fraction by which the limits of the policy grow with each turn."""

MAX_TURN = 5


class SnapshotPolicy:
    """Decides when the next snapshot of a stream is due.

    A snapshot is due after a number of records, unless they are small compared
    with the last snapshot. It is also due when the newest snapshot in the
    stream may be older than a quarter of the log's retention, so that two
    failed attempts do no harm.

    Args:
        max_records: Number of records since the last snapshot from which on
            the next one is due.
        retention: How long the log retains records.

    Attributes:
        max_records: The argument.
        max_snapshot_age: Age of the newest snapshot from which on the next one
            is due.
    """

    def __init__(self, max_records: int, retention: datetime.timedelta):
        self.max_records = max_records
        self.max_snapshot_age = retention / 4
        # By stream: monotonic time in seconds of the first call in which the
        # age of the newest snapshot was unknown.
        self._unknown_ages_since: dict[str, float] = {}

    def is_due(self,
               client: _client.StreamClient,
               now: float,
               turn: int = 0) -> bool:
        """Returns whether a snapshot of the stream is due.

        A stream without new records needs snapshots too. Its last snapshot
        expires like any other record, and a daemon that starts later could not
        restore the state. The age counts from the append of the snapshot and
        not from the start of this daemon, because daemons may be replaced more
        often than snapshots are due. A snapshot whose age is unknown, because
        it was read while the daemon started, may be about to expire; it counts
        as a quarter of the retention old at the first call. No snapshot is due
        while the client is not ready or has read nothing.

        Args:
            client: Client of the stream.
            now: Monotonic time in seconds.
            turn: Number of daemons that write snapshots of the stream before
                this one. With each turn, up to `MAX_TURN`, a snapshot is due
                later, so that this daemon writes one only if they fail.
        """
        replica = client.replica
        if not client.is_ready() or replica.position == 0:
            return False
        wait = 1 + WAIT_PER_TURN * min(turn, MAX_TURN)
        # Snapshots of a large state are written less often, so that they remain
        # a small part of the bytes of the stream.
        if (replica.records_since_snapshot >= self.max_records * wait and
                replica.bytes_since_snapshot
                >= MIN_RECORD_BYTES_PER_SNAPSHOT_BYTE * replica.snapshot_bytes):
            return True
        return self.get_age(client, now) >= self.max_snapshot_age * wait

    def get_age(self, client: _client.StreamClient,
                now: float) -> datetime.timedelta:
        """Returns the greatest age that the newest snapshot can have.

        A snapshot whose age is unknown counts as a quarter of the retention old
        at the first call for its stream.

        Args:
            client: Client of the stream.
            now: Monotonic time in seconds.
        """
        appended_after = client.newest_snapshot_appended_after
        if appended_after is not None:
            return datetime.timedelta(seconds=now - appended_after)
        unknown_since = self._unknown_ages_since.setdefault(client.stream, now)
        return self.max_snapshot_age + datetime.timedelta(seconds=now -
                                                          unknown_since)
