"""Attribution of lost workers to the runs that may have crashed them.

A run that was lost with its worker before a status report showed that it had
been running for `PROOF_DELAY` makes its task a suspect. The next start of a
suspect is a probation (`_probation`), which clears the task or confirms the
suspicion.
"""

import datetime
import enum
from typing import Iterable, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _loss_reports
from gentianlead.dispatch import _records
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers

PROOF_DELAY = datetime.timedelta(milliseconds=500)
"""A run that a status report lists this long after its start was confirmed, or
later, does not crash its worker. A task that does so crashes it within
milliseconds; the rest covers the delay of the report."""

MAX_STRONG_CRASH_DELAY = datetime.timedelta(milliseconds=100)
"""A loss is strong evidence only if it may have followed the start order within
this time: most tasks that crash their workers do so as they start. A loss of
power that hits one worker of each group rarely comes as soon."""

COMMON_CAUSE_WINDOW = datetime.timedelta(milliseconds=300)
"""Losses of several workers within this time may have a common cause, such as a
loss of power. It closes their connections within milliseconds of each other,
but a busy leader may notice that later."""

SHARED_LOSSES = 2
"""Number of other losses at about the same time that show a common cause."""

LOSS_REPORT_DELAY = datetime.timedelta(seconds=1)
"""Time after a loss until the losses of the other groups at that moment are
known: three intervals of the leaders' reports. Until then, no loss is strong
evidence."""


class CrashEventType(enum.Enum):
    """Kind of a `CrashEvent`; the value is the name of its log line."""

    COUNTED = "crash-counted"
    CONFIRMED = "crash-confirmed"
    PROBATION_BEGUN = "probation-begun"
    PROBATION_ENDED = "probation-ended"
    GIVEN_UP = "task-given-up"


class CrashEvent(NamedTuple):
    """Decision on a task that may crash its workers, for the log.

    Attributes:
        type: What was decided.
        task: The task; for a gang the one with index 0.
        run: Number of the run that decided.
        worker_id: Worker of the run, or empty.
        detail: Evidence of a crash, or the result of a probation.
        crashes: Number of crashes that count against the task.
    """

    type: CrashEventType
    task: model.TaskKey
    run: int
    worker_id: str
    detail: str
    crashes: int


class WorkerLoss(NamedTuple):
    """Loss of a worker, as seen when its first call failed.

    Times are monotonic and in seconds.

    Attributes:
        worker_id: The worker.
        born_ms: Start time of its instance in milliseconds since 1970.
        lost_since: Earliest time of the loss.
        lost_at: Latest time of the loss, at which the call failed.
        is_leaving: Whether the worker had announced that it leaves.
        suspects: Tasks with a run that may have caused the loss; a gang stands
            as its first task.
        last_start_at: Time of the newest start order of these runs, without
            those that a former leader ordered; 0 without any. A former leader
            may have ordered its runs long before.
    """

    worker_id: str
    born_ms: int
    lost_since: float
    lost_at: float
    is_leaving: bool
    suspects: frozenset[model.TaskKey]
    last_start_at: float


class _UnconfirmedCrash(NamedTuple):
    """Crash that becomes strong evidence unless another group reports a loss.

    Attributes:
        loss: Loss of the worker.
        run: Run that may have caused it.
        confirmed_at: Monotonic time in seconds at which the reports of the
            other groups should have arrived.
    """

    loss: WorkerLoss
    run: _task_runs.Run
    confirmed_at: float


def get_blamed_task(run: _task_runs.Run) -> model.TaskKey:
    """Returns the task that is blamed for a crash under a run.

    All members of a gang share their run number, and are blamed as one.
    """
    return run.task._replace(index=0) if run.step.is_gang else run.task


