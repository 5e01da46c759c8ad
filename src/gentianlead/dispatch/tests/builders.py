"""Jobs, workers and lists for tests of the decisions."""

import datetime

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports

LEASE = datetime.timedelta(seconds=5)
WAIT = datetime.timedelta(seconds=10)
STOP = datetime.timedelta(seconds=1)
EPOCH = 64
BORN = 1_700_000_000_000
NOW_MS = 1_764_849_600_000
QUEUE = model.Queue("a.example", "/q/", "svc", 1, 3, 2.0, 1000)


def build_step(count: int = 1, **fields) -> model.Step:
    """Returns a step of small tasks."""
    values = {"cpu_millis": 1000, "memory_mib": 100, "estimate_ms": 1000}
    values.update(fields)
    return model.Step(count, **values)


def build_job(job_id: str, *steps: model.Step, **fields) -> model.SteppedJob:
    """Returns a job of the group `north-1`."""
    values = {"assignment": ("north-1",), "accepted_at_ms": NOW_MS}
    values.update(fields)
    return model.SteppedJob(job_id, QUEUE, "text", steps or (build_step(),),
                            **values)


def build_entry(job: model.SteppedJob, offset: int = 100) -> dispatch.JobEntry:
    """Returns an accepted job."""
    return dispatch.build_entry(job, offset)


def build_worker(worker_id: str = "w1", **fields) -> ports.WorkerEntry:
    """Returns a worker with ten processors."""
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


def build_look(clock_ms: int = 1000,
               running: tuple = (),
               ended: tuple = (),
               born_ms: int = BORN) -> ports.WorkerStatus:
    """Returns the lists of a worker."""
    return ports.WorkerStatus(clock_ms, born_ms, running, ended)


def build_row(order: dispatch.StartOrder,
              percent: int = 0,
              latency_ms_or_cpu_millis: int | None = None,
              checkpoint: str = "") -> ports.ActiveRun:
    """Returns the row of a run that an order started."""
    return ports.ActiveRun(order.task, order.run, checkpoint, percent, latency_ms_or_cpu_millis)


def build_end(order: dispatch.StartOrder,
              number: int = 1,
              cause: ports.EndCause = ports.EndCause.DONE,
              checkpoint: str = "") -> ports.EndedRun:
    """Returns the end of a run that an order started."""
    return ports.EndedRun(number, order.task, order.run, cause, checkpoint)


class GroupDriver:
    """A scheduler with workers that were reached, on a clock of its own.

    Attributes:
        scheduler: The scheduler.
        now: Monotonic time in seconds.
    """

    def __init__(self, *workers: ports.WorkerEntry, now: float = 100.0):
        rules = dispatch.GroupRules(LEASE, WAIT, STOP)
        self.now = now
        self.model = dispatch.InterferenceModel()
        self.scheduler = dispatch.GroupScheduler("north-1", EPOCH, rules, now,
                                                 50, self.model)
        for worker in workers:
            self.add_worker(worker)

    def add_worker(self, worker: ports.WorkerEntry) -> None:
        """Adds a worker that is stored and was reached."""
        self.scheduler.put_worker(worker)
        record = self.scheduler.build_workers_record()
        if record is not None:
            self.scheduler.note_workers_recorded(record)
        self.look(worker.worker_id)

    def look(self,
             worker_id: str = "w1",
             *,
             sent_ago: float = 0.0,
             **lists) -> None:
        """Applies the lists of a worker, whose clock follows the driver's."""
        lists.setdefault("clock_ms", int(self.now * 1000))
        self.scheduler.apply_look(worker_id, build_look(**lists),
                                  self.now - sent_ago, self.now)

    def plan(self, may_start: bool = True) -> list[dispatch.Order]:
        """Returns the orders of a plan."""
        return self.scheduler.plan(self.now, NOW_MS, may_start)

    def plan_starts(self) -> list[dispatch.StartOrder]:
        """Returns the start orders of a plan."""
        return [
            order for order in self.plan()
            if isinstance(order, dispatch.StartOrder)
        ]

    def plan_stops(self) -> list[dispatch.StopOrder]:
        """Returns the stop orders of a plan."""
        return [
            order for order in self.plan()
            if isinstance(order, dispatch.StopOrder)
        ]

    def start(self) -> list[dispatch.StartOrder]:
        """Plans, and confirms all starts."""
        orders = self.plan_starts()
        for order in orders:
            self.answer(order, ports.StartOutcome.STARTED)
        return orders

    def answer(self, order: dispatch.StartOrder,
               outcome: ports.StartOutcome) -> None:
        """Applies the reply to a start order."""
        self.scheduler.apply_start_reply(order, ports.StartReply(outcome),
                                         self.now)
