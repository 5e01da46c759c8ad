"""Tests of the time limits and sessions of the HTTP client."""

import asyncio
import datetime
import socket
import threading
import time
import unittest
from unittest import mock

from aiohttp import web

from gentianlead import adapters
from gentianlead import errors
from gentianlead.platform import _http

TIMEOUT = datetime.timedelta(milliseconds=300)
# For calls that must succeed, however late the event loop runs.
LONG_TIMEOUT = datetime.timedelta(seconds=30)
PIECE = b"x" * 1000


class PiecewiseServer:
    """HTTP server that sends bodies in pieces of 1,000 bytes.

    A path `/PIECES/INTERVAL_MS` gets that many pieces at that interval. The
    path `/stall` gets the head and one of two pieces, `/silence` no reply.

    Attributes:
        address: `host:port` of the server; empty before it is started.
    """

    def __init__(self) -> None:
        self.address = ""
        self._server = web.Server(self._serve)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Listens on a free port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stops the server."""
        await self._runner.cleanup()

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return sum(connection.transport is not None
                   for connection in self._server.connections)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/silence":
            await asyncio.sleep(30)
        is_stalled = request.path == "/stall"
        piece_count, interval_ms = ((2, 0) if is_stalled else map(
            int,
            request.path.strip("/").split("/")))
        response = web.StreamResponse()
        response.content_length = piece_count * len(PIECE)
        await response.prepare(request)
        for _ in range(1 if is_stalled else piece_count):
            await asyncio.sleep(interval_ms / 1000)
            try:
                await response.write(PIECE)
            except ConnectionResetError:
                return response
        if is_stalled:
            await asyncio.sleep(30)
        return response


class ProgressTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Tests calls whose time limit depends on the progress of the body."""

    async def asyncSetUp(self) -> None:
        self.server = PiecewiseServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.endpoint = _http.HttpEndpoint(self.server.address, 4)
        self.addAsyncCleanup(self.endpoint.close)

    async def test_slow_body_is_received_completely(self):
        """Guards against a time limit that large bodies on slow links exceed.

        The body takes 0.75 s, its pieces 0.15 s each.
        """
        reply = await self.endpoint.call("GET",
                                         "/5/150",
                                         TIMEOUT,
                                         progress_timeout=TIMEOUT)
        self.assertEqual(reply.body, PIECE * 5)

    async def test_stalled_body_fails_early(self):
        """Guards against a long wait on a connection that has stalled."""
        for path in ("/stall", "/silence"):
            with self.subTest(path):
                started_at = time.monotonic()
                with self.assertRaises(_http.HttpCallError) as caught:
                    await self.endpoint.call("GET",
                                             path,
                                             TIMEOUT,
                                             progress_timeout=TIMEOUT)
                self.assertLess(time.monotonic() - started_at, 1.5)
                self.assertIs(caught.exception.verdict,
                              errors.Verdict.MAY_HAVE_RUN)

    async def test_time_limit_covers_the_body_without_progress_timeout(self):
        """Guards against orders to workers that exceed their time limit."""
        with self.assertRaises(_http.HttpCallError):
            await self.endpoint.call("GET", "/5/150", TIMEOUT)

    async def test_timeout_of_another_call_keeps_a_transfer(self):
        """Guards against transfers that fail because another call timed out.

        The transfer takes 4 s and goes on 3.7 s after the other call.
        """
        transfer = asyncio.create_task(
            self.endpoint.call("GET",
                               "/40/100",
                               TIMEOUT,
                               progress_timeout=TIMEOUT))
        with self.assertRaises(_http.HttpCallError):
            await self.endpoint.call("GET", "/silence", TIMEOUT)
        reply = await transfer
        self.assertEqual(len(reply.body), 40 * len(PIECE))

    async def test_slow_body_has_a_time_limit(self):
        """Guards against a read that a server prolongs without end."""
        with mock.patch.object(_http, "MAX_TRANSFER_TIME",
                               datetime.timedelta(seconds=0.5)):
            with self.assertRaises(_http.HttpCallError):
                await self.endpoint.call("GET",
                                         "/20/100",
                                         TIMEOUT,
                                         progress_timeout=TIMEOUT)

    async def test_idle_connections_are_closed_after_a_timeout(self):
        """Guards against calls over connections that have gone silent.

        All connections may have when one has. They also must not pile up.
        """
        await asyncio.gather(*(
            self.endpoint.call("GET", "/2/50", LONG_TIMEOUT) for _ in range(3)))
        self.assertEqual(self.server.count_connections(), 3)
        with self.assertRaises(_http.HttpCallError):
            await self.endpoint.call("GET", "/silence", TIMEOUT)
        async with asyncio.timeout(2):
            while self.server.count_connections():
                await asyncio.sleep(0.02)

    async def test_malformed_address_or_header(self):
        """Guards against an unexpected error that ends a loop of the caller.

        Records of older daemons may hold such addresses and identifiers.
        """
        for address in ("127.0.0.1:99999", "127.0.0.1:\u00b2", "a b:80", ":80",
                        "127.0.0.1:" + "9" * 5000, "a\n:80", "\ud800:80"):
            with self.subTest(address[:20]):
                endpoint = _http.HttpEndpoint(address, 1)
                self.addAsyncCleanup(endpoint.close)
                with self.assertRaises(_http.HttpCallError) as context:
                    await endpoint.call("GET", "/1/0", TIMEOUT)
                self.assertIs(context.exception.verdict,
                              errors.Verdict.DID_NOT_RUN)
        with self.assertRaises(_http.HttpCallError):
            await self.endpoint.call("GET",
                                     "/1/0",
                                     TIMEOUT,
                                     headers={"Name": "a\r\nb"})


