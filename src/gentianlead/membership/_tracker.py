"""Liveness of the members of a failure domain.

Silence is measured up to the last moment at which the domain's stream was
known to be current. During an outage of the log nobody can append a heartbeat,
and no member is taken for dead because of it.
"""

import datetime

from gentianlead import state


class MembershipTracker:
    """Follows the heartbeats in the domain's stream.

    Args:
        timeout: Silence after which a member is not live any more.
    """

    def __init__(self, timeout: datetime.timedelta):
        self._timeout_s = timeout.total_seconds()
        self._seen: dict[str, tuple[int, float]] = {}
        self._members: list[state.Member] = []
        self._fresh_as_of = 0.0

    def update(self, members: dict[str, state.Member],
               fresh_as_of: float) -> None:
        """Takes in the members of the fold.

        Args:
            members: Members by incarnation.
            fresh_as_of: Monotonic time as of which they were current.
        """
        self._fresh_as_of = max(self._fresh_as_of, fresh_as_of)
        for member in members.values():
            known = self._seen.get(member.member)
            if known is None or known[0] != member.last_heartbeat_offset:
                self._seen[member.member] = (member.last_heartbeat_offset, self._fresh_as_of)
        for name in [name for name in self._seen if name not in members]:
            del self._seen[name]
        self._members = sorted(members.values(),
                               key=lambda member: member.join_offset)

    def get_silence(self, member: str) -> datetime.timedelta:
        """Returns how long a member has been silent; max when unknown."""
        known = self._seen.get(member)
        if known is None:
            return datetime.timedelta.max
        return datetime.timedelta(seconds=max(0.0, self._fresh_as_of -
                                              known[1]))

    def is_live(self, member: str) -> bool:
        """Returns whether a member is live."""
        return self.get_silence(member).total_seconds() <= self._timeout_s

    def list_live(self) -> list[state.Member]:
        """Returns the live members in the order in which they joined."""
        return [
            member for member in self._members if self.is_live(member.member)
        ]

    def list_silent(self, limit: datetime.timedelta) -> list[state.Member]:
        """Returns members silent for longer than `limit`."""
        return [
            member for member in self._members
            if self.get_silence(member.member) > limit
        ]

    def get_rank(self, member: str) -> int | None:
        """Returns the place among the live members; 0 is preferred."""
        for rank, live in enumerate(self.list_live()):
            if live.member == member:
                return rank
        return None
