"""Clock and random source of the operating system."""

import asyncio
import datetime
import random
import secrets
import time
from typing import Sequence, TypeVar

from gentianlead import ports

T = TypeVar("T")


class SystemClock(ports.Clock):
    """Reads the clocks of the operating system and sleeps in asyncio."""

    def monotonic(self) -> float:
        return time.monotonic()

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.timezone.utc)

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())


class SystemRandom(ports.RandomSource):
    """Generates pseudorandom numbers and cryptographically random identifiers.

    Args:
        seed: Seed of the numbers and samples; None for a random seed.
            Identifiers do not depend on it.
    """

    def __init__(self, seed: int | None = None):
        self._random = random.Random(seed)

    def random(self) -> float:
        return self._random.random()

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        return self._random.sample(items, count)

    def generate_id(self) -> str:
        return secrets.token_hex(8)
