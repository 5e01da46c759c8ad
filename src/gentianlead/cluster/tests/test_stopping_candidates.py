"""Tests of daemons that stop while they claim the leadership of a group."""

import asyncio
import datetime
import unittest
from typing import Sequence

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes


class SlowClaimStore(fakes.FakeStore):
    """Store that delays the reply to a claim until the test lets it go on.

    Attributes:
        has_paused: Set when the claim is stored.
        may_continue: Set by the test to let the reply be sent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_paused = asyncio.Event()
        self.may_continue = asyncio.Event()

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        offset = await super().append(topic, records, producer, sequence,
                                      timeout)
        if producer.name == f"g/{daemons.GROUP}" and sequence == 1:
            self.has_paused.set()
            await self.may_continue.wait()
        return offset

    def list_leader_records(self) -> list[dispatch.LeaderRecord]:
        """Returns all records of leaders of the only group."""
        records = map(dispatch.decode_record, self.records[dispatch.JOB_TOPIC])
        return [
            record for record in records
            if isinstance(record, dispatch.LeaderRecord)
        ]


class StoppingCandidateTest(unittest.IsolatedAsyncioTestCase):
    """Tests a daemon that is told to stop while its claim is under way."""

    async def test_claim_is_followed_by_a_resignation(self):
        """Guards against a group that nobody leads until a leader is missed.

        The successor would also wait for workers as after the loss of a leader.
        """
        store = SlowClaimStore()
        daemon = daemons.start_daemon(self, "entry-1", store)
        # pylint: disable=protected-access
        async with asyncio.timeout(10):
            await store.has_paused.wait()
            daemon._stop_requested.set()
            await asyncio.sleep(0.05)
            store.may_continue.set()
            while not daemon._log.list_fields("daemon-stopped"):
                await asyncio.sleep(0.01)
        records = store.list_leader_records()
        self.assertEqual([record.node for record in records[-1:]], [""])
