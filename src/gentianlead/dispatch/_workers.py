"""State that a leader keeps for each worker: clock, lease, runs and health."""

import datetime
import enum
from typing import NamedTuple

from gentianlead import ports
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _lease_calls
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _withheld_ends

MAX_STATUS_AGE = datetime.timedelta(milliseconds=2600)
"""No run is started on a worker whose last status report arrived longer ago. A
status call may wait two seconds at the worker; the rest is for the reply to
arrive."""

SHORT_REFUSAL_BACKOFF = datetime.timedelta(milliseconds=200)
"""Time for which a worker gets no starts after it refused one for lack of
capacity, an outdated run number or an expired lease: about two status calls. It
doubles, up to `LONG_REFUSAL_BACKOFF`, with each refusal for lack of capacity
in a row: the worker has less capacity than the registry shows, and each refused
start delays its task."""

LONG_REFUSAL_BACKOFF = datetime.timedelta(seconds=1)
"""Time for which a worker gets no starts after it refused one because it is
unhealthy or was replaced, or because the order is invalid or has an outdated
fencing token."""

REFUSALS_TO_HIDE_ROOM = 2
HIDDEN_ROOM_DURATION = datetime.timedelta(seconds=4)
"""After `REFUSALS_TO_HIDE_ROOM` refusals in a row, the room of a worker is left
out of load reports for `HIDDEN_ROOM_DURATION` after each refusal: other groups
would send it tasks that it refuses. The time covers the longest pause and the
next attempt."""

QUARANTINE_DURATION = datetime.timedelta(seconds=3)
"""Time for which a worker gets no starts after it failed
`FAILURES_TO_QUARANTINE` runs in a row; then single runs test whether it is
healthy. A long-running task that fits nowhere else may test it earlier, as it
loses nothing there."""

PROBE_INTERVAL = datetime.timedelta(seconds=2)
"""Time between the starts of two runs on a worker after its quarantine, until a
run succeeds. A worker that fails all runs fails them at once. Runs that started
earlier do not delay the next one: they may never end."""

FAILURES_TO_QUARANTINE = 3
"""Failed runs in a row that put a worker in quarantine. Tasks that can never
succeed spread over the workers, so a healthy worker rarely fails three in a
row."""

SLOW_DURATION_RATIO = 2.5
"""A worker counts as slow, and is avoided for new tasks, if its average ratio
of actual to estimated run duration is above this value. Estimates of single
tasks are off by up to a factor of two."""

DURATION_RATIO_WEIGHT = 0.3
"""Weight of the newest run in the moving average of the duration ratio."""


class StartObstacle(enum.Enum):
    """Why a worker may not receive start orders.

    Attributes:
        NOT_REGISTERED: The registry does not list it.
        NOT_RECORDED: The stored `WorkersRecord` does not list it.
        DRAINING: It is about to leave.
        UNREACHABLE: It has not replied to this leader, or a later call to it
            got no usable reply.
        ENTRY_OF_OTHER_INSTANCE: Its registry entry describes another instance
            than its last status report.
        LEASE_TOO_LONG: A call to its former instance may have given it a lease
            that lasts longer than those that leaders give.
        PAUSED: It has just refused a start order.
        QUARANTINED: Runs failed on it in a row a short while ago.
        STATUS_TOO_OLD: Its last status report is older than `MAX_STATUS_AGE`.
        ON_PROBATION: A run that tests it after a quarantine has just started.
    """

    NOT_REGISTERED = "not-registered"
    NOT_RECORDED = "not-recorded"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    ENTRY_OF_OTHER_INSTANCE = "entry-of-other-instance"
    LEASE_TOO_LONG = "lease-too-long"
    PAUSED = "paused"
    QUARANTINED = "quarantined"
    STATUS_TOO_OLD = "status-too-old"
    ON_PROBATION = "on-probation"


