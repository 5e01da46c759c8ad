"""The parts of a daemon, grouped by concern and wired together."""

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
"""Connections that a target offers to all entry VMs of its domain together."""

_COLOCATION = {
    settings_module.Weights.TAIL_LATENCY: scheduling.TAIL_LATENCY_FIRST,
    settings_module.Weights.THROUGHPUT: scheduling.THROUGHPUT_FIRST,
}


class CommonParts:
    """What all other parts use.

    Attributes:
        settings: Checked settings.
        member: This incarnation of the daemon.
        clock: Source of time.
        random: Source of randomness and identifiers.
        metrics: Metrics.
        platform: Last known VMs.
        session: HTTP session for the platform and the worker agents.
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings
        self.clock = adapters.SystemClock()
        self.random = adapters.SystemRandom()
        self.member = f"{settings.name}#{self.random.generate_id()}"
        self.metrics = telemetry.DaemonMetrics()
        self.platform = control.PlatformView()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar())


class StateParts:
    """Streams and their folds.

    Attributes:
        config_fold: State of the `config` stream.
        domain_fold: State of the domain's stream.
        config: Client of the `config` stream.
        domain: Client of the domain's stream.
        once: Client of the `once` stream.
    """

    def __init__(self, common: CommonParts):
        settings = common.settings
        self._common = common
        self._log = adapters.HttpLogService(settings.log_url, common.session)
        self.config_fold = state.ConfigurationFold()
        self.domain_fold = state.DomainFold()
        self.config = self._build(model.CONFIG_STREAM, self.config_fold)
        self.config.add_observer(
            _observers.ConfigurationTelemetry(self.config_fold, common.metrics))
        self.domain = self._build(model.get_domain_stream(settings.domain),
                                  self.domain_fold)
        self.once = self._build(model.ONE_TIME_REQUEST_STREAM, state.OnceFold())

    def _build(self, stream: str, fold: state.Fold) -> streams.StreamClient:
        common = self._common
        return streams.StreamClient(
            stream, fold, self._log, common.clock, common.member,
            common.settings.log_read_wait, common.settings.append_timeout,
            _observers.StreamTelemetry(stream, common.clock))

    @property
    def clients(self) -> list[streams.StreamClient]:
        """All stream clients."""
        return [self.config, self.domain, self.once]

    @property
    def configuration(self) -> model.Configuration:
        """The configuration in force here."""
        return self.config_fold.configuration


class ControlParts:
    """Scheduling, held runs, jobs and the control loop.

    Attributes:
        scheduler: Decisions on starts and evictions.
        runs: Runs that this daemon holds.
        jobs: Submission of jobs.
        controller: Control loop.
    """

    def __init__(self, common: CommonParts, states: StateParts):
        settings = common.settings
        self._platform = common.platform
        rights = leases.Rights(settings.start_freshness_limit,
                               settings.holding_limit)
        self.scheduler = scheduling.DomainScheduler(
            states.domain_fold,
            states.configuration,
            settings.domain,
            common.clock.monotonic,
            settings=_COLOCATION[settings.weights])
        self.runs = execution.RunManager(
            common.member, states.domain,
            adapters.HttpWorkerAgent(common.session), common.clock,
            execution.ExecutionPolicy(settings.lease_length,
                                      settings.lease_renew_interval), rights,
            self._get_agent_address, self._may_start_run,
            _observers.ExecutionTelemetry(common.metrics, common.clock,
                                          self.scheduler))
        self.jobs = _jobs.JobService(settings.domain, states.config,
                                     states.domain, self.scheduler,
                                     common.platform, common.clock)
        reconciler = control.JobReconciler(
            settings.domain, states.config_fold, states.domain_fold,
            lambda spec: self.jobs.choose_domain(spec, settings.domain))
        self.controller = control.DomainController(
            common.member, settings.seat, str(settings.peer_address),
            settings.domain, states.config, states.domain, states.once,
            common.platform, self.runs, self.scheduler, reconciler,
            common.clock, common.random, rights,
            control.ControlPolicy(
                heartbeat_interval=settings.heartbeat_interval,
                member_timeout=settings.member_timeout),
            streams.SnapshotPolicy(settings.snapshot_records,
                                   settings.log_retention),
            _observers.ControlTelemetry(common.member, settings.domain,
                                        common.metrics))

    def _get_agent_address(self, worker: str) -> str | None:
        vm = self._platform.get(worker)
        return vm.agent_address if vm else None

    def _may_start_run(self, run: execution.HeldRun) -> bool:
        return self.controller.may_start_run(run)


class RequestParts:
    """The path of requests, and peers.

    Attributes:
        targets: Client of targets.
        requests: Path of requests.
        pool: Connections to peers.
        server: Listener for peers.
        directory: Peers and their load.
    """

    def __init__(self, common: CommonParts, states: StateParts,
                 read_status: Callable[[str, dict[str, str]],
                                       Awaitable[object]]):
        settings = common.settings
        identity = peers.Hello(common.member, settings.domain)
        router = routing.RequestRouter(
            routing.RouterSettings(seat=settings.seat, seats=settings.seats),
            common.random, common.clock.monotonic())
        self.targets = adapters.HttpTargetClient(TARGET_CONNECTIONS //
                                                 settings.seats)
        tracing = telemetry.Tracing(settings.trace_exporter.value,
                                    settings.name)
        self.requests = gateway.RequestGateway(
            router, self.targets, self._send_to_peer,
            gateway.OnceGuard(states.once), lambda: states.configuration,
            common.platform, common.clock, common.random,
            _observers.GatewayTelemetry(common.metrics, tracing))
        service = gateway.PeerService(self.requests, read_status, common.clock)
        self.pool = peers.PeerPool(identity, service, common.clock,
                                   common.random, _observers.report_peer_event)
        self.server = peers.PeerServer(identity, service, common.clock,
                                       _observers.report_peer_event)
        self.directory = gateway.PeerDirectory(self.pool, settings.domain,
                                               common.clock, common.random)

    async def _send_to_peer(self, peer: str, request: gateway.CallerRequest,
                            timeout: datetime.timedelta) -> ports.HttpResponse:
        return await self.directory.send(peer, request, timeout)
