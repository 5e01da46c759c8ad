"""HTTP client of the platform's store."""

import base64
import datetime
import struct
from typing import Any, NamedTuple, Sequence

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _http
from gentianlead.platform import _json

KEYED_TOPIC_PREFIX = "keyed."
"""Prefix in the names of topics that retain the newest record of each key."""

MAX_CONNECTIONS = 12
"""Connections to the store: one for each read that waits for new records, and a
few for concurrent appends and other reads."""

READ_REPLY_ALLOWANCE = datetime.timedelta(milliseconds=900)
"""Timeout for the head of a reply to a read, in addition to the time for which
the store may hold the reply, and for each further piece of the body. A store
under normal load replies within 15 ms, and one that is slowed down by a factor
of 60 within 0.3 s. The whole body has no such limit: a page of 1 MB takes 1.6 s
over a link of 5 Mbit/s."""

MAX_READ_KIB = 512
"""Maximum size of the records in a reply to a read, in KiB. It has to exceed
the largest record that the platform stores (256 KiB). It takes 0.84 s over a
link of 5 Mbit/s."""

_RECORD_LENGTH_FORMAT = struct.Struct(">I")
_READ_REPLY_HEADER_FORMAT = struct.Struct(">QQ")
_STATUS_OFFSET_EXPIRED = 410
_MAX_KEY_BYTES = 255
_REJECTION_STATUSES = frozenset({400, 413})
_REFUSAL_STATUSES = frozenset({429, 503, 507})


