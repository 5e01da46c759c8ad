"""Runs of tasks at one worker, under leases on the worker's own clock.

The runs use no processor time. Progress follows the clock: a run advances by
its throttle fraction divided by its slowdown. Ends are computed at their exact
time, so that a busy machine does not stretch a lease.
"""

import base64
import binascii
import json
import random
import secrets
import time
from typing import Any, NamedTuple

from gentianlead import model
from gentianlead import ports
from standins import _journal

DEFAULT_RUN_MS = 100.0
_BOOT_ID_BYTES = 6
_MOST_START_CLOCK_SECONDS = 100_000


class WorkerClock:
    """A worker's own monotonic clock.

    Attributes:
        boot_id: Changes with each boot.
    """

    def __init__(self, source: random.Random, drift: float = 0.0):
        # Not seeded: a restarted process with the same seed is another boot.
        self.boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        self._rate = 1.0 + drift
        self._origin = time.monotonic()
        self._offset = source.uniform(1, _MOST_START_CLOCK_SECONDS)

    def read_ms(self) -> int:
        """Returns the worker's time in milliseconds."""
        return int(self.convert(time.monotonic()) * 1000)

    def convert(self, at: float) -> float:
        """Returns the worker's time in seconds at a machine time."""
        return self._offset + (at - self._origin) * self._rate

    def find(self, worker_ms: float) -> float:
        """Returns the machine time in seconds of a worker's time."""
        return (worker_ms / 1000 - self._offset) / self._rate + self._origin


class TaskPayload(NamedTuple):
    """What a task does.

    Attributes:
        run_ms: Run time when undisturbed; None for a task without end.
        is_failing: Whether the run fails at its end.
        noise: How much it disturbs other tasks of the worker.
        sensitivity: How much the noise of others slows it down.
        used_fraction: Share of its reserved resources that it uses.
    """

    run_ms: float | None = DEFAULT_RUN_MS
    is_failing: bool = False
    noise: float = 0.0
    sensitivity: float = 0.0
    used_fraction: float = 1.0


def parse_payload(value: object) -> TaskPayload:
    """Reads the payload of a start order.

    Args:
        value: A JSON object, JSON text, or base64 of JSON text. Anything else
            is a task of `DEFAULT_RUN_MS`.
    """
    document = value
    if isinstance(value, str):
        document = _parse_text(value)
    if not isinstance(document, dict):
        return TaskPayload()
    run_ms = document.get("run_ms", DEFAULT_RUN_MS)
    return TaskPayload(None if run_ms is None else float(run_ms),
                       bool(document.get("fail", False)),
                       float(document.get("noise", 0)),
                       float(document.get("sensitivity", 0)),
                       float(document.get("used_fraction", 1)))


