"""Ends of runs that a leader does not track: a former leader started them, or
this leader gave them up.
"""

import datetime
from typing import Callable, NamedTuple

from gentianlead import ports
from gentianlead.dispatch import _crashes
from gentianlead.dispatch import _reported_ends
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _superseded_runs
from gentianlead.dispatch import _table
from gentianlead.dispatch import _withheld_ends
from gentianlead.dispatch import _workers

UNKNOWN_JOB_WAIT = datetime.timedelta(seconds=10)
"""Longest time for which the end of a run of an unknown job is held while the
topic cannot be read. An end that is held withholds all later ones of its
worker."""

MAX_HELD_ENDS = 1000
"""Number of ends of unknown jobs that are held at a time."""

_RESULT_CAUSES = (ports.EndCause.DONE, ports.EndCause.FAILED)


class _HeldEnd(NamedTuple):
    """End of a run of a job that the topic does not show yet.

    Attributes:
        worker_id: Worker of the run.
        ended_run: The end.
        withheld_ends: What is not acknowledged to the worker of the run.
        listed_at: Monotonic time in seconds at which the leader got the end.
    """

    worker_id: str
    ended_run: ports.EndedRun
    withheld_ends: _withheld_ends.WithheldEnds
    listed_at: float


class ReleasedEnd(NamedTuple):
    """Tells that ends which were withheld may be acknowledged, for the log.

    Attributes:
        worker_id: The worker.
        number: Number of the end that caused it, or of the end that was held.
        cause: Why they may be acknowledged.
    """

    worker_id: str
    number: int
    cause: _withheld_ends.ReleaseCause


