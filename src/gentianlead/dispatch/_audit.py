"""Audit of a group: compares the leader's state with topic and workers."""

import datetime
import enum
from typing import Any, Callable, Iterator, Mapping, NamedTuple

from gentianlead.dispatch import _admission
from gentianlead.dispatch import _long_waits
from gentianlead.dispatch import _runs
from gentianlead.dispatch import _succession
from gentianlead.dispatch import _table
from gentianlead.dispatch import _task_runs

TOPIC_LIMIT = datetime.timedelta(seconds=3)
"""Time for which jobs and tasks may differ from the topic. The leader applies a
changed job as soon as it is read, except a job that a notice brought first."""

RUN_LIMIT = datetime.timedelta(seconds=6)
"""Time for which a run may have no certain state at a worker that replies: two
start orders of 0.8 s, and a stop order that is repeated after a pause of up to
1 s, each with a status call of 1.7 s."""

ORDER_LIMIT = datetime.timedelta(seconds=3)
"""Time for which an order may await its reply: more than three times the
timeout of an order."""

STORE_LIMIT = datetime.timedelta(seconds=5)
"""Time for which a move or a claimed start may be unstored while the topic can
be read: the longest append call."""

LONG_WAIT_LIMIT = datetime.timedelta(seconds=6)
"""Time for which a long-running task may wait in a group."""


class DifferenceKind(enum.Enum):
    """What differs, or has not changed for too long.

    Attributes:
        JOB_NOT_HELD: The topic assigns tasks of a job to the group, and the
            leader lacks the job.
        JOB_NOT_ASSIGNED: The leader holds a job without runs of which the topic
            assigns nothing to the group.
        ENTRY_OUTDATED: The leader has an older state of a job than the topic.
        TASK_NOT_TRACKED: A task of the group is neither waiting, nor running,
            nor done.
        TASK_NOT_ASSIGNED: A task waits that the topic assigns elsewhere.
        RUN_NOT_AT_WORKER: The leader counts a run for its task, but not on its
            worker, or the worker is not known.
        RUN_NOT_LISTED: The newest status report does not list a run that the
            worker had confirmed.
        RUN_UNSETTLED: A run is neither confirmed nor ended although its worker
            replies.
        ORDER_PENDING: An order for a run still awaits its reply.
        MOVE_PENDING: The topic does not show a move of the group.
        CLAIM_NOT_STORED: The next start of a suspect is not stored.
        TASKS_STUCK: Long-running tasks of a step wait.
    """

    JOB_NOT_HELD = "job-not-held"
    JOB_NOT_ASSIGNED = "job-not-assigned"
    ENTRY_OUTDATED = "entry-outdated"
    TASK_NOT_TRACKED = "task-not-tracked"
    TASK_NOT_ASSIGNED = "task-not-assigned"
    RUN_NOT_AT_WORKER = "run-not-at-worker"
    RUN_NOT_LISTED = "run-not-listed"
    RUN_UNSETTLED = "run-unsettled"
    ORDER_PENDING = "order-pending"
    MOVE_PENDING = "move-pending"
    CLAIM_NOT_STORED = "claim-not-stored"
    TASKS_STUCK = "tasks-stuck"


class TopicView(NamedTuple):
    """What a daemon has read from the job topic.

    Attributes:
        jobs: State of each job, by identifier.
        fresh_as_of: Monotonic time in seconds at which the last read that
            reached the end of the topic was sent; None before the first.
    """

    jobs: Mapping[str, _table.JobEntry]
    fresh_as_of: float | None


class Difference(NamedTuple):
    """A difference that has lasted for longer than its limit.

    Attributes:
        kind: What differs.
        job_id: Identifier of the job.
        task: Number of the repetition, index of the step, and index of the task
            if the difference is about one task; empty for a whole job.
        age_s: Time in seconds since an audit first found the difference.
        is_new: Whether it was not returned before.
        topic: What the topic shows of the job; empty if it lacks the job.
        held: What the leader holds; for runs also what the worker reported.
    """

    kind: DifferenceKind
    job_id: str
    task: tuple[int, ...]
    age_s: float
    is_new: bool
    topic: dict[str, Any]
    held: dict[str, Any]


