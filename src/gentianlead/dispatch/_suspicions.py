"""Crashes of workers that count against a task, in memory and in records."""

import datetime
import enum
from typing import Iterable

from gentianlead.dispatch import _records

MAX_COUNTED_CRASHES = 4
"""Crashes after which a task is given up on any evidence. A task that crashes
its workers may be started twice more after the third crash; the crash under its
first start may not have been counted, since that start is not stored ahead."""

CONFIRMED_CRASHES = 2
"""Crashes with weak or strong evidence after which a task is given up if the
evidence of the last one is strong. Others may be no crashes: a worker that is
cut off runs on."""

FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=250)
RETRY_DELAY_FACTOR = 4
MAX_RETRY_DELAY = datetime.timedelta(seconds=2)
"""A task waits `FIRST_RETRY_DELAY` after its first crash, and
`RETRY_DELAY_FACTOR` times as long after each further one."""


class CrashEvidence(enum.IntEnum):
    """How certain it is that a run crashed its worker.

    The values are stored in records.

    Attributes:
        CLAIMED: The start was stored ahead, and its leader saw no loss of a
            worker since; the order may not have been sent.
        UNRESOLVED: The worker is not reachable and may only be cut off; the
            outcome is not known.
        SHARED: Several other workers were lost at about the same time, so the
            cause is probably another one.
        WEAK: The worker restarted, but other runs or another loss may be the
            cause, or it was lost long after the start.
        STRONG: The worker restarted, it was lost alone right after the start,
            and no other task was started there shortly before.
    """

    CLAIMED = -1
    UNRESOLVED = 0
    SHARED = 1
    WEAK = 2
    STRONG = 3


