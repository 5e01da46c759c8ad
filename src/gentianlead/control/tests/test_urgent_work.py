"""Tests of urgent work whose preferred scheduler fails."""

import datetime
import unittest
from unittest import mock

from gentianlead.control.tests import clusters
from gentianlead.control.tests import simulated_domains

MEMBER_TIMEOUT = datetime.timedelta(seconds=6)
START_DEADLINE_SECONDS = 3.5

_SCRIPT = simulated_domains.TaskScript(1.0)


class UnrecordedWorkersTest(unittest.IsolatedAsyncioTestCase):
    """Kills a preferred scheduler that has not recorded the workers yet."""

    async def asyncSetUp(self) -> None:
        self.enterContext(
            mock.patch.object(clusters, "MEMBER_TIMEOUT", MEMBER_TIMEOUT))
        self.domains = simulated_domains.SimulatedDomains(2)
        self.addAsyncCleanup(self.domains.close)
        self.starts = self.domains.workers.starts
        for name in ("entry-1", "entry-2", "entry-3"):
            self.domains.start(name)
        # The daemons join in the second round. The preferred scheduler records
        # the workers in the third.
        await self.domains.advance(2 * self.domains.step_seconds)
        await self.domains.put_domains("domain-1")
        self.preferred = self.find_first_member()

    def find_first_member(self) -> str:
        """Returns the name of the daemon that joined first."""
        state_machine = self.domains.daemons[
            "entry-1"].domain_client.replica.state_machine
        self.assertEqual(len(state_machine.members), 3)
        first = min(state_machine.members.values(),
                    key=lambda member: member.join_offset)
        return first.member.partition("#")[0]

    async def test_urgent_job_starts(self) -> None:
        """Guards against urgent work that waits for the member timeout."""
        await self.domains.kill(self.preferred)
        await self.domains.submit("urgent", _SCRIPT, is_urgent=True)
        await self.domains.advance(START_DEADLINE_SECONDS)
        self.assertEqual([key[:2] for _, key in self.starts], [("urgent", 0)])