class _Candidate(NamedTuple):
    """A difference that one audit found.

    Attributes:
        kind: What differs.
        job_id: Identifier of the job.
        task: See `Difference.task`.
        detail: Tells differences of one task apart, such as two runs.
        limit: Time for which it may last.
        needs_topic: Whether it counts only while the topic is read.
        describe: Returns `Difference.held`.
    """

    kind: DifferenceKind
    job_id: str
    task: tuple[int, ...]
    detail: object
    limit: datetime.timedelta
    needs_topic: bool
    describe: Callable[[], dict[str, Any]]


class _Tracked:
    """A difference that the last audit found.

    Attributes:
        since: Monotonic time in seconds at which it was first found.
        next_age_s: Age in seconds from which it is returned.
        was_returned: Whether it was returned before.
    """

    __slots__ = ("since", "next_age_s", "was_returned")

    def __init__(self, since: float, next_age_s: float):
        self.since = since
        self.next_age_s = next_age_s
        self.was_returned = False


class GroupAuditor:
    """Finds differences that last, and returns each at doubled intervals.

    It keeps only what the last audit found. A difference that one audit does
    not find begins anew.
    """

    def __init__(self) -> None:
        self._tracked: dict[tuple, _Tracked] = {}

    def audit(self, state: _succession.StoredGroupState, topic: TopicView,
              reports: dict[str, _admission.GroupReport], now: float,
              now_ms: int) -> list[Difference]:
        """Returns the differences that are due now, the oldest first.

        Long waits come last, as many tasks may wait for one cause.

        Args:
            state: State of the group.
            topic: What was read from the topic.
            reports: Newest load reports by group.
            now: Present monotonic time in seconds.
            now_ms: Time of day in milliseconds since 1970.
        """
        _drop_old_refusals(state)
        tracked_before, self._tracked = self._tracked, {}
        differences = []
        for candidate in _find_candidates(state, topic, reports, now, now_ms):
            key = candidate[:4]
            tracked = tracked_before.get(key)
            if tracked is None:
                tracked = _Tracked(now, candidate.limit.total_seconds())
            self._tracked[key] = tracked
            counted_until = now
            if candidate.needs_topic:
                counted_until = topic.fresh_as_of or tracked.since
            if counted_until - tracked.since < tracked.next_age_s:
                continue
            age_s = now - tracked.since
            differences.append(
                Difference(
                    candidate.kind, candidate.job_id, candidate.task, age_s,
                    not tracked.was_returned,
                    _describe_topic(topic, candidate.job_id, state.group, now),
                    candidate.describe()))
            tracked.was_returned = True
            tracked.next_age_s = 2 * age_s
        differences.sort(key=lambda difference: (
            difference.kind is DifferenceKind.TASKS_STUCK, -difference.age_s))
        return differences

    def compute_longest_s(self, now: float) -> dict[DifferenceKind, float]:
        """Returns the age in seconds of the oldest difference of each kind.

        Only differences that lasted for longer than their limit count.
        """
        longest_s: dict[DifferenceKind, float] = {}
        for (kind, *_), tracked in self._tracked.items():
            if tracked.was_returned:
                longest_s[kind] = max(longest_s.get(kind, 0.0),
                                      now - tracked.since)
        return longest_s


def _drop_old_refusals(state: _succession.StoredGroupState) -> None:
    for task in [
            task for task in state.refused_starts
            if task.job_id not in state.jobs
    ]:
        del state.refused_starts[task]


def _find_candidates(state: _succession.StoredGroupState, topic: TopicView,
                     reports: dict[str, _admission.GroupReport], now: float,
                     now_ms: int) -> Iterator[_Candidate]:
    for entry in topic.jobs.values():
        job_id = entry.job.job_id
        if (state.group in entry.assignment_offsets and
                job_id not in state.jobs and not entry.state.is_final):
            yield _Candidate(
                DifferenceKind.JOB_NOT_HELD,
                job_id, (),
                None,
                TOPIC_LIMIT,
                True,
                lambda job_id=job_id: _describe_departure(state, job_id))
    for job in state.jobs.values():
        if not job.has_ended:
            yield from _compare_with_topic(job, topic.jobs.get(job.job.job_id))
            yield from _find_unstored(job)
            yield from _find_long_waits(state, job, reports, now, now_ms)
    yield from _compare_with_workers(state, now)


def _describe_departure(state: _succession.StoredGroupState,
                        job_id: str) -> dict[str, Any]:
    # An assignment at this offset or a lower one does not add the job again.
    return {"departed_offset": state.get_departed_offset(job_id)}


