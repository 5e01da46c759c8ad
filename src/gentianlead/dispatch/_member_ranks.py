"""Order in which the members of the cluster are suited to lead a group."""

import functools
import hashlib
import math
from typing import Iterable, NamedTuple

_CACHED_RANKINGS = 64
"""Rankings that are kept: of each group for some successive memberships."""

LINK_MBIT_S_PER_CORE = 40.0
"""Bandwidth in Mbit/s that counts as much as one core: a leader among 101
daemons needs 23 Mbit/s for its reports and 0.57 cores."""


class RankedMembers(NamedTuple):
    """Names of members, the most suitable leader of a group first.

    All members of the group's own domain rank above the others.

    Attributes:
        of_domain: Names of the members of the group's own domain.
        others: Names of the members of other domains.
    """

    of_domain: tuple[str, ...]
    others: tuple[str, ...]


@functools.lru_cache(maxsize=_CACHED_RANKINGS)
def rank_members(
        group: str, names_and_domains: frozenset[tuple[str,
                                                       str]]) -> RankedMembers:
    """Ranks members by a hash of the names of group and member.

    Args:
        group: Name of the group, which is the name of its failure domain.
        names_and_domains: Pairs of a member's name and failure domain.
    """
    return RankedMembers(
        _sort_by_hash(
            group,
            (name for name, domain in names_and_domains if domain == group)),
        _sort_by_hash(
            group,
            (name for name, domain in names_and_domains if domain != group)))


def compute_capacity(processor_cores: float, link_mbit_s: float) -> float:
    """Returns the capacity of a VM to lead, by the scarcer of two resources.

    Args:
        processor_cores: Processor of the VM in cores.
        link_mbit_s: Bandwidth of the VM's network link in Mbit/s.

    Returns:
        The capacity in cores; 0 if one of the amounts is not a number above 0.
    """
    if not all(
            math.isfinite(amount) and amount > 0
            for amount in (processor_cores, link_mbit_s)):
        return 0.0
    return min(processor_cores, link_mbit_s / LINK_MBIT_S_PER_CORE)


def count_rankings() -> int:
    """Returns how often this process has ranked the members for a group."""
    # Pylint takes the method of the cache for the decorated function.
    return rank_members.cache_info().misses  # pylint: disable=no-value-for-parameter


def _sort_by_hash(group: str, names: Iterable[str]) -> tuple[str, ...]:
    return tuple(
        sorted(names,
               key=lambda name: hashlib.blake2b(f"{group}/{name}".encode(),
                                                digest_size=8).digest()))
