"""Tests of acceptance, cancellation and states."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _desk
from gentianlead.cluster import _metrics
from gentianlead.cluster import _reports
from gentianlead.cluster import _topic
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

DEADLINE = datetime.timedelta(seconds=2)
SHORT = datetime.timedelta(milliseconds=200)
JOB = "00000000000000aa"
ACCEPTED = ports.SubmitOutcome.ACCEPTED
REFUSED = ports.SubmitOutcome.REFUSED
UNKNOWN = ports.SubmitOutcome.UNKNOWN


class FakePeering:
    """Peers that answer as a test says.

    Attributes:
        handlers: Handlers that the desk registers.
        replies: Replies or errors by subject.
        calls: Subjects of calls.
    """

    def __init__(self) -> None:
        self.handlers: dict = {}
        self.replies: dict[str, object] = {}
        self.calls: list[str] = []

    def list_reachable(self) -> frozenset[str]:
        """Returns one peer."""
        return frozenset({"entry-2"})

    async def call(self, name: str, subject: str, *_: object,
                   **__: object) -> object:
        """Returns the reply to a call."""
        del name
        self.calls.append(subject)
        reply = self.replies.get(subject)
        if reply is None:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED, "no reply")
        if isinstance(reply, Exception):
            raise reply
        return reply


class DeskTest(unittest.IsolatedAsyncioTestCase):
    """The desk of one daemon with a store that fails."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.clock = adapters.SystemClock()
        log = fakes.build_log()
        metrics = _metrics.ClusterMetrics()
        self.reader = _topic.TopicReader(self.store, self.clock, log, metrics,
                                         lambda changed: None)
        self.writer = _topic.TopicWriter(self.store, ports.Producer("n/1", 1),
                                         self.clock, log, metrics)
        self.peering = FakePeering()
        self.notices: list[tuple[str, str, object]] = []
        self.desk = _desk.SteppedJobDesk(
            "north-1", "entry-1#1", self.reader, self.writer, self.peering,
            self.clock, log, lambda *notice: self.notices.append(notice))
        self.desk.apply_report(self.build_report())
        self.reader.start()
        self.writer.start()
        self.addAsyncCleanup(self.reader.stop)
        self.addAsyncCleanup(self.writer.stop)
        await self.reader.wait_applied(-1, DEADLINE)

    def build_report(self, is_usable: bool = True) -> _reports.LeaderReport:
        """Returns a report of the group's leader."""
        load = dispatch.GroupLoad(is_usable, 10_000, 0, 0, 0, 1, 10_000)
        return _reports.LeaderReport("north-1", 64, load, ())

    def build_job(self) -> model.SteppedJob:
        """Returns a job without an assignment."""
        return builders.build_job(JOB, assignment=())

    async def submit(self) -> ports.SubmitReply:
        """Submits the job."""
        return await self.desk.submit(self.build_job(), SHORT)

    async def test_accepted_job_is_stored(self):
        """Guards against a job that is lost with the daemon."""
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        table = dispatch.JobTable()
        table.apply_newest(await self.store.read_newest(dispatch.TOPIC), 0.0)
        self.assertEqual(table.jobs[JOB].groups, ("north-1",))

    async def test_leader_is_told_after_the_job_was_read_back(self):
        """Guards against a leader that runs a job of another group."""
        self.store.write(
            dispatch.TOPIC,
            dispatch.encode_record(
                dispatch.LeaderRecord("north-1", 64, "entry-1", "entry-1#1",
                                      1)))
        await self.reader.wait_applied(0, DEADLINE)
        await self.submit()
        await self.reader.wait_applied(1, DEADLINE)
        await self.clock.sleep(datetime.timedelta(milliseconds=50))
        ((group, subject, notice),) = self.notices
        self.assertEqual((group, subject), ("north-1", _reports.NOTICE_JOB))
        self.assertEqual((notice.epoch, notice.offset), (64, 1))

    async def test_same_job_again_is_one_job(self):
        """Guards against a job that a repeated request doubles."""
        await self.submit()
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertEqual(len(self.store.records[dispatch.TOPIC]), 1)

    async def test_outcomes_while_the_store_fails(self):
        """Guards against a refusal of a job that may run."""
        cases = ((["refuse"] * 9, REFUSED), (["lose"] + ["refuse"] * 9,
                                             UNKNOWN), (["drop"] * 9, UNKNOWN),
                 (["lose"], ACCEPTED))
        for failures, expected in cases:
            with self.subTest(failures=failures[:2]):
                await self.asyncSetUp()
                self.store.failures = list(failures)
                reply = await self.submit()
                self.assertIs(reply.outcome, expected)
                if expected is REFUSED:
                    self.assertGreater(reply.retry_after, datetime.timedelta(0))

    async def test_peer_stores_what_this_daemon_cannot(self):
        """Guards against refusals by a daemon that alone lost the store."""
        self.store.is_down = True
        self.writer.is_healthy = False
        self.peering.replies[_reports.CALL_SUBMIT] = _reports.RelayedReply(
            "accepted", "", 0)
        self.assertIs((await self.submit()).outcome, ACCEPTED)

    async def test_no_peer_stores_it_either(self):
        """Guards against callers that wait for their deadline in vain."""
        self.writer.is_healthy = False
        self.assertIs((await self.submit()).outcome, REFUSED)

    async def test_lost_reply_of_a_peer_is_unknown(self):
        """Guards against a refusal of what a peer may have stored."""
        self.writer.is_healthy = False
        self.peering.replies[_reports.CALL_SUBMIT] = errors.RequestError(
            errors.ErrorCode.PEER_FAILED, "gone", errors.Verdict.MAY_HAVE_RUN)
        self.assertIs((await self.submit()).outcome, UNKNOWN)

    async def lead(self, node: str) -> None:
        """Stores a leader of the group and waits until it is known."""
        self.store.write(
            dispatch.TOPIC,
            dispatch.encode_record(
                dispatch.LeaderRecord("north-1", 64, node, f"{node}#1", 1)))
        await self.reader.wait_applied(0, DEADLINE)

    def build_lasting_job(self, number: int) -> model.SteppedJob:
        """Returns a lasting job that takes 30 % of the group."""
        step = builders.build_step(3, is_long_running=True)
        return builders.build_job(f"{number:016x}", step, assignment=())

    async def test_burst_of_lasting_jobs(self):
        """Load pattern: lasting jobs arrive at once, before any report.

        Guards against watchers that hold all processors for minutes, as each
        is admitted by a report from before the others.
        """
        await self.lead("entry-1")
        replies = await asyncio.gather(
            *(self.desk.submit(self.build_lasting_job(i), DEADLINE)
              for i in range(5)))
        accepted = [reply for reply in replies if reply.outcome is ACCEPTED]
        self.assertEqual(len(accepted), 2)
        self.assertGreater(replies[-1].retry_after, datetime.timedelta(0))

    async def test_lasting_jobs_are_admitted_by_one_daemon(self):
        """Guards against daemons that each admit what fits only once."""
        await self.lead("entry-2")
        cases = (
            (_reports.RelayedReply("refused", "full", 5000), REFUSED),
            # Stored here as well: two acceptances are one job.
            (errors.RequestError(errors.ErrorCode.PEER_FAILED, "gone",
                                 errors.Verdict.MAY_HAVE_RUN), ACCEPTED),
            (errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                 "gone"), ACCEPTED),
        )
        for number, (answer, expected) in enumerate(cases):
            with self.subTest(answer=answer):
                self.peering.replies[_reports.CALL_SUBMIT] = answer
                reply = await self.desk.submit(self.build_lasting_job(number),
                                               DEADLINE)
                self.assertIs(reply.outcome, expected)
        self.assertIs((await self.submit()).outcome, ACCEPTED)
        self.assertEqual(self.peering.calls, [_reports.CALL_SUBMIT] * 3)

    async def test_refusal_after_a_lost_reply_is_unknown(self):
        """Guards against a refusal of a job that the other daemon accepted."""
        await self.lead("entry-2")
        self.peering.replies[_reports.CALL_SUBMIT] = errors.RequestError(
            errors.ErrorCode.PEER_FAILED, "gone", errors.Verdict.MAY_HAVE_RUN)
        self.desk.apply_report(self.build_report(is_usable=False))
        reply = await self.desk.submit(self.build_lasting_job(1), DEADLINE)
        self.assertIs(reply.outcome, UNKNOWN)

    async def test_nothing_usable_is_refused_at_once(self):
        """Guards against jobs that wait where nothing can run them."""
        self.desk.apply_report(self.build_report(is_usable=False))
        reply = await self.submit()
        self.assertIs(reply.outcome, REFUSED)
        self.assertGreater(reply.retry_after, datetime.timedelta(0))

    async def test_states(self):
        """Guards against 410 for a job that may exist."""
        self.assertEqual(await self.desk.find_state(JOB, SHORT),
                         ports.JobLookup(None, True))
        await self.submit()
        await self.reader.wait_applied(0, DEADLINE)
        self.assertEqual(await self.desk.find_state(JOB, SHORT),
                         ports.JobLookup(model.JobState.QUEUED, True))
        report = self.build_report()._replace(
            states=(_reports.JobStateNotice(JOB, model.JobState.COMPLETED),))
        self.desk.apply_report(report)
        self.assertEqual(await self.desk.find_state(JOB, SHORT),
                         ports.JobLookup(model.JobState.COMPLETED, True))

    async def test_state_while_nothing_is_fresh(self):
        """Guards against 410 from a daemon that has lost the store."""
        self.reader.fresh_as_of = None
        await self.reader.stop()
        lookup = await self.desk.find_state("00000000000000bb", SHORT)
        self.assertEqual(lookup, ports.JobLookup(None, False))
        self.peering.replies[_reports.CALL_STATE] = _reports.StateReply(
            "completed", True)
        lookup = await self.desk.find_state("00000000000000bb", SHORT)
        self.assertIs(lookup.state, model.JobState.COMPLETED)

    async def test_cancellation(self):
        """Guards against a confirmed cancellation that is not stored."""
        self.assertIsNone(await self.desk.cancel(JOB, SHORT))
        await self.submit()
        await self.reader.wait_applied(0, DEADLINE)
        self.store.failures = ["refuse"] * 9
        reply = await self.desk.cancel(JOB, SHORT)
        self.assertIs(reply.outcome, REFUSED)
        self.store.failures = []
        self.writer.is_healthy = True
        reply = await self.desk.cancel(JOB, DEADLINE)
        self.assertIs(reply.outcome, ACCEPTED)
        self.assertIs((await self.desk.find_state(JOB, SHORT)).state,
                      model.JobState.CANCELLED)
