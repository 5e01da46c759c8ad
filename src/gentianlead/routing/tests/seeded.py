"""Seeded randomness for the tests."""

import random
from typing import Sequence, TypeVar

from gentianlead import ports

T = TypeVar("T")


class SeededRandom(ports.RandomSource):
    """Random source that repeats itself."""

    def __init__(self, seed: int = 1):
        self._random = random.Random(seed)
        self._tokens = 0

    def random(self) -> float:
        return self._random.random()

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        return self._random.sample(items, count)

    def generate_id(self) -> str:
        self._tokens += 1
        return f"token-{self._tokens}"
