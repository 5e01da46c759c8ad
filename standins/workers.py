"""Stand-in for the workers of one rack: task agents and targets.

Each worker has two ports: one for the target's HTTP server and one for the
agent that runs tasks. Names and ports are printed at the start.

Usage:
    python -m standins.workers --rack rack-1 --domain north-1 \
        --names w-1,w-2 --ports 9101,9102,9103,9104 --control-port 9100
"""

import asyncio
import collections
import json
import random
import time
from typing import Any, Awaitable, Callable, NamedTuple
import urllib.parse

from aiohttp import web
import click

from gentianlead import model
from gentianlead import ports
from standins import _control
from standins import _endpoint
from standins import _faults
from standins import _journal
from standins import _runs
from standins import _target

_TICK_SECONDS = 0.02


class WorkerLimits(NamedTuple):
    """Limits of each worker of a rack.

    Attributes:
        capacity: Resources for tasks.
        slots: Requests at the same time.
        connections: Open connections of the target.
        usage_lag_seconds: Age of usage reports.
    """

    capacity: model.Resources
    slots: int
    connections: int
    usage_lag_seconds: float


class Worker:
    """One worker: a target and an agent.

    Attributes:
        name: Name of the worker.
        table: Its runs.
        target: Its target.
        agent: Port of the agent.
    """

    def __init__(self, name: str, domain: str, limits: WorkerLimits,
                 journal: _journal.Journal, source: random.Random):
        self.name = name
        self.limits = limits
        self.table = _runs.RunTable(name, domain, limits.capacity, journal,
                                    _runs.WorkerClock(source))
        self.target = _target.Target(name, domain, limits.slots,
                                     limits.connections, journal)
        self.agent = _endpoint.Endpoint(f"{name}/agent", self._handle, journal)
        self._journal = journal
        self._source = source
        self._usage: collections.deque[tuple[float, list[dict[str, Any]]]] = (
            collections.deque())

    def set_leaving(self, is_leaving: bool) -> None:
        """Marks the worker as leaving, or takes the mark back."""
        self.table.is_leaving = is_leaving
        self.target.is_leaving = is_leaving
        self._journal.add("leaving" if is_leaving else "returned",
                          worker=self.name)

    def reboot(self) -> None:
        """Restarts the VM: connections break and runs vanish."""
        self.target.endpoint.abort_connections()
        self.agent.abort_connections()
        self.table.reboot(_runs.WorkerClock(self._source))
        self._usage.clear()

    async def set_power(self, is_on: bool, is_silent: bool) -> None:
        """Fails the VM, or boots it.

        Args:
            is_on: Whether to boot.
            is_silent: Whether the failed VM drops what it is sent, instead of
                refusing connections.
        """
        kinds = [_faults.FaultKind.DOWN]
        if is_silent:
            kinds = [_faults.FaultKind.SILENT, _faults.FaultKind.FREEZE]
        for endpoint in (self.target.endpoint, self.agent):
            if is_on:
                endpoint.abort_connections()
                await endpoint.clear_faults(None)
            else:
                for kind in kinds:
                    await endpoint.add_fault(_faults.FaultRule(kind, {}))
        self.table.reboot(_runs.WorkerClock(self._source))
        self._usage.clear()

    def tick(self) -> None:
        """Ends runs whose time has come and records usage."""
        now = time.monotonic()
        self.table.advance(now)
        self._usage.append((now, self.table.report_usage()))
        visible = now - self.limits.usage_lag_seconds
        while len(self._usage) > 1 and self._usage[1][0] <= visible:
            self._usage.popleft()

    def _list_usage(self) -> list[dict[str, Any]]:
        visible = time.monotonic() - self.limits.usage_lag_seconds
        if not self._usage or self._usage[0][0] > visible:
            return []
        return self._usage[0][1]

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        try:
            value = self._dispatch(request, json.loads(body) if body else {})
            status = 201 if value.pop("created", False) else 200
        except _runs.RefusalError as error:
            value, status = {"error": str(error)}, error.status
            if status == 404:
                value["state"] = ports.RunState.UNKNOWN.value
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            value = {"error": f"{type(error).__name__}: {error}"}
            status = 400
        return _endpoint.respond_json(
            {
                **value,
                "boot_id": self.table.clock.boot_id,
                "worker_time_ms": self.table.clock.read_ms(),
            }, status)

    def _dispatch(self, request: web.BaseRequest,
                  order: dict[str, Any]) -> dict[str, Any]:
        parts = [
            urllib.parse.unquote(part)
            for part in request.rel_url.raw_path.strip("/").split("/")
        ]
        if request.method == "GET" and parts == ["tasks"]:
            self.table.advance(time.monotonic())
            return {
                "tasks": [run.describe() for run in self.table.runs.values()]
            }
        if request.method == "GET" and parts == ["usage"]:
            return {"reports": self._list_usage()}
        if request.method == "POST" and parts == ["renewals"]:
            return {"tasks": self._renew(order)}
        if request.method != "POST" or len(parts) != 5 or parts[0] != "tasks":
            raise _runs.RefusalError("unknown path", 404)
        key = ports.RunKey(parts[1], int(parts[2]), int(parts[3]))
        return self._order(parts[4], key, order)

    def _renew(self, order: dict[str, Any]) -> list[dict[str, Any]]:
        is_same_boot = order["boot_id"] == self.table.clock.boot_id
        states = []
        for renewal in order["renewals"]:
            key = ports.RunKey(str(renewal["job"]), int(renewal["task"]),
                               int(renewal["run"]))
            if is_same_boot:
                self.table.renew(key, int(renewal["expires_at_ms"]),
                                 int(renewal["fence"]))
            states.append(self.table.report(key))
        return states

    def _order(self, verb: str, key: ports.RunKey,
               order: dict[str, Any]) -> dict[str, Any]:
        table = self.table
        if verb == "start":
            is_new = key not in table.runs
            return {**table.start(key, order).describe(), "created": is_new}
        if verb == "stop":
            return table.stop(key, order).describe()
        if verb == "checkpoint":
            return table.checkpoint(key).describe()
        if verb == "throttle":
            return table.throttle(key, float(order["fraction"])).describe()
        if verb == "forget":
            table.forget(key)
            return {}
        raise _runs.RefusalError(f"unknown order {verb!r}", 404)


