"""Shared helpers of the benchmarks: seeds, percentiles, scenarios, JSON."""

import json
import math
import pathlib
import random
from typing import Callable, NamedTuple, Sequence, TypeVar

from gentianlead import ports

SEEDS = (11, 23, 37, 41, 59)

Figures = dict[str, float]

T = TypeVar("T")


class Scenario(NamedTuple):
    """A scenario that runs once per variant and seed.

    Each module with scenarios lists them in a dictionary `SCENARIOS` by name.

    Attributes:
        variants: Names of the policies to compare; the first is the baseline.
        run: Runs a variant with a seed and returns its figures. It is a
            function at the top level of a module, or a partial one, so that
            another process can run it.
    """

    variants: tuple[str, ...]
    run: Callable[[str, int], Figures]


class SeededRandom(ports.RandomSource):
    """Random source that repeats itself for a seed."""

    def __init__(self, seed: int | str):
        self._random = random.Random(seed)
        self._tokens = 0
        self._name = str(seed)

    def random(self) -> float:
        return self._random.random()

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        return self._random.sample(items, count)

    def generate_id(self) -> str:
        self._tokens += 1
        return f"{self._name}-{self._tokens}"


def compute_percentile(values: Sequence[float], rank: float) -> float:
    """Returns the nearest-rank percentile; not a number without values.

    Args:
        values: Observations in ascending order.
        rank: Rank from above 0 to 100.
    """
    if not values:
        return math.nan
    return values[max(0, math.ceil(len(values) * rank / 100.0) - 1)]


def compute_median(figures: Sequence[Figures]) -> Figures:
    """Returns the median of each figure over the seeds."""
    return {
        name: compute_percentile(sorted(run[name] for run in figures), 50.0)
        for name in figures[0]
    }


def write_json(path: pathlib.Path, value: object) -> None:
    """Writes a value as JSON; creates the directory when it is missing."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2, sort_keys=True) + "\n",
                    encoding="utf-8")
