"""Submission and status of jobs."""

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
    """Progress of a job in its failure domain.

    Attributes:
        done: Tasks done.
        running: Tasks with a live run.
        waiting: Tasks that wait.
        reason: Why tasks wait; empty when none does.
    """

    done: int
    running: int
    waiting: int
    reason: str


class JobService:
    """Accepts jobs and tells of them.

    Args:
        domain_name: Failure domain of this daemon.
        config: Client of the `config` stream.
        domain: Client of the domain's stream.
        scheduler: Explains why jobs wait.
        platform: Last known VMs.
        clock: Source of time.
    """

    def __init__(self, domain_name: str, config: streams.StreamClient,
                 domain: streams.StreamClient,
                 scheduler: scheduling.DomainScheduler,
                 platform: control.VMInventory, clock: ports.Clock):
        self._domain_name = domain_name
        self._config = config
        self._domain = domain
        self._scheduler = scheduler
        self._platform = platform
        self._clock = clock

    @property
    def _jobs(self) -> dict[str, state.JobEntry]:
        state_machine = self._config.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine.jobs

    @property
    def _configuration(self) -> model.Configuration:
        state_machine = self._config.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine.configuration

    def choose_domain(self,
                      spec: model.JobSpec,
                      excluded: str = "") -> str | None:
        """Returns the domain in service with the least work for its size.

        A domain without a worker that is large enough is used only when no
        domain has one.

        Args:
            spec: The job.
            excluded: Domain that is not to be chosen.

        Returns:
            A domain, or None when there is none in service.
        """
        fitting = {
            vm.domain
            for vm in self._platform.list_workers()
            if spec.resources.fits_in(vm.capacity)
        }
        loads = [
            load for load in self._measure_loads() if load.domain != excluded
        ]
        added = spec.resources.times(spec.tasks)
        chosen = scheduling.choose_domain(
            [load for load in loads if load.domain in fitting], added)
        return chosen or scheduling.choose_domain(loads, added)

    def _measure_loads(self) -> list[scheduling.DomainLoad]:
        """Returns all domains, in an order that does not depend on names."""
        capacities = {
            name: model.Resources() for name in self._configuration.domains
        }
        for vm in self._platform.list_workers():
            known = capacities.get(vm.domain, model.Resources())
            capacities[vm.domain] = known.plus(vm.capacity)
        assigned: dict[str, model.Resources] = {}
        for entry in self._jobs.values():
            if entry.outcome:
                continue
            known = assigned.get(entry.domain, model.Resources())
            remaining = entry.spec.tasks - len(entry.done)
            assigned[entry.domain] = known.plus(
                entry.spec.resources.times(remaining))
        return [
            scheduling.DomainLoad(
                name, self._configuration.is_domain_in_service(name), capacity,
                assigned.get(name, model.Resources()))
            for name, capacity in capacities.items()
        ]

    async def submit(self, spec: model.JobSpec) -> state.JobEntry:
        """Submits a job; the same job may be submitted again.

        Returns:
            The job as accepted.

        Raises:
            RequestError: The job is malformed, its identifier is taken, or the
                log did not confirm it.
        """
        try:
            model.check_job_spec(spec)
        except errors.ConfigurationError as error:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      str(error)) from error
        if not self._config.is_ready():
            raise errors.RequestError(errors.ErrorCode.NOT_READY,
                                      "the state of jobs is not known yet")
        if spec.team and spec.team not in self._configuration.teams:
            known = ", ".join(sorted(self._configuration.teams)) or "none"
            raise errors.RequestError(
                errors.ErrorCode.UNKNOWN_TEAM,
                f"unknown team {spec.team!r}; known: {known}")
        known_entry = self._jobs.get(spec.job_id)
        if known_entry is None:
            domain = self.choose_domain(spec) or self._domain_name
            now_ms = int(self._clock.now().timestamp() * 1000)
            record = model.JobSubmitted(spec, domain, now_ms)
            await submit_confirmed(self._config, record, "the job")
            known_entry = self._jobs.get(spec.job_id)
        if known_entry is None or (known_entry.digest
                                   != state.compute_spec_digest(spec)):
            raise errors.RequestError(
                errors.ErrorCode.JOB_ID_CONFLICT,
                f"job id {spec.job_id!r} is taken by another job")
        return known_entry

    async def cancel(self, job_id: str) -> state.JobEntry:
        """Asks for the end of a job.

        Raises:
            RequestError: The job is unknown or has ended, or the log did not
                confirm the cancellation.
        """
        entry = self.get(job_id)
        if entry.outcome:
            raise errors.RequestError(
                errors.ErrorCode.JOB_ENDED,
                f"job {job_id!r} has ended: {entry.outcome}")
        if not entry.is_cancelled:
            await submit_confirmed(self._config, model.JobCancelled(job_id),
                                   "the cancellation")
        return self.get(job_id)

    def get(self, job_id: str) -> state.JobEntry:
        """Returns a job.

        Raises:
            RequestError: The job is unknown.
        """
        entry = self._jobs.get(job_id)
        if entry is None:
            raise errors.RequestError(errors.ErrorCode.UNKNOWN_JOB,
                                      f"unknown job {job_id!r}")
        return entry

    def list_all(self) -> list[state.JobEntry]:
        """Returns all jobs that are kept, oldest first."""
        return list(self._jobs.values())

    def measure(self, job_id: str) -> JobProgress | None:
        """Returns the progress of a job of this domain, or None."""
        state_machine = self._domain.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        job = state_machine.jobs.get(job_id)
        if job is None:
            return None
        waiting = job.count_pending_tasks()
        reason = ""
        if waiting:
            reason = self._scheduler.explain_job(job_id).message
        return JobProgress(len(job.done), len(job.live_tasks), waiting, reason)


async def submit_confirmed(client: streams.StreamClient, record: model.Record,
                           what: str) -> state.AppliedRecord:
    """Appends a record for an operator or caller.

    Raises:
        RequestError: The log did not confirm it; the verdict says whether it
            may still take effect.
    """
    try:
        return await client.submit(record, SUBMIT_TIMEOUT)
    except streams.AppendUnresolvedError as error:
        code = errors.ErrorCode.LOG_UNAVAILABLE
        message = f"the log took no append; {what} was not recorded"
        if error.verdict is not errors.Verdict.DID_NOT_RUN:
            code = errors.ErrorCode.RESULT_UNKNOWN
            message = (f"the log did not confirm {what}; ask for it by its "
                       f"identifier, or send it again with the same one")
        raise errors.RequestError(code, message, error.verdict) from error
