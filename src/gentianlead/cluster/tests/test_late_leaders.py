"""Tests of what a leader does less often while its event loop is late."""

import asyncio
import time
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import model

from gentianlead.cluster import _group_leader
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

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


class ReportIntervalTest(unittest.IsolatedAsyncioTestCase):
    """Tests the reports of a leader whose loop is late for a share of time."""

    async def test_reports_are_rarer_on_a_late_loop(self):
        """Guards against reports to all daemons that delay renewals of leases.

        A job ends every 50 ms. On a loop that is on time each end is reported.
        """
        ended_job = dispatch.ProgressRecord(f"{1:016x}", leading.GROUP,
                                            builders.EPOCH,
                                            model.JobState.COMPLETED)
        for late_share, is_each_end_reported in ((0.0, True), (0.8, False)):
            with self.subTest(late_share), mock.patch.object(
                    adapters.LoopDelayMeter,
                    "read_total_s",
                    lambda _, share=late_share: share * time.monotonic(
                    )), mock.patch.object(_group_leader.GroupLeader,
                                          "_log_load") as log_load:
                leader = leading.start_leader(self, fakes.FakeStore(),
                                              leading.FakeWorkers(),
                                              fakes.RecordingLog(), [])
                await asyncio.sleep(0.1)
                log_load.reset_mock()
                for _ in range(12):
                    # pylint: disable-next=protected-access
                    leader._report_states([ended_job])
                    await asyncio.sleep(0.05)
                await leader.stop()
                if is_each_end_reported:
                    self.assertGreaterEqual(log_load.call_count, 12)
                else:
                    self.assertLessEqual(log_load.call_count, 1)
