"""Reconciles the state of a job in `config` with that in the domain's stream.

The next record for a job is computed from the states of the job in the two
streams, so that any daemon of the domain can continue where another one
stopped. If another daemon has already appended the same record, the state
machine of the stream rejects the duplicate.
"""

from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import state

MAX_TASK_FAILURES = 5
"""Number of failed runs of one task at which its job is closed as failed. A
watcher job is never closed for this reason. Jobs of either kind are closed as
failed when a task is given up; see `model.is_given_up`."""


class RecordToAppend(NamedTuple):
    """A record that is to be appended to a stream.

    Attributes:
        stream: Name of the stream, `config` or the domain's.
        record: Record to append.
    """

    stream: str
    record: model.Record


class JobReconciler:
    """Finds the next record to append for each job assigned to this domain.

    Args:
        domain_name: Name of the failure domain.
        config_state_machine: State machine of the `config` stream.
        domain_state_machine: State machine of the domain's stream.
        choose_domain: Returns a failure domain other than `domain_name` for a
            job, or None if no other one is in service.
    """

    def __init__(self, domain_name: str,
                 config_state_machine: state.ConfigurationStateMachine,
                 domain_state_machine: state.DomainStateMachine,
                 choose_domain: Callable[[model.JobSpec], str | None]):
        self._domain_name = domain_name
        self._domain_stream = model.get_domain_stream(domain_name)
        self._config_state_machine = config_state_machine
        self._domain_state_machine = domain_state_machine
        self._choose_domain = choose_domain

    def find_next_record(self, job_id: str) -> RecordToAppend | None:
        """Returns the next record to append for a job, or None.

        The record opens or closes the job in this domain. Once the job is
        closed here, the record ends it or assigns it to a domain again.

        It is None if the job is unknown, has ended or is assigned to another
        domain, if the job is open here and is to stay open, or if the job is to
        be closed here but runs of its tasks are still live.
        """
        config_job = self._config_state_machine.jobs.get(job_id)
        if (config_job is None or config_job.outcome or
                config_job.domain != self._domain_name):
            return None
        tombstone = self._domain_state_machine.tombstones.get(job_id)
        if tombstone is not None and tombstone.epoch >= config_job.epoch:
            return self._build_end_or_move_record(config_job, tombstone)
        domain_job = self._domain_state_machine.jobs.get(job_id)
        close_reason = self._find_close_reason(config_job, domain_job)
        if close_reason is not None:
            if domain_job is not None and domain_job.live_tasks:
                return None
            return RecordToAppend(
                self._domain_stream,
                model.JobClosed(job_id, config_job.epoch, close_reason.value))
        if domain_job is None:
            return RecordToAppend(
                self._domain_stream,
                model.JobOpened(config_job.spec, config_job.epoch,
                                config_job.done, config_job.checkpoints,
                                config_job.crashes))
        return None

    def is_job_failing(self, job_id: str) -> bool:
        """Returns whether a job is to be closed here as failed.

        Its live runs must be stopped, because the job can be closed only
        without them.
        """
        config_job = self._config_state_machine.jobs.get(job_id)
        domain_job = self._domain_state_machine.jobs.get(job_id)
        if config_job is None or domain_job is None or config_job.outcome:
            return False
        return self._find_close_reason(config_job,
                                       domain_job) is model.CloseReason.FAILED

    def is_job_stopping(self, job_id: str) -> bool:
        """Returns whether no more tasks of a job may be started in this domain.

        This holds if the job is unknown, has ended, is assigned to another
        domain or is to be closed here.
        """
        config_job = self._config_state_machine.jobs.get(job_id)
        if (config_job is None or config_job.outcome or
                config_job.domain != self._domain_name):
            return True
        domain_job = self._domain_state_machine.jobs.get(job_id)
        return self._find_close_reason(config_job, domain_job) is not None

    def _find_close_reason(
            self, config_job: state.JobEntry,
            domain_job: state.DomainJob | None) -> model.CloseReason | None:
        if domain_job is not None and domain_job.is_complete:
            return model.CloseReason.DONE
        if config_job.is_cancelled:
            return model.CloseReason.CANCELLED
        if domain_job is not None and _has_failed(domain_job):
            return model.CloseReason.FAILED
        configuration = self._config_state_machine.configuration
        if configuration.is_domain_in_service(self._domain_name):
            return None
        if self._choose_domain(config_job.spec) is None:
            return None
        return model.CloseReason.MOVED

    def _build_end_or_move_record(
            self, config_job: state.JobEntry,
            tombstone: state.Tombstone) -> RecordToAppend | None:
        job_id = config_job.spec.job_id
        if tombstone.reason != model.CloseReason.MOVED.value:
            detail = (f"{tombstone.done_count} of {config_job.spec.tasks} "
                      f"tasks done")
            if tombstone.detail:
                detail = f"{tombstone.detail}; {detail}"
            return RecordToAppend(
                model.CONFIG_STREAM,
                model.JobEnded(job_id, config_job.epoch, tombstone.reason,
                               detail))
        new_domain = self._choose_domain(config_job.spec)
        if new_domain is None:
            new_domain = self._domain_name
        done_tasks = tombstone.done or config_job.done
        checkpoints = tombstone.checkpoints or config_job.checkpoints
        return RecordToAppend(
            model.CONFIG_STREAM,
            model.JobMoved(job_id, config_job.epoch + 1, new_domain, done_tasks,
                           checkpoints, tombstone.crashes))


def _has_failed(job: state.DomainJob) -> bool:
    if any(model.is_given_up(crashes) for crashes in job.crashes.values()):
        return True
    return not job.spec.is_watcher and any(
        failure_count >= MAX_TASK_FAILURES
        for failure_count in job.failures.values())