def _describe_topic(topic: TopicView, job_id: str, group: str,
                    now: float) -> dict[str, Any]:
    entry = topic.jobs.get(job_id)
    if entry is None:
        return {}
    progress = entry.progress_by_group.get(group)
    return {
        "state":
            entry.state.value,
        "groups":
            entry.groups,
        "assignment_offset":
            entry.assignment_offsets.get(group),
        "last_moves":
            dict(entry.last_move_numbers),
        "last_run":
            entry.last_run_number,
        "progress_epoch":
            progress.epoch if progress is not None else None,
        "read_ago_s":
            None if topic.fresh_as_of is None else round(
                now - topic.fresh_as_of, 2)
    }


def _describe_job(job: _runs.JobRun) -> dict[str, Any]:
    return {
        "state": job.state.value,
        "groups": job.entry.groups,
        "assignment_offset": job.entry.assignment_offsets.get(job.group),
        "last_moves": dict(job.entry.last_move_numbers),
        "last_run": job.last_run_number,
        "pending_move": job.pending_move_number,
        "is_reconciled": job.is_reconciled
    }


def _describe_step(job: _runs.JobRun,
                   step_run: _runs.StepRun) -> dict[str, Any]:
    return {
        **_describe_job(job), "waiting": sorted(step_run.waiting_indexes),
        "running": {
            index: run.number for index, run in step_run.active_runs.items()
        },
        "done": len(step_run.done_indexes)
    }


def _compare_with_topic(job: _runs.JobRun,
                        entry: _table.JobEntry | None) -> Iterator[_Candidate]:
    job_id = job.job.job_id

    def build(kind: DifferenceKind, task: tuple[int, ...],
              describe: Callable[[], dict[str, Any]]) -> _Candidate:
        return _Candidate(kind, job_id, task, None, TOPIC_LIMIT, True, describe)

    if entry is None or job.group not in entry.assignment_offsets:
        if not job.list_active_runs():
            yield build(DifferenceKind.JOB_NOT_ASSIGNED, (),
                        lambda: _describe_job(job))
        return
    if _is_outdated(job, entry):
        yield build(DifferenceKind.ENTRY_OUTDATED, (),
                    lambda: _describe_job(job))
        return
    is_whole = len(entry.assignment) == 1
    for step_run in job.steps.values():
        waiting = step_run.waiting_indexes
        done = step_run.done_indexes
        active = step_run.active_runs
        if (is_whole and len(waiting) + len(done) + len(active)
                == step_run.step.count and waiting.isdisjoint(active) and
                done.isdisjoint(active) and waiting.isdisjoint(done)):
            continue
        for index in range(step_run.step.count):
            is_assigned = is_whole or entry.has_task(job.group, step_run.key[1],
                                                     index)
            if is_assigned == (index in waiting):
                continue
            if not is_assigned:
                kind = DifferenceKind.TASK_NOT_ASSIGNED
            elif index not in done and index not in active:
                kind = DifferenceKind.TASK_NOT_TRACKED
            else:
                continue
            yield build(kind, (*step_run.key, index),
                        lambda step_run=step_run: _describe_step(job, step_run))


def _is_outdated(job: _runs.JobRun, entry: _table.JobEntry) -> bool:
    known = job.entry
    if (known.assignment is entry.assignment and
            known.assignment_offsets is entry.assignment_offsets and
            known.last_move_numbers is entry.last_move_numbers and
            known.progress_by_group is entry.progress_by_group):
        return False
    return (known.assignment != entry.assignment or
            known.assignment_offsets != entry.assignment_offsets or
            known.last_move_numbers != entry.last_move_numbers or
            entry.state.is_final)


def _find_unstored(job: _runs.JobRun) -> Iterator[_Candidate]:
    job_id = job.job.job_id
    if job.pending_move_number is not None:
        yield _Candidate(DifferenceKind.MOVE_PENDING, job_id, (),
                         job.pending_move_number, STORE_LIMIT, True,
                         lambda: _describe_job(job))
    for step_run in job.steps.values():
        for index, suspicion in step_run.suspicions.items():
            if suspicion.claimed_run and not suspicion.is_claim_stored:
                yield _Candidate(
                    DifferenceKind.CLAIM_NOT_STORED,
                    job_id, (*step_run.key, index),
                    suspicion.claimed_run,
                    STORE_LIMIT,
                    True,
                    lambda suspicion=suspicion: {
                        "claimed_run": suspicion.claimed_run,
                        "crashes": {
                            run: evidence.name.lower()
                            for run, evidence in suspicion.crashes.items()
                        },
                        "proven_run": suspicion.proven_run,
                        "is_dirty": job.is_dirty
                    })


