"""Control loops of several daemons on one log, in one process."""

import asyncio
import datetime
from typing import Any, Awaitable, Callable
from unittest import mock

from gentianlead import adapters
from gentianlead import control
from gentianlead import errors
from gentianlead import execution
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state
from gentianlead import streams

RETENTION = datetime.timedelta(seconds=10)
MEMBER_TIMEOUT = datetime.timedelta(seconds=1)
_SETTLE_TIMEOUT_S = 20.0


class ManualClock(ports.Clock):
    """Clock whose time only `now_s` changes; sleeps end almost at once."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.now_s,
                                               datetime.timezone.utc)

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(0.0005)


class ExpiringLog(ports.LogService):
    """Log service in memory whose records expire by a clock.

    Attributes:
        append_seconds_per_byte: Real time that an append takes for each byte.
        refuses_appends: Whether all appends fail and store nothing.
        loses_replies: Whether all appends take effect but fail for the caller.
    """

    def __init__(self, clock: ManualClock):
        self.append_seconds_per_byte = 0.0
        self.refuses_appends = False
        self.loses_replies = False
        self._clock = clock
        self._streams: dict[str, list[tuple[float, bytes]]] = {}

    async def append(self, stream: str, records: list[bytes],
                     timeout: datetime.timedelta) -> int:
        n_bytes = sum(len(record) for record in records)
        await asyncio.sleep(n_bytes * self.append_seconds_per_byte)
        if self.refuses_appends:
            raise errors.LogUnavailableError("the append was refused")
        stored = self._streams.setdefault(stream, [])
        first_offset = len(stored)
        stored.extend((self._clock.now_s, record) for record in records)
        if self.loses_replies:
            raise errors.LogUnavailableError("the reply was lost")
        return first_offset

    async def read(self, stream: str, start: int, limit: int,
                   wait: datetime.timedelta) -> ports.LogBatch:
        await asyncio.sleep(0.001)
        stored = self._streams.setdefault(stream, [])
        expiry = self._clock.now_s - RETENTION.total_seconds()
        earliest = next(
            (offset for offset, (appended_at, _) in enumerate(stored)
             if appended_at >= expiry), len(stored))
        if start < earliest:
            raise errors.LogReadExpiredError(stream, start, earliest,
                                             len(stored))
        records = tuple((offset, stored[offset][1])
                        for offset in range(start, len(stored))[:limit])
        return ports.LogBatch(earliest, len(stored), records)


class CallGate:
    """Holds back or fails the calls of a daemon to the log and to workers.

    A call that is held back takes effect late, with its old arguments.

    Attributes:
        is_paused: Whether the daemon is paused: all calls are held back.
        held_methods: Names of the methods whose calls are held back.
        cut_off: Names of the workers that do not answer this daemon.
    """

    def __init__(self) -> None:
        self.is_paused = False
        self.held_methods: set[str] = set()
        self.cut_off: set[str] = set()

    def wrap(self, service: Any) -> Any:
        """Returns a service whose calls and replies pass this gate."""
        return _GatedService(service, self)

    async def wait(self, method: str) -> None:
        """Waits while the calls of a method are held back."""
        while self.is_paused or method in self.held_methods:
            await asyncio.sleep(0.001)


class _GatedService:
    """Forwards calls of coroutine methods through a gate."""

    def __init__(self, service: Any, gate: CallGate):
        self._service = service
        self._gate = gate

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:

        async def call(*arguments: Any) -> Any:
            await self._gate.wait(name)
            if arguments[0] in self._gate.cut_off:
                raise errors.WorkerError("no reply",
                                         errors.Verdict.MAY_HAVE_RUN)
            reply = await getattr(self._service, name)(*arguments)
            await self._gate.wait(name)
            return reply

        return call


class Daemon:
    """Stream clients and control loop of one daemon.

    The parts of the loop that start and run tasks are replaced by mocks; a
    subclass may build real ones.

    Attributes:
        config_client: Client of the `config` stream.
        domain_client: Client of the domain's stream.
        one_time_client: Client of the `once` stream.
        controller: Control loop.
        gate: Gate of the calls to the log and to workers.
        observer: Mock that receives the events of the loop.
        timings: Durations of the control loop.
        start_limits: Limits on the age of the state for starts of tasks.
    """

    timings = control.ControlTimings(
        heartbeat_interval=datetime.timedelta(milliseconds=300),
        member_timeout=MEMBER_TIMEOUT)
    start_limits = leases.FreshnessLimits(datetime.timedelta(hours=1))

    def __init__(self, name: str, domain: str, log: ports.LogService,
                 clock: ports.Clock, max_records: int):
        self.gate = CallGate()
        self._log = self.gate.wrap(log)
        self._clock = clock
        self._incarnation = f"{name}#1"
        config_state_machine = state.ConfigurationStateMachine()
        domain_state_machine = state.DomainStateMachine()
        self.config_client = self._build_client(model.CONFIG_STREAM,
                                                config_state_machine)
        self.domain_client = self._build_client(model.get_domain_stream(domain),
                                                domain_state_machine)
        self.one_time_client = self._build_client(
            model.ONE_TIME_REQUEST_STREAM, state.OneTimeRequestStateMachine())
        self.clients = [
            self.config_client, self.domain_client, self.one_time_client
        ]
        self.observer = mock.create_autospec(control.ControlObserver,
                                             instance=True)
        self._domain = domain
        scheduler = self.build_scheduler()
        self._run_manager = self.build_run_manager()
        self.controller = control.DomainController(
            self._incarnation, 0, "127.0.0.1:1", domain,
            self.config_client, self.domain_client, self.one_time_client,
            self.build_vm_inventory(), self._run_manager, scheduler,
            control.JobReconciler(domain, config_state_machine,
                                  domain_state_machine, self.choose_domain),
            clock, adapters.SystemRandom(), self.start_limits, self.timings,
            streams.SnapshotPolicy(max_records, RETENTION), self.observer)
        self._tasks = [
            asyncio.create_task(client.run()) for client in self.clients
        ]

    def _build_client(
            self, stream: str,
            state_machine: state.StateMachine) -> streams.StreamClient:
        return streams.StreamClient(stream, state_machine, self._log,
                                    self._clock, self._incarnation,
                                    datetime.timedelta(milliseconds=10))

    def build_vm_inventory(self) -> control.VMInventory:
        """Returns the VMs that the control loop knows."""
        return control.VMInventory()

    def build_scheduler(self) -> scheduling.DomainScheduler:
        """Returns the scheduler of the control loop."""
        scheduler = mock.Mock()
        scheduler.plan_evictions.return_value = []
        scheduler.plan_starts.return_value = []
        scheduler.plan_urgent_starts.return_value = []
        scheduler.has_urgent_work.return_value = False
        return scheduler

    def build_run_manager(self) -> execution.RunManager:
        """Returns the run manager of the control loop."""
        run_manager = mock.Mock()
        run_manager.list_runs.return_value = []
        run_manager.release_ended_runs = mock.AsyncMock()
        run_manager.hand_over_runs = mock.AsyncMock()
        run_manager.close = mock.AsyncMock()
        return run_manager

    def choose_domain(self, spec: model.JobSpec) -> str | None:
        """Returns the domain to which a job is moved, or None."""
        del spec
        return self._domain

    def is_settled(self) -> bool:
        """Returns whether no append is pending and all state is current.

        An incomplete state counts as current once its stream was read to the
        end, because it can then change only after a further append. Its
        appends get no verdict until then.
        """
        return all(
            (client.appender.is_idle() or not client.replica.is_complete) and
            client.freshness.as_of == self._clock.monotonic()
            for client in self.clients)

    async def leave(self) -> None:
        """Stops as after SIGTERM: leaves the domain and ends."""
        self.controller.start_draining()
        await self.controller.leave()
        await self.kill()

    async def kill(self) -> None:
        """Ends without a trace in the log."""
        await self._run_manager.close()
        await self.controller.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Cluster:
    """Daemons that are started and ended while a manual clock advances.

    Attributes:
        clock: Clock of the log and of all daemons.
        log: Log service.
        daemons: Running daemons by name.
        step_seconds: Time between two rounds of the control loops.
    """

    step_seconds = 0.1

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log = ExpiringLog(self.clock)
        self.daemons: dict[str, Daemon] = {}

    def start(self,
              name: str,
              domain: str = "domain-1",
              max_records: int = 1000) -> Daemon:
        """Starts a daemon with nothing but the log."""
        daemon = Daemon(name, domain, self.log, self.clock, max_records)
        self.daemons[name] = daemon
        return daemon

    async def leave(self, name: str) -> None:
        """Stops a daemon as after SIGTERM."""
        await self.daemons.pop(name).leave()

    async def kill(self, name: str) -> None:
        """Ends a daemon without a trace in the log."""
        await self.daemons.pop(name).kill()

    async def close(self) -> None:
        """Ends all daemons."""
        for name in list(self.daemons):
            await self.kill(name)

    async def advance(self, seconds: float) -> None:
        """Runs the control loops repeatedly for a time of the clock."""
        for _ in range(round(seconds / self.step_seconds)):
            self.clock.now_s += self.step_seconds
            self.on_step()
            for daemon in self.daemons.values():
                if not daemon.gate.is_paused:
                    daemon.controller.run_round()
            await self._settle()

    def on_step(self) -> None:
        """Called after each step of the clock, before the control loops."""

    async def _settle(self) -> None:
        async with asyncio.timeout(_SETTLE_TIMEOUT_S):
            await asyncio.sleep(0.002)
            while not all(daemon.is_settled() for daemon in self.daemons.values(
            ) if not daemon.gate.is_paused and not daemon.gate.held_methods):
                await asyncio.sleep(0.001)

    async def put_domains(self, *names: str) -> None:
        """Puts domains in service through any running daemon."""
        client = next(iter(self.daemons.values())).config_client
        operations = tuple(
            model.encode_operation(model.PutDomain(name, "region-1"))
            for name in names)
        await client.submit(
            model.PatchSubmitted("domains", 0, operations, "", "", 0))
