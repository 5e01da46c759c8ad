"""Tests of reading and appending a stream."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import errors
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.streams.tests import fakes

_SHORT = datetime.timedelta(milliseconds=300)
_LONG = datetime.timedelta(seconds=20)


class StreamClientTest(unittest.IsolatedAsyncioTestCase):
    """Appends with faults, and freshness."""

    async def asyncSetUp(self) -> None:
        self.log = fakes.FakeLog()
        self.client = self.start_client("entry-1#a")

    def start_client(self, writer: str) -> streams.StreamClient:
        """Starts a client that ends with the test."""
        client = streams.StreamClient("once", state.OneTimeRequestStateMachine(), self.log,
                                      adapters.SystemClock(), writer,
                                      datetime.timedelta(milliseconds=10))
        task = asyncio.create_task(client.run())
        self.addCleanup(task.cancel)
        return client

    async def begin(self,
                    client: streams.StreamClient,
                    key: str,
                    timeout: datetime.timedelta = _LONG) -> bool:
        """Submits the begin of a one-time request."""
        record = model.OnceBegun(key, "desk", f"request-{key}")
        applied = await client.submit(record, timeout)
        return applied.verdict.is_accepted

    async def test_lost_reply_appends_once(self) -> None:
        """Guards against a second copy after a reply that was lost."""
        self.log.lose_after = 1
        self.assertTrue(await self.begin(self.client, "k-1"))
        self.assertEqual(len(self.log.records), 1)

    async def test_lost_append_is_sent_again(self) -> None:
        """Guards against a record that is given up after a lost append."""
        self.log.lose_before = 2
        self.assertTrue(await self.begin(self.client, "k-1"))
        self.assertEqual(len(self.log.records), 1)

    async def test_late_copy_has_no_effect(self) -> None:
        """Guards against a delayed copy that takes effect later."""
        self.assertTrue(await self.begin(self.client, "k-1"))
        self.log.records.append(self.log.records[0])
        self.assertTrue(await self.begin(self.client, "k-2"))
        state_machine = self.client.replica.state_machine
        self.assertEqual(len(state_machine), 2)

    async def test_racing_writers_agree(self) -> None:
        """Guards against two winners of one key."""
        other = self.start_client("entry-2#b")
        results = await asyncio.gather(self.begin(self.client, "k-1"),
                                       self.begin(other, "k-1"))
        self.assertEqual(sorted(results), [False, True])

    async def test_verdict_of_unconfirmed_appends(self) -> None:
        """Guards against "not run" for a record that may take effect."""
        self.log.is_down = True
        with self.assertRaises(streams.AppendUnresolvedError) as sent:
            await self.begin(self.client, "k-1", _SHORT)
        self.assertEqual(sent.exception.verdict, errors.Verdict.MAY_HAVE_RUN)
        with self.assertRaises(streams.AppendUnresolvedError) as waiting:
            await self.begin(self.client, "k-2", _SHORT)
        self.assertEqual(waiting.exception.verdict, errors.Verdict.DID_NOT_RUN)

    async def test_stale_after_the_log_is_lost(self) -> None:
        """Guards against freshness that survives an outage."""
        self.assertTrue(await self.begin(self.client, "k-1"))
        self.log.is_down = True
        await asyncio.sleep(0.1)
        before = self.client.get_age()
        await asyncio.sleep(0.2)
        self.assertGreaterEqual(self.client.get_age(),
                                before + datetime.timedelta(seconds=0.15))

    async def test_expired_start_is_not_ready(self) -> None:
        """Guards against a reader that presents a part as the whole."""
        self.assertTrue(await self.begin(self.client, "k-1"))
        snapshot = self.client.replica.build_snapshot("s-1")
        self.log.earliest = 1
        late = self.start_client("entry-3#c")
        await asyncio.sleep(0.1)
        self.assertFalse(late.is_ready())
        for part in snapshot:
            await self.client.submit(part)
        while not late.is_ready():
            await asyncio.sleep(0.01)
        self.assertFalse(await self.begin(late, "k-1"))
