"""Workers for the starts of tasks that may crash them.

A suspect starts on a worker that is kept free of other new runs until the
suspect is proven or has crashed it. A crash is then strong evidence, and few
other runs are lost.
"""

import datetime
from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead.dispatch import _crashes
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers

MAX_PROBATION_SHARE = 1 / 3
"""Share of a group's workers that may be kept for suspects; at least one worker
may. The losses of the other workers show a common cause."""

PROBATION_INTERVAL = datetime.timedelta(milliseconds=400)
"""Time between the starts of two probations. It is longer than the window in
which losses may have a common cause, so that two crashes are told apart."""

PREPARATION_LIMIT = datetime.timedelta(seconds=3)
"""Time after which a worker that was kept for a suspect without a start is
released. If another suspect waits for a worker, no worker is kept for this one
for as long, times the number of such releases, unless it fits there at once.
Otherwise suspects that do not fit would keep all others from starting for as
long as the tasks on the kept workers run."""

MAX_LONG_RUNNING_WAIT = datetime.timedelta(seconds=2)
"""Time after which a long-running suspect no longer waits for its probation, if
`Suspicion.may_start_beside_others` holds. One suspect after the other starts on
probation, at about one a second in a small group. All long-running tasks that
were lost twice right after their starts would queue without a run, beside free
capacity."""


class _Lapse(NamedTuple):
    """Releases of workers that were kept for a suspect in vain.

    Attributes:
        count: Number of releases.
        ends_at: Monotonic time in seconds from which a worker may be kept again
            although the suspect does not fit there yet.
    """

    count: int
    ends_at: float


class ProbationChoice(NamedTuple):
    """Worker for the next start of a suspect.

    Attributes:
        candidate: The worker if the suspect may start there now, else None.
        kept_worker_id: Worker that is kept for the suspect, or empty.
        is_unplaced: Whether the suspect waits for capacity.
    """

    candidate: _placement.Candidate | None
    kept_worker_id: str
    is_unplaced: bool


