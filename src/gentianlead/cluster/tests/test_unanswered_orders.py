"""Tests of leases while orders to a worker that is up get no reply."""

import asyncio
import unittest

from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

ORDER_INTERVAL_S = 0.2


class UnansweredOrderTest(unittest.IsolatedAsyncioTestCase):
    """Tests the lease of a worker that replies to all status calls."""

    async def run_leader(self, has_withheld_end: bool) -> list[dict]:
        """Returns the log fields of the runs that ended."""
        log = fakes.RecordingLog()
        workers = leading.FakeWorkers()
        leader = leading.start_leader(self, fakes.FakeStore(), workers, log,
                                      ["w1"])
        leader.put_job(
            builders.build_job_entry(
                builders.build_job("00000000000000aa", builders.build_step(1)),
                100))
        await leading.wait_until(lambda: workers.running.get("w1"))
        worker = leader.scheduler.workers["w1"]
        await leading.wait_until(lambda: worker.is_reachable and worker.runs)
        if has_withheld_end:
            worker.withheld_ends.withhold(1)
        for _ in range(20):
            # A stop of another run of the worker gets no reply in time.
            worker.is_reachable = False
            await asyncio.sleep(ORDER_INTERVAL_S)
        await leader.stop()
        return log.list_fields("run-ended")

    async def test_status_replies_renew_the_lease(self):
        """Guards against runs that are given up on a worker that replies.

        The worker lists an end that the leader does not acknowledge, so there
        is a pause between two status calls.
        """
        for has_withheld_end in (False, True):
            with self.subTest(has_withheld_end=has_withheld_end):
                self.assertEqual(await self.run_leader(has_withheld_end), [])
