"""Encodes records as msgpack and decodes them with type checks.

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

_KIND_NUMBERS_BY_TYPE = {
    record_type: number
    for number, record_type in _records.RECORD_TYPES_BY_KIND_NUMBER.items()
}


class Envelope(NamedTuple):
    """A record with its writer and its sequence number.

    Attributes:
        writer: Incarnation of the daemon that wrote the record.
        sequence: Sequence number; rises with each record that the writer
            appends to a stream.
        record: The typed record.
    """

    writer: str
    sequence: int
    record: _records.Record


def omit_trailing_defaults(value: tuple) -> tuple:
    """Returns the fields of a named tuple up to the last with no default value.

    A field that was added with a default value is thus only written where it is
    used. Elsewhere an older version of the program can read the value, which
    rejects tuples with more fields than it knows.

    Args:
        value: Instance of a `NamedTuple`.
    """
    defaults = type(value)._field_defaults
    count = len(value)
    for name in reversed(type(value)._fields):
        if name not in defaults or value[count - 1] != defaults[name]:
            break
        count -= 1
    return tuple(value[:count])


def encode_record(writer: str, sequence: int, record: _records.Record) -> bytes:
    """Encodes a record with its writer and sequence number."""
    kind_number = _KIND_NUMBERS_BY_TYPE[type(record)]
    return msgpack.packb([
        SCHEMA_VERSION, writer, sequence, kind_number,
        omit_trailing_defaults(record)
    ])


def decode_record(data: bytes) -> Envelope:
    """Decodes a record with its writer and sequence number.

    Args:
        data: Bytes that `encode_record` returned.

    Returns:
        The typed record with its writer and sequence.

    Raises:
        ProtocolError: The bytes are malformed, of an unknown kind or of
            another schema version.
    """
    try:
        version, writer, sequence, kind_number, fields = msgpack.unpackb(
            data, strict_map_key=False)
        if version != SCHEMA_VERSION:
            raise errors.ProtocolError(
                f"record schema version {version!r} is not {SCHEMA_VERSION}")
        record_type = _records.RECORD_TYPES_BY_KIND_NUMBER.get(kind_number)
        if record_type is None:
            raise errors.ProtocolError(f"unknown record kind {kind_number!r}")
        if not isinstance(writer, str) or not isinstance(sequence, int):
            raise errors.ProtocolError("malformed record envelope")
        return Envelope(writer, sequence, msgspec.convert(fields, record_type))
    except errors.ProtocolError:
        raise
    except Exception as error:  # The log may return arbitrary bytes.
        raise errors.ProtocolError(f"malformed record: {error}") from error
