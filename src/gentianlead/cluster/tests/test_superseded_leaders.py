"""Tests of a leader when the topic shows its successor or a returned job."""

import asyncio
import unittest

from gentianlead import dispatch
from gentianlead.cluster import _daemon
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


async def start_leading_daemon(test: unittest.IsolatedAsyncioTestCase,
                               store: fakes.FakeStore) -> _daemon.ClusterDaemon:
    """Starts a daemon and waits until it leads the only group."""
    daemon = daemons.start_daemon(test, "entry-1", store)
    # pylint: disable=protected-access
    async with asyncio.timeout(10):
        while daemons.GROUP not in daemon._leaders:
            await asyncio.sleep(0.01)
    return daemon


class SupersededLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Tests a leader that neither the store nor a worker has refused yet."""

    async def test_leader_takes_no_jobs_of_its_successor(self):
        """Checks that a leader ignores jobs accepted after its successor began.

        One read shows the successor and the job. Guards against a task that
        both leaders start: the successor expects no runs of such a job.
        """
        store = fakes.FakeStore()
        daemon = await start_leading_daemon(self, store)
        # pylint: disable=protected-access
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


class ReturnedJobTest(unittest.IsolatedAsyncioTestCase):
    """Tests a job that leaves its group and comes back within one read."""

    async def test_return_is_logged(self):
        """Guards against a log that hides why a leader kept an old job."""
        store = fakes.FakeStore()
        daemon = await start_leading_daemon(self, store)
        job = builders.build_job(JOB_ID, assignment=(daemons.GROUP,))
        # pylint: disable=protected-access
        jobs = daemon._leaders[daemons.GROUP].scheduler.jobs
        store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(dispatch.AcceptedRecord(job, "entry-2#1")))
        async with asyncio.timeout(5):
            while JOB_ID not in jobs:
                await asyncio.sleep(0.01)
        offset = store.write(
            dispatch.JOB_TOPIC,
            *(dispatch.encode_record(record) for record in (
                dispatch.MovedRecord(JOB_ID, daemons.GROUP, (), "north-2", 1),
                dispatch.MovedRecord(JOB_ID, "north-2", (), daemons.GROUP, 900))
             ))
        async with asyncio.timeout(5):
            while not daemon._log.list_fields("job-returned"):
                await asyncio.sleep(0.01)
        (fields,) = daemon._log.list_fields("job-returned")
        self.assertEqual((fields["job"], fields["offset"], fields["known_run"],
                          fields["last_run"]), (JOB_ID, offset + 1, 0, 900))
