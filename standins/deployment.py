"""Starts and stops a whole deployment on loopback ports.

Usage:
    with deployment.Deployment(deployment.SADAQA_DRIVE) as sadaqa:
        sadaqa.wait_ready()
        sadaqa.log.control("fault", kind="slow", ms=3000)
        entries = sadaqa.read_journals()

All processes are children of the caller and are ended by their ids. If the
caller is killed, the stand-ins notice it and a guard process ends the daemons.
"""

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any, Collection, NamedTuple, Self, Sequence

from standins import _children
from standins import _endpoint
from standins import _journal
from standins import _shapes

Child = _children.Child
DeploymentError = _children.DeploymentError
REPRINT_LAGOON = _shapes.REPRINT_LAGOON
SADAQA_DRIVE = _shapes.SADAQA_DRIVE
Shape = _shapes.Shape
StandIn = _children.StandIn
call_json = _children.call_json

DAEMON_COMMAND = (sys.executable, "-m", "gentianlead.daemon")
DEFAULT_STOP_SECONDS = 15.0
_STAND_IN_STOP_SECONDS = 5.0
_POLL_SECONDS = 0.1
_READY_CALL_SECONDS = 2.0


class Options(NamedTuple):
    """How the parts of a deployment are started.

    Attributes:
        has_daemons: Whether to start the daemons.
        relayed: Daemons that reach everything through a relay of their own.
        log_arguments: Further arguments of the log service.
        vm_list_arguments: Further arguments of the VM list.
        worker_arguments: Further arguments of each rack.
        daemon_command: Command of a daemon, without its settings.
        daemon_arguments: Further arguments of each daemon.
        stop_seconds: Time for the daemons to stop before they are killed.
    """

    has_daemons: bool = True
    relayed: Collection[str] = ()
    log_arguments: Sequence[str] = ()
    vm_list_arguments: Sequence[str] = ()
    worker_arguments: Sequence[str] = ("--usage-lag-ms", "1000")
    daemon_command: Sequence[str] = DAEMON_COMMAND
    daemon_arguments: Sequence[str] = ()
    stop_seconds: float = DEFAULT_STOP_SECONDS


class Seat(NamedTuple):
    """The place of a daemon.

    Attributes:
        name: Name of the daemon.
        domain: Failure domain.
        region: Region.
        number: Seat in the domain, from 0.
        seats: Seats of the domain.
        caller_port: Port for callers.
        operator_port: Port for operators.
        peer_port: Port for other daemons.
        view_port: Port of the daemon's view of the VM list.
    """

    name: str
    domain: str
    region: str
    number: int
    seats: int
    caller_port: int
    operator_port: int
    peer_port: int
    view_port: int


