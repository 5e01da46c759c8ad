"""Brings the state of jobs in both streams together.

Each job is reconciled from what the folds say, so that any daemon can continue
where another one stopped. A record that was already written by somebody else
is rejected by the fold and does no harm.
"""

from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state

MAX_TASK_FAILURES = 5
"""A task that failed this often ends its job as failed."""


class JobStep(NamedTuple):
    """A record to append for a job.

    Attributes:
        stream: `config` or the domain's stream.
        record: The record.
    """

    stream: str
    record: model.Record


class JobReconciler:
    """Finds the next step of a job that is assigned to this domain.

    Args:
        domain: Name of the failure domain.
        configuration: Fold of the `config` stream.
        tasks: Fold of the domain's stream.
        choose_domain: Returns another failure domain for a job, or None when
            there is none in service.
    """

    def __init__(self, domain: str, configuration: state.ConfigurationStateMachine,
                 tasks: state.DomainStateMachine,
                 choose_domain: Callable[[model.JobSpec], str | None]):
        self._domain = domain
        self._domain_stream = model.get_domain_stream(domain)
        self._configuration = configuration
        self._tasks = tasks
        self._choose_domain = choose_domain

    def find_step(self, job_id: str) -> JobStep | None:
        """Returns the record that the job needs now, or None."""
        entry = self._configuration.jobs.get(job_id)
        if entry is None or entry.outcome or entry.domain != self._domain:
            return None
        closed = self._tasks.tombstones.get(job_id)
        if closed is not None and closed.epoch >= entry.epoch:
            return self._finish(entry, closed)
        job = self._tasks.jobs.get(job_id)
        reason = self._find_close_reason(entry, job)
        if reason is not None:
            if job is not None and job.live_tasks:
                return None
            return JobStep(self._domain_stream,
                           model.JobClosed(job_id, entry.epoch, reason.value))
        if job is None:
            return JobStep(
                self._domain_stream,
                model.JobOpened(entry.spec, entry.epoch, entry.done,
                                entry.checkpoints))
        return None

    def is_stopping(self, job_id: str) -> bool:
        """Returns whether no task of the job may start any more."""
        entry = self._configuration.jobs.get(job_id)
        if entry is None or entry.outcome or entry.domain != self._domain:
            return True
        job = self._tasks.jobs.get(job_id)
        return self._find_close_reason(entry, job) is not None

    def _find_close_reason(
            self, entry: state.JobEntry,
            job: state.DomainJob | None) -> model.CloseReason | None:
        if job is not None and job.is_complete:
            return model.CloseReason.DONE
        if entry.is_cancelled:
            return model.CloseReason.CANCELLED
        if job is not None and not entry.spec.is_watcher and any(
                count >= MAX_TASK_FAILURES for count in job.failures.values()):
            return model.CloseReason.FAILED
        configuration = self._configuration.configuration
        if configuration.is_domain_in_service(self._domain):
            return None
        if self._choose_domain(entry.spec) is None:
            return None
        return model.CloseReason.MOVED

    def _finish(self, entry: state.JobEntry,
                closed: state.Tombstone) -> JobStep | None:
        job_id = entry.spec.job_id
        if closed.reason != model.CloseReason.MOVED.value:
            detail = f"{closed.done_count} of {entry.spec.tasks} tasks done"
            return JobStep(
                model.CONFIG_STREAM,
                model.JobEnded(job_id, entry.epoch, closed.reason, detail))
        domain = self._choose_domain(entry.spec)
        if domain is None:
            domain = self._domain
        done = closed.done or entry.done
        checkpoints = closed.checkpoints or entry.checkpoints
        return JobStep(
            model.CONFIG_STREAM,
            model.JobMoved(job_id, entry.epoch + 1, domain, done, checkpoints))
