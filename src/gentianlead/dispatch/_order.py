"""Order in which waiting steps get workers."""

import enum
from typing import NamedTuple

from gentianlead.dispatch import _runs

LATE_FACTOR = 3
"""Multiple of its objective up to which a late end still counts for the caller;
the users' rule on credit."""

Row = tuple[_runs.JobRun, _runs.StepRun]


class _Class(enum.IntEnum):
    """Classes of steps; the lowest is served first.

    A job that cannot meet its objective any more waits for those that can:
    served by deadline alone, an overloaded group starts each job just too
    late and meets no objective at all.
    """

    LASTING = 0
    SHORT = 1
    LATE_SHORT = 2
    BEGUN = 3
    FRESH = 4
    LATE = 5
    HOPELESS = 6


class _Rank(NamedTuple):
    """Sort key of a step.

    Attributes:
        service_class: Class.
        order: Deadline, or the negated one where the newest comes first.
        job_id: Identifier of the job, for a stable order.
        key: Occurrence and index of the step.
    """

    service_class: _Class
    order: int
    job_id: str
    key: tuple[int, int]


def sort_steps(rows: list[Row], now_ms: int) -> list[Row]:
    """Returns steps with waiting tasks, the most urgent first.

    Among jobs of fillers that can still meet their objective, those that have
    begun come first, by deadline. While some are late, the newest of the others
    follow: each of them has its whole slack left, so that those that get
    workers meet their objective. Otherwise the earliest deadline goes first.
    """
    classes = [_classify(job, step_run, now_ms) for job, step_run in rows]
    is_overloaded = any(item >= _Class.LATE for item in classes)
    ranked = []
    for item, (job, step_run) in zip(classes, rows):
        deadline_ms = job.compute_deadline_ms(step_run.key[0])
        order = (-deadline_ms
                 if item is _Class.FRESH and is_overloaded else deadline_ms)
        ranked.append((_Rank(item, order, job.job.job_id,
                             step_run.key), job, step_run))
    ranked.sort(key=lambda row: row[0])
    return [(job, step_run) for _, job, step_run in ranked]


def _classify(job: _runs.JobRun, step_run: _runs.StepRun,
              now_ms: int) -> _Class:
    step = step_run.step
    if step.is_long_running:
        return _Class.LASTING
    occurrence = step_run.key[0]
    deadline_ms = job.compute_deadline_ms(occurrence)
    if not step.is_best_effort:
        return _Class.LATE_SHORT if deadline_ms < now_ms else _Class.SHORT
    end_ms = now_ms + job.compute_left_ms(occurrence)
    if end_ms <= deadline_ms:
        return _Class.BEGUN if job.has_begun(occurrence) else _Class.FRESH
    begin_ms = job.compute_begin_ms(occurrence)
    if end_ms <= begin_ms + LATE_FACTOR * (deadline_ms - begin_ms):
        return _Class.LATE
    return _Class.HOPELESS
