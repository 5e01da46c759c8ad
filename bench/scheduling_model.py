"""Small fake of a failure domain for the scheduling scenarios.

Time is an event queue. Workers run tasks at rates that follow from throttling,
from shared processors and from hidden pairwise interference. The scheduler
sees only the fold, late and noisy usage reports, and its own decisions.
"""

import heapq
import itertools
import random
from typing import Callable, NamedTuple

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state

APPEND_DELAY = 0.05
START_DELAY = 0.1
CHECKPOINT_TIME = 1.5
ORDER_DELAY = 0.2
LEASE_END = 11.0
RESTART_COST = 2.0
REPORT_INTERVAL = 5.0
REPORT_NOISE = 0.03
TICK = 0.5
SAMPLE_INTERVAL = 2.0
BALANCE_INTERVAL = 10.0
MOVES_PER_BALANCE = 50
STARTS_PER_TICK = 350

Slot = tuple[str, int]
Schedulers = Callable[..., scheduling.DomainScheduler]

_HOLDER = "entry"


class JobTruth(NamedTuple):
    """What the tasks of a job really need.

    Attributes:
        spec: What was declared.
        used: Resources that a task uses; memory grows to it in the first third
            of a run.
        work: Seconds that a task takes alone.
        is_broken: Whether every task fails.
    """

    spec: model.JobSpec
    used: model.Resources
    work: float
    is_broken: bool = False


class Interference:
    """Hidden effects between kinds of work."""

    def __init__(self) -> None:
        self.effects: dict[tuple[str, str], float] = {}

    def get(self, victim: str, aggressor: str) -> float:
        """Returns the slowdown that one run adds to a victim."""
        return self.effects.get((victim, aggressor), 0.0)


class Clock:
    """Event queue with the injected time.

    Attributes:
        now: Present time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def read(self) -> float:
        """Returns the present time."""
        return self.now

    def call_in(self, delay: float, action: Callable[[], None]) -> None:
        """Runs `action` after `delay` seconds."""
        heapq.heappush(self._events,
                       (self.now + delay, next(self._order), action))

    def run_until(self, end: float) -> None:
        """Runs all events up to `end`."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end


class Tally:
    """What happened, for the result of a scenario."""

    def __init__(self) -> None:
        self.useful_work = 0.0
        self.lost_work = 0.0
        self.evictions = 0
        self.forced_moves = 0
        self.throttles = 0
        self.failures = 0
        self.memory_kills = 0
        self.violations = 0
        self.rejected_claims = 0
        self.finished_tasks = 0
        self.service_slowdowns: list[float] = []
        self.urgent_waits: list[float] = []


class FakeRun:
    """A run on a fake worker; progress counts in seconds of work alone."""

    def __init__(self, start: scheduling.PlannedStart, truth: JobTruth,
                 now: float):
        self.start = start
        self.truth = truth
        self.begun_at = now
        self.updated_at = now
        self.saved = float(start.checkpoint or 0.0)
        self.progress = self.saved - (RESTART_COST if start.checkpoint else 0.0)
        self.throttle_share = 1.0
        self.rate = 0.0
        self.slowdown = 1.0

    def compute_memory(self) -> int:
        """Returns the memory in use, in MiB."""
        grown = min(1.0, 0.3 + 2.1 * max(0.0, self.progress) / self.truth.work)
        return int(self.truth.used.memory_mib * grown)


class FakeWorker:
    """A worker that runs tasks and slows them as the hidden truth says."""

    def __init__(self, name: str, rack: str, capacity: model.Resources,
                 services: tuple[str, ...]):
        self.name = name
        self.rack = rack
        self.capacity = capacity
        self.services = services
        self.runs: dict[Slot, FakeRun] = {}
        self.is_alive = True
        self.fails_all = False
        self.version = 0


