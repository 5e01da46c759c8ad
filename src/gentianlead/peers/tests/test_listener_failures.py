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

_SILENCE_LIMIT_SECONDS = doubles.SETTINGS.silence_limit.total_seconds()
_MUTATION_SEEDS = range(150)


def _encode_frame(message: _messages.Message,
                  correlation_id: int = 0,
                  version: int = 1) -> bytes:
    return _codec.encode_frame(version, correlation_id, message)


def _pack_frame(*values: object) -> bytes:
    body = msgpack.packb(values)
    return len(body).to_bytes(4, "big") + body


_HELLO_FRAME = _encode_frame(peers.Hello("raw", "north-1"), 0, 0)
_REQUEST_FRAME = _encode_frame(doubles.build_request("/raw"), 1)

_MALFORMED_STREAMS = (
    (_encode_frame(_messages.Heartbeat()), "before hello"),
    (_HELLO_FRAME + _HELLO_FRAME, "of protocol version 0"),
    (_HELLO_FRAME + _encode_frame(peers.Hello("raw", "x")), "unexpected Hello"),
    (_HELLO_FRAME + b"\xff\xff\xff\xff", "exceeds"),
    (_HELLO_FRAME + b"\0\0\0\1\xc1", "malformed"),
    (_HELLO_FRAME + _pack_frame(1, 99, 0), "unknown message kind"),
    (_HELLO_FRAME + _pack_frame(1, 3, 1, "previews"), "malformed"),
    (_HELLO_FRAME + _encode_frame(_messages.Heartbeat(), 0, 2), "version 2"),
    (_HELLO_FRAME + _REQUEST_FRAME + _REQUEST_FRAME, "does not follow"),
    (_HELLO_FRAME + _encode_frame(_messages.Cancel(), 5), "never sent"),
    (_HELLO_FRAME + _encode_frame(ports.HttpResponse(200, (), b""), 1),
     "never sent"),
    (_HELLO_FRAME + _encode_frame(_messages.ReplyPart(0, 2, b""), 1),
     "never sent"),
    (_HELLO_FRAME +
     _encode_frame(_messages.Refusal("X", "go away", errors.Verdict.RAN)),
     "go away"),
)


