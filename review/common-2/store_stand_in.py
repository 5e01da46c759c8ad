"""Stand-in for the platform's store, and for the paths to it."""

import asyncio
import base64
import struct

import wire

STORE_DELAY_S = 0.004


class _Topic:
    """Records of one keyed topic."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, int] = {}
        self.producers: dict[str, tuple[int, int, list[tuple[int, int]]]] = {}
        self.grown = asyncio.Event()

    def append(self, records: list[tuple[str, bytes]]) -> int:
        """Stores records; returns the offset of the first one."""
        offset = len(self.records)
        for key, value in records:
            self.newest[key] = len(self.records)
            self.records.append((key, value))
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """The platform's store.

    Attributes:
        server: Its server.
    """

    def __init__(self) -> None:
        self.server = wire.HttpServer(self._handle)
        self._topics: dict[str, _Topic] = {}

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Stores a record as the operator or a worker does."""
        self._get(topic).append([(key, value)])

    def _get(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _handle(self, request: wire.Request) -> wire.Reply:
        await asyncio.sleep(STORE_DELAY_S)
        topic = self._get(request.query.get("topic", ""))
        if request.path == "/log-append":
            return self._append(topic, request)
        if request.path == "/log-read":
            return await self._read(topic, request)
        if request.path == "/log-newest":
            return self._read_newest(topic, request)
        return wire.Reply(404)

    def _append(self, topic: _Topic, request: wire.Request) -> wire.Reply:
        if request.query["topic"] in ("keyed.op", "keyed.servers"):
            return wire.Reply(403)
        records = []
        position = 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            content = request.body[position + 4:position + 4 + length]
            position += 4 + length
            end = 1 + content[0]
            records.append((content[1:end].decode(), content[end:]))
        if "producer" in request.query:
            name = request.query["producer"]
            epoch = int(request.query["epoch"])
            sequence = int(request.query["sequence"])
            known_epoch, last, replies = topic.producers.get(name, (-1, 0, []))
            if epoch < known_epoch:
                return wire.encode_json({"reason": "fenced"}, 409)
            if epoch == known_epoch:
                for number, offset in replies:
                    if number == sequence:
                        return wire.encode_json({
                            "offset": offset,
                            "end_offset": len(topic.records)
                        })
                if sequence != last + 1:
                    return wire.encode_json(
                        {
                            "reason": "seq",
                            "sequence": last + 1
                        }, 409)
            else:
                replies = []
            offset = topic.append(records)
            topic.producers[name] = (epoch, sequence,
                                     [*replies, (sequence, offset)][-5:])
        else:
            offset = topic.append(records)
        return wire.encode_json({
            "offset": offset,
            "end_offset": len(topic.records)
        })

    async def _read(self, topic: _Topic, request: wire.Request) -> wire.Reply:
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.grown.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        limit = 1024 * int(request.query.get("max_kb", 1024))
        body = bytearray(struct.pack(">QQ", len(topic.records), 0))
        for key, value in topic.records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            if len(body) + len(content) > limit and len(body) > 16:
                break
            body += struct.pack(">I", len(content)) + content
        return wire.Reply(200, bytes(body))

    def _read_newest(self, topic: _Topic, request: wire.Request) -> wire.Reply:
        after = request.query.get("depends_on", "")
        rows = [(key, offset)
                for key, offset in sorted(topic.newest.items())
                if key > after and topic.records[offset][1]]
        items = [{
            "key": key,
            "value": base64.b64encode(topic.records[offset][1]).decode(),
            "offset": offset
        } for key, offset in rows[:500]]
        return wire.encode_json({
            "items": items,
            "has_more": len(rows) > 500,
            "end_offset": len(topic.records)
        })


class Link:
    """A path to a server that can be cut without a sign to either side.

    Bytes that are held up by a cut are lost if their sender closes the channel.

    Attributes:
        address: `host:port` that stands for the server.
    """

    def __init__(self, server: wire.HttpServer):
        self.address = ""
        self._target = server
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, wire.HOST, 0)
        self.address = f"{wire.HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Closes all channels."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        """Lets nothing pass until `heal`."""
        self._is_open.clear()

    def heal(self) -> None:
        """Lets everything pass, also what was held up."""
        self._is_open.set()

    async def _accept(self, reader: asyncio.StreamReader,
                      writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        target_writer = None
        try:
            await self._wait_until_open(reader)
            target_reader, target_writer = await asyncio.open_connection(
                wire.HOST, self._target.port)
            await asyncio.gather(self._forward(reader, target_writer),
                                 self._forward(target_reader, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()

    async def _wait_until_open(self, reader: asyncio.StreamReader) -> None:
        while not self._is_open.is_set():
            if reader.at_eof():
                raise ConnectionResetError
            await asyncio.sleep(0.01)

    async def _forward(self, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            await self._wait_until_open(reader)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
