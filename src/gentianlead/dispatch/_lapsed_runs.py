"""Runs that a leader ended by their lease, and their ends at the worker.

A leader that cannot reach a worker counts its runs as ended once the lease has
expired, and starts their tasks again. The worker may have done such a task
before that. Once it is reached again, it lists that end. To acknowledge it
would confirm a result that another run has replaced.
"""

from gentianlead import model
from gentianlead import ports

MAX_WITHHELD_ENDS = 300
"""Number of listed ends up to which acknowledgements are withheld. A report
lists 500 ends at most, and the leader must see all later ones."""


class LapsedRuns:
    """Decides which run ends of one worker are not acknowledged."""

    def __init__(self) -> None:
        # Highest run number of the job when the run was ended, by run.
        self._last_run_numbers: dict[tuple[model.TaskKey, int], int] = {}
        self._withheld_number: int | None = None

    @property
    def withholds_ends(self) -> bool:
        """Whether an end that the worker lists is not acknowledged."""
        return self._withheld_number is not None

    def add(self, task: model.TaskKey, run: int, last_run_number: int) -> None:
        """Adds a run that the leader has ended by the lease of its worker.

        Args:
            task: The task.
            run: Number of the run.
            last_run_number: Highest run number of the job.
        """
        self._last_run_numbers[task, run] = last_run_number

    def apply_end(self, ended_run: ports.EndedRun,
                  last_run_number: int | None) -> None:
        """Applies an end that the worker lists for the first time.

        Args:
            ended_run: The end.
            last_run_number: Highest run number of the job; None if this leader
                does not have the job any more.
        """
        # After an expiry that the worker has noticed, earlier ends do not count
        # any more.
        if ended_run.cause is ports.EndCause.LEASE_EXPIRED or (
                self._withheld_number is not None and
                ended_run.number - self._withheld_number >= MAX_WITHHELD_ENDS):
            self._withheld_number = None
        former_number = self._last_run_numbers.pop(
            (ended_run.task, ended_run.run), None)
        if (former_number is not None and self._withheld_number is None and
                ended_run.cause is ports.EndCause.DONE and
                former_number != last_run_number):
            self._withheld_number = ended_run.number

    def limit_acknowledgement(self, number: int) -> int:
        """Returns up to which number ends are acknowledged, at most `number`.
        """
        if self._withheld_number is None:
            return number
        return min(number, self._withheld_number - 1)
