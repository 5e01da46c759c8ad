"""Runs both deployments with services, batch jobs, watchers and a lost domain.

Usage:
    python -m standins.demo

Prints what happened and exits with status 1 when the journals show that a
guarantee was broken, or when a part of the scenario did not come to its end.
"""

import asyncio
import collections
import json
import sys
import time
from typing import Any, NamedTuple, Sequence

import uvloop

from standins import _callers
from standins import _journal
from standins import checks
from standins import deployment

_READY_SECONDS = 20.0
_LOAD_BEFORE_SECONDS = 4.0
_OUT_SECONDS = 8.0
_JOBS_SECONDS = 25.0
_POLL_SECONDS = 0.25
_ENDED_STATES = frozenset({"done", "failed", "cancelled"})
_SEED = 20_240_501
_TASK_RESOURCES = {"cpu_millis": 2000, "memory_mib": 2048, "accelerators": 0}


class Scenario(NamedTuple):
    """What a deployment does in the demo.

    Attributes:
        shape: The deployment.
        mix: Requests of callers.
        batch: Prefix of the batch jobs.
        watcher: Prefix of the watchers.
        jobs: Number of batch jobs.
        tasks: Tasks of each batch job.
        run_ms: Run time of each task.
        watchers: Number of watchers.
    """

    shape: deployment.Shape
    mix: _callers.Mix
    batch: str
    watcher: str
    jobs: int = 8
    tasks: int = 12
    run_ms: int = 2500
    watchers: int = 4


SCENARIOS = (
    Scenario(deployment.SADAQA_DRIVE,
             _callers.Mix("thumbnail-previews", 120.0, 0.05, 10.0),
             "receipt-bundle", "sync-watcher"),
    Scenario(deployment.REPRINT_LAGOON,
             _callers.Mix("birth-record-lookups", 120.0, 0.05, 10.0),
             "reprint-batch", "scan-watcher"),
)


class Summary(NamedTuple):
    """Outcome of a scenario.

    Attributes:
        rows: Lines of the table: what, and how much.
        problems: Broken guarantees, and what did not come to its end.
    """

    rows: Sequence[tuple[str, object]]
    problems: Sequence[str]


