"""Placement penalties for interference and for recent failures."""

from gentianlead.scheduling import _colocation
from gentianlead.scheduling import _deferrals
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _placement
from gentianlead.scheduling import _quarantine
from gentianlead.scheduling import _workload_history
from gentianlead.scheduling import _trials
from gentianlead.scheduling import _worker_index

FAILED_ON_WORKER_PENALTY = 20.0
"""Added for a worker on which the job failed recently. It outweighs any
interference, because the task may succeed on another worker."""

SAME_JOB_TRIAL_PENALTY = 1.0
"""Added for each run of the same job on the worker while the job is on trial.
Trial runs on separate workers harm each service less and yield more evidence.
"""

MIN_PENALTY = 0.03
"""Smaller penalties are estimation noise and are treated as 0.0."""

TOLERATED_SERVICE_PENALTY = 1.0
"""A job waits for another worker when the weighted slowdown that it would cause
to the services of a worker exceeds the lowest one in the domain by more than
this."""


class _InterferencePenalties(_placement.PlacementPenalties):
    """Computes penalties for one job from estimates that it looks up once."""

    def __init__(self, penalty_model: "Advisor",
                 workload: _workload_history.Workload, is_on_trial: bool,
                 may_wait: bool):
        self._penalty_model = penalty_model
        self._workload = workload
        self._is_on_trial = is_on_trial
        (self._effects_by_victim, self._effects_by_aggressor,
         self._general_effect) = (
             penalty_model.interference_model.get_estimates(workload))
        self._service_penalty_limit = float("inf")
        if may_wait and (self._effects_by_victim or self._general_effect):
            min_service_penalty = min(
                (self._compute_service_penalty(services) for services in
                 penalty_model.history.list_service_combinations()),
                default=0.0)
            self._service_penalty_limit = (min_service_penalty +
                                           TOLERATED_SERVICE_PENALTY)

    def _compute_service_penalty(
            self, services: tuple[_workload_history.Workload, ...]) -> float:
        slowdown = 0.0
        for workload in services:
            estimate = self._effects_by_victim.get(workload)
            slowdown += (self._general_effect
                         if estimate is None else estimate.mean)
        return self._penalty_model.settings.service_weight * slowdown

    def compute_penalty(self, worker: _worker_index.Worker) -> float:
        """Returns the weighted slowdown that the job would cause and suffer.

        A recent failure of the job on the worker adds a fixed penalty.
        """
        penalty_model = self._penalty_model
        services = penalty_model.history.get_services_on(worker.name)
        penalty = self._compute_service_penalty(services)
        if penalty > self._service_penalty_limit:
            return _placement.FORBIDDEN_PENALTY
        effects_by_victim, effects_by_aggressor = (self._effects_by_victim,
                                                   self._effects_by_aggressor)
        job_weights = penalty_model.history.get_job_weights(worker.name)
        task_slowdown = 0.0
        for workload, weight in job_weights.items():
            if workload == self._workload:
                penalty += SAME_JOB_TRIAL_PENALTY * weight * self._is_on_trial
                continue
            estimate = effects_by_victim.get(workload)
            pair_slowdown = (self._general_effect
                             if estimate is None else estimate.mean)
            estimate = effects_by_aggressor.get(workload)
            pair_slowdown += (
                penalty_model.interference_model.get_general_effect(workload)
                if estimate is None else estimate.mean)
            task_slowdown += weight * pair_slowdown
        for workload in services:
            estimate = effects_by_aggressor.get(workload)
            if estimate is not None:
                task_slowdown += estimate.mean
        penalty += penalty_model.settings.task_weight * task_slowdown
        if penalty_model.quarantine.has_recent_failure_on(
                self._workload.name, worker.name):
            penalty += FAILED_ON_WORKER_PENALTY
        return penalty if penalty >= MIN_PENALTY else 0.0


class Advisor(_placement.PenaltyModel):
    """Penalizes workers for estimated interference and for recent failures.

    Attributes:
        settings: Weights of service slowdown and task slowdown.
        history: Workloads on each worker.
        interference_model: Estimated slowdown for each pair of workloads.
        quarantine: Recent failures of jobs on workers.
    """

    def __init__(self, settings: _colocation.ColocationSettings,
                 history: _workload_history.WorkloadHistory,
                 interference_model: _interference.InterferenceModel,
                 quarantine: _quarantine.Quarantine,
                 trial_limiter: _trials.TrialLimiter,
                 deferred_jobs: _deferrals.DeferredJobs):
        self.settings = settings
        self.history = history
        self.interference_model = interference_model
        self.quarantine = quarantine
        self._trial_limiter = trial_limiter
        self._deferred_jobs = deferred_jobs

    def build_penalties(
            self, request: _placement.PlacementRequest
    ) -> _placement.PlacementPenalties:
        job_id = request.job_id
        may_wait = (request.may_wait and
                    not self._deferred_jobs.may_start_anywhere(job_id))
        return _InterferencePenalties(self,
                                      _workload_history.Workload(False, job_id),
                                      self._trial_limiter.is_on_trial(job_id),
                                      may_wait)
