"""Runs that have not certainly ended, as a group leader tracks them."""

import datetime
import enum

from gentianlead import model
from gentianlead.dispatch import _interference
from gentianlead.dispatch import _order_retries

MAX_ORDER_DELAY = datetime.timedelta(seconds=15)
"""Time after which an order without a reply counts as one that is not carried
out any more. The platform speaks of seconds, and workers that were slow to
carry out orders did so after up to 12 s. A worker may count the lease of such
an order from its arrival, so the end of the lease alone is no proof."""


class RunPhase(enum.Enum):
    """State of a run at its worker, as far as this leader knows it.

    Attributes:
        STARTING: The first start order awaits its reply.
        RUNNING: The worker has confirmed the start or reported the run.
        UNKNOWN: A start order got no reply, or a repeated one was refused, so
            that the worker may execute the run or not.
        STOPPING: The worker has accepted a stop order.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    STOPPING = "stopping"


class Run:
    """Tracks one run of a task until the run has certainly ended.

    Times are monotonic and in seconds.

    Attributes:
        task: The task.
        step: Resource needs and properties of the task.
        number: Number of the run.
        worker_id: Worker to which the run was sent.
        phase: State of the run at the worker.
        start_sent_at: Time of the first start order; for a run that a former
            leader started, time at which this leader took it over.
        unanswered_at: Time by which the last start order had no conclusive
            reply; None before that, and while a repeated one awaits its reply.
        confirmed_at: Time at which the worker confirmed the start or accepted a
            stop order; None before that.
        start_attempts: Number of start orders sent; 0 once the start is
            confirmed.
        checkpoint: Newest checkpoint of the task, or empty.
        progress_percent: Progress of the task in percent; of a long-running
            task its readiness, which is 100 when it is ready.
        progressed_at: Time at which `progress_percent` last changed; before the
            first change, `start_sent_at` or the time of the reply that
            confirmed the start.
        latency_ms_or_cpu_millis: Measured value in the last status report of
            the run: tail latency in milliseconds of a latency-critical task,
            else the CPU in use in thousandths of a core. None if that report
            has no value, or before the first report.
        throttle_percent: Share of its full speed, in percent, that the last
            throttle order allows the run; 100 before the first order, and -1
            when the throttle at the worker is unknown.
        has_pending_order: Whether an order for the run awaits its reply.
        stop_retry: When a stop order that failed may be repeated.
        throttle_retry: When a throttle order that failed may be repeated.
        is_proven: Whether the run has shown that it does not crash its worker.
        is_on_probation: Whether the task was a suspect when the run started, so
            that nothing else starts on the worker until the run is proven.
        is_adopted: Whether a former leader started the run.
        may_leave_group: Whether another group has room for the task.
        load_tracker: Estimated load of a latency-critical task; None before its
            first tail latency.
        over_limit_since: Time since which the tail latency of a
            latency-critical task has been above its limit; None if it is not.
        unplaced_since: Time since which the task has lacked capacity, at the
            latest that of the first start order; None once the worker has
            confirmed or reported the run.
    """

    __slots__ = ("task", "step", "number", "worker_id", "phase",
                 "start_sent_at", "unanswered_at", "confirmed_at",
                 "start_attempts", "checkpoint", "progress_percent",
                 "progressed_at", "latency_ms_or_cpu_millis",
                 "throttle_percent", "has_pending_order", "stop_retry",
                 "throttle_retry", "is_proven", "is_on_probation", "is_adopted",
                 "may_leave_group", "load_tracker", "over_limit_since",
                 "unplaced_since")

    def __init__(self, task: model.TaskKey, step: model.Step, number: int,
                 worker_id: str, now: float):
        self.task = task
        self.step = step
        self.number = number
        self.worker_id = worker_id
        self.phase = RunPhase.STARTING
        self.start_sent_at = now
        self.unanswered_at: float | None = None
        self.confirmed_at: float | None = None
        self.start_attempts = 0
        self.checkpoint = ""
        self.progress_percent = 0
        self.progressed_at = now
        self.latency_ms_or_cpu_millis: int | None = None
        self.throttle_percent = 100
        self.has_pending_order = False
        self.stop_retry = _order_retries.OrderRetry()
        self.throttle_retry = _order_retries.OrderRetry()
        self.is_proven = False
        self.is_on_probation = False
        self.is_adopted = False
        self.may_leave_group = False
        self.load_tracker: _interference.LoadTracker | None = None
        self.over_limit_since: float | None = None
        self.unplaced_since: float | None = None

    def may_reach_instance(self, started_at: float) -> bool:
        """Returns whether a start order may reach an instance of the worker.

        It may while its reply is awaited, or if it got none and its call ended
        after the instance started.

        Args:
            started_at: Time at which the instance started, or earlier.
        """
        if self.phase not in (RunPhase.STARTING, RunPhase.UNKNOWN):
            return False
        return (self.has_pending_order or self.unanswered_at is None or
                self.unanswered_at >= started_at)

    def has_vanished(self, sent_at: float, longest_lease_s: float) -> bool:
        """Returns whether the run has ended if a status report lacks it.

        Args:
            sent_at: Time at which the status call was sent.
            longest_lease_s: Time in seconds after which the lease of a start
                order has certainly expired.
        """
        if self.phase is RunPhase.UNKNOWN:
            # A worker that replies to status calls, but to no order, would keep
            # the task from starting elsewhere.
            longest_delay_s = max(longest_lease_s,
                                  MAX_ORDER_DELAY.total_seconds())
            return (self.unanswered_at is not None and
                    sent_at >= self.unanswered_at + longest_delay_s)
        return (self.phase is not RunPhase.STARTING and
                self.confirmed_at is not None and self.confirmed_at <= sent_at)


class UnknownRun:
    """A run that a worker reports and that this leader does not track.

    It holds capacity of its worker until a status report no longer lists it.
    Times are monotonic and in seconds.

    Attributes:
        first_reported_at: Time of the first status report that listed the run.
        step: Resource needs of its task; None if the job is not known.
        has_pending_order: Whether a stop order for the run awaits its reply.
        stop_accepted_at: Time at which the worker last accepted a stop order;
            None before that.
        stop_retry: When a stop order that failed may be repeated.
    """

    __slots__ = ("first_reported_at", "step", "has_pending_order",
                 "stop_accepted_at", "stop_retry")

    def __init__(self, first_reported_at: float):
        self.first_reported_at = first_reported_at
        self.step: model.Step | None = None
        self.has_pending_order = False
        self.stop_accepted_at: float | None = None
        self.stop_retry = _order_retries.OrderRetry()
