"""Tests of the job service: submissions, cancellations and states of jobs."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _job_service
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _job_topic
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

TIMEOUT = datetime.timedelta(seconds=2)
SHORT_TIMEOUT = datetime.timedelta(milliseconds=200)
JOB_ID = "00000000000000aa"
ACCEPTED = ports.SubmitOutcome.ACCEPTED
REFUSED = ports.SubmitOutcome.REFUSED
UNKNOWN = ports.SubmitOutcome.UNKNOWN


class FakePeering:
    """Connections to one peer, whose replies to calls the test sets.

    Attributes:
        handlers: Call handlers that the job service registers, by subject.
        replies: Reply to a call, or error that the call raises, by subject of
            the call. Calls with other subjects raise an error.
        called_subjects: Subjects of all calls so far, in order.
    """

    def __init__(self) -> None:
        self.handlers: dict = {}
        self.replies: dict[str, object] = {}
        self.called_subjects: list[str] = []

    def list_reachable_daemons(self) -> frozenset[str]:
        """Returns a set with the name of the only peer."""
        return frozenset({"entry-2"})

    async def call(self, daemon_name: str, subject: str, *_: object,
                   **__: object) -> object:
        """Records a call; returns or raises the reply set for its subject."""
        del daemon_name
        self.called_subjects.append(subject)
        reply = self.replies.get(subject)
        if reply is None:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED, "no reply")
        if isinstance(reply, Exception):
            raise reply
        return reply


class DeskTest(unittest.IsolatedAsyncioTestCase):
    """Tests the job service of one daemon while its store and peers fail."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.clock = adapters.SystemClock()
        log = fakes.build_log()
        metrics = _metrics.ClusterMetrics()
        self.reader = _job_topic.JobTopicReader(self.store, self.clock, log,
                                                metrics,
                                                lambda changed_job_ids: None)
        self.writer = _job_topic.JobTopicWriter(self.store,
                                                ports.Producer("n/1", 1),
                                                self.clock, log, metrics)
        self.peering = FakePeering()
        self.sent_notices: list[tuple[str, str, object]] = []
        self.job_service = _job_service.SteppedJobService(
            "north-1", "entry-1#1", self.reader, self.writer, self.peering,
            self.clock, log, lambda *notice: self.sent_notices.append(notice))
        self.job_service.apply_leader_report(self.build_report())
        self.reader.start()
        self.writer.start()
        self.addAsyncCleanup(self.reader.stop)
        self.addAsyncCleanup(self.writer.stop)
        await self.reader.wait_until_applied(-1, TIMEOUT)

    def build_report(self,
                     is_usable: bool = True) -> _peer_messages.LeaderReport:
        """Returns a report of the group's leader that shows an idle group."""
        load = dispatch.GroupLoad(is_usable, 10_000, 0, 0, 0, 1, 10_000)
        return _peer_messages.LeaderReport("north-1", 64, load, ())

    def build_job(self) -> model.SteppedJob:
        """Returns a job that is not assigned to a group yet."""
        return builders.build_job(JOB_ID, assignment=())

    async def submit(self) -> ports.SubmitReply:
        """Submits the job that `build_job` returns."""
        return await self.job_service.submit(self.build_job(), SHORT_TIMEOUT)

    async def test_accepted_job_is_stored(self):
        """Guards against an accepted job that is not stored with its group."""
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        job_table = dispatch.JobTable()
        job_table.load_newest_records(
            await self.store.read_newest(dispatch.JOB_TOPIC), 0.0)
        self.assertEqual(job_table.jobs[JOB_ID].groups, ("north-1",))

    async def test_leader_is_notified_after_read_back(self):
        """Guards against a leader that gets no notice or a wrong one.

        Checks that once the job is read back, one notice was sent with the
        leader's epoch and the offset of the acceptance that took effect. With
        an earlier notice the leader might run a job that the acceptance of
        another daemon assigns to another group.
        """
        self.store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(
                dispatch.LeaderRecord("north-1", 64, "entry-1", "entry-1#1",
                                      1)))
        await self.reader.wait_until_applied(0, TIMEOUT)
        await self.submit()
        await self.reader.wait_until_applied(1, TIMEOUT)
        await self.clock.sleep(datetime.timedelta(milliseconds=50))
        ((group, subject, notice),) = self.sent_notices
        self.assertEqual((group, subject),
                         ("north-1", _peer_messages.NOTICE_JOB))
        self.assertEqual((notice.epoch, notice.offset), (64, 1))

    async def test_repeated_submission_is_one_job(self):
        """Guards against a repeated submission that stores the job twice."""
        await self.submit()
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 1)

    async def test_outcomes_while_the_store_fails(self):
        """Guards against the refusal of a job that may be stored and run.

        A refusal must tell the caller when to retry.
        """
        cases = ((["refuse"] * 9, REFUSED), (["lose"] + ["refuse"] * 9,
                                             UNKNOWN), (["drop"] * 9, UNKNOWN),
                 (["lose"], ACCEPTED))
        for failures, expected_outcome in cases:
            with self.subTest(failures=failures[:2]):
                await self.asyncSetUp()
                self.store.failures = list(failures)
                reply = await self.submit()
                self.assertIs(reply.outcome, expected_outcome)
                if expected_outcome is REFUSED:
                    self.assertGreater(reply.retry_after, datetime.timedelta(0))

    async def test_peer_accepts_relayed_job(self):
        """Guards against a refusal although a peer accepts the job.

        This daemon cannot reach the store and relays the submission.
        """
        self.store.is_down = True
        self.writer.last_call_succeeded = False
        self.peering.replies[
            _peer_messages.CALL_SUBMIT] = _peer_messages.RelayedReply(
                "accepted", "", 0)
        self.assertIs((await self.submit()).outcome, ACCEPTED)

    async def test_job_is_refused_without_store_and_peer(self):
        """Guards against another outcome than REFUSED for a job nobody stored.

        This daemon cannot reach the store, and the call to its peer fails with
        the verdict DID_NOT_RUN.
        """
        self.writer.last_call_succeeded = False
        self.assertIs((await self.submit()).outcome, REFUSED)

    async def test_lost_reply_of_a_peer_is_unknown(self):
        """Guards against the refusal of a job that a peer may have stored.

        This daemon cannot reach the store, and the reply of the peer is lost.
        """
        self.writer.last_call_succeeded = False
        self.peering.replies[_peer_messages.CALL_SUBMIT] = errors.RequestError(
            errors.ErrorCode.PEER_FAILED, "gone", errors.Verdict.MAY_HAVE_RUN)
        self.assertIs((await self.submit()).outcome, UNKNOWN)

    async def store_leader_record(self, daemon_name: str) -> None:
        """Stores that a daemon leads the group; waits until this is read."""
        self.store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(
                dispatch.LeaderRecord("north-1", 64, daemon_name,
                                      f"{daemon_name}#1", 1)))
        await self.reader.wait_until_applied(0, TIMEOUT)

    def build_long_running_job(self, job_number: int) -> model.SteppedJob:
        """Returns a long-running job that needs 30 % of the group."""
        step = builders.build_step(3, is_long_running=True)
        return builders.build_job(f"{job_number:016x}", step, assignment=())

    async def test_burst_of_lasting_jobs(self):
        """Load pattern: long-running jobs arrive together before a load report.

        Guards against long-running jobs that hold all processors for minutes
        because each is admitted by a load report that lacks the others. Of five
        jobs that need 30 % of the group each, two must be accepted.
        """
        await self.store_leader_record("entry-1")
        replies = await asyncio.gather(*(self.job_service.submit(
            self.build_long_running_job(job_number), TIMEOUT)
                                         for job_number in range(5)))
        accepted_replies = [
            reply for reply in replies if reply.outcome is ACCEPTED
        ]
        self.assertEqual(len(accepted_replies), 2)
        self.assertGreater(replies[-1].retry_after, datetime.timedelta(0))

    async def test_long_running_jobs_are_admitted_by_one_daemon(self):
        """Guards against daemons that admit jobs for the same free capacity.

        Long-running jobs must be relayed to the coordinator, which is a peer
        here, and the coordinator's refusal must count. If no reply arrives,
        this daemon must accept the job itself. Other jobs must not be relayed.
        """
        await self.store_leader_record("entry-2")
        cases = (
            (_peer_messages.RelayedReply("refused", "full", 5000), REFUSED),
            # The reply was lost, so this daemon stores the job too; two
            # acceptances of a job have the effect of one.
            (errors.RequestError(errors.ErrorCode.PEER_FAILED, "gone",
                                 errors.Verdict.MAY_HAVE_RUN), ACCEPTED),
            (errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                 "gone"), ACCEPTED),
        )
        for job_number, (peer_reply, expected_outcome) in enumerate(cases):
            with self.subTest(peer_reply=peer_reply):
                self.peering.replies[_peer_messages.CALL_SUBMIT] = peer_reply
                reply = await self.job_service.submit(
                    self.build_long_running_job(job_number), TIMEOUT)
                self.assertIs(reply.outcome, expected_outcome)
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertEqual(self.peering.called_subjects,
                         [_peer_messages.CALL_SUBMIT] * 3)

    async def test_refusal_after_a_lost_reply_is_unknown(self):
        """Guards against the refusal of a job that a peer may have accepted.

        The reply of the coordinator is lost, and this daemon cannot admit the
        job.
        """
        await self.store_leader_record("entry-2")
        self.peering.replies[_peer_messages.CALL_SUBMIT] = errors.RequestError(
            errors.ErrorCode.PEER_FAILED, "gone", errors.Verdict.MAY_HAVE_RUN)
        self.job_service.apply_leader_report(self.build_report(is_usable=False))
        reply = await self.job_service.submit(self.build_long_running_job(1),
                                              TIMEOUT)
        self.assertIs(reply.outcome, UNKNOWN)

    async def test_job_is_refused_without_a_usable_group(self):
        """Guards against accepted jobs while no group can run them.

        The refusal must tell the caller when to retry.
        """
        self.job_service.apply_leader_report(self.build_report(is_usable=False))
        reply = await self.submit()
        self.assertIs(reply.outcome, REFUSED)
        self.assertGreater(reply.retry_after, datetime.timedelta(0))

    async def test_states_of_stored_job(self):
        """Guards against an outdated or missing state of a stored job.

        Checks the state before the submission, after the job is read back, and
        after a leader's report.
        """
        self.assertEqual(
            await self.job_service.find_state(JOB_ID, SHORT_TIMEOUT),
            ports.JobLookup(None, True))
        await self.submit()
        await self.reader.wait_until_applied(0, TIMEOUT)
        self.assertEqual(
            await self.job_service.find_state(JOB_ID, SHORT_TIMEOUT),
            ports.JobLookup(model.JobState.QUEUED, True))
        report = self.build_report()._replace(states=(
            _peer_messages.JobStateNotice(JOB_ID, model.JobState.COMPLETED),))
        self.job_service.apply_leader_report(report)
        self.assertEqual(
            await self.job_service.find_state(JOB_ID, SHORT_TIMEOUT),
            ports.JobLookup(model.JobState.COMPLETED, True))

    async def test_state_is_requested_from_peer(self):
        """Guards against status 410 from a daemon that cannot read the store.

        The lookup must be uncertain while no peer replies, and must otherwise
        have the state that a peer returns.
        """
        self.reader.fresh_as_of = None
        await self.reader.stop()
        lookup = await self.job_service.find_state("00000000000000bb",
                                                   SHORT_TIMEOUT)
        self.assertEqual(lookup, ports.JobLookup(None, False))
        self.peering.replies[
            _peer_messages.CALL_STATE] = _peer_messages.StateReply(
                "completed", True)
        lookup = await self.job_service.find_state("00000000000000bb",
                                                   SHORT_TIMEOUT)
        self.assertIs(lookup.state, model.JobState.COMPLETED)

    async def test_cancellation(self):
        """Guards against wrong replies to the cancellation of a job.

        Checks the replies for an unknown job, while the store refuses appends,
        and after the store has recovered; the job is cancelled then.
        """
        self.assertIsNone(await self.job_service.cancel(JOB_ID, SHORT_TIMEOUT))
        await self.submit()
        await self.reader.wait_until_applied(0, TIMEOUT)
        self.store.failures = ["refuse"] * 9
        reply = await self.job_service.cancel(JOB_ID, SHORT_TIMEOUT)
        self.assertIs(reply.outcome, REFUSED)
        self.store.failures = []
        self.writer.last_call_succeeded = True
        reply = await self.job_service.cancel(JOB_ID, TIMEOUT)
        self.assertIs(reply.outcome, ACCEPTED)
        self.assertIs((await self.job_service.find_state(JOB_ID,
                                                         SHORT_TIMEOUT)).state,
                      model.JobState.CANCELLED)
