"""Liveness of the members of a failure domain.

The age of a heartbeat is measured up to the last time at which the domain's
stream was known to be current. During an outage of the log no member can append
heartbeats, so the length of the outage must not add to their heartbeat ages. It
does not, because a long time without a successful read is left out unless a
heartbeat was appended in it.
"""

import datetime

from gentianlead import state


class MembershipTracker:
    """Tracks which members of a domain are live, by their heartbeats.

    Args:
        heartbeat_timeout: Time without a heartbeat after which a member no
            longer counts as live.
    """

    def __init__(self, heartbeat_timeout: datetime.timedelta):
        self._heartbeat_timeout_s = heartbeat_timeout.total_seconds()
        # A shorter gap and the interval of heartbeats, a third of the timeout,
        # do not add up to the timeout.
        self._max_read_gap_s = self._heartbeat_timeout_s / 2
        # By incarnation: offset of the last heartbeat, and the value of
        # `_fresh_as_of`, in monotonic seconds, at the first update with it.
        self._last_heartbeats: dict[str, tuple[int, float]] = {}
        self._members: list[state.Member] = []
        self._fresh_as_of = 0.0

    def update(self, members: dict[str, state.Member],
               fresh_as_of: float) -> None:
        """Updates the members from the state of the domain's stream.

        Args:
            members: Members by incarnation.
            fresh_as_of: Time as of which the state was last known to be
                current, in monotonic seconds. If an earlier call passed a later
                time, that time is used instead.
        """
        gap_s = fresh_as_of - self._fresh_as_of
        self._fresh_as_of = max(self._fresh_as_of, fresh_as_of)
        if gap_s > self._max_read_gap_s and not (
                self._has_new_heartbeat(members)):
            for incarnation, (offset, as_of) in self._last_heartbeats.items():
                self._last_heartbeats[incarnation] = (offset, as_of + gap_s)
        for member in members.values():
            last_heartbeat = self._last_heartbeats.get(member.member)
            if last_heartbeat is None or last_heartbeat[
                    0] != member.last_heartbeat_offset:
                self._last_heartbeats[member.member] = (
                    member.last_heartbeat_offset, self._fresh_as_of)
        for incarnation in [
                incarnation for incarnation in self._last_heartbeats
                if incarnation not in members
        ]:
            del self._last_heartbeats[incarnation]
        self._members = sorted(members.values(),
                               key=lambda member: member.join_offset)

    def _has_new_heartbeat(self, members: dict[str, state.Member]) -> bool:
        known_offsets = {
            incarnation: offset
            for incarnation, (offset, _) in self._last_heartbeats.items()
        }
        return any(
            member.last_heartbeat_offset != known_offsets.get(incarnation)
            for incarnation, member in members.items())

    def get_heartbeat_age(self, incarnation: str) -> datetime.timedelta:
        """Returns the age of a member's last heartbeat.

        The age is the difference of two values of `fresh_as_of`: that of the
        last update minus that of the first update with the heartbeat, less the
        outages of the log between them. Joining counts as a heartbeat. The age
        is `timedelta.max` if the member is unknown.
        """
        last_heartbeat = self._last_heartbeats.get(incarnation)
        if last_heartbeat is None:
            return datetime.timedelta.max
        return datetime.timedelta(
            seconds=max(0.0, self._fresh_as_of - last_heartbeat[1]))

    def is_live(self, incarnation: str) -> bool:
        """Returns whether a member's heartbeat age is at most the timeout."""
        return self.get_heartbeat_age(
            incarnation).total_seconds() <= self._heartbeat_timeout_s

    def list_live_members(self) -> list[state.Member]:
        """Returns the live members in the order in which they joined."""
        return [
            member for member in self._members if self.is_live(member.member)
        ]

    def list_silent_members(
            self, max_heartbeat_age: datetime.timedelta) -> list[state.Member]:
        """Returns the members whose last heartbeat is older than the limit."""
        return [
            member for member in self._members
            if self.get_heartbeat_age(member.member) > max_heartbeat_age
        ]

    def get_rank(self, incarnation: str) -> int | None:
        """Returns the rank of a member: how many live members joined before it.

        The member of rank 0 is the preferred scheduler. The rank is None if the
        member is not live.
        """
        for rank, live_member in enumerate(self.list_live_members()):
            if live_member.member == incarnation:
                return rank
        return None
