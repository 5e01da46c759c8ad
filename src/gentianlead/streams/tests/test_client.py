"""Tests of the stream client with a faulty log service."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import errors
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.streams.tests import fakes

_SHORT_TIMEOUT = datetime.timedelta(milliseconds=300)
_LONG_TIMEOUT = datetime.timedelta(seconds=20)


class StreamClientTest(unittest.IsolatedAsyncioTestCase):
    """Checks appends, and the state and its age, when the log has faults."""

    async def asyncSetUp(self) -> None:
        self.log = fakes.FakeLog()
        self.client = self.start_client("entry-1#a")

    def start_client(self, writer: str) -> streams.StreamClient:
        """Starts a client, which is cancelled at the end of the test."""
        client = streams.StreamClient("once",
                                      state.OneTimeRequestStateMachine(),
                                      self.log, adapters.SystemClock(), writer,
                                      datetime.timedelta(milliseconds=10))
        task = asyncio.create_task(client.run())
        self.addCleanup(task.cancel)
        return client

    async def submit_begun(self,
                           client: streams.StreamClient,
                           key: str,
                           timeout: datetime.timedelta = _LONG_TIMEOUT) -> bool:
        """Submits `OnceBegun` for a key and returns whether it was accepted."""
        record = model.OnceBegun(key, "desk", f"request-{key}")
        applied = await client.submit(record, timeout)
        return applied.verdict.is_accepted

    async def test_lost_reply_appends_once(self) -> None:
        """Checks that a record is stored once if the append's reply is lost.

        Guards against a second append of a record that is already stored.
        """
        self.log.replies_to_drop = 1
        self.assertTrue(await self.submit_begun(self.client, "k-1"))
        self.assertEqual(len(self.log.records), 1)

    async def test_dropped_append_is_sent_again(self) -> None:
        """Checks that a record is sent again until an append stores it.

        Guards against a record that is not sent again after a failure.
        """
        self.log.appends_to_drop = 2
        self.assertTrue(await self.submit_begun(self.client, "k-1"))
        self.assertEqual(len(self.log.records), 1)

    async def test_late_duplicate_has_no_effect(self) -> None:
        """Checks the number of keys after a record was stored a second time.

        Guards against a delayed duplicate that changes the state.
        """
        self.assertTrue(await self.submit_begun(self.client, "k-1"))
        self.log.records.append(self.log.records[0])
        self.assertTrue(await self.submit_begun(self.client, "k-2"))
        state_machine = self.client.replica.state_machine
        self.assertEqual(len(state_machine), 2)

    async def test_racing_writers_get_one_holder(self) -> None:
        """Checks that one of two racing `OnceBegun` of a key is accepted.

        Guards against two daemons that both hold one key.
        """
        other_client = self.start_client("entry-2#b")
        results = await asyncio.gather(self.submit_begun(self.client, "k-1"),
                                       self.submit_begun(other_client, "k-1"))
        self.assertEqual(sorted(results), [False, True])

    async def test_verdict_of_unconfirmed_appends(self) -> None:
        """Checks the verdicts on a sent and an unsent record in an outage.

        Guards against `DID_NOT_RUN` for a record that may take effect.
        """
        self.log.is_down = True
        with self.assertRaises(streams.AppendUnresolvedError) as sent_error:
            await self.submit_begun(self.client, "k-1", _SHORT_TIMEOUT)
        self.assertEqual(sent_error.exception.verdict,
                         errors.Verdict.MAY_HAVE_RUN)
        with self.assertRaises(streams.AppendUnresolvedError) as unsent_error:
            await self.submit_begun(self.client, "k-2", _SHORT_TIMEOUT)
        self.assertEqual(unsent_error.exception.verdict,
                         errors.Verdict.DID_NOT_RUN)

    async def test_state_ages_while_the_log_is_unavailable(self) -> None:
        """Checks that the age of the state grows while the log is down.

        Guards against a state that looks current during an outage.
        """
        self.assertTrue(await self.submit_begun(self.client, "k-1"))
        self.log.is_down = True
        await asyncio.sleep(0.1)
        age_before = self.client.get_age()
        await asyncio.sleep(0.2)
        self.assertGreaterEqual(self.client.get_age(),
                                age_before + datetime.timedelta(seconds=0.15))

    async def test_expired_start_is_not_ready(self) -> None:
        """Checks that a late client is ready only after a snapshot.

        The first record expired before this client started. Guards against a
        client that is ready although it lacks records. The restored state must
        reject a key that the expired record began.
        """
        self.assertTrue(await self.submit_begun(self.client, "k-1"))
        snapshot_parts = self.client.replica.build_snapshot("s-1")
        self.log.earliest_offset = 1
        late_client = self.start_client("entry-3#c")
        await asyncio.sleep(0.1)
        self.assertFalse(late_client.is_ready())
        for part in snapshot_parts:
            await self.client.submit(part)
        while not late_client.is_ready():
            await asyncio.sleep(0.01)
        self.assertFalse(await self.submit_begun(late_client, "k-1"))

    async def test_records_expire_faster_than_reads_arrive(self) -> None:
        """Checks a late client when three records expire before each read.

        Guards against a client that for ever asks for the earliest offset that
        the last reply named and that has expired by then.
        """
        await asyncio.gather(*(self.submit_begun(self.client, f"k-{number}")
                               for number in range(100)))
        for part in self.client.replica.build_snapshot("s-1"):
            await self.client.submit(part)
        await asyncio.gather(*(self.submit_begun(self.client, f"l-{number}")
                               for number in range(100)))
        self.log.earliest_offset = 1
        self.log.records_expired_per_read = 3
        late_client = self.start_client("entry-3#c")
        async with asyncio.timeout(10):
            while self.log.earliest_offset < len(
                    self.log.records) and (not late_client.is_ready()):
                await asyncio.sleep(0.001)
        self.assertTrue(late_client.is_ready())
