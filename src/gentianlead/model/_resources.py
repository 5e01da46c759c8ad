"""Vectors of the resources that workers offer and tasks use."""

from typing import NamedTuple, Self


class Resources(NamedTuple):
    """Amounts of processors, memory and accelerators.

    Integers keep sums exact, so that all readers of a stream compute the same
    free capacity.

    Attributes:
        cpu_millis: Processors in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def plus(self, other: Self) -> "Resources":
        """Returns the sum of this vector and `other`."""
        return Resources(self.cpu_millis + other.cpu_millis,
                         self.memory_mib + other.memory_mib,
                         self.accelerators + other.accelerators)

    def minus(self, other: Self) -> "Resources":
        """Returns this vector less `other`; amounts may be negative."""
        return Resources(self.cpu_millis - other.cpu_millis,
                         self.memory_mib - other.memory_mib,
                         self.accelerators - other.accelerators)

    def times(self, count: int) -> "Resources":
        """Returns the vector multiplied by `count`."""
        return Resources(self.cpu_millis * count, self.memory_mib * count,
                         self.accelerators * count)

    def fits_in(self, free: Self) -> bool:
        """Returns whether no amount exceeds the one in `free`."""
        return (self.cpu_millis <= free.cpu_millis and
                self.memory_mib <= free.memory_mib and
                self.accelerators <= free.accelerators)

    def is_valid(self) -> bool:
        """Returns whether no amount is negative."""
        return min(self) >= 0

    def is_empty(self) -> bool:
        """Returns whether all amounts are zero."""
        return not any(self)
