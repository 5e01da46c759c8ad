"""Simulated workers on which best-effort tasks run beside services.

The tail latency of a service grows without bound as its utilization approaches
1. Best-effort tasks stretch the utilization in proportion to the CPU that they
use; workers report both as averages of the last half second.
"""

import collections
import math
from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

TICK_S = 0.1
STATUS_TICKS = 4
THROTTLE_TICKS = 1
MEASUREMENT_TICKS = 5
WORKER_CPU_MILLIS = 16_000
BASE_MS = 4.0
LIMIT_MS = 18
MAX_UTILIZATION = 0.985
ESTIMATE_MS = 2000


class ServiceLoad(NamedTuple):
    """Load of a long-running service over time.

    Attributes:
        mean: Mean utilization without best-effort tasks.
        swing: Share of the mean by which the load rises and falls.
        period_s: Time between two peaks in seconds.
    """

    mean: float
    swing: float
    period_s: float

    def compute(self, now: float, phase: float) -> float:
        """Returns the load at a time in seconds; a phase of 1 is a period."""
        angle = 2 * math.pi * (now / self.period_s + phase)
        return self.mean * (1 + self.swing * math.sin(angle))


class _BestEffortRun:
    """Best-effort run at its worker."""

    def __init__(self, order: dispatch.StartOrder, step: model.Step):
        self.order = order
        self.step = step
        self.progress = 0.0
        self.percent = 100
        # Throttles that take effect later: ticks until then, and percentage.
        self.pending_throttles: list[list[int]] = []
        self.recent_cpu_millis: collections.deque[float] = collections.deque(
            maxlen=MEASUREMENT_TICKS)


