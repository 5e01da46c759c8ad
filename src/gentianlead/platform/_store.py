"""Client of the platform's store."""

import base64
import datetime
import json
import struct
from typing import Any, Sequence

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _http

KEYED_PREFIX = "keyed."
"""Prefix of topics that retain the newest record of each key."""

MAX_CONNECTIONS = 12
"""One for each long read, a few for appends and reads side by side."""

READ_ALLOWANCE = datetime.timedelta(milliseconds=900)
"""Time for a reply beyond the wait that was asked for. A calm store answers
within 15 ms, one that is slow by a factor of 60 within 0.3 s."""

READ_KIB = 1024
"""Most data of a read, the platform's default."""

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_STATUS_EXPIRED = 410
_REFUSED = frozenset({429, 503, 507})


def encode_records(records: Sequence[ports.KeyedRecord]) -> bytes:
    """Returns records in the framing of a keyed topic."""
    parts = []
    for record in records:
        key = record.key.encode()
        parts.append(_LENGTH.pack(1 + len(key) + len(record.value)))
        parts.append(bytes([len(key)]))
        parts.append(key)
        parts.append(record.value)
    return b"".join(parts)


def decode_records(data: bytes, start: int) -> list[ports.KeyedRecord]:
    """Returns framed records.

    Raises:
        ProtocolError: The framing is broken.
    """
    records = []
    position = 0
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise errors.ProtocolError("a record's length is cut off")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position:position + length]
        if len(content) < length or not content:
            raise errors.ProtocolError("a record is cut off")
        key_end = 1 + content[0]
        records.append(
            ports.KeyedRecord(content[1:key_end].decode(errors="replace"),
                              content[key_end:], start + len(records)))
        position += length
    return records


class PlatformStore(ports.KeyedStore):
    """Keyed topics of the store; each has one partition.

    Topics are given with their prefix where others write to them
    (`keyed.op`), and the project's own ones without it.
    """

    def __init__(self, address: str):
        self._endpoint = _http.HttpEndpoint(address, MAX_CONNECTIONS)

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        reply = await self._call(
            "POST", "/log-append", timeout, encode_records(records), {
                "topic": _build_topic(topic),
                "part": 0,
                "producer": producer.name,
                "epoch": producer.epoch,
                "sequence": sequence
            })
        document = _decode_document(reply)
        if reply.status == 200:
            return _fields.read_int(document, "offset")
        if reply.status == 409:
            if document.get("reason") == "fenced":
                raise ports.ProducerFencedError("a higher epoch has written",
                                        errors.Verdict.DID_NOT_RUN)
            expected = document.get("sequence")
            raise ports.SequenceError(
                f"sequence {sequence} refused, expected {expected}",
                expected if isinstance(expected, int) else -1)
        raise _build_error(reply)

    async def read(self, topic: str, start: int,
                   wait: datetime.timedelta) -> ports.KeyedBatch | None:
        query: dict[str, str | int] = {
            "topic": _build_topic(topic),
            "part": 0,
            "from": start,
            "max_kb": READ_KIB
        }
        wait_ms = int(wait.total_seconds() * 1000)
        if wait_ms:
            query["wait_ms"] = wait_ms
        reply = await self._call("GET", "/log-read", wait + READ_ALLOWANCE,
                                 None, query)
        if reply.status == _STATUS_EXPIRED:
            return None
        if reply.status != 200:
            raise _build_error(reply)
        try:
            end, _ = _HEAD.unpack_from(reply.body)
            records = decode_records(reply.body[_HEAD.size:], start)
        except (struct.error, errors.ProtocolError) as error:
            raise ports.StoreError(f"unreadable reply to a read: {error}",
                                   errors.Verdict.RAN) from error
        return ports.KeyedBatch(end, tuple(records))

    async def read_newest(self, topic: str) -> ports.KeyedBatch:
        records: list[ports.KeyedRecord] = []
        end = None
        after = ""
        while True:
            query: dict[str, str | int] = {
                "topic": _build_topic(topic),
                "part": 0
            }
            if after:
                # The page goes on after this key; nothing depends on it.
                query["depends_on"] = after
            reply = await self._call("GET", "/log-newest", READ_ALLOWANCE, None,
                                     query)
            if reply.status != 200:
                raise _build_error(reply)
            try:
                document = _decode_document(reply)
                if end is None:
                    end = _fields.read_int(document, "end_offset")
                page = [_decode_item(item) for item in document["items"]]
            except (KeyError, TypeError, ValueError,
                    errors.ProtocolError) as error:
                raise ports.StoreError(f"unreadable page: {error}",
                                       errors.Verdict.RAN) from error
            records.extend(page)
            if not document.get("has_more") or not page:
                return ports.KeyedBatch(end, tuple(records))
            after = page[-1].key

    async def close(self) -> None:
        """Closes all connections."""
        await self._endpoint.close()

    async def _call(self, method: str, path: str, timeout: datetime.timedelta,
                    body: bytes | None,
                    query: dict[str, str | int]) -> _http.HttpReply:
        try:
            return await self._endpoint.call(method, path, timeout, body, query)
        except _http.HttpCallError as error:
            raise ports.StoreError(str(error), error.verdict) from error


def _build_topic(topic: str) -> str:
    return topic if topic.startswith(KEYED_PREFIX) else KEYED_PREFIX + topic


def _build_error(reply: _http.HttpReply) -> ports.StoreError:
    verdict = (errors.Verdict.DID_NOT_RUN
               if reply.status in _REFUSED else errors.Verdict.MAY_HAVE_RUN)
    return ports.StoreError(f"status {reply.status}: {reply.body[:80]!r}",
                            verdict)


def _decode_document(reply: _http.HttpReply) -> dict[str, Any]:
    try:
        document = json.loads(reply.body or b"{}")
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise ports.StoreError(
            f"status {reply.status} with an unreadable body",
            errors.Verdict.DID_NOT_RUN
            if reply.status in _REFUSED else errors.Verdict.MAY_HAVE_RUN)
    return document


def _decode_item(item: dict[str, Any]) -> ports.KeyedRecord:
    row = _fields.require_object(item, "item")
    return ports.KeyedRecord(_fields.read_text(row, "key"),
                             base64.b64decode(row.get("value") or ""),
                             _fields.read_int(row, "offset"))
