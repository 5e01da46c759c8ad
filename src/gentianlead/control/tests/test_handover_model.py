"""Random stops, failures and cuts of daemons and workers, with fixed seeds."""

import random
import unittest

from gentianlead import leases
from gentianlead import model
from gentianlead.control.tests import simulated_domains

_SEEDS = (0,)
_WORKER_COUNT = 5
_FAULT_SECONDS = 120
_FAULT_PROBABILITY = 0.12
"""Probability of a fault in each step: about one in two seconds."""

_DRAIN_SECONDS = 5
_TASK_COUNT = 3
# A failed holder may have renewed its leases for `max_age_for_renewals`, which
# the simulated daemons limit to the length of a lease; the rest is for the
# placement of suspects, which start one by one after a delay.
_RECOVERY_SECONDS = 4 * simulated_domains.LEASE_LENGTH.total_seconds()


class _Daemon(simulated_domains.Daemon):
    """Daemon that starts tasks with young state only."""

    start_limits = leases.FreshnessLimits()


class _Domains(simulated_domains.SimulatedDomains):
    """Daemons and workers of one domain under random faults.

    Args:
        seed: Seed of the faults.
    """

    daemon_type = _Daemon

    def __init__(self, seed: int):
        super().__init__(_WORKER_COUNT)
        self._random = random.Random(seed)
        self._worker_names = self.list_workers("domain-1", _WORKER_COUNT)
        # Times at which daemons exit that have begun to stop.
        self._exits: dict[str, float] = {}
        self._next_number = 0
        self.faults: list[str] = []

    def start_next(self) -> None:
        """Starts a daemon with a new name."""
        self._next_number += 1
        self.start(f"entry-{self._next_number}")

    def check_single_runs(self) -> None:
        """Checks that no task runs on two workers at once."""
        for job_id, n_tasks in (("watcher", 1), ("batch", _TASK_COUNT)):
            for task in range(n_tasks):
                workers = self.workers.list_running(job_id, task)
                assert len(workers) <= 1, (job_id, task, workers, self.faults)

    async def inject_fault(self) -> None:
        """Injects a random fault, or ends one, and ends daemons that are due.
        """
        for name, exit_at in list(self._exits.items()):
            if self.clock.now_s >= exit_at:
                await self.end(name, "leave")
        if self._random.random() < _FAULT_PROBABILITY:
            fault = self._random.choice(
                (self._stop, self._stop, self._stop, self._kill, self._pause,
                 self._hold_calls, self._cut_daemon, self._isolate_worker,
                 self._isolate_worker, self._cut_worker, self._crash_worker,
                 self._drain_worker, self._lose_replies, self.heal))
            self.faults.append(f"{self.clock.now_s} {fault.__name__}")
            await fault()

    async def end(self, name: str, method: str) -> None:
        """Ends a daemon by `leave` or `kill` and starts another one."""
        self._exits.pop(name, None)
        daemon = self.daemons[name]
        daemon.gate.is_paused = False
        daemon.gate.held_methods.clear()
        if len(self.daemons) <= 3:
            self.start_next()
        await (self.leave(name) if method == "leave" else self.kill(name))

    def _choose_daemon(self) -> str:
        return self._random.choice(list(self.daemons))

    def _choose_dispensable_daemon(self) -> str | None:
        """Returns a daemon beside which another one keeps the state, or None.

        The state is lost, and cannot be restored, if no daemon reads the
        streams until their records expire.
        """
        name = self._choose_daemon()
        others = [
            daemon for other_name, daemon in self.daemons.items()
            if other_name != name and not daemon.gate.is_paused and
            not daemon.gate.held_methods and daemon.controller.is_ready()
        ]
        return name if others else None

    async def _stop(self) -> None:
        name = self._choose_daemon()
        self.daemons[name].controller.start_draining()
        self._exits.setdefault(
            name, self.clock.now_s + self._random.uniform(0, _DRAIN_SECONDS))

    async def _kill(self) -> None:
        name = self._choose_dispensable_daemon()
        if name is not None:
            await self.end(name, "kill")

    async def _pause(self) -> None:
        name = self._choose_dispensable_daemon()
        if name is not None:
            self.daemons[name].gate.is_paused = True

    async def _hold_calls(self) -> None:
        name = self._choose_dispensable_daemon()
        if name is not None:
            self.daemons[name].gate.held_methods.add(
                self._random.choice(
                    ("read", "read", "append", "renew", "start")))

    async def _cut_daemon(self) -> None:
        self.daemons[self._choose_daemon()].gate.cut_off.add(
            self._random.choice(self._worker_names))

    async def _isolate_worker(self) -> None:
        """Cuts the worker of the watcher off from all daemons but one."""
        worker = self._random.choice(
            self.workers.list_running("watcher") or self._worker_names)
        connected = self._choose_daemon()
        for name, daemon in self.daemons.items():
            if name != connected:
                daemon.gate.cut_off.add(worker)

    async def _cut_worker(self) -> None:
        self.workers.cut_off.add(self._random.choice(self._worker_names))

    async def _crash_worker(self) -> None:
        self.workers.cut_power([self._random.choice(self._worker_names)], 4.0)

    async def _drain_worker(self) -> None:
        self.mark_leaving(self._random.choice(self._worker_names),
                          self._random.random() < 0.5)

    async def _lose_replies(self) -> None:
        self.log.loses_replies = not self.log.loses_replies

    async def heal(self) -> None:
        """Ends all faults except the stops that have begun."""
        self.log.loses_replies = False
        self.workers.cut_off.clear()
        for name in self._worker_names:
            self.mark_leaving(name, False)
        for daemon in self.daemons.values():
            daemon.gate.is_paused = False
            daemon.gate.held_methods.clear()
            daemon.gate.cut_off.clear()


class HandoverModelTest(unittest.IsolatedAsyncioTestCase):
    """Tests that tasks run once at a time and run again after the faults."""

    async def run_seed(self, seed: int) -> None:
        """Runs a watcher and a batch job under the faults of a seed."""
        domains = _Domains(seed)
        try:
            for _ in range(3):
                domains.start_next()
                await domains.advance(1)
            await domains.put_domains("domain-1")
            await domains.submit("watcher",
                                 simulated_domains.TaskScript(1e6),
                                 kind=model.JobKind.WATCHER)
            await domains.submit("batch",
                                 simulated_domains.TaskScript(25.0),
                                 tasks=_TASK_COUNT)
            for _ in range(int(_FAULT_SECONDS / domains.step_seconds)):
                await domains.inject_fault()
                await domains.advance(domains.step_seconds)
                domains.check_single_runs()
            await domains.heal()
            for _ in range(int(_RECOVERY_SECONDS / domains.step_seconds)):
                await domains.advance(domains.step_seconds)
                domains.check_single_runs()
            if not domains.get_job("watcher").outcome:
                self.assertEqual(len(domains.workers.list_running("watcher")),
                                 1, domains.faults)
        finally:
            await domains.close()

    async def test_seeds(self) -> None:
        """Guards against a task that runs twice at once, or not any more."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                await self.run_seed(seed)
