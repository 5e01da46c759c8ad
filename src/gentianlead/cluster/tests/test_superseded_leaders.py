"""Tests of a leader whose successor is shown by the job topic."""

import asyncio
import unittest

from gentianlead import dispatch
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class SupersededLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests a leader that neither the store nor a worker has refused yet."""

    async def test_leader_takes_no_jobs_of_its_successor(self):
        """Checks that a leader ignores jobs accepted after its successor began.

        One read shows the successor and the job. Guards against a task that
        both leaders start: the successor expects no runs of such a job.
        """
        store = fakes.FakeStore()
        daemon = daemons.start_daemon(self, "entry-1", store)
        # pylint: disable=protected-access
        async with asyncio.timeout(10):
            while daemons.GROUP not in daemon._leaders:
                await asyncio.sleep(0.01)
        leader = daemon._leaders[daemons.GROUP]
        job = builders.build_job(JOB_ID, assignment=(daemons.GROUP,))
        store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(
                dispatch.LeaderRecord(daemons.GROUP, leader.epoch + 1,
                                      "entry-2", "entry-2#1", 1)),
            dispatch.encode_record(dispatch.AcceptedRecord(job, "entry-2#1")))
        async with asyncio.timeout(5):
            while JOB_ID not in daemon._topic_reader.job_table.jobs:
                await asyncio.sleep(0.01)
        self.assertNotIn(JOB_ID, leader.scheduler.jobs)
        self.assertNotIn(daemons.GROUP, daemon._leaders)
