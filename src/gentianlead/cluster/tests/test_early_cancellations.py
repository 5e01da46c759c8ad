"""Tests of cancellations of jobs whose acceptance may be stored later."""

import asyncio
import datetime
import random
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _job_cancellations
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

    async def submit(self, job_id: str = JOB_ID) -> ports.SubmitReply:
        """Submits a job; the caller waits for a short time."""
        return await self.service.submit(
            builders.build_job(job_id, assignment=()), SHORT_TIMEOUT)

    async def cancel(
            self,
            job_id: str = JOB_ID,
            timeout: datetime.timedelta = TIMEOUT) -> ports.SubmitReply | None:
        """Cancels a job."""
        return await self.service.cancel(job_id, timeout)


async def start_daemons(count: int) -> list[Daemon]:
    """Starts daemons with a common store and connections to each other."""
    leader_record = dispatch.LeaderRecord("north-1", 64, "d9", "d9#1", 1)
    records = {dispatch.JOB_TOPIC: [dispatch.encode_record(leader_record)]}
    daemons = {
        f"d{number}": Daemon(f"d{number}", records)
        for number in range(1, count + 1)
    }
    for name, daemon in daemons.items():
        daemon.peering.peers = {
            other_name: other.peering
            for other_name, other in daemons.items()
            if other_name != name
        }
        await daemon.start()
    return list(daemons.values())


class EarlyCancellationTest(unittest.IsolatedAsyncioTestCase):
    """Tests two daemons, the first of which is cut off from the store."""

    async def asyncSetUp(self) -> None:
        self.daemons = await start_daemons(2)
        for daemon in self.daemons:
            self.addAsyncCleanup(daemon.stop)
        self.cut_daemon, self.other_daemon = self.daemons
        self.records = self.cut_daemon.store.records

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

    async def test_cancellation_by_another_daemon(self):
        """Guards against tasks that start seconds after a 410 (UNASKED).

        No daemon that the caller asks knows that the job is being stored.
        """
        await self.submit_at_cut_daemon()
        self.assertIsNone(await self.other_daemon.cancel())
        self.assertIs(await self.read_state_after_acceptance(),
                      model.JobState.CANCELLED)
        self.assertEqual(self.cut_daemon.sent_notices, [])

    async def test_submission_that_arrives_after_its_cancellation(self):
        """Guards against a job that runs as its submission is repeated."""
        self.assertIsNone(await self.other_daemon.cancel())
        self.assertIs((await self.other_daemon.submit()).outcome, ACCEPTED)
        self.assertIs(await self.read_state_after_acceptance(),
                      model.JobState.CANCELLED)
        self.assertEqual(self.other_daemon.sent_notices, [])

    async def test_number_of_stored_cancellations_is_bounded(self):
        """Guards against a topic that grows with each call for no job."""
        with unittest.mock.patch.object(_job_cancellations,
                                        "MAX_EARLY_CANCELLATIONS", 2):
            for number in range(2):
                self.assertIsNone(await
                                  self.other_daemon.cancel(f"{number:016x}"))
            reply = await self.other_daemon.cancel()
            self.assertIs(reply.outcome, REFUSED)
            self.assertGreater(reply.retry_after, datetime.timedelta(0))


class CancellationModelTest(unittest.TestCase):
    """Tests drawn sequences of calls at three daemons while paths are cut."""

    @hypothesis.settings(derandomize=True,
                         max_examples=20,
                         deadline=None,
                         database=None)
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(3, 10))
    def test_no_acceptance_outlives_a_cancellation(self, seed: int,
                                                   call_count: int):
        """Guards against a job that runs after a 2xx or 410 for its cancelling.

        It also must not cancel another job, and daemons that read all records
        must agree with one that reads the newest of each key.
        """
        asyncio.run(self.run_calls(random.Random(seed), call_count))

    async def run_calls(self, rng: random.Random, call_count: int) -> None:
        """Makes drawn calls, lets all daemons go on, and checks the jobs."""
        daemons = await start_daemons(3)
        job_ids = [JOB_ID, "00000000000000bb"]
        requested: set[str] = set()
        acknowledged: set[str] = set()
        calls = []
        for _ in range(call_count):
            daemon, job_id = rng.choice(daemons), rng.choice(job_ids)
            action = rng.choice(
                ("submit", "submit", "cancel", "cut", "heal", "cut-peers"))
            if action == "submit":
                calls.append(asyncio.create_task(daemon.submit(job_id)))
            elif action == "cancel":
                requested.add(job_id)
                reply = await daemon.cancel(job_id, SHORT_TIMEOUT)
                if reply is None or reply.outcome is ACCEPTED:
                    acknowledged.add(job_id)
            elif action == "cut-peers":
                daemon.peering.is_cut = not daemon.peering.is_cut
            elif action == "cut":
                daemon.cut()
            else:
                daemon.heal()
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.15)))
        for daemon in daemons:
            daemon.heal()
        await asyncio.gather(*calls)
        await asyncio.sleep(0.3)
        newest_table = dispatch.JobTable()
        newest_table.load_newest_records(
            await daemons[0].store.read(dispatch.JOB_TOPIC, 0,
                                        datetime.timedelta(0)), 0.0)
        for table in [
                newest_table, *(daemon.reader.job_table for daemon in daemons)
        ]:
            for job_id, entry in table.jobs.items():
                is_cancelled = entry.state is model.JobState.CANCELLED
                self.assertTrue(is_cancelled or job_id not in acknowledged)
                self.assertTrue(not is_cancelled or job_id in requested)
        for daemon in daemons:
            await daemon.stop()
