"""Binary form of records: msgpack, checked against the record types.

Example:
    >>> data = encode_record("entry-1#ab", 7, MemberLeft("entry-1#ab"))
    >>> decode_record(data).sequence
    7
"""

from typing import NamedTuple

import msgpack
import msgspec

from gentianlead import errors
from gentianlead.model import _records

SCHEMA_VERSION = 1

_KIND_NUMBERS = {cls: number for number, cls in _records.RECORD_TYPES_BY_KIND_NUMBER.items()}


class Envelope(NamedTuple):
    """A record with its writer.

    Attributes:
        writer: Incarnation of the daemon that wrote it.
        sequence: Number that rises with each record of the writer in a stream.
        record: The record.
    """

    writer: str
    sequence: int
    record: _records.Record


def encode_record(writer: str, sequence: int, record: _records.Record) -> bytes:
    """Returns the bytes of a record with its envelope."""
    kind = _KIND_NUMBERS[type(record)]
    return msgpack.packb([SCHEMA_VERSION, writer, sequence, kind, list(record)])


def decode_record(data: bytes) -> Envelope:
    """Reads a record with its envelope.

    Args:
        data: Bytes as `encode_record` gives them.

    Returns:
        The typed record with its writer and sequence.

    Raises:
        ProtocolError: The bytes are malformed, of an unknown kind or of a
            newer schema version.
    """
    try:
        version, writer, sequence, kind, fields = msgpack.unpackb(
            data, strict_map_key=False)
        if version != SCHEMA_VERSION:
            raise errors.ProtocolError(
                f"record schema version {version!r} is not {SCHEMA_VERSION}")
        cls = _records.RECORD_TYPES_BY_KIND_NUMBER.get(kind)
        if cls is None:
            raise errors.ProtocolError(f"unknown record kind {kind!r}")
        if not isinstance(writer, str) or not isinstance(sequence, int):
            raise errors.ProtocolError("malformed record envelope")
        return Envelope(writer, sequence, msgspec.convert(fields, cls))
    except errors.ProtocolError:
        raise
    except Exception as error:  # Any input may come from the log.
        raise errors.ProtocolError(f"malformed record: {error}") from error
