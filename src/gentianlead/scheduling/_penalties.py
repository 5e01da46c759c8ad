"""Penalties of workers in placement, for interference and recent failures."""

from gentianlead.scheduling import _colocation
from gentianlead.scheduling import _deferrals
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _placement
from gentianlead.scheduling import _quarantine
from gentianlead.scheduling import _workload_history
from gentianlead.scheduling import _trials
from gentianlead.scheduling import _worker_index

FAILED_ON_WORKER_PENALTY = 20.0
"""Added for a worker on which the job failed recently or a run of any job was
lost recently. It outweighs any interference, because the task may succeed on
another worker."""

SAME_JOB_TRIAL_PENALTY = 1.0
"""Added for each run of the same job on the worker while the job is on trial.
For a throttled run, it is multiplied by the share of its resources that the run
keeps. Trial runs on separate workers harm each service less and yield more
evidence.
"""

MIN_PENALTY = 0.03
"""Penalties below this are treated as 0.0, because they are within the error of
the estimates."""

TOLERATED_SERVICE_PENALTY = 1.0
"""A job that may wait does not start on a worker if the penalty for slowing
down the services there exceeds the lowest such penalty among all workers of the
domain by more than this."""


class _InterferencePenalties(_placement.PlacementPenalties):
    """Computes the penalties of workers for a task of one job.

    The estimates that involve the job are looked up once, on creation.
    """

    def __init__(self, penalty_model: "Advisor",
                 workload: _workload_history.Workload, is_on_trial: bool,
                 may_wait: bool):
        self._penalty_model = penalty_model
        self._workload = workload
        self._is_on_trial = is_on_trial
        (self._effects_by_victim, self._effects_by_aggressor,
         self._general_effect) = (
             penalty_model.interference_model.get_estimates_involving(workload))
        self._service_penalty_limit = float("inf")
        if may_wait and (self._effects_by_victim or self._general_effect):
            min_service_penalty = min(
                (self._compute_service_penalty(services) for services in
                 penalty_model.workload_history.list_service_combinations()),
                default=0.0)
            self._service_penalty_limit = (min_service_penalty +
                                           TOLERATED_SERVICE_PENALTY)

    def _compute_service_penalty(
            self, services: tuple[_workload_history.Workload, ...]) -> float:
        total_slowdown = 0.0
        for workload in services:
            estimate = self._effects_by_victim.get(workload)
            total_slowdown += (self._general_effect
                               if estimate is None else estimate.mean)
        return self._penalty_model.settings.service_weight * total_slowdown

    def compute_penalty(self, worker: _worker_index.Worker) -> float:
        """Returns the weighted slowdown that the task would cause and suffer.

        Runs of the same job add a penalty during a trial, and recent failures
        on the worker add a fixed one. A sum below `MIN_PENALTY` becomes 0.0.
        The result is `FORBIDDEN_PENALTY` if the task should wait for a worker
        whose services it slows down less.
        """
        penalty_model = self._penalty_model
        services = penalty_model.workload_history.get_services_on(worker.name)
        penalty = self._compute_service_penalty(services)
        if penalty > self._service_penalty_limit:
            return _placement.FORBIDDEN_PENALTY
        effects_by_victim, effects_by_aggressor = (self._effects_by_victim,
                                                   self._effects_by_aggressor)
        job_weights = penalty_model.workload_history.get_job_weights(
            worker.name)
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
        settings: Settings of which only `service_weight` and `task_weight` are
            used.
        workload_history: Present workloads on each worker.
        interference_model: Estimated effect of each workload on each other one.
        quarantine: Records the recent failures and lost runs on each worker.
    """

    def __init__(self, settings: _colocation.ColocationSettings,
                 workload_history: _workload_history.WorkloadHistory,
                 interference_model: _interference.InterferenceModel,
                 quarantine: _quarantine.Quarantine,
                 trial_limiter: _trials.TrialLimiter,
                 deferred_jobs: _deferrals.DeferredJobs):
        self.settings = settings
        self.workload_history = workload_history
        self.interference_model = interference_model
        self.quarantine = quarantine
        self._trial_limiter = trial_limiter
        self._deferred_jobs = deferred_jobs

    def build_penalties(
            self, request: _placement.PlacementRequest
    ) -> _placement.PlacementPenalties:
        job_id = request.job_id
        may_wait = (request.may_wait and
                    not self._deferred_jobs.may_slow_services(job_id))
        return _InterferencePenalties(self,
                                      _workload_history.Workload(False, job_id),
                                      self._trial_limiter.is_on_trial(job_id),
                                      may_wait)