def _parse_text(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        pass
    try:
        return json.loads(base64.b64decode(text, validate=True))
    except (ValueError, binascii.Error):
        return None


class Run:
    """One run of a task.

    Attributes:
        key: The run.
        state: Its state.
        resources: Reserved resources.
        payload: What the task does.
        expires_at_ms: End of the lease on the worker's clock.
        fence: Highest fence seen.
        checkpoint: Newest checkpoint, or empty.
        progress_ms: Work done, of `payload.run_ms`.
        fraction: Throttle, above 0 and at most 1.
        slowdown: Slowdown through other tasks; 1.0 is undisturbed.
        advanced_at: Machine time that `progress_ms` describes.
    """

    def __init__(self, key: ports.RunKey, resources: model.Resources,
                 payload: TaskPayload, expires_at_ms: int, fence: int,
                 checkpoint: str, now: float):
        self.key = key
        self.state = ports.RunState.RUNNING
        self.resources = resources
        self.payload = payload
        self.expires_at_ms = expires_at_ms
        self.fence = fence
        self.checkpoint = checkpoint
        self.progress_ms = _read_progress(checkpoint)
        self.fraction = 1.0
        self.slowdown = 1.0
        self.advanced_at = now

    @property
    def is_running(self) -> bool:
        """Whether the run has not ended."""
        return self.state is ports.RunState.RUNNING

    @property
    def speed(self) -> float:
        """Work per time."""
        return self.fraction / self.slowdown

    def find_finish(self) -> float:
        """Returns the machine time at which the work is done."""
        if self.payload.run_ms is None:
            return float("inf")
        remaining = max(self.payload.run_ms - self.progress_ms, 0) / 1000
        return self.advanced_at + remaining / self.speed

    def advance(self, now: float) -> None:
        """Accounts for the work done until now."""
        self.progress_ms += (now - self.advanced_at) * 1000 * self.speed
        self.advanced_at = now

    def take_checkpoint(self) -> None:
        """Stores the progress."""
        self.checkpoint = json.dumps({
            "progress_ms": round(self.progress_ms, 3),
            "run": self.key.run
        })

    def describe(self) -> dict[str, Any]:
        """Returns the run as the agent reports it."""
        return {
            "job": self.key.job_id,
            "task": self.key.task,
            "run": self.key.run,
            "state": self.state.value,
            "expires_at_ms": self.expires_at_ms,
            "fence": self.fence,
            "checkpoint": self.checkpoint,
            "resources": self.resources._asdict(),
        }


def _read_progress(checkpoint: str) -> float:
    try:
        return float(json.loads(checkpoint)["progress_ms"])
    except (ValueError, KeyError, TypeError):
        return 0.0


class RefusalError(Exception):
    """An order that the worker refuses.

    Attributes:
        status: HTTP status of the reply.
    """

    def __init__(self, message: str, status: int = 409):
        super().__init__(message)
        self.status = status


class RunTable:
    """All runs of one worker.

    Attributes:
        clock: The worker's clock.
        runs: Runs that were not forgotten, by key.
        is_failing_all: Whether each new run fails at once.
        is_leaving: Whether new starts are refused.
    """

    def __init__(self, worker: str, domain: str, capacity: model.Resources,
                 journal: _journal.Journal, clock: WorkerClock):
        self.clock = clock
        self.runs: dict[ports.RunKey, Run] = {}
        self.is_failing_all = False
        self.is_leaving = False
        self._highest: dict[tuple[str, int], int] = {}
        self._capacity = capacity
        self._journal = journal
        self._fields = {"worker": worker, "domain": domain}

    def _note(self, kind: str, run: Run, at: float, **fields: Any) -> None:
        self._journal.add(kind,
                          at,
                          **self._fields,
                          job=run.key.job_id,
                          task=run.key.task,
                          run=run.key.run,
                          resources=list(run.resources),
                          **fields)

    def get_running(self) -> list[Run]:
        """Returns the runs that have not ended."""
        return [run for run in self.runs.values() if run.is_running]

    def advance(self, now: float) -> None:
        """Ends the runs whose time has come, in the order of their ends."""
        while True:
            running = self.get_running()
            ends = [(min(run.find_finish(),
                         self.clock.find(run.expires_at_ms)), index)
                    for index, run in enumerate(running)]
            at, index = min(ends, default=(float("inf"), -1))
            until = min(at, now)
            for run in running:
                run.advance(max(until, run.advanced_at))
            if at > now:
                return
            self._end(running[index], at)
            self._set_slowdowns()

    def _end(self, run: Run, at: float) -> None:
        if run.find_finish() > at:
            run.state = ports.RunState.LEASE_EXPIRED
            kind = "task_lapsed"
        elif run.payload.is_failing or self.is_failing_all:
            run.state = ports.RunState.FAILED
            kind = "task_failed"
        else:
            run.state = ports.RunState.FINISHED
            kind = "task_finished"
        self._note(kind, run, at)

    def _set_slowdowns(self) -> None:
        running = self.get_running()
        noise = sum(run.payload.noise for run in running)
        for run in running:
            others = noise - run.payload.noise
            run.slowdown = 1.0 + others * run.payload.sensitivity

    def start(self, key: ports.RunKey, order: dict[str, Any]) -> Run:
        """Starts a run, or returns it when it was started before.

        Raises:
            RefusalError: The order is late or stale, or the worker is leaving
                or full.
        """
        now = time.monotonic()
        self.advance(now)
        known = self.runs.get(key)
        fence = int(order.get("fence", 0))
        if known is not None:
            self._raise_fence(known, fence)
            return known
        resources = parse_resources(order.get("resources"))
        reason = self._find_refusal(key, order, resources)
        if reason:
            self._journal.add("task_refused",
                              now,
                              **self._fields,
                              job=key.job_id,
                              task=key.task,
                              run=key.run,
                              reason=reason)
            raise RefusalError(reason)
        payload = parse_payload(order.get("payload"))
        if self.is_failing_all:
            payload = payload._replace(run_ms=0.0, is_failing=True)
        run = Run(key, resources, payload, int(order["expires_at_ms"]), fence,
                  str(order.get("checkpoint") or ""), now)
        self.runs[key] = run
        self._highest[key.job_id, key.task] = key.run
        self._set_slowdowns()
        self._note("task_started", run, now, resumed_from=run.checkpoint)
        return run

    def _find_refusal(self, key: ports.RunKey, order: dict[str, Any],
                      resources: model.Resources) -> str:
        worker_ms = self.clock.read_ms()
        if order.get("boot_id", self.clock.boot_id) != self.clock.boot_id:
            return "other boot id"
        if int(order["start_by_ms"]) < worker_ms:
            return "start_by_ms has passed"
        if int(order["expires_at_ms"]) <= worker_ms:
            return "expires_at_ms has passed"
        if self.is_leaving:
            return "worker is leaving"
        if self._highest.get((key.job_id, key.task), -1) >= key.run:
            return "this run or a higher one is known"
        used = model.Resources()
        for run in self.get_running():
            used = used.plus(run.resources)
        if not used.plus(resources).fits_in(self._capacity):
            self._journal.add("capacity_overrun",
                              **self._fields,
                              used=list(used),
                              wanted=list(resources),
                              capacity=list(self._capacity))
            return "beyond the worker's capacity"
        return ""

    def _raise_fence(self, run: Run, fence: int) -> None:
        if fence < run.fence:
            raise RefusalError(f"fence {fence} is below {run.fence}")
        run.fence = fence

    def get(self, key: ports.RunKey) -> Run:
        """Returns a run with its state as of now.

        Raises:
            RefusalError: The run is unknown (status 404).
        """
        self.advance(time.monotonic())
        run = self.runs.get(key)
        if run is None:
            raise RefusalError("unknown run", 404)
        return run

    def report(self, key: ports.RunKey) -> dict[str, Any]:
        """Returns the state of a run, which may be unknown."""
        self.advance(time.monotonic())
        run = self.runs.get(key)
        if run is not None:
            return run.describe()
        return {
            "job": key.job_id,
            "task": key.task,
            "run": key.run,
            "state": ports.RunState.UNKNOWN.value,
        }

    def renew(self, key: ports.RunKey, expires_at_ms: int, fence: int) -> None:
        """Extends the lease of a run, which never gets shorter.

        Nothing changes for an unknown or ended run and with a fence below the
        highest one seen.
        """
        now = time.monotonic()
        self.advance(now)
        run = self.runs.get(key)
        if run is None:
            return
        if fence < run.fence:
            self._note("renewal_refused", run, now, fence=fence)
        elif run.is_running:
            run.fence = fence
            run.expires_at_ms = max(run.expires_at_ms, expires_at_ms)

    def stop(self, key: ports.RunKey, order: dict[str, Any]) -> Run:
        """Stops a run; an ended run keeps its state.

        Raises:
            RefusalError: The run is unknown or the fence is too low.
        """
        run = self.get(key)
        if "fence" in order:
            self._raise_fence(run, int(order["fence"]))
        if run.is_running:
            now = time.monotonic()
            run.state = ports.RunState.STOPPED
            self._note("task_stopped", run, now)
            self._set_slowdowns()
        return run

    def checkpoint(self, key: ports.RunKey) -> Run:
        """Stores the progress of a run that has not ended."""
        run = self.get(key)
        if run.is_running:
            run.take_checkpoint()
            self._note("task_checkpointed",
                       run,
                       run.advanced_at,
                       checkpoint=run.checkpoint)
        return run

    def throttle(self, key: ports.RunKey, fraction: float) -> Run:
        """Limits the speed of a run."""
        if not 0 < fraction <= 1:
            raise RefusalError(f"fraction {fraction} is outside (0, 1]", 400)
        run = self.get(key)
        run.fraction = fraction
        return run

    def forget(self, key: ports.RunKey) -> None:
        """Drops an ended run.

        Raises:
            RefusalError: The run has not ended.
        """
        self.advance(time.monotonic())
        run = self.runs.get(key)
        if run is not None and run.is_running:
            raise RefusalError("the run has not ended")
        self.runs.pop(key, None)

    def reboot(self, clock: WorkerClock) -> None:
        """Ends and forgets all runs, as a restart of the VM does."""
        now = time.monotonic()
        self.advance(now)
        for run in self.get_running():
            self._note("task_killed", run, now)
        self.runs.clear()
        self._highest.clear()
        self.clock = clock
        self._journal.add("worker_booted",
                          now,
                          **self._fields,
                          boot_id=clock.boot_id)

    def report_usage(self) -> list[dict[str, Any]]:
        """Returns the usage of the runs that have not ended."""
        now = time.monotonic()
        self.advance(now)
        as_of_ms = int(self.clock.convert(now) * 1000)
        return [{
            "job": run.key.job_id,
            "task": run.key.task,
            "run": run.key.run,
            "as_of_ms": as_of_ms,
            "resources": {
                name: int(value * run.payload.used_fraction * run.fraction)
                for name, value in run.resources._asdict().items()
            },
            "slowdown": round(run.slowdown / run.fraction, 4),
        }
                for run in self.get_running()]


def parse_resources(value: object) -> model.Resources:
    """Reads a resource vector from a JSON object or array."""
    return model.parse_resources({} if value is None else value)
