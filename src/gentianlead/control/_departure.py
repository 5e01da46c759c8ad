"""Handover and departure of a daemon that stops as planned."""

import asyncio
import datetime
from typing import Hashable

from gentianlead import errors
from gentianlead import execution
from gentianlead import membership
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.control import _running_coroutines

CLAIM_KEY = "claim"
"""First item of the keys of background coroutines that append claims."""


def is_claim_key(key: Hashable) -> bool:
    """Returns whether a background coroutine appends a claim, by its key."""
    return isinstance(key, tuple) and key[0] == CLAIM_KEY


FINISH_TIMEOUT = datetime.timedelta(seconds=10)
"""Longest time that the departure before the exit takes if the log does not
answer; the entry point gives the whole end of a planned stop 15 s."""


class DomainDeparture:
    """Hands over the runs of a stopping daemon and leaves the domain.

    The daemon leaves as soon as another member is live, and not only when it
    exits. Its requests can take much longer to end, and meanwhile the other
    members would wait for it as for a failed daemon: until its heartbeats are
    overdue, no other member becomes the preferred scheduler.

    Args:
        incarnation: Incarnation of this daemon.
        domain_stream_client: Client of the domain's stream.
        run_manager: Manages the runs that this daemon holds.
        membership_tracker: Tracker of which members of the domain are live.
        background_coroutines: Runs the departure in the background.
        max_state_age: Greatest age of the state of the domain's stream with
            which the daemon leaves. The leases of its runs are not renewed
            while it leaves, so it does not begin during an outage of the log.
    """

    def __init__(
            self, incarnation: str, domain_stream_client: streams.StreamClient,
            run_manager: execution.RunManager,
            membership_tracker: membership.MembershipTracker,
            background_coroutines: _running_coroutines.BackgroundCoroutines,
            max_state_age: datetime.timedelta):
        self._incarnation = incarnation
        self._domain_stream_client = domain_stream_client
        self._run_manager = run_manager
        self._membership_tracker = membership_tracker
        self._background_coroutines = background_coroutines
        self._max_state_age = max_state_age

    def begin_if_due(self) -> None:
        """Starts to leave if there is a successor and anything to hand over.

        It is called in each round of a draining daemon, so that a failed
        attempt is repeated. Runs that another stopping daemon hands over to
        this one after it has left are handed on.
        """
        if self._domain_stream_client.get_age() > self._max_state_age:
            return
        successors = self._list_successors()
        if successors and (self._is_member() or self._run_manager.list_runs()):
            self._background_coroutines.start(
                "leave", self._leave_if_log_accepts(successors))

    async def finish(self) -> None:
        """Leaves before the daemon exits, also without a successor.

        Without a successor, the held runs keep this daemon as their holder. An
        attempt that takes longer than `FINISH_TIMEOUT` is given up.
        """
        try:
            async with asyncio.timeout(FINISH_TIMEOUT.total_seconds()):
                await self._leave(self._list_successors())
        except TimeoutError:
            pass

    def _is_member(self) -> bool:
        state_machine = self._domain_stream_client.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        return self._incarnation in state_machine.members

    def _list_successors(self) -> list[str]:
        """Returns the other live members in the order in which they joined."""
        return [
            member.member
            for member in self._membership_tracker.list_live_members()
            if member.member != self._incarnation
        ]

    async def _leave_if_log_accepts(self, successors: list[str]) -> None:
        """Leaves if the log accepts a heartbeat.

        The handover ends the renewals of the leases before its records are
        appended. If the log refused these, the runs would end although this
        daemon could go on to hold them.
        """
        try:
            await self._domain_stream_client.submit(
                model.MemberHeartbeat(self._incarnation))
        except errors.LogUnavailableError:
            return  # The next round tries again.
        await self._leave(successors)

    async def _leave(self, successors: list[str]) -> None:
        await self._background_coroutines.wait(is_claim_key)
        await self._run_manager.release_ended_runs()
        # The first successor becomes the preferred scheduler, which takes over
        # the runs whose holder is no member: it gets them either way.
        await self._run_manager.hand_over_runs(successors[:1])
        if not self._is_member():
            return
        try:
            await self._domain_stream_client.submit(
                model.MemberLeft(self._incarnation))
        except errors.LogUnavailableError:
            pass  # The next round tries again.
