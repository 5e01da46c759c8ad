"""What a leader stores so that its successor knows the runs of the group."""

import math

from gentianlead.dispatch import _interference
from gentianlead.dispatch import _order_replies
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _records
from gentianlead.dispatch import _superseded_runs
from gentianlead.dispatch import _workers


class StoredGroupState(_order_replies.RepliedGroupState):
    """Builds the records by which a successor finds the runs of this leader."""

    def __init__(self, group: str, epoch: int, timings: _orders.GroupTimings,
                 now: float, leadership_offset: int,
                 interference: _interference.InterferenceModel):
        super().__init__(group, epoch, timings, now, leadership_offset,
                         interference)
        self._recorded_workers: set[str] = set()

    def take_dirty_progress(self) -> list[_records.ProgressRecord]:
        """Returns records of all progress that changed since the last call.

        There is one record for each job whose progress changed. The caller has
        to store the records.
        """
        progress_records = []
        for job in self.jobs.values():
            if job.is_dirty:
                job.is_dirty = False
                progress_records.append(
                    job.build_progress(self.group, self.epoch))
        return progress_records

    def take_unstored_records(self) -> list[_records.Record]:
        """Returns all run limits, ends and progress that the caller stores.

        The run limits come first: the progress and the workers may no longer
        show that a run was given up.
        """
        run_limits = [
            record for job in self.jobs.values()
            for record in _superseded_runs.build_run_limits(
                job, self.group, self.epoch)
        ]
        return [
            *run_limits, *self.untracked_ends.take_records(),
            *self.take_dirty_progress()
        ]

    def has_unstored_progress(self) -> bool:
        """Returns whether progress or ends wait for a flush."""
        return (any(job.is_dirty for job in self.jobs.values()) or
                self.untracked_ends.has_unstored_ends())

    def get_departed_offset(self, job_id: str) -> int | None:
        """Returns the offset up to which `put_job` ignores assignments."""
        return self._departed_job_offsets.get(job_id)

    def build_workers_record(self) -> _records.WorkersRecord | None:
        """Returns a record of the workers with runs, which the caller stores.

        It lists all workers on which runs may exist or start. The others get no
        start from now on, until they are recorded anew.

        Returns None if the record that this leader stored last lists the same
        workers, or if it stored none and there are no workers. A worker that
        was dropped and listed again since then has to be recorded anew.
        """
        listed_workers = []
        for worker in self.workers.values():
            if self._may_have_runs(worker):
                listed_workers.append(worker)
            else:
                worker.is_recorded = False
        if self._recorded_workers == {
                worker.worker_id for worker in listed_workers
        } and all(worker.is_recorded for worker in listed_workers):
            return None
        return _records.WorkersRecord(
            self.group, self.epoch,
            tuple(worker.entry for worker in listed_workers))

    def _may_have_runs(self, worker: _workers.WorkerState) -> bool:
        """Returns whether runs may exist on a worker, or start there.

        A successor waits for such a worker if it does not reply, but not for
        one that leaves or has left and whose runs have all ended.
        """
        is_open = worker.is_registered and not worker.entry.is_draining
        return bool(is_open or worker.runs or worker.unknown_runs or
                    (not self.is_reconciled and worker.may_have_former_runs and
                     worker.first_status_at is None))

    def mark_workers_recorded(self, record: _records.WorkersRecord) -> None:
        """Marks the workers in `record` as recorded after it was stored.

        Only recorded workers may receive start orders.
        """
        self._recorded_workers = {entry.worker_id for entry in record.workers}
        for worker_id in self._recorded_workers & set(self.workers):
            self.workers[worker_id].is_recorded = True

    def build_handover(self, now: float) -> _records.HandoverRecord:
        """Returns what the successor of this leader has to know.

        The caller sends no order and renews no lease from now on, and has
        stored all progress, before it stores the record.

        Args:
            now: Present monotonic time in seconds.
        """
        unseen_worker_ids: tuple[str, ...] = ()
        unseen_wait_s = 0.0
        if not self.is_reconciled:
            unseen_wait_s = self.compute_takeover_remaining_s(now)
            unseen_worker_ids = tuple(
                worker.worker_id for worker in self.list_silent_workers())
        workers = []
        for worker in self.workers.values():
            runs = self._list_handed_over_runs(worker)
            if runs:
                workers.append(
                    _records.HandedOverWorker(
                        worker.entry, worker.born_ms,
                        math.ceil(1000 * worker.compute_lease_rest_s(now)),
                        runs))
        return _records.HandoverRecord(self.group, self.epoch, tuple(workers),
                                       unseen_worker_ids,
                                       math.ceil(1000 * unseen_wait_s),
                                       self._leadership_offset)

    def _list_handed_over_runs(
            self,
            worker: _workers.WorkerState) -> tuple[_records.HandedOverRun, ...]:
        runs = [
            _records.HandedOverRun(run.task, run.number, run.is_proven)
            for run in worker.runs.values()
        ]
        for task, run_number in worker.unknown_runs:
            job = self.jobs.get(task.job_id)
            step_run = job.get_step(task) if job is not None else None
            # This leader may not have read the job yet, or its return to the
            # group. In all other cases the task needs no further run here.
            if job is None or (step_run is not None and
                               task.index in step_run.waiting_indexes):
                runs.append(_records.HandedOverRun(task, run_number, False))
        return tuple(runs)

    def apply_handover(self, record: _records.HandoverRecord, read_at: float,
                       now: float) -> None:
        """Takes over the runs that the former leader has left.

        A run that its worker neither reports as running nor as ended has ended;
        so it has when the worker does not reply until the lease has expired.
        All jobs and recorded workers have been added before.

        Args:
            record: Record of the direct former leader.
            read_at: Monotonic time in seconds at which the record was read.
            now: Present monotonic time in seconds.
        """
        for handed_over in record.workers:
            worker = self._add_handed_over_worker(handed_over, now)
            lease_ends_at = read_at + handed_over.lease_ms / 1000
            worker.set_handed_over_lease(lease_ends_at, read_at)
            self._handed_over_runs_end_at = max(self._handed_over_runs_end_at,
                                                lease_ends_at)
            for handed_over_run in handed_over.runs:
                self._track_handed_over_run(worker, handed_over_run, now)
        for worker in self.workers.values():
            if worker.worker_id not in record.unseen_worker_ids:
                worker.may_have_former_runs = False
                self._unseen_workers.pop(worker.worker_id, None)
        self.limit_takeover_wait(read_at + record.unseen_wait_ms / 1000)
        self._leadership_offset = record.known_until_offset
        for job in self.jobs.values():
            if job.entry.assignment_offsets.get(self.group,
                                                -1) > record.known_until_offset:
                self._mark_reconciled(job)

    def limit_takeover_wait(self, ends_at: float) -> None:
        """Ends the takeover wait at a monotonic time, or earlier if it is due.
        """
        self._takeover_ends_at = min(self._takeover_ends_at, ends_at)

    def _add_handed_over_worker(self, handed_over: _records.HandedOverWorker,
                                now: float) -> _workers.WorkerState:
        worker_id = handed_over.entry.worker_id
        if worker_id not in self.workers:
            self.put_recorded_worker(handed_over.entry, now)
        worker = self.workers[worker_id]
        if not worker.is_registered:
            # The stored list may be older than the announcement of the leave.
            worker.entry = handed_over.entry
        worker.born_ms = handed_over.born_ms
        return worker

    def _track_handed_over_run(self, worker: _workers.WorkerState,
                               handed_over: _records.HandedOverRun,
                               now: float) -> None:
        job = self.jobs.get(handed_over.task.job_id)
        step_run = (job.get_step(handed_over.task) if job is not None else None)
        if (step_run is None or job.has_ended or
                handed_over.task.index not in step_run.waiting_indexes):
            return
        run = self.track_former_run(worker, job, handed_over.task,
                                    handed_over.number, now)
        run.is_proven = handed_over.is_proven