class Suspicion:
    """Crashes that count against a task, or against a gang as a whole.

    Attributes:
        crashes: Evidence of each counted crash, by number of the run.
        proven_run: Highest number of a run under which the worker stayed up;
            crashes under lower numbers do not count any more.
        claimed_run: Number that is counted ahead for the next start; 0 without
            one.
        is_claim_stored: Whether the record with `claimed_run` is stored.
        retry_at: Monotonic time in seconds before which the task does not
            start.
    """

    __slots__ = ("crashes", "proven_run", "claimed_run", "is_claim_stored",
                 "retry_at")

    def __init__(self) -> None:
        self.crashes: dict[int, CrashEvidence] = {}
        self.proven_run = 0
        self.claimed_run = 0
        self.is_claim_stored = False
        self.retry_at = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the task may be one that crashes its workers."""
        return bool(self.crashes)

    @property
    def has_counted_crashes(self) -> bool:
        """Whether a former start counts as a crash."""
        return any(run != self.claimed_run for run in self.crashes)

    def needs_probation(self, is_long_running: bool) -> bool:
        """Returns whether the next start needs a worker that is kept for it.

        The first crash does not suffice for a long-running task unless the
        evidence is strong: all such tasks of a worker that is gone or has
        restarted would queue for the few workers that are kept, without a run
        beside free capacity. If they start together and crash again, they have
        to be told apart.
        """
        evidences = [
            evidence for run, evidence in self.crashes.items()
            if run != self.claimed_run
        ]
        if (is_long_running and len(evidences) == 1 and
                evidences[0] in (CrashEvidence.UNRESOLVED, CrashEvidence.WEAK)):
            return False
        return any(
            evidence is not CrashEvidence.SHARED for evidence in evidences)

    @property
    def may_start_beside_others(self) -> bool:
        """Whether the next start may do without a worker that is kept for it.

        That is so without strong evidence, unless one more crash would suffice
        to give up the task: it may be due to another task on the same worker.
        """
        evidences = [
            evidence for run, evidence in self.crashes.items()
            if run != self.claimed_run
        ]
        return (len(evidences) < MAX_COUNTED_CRASHES - 1 and
                CrashEvidence.STRONG not in evidences)

    @property
    def should_give_up(self) -> bool:
        """Whether the evidence suffices to give up the task."""
        counted_runs = [run for run in self.crashes if run != self.claimed_run]
        if len(counted_runs) >= MAX_COUNTED_CRASHES:
            return True
        if not counted_runs or self.crashes[max(
                counted_runs)] is not CrashEvidence.STRONG:
            return False
        return self._has_enough_certain_crashes

    @property
    def _has_enough_certain_crashes(self) -> bool:
        certain_count = sum(evidence >= CrashEvidence.WEAK
                            for evidence in self.crashes.values())
        return certain_count >= CONFIRMED_CRASHES

    def add_crash(self, run_number: int, evidence: CrashEvidence,
                  now: float) -> None:
        """Counts the crash under a run, and delays the next start."""
        known_evidence = self.crashes.get(run_number, CrashEvidence.CLAIMED)
        self.crashes[run_number] = max(known_evidence, evidence)
        delay = min(
            MAX_RETRY_DELAY,
            FIRST_RETRY_DELAY * RETRY_DELAY_FACTOR**(len(self.crashes) - 1))
        self.retry_at = now + delay.total_seconds()

    def confirm_crash(self, run_number: int) -> bool:
        """Makes the weak evidence of a crash strong; returns whether it was.
        """
        if self.crashes.get(run_number) is not CrashEvidence.WEAK:
            return False
        self.crashes[run_number] = CrashEvidence.STRONG
        return True

    def delay_next_start(self, confirmed_at: float) -> None:
        """Delays the next start if strong evidence would give up the task.

        Args:
            confirmed_at: Monotonic time in seconds at which weak evidence may
                become strong.
        """
        if self._has_enough_certain_crashes:
            self.retry_at = max(self.retry_at, confirmed_at)

    def add_unresolved(self, run_number: int) -> bool:
        """Counts a run that may have crashed its worker.

        Returns:
            Whether it did not count before, or only as claimed.
        """
        known_evidence = self.crashes.get(run_number, CrashEvidence.CLAIMED)
        if (known_evidence is not CrashEvidence.CLAIMED or
                run_number <= self.proven_run):
            return False
        self.crashes[run_number] = CrashEvidence.UNRESOLVED
        return True

    def remove_unresolved(self, run_number: int) -> bool:
        """Stops counting a run that did not crash its worker.

        Returns:
            Whether the run was counted without evidence.
        """
        known_evidence = self.crashes.get(run_number, CrashEvidence.SHARED)
        if known_evidence > CrashEvidence.UNRESOLVED:
            return False
        del self.crashes[run_number]
        return True

    def clear(self, proven_run: int) -> None:
        """Stops counting all crashes up to a run under which none occurred."""
        self.proven_run = max(self.proven_run, proven_run)
        for run_number in [run for run in self.crashes if run <= proven_run]:
            del self.crashes[run_number]

    def claim(self, run_number: int) -> None:
        """Counts the next start ahead, to be stored before its order."""
        self.claimed_run = run_number
        self.is_claim_stored = False
        self.crashes[run_number] = CrashEvidence.CLAIMED

    def list_claimed_runs(self) -> list[int]:
        """Returns the runs of which no leader saw more than the claim."""
        return [
            run for run, evidence in self.crashes.items()
            if evidence is CrashEvidence.CLAIMED
        ]

    def take_claim(self) -> int:
        """Returns the number of the claimed start, which now begins."""
        run_number, self.claimed_run = self.claimed_run, 0
        self.is_claim_stored = False
        return run_number

    def drop_claim(self) -> None:
        """Stops counting the claimed start, if any; it must not be ordered."""
        self.crashes.pop(self.take_claim(), None)

    def restore(self, progress: _records.TaskProgress) -> None:
        """Adds what a leader has stored; leaders of other groups may have, too.
        """
        for crashed_run in progress.crashed_runs:
            evidence = CrashEvidence(
                min(max(crashed_run.evidence, CrashEvidence.CLAIMED),
                    CrashEvidence.STRONG))
            self.crashes[crashed_run.run] = max(
                evidence,
                self.crashes.get(crashed_run.run, CrashEvidence.CLAIMED))
        self.clear(max(self.proven_run, progress.proven_run))

    def list_crashed_runs(self) -> tuple[_records.CrashedRun, ...]:
        """Returns the counted crashes as they are stored."""
        return tuple(
            _records.CrashedRun(run, int(evidence))
            for run, evidence in sorted(self.crashes.items()))


def mark_claims_stored(suspicions: dict[int, Suspicion],
                       progress: Iterable[_records.TaskProgress]) -> bool:
    """Marks the claims of a step that a stored record contains.

    Returns:
        Whether there are any.
    """
    has_claim = False
    for task_progress in progress:
        suspicion = suspicions.get(task_progress.index)
        if suspicion is None or not suspicion.claimed_run:
            continue
        if any(crashed_run.run == suspicion.claimed_run
               for crashed_run in task_progress.crashed_runs):
            suspicion.is_claim_stored = True
            has_claim = True
    return has_claim
