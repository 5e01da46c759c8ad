"""One entry daemon: all parts, wired together, started and stopped."""

import asyncio
import datetime
from typing import Awaitable, Callable

from aiohttp import web

import gentianlead
from gentianlead import adapters
from gentianlead import errors
from gentianlead import gateway
from gentianlead import routing
from gentianlead import settings as settings_module
from gentianlead import telemetry
from gentianlead.daemon import _caller_api
from gentianlead.daemon import _operator_api
from gentianlead.daemon import _parts
from gentianlead.daemon import _patches
from gentianlead.daemon import _servers
from gentianlead.daemon import _status

PLATFORM_INTERVAL = datetime.timedelta(seconds=1)
PEER_INTERVAL = datetime.timedelta(seconds=1)
LOAN_INTERVAL = datetime.timedelta(milliseconds=50)
LEAVING_INTERVAL = datetime.timedelta(seconds=1)
VM_LIST_LIMIT = datetime.timedelta(milliseconds=1500)
"""Age of the list of VMs after which peers are asked for the leaving targets.

The steps add up to less than the 5 s in which a mark takes effect: the age, an
interval, a query of 1 s, and the interval in which the peer reads the list."""

METRICS_INTERVAL = datetime.timedelta(seconds=1)
TLS_INTERVAL = datetime.timedelta(seconds=10)
MS_PER_S = 1000


