"""Tests of which lost runs are evidence against their task."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import errors
from gentianlead import execution
from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead import streams
from gentianlead.execution import _crashes

_LEASE_LENGTH = datetime.timedelta(seconds=15)
_REFUSED = errors.WorkerError("refused", errors.Verdict.DID_NOT_RUN)
_RESET = errors.WorkerError("reset", errors.Verdict.MAY_HAVE_RUN)


class CrashReasonTest(unittest.IsolatedAsyncioTestCase):
    """Tests the release reasons of runs whose worker was lost."""

    def setUp(self) -> None:
        self.clock = mock.create_autospec(ports.Clock, instance=True)
        self.clock.monotonic.return_value = 100.0
        self.agent_client = mock.create_autospec(ports.WorkerAgent,
                                                 instance=True)
        self.boot_ids: dict[str, str | None] = {}
        self.agent_client.list_runs.side_effect = self.reply
        self.agent_client.renew.side_effect = self.reply
        self.agent_client.start.side_effect = self.reply
        self.state_machine = state.DomainStateMachine()
        self.submitted: dict[str, model.Record] = {}
        self._offset = 0
        client = mock.create_autospec(streams.StreamClient, instance=True)
        client.replica = mock.Mock()
        client.replica.state_machine = self.state_machine
        client.submit.side_effect = self.submit
        freshness = mock.Mock()
        freshness.max_age_for_renewals = _LEASE_LENGTH
        self.manager = execution.RunManager(
            "me", client, self.agent_client, self.clock,
            execution.LeaseTimings(_LEASE_LENGTH,
                                   datetime.timedelta(milliseconds=1),
                                   datetime.timedelta(hours=1)), freshness,
            lambda worker: worker, lambda run: True,
            execution.ExecutionObserver())
        self.addAsyncCleanup(self.manager.close)

    async def reply(self, address: str, *arguments: object) -> object:
        """Answers for a worker, or fails while the worker is down."""
        boot_id = self.boot_ids.get(address, "boot-1")
        if boot_id is None:
            raise _REFUSED
        keys = []
        if arguments and isinstance(arguments[-1], list):
            keys = [renewal.key for renewal in arguments[-1]]
        elif arguments:
            keys = [arguments[0].key]
        run_state = (ports.RunState.RUNNING
                     if boot_id == "boot-1" else ports.RunState.UNKNOWN)
        return ports.WorkerReply(
            boot_id, int(self.clock.monotonic() * 1000),
            tuple(ports.RunReport(key, run_state) for key in keys))

    async def submit(self, record: model.Record) -> state.AppliedRecord:
        """Applies an end record to the state."""
        self.submitted[f"w{record.task}"] = record
        return state.AppliedRecord(0, None, self.apply(record))

    def apply(self, record: model.Record) -> state.RecordVerdict:
        """Applies a record to the state of the domain."""
        self._offset += 1
        return self.state_machine.apply(self._offset, record)

    def claim(self, count: int, holder: str = "me") -> None:
        """Claims task n on worker `wn`."""
        self.apply(model.JobOpened(model.JobSpec("job", tasks=count), 1, (),
                                   {}))
        for index in range(count):
            self.apply(
                model.WorkerPut(f"w{index}", "rack",
                                model.Resources(1000, 1000)))
            self.apply(
                model.TaskClaimed("job", index, 1, f"w{index}",
                                  model.Resources(100, 64), holder))

    async def advance(self, seconds: float) -> None:
        """Lets the sessions poll each worker about once a second."""
        for _ in range(round(seconds)):
            self.clock.monotonic.return_value += 1.0
            for _ in range(4):
                await asyncio.sleep(0.002)

    async def lose(self, *workers: str) -> None:
        """Fails the workers and boots them again 6 s later."""
        self.boot_ids.update(dict.fromkeys(workers))
        await self.advance(6)
        self.boot_ids.update(dict.fromkeys(workers, "boot-2"))
        await self.advance(5)

    def get_reason(self, worker: str) -> str:
        """Returns the reason in the end record of a worker's run."""
        record = self.submitted[worker]
        assert isinstance(record, model.TaskReleased)
        return record.reason

    async def test_early_loss_of_one_worker(self) -> None:
        """Guards against an early loss that is not held against the task."""
        self.claim(2)
        await self.advance(2)
        await self.lose("w0")
        self.assertEqual(self.get_reason("w0"), "lone-crash")
        self.assertNotIn("w1", self.submitted)

    async def test_early_loss_of_several_workers(self) -> None:
        """Guards against strong evidence from a loss of power."""
        self.claim(3)
        await self.advance(2)
        await self.lose("w0", "w1")
        self.assertEqual(self.get_reason("w0"), "shared-crash")
        self.assertEqual(self.get_reason("w1"), "shared-crash")

    async def test_late_loss(self) -> None:
        """Guards against evidence from a worker that fails much later."""
        self.claim(1)
        await self.advance(20)
        await self.lose("w0")
        self.assertEqual(self.get_reason("w0"), "lost")

    async def test_worker_stays_away(self) -> None:
        """Guards against a crash that needs the return of the worker."""
        self.claim(1)
        await self.advance(2)
        self.boot_ids["w0"] = None
        await self.advance(25)
        self.assertEqual(self.get_reason("w0"), "lone-crash")

    async def test_refused_start(self) -> None:
        """Guards against evidence from a start that the worker refused."""
        self.agent_client.start.side_effect = _REFUSED
        self.claim(1)
        await self.advance(10)
        self.assertEqual(self.get_reason("w0"), "not-started")

    async def test_crash_during_the_start_order(self) -> None:
        """Guards against a crash that goes uncounted without a reply."""

        async def crash(*arguments: object) -> None:
            del arguments
            self.boot_ids["w0"] = None
            raise _RESET

        self.agent_client.start.side_effect = crash
        self.claim(1)
        await self.advance(5)
        self.boot_ids["w0"] = "boot-2"
        await self.advance(5)
        self.assertEqual(self.get_reason("w0"), "lone-crash")

    async def test_run_taken_over(self) -> None:
        """Guards against evidence from a daemon that fails with a worker.

        The new holder does not know when the run started. The loss counts only
        against a task that is a suspect already, or if the first holder failed
        soon after the claim.
        """
        self.apply(model.MemberJoined("other", 0, "127.0.0.1:1"))
        for crash_count, heartbeat_count, reason in (
            (0, 6, "not-started"),
            (0, 5, "shared-crash"),
            (1, 6, "shared-crash"),
        ):
            with self.subTest(crash_count=crash_count,
                              heartbeat_count=heartbeat_count):
                self.claim(1, "other")
                job = self.state_machine.jobs["job"]
                for _ in range(crash_count):
                    job.record_crash(0, model.WorkerCrash("w9", True))
                for _ in range(heartbeat_count):
                    self.apply(model.MemberHeartbeat("other"))
                self.boot_ids["w0"] = "boot-2"
                run = job.last_run_numbers[0]
                self.apply(model.HolderChanged("job", 0, run, "other", "me"))
                await self.advance(8)
                self.assertEqual(self.get_reason("w0"), reason)
                self.apply(model.JobClosed("job", 9, "cancelled"))
                self.state_machine.tombstones.clear()


class SharedLossTest(unittest.TestCase):
    """Tests which losses of workers count as losses at one time."""

    def test_losses_noticed_by_slow_polls(self) -> None:
        """Guards against strong evidence when a large domain loses power.

        With many workers each is polled rarely, so that losses at one time are
        noticed one after another.
        """
        run = mock.Mock(start_ordered_at=1.0)
        for interval_seconds, gap, reason in (
            (1.0, 2.9, model.ReleaseReason.SHARED_CRASH),
            (1.0, 3.1, model.ReleaseReason.LONE_CRASH),
            (5.0, 6.9, model.ReleaseReason.SHARED_CRASH),
            (5.0, 7.1, model.ReleaseReason.LONE_CRASH),
        ):
            shared_loss_time = _crashes.compute_shared_loss_time(
                datetime.timedelta(seconds=interval_seconds))
            for sign in (-1, 1):
                sessions = [
                    mock.Mock(lost_at=100.0),
                    mock.Mock(lost_at=100.0 + sign * gap),
                    mock.Mock(lost_at=float("-inf"))
                ]
                self.assertIs(
                    _crashes.classify_crash(run, sessions[0], sessions,
                                            shared_loss_time), reason,
                    (interval_seconds, sign * gap))
