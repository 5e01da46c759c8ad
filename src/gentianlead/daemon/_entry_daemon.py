"""Construction, background tasks and shutdown of one entry daemon."""

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
from gentianlead.daemon import _components
from gentianlead.daemon import _patches
from gentianlead.daemon import _servers
from gentianlead.daemon import _status

VM_LIST_READ_INTERVAL = datetime.timedelta(seconds=1)
PEER_STATUS_INTERVAL = datetime.timedelta(seconds=1)
LOAN_EXCHANGE_INTERVAL = datetime.timedelta(milliseconds=50)
LEAVING_QUERY_INTERVAL = datetime.timedelta(seconds=1)
VM_LIST_AGE_LIMIT = datetime.timedelta(milliseconds=1500)
"""Age of the list of VMs after which peers are queried for leaving targets.

A target that is marked as leaving must get no new work after 5 s. The mark
reaches this daemon sooner, because the steps add up to less than 5 s: this age,
one `LEAVING_QUERY_INTERVAL`, a query of 1 s, and one `VM_LIST_READ_INTERVAL` of
the peer."""

METRICS_UPDATE_INTERVAL = datetime.timedelta(seconds=1)
TLS_RELOAD_INTERVAL = datetime.timedelta(seconds=10)
MS_PER_S = 1000


