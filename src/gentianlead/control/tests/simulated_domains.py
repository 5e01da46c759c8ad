"""Daemons that run tasks on simulated workers, in one process.

Time is the manual clock of `clusters`. The log, the control loops, the
schedulers and the run managers are those of the product.
"""

import datetime
import json
from typing import NamedTuple
from unittest import mock

from gentianlead import control
from gentianlead import errors
from gentianlead import execution
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state
from gentianlead import streams
from gentianlead.control.tests import clusters

DOMAINS = ("domain-1", "domain-2")
REBOOT_SECONDS = 4.0
LEASE_LENGTH = datetime.timedelta(seconds=15)
TASK_SIZE = model.Resources(1000, 1000)
_WORKER_CAPACITY = model.Resources(4000, 4000)
_HOUR = datetime.timedelta(hours=1)


class TaskScript(NamedTuple):
    """Behaviour of a task on simulated workers, sent as its payload.

    Attributes:
        run_seconds: Run time of the task.
        crash_after: Seconds from the start until the task crashes its worker;
            None if it does not.
        crashing_task: Index of the only task of the job that crashes its
            worker; None if all do.
    """

    run_seconds: float
    crash_after: float | None = None
    crashing_task: int | None = None

    def encode(self) -> bytes:
        """Returns the payload of a job whose tasks behave like this."""
        return json.dumps(self._asdict()).encode()


class _SimulatedRun:
    """A run on a simulated worker."""

    def __init__(self, script: TaskScript, started_at: float,
                 order: ports.StartOrder):
        self.script = script
        self.started_at = started_at
        self.expires_at_ms = order.expires_at_ms
        self.fence_token = order.fence_token
        self.state = ports.RunState.RUNNING


class _SimulatedWorker:
    """A worker VM, which a task may crash and which boots again."""

    def __init__(self) -> None:
        self.boot = 1
        self.down_until = 0.0
        self.runs: dict[ports.RunKey, _SimulatedRun] = {}

    def crash(self, now: float, down_seconds: float) -> None:
        """Ends all runs; the worker boots again after some time."""
        self.runs.clear()
        self.boot += 1
        self.down_until = now + down_seconds


class Crash(NamedTuple):
    """A crash of a worker that a task caused."""

    worker: str
    job_id: str
    task: int


