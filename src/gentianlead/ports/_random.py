"""Randomness, passed in so that tests can seed it."""

import abc
from typing import Sequence, TypeVar

T = TypeVar("T")


class RandomSource(abc.ABC):
    """Source of random choices."""

    @abc.abstractmethod
    def random(self) -> float:
        """Returns a number from 0 up to, but not including, 1."""

    @abc.abstractmethod
    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """Returns `count` distinct items."""

    @abc.abstractmethod
    def generate_id(self) -> str:
        """Returns a string that no other call returns, for identifiers."""