class ColocationModel:
    """Drives a group scheduler against simulated workers.

    Attributes:
        driver: Driver of the scheduler.
        over_limit_s: Sum over all services of the time in seconds above their
            limit.
        done_tasks: Number of best-effort tasks that are done, by image.
        lost_core_s: Work of best-effort tasks that were stopped and not saved,
            in core-seconds.
        possible_core_s: Work of an image with the highest coefficient that a
            scheduler which knows all loads could do, in core-seconds.
        heavy_core_s: Work that the images with this coefficient have done.
    """

    def __init__(self,
                 load: ServiceLoad,
                 coefficients: dict[str, float],
                 worker_count: int,
                 services_per_worker: int,
                 group: str = "north-1",
                 service_share: float = 1.0):
        """Starts the services, which reserve a share of each worker's CPU."""
        self._load = load
        self._service_cpu_millis = int(service_share * WORKER_CPU_MILLIS /
                                       services_per_worker)
        self._coefficients = coefficients
        self._services: dict[str, list] = {}
        self._runs: dict[str, list[_BestEffortRun]] = {}
        self._end_numbers: collections.Counter[str] = collections.Counter()
        self._ended: dict[str, list[ports.EndedRun]] = {}
        self._tails: dict[tuple[str, int], collections.deque[float]] = {}
        self._tick = 0
        self._job_count = 0
        self.over_limit_s = 0.0
        self.done_tasks: collections.Counter[str] = collections.Counter()
        self.lost_core_s = 0.0
        self.possible_core_s = 0.0
        self.heavy_core_s = 0.0
        self.driver = builders.GroupDriver(*(builders.build_worker(
            f"{group}-w{number}",
            domain=group,
            cpu_millis=WORKER_CPU_MILLIS,
            memory_mib=100_000) for number in range(worker_count)),
                                           group=group)
        service_step = builders.build_step(
            services_per_worker * worker_count,
            is_long_running=True,
            image="service",
            cpu_millis=self._service_cpu_millis,
            max_tasks_per_worker=(services_per_worker),
            tail_latency_limit_ms=LIMIT_MS)
        self.driver.put_job("00000000000000aa",
                            service_step,
                            assignment=(group,))
        for order in self.driver.start_all():
            self._services.setdefault(order.worker_id, []).append(order)

    def submit(self, image: str, count: int) -> None:
        """Submits a job of best-effort tasks."""
        self._job_count += 1
        job_id = f"{self._job_count:016x}"
        step = builders.build_step(count,
                                   is_best_effort=True,
                                   has_checkpoints=True,
                                   image=image,
                                   cpu_millis=1600,
                                   estimate_ms=ESTIMATE_MS)
        self.driver.put_job(job_id, step)

    def find_step(self, task: model.TaskKey) -> model.Step:
        """Returns the step of a task of the group."""
        return self.driver.scheduler.jobs[task.job_id].get_step(task).step

    def count_waiting(self, image: str) -> int:
        """Returns how many tasks of an image wait."""
        return sum(
            len(step_run.waiting_indexes)
            for job in self.driver.scheduler.jobs.values()
            for step_run in job.steps.values()
            if step_run.step.image == image)

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        for _ in range(round(duration_s / TICK_S)):
            self._tick += 1
            self.driver.now += TICK_S
            for number, worker_id in enumerate(self._services):
                self._simulate_worker(worker_id)
                if (self._tick + number) % STATUS_TICKS == 0:
                    self._report(worker_id)
            self._send_orders()

    def _simulate_worker(self, worker_id: str) -> None:
        runs = self._runs.setdefault(worker_id, [])
        loads = [
            self._load.compute(self.driver.now, (order.task.index * 0.37) % 1.0)
            for order in self._services[worker_id]
        ]
        spare_cpu_millis = max(
            0.0, WORKER_CPU_MILLIS - self._service_cpu_millis * sum(loads))
        wanted_cpu_millis = sum(
            run.step.cpu_millis * run.percent / 100 for run in runs)
        share = min(1.0, spare_cpu_millis / max(1.0, wanted_cpu_millis))
        stretch = 1.0
        highest_coefficient = max(self._coefficients.values())
        for run in list(runs):
            for pending in run.pending_throttles:
                pending[0] -= 1
            while run.pending_throttles and run.pending_throttles[0][0] <= 0:
                run.percent = run.pending_throttles.pop(0)[1]
            used = run.step.cpu_millis * run.percent / 100 * share
            run.recent_cpu_millis.append(used)
            coefficient = self._coefficients[run.step.image]
            stretch += coefficient * used / WORKER_CPU_MILLIS
            if coefficient == highest_coefficient:
                self.heavy_core_s += used / 1000 * TICK_S
            run.progress += TICK_S * 1000 * run.percent * share / (100 *
                                                                   ESTIMATE_MS)
            if run.progress >= 1:
                self._end_run(worker_id, run, ports.EndCause.DONE)
        possible_stretch = []
        for number, load in enumerate(loads):
            utilization = min(MAX_UTILIZATION, load * stretch)
            tail_ms = BASE_MS / (1 - utilization)
            self._tails.setdefault(
                (worker_id, number),
                collections.deque(maxlen=MEASUREMENT_TICKS)).append(tail_ms)
            if tail_ms > LIMIT_MS:
                self.over_limit_s += TICK_S
            possible_stretch.append((1 - BASE_MS / LIMIT_MS) / load - 1)
        possible_share = min(possible_stretch) / highest_coefficient
        self.possible_core_s += TICK_S * max(
            0.0, min(possible_share * WORKER_CPU_MILLIS,
                     spare_cpu_millis)) / 1000

    def _end_run(self, worker_id: str, run: _BestEffortRun,
                 cause: ports.EndCause) -> None:
        self._runs[worker_id].remove(run)
        self._end_numbers[worker_id] += 1
        if cause is ports.EndCause.DONE:
            self.done_tasks[run.step.image] += 1
        else:
            self.lost_core_s += (run.progress * ESTIMATE_MS / 1000 *
                                 run.step.cpu_millis / 1000)
        self._ended.setdefault(worker_id, []).append(
            builders.build_ended_run(run.order, self._end_numbers[worker_id],
                                     cause))

    def _report(self, worker_id: str) -> None:
        running = [
            builders.build_active_run(
                order, 100,
                round(
                    sum(self._tails[worker_id, number]) /
                    len(self._tails[worker_id, number])))
            for number, order in enumerate(self._services[worker_id])
        ]
        running += [
            builders.build_active_run(
                run.order, int(100 * run.progress),
                round(sum(run.recent_cpu_millis) / MEASUREMENT_TICKS))
            for run in self._runs[worker_id]
        ]
        self.driver.apply_status(worker_id,
                                 running=tuple(running),
                                 ended=tuple(self._ended.pop(worker_id, ())))

    def _send_orders(self) -> None:
        scheduler = self.driver.scheduler
        for order in self.driver.plan():
            if isinstance(order, dispatch.StartOrder):
                self._runs[order.worker_id].append(
                    _BestEffortRun(order, self.find_step(order.task)))
                self.driver.apply_start_outcome(order,
                                                ports.StartOutcome.STARTED)
                continue
            run = next(
                (run for run in self._runs[order.worker_id]
                 if (run.order.task, run.order.run) == (order.task, order.run)),
                None)
            if isinstance(order, dispatch.ThrottleOrder):
                if run is not None:
                    run.pending_throttles.append(
                        [THROTTLE_TICKS, order.throttle_percent])
                scheduler.apply_throttle_reply(order, run is not None,
                                               self.driver.now)
            elif isinstance(order, dispatch.StopOrder):
                if run is not None:
                    self._end_run(order.worker_id, run, ports.EndCause.STOPPED)
                scheduler.apply_stop_reply(order, True, self.driver.now)
        self.driver.flush()
