"""A stream's state in one daemon, fed with what the log returns.

The replica drops second copies of a record, skips records that it cannot read
and rebuilds the state from a snapshot when the start of the stream has expired.
Until then it is incomplete and nobody may rely on it.
"""

import collections
from typing import Iterable, NamedTuple

import msgspec

from gentianlead import errors
from gentianlead import model
from gentianlead.state import _fold
from gentianlead.state import _snapshot

MAX_WRITERS = 4096
"""Writers whose last sequence number is kept, by most recent record."""


class AppliedRecord(NamedTuple):
    """A record that was read, with its verdict.

    Attributes:
        offset: Its offset.
        envelope: The record and its writer, or None when it is unreadable.
        verdict: What the fold said.
    """

    offset: int
    envelope: model.Envelope | None
    verdict: _fold.FoldVerdict


class StreamReplica:
    """Feeds a fold with the records of its stream.

    Attributes:
        stream: Name of the stream.
        fold: The state; use it only while `is_complete`.
        position: Offset of the next record to read.
        is_complete: Whether the state holds everything up to `position`.
        records_since_snapshot: Records applied after the last whole snapshot.
        bytes_since_snapshot: Size of these records.
        snapshot_bytes: Approximate size of the last snapshot that was read.
    """

    def __init__(self, stream: str, fold: _fold.Fold):
        self.stream = stream
        self.fold = fold
        self.position = 0
        self.is_complete = True
        self.records_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = 0
        self._writers: collections.OrderedDict[str, int] = (
            collections.OrderedDict())
        self._held: list[tuple[int, bytes]] = []
        self._assembler = _snapshot.SnapshotAssembler()
        self._gap_start = 0

    def note_expired(self, earliest: int) -> None:
        """Starts over at `earliest`, because the records before it are gone."""
        self.is_complete = False
        self.position = earliest
        self._gap_start = earliest
        self._held.clear()
        self._writers.clear()
        self._assembler = _snapshot.SnapshotAssembler()

    def get_last_sequence(self, writer: str) -> int:
        """Returns the last sequence number seen of a writer, or 0."""
        return self._writers.get(writer, 0)

    def feed(self, records: Iterable[tuple[int, bytes]]) -> list[AppliedRecord]:
        """Applies records in offset order; offsets already read are skipped.

        A gap in the offsets shows that records expired between two reads. The
        state is then incomplete, as after `note_expired`.

        Returns:
            The records applied, with their verdicts. Records held back for a
            snapshot appear once the snapshot is whole.
        """
        applied: list[AppliedRecord] = []
        for offset, data in records:
            if offset < self.position:
                continue
            if offset > self.position:
                self.note_expired(offset)
            self.position = offset + 1
            if self.is_complete:
                applied.append(self._apply(offset, data))
            else:
                applied.extend(self._hold(offset, data))
        return applied

    def _apply(self, offset: int, data: bytes) -> AppliedRecord:
        self.records_since_snapshot += 1
        self.bytes_since_snapshot += len(data)
        try:
            envelope = model.decode_record(data)
        except errors.ProtocolError as error:
            return AppliedRecord(offset, None, _fold.reject(str(error)))
        record = envelope.record
        if isinstance(record, model.SnapshotPart):
            if record.index == record.count - 1:
                self.records_since_snapshot = 0
                self.bytes_since_snapshot = 0
                self.snapshot_bytes = record.count * len(record.data)
            return AppliedRecord(offset, envelope, _fold.ACCEPTED)
        if not self._advance_writer(envelope):
            return AppliedRecord(offset, envelope,
                                 _fold.reject("second copy of a record"))
        return AppliedRecord(offset, envelope, self.fold.apply(offset, record))

    def _advance_writer(self, envelope: model.Envelope) -> bool:
        last = self._writers.get(envelope.writer, 0)
        if envelope.sequence <= last:
            return False
        self._writers[envelope.writer] = envelope.sequence
        self._writers.move_to_end(envelope.writer)
        if len(self._writers) > MAX_WRITERS:
            self._writers.popitem(last=False)
        return True

    def _hold(self, offset: int, data: bytes) -> list[AppliedRecord]:
        self._held.append((offset, data))
        try:
            record = model.decode_record(data).record
        except errors.ProtocolError:
            return []
        if not isinstance(record, model.SnapshotPart):
            return []
        if record.through_offset < self._gap_start - 1:
            return []
        try:
            state = self._assembler.add(record)
            if state is None:
                return []
            self._load(state)
        except errors.ProtocolError:  # Another snapshot may be usable.
            return []
        return self._replay_held(record.through_offset)

    def _load(self, state: object) -> None:
        try:
            writers, fold_state = state
            sequences = msgspec.convert(writers, list[tuple[str, int]])
        except (TypeError, ValueError, msgspec.ValidationError) as error:
            raise errors.ProtocolError(
                f"malformed snapshot of stream {self.stream!r}: "
                f"{error}") from error
        self.fold.load(fold_state)
        self._writers = collections.OrderedDict(sequences)

    def _replay_held(self, through: int) -> list[AppliedRecord]:
        self.is_complete = True
        self._assembler = _snapshot.SnapshotAssembler()
        held, self._held = self._held, []
        self.records_since_snapshot = 0
        self.bytes_since_snapshot = 0
        return [
            self._apply(offset, data)
            for offset, data in held
            if offset > through
        ]

    def build_snapshot(self, snapshot_id: str) -> list[model.SnapshotPart]:
        """Returns the parts of a snapshot through the last record applied."""
        state = [list(self._writers.items()), self.fold.dump()]
        return _snapshot.build_snapshot_parts(snapshot_id, self.position - 1,
                                              state)