class SimulatedWorkers(ports.WorkerAgent):
    """Agents of all simulated workers; the address is the worker's name.

    Attributes:
        crashes: Crashes that tasks caused, in order.
        starts: Worker and run of each start, in order.
        cut_off: Names of the workers that run tasks but get no calls.
    """

    def __init__(self, clock: clusters.ManualClock):
        self._clock = clock
        self._workers: dict[str, _SimulatedWorker] = {}
        self.crashes: list[Crash] = []
        self.starts: list[tuple[str, ports.RunKey]] = []
        self.cut_off: set[str] = set()

    def cut_power(self, names: list[str], down_seconds: float) -> None:
        """Ends all runs of the workers, which boot again after some time."""
        for name in names:
            self._get_worker(name).crash(self._clock.now_s, down_seconds)

    def crash_if_busy(self, name: str, down_seconds: float) -> None:
        """Crashes a worker that is up and has runs."""
        worker = self._get_worker(name)
        if worker.runs and self._clock.now_s >= worker.down_until:
            worker.crash(self._clock.now_s, down_seconds)

    def count_crashes(self, job_id: str) -> int:
        """Returns the number of workers that tasks of a job crashed."""
        return sum(crash.job_id == job_id for crash in self.crashes)

    def count_starts(self, job_id: str, task: int = 0) -> int:
        """Returns the number of starts of a task."""
        return sum(key[:2] == (job_id, task) for _, key in self.starts)

    def list_running(self, job_id: str, task: int = 0) -> list[str]:
        """Returns the names of the workers that run a task now."""
        now_ms = self._clock.now_s * 1000
        return [
            name for name, worker in self._workers.items()
            for key, run in worker.runs.items() if key[:2] == (job_id, task) and
            run.state is ports.RunState.RUNNING and now_ms <= run.expires_at_ms
        ]

    def tick(self) -> None:
        """Crashes workers and ends runs whose time has come."""
        now = self._clock.now_s
        for name, worker in self._workers.items():
            for key, run in list(worker.runs.items()):
                if run.state is not ports.RunState.RUNNING:
                    continue
                crash_after = run.script.crash_after
                age = now - run.started_at
                if run.script.crashing_task not in (None, key.task):
                    crash_after = None
                if crash_after is not None and age >= crash_after:
                    self.crashes.append(Crash(name, key.job_id, key.task))
                    worker.crash(now, REBOOT_SECONDS)
                    break
                if age >= run.script.run_seconds:
                    run.state = ports.RunState.FINISHED
                elif now * 1000 > run.expires_at_ms:
                    run.state = ports.RunState.LEASE_EXPIRED

    def _get_worker(self, name: str) -> _SimulatedWorker:
        return self._workers.setdefault(name, _SimulatedWorker())

    def _call(self, address: str) -> _SimulatedWorker:
        worker = self._get_worker(address)
        if address in self.cut_off:
            raise errors.WorkerError("no reply", errors.Verdict.MAY_HAVE_RUN)
        if self._clock.now_s < worker.down_until:
            raise errors.WorkerError("connection refused",
                                     errors.Verdict.DID_NOT_RUN)
        return worker

    def _reply(self, worker: _SimulatedWorker,
               keys: list[ports.RunKey]) -> ports.WorkerReply:
        reports = []
        for key in keys:
            run = worker.runs.get(key)
            reports.append(
                ports.RunReport(key, run.state, run.expires_at_ms)
                if run else ports.RunReport(key, ports.RunState.UNKNOWN))
        return ports.WorkerReply(f"boot-{worker.boot}",
                                 int(self._clock.now_s * 1000), tuple(reports))

    async def start(self, address: str,
                    order: ports.StartOrder) -> ports.WorkerReply:
        worker = self._call(address)
        if order.boot_id != f"boot-{worker.boot}":
            raise errors.WorkerError("other boot", errors.Verdict.DID_NOT_RUN)
        if self._clock.now_s * 1000 > order.start_by_ms:
            raise errors.WorkerError("too late", errors.Verdict.DID_NOT_RUN)
        self.starts.append((address, order.key))
        worker.runs[order.key] = _SimulatedRun(
            TaskScript(**json.loads(order.payload)), self._clock.now_s, order)
        boot = worker.boot
        self.tick()
        if worker.boot != boot:
            raise errors.WorkerError("connection reset",
                                     errors.Verdict.MAY_HAVE_RUN)
        return self._reply(worker, [order.key])

    async def renew(self, address: str, boot_id: str,
                    renewals: list[ports.LeaseRenewal]) -> ports.WorkerReply:
        worker = self._call(address)
        for renewal in renewals:
            run = worker.runs.get(renewal.key)
            if (run is not None and boot_id == f"boot-{worker.boot}" and
                    renewal.fence_token >= run.fence_token):
                run.fence_token = renewal.fence_token
                run.expires_at_ms = max(run.expires_at_ms,
                                        renewal.expires_at_ms)
        return self._reply(worker, [renewal.key for renewal in renewals])

    async def checkpoint(self, address: str,
                         key: ports.RunKey) -> ports.WorkerReply:
        return self._reply(self._call(address), [key])

    async def throttle(self, address: str, key: ports.RunKey,
                       fraction: float) -> ports.WorkerReply:
        return self._reply(self._call(address), [key])

    async def stop(self, address: str, key: ports.RunKey) -> ports.WorkerReply:
        worker = self._call(address)
        run = worker.runs.get(key)
        if run is not None and run.state is ports.RunState.RUNNING:
            run.state = ports.RunState.STOPPED
        return self._reply(worker, [key])

    async def forget(self, address: str,
                     key: ports.RunKey) -> ports.WorkerReply:
        worker = self._call(address)
        worker.runs.pop(key, None)
        return self._reply(worker, [])

    async def list_runs(self, address: str) -> ports.WorkerReply:
        worker = self._call(address)
        return self._reply(worker, list(worker.runs))

    async def read_usage(
            self,
            address: str) -> tuple[ports.WorkerReply, list[ports.UsageReport]]:
        return self._reply(self._call(address), []), []


