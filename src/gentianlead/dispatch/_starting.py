"""Which waiting tasks start now, and where."""

import datetime

from gentianlead import model
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _order
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _placement
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _workers

STARVING_LIMIT = datetime.timedelta(seconds=2)

DESPERATE_LIMIT = datetime.timedelta(seconds=8)
"""Times without room after which one filler of a job of which nothing runs is
placed without spare processors, and at last beside tasks that it disturbs."""

BUSY_DESPERATE_LIMIT = datetime.timedelta(seconds=30)
"""The second of these times in a group that is mostly reserved: a filler that
its neighbours suffer from is slowed to a standstill there, so that it only does
harm."""

BUSY_SHARE = 0.6
"""Reserved part of a group's processors from which it counts as busy."""

PLAN_MISSES = 24
"""Steps without room after which a planning pass ends."""


class StartPlanner:
    """Plans the starts of a group."""

    def __init__(self, state: _group_state.GroupState):
        self._state = state
        # Shapes of fillers without room in this pass: least processors by
        # service and image.
        self._missed: dict[tuple[str, str], int] = {}
        # Workers on which short tasks make room for a lasting one.
        self._reserved: set[str] = set()
        self._is_busy = False

    def plan(self, orders: list[_orders.Order], now: float,
             now_ms: int) -> None:
        """Adds the start orders that are due."""
        candidates = {
            worker.worker_id: _placement.build_candidate(worker)
            for worker in self._state.workers.values()
            if worker.can_start(now) and not self._state.is_evacuated
        }
        if not candidates:
            self._mark_stuck(now, now_ms)
            return
        capacity = sum(
            row.worker.entry.cpu_millis for row in candidates.values())
        free = sum(row.free_cpu for row in candidates.values())
        self._is_busy = capacity - free >= BUSY_SHARE * capacity
        misses = 0
        self._missed.clear()
        self._reserved.clear()
        for job, step_run in self._list_startable(now_ms):
            if misses >= PLAN_MISSES:
                break
            if self._start_step(job, step_run, candidates, orders, now):
                step_run.stuck_since = None
                step_run.reserved = ""
                continue
            misses += 1
            if step_run.stuck_since is None:
                step_run.stuck_since = now
            if step_run.step.is_long_running:
                self._reserve_worker(job, step_run, candidates)

    def _mark_stuck(self, now: float, now_ms: int) -> None:
        """Notes that no task finds a worker, so that other groups get them."""
        for _, step_run in self._list_startable(now_ms):
            step_run.reserved = ""
            if step_run.stuck_since is None:
                step_run.stuck_since = now

    def _reserve_worker(self, job: _runs.JobRun, step_run: _runs.StepRun,
                        candidates: dict[str, _placement.Candidate]) -> None:
        """Keeps short tasks off a worker until a lasting task fits there.

        Short tasks of a full group would take each processor as it becomes
        free, and a lasting task that is wider than they are would never fit.
        """
        service = self._find_queue(job).service
        counts = step_run.count_by_worker()
        rows = [
            row for row in candidates.values()
            if row.worker.entry.service == service and
            row.worker.worker_id not in self._reserved and
            _placement.may_fit_later(row, step_run.step, counts)
        ]
        if not rows:
            step_run.reserved = ""
            return
        best = max(rows, key=lambda row: (row.free_cpu, row.worker.worker_id))
        step_run.reserved = best.worker.worker_id
        self._reserved.add(best.worker.worker_id)

    def _find_queue(self, job: _runs.JobRun) -> model.Queue:
        """Returns the queue of a job as the configuration in force has it."""
        queue = job.job.queue
        return self._state.queues.get((queue.host, queue.path_prefix), queue)

    def _list_permitted(self, job: _runs.JobRun, step_run: _runs.StepRun,
                        rows: list[_placement.Candidate],
                        orders: list[_orders.Order],
                        now: float) -> list[_placement.Candidate]:
        """Returns the workers that may run a step; asks for the others."""
        book = step_run.permits
        lifetimes = {row.worker.worker_id: row.worker.born_ms for row in rows}
        unknown = book.begin_request(lifetimes.items(), now)
        if unknown:
            orders.append(
                _orders.PermitRequest(
                    job.job.job_id, *step_run.key,
                    {worker_id: lifetimes[worker_id] for worker_id in unknown}))
        return [
            row for row in rows
            if book.find(row.worker.worker_id, row.worker.born_ms, now)
        ]

    def _list_startable(
            self, now_ms: int) -> list[tuple[_runs.JobRun, _runs.StepRun]]:
        """Returns steps with waiting tasks, the most urgent first."""
        rows = []
        for job in self._state.jobs.values():
            if job.is_over or not job.is_settled or (job.move_number
                                                     is not None):
                continue
            for step_run in job.steps.values():
                if step_run.waiting and job.is_step_due(step_run, now_ms):
                    rows.append((job, step_run))
        return _order.sort_steps(rows, now_ms)

    def _start_step(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    candidates: dict[str, _placement.Candidate],
                    orders: list[_orders.Order], now: float) -> bool:
        """Starts what fits of a step; returns whether all tasks started."""
        step = step_run.step
        queue = self._find_queue(job)
        service = queue.service
        is_short = not step.is_long_running and not step.is_best_effort
        rows = [
            candidate for candidate in candidates.values()
            if candidate.worker.entry.service == service and
            not (is_short and candidate.worker.worker_id in self._reserved)
        ]
        if queue.needs_permit:
            rows = self._list_permitted(job, step_run, rows, orders, now)
        counts = step_run.count_by_worker()
        racks = self._find_rack(step_run)
        if step.is_gang:
            return self._start_gang(job, step_run, rows, counts, candidates,
                                    orders, now)
        need = self._compute_need(job, step_run, now)
        shape = (service, step.image)
        is_normal = step.is_best_effort and need is _placement.Need.NORMAL
        if is_normal and step.cpu_millis >= self._missed.get(
                shape, step.cpu_millis + 1):
            return False
        for index in sorted(step_run.waiting):
            chosen = _placement.choose_worker(rows, step,
                                              step_run.avoided.get(index, ""),
                                              counts, racks,
                                              self._state.interference, need)
            if chosen is None:
                if is_normal and not step.max_tasks_per_worker:
                    self._missed[shape] = step.cpu_millis
                return False
            worker = chosen.worker
            self._start_task(job, step_run, index, worker, self._take_run(job),
                             orders, now)
            if step.prefers_same_rack and racks is None:
                racks = worker.entry.labels
            need = _placement.Need.NORMAL
            counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
            candidates[worker.worker_id] = _placement.build_candidate(worker)
            rows = [
                candidates[row.worker.worker_id]
                if row.worker is worker else row for row in rows
            ]
        return True

    def _compute_need(self, job: _runs.JobRun, step_run: _runs.StepRun,
                      now: float) -> _placement.Need:
        if step_run.stuck_since is None or job.list_active():
            return _placement.Need.NORMAL
        waited = now - step_run.stuck_since
        limit = BUSY_DESPERATE_LIMIT if self._is_busy else DESPERATE_LIMIT
        if waited >= limit.total_seconds():
            return _placement.Need.DESPERATE
        if waited >= STARVING_LIMIT.total_seconds():
            return _placement.Need.STARVING
        return _placement.Need.NORMAL

    def _start_gang(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    rows: list[_placement.Candidate], counts: dict[str, int],
                    candidates: dict[str, _placement.Candidate],
                    orders: list[_orders.Order], now: float) -> bool:
        """Starts all members of a gang, or none."""
        step = step_run.step
        if step_run.active:
            return False
        chosen: list[_workers.WorkerState] = []
        racks = None
        left = {row.worker.worker_id: row for row in rows}
        for _ in range(step.count):
            row = _placement.choose_worker(list(left.values()), step, "",
                                           counts, racks,
                                           self._state.interference)
            if row is None:
                return False
            worker = row.worker
            chosen.append(worker)
            if step.prefers_same_rack:
                racks = worker.entry.labels
            counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
            left[worker.worker_id] = _placement.take_part(row, step)
        number = self._take_run(job)
        for index, worker in enumerate(chosen):
            self._start_task(job, step_run, index, worker, number, orders, now)
        for worker in chosen:
            candidates[worker.worker_id] = _placement.build_candidate(worker)
        return True

    def _find_rack(self, step_run: _runs.StepRun) -> frozenset[str] | None:
        if not step_run.step.prefers_same_rack:
            return None
        for run in step_run.active.values():
            worker = self._state.workers.get(run.worker_id)
            if worker is not None:
                return worker.entry.labels
        return None

    def _take_run(self, job: _runs.JobRun) -> int:
        job.last_run = max(
            job.last_run + 1,
            self._state.epoch * _group_state.RUN_NUMBERS_PER_EPOCH + 1)
        return job.last_run

    def _start_task(self, job: _runs.JobRun, step_run: _runs.StepRun,
                    index: int, worker: _workers.WorkerState, number: int,
                    orders: list[_orders.Order], now: float) -> None:
        task = model.TaskKey(job.job.job_id, *step_run.key, index)
        run = _runs.Run(task, step_run.step, number, worker.worker_id, now)
        run.checkpoint = self._choose_checkpoint(step_run, index)
        run.attempts = 1
        run.is_ordered = True
        step_run.waiting.discard(index)
        step_run.active[index] = run
        worker.runs[(task, number)] = run
        orders.append(
            _orders.StartOrder(
                worker.worker_id, task, number, job.job.payload, run.checkpoint,
                step_run.permits.find(worker.worker_id, worker.born_ms, now)))

    def _choose_checkpoint(self, step_run: _runs.StepRun, index: int) -> str:
        if not step_run.step.is_gang:
            return step_run.checkpoints.get(index, "")
        # All members of a gang must resume from the same checkpoint.
        return next(
            (step_run.checkpoints[i] for i in sorted(step_run.checkpoints)), "")
