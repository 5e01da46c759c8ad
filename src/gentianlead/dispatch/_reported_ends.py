"""Ends of runs that the leader of their worker gets without having the job.

A run was given up, and its job has moved to another group or is about to. The
task must not start again, so each leader that has the job, or gets it later,
has to know the end.
"""

from typing import Callable, Iterable, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _records
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _table

MAX_JOBS = 1000
"""Number of jobs of which ends are kept until the topic shows them."""


class _JobEnds(NamedTuple):
    """Ends of runs of one job.

    Attributes:
        done_tasks: Tasks that are done.
        failed_runs: Failed runs, each with its task.
    """

    done_tasks: set[model.TaskKey]
    failed_runs: set[tuple[model.TaskKey, int]]

    def is_empty(self) -> bool:
        """Returns whether there is no end."""
        return not self.done_tasks and not self.failed_runs

    def add(self, other: "_JobEnds") -> None:
        """Adds all ends of another object."""
        self.done_tasks.update(other.done_tasks)
        self.failed_runs.update(other.failed_runs)

    def remove_uncounted(self, job: model.SteppedJob) -> None:
        """Removes ends that do not matter for the tasks of a job."""
        self.done_tasks.difference_update(
            [task for task in self.done_tasks if not _counts(job, task)])
        self.failed_runs.difference_update([(task, run)
                                            for task, run in self.failed_runs
                                            if not _counts(job, task)])

    def remove(self, other: "_JobEnds") -> None:
        """Removes the ends of another object, and failures of done tasks."""
        self.done_tasks.difference_update(other.done_tasks)
        self.failed_runs.difference_update({
            (task, run)
            for task, run in self.failed_runs
            if (task, run) in other.failed_runs or task in other.done_tasks
        })


class ReportedEnds:
    """Keeps and stores the ends of runs whose jobs a leader does not have.

    They are kept in memory until the topic as this leader has read it shows
    them: the job may come back before that. They are stored for the leaders of
    other groups, which apply them to the job as any leader of it does.
    """

    def __init__(self, group: str, epoch: int,
                 find_job_entry: Callable[[str], _table.JobEntry | None]):
        self._group = group
        self._epoch = epoch
        self._find_job_entry = find_job_entry
        self._ends_by_job: dict[str, _JobEnds] = {}
        self._unstored_jobs: set[str] = set()

    def has_unstored_ends(self) -> bool:
        """Returns whether `take_records` has anything to store."""
        return any(
            self._find_job_entry(job_id) is not None
            for job_id in self._unstored_jobs)

    def add(self, ended_run: ports.EndedRun) -> bool:
        """Adds the end of a done or failed run.

        Returns:
            Whether the topic does not show the end, so that it will be stored;
            if the topic does not show the job yet, as soon as it does.
        """
        ends = _JobEnds(set(), set())
        if ended_run.cause is ports.EndCause.DONE:
            ends.done_tasks.add(ended_run.task)
        else:
            ends.failed_runs.add((ended_run.task, ended_run.run))
        return self._add_ends(ended_run.task.job_id, ends,
                              self._find_job_entry(ended_run.task.job_id), True)

    def keep(self, job: _runs.JobRun) -> bool:
        """Keeps the ends of a job that the leader forgets.

        Those that the topic shows are left out. The others are stored unless
        the progress of the job has been: the move of a job may have been
        stored before this leader got an end.

        Returns:
            Whether there are any that the topic does not show.
        """
        if job.entry.is_cancelled or (job.has_ended and not job.is_dirty):
            return False
        return self._add_ends(job.job.job_id, _list_ends(job), job.entry,
                              job.is_dirty)

    def apply(self, job: _runs.JobRun) -> None:
        """Applies all ends of a job that are stored or kept.

        The leader has to call it before it plans any start of the job.
        """
        for record in job.entry.reported_ends_by_group.values():
            _apply_ends(job, _read_reported_ends(record))
        ends = self._ends_by_job.get(job.job.job_id)
        if ends is not None:
            _apply_ends(job, ends)
            # They are stored with the progress of the job.
            self._unstored_jobs.discard(job.job.job_id)

    def take_records(self) -> list[_records.ReportedEndsRecord]:
        """Returns records of all ends that the caller has to store."""
        for job_id in list(self._ends_by_job):
            self._remove_shown_ends(job_id)
        records = []
        for job_id in sorted(self._unstored_jobs):
            entry = self._find_job_entry(job_id)
            if entry is not None:
                self._unstored_jobs.discard(job_id)
                records.append(
                    self._build_record(entry, self._ends_by_job[job_id]))
        return records

    def forget(self, job_id: str) -> None:
        """Deletes all ends of a job."""
        self._ends_by_job.pop(job_id, None)
        self._unstored_jobs.discard(job_id)

    def _add_ends(self, job_id: str, ends: _JobEnds,
                  entry: _table.JobEntry | None, is_unstored: bool) -> bool:
        if entry is not None:
            if entry.state.is_final:
                return False
            ends.remove_uncounted(entry.job)
            ends.remove(_list_shown_ends(entry))
        if ends.is_empty():
            return False
        if (job_id not in self._ends_by_job and
                len(self._ends_by_job) >= MAX_JOBS):
            self.forget(
                min(self._ends_by_job, key=self._unstored_jobs.__contains__))
        self._ends_by_job.setdefault(job_id, _JobEnds(set(), set())).add(ends)
        if is_unstored:
            self._unstored_jobs.add(job_id)
        return True

    def _remove_shown_ends(self, job_id: str) -> None:
        entry = self._find_job_entry(job_id)
        if entry is None:
            return
        ends = self._ends_by_job[job_id]
        ends.remove_uncounted(entry.job)
        ends.remove(_list_shown_ends(entry))
        if ends.is_empty() or entry.state.is_final:
            self.forget(job_id)

    def _build_record(self, entry: _table.JobEntry,
                      ends: _JobEnds) -> _records.ReportedEndsRecord:
        """Returns the record of a job.

        It replaces the last one of the group, and so has the ends of that one.
        """
        all_ends = _JobEnds(set(), set())
        all_ends.add(ends)
        last_record = entry.reported_ends_by_group.get(self._group)
        if last_record is not None:
            all_ends.add(_read_reported_ends(last_record))
        done_masks: dict[tuple[int, int], int] = {}
        for task in all_ends.done_tasks:
            key = (task.occurrence, task.step)
            done_masks[key] = done_masks.get(key, 0) | 1 << task.index
        failed_runs: dict[model.TaskKey, list[int]] = {}
        for task, run in sorted(all_ends.failed_runs):
            failed_runs.setdefault(task, []).append(run)
        return _records.ReportedEndsRecord(
            entry.job.job_id, self._group, self._epoch,
            tuple(
                _records.DoneTasks(*key, format(mask, "x"))
                for key, mask in sorted(done_masks.items())),
            tuple(
                _records.FailedRuns(*task[1:], tuple(runs))
                for task, runs in failed_runs.items()))


