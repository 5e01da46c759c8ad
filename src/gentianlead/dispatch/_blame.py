"""Decides whether a worker or a job is to blame for a failed run."""

from typing import Mapping

from gentianlead.dispatch import _runs
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers

MIN_FAILED_WORKERS = 2
"""Number of workers on which tasks of a step must have failed, while none was
done, before the step counts as hopeless."""


def record_failure(workers: Mapping[str, _workers.WorkerState],
                   worker: _workers.WorkerState, run: _task_runs.Run,
                   job: _runs.JobRun | None, now: float) -> None:
    """Counts a failed run against its worker.

    The runs of a hopeless step count once on each worker. A long-running task
    is never done, so its step cannot be told to be hopeless.

    Args:
        workers: Workers of the group, by identifier.
        worker: Worker of the run.
        run: The run that failed.
        job: Its job; None if this leader does not know it.
        now: Present monotonic time in seconds.
    """
    step_run = job.get_step(run.task) if job is not None else None
    if step_run is None or run.step.is_long_running:
        worker.record_result(False, now)
        return
    worker.record_result(False, now, run.task)
    if step_run.done_indexes:
        return
    step_run.failed_worker_ids.add(worker.worker_id)
    if len(step_run.failed_worker_ids) < MIN_FAILED_WORKERS:
        return
    for worker_id in step_run.failed_worker_ids:
        if worker_id in workers:
            workers[worker_id].excuse_failures(run.task)
