"""Order in which the members of the cluster are suited to lead a group."""

import functools
import hashlib
import math
from typing import Iterable, Mapping, NamedTuple

_CACHED_RANKINGS = 64
"""Rankings that are kept: of each group for some successive memberships."""

LINK_MBIT_S_PER_CORE = 40.0
"""Bandwidth in Mbit/s that a leader needs for its reports while it needs one
core. The scarcer of the two bounds what a VM can lead."""


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
    group: str,
    names_and_domains: frozenset[tuple[str, str]],
    names_and_classes: frozenset[tuple[str, int]] = frozenset()
) -> RankedMembers:
    """Ranks members by capacity class, then by a hash of names.

    Within a list, members of a higher class rank first, and those without a
    class last. The hash of the names of group and member orders the members of
    one class, so that members that are alike lead different groups.

    Args:
        group: Name of the group, which is the name of its failure domain.
        names_and_domains: Pairs of a member's name and failure domain.
        names_and_classes: Pairs of a member's name and class, by
            `classify_members`.
    """
    classes = dict(names_and_classes)
    return RankedMembers(
        _sort_names(
            group, classes,
            (name for name, domain in names_and_domains if domain == group)),
        _sort_names(
            group, classes,
            (name for name, domain in names_and_domains if domain != group)))


def classify_members(
        capacities: Mapping[str, float]) -> frozenset[tuple[str, int]]:
    """Returns pairs of a member's name and capacity class.

    A class is a power of two of the capacity, so that small differences rarely
    matter for the rank. Members of unknown capacity have none.

    Args:
        capacities: Results of `compute_capacity`, by name of the member.
    """
    return frozenset((name, math.floor(math.log2(capacity)))
                     for name, capacity in capacities.items()
                     if capacity)


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


def _sort_names(group: str, classes: Mapping[str, int],
                names: Iterable[str]) -> tuple[str, ...]:
    return tuple(
        sorted(names,
               key=lambda name: (-classes.get(name, -math.inf),
                                 hashlib.blake2b(f"{group}/{name}".encode(),
                                                 digest_size=8).digest())))
