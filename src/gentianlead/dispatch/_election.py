"""When a daemon takes the lead of a group."""

import datetime
import hashlib
from typing import Iterable, NamedTuple

from gentianlead.dispatch import _table

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
"""Longest time between two records of a leader while the store works."""

SILENCE_LIMIT = datetime.timedelta(milliseconds=2500)
"""Silence in the topic after which a leader is replaced although its peers
reach it: five beats, or one call to a store that is slow by a factor of 60
besides two beats."""

UNREACHABLE_LIMIT = datetime.timedelta(milliseconds=1300)
"""Silence in the topic after which a leader is replaced that its peers do not
reach either: two beats and a read."""

STORE_SETTLING = datetime.timedelta(milliseconds=1500)
"""Time after the return of the store in which leaders confirm themselves."""

RANK_DELAY = datetime.timedelta(milliseconds=150)
"""Delay for each member that should take the lead first: several appends."""

AWAY_DELAY = datetime.timedelta(milliseconds=500)
"""Further delay for members of other domains while one of the group's own can
take the lead: longer than a read, which shows that it has."""

HOME_DELAY = datetime.timedelta(seconds=2)
"""Time that a member of the group's own domain has been up before it takes
the lead back from a member of another domain."""

EPOCH_STEP = 512
"""Candidates choose epochs within a step by their names, so that the store
rarely takes the append of one for a repetition of another's; the winner is the
one whose record is read back."""

_RETURN_HOME = "leader is in another domain"


class ElectionView(NamedTuple):
    """What a daemon knows when it decides.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of its process.
        members: Live members by name, this one included.
        reachable: Names of members that a peer stream reaches.
        store_fresh_since: Monotonic time in seconds since which all reads
            were answered; None while they are not.
        started_at: Monotonic time at which the daemon was ready.
        now: Monotonic time.
    """

    node: str
    incarnation: str
    members: dict[str, _table.MemberEntry]
    reachable: frozenset[str]
    store_fresh_since: float | None
    started_at: float
    now: float


def rank_members(group: str, domains: Iterable[tuple[str, str]]) -> list[str]:
    """Returns members in the order in which they should lead a group.

    Args:
        group: The group.
        domains: Pairs of a member's name and failure domain.
    """

    def compute_rank(item: tuple[str, str]) -> tuple[bool, bytes]:
        name, domain = item
        digest = hashlib.blake2b(f"{group}/{name}".encode(), digest_size=8)
        return domain != group, digest.digest()

    return [name for name, _ in sorted(domains, key=compute_rank)]


def choose_epoch(known: int, node: str) -> int:
    """Returns an epoch above the known one."""
    digest = hashlib.blake2b(node.encode(), digest_size=2).digest()
    slot = int.from_bytes(digest, "big") % EPOCH_STEP
    return (known // EPOCH_STEP + 1) * EPOCH_STEP + slot


def find_reason_to_lead(group: str, leader: _table.LeaderEntry | None,
                        view: ElectionView) -> str:
    """Returns why this daemon should take the lead now, or nothing.

    A wrong decision costs a takeover, never a second run of a task: workers
    and store refuse the orders of the former leader.
    """
    if view.store_fresh_since is None:
        return ""
    now = view.now
    usable = {
        name: member
        for name, member in view.members.items()
        if name == view.node or name in view.reachable
    }
    order = rank_members(
        group,
        [(name, member.record.domain) for name, member in usable.items()])
    if view.node not in order:
        return ""
    delay = order.index(view.node) * RANK_DELAY.total_seconds()
    if view.members[view.node].record.domain != group and any(
            usable[name].record.domain == group for name in order):
        delay += AWAY_DELAY.total_seconds()
    if leader is None:
        waited = now - max(view.started_at, view.store_fresh_since)
        return "group has no leader" if waited >= delay else ""
    reason, since = _find_vacancy(group, leader, view)
    if reason == _RETURN_HOME and order[0] != view.node:
        return ""  # Only the first of the domain; nothing is urgent.
    if reason and now - since >= delay:
        return reason
    return ""


def _find_vacancy(group: str, leader: _table.LeaderEntry,
                  view: ElectionView) -> tuple[str, float]:
    record = leader.record
    now = view.now
    silence = now - leader.confirmed_at
    settled = now - view.store_fresh_since >= STORE_SETTLING.total_seconds()
    if not record.node:
        return "leader resigned", leader.confirmed_at
    if record.node == view.node and record.incarnation != view.incarnation:
        return "own process restarted", view.started_at
    member = view.members.get(record.node)
    if (member is not None and member.record.incarnation != record.incarnation):
        return "leader's process restarted", member.seen_at
    is_reachable = record.node in view.reachable or record.node == view.node
    limit = SILENCE_LIMIT if is_reachable else UNREACHABLE_LIMIT
    if settled and silence >= limit.total_seconds():
        return ("leader is silent", leader.confirmed_at + limit.total_seconds())
    is_home = view.members[view.node].record.domain == group
    leads_from = member.record.domain if member is not None else None
    if (is_home and settled and leads_from is not None and
            leads_from != group and
            now - view.started_at >= HOME_DELAY.total_seconds()):
        return _RETURN_HOME, view.started_at
    return "", now
