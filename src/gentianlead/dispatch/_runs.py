"""Progress of jobs at a group leader: which tasks wait, run and are done."""

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _objectives
from gentianlead.dispatch import _permits
from gentianlead.dispatch import _records
from gentianlead.dispatch import _refusals
from gentianlead.dispatch import _run_limits
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch import _table
from gentianlead.dispatch import _task_runs


class StepRun:
    """Tracks the tasks of one step in one repetition of a job.

    Attributes:
        key: Number of the repetition, from 0, and index of the step.
        step: Resource needs and properties of the tasks.
        waiting_indexes: Indexes of tasks of this group that wait for a start.
        active_runs: Runs that have not certainly ended, by index of the task.
        done_indexes: Indexes of tasks that are done.
        failure_counts: How many runs failed, by index of the task. Failures of
            long-running tasks are not counted, as these tasks may fail any
            number of times.
        failed_runs: Run numbers of the counted failed runs, by index of the
            task.
        checkpoints: Newest checkpoint from an ended run, by index of the task;
            deleted when the task is done.
        last_failed_workers: Worker on which the task failed or stood still
            last, or that did not answer its start, by index of the task.
        unplaced_since: Monotonic time in seconds since which tasks wait because
            no worker that may run them has capacity; None if no task waits for
            that reason.
        reserved_worker: Identifier of the worker that starts no short task
            until a long-running task of this step fits there, or empty.
        permits: Permits for the workers that may run the step, if its queue
            needs them.
        suspicions: Crashes of workers that count against a task, by its index;
            those of a gang have index 0.
        arrived_indexes: Indexes of tasks that moved to this group after its
            leader got the job, so that no former leader has a run of them.
        refusals: Starts that were not confirmed since the last one that was, by
            index of the task; only for tasks that wait or start.
        moved_indexes: Indexes of tasks that another group moved here and that
            had no start confirmed here since.
        run_limits: Which runs of the tasks may have ended unnoticed.
    """

    __slots__ = ("key", "step", "waiting_indexes", "active_runs",
                 "done_indexes", "failure_counts", "failed_runs", "checkpoints",
                 "last_failed_workers", "unplaced_since", "reserved_worker",
                 "permits", "suspicions", "arrived_indexes", "refusals",
                 "moved_indexes", "run_limits")

    def __init__(self, key: tuple[int, int], step: model.Step):
        self.key = key
        self.step = step
        self.waiting_indexes: set[int] = set(range(step.count))
        self.active_runs: dict[int, _task_runs.Run] = {}
        self.done_indexes: set[int] = set()
        self.failure_counts: dict[int, int] = {}
        self.failed_runs: dict[int, set[int]] = {}
        self.checkpoints: dict[int, str] = {}
        self.last_failed_workers: dict[int, str] = {}
        self.unplaced_since: float | None = None
        self.reserved_worker = ""
        self.permits = _permits.PermitCache()
        self.suspicions: dict[int, _suspicions.Suspicion] = {}
        self.arrived_indexes: set[int] = set()
        self.refusals: dict[int, _refusals.Refusals] = {}
        self.moved_indexes: set[int] = set()
        self.run_limits = _run_limits.RunLimits()

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return len(self.done_indexes) == self.step.count

    def needs_probation(self, index: int) -> bool:
        """Returns whether a task must start on a worker kept for it."""
        suspicion = self.suspicions.get(0 if self.step.is_gang else index)
        return suspicion is not None and suspicion.needs_probation(
            self.step.is_long_running)

    def count_runs_by_worker(self) -> dict[str, int]:
        """Returns the number of active runs by worker identifier."""
        run_counts: dict[str, int] = {}
        for run in self.active_runs.values():
            run_counts[run.worker_id] = run_counts.get(run.worker_id, 0) + 1
        return run_counts

    def find_refused_since(self, now: float) -> float:
        """Returns since when a waiting task has had no start confirmed.

        Only tasks with a start that was not confirmed count; the result is
        `now` if there are none.
        """
        return min((refusals.since
                    for index, refusals in self.refusals.items()
                    if index in self.waiting_indexes),
                   default=now)

    def avoid_worker(self, run: _task_runs.Run, now: float) -> None:
        """Lets a task avoid the worker of a run that was not confirmed."""
        refusals = self.refusals.get(run.task.index)
        if refusals is not None and run.unplaced_since is not None:
            refusals.add(run.worker_id, now)

    def mark_confirmed(self, run: _task_runs.Run) -> None:
        """Ends the time without capacity of a task whose worker runs it."""
        run.unplaced_since = None
        self.refusals.pop(run.task.index, None)
        self.moved_indexes.discard(run.task.index)

    def compute_remaining_ms(self) -> float:
        """Estimates the remaining duration of the step in milliseconds.

        All tasks count as running in parallel, so the unfinished task with the
        least progress decides. A waiting task counts as having made none.
        """
        if self.is_done:
            return 0.0
        if self.waiting_indexes:
            return float(self.step.estimate_ms)
        lowest_progress = min(
            (run.progress_percent for run in self.active_runs.values()),
            default=0)
        return self.step.estimate_ms * (100 - lowest_progress) / 100


