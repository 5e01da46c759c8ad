"""Tests of the status polls of a leader whose link is slow."""

import asyncio
import datetime
import time
from typing import Sequence
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _status_polls
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s."""

WORKER_COUNT = 250

ONE_MS = datetime.timedelta(milliseconds=1)


class SlowLinkWorkerClient(ports.LeasedWorkerClient):
    """Workers whose replies share one slow link, in the order of the requests.

    A reply that comes too late still takes its time on the link. The first
    reply of a worker that arrives is long, all later ones are empty.

    Attributes:
        reached_ids: Workers of which a reply has arrived.
    """

    def __init__(self, first_reply_bytes: int) -> None:
        self.reached_ids: set[str] = set()
        self._first_reply_bytes = first_reply_bytes
        self._link_free_at = 0.0

    async def poll_status(self, entry: ports.WorkerEntry, fence_token: int,
                          acknowledged_number: int, expires_at_ms: int | None,
                          wait: datetime.timedelta,
                          timeout: datetime.timedelta) -> ports.WorkerStatus:
        await asyncio.sleep(wait.total_seconds())
        if entry.worker_id not in self.reached_ids:
            now = asyncio.get_running_loop().time()
            self._link_free_at = (max(now, self._link_free_at) +
                                  self._first_reply_bytes / BYTES_PER_S)
            delay_s = self._link_free_at - now
            await asyncio.sleep(min(delay_s, timeout.total_seconds()))
            if delay_s > timeout.total_seconds():
                raise errors.WorkerError("no reply",
                                         errors.Verdict.MAY_HAVE_RUN)
            self.reached_ids.add(entry.worker_id)
        return ports.WorkerStatus(1, 1, (), ())

    async def start(self, entry: ports.WorkerEntry,
                    order: ports.LeasedStartOrder,
                    timeout: datetime.timedelta) -> ports.StartReply:
        raise NotImplementedError()

    async def stop(self, entry: ports.WorkerEntry, task: model.TaskKey,
                   run: int, fence_token: int,
                   timeout: datetime.timedelta) -> None:
        raise NotImplementedError()

    async def set_throttle(self, entry: ports.WorkerEntry, task: model.TaskKey,
                           run: int, percent: int, fence_token: int,
                           timeout: datetime.timedelta) -> None:
        raise NotImplementedError()


class LateWorkerClient(leading.FakeWorkers, ports.LoopDelay):
    """Workers that do not reply to some calls, and a loop that is late then.

    The first call gets a reply, and each call after those without a reply.

    Attributes:
        delays_left_s: Delay of the loop in seconds during each of the next
            calls that get no reply; None for a call that gets one.
    """

    def __init__(self, delays_s: Sequence[float]) -> None:
        super().__init__()
        self.delays_left_s = [None, *delays_s]
        self._total_delay_s = 0.0

    def read_total_s(self) -> float:
        return self._total_delay_s

    async def poll_status(self, entry: ports.WorkerEntry, fence_token: int,
                          acknowledged_number: int, expires_at_ms: int | None,
                          wait: datetime.timedelta,
                          timeout: datetime.timedelta) -> ports.WorkerStatus:
        delay_s = self.delays_left_s.pop(0) if self.delays_left_s else None
        await asyncio.sleep(timeout.total_seconds())
        if delay_s is None:
            return ports.WorkerStatus(1, 1, (), ())
        self._total_delay_s += delay_s
        raise errors.WorkerError("no reply", errors.Verdict.MAY_HAVE_RUN)


class StatusWaitTest(unittest.TestCase):
    """Tests how long a worker may hold back its reply to a poll."""

    def test_reply_without_a_start_time_leads_to_no_busy_polls(self):
        """Guards against polls without a pause of a worker that replies.

        Its reports lack the time at which its instance started.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_worker(builders.build_worker("w2"))
        worker = driver.scheduler.workers["w2"]
        self.assertFalse(_status_polls.choose_wait(worker))
        driver.apply_status("w2", born_ms=0)
        self.assertTrue(_status_polls.choose_wait(worker))


