"""Randomized model of groups whose best-effort jobs run beside services.

The services of each group reserve a drawn share of the CPU, in all less than
half, and the images interfere with them as drawn. Jobs arrive for a while,
workers drain, runs fail and jobs move. After that, no job may have nothing
running for long although a task is due.
"""

import random
from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import colocated_load
from gentianlead.dispatch.tests import test_moves

IMAGES = ("harmless", "mild", "heavy", "heaviest")
REPORT_TICKS = 3
MOVE_TICKS = 3
"""Ticks from the begin of a move until all leaders have read it."""

MAX_TASK_CPU_MILLIS = 3500
FAILED_SHARE = 0.05
TROUBLE_RATE = 0.01
SERVICE_SHARES = (0.1, 0.3, 0.45, 0.7, 0.85)
MAX_SERVICE_SHARE = 0.45
"""Highest mean share of the CPU that services reserve in all groups."""


class IdleTime(NamedTuple):
    """Longest time for which a job had nothing running although one was due.

    Attributes:
        seconds: The time.
        job_id: The job.
        ended_at: Simulated time at its end.
    """

    seconds: float = 0.0
    job_id: str = ""
    ended_at: float = 0.0


class _Group(colocated_load.ColocationModel):
    """Group whose runs may fail."""

    def __init__(self, site: "IdleFleet", group: str, service_share: float,
                 load: colocated_load.ServiceLoad):
        super().__init__(load, site.coefficients, site.rng.randint(2, 4),
                         site.rng.randint(1, 2), group, service_share)
        self._rng = site.rng

    def _end_run(self, worker_id: str, run, cause: ports.EndCause) -> None:
        if cause is ports.EndCause.DONE and self._rng.random() < FAILED_SHARE:
            cause = ports.EndCause.FAILED
        super()._end_run(worker_id, run, cause)

    def has_runs(self, job_id: str) -> bool:
        """Returns whether a worker of the group runs a task of a job."""
        return any(run.order.task.job_id == job_id
                   for runs in self._runs.values()
                   for run in runs)


class IdleFleet:
    """Models one to three groups and their best-effort jobs.

    Attributes:
        rng: Source of all random choices.
        coefficients: How much each image interferes.
        longest_idle: Longest idle time of a job since `end_traffic`.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.coefficients = dict(
            zip(IMAGES,
                (0.0, self.rng.uniform(0.5, 2.0), self.rng.uniform(
                    4.0, 12.0), self.rng.uniform(12.0, 40.0))))
        self.longest_idle = IdleTime()
        self._topic = test_moves.JobTopic()
        self._idle_since: dict[str, float] = {}
        self._is_busy_time = True
        self._tick = 0
        # Records of moves, each with the tick from which on leaders read them.
        self._unread_moves: list[tuple[int, tuple[dispatch.Record, ...]]] = []
        load = colocated_load.ServiceLoad(self.rng.uniform(0.3, 0.6),
                                          self.rng.uniform(0.0, 0.5),
                                          self.rng.choice((5.0, 10.0)))
        self._groups = {
            f"n{number}": _Group(self, f"n{number}", share, load)
            for number, share in enumerate(self._draw_service_shares())
        }
        self._reports: dict[str, dispatch.GroupReport] = {}

    @property
    def now(self) -> float:
        """Simulated monotonic time in seconds."""
        return next(iter(self._groups.values())).driver.now

    def _draw_service_shares(self) -> list[float]:
        count = self.rng.randint(1, 3)
        while True:
            shares = self.rng.choices(SERVICE_SHARES, k=count)
            if sum(shares) <= MAX_SERVICE_SHARE * count:
                return shares

    def run(self, busy_s: float, calm_s: float) -> None:
        """Lets jobs arrive and workers drain, and then no more."""
        for _ in range(round(busy_s / colocated_load.TICK_S)):
            if self.rng.random() < 0.06:
                self._submit()
            if self.rng.random() < TROUBLE_RATE:
                self._drain()
            self._advance()
        self._end_troubles()
        self._is_busy_time = False
        for _ in range(round(calm_s / colocated_load.TICK_S)):
            self._advance()

    def _submit(self) -> None:
        image = self.rng.choice(IMAGES)
        steps = [
            builders.build_step(self.rng.randint(1, 8),
                                is_best_effort=True,
                                has_checkpoints=self.rng.random() < 0.8,
                                image=image,
                                cpu_millis=self.rng.randint(
                                    800, MAX_TASK_CPU_MILLIS),
                                estimate_ms=colocated_load.ESTIMATE_MS,
                                depends_on=(number - 1,) if number else ())
            for number in range(self.rng.randint(1, 3))
        ]
        job = builders.build_job(f"{self._topic.table.position + 1:016x}",
                                 *steps,
                                 assignment=(self.rng.choice(list(
                                     self._groups)),))
        self._add(dispatch.AcceptedRecord(job, "a#1"))

    def _add(self, *records: dispatch.Record) -> None:
        """Stores records, which all leaders read at once."""
        self._topic.add(*records)
        for job_id in self._topic.table.take_changed_jobs():
            for group in self._groups.values():
                group.driver.scheduler.put_job(self._topic.table.jobs[job_id])

    def _drain(self) -> None:
        group = self.rng.choice(list(self._groups.values()))
        worker = self.rng.choice(list(group.driver.scheduler.workers.values()))
        group.driver.scheduler.put_worker(
            worker.entry._replace(is_draining=self.rng.random() < 0.5))

    def _end_troubles(self) -> None:
        for group in self._groups.values():
            for worker in list(group.driver.scheduler.workers.values()):
                group.driver.scheduler.put_worker(
                    worker.entry._replace(is_draining=False))

    def _advance(self) -> None:
        self._tick += 1
        for name, group in self._groups.items():
            group.run(colocated_load.TICK_S)
            scheduler = group.driver.scheduler
            load = scheduler.compute_load(self.now)
            if self._tick % REPORT_TICKS == 0:
                self._reports[name] = dispatch.GroupReport(load, self.now)
            moves = scheduler.plan_moves(lambda load=load: load,
                                         self._reports,
                                         self.now)
            self._unread_moves.extend(
                (self._tick + MOVE_TICKS,
                 (move.job.build_progress(name, scheduler.epoch), move.record))
                for move in moves)
        while self._unread_moves and self._unread_moves[0][0] <= self._tick:
            self._add(*self._unread_moves.pop(0)[1])
        self._observe()

    def _observe(self) -> None:
        idle_since = {}
        for job_id, entry in self._topic.table.jobs.items():
            if not self._is_busy_time and self._is_idle(job_id, entry):
                since = self._idle_since.get(job_id, self.now)
                idle_since[job_id] = since
                if self.now - since > self.longest_idle.seconds:
                    self.longest_idle = IdleTime(self.now - since, job_id,
                                                 self.now)
        self._idle_since = idle_since

    def _is_idle(self, job_id: str, entry: dispatch.JobEntry) -> bool:
        group = self._groups[entry.assignment[0]]
        job = group.driver.scheduler.jobs.get(job_id)
        if (job is None or job.has_ended or
                any(other.has_runs(job_id) for other in self._groups.values())):
            return False
        return any(step_run.waiting_indexes and
                   job.is_step_due(step_run, builders.NOW_MS)
                   for step_run in job.steps.values())

    def list_unfinished_jobs(self) -> list[model.SteppedJob]:
        """Returns the jobs that have not ended."""
        return [
            entry.job
            for job_id, entry in self._topic.table.jobs.items()
            if (job := self._groups[entry.assignment[0]].driver.scheduler.jobs.
                get(job_id)) is not None and not job.has_ended
        ]