class Daemon(clusters.Daemon):
    """Daemon of `clusters` that starts tasks on simulated workers.

    Attributes:
        run_limits: Limits on the age of the state for the run manager.
    """

    run_limits = leases.FreshnessLimits(_HOUR, LEASE_LENGTH)

    def __init__(self, name: str, domain: str, log: ports.LogService,
                 clock: ports.Clock, max_records: int,
                 agent_client: SimulatedWorkers,
                 vm_inventory: control.VMInventory):
        self._workers = agent_client
        self._vm_inventory = vm_inventory
        self._domain = domain
        self.execution_observer = mock.create_autospec(
            execution.ExecutionObserver, instance=True)
        super().__init__(name, domain, log, clock, max_records)

    def build_vm_inventory(self) -> control.VMInventory:
        return self._vm_inventory

    def build_scheduler(self) -> scheduling.DomainScheduler:
        return scheduling.DomainScheduler(
            self.domain_client.replica.state_machine, model.Configuration(),
            self._domain, self._clock.monotonic)

    def build_run_manager(self) -> execution.RunManager:
        return execution.RunManager(
            self._incarnation, self.domain_client,
            self.gate.wrap(self._workers), self._clock,
            execution.LeaseTimings(LEASE_LENGTH,
                                   datetime.timedelta(milliseconds=1)),
            self.run_limits, lambda worker: worker, self._may_start_run,
            self.execution_observer)

    def _may_start_run(self, run: execution.HeldRun) -> bool:
        return self.controller.may_start_run(run)

    def choose_domain(self, spec: model.JobSpec) -> str | None:
        del spec
        domains = self.config_client.replica.state_machine.configuration.domains
        return next((name for name, domain in domains.items()
                     if domain.is_in_service and name != self._domain), None)


class SimulatedDomains(clusters.Cluster):
    """Daemons of two domains with simulated workers.

    Attributes:
        workers: Agents of all workers.
        daemon_type: Type of the daemons that `start` starts.

    Args:
        worker_count: Number of workers in each domain.
    """

    step_seconds = 0.25
    daemon_type = Daemon

    def __init__(self, worker_count: int):
        super().__init__()
        self.workers = SimulatedWorkers(self.clock)
        self._vm_inventory = control.VMInventory(_HOUR)
        self._vm_inventory.update([
            model.VM(name,
                     domain,
                     f"{domain}-rack",
                     roles=("worker",),
                     agent_address=name,
                     capacity=_WORKER_CAPACITY)
            for domain in DOMAINS
            for name in self.list_workers(domain, worker_count)
        ], 0.0)

    def mark_leaving(self, name: str, is_leaving: bool = True) -> None:
        """Marks a worker as leaving or live in the platform's list of VMs."""
        vm_state = model.VMState.LEAVING if is_leaving else model.VMState.LIVE
        vm = self._vm_inventory.get(name)
        self._vm_inventory.update([vm._replace(state=vm_state.value)],
                                  self.clock.monotonic())

    @staticmethod
    def list_workers(domain: str, count: int) -> list[str]:
        """Returns the names of the first workers of a domain."""
        return [f"{domain}-worker-{index}" for index in range(count)]

    def start(self,
              name: str,
              domain: str = "domain-1",
              max_records: int = 200) -> Daemon:
        daemon = self.daemon_type(name, domain, self.log, self.clock,
                                  max_records, self.workers, self._vm_inventory)
        self.daemons[name] = daemon
        return daemon

    def on_step(self) -> None:
        self.workers.tick()

    async def submit(self,
                     job_id: str,
                     script: TaskScript,
                     tasks: int = 1,
                     kind: model.JobKind = model.JobKind.BATCH,
                     is_urgent: bool = False) -> None:
        """Submits a job to the first domain."""
        spec = model.JobSpec(job_id,
                             kind=kind.value,
                             tasks=tasks,
                             resources=TASK_SIZE,
                             is_urgent=is_urgent,
                             payload=script.encode())
        await self._config_client.submit(model.JobSubmitted(
            spec, DOMAINS[0], 0))

    @property
    def _config_client(self) -> streams.StreamClient:
        return next(iter(self.daemons.values())).config_client

    async def take_out(self, domain: str) -> None:
        """Takes a domain out of service."""
        state_machine = self._config_client.replica.state_machine
        version = state_machine.configuration.version
        await self._config_client.submit(
            model.PatchSubmitted(
                f"out-{domain}", version,
                (model.encode_operation(model.DomainOut(domain)),), "", "", 0))

    def get_job(self, job_id: str) -> state.JobEntry:
        """Returns the entry of a job in the `config` stream."""
        return self._config_client.replica.state_machine.jobs[job_id]

    async def advance_until_ended(self, job_id: str,
                                  max_seconds: float) -> state.JobEntry:
        """Advances the clock until a job has ended, but not for too long."""
        for _ in range(int(max_seconds)):
            if self.get_job(job_id).outcome:
                break
            await self.advance(1.0)
        return self.get_job(job_id)