class StoreLimits(NamedTuple):
    """Sizes that the store accepts; the defaults are those of the platform.

    Attributes:
        record_bytes: Maximum size of a record with its key, in bytes.
        call_bytes: Maximum size of the records of one append, in bytes.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


def encode_records(records: Sequence[ports.KeyedRecord]) -> bytes:
    """Encodes records for an append to a keyed topic.

    A record is its length in four bytes, the length of the key in one byte, the
    key and the value. The first length covers all that follows it.
    """
    parts = []
    for record in records:
        key = record.key.encode()
        parts.append(
            _RECORD_LENGTH_FORMAT.pack(1 + len(key) + len(record.value)))
        parts.append(bytes([len(key)]))
        parts.append(key)
        parts.append(record.value)
    return b"".join(parts)


def decode_records(data: bytes, start: int) -> list[ports.KeyedRecord]:
    """Decodes the records of a keyed topic from the format of `encode_records`.

    Args:
        data: The encoded records.
        start: Offset of the first record.

    Raises:
        ProtocolError: The data ends within a record, or a record is empty.
    """
    records = []
    position = 0
    while position < len(data):
        if position + _RECORD_LENGTH_FORMAT.size > len(data):
            raise errors.ProtocolError(
                "data ends within the length of a record")
        (record_length,) = _RECORD_LENGTH_FORMAT.unpack_from(data, position)
        position += _RECORD_LENGTH_FORMAT.size
        encoded_record = data[position:position + record_length]
        if len(encoded_record) < record_length or not encoded_record:
            raise errors.ProtocolError(
                "data ends within a record, or the record is empty")
        key_end = 1 + encoded_record[0]
        records.append(
            ports.KeyedRecord(
                encoded_record[1:key_end].decode(errors="replace"),
                encoded_record[key_end:], start + len(records)))
        position += record_length
    return records


class PlatformStore(ports.KeyedStore):
    """Appends records to keyed topics of the platform's store and reads them.

    Callers pass topics that other systems write to, such as `keyed.op`, with
    their prefix, and the topics of this project without it. Each topic has one
    partition, number 0.
    """

    def __init__(self, address: str, limits: StoreLimits = StoreLimits()):
        self._limits = limits
        self._endpoint = _http.HttpEndpoint(address, MAX_CONNECTIONS)

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        self._check_sizes(records)
        body = encode_records(records)
        reply = await self._call(
            "POST", "/log-append", timeout, body, {
                "topic": _add_topic_prefix(topic),
                "part": 0,
                "producer": producer.name,
                "epoch": producer.epoch,
                "sequence": sequence
            })
        document = _decode_json_object(reply)
        if reply.status == 200:
            try:
                return _fields.read_int(document, "offset")
            except errors.ProtocolError as error:
                raise ports.StoreError(f"malformed reply to an append: {error}",
                                       errors.Verdict.MAY_HAVE_RUN) from error
        if reply.status == 409:
            if document.get("reason") == "fenced":
                raise ports.ProducerFencedError(
                    "the topic has a record of a higher producer epoch",
                    errors.Verdict.DID_NOT_RUN)
            try:
                expected = _fields.read_int(document, "sequence")
            except errors.ProtocolError:
                expected = -1
            raise ports.SequenceError(
                f"sequence number {sequence} refused, expected {expected}",
                expected)
        if reply.status in _REJECTION_STATUSES:
            raise ports.RecordsRejectedError(
                f"append of {len(records)} records with {len(body)} bytes, "
                f"first key {records[0].key!r}: status {reply.status}: "
                f"{reply.body[:80]!r}", errors.Verdict.DID_NOT_RUN)
        raise _build_store_error(reply)

    def _check_sizes(self, records: Sequence[ports.KeyedRecord]) -> None:
        call_bytes = 0
        for record in records:
            key_bytes = len(record.key.encode())
            record_bytes = 1 + key_bytes + len(record.value)
            call_bytes += _RECORD_LENGTH_FORMAT.size + record_bytes
            if (key_bytes > _MAX_KEY_BYTES or
                    record_bytes > self._limits.record_bytes):
                raise ports.RecordsRejectedError(
                    f"record {record.key[:80]!r} has {record_bytes} bytes, "
                    f"{key_bytes} of them in its key; the store accepts "
                    f"{self._limits.record_bytes} and {_MAX_KEY_BYTES}",
                    errors.Verdict.DID_NOT_RUN)
        if call_bytes > self._limits.call_bytes:
            raise ports.RecordsRejectedError(
                f"append of {len(records)} records has {call_bytes} bytes; the "
                f"store accepts {self._limits.call_bytes}",
                errors.Verdict.DID_NOT_RUN)

    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> ports.KeyedBatch | None:
        query: dict[str, str | int] = {
            "topic": _add_topic_prefix(topic),
            "part": 0,
            "from": start,
            "max_kb": MAX_READ_KIB
        }
        wait_ms = int(wait.total_seconds() * 1000)
        if wait_ms:
            query["wait_ms"] = wait_ms
        reply = await self._call("GET", "/log-read",
                                 wait + READ_REPLY_ALLOWANCE, None, query,
                                 READ_REPLY_ALLOWANCE)
        if reply.status == _STATUS_OFFSET_EXPIRED:
            return None
        if reply.status != 200:
            raise _build_store_error(reply)
        try:
            end_offset, _ = _READ_REPLY_HEADER_FORMAT.unpack_from(reply.body)
            records = decode_records(
                reply.body[_READ_REPLY_HEADER_FORMAT.size:], start)
        except (struct.error, errors.ProtocolError) as error:
            raise ports.StoreError(f"malformed reply to a read: {error}",
                                   errors.Verdict.RAN) from error
        return ports.KeyedBatch(end_offset, tuple(records))

    async def read_newest_page(
            self, topic: str, after_key: str,
            reply_timeout: datetime.timedelta) -> ports.NewestPage:
        query: dict[str, str | int] = {
            "topic": _add_topic_prefix(topic),
            "part": 0
        }
        if after_key:
            # The wire name misleads: the page starts after this key.
            query["depends_on"] = after_key
        reply = await self._call("GET", "/log-newest", reply_timeout, None,
                                 query, READ_REPLY_ALLOWANCE)
        if reply.status != 200:
            error = _build_store_error(reply)
            if error.verdict is errors.Verdict.MAY_HAVE_RUN:
                # A read has no effect, so only the repetition matters.
                error.verdict = errors.Verdict.RAN
            raise error
        try:
            # One key that is not valid text must not hide the other records.
            document = _decode_json_object(reply, replaces_invalid_text=True)
            records = tuple(
                _decode_newest_record(item) for item in document["items"])
            return ports.NewestPage(
                records, _fields.read_int(document, "end_offset"),
                bool(document.get("has_more")) and bool(records))
        except (KeyError, TypeError, ValueError, errors.ProtocolError) as error:
            raise ports.StoreError(f"malformed page of newest records: {error}",
                                   errors.Verdict.RAN) from error

    async def close(self) -> None:
        """Closes all connections."""
        await self._endpoint.close()

    async def _call(
            self,
            method: str,
            path: str,
            timeout: datetime.timedelta,
            body: bytes | None,
            query: dict[str, str | int],
            progress_timeout: datetime.timedelta | None = None
    ) -> _http.HttpReply:
        try:
            return await self._endpoint.call(method,
                                             path,
                                             timeout,
                                             body,
                                             query,
                                             progress_timeout=progress_timeout)
        except _http.HttpCallError as error:
            raise ports.StoreError(str(error), error.verdict) from error


def _add_topic_prefix(topic: str) -> str:
    return topic if topic.startswith(
        KEYED_TOPIC_PREFIX) else KEYED_TOPIC_PREFIX + topic


def _build_store_error(reply: _http.HttpReply) -> ports.StoreError:
    verdict = (errors.Verdict.DID_NOT_RUN if reply.status in _REFUSAL_STATUSES
               else errors.Verdict.MAY_HAVE_RUN)
    return ports.StoreError(f"status {reply.status}: {reply.body[:80]!r}",
                            verdict)


def _decode_json_object(reply: _http.HttpReply,
                        replaces_invalid_text: bool = False) -> dict[str, Any]:
    """Returns the JSON object in a body; an empty body counts as an empty one.

    Raises:
        StoreError: The body is not a JSON object.
    """
    try:
        return _json.decode_object(reply.body or b"{}", "the reply",
                                   replaces_invalid_text)
    except errors.ProtocolError as error:
        raise ports.StoreError(
            f"status {reply.status} with a malformed body: {error}",
            errors.Verdict.DID_NOT_RUN if reply.status in _REFUSAL_STATUSES else
            errors.Verdict.MAY_HAVE_RUN) from error


def _decode_newest_record(item: dict[str, Any]) -> ports.KeyedRecord:
    fields = _fields.require_object(item, "item")
    return ports.KeyedRecord(_fields.read_string(fields, "key"),
                             base64.b64decode(fields.get("value") or ""),
                             _fields.read_int(fields, "offset"))
