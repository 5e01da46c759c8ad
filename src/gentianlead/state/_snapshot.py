"""Splits a snapshot of a stream's state into records and joins them again."""

import msgpack
import xxhash

from gentianlead import errors
from gentianlead import model

PART_BYTES = 64 * 1024
"""Largest number of bytes of the state in one `SnapshotPart` record."""


def _compute_digest(through_offset: int, data: bytes) -> int:
    """Returns a digest of the serialized state and the offset.

    The digest covers the offset too, because the offset decides which records
    a reader applies after it has loaded the snapshot.
    """
    return xxhash.xxh3_64_intdigest(data, seed=through_offset)


def build_snapshot_parts(snapshot_id: str, through_offset: int,
                         state: object) -> list[model.SnapshotPart]:
    """Serializes a state and splits it into `SnapshotPart` records.

    Args:
        snapshot_id: Identifier that no other snapshot uses.
        through_offset: Offset of the last record applied to the state.
        state: State as values that msgpack can serialize.

    Returns:
        The parts by increasing index; at least one.
    """
    data = msgpack.packb(state)
    digest = _compute_digest(through_offset, data)
    count = max(1, -(-len(data) // PART_BYTES))
    return [
        model.SnapshotPart(snapshot_id, through_offset, index, count, digest,
                           data[index * PART_BYTES:(index + 1) * PART_BYTES])
        for index in range(count)
    ]


class SnapshotAssembler:
    """Collects parts and joins them once all parts of a snapshot were added.

    Parts of several snapshots may be interleaved and arrive in any order.
    """

    def __init__(self) -> None:
        self._parts_by_snapshot: dict[tuple, dict[int, model.SnapshotPart]] = {}

    def add_part(self, part: model.SnapshotPart) -> object | None:
        """Adds a part to those of its snapshot.

        Returns:
            The decoded state once all parts of the snapshot were added; None
            while parts are missing.

        Raises:
            ProtocolError: The part has a negative `through_offset` or an index
                that is not below `count`, or the joined parts do not match
                their digest or cannot be decoded.
        """
        if part.through_offset < 0 or not 0 <= part.index < part.count:
            raise errors.ProtocolError(
                f"snapshot {part.snapshot_id}: invalid part {part.index} of "
                f"{part.count} through offset {part.through_offset}")
        snapshot_key = (part.snapshot_id, part.through_offset, part.count,
                        part.digest)
        parts = self._parts_by_snapshot.setdefault(snapshot_key, {})
        parts[part.index] = part
        if len(parts) < part.count:
            return None
        del self._parts_by_snapshot[snapshot_key]
        data = b"".join(parts[index].data for index in range(part.count))
        if _compute_digest(part.through_offset, data) != part.digest:
            raise errors.ProtocolError(
                f"snapshot {part.snapshot_id} does not match its digest")
        try:
            return msgpack.unpackb(data, strict_map_key=False)
        # Data that matches the digest can still be malformed if the writer
        # serialized the state wrongly.
        except Exception as error:
            raise errors.ProtocolError(
                f"snapshot {part.snapshot_id} cannot be decoded: "
                f"{error}") from error
