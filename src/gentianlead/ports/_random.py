"""Random source interface, injected so that tests can seed it."""

import abc
from typing import Sequence, TypeVar

T = TypeVar("T")


class RandomSource(abc.ABC):
    """Provides random numbers, random samples and unique identifiers."""

    @abc.abstractmethod
    def random(self) -> float:
        """Returns a number that is at least 0 and less than 1."""

    @abc.abstractmethod
    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """Returns `count` randomly chosen items, each position at most once."""

    @abc.abstractmethod
    def generate_id(self) -> str:
        """Returns an identifier that no other call returns."""
