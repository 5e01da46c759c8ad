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

_SHORT = datetime.timedelta(milliseconds=50)
_DID_NOT_RUN = errors.Verdict.DID_NOT_RUN
_MAY_HAVE_RUN = errors.Verdict.MAY_HAVE_RUN
_ANSWER_SEEDS = range(200)


def _answer(text: str, size: int = 0) -> ports.HttpResponse:
    return ports.HttpResponse(200, (), text.encode() + b"-" * size)


class DialerFailuresTest(doubles.LoopbackTestCase):
    """Requests to a faulty peer end with the right verdict and no mix-up."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.raws: list[doubles.RawPeer] = []
        self.address = ""
        self.pool: peers.PeerPool | None = None

    async def _start(self,
                     serve: Callable[[doubles.RawPeer, int], Awaitable[None]],
                     settings: peers.LinkSettings = doubles.SETTINGS) -> None:
        """Starts a faulty peer and a pool that dials it.

        Args:
            serve: Called with each connection and its number from 0.
            settings: Settings of the pool.
        """

        async def accept(reader: asyncio.StreamReader,
                         writer: asyncio.StreamWriter) -> None:
            raw = doubles.RawPeer(reader, writer)
            self.addCleanup(raw.close)
            self.raws.append(raw)
            try:
                await serve(raw, len(self.raws) - 1)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        server = await asyncio.start_server(accept, doubles.HOST, 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.pool = await self.start_pool(self.address, settings)

    async def _request(
            self,
            path: str,
            timeout: datetime.timedelta = doubles.WAIT) -> ports.HttpResponse:
        await self.wait_until(self.pool.get_peers)
        return await self.pool.request(self.address,
                                       doubles.build_request(path), timeout)

    async def _fail(
            self,
            path: str,
            timeout: datetime.timedelta = doubles.WAIT) -> errors.RequestError:
        with self.assertRaises(errors.RequestError) as caught:
            await self._request(path, timeout)
        return caught.exception

    async def _read_paths(self, peer: socket.socket) -> list[str]:
        """Returns the paths of the whole requests that reached a socket."""
        reader = _codec.FrameReader()
        paths = []
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.get_running_loop().sock_recv(
                    peer, 65536):
                frames = map(_codec.decode_body, reader.feed(data))
                paths += [
                    frame.message.path
                    for frame in frames
                    if isinstance(frame.message, peers.ForwardRequest)
                ]
        return paths

    async def test_late_answer_is_dropped(self) -> None:
        """Guards against the answer of an abandoned request for another."""
        cancelled: list[int] = []

        async def serve(raw: doubles.RawPeer, _: int) -> None:
            raw.greet()
            first = await raw.receive_message(peers.ForwardRequest)
            cancel = await raw.receive_message(_messages.Cancel)
            cancelled.append(cancel.correlation_id - first.correlation_id)
            second = await raw.receive_message(peers.ForwardRequest)
            for frame in (first, second, second, first):
                raw.send(_answer(frame.message.path), frame.correlation_id)
            await raw.wait_closed()

        await self._start(serve)
        error = await self._fail("/first", _SHORT)
        self.assertEqual((error.code, error.verdict),
                         (errors.ErrorCode.DEADLINE_EXCEEDED, _MAY_HAVE_RUN))
        self.assertEqual((await self._request("/second")).body, b"/second")
        self.assertEqual(cancelled, [0])
        self.assertEqual(self.get_errors(peers.PeerEventKind.BROKEN), [])

    async def test_cancelled_caller_cancels_at_the_peer(self) -> None:
        """Guards against a request that runs on after its caller left."""
        frames: list[_codec.Frame] = []

        async def serve(raw: doubles.RawPeer, _: int) -> None:
            raw.greet()
            frames.append(await raw.receive_message(peers.ForwardRequest))
            frames.append(await raw.receive_message(_messages.Cancel))

        await self._start(serve)
        task = asyncio.create_task(self._request("/a"))
        await self.wait_until(lambda: frames)
        task.cancel()
        await self.wait_until(lambda: len(frames) == 2)
        self.assertEqual(frames[0].correlation_id, frames[1].correlation_id)

    async def test_replies_that_do_not_fit_break_the_stream(self) -> None:
        """Guards against a reply of a wrong kind or for no request."""
        cases = (
            ("other kind", peers.StatusAnswer(1), 0),
            ("never sent", _answer("x"), 1),
            ("damaged id", _answer("x"), 1 << 24),
            ("part missing", _messages.AnswerPart(1, 3, b"x"), 0),
        )

        async def serve(raw: doubles.RawPeer, number: int) -> None:
            raw.greet()
            frame = await raw.receive_message(peers.ForwardRequest)
            _, reply, difference = cases[number]
            raw.send(reply, frame.correlation_id + difference)
            await raw.wait_closed()

        await self._start(serve)
        for name, _, _ in cases:
            error = await self._fail("/a")
            self.assertEqual((error.code, error.verdict),
                             (errors.ErrorCode.PEER_FAILED, _MAY_HAVE_RUN),
                             name)
            await self.wait_until(lambda: not self.pool.get_peers())

    async def test_break_in_a_long_answer(self) -> None:
        """Guards against a part of an answer that passes for all of it."""

        async def serve(raw: doubles.RawPeer, number: int) -> None:
            raw.greet()
            frame = await raw.receive_message(peers.ForwardRequest)
            parts = _codec.encode_reply(1, frame.correlation_id,
                                        _answer("/long", 3_000_000))
            raw.writer.write(b"".join(parts[:-1]))
            if number == 0:
                raw.writer.write(parts[-1][:-1])
            await raw.writer.drain()
            raw.writer.close()

        await self._start(serve)
        for _ in range(2):
            error = await self._fail("/a")
            self.assertEqual((error.code, error.verdict),
                             (errors.ErrorCode.PEER_FAILED, _MAY_HAVE_RUN))
            await self.wait_until(lambda: not self.pool.get_peers())

    async def test_unfinished_answers_are_bounded(self) -> None:
        """Guards against answers that never end and fill the memory."""

        async def serve(raw: doubles.RawPeer, _: int) -> None:
            raw.greet()
            first = await raw.receive_message(peers.ForwardRequest)
            for index in range(4):
                raw.send(_messages.AnswerPart(index, 9, bytes(100_000)),
                         first.correlation_id)
            second = await raw.receive_message(peers.ForwardRequest)
            raw.send(_answer("/b"), second.correlation_id)
            await raw.wait_closed()

        await self._start(serve,
                          doubles.SETTINGS._replace(max_assembly_bytes=350_000))
        error = await self._fail("/a")
        self.assertIn("unfinished answers", str(error))
        self.assertEqual(error.verdict, _MAY_HAVE_RUN)
        self.assertEqual((await self._request("/b")).body, b"/b")

    async def test_silent_peer_is_replaced(self) -> None:
        """Guards against waiting on a connection that is silent for ever."""

        async def serve(raw: doubles.RawPeer, number: int) -> None:
            raw.greet()
            while True:
                frame = await raw.receive()
                if number == 0:
                    continue
                raw.send(_messages.Heartbeat())
                if isinstance(frame.message, peers.ForwardRequest):
                    raw.send(_answer(frame.message.path), frame.correlation_id)

        await self._start(serve)
        started = time.monotonic()
        error = await self._fail("/first")
        limit = doubles.SETTINGS.silence_limit.total_seconds()
        self.assertLess(time.monotonic() - started, 3 * limit)
        self.assertEqual((error.code, error.verdict),
                         (errors.ErrorCode.PEER_FAILED, _MAY_HAVE_RUN))
        self.assertEqual((await self._request("/second")).body, b"/second")
        await asyncio.sleep(2 * limit)
        self.assertEqual(len(self.raws), 2)

    async def test_recovered_connection_is_not_kept_twice(self) -> None:
        """Guards against connections that pile up with each short silence."""
        closed: list[int] = []

        async def serve(raw: doubles.RawPeer, number: int) -> None:
            raw.greet()
            closing = asyncio.create_task(raw.wait_closed())
            if number == 0:
                await asyncio.sleep(
                    3 * doubles.SETTINGS.suspect_limit.total_seconds())
            while not closing.done():
                raw.send(_messages.Heartbeat())
                await asyncio.sleep(0.01)
            closed.append(number)

        await self._start(
            serve, doubles.SETTINGS._replace(silence_limit=doubles.WAIT / 2))
        await self.wait_until(lambda: closed)
        self.assertEqual(closed, [0])
        self.assertEqual(self.get_errors(peers.PeerEventKind.BROKEN), [])
        self.assertTrue(self.pool.get_peers())

    async def test_only_unsent_requests_did_not_run(self) -> None:
        """Guards against a retry of a request that the peer may have."""
        listener = socket.create_server((doubles.HOST, 0))
        listener.setblocking(False)
        self.addCleanup(listener.close)
        self.pool = await self.start_pool("%s:%d" % listener.getsockname())
        loop = asyncio.get_running_loop()
        peer, _ = await loop.sock_accept(listener)
        self.addCleanup(peer.close)
        await loop.sock_sendall(
            peer, _codec.encode_frame(0, 0, peers.Hello("raw", "north-1")))
        await self.wait_until(self.pool.get_peers)
        requests = [
            doubles.build_request(f"/{index}")._replace(body=bytes(900_000))
            for index in range(20)
        ]
        [address] = self.pool.get_peers()
        waiting = asyncio.gather(*(self.pool.request(address, request,
                                                     doubles.WAIT)
                                   for request in requests),
                                 return_exceptions=True)
        heartbeat = _codec.encode_frame(1, 0, _messages.Heartbeat())
        for _ in range(8):
            await loop.sock_sendall(peer, heartbeat)
            await asyncio.sleep(0.01)
        # The stall is noticed before the silence. A heartbeat at that time
        # could reset the connection, which drops what the peer has to read.
        results = await waiting
        received = await self._read_paths(peer)
        verdicts = [error.verdict for error in results]
        self.assertEqual(set(verdicts), {_DID_NOT_RUN, _MAY_HAVE_RUN})
        unsent = [
            request.path
            for request, verdict in zip(requests, verdicts)
            if verdict is _DID_NOT_RUN
        ]
        self.assertGreater(len(received), 0)
        self.assertEqual(set(received) & set(unsent), set())
        self.assertIn("stopped reading",
                      self.get_errors(peers.PeerEventKind.BROKEN)[0])

    async def test_outgoing_requests_are_bounded(self) -> None:
        """Guards against requests to a stuck peer that fill the memory."""

        async def serve(raw: doubles.RawPeer, _: int) -> None:
            raw.greet()
            raw.writer.transport.pause_reading()
            await asyncio.sleep(doubles.WAIT.total_seconds())

        await self._start(
            serve, doubles.SETTINGS._replace(max_outgoing_bytes=4_000_000))
        await self.wait_until(self.pool.get_peers)
        request = doubles.build_request("/a")._replace(body=bytes(900_000))
        results = await asyncio.gather(*(self.pool.request(
            self.address, request, doubles.WAIT) for _ in range(20)),
                                       return_exceptions=True)
        refused = [
            error.verdict
            for error in results
            if error.code is errors.ErrorCode.OVERLOADED
        ]
        self.assertGreaterEqual(len(refused), 10)
        self.assertEqual(set(refused), {_DID_NOT_RUN})
        too_long = await asyncio.gather(self.pool.request(
            self.address, request._replace(body=bytes(2**20)), doubles.WAIT),
                                        return_exceptions=True)
        self.assertEqual(too_long[0].verdict, _DID_NOT_RUN)

    async def test_peers_that_cannot_be_used_are_dialled_with_pauses(
            self) -> None:
        """Guards against a dial loop without pause and a silent failure."""

        async def refuse(raw: doubles.RawPeer, _: int) -> None:
            raw.greet((9,))
            await raw.wait_closed()

        async def close_after_hello(raw: doubles.RawPeer, _: int) -> None:
            raw.greet()
            raw.writer.close()

        async def say_nothing(raw: doubles.RawPeer, _: int) -> None:
            await raw.wait_closed()

        for serve, expected in ((refuse, "protocol versions"),
                                (close_after_hello, ""), (say_nothing, "")):
            self.raws.clear()
            self.events.clear()
            await self._start(serve)
            await asyncio.sleep(0.4)
            self.assertGreaterEqual(len(self.raws), 1, serve.__name__)
            self.assertLess(len(self.raws), 60, serve.__name__)
            if expected:
                self.assertIn(
                    expected,
                    self.get_errors(peers.PeerEventKind.DIAL_FAILED)[0])
            await self.pool.close()

    async def test_mutated_answers_are_never_mixed(self) -> None:
        """Guards against a damaged frame that gives an answer to another."""

        async def serve(raw: doubles.RawPeer, number: int) -> None:
            raw.greet()
            frames = [
                await raw.receive_message(peers.ForwardRequest)
                for _ in range(3)
            ]
            stream = b"".join(
                _codec.encode_frame(1, frame.correlation_id,
                                    _answer(frame.message.path * 9))
                for frame in reversed(frames))
            raw.writer.write(doubles.mutate(random.Random(number), stream))
            raw.writer.write_eof()
            await raw.wait_closed()

        await self._start(
            serve,
            doubles.SETTINGS._replace(min_backoff=datetime.timedelta(),
                                      max_backoff=datetime.timedelta()))
        answered = 0
        paths = [f"/{letter * 8}" for letter in "abc"]
        for _ in _ANSWER_SEEDS:
            await self.wait_until(self.pool.get_peers)
            results = await asyncio.gather(
                *(self._request(path) for path in paths),
                return_exceptions=True)
            for path, result in zip(paths, results):
                if isinstance(result, errors.RequestError):
                    self.assertEqual(result.verdict, _MAY_HAVE_RUN)
                    continue
                answered += 1
                others = set(paths) - {path}
                self.assertFalse(
                    any(other.encode() in result.body for other in others))
            await self.wait_until(lambda: not self.pool.get_peers())
        self.assertGreater(answered, len(_ANSWER_SEEDS) // 2)