class Deployment:
    """A running deployment; a context manager.

    Attributes:
        shape: Its sizes.
        options: How its parts are started.
        seats: Places of the daemons, by name.
        daemons: Running or ended daemons, by name.
        racks: Stand-ins of the workers, by name of the rack.
        relays: Stand-ins of the relays, by name of the daemon.
        workers: Rack of each worker.
    """

    log: StandIn
    vm_list: StandIn
    _directory: pathlib.Path
    _guard: subprocess.Popen[bytes] | None = None

    def __init__(self, shape: Shape, options: Options = Options()):
        self.shape = shape
        self.options = options
        self.seats: dict[str, Seat] = {}
        self.daemons: dict[str, Child] = {}
        self.racks: dict[str, StandIn] = {}
        self.relays: dict[str, StandIn] = {}
        self.workers: dict[str, str] = {}
        self._reservations = _children.PortReservations()
        self._stack = contextlib.ExitStack()
        self._stand_ins: list[StandIn] = []
        self._is_stopped = False

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self.stop()

    @property
    def directory(self) -> pathlib.Path:
        """Temporary directory with the output of the processes."""
        return self._directory

    def _start(self) -> None:
        self._directory = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(prefix="gentianlead-")))
        self._stack.callback(self._reservations.close)
        self._guard = self._stack.enter_context(
            subprocess.Popen(
                [sys.executable, "-m", "standins.guard",
                 str(self._directory)],
                cwd=_children.ROOT,
                stdin=subprocess.PIPE,
                env=_children.build_environment(),
                start_new_session=True))
        self._reserve_seats()
        self.log = self._launch("log", "standins.log",
                                self.options.log_arguments)
        for domain in self.shape.domains:
            self._launch_rack(domain)
        for stand_in in self._stand_ins:
            stand_in.wait_ready()
        self._launch_relays()
        self._launch_vm_list()
        if self.options.has_daemons:
            for name in self.seats:
                self.start_daemon(name)

    def _reserve_seats(self) -> None:
        count = self.shape.daemons_per_domain
        for domain in self.shape.domains:
            for number in range(count):
                name = f"entry-{len(self.seats) + 1}"
                ports = [self._reservations.reserve() for _ in range(4)]
                self.seats[name] = Seat(name, domain, self.shape.region, number,
                                        count, *ports)

    def _launch(self, name: str, module: str,
                arguments: Sequence[str]) -> StandIn:
        stand_in = StandIn(name, module, arguments, self._directory)
        self._stand_ins.append(stand_in)
        return stand_in

    def _launch_rack(self, domain: str) -> None:
        rack = f"{domain}-rack"
        names = [
            f"{domain}-w{index + 1}"
            for index in range(self.shape.workers_per_rack)
        ]
        self.workers.update((name, rack) for name in names)
        capacity = self.shape.capacity
        self.racks[rack] = self._launch(rack, "standins.workers", [
            "--rack", rack, "--domain", domain, "--names", ",".join(names),
            "--cpu-millis",
            str(capacity.cpu_millis), "--memory-mib",
            str(capacity.memory_mib), "--accelerators",
            str(capacity.accelerators), "--slots",
            str(_shapes.SLOTS), "--connections",
            str(_shapes.CONNECTIONS), *self.options.worker_arguments
        ])

    def _list_links(self, seat: Seat) -> dict[str, int]:
        links = {"log": self.log.ports["log"], "vmlist": seat.view_port}
        for rack, stand_in in self.racks.items():
            for endpoint, port in stand_in.ports.items():
                links[f"{rack}/{endpoint}"] = port
        for other in self.seats.values():
            if other is not seat:
                links[f"peer/{other.name}"] = other.peer_port
        return links

    def _launch_relays(self) -> None:
        for name in self.options.relayed:
            arguments = ["--name", f"relay-{name}"]
            for link, port in self._list_links(self.seats[name]).items():
                arguments += ["--link", f"{link}={port}"]
            self.relays[name] = self._launch(f"relay-{name}", "standins.relay",
                                             arguments)
        for relay in self.relays.values():
            relay.wait_ready()

    def _launch_vm_list(self) -> None:
        views = []
        for name, relay in self.relays.items():
            seat = self.seats[name]
            links = self._list_links(seat)
            views.append({
                "name": name,
                "port": seat.view_port,
                "addresses": {
                    build_address(port): build_address(relay.ports[link])
                    for link, port in links.items()
                },
            })
        entries = self._list_worker_entries() + self._list_daemon_entries()
        path = self._directory / "vms.json"
        path.write_text(json.dumps({"vms": entries}), encoding="utf-8")
        view_path = self._directory / "views.json"
        view_path.write_text(json.dumps(views), encoding="utf-8")
        self.vm_list = self._launch("vmlist", "standins.vmlist", [
            "--file",
            str(path), "--views",
            str(view_path), *self.options.vm_list_arguments
        ]).wait_ready()

    def _list_worker_entries(self) -> list[dict[str, Any]]:
        entries = []
        for worker, rack in self.workers.items():
            ports = self.racks[rack].ports
            entries.append({
                "name": worker,
                "domain": rack.removesuffix("-rack"),
                "rack": rack,
                "region": self.shape.region,
                "state": "live",
                "roles": ["worker"],
                "address": build_address(ports[f"{worker}/target"]),
                "agent_address": build_address(ports[f"{worker}/agent"]),
                **self.shape.capacity._asdict(),
                "slots": _shapes.SLOTS,
                "connections": _shapes.CONNECTIONS,
            })
        return entries

    def _list_daemon_entries(self) -> list[dict[str, Any]]:
        return [{
            "name": seat.name,
            "domain": seat.domain,
            "rack": "",
            "region": seat.region,
            "state": "live",
            "roles": ["entry"],
            "address": build_address(seat.peer_port),
            "agent_address": "",
            "cpu_millis": 0,
            "memory_mib": 0,
            "accelerators": 0,
            "slots": 0,
            "connections": 0,
        } for seat in self.seats.values()]

    def build_daemon_command(self, name: str) -> list[str]:
        """Returns the command line of a daemon."""
        seat = self.seats[name]
        log_port = self.log.ports["log"]
        vm_list_port = self.vm_list.ports["vmlist"]
        if name in self.relays:
            log_port = self.relays[name].ports["log"]
            vm_list_port = self.relays[name].ports["vmlist"]
        return [
            *self.options.daemon_command, "--name", seat.name, "--domain",
            seat.domain, "--region", seat.region, "--seat",
            str(seat.number), "--seats",
            str(seat.seats), "--log-url", f"http://{build_address(log_port)}",
            "--vm-list-url", f"http://{build_address(vm_list_port)}",
            "--caller-address",
            build_address(seat.caller_port), "--operator-address",
            build_address(seat.operator_port), "--peer-address",
            build_address(seat.peer_port), "--weights", self.shape.weights,
            *self.options.daemon_arguments
        ]

    def start_daemon(self, name: str) -> Child:
        """Starts a daemon, also again after its end.

        Raises:
            DeploymentError: The daemon runs.
        """
        old = self.daemons.get(name)
        if old is not None and old.is_running:
            raise DeploymentError(f"{name} runs")
        child = Child(name, self.build_daemon_command(name), self._directory)
        self.daemons[name] = child
        self._tell_guard("add", child)
        return child

    def stop_daemon(self, name: str, seconds: float | None = None) -> int:
        """Stops a daemon with SIGTERM.

        Returns:
            Its exit status.

        Raises:
            DeploymentError: It did not stop in time; it runs on.
        """
        child = self.daemons[name]
        child.send(signal.SIGTERM)
        limit = self.options.stop_seconds if seconds is None else seconds
        status = child.wait(limit)
        if status is None:
            raise DeploymentError(f"{name} did not stop within {limit} s")
        self._tell_guard("remove", child)
        return status

    def kill_daemon(self, name: str) -> None:
        """Kills a daemon with SIGKILL."""
        self.daemons[name].kill()
        self._tell_guard("remove", self.daemons[name])

    def pause_daemon(self, name: str) -> None:
        """Pauses a daemon with SIGSTOP."""
        self.daemons[name].send(signal.SIGSTOP)

    def resume_daemon(self, name: str) -> None:
        """Resumes a paused daemon."""
        self.daemons[name].send(signal.SIGCONT)

    def pause_rack(self, rack: str) -> None:
        """Pauses the workers of a rack with SIGSTOP."""
        self.racks[rack].send(signal.SIGSTOP)

    def resume_rack(self, rack: str) -> None:
        """Resumes the workers of a paused rack."""
        self.racks[rack].send(signal.SIGCONT)

    def control_worker(self, worker: str, action: str, **fields: Any) -> Any:
        """Sends a control command about one worker to its rack."""
        return self.racks[self.workers[worker]].control(action,
                                                        worker=worker,
                                                        **fields)

    def set_leaving(self, worker: str, is_leaving: bool) -> None:
        """Marks a worker as leaving in the VM list and at the worker."""
        state = "leaving" if is_leaving else "live"
        self.vm_list.control("update", name=worker, set={"state": state})
        self.control_worker(worker, "leaving", on=is_leaving)

    def set_power(self,
                  worker: str,
                  is_on: bool,
                  is_silent: bool = False) -> None:
        """Fails a worker's VM, or boots it; runs do not survive.

        Args:
            worker: Name of the worker.
            is_on: Whether to boot.
            is_silent: Whether the failed VM drops what it is sent, instead of
                refusing connections.
        """
        self.control_worker(worker, "power", on=is_on, silent=is_silent)

    def set_links(self, names: Collection[str], link: str,
                  **fields: Any) -> None:
        """Changes links of the relays of some daemons.

        Args:
            names: Daemons.
            link: Pattern of links: `log`, `vmlist`, `peer/entry-2` or
                `<rack>/<worker>/target`.
            **fields: Fields of the relay's `link` command.
        """
        for name in names:
            self.relays[name].control("link", link=link, **fields)

    def call(self,
             name: str,
             method: str,
             path: str,
             value: object = None) -> tuple[int, Any]:
        """Calls the operator port of a daemon."""
        return call_json(method, self.seats[name].operator_port, path, value)

    def wait_ready(self,
                   seconds: float,
                   names: Collection[str] | None = None) -> None:
        """Waits until daemons are ready.

        Raises:
            DeploymentError: A daemon ended or is not ready in time.
        """
        deadline = time.monotonic() + seconds
        for name in self.daemons if names is None else names:
            while not self._is_ready(name):
                child = self.daemons[name]
                if not child.is_running or time.monotonic() > deadline:
                    raise DeploymentError(f"{name} is not ready (exit status "
                                          f"{child.process.poll()}): "
                                          f"{child.read_output()[-2000:]}")
                time.sleep(_POLL_SECONDS)

    def _is_ready(self, name: str) -> bool:
        try:
            status, _ = call_json("GET",
                                  self.seats[name].operator_port,
                                  "/readyz",
                                  seconds=_READY_CALL_SECONDS)
        except OSError:
            return False
        return status == 200

    def read_journals(self) -> list[_journal.Entry]:
        """Returns the entries of all stand-ins, in the order of time."""
        entries = [
            entry for stand_in in self._stand_ins if stand_in.is_running
            for entry in stand_in.read_journal()
        ]
        return sorted(entries, key=lambda entry: entry["at"])

    def _tell_guard(self, verb: str, child: Child | None = None) -> None:
        if self._guard is None or self._guard.stdin is None:
            return
        pid = "" if child is None else child.pid
        self._guard.stdin.write(f"{verb} {pid}\n".encode())
        self._guard.stdin.flush()

    def stop_daemons(self) -> dict[str, int]:
        """Stops all daemons; those that take too long are killed.

        Returns:
            Exit statuses by name; a killed daemon has the status -9.
        """
        children = list(self.daemons.values())
        _children.stop_all(children, self.options.stop_seconds)
        for child in children:
            self._tell_guard("remove", child)
        return {
            name: child.process.returncode
            for name, child in self.daemons.items()
        }

    def stop(self) -> None:
        """Stops all processes."""
        self.stop_daemons()
        _children.stop_all(self._stand_ins, _STAND_IN_STOP_SECONDS)
        for stand_in in self._stand_ins:
            if stand_in.process.stdout is not None:
                stand_in.process.stdout.close()
        self.daemons.clear()
        self._stand_ins.clear()
        if not self._is_stopped:
            self._is_stopped = True
            self._tell_guard("done")
        self._stack.close()


def build_address(port: int) -> str:
    """Returns the loopback address of a port."""
    return f"{_endpoint.HOST}:{port}"
