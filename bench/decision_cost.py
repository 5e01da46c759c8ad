"""Processor time of a start decision against the number of workers.

Run with `python -m bench.decision_cost`. Each size is filled with running
tasks, 17,000 at 1,400 workers, and with jobs that wait. The time covers the
decision and the upkeep of its indexes when the claim and the end of a run are
folded, on one thread; the fold's own time is included and also given alone.
"""

import json
import random
import time
from typing import NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state

WORKER_COUNTS = (24, 200, 1400)
TASKS_PER_WORKER = 17_000 / 1_400
TEAMS = 47
SIZES = 12
SERVICES = 3
DECISIONS = 2000
LIMITS = (1, 100)
TARGET_MS = 0.7
_RACK_SIZE = 8
_CAPACITY = model.Resources(32_000, 125_000, 0)
_ACCELERATOR_CAPACITY = model.Resources(32_000, 125_000, 8)

_HOLDER = "entry-1"


class CostSample(NamedTuple):
    """Measured cost at one size.

    Attributes:
        workers: Number of workers.
        running: Number of running tasks.
        limit: Starts asked for in one call.
        decisions: Starts planned; the costs are means over them.
        plan_ms: Processor time of planning one start, in milliseconds.
        upkeep_ms: Processor time to fold its claim and the end of a run with
            the scheduler as an observer.
        fold_ms: Processor time of the same records without a scheduler.
    """

    workers: int
    running: int
    limit: int
    decisions: int
    plan_ms: float
    upkeep_ms: float
    fold_ms: float


def _build_services(workers: int) -> dict[str, model.Service]:
    return {
        f"service-{i}":
            model.Service(
                f"service-{i}",
                tuple(f"worker-{j}" for j in range(i, workers, SERVICES)))
        for i in range(SERVICES)
    }


class _Domain:
    """A filled domain whose runs end and start in turn."""

    def __init__(self, workers: int, seed: int):
        self._random = random.Random(seed)
        self.now = 0.0
        self.state_machine = state.DomainStateMachine()
        self._offset = 0
        self._teams = {
            f"team-{i}": model.Team(f"team-{i}", _CAPACITY.times(workers // 8))
            for i in range(TEAMS)
        }
        self.scheduler = scheduling.DomainScheduler(
            self.state_machine,
            model.Configuration(teams=self._teams,
                                services=_build_services(workers)), "domain-1",
            self._read_clock)
        for i in range(workers):
            capacity = _ACCELERATOR_CAPACITY if i % 3 == 0 else _CAPACITY
            self.append(
                model.WorkerPut(f"worker-{i}", f"rack-{i // _RACK_SIZE}",
                                capacity))
        self._open_jobs(round(2 * workers * TASKS_PER_WORKER) + DECISIONS * 20)
        self.running: list[scheduling.PlannedStart] = []
        self.fill(round(workers * TASKS_PER_WORKER))
        self._report_usage()

    def _open_jobs(self, tasks: int) -> None:
        sizes = [
            model.Resources(self._random.randrange(1000, 3800, 100),
                            self._random.randrange(2000, 14_000, 500))
            for _ in range(SIZES)
        ]
        job = 0
        while tasks > 0:
            count = min(tasks, self._random.randrange(5, 200))
            spec = model.JobSpec(f"job-{job}",
                                 team=f"team-{job % TEAMS}",
                                 tasks=count,
                                 resources=sizes[job % SIZES])
            self.append(model.JobOpened(spec, 1, (), {}))
            tasks -= count
            job += 1

    def _report_usage(self) -> None:
        for start in self.running:
            key = ports.RunKey(start.job_id, start.task, start.run)
            report = ports.UsageReport(key, 0, start.resources,
                                       1 + self._random.random())
            self.scheduler.observe_usage(start.worker, report, self.now)

        for i in range(len(self.state_machine.workers)):
            self.scheduler.observe_service_slowdown(f"worker-{i}",
                                                    f"service-{i % SERVICES}",
                                                    1 + self._random.random(),
                                                    self.now)

    def _read_clock(self) -> float:
        return self.now

    def append(self, record: model.Record) -> None:
        """Folds a record at the next offset."""
        self._offset += 1
        self.state_machine.apply(self._offset, record)

    def fill(self, count: int) -> None:
        """Starts tasks until `count` run or nothing fits."""
        while len(self.running) < count:
            self.now += 1.0
            starts = self.scheduler.plan_starts(self.now, 200)
            if not starts and self.now > 100.0:
                return
            for start in starts:
                self.append(start.build_claim(_HOLDER))
            self.running.extend(starts)

    def pop_running(self) -> model.TaskFinished:
        """Takes a running task and returns the record of its end."""
        i = self._random.randrange(len(self.running))
        self.running[i], self.running[-1] = self.running[-1], self.running[i]
        start = self.running.pop()
        return model.TaskFinished(start.job_id, start.task, start.run, _HOLDER)


def measure(workers: int, limit: int, seed: int = 1) -> CostSample:
    """Measures one size with `limit` starts in each call."""
    domain = _Domain(workers, seed)
    bare = state.DomainStateMachine()
    bare.load(domain.state_machine.dump())
    running = len(domain.running)
    planned, plan_time, upkeep_time, fold_time = 0, 0.0, 0.0, 0.0
    rounds = 0
    while planned < DECISIONS and rounds < 2 * DECISIONS:
        batch: list[model.Record] = [
            domain.pop_running() for _ in range(min(limit, len(domain.running)))
        ]
        upkeep_time += _fold(domain.state_machine, batch)
        fold_time += _fold(bare, batch)
        begun = time.process_time()
        starts = domain.scheduler.plan_starts(domain.now, limit)
        plan_time += time.process_time() - begun
        batch = [start.build_claim(_HOLDER) for start in starts]
        upkeep_time += _fold(domain.state_machine, batch)
        fold_time += _fold(bare, batch)
        domain.running.extend(starts)
        planned += len(starts)
        domain.now += 0.01
        rounds += 1
    scale = 1000 / max(1, planned)
    return CostSample(workers, running, limit, planned, plan_time * scale,
                      upkeep_time * scale, fold_time * scale)


def _fold(state_machine: state.DomainStateMachine,
          records: list[model.Record]) -> float:
    begun = time.process_time()
    for record in records:
        state_machine.apply(0, record)
    return time.process_time() - begun


def compute_slope(samples: list[CostSample]) -> float:
    """Returns microseconds per decision for each 1,000 further workers."""
    first, last = samples[0], samples[-1]
    cost = (last.plan_ms + last.upkeep_ms) - (first.plan_ms + first.upkeep_ms)
    return 1e6 * cost / (last.workers - first.workers)


def main() -> None:
    """Prints the samples as JSON lines and the slopes."""
    for limit in LIMITS:
        samples = [measure(workers, limit) for workers in WORKER_COUNTS]
        for sample in samples:
            values = {
                name: round(value, 4)
                for name, value in sample._asdict().items()
            }
            print(json.dumps(values))
        most = samples[-1].plan_ms + samples[-1].upkeep_ms
        print(f"limit {limit}: {most:.3f} ms at {samples[-1].workers} workers "
              f"(target {TARGET_MS} ms), slope "
              f"{compute_slope(samples):.1f} us per 1,000 workers")


if __name__ == "__main__":
    main()
