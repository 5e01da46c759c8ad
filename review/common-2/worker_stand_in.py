"""Stand-in for the workers."""

import asyncio
import json
import random
import time
from typing import Any, Protocol

import event_record
import wire

SERVICE = "drive-svc"
HEARTBEAT_S = 1.5
HOLD_MAX_S = 6.0
STOP_S = 0.2


class Deployment(Protocol):
    """The deployment of a worker.

    Attributes:
        record: Record of the case.
    """

    record: event_record.Record

    def report_worker(self, worker: "Worker", entry: dict[str, Any]) -> None:
        """Stores the registry entry of a worker."""


class _Run:
    """A task at work on a worker."""

    def __init__(self, task: str, number: int, step: dict[str, Any],
                 began_at: float):
        self.task = task
        self.number = number
        self.step = step
        self.began_at = began_at
        self.stops_at = float("inf")

    def compute_done_ms(self) -> float:
        """Returns how much of the work is done, in milliseconds."""
        return 1000 * (time.monotonic() - self.began_at)

    @property
    def percent(self) -> int:
        """Progress of the task; a lasting one is ready at once."""
        if self.step.get("lasts"):
            return 100
        return min(99, int(100 * self.compute_done_ms() / self.step["ms"]))


class Worker:
    """A worker; the `spec` of a job tells what its steps need and take.

    `spec` is a JSON object with the list `steps`: `ms` (work of a task), `cpu`
    and `mem_mb`, and `lasts`. The steps of the cases have neither gangs nor
    checkpoints.

    Attributes:
        worker_id: Identifier of this life.
        zone: Zone.
        kind: Label that tells its kind.
        is_up: Whether the process runs.
    """

    def __init__(self, deployment: "Deployment", worker_id: str, zone: str,
                 rack: str, cpu: int, mem_mb: int):
        self.worker_id = worker_id
        self.zone = zone
        self.is_up = False
        self._deployment = deployment
        self.kind = "a"
        self._rack = rack
        self._capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self._server = wire.HttpServer(self._handle)
        self._tasks: list[asyncio.Task] = []
        self._sequence = 0
        self._reset()
        # The first life began before the deployment.
        self._uptime_s = random.uniform(60.0, 600.0)

    def _reset(self) -> None:
        self._born_ms = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._fence = 0
        self._lease_until = 0.0
        self.runs: dict[tuple[str, int], _Run] = {}
        self._ends: list[list[Any]] = []
        self._end_number = 0
        self._highest_ended: dict[str, int] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to serve and to report to the registry."""
        self._reset()
        self._clock_start -= self._uptime_s
        self._uptime_s = 0.0
        await self._server.start()
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._report())
        ]

    def crash(self, *, loses_power: bool = False) -> None:
        """Ends the process; all of its runs are lost.

        Args:
            loses_power: Whether the machine goes silent. Otherwise its channels
                are reset.
        """
        if not self.is_up:
            return
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        if loses_power:
            self._server.lose_power()
        else:
            self._server.crash()
        self._deployment.record.add("worker-down", worker=self.worker_id)
        for run in list(self.runs.values()):
            self._note_end(run, "crashed")
        self.runs.clear()

    def close(self) -> None:
        """Ends the stand-in."""
        for task in self._tasks:
            task.cancel()
        self._server.crash()

    async def _report(self) -> None:
        while True:
            self._sequence += 1
            self._deployment.report_worker(
                self, {
                    "service": SERVICE,
                    "address": self._server.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                    "capacity": self._capacity,
                    "labels": [self.kind, self._rack],
                    "born": self._born_ms
                })
            await asyncio.sleep(HEARTBEAT_S)

    def clock_ms(self) -> int:
        """Steady clock of this life, in milliseconds."""
        return int(1000 * (time.monotonic() - self._clock_start))

    async def _work(self) -> None:
        while True:
            now = time.monotonic()
            is_lapsed = now >= self._lease_until
            for run in list(self.runs.values()):
                if now >= run.stops_at:
                    self.end(run, "stopped")
                elif is_lapsed:
                    self.end(run, "lapsed")
                elif (not run.step.get("lasts") and
                      run.compute_done_ms() >= run.step["ms"]):
                    self.end(run, "done")
            await asyncio.sleep(0.01)

    def _note_end(self, run: _Run, how: str) -> None:
        self._deployment.record.add("run-ended",
                                    worker=self.worker_id,
                                    task=run.task,
                                    run=run.number,
                                    how=how)

    def end(self, run: _Run, how: str) -> None:
        """Ends a run and lists its end."""
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self._end_number += 1
        self._ends.append([self._end_number, run.task, run.number, how, ""])
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0))
        self._note_end(run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: wire.Request) -> wire.Reply | None:
        document = json.loads(request.body or b"{}")
        if request.headers.get(
                "gentianlead-expected-instance") != self.worker_id:
            return self._answer({}, 421)
        token = document.get("fencing_token", 0)
        if token < self._fence:
            return self._answer({"reason": "fence"}, 409)
        self._fence = token
        if "expires_ms" in document:
            ends_at = self._clock_start + document["expires_ms"] / 1000
            self._lease_until = max(self._lease_until,
                                    min(ends_at,
                                        time.monotonic() + HOLD_MAX_S))
        if request.path == "/run-start":
            return self._start_run(document)
        if request.path == "/run-stop":
            run = self.runs.get((document["task"], document["run_id"]))
            if run is not None:
                run.stops_at = min(run.stops_at, time.monotonic() + STOP_S)
            else:
                self._highest_ended[document["task"]] = max(
                    document["run_id"],
                    self._highest_ended.get(document["task"], 0))
            return self._answer({})
        if request.path == "/pace":
            return self._answer({})
        if request.path == "/hold":
            return await self._hold(document)
        return wire.Reply(404)

    def _start_run(self, document: dict[str, Any]) -> wire.Reply:
        task, number = document["task"], document["run_id"]
        if (task, number) in self.runs:
            return self._answer({})
        if number <= self._highest_ended.get(task, 0):
            return self._answer({"reason": "old"}, 409)
        if time.monotonic() >= self._lease_until:
            return self._answer({"reason": "late"}, 409)
        step = json.loads(document["spec"])["steps"][int(task.split(".")[2])]
        for need in ("cpu", "mem_mb"):
            used = sum(run.step[need] for run in self.runs.values())
            if used + step[need] > self._capacity[need]:
                return self._answer({"reason": "room"}, 409)
        run = _Run(task, number, step, time.monotonic())
        self.runs[task, number] = run
        self._deployment.record.add("run-started",
                                    worker=self.worker_id,
                                    zone=self.zone,
                                    kind=self.kind,
                                    task=task,
                                    run=number,
                                    token=document.get("fencing_token", 0))
        return self._answer({})

    async def _hold(self, document: dict[str, Any]) -> wire.Reply:
        for row in self._ends:
            if row[0] <= document["last_seen"]:
                self._deployment.record.add("end-noted",
                                            worker=self.worker_id,
                                            task=row[1],
                                            run=row[2],
                                            how=row[3])
        self._ends = [
            row for row in self._ends if row[0] > document["last_seen"]
        ]
        wait_s = document.get("wait_ms", 0) / 1000
        if wait_s and not self._ends:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", run.percent, run.step["cpu"]]
                   for run in self.runs.values()]
        return self._answer({
            "running": running,
            "finished": self._ends[:500],
            "born": self._born_ms
        })

    def _answer(self,
                document: dict[str, Any],
                status: int = 200) -> wire.Reply:
        return wire.encode_json({
            "clock_ms": self.clock_ms(),
            **document
        }, status)
