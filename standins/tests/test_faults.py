"""Tests of the fault switches, over real connections."""

import asyncio
import socket
from typing import Any, Awaitable
import unittest

import aiohttp
import msgpack

from standins import _control
from standins import _endpoint
from standins import _journal
from standins import _target
from standins import log
from standins import relay

_SHORT_SECONDS = 0.2
_LONG_SECONDS = 5.0


class _PortTest(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: a log service with a control and a client."""

    async def asyncSetUp(self) -> None:
        self.journal = _journal.Journal("log")
        self.log = log.LogStandIn(self.journal, log.Retention(), 0.0)
        await self.log.endpoint.open(0)
        self.addCleanup(self.log.endpoint.close)
        self.control = _control.Control(self.journal, [self.log.endpoint])
        await self.control.endpoint.open(0)
        self.addCleanup(self.control.endpoint.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.port = self.log.endpoint.port

    async def command(self, action: str, **fields: Any) -> None:
        """Sends a control command."""
        url = f"http://{_endpoint.HOST}:{self.control.endpoint.port}/control"
        async with self.session.post(url, json={
                "action": action,
                **fields
        }) as response:
            self.assertEqual(response.status, 200, await response.text())

    async def append(self) -> int:
        async with self.session.post(self._get_url(),
                                     data=msgpack.packb([b"x"])) as response:
            return msgpack.unpackb(await response.read())["first"]

    async def read(self) -> int:
        async with self.session.get(self._get_url()) as response:
            return len(msgpack.unpackb(await response.read())["records"])

    def _get_url(self) -> str:
        return f"http://{_endpoint.HOST}:{self.port}/streams/s/records"

    async def assert_hangs(self, call: Awaitable[object]) -> None:
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(call, _SHORT_SECONDS)

    async def assert_answers(self, call: Awaitable[int], value: int) -> None:
        self.assertEqual(await asyncio.wait_for(call, _LONG_SECONDS), value)


class FaultSwitchTest(_PortTest):
    """Effect of each fault and the end of it."""

    async def test_down_refuses_connections(self) -> None:
        """Guards against a stopped service that still accepts."""
        await self.command("fault", kind="down")
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.append()
        await self.command("clear")
        await self.assert_answers(self.append(), 0)

    async def test_down_keeps_the_port(self) -> None:
        """Guards against another process that takes the port meanwhile.

        The stopped service could then not be started again.
        """
        await self.command("fault", kind="down")
        with socket.socket() as other:
            with self.assertRaises(OSError):
                other.bind((_endpoint.HOST, self.port))
        await self.command("clear")
        await self.assert_answers(self.append(), 0)

    async def test_lost_reply_keeps_the_write(self) -> None:
        """Guards against a lost reply that also loses the write."""
        await self.command("fault", kind="lose_reply", method="POST", count=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.append()
        await self.assert_answers(self.read(), 1)
        await self.assert_answers(self.append(), 1)

    async def test_close_does_not_write(self) -> None:
        """Guards against a write behind a connection closed before it."""
        await self.command("fault", kind="close", method="POST", count=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.append()
        await self.assert_answers(self.read(), 0)

    async def test_cut_short_is_noticed(self) -> None:
        """Guards against a cut answer that looks whole."""
        await self.command("fault", kind="cut_short", count=1)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.read()

    async def test_freeze_holds_until_cleared(self) -> None:
        """Guards against a frozen service that writes or never thaws."""
        await self.command("fault", kind="freeze")
        call = asyncio.create_task(self.append())
        await self.assert_hangs(asyncio.shield(call))
        self.assertEqual(self.log.get_stream("s").next_offset, 0)
        await self.command("clear")
        await self.assert_answers(call, 0)

    async def test_late_reply_follows_the_write(self) -> None:
        """Guards against a late reply that delays the write instead."""
        await self.command("fault", kind="late", ms=60_000, count=1)
        await self.assert_hangs(self.append())
        await self.assert_answers(self.read(), 1)

    async def test_silent_connections_stay_silent(self) -> None:
        """Guards against a silent connection that answers again."""
        await self.assert_answers(self.append(), 0)
        await self.command("fault", kind="silent")
        await self.assert_hangs(self.append())
        await self.assert_answers(self.append(), 1)

    async def test_retention_now(self) -> None:
        """Guards against records that outlive a forced expiry."""
        await self.append()
        await self.append()
        self.log.expire_now({"keep": 1})
        async with self.session.get(self._get_url()) as response:
            self.assertEqual(response.status, 410)


class TargetTest(_PortTest):
    """Limits of a target."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.target = _target.Target("w-1", "north-1", 2, 3, self.journal)
        await self.target.endpoint.open(0)
        self.addCleanup(self.target.endpoint.close)

    async def ask(self, work_ms: int) -> int:
        """Sends a request and returns the status."""
        url = f"http://{_endpoint.HOST}:{self.target.endpoint.port}/"
        async with self.session.get(url,
                                    params={"work_ms": work_ms}) as response:
            if response.status == 503:
                self.assertEqual(response.headers["X-Not-Run"], "1")
            return response.status

    def count(self, kind: str) -> int:
        """Returns the number of journal entries of a kind."""
        return len(self.journal.select(0, frozenset({kind})))

    async def test_slots_are_enforced(self) -> None:
        """Guards against a target that runs more than its slots."""
        statuses = await asyncio.gather(*(self.ask(100) for _ in range(3)))
        self.assertEqual(sorted(statuses), [200, 200, 503])
        self.assertEqual(self.count("slot_overrun"), 1)
        self.assertEqual(await self.ask(0), 200)

    async def test_connections_are_enforced(self) -> None:
        """Guards against a limit that counts closed connections."""
        for _ in range(5):
            _, writer = await asyncio.open_connection(_endpoint.HOST,
                                                      self.target.endpoint.port)
            writer.close()
            await writer.wait_closed()
        self.assertEqual(self.count("connection_overrun"), 0)
        writers = [(await asyncio.open_connection(_endpoint.HOST,
                                                  self.target.endpoint.port))[1]
                   for _ in range(4)]
        await asyncio.sleep(_SHORT_SECONDS)
        self.assertEqual(self.count("connection_overrun"), 1)
        for writer in writers:
            writer.close()

    async def test_leaving_target_refuses(self) -> None:
        """Guards against a leaving target that runs new requests."""
        self.target.is_leaving = True
        self.assertEqual(await self.ask(0), 503)
        self.assertEqual(self.count("request"), 0)


class RelayTest(_PortTest):
    """Cuts of a relayed link."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.link = relay.Link("log", self.log.endpoint.port)
        await self.link.open(0)
        self.addCleanup(self.link.close)
        self.relay = relay.Relay([self.link], self.journal)
        self.port = self.link.port

    async def test_drop_cuts_both_old_and_new_connections(self) -> None:
        """Guards against bytes that pass a partition."""
        await self.assert_answers(self.append(), 0)
        self.relay.set_link({"mode": "drop"})
        await self.assert_hangs(self.append())
        await self.assert_hangs(self.append())
        self.assertEqual(self.log.get_stream("s").next_offset, 1)
        self.relay.set_link({"mode": "pass"})
        await self.assert_answers(self.append(), 1)

    async def test_one_way_drop_loses_the_reply_only(self) -> None:
        """Guards against a one-way cut that acts on the other direction."""
        await self.assert_answers(self.append(), 0)
        self.relay.set_link({"mode": "drop", "direction": "from_target"})
        await self.assert_hangs(self.append())
        self.assertEqual(self.log.get_stream("s").next_offset, 2)

    async def test_silenced_connections_stay_silent(self) -> None:
        """Guards against new connections that are cut with the old ones."""
        await self.assert_answers(self.append(), 0)
        self.relay.set_link({"mode": "drop", "scope": "existing"})
        await self.assert_hangs(self.append())
        await self.assert_answers(self.append(), 1)

    async def test_hold_delivers_afterwards(self) -> None:
        """Guards against bytes that are lost while they are held."""
        await self.assert_answers(self.append(), 0)
        self.relay.set_link({"mode": "hold"})
        call = asyncio.create_task(self.append())
        await self.assert_hangs(asyncio.shield(call))
        self.relay.set_link({"mode": "pass"})
        await self.assert_answers(call, 1)

    async def test_reset_breaks_connections(self) -> None:
        """Guards against connections that survive a reset."""
        self.relay.set_link({"mode": "reset"})
        with self.assertRaises(aiohttp.ClientError):
            await self.append()

    async def test_delay_keeps_the_order(self) -> None:
        """Guards against bytes that overtake others when a delay ends."""
        self.relay.set_link({"delay_ms": 50})
        calls = asyncio.gather(*(self.append() for _ in range(5)))
        self.assertEqual(sorted(await calls), list(range(5)))
