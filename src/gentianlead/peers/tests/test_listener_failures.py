"""Tests of a listener with faulty peers."""

import asyncio
import random
import time

import msgpack

from gentianlead import errors
from gentianlead import peers
from gentianlead import ports
from gentianlead.peers import _codec
from gentianlead.peers import _messages
from gentianlead.peers.tests import doubles

_SILENCE = doubles.SETTINGS.silence_limit.total_seconds()
_STREAM_SEEDS = range(150)


def _frame(message: _messages.Message,
           correlation_id: int = 0,
           version: int = 1) -> bytes:
    return _codec.encode_frame(version, correlation_id, message)


def _pack(*values: object) -> bytes:
    body = msgpack.packb(values)
    return len(body).to_bytes(4, "big") + body


_HELLO = _frame(peers.Hello("raw", "north-1"), 0, 0)
_REQUEST = _frame(doubles.build_request("/raw"), 1)

_BAD_STREAMS = (
    (_frame(_messages.Heartbeat()), "before hello"),
    (_HELLO + _HELLO, "of protocol version 0"),
    (_HELLO + _frame(peers.Hello("raw", "x")), "unexpected Hello"),
    (_HELLO + b"\xff\xff\xff\xff", "exceeds"),
    (_HELLO + b"\0\0\0\1\xc1", "malformed"),
    (_HELLO + _pack(1, 99, 0), "unknown message kind"),
    (_HELLO + _pack(1, 3, 1, "previews"), "malformed"),
    (_HELLO + _frame(_messages.Heartbeat(), 0, 2), "version 2"),
    (_HELLO + _REQUEST + _REQUEST, "does not follow"),
    (_HELLO + _frame(_messages.Cancel(), 5), "never sent"),
    (_HELLO + _frame(ports.HttpResponse(200, (), b""), 1), "never sent"),
    (_HELLO + _frame(_messages.AnswerPart(0, 2, b""), 1), "never sent"),
    (_HELLO + _frame(_messages.Refusal("X", "go away", errors.Verdict.RAN)),
     "go away"),
)