class FakeDomain:
    """A failure domain: its fold, its scheduler and its workers."""

    def __init__(self, world: "World", name: str, workers: list[FakeWorker]):
        self.name = name
        self.state_machine = state.DomainStateMachine()
        self.workers = {worker.name: worker for worker in workers}
        self.is_reachable = True
        self._world = world
        self._clock = world.clock
        self._offset = 0
        self._truths: dict[str, JobTruth] = {}
        self._opened: dict[str, float] = {}
        self.scheduler = world.build_scheduler(self.state_machine,
                                               world.configuration, name,
                                               world.clock.read)
        for worker in workers:
            self.append(
                model.WorkerPut(worker.name, worker.rack, worker.capacity))
        self._clock.call_in(world.random.random() * TICK, self._tick)
        for worker in workers:
            self._clock.call_in(world.random.random() * REPORT_INTERVAL,
                                lambda w=worker: self._report(w))
        self._clock.call_in(SAMPLE_INTERVAL, self._sample)

    def append(self, record: model.Record) -> bool:
        """Applies a record; returns whether it was accepted."""
        self._offset += 1
        return self.state_machine.apply(self._offset, record).is_accepted

    def open_job(self,
                 truth: JobTruth,
                 epoch: int = 1,
                 done: tuple[int, ...] = (),
                 checkpoints: dict[int, str] | None = None) -> None:
        """Opens a job."""
        self._truths[truth.spec.job_id] = truth
        self._opened[truth.spec.job_id] = self._clock.now
        self.append(
            model.JobOpened(truth.spec, epoch, done, dict(checkpoints or {})))

    def compute_assigned(self) -> model.Resources:
        """Returns the resources of all unfinished tasks."""
        total = model.Resources()
        for job in self.state_machine.jobs.values():
            left = job.spec.tasks - len(job.done)
            total = total.plus(job.spec.resources.times(left))
        return total

    def compute_capacity(self) -> model.Resources:
        """Returns the capacity of all workers."""
        total = model.Resources()
        for worker in self.workers.values():
            total = total.plus(worker.capacity)
        return total

    def _tick(self) -> None:
        self._clock.call_in(TICK, self._tick)
        if not self.is_reachable:
            return
        now = self._clock.now
        starts = self.scheduler.plan_starts(now, STARTS_PER_TICK)
        for start in starts:
            self._clock.call_in(APPEND_DELAY, lambda s=start: self._claim(s))
        for eviction in self.scheduler.plan_evictions(now):
            self._clock.call_in(ORDER_DELAY, lambda e=eviction: self._order(e))
        self._close_jobs()

    def _close_jobs(self) -> None:
        for job in list(self.state_machine.jobs.values()):
            if job.is_complete:
                self.append(model.JobClosed(job.spec.job_id, job.epoch, "done"))
        self._world.move_jobs(self)

    def cancel_job(self, job_id: str) -> None:
        """Cancels a job and closes it once nothing runs."""
        self.scheduler.cancel_job(job_id)
        self._close_cancelled(job_id)

    def _close_cancelled(self, job_id: str) -> None:
        job = self.state_machine.jobs.get(job_id)
        if job is not None and not self.append(
                model.JobClosed(job_id, job.epoch, "cancelled")):
            self._clock.call_in(TICK, lambda: self._close_cancelled(job_id))

    def _claim(self, start: scheduling.PlannedStart) -> None:
        if not self.append(start.build_claim(_HOLDER)):
            self._world.tally.rejected_claims += 1
            self.scheduler.discard_claim(start)
            return
        self._check_claims(start.worker)
        self._clock.call_in(START_DELAY, lambda: self._start(start))

    def _check_claims(self, name: str) -> None:
        if min(self.state_machine.workers[name].free) < 0:
            self._world.tally.violations += 1

    def _start(self, start: scheduling.PlannedStart) -> None:
        live = self.state_machine.runs.get(start.task_key)
        worker = self.workers[start.worker]
        if live is None or live.run != start.run:
            return
        if not worker.is_alive:
            self._clock.call_in(LEASE_END,
                                lambda: self._release(start, "lapsed", ""))
            return
        if self._world.is_out(self.name):
            self._release(start, "not-started", start.checkpoint)
            return
        truth = self._truths[start.job_id]
        if truth.spec.is_urgent:
            self._world.tally.urgent_waits.append(self._clock.now -
                                                  self._opened[start.job_id])
        worker.runs[start.task_key] = FakeRun(start, truth, self._clock.now)
        self._settle(worker)
        if worker.fails_all or truth.is_broken:
            self._clock.call_in(1.0, lambda: self._fail(worker, start))

    def _fail(self, worker: FakeWorker, start: scheduling.PlannedStart) -> None:
        run = worker.runs.get(start.task_key)
        if run is not None and run.start == start:
            self._world.tally.failures += 1
            self._end(worker, run, "failed", 0.0)

    def _release(self, start: scheduling.PlannedStart, reason: str,
                 checkpoint: str) -> None:
        self.append(
            model.TaskReleased(start.job_id, start.task, start.run, reason,
                               checkpoint, _HOLDER))

    def _end(self, worker: FakeWorker, run: FakeRun, reason: str,
             kept: float) -> None:
        """Removes a run; `kept` is the progress that its checkpoint holds."""
        self._advance(worker)
        del worker.runs[run.start.task_key]
        weight = run.truth.used.cpu_millis / 1000
        kept = max(kept, run.saved)
        tally = self._world.tally
        tally.useful_work += weight * (kept - run.saved)
        tally.lost_work += weight * max(0.0, run.progress - kept)
        self._release(run.start, reason, str(kept) if kept > 0 else "")
        self._settle(worker)

    def _finish(self, worker: FakeWorker, run: FakeRun) -> None:
        del worker.runs[run.start.task_key]
        tally = self._world.tally
        tally.finished_tasks += 1
        tally.useful_work += (run.truth.used.cpu_millis / 1000 *
                              (run.truth.work - run.saved))
        self._clock.call_in(
            APPEND_DELAY, lambda: self.append(
                model.TaskFinished(run.start.job_id, run.start.task, run.start.
                                   run, _HOLDER)))

    def _order(self, eviction: scheduling.Eviction) -> None:
        worker = self.workers[eviction.worker]
        run = worker.runs.get(eviction.task_key)
        if run is None or run.start.run != eviction.run:
            return
        tally = self._world.tally
        if eviction.action is scheduling.EvictionAction.THROTTLE:
            tally.throttles += eviction.throttle_share < run.throttle_share
            self._advance(worker)
            run.throttle_share = eviction.throttle_share
            self._settle(worker)
            return
        if eviction.reason in (scheduling.EvictionReason.JOB_CANCELLED,
                               scheduling.EvictionReason.DOMAIN_OUT,
                               scheduling.EvictionReason.WORKER_LEAVING):
            tally.forced_moves += 1
        else:
            tally.evictions += 1
        if eviction.action is scheduling.EvictionAction.STOP:
            self._end(worker, run, "evicted", 0.0)
        else:
            self._clock.call_in(CHECKPOINT_TIME,
                                lambda: self._move(worker, run))

    def _move(self, worker: FakeWorker, run: FakeRun) -> None:
        if worker.runs.get(run.start.task_key) is run:
            self._advance(worker)
            self._end(worker, run, "evicted", run.progress)

    def _advance(self, worker: FakeWorker) -> None:
        """Adds progress since the last change; ends completed runs."""
        now = self._clock.now
        for run in list(worker.runs.values()):
            run.progress += run.rate * (now - run.updated_at)
            run.updated_at = now

    def _settle(self, worker: FakeWorker) -> None:
        """Computes all rates anew and plans the next completion."""
        self._advance(worker)
        for run in list(worker.runs.values()):
            if run.progress >= run.truth.work - 1e-6:
                self._finish(worker, run)
        worker.version += 1
        runs = list(worker.runs.values())
        demand = sum(
            run.truth.used.cpu_millis * run.throttle_share for run in runs)
        crowding = max(1.0, demand / worker.capacity.cpu_millis)
        effects = self._world.interference
        soonest = float("inf")
        for run in runs:
            job_id = run.start.job_id
            run.slowdown = crowding * (1.0 + sum(
                effects.get(job_id, other.start.job_id) * other.throttle_share
                for other in runs
                if other is not run))
            run.rate = run.throttle_share / run.slowdown
            soonest = min(soonest, (run.truth.work - run.progress) / run.rate)
        if runs:
            version = worker.version
            self._clock.call_in(max(0.0, soonest),
                                lambda: self._wake(worker, version))

    def _wake(self, worker: FakeWorker, version: int) -> None:
        if worker.version == version:
            self._settle(worker)

    def _compute_service_slowdown(self, worker: FakeWorker,
                                  service: str) -> float:
        runs = worker.runs.values()
        demand = sum(
            run.truth.used.cpu_millis * run.throttle_share for run in runs)
        crowding = max(1.0, demand / worker.capacity.cpu_millis)
        effects = self._world.interference
        return crowding * (1.0 + sum(
            effects.get(service, run.start.job_id) * run.throttle_share
            for run in runs))

    def _report(self, worker: FakeWorker) -> None:
        """Sends what the worker measures; it arrives seconds later."""
        self._clock.call_in(REPORT_INTERVAL, lambda: self._report(worker))
        if not worker.is_alive:
            return
        self._settle(worker)
        self._check_memory(worker)
        source = self._world.random
        as_of = self._clock.now
        reports = [
            ports.UsageReport(
                ports.RunKey(run.start.job_id, run.start.task, run.start.run),
                int(as_of * 1000),
                model.Resources(
                    int(run.truth.used.cpu_millis *
                        run.throttle_share / min(2.0, run.slowdown)),
                    run.compute_memory(), run.truth.used.accelerators),
                run.slowdown * source.gauss(1.0, REPORT_NOISE))
            for run in worker.runs.values()
        ]
        services = [(service, self._compute_service_slowdown(worker, service) *
                     source.gauss(1.0, REPORT_NOISE))
                    for service in worker.services]
        self._clock.call_in(
            source.uniform(2.0, 6.0),
            lambda: self._deliver(worker.name, reports, services, as_of))

    def _deliver(self, worker: str, reports: list[ports.UsageReport],
                 services: list[tuple[str, float]], as_of: float) -> None:
        if not self.is_reachable:
            return
        for report in reports:
            self.scheduler.observe_usage(worker, report, as_of)
        for service, slowdown in services:
            self.scheduler.observe_service_slowdown(worker, service, slowdown,
                                                    as_of)

    def _check_memory(self, worker: FakeWorker) -> None:
        """Kills the run furthest above its claim while memory is exceeded."""
        while worker.runs:
            used = sum(run.compute_memory() for run in worker.runs.values())
            if used <= worker.capacity.memory_mib:
                return
            run = max(worker.runs.values(),
                      key=lambda run: run.compute_memory() - run.start.resources
                      .memory_mib)
            self._world.tally.memory_kills += 1
            self._end(worker, run, "failed", 0.0)

    def _sample(self) -> None:
        self._clock.call_in(SAMPLE_INTERVAL, self._sample)
        if self._world.is_out(self.name):
            return
        slowdowns = self._world.tally.service_slowdowns
        for worker in self.workers.values():
            if worker.is_alive:
                for service in worker.services:
                    slowdowns.append(
                        self._compute_service_slowdown(worker, service))

    def lose_workers(self) -> None:
        """Ends all workers at once; their leases run out later."""
        for worker in self.workers.values():
            worker.is_alive = False
            self._advance(worker)
            for run in list(worker.runs.values()):
                del worker.runs[run.start.task_key]
                worker.version += 1
                weight = run.truth.used.cpu_millis / 1000
                self._world.tally.lost_work += weight * max(
                    0.0, run.progress - run.saved)
                checkpoint = str(run.saved) if run.saved > 0 else ""
                self._clock.call_in(LEASE_END,
                                    lambda s=run.start, c=checkpoint: self.
                                    _release(s, "lapsed", c))

    def restore_workers(self) -> None:
        """Brings the workers back, empty."""
        for worker in self.workers.values():
            worker.is_alive = True

    def measure_progress(self) -> float:
        """Returns the unsaved progress of live runs, in core seconds."""
        total = 0.0
        for worker in self.workers.values():
            self._advance(worker)
            for run in worker.runs.values():
                total += (run.truth.used.cpu_millis / 1000 *
                          (run.progress - run.saved))
        return total

    def get_truth(self, job_id: str) -> JobTruth:
        """Returns the truth of a job that was opened here."""
        return self._truths[job_id]


