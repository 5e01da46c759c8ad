"""How much fillers of an image disturb serving tasks of an image.

Interference depends on the pair of images: most pairs get along at any load,
and some raise the tail tenfold at a twentieth of a worker. The model learns
one coefficient for each pair, in tail against its limit for a whole worker's
processors; errors are shared out by what is known of each pair.
"""

import math
from typing import Iterable, NamedTuple

UNTRIED = 0.0
"""Weight of a pair that was never seen together."""

TRIED_WEIGHT = 0.6
"""Seconds side by side after which a coefficient is trusted: the tail is a
figure of half a second."""

RISE_RATE = 0.5
"""Part of an error that one sample corrects when a tail is higher than
predicted."""

FALL_RATE = 0.5
"""Part of an error that a second corrects when a tail is lower. A harmful pair
is forgotten slowly, as a wrong trial costs more than a place not taken."""

CLEAR_ERROR = 0.3
"""Prediction above the tail from which the error teaches anything: below, the
load of the serving task itself makes the difference."""

REGULAR_SHARE = 0.05
"""Share of a worker that a sample needs to teach much: one task of a bundle."""

INITIAL_BLAME = 0.5
"""Coefficient that an unknown pair is blamed as if it had."""

MAX_EXCESS = 5.0
"""Bound on a sample: beyond it, the tail says only that a pair is harmful."""

TAIL_DECAY_S = 0.45
"""Time constant in seconds with which a tail forgets a filler that stopped."""

MIN_SHARE = 0.01
"""Share of a worker's processors below which a filler teaches nothing."""

HARMFUL_RISE = 0.15
"""Rise of a tail against its limit by one filler from which a pair is kept
apart when a group is chosen."""

CALM_PRESSURE = 0.6
"""Tail against its limit that a serving task reaches by its own load; what is
below teaches that a filler is harmless."""

MAX_SAMPLE_GAP_S = 1.0
"""Longest time that one sample stands for."""


class InterferenceEstimate(NamedTuple):
    """What is known of a pair.

    Attributes:
        serving: Image of the serving task.
        filler: Image of the filler.
        coefficient: Rise of the tail against its limit for a whole worker.
        weight: Seconds that the pair was seen side by side.
    """

    serving: str
    filler: str
    coefficient: float
    weight: float


class Exposure:
    """Recent use of a worker by each image of fillers, as tails feel it."""

    def __init__(self) -> None:
        self.shares: dict[str, float] = {}
        self._updated_at = 0.0

    def update(self, shares: dict[str, float], now: float) -> float:
        """Notes the present shares; returns the seconds since the last call."""
        gap = max(0.0, now - self._updated_at)
        self._updated_at = now
        factor = math.exp(-gap / TAIL_DECAY_S)
        decayed = {
            image: share * factor
            for image, share in self.shares.items()
            if share * factor >= MIN_SHARE
        }
        for image, share in shares.items():
            decayed[image] = max(share, decayed.get(image, 0.0))
        self.shares = decayed
        return min(gap, MAX_SAMPLE_GAP_S)


class InterferenceModel:
    """Coefficients of all pairs that were seen.

    Example:
        >>> model = InterferenceModel()
        >>> model.learn({"watcher": 2.4}, {"bundle": 0.08}, 0.4)
        >>> model.predict("watcher", {"bundle": 0.08}) > 0.3
        True
    """

    def __init__(self) -> None:
        self._figures: dict[tuple[str, str], InterferenceEstimate] = {}
        self._changed: set[tuple[str, str]] = set()

    def learn(self, pressures: dict[str, float], exposure: dict[str, float],
              seconds: float) -> None:
        """Learns from tails beside fillers.

        Args:
            pressures: Worst tail against its limit by image.
            exposure: Share of the worker by image of fillers.
            seconds: Time that the sample stands for.
        """
        shares = {
            image: share
            for image, share in exposure.items()
            if share >= MIN_SHARE
        }
        if not shares:
            return
        total = sum(shares.values())
        trust = total / (total + REGULAR_SHARE)
        for serving, pressure in pressures.items():
            excess = min(MAX_EXCESS, max(0.0, pressure - CALM_PRESSURE))
            error = excess - self.predict(serving, shares)
            if error > 0:
                self._raise(serving, shares, RISE_RATE * trust * error)
            elif error < -CLEAR_ERROR:
                self._lower(serving, shares,
                            FALL_RATE * seconds * trust * error)
            for filler in shares:
                pair = (serving, filler)
                figure = self._get(pair)
                self._figures[pair] = figure._replace(weight=figure.weight +
                                                      seconds)
                self._changed.add(pair)

    def _raise(self, serving: str, shares: dict[str, float],
               rise: float) -> None:
        """Blames fillers for a rise by their shares and what is known."""
        blames = {
            filler:
                share * (INITIAL_BLAME + self.get_coefficient(serving, filler))
            for filler, share in shares.items()
        }
        scale = rise / sum(
            blame * shares[filler] for filler, blame in blames.items())
        for filler, blame in blames.items():
            pair = (serving, filler)
            figure = self._get(pair)
            self._figures[pair] = figure._replace(
                coefficient=figure.coefficient + scale * blame)

    def _lower(self, serving: str, shares: dict[str, float],
               fall: float) -> None:
        predicted = self.predict(serving, shares)
        if predicted <= 0:
            return
        factor = 1 + fall / predicted
        for filler in shares:
            pair = (serving, filler)
            figure = self._get(pair)
            self._figures[pair] = figure._replace(
                coefficient=figure.coefficient * factor)

    def _get(self, pair: tuple[str, str]) -> InterferenceEstimate:
        return self._figures.get(pair, InterferenceEstimate(*pair, 0.0, UNTRIED))

    def is_tried(self, serving: str, filler: str) -> bool:
        """Returns whether a pair's coefficient can be trusted."""
        figure = self._figures.get((serving, filler))
        return figure is not None and figure.weight >= TRIED_WEIGHT

    def get_coefficient(self, serving: str, filler: str) -> float:
        """Returns the coefficient of a pair; 0 for one that was not seen."""
        figure = self._figures.get((serving, filler))
        return figure.coefficient if figure is not None else 0.0

    def predict(self, serving: str, shares: dict[str, float]) -> float:
        """Returns the rise of a tail against its limit."""
        return sum(
            self.get_coefficient(serving, filler) * share
            for filler, share in shares.items())

    def is_harmful(self, serving: str, filler: str) -> bool:
        """Returns whether one filler alone presses a serving task."""
        return (self.get_coefficient(serving, filler) * REGULAR_SHARE
                > HARMFUL_RISE)

    def list_fillers(self) -> set[str]:
        """Returns all images of fillers that were seen beside others."""
        return {filler for _, filler in self._figures}

    def take_changed_estimates(self) -> list[InterferenceEstimate]:
        """Returns the figures that changed since the last call."""
        changed, self._changed = self._changed, set()
        return [self._figures[pair] for pair in sorted(changed)]

    def merge(self, figures: Iterable[InterferenceEstimate]) -> None:
        """Takes over figures of another daemon that saw more of a pair."""
        for figure in figures:
            pair = (figure.serving, figure.filler)
            known = self._figures.get(pair)
            if known is None or figure.weight > known.weight:
                self._figures[pair] = figure
