"""Snapshots of a stream's state, carried by the stream itself in parts."""

import msgpack
import xxhash

from gentianlead import errors
from gentianlead import model

PART_BYTES = 64 * 1024


def _compute_digest(through: int, data: bytes) -> int:
    """Returns a digest that also covers the offset, which decides which
    records a reader replays."""
    return xxhash.xxh3_64_intdigest(data, seed=through)


def build_snapshot_parts(snapshot_id: str, through: int,
                         state: object) -> list[model.SnapshotPart]:
    """Cuts a state into records.

    Args:
        snapshot_id: Identifier that no other snapshot uses.
        through: Offset of the last record that the state contains.
        state: Plain values that msgpack can carry.

    Returns:
        The parts in order; at least one.
    """
    data = msgpack.packb(state)
    digest = _compute_digest(through, data)
    count = max(1, -(-len(data) // PART_BYTES))
    return [
        model.SnapshotPart(snapshot_id, through, index, count, digest,
                           data[index * PART_BYTES:(index + 1) * PART_BYTES])
        for index in range(count)
    ]


class SnapshotAssembler:
    """Collects parts until one snapshot is whole."""

    def __init__(self) -> None:
        self._groups: dict[tuple, dict[int, model.SnapshotPart]] = {}

    def add(self, part: model.SnapshotPart) -> object | None:
        """Adds a part.

        Returns:
            The state when the snapshot is whole, else None.

        Raises:
            ProtocolError: The part is damaged, or the parts do not give the
                digest that they name.
        """
        if part.through_offset < 0 or not 0 <= part.index < part.count:
            raise errors.ProtocolError(
                f"snapshot {part.snapshot_id} has no part {part.index} of "
                f"{part.count} through {part.through_offset}")
        group = (part.snapshot_id, part.through_offset, part.count, part.digest)
        parts = self._groups.setdefault(group, {})
        parts[part.index] = part
        if len(parts) < part.count:
            return None
        del self._groups[group]
        data = b"".join(parts[index].data for index in range(part.count))
        if _compute_digest(part.through_offset, data) != part.digest:
            raise errors.ProtocolError(
                f"snapshot {part.snapshot_id} does not match its digest")
        try:
            return msgpack.unpackb(data, strict_map_key=False)
        except Exception as error:  # A writer may have had a fault.
            raise errors.ProtocolError(
                f"snapshot {part.snapshot_id} is malformed: "
                f"{error}") from error
