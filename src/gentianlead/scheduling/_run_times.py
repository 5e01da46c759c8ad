"""Measurement of run times, and removal of estimates for closed jobs."""

from typing import Callable

from gentianlead import state
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _estimates
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _workload_history


class RunTimeObserver(state.DomainObserver):
    """Measures run times, and removes the estimates of closed jobs.

    The run time of a successful run is the time from when this daemon applied
    the claim of the run to when it applied the end of the run. When a job is no
    longer open in the domain, its size estimates, run times and interference
    estimates are removed.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 estimator: _estimates.SizeEstimator,
                 interference_model: _interference.InterferenceModel,
                 read_clock: Callable[[], float]):
        self._state_machine = state_machine
        self._domain_index = domain_index
        self._estimator = estimator
        self._interference_model = interference_model
        self._read_clock = read_clock
        self._run_number_and_start_by_task: dict[tuple[str, int],
                                                 tuple[int, float]] = {}
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._run_number_and_start_by_task.clear()

    def on_run_changed(self, key: tuple[str, int]) -> None:
        run = self._state_machine.runs.get(key)
        if run is not None and self._run_number_and_start_by_task.get(
                key, (0, 0.0))[0] != run.run:
            self._run_number_and_start_by_task[key] = (run.run,
                                                       self._read_clock())

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        run_number_and_start = self._run_number_and_start_by_task.pop(
            (run.job_id, run.task), None)
        if run_number_and_start is None or reason != state.FINISHED_REASON:
            return
        job_state = self._domain_index.job_states[run.job_id]
        run_time = self._read_clock() - run_number_and_start[1]
        if self._estimator.record_completion(job_state.job.spec, run, run_time):
            self._domain_index.update_queue_membership(job_state)

    def compute_run_age(self, run: state.LiveRun, as_of: float) -> float:
        """Returns the age of a run at the time `as_of`, in seconds.

        The age is 0.0 if this daemon has not applied the claim of the run
        itself, or if `as_of` is before that.
        """
        run_number_and_start = self._run_number_and_start_by_task.get(
            (run.job_id, run.task))
        return max(0.0, as_of - run_number_and_start[1]
                  ) if run_number_and_start is not None else 0.0

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._domain_index.job_states:
            self._estimator.remove_job(job_id)
            self._interference_model.remove_workload(
                _workload_history.Workload(False, job_id))
