"""Tests of cancellations of jobs whose acceptance may be stored later."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _job_service
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
TIMEOUT = datetime.timedelta(seconds=2)
SHORT_TIMEOUT = datetime.timedelta(milliseconds=200)
ACCEPTED = ports.SubmitOutcome.ACCEPTED
REFUSED = ports.SubmitOutcome.REFUSED
UNKNOWN = ports.SubmitOutcome.UNKNOWN


class LinkedPeering:
    """Calls the handlers of the other daemons in this process.

    Attributes:
        handlers: Call handlers of the own daemon, by subject.
        peers: Peering of each other daemon, by name.
        is_cut: Whether calls to and from this daemon get no reply.
    """

    def __init__(self) -> None:
        self.handlers: dict = {}
        self.peers: dict[str, "LinkedPeering"] = {}
        self.is_cut = False

    def list_reachable_daemons(self) -> frozenset[str]:
        """Returns the names of the other daemons."""
        return frozenset(self.peers)

    async def call(self, daemon_name: str, subject: str, request: object,
                   reply_type: type, timeout: datetime.timedelta) -> object:
        """Returns the reply of a daemon's handler."""
        del timeout
        peer = self.peers[daemon_name]
        if self.is_cut or peer.is_cut:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED, "cut off")
        reply = await peer.handlers[subject](dispatch.encode_value(request))
        return dispatch.decode_value(dispatch.encode_value(reply), reply_type)


class Daemon:
    """Job service of a daemon with an own path to the common store.

    Attributes:
        store: The path to the store.
        peering: Connections to the other daemons.
        service: The job service.
        sent_notices: Notices to leaders, as subject and notice.
    """

    def __init__(self, name: str, records: dict[str, list[ports.KeyedRecord]]):
        self.store = fakes.FakeStore()
        self.store.records = records
        self.peering = LinkedPeering()
        self.sent_notices: list[tuple[str, object]] = []
        clock, log = adapters.SystemClock(), fakes.build_log()
        metrics = _metrics.ClusterMetrics()
        self.reader = _job_topic.JobTopicReader(self.store, clock, log, metrics,
                                                lambda job_ids: None)
        self._writer = _job_topic.JobTopicWriter(self.store,
                                                 ports.Producer(name, 1), clock,
                                                 log, metrics)
        self.service = _job_service.SteppedJobService(
            "north-1", f"{name}#1", self.reader, self._writer, self.peering,
            clock, log, lambda _, subject, notice: self.sent_notices.append(
                (subject, notice)))
        load = dispatch.GroupLoad(True, 10_000, 0, 0, 0, 1, 10_000)
        self.service.apply_leader_report(
            _peer_messages.LeaderReport("north-1", 64, load, ()))

    async def start(self) -> None:
        """Starts to read and write the topic."""
        self.reader.start()
        self._writer.start()
        await self.reader.wait_until_applied(-1, TIMEOUT)

    async def stop(self) -> None:
        """Ends reading and writing."""
        await self.reader.stop()
        await self._writer.stop()

    def cut(self) -> None:
        """Lets no append through, without a sign to the daemon."""
        self.store.failures = ["drop"] * 1000

    def heal(self) -> None:
        """Lets appends through again, also those that are repeated."""
        self.store.failures = []

    async def submit(self) -> ports.SubmitReply:
        """Submits the job; the caller waits for a short time."""
        return await self.service.submit(
            builders.build_job(JOB_ID, assignment=()), SHORT_TIMEOUT)

    async def cancel(self) -> ports.SubmitReply | None:
        """Cancels the job."""
        return await self.service.cancel(JOB_ID, TIMEOUT)


class EarlyCancellationTest(unittest.IsolatedAsyncioTestCase):
    """Tests two daemons, the first of which is cut off from the store."""

    async def asyncSetUp(self) -> None:
        self.records: dict[str, list[ports.KeyedRecord]] = {
            dispatch.JOB_TOPIC: []
        }
        leader_record = dispatch.LeaderRecord("north-1", 64, "d3", "d3#1", 1)
        self.records[dispatch.JOB_TOPIC].append(
            dispatch.encode_record(leader_record))
        self.daemons = [Daemon(f"d{number}", self.records) for number in (1, 2)]
        for daemon in self.daemons:
            daemon.peering.peers = {
                f"d{number}": other.peering
                for number, other in enumerate(self.daemons, 1)
                if other is not daemon
            }
            await daemon.start()
            self.addAsyncCleanup(daemon.stop)
        self.cut_daemon = self.daemons[0]

    async def submit_at_cut_daemon(self) -> None:
        """Submits the job at the first daemon, which cannot store it yet."""
        self.cut_daemon.cut()
        self.assertIs((await self.cut_daemon.submit()).outcome, UNKNOWN)

    async def read_state_after_acceptance(self) -> model.JobState:
        """Lets the first daemon store its acceptance; returns the job's state.

        All daemons must agree on it.
        """
        self.cut_daemon.heal()
        async with asyncio.timeout(TIMEOUT.total_seconds()):
            while not any(
                    stored.key.startswith("j/")
                    for stored in self.records[dispatch.JOB_TOPIC]):
                await asyncio.sleep(0.01)
        end_offset = len(self.records[dispatch.JOB_TOPIC])
        for daemon in self.daemons:
            await daemon.reader.wait_until_applied(end_offset - 1, TIMEOUT)
        await asyncio.sleep(0.05)
        (state,) = {(await daemon.service.find_state(JOB_ID,
                                                     SHORT_TIMEOUT)).state
                    for daemon in self.daemons}
        return state

    async def test_cancellation_by_the_daemon_that_holds_the_job(self):
        """Guards against tasks that start seconds after a 410 (UNASKED).

        The daemon that is storing the job cannot reach the store, and its peer
        does not know the job. The leader must not learn of the job by a notice
        either, as it may not have read the cancellation.
        """
        await self.submit_at_cut_daemon()
        self.assertIs((await self.cut_daemon.cancel()).outcome, ACCEPTED)
        self.assertIs(await self.read_state_after_acceptance(),
                      model.JobState.CANCELLED)
        self.assertEqual(self.cut_daemon.sent_notices, [])

    async def test_cancellation_that_no_daemon_can_store(self):
        """Guards against a 410 or 2xx for a cancellation that is not stored."""
        await self.submit_at_cut_daemon()
        self.cut_daemon.peering.is_cut = True
        reply = await self.cut_daemon.cancel()
        self.assertIs(reply.outcome, REFUSED)
        self.assertGreater(reply.retry_after, datetime.timedelta(0))
