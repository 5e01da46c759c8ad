"""Submission, cancellation and progress of jobs."""

import datetime
from typing import NamedTuple

from gentianlead import control
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state
from gentianlead import streams

SUBMIT_TIMEOUT = datetime.timedelta(seconds=8)


class JobProgress(NamedTuple):
    """Counts of the tasks of a job by their state.

    Attributes:
        done: Number of tasks that are done.
        running: Number of tasks with an active run.
        waiting: Number of tasks that wait for a start.
        reason: Why tasks wait; empty when no task waits.
    """

    done: int
    running: int
    waiting: int
    reason: str


class CallerJobService:
    """Submits and cancels jobs for callers and reports their progress.

    Args:
        domain_name: Failure domain of this daemon.
        config_client: Client of the `config` stream.
        domain_client: Client of the domain's stream.
        scheduler: Explains why the tasks of a job wait.
        vm_inventory: VMs as last read from the platform.
        clock: Source of time.
    """

    def __init__(self, domain_name: str, config_client: streams.StreamClient,
                 domain_client: streams.StreamClient,
                 scheduler: scheduling.DomainScheduler,
                 vm_inventory: control.VMInventory, clock: ports.Clock):
        self._domain_name = domain_name
        self._config_client = config_client
        self._domain_client = domain_client
        self._scheduler = scheduler
        self._vm_inventory = vm_inventory
        self._clock = clock

    @property
    def _job_entries(self) -> dict[str, state.JobEntry]:
        state_machine = self._config_client.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine.jobs

    @property
    def _configuration(self) -> model.Configuration:
        state_machine = self._config_client.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine.configuration

    def choose_domain(self,
                      spec: model.JobSpec,
                      excluded_domain: str = "") -> str | None:
        """Chooses the least loaded failure domain in service for a job.

        The load of a domain is its assigned work relative to its capacity.

        A domain without a worker that can hold a task of the job is chosen only
        when no domain has such a worker.

        Args:
            spec: Specification of the job.
            excluded_domain: Domain that must not be chosen; empty for none.

        Returns:
            Name of the domain, or None when no domain is in service.
        """
        fitting_domains = {
            vm.domain
            for vm in self._vm_inventory.list_workers()
            if spec.resources.fits_in(vm.capacity)
        }
        domain_loads = [
            load for load in self._compute_domain_loads()
            if load.domain != excluded_domain
        ]
        requested_resources = spec.resources.times(spec.tasks)
        chosen_domain = scheduling.choose_domain(
            [load for load in domain_loads if load.domain in fitting_domains],
            requested_resources)
        return chosen_domain or scheduling.choose_domain(
            domain_loads, requested_resources)

    def _compute_domain_loads(self) -> list[scheduling.DomainLoad]:
        """Returns the capacity and assigned work of all failure domains.

        The order is that of the configuration and does not depend on names.
        """
        capacities = {
            name: model.Resources() for name in self._configuration.domains
        }
        for vm in self._vm_inventory.list_workers():
            known_total = capacities.get(vm.domain, model.Resources())
            capacities[vm.domain] = known_total.plus(vm.capacity)
        assigned_resources: dict[str, model.Resources] = {}
        for entry in self._job_entries.values():
            if entry.outcome:
                continue
            known_total = assigned_resources.get(entry.domain,
                                                 model.Resources())
            n_remaining = entry.spec.tasks - len(entry.done)
            assigned_resources[entry.domain] = known_total.plus(
                entry.spec.resources.times(n_remaining))
        return [
            scheduling.DomainLoad(
                name, self._configuration.is_domain_in_service(name), capacity,
                assigned_resources.get(name, model.Resources()))
            for name, capacity in capacities.items()
        ]

    async def submit(self, spec: model.JobSpec) -> state.JobEntry:
        """Submits a job.

        A repeated submission of the same job returns the existing job.

        Args:
            spec: Specification of the job.

        Returns:
            The job as recorded in the `config` stream.

        Raises:
            RequestError: The job is malformed, its identifier is taken, or the
                log did not confirm it.
        """
        try:
            model.check_job_spec(spec)
        except errors.ConfigurationError as error:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      str(error)) from error
        if not self._config_client.is_ready():
            raise errors.RequestError(errors.ErrorCode.NOT_READY,
                                      "the state of jobs is not known yet")
        if spec.team and spec.team not in self._configuration.teams:
            known_teams = ", ".join(sorted(self._configuration.teams)) or "none"
            raise errors.RequestError(
                errors.ErrorCode.UNKNOWN_TEAM,
                f"unknown team {spec.team!r}; known: {known_teams}")
        job_entry = self._job_entries.get(spec.job_id)
        if job_entry is None:
            domain = self.choose_domain(spec) or self._domain_name
            now_ms = int(self._clock.now().timestamp() * 1000)
            record = model.JobSubmitted(spec, domain, now_ms)
            await append_confirmed_record(self._config_client, record,
                                          "the job")
            job_entry = self._job_entries.get(spec.job_id)
        if job_entry is None or (job_entry.digest
                                 != state.compute_spec_digest(spec)):
            raise errors.RequestError(
                errors.ErrorCode.JOB_ID_CONFLICT,
                f"job id {spec.job_id!r} is taken by another job")
        return job_entry

    async def cancel(self, job_id: str) -> state.JobEntry:
        """Requests the cancellation of a job.

        Raises:
            RequestError: The job is unknown or has ended, or the log did not
                confirm the cancellation.
        """
        entry = self.get_job(job_id)
        if entry.outcome:
            raise errors.RequestError(
                errors.ErrorCode.JOB_ENDED,
                f"job {job_id!r} has ended: {entry.outcome}")
        if not entry.is_cancelled:
            await append_confirmed_record(self._config_client,
                                          model.JobCancelled(job_id),
                                          "the cancellation")
        return self.get_job(job_id)

    def get_job(self, job_id: str) -> state.JobEntry:
        """Returns a job.

        Raises:
            RequestError: The job is unknown.
        """
        entry = self._job_entries.get(job_id)
        if entry is None:
            raise errors.RequestError(errors.ErrorCode.UNKNOWN_JOB,
                                      f"unknown job {job_id!r}")
        return entry

    def list_jobs(self) -> list[state.JobEntry]:
        """Returns the jobs that the `config` stream retains, oldest first."""
        return list(self._job_entries.values())

    def compute_progress(self, job_id: str) -> JobProgress | None:
        """Returns the progress of a job; None when it is not of this domain."""
        state_machine = self._domain_client.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        job = state_machine.jobs.get(job_id)
        if job is None:
            return None
        waiting = job.count_pending_tasks()
        reason = ""
        if waiting:
            reason = self._scheduler.explain_job(job_id).message
        return JobProgress(len(job.done), len(job.live_tasks), waiting, reason)


async def append_confirmed_record(client: streams.StreamClient,
                                  record: model.Record,
                                  record_label: str) -> state.AppliedRecord:
    """Appends a record to a stream and waits until the log confirms it.

    Args:
        client: Client of the stream.
        record: The record.
        record_label: What the record is, for error messages.

    Returns:
        The record as the stream's state machine applied it.

    Raises:
        RequestError: The log did not confirm the record; the verdict says
            whether it may still take effect.
    """
    try:
        return await client.submit(record, SUBMIT_TIMEOUT)
    except streams.AppendUnresolvedError as error:
        code = errors.ErrorCode.LOG_UNAVAILABLE
        message = f"the log took no append; {record_label} was not recorded"
        if error.verdict is not errors.Verdict.DID_NOT_RUN:
            code = errors.ErrorCode.RESULT_UNKNOWN
            message = (
                f"the log did not confirm {record_label}; ask for it by its "
                f"identifier, or send it again with the same one")
        raise errors.RequestError(code, message, error.verdict) from error
