"""Tests of runs whose end is not recorded by their first holder."""

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

_LEASE_LENGTH = datetime.timedelta(seconds=15)
_TASK_SIZE = model.Resources(100, 64)
_RUN_KEY = ports.RunKey("job", 0, 1)


class UnrecordedEndTest(unittest.IsolatedAsyncioTestCase):
    """Tests a finished run while its holder cannot append to the log."""

    def setUp(self) -> None:
        clock = mock.create_autospec(ports.Clock, instance=True)
        clock.monotonic.return_value = 100.0
        finished = ports.WorkerReply(
            "boot-1", 1000,
            (ports.RunReport(_RUN_KEY, ports.RunState.FINISHED),))
        self.agent_client = mock.create_autospec(ports.WorkerAgent,
                                                 instance=True)
        self.agent_client.list_runs.return_value = finished
        self.agent_client.start.return_value = finished
        self.state_machine = state.DomainStateMachine()
        client = mock.create_autospec(streams.StreamClient, instance=True)
        client.replica = mock.Mock()
        client.replica.state_machine = self.state_machine
        client.submit.side_effect = errors.LogUnavailableError("no verdict")
        freshness = mock.Mock()
        freshness.max_age_for_renewals = _LEASE_LENGTH
        self.manager = execution.RunManager(
            "old", client, self.agent_client, clock,
            execution.LeaseTimings(_LEASE_LENGTH,
                                   datetime.timedelta(milliseconds=1),
                                   datetime.timedelta(hours=1)), freshness,
            lambda worker: worker, lambda run: True,
            execution.ExecutionObserver())
        self.addAsyncCleanup(self.manager.close)

    def apply(self, *records: model.Record) -> None:
        """Applies records, which must be accepted, to the domain's state."""
        for record in records:
            self.assertTrue(
                self.state_machine.apply(1, record).is_accepted, record)

    async def finish_run(self) -> None:
        """Lets a run of this daemon finish; its end cannot be recorded."""
        self.apply(model.WorkerPut("w1", "rack", _TASK_SIZE),
                   model.JobOpened(model.JobSpec("job"), 1, (), {}),
                   model.TaskClaimed("job", 0, 1, "w1", _TASK_SIZE, "old"))
        async with asyncio.timeout(5):
            while (self.manager.get_run(("job", 0)).phase
                   is not execution.RunPhase.ENDED):
                await asyncio.sleep(0.002)

    async def test_run_taken_over(self) -> None:
        """Guards against a finished task that runs again after a takeover.

        The new holder needs the worker's report that the run has finished.
        """
        await self.finish_run()
        self.apply(model.HolderChanged("job", 0, 1, "old", "new"))
        await asyncio.sleep(0.02)
        self.assertIsNone(self.manager.get_run(("job", 0)))
        self.agent_client.forget.assert_not_called()

    async def test_end_recorded(self) -> None:
        """Guards against ended runs that a worker keeps for ever."""
        await self.finish_run()
        self.apply(model.TaskFinished("job", 0, 1, "old"))
        await asyncio.sleep(0.02)
        self.agent_client.forget.assert_called_once_with("w1", _RUN_KEY)
