"""Deferral of jobs that would slow down services on all free workers."""

from typing import Callable

from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index

DEFERRAL_TIME = 10.0
"""Seconds until a deferred job returns to the queue."""

MAX_DEFERRAL = 300.0
"""Seconds after which a job may start next to services that it slows down; its
runs are then throttled. This bounds the wait of every job."""


class DeferredJobs(state.DomainObserver):
    """Keeps jobs out of the queue while they would slow down services.

    A job is deferred when the only workers with enough free capacity run
    services that the job is expected to slow down.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 index: _domain_index.DomainIndex, read_clock: Callable[[],
                                                                        float]):
        self._index = index
        self._read_clock = read_clock
        self._deferred_since: dict[str, float] = {}
        self._deferred_until: dict[str, float] = {}
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._deferred_since.clear()
        self._deferred_until.clear()

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._index.job_states:
            self._deferred_since.pop(job_id, None)
            self._deferred_until.pop(job_id, None)

    def defer(self, job_id: str, now: float) -> None:
        """Removes a job from the queue for `DEFERRAL_TIME` seconds."""
        self._deferred_since.setdefault(job_id, now)
        self._deferred_until[job_id] = now + DEFERRAL_TIME
        job_state = self._index.job_states[job_id]
        job_state.paused_reason = _decisions.WaitReason(
            _decisions.WaitCode.HARMS_SERVICES,
            "the workers with enough free capacity run services that the job "
            f"slows down; it starts there after {MAX_DEFERRAL:.0f} s without a "
            "start")
        self._index.update_queue_membership(job_state)

    def record_start(self, job_id: str) -> None:
        """Resets the time for which a job has been deferred."""
        self._deferred_since.pop(job_id, None)

    def may_start_anywhere(self, job_id: str) -> bool:
        """Returns whether the job was deferred for `MAX_DEFERRAL` or longer."""
        deferred_since = self._deferred_since.get(job_id)
        return deferred_since is not None and self._read_clock(
        ) - deferred_since >= MAX_DEFERRAL

    def end_due_deferrals(self, now: float) -> None:
        """Returns the jobs to the queue whose deferral has ended."""
        for job_id, deferred_until in list(self._deferred_until.items()):
            if now < deferred_until:
                continue
            del self._deferred_until[job_id]
            job_state = self._index.job_states[job_id]
            if (job_state.paused_reason is not None and
                    job_state.paused_reason.code
                    is _decisions.WaitCode.HARMS_SERVICES):
                job_state.paused_reason = None
                self._index.update_queue_membership(job_state)
