"""Objectives of jobs: how long they should take, and when to be done."""

from gentianlead import model


def compute_critical_path_ms(job: model.SteppedJob) -> int:
    """Estimates the duration of a job's longest chain of dependent steps."""
    step_ends_ms: list[int] = []
    for step in job.steps:
        start_ms = max(
            (step_ends_ms[i] for i in step.depends_on if i < len(step_ends_ms)),
            default=0)
        step_ends_ms.append(start_ms + step.estimate_ms)
    return max(step_ends_ms, default=0)


def compute_deadline_ms(job: model.SteppedJob) -> int:
    """Returns when the first occurrence should be done, in ms since 1970."""
    return (max(job.accepted_at_ms, job.first_run_ms) +
            int(job.queue.objective_factor * compute_critical_path_ms(job)) +
            job.queue.objective_slack_ms)
