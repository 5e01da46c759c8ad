"""Careful starts of tasks under which workers have crashed."""

from typing import Callable, Iterable, NamedTuple

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _decisions
from gentianlead.scheduling import _domain_index
from gentianlead.scheduling import _quarantine
from gentianlead.scheduling import _worker_index
from gentianlead.scheduling import _workload_history

FIRST_DELAY = 5.0
"""Seconds from a crash under a suspect until the task may start again. Each
further crash doubles the delay, up to `MAX_DELAY`."""

MAX_DELAY = 60.0

MAX_ISOLATION_WAIT = 60.0
"""Seconds from the reservation of a worker after which a suspect starts there
even if other runs have not ended yet."""

OBSERVATION_TIME = 6.0
"""Seconds from the claim of a suspect during which nothing else starts on its
worker, and no other suspect starts in the domain. A task that crashes its
worker within `execution.EARLY_LOSS_TIME` thus harms no other run, and it is
clear which task did it."""


class _Reservation(NamedTuple):
    """A worker that is kept free for a suspect.

    Attributes:
        task_key: Job id and index of the task.
        worker: Name of the worker, which is excluded from placement.
        began_at: Monotonic seconds.
    """

    task_key: _decisions.TaskKey
    worker: str
    began_at: float


class _Observation(NamedTuple):
    """A live or planned run of a suspect.

    Attributes:
        run: Number of the run.
        worker: Name of the worker, which is excluded from placement until the
            observation is over.
        began_at: Monotonic seconds.
        is_over: Whether the run was observed for `OBSERVATION_TIME`.
    """

    run: int
    worker: str
    began_at: float
    is_over: bool = False


def compute_delay(crashes: Iterable[model.WorkerCrash]) -> float:
    """Returns the seconds after the last crash until a suspect may start."""
    crash_count = sum(1 for _ in crashes)
    return min(MAX_DELAY, FIRST_DELAY * 2.0**(crash_count - 1))


