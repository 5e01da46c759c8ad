"""Tests of a dialer with faulty peers."""

import asyncio
import contextlib
import datetime
import random
import socket
import time
from typing import Awaitable, Callable

from gentianlead import errors
from gentianlead import peers
from gentianlead import ports
from gentianlead.peers import _codec
from gentianlead.peers import _messages
from gentianlead.peers.tests import doubles

_SHORT_TIMEOUT = datetime.timedelta(milliseconds=50)
_DID_NOT_RUN = errors.Verdict.DID_NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN
_MUTATION_ROUNDS = range(200)


def _build_response(text: str, size: int = 0) -> ports.HttpResponse:
    return ports.HttpResponse(200, (), text.encode() + b"-" * size)


class DialerFailuresTest(doubles.LoopbackTestCase):
    """Requests to a faulty peer get the right verdict and no wrong reply."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.raw_peers: list[doubles.RawPeer] = []
        self.address = ""
        self.pool: peers.PeerPool | None = None

    async def _start_faulty_peer(
            self,
            serve: Callable[[doubles.RawPeer, int], Awaitable[None]],
            settings: peers.LinkSettings = doubles.SETTINGS) -> None:
        """Starts a faulty peer and a pool that dials it.

        Args:
            serve: Acts as the faulty peer on a connection. It is called with
                the connection and its number, from 0.
            settings: Settings of the pool.
        """

        async def accept(reader: asyncio.StreamReader,
                         writer: asyncio.StreamWriter) -> None:
            raw_peer = doubles.RawPeer(reader, writer)
            self.addCleanup(raw_peer.close)
            self.raw_peers.append(raw_peer)
            try:
                await serve(raw_peer, len(self.raw_peers) - 1)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        server = await asyncio.start_server(accept, doubles.HOST, 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.pool = await self.start_pool(self.address, settings)

    async def _request(self,
                       path: str,
                       timeout: datetime.timedelta = doubles.WAIT_TIMEOUT
                      ) -> ports.HttpResponse:
        await self.wait_until(self.pool.get_peers)
        return await self.pool.request(self.address,
                                       doubles.build_request(path), timeout)

    async def _request_expecting_error(
        self,
        path: str,
        timeout: datetime.timedelta = doubles.WAIT_TIMEOUT
    ) -> errors.RequestError:
        with self.assertRaises(errors.RequestError) as caught:
            await self._request(path, timeout)
        return caught.exception

    async def _read_paths(self, peer_socket: socket.socket) -> list[str]:
        """Returns the paths of the complete requests that a socket received."""
        reader = _codec.FrameReader()
        paths = []
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.get_running_loop().sock_recv(
                    peer_socket, 65536):
                frames = map(_codec.decode_body, reader.feed(data))
                paths += [
                    frame.message.path
                    for frame in frames
                    if isinstance(frame.message, peers.ForwardRequest)
                ]
        return paths

    async def test_late_reply_is_dropped(self) -> None:
        """Guards against matching a late reply to another request."""
        cancelled_id_offsets: list[int] = []

        async def serve(raw_peer: doubles.RawPeer, _: int) -> None:
            raw_peer.send_hello()
            first_request = await raw_peer.receive_message(peers.ForwardRequest)
            cancel_frame = await raw_peer.receive_message(_messages.Cancel)
            cancelled_id_offsets.append(cancel_frame.correlation_id -
                                        first_request.correlation_id)
            second_request = await raw_peer.receive_message(peers.ForwardRequest
                                                           )
            for frame in (first_request, second_request, second_request,
                          first_request):
                raw_peer.send(_build_response(frame.message.path),
                              frame.correlation_id)
            await raw_peer.wait_closed()

        await self._start_faulty_peer(serve)
        error = await self._request_expecting_error("/first", _SHORT_TIMEOUT)
        self.assertEqual((error.code, error.verdict),
                         (errors.ErrorCode.DEADLINE_EXCEEDED, _MAY_HAVE_RUN))
        self.assertEqual((await self._request("/second")).body, b"/second")
        self.assertEqual(cancelled_id_offsets, [0])
        self.assertEqual(self.get_error_texts(peers.PeerEventKind.BROKEN), [])

    async def test_cancelled_caller_cancels_at_the_peer(self) -> None:
        """Guards against a request that runs after its caller has given up."""
        frames: list[_codec.Frame] = []

        async def serve(raw_peer: doubles.RawPeer, _: int) -> None:
            raw_peer.send_hello()
            frames.append(await raw_peer.receive_message(peers.ForwardRequest))
            frames.append(await raw_peer.receive_message(_messages.Cancel))

        await self._start_faulty_peer(serve)
        task = asyncio.create_task(self._request("/a"))
        await self.wait_until(lambda: frames)
        task.cancel()
        await self.wait_until(lambda: len(frames) == 2)
        self.assertEqual(frames[0].correlation_id, frames[1].correlation_id)

    async def test_mismatched_replies_break_the_connection(self) -> None:
        """Guards against accepting a reply of a wrong type or to no request."""
        cases = (
            ("other kind", peers.StatusReply(1), 0),
            ("never sent", _build_response("x"), 1),
            ("damaged id", _build_response("x"), 1 << 24),
            ("part missing", _messages.ReplyPart(1, 3, b"x"), 0),
        )

        async def serve(raw_peer: doubles.RawPeer,
                        connection_number: int) -> None:
            raw_peer.send_hello()
            frame = await raw_peer.receive_message(peers.ForwardRequest)
            _, reply, id_offset = cases[connection_number]
            raw_peer.send(reply, frame.correlation_id + id_offset)
            await raw_peer.wait_closed()

        await self._start_faulty_peer(serve)
        for name, _, _ in cases:
            error = await self._request_expecting_error("/a")
            self.assertEqual((error.code, error.verdict),
                             (errors.ErrorCode.PEER_FAILED, _MAY_HAVE_RUN),
                             name)
            await self.wait_until(lambda: not self.pool.get_peers())

    async def test_connection_lost_during_a_long_reply(self) -> None:
        """Guards against accepting an incomplete reply as complete."""

        async def serve(raw_peer: doubles.RawPeer,
                        connection_number: int) -> None:
            raw_peer.send_hello()
            frame = await raw_peer.receive_message(peers.ForwardRequest)
            parts = _codec.encode_reply(1, frame.correlation_id,
                                        _build_response("/long", 3_000_000))
            raw_peer.writer.write(b"".join(parts[:-1]))
            if connection_number == 0:
                raw_peer.writer.write(parts[-1][:-1])
            await raw_peer.writer.drain()
            raw_peer.writer.close()

        await self._start_faulty_peer(serve)
        for _ in range(2):
            error = await self._request_expecting_error("/a")
            self.assertEqual((error.code, error.verdict),
                             (errors.ErrorCode.PEER_FAILED, _MAY_HAVE_RUN))
            await self.wait_until(lambda: not self.pool.get_peers())

    async def test_incomplete_replies_are_bounded(self) -> None:
        """Guards against incomplete replies that fill the memory."""

        async def serve(raw_peer: doubles.RawPeer, _: int) -> None:
            raw_peer.send_hello()
            first_request = await raw_peer.receive_message(peers.ForwardRequest)
            for index in range(4):
                raw_peer.send(_messages.ReplyPart(index, 9, bytes(100_000)),
                              first_request.correlation_id)
            second_request = await raw_peer.receive_message(peers.ForwardRequest
                                                           )
            raw_peer.send(_build_response("/b"), second_request.correlation_id)
            await raw_peer.wait_closed()

        await self._start_faulty_peer(
            serve, doubles.SETTINGS._replace(max_partial_reply_bytes=350_000))
        error = await self._request_expecting_error("/a")
        self.assertIn("incomplete replies", str(error))
        self.assertEqual(error.verdict, _MAY_HAVE_RUN)
        self.assertEqual((await self._request("/b")).body, b"/b")

    async def test_silent_peer_is_replaced(self) -> None:
        """Guards against waiting on a connection that stays silent."""

        async def serve(raw_peer: doubles.RawPeer,
                        connection_number: int) -> None:
            raw_peer.send_hello()
            while True:
                frame = await raw_peer.receive()
                if connection_number == 0:
                    continue
                raw_peer.send(_messages.Heartbeat())
                if isinstance(frame.message, peers.ForwardRequest):
                    raw_peer.send(_build_response(frame.message.path),
                                  frame.correlation_id)

        await self._start_faulty_peer(serve)
        started_at = time.monotonic()
        error = await self._request_expecting_error("/first")
        silence_limit_seconds = doubles.SETTINGS.silence_limit.total_seconds()
        self.assertLess(time.monotonic() - started_at,
                        3 * silence_limit_seconds)
        self.assertEqual((error.code, error.verdict),
                         (errors.ErrorCode.PEER_FAILED, _MAY_HAVE_RUN))
        self.assertEqual((await self._request("/second")).body, b"/second")
        await asyncio.sleep(2 * silence_limit_seconds)
        self.assertEqual(len(self.raw_peers), 2)

    async def test_suspected_connection_is_closed_after_replacement(
            self) -> None:
        """Guards against one more open connection after each short silence."""
        closed_connections: list[int] = []

        async def serve(raw_peer: doubles.RawPeer,
                        connection_number: int) -> None:
            raw_peer.send_hello()
            closed_task = asyncio.create_task(raw_peer.wait_closed())
            if connection_number == 0:
                await asyncio.sleep(
                    3 * doubles.SETTINGS.suspect_limit.total_seconds())
            while not closed_task.done():
                raw_peer.send(_messages.Heartbeat())
                await asyncio.sleep(0.01)
            closed_connections.append(connection_number)

        await self._start_faulty_peer(
            serve,
            doubles.SETTINGS._replace(silence_limit=doubles.WAIT_TIMEOUT / 2))
        await self.wait_until(lambda: closed_connections)
        self.assertEqual(closed_connections, [0])
        self.assertEqual(self.get_error_texts(peers.PeerEventKind.BROKEN), [])
        self.assertTrue(self.pool.get_peers())

    async def test_only_unsent_requests_did_not_run(self) -> None:
        """Guards against retrying a request that the peer may have received."""
        listener = socket.create_server((doubles.HOST, 0))
        listener.setblocking(False)
        self.addCleanup(listener.close)
        self.pool = await self.start_pool("%s:%d" % listener.getsockname())
        loop = asyncio.get_running_loop()
        peer_socket, _ = await loop.sock_accept(listener)
        self.addCleanup(peer_socket.close)
        await loop.sock_sendall(
            peer_socket, _codec.encode_frame(0, 0,
                                             peers.Hello("raw", "north-1")))
        await self.wait_until(self.pool.get_peers)
        requests = [
            doubles.build_request(f"/{index}")._replace(body=bytes(900_000))
            for index in range(20)
        ]
        [address] = self.pool.get_peers()
        pending_results = asyncio.gather(*(self.pool.request(
            address, request, doubles.WAIT_TIMEOUT) for request in requests),
                                         return_exceptions=True)
        heartbeat = _codec.encode_frame(1, 0, _messages.Heartbeat())
        for _ in range(8):
            await loop.sock_sendall(peer_socket, heartbeat)
            await asyncio.sleep(0.01)
        # After these heartbeats, the daemon detects the stalled write before
        # the silence and closes the connection. Another heartbeat at that time
        # could reset the connection, and the peer could then no longer read
        # the requests that it has received.
        results = await pending_results
        received_paths = await self._read_paths(peer_socket)
        verdicts = [error.verdict for error in results]
        self.assertEqual(set(verdicts), {_DID_NOT_RUN, _MAY_HAVE_RUN})
        unsent_paths = [
            request.path
            for request, verdict in zip(requests, verdicts)
            if verdict is _DID_NOT_RUN
        ]
        self.assertGreater(len(received_paths), 0)
        self.assertEqual(set(received_paths) & set(unsent_paths), set())
        self.assertIn("stopped reading",
                      self.get_error_texts(peers.PeerEventKind.BROKEN)[0])

    async def test_outgoing_requests_are_bounded(self) -> None:
        """Guards against requests to a peer that hangs filling the memory."""

        async def serve(raw_peer: doubles.RawPeer, _: int) -> None:
            raw_peer.send_hello()
            raw_peer.writer.transport.pause_reading()
            await asyncio.sleep(doubles.WAIT_TIMEOUT.total_seconds())

        await self._start_faulty_peer(
            serve, doubles.SETTINGS._replace(max_outgoing_bytes=4_000_000))
        await self.wait_until(self.pool.get_peers)
        request = doubles.build_request("/a")._replace(body=bytes(900_000))
        results = await asyncio.gather(*(self.pool.request(
            self.address, request, doubles.WAIT_TIMEOUT) for _ in range(20)),
                                       return_exceptions=True)
        refused_verdicts = [
            error.verdict
            for error in results
            if error.code is errors.ErrorCode.OVERLOADED
        ]
        self.assertGreaterEqual(len(refused_verdicts), 10)
        self.assertEqual(set(refused_verdicts), {_DID_NOT_RUN})
        oversized_results = await asyncio.gather(self.pool.request(
            self.address, request._replace(body=bytes(2**20)),
            doubles.WAIT_TIMEOUT),
                                                 return_exceptions=True)
        self.assertEqual(oversized_results[0].verdict, _DID_NOT_RUN)

    async def test_peers_that_cannot_be_used_are_dialled_with_pauses(
            self) -> None:
        """Guards against dialing without delay and unreported failures."""

        async def send_unsupported_version(raw_peer: doubles.RawPeer,
                                           _: int) -> None:
            raw_peer.send_hello((9,))
            await raw_peer.wait_closed()

        async def close_after_hello(raw_peer: doubles.RawPeer, _: int) -> None:
            raw_peer.send_hello()
            raw_peer.writer.close()

        async def send_nothing(raw_peer: doubles.RawPeer, _: int) -> None:
            await raw_peer.wait_closed()

        for serve, expected_error in ((send_unsupported_version,
                                       "protocol versions"),
                                      (close_after_hello, ""), (send_nothing,
                                                                "")):
            self.raw_peers.clear()
            self.events.clear()
            await self._start_faulty_peer(serve)
            await asyncio.sleep(0.4)
            self.assertGreaterEqual(len(self.raw_peers), 1, serve.__name__)
            self.assertLess(len(self.raw_peers), 60, serve.__name__)
            if expected_error:
                self.assertIn(
                    expected_error,
                    self.get_error_texts(peers.PeerEventKind.DIAL_FAILED)[0])
            await self.pool.close()

    async def test_mutated_replies_are_never_mixed(self) -> None:
        """Guards against matching a damaged reply to another request."""

        async def serve(raw_peer: doubles.RawPeer,
                        connection_number: int) -> None:
            raw_peer.send_hello()
            frames = [
                await raw_peer.receive_message(peers.ForwardRequest)
                for _ in range(3)
            ]
            stream = b"".join(
                _codec.encode_frame(1, frame.correlation_id,
                                    _build_response(frame.message.path * 9))
                for frame in reversed(frames))
            raw_peer.writer.write(
                doubles.mutate(random.Random(connection_number), stream))
            raw_peer.writer.write_eof()
            await raw_peer.wait_closed()

        await self._start_faulty_peer(
            serve,
            doubles.SETTINGS._replace(min_backoff=datetime.timedelta(),
                                      max_backoff=datetime.timedelta()))
        answered_count = 0
        paths = [f"/{letter * 8}" for letter in "abc"]
        for _ in _MUTATION_ROUNDS:
            await self.wait_until(self.pool.get_peers)
            results = await asyncio.gather(
                *(self._request(path) for path in paths),
                return_exceptions=True)
            for path, result in zip(paths, results):
                if isinstance(result, errors.RequestError):
                    self.assertEqual(result.verdict, _MAY_HAVE_RUN)
                    continue
                answered_count += 1
                other_paths = set(paths) - {path}
                self.assertFalse(
                    any(other.encode() in result.body for other in other_paths))
            await self.wait_until(lambda: not self.pool.get_peers())
        self.assertGreater(answered_count, len(_MUTATION_ROUNDS) // 2)
