"""Crashes of workers under a task, and when the task is given up for them.

A task that crashes its worker at each start would crash one worker after
another. The crashes are counted for each task, and a task with too much
evidence against it is not started again.
"""

from typing import Iterable, NamedTuple

LONE_CRASH_EVIDENCE = 2
SHARED_CRASH_EVIDENCE = 1

GIVE_UP_EVIDENCE = 5
"""Evidence from which a task is given up.

Three lone crashes reach it, and five crashes of any kind. Two losses of power,
whether they stop one worker or many, do not."""

SUSPECT_EVIDENCE = 2
"""Evidence from which a task starts only alone: one lone crash, or two shared
ones. After a single shared crash the cause is likely a common one, such as a
loss of power, and most of the tasks that were lost did not cause it."""

GIVEN_UP_CODE = "TASK_GIVEN_UP"
"""Error code at the start of the detail of a job that failed for this."""


class WorkerCrash(NamedTuple):
    """Loss of a worker soon after a run of a task had started there.

    Attributes:
        worker: Name of the worker.
        is_lone: Whether no other worker was lost at about the same time.
    """

    worker: str
    is_lone: bool


TaskCrashes = dict[int, tuple[WorkerCrash, ...]]
"""Crashes under each task of a job, oldest first, by index of the task. Tasks
without crashes are missing."""


def compute_crash_evidence(crashes: Iterable[WorkerCrash]) -> int:
    """Returns how strongly crashes suggest that their task causes them."""
    return sum(LONE_CRASH_EVIDENCE if crash.is_lone else SHARED_CRASH_EVIDENCE
               for crash in crashes)


def is_suspect(crashes: Iterable[WorkerCrash]) -> bool:
    """Returns whether a task with these crashes may start only alone."""
    return compute_crash_evidence(crashes) >= SUSPECT_EVIDENCE


def is_given_up(crashes: Iterable[WorkerCrash]) -> bool:
    """Returns whether a task with these crashes must not start again."""
    return compute_crash_evidence(crashes) >= GIVE_UP_EVIDENCE


def explain_given_up_tasks(crashes_by_task: TaskCrashes) -> str:
    """Returns the error code and the reason of a job with given-up tasks.

    It is empty if no task of the job is given up.
    """
    for task, crashes in sorted(crashes_by_task.items()):
        if is_given_up(crashes):
            workers = ", ".join(crash.worker for crash in crashes)
            return (f"{GIVEN_UP_CODE}: {len(crashes)} workers were lost soon "
                    f"after the start of task {task}: {workers}")
    return ""
