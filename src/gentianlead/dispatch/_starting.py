"""Planning of start orders: which waiting tasks start now, on which workers."""

from gentianlead import model
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _held_places
from gentianlead.dispatch import _step_priority
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _probation
from gentianlead.dispatch import _quarantine
from gentianlead.dispatch import _relaxation
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers

MAX_UNPLACED_STEPS_PER_PASS = 24
"""A planning pass tries steps by urgency until this number of them have a task
that found no capacity. Steps of long-running tasks do not count, as any number
of them may wait until other such tasks end."""

MAX_LATER_UNPLACED_STEPS_PER_PASS = 12
"""Likewise for the less urgent steps, which are tried in turn: the first ones
may never fit, and would keep all others from being tried."""


class StartPlanner:
    """Plans the start orders and permit requests of a group."""

    def __init__(self, state: _group_state.GroupState,
                 held_places: _held_places.HeldPlaces):
        self._state = state
        self._held_places = held_places
        # CPU of the smallest best-effort task that found no capacity in this
        # pass, by service and image. Steps of the same service and image whose
        # tasks need at least as much are skipped in this pass.
        self._least_unplaced_cpu_millis: dict[tuple[str, str], int] = {}
        # Identifiers of workers that get no short tasks, so that a long-running
        # task fits there as soon as enough of their short tasks have ended.
        self._reserved_workers: set[str] = set()
        # Those of them that get no best-effort tasks either, which hold memory
        # or accelerators that the long-running task needs.
        self._fully_reserved_workers: set[str] = set()
        self._is_busy = False
        self._pass_number = 0
        # Number of the pass that last tried each of the less urgent steps, by
        # job identifier and key of the step; 0 for one that was not tried.
        self._last_passes: dict[tuple[str, tuple[int, int]], int] = {}
        # Time since which this leader has not known all runs of a job that may
        # exist, by job identifier; and the same for the jobs of which it knows
        # them since the last pass.
        self._unreconciled_since: dict[str, float] = {}
        self._reconciled_after: dict[str, float] = {}
        self._probation = _probation.ProbationPlanner(state)
        self._quarantine_tester = _quarantine.QuarantineTester(
            state, self._start_without_probation)

    def plan(self, orders: list[_orders.Order], now: float,
             now_ms: int) -> None:
        """Appends to `orders` the start orders and permit requests to send."""
        self._plan_starts(orders, now, now_ms)
        if not self._state.is_evacuated:
            self._quarantine_tester.plan(
                lambda: self._list_startable_steps(now, now_ms), orders, now)

    def _plan_starts(self, orders: list[_orders.Order], now: float,
                     now_ms: int) -> None:
        if not self._state.is_evacuated:
            self._held_places.start_tasks(self._start_without_probation, orders,
                                          now)
        candidates = {
            worker.worker_id: self._held_places.build_candidate(worker)
            for worker in self._state.workers.values()
            if worker.can_receive_starts(now) and
            (worker.enforces_capacity or self._state.is_registry_current) and
            not self._state.is_evacuated
        }
        if not candidates:
            self._mark_all_unplaced(now, now_ms)
            return
        self._is_busy = _relaxation.is_group_busy(candidates.values())
        self._probation.begin_pass(candidates, now)
        self._least_unplaced_cpu_millis.clear()
        self._reserved_workers.clear()
        self._fully_reserved_workers.clear()
        later_steps = self._start_steps(self._list_startable_steps(now, now_ms),
                                        MAX_UNPLACED_STEPS_PER_PASS, candidates,
                                        orders, now)
        self._pass_number += 1
        self._last_passes = {
            _get_step_key(step): self._last_passes.get(_get_step_key(step), 0)
            for step in later_steps
        }
        later_steps.sort(
            key=lambda step: self._last_passes[_get_step_key(step)])
        untried_steps = self._start_steps(later_steps,
                                          MAX_LATER_UNPLACED_STEPS_PER_PASS,
                                          candidates, orders, now)
        for step in later_steps[:len(later_steps) - len(untried_steps)]:
            self._last_passes[_get_step_key(step)] = self._pass_number

    def _start_steps(self, steps: list[_step_priority.WaitingStep],
                     max_unplaced_steps: int,
                     candidates: dict[str, _placement.Candidate],
                     orders: list[_orders.Order],
                     now: float) -> list[_step_priority.WaitingStep]:
        """Starts tasks of steps until too many steps have found no capacity.

        Returns:
            The steps that were not tried.
        """
        unplaced_step_count = 0
        for number, (job, step_run) in enumerate(steps):
            if unplaced_step_count >= max_unplaced_steps:
                return steps[number:]
            if self._start_step(job, step_run, candidates, orders, now):
                step_run.unplaced_since = None
                step_run.reserved_worker = ""
                continue
            self._mark_unplaced(job, step_run, now)
            if step_run.step.is_long_running:
                self._reserve_worker(job, step_run, candidates, now)
            else:
                unplaced_step_count += 1
        return []

    def _mark_all_unplaced(self, now: float, now_ms: int) -> None:
        """Marks all startable steps as lacking capacity.

        Their tasks may then move to another group.
        """
        for job, step_run in self._list_startable_steps(now, now_ms):
            step_run.reserved_worker = ""
            self._mark_unplaced(job, step_run, now)

    def _mark_unplaced(self, job: _runs.JobRun, step_run: _runs.StepRun,
                       now: float) -> None:
        """Marks a step as lacking capacity, unless it is.

        Long-running tasks that had to wait until all former runs were known
        count as lacking capacity since then: with the delay before a move, they
        would wait twice. A start that was not confirmed does not end the time
        without capacity: with a worker that refuses again and again, the delay
        before a move would never pass.
        """
        if step_run.unplaced_since is None:
            step_run.unplaced_since = now
            if step_run.step.is_long_running:
                step_run.unplaced_since = self._reconciled_after.get(
                    job.job.job_id, now)
        step_run.unplaced_since = min(step_run.unplaced_since,
                                      step_run.find_refused_since(now))

    def _reserve_worker(self, job: _runs.JobRun, step_run: _runs.StepRun,
                        candidates: dict[str, _placement.Candidate],
                        now: float) -> None:
        """Reserves a worker for the next long-running task of a step.

        No short task starts there until the long-running one fits. Otherwise
        short tasks of a full group would take each core as it becomes free, and
        a long-running task that needs more cores would never fit. If it lacks
        memory or accelerators, no best-effort task starts there either. Nothing
        is reserved if the task would not fit even when all tasks that are not
        long-running have ended, or lacks the permit for the worker.
        """
        queue = self._state.find_queue(job)
        task_counts = step_run.count_runs_by_worker()
        eligible_candidates = [
            candidate for candidate in candidates.values()
            if candidate.worker.entry.service == queue.service and
            candidate.worker.worker_id not in self._reserved_workers and
            (not queue.needs_permit or step_run.permits.find_permit(
                candidate.worker.worker_id, candidate.worker.born_ms, now)) and
            _placement.may_fit_later(candidate, step_run.step, task_counts)
        ]
        if not eligible_candidates:
            step_run.reserved_worker = ""
            return
        best_candidate = max(
            eligible_candidates,
            key=lambda candidate:
            (candidate.free_cpu_millis, candidate.worker.worker_id))
        step_run.reserved_worker = best_candidate.worker.worker_id
        self._reserved_workers.add(best_candidate.worker.worker_id)
        if (step_run.step.memory_mib > best_candidate.free_memory_mib or
                step_run.step.accelerators > best_candidate.free_accelerators):
            self._fully_reserved_workers.add(best_candidate.worker.worker_id)

    def _list_permitted_workers(self, job: _runs.JobRun,
                                step_run: _runs.StepRun,
                                eligible_candidates: list[_placement.Candidate],
                                orders: list[_orders.Order],
                                now: float) -> list[_placement.Candidate]:
        """Returns the workers that have a valid permit for a step.

        Appends a request for missing permits to `orders`.
        """
        permits = step_run.permits
        born_ms_by_worker = {
            candidate.worker.worker_id: candidate.worker.born_ms
            for candidate in eligible_candidates
        }
        workers_to_request = permits.begin_request(born_ms_by_worker.items(),
                                                   now)
        if workers_to_request:
            orders.append(
                _orders.PermitRequest(
                    job.job.job_id, *step_run.key, {
                        worker_id: born_ms_by_worker[worker_id]
                        for worker_id in workers_to_request
                    }))
        return [
            candidate for candidate in eligible_candidates
            if permits.find_permit(candidate.worker.worker_id,
                                   candidate.worker.born_ms, now)
        ]

    def _list_startable_steps(
            self, now: float,
            now_ms: int) -> list[tuple[_runs.JobRun, _runs.StepRun]]:
        """Returns the steps with tasks that may start now, most urgent first.

        Steps of jobs that have ended, are not reconciled or have a pending move
        are left out, and those that pause after starts refused for lack of a
        permit.
        """
        self._update_unreconciled_jobs(now)
        startable_steps = []
        for job in self._state.jobs.values():
            if job.has_ended or job.pending_move_number is not None:
                continue
            for step_run in job.steps.values():
                if (job.list_startable_indexes(step_run) and
                        job.is_step_due(step_run, now_ms) and
                        step_run.permits.is_start_due(now)):
                    startable_steps.append((job, step_run))
        return _step_priority.sort_steps(startable_steps, now_ms)

    def _update_unreconciled_jobs(self, now: float) -> None:
        known_since = self._unreconciled_since
        self._unreconciled_since = {
            job_id: known_since.get(job_id, now)
            for job_id, job in self._state.jobs.items()
            if not job.is_reconciled
        }
        self._reconciled_after = {
            job_id: since
            for job_id, since in known_since.items()
            if job_id not in self._unreconciled_since
        }

    def _start_step(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    candidates: dict[str, _placement.Candidate],
                    orders: list[_orders.Order], now: float) -> bool:
        """Starts waiting tasks of a step until one finds no worker.

        The tasks of a gang start only all together.

        Returns:
            Whether all waiting tasks were started.
        """
        step = step_run.step
        queue = self._state.find_queue(job)
        service = queue.service
        reserved_workers: set[str] = set()
        if not step.is_long_running:
            reserved_workers = (self._fully_reserved_workers if
                                step.is_best_effort else self._reserved_workers)
        eligible_candidates = [
            candidate for candidate in candidates.values()
            if candidate.worker.entry.service == service and
            candidate.worker.worker_id not in reserved_workers
        ]
        kept_candidates = self._probation.list_kept_candidates(job, step_run)
        eligible_candidates += kept_candidates
        if queue.needs_permit:
            eligible_candidates = self._list_permitted_workers(
                job, step_run, eligible_candidates, orders, now)
        task_counts = step_run.count_runs_by_worker()
        rack_labels = self._find_rack_labels(step_run)
        if step.is_gang:
            return self._start_gang(job, step_run, eligible_candidates,
                                    task_counts, candidates, orders, now)
        relaxation = _relaxation.choose_relaxation(job, step_run, self._is_busy,
                                                   now)
        are_suspects_placed = self._start_suspects(job, step_run,
                                                   eligible_candidates,
                                                   task_counts, candidates,
                                                   relaxation, orders, now)
        if job.has_ended:
            return True
        eligible_candidates = [
            candidate for candidate in eligible_candidates
            if candidate.worker.worker_id in candidates
        ]
        service_and_image = (service, step.image)
        is_unrelaxed_best_effort = (step.is_best_effort and
                                    relaxation is _placement.Relaxation.NORMAL)
        if all(
                map(step_run.needs_probation,
                    job.list_startable_indexes(step_run))):
            return are_suspects_placed
        if (is_unrelaxed_best_effort and
                step.cpu_millis >= self._least_unplaced_cpu_millis.get(
                    service_and_image, step.cpu_millis + 1)):
            return False
        are_all_placed = are_suspects_placed
        for index in job.list_startable_indexes(step_run):
            if step_run.needs_probation(index):
                continue
            refusals = step_run.refusals.get(index)
            chosen_candidate = _placement.choose_worker(
                eligible_candidates, step,
                step_run.last_failed_workers.get(index, ""), task_counts,
                rack_labels, self._state.interference, relaxation,
                refusals.worker_ids if refusals is not None else frozenset())
            if chosen_candidate is None:
                if is_unrelaxed_best_effort and not step.max_tasks_per_worker:
                    self._least_unplaced_cpu_millis[
                        service_and_image] = step.cpu_millis
                return False
            worker = chosen_candidate.worker
            if refusals is not None and refusals.is_paused(
                    worker.worker_id, now):
                are_all_placed = False
                continue
            is_started = self._start_without_probation(job, step_run, index,
                                                       worker, orders, now)
            if job.has_ended:
                return True
            if not is_started:
                continue
            if step.prefers_same_rack and rack_labels is None:
                rack_labels = worker.entry.labels
            relaxation = _placement.Relaxation.NORMAL
            task_counts[worker.worker_id] = task_counts.get(
                worker.worker_id, 0) + 1
            self._update_candidate(candidates, worker, now)
            eligible_candidates = [
                candidates[candidate.worker.worker_id]
                for candidate in eligible_candidates
                if candidate.worker.worker_id in candidates
            ]
        return are_all_placed

    def _start_suspects(self, job: _runs.JobRun, step_run: _runs.StepRun,
                        eligible_candidates: list[_placement.Candidate],
                        task_counts: dict[str, int],
                        candidates: dict[str, _placement.Candidate],
                        relaxation: _placement.Relaxation,
                        orders: list[_orders.Order], now: float) -> bool:
        """Starts waiting tasks that may crash their workers, on probation.

        Removes the workers that are kept for them from `candidates`. Fails the
        job if a task has to be given up.

        Returns:
            Whether no such task lacks capacity.
        """
        are_all_placed = True
        for index in filter(step_run.needs_probation,
                            job.list_startable_indexes(step_run)):
            task = model.TaskKey(job.job.job_id, *step_run.key, index)
            suspicion = job.get_suspicion(task)
            if self._state.crashes.give_up_if_due(job, task):
                return True
            if now < suspicion.retry_at:
                continue

            def fits(candidate: _placement.Candidate) -> bool:
                return _placement.choose_worker([candidate], step_run.step, "",
                                                task_counts, None,
                                                self._state.interference,
                                                relaxation) is not None

            choice = self._probation.find_worker(task, step_run.step,
                                                 eligible_candidates,
                                                 task_counts, fits, now)
            candidates.pop(choice.kept_worker_id, None)
            if choice.is_unplaced:
                are_all_placed = False
            candidate = choice.candidate
            if candidate is None or not self._claim_run(job, suspicion, True):
                continue
            self._start_task(job, step_run, index, candidate.worker,
                             suspicion.take_claim(), orders, now)
            self._probation.begin(step_run.active_runs[index], suspicion, now)
            task_counts[candidate.worker.worker_id] = task_counts.get(
                candidate.worker.worker_id, 0) + 1
        return are_all_placed

    def _start_without_probation(self, job: _runs.JobRun,
                                 step_run: _runs.StepRun, index: int,
                                 worker: _workers.WorkerState,
                                 orders: list[_orders.Order],
                                 now: float) -> bool:
        """Starts a task on a worker; returns False if it has to start later."""
        run_number = self._choose_run_number(job, step_run, index, now)
        if job.has_ended or not run_number:
            return False
        self._start_task(job, step_run, index, worker, run_number, orders, now)
        return True

    def _choose_run_number(self, job: _runs.JobRun, step_run: _runs.StepRun,
                           index: int, now: float) -> int:
        """Returns the number of a start without probation; 0 to start later."""
        task = model.TaskKey(job.job.job_id, *step_run.key, index)
        if not self._state.crashes.needs_stored_start(job, task):
            return self._allocate_run_number(job)
        suspicion = job.get_suspicion(task)
        if (self._state.crashes.give_up_if_due(job, task) or
                now < suspicion.retry_at or
                not self._claim_run(job, suspicion, False)):
            return 0
        return suspicion.take_claim()

    def _claim_run(self, job: _runs.JobRun, suspicion: _suspicions.Suspicion,
                   is_probation: bool) -> bool:
        """Counts the next start of a suspect ahead; returns whether stored."""
        if not suspicion.has_valid_claim:
            suspicion.claim(self._allocate_run_number(job))
            job.is_dirty = True
        if is_probation and not suspicion.is_claim_stored:
            self._probation.keep_next_start()
        return suspicion.is_claim_stored

    def _start_gang(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    eligible_candidates: list[_placement.Candidate],
                    task_counts: dict[str, int],
                    candidates: dict[str, _placement.Candidate],
                    orders: list[_orders.Order], now: float) -> bool:
        """Starts all tasks of a gang, or none; returns whether they started.

        Nothing starts while a former run of a task of the gang is active, or
        while a task of it is assigned to another group.
        """
        step = step_run.step
        if (step_run.active_runs or
                len(job.list_startable_indexes(step_run)) < step.count):
            return False
        task = model.TaskKey(job.job.job_id, *step_run.key, 0)
        suspicion = (job.get_suspicion(task)
                     if self._state.crashes.needs_stored_start(job, task) else
                     None)
        is_probation = suspicion is not None and suspicion.has_counted_crashes
        if is_probation:
            if self._state.crashes.give_up_if_due(job, task):
                return True
            if (now < suspicion.retry_at or
                    not self._probation.may_start_gang(now)):
                return True
        relaxation = _relaxation.choose_relaxation(job, step_run, self._is_busy,
                                                   now)
        chosen_workers: list[_workers.WorkerState] = []
        refusing_workers = frozenset(
            worker_id for refusals in step_run.refusals.values()
            for worker_id in refusals.worker_ids)
        rack_labels = None
        remaining_candidates = {
            candidate.worker.worker_id: candidate
            for candidate in eligible_candidates
        }
        for _ in range(step.count):
            candidate = _placement.choose_worker(
                list(remaining_candidates.values()),
                step,
                "",
                task_counts,
                rack_labels,
                self._state.interference,
                relaxation,
                refusing_workers=refusing_workers)
            if candidate is None:
                return False
            worker = candidate.worker
            chosen_workers.append(worker)
            if step.prefers_same_rack:
                rack_labels = worker.entry.labels
            task_counts[worker.worker_id] = task_counts.get(
                worker.worker_id, 0) + 1
            remaining_candidates[worker.worker_id] = _placement.subtract_task(
                candidate, step)
        if suspicion is None:
            run_number = self._allocate_run_number(job)
        elif self._claim_run(job, suspicion, is_probation):
            run_number = suspicion.take_claim()
        else:
            return True
        for index, worker in enumerate(chosen_workers):
            self._start_task(job, step_run, index, worker, run_number, orders,
                             now)
            if is_probation:
                self._probation.begin(step_run.active_runs[index], suspicion,
                                      now)
        for worker in chosen_workers:
            if is_probation:
                candidates.pop(worker.worker_id, None)
            else:
                self._update_candidate(candidates, worker, now)
        return True

    def _update_candidate(self, candidates: dict[str, _placement.Candidate],
                          worker: _workers.WorkerState, now: float) -> None:
        """Updates the capacity of a worker after a start; may remove it.

        A worker on probation receives no further start after the first one.
        """
        if worker.can_receive_starts(now):
            candidates[worker.worker_id] = self._held_places.build_candidate(
                worker)
        else:
            candidates.pop(worker.worker_id, None)

    def _find_rack_labels(self,
                          step_run: _runs.StepRun) -> frozenset[str] | None:
        if not step_run.step.prefers_same_rack:
            return None
        for run in step_run.active_runs.values():
            worker = self._state.workers.get(run.worker_id)
            if worker is not None:
                return worker.entry.labels
        return None

    def _allocate_run_number(self, job: _runs.JobRun) -> int:
        job.last_run_number = max(
            job.last_run_number + 1,
            self._state.epoch * _orders.RUN_NUMBERS_PER_EPOCH + 1)
        return job.last_run_number

    def _start_task(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    index: int, worker: _workers.WorkerState, run_number: int,
                    orders: list[_orders.Order], now: float) -> None:
        task = model.TaskKey(job.job.job_id, *step_run.key, index)
        run = _task_runs.Run(task, step_run.step, run_number, worker.worker_id,
                             now)
        run.checkpoint = self._choose_checkpoint(step_run, index)
        run.start_attempts = 1
        run.has_pending_order = True
        refusals = step_run.refusals.get(index)
        run.unplaced_since = min(
            now if step_run.unplaced_since is None else step_run.unplaced_since,
            refusals.since if refusals is not None else now)
        self._state.crashes.mark_started(run)
        step_run.waiting_indexes.discard(index)
        step_run.active_runs[index] = run
        step_run.run_limits.mark_started(index, run_number)
        worker.runs[(task, run_number)] = run
        orders.append(
            _orders.StartOrder(
                worker.worker_id, task, run_number, job.job.payload,
                run.checkpoint,
                step_run.permits.find_permit(worker.worker_id, worker.born_ms,
                                             now)))

    def _choose_checkpoint(self, step_run: _runs.StepRun, index: int) -> str:
        if not step_run.step.is_gang:
            return step_run.checkpoints.get(index, "")
        # All tasks of a gang must resume from the same checkpoint.
        return next(
            (step_run.checkpoints[i] for i in sorted(step_run.checkpoints)), "")


def _get_step_key(
        step: _step_priority.WaitingStep) -> tuple[str, tuple[int, int]]:
    job, step_run = step
    return job.job.job_id, step_run.key
