"""A leader in the test process, with a fake store and fake workers."""

import asyncio
import datetime
import unittest
from typing import Callable, Sequence
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _takeover_wait
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders

GROUP = "north-1"
LEASE = datetime.timedelta(seconds=1)
STOP_LIMIT = datetime.timedelta(seconds=0.5)
TIMINGS = dispatch.GroupTimings(
    LEASE, LEASE, _takeover_wait.START_PERMISSION_PERIOD +
    LEASE * _takeover_wait.CLOCK_DRIFT_FACTOR + _takeover_wait.TAKEOVER_MARGIN,
    STOP_LIMIT)


class FakeWorkers(ports.LeasedWorkerClient):
    """Workers in memory that start whatever they are told.

    Attributes:
        calls: Kind and worker of each call so far.
        silent_workers: Workers that give no reply.
        unanswered_kinds: Kinds of calls that are carried out without a reply.
        running: Runs of each worker, by identifier.
    """

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []
        self.silent_workers: set[str] = set()
        self.unanswered_kinds: set[str] = set()
        self.running: dict[str, set[tuple]] = {}
        self._ended: dict[str, list[ports.EndedRun]] = {}
        self._clock = adapters.SystemClock()

    def end_runs(self, worker_id: str) -> None:
        """Ends all runs of a worker as done."""
        ended_runs = self._ended.setdefault(worker_id, [])
        for task, run in self.running.pop(worker_id, ()):
            ended_runs.append(
                ports.EndedRun(
                    len(ended_runs) + 1, task, run, ports.EndCause.DONE, ""))

    @property
    def clock_ms(self) -> int:
        """Time on the clocks of all workers in milliseconds."""
        return int(self._clock.monotonic() * 1000)

    async def _wait_for_reply(self, kind: str, worker_id: str,
                              timeout: datetime.timedelta) -> None:
        self.calls.append((kind, worker_id))
        await asyncio.sleep(0.002)
        if worker_id in self.silent_workers or kind in self.unanswered_kinds:
            await asyncio.sleep(timeout.total_seconds())
            raise errors.WorkerError("no reply", errors.Verdict.MAY_HAVE_RUN)

    async def start(self, entry: ports.WorkerEntry,
                    order: ports.LeasedStartOrder,
                    timeout: datetime.timedelta) -> ports.StartReply:
        self.running.setdefault(entry.worker_id, set()).add(
            (order.task, order.run))
        try:
            await self._wait_for_reply("start", entry.worker_id, timeout)
        except errors.WorkerError as error:
            return ports.StartReply(ports.StartOutcome.UNKNOWN, None,
                                    str(error))
        return ports.StartReply(ports.StartOutcome.STARTED, self.clock_ms)

    async def stop(self, entry: ports.WorkerEntry, task: tuple, run: int,
                   fence_token: int, timeout: datetime.timedelta) -> None:
        await self._wait_for_reply("stop", entry.worker_id, timeout)
        self.running[entry.worker_id].discard((task, run))

    async def poll_status(self, entry: ports.WorkerEntry, fence_token: int,
                          acknowledged_number: int, expires_at_ms: int | None,
                          wait: datetime.timedelta,
                          timeout: datetime.timedelta) -> ports.WorkerStatus:
        kind = "poll" if expires_at_ms is None else "renewal"
        await self._wait_for_reply(kind, entry.worker_id, timeout)
        await asyncio.sleep(min(0.05, wait.total_seconds()))
        return builders.build_status(
            self.clock_ms,
            tuple(
                ports.ActiveRun(task, run, "", 100, None)
                for task, run in self.running.get(entry.worker_id, ())),
            tuple(self._ended.get(entry.worker_id, ())))

    async def set_throttle(self, entry: ports.WorkerEntry, task: tuple,
                           run: int, percent: int, fence_token: int,
                           timeout: datetime.timedelta) -> None:
        await self._wait_for_reply("throttle", entry.worker_id, timeout)


def start_leader(test: unittest.IsolatedAsyncioTestCase, store: fakes.FakeStore,
                 workers: FakeWorkers, log: fakes.RecordingLog,
                 worker_ids: Sequence[str]) -> _group_leader.GroupLeader:
    """Starts the first leader of a group; it is stopped after the test."""
    clock = adapters.SystemClock()
    metrics = _metrics.ClusterMetrics()
    writer = _job_topic.JobTopicWriter(
        store, ports.Producer(f"g/{GROUP}", builders.EPOCH), clock, log,
        metrics)
    leader = _group_leader.GroupLeader(
        GROUP, builders.EPOCH, 0, TIMINGS, ("entry-1", "entry-1#1"), workers,
        mock.create_autospec(ports.PermitService), writer, clock, log, metrics,
        lambda report: None, lambda group, reason: None, dict,
        dispatch.InterferenceModel(), adapters.LoopDelayMeter(clock))
    for worker_id in worker_ids:
        leader.put_worker(builders.build_worker(worker_id))
    leader.start()
    test.addAsyncCleanup(leader.stop)
    return leader


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition is true, for five seconds at most."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def list_records(store: fakes.FakeStore,
                 record_type: type) -> list[dispatch.Record]:
    """Returns the stored records of a type, in order."""
    records = map(dispatch.decode_record,
                  store.records.get(dispatch.JOB_TOPIC, ()))
    return [record for record in records if isinstance(record, record_type)]