class Node:
    """The daemon; build it inside the running loop.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: settings_module.Settings):
        self._settings = settings
        self._common = _parts.CommonParts(settings)
        self._clock = self._common.clock
        self._platform = self._common.platform
        self._metrics = self._common.metrics
        self._vm_list = adapters.HttpVMList(settings.vm_list_url,
                                            self._common.session)
        self._states = _parts.StateParts(self._common)
        self._control = _parts.ControlParts(self._common, self._states)
        self._controller = self._control.controller
        self._traffic = _parts.RequestParts(self._common, self._states,
                                            self._read_peer_status)
        self._requests = self._traffic.requests
        self._status = _status.StatusService(
            settings.name, settings.domain, self._states.clients,
            self._controller, self._control.scheduler, self._control.jobs,
            self._requests, self._traffic.directory, self._platform,
            self._clock, self.find_unready_reason)
        self._servers = self._build_servers()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_draining = False
        self._peers_leaving: frozenset[str] | None = None
        self._was_ready = False
        self._platform_lost_at: float | None = None
        self._started_at = self._clock.monotonic()

    async def start(self) -> None:
        """Starts all parts; the daemon becomes ready once it knows enough.

        Raises:
            OSError: An address cannot be bound.
        """
        address = self._settings.peer_address
        await self._traffic.server.start(address.host, address.port)
        for server in self._servers:
            await server.start()
        self._start_loops()
        telemetry.emit(telemetry.Event.DAEMON_STARTED,
                       domain=self._settings.domain,
                       version=gentianlead.__version__)

    async def _read_peer_status(self, subject: str,
                                arguments: dict[str, str]) -> object:
        if subject == gateway.LEAVING_TARGETS_SUBJECT:
            if not self._is_view_current():
                return None
            return sorted(
                self._platform.list_leaving_vms(self._states.configuration))
        return await self._status.read_status(subject, arguments)

    def _build_servers(self) -> list[_servers.HTTPServer]:
        settings = self._settings
        caller = _caller_api.CallerAPI(self._requests, self._control.jobs,
                                       self._status, self, settings,
                                       self._common.random)
        operator = _operator_api.OperatorAPI(
            _patches.PatchService(self._states.config, self._clock),
            self._status, self._requests.traces, self._metrics)
        caller_app = web.Application(client_max_size=settings.body_limit,
                                     middlewares=[_caller_api.refuse_errors])
        caller.add_routes(caller_app.router)
        operator_app = web.Application(client_max_size=settings.body_limit,
                                       middlewares=[
                                           _caller_api.refuse_errors,
                                           _operator_api.build_token_check(
                                               settings.operator_token.reveal())
                                       ])
        caller.add_shared_routes(operator_app.router)
        operator.add_routes(operator_app.router)
        return [
            _servers.HTTPServer(
                caller_app, settings.caller_address, settings.connection_limit,
                _servers.build_tls(settings.caller_tls_certificate,
                                   settings.caller_tls_key)),
            _servers.HTTPServer(
                operator_app, settings.operator_address,
                settings.connection_limit,
                _servers.build_tls(settings.operator_tls_certificate,
                                   settings.operator_tls_key)),
        ]

    def _start_loops(self) -> None:
        loop = asyncio.get_running_loop()
        for client in self._states.clients:
            self._tasks.append(loop.create_task(client.run()))
        self._tasks.append(loop.create_task(self._controller.run()))
        periodic: list[tuple[str, datetime.timedelta,
                             Callable[[], Awaitable[None]]]] = [
                                 ("platform", PLATFORM_INTERVAL,
                                  self._read_platform),
                                 ("peers", PEER_INTERVAL, self._refresh_peers),
                                 ("loans", LOAN_INTERVAL, self._exchange_loans),
                                 ("leaving targets", LEAVING_INTERVAL,
                                  self._ask_leaving),
                                 ("metrics", METRICS_INTERVAL,
                                  self._update_metrics),
                                 ("tls", TLS_INTERVAL, self._reload_tls),
                             ]
        for name, interval, action in periodic:
            self._tasks.append(
                loop.create_task(self._repeat(name, interval, action)))

    async def _repeat(self, name: str, interval: datetime.timedelta,
                      action: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await action()
            except (errors.GentianleadError, OSError) as error:
                telemetry.emit(telemetry.Event.LOOP_RESTARTED,
                               loop=name,
                               error=str(error))
            await self._clock.sleep(interval)

    async def _read_platform(self) -> None:
        now = self._clock.monotonic()
        try:
            vms = await self._vm_list.list_vms()
        except errors.LogUnavailableError as error:
            if self._platform_lost_at is None:
                self._platform_lost_at = now
                telemetry.emit(telemetry.Event.VM_LIST_UNAVAILABLE,
                               error=str(error))
            self._update_targets()
            return
        if self._platform_lost_at is not None:
            telemetry.emit(telemetry.Event.VM_LIST_AVAILABLE,
                           outage_ms=int(
                               (now - self._platform_lost_at) * MS_PER_S))
            self._platform_lost_at = None
        self._platform.update(vms, now)
        self._update_targets()
        own = str(self._settings.peer_address)
        self._traffic.directory.set_addresses([
            vm.address
            for vm in self._platform.list_entry_vms()
            if vm.address != own and not vm.is_leaving
        ])

    def _update_targets(self) -> None:
        configuration = self._states.configuration
        leaving = self._peers_leaving
        if leaving is None:
            leaving = self._platform.list_leaving_vms(configuration)
        is_in_service = configuration.is_domain_in_service(
            self._settings.domain)
        specs = [
            routing.TargetSpec(vm.name, vm.slots, vm.connections,
                               vm.name in leaving or not is_in_service)
            for vm in self._platform.list_workers(self._settings.domain)
        ]
        self._requests.router.update_targets(specs, self._clock.monotonic())

    def _is_view_current(self) -> bool:
        """Returns whether the daemon itself sees which targets leave."""
        if self._platform.updated_at is None:
            return False
        age = self._clock.monotonic() - self._platform.updated_at
        return (age <= VM_LIST_LIMIT.total_seconds() and
                self._states.config.get_age()
                <= self._settings.start_freshness_limit)

    async def _ask_leaving(self) -> None:
        """Learns the leaving targets from peers while cut off.

        The last answer stays in use until another one arrives or the daemon
        sees the platform again.
        """
        if self._is_view_current():
            self._peers_leaving = None
            return
        known = await self._traffic.directory.query_leaving_targets()
        if known is not None:
            self._peers_leaving = known
            self._update_targets()

    async def _refresh_peers(self) -> None:
        await self._traffic.directory.refresh_peer_statuses()
        configuration = self._states.configuration
        views = [
            view for view in self._traffic.directory.list_peer_statuses()
            if configuration.is_domain_in_service(view.domain)
        ]
        self._requests.router.update_peers(views)
        self._requests.poll()

    async def _exchange_loans(self) -> None:
        if self._settings.seats > 1:
            await self._traffic.directory.exchange_loans(self._requests.router)
            self._requests.poll()

    def _update_task_metrics(self) -> None:
        jobs = self._states.domain_state_machine.jobs.values()
        waiting = sum(job.count_pending_tasks() for job in jobs)
        stopped = sum(
            1 for job in jobs if job.spec.is_watcher and not job.live_tasks)
        self._metrics.set_tasks(len(self._control.runs.list_runs()), waiting,
                                stopped)

    async def _update_metrics(self) -> None:
        for client in self._states.clients:
            self._metrics.set_stream(client.stream, client.replica.position,
                                     client.get_age(),
                                     client.replica.is_complete)
        self._update_task_metrics()
        self._metrics.set_peer_stream_count(len(self._traffic.pool.get_peers()))
        is_ready = not self.find_unready_reason()
        self._metrics.set_ready(is_ready)
        self._metrics.set_member_count(
            len(self._controller.membership_tracker.list_live_members()))
        if is_ready and not self._was_ready:
            elapsed = self._clock.monotonic() - self._started_at
            telemetry.emit(telemetry.Event.DAEMON_READY,
                           elapsed_ms=int(elapsed * MS_PER_S))
        elif self._was_ready and not is_ready:
            telemetry.emit(telemetry.Event.DAEMON_NOT_READY,
                           reason=self.find_unready_reason())
        self._was_ready = is_ready

    async def _reload_tls(self) -> None:
        for server in self._servers:
            if server.tls is not None:
                server.tls.reload()

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping."""
        return self._is_draining

    def find_unready_reason(self) -> str:
        """Returns why the daemon is not ready; empty when it is."""
        if self._is_draining:
            return "the daemon is stopping"
        for client in self._states.clients:
            if not client.replica.is_complete:
                return (f"stream {client.stream!r} is incomplete: its start "
                        f"has expired and no snapshot was read yet")
            if client.freshness.as_of is None:
                return f"stream {client.stream!r} was not read to its end yet"
        if self._platform.updated_at is None:
            return "the list of VMs was not read yet"
        return ""

    def list_warnings(self) -> list[str]:
        """Returns limits that a ready daemon works under."""
        warnings = []
        limit = self._settings.start_freshness_limit
        for client in self._states.clients:
            if client.get_age() > limit:
                warnings.append(f"stream {client.stream!r} is stale; requests "
                                f"are routed by the last known state and no "
                                f"task is started")
        if self._platform_lost_at is not None:
            warnings.append("the list of VMs cannot be read; the last known "
                            "one is used")
        return warnings

    async def stop(self) -> None:
        """Stops without cutting off a request in progress."""
        self._is_draining = True
        self._controller.start_draining()
        wait = self._settings.drain_wait
        telemetry.emit(telemetry.Event.DRAIN_BEGUN,
                       wait_ms=int(wait.total_seconds() * MS_PER_S))
        began_at = self._clock.monotonic()
        await self._clock.sleep(wait)
        self._requests.start_draining()
        limit = self._settings.drain_limit
        is_idle = await self._requests.wait_idle(limit)
        if is_idle:
            elapsed = self._clock.monotonic() - began_at
            telemetry.emit(telemetry.Event.DRAIN_ENDED,
                           elapsed_ms=int(elapsed * MS_PER_S))
        else:
            telemetry.emit(telemetry.Event.DRAIN_LIMIT_REACHED,
                           requests=self._requests.open_requests,
                           limit_ms=int(limit.total_seconds() * MS_PER_S))
        await self._drain_connections(began_at + (wait + limit).total_seconds())
        await self._controller.leave()
        await self._close()

    async def _drain_connections(self, deadline: float) -> None:
        """Waits until the answers to callers and peers are sent."""
        remaining = datetime.timedelta(
            seconds=max(0.0, deadline - self._clock.monotonic()))
        await asyncio.gather(
            self._traffic.server.drain(remaining),
            *(server.drain(remaining) for server in self._servers))

    async def _close(self) -> None:
        for server in self._servers:
            await server.stop()
        await self._traffic.server.close()
        await self._traffic.pool.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._controller.close()
        await self._control.runs.close()
        await self._requests.close()
        await self._traffic.targets.close()
        await self._common.session.close()
