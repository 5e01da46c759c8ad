"""Properties of replicas that read a stream whose records expire."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from gentianlead import model
from gentianlead import state
from gentianlead.state import _snapshot
from gentianlead.state.tests import strategies

_PART_BYTES = 200
"""Size of snapshot parts here, so that a small state has several."""


def _build_replica() -> state.StreamReplica:
    return state.StreamReplica("domain.a", state.DomainFold())


def _encode_parts(replica: state.StreamReplica, name: str) -> list[bytes]:
    """Returns the encoded parts of a snapshot by a writer of its own."""
    size, _snapshot.PART_BYTES = _snapshot.PART_BYTES, _PART_BYTES
    try:
        parts = replica.build_snapshot(name)
    finally:
        _snapshot.PART_BYTES = size
    return [
        model.encode_record(f"writer-of-{name}", index + 1, part)
        for index, part in enumerate(parts)
    ]


def _damage(source: random.Random, data: bytes) -> bytes:
    """Returns an encoded snapshot part with one field damaged."""
    envelope = model.decode_record(data)
    part = envelope.record
    damaged = bytearray(part.data)
    damaged[source.randrange(len(damaged))] ^= 1 << source.randrange(8)
    part = source.choice(
        (part._replace(data=bytes(damaged)),
         part._replace(through_offset=part.through_offset + source.choice((-1, 1, 5))),
         part._replace(count=part.count + source.choice((-1, 1))),
         part._replace(index=part.index + source.choice((-1, 1))),
         part._replace(digest=part.digest ^ 1)))
    return model.encode_record(envelope.writer, envelope.sequence, part)


def _interleave(source: random.Random, first: list[bytes],
                second: list[bytes]) -> list[bytes]:
    queues = [list(first), list(second)]
    merged = []
    while any(queues):
        queue = source.choice([queue for queue in queues if queue])
        merged.append(queue.pop(0))
    return merged


def _build_stream_with_snapshots(records: list[bytes],
                                 source: random.Random) -> list[bytes]:
    """Mixes two snapshots, one perhaps damaged, into a stream of records."""
    cut = source.randrange(1, len(records))
    later = source.randrange(cut, len(records))
    stream = records[:cut]
    writer = _build_replica()
    strategies.feed_all(writer, stream)
    first = _encode_parts(writer, "snapshot-1")
    stream += records[cut:later]
    strategies.feed_all(writer, stream)
    second = _encode_parts(writer, "snapshot-2")
    damaged = source.choice((first, second))
    if source.random() < 0.5:
        index = source.randrange(len(damaged))
        damaged[index] = _damage(source, damaged[index])
    return stream + _interleave(source, first + records[later:later + 2],
                                second) + records[later + 2:]


class ReplicaPropertiesTest(unittest.TestCase):
    """A replica is either incomplete or equal to one that read everything."""

    @strategies.SETTINGS
    @hypothesis.given(strategies.domain_streams, st.integers(0, 9999))
    def test_incomplete_state_is_never_presented_as_complete(
            self, records, seed) -> None:
        """Guards against decisions on a state that lacks records."""
        source = random.Random(seed)
        stream = _build_stream_with_snapshots(records, source)
        truth = _build_replica()
        dumps = []
        for offset, record in enumerate(stream):
            truth.feed([(offset, record)])
            dumps.append(truth.fold.dump())
        reader = _build_replica()
        earliest = 0
        while reader.position < len(stream):
            if source.random() < 0.3:
                earliest = max(
                    earliest,
                    min(len(stream), reader.position + source.randint(-9, 9)))
            if earliest > reader.position:
                reader.note_expired(earliest)
                self.assertFalse(reader.is_complete)
            end = reader.position + source.randint(1, 9)
            strategies.feed_all(reader, stream[:end], reader.position)
            if reader.is_complete:
                self.assertEqual(reader.fold.dump(), dumps[reader.position - 1])

    @strategies.SETTINGS
    @hypothesis.given(strategies.domain_streams, st.integers(0, 9999))
    def test_gap_in_offsets_makes_the_state_incomplete(self, records,
                                                       seed) -> None:
        """Guards against records that expired unnoticed between two reads."""
        source = random.Random(seed)
        start = source.randrange(len(records) - 1)
        reader = _build_replica()
        strategies.feed_all(reader, records[:start])
        strategies.feed_all(reader, records, start + 1)
        self.assertFalse(reader.is_complete)

    def test_every_whole_snapshot_restores(self) -> None:
        """Guards against a reader that waits although a snapshot is whole."""
        replica = _build_replica()
        strategies.feed_all(replica, [
            model.encode_record(
                "entry-1#a", number,
                model.WorkerPut(f"worker-{number}", "rack-1",
                                strategies.CAPACITY))
            for number in range(1, 40)
        ])
        parts = _encode_parts(replica, "snapshot-1")
        self.assertGreater(len(parts), 3)
        again = _encode_parts(replica, "snapshot-2")
        last = model.decode_record(parts[-1])
        skipping = model.encode_record(
            last.writer, last.sequence,
            last.record._replace(through_offset=last.record.through_offset + 50))
        [single] = replica.build_snapshot("snapshot-4")
        for name, stream, is_complete in (
            ("in order", parts, True),
            ("first part expired", parts[1:], False),
            ("last part missing", parts[:-1], False),
            ("last part twice", parts[:-1] + parts[-2:-1], False),
            ("part expired, then whole", parts[1:] + again, True),
            ("damaged, then whole",
             [_damage(random.Random(1), parts[0])] + parts[1:] + again, True),
            ("other offset in a part", parts[:-1] + [skipping], False),
            ("other offset", [
                model.encode_record(
                    "w", 1, single._replace(through_offset=single.through_offset + 50))
            ], False),
            ("not a state", [
                model.encode_record("w", 1, part)
                for part in state.build_snapshot_parts("snapshot-3", 99, [1, 2])
            ], False),
            ("not a state, then whole", [
                model.encode_record("w", 1, part)
                for part in state.build_snapshot_parts("snapshot-3", 99, 7)
            ] + again, True),
        ):
            reader = _build_replica()
            reader.note_expired(39)
            reader.feed(list(enumerate(stream, 39)))
            self.assertEqual(reader.is_complete, is_complete, name)
            if is_complete:
                self.assertEqual(reader.fold.dump(), replica.fold.dump(), name)
        reader = _build_replica()
        reader.note_expired(50)
        reader.feed(list(enumerate(parts, 50)))
        self.assertFalse(reader.is_complete, "records 39 to 49 expired")
