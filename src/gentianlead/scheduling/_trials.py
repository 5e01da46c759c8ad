"""Trial phase of jobs whose effect on services is unknown."""

from typing import Callable

from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _workload_history

TRIAL_TIMEOUT = 25.0
"""Seconds from the first planned start of a job until its trial ends even if
its effects on services are still unknown. Two reports of a service arrive in
this time."""

TRIAL_CHECK_INTERVAL = 0.5
"""Minimum seconds between two checks of which trials can end."""

KNOWN_EFFECT_DEVIATION = 0.2
"""Standard deviation of the estimated effect of a job on a service below which
the effect counts as known."""


class TrialLimiter(state.DomainObserver):
    """Limits a new job to a few runs until its effect on services is known.

    Without the limit, a job of a hundred tasks that slows down a service would
    start next to all of its targets before the first report of the slowdown
    arrives. While the remaining tasks wait, other jobs use the capacity. Urgent
    jobs have no trial, and neither have jobs that first start while no service
    is configured.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 workload_history: _workload_history.WorkloadHistory,
                 interference_model: _interference.InterferenceModel,
                 read_clock: Callable[[], float], run_limit: int):
        """Observes the domain state.

        Args:
            state_machine: State of the domain.
            domain_index: Indexes of the domain.
            workload_history: Lists the configured services.
            interference_model: Estimated effects of jobs on services.
            read_clock: Returns monotonic seconds.
            run_limit: Maximum number of live and planned runs of a job on
                trial; 0 for no trials.
        """
        self._domain_index = domain_index
        self._workload_history = workload_history
        self._interference_model = interference_model
        self._read_clock = read_clock
        self._run_limit = run_limit
        self._trial_started_at_by_job: dict[str, float] = {}
        self._jobs_past_trial: dict[str, None] = {}
        self._next_check_at = 0.0
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._trial_started_at_by_job.clear()
        self._jobs_past_trial.clear()

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._domain_index.job_states:
            self._trial_started_at_by_job.pop(job_id, None)
            self._jobs_past_trial.pop(job_id, None)

    def record_start(self, job_id: str, now: float) -> None:
        """Records a planned start, which may begin the trial of its job.

        When the number of live and planned runs of a job on trial reaches the
        run limit, the job is paused until its trial ends.
        """
        if not self._run_limit or job_id in self._jobs_past_trial:
            return
        job_state = self._domain_index.job_states[job_id]
        if (job_state.job.spec.is_urgent or
                not self._workload_history.has_services):
            self._jobs_past_trial[job_id] = None
            return
        self._trial_started_at_by_job.setdefault(job_id, now)
        if len(job_state.job.live_tasks) + len(
                job_state.planned_tasks) < self._run_limit:
            return
        job_state.paused_reason = _decisions.WaitReason(
            _decisions.WaitCode.ON_TRIAL,
            f"{self._run_limit} tasks run until their effect on services is "
            f"known, for at most {TRIAL_TIMEOUT:.0f} s")
        self._domain_index.update_queue_membership(job_state)

    def is_on_trial(self, job_id: str) -> bool:
        """Returns whether the trial of a job has not ended yet.

        Returns True for any job without a planned start so far, and False for
        every job if the run limit is 0.
        """
        return bool(self._run_limit) and job_id not in self._jobs_past_trial

    def end_due_trials(self, now: float) -> None:
        """Ends trials that have timed out or whose job's effects are known.

        A trial ends `TRIAL_TIMEOUT` after it began, or earlier if the effects
        of the job on all configured services are known. Calls within
        `TRIAL_CHECK_INTERVAL` after a check do nothing.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + TRIAL_CHECK_INTERVAL
        for job_id, started_at in list(self._trial_started_at_by_job.items()):
            if now - started_at < TRIAL_TIMEOUT and not self._is_effect_known(
                    job_id):
                continue
            del self._trial_started_at_by_job[job_id]
            self._jobs_past_trial[job_id] = None
            job_state = self._domain_index.job_states[job_id]
            if (job_state.paused_reason is not None and
                    job_state.paused_reason.code
                    is _decisions.WaitCode.ON_TRIAL):
                job_state.paused_reason = None
                self._domain_index.update_queue_membership(job_state)

    def _is_effect_known(self, job_id: str) -> bool:
        workload = _workload_history.Workload(False, job_id)
        return all(
            self._interference_model.predict_effect(service, workload).deviation
            < KNOWN_EFFECT_DEVIATION
            for service in self._workload_history.list_services())