class UntrackedEnds:
    """Applies the ends of untracked runs, or keeps them for other leaders.

    Attributes:
        forgotten_limits: Run limits of jobs that the leader has forgotten.
        reported_ends: Ends of runs whose jobs the leader does not have.
        released_ends: Releases since the caller last emptied this list.
        groups_to_notify: Other groups with tasks whose ends are to be stored.
        on_ends_stored: Called with the names of these groups after the store.
        get_view_time: Returns a monotonic time in seconds, or None: the topic
            as this leader has read it has all that was stored before.
    """

    def __init__(self, group: str, epoch: int, jobs: dict[str, _runs.JobRun],
                 crashes: _crashes.CrashTracker,
                 find_job_entry: Callable[[str], _table.JobEntry | None]):
        self.forgotten_limits = _superseded_runs.ForgottenRunLimits()
        self.reported_ends = _reported_ends.ReportedEnds(
            group, epoch, find_job_entry)
        self.released_ends: list[ReleasedEnd] = []
        self.groups_to_notify: set[str] = set()
        self.on_ends_stored: Callable[[set[str]], None] = lambda groups: None
        self.get_view_time: Callable[[], float | None] = lambda: None
        self._group = group
        self._epoch = epoch
        self._jobs = jobs
        self._crashes = crashes
        self._find_job_entry = find_job_entry
        self._held_ends: list[_HeldEnd] = []
        # Ends whose job is known by now; they are released once what the flush
        # after that has taken is stored.
        self._settled_ends: list[_HeldEnd] = []
        self._taken_ends: list[_HeldEnd] = []
        self._taken_groups: set[str] = set()

    def has_unstored_ends(self) -> bool:
        """Returns whether ends wait for a flush."""
        return (bool(self._settled_ends) or bool(self.groups_to_notify) or
                self.reported_ends.has_unstored_ends())

    def apply(self, worker: _workers.WorkerState, ended_run: ports.EndedRun,
              now: float) -> _superseded_runs.LateEnd | None:
        """Applies an end that a worker lists for the first time.

        Returns:
            What is to be logged if the run is done, else None.
        """
        job = self._jobs.get(ended_run.task.job_id)
        entry = self._find_entry(ended_run)
        rule = _superseded_runs.find_rule(ended_run, self._group, job, entry)
        self.apply_to_withheld(worker, ended_run, rule.is_superseded)
        late_end = None
        is_kept = False
        if job is None and ended_run.cause in _RESULT_CAUSES:
            is_kept = self.reported_ends.add(ended_run)
        if rule is _superseded_runs.EndRule.UNKNOWN_JOB:
            self._hold(worker, ended_run, now)
        elif is_kept or (job is not None and ended_run.cause in _RESULT_CAUSES):
            self._note_groups(entry, ended_run)
        if ended_run.cause is ports.EndCause.DONE:
            late_end = _superseded_runs.describe_late_end(
                worker.worker_id, ended_run, job, rule, is_kept)
        if job is not None:
            if ended_run.cause is ports.EndCause.DONE:
                job.mark_task_done(ended_run.task)
            elif ended_run.cause is ports.EndCause.FAILED:
                job.count_failure(ended_run.task, ended_run.run)
            job.last_run_number = max(job.last_run_number, ended_run.run)
            self._crashes.apply_unknown_end(job, ended_run)
        return late_end

    def apply_to_withheld(self, worker: _workers.WorkerState,
                          ended_run: ports.EndedRun,
                          is_superseded: bool) -> None:
        """Applies an end to those that are withheld from a worker.

        See `WithheldEnds.apply_end`.
        """
        cause = worker.withheld_ends.apply_end(ended_run, is_superseded)
        if cause is not None:
            self.released_ends.append(
                ReleasedEnd(worker.worker_id, ended_run.number, cause))

    def settle_held_ends(self, now: float) -> None:
        """Decides on the ends of jobs that were unknown when they were listed.

        An end is forgotten and released if the topic as it was read after that
        does not show the job, so that its records have been removed, or after
        `UNKNOWN_JOB_WAIT`.

        Args:
            now: Present monotonic time in seconds.
        """
        if not self._held_ends:
            return
        view_time = self.get_view_time()
        held_ends, self._held_ends = self._held_ends, []
        forgotten_jobs = set()
        for held_end in held_ends:
            ended_run = held_end.ended_run
            entry = self._find_entry(ended_run)
            if entry is not None:
                rule = _superseded_runs.find_rule(
                    ended_run, self._group,
                    self._jobs.get(ended_run.task.job_id), entry)
                if rule.is_superseded:
                    held_end.withheld_ends.withhold(ended_run.number)
                self._note_groups(entry, ended_run)
                self._settled_ends.append(held_end)
            elif ((view_time is not None and view_time > held_end.listed_at) or
                  now - held_end.listed_at >= UNKNOWN_JOB_WAIT.total_seconds()):
                self._give_up(held_end, _withheld_ends.ReleaseCause.NO_JOB)
                forgotten_jobs.add(ended_run.task.job_id)
            else:
                self._held_ends.append(held_end)
        for job_id in forgotten_jobs - {
                held_end.ended_run.task.job_id for held_end in self._held_ends
        }:
            self.reported_ends.forget(job_id)

    def forget_job(self, job: _runs.JobRun) -> None:
        """Keeps the run limits and ends of a job that the leader forgets."""
        self.forgotten_limits.add(job, self._group, self._epoch,
                                  self._find_job_entry)
        if self.reported_ends.keep(job):
            self.groups_to_notify |= set(job.entry.groups) - {self._group}

    def take_records(self) -> list:
        """Returns records of all ends that the caller has to store."""
        records = self.reported_ends.take_records()
        self._taken_ends += self._settled_ends
        self._settled_ends = []
        self._taken_groups |= self.groups_to_notify
        self.groups_to_notify = set()
        return records

    def mark_stored(self) -> None:
        """Releases ends after all that was taken before has been stored."""
        for held_end in self._taken_ends:
            self._release(held_end)
        self._taken_ends = []
        groups, self._taken_groups = self._taken_groups, set()
        if groups:
            self.on_ends_stored(groups)

    def _find_entry(self, ended_run: ports.EndedRun) -> _table.JobEntry | None:
        job = self._jobs.get(ended_run.task.job_id)
        return job.entry if job else self.forgotten_limits.complete(
            self._find_job_entry(ended_run.task.job_id))

    def _note_groups(self, entry: _table.JobEntry | None,
                     ended_run: ports.EndedRun) -> None:
        if entry is not None:
            task = ended_run.task
            self.groups_to_notify |= {
                group for group in entry.groups if group != self._group and
                entry.has_task(group, task.step, task.index)
            }

    def _hold(self, worker: _workers.WorkerState, ended_run: ports.EndedRun,
              now: float) -> None:
        if len(self._held_ends) >= MAX_HELD_ENDS:
            self._give_up(self._held_ends.pop(0),
                          _withheld_ends.ReleaseCause.TOO_MANY)
        worker.withheld_ends.hold(ended_run.number)
        self._held_ends.append(
            _HeldEnd(worker.worker_id, ended_run, worker.withheld_ends, now))

    def _give_up(self, held_end: _HeldEnd,
                 cause: _withheld_ends.ReleaseCause) -> None:
        self._release(held_end)
        self.released_ends.append(
            ReleasedEnd(held_end.worker_id, held_end.ended_run.number, cause))

    def _release(self, held_end: _HeldEnd) -> None:
        held_end.withheld_ends.release(held_end.ended_run.number)