class Demo:
    """One run of a scenario against a deployment.

    Attributes:
        problems: What did not come to its end.
    """

    def __init__(self, scenario: Scenario, deployed: deployment.Deployment):
        self.problems: list[str] = []
        self._scenario = scenario
        self._deployed = deployed
        self._entry = next(iter(deployed.seats))
        self._absences: list[checks.Absence] = []
        self._callers = _callers.Callers(
            [seat.caller_port for seat in deployed.seats.values()],
            scenario.mix, scenario.shape.name, _SEED)

    async def _call(self,
                    method: str,
                    path: str,
                    value: object = None) -> tuple[int, Any]:
        return await asyncio.to_thread(self._deployed.call, self._entry, method,
                                       path, value)

    async def _patch(self, patch_id: str, *operations: dict[str, Any]) -> None:
        _, config = await self._call("GET", "/v1/config")
        status, reply = await self._call(
            "POST", "/v1/config/patches", {
                "patch_id": patch_id,
                "base_version": config["version"],
                "operations": list(operations),
                "author": "demo",
                "comment": patch_id
            })
        if status != 200:
            raise deployment.DeploymentError(
                f"patch {patch_id}: status {status}: {reply}")

    async def _configure(self) -> None:
        shape = self._scenario.shape
        await self._patch(
            "setup",
            *({
                "op": "put_domain",
                "name": domain,
                "region": shape.region
            } for domain in shape.domains), {
                "op": "put_service",
                "name": self._scenario.mix.service,
                "reserve": {
                    "cpu_millis": 1000,
                    "memory_mib": 1024
                }
            })

    async def _submit(self, job_id: str, kind: str, tasks: int,
                      run_ms: int | None) -> None:
        status, reply = await self._call(
            "POST", "/v1/jobs", {
                "job_id": job_id,
                "kind": kind,
                "tasks": tasks,
                "resources": _TASK_RESOURCES,
                "run_time_ms": run_ms or 0,
                "payload": json.dumps({"run_ms": run_ms})
            })
        if status not in (200, 202):
            raise deployment.DeploymentError(
                f"job {job_id}: status {status}: {reply}")

    def _list_jobs(self) -> list[str]:
        scenario = self._scenario
        return [f"{scenario.batch}-{index}" for index in range(scenario.jobs)]

    def _list_watchers(self) -> list[str]:
        scenario = self._scenario
        return [
            f"{scenario.watcher}-{index}" for index in range(scenario.watchers)
        ]

    async def _take_domain_out_and_back(self) -> None:
        domain = self._scenario.shape.domains[-1]
        await self._patch("out", {"op": "domain_out", "name": domain})
        begun = time.monotonic()
        await asyncio.sleep(_OUT_SECONDS)
        ended = time.monotonic()
        await self._patch("in", {"op": "domain_in", "name": domain})
        self._absences.append(checks.Absence(domain, begun, ended))

    async def _read_state(self, job_id: str) -> str:
        status, reply = await self._call("GET", f"/v1/jobs/{job_id}")
        return str(reply["state"]) if status == 200 else f"status {status}"

    async def _wait_for(self, job_ids: Sequence[str],
                        wanted: frozenset[str]) -> collections.Counter[str]:
        """Waits until all jobs are in a wanted state, and counts the states."""
        deadline = time.monotonic() + _JOBS_SECONDS
        while True:
            states = [await self._read_state(job_id) for job_id in job_ids]
            if all(state in wanted for state in states):
                break
            if time.monotonic() > deadline:
                self.problems += [
                    f"{job_id} is still {state}"
                    for job_id, state in zip(job_ids, states, strict=True)
                    if state not in wanted
                ]
                break
            await asyncio.sleep(_POLL_SECONDS)
        return collections.Counter(states)

    async def run(self) -> Summary:
        """Runs the scenario."""
        await asyncio.to_thread(self._deployed.wait_ready, _READY_SECONDS)
        await self._configure()
        stopped = asyncio.Event()
        load = asyncio.create_task(self._callers.run(stopped))
        begun = time.monotonic()
        for job_id in self._list_jobs():
            await self._submit(job_id, "batch", self._scenario.tasks,
                               self._scenario.run_ms)
        for job_id in self._list_watchers():
            await self._submit(job_id, "watcher", 1, None)
        await asyncio.sleep(_LOAD_BEFORE_SECONDS)
        await self._take_domain_out_and_back()
        batch = await self._wait_for(self._list_jobs(), _ENDED_STATES)
        batch_seconds = time.monotonic() - begun
        watchers = await self._wait_for(self._list_watchers(),
                                        frozenset({"running"}))
        stopped.set()
        await load
        statuses = await asyncio.to_thread(self._deployed.stop_daemons)
        entries = await asyncio.to_thread(self._deployed.read_journals)
        rows: list[tuple[str, object]] = [
            ("batch jobs", _format_counts(batch)),
            ("time until all batch jobs ended", f"{batch_seconds:.1f} s"),
            ("watchers", _format_counts(watchers)),
        ]
        if batch["done"] != self._scenario.jobs:
            self.problems.append(f"batch jobs: {_format_counts(batch)}")
        self._check_stop(statuses)
        violations = checks.check_all(
            entries,
            checks.Expectations(self._absences,
                                refused_ids={
                                    outcome.caller_id
                                    for outcome in self._callers.outcomes
                                    if outcome.is_refused
                                }))
        rows += [
            *self._describe_requests(), *_describe_tasks(entries),
            ("violations in the journals", len(violations))
        ]
        return Summary(rows, [*map(str, violations), *self.problems])

    def _check_stop(self, statuses: dict[str, int]) -> None:
        self.problems += [
            f"{name} ended with status {status}"
            for name, status in statuses.items()
            if status != 0
        ]

    def _describe_requests(self) -> list[tuple[str, object]]:
        outcomes = self._callers.outcomes
        answered = [
            outcome.seconds * 1000
            for outcome in outcomes
            if outcome.is_answered
        ]
        self.problems += [
            f"{outcome.caller_id} got a wrong answer" for outcome in outcomes
            if not outcome.is_right
        ]
        failed = collections.Counter(
            outcome.detail for outcome in outcomes if not outcome.is_answered)
        p50 = _callers.find_percentile(answered, 0.5)
        p99 = _callers.find_percentile(answered, 0.99)
        return [
            ("requests sent", len(outcomes)),
            ("requests answered", len(answered)),
            ("requests not answered", _format_counts(failed)),
            ("latency p50, p99", f"{p50:.1f} ms, {p99:.1f} ms"),
        ]


def _describe_tasks(
        entries: Sequence[_journal.Entry]) -> list[tuple[str, object]]:
    kinds = collections.Counter(entry["kind"] for entry in entries)
    resumed = sum(1 for entry in entries
                  if entry["kind"] == "task_started" and entry["resumed_from"])
    return [
        ("task runs started", kinds["task_started"]),
        ("of them resumed from a checkpoint", resumed),
        ("tasks finished", kinds["task_finished"]),
        ("runs stopped, lapsed", f"{kinds['task_stopped']}, "
         f"{kinds['task_lapsed']}"),
        ("requests executed", kinds["request"]),
    ]


def _format_counts(counts: collections.Counter[str]) -> str:
    return ", ".join(
        f"{count} {name}" for name, count in counts.most_common()) or "0"


def _print_summary(name: str, summary: Summary, seconds: float) -> None:
    print(f"{name} ({seconds:.0f} s)")
    for title, value in summary.rows:
        print(f"  {title:<34} {value}")
    for problem in summary.problems:
        print(f"  problem: {problem}")


async def run_scenario(scenario: Scenario) -> Summary:
    """Starts a deployment, runs a scenario and stops everything."""
    options = deployment.Options(daemon_arguments=("--drain-wait", "1s"))
    deployed = deployment.Deployment(scenario.shape, options)
    await asyncio.to_thread(deployed.__enter__)
    try:
        return await Demo(scenario, deployed).run()
    finally:
        await asyncio.to_thread(deployed.stop)


def main() -> int:
    """Runs the demo.

    Returns:
        The exit status of the process.
    """
    has_problems = False
    for scenario in SCENARIOS:
        begun = time.monotonic()
        summary = uvloop.run(run_scenario(scenario))
        _print_summary(scenario.shape.name, summary, time.monotonic() - begun)
        has_problems = has_problems or bool(summary.problems)
    return 1 if has_problems else 0


if __name__ == "__main__":
    sys.exit(main())
