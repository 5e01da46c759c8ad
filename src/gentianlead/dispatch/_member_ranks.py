"""Order in which the members of the cluster are suited to lead a group."""

import functools
import hashlib
from typing import Iterable, NamedTuple

_CACHED_RANKINGS = 64
"""Rankings that are kept: of each group for some successive memberships."""


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


def count_rankings() -> int:
    """Returns how often this process has ranked the members for a group."""
    # Pylint takes the method of the cache for the decorated function.
    return rank_members.cache_info().misses  # pylint: disable=no-value-for-parameter


def _sort_by_hash(group: str, names: Iterable[str]) -> tuple[str, ...]:
    return tuple(
        sorted(names,
               key=lambda name: hashlib.blake2b(f"{group}/{name}".encode(),
                                                digest_size=8).digest()))