class ListenerFailuresTest(doubles.LoopbackTestCase):
    """A faulty peer affects no connection but its own.

    A healthy peer is connected during each test.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.handler = doubles.EchoHandler()
        self.server = await self.start_server(self.handler)
        self.pool = await self.start_pool(self.server.address)
        await self.wait_until(self.pool.get_peers)

    async def asyncTearDown(self) -> None:
        """Checks that the first connection of the healthy peer still works."""
        reply = await self.pool.request(self.server.address,
                                        doubles.build_request("/sound"),
                                        doubles.WAIT_TIMEOUT)
        self.assertEqual(reply.body, b"/sound")
        healthy_event_kinds = [
            event.kind for event in self.events if event.peer == "server#1"
        ]
        self.assertEqual(healthy_event_kinds, [peers.PeerEventKind.CONNECTED])

    async def _open_raw_peer(self, server: peers.PeerServer) -> doubles.RawPeer:
        host, port = server.address.split(":")
        raw_peer = doubles.RawPeer(
            *await asyncio.open_connection(host, int(port)))
        self.addCleanup(raw_peer.close)
        return raw_peer

    async def _connect_and_send_hello(
            self, server: peers.PeerServer) -> doubles.RawPeer:
        raw_peer = await self._open_raw_peer(server)
        raw_peer.send_hello()
        await raw_peer.receive_message(peers.Hello)
        return raw_peer

    async def test_malformed_input_closes_only_its_connection(self) -> None:
        """Guards against accepting malformed input or failing because of it."""
        for stream, expected_error in _MALFORMED_STREAMS:
            raw_peer = await self._open_raw_peer(self.server)
            raw_peer.writer.write(stream)
            await asyncio.wait_for(raw_peer.wait_closed(), 5)
            broken_errors = self.get_error_texts(peers.PeerEventKind.BROKEN)
            self.assertIn(expected_error, broken_errors[-1])
        self.assertEqual(len(broken_errors), len(_MALFORMED_STREAMS))

    async def test_end_inside_a_frame_is_reported(self) -> None:
        """Guards against treating a truncated frame as an orderly end."""
        raw_peer = await self._connect_and_send_hello(self.server)
        raw_peer.writer.write(_REQUEST_FRAME[:-1])
        raw_peer.writer.write_eof()
        await asyncio.wait_for(raw_peer.wait_closed(), 5)
        self.assertEqual(self.get_error_texts(peers.PeerEventKind.BROKEN),
                         ["stream ended inside a frame"])
        self.assertEqual(self.handler.started_paths, [])

    async def test_other_protocol_version_is_refused_in_hello(self) -> None:
        """Guards against a refusal that operators cannot understand."""
        raw_peer = await self._open_raw_peer(self.server)
        raw_peer.send_hello((8, 9))
        frame = await raw_peer.receive_message(_messages.Refusal)
        self.assertEqual((frame.correlation_id, frame.message.code),
                         (0, "PROTOCOL_ERROR"))
        for part in ("'raw'", "[8, 9]", "'server#1'", "[1]"):
            self.assertIn(part, frame.message.message)
        await asyncio.wait_for(raw_peer.wait_closed(), 5)

    async def test_newer_peer_with_more_fields_is_served(self) -> None:
        """Guards against refusing newer daemons during an upgrade.

        A newer daemon sends additional fields at the end of its messages.
        """
        raw_peer = await self._open_raw_peer(self.server)
        raw_peer.writer.write(
            _pack_frame(0, 1, 0, "raw", "north-1", [1, 2], "more") +
            _pack_frame(1, 3, 1, *doubles.build_request("/a"), "more",
                        {"even": 1}))
        frame = await raw_peer.receive_message(ports.HttpResponse)
        self.assertEqual(frame.message.body, b"/a")

    async def test_peer_without_hello_or_heartbeats_is_closed(self) -> None:
        """Guards against keeping connections to peers that do not work.

        One peer sends its hello too slowly, one sends nothing, and one sends a
        hello but no heartbeats.
        """
        trickling_peer, silent_peer, greeted_peer = (await self._open_raw_peer(
            self.server), await self._open_raw_peer(
                self.server), await self._connect_and_send_hello(self.server))
        for raw_peer in (trickling_peer, silent_peer, greeted_peer):
            started_at = time.monotonic()
            closed_task = asyncio.create_task(raw_peer.wait_closed())
            while raw_peer is trickling_peer and not closed_task.done():
                raw_peer.writer.write(b"\0")
                await asyncio.sleep(_SILENCE_LIMIT_SECONDS / 10)
            await asyncio.wait_for(closed_task, 5)
            self.assertLess(time.monotonic() - started_at,
                            3 * _SILENCE_LIMIT_SECONDS)

    async def test_peer_that_stops_reading_fills_no_memory(self) -> None:
        """Guards against unbounded replies in memory for a peer that hangs."""
        raw_peer = await self._connect_and_send_hello(self.server)
        await self.wait_until(
            lambda: all(link.peer is not None for link in self.server.links))
        link = next(
            link for link in self.server.links if link.peer.name == "raw")
        max_unsent_bytes = 0
        correlation_id = 0
        started_at = time.monotonic()
        while not link.is_closed:
            self.assertLess(time.monotonic() - started_at,
                            20 * _SILENCE_LIMIT_SECONDS)
            for _ in range(4):
                correlation_id += 1
                raw_peer.send(doubles.build_request("/big", 900_000),
                              correlation_id)
            raw_peer.send(_messages.Heartbeat())
            await asyncio.sleep(0.002)
            max_unsent_bytes = max(max_unsent_bytes, link.unsent_bytes)
        outgoing_limit = doubles.SETTINGS.max_outgoing_bytes
        self.assertGreater(max_unsent_bytes, outgoing_limit // 4)
        self.assertLessEqual(max_unsent_bytes, outgoing_limit * 3 // 4)
        self.assertIn("stopped reading",
                      self.get_error_texts(peers.PeerEventKind.BROKEN)[0])

    async def test_cancel_reaches_the_handler(self) -> None:
        """Guards against work on a request after its caller has given up."""
        self.handler.release_events = {
            "/a": asyncio.Event(),
            "/b": asyncio.Event()
        }
        raw_peer = await self._connect_and_send_hello(self.server)
        raw_peer.send(doubles.build_request("/a"), 1)
        raw_peer.send(doubles.build_request("/b"), 2)
        await self.wait_until(lambda: len(self.handler.started_paths) == 2)
        raw_peer.send(_messages.Cancel(), 1)
        await self.wait_until(lambda: self.handler.cancelled_paths == ["/a"])
        raw_peer.send(_messages.Cancel(), 1)
        self.handler.release_events["/b"].set()
        frame = await raw_peer.receive_message(ports.HttpResponse)
        self.assertEqual((frame.correlation_id, frame.message.body), (2, b"/b"))
        self.handler.release_events["/c"] = asyncio.Event()
        raw_peer.send(doubles.build_request("/c"), 3)
        await self.wait_until(lambda: "/c" in self.handler.started_paths)
        raw_peer.close()
        await self.wait_until(
            lambda: self.handler.cancelled_paths == ["/a", "/c"])

    async def test_too_many_requests_are_refused_as_not_run(self) -> None:
        """Guards against a peer that starts any number of requests."""
        settings = doubles.SETTINGS._replace(max_incoming_requests=2)
        self.handler.release_events["/a"] = asyncio.Event()
        raw_peer = await self._connect_and_send_hello(await self.start_server(
            self.handler, settings))
        for correlation_id in (1, 2, 3):
            raw_peer.send(doubles.build_request("/a"), correlation_id)
        frame = await raw_peer.receive_message(_messages.Refusal)
        self.assertEqual(
            (frame.correlation_id, frame.message.code, frame.message.verdict),
            (3, "OVERLOADED", errors.Verdict.DID_NOT_RUN))
        self.assertEqual(len(self.handler.started_paths), 2)

    async def test_mutated_streams_harm_nobody_else(self) -> None:
        """Guards against damaged frames that affect other connections."""
        valid_stream = (_HELLO_FRAME + _REQUEST_FRAME +
                        _encode_frame(peers.LoanRequest("worker-1", 1, 10), 2) +
                        _encode_frame(peers.StatusQuery("members"), 3) +
                        _encode_frame(_messages.Cancel(), 1) +
                        _encode_frame(peers.LoanReturn("loan")))
        for seed in _MUTATION_SEEDS:
            raw_peer = await self._open_raw_peer(self.server)
            raw_peer.writer.write(
                doubles.mutate(random.Random(seed), valid_stream))
            raw_peer.writer.write_eof()
            await asyncio.wait_for(raw_peer.wait_closed(), 5)
        await self.wait_until(lambda: len(self.server.links) == 1)
        self.assertEqual(
            self.get_error_texts(peers.PeerEventKind.HANDLER_FAILED), [])
