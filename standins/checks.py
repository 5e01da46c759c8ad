"""Checks of journals: pure functions that return violations.

Each check takes the merged entries of all stand-ins of a deployment, as
`Deployment.read_journals` returns them.

Example:
    >>> entries = sadaqa.read_journals()
    >>> violations = check_all(entries, Expectations())
    >>> print("\\n".join(map(str, violations)))
"""

import collections
from typing import Callable, Collection, Iterable, NamedTuple, Sequence

from gentianlead import model
from standins import _journal

# Section 2.3 of the design: 3 s plus one read interval.
DEFAULT_OUT_SECONDS = 4.0
DEFAULT_LEAVING_SECONDS = 5.0

_FOREVER = float("inf")
_END_KINDS = frozenset({
    "task_finished", "task_failed", "task_stopped", "task_lapsed", "task_killed"
})
_NEW_WORK_KINDS = frozenset(
    {"task_started", "request", "request_refused", "task_refused"})
_OVERRUN_KINDS = frozenset({"slot_overrun", "connection_overrun"})

Entries = Sequence[_journal.Entry]


class Violation(NamedTuple):
    """One broken guarantee.

    Attributes:
        rule: Name of the check.
        at: Monotonic time in seconds.
        text: What happened.
    """

    rule: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:.3f} {self.rule}: {self.text}"


class Absence(NamedTuple):
    """Time in which a domain is out of service or a worker leaves.

    Attributes:
        name: Domain or worker.
        begins_at: Monotonic time at which the order was accepted.
        ends_at: Monotonic time at which the return was asked for.
    """

    name: str
    begins_at: float
    ends_at: float = _FOREVER

    def covers(self, at: float, grace_seconds: float) -> bool:
        """Returns whether a time lies inside, after a grace period."""
        return self.begins_at + grace_seconds < at < self.ends_at


class Expectations(NamedTuple):
    """What a test did, as far as the checks need it.

    Attributes:
        domains_out: Times in which domains were out of service.
        workers_leaving: Times in which workers left; the checks add the marks
            that the journals hold.
        refused_ids: Caller's ids of the requests refused as not run.
        out_seconds: Time that a removal takes to act.
        leaving_seconds: Time that a mark as leaving takes to act.
    """

    domains_out: Sequence[Absence] = ()
    workers_leaving: Sequence[Absence] = ()
    refused_ids: Collection[str] = ()
    out_seconds: float = DEFAULT_OUT_SECONDS
    leaving_seconds: float = DEFAULT_LEAVING_SECONDS


class RunInterval(NamedTuple):
    """Time in which a run was running.

    Attributes:
        job: Job.
        task: Index of the task.
        run: Number of the run.
        worker: Worker.
        resources: Reserved resources.
        begins_at: Start.
        ends_at: End; infinite while it runs.
    """

    job: str
    task: int
    run: int
    worker: str
    resources: model.Resources
    begins_at: float
    ends_at: float

    def __str__(self) -> str:
        return f"{self.job}/{self.task} run {self.run} at {self.worker}"


def list_intervals(entries: Entries) -> list[RunInterval]:
    """Returns the times in which runs were running, by their start."""
    intervals = []
    open_runs: dict[tuple[object, ...], int] = {}
    for entry in _sort(entries):
        if entry["kind"] == "task_started":
            open_runs[_get_place(entry)] = len(intervals)
            intervals.append(
                RunInterval(entry["job"], entry["task"],
                            entry["run"], entry["worker"],
                            model.Resources(*entry["resources"]), entry["at"],
                            _FOREVER))
        elif entry["kind"] in _END_KINDS:
            index = open_runs.pop(_get_place(entry), None)
            if index is not None:
                intervals[index] = intervals[index]._replace(
                    ends_at=entry["at"])
    return intervals


def check_capacity(entries: Entries) -> list[Violation]:
    """Finds workers that ran, or were asked to run, beyond their capacity.

    Raises:
        ValueError: The journals are incomplete: a worker's capacity is missing.
    """
    capacities = {
        entry["worker"]: model.Resources(*entry["capacity"])
        for entry in entries
        if entry["kind"] == "worker"
    }
    changes = []
    for interval in list_intervals(entries):
        negative = model.Resources().minus(interval.resources)
        changes.append((interval.ends_at, 0, interval.worker, negative))
        changes.append(
            (interval.begins_at, 1, interval.worker, interval.resources))
    violations = [
        Violation(
            "capacity", entry["at"], f"{entry['worker']}: {entry['wanted']} on "
            f"top of {entry['used']} of {entry['capacity']}")
        for entry in entries
        if entry["kind"] == "capacity_overrun"
    ]
    used: dict[str, model.Resources] = collections.defaultdict(model.Resources)
    for at, is_start, worker, change in sorted(changes):
        used[worker] = used[worker].plus(change)
        if worker not in capacities:
            raise ValueError(f"the journals lack the capacity of {worker!r}")
        if is_start and not used[worker].fits_in(capacities[worker]):
            violations.append(
                Violation(
                    "capacity", at, f"{worker}: {list(used[worker])} of "
                    f"{list(capacities[worker])}"))
    return violations


def check_single_place(entries: Entries) -> list[Violation]:
    """Finds tasks that ran in two places at the same time."""
    violations = []
    latest: dict[tuple[str, int], RunInterval] = {}
    for interval in list_intervals(entries):
        key = (interval.job, interval.task)
        before = latest.get(key)
        if before is not None and interval.begins_at < before.ends_at:
            violations.append(
                Violation(
                    "single place", interval.begins_at,
                    f"{interval} started while {before} ran until "
                    f"{before.ends_at:.3f}"))
        if before is None or interval.ends_at >= before.ends_at:
            latest[key] = interval
    return violations


