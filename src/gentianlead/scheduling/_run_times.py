"""Measurement of run times, and cleanup after closed jobs."""

from typing import Callable

from gentianlead import state
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _estimates
from gentianlead.scheduling import _interference
from gentianlead.scheduling import _workload_history


class RunTimeObserver(state.DomainObserver):
    """Reports run times to the estimator and removes data of closed jobs.

    When a job leaves the domain, its size estimates and its interference
    estimates are removed.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 index: _domain_index.DomainIndex,
                 estimator: _estimates.SizeEstimator,
                 interference_model: _interference.InterferenceModel,
                 read_clock: Callable[[], float]):
        self._state_machine = state_machine
        self._index = index
        self._estimator = estimator
        self._interference_model = interference_model
        self._read_clock = read_clock
        self._run_starts: dict[tuple[str, int], tuple[int, float]] = {}
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self._run_starts.clear()

    def on_run_changed(self, key: tuple[str, int]) -> None:
        run = self._state_machine.runs.get(key)
        if run is not None and self._run_starts.get(key,
                                                    (0, 0.0))[0] != run.run:
            self._run_starts[key] = (run.run, self._read_clock())

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        run_start = self._run_starts.pop((run.job_id, run.task), None)
        if run_start is None or reason != state.FINISHED_REASON:
            return
        job_state = self._index.job_states[run.job_id]
        run_time = self._read_clock() - run_start[1]
        if self._estimator.observe_completion(job_state.job.spec, run,
                                              run_time):
            self._index.update_queue_membership(job_state)

    def compute_run_age(self, run: state.LiveRun, as_of: float) -> float:
        """Returns the age of a run at the time `as_of`, in seconds."""
        run_start = self._run_starts.get((run.job_id, run.task))
        return max(0.0, as_of - run_start[1]) if run_start is not None else 0.0

    def on_job_changed(self, job_id: str) -> None:
        if job_id not in self._index.job_states:
            self._estimator.remove_job(job_id)
            self._interference_model.remove_workload(
                _workload_history.Workload(False, job_id))
