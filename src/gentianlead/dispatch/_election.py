"""Rules by which a daemon takes over the leadership of a group."""

import datetime
import hashlib
from typing import Iterable, NamedTuple

from gentianlead.dispatch import _table

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
"""Longest time between two records of a leader while the store replies."""

SILENCE_LIMIT = datetime.timedelta(milliseconds=2500)
"""Time without records after which a leader is replaced although the candidate
can reach it as a peer: five heartbeats, or two heartbeats and one call to a
store that is slower by a factor of 60."""

UNREACHABLE_SILENCE_LIMIT = datetime.timedelta(milliseconds=1300)
"""Time without records after which a leader is replaced that the candidate
cannot reach as a peer either: two heartbeats and a read."""

STORE_RECOVERY_WAIT = datetime.timedelta(milliseconds=1500)
"""Time after an outage of the store in which leaders may write new records
before they count as silent."""

RANK_DELAY = datetime.timedelta(milliseconds=150)
"""Delay of a takeover for each reachable member that ranks higher: as long as
several appends to the store take."""

OTHER_DOMAIN_DELAY = datetime.timedelta(milliseconds=500)
"""Further delay for members of other domains while a member of the group's own
domain can take over: longer than the read that shows its takeover."""

FAILBACK_DELAY = datetime.timedelta(seconds=2)
"""Time that a member of the group's own domain waits after joining before it
takes over from a leader in another domain."""

EPOCH_RANGE_SIZE = 512
"""Size of the range in which a hash of the candidate's name selects the epoch.
Two candidates thus rarely choose the same epoch. If they did, the store would
take the append of one for a repetition of the other's. The winner is the
candidate whose leader record is then read from the topic."""

_FAILBACK_REASON = "leader is in another domain"


class ElectionView(NamedTuple):
    """State of the cluster as a daemon sees it when it decides on a takeover.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of the daemon's process.
        members: Live members by name, including this daemon.
        reachable_nodes: Names of the members that a peer stream reaches.
        store_available_since: Monotonic time in seconds since which all reads
            of the store got replies; None while they get none.
        joined_at: Monotonic time in seconds at which the daemon first found
            itself among the members.
        now: Present monotonic time in seconds.
    """

    node: str
    incarnation: str
    members: dict[str, _table.MemberEntry]
    reachable_nodes: frozenset[str]
    store_available_since: float | None
    joined_at: float
    now: float


def rank_members(group: str,
                 names_and_domains: Iterable[tuple[str, str]]) -> list[str]:
    """Returns the names of members, the one that should lead a group first.

    Members of the group's own domain come first; a hash decides among the rest.

    Args:
        group: Name of the group, which is the name of its failure domain.
        names_and_domains: Pairs of a member's name and failure domain.
    """

    def compute_sort_key(
            name_and_domain: tuple[str, str]) -> tuple[bool, bytes]:
        name, domain = name_and_domain
        digest = hashlib.blake2b(f"{group}/{name}".encode(), digest_size=8)
        return domain != group, digest.digest()

    return [name for name, _ in sorted(names_and_domains, key=compute_sort_key)]


def choose_epoch(known_epoch: int, node: str) -> int:
    """Returns an epoch above the known one; most candidates get different ones.
    """
    digest = hashlib.blake2b(node.encode(), digest_size=2).digest()
    offset_in_range = int.from_bytes(digest, "big") % EPOCH_RANGE_SIZE
    return (known_epoch // EPOCH_RANGE_SIZE +
            1) * EPOCH_RANGE_SIZE + offset_in_range


def find_reason_to_lead(group: str, leader: _table.LeaderEntry | None,
                        view: ElectionView) -> str:
    """Returns why this daemon should take over a group now, or an empty string.

    A wrong decision costs a takeover, but never a second run of a task: workers
    and the store refuse the orders of the former leader.
    """
    if view.store_available_since is None:
        return ""
    now = view.now
    reachable_members = {
        name: member
        for name, member in view.members.items()
        if name == view.node or name in view.reachable_nodes
    }
    ranked_names = rank_members(group,
                                [(name, member.record.domain)
                                 for name, member in reachable_members.items()])
    if view.node not in ranked_names:
        return ""
    delay_s = ranked_names.index(view.node) * RANK_DELAY.total_seconds()
    if view.members[view.node].record.domain != group and any(
            reachable_members[name].record.domain == group
            for name in ranked_names):
        delay_s += OTHER_DOMAIN_DELAY.total_seconds()
    if leader is None:
        waited_s = now - max(view.joined_at, view.store_available_since)
        return "group has no leader" if waited_s >= delay_s else ""
    reason, takeover_due_since = _find_replacement_reason(group, leader, view)
    if reason == _FAILBACK_REASON and ranked_names[0] != view.node:
        return ""  # Not urgent, so only the member that ranks first does it.
    if reason and now - takeover_due_since >= delay_s:
        return reason
    return ""


def _find_replacement_reason(group: str, leader: _table.LeaderEntry,
                             view: ElectionView) -> tuple[str, float]:
    record = leader.record
    now = view.now
    silence_s = now - leader.last_record_read_at
    is_store_recovered = (now - view.store_available_since
                          >= STORE_RECOVERY_WAIT.total_seconds())
    if not record.node:
        return "leader resigned", leader.last_record_read_at
    if record.node == view.node and record.incarnation != view.incarnation:
        return "own process restarted", view.joined_at
    member = view.members.get(record.node)
    if (member is not None and member.record.incarnation != record.incarnation):
        return "leader's process restarted", member.seen_at
    is_reachable = (record.node in view.reachable_nodes or
                    record.node == view.node)
    silence_limit = SILENCE_LIMIT if is_reachable else UNREACHABLE_SILENCE_LIMIT
    if is_store_recovered and silence_s >= silence_limit.total_seconds():
        return ("leader is silent",
                leader.last_record_read_at + silence_limit.total_seconds())
    is_in_group_domain = view.members[view.node].record.domain == group
    leader_domain = member.record.domain if member is not None else None
    if (is_in_group_domain and is_store_recovered and
            leader_domain is not None and leader_domain != group and
            now - view.joined_at >= FAILBACK_DELAY.total_seconds()):
        return _FAILBACK_REASON, view.joined_at
    return "", now