class StatusPollTest(unittest.IsolatedAsyncioTestCase):
    """Tests the first polls of a leader that takes over a large group."""

    async def test_all_workers_are_reached_over_a_slow_link(self):
        """Checks that a leader reaches 250 workers that list many runs.

        Their first replies have 8 KB each, which takes 3.2 s in all. Guards
        against polls of all workers at the same time that end before the
        replies arrive, while the late replies fill the link for the next polls.
        """
        worker_client = SlowLinkWorkerClient(8_000)
        self.start_leader(worker_client, WORKER_COUNT, fakes.build_log())
        started_at = time.monotonic()
        while (len(worker_client.reached_ids) < WORKER_COUNT and
               time.monotonic() - started_at < 20):
            await asyncio.sleep(0.05)
        self.assertEqual(len(worker_client.reached_ids), WORKER_COUNT)

    async def test_unexpected_error_does_not_end_the_polls(self):
        """Guards against a worker whose lease is not renewed any more."""
        worker_client = SlowLinkWorkerClient(0)
        poll_status = worker_client.poll_status
        errors_left = [ValueError("unexpected")] * 2

        async def fail_first(*args: object) -> ports.WorkerStatus:
            if errors_left:
                raise errors_left.pop()
            return await poll_status(*args)

        log = fakes.RecordingLog()
        with mock.patch.object(worker_client, "poll_status", fail_first):
            self.start_leader(worker_client, 1, log)
            async with asyncio.timeout(5):
                while not worker_client.reached_ids:
                    await asyncio.sleep(0.02)
        (line,) = log.list_fields("worker-lost")
        self.assertIn("unexpected", line["error"])

    async def test_lost_worker_is_logged_with_the_delay_of_the_loop(self):
        """Guards against losses that cannot be told from a late leader.

        The first poll fails after the event loop was blocked for 0.3 s.
        """
        worker_client = SlowLinkWorkerClient(0)

        async def block(*_: object) -> ports.WorkerStatus:
            await asyncio.sleep(0.1)
            time.sleep(0.3)
            raise errors.WorkerError("no reply", errors.Verdict.MAY_HAVE_RUN)

        log = fakes.RecordingLog()
        with mock.patch.object(worker_client, "poll_status", block):
            self.start_leader(worker_client, 1, log)
            async with asyncio.timeout(5):
                while not log.list_fields("worker-lost"):
                    await asyncio.sleep(0.02)
        (line,) = log.list_fields("worker-lost")
        self.assertGreaterEqual(line["loop_delay_ms"], 200)

    async def test_worker_is_lost_by_a_call_on_time_or_several_late_ones(self):
        """Guards against leaders that lose workers by their own lateness.

        Each call adds a delay to that of the loop. The calls after the first
        reply get none, up to a number of them.
        """
        one_late_call = _status_polls.LATE_CALL_DELAY.total_seconds()
        # Delays of the calls without a reply in s, and whether the worker is
        # lost then.
        cases = (((0.0,), True), ((one_late_call,),
                                  False), ((one_late_call,) * 2, False),
                 ((one_late_call,) * 3, True), ((one_late_call, 0.0), True))
        for delays_s, is_lost in cases:
            with self.subTest(delays_s), mock.patch.multiple(
                    _status_polls,
                    STATUS_WAIT_IDLE=ONE_MS,
                    STATUS_REPLY_ALLOWANCE=ONE_MS):
                log = fakes.RecordingLog()
                workers = LateWorkerClient(delays_s)
                leader = self.start_leader(workers, 1, log, workers)
                async with asyncio.timeout(5):
                    while workers.delays_left_s:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(0.02)
                await leader.stop()
                self.assertEqual(len(log.list_fields("worker-lost")), is_lost)
                self.assertEqual(len(log.list_fields("status-call-late")),
                                 sum(map(bool, delays_s[:2])))

    async def test_reply_that_is_read_late_is_not_a_recent_one(self):
        """Guards against starts on a worker that was replaced meanwhile.

        The first reply is read 0.2 s after the time at which it should have
        arrived. No later one arrives.
        """
        worker_client = SlowLinkWorkerClient(0)
        called_at = []

        async def reply_late(*_: object) -> ports.WorkerStatus:
            called_at.append(time.monotonic())
            await asyncio.sleep(0.9 if len(called_at) == 1 else 30)
            return ports.WorkerStatus(1, 1, (), ())

        with mock.patch.object(worker_client, "poll_status", reply_late):
            leader = self.start_leader(worker_client, 1, fakes.build_log())
            async with asyncio.timeout(5):
                while len(called_at) < 2:
                    await asyncio.sleep(0.02)
        self.assertLessEqual(leader.scheduler.workers["w0"].last_status_at,
                             called_at[0] + 0.7)

    def start_leader(
            self,
            worker_client: ports.LeasedWorkerClient,
            worker_count: int,
            log: _decision_log.DecisionLog,
            loop_delay: ports.LoopDelay | None = None
    ) -> _group_leader.GroupLeader:
        """Starts a leader of new workers, until the test ends."""
        clock = adapters.SystemClock()
        if loop_delay is None:
            loop_delay = adapters.LoopDelayMeter(clock)
            meter_task = asyncio.create_task(loop_delay.run())
            self.addCleanup(meter_task.cancel)
        metrics = _metrics.ClusterMetrics()
        writer = _job_topic.JobTopicWriter(fakes.FakeStore(),
                                           ports.Producer("g/north-1", 64),
                                           clock, log, metrics)
        one_second = datetime.timedelta(seconds=1)
        leader = _group_leader.GroupLeader(
            "north-1", 64, 0,
            dispatch.GroupTimings(one_second, one_second, one_second,
                                  one_second), ("entry-1", "entry-1#1"),
            worker_client, None, writer, clock, log, metrics,
            lambda report: None, lambda group, reason: None, lambda: {},
            dispatch.InterferenceModel(), loop_delay)
        leader.start()
        self.addAsyncCleanup(leader.stop)
        for index in range(worker_count):
            leader.put_worker(
                ports.WorkerEntry(f"w{index}", "service", f"10.0.0.{index}:80",
                                  "north-1", False, 32_000, 65_536, 0,
                                  frozenset()))
        return leader
