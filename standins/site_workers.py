"""Stand-in for the workers of the users' platform.

Each worker runs tasks under a lease and a fence, and notes every run, so that
a test can check from outside that no task ran twice at the same time.
"""

import asyncio
import json
import time
from typing import Any, Callable, NamedTuple

from aiohttp import web

from standins import _app_server

_INSTANCE_HEADER = "Gentianlead-Expected-Instance"
_TICK_S = 0.01
_SHRINK_NOTICE_S = 4.5
"""Time after which a shrunk capacity counts: a report interval and the time
that daemons have to notice it."""
CRASH_DOWN_S = 1.5
"""Seconds for which a crashed worker resets all connections."""


class WorkerPlace(NamedTuple):
    """What a worker says of itself.

    Attributes:
        worker_id: Identifier.
        domain: Failure domain.
        cpu_millis: Processors in thousandths.
    """

    worker_id: str
    domain: str
    cpu_millis: int = 8000


class RunNote(NamedTuple):
    """A run that a worker began.

    Attributes:
        worker_id: The worker.
        task: Name of the task.
        run: Number of the run.
        began_at: Monotonic time in seconds.
        ended_at: Monotonic time of its end; infinite while it runs.
        cause: Word for its end, or empty.
        excess_cpu_millis: By how much its start brought the worker over its
            capacity, in thousandths of a core.
    """

    worker_id: str
    task: str
    run: int
    began_at: float
    ended_at: float = float("inf")
    cause: str = ""
    excess_cpu_millis: int = 0


class _Run:
    """A task at work.

    Attributes:
        note: Index of its note.
        done_at: Monotonic time at which it is done.
        began_at: Monotonic time of its start.
        cpu_millis: CPU that it needs, in thousandths of a core.
        stopped_at: Monotonic time at which a stop ends it; infinite before the
            stop order.
    """

    def __init__(self, note: int, began_at: float, seconds: float,
                 cpu_millis: int):
        self.note = note
        self.began_at = began_at
        self.done_at = began_at + seconds
        self.cpu_millis = cpu_millis
        self.stopped_at = float("inf")


