"""Deferral of jobs that would slow down services on every fitting worker."""

from typing import Callable

from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

DEFERRAL_TIME = 10.0
"""Seconds for which one deferral keeps a job out of the queue. A job may be
deferred again afterwards."""

MAX_DEFERRAL_TIME = 300.0
"""Seconds from the first deferral of a job after which it may start on workers
whose services it slows down; its runs are then throttled. Each planned start of
one of its tasks resets the time. This bounds the wait for a worker without such
services."""


class DeferredJobs(state.DomainObserver):
    """Keeps jobs out of the queue while they would slow down services.

    The scheduler defers a job when all workers with enough free capacity run
    services that the job is expected to slow down too much.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 read_clock: Callable[[], float]):
        self._domain_index = domain_index
        self._read_clock = read_clock
        self._deferred_since_by_job: dict[str, float] = {}
        self._deferred_until_by_job: dict[str, float] = {}
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._deferred_since_by_job.clear()
        self._deferred_until_by_job.clear()

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._domain_index.job_states:
            self._deferred_since_by_job.pop(job_id, None)
            self._deferred_until_by_job.pop(job_id, None)

    def defer_job(self, job_id: str, now: float) -> None:
        """Keeps a job out of the queue for `DEFERRAL_TIME` seconds."""
        self._deferred_since_by_job.setdefault(job_id, now)
        self._deferred_until_by_job[job_id] = now + DEFERRAL_TIME
        job_state = self._domain_index.job_states[job_id]
        job_state.paused_reason = _decisions.WaitReason(
            _decisions.WaitCode.HARMS_SERVICES,
            "the workers with enough free capacity run services that the job "
            f"slows down; it starts there after {MAX_DEFERRAL_TIME:.0f} s "
            "without a start")
        self._domain_index.update_queue_membership(job_state)

    def record_start(self, job_id: str) -> None:
        """Restarts `MAX_DEFERRAL_TIME` for a job with a newly planned start.

        The time then counts from the next deferral of the job.
        """
        self._deferred_since_by_job.pop(job_id, None)

    def may_slow_services(self, job_id: str) -> bool:
        """Returns whether the job may start where it slows down services.

        This is the case from `MAX_DEFERRAL_TIME` after its first deferral until
        the next start of one of its tasks is planned.
        """
        deferred_since = self._deferred_since_by_job.get(job_id)
        return deferred_since is not None and self._read_clock(
        ) - deferred_since >= MAX_DEFERRAL_TIME

    def end_due_deferrals(self, now: float) -> None:
        """Ends the deferrals that began `DEFERRAL_TIME` ago or earlier."""
        for job_id, deferred_until in list(self._deferred_until_by_job.items()):
            if now < deferred_until:
                continue
            del self._deferred_until_by_job[job_id]
            job_state = self._domain_index.job_states[job_id]
            if (job_state.paused_reason is not None and
                    job_state.paused_reason.code
                    is _decisions.WaitCode.HARMS_SERVICES):
                job_state.paused_reason = None
                self._domain_index.update_queue_membership(job_state)