def _counts(job: model.SteppedJob, task: model.TaskKey) -> bool:
    """Returns whether a task exists and may be done or fail too often."""
    return (0 <= task.occurrence < job.occurrences and
            0 <= task.step < len(job.steps) and
            0 <= task.index < job.steps[task.step].count and
            not job.steps[task.step].is_long_running)


def _apply_ends(job: _runs.JobRun, ends: _JobEnds) -> None:
    for task in ends.done_tasks:
        job.mark_task_done(task)
    for task, run in ends.failed_runs:
        job.count_failure(task, run)
        job.last_run_number = max(job.last_run_number, run)


def _list_ends(job: _runs.JobRun) -> _JobEnds:
    ends = _JobEnds(set(), set())
    for key, step_run in job.steps.items():
        if step_run.step.is_long_running:
            continue
        ends.done_tasks.update(
            model.TaskKey(job.job.job_id, *key, index)
            for index in step_run.done_indexes)
        ends.failed_runs.update(
            (model.TaskKey(job.job.job_id, *key, index), run)
            for index, runs in step_run.failed_runs.items()
            for run in runs
            if run)
    return ends


def _list_shown_ends(entry: _table.JobEntry) -> _JobEnds:
    """Returns the ends that a leader of the job reads in the topic."""
    ends = _JobEnds(set(), set())
    for record in entry.reported_ends_by_group.values():
        ends.add(_read_reported_ends(record))
    for progress in entry.progress_by_group.values():
        ends.done_tasks.update(
            _list_done_tasks(progress.job_id, progress.done_tasks))
        ends.failed_runs.update((model.TaskKey(progress.job_id, task.occurrence,
                                               task.step, task.index), run)
                                for task in progress.unfinished_tasks
                                for run in task.failed_runs)
    return ends


def _read_reported_ends(record: _records.ReportedEndsRecord) -> _JobEnds:
    return _JobEnds(
        set(_list_done_tasks(record.job_id, record.done_tasks)),
        {(model.TaskKey(record.job_id, failed_runs.occurrence, failed_runs.step,
                        failed_runs.index), run)
         for failed_runs in record.failed_runs
         for run in failed_runs.runs})


def _list_done_tasks(
        job_id: str,
        done_tasks: Iterable[_records.DoneTasks]) -> Iterable[model.TaskKey]:
    for item in done_tasks:
        for index in _records.list_mask_indexes(item.done_mask):
            yield model.TaskKey(job_id, item.occurrence, item.step, index)