class ListenerFailuresTest(doubles.LoopbackTestCase):
    """A faulty peer harms nothing but its own connection."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.handler = doubles.EchoHandler()
        self.server = await self.start_server(self.handler)
        self.pool = await self.start_pool(self.server.address)
        await self.wait_until(self.pool.get_peers)

    async def asyncTearDown(self) -> None:
        """Checks that the sound peer is served on its first connection."""
        reply = await self.pool.request(self.server.address,
                                        doubles.build_request("/sound"),
                                        doubles.WAIT)
        self.assertEqual(reply.body, b"/sound")
        sound = [
            event.kind for event in self.events if event.peer == "server#1"
        ]
        self.assertEqual(sound, [peers.PeerEventKind.CONNECTED])

    async def _connect(self, server: peers.PeerServer) -> doubles.RawPeer:
        host, port = server.address.split(":")
        raw = doubles.RawPeer(*await asyncio.open_connection(host, int(port)))
        self.addCleanup(raw.close)
        return raw

    async def _greet(self, server: peers.PeerServer) -> doubles.RawPeer:
        raw = await self._connect(server)
        raw.greet()
        await raw.receive_message(peers.Hello)
        return raw

    async def test_bad_input_closes_only_its_stream(self) -> None:
        """Guards against input that stops the daemon or is let through."""
        for stream, expected in _BAD_STREAMS:
            raw = await self._connect(self.server)
            raw.writer.write(stream)
            await asyncio.wait_for(raw.wait_closed(), 5)
            broken = self.get_errors(peers.PeerEventKind.BROKEN)
            self.assertIn(expected, broken[-1])
        self.assertEqual(len(broken), len(_BAD_STREAMS))

    async def test_end_inside_a_frame_is_reported(self) -> None:
        """Guards against a truncated frame that passes for an orderly end."""
        raw = await self._greet(self.server)
        raw.writer.write(_REQUEST[:-1])
        raw.writer.write_eof()
        await asyncio.wait_for(raw.wait_closed(), 5)
        self.assertEqual(self.get_errors(peers.PeerEventKind.BROKEN),
                         ["stream ended inside a frame"])
        self.assertEqual(self.handler.started, [])

    async def test_other_protocol_version_is_refused_in_hello(self) -> None:
        """Guards against a refusal that operators cannot understand."""
        raw = await self._connect(self.server)
        raw.greet((8, 9))
        frame = await raw.receive_message(_messages.Refusal)
        self.assertEqual((frame.correlation_id, frame.message.code),
                         (0, "PROTOCOL_ERROR"))
        for part in ("'raw'", "[8, 9]", "'server#1'", "[1]"):
            self.assertIn(part, frame.message.message)
        await asyncio.wait_for(raw.wait_closed(), 5)

    async def test_newer_peer_with_more_fields_is_served(self) -> None:
        """Guards against an upgrade that cuts the old daemons off."""
        raw = await self._connect(self.server)
        raw.writer.write(
            _pack(0, 1, 0, "raw", "north-1", [1, 2], "more") +
            _pack(1, 3, 1, *doubles.build_request("/a"), "more", {"even": 1}))
        frame = await raw.receive_message(ports.HttpResponse)
        self.assertEqual(frame.message.body, b"/a")

    async def test_peer_without_hello_or_heartbeats_is_closed(self) -> None:
        """Guards against connections that are held open for nothing."""
        drip, silent, greeted = (await self._connect(self.server), await
                                 self._connect(self.server), await
                                 self._greet(self.server))
        for raw in (drip, silent, greeted):
            started = time.monotonic()
            closed = asyncio.create_task(raw.wait_closed())
            while raw is drip and not closed.done():
                raw.writer.write(b"\0")
                await asyncio.sleep(_SILENCE / 10)
            await asyncio.wait_for(closed, 5)
            self.assertLess(time.monotonic() - started, 3 * _SILENCE)

    async def test_peer_that_stops_reading_fills_no_memory(self) -> None:
        """Guards against answers that pile up for a peer that is stuck."""
        raw = await self._greet(self.server)
        await self.wait_until(
            lambda: all(link.peer is not None for link in self.server.links))
        link = next(
            link for link in self.server.links if link.peer.name == "raw")
        most = 0
        correlation_id = 0
        started = time.monotonic()
        while not link.is_closed:
            self.assertLess(time.monotonic() - started, 20 * _SILENCE)
            for _ in range(4):
                correlation_id += 1
                raw.send(doubles.build_request("/big", 900_000), correlation_id)
            raw.send(_messages.Heartbeat())
            await asyncio.sleep(0.002)
            most = max(most, link.waiting_bytes)
        limit = doubles.SETTINGS.max_outgoing_bytes
        self.assertGreater(most, limit // 4)
        self.assertLessEqual(most, limit * 3 // 4)
        self.assertIn("stopped reading",
                      self.get_errors(peers.PeerEventKind.BROKEN)[0])

    async def test_cancel_reaches_the_handler(self) -> None:
        """Guards against work for a request that nobody waits for."""
        self.handler.gates = {"/a": asyncio.Event(), "/b": asyncio.Event()}
        raw = await self._greet(self.server)
        raw.send(doubles.build_request("/a"), 1)
        raw.send(doubles.build_request("/b"), 2)
        await self.wait_until(lambda: len(self.handler.started) == 2)
        raw.send(_messages.Cancel(), 1)
        await self.wait_until(lambda: self.handler.cancelled == ["/a"])
        raw.send(_messages.Cancel(), 1)
        self.handler.gates["/b"].set()
        frame = await raw.receive_message(ports.HttpResponse)
        self.assertEqual((frame.correlation_id, frame.message.body), (2, b"/b"))
        self.handler.gates["/c"] = asyncio.Event()
        raw.send(doubles.build_request("/c"), 3)
        await self.wait_until(lambda: "/c" in self.handler.started)
        raw.close()
        await self.wait_until(lambda: self.handler.cancelled == ["/a", "/c"])

    async def test_too_many_requests_are_refused_as_not_run(self) -> None:
        """Guards against a peer that starts work without bound."""
        settings = doubles.SETTINGS._replace(max_incoming=2)
        self.handler.gates["/a"] = asyncio.Event()
        raw = await self._greet(await self.start_server(self.handler, settings))
        for correlation_id in (1, 2, 3):
            raw.send(doubles.build_request("/a"), correlation_id)
        frame = await raw.receive_message(_messages.Refusal)
        self.assertEqual(
            (frame.correlation_id, frame.message.code, frame.message.verdict),
            (3, "OVERLOADED", errors.Verdict.DID_NOT_RUN))
        self.assertEqual(len(self.handler.started), 2)

    async def test_mutated_streams_harm_nobody_else(self) -> None:
        """Guards against damaged frames that crash or disturb the daemon."""
        valid = (_HELLO + _REQUEST +
                 _frame(peers.LoanAsk("worker-1", 1, 10), 2) +
                 _frame(peers.StatusQuery("members"), 3) +
                 _frame(_messages.Cancel(), 1) +
                 _frame(peers.LoanReturn("loan")))
        for seed in _STREAM_SEEDS:
            raw = await self._connect(self.server)
            raw.writer.write(doubles.mutate(random.Random(seed), valid))
            raw.writer.write_eof()
            await asyncio.wait_for(raw.wait_closed(), 5)
        await self.wait_until(lambda: len(self.server.links) == 1)
        self.assertEqual(self.get_errors(peers.PeerEventKind.HANDLER_FAILED),
                         [])
