"""Tests of the pause between the planning passes of a leader."""

import asyncio
import time
import unittest
from unittest import mock

from gentianlead.cluster import _group_leader
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading

TEST_S = 0.6


class PlanningPauseTest(unittest.IsolatedAsyncioTestCase):
    """Tests a leader that gets an event in each turn of the loop."""

    async def test_planning_leaves_time_for_other_work(self):
        """Guards against passes that fill the time in which leases are renewed.

        A pass takes as long on a small machine as in the first case, or is so
        long that its pause would exceed the longest interval.
        """
        # Duration of a pass, and largest share of time that passes take.
        for pass_s, max_share in ((0.02, 0.45), (0.1, 0.75)):
            with self.subTest(pass_s):
                planned_s = 0.0

                def plan(leader: _group_leader.GroupLeader) -> None:
                    nonlocal planned_s
                    # pylint: disable-next=protected-access
                    leader._plan_requested.set()
                    started_at = time.monotonic()
                    time.sleep(pass_s)  # pylint: disable=cell-var-from-loop
                    planned_s += time.monotonic() - started_at

                with mock.patch.object(_group_leader.GroupLeader,
                                       "_run_planning_pass", plan):
                    leader = leading.start_leader(self, fakes.FakeStore(),
                                                  leading.FakeWorkers(),
                                                  fakes.RecordingLog(), [])
                    started_at = time.monotonic()
                    await asyncio.sleep(TEST_S)
                    total_s = time.monotonic() - started_at
                    await leader.stop()
                self.assertLess(planned_s / total_s, max_share)
