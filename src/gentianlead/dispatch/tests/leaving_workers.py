"""Model of workers that leave, and whose clocks drift."""

import random

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import fleet_workers

LONG_RUNNING_JOB_PREFIX = "f"
"""Identifiers of jobs with long-running tasks begin with this digit."""

MAX_CLOCK_DRIFT = 0.02


def is_long_running(task: model.TaskKey) -> bool:
    """Returns whether a task of the model runs until it fails."""
    return task.job_id.startswith(LONG_RUNNING_JOB_PREFIX)


class LastingRunObserver(fleet_workers.RunObserver):
    """Checks all runs, and knows since when a long-running task has no run.

    Attributes:
        ended_at: Time of the last end of a run, by long-running task; has no
            entry for a task that runs or has not run yet.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ended_at: dict[model.TaskKey, float] = {}

    def add_start(self, now: float, task: model.TaskKey, run: int,
                  worker_id: str) -> None:
        super().add_start(now, task, run, worker_id)
        self.ended_at.pop(task, None)

    def add_end(self, now: float, task: model.TaskKey, run: int,
                worker: fleet_workers.WorkerModel,
                cause: ports.EndCause) -> None:
        if is_long_running(task):
            self.ended_at[task] = now
            if cause is ports.EndCause.FAILED:
                # Such a task may fail any number of times.
                cause = ports.EndCause.STOPPED
        super().add_end(now, task, run, worker, cause)


class LeavingWorker(fleet_workers.WorkerModel):
    """Models a worker with a drifting clock, which may leave.

    Attributes:
        is_draining: Whether it has announced that it leaves.
        joined_at: Time of its start in seconds.
        failed_share: Share of the runs that fail.
    """

    def __init__(self, worker_id: str, group: str, rng: random.Random,
                 observer: fleet_workers.RunObserver, joined_at: float,
                 failed_share: float):
        super().__init__(worker_id, group, rng, observer)
        self.is_draining = False
        self.joined_at = joined_at
        self.failed_share = failed_share
        self._clock_rate = 1 + rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)

    @property
    def entry(self) -> ports.WorkerEntry:
        """Registry entry of the worker."""
        return super().entry._replace(is_draining=self.is_draining)

    @property
    def free_cores(self) -> int:
        """Number of cores without a run."""
        return fleet_workers.WORKER_CORES - len(self._runs)

    def get_clock_ms(self, now: float) -> float:
        """Returns the time on the worker's clock in milliseconds."""
        return (now - self.joined_at) * 1000 * self._clock_rate + 1000

    def leave(self, now: float) -> None:
        """Ends all runs, which nobody learns from this worker."""
        for task, run in list(self._runs):
            self._end(now, task, run, ports.EndCause.STOPPED)
        self._ended_runs.clear()

    def _draw_end(self, now: float,
                  task: model.TaskKey) -> tuple[float, ports.EndCause]:
        has_failed = self._rng.random() < self.failed_share
        if is_long_running(task):
            return (now + self._rng.uniform(0.3, 3.0)
                    if has_failed else float("inf")), ports.EndCause.FAILED
        return now + self._rng.uniform(0.05, 0.6), (
            ports.EndCause.FAILED if has_failed else ports.EndCause.DONE)

    def _get_percent(self, task: model.TaskKey) -> int:
        return 100 if is_long_running(task) else 50


def build_long_running_job(number: int, group: str,
                           task_count: int) -> model.SteppedJob:
    """Builds a job of long-running tasks of one core each."""
    return builders.build_job(f"{LONG_RUNNING_JOB_PREFIX}{number:015x}",
                              builders.build_step(task_count,
                                                  is_long_running=True),
                              assignment=(group,))
