"""Builders of test data, and a driver of a `GroupScheduler` for tests."""

import datetime

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports

LEASE = datetime.timedelta(seconds=5)
MAX_LEASE = datetime.timedelta(seconds=10)
TAKEOVER_WAIT = datetime.timedelta(seconds=10)
STOP_LIMIT = datetime.timedelta(seconds=1)
EPOCH = 64
INSTANCE_START_MS = 1_700_000_000_000
NOW_MS = 1_764_849_600_000
QUEUE = model.Queue("a.example", "/q/", "svc", 1, 3, 2.0, 1000)


def build_step(count: int = 1, **fields) -> model.Step:
    """Builds a step; by default, its tasks need one core for about one second.
    """
    values = {"cpu_millis": 1000, "memory_mib": 100, "estimate_ms": 1000}
    values.update(fields)
    return model.Step(count, **values)


def build_job(job_id: str, *steps: model.Step, **fields) -> model.SteppedJob:
    """Builds a job, by default accepted at `NOW_MS` for the group `north-1`."""
    values = {"assignment": ("north-1",), "accepted_at_ms": NOW_MS}
    values.update(fields)
    return model.SteppedJob(job_id, QUEUE, "text", steps or (build_step(),),
                            **values)


def build_job_entry(job: model.SteppedJob,
                    offset: int = 100) -> dispatch.JobEntry:
    """Builds the state of a job whose acceptance is stored at an offset."""
    return dispatch.build_job_entry(job, offset)


def build_worker(worker_id: str = "w1", **fields) -> ports.WorkerEntry:
    """Builds the registry entry of a worker, by default one with ten cores."""
    values = {
        "service": "svc",
        "address": "10.0.0.1:80",
        "domain": "north-1",
        "is_draining": False,
        "cpu_millis": 10_000,
        "memory_mib": 10_000,
        "accelerators": 0,
        "labels": frozenset({"a", "r1"})
    }
    values.update(fields)
    return ports.WorkerEntry(worker_id, **values)


def build_status(clock_ms: int = 1000,
                 running: tuple = (),
                 ended: tuple = (),
                 born_ms: int = INSTANCE_START_MS,
                 may_lack_ends: bool = False) -> ports.WorkerStatus:
    """Builds a status report of a worker."""
    return ports.WorkerStatus(clock_ms, born_ms, running, ended, may_lack_ends)


def build_active_run(order: dispatch.StartOrder,
                     percent: int = 0,
                     latency_ms_or_cpu_millis: int | None = None,
                     checkpoint: str = "") -> ports.ActiveRun:
    """Builds the part of a status report on an active run that `order` started.
    """
    return ports.ActiveRun(order.task, order.run, checkpoint, percent,
                           latency_ms_or_cpu_millis)


def build_ended_run(order: dispatch.StartOrder,
                    number: int = 1,
                    cause: ports.EndCause = ports.EndCause.DONE,
                    checkpoint: str = "") -> ports.EndedRun:
    """Builds the part of a status report on the end of a run of `order`."""
    return ports.EndedRun(number, order.task, order.run, cause, checkpoint)


class GroupDriver:
    """Drives a scheduler with a simulated clock.

    Each worker given to the driver is recorded and has sent a status report, so
    that it may receive starts.

    Attributes:
        scheduler: The scheduler under test.
        interference: Interference model of the scheduler.
        now: Simulated monotonic time in seconds.
        run_limits: Newest stored record of run limits, by job identifier.
    """

    def __init__(self,
                 *workers: ports.WorkerEntry,
                 now: float = 100.0,
                 group: str = "north-1",
                 epoch: int = EPOCH,
                 leadership_offset: int = 50):
        timings = dispatch.GroupTimings(LEASE, MAX_LEASE, TAKEOVER_WAIT,
                                        STOP_LIMIT)
        self.now = now
        self.run_limits: dict[str, dispatch.RunLimitsRecord] = {}
        self.interference = dispatch.InterferenceModel()
        self.scheduler = dispatch.GroupScheduler(group, epoch, timings, now,
                                                 leadership_offset,
                                                 self.interference)
        for worker in workers:
            self.add_worker(worker)

    def add_worker(self, worker: ports.WorkerEntry) -> None:
        """Adds a worker, marks it as recorded, and applies a status report."""
        self.scheduler.put_worker(worker)
        record = self.scheduler.build_workers_record()
        if record is not None:
            self.scheduler.mark_workers_recorded(record)
        self.apply_status(worker.worker_id)

    def put_job(self,
                job_id: str,
                *steps: model.Step,
                offset: int = 100,
                **fields) -> None:
        """Adds a job built by `build_job` that is stored at an offset."""
        self.scheduler.put_job(
            build_job_entry(build_job(job_id, *steps, **fields), offset))

    def apply_status(self,
                     worker_id: str = "w1",
                     *,
                     sent_ago_s: float = 0.0,
                     **fields) -> None:
        """Applies a status report that arrives now.

        Args:
            worker_id: The worker.
            sent_ago_s: Seconds since the status call was sent.
            **fields: Arguments of `build_status`; the worker's clock is `now`
                by default.
        """
        fields.setdefault("clock_ms", int(self.now * 1000))
        self.scheduler.apply_status(worker_id, build_status(**fields),
                                    self.now - sent_ago_s, self.now)

    def plan(self, may_start: bool = True) -> list[dispatch.Order]:
        """Makes a plan and returns all its orders.

        Run limits are stored at once, and then a second plan is made.
        """
        orders = self.scheduler.plan(self.now, NOW_MS, may_start)
        if self.store_run_limits():
            orders += self.scheduler.plan(self.now, NOW_MS, may_start)
        return orders

    def store_run_limits(self) -> bool:
        """Marks all run limits as stored; returns whether there were any."""
        records = [
            record for job in self.scheduler.jobs.values()
            for record in dispatch.build_run_limits(job, self.scheduler.group,
                                                    self.scheduler.epoch)
        ]
        self.run_limits.update((record.job_id, record) for record in records)
        return self.scheduler.mark_progress_stored(records)

    def plan_starts(self) -> list[dispatch.StartOrder]:
        """Makes a plan and returns its start orders."""
        return [
            order for order in self.plan()
            if isinstance(order, dispatch.StartOrder)
        ]

    def plan_stops(self) -> list[dispatch.StopOrder]:
        """Makes a plan and returns its stop orders."""
        return [
            order for order in self.plan()
            if isinstance(order, dispatch.StopOrder)
        ]

    def start_all(self) -> list[dispatch.StartOrder]:
        """Makes a plan, and reports that each of its start orders succeeded.

        Returns:
            The start orders of the plan.
        """
        orders = self.plan_starts()
        for order in orders:
            self.apply_start_outcome(order, ports.StartOutcome.STARTED)
        return orders

    def flush(self) -> list[dispatch.ProgressRecord]:
        """Returns the changed progress, which counts as stored at once."""
        self.store_run_limits()
        records = self.scheduler.take_dirty_progress()
        self.scheduler.mark_progress_stored(records)
        return records

    def apply_start_outcome(self, order: dispatch.StartOrder,
                            outcome: ports.StartOutcome) -> None:
        """Applies a worker's reply that gives the outcome of a start order."""
        self.scheduler.apply_start_reply(order, ports.StartReply(outcome),
                                         self.now)
