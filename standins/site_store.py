"""Stand-in for the store of the users' platform, in memory.

It keeps keyed topics with one partition, and refuses all calls while it is
down. The link over which it sends its replies can be slow or break.
"""

import asyncio
import base64
import json
import struct
from typing import NamedTuple

from aiohttp import web

from standins import _app_server

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_PAGE = 500
_CHUNK_BYTES = 4096


class _Record(NamedTuple):
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


class _Producer(NamedTuple):
    """What is known of a producer.

    Attributes:
        epoch: Highest epoch.
        sequence: Last sequence number.
        offset: Offset of the last append.
    """

    epoch: int
    sequence: int
    offset: int


class _Topic:
    """Records of one topic."""

    def __init__(self) -> None:
        self.records: list[_Record] = []
        self.producers: dict[str, _Producer] = {}
        self.grown = asyncio.Event()

    def append(self, records: list[_Record]) -> int:
        """Stores records; returns the offset of the first."""
        offset = len(self.records)
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def list_newest(self) -> list[tuple[int, _Record]]:
        """Returns the newest record of each key, by key."""
        newest: dict[str, tuple[int, _Record]] = {}
        for offset, record in enumerate(self.records):
            newest[record.key] = offset, record
        return [newest[key] for key in sorted(newest) if newest[key][1].value]


class SiteStore:
    """The store, served on a port of the loopback interface.

    Attributes:
        address: `host:port`, once it is started.
        is_down: Whether all calls are refused.
        link_bytes_per_s: Rate at which the bodies of all replies together are
            sent; 0 for no limit.
        broken_pages: Numbers of the pages of newest records, counted from 1
            over all topics, whose connection is reset in the middle.
        page_starts: Topic and key after which each requested page starts.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_down = False
        self.link_bytes_per_s = 0.0
        self.broken_pages: set[int] = set()
        self.page_starts: list[tuple[str, str]] = []
        self._link_free_at = 0.0
        self._topics: dict[str, _Topic] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        app = web.Application()
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._read_newest)
        self._runner, self.address = await _app_server.start_app(app)

    async def stop(self) -> None:
        """Stops."""
        await self._runner.cleanup()

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Stores a record as an operator or a worker does."""
        self._get_topic(topic).append([_Record(key, value)])

    def _get_topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.is_down:
            return web.Response(status=503)
        topic = self._get_topic(request.query["topic"])
        name = request.query["producer"]
        epoch = int(request.query["epoch"])
        sequence = int(request.query["sequence"])
        known = topic.producers.get(name, _Producer(0, 0, 0))
        if epoch < known.epoch:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch == known.epoch and sequence == known.sequence:
            return self._answer_append(topic, known.offset)
        if epoch == known.epoch and sequence != known.sequence + 1:
            return web.json_response(
                {
                    "reason": "seq",
                    "sequence": known.sequence + 1
                }, status=409)
        offset = topic.append(_decode_records(body))
        topic.producers[name] = _Producer(epoch, sequence, offset)
        return self._answer_append(topic, offset)

    def _answer_append(self, topic: _Topic, offset: int) -> web.Response:
        return web.json_response({
            "offset": offset,
            "end_offset": len(topic.records)
        })

    async def _read(self, request: web.Request) -> web.StreamResponse:
        if self.is_down:
            return web.Response(status=503)
        topic = self._get_topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        if self.is_down:
            return web.Response(status=503)
        body = [_HEAD.pack(len(topic.records), 0)]
        body += [_encode_record(record) for record in topic.records[start:]]
        return await self._send_body(request, b"".join(body))

    async def _read_newest(self, request: web.Request) -> web.StreamResponse:
        if self.is_down:
            return web.Response(status=503)
        topic = self._get_topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        self.page_starts.append((request.query["topic"], after))
        is_broken = len(self.page_starts) in self.broken_pages
        rows = [row for row in topic.list_newest() if row[1].key > after]
        items = [{
            "key": record.key,
            "value": base64.b64encode(record.value).decode(),
            "offset": offset
        } for offset, record in rows[:_PAGE]]
        body = json.dumps({
            "items": items,
            "has_more": len(rows) > _PAGE,
            "end_offset": len(topic.records)
        }).encode()
        return await self._send_body(request, body, is_broken)

    async def _send_body(self,
                         request: web.Request,
                         body: bytes,
                         is_broken: bool = False) -> web.StreamResponse:
        """Sends a body at the rate of the link, or resets after half of it."""
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        end = len(body) // 2 if is_broken else len(body)
        loop = asyncio.get_running_loop()
        for start in range(0, end, _CHUNK_BYTES):
            chunk = body[start:min(end, start + _CHUNK_BYTES)]
            if self.link_bytes_per_s:
                self._link_free_at = max(
                    self._link_free_at,
                    loop.time()) + len(chunk) / self.link_bytes_per_s
                await asyncio.sleep(self._link_free_at - loop.time())
            try:
                await response.write(chunk)
            except ConnectionResetError:
                return response
        if is_broken and request.transport is not None:
            request.transport.abort()
        return response


def _encode_record(record: _Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _decode_records(body: bytes) -> list[_Record]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position:position + length]
        position += length
        key_end = 1 + content[0]
        records.append(_Record(content[1:key_end].decode(), content[key_end:]))
    return records
