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
OTHER_JOB_ID = "00000000000000bb"
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
    """Tests the job service of one daemon, also while its store or peer fails.
    """

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
        """Returns a leader's report that shows an idle group, usable or not."""
        load = dispatch.GroupLoad(is_usable, 10_000, 0, 0, 0, 1, 10_000)
        return _peer_messages.LeaderReport("north-1", 64, load, ())

    def build_job(self) -> model.SteppedJob:
        """Returns a job that is not assigned to a group yet."""
        return builders.build_job(JOB_ID, assignment=())

    async def submit(self) -> ports.SubmitReply:
        """Submits the job that `build_job` returns."""
        return await self.job_service.submit(self.build_job(), SHORT_TIMEOUT)

    async def test_accepted_job_is_stored(self):
        """Checks that an accepted job is stored with its group."""
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        job_table = dispatch.JobTable()
        job_table.load_newest_records(
            await self.store.read(dispatch.JOB_TOPIC, 0, datetime.timedelta(0)),
            0.0)
        self.assertEqual(job_table.jobs[JOB_ID].groups, ("north-1",))

    async def test_leader_is_notified_after_read_back(self):
        """Checks the notice that a leader gets about an accepted job.

        Once the job is read back, exactly one notice must have been sent, with
        the leader's epoch and the offset of the job's acceptance. With a notice
        before the read-back, the leader might run a job that another daemon's
        acceptance assigns to another group; the time of the notice is not
        checked.
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
        """Checks that a repeated submission is accepted, but stored once."""
        await self.submit()
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 1)

    async def test_accepted_job_is_not_refused_before_it_is_read_back(self):
        """Guards against a caller that is told that an accepted job never runs.

        Its repeated submission arrives before the daemon has read the job back,
        and the first one has made the backlog too long.
        """
        await self.reader.stop()
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertEqual(len(self.store.records[dispatch.JOB_TOPIC]), 1)

    async def test_job_that_the_store_rejects_is_refused(self):
        """Checks the reply for a job whose record is too large for the store.

        Guards against a caller that waits until its deadline or is told that
        the store does not reply, and against peers that try the same job.
        """
        self.store.record_bytes = 10
        reply = await self.submit()
        self.assertIs(reply.outcome, REFUSED)
        self.assertEqual(reply.reason, "too large")
        self.assertEqual(self.peering.called_subjects, [])

    async def test_outcomes_while_the_store_fails(self):
        """Checks the outcome of a submission whose append calls fail.

        Guards against the refusal of a job that may be stored and run. A
        refusal must have a retry delay.
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
        """Checks that a job is accepted if a peer accepts it.

        This daemon cannot reach the store and relays the submission.
        """
        self.store.is_down = True
        self.writer.last_call_succeeded = False
        self.peering.replies[
            _peer_messages.CALL_SUBMIT] = _peer_messages.RelayedReply(
                "accepted", "", 0)
        self.assertIs((await self.submit()).outcome, ACCEPTED)

    async def test_job_is_refused_without_store_and_peer(self):
        """Checks that a job which no daemon can have stored is refused.

        This daemon counts the store as unavailable, and the call to its peer
        fails with the verdict DID_NOT_RUN.
        """
        self.writer.last_call_succeeded = False
        self.assertIs((await self.submit()).outcome, REFUSED)

    async def test_outcome_is_unknown_after_lost_peer_reply(self):
        """Checks that the outcome is unknown if a peer may have stored the job.

        This daemon counts the store as unavailable, and the reply of the peer
        is lost. Guards against the refusal of a job that is stored.
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

        Checks that of five jobs that need 30 % of the group each, two are
        accepted, and that the reply to the last has a retry delay. Guards
        against long-running jobs that hold all processors for minutes because
        each is admitted by a load report that lacks the others.
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
        """Checks that only long-running jobs are relayed to the coordinator.

        The coordinator is a peer here. Its refusal must be returned. If no
        reply arrives, this daemon must accept the job itself. Guards against
        daemons that admit long-running jobs for the same free capacity.
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

    async def test_outcome_is_unknown_after_lost_coordinator_reply(self):
        """Checks that the outcome is unknown if a peer may have accepted a job.

        The reply of the coordinator is lost, and this daemon cannot admit the
        job. Guards against the refusal of a job that the coordinator accepted.
        """
        await self.store_leader_record("entry-2")
        self.peering.replies[_peer_messages.CALL_SUBMIT] = errors.RequestError(
            errors.ErrorCode.PEER_FAILED, "gone", errors.Verdict.MAY_HAVE_RUN)
        self.job_service.apply_leader_report(self.build_report(is_usable=False))
        reply = await self.job_service.submit(self.build_long_running_job(1),
                                              TIMEOUT)
        self.assertIs(reply.outcome, UNKNOWN)

    async def test_job_is_refused_without_a_usable_group(self):
        """Checks that a job is refused while its only group is not usable.

        The refusal must have a retry delay.
        """
        self.job_service.apply_leader_report(self.build_report(is_usable=False))
        reply = await self.submit()
        self.assertIs(reply.outcome, REFUSED)
        self.assertGreater(reply.retry_after, datetime.timedelta(0))

    async def test_states_of_stored_job(self):
        """Checks the state of a job from before its submission to its end.

        Before the submission it must be certain that the job does not exist.
        After the job is read back, it must be queued. After a leader's report,
        the job must have the reported state, which is not in the topic.
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
        """Checks lookups at a daemon that cannot read the store.

        While no peer replies, the lookup must be uncertain. Otherwise it must
        have the state that the peer returns. Guards against a certain lookup
        without a state, for which the caller gets status 410.
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

    async def test_replies_to_cancellations(self):
        """Checks the replies to cancellations, and the state after the last.

        The reply for an unknown job must be None. While the store refuses
        appends, a cancellation must be refused. After the store has recovered,
        it must be accepted and the job must be cancelled.
        """
        self.assertIsNone(await self.job_service.cancel(OTHER_JOB_ID,
                                                        SHORT_TIMEOUT))
        await self.submit()
        await self.reader.wait_until_applied(1, TIMEOUT)
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

    async def test_cancellation_of_a_job_that_is_not_read_back(self):
        """Guards against a 410 for a job that runs on.

        The reader gets no replies, and its last read counts as fresh for a
        while. The job was accepted here, or its append is under way.
        """
        for append_delay_s, submitted in ((0.0, ACCEPTED), (0.7, UNKNOWN)):
            with self.subTest(append_delay_s=append_delay_s):
                await self.asyncSetUp()
                await self.reader.stop()
                self.store.append_delay_s = append_delay_s
                self.assertIs((await self.submit()).outcome, submitted)
                reply = await self.job_service.cancel(JOB_ID, TIMEOUT)
                self.assertIs(reply.outcome, ACCEPTED)
                self.assertEqual([
                    stored.key[0]
                    for stored in self.store.records[dispatch.JOB_TOPIC]
                ], ["j", "c"])
                lookup = await self.job_service.find_state(
                    JOB_ID, SHORT_TIMEOUT)
                self.assertIs(lookup.state, model.JobState.CANCELLED)

    async def test_state_of_a_job_that_is_not_read_back(self):
        """Guards against a 410 for a job that this daemon has accepted."""
        await self.reader.stop()
        await self.submit()
        self.assertEqual(
            await self.job_service.find_state(JOB_ID, SHORT_TIMEOUT),
            ports.JobLookup(model.JobState.QUEUED, True))

    async def test_cancellation_by_an_old_table(self):
        """Guards against a 410 for a job that another daemon has accepted.

        This daemon cannot tell; a peer that has read the topic can.
        """
        await self.reader.stop()
        reply = await self.job_service.cancel(JOB_ID, SHORT_TIMEOUT)
        self.assertIs(reply.outcome, REFUSED)
        for peer_reply, is_known in ((_peer_messages.RelayedReply(
                "accepted", "", 0), True), (_peer_messages.RelayedReply(
                    "", "the job does not exist", 0), False)):
            self.peering.replies[_peer_messages.CALL_CANCEL] = peer_reply
            reply = await self.job_service.cancel(JOB_ID, SHORT_TIMEOUT)
            self.assertEqual(reply is not None, is_known)

    async def test_count_of_waiting_jobs(self):
        """Guards against a count by a daemon that has not read the topic.

        It would be 0, whatever waits. The topic is loaded, and then lost.
        """
        await self.submit()
        await self.reader.wait_until_applied(0, TIMEOUT)
        self.assertEqual(self.job_service.count_pending(builders.QUEUE), 1)
        await self.reader.stop()
        self.reader.is_loaded = False
        self.assertIsNone(self.job_service.count_pending(builders.QUEUE))