class SiteWorker:
    """A worker, served on a port of the loopback interface.

    Attributes:
        place: What it says of itself.
        address: `host:port`, once it is started.
        notes: All runs of all workers.
        stop_delay_s: How long a run goes on after its stop order, in seconds.
        on_restart: Called when the worker has restarted after a crash.
    """

    def __init__(self,
                 place: WorkerPlace,
                 notes: list[RunNote],
                 on_restart: Callable[["SiteWorker"], None] = lambda _: None):
        self.place = place
        self.address = ""
        self.notes = notes
        self.stop_delay_s = 0.0
        # Times of changes of the capacity, and the capacity from then on.
        self._capacities = [(0.0, place.cpu_millis)]
        self.on_restart = on_restart
        self._is_down = False
        self._restart: asyncio.Task | None = None
        self._born_ms = int(time.time() * 1000)
        self._fence = 0
        self._lease_until = 0.0
        self._running: dict[tuple[str, int], _Run] = {}
        self._ended: list[list[Any]] = []
        self._end_number = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._clock: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        app = web.Application()
        app.router.add_post("/run-start", self._start_run)
        app.router.add_post("/run-stop", self._stop_run)
        app.router.add_post("/hold", self._hold)
        self._runner, self.address = await _app_server.start_app(app)
        self._clock = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        """Stops."""
        self._clock.cancel()
        if self._restart is not None:
            self._restart.cancel()
        await self._runner.cleanup()

    def resize(self, cpu_millis: int) -> None:
        """Changes the capacity; what runs goes on."""
        self.place = self.place._replace(cpu_millis=cpu_millis)
        self._capacities.append((time.monotonic(), cpu_millis))

    def _compute_excess(self, now: float) -> int:
        """Returns by how much the runs exceed the capacity that counts."""
        since = now - _SHRINK_NOTICE_S
        in_force = max(index for index, (changed_at,
                                         _) in enumerate(self._capacities)
                       if changed_at <= since or not index)
        limit = max(cpu_millis for _, cpu_millis in self._capacities[in_force:])
        return max(
            0,
            sum(run.cpu_millis for run in self._running.values()) - limit)

    def build_entry(self, service: str) -> bytes:
        """Returns the entry of the registry."""
        return json.dumps({
            "service": service,
            "address": self.address,
            "zone": self.place.domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "sequence": 1,
            "capacity": {
                "cpu": self.place.cpu_millis,
                "mem_mb": 64_000
            },
            "labels": ["a", "r1"],
            "born": self._born_ms
        }).encode()

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            for key, run in list(self._running.items()):
                if now >= run.stopped_at:
                    self._end(key, "stopped", now)
                elif now >= run.done_at:
                    self._end(key, "done", now)
                elif now >= self._lease_until:
                    self._end(key, "lapsed", now)
            await asyncio.sleep(_TICK_S)

    def _end(self, key: tuple[str, int], cause: str, now: float) -> None:
        run = self._running.pop(key)
        self.notes[run.note] = self.notes[run.note]._replace(ended_at=now,
                                                             cause=cause)
        self._end_number += 1
        self._ended.append([self._end_number, *key, cause, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def crash(self) -> None:
        """Loses all runs and the fence, and restarts after `CRASH_DOWN_S`."""
        now = time.monotonic()
        for run in self._running.values():
            self.notes[run.note] = self.notes[run.note]._replace(
                ended_at=now, cause="crashed")
        self._running.clear()
        self._ended.clear()
        self._end_number = 0
        self._fence = 0
        self._lease_until = 0.0
        self._is_down = True
        self._restart = asyncio.get_running_loop().create_task(
            self._restart_later())
        # Ends the status requests that wait for a change.
        self._changed.set()
        self._changed = asyncio.Event()

    async def _restart_later(self) -> None:
        await asyncio.sleep(CRASH_DOWN_S)
        self._born_ms = int(time.time() * 1000)
        self._is_down = False
        self.on_restart(self)

    def _drop_connection(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    def _refuse(self, request: web.Request,
                document: dict[str, Any]) -> web.Response | None:
        """Checks an order and takes over its lease; returns a refusal."""
        if self._is_down:
            return self._drop_connection(request)
        if request.headers.get(_INSTANCE_HEADER) != self.place.worker_id:
            return self._answer({}, 421)
        if document["fencing_token"] < self._fence:
            return self._answer({"reason": "fence"}, 409)
        self._fence = document["fencing_token"]
        # Stops carry no end of the lease.
        expires_ms = document.get("expires_ms", 0)
        self._lease_until = max(self._lease_until, expires_ms / 1000)
        return None

    async def _start_run(self, request: web.Request) -> web.Response:
        document = await request.json()
        refusal = self._refuse(request, document)
        if refusal is not None:
            return refusal
        now = time.monotonic()
        if now >= self._lease_until:
            return self._answer({"reason": "late"}, 409)
        key = document["task"], document["run_id"]
        if key not in self._running:
            spec = json.loads(document["spec"])
            self._running[key] = _Run(len(self.notes), now, spec["seconds"],
                                      spec.get("cpu_millis", 0))
            self.notes.append(
                RunNote(self.place.worker_id,
                        *key,
                        now,
                        excess_cpu_millis=self._compute_excess(now)))
            # The name of a task starts with its job.
            if key[0].partition(".")[2] in spec.get("crashing_tasks", ()):
                self.crash()
                return self._drop_connection(request)
        return self._answer({})

    async def _stop_run(self, request: web.Request) -> web.Response:
        document = await request.json()
        refusal = self._refuse(request, document)
        if refusal is not None:
            return refusal
        key = document["task"], document["run_id"]
        if key in self._running:
            if self.stop_delay_s:
                run = self._running[key]
                run.stopped_at = min(run.stopped_at,
                                     time.monotonic() + self.stop_delay_s)
            else:
                self._end(key, "stopped", time.monotonic())
        return self._answer({})

    async def _hold(self, request: web.Request) -> web.Response:
        document = await request.json()
        refusal = self._refuse(request, document)
        if refusal is not None:
            return refusal
        self._ended = [
            row for row in self._ended if row[0] > document["last_seen"]
        ]
        wait_s = document.get("wait_ms", 0) / 1000
        if wait_s and not self._ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self._is_down:
            return self._drop_connection(request)
        now = time.monotonic()
        running = [[
            *key, "",
            int(100 * (now - run.began_at) / (run.done_at - run.began_at)), None
        ] for key, run in self._running.items()]
        return self._answer({
            "running": running,
            "finished": list(self._ended),
            "born": self._born_ms
        })

    def _answer(self,
                document: dict[str, Any],
                status: int = 200) -> web.Response:
        clock_ms = int(time.monotonic() * 1000)
        return web.json_response({
            "clock_ms": clock_ms,
            **document
        },
                                 status=status)


def find_double_runs(notes: list[RunNote]) -> list[tuple[RunNote, RunNote]]:
    """Returns pairs of runs of one task that overlap or follow its end."""
    pairs = []
    for i, first in enumerate(notes):
        for second in notes[i + 1:]:
            if first.task != second.task:
                continue
            overlap = (first.began_at < second.ended_at and
                       second.began_at < first.ended_at)
            is_repeated = (first.cause == "done" and
                           second.began_at >= first.ended_at)
            if overlap or is_repeated:
                pairs.append((first, second))
    return pairs
