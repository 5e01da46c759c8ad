"""Stand-in for the platform's log service, in memory.

Usage:
    python -m standins.log --port 9001 --control-port 9002
"""

import asyncio
import bisect
import time
from typing import NamedTuple
import urllib.parse

from aiohttp import web
import click
import msgpack

from standins import _control
from standins import _endpoint
from standins import _journal

_DEFAULT_LIMIT = 1000
_MAX_REPLY_BYTES = 8 * 1024 * 1024


class Retention(NamedTuple):
    """How long records are kept; 0 stands for no limit.

    Attributes:
        records: Number of records of a stream.
        seconds: Age of a record.
    """

    records: int = 0
    seconds: float = 0.0


class Stream:
    """Records of one stream.

    Attributes:
        earliest: Offset of the earliest retained record.
        appended: Set and replaced at each append; wakes waiting readers.
    """

    def __init__(self) -> None:
        self.earliest = 0
        self.appended = asyncio.Event()
        self._records: list[bytes] = []
        self._times: list[float] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.earliest + len(self._records)

    def append(self, records: list[bytes], now: float) -> int:
        """Appends records and returns the offset of the first."""
        first = self.next_offset
        self._records += records
        self._times += [now] * len(records)
        self.appended.set()
        self.appended = asyncio.Event()
        return first

    def read(self, start: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns records from an offset on, within the size of a reply."""
        found = []
        size = 0
        index = max(start - self.earliest, 0)
        for position, record in enumerate(self._records[index:index + limit]):
            size += len(record)
            if found and size > _MAX_REPLY_BYTES:
                break
            found.append((self.earliest + index + position, record))
        return found

    def drop(self, count: int) -> None:
        """Drops the oldest records."""
        count = max(0, min(count, len(self._records)))
        self.earliest += count
        del self._records[:count]
        del self._times[:count]

    def expire(self, retention: Retention, now: float) -> None:
        """Drops the records beyond the retention."""
        if retention.records:
            self.drop(len(self._records) - retention.records)
        if retention.seconds:
            self.drop(bisect.bisect_left(self._times, now - retention.seconds))


class LogStandIn:
    """The log service.

    Attributes:
        endpoint: Its port.
        retention: How long records are kept.
        append_seconds: Time that one group of appends takes.
    """

    def __init__(self, journal: _journal.Journal, retention: Retention,
                 append_seconds: float):
        self.endpoint = _endpoint.Endpoint("log", self._handle, journal)
        self.retention = retention
        self.append_seconds = append_seconds
        self._journal = journal
        self._streams: dict[str, Stream] = {}
        self._waiting: list[tuple[str, list[bytes],
                                  asyncio.Future[tuple[int, int]]]] = []
        self._committer: asyncio.Task[None] | None = None

    def get_stream(self, name: str) -> Stream:
        """Returns a stream; it exists from its first use on."""
        stream = self._streams.setdefault(name, Stream())
        stream.expire(self.retention, time.monotonic())
        return stream

    def expire_now(self, command: _control.Command) -> object:
        """Drops all but the newest `keep` records of a stream, or of all."""
        keep = int(command.get("keep", 0))
        pattern = command.get("stream")
        earliest = {}
        for name, stream in self._streams.items():
            if pattern in (None, name):
                stream.drop(stream.next_offset - stream.earliest - keep)
                earliest[name] = stream.earliest
        self._journal.add("expired", earliest=earliest)
        return earliest

    def set_retention(self, command: _control.Command) -> object:
        """Changes the retention (`records`, `seconds`)."""
        self.retention = Retention(int(command.get("records", 0)),
                                   float(command.get("seconds", 0)))
        return self.retention

    def set_append_latency(self, command: _control.Command) -> object:
        """Changes the time that one group of appends takes (`ms`)."""
        self.append_seconds = float(command["ms"]) / 1000
        return self.append_seconds

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        parts = request.rel_url.raw_path.split("/")
        if len(parts) != 4 or parts[1] != "streams" or parts[3] != "records":
            return _endpoint.respond_json({"error": "unknown path"}, 404)
        stream = urllib.parse.unquote(parts[2])
        try:
            if request.method == "POST":
                return await self._append(stream, await request.read())
            return await self._read(stream, request)
        except (ValueError, TypeError) as error:
            return _endpoint.respond_json({"error": str(error)}, 400)

    async def _append(self, name: str, body: bytes) -> web.Response:
        records = msgpack.unpackb(body)
        if not isinstance(records, list) or not records or not all(
                isinstance(record, bytes) for record in records):
            raise ValueError("expected a msgpack array of binary records")
        future: asyncio.Future[tuple[int, int]] = (
            asyncio.get_running_loop().create_future())
        self._waiting.append((name, records, future))
        if self._committer is None or self._committer.done():
            self._committer = asyncio.create_task(self._commit())
        first, next_offset = await asyncio.shield(future)
        return _respond_msgpack({"first": first, "next": next_offset})

    async def _commit(self) -> None:
        """Commits all waiting appends together, each of them atomically."""
        while self._waiting:
            await asyncio.sleep(self.append_seconds)
            group, self._waiting = self._waiting, []
            for name, records, future in group:
                stream = self.get_stream(name)
                first = stream.append(records, time.monotonic())
                self._journal.add("append",
                                  stream=name,
                                  first=first,
                                  count=len(records),
                                  bytes=sum(map(len, records)))
                if not future.done():
                    future.set_result((first, stream.next_offset))

    async def _read(self, name: str, request: web.BaseRequest) -> web.Response:
        start = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", _DEFAULT_LIMIT))
        wait = float(request.query.get("wait_ms", 0)) / 1000
        stream = self.get_stream(name)
        deadline = time.monotonic() + wait
        while stream.earliest <= start == stream.next_offset:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(stream.appended.wait(), remaining)
            except asyncio.TimeoutError:
                break
        stream = self.get_stream(name)
        value = {"earliest": stream.earliest, "next": stream.next_offset}
        if start < stream.earliest:
            return _respond_msgpack(value, 410)
        return _respond_msgpack({**value, "records": stream.read(start, limit)})


def _respond_msgpack(value: object, status: int = 200) -> web.Response:
    return web.Response(body=msgpack.packb(value),
                        status=status,
                        content_type="application/msgpack")


@click.command()
@click.option("--port", default=0, help="Port of the service; 0 for any.")
@click.option("--control-port", default=0, help="Control port; 0 for any.")
@click.option("--retention-records", default=0, help="0 keeps all records.")
@click.option("--retention-seconds", default=0.0, help="0 keeps all records.")
@click.option("--append-ms", default=0.0, help="Time of a group of appends.")
@click.option("--exit-with-parent", is_flag=True)
def main(port: int, control_port: int, retention_records: int,
         retention_seconds: float, append_ms: float,
         exit_with_parent: bool) -> None:
    """Runs a log service in memory."""

    async def start() -> _control.Control:
        journal = _journal.Journal("log")
        log = LogStandIn(journal, Retention(retention_records,
                                            retention_seconds),
                         append_ms / 1000)
        control = _control.Control(journal, [log.endpoint])
        control.actions["expire"] = log.expire_now
        control.actions["retention"] = log.set_retention
        control.actions["append_latency"] = log.set_append_latency
        await log.endpoint.open(port)
        await control.endpoint.open(control_port)
        return control

    _control.run(start, exit_with_parent)


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
