"""Ends of runs that a leader does not acknowledge to their worker.

Acknowledgements are cumulative, so that all later ends of the worker are
withheld, too.
"""

import enum

from gentianlead import ports

MAX_WITHHELD_ENDS = 300
"""Number of listed ends up to which acknowledgements are withheld. A report
lists 500 ends at most, and the leader must see all later ones."""


class ReleaseCause(enum.Enum):
    """Why a withheld end may be acknowledged; the value is the text in the log.

    Attributes:
        LAPSED: The worker has noticed the expiry of its lease after the end.
        TOO_MANY: The worker has listed `MAX_WITHHELD_ENDS` later ends.
        NO_JOB: The job does not exist any more.
    """

    LAPSED = "lapsed"
    TOO_MANY = "too-many"
    NO_JOB = "no-job"


class WithheldEnds:
    """Decides up to which number the ends of one worker are acknowledged."""

    def __init__(self) -> None:
        self._first_number: int | None = None
        self._held_numbers: set[int] = set()
        self._last_number = 0
        self._last_expiry_number = 0

    @property
    def is_empty(self) -> bool:
        """Whether all ends that the worker lists may be acknowledged."""
        return self._first_number is None and not self._held_numbers

    def apply_end(self, ended_run: ports.EndedRun,
                  is_superseded: bool) -> ReleaseCause | None:
        """Applies an end that the worker lists for the first time.

        Args:
            ended_run: The end.
            is_superseded: Whether the task may have started again since a run
                that ended as done.

        Returns:
            Why earlier ends are not withheld any more; None if none was, or if
            they still are.
        """
        release_cause = None
        number = self._last_number = ended_run.number
        if ended_run.cause is ports.EndCause.LEASE_EXPIRED:
            self._last_expiry_number = number
        if (self._first_number is not None and
                not self._may_withhold(self._first_number)):
            release_cause = (ReleaseCause.LAPSED
                             if number == self._last_expiry_number else
                             ReleaseCause.TOO_MANY)
            self._first_number = None
        self._held_numbers = set(filter(self._is_in_reach, self._held_numbers))
        if is_superseded:
            self.withhold(number)
        return release_cause

    def withhold(self, number: int) -> None:
        """Withholds an end that the worker has listed, and all later ones."""
        if self._may_withhold(number):
            self._first_number = (number if self._first_number is None else min(
                number, self._first_number))

    def hold(self, number: int) -> None:
        """Withholds an end until `release` is called."""
        self._held_numbers.add(number)

    def release(self, number: int) -> None:
        """Ends a hold."""
        self._held_numbers.discard(number)

    def limit_acknowledgement(self, number: int) -> int:
        """Returns up to which number ends are acknowledged, at most `number`.
        """
        first_numbers = {number + 1, *self._held_numbers}
        if self._first_number is not None:
            first_numbers.add(self._first_number)
        return min(first_numbers) - 1

    def _may_withhold(self, number: int) -> bool:
        # After an expiry that the worker has noticed, earlier ends do not count
        # any more.
        return (number > self._last_expiry_number and self._is_in_reach(number))

    def _is_in_reach(self, number: int) -> bool:
        return self._last_number - number < MAX_WITHHELD_ENDS
