"""Tests of heartbeats and of the detection of silent peers."""

import asyncio
import contextlib
import datetime

from gentianlead import peers
from gentianlead.peers import _codec
from gentianlead.peers import _messages
from gentianlead.peers.tests import doubles

_SETTINGS = peers.LinkSettings(
    heartbeat_interval=datetime.timedelta(milliseconds=250),
    suspect_limit=datetime.timedelta(milliseconds=700),
    silence_limit=datetime.timedelta(milliseconds=1500))
_TICK_SECONDS = 0.125
_HEARTBEAT = _codec.encode_frame(1, 0, _messages.Heartbeat())


class LivenessTest(doubles.LoopbackTestCase):
    """A listener whose clock advances only when a test says so."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clock = doubles.ManualClock()
        self.handler = doubles.EchoHandler()
        self.server = await self.start_server(self.handler, _SETTINGS)
        self._last_correlation_id = 0

    async def _connect(self, is_reading: bool = True) -> doubles.RawPeer:
        """Opens a connection whose frames are kept with their time."""
        host, port = self.server.address.split(":")
        raw_peer = doubles.RawPeer(*await asyncio.open_connection(host, port))
        self.addCleanup(raw_peer.close)
        raw_peer.send_hello()
        await raw_peer.receive()
        if is_reading:
            task = asyncio.create_task(self._collect(raw_peer))
            self.addCleanup(task.cancel)
        await self.wait_until(
            lambda: all(link.is_usable for link in self.server.links))
        return raw_peer

    async def _collect(self, raw_peer: doubles.RawPeer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                frame = await raw_peer.receive()
                raw_peer.received.append(
                    (self.clock.monotonic(), type(frame.message)))

    async def _tick(self, seconds: float = _TICK_SECONDS) -> None:
        """Advances the clock and lets the connections exchange their data."""
        self.clock.advance(seconds)
        await self._exchange_data()

    async def _exchange_data(self) -> None:
        for _ in range(8):
            await asyncio.sleep(0.0005)

    def _encode_query(self) -> bytes:
        self._last_correlation_id += 1
        return _codec.encode_frame(1, self._last_correlation_id,
                                   peers.StatusQuery("members"))

    async def test_wakes_do_not_grow_with_connections(self) -> None:
        """Guards against a timer for each connection of a large fleet."""
        raw_peers: list[doubles.RawPeer] = []
        for connection_count in (1, 12):
            while len(raw_peers) < connection_count:
                raw_peers.append(await self._connect())
            await self._tick()
            wakes_before = self.clock.sleep_count
            heartbeats_before = len(raw_peers[-1].received)
            for _ in range(4):
                for raw_peer in raw_peers:
                    raw_peer.writer.write(_HEARTBEAT)
                await self._tick()
            self.assertEqual(self.clock.sleep_count - wakes_before, 4)
            self.assertEqual(len(raw_peers[-1].received) - heartbeats_before, 2)

    async def test_heartbeats_fill_the_gaps_of_other_traffic(self) -> None:
        """Guards against needless heartbeats, and against gaps without data.

        The peer sends a query after each given number of ticks, and gets a
        reply to each at once.
        """
        for ticks_between, heartbeat_count in ((1, 0), (2, 0), (3, 4), (4, 3),
                                               (13, 5)):
            with self.subTest(ticks_between=ticks_between):
                raw_peer = await self._connect()
                await self._tick()
                raw_peer.received.clear()
                times = [self.clock.monotonic()]
                for tick in range(12):
                    if tick % ticks_between == 0:
                        raw_peer.writer.write(self._encode_query())
                        await self._exchange_data()
                    else:
                        raw_peer.writer.write(_HEARTBEAT)
                    await self._tick()
                times += [received_at for received_at, _ in raw_peer.received]
                self.assertLessEqual(
                    max(after - before
                        for before, after in zip(times, times[1:])),
                    3 * _TICK_SECONDS)
                self.assertEqual([kind for _, kind in raw_peer.received
                                 ].count(_messages.Heartbeat), heartbeat_count)
                raw_peer.close()

    async def test_unsent_bytes_replace_no_heartbeat(self) -> None:
        """Guards against counting data that has not left this daemon."""
        raw_peer = await self._connect(is_reading=False)
        raw_peer.writer.transport.pause_reading()
        for correlation_id in range(1, 17):
            raw_peer.send(doubles.build_request("/big", 900_000),
                          correlation_id)
        await self._exchange_data()
        [link] = self.server.links
        for _ in range(4):
            raw_peer.writer.write(_HEARTBEAT)
            await self._tick()
        unsent_before = link.unsent_bytes
        for _ in range(4):
            raw_peer.writer.write(_HEARTBEAT)
            await self._tick()
        self.assertEqual(link.unsent_bytes - unsent_before, 2 * len(_HEARTBEAT))
        self.assertFalse(link.is_usable)

    async def test_silence_is_counted_in_ticks(self) -> None:
        """Guards against other limits of silence than the settings give.

        A peer may send anything, also parts of frames. Only the peers that send
        nothing are suspected after 6 ticks and closed after 12, also while
        this daemon sends to them.
        """
        half = len(_HEARTBEAT) // 2
        cases = (
            ("heartbeats of an older version", lambda tick: _HEARTBEAT, 0, 0),
            ("only requests", lambda tick: self._encode_query(), 0, 0),
            ("parts of heartbeats", lambda tick:
             (_HEARTBEAT[half:], _HEARTBEAT[:half])[tick % 2], 0, 0),
            ("joined heartbeats", lambda tick: _HEARTBEAT * 3, 0, 0),
            ("a heartbeat every fifth tick", lambda tick: _HEARTBEAT *
             (tick % 5 == 0), 0, 0),
            ("nothing", lambda tick: b"", 6, 12),
        )
        for name, build_data, suspected_at, closed_at in cases:
            with self.subTest(name):
                raw_peer = await self._connect()
                [link] = self.server.links
                await self._tick()
                suspected_ticks, closed_ticks = [], []
                for tick in range(1, 25):
                    raw_peer.writer.write(build_data(tick))
                    await self._exchange_data()
                    await self._tick()
                    if not link.is_usable:
                        suspected_ticks.append(tick)
                    if link.is_closed:
                        closed_ticks.append(tick)
                        break
                self.assertEqual(suspected_ticks[:1],
                                 [suspected_at] * bool(suspected_at))
                self.assertEqual(closed_ticks, [closed_at] * bool(closed_at))
                raw_peer.close()
                await self.wait_until(lambda: not self.server.links)

    async def test_pause_counts_as_two_ticks(self) -> None:
        """Guards against closing connections after a pause of this daemon.

        The peer gets a heartbeat at the first tick after the pause.
        """
        raw_peer = await self._connect()
        [link] = self.server.links
        await self._tick()
        for _ in range(2):
            await self._tick(60.0)
        self.assertTrue(link.is_usable)
        self.assertEqual(len(raw_peer.received), 2)

    async def test_fault_in_one_check_affects_no_other_connection(self) -> None:
        """Guards against a callback that ends the checks of all connections."""

        def raise_error(_: peers.PeerEvent) -> None:
            raise KeyError("fault")

        faulty_peer, healthy_peer = [await self._connect() for _ in range(2)]
        faulty_link = next(
            link for link in self.server.links if link.address.endswith(
                f":{faulty_peer.writer.get_extra_info('sockname')[1]}"))
        faulty_link._on_event = raise_error  # pylint: disable=protected-access
        for _ in range(16):
            healthy_peer.writer.write(_HEARTBEAT)
            await self._tick()
        self.assertEqual(
            [str(error["exception"]) for error in self.loop_errors],
            ["'fault'"])
        self.loop_errors.clear()
        self.assertEqual([link.is_usable for link in self.server.links], [True])
        self.assertEqual(len(healthy_peer.received), 7)