class SuspectTasks(state.DomainObserver):
    """Chooses when and where tasks start under which workers have crashed.

    `model.is_suspect` says which tasks these are; the state of the domain holds
    the crashes. A suspect starts after a delay that grows with each crash, on a
    worker without other runs if possible, and only one suspect at a time.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 domain_index: _domain_index.DomainIndex,
                 workload_history: _workload_history.WorkloadHistory,
                 quarantine: _quarantine.Quarantine,
                 read_clock: Callable[[], float]):
        self._state_machine = state_machine
        self._domain_index = domain_index
        self._workload_history = workload_history
        self._quarantine = quarantine
        self._read_clock = read_clock
        self._start_after_by_task: dict[_decisions.TaskKey, float] = {}
        self._observations: dict[_decisions.TaskKey, _Observation] = {}
        self._reservation: _Reservation | None = None
        self.on_reset()
        state_machine.add_observer(self)

    def on_reset(self) -> None:
        self.end_reservation()
        for task_key in list(self._observations):
            self._drop_observation(task_key)
        self._start_after_by_task.clear()
        for job_id in self._state_machine.jobs:
            self.on_job_changed(job_id)
        for task_key in self._state_machine.runs:
            self.on_run_changed(task_key)

    def on_job_changed(self, job_id: str) -> None:
        job = self._state_machine.jobs.get(job_id)
        if job is not None:
            for task in job.list_waiting_suspects():
                if (job_id, task) not in self._start_after_by_task:
                    self._start_after_by_task[job_id, task] = (
                        self._read_clock() + compute_delay(job.crashes[task]))
        elif self._start_after_by_task:
            for task_key in [
                    key for key in self._start_after_by_task if key[0] == job_id
            ]:
                del self._start_after_by_task[task_key]

    def on_run_changed(self, key: _decisions.TaskKey) -> None:
        run = self._state_machine.runs.get(key)
        if run is None:
            self._drop_observation(key)
            return
        self._start_after_by_task.pop(key, None)
        observation = self._observations.get(key)
        job = self._state_machine.jobs[run.job_id]
        if ((observation is None or observation.run != run.run) and
                model.is_suspect(job.crashes.get(run.task, ()))):
            self._observe(key, run.run, run.worker)

    def _observe(self, task_key: _decisions.TaskKey, run: int,
                 worker: str) -> None:
        self._drop_observation(task_key)
        self._observations[task_key] = _Observation(run, worker,
                                                    self._read_clock())
        self._domain_index.worker_index.exclude(worker)

    def _drop_observation(self, task_key: _decisions.TaskKey) -> None:
        observation = self._observations.pop(task_key, None)
        if observation is not None and not observation.is_over:
            self._domain_index.worker_index.include(observation.worker)

    def end_reservation(self) -> None:
        """Lets tasks start on the reserved worker again, if there is one.

        A daemon calls it while it is not the preferred scheduler, because it
        then starts no suspects.
        """
        if self._reservation is not None:
            self._domain_index.worker_index.include(self._reservation.worker)
            self._reservation = None

    def end_due_observations(self, now: float) -> None:
        """Lets other tasks start beside suspects that have run long enough."""
        for task_key, observation in self._observations.items():
            if (not observation.is_over and
                    now - observation.began_at >= OBSERVATION_TIME):
                self._observations[task_key] = observation._replace(
                    is_over=True)
                self._domain_index.worker_index.include(observation.worker)

    def choose_start(self, now: float) -> tuple[_decisions.TaskKey, str] | None:
        """Returns a suspect that may start now and its worker, or None.

        A worker is reserved for the first suspect that is due, until its other
        runs have ended or `MAX_ISOLATION_WAIT` has passed. If the suspect does
        not fit there even later, its turn comes again after `MAX_DELAY`.
        """
        if not all(observation.is_over
                   for observation in self._observations.values()):
            return None
        task_key = self._choose_due_task(now)
        if task_key is None:
            self.end_reservation()
            return None
        resources = self._get_resources(task_key)
        self._update_reservation(task_key, resources, now)
        if self._reservation is None:
            return None
        worker = self._domain_index.worker_index.workers[
            self._reservation.worker]
        waited = now - self._reservation.began_at
        if waited < MAX_ISOLATION_WAIT and self._count_runs(worker.name):
            return None
        if resources.fits_in(worker.free_capacity):
            return task_key, worker.name
        if waited >= 2 * MAX_ISOLATION_WAIT:
            self._start_after_by_task[task_key] = now + MAX_DELAY
            self.end_reservation()
        return None

    def _get_resources(self, task_key: _decisions.TaskKey) -> model.Resources:
        return self._domain_index.job_states[task_key[0]].group_key.resources

    def _choose_due_task(self, now: float) -> _decisions.TaskKey | None:
        """Returns the task with the least evidence against it, or None.

        Tasks that are not the cause thus do not wait for those that crash their
        workers again and again.
        """
        due_tasks = []
        for task_key, start_after in self._start_after_by_task.items():
            job_state = self._domain_index.job_states[task_key[0]]
            crashes = job_state.job.crashes.get(task_key[1], ())
            if (now >= start_after and not job_state.is_cancelled and
                    job_state.blocked_reason is None and
                    model.is_suspect(crashes) and
                    not model.is_given_up(crashes)):
                evidence = model.compute_crash_evidence(crashes)
                due_tasks.append((evidence, start_after, task_key))
        return min(due_tasks)[2] if due_tasks else None

    def _update_reservation(self, task_key: _decisions.TaskKey,
                            resources: model.Resources, now: float) -> None:
        worker_index = self._domain_index.worker_index
        reservation = self._reservation
        if reservation is not None and (
                reservation.task_key != task_key or
                reservation.worker not in worker_index.workers or
                worker_index.count_exclusions(reservation.worker) > 1):
            self.end_reservation()
        if self._reservation is not None:
            return
        worker = min((worker for worker in worker_index.iterate_included()
                      if resources.fits_in(worker.capacity)),
                     key=lambda worker: self._rank_worker(task_key, worker),
                     default=None)
        if worker is not None:
            self._reservation = _Reservation(task_key, worker.name, now)
            worker_index.exclude(worker.name)

    def _rank_worker(self, task_key: _decisions.TaskKey,
                     worker: _worker_index.Worker) -> tuple:
        job_id, task = task_key
        crashes = self._domain_index.job_states[job_id].job.crashes[task]
        runs = self._domain_index.runs_by_worker.get(worker.name, {})
        service_run_count = sum(not self._domain_index.is_batch_job(run.job_id)
                                for run in runs.values())
        return (any(crash.worker == worker.name for crash in crashes),
                self._quarantine.has_recent_failure_on(job_id, worker.name),
                bool(self._workload_history.get_services_on(worker.name)),
                service_run_count, self._count_runs(worker.name),
                worker.appearance_order)

    def _count_runs(self, worker: str) -> int:
        return len(self._domain_index.runs_by_worker.get(worker, {})) + sum(
            start.worker == worker
            for start in self._domain_index.planned_starts.values())

    def record_start(self, start: _decisions.PlannedStart) -> None:
        """Begins the observation of a planned start of a suspect."""
        self.end_reservation()
        self._start_after_by_task.pop(start.task_key, None)
        self._observe(start.task_key, start.run, start.worker)

    def discard_start(self, start: _decisions.PlannedStart) -> None:
        """Lets a suspect start again whose claim was not accepted."""
        observation = self._observations.get(start.task_key)
        if observation is not None and observation.run == start.run and (
                start.task_key not in self._state_machine.runs):
            self._drop_observation(start.task_key)
            self.on_job_changed(start.job_id)

    def explain_job(self, job_id: str) -> _decisions.WaitReason | None:
        """Returns why suspects of a job wait, or None if none waits."""
        job = self._state_machine.jobs[job_id]
        tasks = job.list_waiting_suspects()
        if not tasks:
            return None
        crashes = job.crashes[tasks[0]]
        workers = ", ".join(crash.worker for crash in crashes)
        delay = max(
            0.0,
            self._start_after_by_task.get(
                (job_id, tasks[0]), 0.0) - self._read_clock())
        return _decisions.WaitReason(
            _decisions.WaitCode.CRASHED_WORKERS,
            f"{len(tasks)} tasks start only alone on a worker, because workers "
            f"crashed soon after their start; task {tasks[0]} waits for at "
            f"least {delay:.0f} s after {len(crashes)} crashes: {workers}")
