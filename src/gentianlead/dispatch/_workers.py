"""What a leader knows of one worker: clock, lease, runs, health."""

import datetime
from typing import NamedTuple

from gentianlead import ports
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _runs

CLOCK_DRIFT = 0.02
"""Largest relative error of a worker's clock; the platform's bound."""

LAPSE_MARGIN_MS = 150
"""Scheduling delay at a worker after the end of its lease, in milliseconds."""

RESPONSIVE_LIMIT = datetime.timedelta(milliseconds=2600)
"""Age of the last reply above which nothing is started on a worker. A look may
wait two seconds at the worker, and the reply may take its time."""

ROOM_BACKOFF = datetime.timedelta(milliseconds=200)
"""Pause after a start was refused for want of room: about two looks."""

UNHEALTHY_BACKOFF = datetime.timedelta(seconds=1)
"""Pause after a worker answered that it is unhealthy."""

QUARANTINE = datetime.timedelta(seconds=3)
"""Pause after a worker failed several runs in a row; then one run probes it."""

FAILURES_TO_QUARANTINE = 3
"""Failed runs in a row; tasks that can never succeed spread over workers, so
that a sound worker rarely fails three in a row."""

SLOW_RATIO = 2.5
"""Duration against the group's usual one above which a worker counts as slow.
Estimates of single tasks are off by up to a factor of two."""

RATIO_WEIGHT = 0.3
"""Weight of the newest run in the moving average of durations."""


class Load(NamedTuple):
    """Resources of the runs on a worker.

    Attributes:
        firm: Processors of all runs but fillers, in thousandths.
        serving: The part of `firm` that serving tasks have.
        lasting: The part of `firm` that lasting tasks have.
        filling: Processors that fillers declare, in thousandths.
        filling_use: Processors that fillers use at their present pace.
        memory: Memory in MiB.
        accelerators: Accelerators.
    """

    firm: int
    serving: int
    lasting: int
    filling: int
    filling_use: int
    memory: int
    accelerators: int


class WorkerState:
    """A worker of the group.

    Attributes:
        entry: Newest entry of the registry.
        is_listed: Whether the registry lists it.
        unlisted_at: Monotonic time in seconds at which it was last removed.
        is_recorded: Whether the topic names it as a worker of the group.
        born_ms: Lifetime that the last reply came from; 0 before any reply.
        runs: Runs by task and number.
        strangers: Time at which an unknown run was first listed, by task and
            number.
        seen_end: Highest number of an end that was applied.
        acknowledged: Highest number of an end that is stored.
        reached_at: Time of the first reply under this leader's fence.
        replied_at: Time of the last reply.
        is_answering: Whether the last call was answered.
        paused_until: Time before which nothing is started on it.
        failures_in_row: Failed runs since the last good one.
        ratio: Moving average of duration against estimate.
        paces: Share of their speed in percent by image of fillers that are
            slowed.
        paced_at: Time of the last change of pace by image.
        pressures: Worst tail against its limit by image of serving tasks, at
            the last look.
        exposure: Recent use by fillers, as the tails feel it.
    """

    def __init__(self, entry: ports.WorkerEntry):
        self.entry = entry
        self.is_listed = True
        self.unlisted_at = 0.0
        self.is_recorded = False
        self.born_ms = 0
        self.runs: dict[tuple, _runs.Run] = {}
        self.strangers: dict[tuple, float] = {}
        self.seen_end = 0
        self.acknowledged = 0
        self.reached_at: float | None = None
        self.replied_at: float | None = None
        self.is_answering = False
        self.paused_until = 0.0
        self.failures_in_row = 0
        self.ratio = 1.0
        self.paces: dict[str, int] = {}
        self.paced_at: dict[str, float] = {}
        self.pressures: dict[str, float] = {}
        self.exposure = _interference.Exposure()
        self._clock_ms = 0
        self._clock_at = 0.0
        self._lease_until_ms = 0

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.entry.worker_id

    @property
    def serving_images(self) -> set[str]:
        """Images of serving tasks that run or start here."""
        return {
            run.step.image
            for run in self.runs.values()
            if run.step.tail_latency_limit_ms
        }

    def get_pace(self, run: _runs.Run) -> int:
        """Returns the percent of its speed that a run should keep to."""
        if not run.step.is_best_effort:
            return 100
        return self.paces.get(run.step.image, 100)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Notes a time that the worker's clock has reached by `now`."""
        if clock_ms >= self.get_earliest_ms(now) or not self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = now

    def get_earliest_ms(self, now: float) -> int:
        """Returns a time that the worker's clock has certainly reached."""
        elapsed = max(0.0, now - self._clock_at)
        return self._clock_ms + int(elapsed * (1 - CLOCK_DRIFT) * 1000)

    def extend_lease(self, now: float, length: datetime.timedelta) -> int:
        """Returns a new end of the lease on the worker's clock."""
        until = self.get_earliest_ms(now) + int(length.total_seconds() * 1000)
        self._lease_until_ms = max(self._lease_until_ms, until)
        return self._lease_until_ms

    def is_lapsed(self, now: float) -> bool:
        """Returns whether the lease has certainly lapsed."""
        return (self.get_earliest_ms(now)
                >= self._lease_until_ms + LAPSE_MARGIN_MS)

    def restart(self, born_ms: int) -> None:
        """Starts anew with a worker that was born again."""
        self.born_ms = born_ms
        self.strangers.clear()
        self.seen_end = 0
        self.acknowledged = 0
        self.failures_in_row = 0
        self.ratio = 1.0
        self.paces.clear()
        self.paced_at.clear()
        self.pressures.clear()
        self.exposure = _interference.Exposure()
        self._clock_ms = 0
        self._lease_until_ms = 0

    def can_start(self, now: float) -> bool:
        """Returns whether starts may be sent."""
        if (not self.is_listed or not self.is_recorded or
                self.entry.is_draining or not self.is_answering or
                self.reached_at is None):
            return False
        if now < self.paused_until:
            return False
        if now - self.replied_at > RESPONSIVE_LIMIT.total_seconds():
            return False
        # After a quarantine one run at a time shows whether it is sound.
        return self.failures_in_row < FAILURES_TO_QUARANTINE or not self.runs

    def note_result(self, is_good: bool, now: float) -> None:
        """Notes the end of a run for the worker's health."""
        if is_good:
            self.failures_in_row = 0
            return
        self.failures_in_row += 1
        if self.failures_in_row >= FAILURES_TO_QUARANTINE:
            self.paused_until = now + QUARANTINE.total_seconds()

    def note_duration(self, seconds: float, estimate_ms: int) -> None:
        """Notes how long a run took."""
        if estimate_ms > 0:
            ratio = seconds * 1000 / estimate_ms
            self.ratio += RATIO_WEIGHT * (ratio - self.ratio)

    def compute_load(self) -> Load:
        """Returns what the runs take up."""
        firm = serving = lasting = filling = memory = accelerators = 0
        filling_use = 0
        for run in self.runs.values():
            step = run.step
            memory += step.memory_mib
            accelerators += step.accelerators
            if step.is_best_effort:
                filling += step.cpu_millis
                filling_use += step.cpu_millis * self.get_pace(run) // 100
                continue
            firm += step.cpu_millis
            if step.is_long_running:
                lasting += step.cpu_millis
            if step.tail_latency_limit_ms:
                serving += step.cpu_millis
        return Load(firm, serving, lasting, filling, filling_use, memory,
                    accelerators)