class ThreadedServer:
    """HTTP server in a thread of its own, so that a late loop does not stop it.

    It replies to each request after `reply_delay_s`, in seconds.

    Attributes:
        address: `host:port` of the server.
    """

    def __init__(self, reply_delay_s: float) -> None:
        self._reply_delay_s = reply_delay_s
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Accepts no more connections."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve,
                             args=(connection,),
                             daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                while connection.recv(65536):
                    time.sleep(self._reply_delay_s)
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            except OSError:
                return


class LateLoopTest(unittest.IsolatedAsyncioTestCase):
    """Tests calls while the event loop runs late."""

    async def asyncSetUp(self) -> None:
        self.meter = adapters.LoopDelayMeter(adapters.SystemClock())
        meter_task = asyncio.create_task(self.meter.run())
        self.addCleanup(meter_task.cancel)

    def start_endpoint(self, reply_delay_s: float,
                       end_limit: datetime.timedelta) -> _http.HttpEndpoint:
        """Returns an endpoint of a new server; both are stopped at the end."""
        server = ThreadedServer(reply_delay_s)
        self.addCleanup(server.stop)
        endpoint = _http.HttpEndpoint(server.address, 4, self.meter, end_limit)
        self.addAsyncCleanup(endpoint.close)
        return endpoint

    async def delay_loop(self, block_s: float) -> None:
        """Blocks the loop again and again, so that each turn takes as long."""
        while True:
            time.sleep(block_s)
            await asyncio.sleep(0)

    async def test_reply_that_is_read_late_counts(self):
        """Guards against workers that are lost by the lateness of their leader.

        They reply after 0.05 s, and calls have 0.3 s. The loop is blocked for
        longer than that, or in each of the turns that a new connection takes.
        """
        for block_s in (0.5, 0.12):
            with self.subTest(block_s):
                endpoint = self.start_endpoint(0.05, LONG_TIMEOUT)
                delay_task = asyncio.create_task(self.delay_loop(block_s))
                self.addCleanup(delay_task.cancel)
                reply = await endpoint.call("GET", "/", TIMEOUT)
                self.assertEqual(reply.status, 200)
                delay_task.cancel()

    async def test_call_to_a_silent_server_ends(self):
        """Guards against calls without an end, or with a later one than before.

        The server replies after 30 s. On a loop that is on time, the call ends
        at its timeout; on a late one, about one turn after the end limit. The
        delay that other processes cause in the first case does not count.
        """
        end_limit = datetime.timedelta(seconds=1)
        # Block of each turn, shortest and longest time of the call, in s.
        for block_s, shortest_s, longest_s in ((0.0, 0.3, 0.9), (0.2, 0.9,
                                                                 2.5)):
            with self.subTest(block_s):
                endpoint = self.start_endpoint(30, end_limit)
                delay_task = asyncio.create_task(
                    self.delay_loop(block_s) if block_s else asyncio.sleep(0))
                self.addCleanup(delay_task.cancel)
                started_at = time.monotonic()
                delay_before_s = self.meter.read_total_s()
                with self.assertRaises(_http.HttpCallError):
                    await endpoint.call("GET", "/", TIMEOUT)
                elapsed_s = time.monotonic() - started_at
                self.assertGreaterEqual(elapsed_s, shortest_s)
                if not block_s:
                    elapsed_s -= self.meter.read_total_s() - delay_before_s
                self.assertLess(elapsed_s, longest_s)
                delay_task.cancel()
