"""Runs of the tasks of one step that may have ended unnoticed."""

from typing import Iterable

from gentianlead.dispatch import _records


class RunLimits:
    """Tells which runs of the tasks of a step have been superseded.

    A run is superseded if it was given up and its task may have started again
    since. Runs that may have been given up are told by a run limit: they have
    lower numbers. A task starts again only once its limit is stored, as any
    later leader of any group may get the end of such a run.

    Attributes:
        unstored_indexes: Indexes of tasks that must not start until their limit
            is stored.
    """

    __slots__ = ("unstored_indexes", "_limits", "_given_up_runs",
                 "_started_runs")

    def __init__(self) -> None:
        self.unstored_indexes: set[int] = set()
        # The others are by index of the task.
        self._limits: dict[int, int] = {}
        # Runs that this leader gave up and whose tasks have not started since.
        self._given_up_runs: dict[int, int] = {}
        self._started_runs: dict[int, int] = {}

    def give_up(self, index: int, run_number: int) -> None:
        """Counts a run as ended that may still be listed as done."""
        self.raise_limit(index, run_number + 1)
        self._given_up_runs[index] = run_number

    def raise_limit(self, index: int, limit: int) -> None:
        """Counts all runs of a task below a number as given up."""
        if limit > self._limits.get(index, 0):
            self._limits[index] = limit
            self.unstored_indexes.add(index)

    def mark_started(self, index: int, run_number: int) -> None:
        """Marks a run that this leader tracks as the newest one of a task."""
        self._given_up_runs.pop(index, None)
        self._started_runs[index] = max(run_number,
                                        self._started_runs.get(index, 0))

    def forget_given_up_runs(self) -> None:
        """Lets runs count as superseded, as tasks may start elsewhere."""
        self._given_up_runs.clear()

    def is_superseded(self, index: int, run_number: int) -> bool:
        """Returns whether a task may have started again after a run."""
        return (self._given_up_runs.get(index) != run_number and
                run_number < max(self._limits.get(index, 0),
                                 self._started_runs.get(index, 0)))

    def restore(self, step_limits: _records.StepRunLimits) -> None:
        """Adds limits that a leader of any group has stored."""
        for index in _records.list_mask_indexes(step_limits.task_mask):
            self._limits[index] = max(step_limits.limit,
                                      self._limits.get(index, 0))

    def build(self, occurrence: int,
              step: int) -> Iterable[_records.StepRunLimits]:
        """Builds what is stored, one item for each different limit."""
        for limit in sorted(set(self._limits.values())):
            mask = sum(1 << index
                       for index, other_limit in self._limits.items()
                       if other_limit == limit)
            yield _records.StepRunLimits(occurrence, step, limit,
                                         format(mask, "x"))

    def mark_stored(self, step_limits: _records.StepRunLimits) -> bool:
        """Marks limits as stored; returns whether a task waited for that."""
        stored_indexes = {
            index for index in self.unstored_indexes.intersection(
                _records.list_mask_indexes(step_limits.task_mask))
            if self._limits[index] <= step_limits.limit
        }
        self.unstored_indexes -= stored_indexes
        return bool(stored_indexes)
