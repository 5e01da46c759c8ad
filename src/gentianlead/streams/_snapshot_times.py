"""Time of the newest snapshot that a client has read from a stream."""

from typing import Iterable

from gentianlead import model
from gentianlead import state

_MAX_PARTIAL_SNAPSHOTS = 16
"""Greatest number of snapshots of which some parts were read and others may
still follow. One more removes the one whose first part was read first."""


class _PartialSnapshot:
    """A snapshot of which not all parts were read yet.

    Attributes:
        read_indexes: Indexes of the parts that were read.
        appended_after: Lower bound of the time at which the first part was
            appended, in monotonic seconds; None if there is none.
    """

    __slots__ = ("read_indexes", "appended_after")

    def __init__(self, appended_after: float | None):
        self.read_indexes: set[int] = set()
        self.appended_after = appended_after


class SnapshotTimes:
    """Finds how old the newest whole snapshot of a stream can be at most.

    Records contain no time. A record that was read after the head of the stream
    had been reached was appended after the read that reached the head was sent.
    There is no such bound for the records that a daemon reads at its start.

    Attributes:
        newest_appended_after: Lower bound of the time at which the first part
            of the newest whole snapshot was appended, in monotonic seconds.
            None if there is no bound, or if no whole snapshot was read.
    """

    def __init__(self) -> None:
        self.newest_appended_after: float | None = None
        self._partial_snapshots: dict[tuple, _PartialSnapshot] = {}

    def add_records(self, applied: Iterable[state.AppliedRecord],
                    appended_after: float | None) -> None:
        """Adds the records of one read.

        Args:
            applied: Records that the read has added to the state.
            appended_after: Send time of the last earlier read that reached the
                head of the stream, in monotonic seconds; None if none did.
        """
        for record in applied:
            if record.envelope is not None and isinstance(
                    record.envelope.record, model.SnapshotPart):
                self._add_part(record.envelope.record, appended_after)

    def _add_part(self, part: model.SnapshotPart,
                  appended_after: float | None) -> None:
        if not 0 <= part.index < part.count:
            return
        key = (part.snapshot_id, part.through_offset, part.count, part.digest)
        snapshot = self._partial_snapshots.get(key)
        if snapshot is None:
            snapshot = _PartialSnapshot(appended_after)
            self._partial_snapshots[key] = snapshot
            if len(self._partial_snapshots) > _MAX_PARTIAL_SNAPSHOTS:
                del self._partial_snapshots[next(iter(self._partial_snapshots))]
        snapshot.read_indexes.add(part.index)
        if len(snapshot.read_indexes) < part.count:
            return
        del self._partial_snapshots[key]
        if snapshot.appended_after is not None and (
                self.newest_appended_after is None or
                snapshot.appended_after > self.newest_appended_after):
            self.newest_appended_after = snapshot.appended_after
