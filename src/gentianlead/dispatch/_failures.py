"""Failed runs in a row on a worker.

A worker that fails what it starts fails runs of many jobs. A hopeless job fails
on every worker. Its runs count once on each of them, or it would put healthy
workers into quarantine, one after the other.
"""

from gentianlead import model

_StepKey = tuple[str, int, int]


def get_step_key(task: model.TaskKey) -> _StepKey:
    """Returns the job of a task, its repetition and the index of the step."""
    return task[:3]


class FailureStreak:
    """Failed runs on a worker since a run last succeeded there."""

    __slots__ = ("_counts", "_hopeless_steps")

    def __init__(self) -> None:
        self._counts: dict[_StepKey | None, int] = {}
        self._hopeless_steps: set[_StepKey] = set()

    @property
    def count(self) -> int:
        """Number of the failures; those of a hopeless step count as one."""
        return sum(1 if step_key in self._hopeless_steps else count
                   for step_key, count in self._counts.items())

    def add(self, step_key: _StepKey | None) -> None:
        """Adds a failure; None stands for one whose step does not matter."""
        self._counts[step_key] = self._counts.get(step_key, 0) + 1

    def mark_hopeless(self, step_key: _StepKey) -> None:
        """Lets the failures of a step count as one, also later ones."""
        if step_key in self._counts:
            self._hopeless_steps.add(step_key)

    def clear(self) -> None:
        """Removes all failures, after a success."""
        self._counts.clear()
        self._hopeless_steps.clear()
