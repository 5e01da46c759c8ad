"""Selection of the members to which a daemon opens peer connections."""

import types
from typing import Collection, Iterable, Mapping

from gentianlead.dispatch import _member_ranks

CANDIDATES_PER_LIST = 3
"""Number of the best-ranked members of a group's own domain, and again of the
other domains, to which each daemon connects. These members take over first, so
all others have to know whether they are alive."""


def select_peers(
    node: str,
    groups: Iterable[str],
    domains_by_name: Mapping[str, str],
    leader_names: Iterable[str],
    unreachable_names: Collection[str],
    capacities: Mapping[str, float] = types.MappingProxyType({})
) -> frozenset[str]:
    """Returns the names of the members to which a daemon connects.

    These are the leaders, and the best candidates for the leadership of each
    group. While none of the candidates of one list can be reached, the daemon
    connects to all members of this list, so that it knows the next candidates
    after one timeout of a connection attempt instead of one for each of them.

    The number of selected members depends on the number of groups and not on
    that of the members, as long as one candidate of each list can be reached.

    Args:
        node: Name of the daemon.
        groups: Names of all groups.
        domains_by_name: Failure domains of the current members, by name.
        leader_names: Names of the daemons that lead a group.
        unreachable_names: Names of the members to which the daemon has tried to
            connect without success.
        capacities: Capacities of the current members, by name, as elections
            rank by them. They are 0 for those that are not known.
    """
    members = frozenset(domains_by_name.items())
    classes = _member_ranks.classify_members(capacities)
    selected_names = set(leader_names) & domains_by_name.keys()
    for group in groups:
        for ranked_names in _member_ranks.rank_members(group, members, classes):
            candidates = [
                name for name in ranked_names[:CANDIDATES_PER_LIST + 1]
                if name != node
            ][:CANDIDATES_PER_LIST]
            is_any_reachable = any(
                name not in unreachable_names for name in candidates)
            selected_names.update(
                candidates if is_any_reachable else ranked_names)
    return frozenset(selected_names - {node})