class EntryDaemon:
    """Connects the components of a daemon, runs them and shuts them down.

    It must be constructed inside the running event loop.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: settings_module.Settings):
        self._settings = settings
        self._common_components = _components.CommonComponents(settings)
        self._clock = self._common_components.clock
        self._vm_inventory = self._common_components.vm_inventory
        self._metrics = self._common_components.metrics
        self._vm_list_client = adapters.HttpVMList(
            settings.vm_list_url, self._common_components.session)
        self._state_components = _components.StateComponents(
            self._common_components)
        self._control_components = _components.ControlComponents(
            self._common_components, self._state_components)
        self._controller = self._control_components.controller
        self._request_components = _components.RequestComponents(
            self._common_components, self._state_components,
            self._answer_peer_query)
        self._request_gateway = self._request_components.request_gateway
        self._status_service = _status.StatusService(
            settings.name, settings.domain,
            self._state_components.stream_clients, self._controller,
            self._control_components.scheduler,
            self._control_components.job_service, self._request_gateway,
            self._request_components.peer_directory, self._vm_inventory,
            self._clock, self.find_unready_reason)
        self._http_servers = self._build_http_servers()
        self._background_tasks: list[asyncio.Task[None]] = []
        self._is_draining = False
        self._leaving_targets_from_peers: frozenset[str] | None = None
        self._was_ready = False
        self._vm_list_unavailable_since_s: float | None = None
        self._started_at_s = self._clock.monotonic()

    async def start(self) -> None:
        """Starts the servers and the background tasks.

        The daemon becomes ready later, when it has read its streams and the
        list of VMs.

        Raises:
            OSError: An address cannot be bound.
        """
        address = self._settings.peer_address
        await self._request_components.peer_server.start(
            address.host, address.port)
        for http_server in self._http_servers:
            await http_server.start()
        self._start_background_tasks()
        telemetry.emit(telemetry.Event.DAEMON_STARTED,
                       domain=self._settings.domain,
                       version=gentianlead.__version__)

    async def _answer_peer_query(self, subject: str,
                                 arguments: dict[str, str]) -> object:
        if subject == gateway.LEAVING_TARGETS_SUBJECT:
            if not self._knows_leaving_targets():
                return None
            return sorted(
                self._vm_inventory.list_leaving_vms(
                    self._state_components.configuration))
        return await self._status_service.answer_peer_query(subject, arguments)

    def _build_http_servers(self) -> list[_servers.HTTPServer]:
        settings = self._settings
        caller_api = _caller_api.CallerAPI(self._request_gateway,
                                           self._control_components.job_service,
                                           self._status_service, self, settings,
                                           self._common_components.random)
        operator_api = _operator_api.OperatorAPI(
            _patches.PatchService(self._state_components.config_client,
                                  self._clock), self._status_service,
            self._request_gateway.traces, self._metrics)
        caller_app = web.Application(client_max_size=settings.body_limit,
                                     middlewares=[_caller_api.convert_errors])
        caller_api.add_routes(caller_app.router)
        operator_app = web.Application(client_max_size=settings.body_limit,
                                       middlewares=[
                                           _caller_api.convert_errors,
                                           _operator_api.build_token_middleware(
                                               settings.operator_token.reveal())
                                       ])
        caller_api.add_shared_routes(operator_app.router)
        operator_api.add_routes(operator_app.router)
        return [
            _servers.HTTPServer(
                caller_app, settings.caller_address, settings.connection_limit,
                _servers.build_tls_context(settings.caller_tls_certificate,
                                           settings.caller_tls_key)),
            _servers.HTTPServer(
                operator_app, settings.operator_address,
                settings.connection_limit,
                _servers.build_tls_context(settings.operator_tls_certificate,
                                           settings.operator_tls_key)),
        ]

    def _start_background_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        for client in self._state_components.stream_clients:
            self._background_tasks.append(loop.create_task(client.run()))
        self._background_tasks.append(loop.create_task(self._controller.run()))
        periodic_actions: list[tuple[str, datetime.timedelta, Callable[
            [], Awaitable[None]]]] = [
                ("platform", VM_LIST_READ_INTERVAL, self._update_vm_inventory),
                ("peers", PEER_STATUS_INTERVAL, self._refresh_peer_statuses),
                ("loans", LOAN_EXCHANGE_INTERVAL, self._exchange_slot_loans),
                ("leaving targets", LEAVING_QUERY_INTERVAL,
                 self._update_leaving_targets_from_peers),
                ("metrics", METRICS_UPDATE_INTERVAL, self._update_metrics),
                ("tls", TLS_RELOAD_INTERVAL, self._reload_tls),
            ]
        for name, interval, perform in periodic_actions:
            self._background_tasks.append(
                loop.create_task(self._run_periodically(name, interval,
                                                        perform)))

    async def _run_periodically(self, name: str, interval: datetime.timedelta,
                                perform: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await perform()
            except (errors.GentianleadError, OSError) as error:
                telemetry.emit(telemetry.Event.LOOP_RESTARTED,
                               loop=name,
                               error=str(error))
            await self._clock.sleep(interval)

    async def _update_vm_inventory(self) -> None:
        now_s = self._clock.monotonic()
        try:
            vms = await self._vm_list_client.list_vms()
        except errors.LogUnavailableError as error:
            if self._vm_list_unavailable_since_s is None:
                self._vm_list_unavailable_since_s = now_s
                telemetry.emit(telemetry.Event.VM_LIST_UNAVAILABLE,
                               error=str(error))
            self._update_targets()
            return
        if self._vm_list_unavailable_since_s is not None:
            telemetry.emit(
                telemetry.Event.VM_LIST_AVAILABLE,
                outage_ms=int(
                    (now_s - self._vm_list_unavailable_since_s) * MS_PER_S))
            self._vm_list_unavailable_since_s = None
        self._vm_inventory.update(vms, now_s)
        self._update_targets()
        own_peer_address = str(self._settings.peer_address)
        self._request_components.peer_directory.set_addresses([
            vm.address
            for vm in self._vm_inventory.list_entry_vms()
            if vm.address != own_peer_address and not vm.is_leaving
        ])

    def _update_targets(self) -> None:
        configuration = self._state_components.configuration
        leaving_targets = self._leaving_targets_from_peers
        if leaving_targets is None:
            leaving_targets = self._vm_inventory.list_leaving_vms(configuration)
        is_in_service = configuration.is_domain_in_service(
            self._settings.domain)
        target_specs = [
            routing.TargetSpec(vm.name, vm.slots, vm.connections,
                               vm.name in leaving_targets or not is_in_service)
            for vm in self._vm_inventory.list_workers(self._settings.domain)
        ]
        self._request_gateway.router.update_targets(target_specs,
                                                    self._clock.monotonic())

    def _knows_leaving_targets(self) -> bool:
        """Returns whether the daemon knows by itself which targets are leaving.

        For this its list of VMs and its configuration must be current.
        """
        if self._vm_inventory.updated_at is None:
            return False
        age_s = self._clock.monotonic() - self._vm_inventory.updated_at
        return (age_s <= VM_LIST_AGE_LIMIT.total_seconds() and
                self._state_components.config_client.get_age()
                <= self._settings.start_freshness_limit)

    async def _update_leaving_targets_from_peers(self) -> None:
        """Queries peers for leaving targets while the own data are out of date.

        The last reply stays in use until another reply arrives or the own data
        are current again.
        """
        if self._knows_leaving_targets():
            self._leaving_targets_from_peers = None
            return
        leaving_targets = await (
            self._request_components.peer_directory.query_leaving_targets())
        if leaving_targets is not None:
            self._leaving_targets_from_peers = leaving_targets
            self._update_targets()

    async def _refresh_peer_statuses(self) -> None:
        await self._request_components.peer_directory.refresh_peer_statuses()
        configuration = self._state_components.configuration
        peer_statuses = [
            peer_status for peer_status in
            self._request_components.peer_directory.list_peer_statuses()
            if configuration.is_domain_in_service(peer_status.domain)
        ]
        self._request_gateway.router.update_peers(peer_statuses)
        self._request_gateway.poll()

    async def _exchange_slot_loans(self) -> None:
        if self._settings.seats > 1:
            await self._request_components.peer_directory.exchange_loans(
                self._request_gateway.router)
            self._request_gateway.poll()

    def _update_task_metrics(self) -> None:
        jobs = self._state_components.domain_state_machine.jobs.values()
        n_waiting_tasks = sum(job.count_pending_tasks() for job in jobs)
        n_stopped_watchers = sum(
            1 for job in jobs if job.spec.is_watcher and not job.live_tasks)
        self._metrics.set_tasks(
            len(self._control_components.run_manager.list_runs()),
            n_waiting_tasks, n_stopped_watchers)

    async def _update_metrics(self) -> None:
        for client in self._state_components.stream_clients:
            self._metrics.set_stream(client.stream, client.replica.position,
                                     client.get_age(),
                                     client.replica.is_complete)
        self._update_task_metrics()
        self._metrics.set_peer_stream_count(
            len(self._request_components.peer_pool.get_peers()))
        is_ready = not self.find_unready_reason()
        self._metrics.set_ready(is_ready)
        self._metrics.set_member_count(
            len(self._controller.membership_tracker.list_live_members()))
        if is_ready and not self._was_ready:
            elapsed_s = self._clock.monotonic() - self._started_at_s
            telemetry.emit(telemetry.Event.DAEMON_READY,
                           elapsed_ms=int(elapsed_s * MS_PER_S))
        elif self._was_ready and not is_ready:
            telemetry.emit(telemetry.Event.DAEMON_NOT_READY,
                           reason=self.find_unready_reason())
        self._was_ready = is_ready

    async def _reload_tls(self) -> None:
        for http_server in self._http_servers:
            if http_server.tls_context is not None:
                http_server.tls_context.reload()

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping and about to refuse requests."""
        return self._is_draining

    def find_unready_reason(self) -> str:
        """Returns why the daemon is not ready; empty when it is ready."""
        if self._is_draining:
            return "the daemon is stopping"
        for client in self._state_components.stream_clients:
            if not client.replica.is_complete:
                return (f"stream {client.stream!r} is incomplete: its start "
                        f"has expired and no snapshot was read yet")
            if client.freshness.as_of is None:
                return f"stream {client.stream!r} was not read to its end yet"
        if self._vm_inventory.updated_at is None:
            return "the list of VMs was not read yet"
        return ""

    def list_warnings(self) -> list[str]:
        """Returns the problems that limit what a ready daemon can do."""
        warnings = []
        age_limit = self._settings.start_freshness_limit
        for client in self._state_components.stream_clients:
            if client.get_age() > age_limit:
                warnings.append(f"stream {client.stream!r} is stale; requests "
                                f"are routed by the last known state and no "
                                f"task is started")
        if self._vm_list_unavailable_since_s is not None:
            warnings.append("the list of VMs cannot be read; the last known "
                            "one is used")
        return warnings

    async def stop(self) -> None:
        """Stops the daemon when requests have ended or `drain_limit` is over.

        It first reports itself as not ready and waits, so that load balancers
        stop sending requests, and then refuses new requests. Meanwhile the
        control loop transfers the held runs and leaves the domain.
        """
        self._is_draining = True
        self._controller.start_draining()
        refusal_delay = self._settings.drain_wait
        telemetry.emit(telemetry.Event.DRAIN_BEGUN,
                       wait_ms=int(refusal_delay.total_seconds() * MS_PER_S))
        stop_began_at_s = self._clock.monotonic()
        await self._clock.sleep(refusal_delay)
        self._request_gateway.start_draining()
        drain_timeout = self._settings.drain_limit
        is_idle = await self._request_gateway.wait_idle(drain_timeout)
        if is_idle:
            elapsed_s = self._clock.monotonic() - stop_began_at_s
            telemetry.emit(telemetry.Event.DRAIN_ENDED,
                           elapsed_ms=int(elapsed_s * MS_PER_S))
        else:
            telemetry.emit(telemetry.Event.DRAIN_LIMIT_REACHED,
                           requests=self._request_gateway.open_requests,
                           limit_ms=int(drain_timeout.total_seconds() *
                                        MS_PER_S))
        await self._drain_connections(stop_began_at_s +
                                      (refusal_delay +
                                       drain_timeout).total_seconds())
        await self._controller.leave()
        await self._close()

    async def _drain_connections(self, deadline_s: float) -> None:
        """Waits until responses to callers and replies to peers are sent."""
        remaining = datetime.timedelta(
            seconds=max(0.0, deadline_s - self._clock.monotonic()))
        await asyncio.gather(
            self._request_components.peer_server.drain(remaining),
            *(http_server.drain(remaining)
              for http_server in self._http_servers))

    async def _close(self) -> None:
        for http_server in self._http_servers:
            await http_server.stop()
        await self._request_components.peer_server.close()
        await self._request_components.peer_pool.close()
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        await self._controller.close()
        await self._control_components.run_manager.close()
        await self._request_gateway.close()
        await self._request_components.target_client.close()
        await self._common_components.session.close()