class JobRun:
    """Tracks the progress of a job in the group of this leader.

    Attributes:
        entry: State of the job according to the topic.
        group: Group of this leader.
        steps: State of each step in each repetition of the job, by number of
            the repetition and index of the step.
        state: State of the job as this leader knows it.
        last_run_number: Highest run number of the job that is known to be used.
        is_reconciled: Whether the leader knows every run of the job that may
            exist, including those of former leaders.
        pending_move_number: Number of a move of tasks to another group that the
            topic does not show yet; no task of the job starts meanwhile. None
            without such a move.
        waited_before_s: Time in seconds for which the job lacked capacity in
            its former groups; 0 once it starts a task here.
        moves_without_start: Number of moves of the whole job since it last
            started a task in any group.
        is_dirty: Whether the progress changed since `take_dirty_progress` last
            built a record of it to be stored.
        service: Service whose workers run the job.
        deadline_ms: Time by which the first occurrence should be done according
            to the objective of its queue, in milliseconds since 1970.
    """

    def __init__(self, entry: _table.JobEntry, group: str, is_reconciled: bool):
        self.entry = entry
        self.group = group
        self.steps: dict[tuple[int, int], StepRun] = {}
        self.state = model.JobState.QUEUED
        self.last_run_number = entry.last_run_number
        self.is_reconciled = is_reconciled
        self.pending_move_number: int | None = None
        self.waited_before_s = entry.waited_ms / 1000
        self.moves_without_start = entry.moves_without_start
        self.is_dirty = False
        self.service = entry.job.queue.service
        self.deadline_ms = _objectives.compute_deadline_ms(entry.job)
        for occurrence in range(entry.job.occurrences):
            for index, step in enumerate(entry.job.steps):
                key = (occurrence, index)
                self.steps[key] = StepRun(key, step)
        for progress in entry.progress_by_group.values():
            self._restore_progress(progress, True)
            for task_progress in progress.unfinished_tasks:
                self._restore_suspicion(task_progress)
        self._restore_run_limits(entry)
        self.update_entry(entry)
        if entry.assignment_offsets.get(group, -1) > entry.offset:
            self._mark_all_moved()

    def _mark_all_moved(self) -> None:
        for step_run in self.steps.values():
            step_run.moved_indexes |= step_run.waiting_indexes

    def update_entry(self, entry: _table.JobEntry) -> None:
        """Applies the newest state of the job in the topic.

        Adds new progress of other groups, changes which tasks wait in this
        group, ends a pending move that the topic shows, and applies a
        cancellation.
        """
        # One read of the topic may show that the job left this group and came
        # back, so that this object outlasts runs in another group.
        has_returned = (entry.assignment_offsets.get(self.group, -1)
                        > self.entry.assignment_offsets.get(self.group, -1))
        if has_returned:
            self.waited_before_s = entry.waited_ms / 1000
            self.moves_without_start = entry.moves_without_start
            for step_run in self.steps.values():
                step_run.unplaced_since = None
                step_run.refusals.clear()
        for group, progress in entry.progress_by_group.items():
            if (group != self.group and
                    progress is not self.entry.progress_by_group.get(group)):
                self._restore_progress(progress, has_returned)
        self.last_run_number = max(self.last_run_number, entry.last_run_number)
        is_cancelled = self.entry.is_cancelled or entry.is_cancelled
        # Crashes of a task that stays here are known better by this leader.
        for progress in entry.progress_by_group.values():
            for task_progress in progress.unfinished_tasks:
                task = (task_progress.step, task_progress.index)
                if has_returned or (entry.has_task(self.group, *task) and
                                    not self.entry.has_task(self.group, *task)):
                    self._restore_suspicion(task_progress)
        self._mark_arrivals(entry)
        if entry.run_limits_by_group is not self.entry.run_limits_by_group:
            self._restore_run_limits(entry)
        self.entry = entry._replace(is_cancelled=is_cancelled)
        # The move number shows whether the topic contains the move. The tasks
        # that are still assigned here do not: another group may have returned
        # them before this group has read its own move.
        if (self.pending_move_number is not None and
                entry.last_move_numbers.get(self.group,
                                            0) >= self.pending_move_number):
            self.pending_move_number = None
            self.moves_without_start = entry.moves_without_start
        for step_run in self.steps.values():
            step_run.waiting_indexes = {
                index for index in range(step_run.step.count)
                if index not in step_run.done_indexes and
                index not in step_run.active_runs and
                entry.has_task(self.group, step_run.key[1], index)
            }
            step_run.refusals = {
                index: refusals
                for index, refusals in step_run.refusals.items()
                if entry.has_task(self.group, step_run.key[1], index)
            }
            if not step_run.waiting_indexes:
                # Tasks that come back later have not waited since.
                step_run.unplaced_since = None
                step_run.reserved_worker = ""
        if has_returned:
            self._mark_all_moved()
        if is_cancelled:
            self.set_state(model.JobState.CANCELLED)
        elif entry.state.is_final:
            # A leader of another group has given up a task of the job.
            self.set_state(entry.state)
        self._complete_if_done()

    def _mark_arrivals(self, entry: _table.JobEntry) -> None:
        for step_run in self.steps.values():
            for index in range(step_run.step.count):
                task = (step_run.key[1], index)
                if not entry.has_task(self.group, *task):
                    step_run.arrived_indexes.discard(index)
                    step_run.moved_indexes.discard(index)
                elif not self.entry.has_task(self.group, *task):
                    step_run.arrived_indexes.add(index)
                    step_run.moved_indexes.add(index)

    def _restore_progress(self, progress: _records.ProgressRecord,
                          replaces_checkpoints: bool) -> None:
        """Adds stored progress; nothing that is known is taken back."""
        if progress.state.is_final:
            self.set_state(progress.state)
        elif (not self.state.is_final and
              progress.state is model.JobState.RUNNING):
            self.state = progress.state
        self.last_run_number = max(self.last_run_number,
                                   progress.last_run_number)
        for done_tasks in progress.done_tasks:
            step_run = self.steps.get((done_tasks.occurrence, done_tasks.step))
            if step_run is None:
                continue
            indexes = {
                i for i in _records.list_mask_indexes(done_tasks.done_mask)
                if i < step_run.step.count
            }
            step_run.done_indexes |= indexes
            step_run.waiting_indexes -= indexes
        for task_progress in progress.unfinished_tasks:
            step_run = self.steps.get(
                (task_progress.occurrence, task_progress.step))
            if step_run is None:
                continue
            if task_progress.failures:
                self._restore_failures(step_run, task_progress)
            if task_progress.checkpoint and (replaces_checkpoints or
                                             task_progress.index
                                             not in step_run.checkpoints):
                step_run.checkpoints[
                    task_progress.index] = task_progress.checkpoint

    def _restore_run_limits(self, entry: _table.JobEntry) -> None:
        for record in entry.run_limits_by_group.values():
            for step_limits in record.limits:
                # The progress with the run itself may not be stored.
                self.last_run_number = max(self.last_run_number,
                                           step_limits.limit - 1)
                key = (step_limits.occurrence, step_limits.step)
                if key in self.steps:
                    self.steps[key].run_limits.restore(step_limits)

    def _restore_suspicion(self, progress: _records.TaskProgress) -> None:
        step_run = self.steps.get((progress.occurrence, progress.step))
        if step_run is not None and (progress.crashed_runs or
                                     progress.proven_run):
            step_run.suspicions.setdefault(
                progress.index, _suspicions.Suspicion()).restore(progress)

    def _restore_failures(self, step_run: StepRun,
                          task_progress: _records.TaskProgress) -> None:
        index = task_progress.index
        failed_runs = step_run.failed_runs.setdefault(index, set())
        failed_runs.update(task_progress.failed_runs,
                           (task_progress.highest_failed_run,))
        # Records of older daemons have counts above the runs that they list,
        # and each group may have counted failures that others had not read.
        failure_count = max(task_progress.failures,
                            step_run.failure_counts.get(index, 0),
                            len(failed_runs - {0}))
        step_run.failure_counts[index] = failure_count
        if (failure_count >= self.job.queue.max_attempts and
                index not in step_run.done_indexes):
            self.set_state(model.JobState.FAILED)

    def begin_move(self) -> int:
        """Begins a move of tasks; no task starts until the topic shows it.

        Starts that were counted ahead and not ordered do not count any more.

        Returns:
            Run number that identifies the move.
        """
        for step_run in self.steps.values():
            for suspicion in step_run.suspicions.values():
                suspicion.drop_claim()
            step_run.run_limits.forget_given_up_runs()
        self.last_run_number += 1
        self.pending_move_number = self.last_run_number
        return self.last_run_number

    @property
    def job(self) -> model.SteppedJob:
        """The job as it was accepted."""
        return self.entry.job

    @property
    def has_ended(self) -> bool:
        """Whether the job has a final state or is cancelled."""
        return self.state.is_final or self.entry.is_cancelled

    def has_unplaced_tasks(self, now: float, min_unplaced_s: float) -> bool:
        """Returns whether a step lacked capacity for at least `min_unplaced_s`.

        Both times are in seconds; `now` is monotonic.
        """
        return any(
            step_run.waiting_indexes and step_run.unplaced_since is not None and
            now - step_run.unplaced_since >= min_unplaced_s
            for step_run in self.steps.values())

    def compute_waited_s(self, now: float) -> float:
        """Returns for how long the job has lacked capacity, in seconds.

        The time counts in all groups, since the job last started a task in a
        former group or since a step of it first lacked capacity in this one.
        """
        return self.waited_before_s + max(
            (now - step_run.unplaced_since
             for step_run in self.steps.values()
             if step_run.waiting_indexes and step_run.unplaced_since is not None
            ),
            default=0.0)

    def mark_started(self) -> None:
        """Marks the job as running, and ends a wait that began elsewhere."""
        self.set_state(model.JobState.RUNNING)
        self.waited_before_s = 0.0
        self.moves_without_start = 0

    def list_startable_indexes(self, step_run: StepRun) -> list[int]:
        """Returns the waiting tasks of a step that have no unknown run, sorted.

        While this leader does not know all runs of former leaders, these are
        the tasks that moved to the group since. Former leaders may have claimed
        the next run of a suspect, so it is left out. Tasks whose run limits are
        not stored yet are left out, too.
        """
        unstored_indexes = step_run.run_limits.unstored_indexes
        indexes = step_run.waiting_indexes - unstored_indexes
        if self.is_reconciled:
            return sorted(indexes)
        return sorted(indexes &
                      step_run.arrived_indexes - step_run.suspicions.keys())

    def list_active_runs(self) -> list[_task_runs.Run]:
        """Returns all runs that have not certainly ended."""
        return [
            run for step_run in self.steps.values()
            for run in step_run.active_runs.values()
        ]

    def get_step(self, task: model.TaskKey) -> StepRun | None:
        """Returns the step of a task, or None when there is no such task."""
        step_run = self.steps.get((task.occurrence, task.step))
        if step_run is None or not 0 <= task.index < step_run.step.count:
            return None
        return step_run

    def find_suspicion(self,
                       task: model.TaskKey) -> _suspicions.Suspicion | None:
        """Returns the crashes that count against a task, or None."""
        step_run = self.get_step(task)
        return (step_run.suspicions.get(task.index)
                if step_run is not None else None)

    def get_suspicion(self, task: model.TaskKey) -> _suspicions.Suspicion:
        """Returns the crashes that count against a task of the job."""
        return self.get_step(task).suspicions.setdefault(
            task.index, _suspicions.Suspicion())

    def is_step_due(self, step_run: StepRun, now_ms: int) -> bool:
        """Returns whether a step may start now by dependencies and start time.

        The start time is that of the step's repetition; a job without one need
        not wait.
        """
        occurrence = step_run.key[0]
        if self.job.has_start_time and now_ms < (
                self.job.first_run_ms + occurrence * self.job.interval_ms):
            return False
        return self.is_step_ready(step_run)

    def compute_remaining_ms(self, occurrence: int) -> float:
        """Estimates the remaining duration of an occurrence in milliseconds.

        Assumes that no task has to wait for capacity.
        """
        step_ends_ms: list[float] = []
        for index, step in enumerate(self.job.steps):
            start_ms = max((step_ends_ms[i] for i in step.depends_on),
                           default=0.0)
            step_ends_ms.append(start_ms +
                                self.steps[occurrence,
                                           index].compute_remaining_ms())
        return max(step_ends_ms)

    def compute_deadline_ms(self, occurrence: int) -> int:
        """Returns when an occurrence should be done, in ms since 1970."""
        return self.deadline_ms + occurrence * self.job.interval_ms

    def compute_objective_start_ms(self, occurrence: int) -> int:
        """Returns the time at which the objective of an occurrence begins.

        The time is in milliseconds since 1970.
        """
        return (max(self.job.accepted_at_ms, self.job.first_run_ms) +
                occurrence * self.job.interval_ms)

    def has_started(self, occurrence: int) -> bool:
        """Returns whether an occurrence has an active run or a done task."""
        return any(
            bool(self.steps[occurrence, index].active_runs or
                 self.steps[occurrence, index].done_indexes)
            for index in range(len(self.job.steps)))

    def is_step_ready(self, step_run: StepRun) -> bool:
        """Returns whether all steps on which a step depends are done."""
        occurrence = step_run.key[0]
        return all(
            (occurrence, index) in self.steps and self.steps[(occurrence,
                                                              index)].is_done
            for index in step_run.step.depends_on)

    def build_progress(self, group: str, epoch: int) -> _records.ProgressRecord:
        """Builds the progress record that the leader of a group stores."""
        done_tasks = []
        unfinished_tasks = []
        for (occurrence, index), step_run in self.steps.items():
            if step_run.done_indexes:
                done_mask = sum(1 << i for i in step_run.done_indexes)
                done_tasks.append(
                    _records.DoneTasks(occurrence, index,
                                       format(done_mask, "x")))
            for i in sorted((set(step_run.failure_counts) |
                             set(step_run.checkpoints) |
                             set(step_run.suspicions)) - step_run.done_indexes):
                failed_runs = step_run.failed_runs.get(i, ())
                suspicion = step_run.suspicions.get(i)
                unfinished_tasks.append(
                    _records.TaskProgress(
                        occurrence, index, i, step_run.failure_counts.get(i, 0),
                        step_run.checkpoints.get(i, ""),
                        max(failed_runs, default=0), tuple(sorted(failed_runs)),
                        suspicion.list_crashed_runs() if suspicion else (),
                        suspicion.proven_run if suspicion else 0))
        return _records.ProgressRecord(self.job.job_id, group, epoch,
                                       self.state, self.last_run_number,
                                       tuple(done_tasks),
                                       tuple(unfinished_tasks))

    def apply_end(self, run: _task_runs.Run, cause: ports.EndCause,
                  checkpoint: str) -> None:
        """Applies the end of a run: marks the task as done, or lets it wait.

        A failure is also counted, and may fail the job. A task that is not done
        waits for its next start here unless it moved to another group. The
        caller has already deleted the run from `WorkerState.runs`.
        """
        step_run = self.get_step(run.task)
        index = run.task.index
        if step_run.active_runs.get(index) is run:
            del step_run.active_runs[index]
        if cause in (ports.EndCause.DONE, ports.EndCause.FAILED):
            step_run.mark_confirmed(run)
        if index in step_run.done_indexes:
            return
        if cause is ports.EndCause.DONE and not run.step.is_long_running:
            self._mark_done(step_run, index)
            return
        if checkpoint and run.step.has_checkpoints:
            step_run.checkpoints[index] = checkpoint
            self.is_dirty = True
        if cause is ports.EndCause.FAILED:
            step_run.last_failed_workers[index] = run.worker_id
            self.count_failure(run.task, run.number)
        if run.phase is _task_runs.RunPhase.UNKNOWN:
            step_run.last_failed_workers[index] = run.worker_id
        if (index not in step_run.active_runs and
                self.entry.has_task(self.group, run.task.step, index)):
            step_run.waiting_indexes.add(index)
            if run.unplaced_since is not None:
                step_run.refusals.setdefault(
                    index, _refusals.Refusals(run.unplaced_since))
                if cause is not ports.EndCause.LEASE_EXPIRED:
                    step_run.unplaced_since = step_run.find_refused_since(
                        run.unplaced_since if step_run.unplaced_since is None
                        else min(run.unplaced_since, step_run.unplaced_since))

    def count_failure(self, task: model.TaskKey, run_number: int) -> None:
        """Counts a failed run unless it was counted before.

        The job fails when all attempts that its queue allows for a task have
        failed. Failures of long-running and of done tasks are not counted.
        """
        step_run = self.get_step(task)
        index = task.index
        if (step_run is None or step_run.step.is_long_running or
                index in step_run.done_indexes):
            return
        counted_runs = step_run.failed_runs.setdefault(index, set())
        if run_number in counted_runs:
            return
        counted_runs.add(run_number)
        step_run.failure_counts[index] = step_run.failure_counts.get(index,
                                                                     0) + 1
        self.is_dirty = True
        if step_run.failure_counts[index] >= self.job.queue.max_attempts:
            self.set_state(model.JobState.FAILED)

    def mark_task_done(self, task: model.TaskKey) -> None:
        """Marks a task as done; the leader did not track the run that did it.

        Long-running tasks are ignored.
        """
        step_run = self.get_step(task)
        if (step_run is not None and not step_run.step.is_long_running and
                task.index not in step_run.done_indexes):
            self._mark_done(step_run, task.index)

    def _mark_done(self, step_run: StepRun, index: int) -> None:
        indexes = (set(range(step_run.step.count))
                   if step_run.step.is_gang else {index})
        step_run.done_indexes |= indexes
        step_run.waiting_indexes -= indexes
        for i in indexes:
            step_run.checkpoints.pop(i, None)
        self.is_dirty = True
        self._complete_if_done()

    def _complete_if_done(self) -> None:
        if all(step_run.is_done for step_run in self.steps.values()):
            self.set_state(model.JobState.COMPLETED)

    def set_state(self, state: model.JobState) -> None:
        """Changes the state of the job unless its present state is final."""
        if not self.state.is_final and state is not self.state:
            self.state = state
            self.is_dirty = True
