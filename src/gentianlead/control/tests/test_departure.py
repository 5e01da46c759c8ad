"""Tests of a planned stop while the log accepts no appends."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import errors
from gentianlead import execution
from gentianlead import membership
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.control import _departure
from gentianlead.control import _running_coroutines

_MAX_STATE_AGE = datetime.timedelta(seconds=2)


class LogOutageTest(unittest.IsolatedAsyncioTestCase):
    """Tests when a daemon hands over its runs, and for how long it tries."""

    def setUp(self) -> None:
        self.client = mock.create_autospec(streams.StreamClient, instance=True)
        self.client.replica = mock.Mock()
        self.client.replica.state_machine = state.DomainStateMachine()
        self.client.get_age.return_value = datetime.timedelta()
        self.client.submit.side_effect = errors.LogUnavailableError("refused")
        tracker = mock.create_autospec(membership.MembershipTracker,
                                       instance=True)
        tracker.list_live_members.return_value = [
            state.Member(name, 0, "127.0.0.1:1", 0, 0) for name in "ab"
        ]
        for name in "ab":
            self.client.replica.state_machine.apply(
                0, model.MemberJoined(name, 0, "127.0.0.1:1"))
        self.run_manager = mock.create_autospec(execution.RunManager,
                                                instance=True)
        self.coroutines = _running_coroutines.BackgroundCoroutines(self.fail)
        self.departure = _departure.DomainDeparture("a", self.client,
                                                    self.run_manager, tracker,
                                                    self.coroutines,
                                                    _MAX_STATE_AGE)

    async def run_round(self) -> None:
        """Runs the departure as a round of a draining daemon does."""
        self.departure.begin_if_due()
        await self.coroutines.wait(lambda key: True)

    async def test_log_refuses_appends(self) -> None:
        """Guards against runs that end because their handover is refused."""
        await self.run_round()
        self.run_manager.hand_over_runs.assert_not_called()
        self.client.submit.side_effect = None
        await self.run_round()
        self.run_manager.hand_over_runs.assert_awaited_once_with(["b"])

    async def test_state_is_old(self) -> None:
        """Guards against a handover while the log cannot be read."""
        self.client.submit.side_effect = None
        self.client.get_age.return_value = 2 * _MAX_STATE_AGE
        await self.run_round()
        self.run_manager.hand_over_runs.assert_not_called()

    async def test_exit_while_log_does_not_answer(self) -> None:
        """Guards against a planned stop that outlasts its time limit."""

        async def hang(record: model.Record) -> None:
            del record
            await asyncio.sleep(60)

        self.client.submit.side_effect = hang
        with mock.patch.object(_departure, "FINISH_TIMEOUT",
                               datetime.timedelta(milliseconds=20)):
            async with asyncio.timeout(5):
                await self.departure.finish()
        self.run_manager.hand_over_runs.assert_awaited_once_with(["b"])