class World:
    """All domains of a scenario, and the moves of jobs between them."""

    def __init__(self, build_scheduler: Schedulers,
                 configuration: model.Configuration, seed: int):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.build_scheduler = build_scheduler
        self.configuration = configuration
        self.interference = Interference()
        self.tally = Tally()
        self.domains: dict[str, FakeDomain] = {}

    def balance(self) -> None:
        """Moves waiting jobs to emptier domains every 10 s, from now on."""
        self.clock.call_in(BALANCE_INTERVAL, self.balance)
        for domain in self.domains.values():
            if self.is_out(domain.name):
                continue
            jobs = domain.scheduler.list_idle_jobs(MOVES_PER_BALANCE)
            for move in scheduling.plan_moves(domain.name, self.list_loads(),
                                              jobs):
                self._close_and_reopen(domain,
                                       domain.state_machine.jobs[move.job_id],
                                       move.domain)

    def add_domain(self, name: str, workers: list[FakeWorker]) -> FakeDomain:
        """Adds a domain with its workers."""
        domain = self.domains[name] = FakeDomain(self, name, workers)
        return domain

    def is_out(self, name: str) -> bool:
        """Returns whether operators took the domain out."""
        return not self.configuration.is_domain_in_service(name)

    def set_in_service(self, name: str, is_in_service: bool) -> None:
        """Takes a domain out or in; every scheduler learns it 1 s later."""
        domains = dict(self.configuration.domains)
        domains[name] = domains[name]._replace(is_in_service=is_in_service)
        self.configuration = self.configuration._replace(domains=domains)
        for domain in self.domains.values():
            self.clock.call_in(1.0,
                               lambda d=domain: d.scheduler.set_configuration(
                                   self.configuration))

    def list_loads(self) -> list[scheduling.DomainLoad]:
        """Returns the load of each domain."""
        return [
            scheduling.DomainLoad(domain.name, not self.is_out(domain.name),
                                  domain.compute_capacity(),
                                  domain.compute_assigned())
            for domain in self.domains.values()
        ]

    def submit(self, truth: JobTruth) -> None:
        """Opens a job in the least loaded domain."""
        size = truth.spec.resources.times(truth.spec.tasks)
        name = scheduling.choose_domain(self.list_loads(), size)
        self.domains[name].open_job(truth)

    def move_jobs(self, source: FakeDomain) -> None:
        """Moves the jobs of a domain that is out and whose runs ended."""
        if not self.is_out(source.name):
            return
        for job in list(source.state_machine.jobs.values()):
            if job.live_tasks:
                continue
            left = job.spec.tasks - len(job.done)
            size = job.spec.resources.times(left)
            name = scheduling.choose_domain(self.list_loads(), size)
            self._close_and_reopen(source, job, name)

    def _close_and_reopen(self, source: FakeDomain, job: state.DomainJob,
                          name: str) -> None:
        if source.append(model.JobClosed(job.spec.job_id, job.epoch, "moved")):
            self.clock.call_in(2 * APPEND_DELAY,
                               lambda: self._reopen(source, job, name))

    def _reopen(self, source: FakeDomain, job: state.DomainJob,
                name: str) -> None:
        tombstone = source.state_machine.tombstones[job.spec.job_id]
        self.domains[name].open_job(source.get_truth(job.spec.job_id),
                                    job.epoch + 1, tombstone.done,
                                    tombstone.checkpoints)

    def measure_work(self) -> float:
        """Returns core seconds of progress so far, less what was lost."""
        return self.tally.useful_work + sum(
            domain.measure_progress() for domain in self.domains.values())
