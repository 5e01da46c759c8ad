"""Tests of the client of the log service over a slow link."""

import asyncio
import datetime
import time
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
import msgpack

from gentianlead import adapters
from gentianlead import errors
from gentianlead.adapters import _http_log

_LINK_BYTES_PER_S = 5_000_000 // 8
_CHUNK_BYTES = 16 * 1024
_TIMEOUT_S = 0.4
_RECORD = bytes(64 * 1024)
_NO_WAIT = datetime.timedelta()
_TIMEOUT = datetime.timedelta(seconds=_TIMEOUT_S)


class _SlowLogServer:
    """Log service behind a slow link.

    Attributes:
        url: `http://host:port` of the server.
        stalls_after: Number of bytes of a reply after which it sends no more;
            None for a whole reply.
        loses_replies: Whether it sends no replies to appends.
        appended: Records of all appends.
    """

    def __init__(self) -> None:
        self.url = ""
        self.stalls_after: int | None = None
        self.loses_replies = False
        self.appended: list[bytes] = []
        self._records = [[offset, _RECORD] for offset in range(8)]

    async def start(self) -> web.AppRunner:
        """Starts listening and returns the runner, which the caller closes."""
        app = web.Application()
        app.router.add_get("/streams/{stream}/records", self._read)
        app.router.add_post("/streams/{stream}/records", self._append)
        runner = web.AppRunner(app,
                               handler_cancellation=True,
                               shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        self.url = f"http://{host}:{port}"
        return runner

    async def _append(self, request: web.Request) -> web.Response:
        body = bytearray()
        async for chunk in request.content.iter_chunked(_CHUNK_BYTES):
            body += chunk
            await asyncio.sleep(len(chunk) / _LINK_BYTES_PER_S)
        if self.loses_replies:
            await asyncio.sleep(3600)
        self.appended += msgpack.unpackb(body)
        return web.Response(body=msgpack.packb({"first": 0, "next": 8}))

    async def _read(self, request: web.Request) -> web.StreamResponse:
        body = msgpack.packb({
            "earliest": 0,
            "next": len(self._records),
            "records": self._records
        })
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), _CHUNK_BYTES):
            if self.stalls_after is not None and start >= self.stalls_after:
                await asyncio.sleep(3600)
            await response.write(body[start:start + _CHUNK_BYTES])
            await asyncio.sleep(_CHUNK_BYTES / _LINK_BYTES_PER_S)
        return response


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Checks calls whose transfer takes longer than the time limit."""

    async def asyncSetUp(self) -> None:
        self.server = _SlowLogServer()
        runner = await self.server.start()
        self.addAsyncCleanup(runner.cleanup)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.log = adapters.HttpLogService(self.server.url, session)
        self.enterContext(
            mock.patch.object(_http_log, "READ_TIMEOUT_S", _TIMEOUT_S))

    async def test_long_transfer_of_a_page_completes(self) -> None:
        """Checks a read whose reply arrives steadily for 0.8 s.

        Guards against a page that is read again and again from its start.
        """
        batch = await self.log.read("once", 0, 2000, _NO_WAIT)
        self.assertEqual([offset for offset, _ in batch.records],
                         list(range(8)))

    async def test_stalled_transfer_fails(self) -> None:
        """Checks a read whose reply stops in the middle.

        Guards against a reader that waits for ever for a lost connection.
        """
        self.server.stalls_after = 4 * _CHUNK_BYTES
        with self.assertRaises(errors.LogUnavailableError):
            async with asyncio.timeout(20):
                await self.log.read("once", 0, 2000, _NO_WAIT)

    async def test_long_transfer_of_an_append_completes(self) -> None:
        """Checks an append whose records take 0.8 s to arrive.

        Guards against an append that is sent again and again from its start.
        """
        records = [_RECORD] * 8
        await self.log.append("once", records, _TIMEOUT)
        self.assertEqual(self.server.appended, records)

    async def test_lost_reply_to_a_small_append_fails_in_time(self) -> None:
        """Guards against a long wait for the reply to a small append."""
        self.server.loses_replies = True
        began_at_s = time.monotonic()
        with self.assertRaises(errors.LogUnavailableError):
            await self.log.append("once", [b"record"], _TIMEOUT)
        self.assertLess(time.monotonic() - began_at_s, 5 * _TIMEOUT_S)