def _find_long_waits(state: _succession.StoredGroupState, job: _runs.JobRun,
                     reports: dict[str, _admission.GroupReport], now: float,
                     now_ms: int) -> Iterator[_Candidate]:
    for step_run in job.steps.values():
        if (step_run.step.is_long_running and step_run.waiting_indexes and
                job.is_step_due(step_run, now_ms)):
            yield _Candidate(DifferenceKind.TASKS_STUCK,
                             job.job.job_id,
                             step_run.key,
                             None,
                             LONG_WAIT_LIMIT,
                             False,
                             lambda step_run=step_run: {
                                 **_describe_step(job, step_run),
                                 **_long_waits.explain_long_wait(
                                     state, job, step_run, reports, now)
                             })


def _compare_with_workers(state: _succession.StoredGroupState,
                          now: float) -> Iterator[_Candidate]:
    held_runs = {
        run for worker in state.workers.values()
        for run in worker.runs.values()
    }
    for job in state.jobs.values():
        for step_run in job.steps.values():
            for run in step_run.active_runs.values():
                worker = state.workers.get(run.worker_id)
                if (run.phase is _task_runs.RunPhase.RUNNING and
                        not run.has_pending_order and worker is not None and
                        not worker.unlisted_runs and run in held_runs):
                    continue
                for kind, detail, limit in _check_run(state, run, run
                                                      in held_runs):
                    yield _Candidate(
                        kind,
                        job.job.job_id, (*step_run.key, run.task.index),
                        (run.number, detail),
                        limit,
                        False,
                        lambda run=run: _describe_run(state, run, now))


def _check_run(
    state: _succession.StoredGroupState, run: _task_runs.Run, is_held: bool
) -> Iterator[tuple[DifferenceKind, object, datetime.timedelta]]:
    """Yields what is wrong with a run, with a detail and the limit."""
    worker = state.workers.get(run.worker_id)
    if worker is None or not is_held:
        yield DifferenceKind.RUN_NOT_AT_WORKER, None, RUN_LIMIT
        return
    if run.has_pending_order:
        # Orders in a row, each of which fails, have different counts.
        order_counts = (run.start_attempts, run.stop_retry.failure_count,
                        run.throttle_retry.failure_count, run.throttle_percent)
        yield DifferenceKind.ORDER_PENDING, order_counts, ORDER_LIMIT
    if not worker.is_reachable:
        return
    if run.phase is not _task_runs.RunPhase.RUNNING:
        stop_time = (2 * state.timings.stop_limit if run.phase
                     is _task_runs.RunPhase.STOPPING else datetime.timedelta())
        yield DifferenceKind.RUN_UNSETTLED, run.phase, RUN_LIMIT + stop_time
    elif (run.task, run.number) in worker.unlisted_runs:
        yield DifferenceKind.RUN_NOT_LISTED, None, RUN_LIMIT


def _describe_run(state: _succession.StoredGroupState, run: _task_runs.Run,
                  now: float) -> dict[str, Any]:
    worker = state.workers.get(run.worker_id)
    description: dict[str, Any] = {
        "run":
            run.number,
        "worker":
            run.worker_id,
        "phase":
            run.phase.value,
        "started_ago_s":
            round(now - run.start_sent_at, 2),
        "confirmed_ago_s":
            None if run.confirmed_at is None else round(now -
                                                        run.confirmed_at, 2),
        "start_attempts":
            run.start_attempts,
        "has_pending_order":
            run.has_pending_order,
        "is_worker_known":
            worker is not None
    }
    if worker is not None:
        run_key = (run.task, run.number)
        description |= {
            "is_run_at_worker":
                worker.runs.get(run_key) is run,
            "is_listed": (run_key not in worker.unlisted_runs and
                          worker.last_status_at is not None),
            "is_reachable":
                worker.is_reachable,
            "status_age_s":
                None if worker.last_status_at is None else round(
                    now - worker.last_status_at, 2)
        }
    return description
