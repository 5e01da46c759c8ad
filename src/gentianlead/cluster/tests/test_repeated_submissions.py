"""Tests of submissions that are repeated before an outcome is known."""

import datetime
import unittest
import unittest.mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _job_acceptances
from gentianlead.cluster import _job_service
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import test_desk
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
TIMEOUT = datetime.timedelta(seconds=2)
SHORT_TIMEOUT = datetime.timedelta(milliseconds=100)
ACCEPTED = ports.SubmitOutcome.ACCEPTED
REFUSED = ports.SubmitOutcome.REFUSED
UNKNOWN = ports.SubmitOutcome.UNKNOWN


class RepeatedSubmissionTest(unittest.IsolatedAsyncioTestCase):
    """Tests one daemon whose first append lasts longer than the caller waits.

    The load reports change before the caller repeats the submission, so that a
    second admission would come to another result than the first.
    """

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.clock = adapters.SystemClock()
        log = fakes.build_log()
        metrics = _metrics.ClusterMetrics()
        self.reader = _job_topic.JobTopicReader(self.store, self.clock, log,
                                                metrics, lambda job_ids: None)
        self.writer = _job_topic.JobTopicWriter(self.store,
                                                ports.Producer("n/1", 1),
                                                self.clock, log, metrics)
        self.peering = test_desk.FakePeering()
        self.job_service = _job_service.SteppedJobService(
            "north-1", "entry-1#1", self.reader, self.writer, self.peering,
            self.clock, log, lambda *notice: None)
        self.reader.start()
        self.writer.start()
        self.addAsyncCleanup(self.reader.stop)
        self.addAsyncCleanup(self.writer.stop)
        await self.reader.wait_until_applied(-1, TIMEOUT)

    def set_loads(self, **usable_by_group: bool) -> None:
        """Replaces the load reports: idle groups, usable or not."""
        self.job_service.load_reports.clear()
        for group, is_usable in usable_by_group.items():
            load = dispatch.GroupLoad(is_usable, 10_000, 0, 0, 0, 1, 10_000)
            self.job_service.apply_leader_report(
                _peer_messages.LeaderReport(group.replace("_", "-"), 64, load,
                                            ()))

    async def submit(self, timeout: datetime.timedelta) -> ports.SubmitReply:
        """Submits the job, which is not assigned to a group yet."""
        return await self.job_service.submit(
            builders.build_job(JOB_ID, assignment=()), timeout)

    def read_accepted_groups(self) -> list[tuple[str, ...]]:
        """Returns the groups of each acceptance in the store, in order."""
        return [
            dispatch.decode_record(stored).job.assignment
            for stored in self.store.records.get(dispatch.JOB_TOPIC, [])
        ]

    async def test_job_is_admitted_once(self):
        """Guards against two acceptances of a job for different groups.

        The second one replaced the first one in the store. Daemons that had
        read the first one and daemons that started later ran the job twice.
        """
        self.store.append_delay_s = 0.6
        self.set_loads(north_1=True, north_2=False)
        self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome, UNKNOWN)
        self.set_loads(north_1=False, north_2=True)
        self.assertIs((await self.submit(TIMEOUT)).outcome, ACCEPTED)
        await self.clock.sleep(datetime.timedelta(seconds=0.8))
        self.assertEqual(self.read_accepted_groups(), [("north-1",)])

    async def test_job_that_may_be_stored_is_not_refused(self):
        """Guards against the refusal of a job whose append is under way.

        The caller would be told that the job never runs, and it runs.
        """
        for is_store_available in (True, False):
            with self.subTest(is_store_available=is_store_available):
                await self.asyncSetUp()
                self.store.append_delay_s = 1.0
                self.set_loads(north_1=True)
                self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome,
                              UNKNOWN)
                self.set_loads(north_1=False)
                self.writer.last_call_succeeded = is_store_available
                self.peering.replies[
                    _peer_messages.CALL_SUBMIT] = _peer_messages.RelayedReply(
                        "refused", "no capacity", 100)
                self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome,
                              UNKNOWN)

    async def test_peer_may_accept_a_job_whose_append_is_under_way(self):
        """Guards against a caller that waits although a peer has the store."""
        self.store.append_delay_s = 0.5
        self.set_loads(north_1=True)
        self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome, UNKNOWN)
        self.writer.last_call_succeeded = False
        self.peering.replies[
            _peer_messages.CALL_SUBMIT] = _peer_messages.RelayedReply(
                "accepted", "", 0)
        self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome, ACCEPTED)

    async def test_acceptance_is_given_up(self):
        """Guards against a job that is stored long after its caller gave up.

        Its cancellation would have been removed by then. Calls of the append
        get no reply until its time is over; the first one may be executed.
        """
        for first_failure, stored_number in (("drop", 2), ("lose", 1)):
            with self.subTest(first_failure):
                await self.asyncSetUp()
                self.store.failures = [first_failure, "drop"]
                self.set_loads(north_1=True)
                with unittest.mock.patch.object(
                        _job_acceptances, "ACCEPTANCE_TIMEOUT",
                        datetime.timedelta(milliseconds=150)):
                    self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome,
                                  UNKNOWN)
                    await self.clock.sleep(datetime.timedelta(seconds=0.5))
                self.set_loads(north_1=True)
                self.assertIs((await self.submit(TIMEOUT)).outcome, ACCEPTED)
                self.assertEqual([
                    stored.key
                    for stored in self.store.records[dispatch.JOB_TOPIC]
                    if stored.value
                ], [f"j/{JOB_ID}/entry-1#1/{stored_number}"])

    async def test_job_that_was_not_stored_is_admitted_again(self):
        """Guards against a job that stays unknown after a refused append."""
        self.store.append_delay_s = 0.6
        self.store.failures = ["refuse"]
        self.set_loads(north_1=True, north_2=False)
        self.assertIs((await self.submit(SHORT_TIMEOUT)).outcome, UNKNOWN)
        await self.clock.sleep(datetime.timedelta(seconds=0.8))
        self.set_loads(north_1=False, north_2=True)
        self.writer.last_call_succeeded = True
        self.assertIs((await self.submit(TIMEOUT)).outcome, ACCEPTED)
        self.assertEqual(self.read_accepted_groups(), [("north-2",)])
