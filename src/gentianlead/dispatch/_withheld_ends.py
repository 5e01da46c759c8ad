"""Ends of runs that a leader does not acknowledge to their worker.

Acknowledgements are cumulative, so that all later ends of the worker are
withheld, too.
"""

from gentianlead import ports

MAX_WITHHELD_ENDS = 300
"""Number of listed ends up to which acknowledgements are withheld. A report
lists 500 ends at most, and the leader must see all later ones."""


class WithheldEnds:
    """Decides up to which number the ends of one worker are acknowledged."""

    def __init__(self) -> None:
        self._first_number: int | None = None

    @property
    def is_empty(self) -> bool:
        """Whether all ends that the worker lists may be acknowledged."""
        return self._first_number is None

    def apply_end(self, ended_run: ports.EndedRun, is_superseded: bool) -> None:
        """Applies an end that the worker lists for the first time.

        Args:
            ended_run: The end.
            is_superseded: Whether the task may have started again since a run
                that ended as done.
        """
        # After an expiry that the worker has noticed, earlier ends do not count
        # any more.
        if ended_run.cause is ports.EndCause.LEASE_EXPIRED or (
                self._first_number is not None and
                ended_run.number - self._first_number >= MAX_WITHHELD_ENDS):
            self._first_number = None
        if is_superseded and self._first_number is None:
            self._first_number = ended_run.number

    def limit_acknowledgement(self, number: int) -> int:
        """Returns up to which number ends are acknowledged, at most `number`.
        """
        if self._first_number is None:
            return number
        return min(number, self._first_number - 1)
