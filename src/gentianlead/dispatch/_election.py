"""Rules by which a daemon decides to take over the leadership of a group."""

import datetime
import hashlib
from typing import NamedTuple

from gentianlead.dispatch import _member_ranks
from gentianlead.dispatch import _table

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
"""Longest time between two records of a leader while the store replies."""

SILENCE_LIMIT = datetime.timedelta(milliseconds=2500)
"""Time without new records from a leader after which the leader is replaced,
even if the candidate can reach it as a peer: five heartbeat intervals, or two
heartbeat intervals and one call to a store that is 60 times slower than
usual."""

UNREACHABLE_SILENCE_LIMIT = datetime.timedelta(milliseconds=1300)
"""Replaces `SILENCE_LIMIT` if the candidate cannot reach the leader as a peer:
two heartbeat intervals and one read of the topic."""

STORE_RECOVERY_WAIT = datetime.timedelta(milliseconds=1500)
"""Time after an outage of the store during which no leader is replaced for
silence or for being in another domain: leaders first have to write new
records."""

RANK_DELAY = datetime.timedelta(milliseconds=400)
"""Delay of a candidate's takeover for each reachable member that ranks above
this candidate. Daemons read the topic every 0.3 s, so they may see the silence
of a leader that much earlier than others; the rest is for the append."""

UNKNOWN_RANK_DELAY = datetime.timedelta(milliseconds=100)
"""Replaces `RANK_DELAY` for a member that ranks above this candidate and that
may be lost, as this daemon has no connection to it. It is longer than the read
of the topic before a claim, which shows the claim of such a member."""

OTHER_DOMAIN_DELAY = datetime.timedelta(milliseconds=500)
"""Further delay for a candidate of another domain while it can reach a member
of the group's own domain. It is longer than the read that would show the
takeover by that member."""

OWN_RESTART_DELAY = 2 * RANK_DELAY
"""Further delay for a daemon that led the group before it was restarted, while
it can reach another member of the group's own domain. That member has followed
the topic for longer, so as a leader it knows sooner that no run of a former
leader can go on. The delay exceeds that of the member that ranks next, so that
the two do not claim the group at once."""

FAILBACK_DELAY = datetime.timedelta(seconds=2)
"""Time after which a member of the group's own domain that has joined gets the
group from a leader in another domain."""

MIN_FAILBACK_TERM = datetime.timedelta(seconds=11)
"""Time for which a leader must have led the group before it hands the group to
a better one. It bounds how often a group changes its leader while members of
its domain come and go."""

MIN_HAND_OVER_RATIO = 2.0
"""Least ratio of the capacities of a member and of the leader at which the
leader hands the group over. Such a member is of a higher class, and so is any
that ranks above it: no sequence of hand-overs returns to a former leader."""

HAND_BACK_LIMIT = datetime.timedelta(seconds=4)
"""Time that the leader in another domain then has for handing the group back,
before a member of the group's own domain takes over. That costs the wait for
former runs, but the leader may not reach the domain, or be of a version that
hands nothing back."""

MAX_SUCCESSOR_RECORD_AGE = datetime.timedelta(seconds=7)
"""Age of the last record of a member up to which a leader hands back to it. One
that does not store its record every 5 s may not reach the store, and could not
lead."""

EPOCH_RANGE_SIZE = 512
"""Number of epochs in a range. A candidate takes its epoch from the range after
that of the known epoch; a hash of the candidate's name selects the position in
the range. Two candidates thus rarely choose the same epoch. If they do, the
store takes the append of one for a repetition of the other's, and the candidate
whose leader record is then read from the topic wins."""

_FAILBACK_REASON = "leader is in another domain"
_CAPACITY_REASON = "another member has more capacity"
_OWN_RESTART_REASON = "own process restarted"


class ElectionView(NamedTuple):
    """State of the cluster as a daemon sees it when it decides on a takeover.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of the daemon's process.
        members: Members according to the topic, by name, including this daemon.
        reachable_nodes: Names of the other daemons that this daemon can reach
            as peers.
        store_available_since: Monotonic time in seconds since which all reads
            of the topic have succeeded; None while reads fail.
        joined_at: Monotonic time in seconds at which the daemon first found
            itself among the members.
        now: Present monotonic time in seconds.
        groups_with_missing_workers: Groups with a stored worker that the
            registry does not list.
        unknown_nodes: Names of current members whose peer connection this
            daemon does not know. They count for the order in which members
            take over, and for nothing else.
    """

    node: str
    incarnation: str
    members: dict[str, _table.MemberEntry]
    reachable_nodes: frozenset[str]
    store_available_since: float | None
    joined_at: float
    now: float
    groups_with_missing_workers: frozenset[str] = frozenset()
    unknown_nodes: frozenset[str] = frozenset()


def choose_epoch(known_epoch: int, node: str) -> int:
    """Returns an epoch above the known one; most nodes get different epochs.
    """
    digest = hashlib.blake2b(node.encode(), digest_size=2).digest()
    offset_in_range = int.from_bytes(digest, "big") % EPOCH_RANGE_SIZE
    return (known_epoch // EPOCH_RANGE_SIZE +
            1) * EPOCH_RANGE_SIZE + offset_in_range