class CrashTracker:
    """Counts crashes of workers against the tasks that may have caused them.

    Attributes:
        events: Decisions since the caller last emptied this list.
        reported_losses: Losses that the leaders of all groups have reported.
    """

    def __init__(self, group: str, jobs: dict[str, _runs.JobRun]):
        self.events: list[CrashEvent] = []
        self.reported_losses = _loss_reports.ReportedLosses()
        self._group = group
        self._jobs = jobs
        self._losses: list[WorkerLoss] = []
        # By blamed task and number of the run.
        self._unconfirmed_crashes: dict[tuple[model.TaskKey, int],
                                        _UnconfirmedCrash] = {}
        self._unseen_loss_services: set[str] = set()
        self._uncertain_tasks: set[model.TaskKey] = set()

    def record_loss(self, worker: _workers.WorkerState, lost_since: float,
                    now: float) -> WorkerLoss:
        """Records that a worker was lost, unless that is known.

        Its unproven runs count as crashes without evidence until more is known,
        so that the count outlives this leader. The notice that a worker leaves
        may be read only after its loss.

        Args:
            worker: The worker.
            lost_since: Earliest monotonic time of the loss in seconds.
            now: Present monotonic time in seconds.
        """
        for number, loss in enumerate(self._losses):
            if (loss.worker_id, loss.born_ms) == (worker.worker_id,
                                                  worker.born_ms):
                if (worker.entry.is_draining and
                        worker.entry.born_ms in (0, worker.born_ms)):
                    self._losses[number] = loss._replace(is_leaving=True)
                return self._losses[number]
        unproven_runs = [
            run for run in worker.runs.values() if not run.is_proven
        ]
        loss = WorkerLoss(
            worker.worker_id, worker.born_ms, lost_since, now,
            worker.entry.is_draining,
            frozenset(map(get_blamed_task, unproven_runs)),
            max((run.start_sent_at
                 for run in unproven_runs
                 if not run.is_adopted),
                default=0.0))
        self._losses = [
            *(old_loss for old_loss in self._losses if now -
              old_loss.lost_at <= _loss_reports.LOSS_RETENTION.total_seconds()),
            loss
        ]
        for run in () if loss.is_leaving else unproven_runs:
            job = self._jobs.get(run.task.job_id)
            if job is not None and not job.has_ended:
                suspicion = job.get_suspicion(get_blamed_task(run))
                if suspicion.add_unresolved(run.number):
                    job.is_dirty = True
        return loss

    def withdraw_loss(self, worker: _workers.WorkerState) -> None:
        """Forgets the loss of a worker of which the same instance replied."""
        self._losses = [
            loss for loss in self._losses
            if (loss.worker_id, loss.born_ms) != (worker.worker_id,
                                                  worker.born_ms)
        ]

    def build_loss_reports(self,
                           now: float) -> tuple[_loss_reports.LossReport, ...]:
        """Returns the recent losses for the report to the other groups."""
        oldest_at = now - _loss_reports.REPORTED_LOSS_AGE.total_seconds()
        recent_losses = [
            loss for loss in self._losses
            if not loss.is_leaving and loss.lost_at >= oldest_at
        ]
        return tuple(
            _loss_reports.build_loss_report(loss.worker_id, loss.born_ms,
                                            loss.lost_since, loss.lost_at, now)
            for loss in recent_losses[-_loss_reports.MAX_REPORTED_LOSSES:])

    def assess_loss(self, worker: _workers.WorkerState, is_replaced: bool,
                    now: float) -> _suspicions.CrashEvidence | None:
        """Returns the evidence that a lost worker gives against its suspects.

        Args:
            worker: The worker, whose runs have not been ended yet.
            is_replaced: Whether another instance has replaced the worker;
                otherwise it may only be cut off.
            now: Present monotonic time in seconds.

        Returns:
            The evidence; None if the worker has left as announced.
        """
        last_status_at = worker.last_status_at
        loss = self.record_loss(
            worker, now if last_status_at is None else last_status_at, now)
        if loss.is_leaving:
            return None
        nearby_count = self._count_nearby_losses(loss)
        if nearby_count >= SHARED_LOSSES:
            return _suspicions.CrashEvidence.SHARED
        if not is_replaced:
            return _suspicions.CrashEvidence.UNRESOLVED
        crash_delay_s = loss.lost_since - loss.last_start_at
        if (nearby_count or len(loss.suspects) != 1 or
                crash_delay_s > MAX_STRONG_CRASH_DELAY.total_seconds() or
                self._is_loss_reported_nearby(loss)):
            return _suspicions.CrashEvidence.WEAK
        confirmed_at = loss.lost_at + LOSS_REPORT_DELAY.total_seconds()
        if now >= confirmed_at:
            return _suspicions.CrashEvidence.STRONG
        for run in worker.runs.values():
            if not run.is_proven:
                self._unconfirmed_crashes[get_blamed_task(run),
                                          run.number] = _UnconfirmedCrash(
                                              loss, run, confirmed_at)
        return _suspicions.CrashEvidence.WEAK

    def _count_nearby_losses(self, loss: WorkerLoss) -> int:
        return sum(
            _may_have_common_cause(other_loss, loss)
            for other_loss in self._losses)

    def _is_loss_reported_nearby(self, loss: WorkerLoss) -> bool:
        window_s = COMMON_CAUSE_WINDOW.total_seconds()
        return self.reported_losses.has_loss_between(loss.lost_since - window_s,
                                                     loss.lost_at + window_s,
                                                     self._group)

    def confirm_crashes(self, now: float) -> None:
        """Makes crashes strong evidence that no other loss has explained.

        Fails the jobs of the tasks that have to be given up then.
        """
        for key, crash in list(self._unconfirmed_crashes.items()):
            if now < crash.confirmed_at:
                continue
            del self._unconfirmed_crashes[key]
            task, run_number = key
            job = self._jobs.get(task.job_id)
            suspicion = job.find_suspicion(task) if job is not None else None
            if (suspicion is None or job.has_ended or
                    self._count_nearby_losses(crash.loss) or
                    self._is_loss_reported_nearby(crash.loss) or
                    not suspicion.confirm_crash(run_number)):
                continue
            job.is_dirty = True
            self._add_event(CrashEventType.CONFIRMED, crash.run, "strong",
                            suspicion)
            self.give_up_if_due(job, task, crash.run)

    def record_unseen_loss(self, service: str) -> None:
        """Records that a worker was lost before it showed this leader its runs.

        A former leader may have started runs there that it did not store, and
        claimed ones. The latter count from now on, as the next record of
        workers does not list the worker any more.
        """
        self._unseen_loss_services.add(service)
        for job in self._jobs.values():
            if job.job.queue.service == service and not job.is_reconciled:
                self._resolve_claims(job, True)

    def resolve_claims(self, job: _runs.JobRun,
                       are_workers_known: bool) -> None:
        """Decides whether the claims of former leaders count as crashes.

        They do if a worker was lost unseen. Otherwise the runs were never
        ordered, or have ended on workers that are up. All runs of former
        leaders that still exist are known.

        Args:
            job: The job, which this leader has not started yet.
            are_workers_known: Whether this leader knows the instances of all
                workers on which claimed runs may have started.
        """
        is_crash_possible = (not are_workers_known or job.job.queue.service
                             in self._unseen_loss_services)
        self._resolve_claims(job, is_crash_possible)

    def _resolve_claims(self, job: _runs.JobRun,
                        is_crash_possible: bool) -> None:
        for step_run in job.steps.values():
            active_runs = {run.number for run in step_run.active_runs.values()}
            for index, suspicion in step_run.suspicions.items():
                if not job.entry.has_task(job.group, step_run.key[1], index):
                    continue
                for run_number in suspicion.list_claimed_runs():
                    if run_number in active_runs:
                        continue
                    if is_crash_possible:
                        suspicion.add_unresolved(run_number)
                    else:
                        suspicion.remove_unresolved(run_number)
                    job.is_dirty = True

    def mark_uncertain_tasks(self, job: _runs.JobRun) -> None:
        """Marks the tasks of a job that may have crashed an unseen worker.

        All runs of former leaders that still exist are known.
        """
        if job.has_ended or (job.job.queue.service
                             not in self._unseen_loss_services):
            return
        for step_run in job.steps.values():
            if job.is_step_ready(step_run):
                # A gang is blamed as its first task, which may be running.
                self._uncertain_tasks.update(
                    model.TaskKey(job.job.job_id, *step_run.key,
                                  0 if step_run.step.is_gang else index)
                    for index in step_run.waiting_indexes)

    def needs_stored_start(self, job: _runs.JobRun,
                           task: model.TaskKey) -> bool:
        """Returns whether the next start of a task must be stored ahead."""
        suspicion = job.find_suspicion(task)
        return (task in self._uncertain_tasks or
                (suspicion is not None and suspicion.is_active))

    def mark_started(self, run: _task_runs.Run) -> None:
        """Marks that the start of a run is stored if it had to be."""
        self._uncertain_tasks.discard(get_blamed_task(run))

    def adopt_run(self, job: _runs.JobRun, run: _task_runs.Run) -> None:
        """Marks a run that a former leader started, perhaps on probation."""
        run.is_adopted = True
        suspicion = job.find_suspicion(get_blamed_task(run))
        run.is_on_probation = (suspicion is not None and
                               run.number in suspicion.crashes)

    def prove_run(self, run: _task_runs.Run) -> None:
        """Marks a run that did not crash its worker, and clears its task.

        A gang is cleared once all its members are active and proven: one that
        is not may have crashed its worker.
        """
        run.is_proven = True
        job = self._jobs.get(run.task.job_id)
        suspicion = job.find_suspicion(
            get_blamed_task(run)) if job is not None else None
        if suspicion is None or run.number <= suspicion.proven_run:
            return
        if run.step.is_gang:
            sibling_runs = self._list_sibling_runs(job, run)
            if (len(sibling_runs) + 1 < run.step.count or
                    any(not other_run.is_proven for other_run in sibling_runs)):
                return
        if suspicion.is_active:
            job.is_dirty = True
            if run.is_on_probation:
                self._add_event(CrashEventType.PROBATION_ENDED, run, "survived",
                                suspicion)
        suspicion.clear(run.number)

    def apply_end(self, run: _task_runs.Run, cause: ports.EndCause,
                  evidence: _suspicions.CrashEvidence | None,
                  now: float) -> None:
        """Applies the end of a run, after `JobRun.apply_end`.

        Args:
            run: The run.
            cause: Why it ended.
            evidence: Evidence that it crashed its worker; None if the worker
                stayed up or has left as announced.
            now: Present monotonic time in seconds.
        """
        job = self._jobs.get(run.task.job_id)
        if job is None:
            return
        if evidence is None and cause is ports.EndCause.DONE:
            self.prove_run(run)
            return
        if run.is_proven:
            return
        task = get_blamed_task(run)
        if evidence is None:
            suspicion = job.find_suspicion(task)
            # This leader may not know all members of an adopted gang.
            if (suspicion is not None and
                    not (run.step.is_gang and run.is_adopted) and
                    not self._list_sibling_runs(job, run) and
                    suspicion.remove_unresolved(run.number)):
                job.is_dirty = True
            return
        if job.has_ended:
            return
        suspicion = job.get_suspicion(task)
        if run.number <= suspicion.proven_run:
            return
        suspicion.add_crash(run.number, evidence, now)
        unconfirmed_crash = self._unconfirmed_crashes.get((task, run.number))
        if unconfirmed_crash is not None:
            suspicion.delay_next_start(unconfirmed_crash.confirmed_at)
        job.is_dirty = True
        self._add_event(CrashEventType.COUNTED, run, evidence.name.lower(),
                        suspicion)
        if run.is_on_probation:
            self._add_event(CrashEventType.PROBATION_ENDED, run, "crashed",
                            suspicion)
        self.give_up_if_due(job, task, run)

    def apply_unknown_end(self, job: _runs.JobRun,
                          ended_run: ports.EndedRun) -> None:
        """Applies the end of a run that this leader did not track.

        Its worker is up, so the run did not crash it. Another member of a gang
        may have crashed its own worker.
        """
        step_run = job.get_step(ended_run.task)
        suspicion = job.find_suspicion(ended_run.task)
        if (suspicion is not None and not step_run.step.is_gang and
                suspicion.claimed_run != ended_run.run and
                suspicion.remove_unresolved(ended_run.run)):
            job.is_dirty = True

    def give_up_if_due(self,
                       job: _runs.JobRun,
                       task: model.TaskKey,
                       run: _task_runs.Run | None = None) -> bool:
        """Fails a job if the evidence against one of its tasks suffices.

        Returns:
            Whether the job fails.
        """
        suspicion = job.find_suspicion(task)
        if suspicion is None or not suspicion.should_give_up:
            return False
        job.set_state(model.JobState.FAILED)
        self.events.append(
            CrashEvent(CrashEventType.GIVEN_UP, task,
                       run.number if run is not None else 0,
                       run.worker_id if run is not None else "", "",
                       len(suspicion.crashes)))
        return True

    def add_probation(self, run: _task_runs.Run,
                      suspicion: _suspicions.Suspicion) -> None:
        """Marks a run as a probation."""
        run.is_on_probation = True
        self._add_event(CrashEventType.PROBATION_BEGUN, run, "", suspicion)

    def _add_event(self, event_type: CrashEventType, run: _task_runs.Run,
                   detail: str, suspicion: _suspicions.Suspicion) -> None:
        self.events.append(
            CrashEvent(event_type, get_blamed_task(run), run.number,
                       run.worker_id, detail, len(suspicion.crashes)))

    @staticmethod
    def _list_sibling_runs(job: _runs.JobRun,
                           run: _task_runs.Run) -> list[_task_runs.Run]:
        """Returns the other active runs of a gang with the same run number."""
        if not run.step.is_gang:
            return []
        return [
            other_run
            for other_run in job.get_step(run.task).active_runs.values()
            if other_run.number == run.number and other_run is not run
        ]


def _may_have_common_cause(other_loss: WorkerLoss, loss: WorkerLoss) -> bool:
    """Returns whether something else may have caused two losses at once.

    The members of a gang may all crash their workers.
    """
    window_s = COMMON_CAUSE_WINDOW.total_seconds()
    return (other_loss.worker_id != loss.worker_id and
            not other_loss.is_leaving and
            not loss.suspects & other_loss.suspects and
            other_loss.lost_since <= loss.lost_at + window_s and
            loss.lost_since <= other_loss.lost_at + window_s)


def mark_claims_stored(jobs: dict[str, _runs.JobRun],
                       records: Iterable[_records.Record]) -> bool:
    """Marks the claimed starts in progress records that the caller has stored.

    Returns:
        Whether there are any, so that starts can be planned.
    """
    has_claim = False
    for record in records:
        job = (jobs.get(record.job_id)
               if isinstance(record, _records.ProgressRecord) else None)
        if job is None:
            continue
        for task_progress in record.unfinished_tasks:
            step_run = job.steps[task_progress.occurrence, task_progress.step]
            has_claim |= _suspicions.mark_claims_stored(step_run.suspicions,
                                                        (task_progress,))
    return has_claim
