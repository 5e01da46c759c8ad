"""Constructs the components of a daemon and connects them."""

import datetime
from typing import Awaitable, Callable

import aiohttp

from gentianlead import adapters
from gentianlead import control
from gentianlead import execution
from gentianlead import gateway
from gentianlead import leases
from gentianlead import model
from gentianlead import peers
from gentianlead import ports
from gentianlead import routing
from gentianlead import scheduling
from gentianlead import settings as settings_module
from gentianlead import state
from gentianlead import streams
from gentianlead import telemetry
from gentianlead.daemon import _jobs
from gentianlead.daemon import _observers

TARGET_CONNECTIONS = 64
"""Maximum number of connections to one target from all daemons of its domain.

Each daemon may open this number divided by the number of seats."""

_COLOCATION_SETTINGS_BY_WEIGHTS = {
    settings_module.PlacementGoal.TAIL_LATENCY: scheduling.TAIL_LATENCY_FIRST,
    settings_module.PlacementGoal.THROUGHPUT: scheduling.THROUGHPUT_FIRST,
}


class CommonComponents:
    """Constructs the components that all others use.

    Attributes:
        settings: Validated settings.
        clock: Source of time.
        random: Source of random numbers and identifiers.
        member_id: Identifier of this instance of the daemon among the members
            of its domain; each start of the daemon has another one.
        metrics: Metrics of the daemon.
        vm_inventory: VMs as last read from the platform.
        session: HTTP session for the log service, the platform's list of VMs
            and the worker agents.
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings
        self.clock = adapters.SystemClock()
        self.random = adapters.SystemRandom()
        self.member_id = f"{settings.name}#{self.random.generate_id()}"
        self.metrics = telemetry.DaemonMetrics()
        self.vm_inventory = control.VMInventory()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar())


class StateComponents:
    """Constructs the stream clients and their state machines.

    Attributes:
        config_state_machine: State machine of the `config` stream.
        domain_state_machine: State machine of the domain's stream.
        config_client: Client of the `config` stream.
        domain_client: Client of the domain's stream.
        one_time_request_client: Client of the `once` stream.
    """

    def __init__(self, common_components: CommonComponents):
        settings = common_components.settings
        self._common_components = common_components
        self._log_service = adapters.HttpLogService(settings.log_url,
                                                    common_components.session)
        self.config_state_machine = state.ConfigurationStateMachine()
        self.domain_state_machine = state.DomainStateMachine()
        self.config_client = self._build_stream_client(
            model.CONFIG_STREAM, self.config_state_machine)
        self.config_client.add_observer(
            _observers.ConfigurationTelemetry(self.config_state_machine,
                                              common_components.metrics))
        self.domain_client = self._build_stream_client(
            model.get_domain_stream(settings.domain), self.domain_state_machine)
        self.one_time_request_client = self._build_stream_client(
            model.ONE_TIME_REQUEST_STREAM, state.OneTimeRequestStateMachine())

    def _build_stream_client(
            self, stream: str,
            state_machine: state.StateMachine) -> streams.StreamClient:
        common_components = self._common_components
        return streams.StreamClient(
            stream, state_machine, self._log_service, common_components.clock,
            common_components.member_id,
            common_components.settings.log_read_wait,
            common_components.settings.append_timeout,
            _observers.StreamTelemetry(stream, common_components.clock))

    @property
    def stream_clients(self) -> list[streams.StreamClient]:
        """The clients of all streams that this daemon reads."""
        return [
            self.config_client, self.domain_client, self.one_time_request_client
        ]

    @property
    def configuration(self) -> model.Configuration:
        """The newest configuration that this daemon has read."""
        return self.config_state_machine.configuration


class ControlComponents:
    """Constructs the components that schedule jobs and run their tasks.

    Attributes:
        scheduler: Decides which tasks to start and to evict in the domain.
        run_manager: Runs whose leases this daemon holds.
        job_service: Submits and cancels jobs.
        controller: Runs the control loop of the domain.
    """

    def __init__(self, common_components: CommonComponents,
                 state_components: StateComponents):
        settings = common_components.settings
        self._vm_inventory = common_components.vm_inventory
        freshness_limits = leases.FreshnessLimits(
            settings.start_freshness_limit, settings.holding_limit)
        self.scheduler = scheduling.DomainScheduler(
            state_components.domain_state_machine,
            state_components.configuration,
            settings.domain,
            common_components.clock.monotonic,
            settings=_COLOCATION_SETTINGS_BY_WEIGHTS[settings.weights])
        self.run_manager = execution.RunManager(
            common_components.member_id, state_components.domain_client,
            adapters.HttpWorkerAgent(common_components.session),
            common_components.clock,
            execution.LeaseTimings(settings.lease_length,
                                   settings.lease_renew_interval),
            freshness_limits, self._get_agent_address, self._may_start_run,
            _observers.ExecutionTelemetry(common_components.metrics,
                                          common_components.clock,
                                          self.scheduler))
        self.job_service = _jobs.CallerJobService(
            settings.domain, state_components.config_client,
            state_components.domain_client, self.scheduler,
            common_components.vm_inventory, common_components.clock)
        reconciler = control.JobReconciler(
            settings.domain, state_components.config_state_machine,
            state_components.domain_state_machine,
            lambda spec: self.job_service.choose_domain(spec, settings.domain))
        self.controller = control.DomainController(
            common_components.member_id, settings.seat,
            str(settings.peer_address), settings.domain,
            state_components.config_client, state_components.domain_client,
            state_components.one_time_request_client,
            common_components.vm_inventory, self.run_manager, self.scheduler,
            reconciler, common_components.clock, common_components.random,
            freshness_limits,
            control.ControlTimings(
                heartbeat_interval=settings.heartbeat_interval,
                member_timeout=settings.member_timeout),
            streams.SnapshotPolicy(settings.snapshot_records,
                                   settings.log_retention),
            _observers.ControlTelemetry(common_components.member_id,
                                        settings.domain,
                                        common_components.metrics))

    def _get_agent_address(self, worker: str) -> str | None:
        vm = self._vm_inventory.get(worker)
        return vm.agent_address if vm else None

    def _may_start_run(self, run: execution.HeldRun) -> bool:
        return self.controller.may_start_run(run)


class RequestComponents:
    """Constructs the components that serve requests and talk to peers.

    Attributes:
        target_client: Sends attempts to targets.
        request_gateway: Serves requests with targets and peers.
        peer_pool: Outgoing connections to peers.
        peer_server: Accepts connections from peers.
        peer_directory: Addresses, domains and load of the peers.
    """

    def __init__(self, common_components: CommonComponents,
                 state_components: StateComponents,
                 answer_peer_query: Callable[[str, dict[str, str]],
                                             Awaitable[object]]):
        settings = common_components.settings
        identity = peers.Hello(common_components.member_id, settings.domain)
        router = routing.RequestRouter(
            routing.RouterSettings(seat=settings.seat, seats=settings.seats),
            common_components.random, common_components.clock.monotonic())
        self.target_client = adapters.HttpTargetClient(TARGET_CONNECTIONS //
                                                       settings.seats)
        tracing = telemetry.Tracing(settings.trace_exporter.value,
                                    settings.name)
        self.request_gateway = gateway.RequestGateway(
            router, self.target_client, self._send_to_peer,
            gateway.IdempotencyKeyGuard(
                state_components.one_time_request_client),
            lambda: state_components.configuration,
            common_components.vm_inventory, common_components.clock,
            common_components.random,
            _observers.GatewayTelemetry(common_components.metrics, tracing))
        peer_service = gateway.PeerService(self.request_gateway,
                                           answer_peer_query,
                                           common_components.clock)
        self.peer_pool = peers.PeerPool(identity, peer_service,
                                        common_components.clock,
                                        common_components.random,
                                        _observers.emit_peer_event)
        self.peer_server = peers.PeerServer(identity, peer_service,
                                            common_components.clock,
                                            _observers.emit_peer_event)
        self.peer_directory = gateway.PeerDirectory(self.peer_pool,
                                                    settings.domain,
                                                    common_components.clock,
                                                    common_components.random)

    async def _send_to_peer(self, peer: str, request: gateway.CallerRequest,
                            timeout: datetime.timedelta) -> ports.HttpResponse:
        return await self.peer_directory.forward_request(peer, request, timeout)
