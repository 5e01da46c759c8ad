"""Replica of a stream's state that one daemon builds from the log.

A replica rejects records that it cannot decode and duplicates of earlier
records. When records expired before the replica read them, it is incomplete:
its state must not be used until a snapshot in the stream has restored it.
"""

import collections
from typing import Iterable, NamedTuple

import msgspec

from gentianlead import errors
from gentianlead import model
from gentianlead.state import _state_machine
from gentianlead.state import _snapshot

MAX_WRITERS = 4096
"""Greatest number of writers whose highest sequence number is stored. One
more writer removes the writer that has written no new record for the longest
time."""


class AppliedRecord(NamedTuple):
    """A record that was read from the stream, and the verdict on it.

    Attributes:
        offset: Offset of the record.
        envelope: The record with its writer and sequence number, or None when
            it cannot be decoded.
        verdict: Whether the record was accepted and, if not, the reason.
    """

    offset: int
    envelope: model.Envelope | None
    verdict: _state_machine.RecordVerdict


class StreamReplica:
    """Applies each record of a stream once to the stream's state machine.

    Attributes:
        stream: Name of the stream.
        state_machine: State of the stream; valid only while `is_complete`.
        position: Offset of the next record to read.
        is_complete: Whether the state reflects all records below `position`.
        records_since_snapshot: Number of records, accepted or rejected, that
            `feed` returned after the last part of the newest snapshot, or since
            this replica was created if there was no snapshot. A restore from a
            snapshot resets the number to 0 and then counts the records that it
            applies, which were buffered while the state was incomplete.
        bytes_since_snapshot: Encoded size in bytes of the records that
            `records_since_snapshot` counts.
        snapshot_bytes: Lower bound of the size of the newest snapshot in bytes:
            its number of parts times the size of its last part; 0 before the
            first snapshot.
    """

    def __init__(self, stream: str, state_machine: _state_machine.StateMachine):
        self.stream = stream
        self.state_machine = state_machine
        self.position = 0
        self.is_complete = True
        self.records_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = 0
        self._last_sequences: collections.OrderedDict[str, int] = (
            collections.OrderedDict())
        self._buffered_records: list[tuple[int, bytes]] = []
        self._snapshot_assembler = _snapshot.SnapshotAssembler()
        self._first_offset_after_gap = 0

    def reset_after_expiry(self, earliest_offset: int) -> None:
        """Marks the state incomplete and continues at `earliest_offset`.

        Buffered records, parts of snapshots and the sequence numbers of all
        writers are discarded.

        Args:
            earliest_offset: Offset of the first record that has not expired.
        """
        self.is_complete = False
        self.position = earliest_offset
        self._first_offset_after_gap = earliest_offset
        self._buffered_records.clear()
        self._last_sequences.clear()
        self._snapshot_assembler = _snapshot.SnapshotAssembler()

    def get_last_sequence(self, writer: str) -> int:
        """Returns a writer's highest sequence number, or 0 if unknown."""
        return self._last_sequences.get(writer, 0)

    def feed(self, records: Iterable[tuple[int, bytes]]) -> list[AppliedRecord]:
        """Applies records and skips those with an offset below `position`.

        A gap in the offsets shows that records expired between two reads. The
        state is then incomplete, as after `reset_after_expiry`. While it is
        incomplete, records are buffered and not applied. A snapshot restores
        the state when all its parts were read, if it covers all the missing
        records.

        Args:
            records: Offsets and encoded records, by increasing offset.

        Returns:
            The records that were applied or rejected, with the verdicts. The
            call that restores the state from a snapshot also returns the
            buffered records that the snapshot does not cover. Records that are
            still buffered are not returned.
        """
        applied_records: list[AppliedRecord] = []
        for offset, data in records:
            if offset < self.position:
                continue
            if offset > self.position:
                self.reset_after_expiry(offset)
            self.position = offset + 1
            if self.is_complete:
                applied_records.append(self._apply(offset, data))
            else:
                applied_records.extend(self._buffer_record(offset, data))
        return applied_records

    def _apply(self, offset: int, data: bytes) -> AppliedRecord:
        self.records_since_snapshot += 1
        self.bytes_since_snapshot += len(data)
        try:
            envelope = model.decode_record(data)
        except errors.ProtocolError as error:
            return AppliedRecord(offset, None,
                                 _state_machine.reject(str(error)))
        record = envelope.record
        if isinstance(record, model.SnapshotPart):
            if record.index == record.count - 1:
                self.records_since_snapshot = 0
                self.bytes_since_snapshot = 0
                self.snapshot_bytes = record.count * len(record.data)
            return AppliedRecord(offset, envelope, _state_machine.ACCEPTED)
        if not self._accept_sequence(envelope):
            return AppliedRecord(
                offset, envelope,
                _state_machine.reject("duplicate of an earlier record"))
        return AppliedRecord(offset, envelope,
                             self.state_machine.apply(offset, record))

    def _accept_sequence(self, envelope: model.Envelope) -> bool:
        last_sequence = self._last_sequences.get(envelope.writer, 0)
        if envelope.sequence <= last_sequence:
            return False
        self._last_sequences[envelope.writer] = envelope.sequence
        self._last_sequences.move_to_end(envelope.writer)
        if len(self._last_sequences) > MAX_WRITERS:
            self._last_sequences.popitem(last=False)
        return True

    def _buffer_record(self, offset: int, data: bytes) -> list[AppliedRecord]:
        self._buffered_records.append((offset, data))
        try:
            record = model.decode_record(data).record
        except errors.ProtocolError:
            return []
        if not isinstance(record, model.SnapshotPart):
            return []
        if record.through_offset < self._first_offset_after_gap - 1:
            return []
        try:
            state = self._snapshot_assembler.add_part(record)
            if state is None:
                return []
            self._load_snapshot(state)
        except errors.ProtocolError:  # A later snapshot may be valid.
            return []
        return self._replay_buffered_records(record.through_offset)

    def _load_snapshot(self, state: object) -> None:
        try:
            writer_sequences, dumped_state = state
            last_sequences = msgspec.convert(writer_sequences, list[tuple[str,
                                                                          int]])
        except (TypeError, ValueError, msgspec.ValidationError) as error:
            raise errors.ProtocolError(
                f"malformed snapshot of stream {self.stream!r}: "
                f"{error}") from error
        self.state_machine.load(dumped_state)
        self._last_sequences = collections.OrderedDict(last_sequences)

    def _replay_buffered_records(self,
                                 through_offset: int) -> list[AppliedRecord]:
        self.is_complete = True
        self._snapshot_assembler = _snapshot.SnapshotAssembler()
        buffered_records, self._buffered_records = self._buffered_records, []
        self.records_since_snapshot = 0
        self.bytes_since_snapshot = 0
        return [
            self._apply(offset, data)
            for offset, data in buffered_records
            if offset > through_offset
        ]

    def build_snapshot(self, snapshot_id: str) -> list[model.SnapshotPart]:
        """Builds a snapshot of the current state, which must be complete.

        Args:
            snapshot_id: Identifier that no other snapshot uses.

        Returns:
            The parts of the snapshot by increasing index.
        """
        state = [list(self._last_sequences.items()), self.state_machine.dump()]
        return _snapshot.build_snapshot_parts(snapshot_id, self.position - 1,
                                              state)
