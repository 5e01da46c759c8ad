"""Tests of daemons that claim the leadership of a group at the same time."""

import asyncio
import datetime
import unittest
from typing import Sequence

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes

RIVAL = "entry-2"


class RivalStore(fakes.FakeStore):
    """Store that receives a claim of another daemon beside the first claim.

    The other claim is a copy of the first one with another node and epoch, and
    its writer does nothing else.

    Attributes:
        epoch_difference: Epoch of the other claim less that of the first one.
            The other claim is stored before the first one if it is negative,
            else after it.
        has_rival_claimed: Whether the other claim was stored.
    """

    def __init__(self, epoch_difference: int) -> None:
        super().__init__()
        self.epoch_difference = epoch_difference
        self.has_rival_claimed = False

    async def append(self, topic: str, records: Sequence[ports.KeyedRecord],
                     producer: ports.Producer, sequence: int,
                     timeout: datetime.timedelta) -> int:
        is_claim = (producer.name == f"g/{daemons.GROUP}" and
                    not self.has_rival_claimed)
        self.has_rival_claimed |= is_claim
        if is_claim and self.epoch_difference < 0:
            await self.append_rival_claim(records[0], timeout)
        offset = await super().append(topic, records, producer, sequence,
                                      timeout)
        if is_claim and self.epoch_difference > 0:
            await self.append_rival_claim(records[0], timeout)
        return offset

    async def append_rival_claim(self, claim: ports.KeyedRecord,
                                 timeout: datetime.timedelta) -> None:
        """Stores the claim of the other daemon."""
        record = dispatch.decode_record(claim)
        rival_record = record._replace(epoch=record.epoch +
                                       self.epoch_difference,
                                       node=RIVAL,
                                       incarnation=f"{RIVAL}#1")
        await super().append(
            dispatch.JOB_TOPIC, [dispatch.encode_record(rival_record)],
            ports.Producer(f"g/{daemons.GROUP}", rival_record.epoch), 1,
            timeout)


class LosingClaimTest(unittest.IsolatedAsyncioTestCase):
    """Tests a claim that another daemon's claim follows at once."""

    async def test_losing_claim_is_logged(self):
        """Guards against a log that hides why the winner has to wait."""
        daemon = daemons.start_daemon(self, "entry-1", RivalStore(1))
        # pylint: disable=protected-access
        async with asyncio.timeout(5):
            while not daemon._log.list_fields("lead-not-taken"):
                await asyncio.sleep(0.01)
        (fields,) = daemon._log.list_fields("lead-not-taken")
        self.assertEqual(fields["group"], daemons.GROUP)
        self.assertIn(f"{RIVAL}#1", fields["error"])
        self.assertNotIn(daemons.GROUP, daemon._leaders)
