"""Property tests of replicas of a stream whose oldest records expire."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from gentianlead import model
from gentianlead import state
from gentianlead.state import _snapshot
from gentianlead.state.tests import strategies

_PART_BYTES = 200
"""Largest size of a snapshot part in bytes in `_encode_parts`. It is so small
that the snapshot of a small state has several parts."""


def _build_replica() -> state.StreamReplica:
    return state.StreamReplica("domain.a", state.DomainStateMachine())


def _encode_parts(replica: state.StreamReplica,
                  snapshot_id: str) -> list[bytes]:
    """Builds a snapshot of a replica and returns its encoded parts.

    All parts have the same writer, which no other record has.
    """
    original_size, _snapshot.PART_BYTES = _snapshot.PART_BYTES, _PART_BYTES
    try:
        parts = replica.build_snapshot(snapshot_id)
    finally:
        _snapshot.PART_BYTES = original_size
    return [
        model.encode_record(f"writer-of-{snapshot_id}", index + 1, part)
        for index, part in enumerate(parts)
    ]


def _corrupt_part(rng: random.Random, data: bytes) -> bytes:
    """Returns a copy of an encoded snapshot part with one field changed."""
    envelope = model.decode_record(data)
    part = envelope.record
    corrupted = bytearray(part.data)
    corrupted[rng.randrange(len(corrupted))] ^= 1 << rng.randrange(8)
    part = rng.choice((part._replace(data=bytes(corrupted)),
                       part._replace(through_offset=part.through_offset +
                                     rng.choice((-1, 1, 5))),
                       part._replace(count=part.count + rng.choice((-1, 1))),
                       part._replace(index=part.index + rng.choice((-1, 1))),
                       part._replace(digest=part.digest ^ 1)))
    return model.encode_record(envelope.writer, envelope.sequence, part)


def _interleave(rng: random.Random, first: list[bytes],
                second: list[bytes]) -> list[bytes]:
    queues = [list(first), list(second)]
    merged = []
    while any(queues):
        source_queue = rng.choice(
            [source_queue for source_queue in queues if source_queue])
        merged.append(source_queue.pop(0))
    return merged


def _build_stream_with_snapshots(records: list[bytes],
                                 rng: random.Random) -> list[bytes]:
    """Inserts two snapshots into a stream of records.

    The parts of the second snapshot are interleaved with those of the first and
    with up to two records. One of the two snapshots may have a corrupt part.
    """
    first_snapshot_offset = rng.randrange(1, len(records))
    second_snapshot_offset = rng.randrange(first_snapshot_offset, len(records))
    stream = records[:first_snapshot_offset]
    snapshot_writer = _build_replica()
    strategies.feed_from_offset(snapshot_writer, stream)
    first = _encode_parts(snapshot_writer, "snapshot-1")
    stream += records[first_snapshot_offset:second_snapshot_offset]
    strategies.feed_from_offset(snapshot_writer, stream)
    second = _encode_parts(snapshot_writer, "snapshot-2")
    parts_to_corrupt = rng.choice((first, second))
    if rng.random() < 0.5:
        index = rng.randrange(len(parts_to_corrupt))
        parts_to_corrupt[index] = _corrupt_part(rng, parts_to_corrupt[index])
    return stream + _interleave(
        rng, first + records[second_snapshot_offset:second_snapshot_offset + 2],
        second) + records[second_snapshot_offset + 2:]


class ReplicaPropertiesTest(unittest.TestCase):
    """Checks when a replica is complete and what its state then is."""

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.encoded_domain_streams, st.integers(0, 9999))
    def test_incomplete_state_is_never_presented_as_complete(
            self, records, seed) -> None:
        """Checks that the state is right whenever `is_complete` is true.

        Records expire at random before the replica reads them. Its state is
        compared with that of a replica that has read all records. Guards
        against `is_complete` being true for a state that lacks records.
        """
        rng = random.Random(seed)
        stream = _build_stream_with_snapshots(records, rng)
        full_replica = _build_replica()
        expected_states = []
        for offset, record in enumerate(stream):
            full_replica.feed([(offset, record)])
            expected_states.append(full_replica.state_machine.dump())
        reader = _build_replica()
        earliest_offset = 0
        while reader.position < len(stream):
            if rng.random() < 0.3:
                earliest_offset = max(
                    earliest_offset,
                    min(len(stream), reader.position + rng.randint(-9, 9)))
            if earliest_offset > reader.position:
                reader.reset_after_expiry(earliest_offset)
                self.assertFalse(reader.is_complete)
            end_offset = reader.position + rng.randint(1, 9)
            strategies.feed_from_offset(reader, stream[:end_offset],
                                        reader.position)
            if reader.is_complete:
                self.assertEqual(reader.state_machine.dump(),
                                 expected_states[reader.position - 1])

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.encoded_domain_streams, st.integers(0, 9999))
    def test_gap_in_offsets_makes_the_state_incomplete(self, records,
                                                       seed) -> None:
        """Checks that a replica is incomplete after it missed one record.

        Guards against a gap between two reads that stays undetected.
        """
        rng = random.Random(seed)
        start = rng.randrange(len(records) - 1)
        reader = _build_replica()
        strategies.feed_from_offset(reader, records[:start])
        strategies.feed_from_offset(reader, records, start + 1)
        self.assertFalse(reader.is_complete)

    def test_only_complete_valid_snapshots_restore(self) -> None:
        """Checks which snapshots restore an incomplete replica.

        A snapshot must restore it if all its parts are present and valid and it
        covers all expired records, also after an incomplete or corrupt one.
        Other snapshots must not restore it.
        """
        replica = _build_replica()
        strategies.feed_from_offset(replica, [
            model.encode_record(
                "entry-1#a", number,
                model.WorkerPut(f"worker-{number}", "rack-1",
                                strategies.WORKER_CAPACITY))
            for number in range(1, 40)
        ])
        parts = _encode_parts(replica, "snapshot-1")
        self.assertGreater(len(parts), 3)
        second_parts = _encode_parts(replica, "snapshot-2")
        last_part_envelope = model.decode_record(parts[-1])
        part_with_other_offset = model.encode_record(
            last_part_envelope.writer, last_part_envelope.sequence,
            last_part_envelope.record._replace(
                through_offset=last_part_envelope.record.through_offset + 50))
        [single_part] = replica.build_snapshot("snapshot-4")
        for case_name, stream, is_complete in (
            ("in order", parts, True),
            ("first part expired", parts[1:], False),
            ("last part missing", parts[:-1], False),
            ("last part replaced by a duplicate", parts[:-1] + parts[-2:-1],
             False),
            ("part expired, then complete", parts[1:] + second_parts, True),
            ("corrupt, then complete",
             [_corrupt_part(random.Random(1), parts[0])] + parts[1:] +
             second_parts, True),
            ("other through_offset in one part",
             parts[:-1] + [part_with_other_offset], False),
            ("digest of another through_offset", [
                model.encode_record(
                    "w", 1,
                    single_part._replace(
                        through_offset=single_part.through_offset + 50))
            ], False),
            ("not a state", [
                model.encode_record("w", 1, part)
                for part in state.build_snapshot_parts("snapshot-3", 99, [1, 2])
            ], False),
            ("not a state, then complete", [
                model.encode_record("w", 1, part)
                for part in state.build_snapshot_parts("snapshot-3", 99, 7)
            ] + second_parts, True),
        ):
            reader = _build_replica()
            reader.reset_after_expiry(39)
            reader.feed(list(enumerate(stream, 39)))
            self.assertEqual(reader.is_complete, is_complete, case_name)
            if is_complete:
                self.assertEqual(reader.state_machine.dump(),
                                 replica.state_machine.dump(), case_name)
        reader = _build_replica()
        reader.reset_after_expiry(50)
        reader.feed(list(enumerate(parts, 50)))
        self.assertFalse(reader.is_complete, "records 39 to 49 expired")