def check_single_finish(entries: Entries) -> list[Violation]:
    """Finds tasks that finished more than once."""
    return _find_repeated(
        "single finish",
        (entry for entry in _sort(entries) if entry["kind"] == "task_finished"),
        lambda entry: f"{entry['job']}/{entry['task']}")


def check_single_resume(entries: Entries) -> list[Violation]:
    """Finds runs that started more than once or after a later run."""
    violations = []
    highest: dict[tuple[str, int], int] = {}
    for interval in list_intervals(entries):
        key = (interval.job, interval.task)
        before = highest.get(key, -1)
        if interval.run <= before:
            violations.append(
                Violation("single resume", interval.begins_at,
                          f"{interval} started after run {before}"))
        highest[key] = max(before, interval.run)
    return violations


def check_domain_out(entries: Entries, absences: Sequence[Absence],
                     grace_seconds: float) -> list[Violation]:
    """Finds starts in a domain that is out of service."""
    return [
        Violation(
            "domain out", entry["at"],
            f"{entry['job']}/{entry['task']} run {entry['run']} started in "
            f"{entry['domain']} {entry['at'] - absence.begins_at:.2f} s after "
            f"it was taken out")
        for entry in _sort(entries)
        for absence in absences
        if entry["kind"] == "task_started" and entry["domain"] == absence.name
        and absence.covers(entry["at"], grace_seconds)
    ]


def check_one_time(entries: Entries) -> list[Violation]:
    """Finds one-time requests that were executed more than once."""
    return _find_repeated("one-time request",
                          (entry for entry in _sort(entries)
                           if entry["kind"] == "request" and entry["key"]),
                          lambda entry: entry["key"])


def check_not_run(entries: Entries,
                  refused_ids: Collection[str]) -> list[Violation]:
    """Finds requests that were executed though refused as not run."""
    refused = frozenset(refused_ids)
    return [
        Violation("not run", entry["at"],
                  f"{entry['caller_id']} was executed at "
                  f"{entry['worker']}")
        for entry in _sort(entries)
        if entry["kind"] == "request" and entry["caller_id"] in refused
    ]


def check_limits(entries: Entries) -> list[Violation]:
    """Finds overruns of the slots and connections of a target."""
    return [
        Violation("limits", entry["at"],
                  f"{entry['kind']} at {_get_worker(entry)}")
        for entry in _sort(entries)
        if entry["kind"] in _OVERRUN_KINDS
    ]


def check_leaving(entries: Entries, absences: Sequence[Absence],
                  grace_seconds: float) -> list[Violation]:
    """Finds new work that reached a leaving worker, refused or not."""
    by_worker: dict[str, list[Absence]] = collections.defaultdict(list)
    for absence in [*absences, *list_leaving(entries)]:
        by_worker[absence.name].append(absence)
    return [
        Violation(
            "leaving", entry["at"], f"{entry['kind']} at {entry['worker']} "
            f"{entry['at'] - absence.begins_at:.2f} s after its mark")
        for entry in _sort(entries) if entry["kind"] in _NEW_WORK_KINDS
        for absence in by_worker.get(entry["worker"], ())
        if absence.covers(entry["at"], grace_seconds)
    ]


def list_leaving(entries: Entries) -> list[Absence]:
    """Returns the times in which workers were marked in the journals."""
    absences = []
    begun: dict[str, float] = {}
    for entry in _sort(entries):
        if entry["kind"] == "leaving":
            begun.setdefault(entry["worker"], entry["at"])
        elif entry["kind"] == "returned" and entry["worker"] in begun:
            absences.append(
                Absence(entry["worker"], begun.pop(entry["worker"]),
                        entry["at"]))
    return absences + [Absence(worker, at) for worker, at in begun.items()]


def check_all(entries: Entries, expectations: Expectations) -> list[Violation]:
    """Runs all checks and returns the violations in the order of time."""
    return sorted([
        *check_capacity(entries),
        *check_single_place(entries),
        *check_single_finish(entries),
        *check_single_resume(entries),
        *check_domain_out(entries, expectations.domains_out,
                          expectations.out_seconds),
        *check_one_time(entries),
        *check_not_run(entries, expectations.refused_ids),
        *check_limits(entries),
        *check_leaving(entries, expectations.workers_leaving,
                       expectations.leaving_seconds),
    ],
                  key=lambda violation: violation.at)


def _sort(entries: Iterable[_journal.Entry]) -> list[_journal.Entry]:
    return sorted(entries, key=lambda entry: entry["at"])


def _get_place(entry: _journal.Entry) -> tuple[object, ...]:
    return entry["job"], entry["task"], entry["run"], entry["worker"]


def _get_worker(entry: _journal.Entry) -> str:
    return entry.get("worker") or entry["endpoint"]


def _find_repeated(
        rule: str, entries: Iterable[_journal.Entry],
        get_name: Callable[[_journal.Entry], str]) -> list[Violation]:
    violations = []
    counts: collections.Counter[str] = collections.Counter()
    for entry in entries:
        name = get_name(entry)
        counts[name] += 1
        if counts[name] > 1:
            violations.append(
                Violation(
                    rule, entry["at"], f"{name} for time {counts[name]}, at "
                    f"{entry['worker']}"))
    return violations