class WorkerLoad(NamedTuple):
    """Resources that the runs on a worker take up.

    CPU is in thousandths of a core.

    Attributes:
        reserved_cpu_millis: CPU reserved by all runs except best-effort ones.
        latency_critical_cpu_millis: Part of `reserved_cpu_millis` that
            latency-critical tasks reserve.
        long_running_cpu_millis: Part of `reserved_cpu_millis` that long-running
            tasks reserve.
        best_effort_cpu_millis: CPU that best-effort tasks declare.
        throttled_best_effort_cpu_millis: CPU that best-effort tasks declare,
            multiplied by their present throttles.
        memory_mib: Memory of all runs in MiB.
        accelerators: Number of accelerators of all runs.
        long_running_memory_mib: Part of `memory_mib` of long-running tasks.
        long_running_accelerators: Part of `accelerators` of long-running tasks.
    """

    reserved_cpu_millis: int
    latency_critical_cpu_millis: int
    long_running_cpu_millis: int
    best_effort_cpu_millis: int
    throttled_best_effort_cpu_millis: int
    memory_mib: int
    accelerators: int
    long_running_memory_mib: int
    long_running_accelerators: int


class WorkerState:
    """Tracks the clock, lease, runs and health of one worker of the group.

    Times are monotonic and in seconds unless stated otherwise. A latency ratio
    is the tail latency of a task divided by the task's limit.

    Attributes:
        entry: Newest registry entry of the worker.
        is_registered: Whether the registry lists the worker.
        removed_at: Time at which the leader last saw that the worker was
            removed from the registry; 0 before that.
        is_recorded: Whether the stored `WorkersRecord` contains the worker.
        may_have_former_runs: Whether a former leader stored the worker, without
            which it could start no runs there.
        enforces_capacity: Whether the worker refuses a start for which it lacks
            capacity; False until the configuration says so.
        born_ms: Start time of the worker's instance that sent the last status
            report, in milliseconds since 1970; 0 before the first one.
        runs: Runs that have not certainly ended, by task and run number.
        unknown_runs: Reported runs that the leader does not track, by task and
            run number.
        lease_calls: Calls that extend the lease.
        withheld_ends: Run ends of this instance that are not acknowledged.
        unlisted_runs: Keys of `runs` that the last status report did not list.
        last_applied_end_number: Highest number among the run ends that this
            leader has applied; the worker numbers the run ends that it reports.
        last_stored_end_number: Highest number up to which the effects of all
            run ends are stored in the topic, so that the worker may forget
            these run ends.
        first_status_at: Time of the first status report to this leader that
            lists all unacknowledged run ends; None before it.
        last_status_at: Time of the last status report; None before the first.
        is_reachable: Whether a status report arrived, and since then no status
            call, start order or stop order lacked a usable reply.
        paused_until: Time before which no run is started on the worker, as it
            has refused a start.
        quarantined_until: Time before which only a long-running task that fits
            nowhere else is started on the worker.
        tested_at: Time at which a long-running task was last started there
            during a quarantine.
        capacity_refusals: Number of pauses since the worker last accepted a
            start that began when it refused one for lack of capacity.
        refusals: Number of refusals since the worker last accepted a start,
            for lack of capacity or because it cannot take orders; several
            starts that are refused at once count as one refusal.
        refused_at: Time of the last of them; 0 before the first one.
        consecutive_failures: Number of failed runs since the last successful
            one.
        duration_ratio: Moving average of the ratio of actual to estimated run
            duration.
        throttles: Share of their full speed, in percent, that best-effort tasks
            are allowed, by their image; has no entry for an image that is not
            throttled.
        throttle_changed_at: Time at which the throttle of an image was last
            changed, by image of best-effort tasks.
        latency_ratios: Highest latency ratio in the last status report, by
            image of latency-critical tasks.
        is_overloaded: Whether all best-effort tasks have to pause, as a
            latency-critical task has been over its limit for long.
        best_effort_usage: Recent CPU use by best-effort tasks; past use counts
            less and less, as its effect on tail latencies fades.
    """

    def __init__(self, entry: ports.WorkerEntry, timings: _orders.GroupTimings):
        self.entry = entry
        self.is_registered = True
        self.removed_at = 0.0
        self.is_recorded = False
        self.may_have_former_runs = False
        self.enforces_capacity = False
        self.born_ms = 0
        self.runs: dict[tuple, _task_runs.Run] = {}
        self.unknown_runs: dict[tuple, _task_runs.UnknownRun] = {}
        self.withheld_ends = _withheld_ends.WithheldEnds()
        self.unlisted_runs: tuple[tuple, ...] = ()
        self.last_applied_end_number = 0
        self.last_stored_end_number = 0
        self.first_status_at: float | None = None
        self.last_status_at: float | None = None
        self.is_reachable = False
        self.paused_until = 0.0
        self.quarantined_until = 0.0
        self.tested_at = float("-inf")
        self.capacity_refusals = 0
        self.refusals = 0
        self.refused_at = 0.0
        self.consecutive_failures = 0
        self.duration_ratio = 1.0
        self.throttles: dict[str, int] = {}
        self.throttle_changed_at: dict[str, float] = {}
        self.latency_ratios: dict[str, float] = {}
        self.is_overloaded = False
        self.best_effort_usage = _interference.DecayedUsage()
        self._timings = timings
        self._clock_ms = 0
        self._clock_read_at = 0.0
        self.lease_calls = _lease_calls.LeaseCalls()
        self._lease_expiry_ms = 0
        # Monotonic time in seconds by which the lease that a former leader
        # handed over has expired, also if this leader has not seen the worker.
        self._handed_over_lease_ends_at = 0.0

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.entry.worker_id

    @property
    def acknowledged_end_number(self) -> int:
        """Number up to which the next status call acknowledges run ends.

        It is 0 while the worker is unreachable: another instance may reply
        under the same identifier, which numbers its run ends anew and would
        forget those that this leader has not seen.
        """
        if not self.is_reachable:
            return 0
        return self.withheld_ends.limit_acknowledgement(
            self.last_stored_end_number)

    @property
    def latency_critical_images(self) -> set[str]:
        """Images of latency-critical tasks that run or start here."""
        return {
            run.step.image
            for run in self.runs.values()
            if run.step.tail_latency_limit_ms
        }

    @property
    def is_on_probation(self) -> bool:
        """Whether no run has succeeded since the failures of a quarantine."""
        return self.consecutive_failures >= FAILURES_TO_QUARANTINE

    @property
    def may_exceed_capacity(self) -> bool:
        """Whether any start may bring the worker over its capacity.

        That is so while it runs a task of unknown size, if it does not enforce
        its capacity itself.
        """
        return (bool(self.unknown_runs) and not self.enforces_capacity and
                any(run.step is None for run in self.unknown_runs.values()))

    def get_throttle_percent(self, run: _task_runs.Run) -> int:
        """Returns the share of its full speed, in percent, allowed to a run."""
        if not run.step.is_best_effort:
            return 100
        return self.throttles.get(run.step.image, 100)

    def mark_reachable(self) -> None:
        """Marks the worker as reachable after a status report.

        Orders that failed while it was unreachable need not wait any longer.
        """
        if not self.is_reachable:
            self.is_reachable = True
            for run in self.runs.values():
                run.stop_retry.shorten_pause()
                run.throttle_retry.shorten_pause()
            for unknown_run in self.unknown_runs.values():
                unknown_run.stop_retry.shorten_pause()

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Applies a reading of the worker's clock that arrived at `now`.

        A reading below `get_min_clock_ms` is ignored: its reply took longer
        than that of an earlier reading.
        """
        if clock_ms >= self.get_min_clock_ms(now) or not self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at = now

    def get_min_clock_ms(self, now: float) -> int:
        """Returns a lower bound of the worker's clock at `now`, in ms."""
        elapsed_s = max(0.0, now - self._clock_read_at)
        return self._clock_ms + int(
            elapsed_s * (1 - _lease_calls.MAX_RELATIVE_CLOCK_DRIFT) * 1000)

    def extend_lease(self, now: float, duration: datetime.timedelta) -> int:
        """Extends the lease to at least `duration` from `now`.

        Returns:
            End of the lease in milliseconds on the worker's clock.
        """
        expiry_ms = self.get_min_clock_ms(now) + int(
            duration.total_seconds() * 1000)
        self._lease_expiry_ms = max(self._lease_expiry_ms, expiry_ms)
        return self._lease_expiry_ms

    def begin_lease_call(self, now: float) -> _lease_calls.LeaseCall:
        """Extends the lease by a call that is sent to the worker now."""
        return self.lease_calls.begin(
            self.extend_lease(now, self._timings.lease),
            self.get_min_clock_ms(now))

    def end_lease_call(self, call: _lease_calls.LeaseCall, clock_ms: int | None,
                       now: float) -> bool:
        """Ends a call that was to extend the lease.

        Args:
            call: The call.
            clock_ms: Clock of the worker according to the reply; None without a
                reply.
            now: Present monotonic time in seconds.

        Returns:
            Whether a new instance has replied. The worker then counts as
            unreachable until a status report shows that instance.
        """
        is_replaced = self.lease_calls.end(call, clock_ms, now)
        if is_replaced:
            self.is_reachable = False
        return is_replaced

    def is_lease_expired(self, now: float) -> bool:
        """Returns whether the lease has certainly expired and all runs stopped.

        This is so `LEASE_EXPIRY_MARGIN_MS` after the end of the lease. Calls
        that were meant for a former instance count, too.
        """
        return (now >= self._handed_over_lease_ends_at and
                self.get_min_clock_ms(now) >= self._lease_expiry_ms +
                _lease_calls.LEASE_EXPIRY_MARGIN_MS and
                self._compute_misdirected_rest_s(now) <= 0.0)

    def compute_lease_rest_s(self, now: float) -> float:
        """Returns after which time `is_lease_expired` is true, in seconds."""
        rest_s = max(self._handed_over_lease_ends_at - now,
                     self._compute_misdirected_rest_s(now))
        if self._lease_expiry_ms:
            rest_ms = (self._lease_expiry_ms +
                       _lease_calls.LEASE_EXPIRY_MARGIN_MS -
                       self.get_min_clock_ms(now))
            rest_s = max(
                rest_s,
                rest_ms / 1000 / (1 - _lease_calls.MAX_RELATIVE_CLOCK_DRIFT))
        return max(0.0, rest_s)

    def _compute_misdirected_rest_s(self, now: float) -> float:
        return self.lease_calls.compute_rest_s(
            _lease_calls.compute_longest_lease_s(self._timings.max_lease),
            self.get_min_clock_ms(now), now)

    def set_handed_over_lease(self, ends_at: float, read_at: float) -> None:
        """Sets when the lease of a former leader has certainly expired.

        Args:
            ends_at: Monotonic time in seconds.
            read_at: Monotonic time in seconds after the last call of the former
                leader.
        """
        self._handed_over_lease_ends_at = ends_at
        self.lease_calls.add_former_calls(read_at)

    def compute_earliest_start(self, status: ports.WorkerStatus,
                               sent_at: float) -> float:
        """Returns a time before which a new instance has not started.

        Its clock, which may be slow, began with it. If its clock is not behind
        that of the former instance, it did not, and the start is not known.

        Args:
            status: First report of the instance.
            sent_at: Monotonic time in seconds at which the status call was
                sent.

        Returns:
            Monotonic time in seconds; `sent_at` if the start is not known.
        """
        if status.clock_ms >= self.get_min_clock_ms(sent_at):
            return sent_at
        return sent_at - status.clock_ms / 1000 / (
            1 - _lease_calls.MAX_RELATIVE_CLOCK_DRIFT)

    def set_instance(self, status: ports.WorkerStatus, recorded_born_ms: int,
                     sent_at: float, now: float) -> None:
        """Resets the state that depends on the instance of the worker.

        The caller has already ended the runs of the former instance.

        Args:
            status: First report of the instance to this leader.
            recorded_born_ms: Start time of the instance that a former leader
                knew, in milliseconds since 1970; 0 if there is none.
            sent_at: Monotonic time in seconds at which the status call was
                sent.
            now: Present monotonic time in seconds.
        """
        started_at = self.compute_earliest_start(status, sent_at)
        if not self.born_ms and recorded_born_ms not in (0, status.born_ms):
            # A leader sends nothing to a worker that it has not seen lately.
            self.lease_calls.add_former_calls(
                min(
                    now, now - status.clock_ms / 1000 +
                    (MAX_STATUS_AGE +
                     _lease_calls.CALL_END_LIMIT).total_seconds()))
        elif not self.born_ms:
            self.lease_calls.drop_settled(now)
        self.lease_calls.apply_replacement(started_at)
        if status.clock_ms < self.get_min_clock_ms(sent_at):
            self._lease_expiry_ms = 0
        self._clock_ms = 0
        self._handed_over_lease_ends_at = 0.0
        self.born_ms = status.born_ms
        self.unknown_runs.clear()
        self.withheld_ends = _withheld_ends.WithheldEnds()
        self.capacity_refusals = 0
        self.refusals = 0
        self.last_applied_end_number = 0
        self.last_stored_end_number = 0
        self.consecutive_failures = 0
        self.quarantined_until = 0.0
        self.duration_ratio = 1.0
        self.throttles.clear()
        self.throttle_changed_at.clear()
        self.latency_ratios.clear()
        self.is_overloaded = False
        self.best_effort_usage = _interference.DecayedUsage()

    def find_start_obstacle(self, now: float) -> StartObstacle | None:
        """Returns why no start order may be sent to the worker now, or None.

        The registry and the stored `WorkersRecord` must contain the worker. It
        must be reachable, neither draining nor paused nor in quarantine, and
        its last status report must not be older than `MAX_STATUS_AGE`. The
        registry entry must describe the instance that sent the report: a new
        instance may have other labels and less capacity, at the same address.
        Its lease must not last longer than those that leaders give: if the
        worker were cut off, its tasks would have to wait until it expires.
        After a quarantine, and until a run succeeds, no other run may have
        started within `PROBE_INTERVAL`.
        """
        if not self.is_registered:
            return StartObstacle.NOT_REGISTERED
        if self.entry.is_draining:
            return StartObstacle.DRAINING
        if not self.is_recorded:
            return StartObstacle.NOT_RECORDED
        if not self.is_reachable or self.first_status_at is None:
            return StartObstacle.UNREACHABLE
        if self.entry.born_ms and self.entry.born_ms != self.born_ms:
            return StartObstacle.ENTRY_OF_OTHER_INSTANCE
        if (self.lease_calls.has_misdirected and
                self._compute_misdirected_rest_s(now)
                > _lease_calls.compute_longest_lease_s(self._timings.lease)):
            return StartObstacle.LEASE_TOO_LONG
        if now < self.paused_until:
            return StartObstacle.PAUSED
        if now - self.last_status_at > MAX_STATUS_AGE.total_seconds():
            return StartObstacle.STATUS_TOO_OLD
        if now < self.quarantined_until:
            return StartObstacle.QUARANTINED
        if self.is_on_probation and any(
                now - run.start_sent_at < PROBE_INTERVAL.total_seconds()
                for run in self.runs.values()):
            return StartObstacle.ON_PROBATION
        return None

    def can_receive_starts(self, now: float) -> bool:
        """Returns whether start orders may be sent to the worker now."""
        return self.find_start_obstacle(now) is None

    def record_refusal(self, now: float) -> None:
        """Counts a refusal; the caller has not begun its pause yet."""
        if now >= self.paused_until:
            self.refusals += 1
        self.refused_at = now

    def keeps_refusing(self, now: float) -> bool:
        """Returns whether the worker is expected to refuse the next start."""
        return (self.refusals >= REFUSALS_TO_HIDE_ROOM and
                now - self.refused_at < HIDDEN_ROOM_DURATION.total_seconds())

    def may_be_tested(self, now: float) -> bool:
        """Returns whether a long-running task may end a quarantine early.

        Nothing but the quarantine keeps the worker from receiving starts, it
        does not keep refusing them, and it received no long-running task as a
        test within `PROBE_INTERVAL`.
        """
        return (now - self.tested_at >= PROBE_INTERVAL.total_seconds() and
                not self.keeps_refusing(now) and
                self.find_start_obstacle(now) is StartObstacle.QUARANTINED)

    def pause(self, duration: datetime.timedelta, now: float) -> None:
        """Lets no run start for at least `duration` from `now`."""
        self.paused_until = max(self.paused_until,
                                now + duration.total_seconds())

    def record_capacity_refusal(self, now: float) -> None:
        """Begins a pause that is longer after each refusal in a row.

        Has no effect during a pause: several starts may be refused at once.
        """
        if now < self.paused_until:
            return
        backoff = min(
            LONG_REFUSAL_BACKOFF,
            SHORT_REFUSAL_BACKOFF * 2**min(self.capacity_refusals, 10))
        self.capacity_refusals += 1
        self.paused_until = now + backoff.total_seconds()

    def record_result(self, has_succeeded: bool, now: float) -> None:
        """Counts consecutive failed runs, and starts a quarantine if needed.

        A run succeeds when it ends as done, or when its long-running task
        becomes ready.

        Each failed run from number `FAILURES_TO_QUARANTINE` on in a row starts
        a quarantine; a successful run resets the count and ends it.
        """
        if has_succeeded:
            self.consecutive_failures = 0
            self.quarantined_until = 0.0
            return
        self.consecutive_failures += 1
        if self.consecutive_failures >= FAILURES_TO_QUARANTINE:
            self.quarantined_until = now + QUARANTINE_DURATION.total_seconds()

    def record_duration(self, duration_s: float, estimate_ms: int) -> None:
        """Updates the average ratio of actual to estimated run duration.

        A run without an estimate is ignored.
        """
        if estimate_ms > 0:
            ratio = duration_s * 1000 / estimate_ms
            self.duration_ratio += DURATION_RATIO_WEIGHT * (ratio -
                                                            self.duration_ratio)

    def is_over_capacity(self) -> bool:
        """Returns whether the runs need more than the worker has."""
        load = self.compute_load()
        return (load.reserved_cpu_millis > self.entry.cpu_millis or
                load.memory_mib > self.entry.memory_mib or
                load.accelerators > self.entry.accelerators)

    def compute_load(self) -> WorkerLoad:
        """Returns the resources that the runs on the worker take up.

        Includes unknown runs whose job is known.
        """
        reserved_cpu_millis = latency_critical_cpu_millis = \
            long_running_cpu_millis = best_effort_cpu_millis = \
            memory_mib = accelerators = 0
        throttled_best_effort_cpu_millis = 0
        long_running_memory_mib = long_running_accelerators = 0
        steps = [run.step for run in self.runs.values()]
        if self.unknown_runs:
            steps += [
                run.step
                for run in self.unknown_runs.values()
                if run.step is not None
            ]
        for step in steps:
            memory_mib += step.memory_mib
            accelerators += step.accelerators
            if step.is_best_effort:
                best_effort_cpu_millis += step.cpu_millis
                throttled_best_effort_cpu_millis += (
                    step.cpu_millis * self.throttles.get(step.image, 100) //
                    100)
                continue
            reserved_cpu_millis += step.cpu_millis
            if step.is_long_running:
                long_running_cpu_millis += step.cpu_millis
                long_running_memory_mib += step.memory_mib
                long_running_accelerators += step.accelerators
            if step.tail_latency_limit_ms:
                latency_critical_cpu_millis += step.cpu_millis
        return WorkerLoad(reserved_cpu_millis, latency_critical_cpu_millis,
                          long_running_cpu_millis, best_effort_cpu_millis,
                          throttled_best_effort_cpu_millis, memory_mib,
                          accelerators, long_running_memory_mib,
                          long_running_accelerators)
