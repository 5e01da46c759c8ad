"""HTTP/1.1 for the stand-ins: a server whose machine may fail, and calls."""

import asyncio
import json
from typing import Any, Awaitable, Callable, NamedTuple
import urllib.parse

HOST = "127.0.0.1"
CLIENT_HOST = "jobs.example"


class Request(NamedTuple):
    """A received request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Parameters of the query.
        headers: Headers, with names in lower case.
        body: Body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """A reply to a request.

    Attributes:
        status: HTTP status.
        body: Body.
    """

    status: int
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Reply | None]]


async def _read_message(
        reader: asyncio.StreamReader
) -> tuple[list[str], dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first_line.split(" ", 2), headers, body


class HttpServer:
    """Serves HTTP/1.1 on one port.

    Attributes:
        port: Port, which the server keeps when it starts again.
        has_power: Whether the machine has power. Without power, nothing on its
            channels is answered, and neither are new channels. Channels from
            before that stay silent, and are reset once something arrives on
            them after the power is back.
    """

    def __init__(self, handler: Handler):
        self.port = 0
        self.has_power = True
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """`host:port` of the server."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Starts to listen, unless the server does so."""
        self.has_power = True
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._accept,
                                                  HOST,
                                                  self.port,
                                                  limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stops to listen and resets all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    def lose_power(self) -> None:
        """Leaves all channels without an answer."""
        self.has_power = False
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader,
                      writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            try:
                if self.has_power:
                    await self._serve(reader, writer)
            except asyncio.CancelledError:
                if self.has_power:
                    return
            if not self.has_power:
                self._tasks.discard(task)
                await reader.read(1)
                while not self.has_power:
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        while True:
            words, headers, body = await _read_message(reader)
            path, _, query = words[1].partition("?")
            reply = await self._handler(
                Request(words[0], urllib.parse.unquote(path),
                        dict(urllib.parse.parse_qsl(query)), headers, body))
            if reply is None:
                writer.transport.abort()
                return
            writer.write(f"HTTP/1.1 {reply.status} X\r\nContent-Length: "
                         f"{len(reply.body)}\r\n\r\n".encode() + reply.body)
            await writer.drain()


def encode_json(document: dict[str, Any], status: int = 200) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(status, json.dumps(document).encode())


async def call(port: int,
               method: str,
               path: str,
               timeout_s: float,
               body: bytes = b"") -> tuple[int, bytes]:
    """Sends a request on a channel of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {CLIENT_HOST}\r\n"
                         f"Content-Type: application/json\r\n"
                         f"Gentianlead-Deadline-Ms: {int(1000 * timeout_s)}\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            words, _, reply_body = await _read_message(reader)
            return int(words[1]), reply_body
        finally:
            writer.transport.abort()
