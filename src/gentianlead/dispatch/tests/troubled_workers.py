"""Model of workers of limited size that refuse starts, shrink and crash."""

import random
from typing import Callable, Mapping

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import fleet_workers
from gentianlead.dispatch.tests import leaving_workers

FAILED_SHARE_OF_SICK_WORKER = 0.8


class LimitedWorker(leaving_workers.LeavingWorker):
    """Models one instance of a worker with limited CPU and memory.

    Attributes:
        born_ms: Start time of the instance in milliseconds since 1970.
        capacity_share: Share of its CPU and memory that it offers at present.
        refuses_until: Time in seconds before which it refuses all starts.
        on_start: Called with the worker after each start that it executed.
    """

    def __init__(self, worker_id: str, group: str, rng: random.Random,
                 observer: fleet_workers.RunObserver, joined_at: float,
                 size: tuple[int, int], jobs: Mapping[str, model.SteppedJob]):
        super().__init__(worker_id, group, rng, observer, joined_at, 0.0)
        self.born_ms = builders.INSTANCE_START_MS + int(1000 * joined_at)
        self.size = size
        self.capacity_share = 1.0
        self.refuses_until = 0.0
        self.on_start: Callable[[LimitedWorker], None] = lambda _: None
        self._jobs = jobs

    @property
    def instance(self) -> str:
        """Identifier of the worker's instance; a restart changes it."""
        return f"{self.worker_id}#{self.born_ms}"

    @property
    def entry(self) -> ports.WorkerEntry:
        """Registry entry of the instance with its present capacity."""
        cpu_millis, memory_mib = self._get_capacity()
        return super().entry._replace(cpu_millis=cpu_millis,
                                      memory_mib=memory_mib,
                                      born_ms=self.born_ms)

    def has_room_for(self, step: model.Step, job_id: str) -> bool:
        """Returns whether a task of a step fits beside the present runs."""
        cpu_millis, memory_mib = self._get_capacity()
        task_count = 0
        for task, _ in self._runs:
            other_step = self._jobs[task.job_id].steps[task.step]
            cpu_millis -= other_step.cpu_millis
            memory_mib -= other_step.memory_mib
            task_count += task.job_id == job_id
        return (step.cpu_millis <= cpu_millis and
                step.memory_mib <= memory_mib and
                (not step.max_tasks_per_worker or
                 task_count < step.max_tasks_per_worker))

    def start(self, now: float, order: dispatch.StartOrder, fence_token: int,
              expiry_ms: int) -> ports.StartReply:
        """Starts a run, or refuses to."""
        if now < self.refuses_until:
            return ports.StartReply(ports.StartOutcome.UNHEALTHY,
                                    int(self.get_clock_ms(now)))
        reply = super().start(now, order, fence_token, expiry_ms)
        if reply.outcome is ports.StartOutcome.STARTED:
            self.on_start(self)
        return reply

    def poll(self, now: float, fence_token: int, acknowledged_number: int,
             expiry_ms: int | None) -> ports.WorkerStatus:
        """Forgets acknowledged ends and returns the status."""
        return super().poll(now, fence_token, acknowledged_number,
                            expiry_ms)._replace(born_ms=self.born_ms)

    def _get_capacity(self) -> tuple[int, int]:
        cpu_millis, memory_mib = self.size
        return (int(self.capacity_share * cpu_millis),
                int(self.capacity_share * memory_mib))

    def _has_room(self, task: model.TaskKey) -> bool:
        step = self._jobs[task.job_id].steps[task.step]
        return self.has_room_for(step._replace(max_tasks_per_worker=0),
                                 task.job_id)