class ProbationPlanner:
    """Keeps workers for suspects, and claims their starts."""

    def __init__(self, state: _group_state.GroupState):
        self._state = state
        # Worker kept for each suspect, and the time since which it is kept.
        self._preparations: dict[model.TaskKey, tuple[str, float]] = {}
        self._kept_candidates: dict[str, _placement.Candidate] = {}
        self._lapses: dict[model.TaskKey, _Lapse] = {}
        # Time since which each suspect has waited for its probation.
        self._waiting_since: dict[model.TaskKey, float] = {}
        self._free_slots = 0
        # Whether a suspect found all workers in use that may be kept.
        self._has_refused = False
        self._next_start_at = 0.0
        # Whether the next start is kept for a suspect whose claim is not stored
        # yet. A claim that waits for its turn would count as a crash if the
        # leader died.
        self._is_next_start_claimed = False

    def begin_pass(self, candidates: dict[str, _placement.Candidate],
                   now: float) -> None:
        """Removes the workers that are kept for suspects from `candidates`."""
        self._kept_candidates.clear()
        self._is_next_start_claimed = False
        self._waiting_since = {
            task: since
            for task, since in self._waiting_since.items()
            if self._is_waiting(task)
        }
        used_slots = 0
        for worker in self._state.workers.values():
            if has_probation(worker):
                candidates.pop(worker.worker_id, None)
                used_slots += worker.is_reachable
        for task, (worker_id, kept_since) in list(self._preparations.items()):
            is_overdue = now - kept_since > PREPARATION_LIMIT.total_seconds()
            if is_overdue and self._has_refused:
                self._add_lapse(task, now)
            if (is_overdue or worker_id not in candidates or
                    not self._is_waiting(task) or
                    self._has_waited_too_long(task, now)):
                del self._preparations[task]
        for worker_id, _ in self._preparations.values():
            if worker_id in candidates:
                self._kept_candidates[worker_id] = candidates.pop(worker_id)
        usable_count = (len(candidates) + len(self._kept_candidates) +
                        used_slots)
        self._free_slots = (max(1, int(MAX_PROBATION_SHARE * usable_count)) -
                            used_slots - len(self._kept_candidates))
        self._has_refused = False
        self._lapses = {
            task: lapse
            for task, lapse in self._lapses.items()
            if self._is_waiting(task)
        }

    def _add_lapse(self, task: model.TaskKey, now: float) -> None:
        lapse = self._lapses.get(task)
        count = 1 + (lapse.count if lapse is not None else 0)
        self._lapses[task] = _Lapse(
            count, now + count * PREPARATION_LIMIT.total_seconds())

    def _is_waiting(self, task: model.TaskKey) -> bool:
        job = self._state.jobs.get(task.job_id)
        if (job is None or job.has_ended or
                job.pending_move_number is not None):
            return False
        return task.index in job.get_step(task).waiting_indexes

    def _has_waited_too_long(self, task: model.TaskKey, now: float) -> bool:
        step_run = self._state.jobs[task.job_id].get_step(task)
        waited_s = now - self._waiting_since.get(task, now)
        return (step_run.step.is_long_running and
                waited_s >= MAX_LONG_RUNNING_WAIT.total_seconds() and
                step_run.suspicions[task.index].may_start_beside_others)

    def list_suspects(self, job: _runs.JobRun, step_run: _runs.StepRun,
                      now: float) -> list[int]:
        """Returns the tasks of a step that may only start on probation.

        These are indexes of tasks that may start now, sorted. A long-running
        task that has waited too long for its probation is left out.

        Args:
            job: The job.
            step_run: The step, which is no gang.
            now: Present monotonic time in seconds.
        """
        return [
            index for index in job.list_startable_indexes(step_run) if
            step_run.needs_probation(index) and not self._has_waited_too_long(
                model.TaskKey(job.job.job_id, *step_run.key, index), now)
        ]

    def list_kept_candidates(
            self, job: _runs.JobRun,
            step_run: _runs.StepRun) -> list[_placement.Candidate]:
        """Returns the workers that are kept for tasks of a step."""
        return [
            self._kept_candidates[worker_id]
            for task, (worker_id, _) in self._preparations.items()
            if task[:3] == (job.job.job_id, *step_run.key) and
            worker_id in self._kept_candidates
        ]

    def find_worker(self, task: model.TaskKey, step: model.Step,
                    eligible_candidates: list[_placement.Candidate],
                    task_counts: dict[str, int],
                    fits: Callable[[_placement.Candidate],
                                   bool], now: float) -> ProbationChoice:
        """Chooses the worker on which a suspect starts, and keeps it.

        No worker is kept if enough workers are kept for suspects. Prefers a
        worker on which the task fits now, and then the one on which a crash
        would cost least. A task for which a worker was lately kept in vain gets
        only a worker on which it fits now.

        Args:
            task: The task.
            step: Its step.
            eligible_candidates: Workers that may run the task.
            task_counts: Number of tasks of the step by worker.
            fits: Returns whether the task may start on a worker now.
            now: Present monotonic time in seconds.
        """
        self._waiting_since.setdefault(task, now)
        if task not in self._preparations:
            lapse = self._lapses.get(task)
            has_lapsed = lapse is not None and now < lapse.ends_at
            if self._free_slots <= 0:
                self._has_refused |= not has_lapsed
                return ProbationChoice(None, "", has_lapsed)
            usable_candidates = [
                candidate for candidate in eligible_candidates
                if candidate.worker.worker_id not in self._kept_candidates and
                (fits(candidate) or
                 (not has_lapsed and
                  _placement.may_fit_later(candidate, step, task_counts)))
            ]
            if not usable_candidates:
                return ProbationChoice(None, "", True)
            chosen_candidate = min(
                usable_candidates,
                key=lambda candidate:
                (not fits(candidate), _compute_cost(candidate)))
            worker_id = chosen_candidate.worker.worker_id
            self._preparations[task] = (worker_id, now)
            self._kept_candidates[worker_id] = chosen_candidate
            self._free_slots -= 1
        worker_id, _ = self._preparations[task]
        candidate = next((candidate for candidate in eligible_candidates
                          if candidate.worker.worker_id == worker_id), None)
        if candidate is None:
            return ProbationChoice(None, worker_id, False)
        if not fits(candidate):
            return ProbationChoice(None, worker_id, True)
        if not _is_prepared(candidate.worker) or not self._may_start(now):
            return ProbationChoice(None, worker_id, False)
        return ProbationChoice(candidate, worker_id, False)

    def may_start_gang(self, now: float) -> bool:
        """Returns whether a gang may start on probation now."""
        if self._free_slots <= 0:
            self._has_refused = True
            return False
        return self._may_start(now)

    def _may_start(self, now: float) -> bool:
        return now >= self._next_start_at and not self._is_next_start_claimed

    def keep_next_start(self) -> None:
        """Lets no other suspect start in this pass.

        Only one suspect may start in each `PROBATION_INTERVAL`.
        """
        self._is_next_start_claimed = True

    def begin(self, run: _task_runs.Run, suspicion: _suspicions.Suspicion,
              now: float) -> None:
        """Marks the run of a suspect that now starts as a probation."""
        self._preparations.pop(_crashes.get_blamed_task(run), None)
        self._next_start_at = now + PROBATION_INTERVAL.total_seconds()
        self._state.crashes.add_probation(run, suspicion)


def has_probation(worker: _workers.WorkerState) -> bool:
    """Returns whether a run on a worker is on probation and not proven yet."""
    return any(run.is_on_probation and not run.is_proven
               for run in worker.runs.values())


def _is_prepared(worker: _workers.WorkerState) -> bool:
    return all(run.is_proven for run in worker.runs.values())


def _compute_cost(candidate: _placement.Candidate) -> tuple:
    runs = candidate.worker.runs.values()
    return (sum(run.step.is_long_running or bool(run.step.tail_latency_limit_ms)
                for run in runs), sum(not run.is_proven for run in runs),
            len(runs), candidate.worker.worker_id)
