"""Reconciles the state of jobs between the `config` and the domain's stream.

The next record for a job is computed from the recorded state of the job, so
that any daemon can continue where another one stopped. If another daemon has
already appended the record, the state machine of the stream rejects the
duplicate.
"""

from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state

MAX_TASK_FAILURES = 5
"""Number of failed runs of one task after which its job fails."""


class RecordToAppend(NamedTuple):
    """A record that is to be appended to a stream.

    Attributes:
        stream: Name of the stream.
        record: Record to append.
    """

    stream: str
    record: model.Record


class JobReconciler:
    """Finds the next record to append for each job assigned to this domain.

    Args:
        domain: Name of the failure domain.
        config_state_machine: State machine of the `config` stream.
        domain_state_machine: State machine of the domain's stream.
        choose_domain: Returns another failure domain for a job, or None if no
            other one is in service.
    """

    def __init__(self, domain: str,
                 config_state_machine: state.ConfigurationStateMachine,
                 domain_state_machine: state.DomainStateMachine,
                 choose_domain: Callable[[model.JobSpec], str | None]):
        self._domain = domain
        self._domain_stream = model.get_domain_stream(domain)
        self._config_state_machine = config_state_machine
        self._domain_state_machine = domain_state_machine
        self._choose_domain = choose_domain

    def find_next_record(self, job_id: str) -> RecordToAppend | None:
        """Returns the next record to append for the job, or None."""
        entry = self._config_state_machine.jobs.get(job_id)
        if entry is None or entry.outcome or entry.domain != self._domain:
            return None
        tombstone = self._domain_state_machine.tombstones.get(job_id)
        if tombstone is not None and tombstone.epoch >= entry.epoch:
            return self._build_end_or_move(entry, tombstone)
        job = self._domain_state_machine.jobs.get(job_id)
        close_reason = self._find_close_reason(entry, job)
        if close_reason is not None:
            if job is not None and job.live_tasks:
                return None
            return RecordToAppend(
                self._domain_stream,
                model.JobClosed(job_id, entry.epoch, close_reason.value))
        if job is None:
            return RecordToAppend(
                self._domain_stream,
                model.JobOpened(entry.spec, entry.epoch, entry.done,
                                entry.checkpoints))
        return None

    def is_job_stopping(self, job_id: str) -> bool:
        """Returns whether no more tasks of the job may be started here."""
        entry = self._config_state_machine.jobs.get(job_id)
        if entry is None or entry.outcome or entry.domain != self._domain:
            return True
        job = self._domain_state_machine.jobs.get(job_id)
        return self._find_close_reason(entry, job) is not None

    def _find_close_reason(
            self, entry: state.JobEntry,
            job: state.DomainJob | None) -> model.CloseReason | None:
        if job is not None and job.is_complete:
            return model.CloseReason.DONE
        if entry.is_cancelled:
            return model.CloseReason.CANCELLED
        if job is not None and not entry.spec.is_watcher and any(
                failure_count >= MAX_TASK_FAILURES
                for failure_count in job.failures.values()):
            return model.CloseReason.FAILED
        configuration = self._config_state_machine.configuration
        if configuration.is_domain_in_service(self._domain):
            return None
        if self._choose_domain(entry.spec) is None:
            return None
        return model.CloseReason.MOVED

    def _build_end_or_move(self, entry: state.JobEntry,
                           tombstone: state.Tombstone) -> RecordToAppend | None:
        job_id = entry.spec.job_id
        if tombstone.reason != model.CloseReason.MOVED.value:
            detail = f"{tombstone.done_count} of {entry.spec.tasks} tasks done"
            return RecordToAppend(
                model.CONFIG_STREAM,
                model.JobEnded(job_id, entry.epoch, tombstone.reason, detail))
        new_domain = self._choose_domain(entry.spec)
        if new_domain is None:
            new_domain = self._domain
        done_tasks = tombstone.done or entry.done
        checkpoints = tombstone.checkpoints or entry.checkpoints
        return RecordToAppend(
            model.CONFIG_STREAM,
            model.JobMoved(job_id, entry.epoch + 1, new_domain, done_tasks,
                           checkpoints))