def find_reason_to_lead(group: str, leader: _table.LeaderEntry | None,
                        view: ElectionView) -> str:
    """Returns why this daemon should take over a group now, or an empty string.

    `leader` is None if the topic has no leader record of the group.

    A wrong decision costs a takeover, but never leads to two simultaneous runs
    of a task: workers refuse the orders of the former leader, and the store
    refuses its records.
    """
    if view.store_available_since is None:
        return ""
    if leader is None:
        reason = "group has no leader"
        due_since = max(view.joined_at, view.store_available_since)
    else:
        reason, due_since = _find_replacement_reason(group, leader, view)
    if not reason or view.now < due_since:
        return ""
    delay = _compute_takeover_delay(group, reason, view)
    if delay is None or view.now - due_since < delay.total_seconds():
        return ""
    return reason


def _compute_takeover_delay(group: str, reason: str,
                            view: ElectionView) -> datetime.timedelta | None:
    """Returns the delay that gives better candidates the time to take over.

    None if this daemon must not take over for this reason.
    """
    candidates = {
        name: member
        for name, member in view.members.items()
        if name == view.node or name in view.reachable_nodes or
        name in view.unknown_nodes
    }
    ranked_members = _member_ranks.rank_members(
        group,
        frozenset((name, member.record.domain)
                  for name, member in candidates.items()),
        _member_ranks.classify_members({
            name: member.capacity for name, member in candidates.items()
        }))
    ranked_names = ranked_members.of_domain + ranked_members.others
    if view.node not in ranked_names:
        return None
    higher_names = ranked_names[:ranked_names.index(view.node)]
    # Not urgent, so only the member that ranks first takes over.
    if reason == _FAILBACK_REASON and higher_names:
        return None
    reachable_count = sum(name in view.reachable_nodes for name in higher_names)
    delay = (reachable_count * RANK_DELAY +
             (len(higher_names) - reachable_count) * UNKNOWN_RANK_DELAY)
    if ranked_members.of_domain and view.node in ranked_members.others:
        delay += OTHER_DOMAIN_DELAY
    if reason == _OWN_RESTART_REASON and any(
            name != view.node for name in ranked_members.of_domain):
        delay += OWN_RESTART_DELAY
    return delay


def find_reason_to_hand_back(group: str, leader: _table.LeaderEntry,
                             view: ElectionView) -> str:
    """Returns why this daemon should resign for another, or an empty string.

    The daemon leads the group. The other daemon is of the group's own failure
    domain. If this daemon is, too, the other must have clearly more
    capacity; a daemon that does not know its own capacity keeps the group.

    Args:
        group: Name of the group, which is the name of its failure domain.
        leader: This daemon's leadership.
        view: State of the cluster as this daemon sees it.
    """
    if (view.store_available_since is None or
            view.now - view.store_available_since
            < STORE_RECOVERY_WAIT.total_seconds() or
            view.now - leader.epoch_read_at
            < MIN_FAILBACK_TERM.total_seconds()):
        return ""
    successors = [
        member for name, member in view.members.items()
        if member.record.domain == group and name in view.reachable_nodes and
        _can_take_over_at_once(member, view.now)
    ]
    own_member = view.members[view.node]
    if own_member.record.domain != group:
        return _FAILBACK_REASON if successors else ""
    if own_member.capacity and any(
            member.capacity >= MIN_HAND_OVER_RATIO * own_member.capacity
            for member in successors):
        return _CAPACITY_REASON
    return ""


def _can_take_over_at_once(member: _table.MemberEntry, now: float) -> bool:
    """Returns whether a member has joined and stores its records."""
    record_age_s = now - member.seen_at
    has_joined = (member.record.heartbeat_number > 1 or
                  record_age_s >= FAILBACK_DELAY.total_seconds())
    return (has_joined and
            record_age_s <= MAX_SUCCESSOR_RECORD_AGE.total_seconds())


def find_process_end(leader: _table.LeaderEntry,
                     members: dict[str, _table.MemberEntry]) -> float | None:
    """Returns a time by which the process of a leader had ended.

    That is when a record of the next process on the same machine was read. The
    time is monotonic and in seconds; None if no such record was read.
    """
    member = members.get(leader.record.node)
    if (member is None or
            member.record.incarnation == leader.record.incarnation):
        return None
    return member.seen_at


def _find_replacement_reason(group: str, leader: _table.LeaderEntry,
                             view: ElectionView) -> tuple[str, float]:
    record = leader.record
    now = view.now
    silence_s = now - leader.last_record_read_at
    is_store_recovered = (now - view.store_available_since
                          >= STORE_RECOVERY_WAIT.total_seconds())
    if record.has_resigned:
        return "leader resigned", leader.last_record_read_at
    if record.node == view.node and record.incarnation != view.incarnation:
        return _OWN_RESTART_REASON, view.joined_at
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
            leader_domain not in (None, group) and
            _is_failback_due(group, leader, view)):
        return _FAILBACK_REASON, view.joined_at
    return "", now


def _is_failback_due(group: str, leader: _table.LeaderEntry,
                     view: ElectionView) -> bool:
    # After a takeover, no task of a known job starts until all workers of the
    # former leader have replied or cannot have runs any more. A failback can
    # wait until the workers that are gone have been dropped.
    min_term = MIN_FAILBACK_TERM + HAND_BACK_LIMIT
    return (group not in view.groups_with_missing_workers and
            view.now - leader.epoch_read_at >= min_term.total_seconds() and
            view.now - view.joined_at >= FAILBACK_DELAY.total_seconds())
