"""State that the leader of a group keeps: its jobs, workers and runs.

A task has at most one run that may still be executing. A run has certainly
ended when one of these is true:

- Its worker refused its only start order or reported its end.
- Its worker confirmed its start or accepted a stop order, and the reply to a
  status call that was sent later lists all ends but not the run.
- The worker was replaced by a new instance.
- The worker is unreachable and its lease has expired.
- Its last start order is too old, and a later status report lists it nowhere.
"""

import datetime
from typing import Callable

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _crashes
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _lease_calls
from gentianlead.dispatch import _move_delays
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _throttling
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _superseded_runs
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch import _table
from gentianlead.dispatch import _untracked_ends
from gentianlead.dispatch import _workers

REMOVED_WORKER_GRACE = datetime.timedelta(milliseconds=2500)
"""Minimum time for which a worker without runs is kept after its removal from
the registry: its entry may reappear after an outage of the store."""


class GroupState:
    """Keeps the jobs, workers and runs of a group up to date.

    Status reports, replies to orders and records of the topic change the state;
    subclasses plan orders from it.

    Attributes:
        group: Name of the group.
        epoch: Epoch of this leader; also the fencing token of its orders.
        jobs: Jobs with tasks in the group, by identifier; ended ones stay until
            `forget_job`.
        workers: Workers of the group, by identifier; those removed from the
            registry stay until `drop_removed_workers`.
        ended_runs: Ends of runs that were applied since the caller last emptied
            this list, without refused starts.
        late_ends: Ends of done runs that this leader did not track, since the
            caller last emptied this list.
        refused_starts: Starts of long-running tasks that were refused since the
            task last started.
        is_evacuated: Whether operators took the group out of service.
        is_reconciled: Whether `mark_jobs_reconciled` has marked the jobs.
        is_registry_current: Whether the registry entries show the present
            capacity of the workers. If not, only workers that enforce their
            capacity may receive starts.
        queues: Queues of the configuration in force, by host and path prefix.
        interference: Estimated interference between images.
        timings: Durations that bound leases, takeovers and stops.
        crashes: Counts crashes of workers against the tasks that may have
            caused them.
        find_job_entry: Returns the state of any job of the topic by identifier,
            or None; also of jobs that have ended or belong to other groups.
        untracked_ends: Applies ends of runs that this leader does not track.
    """

    def __init__(self, group: str, epoch: int, timings: _orders.GroupTimings,
                 now: float, leadership_offset: int,
                 interference: _interference.InterferenceModel):
        self.group = group
        self.epoch = epoch
        self.jobs: dict[str, _runs.JobRun] = {}
        self.workers: dict[str, _workers.WorkerState] = {}
        self.ended_runs: list[_orders.AppliedRunEnd] = []
        self.late_ends: list[_superseded_runs.LateEnd] = []
        self.refused_starts: dict[model.TaskKey, _orders.RefusedStarts] = {}
        self.is_evacuated = False
        self.is_reconciled = False
        self.is_registry_current = True
        self.queues: dict[tuple[str, str], model.Queue] = {}
        # Jobs that were forgotten because they ended or left this group, by
        # identifier. The value is the offset of the acceptance or move that had
        # assigned the job to this group; for a job that left it, the offset of
        # the acceptance. The topic is read later than it is written, so an old
        # record may still assign the job here; `put_job` ignores an assignment
        # whose offset is not higher.
        self._departed_job_offsets: dict[str, int] = {}
        # Start time of the instance of each recorded worker that has not shown
        # its runs to this leader, by identifier; 0 if it is not known.
        self._unseen_workers: dict[str, int] = {}
        # Whether a recorded worker was given up before it has shown its runs.
        self._has_unseen_runs = False
        # Whether the start times of all these instances were recorded.
        self._are_instances_known = True
        self._capacity_enforcing_services: frozenset[str] = frozenset()
        self.interference = interference
        self.timings = timings
        self.crashes = _crashes.CrashTracker(group, self.jobs)
        self.find_job_entry: Callable[[str],
                                      _table.JobEntry | None] = lambda _: None
        self.untracked_ends = _untracked_ends.UntrackedEnds(
            group, epoch, self.jobs, self.crashes, self._find_job_entry)
        self._leadership_offset = leadership_offset
        self._takeover_ends_at = now + timings.takeover_wait.total_seconds()
        self._handed_over_runs_end_at = 0.0

    # Registry entries and status reports of workers.

    def put_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker that the registry lists, or updates its entry."""
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            worker = _workers.WorkerState(entry, self.timings)
            self.workers[entry.worker_id] = worker
        worker.entry = entry
        worker.is_registered = True
        worker.enforces_capacity = (entry.service
                                    in self._capacity_enforcing_services)

    def put_recorded_worker(self, entry: ports.WorkerEntry, now: float) -> None:
        """Adds a worker that the stored `WorkersRecord` lists.

        It is marked as recorded: a former leader may have started runs on it.
        Unless it was known before, it counts as removed from the registry until
        `put_worker` is called.
        """
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            worker = _workers.WorkerState(entry, self.timings)
            worker.is_registered = False
            worker.removed_at = now
            self.workers[entry.worker_id] = worker
        worker.is_recorded = True
        worker.may_have_former_runs = True
        self._unseen_workers[entry.worker_id] = entry.born_ms

    def mark_worker_removed(self, worker_id: str, now: float) -> None:
        """Marks a worker as removed from the registry."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False
            worker.removed_at = now

    def drop_removed_workers(self, now: float) -> list[str]:
        """Deletes workers that left the registry and have no known runs.

        A worker is deleted `REMOVED_WORKER_GRACE` after its removal if it has
        replied to this leader or the takeover wait is over, and if it is
        unreachable or its lease has expired.

        Returns:
            Identifiers of the deleted workers.
        """
        removed_ids = [
            worker_id for worker_id, worker in self.workers.items()
            if not worker.is_registered and not worker.runs and now -
            worker.removed_at > REMOVED_WORKER_GRACE.total_seconds() and
            (worker.first_status_at is not None or now >= self._takeover_ends_at
            ) and (not worker.is_reachable or worker.is_lease_expired(now))
        ]
        for worker_id in removed_ids:
            self._has_unseen_runs |= worker_id in self._unseen_workers
            self._mark_seen(self.workers[worker_id], False)
            del self.workers[worker_id]
        return removed_ids

    def mark_unreachable(self,
                         worker_id: str,
                         now: float,
                         lost_since: float | None = None) -> None:
        """Marks a worker as unreachable after a status call without a reply.

        The worker was lost at `lost_since` or later; None stands for `now`.
        """
        worker = self.workers.get(worker_id)
        if worker is not None:
            if worker.is_reachable or worker.runs:
                self.crashes.record_loss(
                    worker, now if lost_since is None else lost_since, now)
            worker.is_reachable = False

    def remove_replaced_worker(self, worker_id: str, now: float) -> None:
        """Deletes a worker that a new instance has replaced, and ends its runs.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self._mark_seen(worker, False)
            self._end_lost_runs(worker, True, now)

    def _mark_seen(self,
                   worker: _workers.WorkerState,
                   has_replied: bool,
                   born_ms: int = 0) -> None:
        """Marks a recorded worker as one whose runs are known or lost."""
        recorded_born_ms = self._unseen_workers.pop(worker.worker_id, None)
        if recorded_born_ms is None or worker.entry.is_draining:
            return
        if not has_replied or recorded_born_ms not in (0, born_ms):
            self.crashes.record_unseen_loss(worker.entry.service)
        elif not recorded_born_ms:
            self._are_instances_known = False

    def apply_status(self, worker_id: str, status: ports.WorkerStatus,
                     sent_at: float, now: float) -> None:
        """Applies a status report of a worker to its runs, clock and throttles.

        Has no effect if the worker is not known, or if the report comes from
        another instance than the last one although the call was sent before
        that report arrived. Otherwise, a report of another instance ends all
        runs of the last one.

        Args:
            worker_id: Identifier of the worker.
            status: The report.
            sent_at: Monotonic time in seconds at which the status call was
                sent.
            now: Present monotonic time in seconds.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if worker.born_ms != status.born_ms:
            if (worker.last_status_at is not None and
                    sent_at < worker.last_status_at):
                # Either may be the later instance: start times do not tell, as
                # clocks jump.
                return
            if worker.born_ms:
                self._end_replaced_runs(worker, status, sent_at, now)
            worker.set_instance(status, self._unseen_workers.get(worker_id, 0),
                                sent_at, now)
        else:
            worker.lease_calls.drop_settled(sent_at)
        worker.update_clock(status.clock_ms, now)
        worker.last_status_at = now
        worker.mark_reachable()
        self.crashes.withdraw_loss(worker)
        if worker.first_status_at is None:
            # Until a report lists all ends, a former leader's runs may have
            # ended without this leader's knowledge.
            if not status.may_lack_ends:
                worker.first_status_at = now
                self._mark_seen(worker, True, status.born_ms)
            # A former leader may have renewed the lease just before this reply.
            worker.extend_lease(now, self.timings.lease)
        for ended_run in status.ended:
            if ended_run.number > worker.last_applied_end_number:
                self._apply_end(worker, ended_run, now)
                worker.last_applied_end_number = ended_run.number
        reported_runs = set()
        for active_run in status.running:
            reported_runs.add((active_run.task, active_run.run))
            self._apply_active_run(worker, active_run, now)
        if not status.may_lack_ends:
            self._end_vanished_runs(worker, reported_runs, sent_at, now)
        worker.unlisted_runs = tuple(worker.runs.keys() - reported_runs)
        for unknown_run in [
                unknown_run for unknown_run in worker.unknown_runs
                if unknown_run not in reported_runs
        ]:
            del worker.unknown_runs[unknown_run]
        _throttling.update_throttles(worker, self.interference, now)

    def _apply_end(self, worker: _workers.WorkerState,
                   ended_run: ports.EndedRun, now: float) -> None:
        run = worker.runs.pop((ended_run.task, ended_run.run), None)
        if run is None:
            late_end = self.untracked_ends.apply(worker, ended_run, now)
            if late_end is not None:
                self.late_ends.append(late_end)
            return
        self.untracked_ends.apply_to_withheld(worker, ended_run, False)
        job = self.jobs.get(ended_run.task.job_id)
        duration_s = now - run.start_sent_at
        self.ended_runs.append(
            _orders.AppliedRunEnd(worker.worker_id, ended_run.task,
                                  ended_run.run, ended_run.cause.value,
                                  duration_s))
        if ended_run.cause is ports.EndCause.DONE:
            worker.record_result(True, now)
            if not run.step.is_best_effort:
                worker.record_duration(duration_s, run.step.estimate_ms)
        elif ended_run.cause is ports.EndCause.FAILED:
            worker.record_result(False, now)
        if job is not None:
            job.apply_end(run, ended_run.cause, ended_run.checkpoint or
                          run.checkpoint)
            self.crashes.apply_end(run, ended_run.cause, None, now)

    def _apply_active_run(self, worker: _workers.WorkerState,
                          active_run: ports.ActiveRun, now: float) -> None:
        run = worker.runs.get((active_run.task, active_run.run))
        if run is None:
            run = self._adopt_run(worker, active_run, now)
            if run is None:
                return
        if run.phase in (_task_runs.RunPhase.STARTING,
                         _task_runs.RunPhase.UNKNOWN):
            run.phase = _task_runs.RunPhase.RUNNING
            run.start_attempts = 0
            run.confirmed_at = now
            if job := self.jobs.get(active_run.task.job_id):
                job.get_step(active_run.task).mark_confirmed(run)
        # The worker may have executed an order without reply late, or only a
        # repeated one, so the age of the first order is no proof.
        running_since = (run.confirmed_at if run.phase
                         is _task_runs.RunPhase.RUNNING else run.start_sent_at)
        if (not run.is_proven and
                now - running_since >= _crashes.PROOF_DELAY.total_seconds()):
            self.crashes.prove_run(run)
        run.checkpoint = active_run.checkpoint or run.checkpoint
        run.latency_ms_or_cpu_millis = active_run.latency_ms_or_cpu_millis
        if active_run.percent != run.progress_percent:
            run.progress_percent = active_run.percent
            run.progressed_at = now
            if run.step.is_long_running and run.progress_percent == 100:
                # No run of a long-running task ends as done.
                worker.record_result(True, now)

    def _adopt_run(self, worker: _workers.WorkerState,
                   active_run: ports.ActiveRun,
                   now: float) -> _task_runs.Run | None:
        """Takes over a run that a former leader started, and returns it.

        If the job is unknown or has ended, or the task does not wait for a
        start in this group, the run is listed among the worker's unknown runs
        instead, and the result is None.
        """
        job = self.jobs.get(active_run.task.job_id)
        step_run = job.get_step(active_run.task) if job is not None else None
        if (step_run is None or job.has_ended or
                active_run.task.index not in step_run.waiting_indexes):
            unknown_run = worker.unknown_runs.setdefault(
                (active_run.task, active_run.run), _task_runs.UnknownRun(now))
            unknown_run.step = self._find_step(active_run.task)
            return None
        worker.unknown_runs.pop((active_run.task, active_run.run), None)
        return self.track_former_run(worker, job, active_run.task,
                                     active_run.run, now)

    def track_former_run(self, worker: _workers.WorkerState, job: _runs.JobRun,
                         task: model.TaskKey, run_number: int,
                         now: float) -> _task_runs.Run:
        """Tracks a run of a former leader whose task waits in this group."""
        step_run = job.get_step(task)
        run = _task_runs.Run(task, step_run.step, run_number, worker.worker_id,
                             now)
        run.phase = _task_runs.RunPhase.RUNNING
        run.confirmed_at = now
        run.throttle_percent = -1  # Unknown until a throttle order succeeds.
        self.crashes.adopt_run(job, run)
        step_run.mark_confirmed(run)
        step_run.waiting_indexes.discard(task.index)
        step_run.active_runs[task.index] = run
        step_run.run_limits.mark_started(task.index, run_number)
        worker.runs[(task, run_number)] = run
        job.last_run_number = max(job.last_run_number, run_number)
        job.mark_started()
        return run

    def _find_job_entry(self, job_id: str) -> _table.JobEntry | None:
        # The function is set after the leader was created.
        return self.find_job_entry(job_id)

    def _find_step(self, task: model.TaskKey) -> model.Step | None:
        job = self.jobs.get(task.job_id)
        entry = job.entry if job else self.find_job_entry(task.job_id)
        if entry is None or not 0 <= task.step < len(entry.job.steps):
            return None
        return entry.job.steps[task.step]

    def _end_vanished_runs(self, worker: _workers.WorkerState,
                           reported_runs: set, sent_at: float,
                           now: float) -> None:
        longest_lease_s = _lease_calls.compute_longest_lease_s(
            self.timings.lease)
        for run_key, run in list(worker.runs.items()):
            if run_key not in reported_runs and run.has_vanished(
                    sent_at, longest_lease_s):
                if run.phase is _task_runs.RunPhase.UNKNOWN:
                    self._give_up_run(run)
                    worker.pause(_workers.LONG_REFUSAL_BACKOFF, now)
                self.end_run(worker, run, None, now)

    def end_run(self, worker: _workers.WorkerState, run: _task_runs.Run,
                evidence: _suspicions.CrashEvidence | None, now: float) -> None:
        """Ends a run that was lost with its worker or its lease.

        Args:
            worker: Worker of the run.
            run: The run.
            evidence: Evidence that the run crashed its worker; None if the
                worker stayed up or has left as announced.
            now: Present monotonic time in seconds.
        """
        cause = ports.EndCause.LEASE_EXPIRED
        worker.runs.pop((run.task, run.number), None)
        self.ended_runs.append(
            _orders.AppliedRunEnd(worker.worker_id, run.task, run.number,
                                  cause.value, now - run.start_sent_at))
        job = self.jobs.get(run.task.job_id)
        if job is not None:
            job.apply_end(run, cause, run.checkpoint)
            job.get_step(run.task).avoid_worker(run, now)
            self.crashes.apply_end(run, cause, evidence, now)

    def _end_lost_runs(self, worker: _workers.WorkerState, is_replaced: bool,
                       now: float) -> None:
        evidence = self.crashes.assess_loss(worker, is_replaced, now)
        for run in list(worker.runs.values()):
            self.end_run(worker, run, evidence, now)

    def _end_replaced_runs(self, worker: _workers.WorkerState,
                           status: ports.WorkerStatus, sent_at: float,
                           now: float) -> None:
        """Ends the runs that ended with the former instance of a worker.

        A start order may reach the new one, also after this report. Its run is
        kept until a reply, a stop or a later report shows what became of it.
        """
        listed_runs = {
            (run.task, run.run) for run in (*status.running, *status.ended)
        }
        started_at = worker.compute_earliest_start(status, sent_at)
        kept_runs = {
            run_key: worker.runs.pop(run_key)
            for run_key, run in list(worker.runs.items())
            if run_key in listed_runs or run.may_reach_instance(started_at)
        }
        self._end_lost_runs(worker, True, now)
        worker.runs.update(kept_runs)

    # Jobs that the topic assigns to the group.

    def put_job(self, entry: _table.JobEntry) -> None:
        """Adds a job of the topic, or updates it; forgets one that moved away.

        A job is added only if the topic assigns tasks of it to this group and
        it has not ended. If it was forgotten before, the record that assigns
        it must also be newer than the offset that `forget_job` recorded.
        """
        job_id = entry.job.job_id
        known_job = self.jobs.get(job_id)
        if known_job is not None:
            known_job.update_entry(entry)
            self.untracked_ends.reported_ends.apply(known_job)
            if self.group not in entry.assignment_offsets:
                self.forget_job(job_id)
            return
        assignment_offset = entry.assignment_offsets.get(self.group, -1)
        if (entry.state.is_final or assignment_offset
                <= self._departed_job_offsets.get(job_id, -1)):
            return
        job = _runs.JobRun(entry,
                           self.group,
                           is_reconciled=assignment_offset
                           > self._leadership_offset)
        job.service = self.find_queue(job).service
        self.untracked_ends.reported_ends.apply(job)
        self.jobs[job_id] = job

    def cancel_job(self, job_id: str) -> None:
        """Marks a job as cancelled; its cancellation is already stored."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.entry = job.entry._replace(is_cancelled=True)
            job.set_state(model.JobState.CANCELLED)

    def forget_job(self, job_id: str) -> None:
        """Deletes a job that moved away or whose end is stored.

        Does nothing if the job still has active runs.
        """
        job = self.jobs.get(job_id)
        if job is not None and not job.list_active_runs():
            self._departed_job_offsets[job_id] = max(
                self._departed_job_offsets.get(job_id, -1),
                job.entry.assignment_offsets.get(self.group, job.entry.offset))
            self.untracked_ends.forget_job(job)
            del self.jobs[job_id]

    def find_queue(self, job: _runs.JobRun) -> model.Queue:
        """Returns a job's queue as defined by the configuration in force.

        If that has no such queue, returns the queue stored with the job.
        """
        queue = job.job.queue
        return self.queues.get((queue.host, queue.path_prefix), queue)

    # Expired leases, reconciliation, progress to store and tasks to move.

    def end_expired_runs(self, now: float) -> None:
        """Ends all runs on unreachable workers with an expired lease."""
        for worker in self.workers.values():
            if (worker.runs and not worker.is_reachable and
                    worker.is_lease_expired(now)):
                for run in worker.runs.values():
                    self._give_up_run(run)
                self._end_lost_runs(worker, False, now)

    def _give_up_run(self, run: _task_runs.Run) -> None:
        job = self.jobs.get(run.task.job_id)
        if job is not None:
            _superseded_runs.give_up_run(job, run)

    def mark_jobs_reconciled(self, now: float) -> None:
        """Marks all jobs as reconciled once every run that may exist is known.

        That is so when every worker on which a former leader may have started
        runs has replied to this leader, or when the takeover wait is over.
        Until then, nothing is marked.
        """
        if self.list_silent_workers():
            if now < self._takeover_ends_at:
                return
            self._has_unseen_runs = True
        self.is_reconciled = True
        for worker_id in list(self._unseen_workers):
            if worker_id in self.workers:
                self._mark_seen(self.workers[worker_id], False)
        for job in self.jobs.values():
            if self._has_unseen_runs and not job.is_reconciled:
                _superseded_runs.give_up_unseen_runs(job, self.epoch)
            self._mark_reconciled(job)

    def _mark_reconciled(self, job: _runs.JobRun) -> None:
        if not job.is_reconciled:
            self.crashes.resolve_claims(job, self._are_instances_known)
            self.crashes.mark_uncertain_tasks(job)
        job.is_reconciled = True

    def list_silent_workers(self) -> list[_workers.WorkerState]:
        """Returns workers that may have former leaders' runs and are silent.

        They have not shown their runs to this leader.
        """
        return [
            worker for worker in self.workers.values()
            if worker.may_have_former_runs and worker.first_status_at is None
        ]

    def compute_takeover_remaining_s(self, now: float) -> float:
        """Returns the rest of the takeover wait in seconds, at least 0."""
        return max(0.0, self._takeover_ends_at - now)

    def is_takeover_over(self, now: float) -> bool:
        """Returns whether no run of an earlier leader can go on any more.

        Runs that this leader tracks on workers that reply do not count.
        """
        return now >= max(self._takeover_ends_at, self._handed_over_runs_end_at)

    def list_movable_jobs(self) -> list[_runs.JobRun]:
        """Returns the jobs that may move to another group as a whole.

        They are reconciled and have not ended. They have neither active runs in
        this group nor a pending move.
        """
        return [
            job for job in self.jobs.values()
            if job.is_reconciled and not job.has_ended and
            job.pending_move_number is None and not job.list_active_runs()
        ]

    def list_unplaced_steps(
            self, now: float) -> list[tuple[_runs.JobRun, _runs.StepRun]]:
        """Returns steps whose tasks should move for lack of capacity.

        Their tasks have lacked capacity for `TASK_MOVE_DELAY`, or for
        `RESERVED_TASK_MOVE_DELAY` if a worker is reserved for one of them or
        they are not long-running. Steps that are not long-running are left out
        while the end of a short run of their job may let them start here. Jobs
        that have ended, are not reconciled or have a pending move are left out,
        too.
        """
        unplaced_steps = []
        for job in self.jobs.values():
            if (job.has_ended or job.pending_move_number is not None or
                    not job.is_reconciled):
                continue
            unplaced_steps.extend(
                (job, step_run)
                for step_run in job.steps.values()
                if _move_delays.is_move_due(step_run, now) and
                (step_run.step.is_long_running or
                 not _move_delays.may_start_after_own_runs(
                     job, step_run, self.workers.values(), now)))
        return unplaced_steps