class Rack:
    """The workers of one rack.

    Attributes:
        workers: Workers by name.
    """

    def __init__(self, workers: list[Worker]):
        self.workers = {worker.name: worker for worker in workers}

    def list_endpoints(self) -> list[_endpoint.Endpoint]:
        """Returns the ports of all workers, target before agent."""
        return [
            endpoint for worker in self.workers.values()
            for endpoint in (worker.target.endpoint, worker.agent)
        ]

    async def tick_forever(self) -> None:
        """Lets time pass at all workers."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            for worker in self.workers.values():
                worker.tick()

    def _select(self, command: _control.Command) -> list[Worker]:
        name = command.get("worker", "*")
        if name == "*":
            return list(self.workers.values())
        if name not in self.workers:
            raise _control.CommandError(
                f"unknown worker {name!r}; known: {', '.join(self.workers)}")
        return [self.workers[name]]

    def _apply(
        self, change: Callable[[Worker, _control.Command],
                               object]) -> _control.Action:

        async def act(command: _control.Command) -> object:
            chosen = self._select(command)
            for worker in chosen:
                result = change(worker, command)
                if isinstance(result, Awaitable):
                    await result
            return [worker.name for worker in chosen]

        return act

    def get_actions(self) -> dict[str, _control.Action]:
        """Returns the control actions; all take `worker`, by default `*`."""
        return {
            "leaving":
                self._apply(lambda worker, command: worker.set_leaving(
                    bool(command.get("on", True)))),
            "fail_tasks":
                self._apply(lambda worker, command: setattr(
                    worker.table, "is_failing_all", bool(command.get(
                        "on", True)))),
            "reboot":
                self._apply(lambda worker, command: worker.reboot()),
            "power":
                self._apply(lambda worker, command: worker.set_power(
                    bool(command["on"]), bool(command.get("silent", False)))),
            "usage_lag":
                self._apply(_set_usage_lag),
            "work":
                self._apply(_set_work),
        }


def _set_usage_lag(worker: Worker, command: _control.Command) -> None:
    worker.limits = worker.limits._replace(
        usage_lag_seconds=float(command["ms"]) / 1000)


def _set_work(worker: Worker, command: _control.Command) -> None:
    worker.target.extra_seconds = float(command.get("ms", 0)) / 1000


def _list_names(rack: str, names: str | None, count: int) -> list[str]:
    if names:
        return names.split(",")
    return [f"{rack}-w{index + 1}" for index in range(count)]


def _list_ports(text: str | None, base: int, count: int) -> list[int]:
    if text:
        return [int(port) for port in text.split(",")]
    return [base + index if base else 0 for index in range(2 * count)]


@click.command()
@click.option("--rack", default="rack-1", help="Name of the rack.")
@click.option("--domain", default="domain-1", help="Failure domain.")
@click.option("--names", help="Names of the workers, separated by commas.")
@click.option("--count", default=8, help="Workers, when no names are given.")
@click.option("--ports", "port_text", help="Target and agent port of each.")
@click.option("--base-port", default=0, help="First of the ports; 0 for any.")
@click.option("--control-port", default=0, help="Control port; 0 for any.")
@click.option("--cpu-millis", default=32_000)
@click.option("--memory-mib", default=125 * 1024)
@click.option("--accelerators", default=0)
@click.option("--slots", default=8, help="Requests at the same time.")
@click.option("--connections", default=64, help="Connections of a target.")
@click.option("--usage-lag-ms", default=0.0, help="Age of usage reports.")
@click.option("--seed", default=0, help="Seed of boot ids and clocks.")
@click.option("--exit-with-parent", is_flag=True)
def main(rack: str, domain: str, names: str | None, count: int,
         port_text: str | None, base_port: int, control_port: int,
         cpu_millis: int, memory_mib: int, accelerators: int, slots: int,
         connections: int, usage_lag_ms: float, seed: int,
         exit_with_parent: bool) -> None:
    """Runs the workers of one rack."""
    limits = WorkerLimits(model.Resources(cpu_millis, memory_mib, accelerators),
                          slots, connections, usage_lag_ms / 1000)
    source = random.Random(f"{seed}/{rack}/{domain}")
    all_names = _list_names(rack, names, count)
    all_ports = _list_ports(port_text, base_port, len(all_names))

    async def start() -> _control.Control:
        journal = _journal.Journal(rack)
        workers = Rack([
            Worker(name, domain, limits, journal, source) for name in all_names
        ])
        endpoints = workers.list_endpoints()
        control = _control.Control(journal, endpoints)
        control.actions.update(workers.get_actions())
        for endpoint, port in zip(endpoints, all_ports, strict=True):
            await endpoint.open(port)
        await control.endpoint.open(control_port)
        for worker in workers.workers.values():
            journal.add("worker",
                        worker=worker.name,
                        domain=domain,
                        rack=rack,
                        capacity=list(limits.capacity),
                        slots=slots,
                        connections=connections)
        control.keep(asyncio.create_task(workers.tick_forever()))
        return control

    _control.run(start, exit_with_parent)


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
