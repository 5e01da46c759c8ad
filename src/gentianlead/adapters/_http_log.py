"""HTTP client of the platform's log service."""

import asyncio
import datetime
import urllib.parse

import aiohttp
import msgpack
import yarl

from gentianlead import errors
from gentianlead import ports

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
"""Longest pause in the reply to a read, added to the time for which the service
may hold it. The whole transfer has no time limit, because a reply may have
several MB and a read that is sent again would transfer all of it again."""

MIN_UPLOAD_BYTES_PER_S = 64 * 1024
"""Transfer rate by which the timeout of an append grows with its size. An
append that was cut off is sent again as a whole and would be cut off again."""


class HttpLogService(ports.LogService):
    """Appends and reads records; see `docs/design.md`, section 5.1.

    Args:
        base_url: `http://host:port` of the log service.
        session: HTTP session, which the caller closes.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession):
        self._base_url = base_url.rstrip("/")
        self._session = session

    def _build_records_url(self, stream: str) -> yarl.URL:
        quoted_stream = urllib.parse.quote(stream, safe="")
        return yarl.URL(f"{self._base_url}/streams/{quoted_stream}/records",
                        encoded=True)

    async def append(self, stream: str, records: list[bytes],
                     timeout: datetime.timedelta) -> int:
        request_body = msgpack.packb(records)
        client_timeout = aiohttp.ClientTimeout(
            total=timeout.total_seconds() +
            len(request_body) / MIN_UPLOAD_BYTES_PER_S,
            sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(self._build_records_url(stream),
                                          data=request_body,
                                          timeout=client_timeout) as response:
                body = await response.read()
                if response.status != 200:
                    raise errors.LogUnavailableError(
                        f"append to stream {stream!r}: status "
                        f"{response.status}")
                return int(msgpack.unpackb(body)["first"])
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError,
                KeyError, TypeError) as error:
            raise errors.LogUnavailableError(
                f"append to stream {stream!r}: "
                f"{type(error).__name__}: {error}") from error

    async def read(self, stream: str, start: int, limit: int,
                   wait: datetime.timedelta) -> ports.LogBatch:
        max_pause_s = wait.total_seconds() + READ_TIMEOUT_S
        client_timeout = aiohttp.ClientTimeout(total=None,
                                               connect=READ_TIMEOUT_S,
                                               sock_connect=CONNECT_TIMEOUT_S,
                                               sock_read=max_pause_s)
        params = {
            "from": str(start),
            "limit": str(limit),
            "wait_ms": str(int(wait.total_seconds() * 1000)),
        }
        try:
            async with self._session.get(self._build_records_url(stream),
                                         params=params,
                                         timeout=client_timeout) as response:
                body = await response.read()
                status = response.status
            return self._parse_batch(stream, start, status, body)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError,
                KeyError, TypeError) as error:
            raise errors.LogUnavailableError(
                f"read of stream {stream!r}: "
                f"{type(error).__name__}: {error}") from error

    @staticmethod
    def _parse_batch(stream: str, start: int, status: int,
                     body: bytes) -> ports.LogBatch:
        if status not in (200, 410):
            raise errors.LogUnavailableError(
                f"read of stream {stream!r}: status {status}")
        reply = msgpack.unpackb(body)
        if status == 410:
            raise errors.LogReadExpiredError(stream, start, reply["earliest"],
                                             reply["next"])
        return ports.LogBatch(
            reply["earliest"], reply["next"],
            tuple((offset, data) for offset, data in reply["records"]))
