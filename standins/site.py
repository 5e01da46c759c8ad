"""A site of the users' platform on loopback: store, workers and daemons."""

import asyncio
import json
import pathlib
import signal
import sys
import time
from typing import NamedTuple, Sequence

import aiohttp

from standins import _children
from standins import _endpoint
from standins import site_store
from standins import site_workers

SERVICE = "svc"
CALLER_HOST = "jobs.example"
PATH_PREFIX = "/q/"
_STATE_POLL_S = 0.05
_TASK_CPU_MILLIS = 1000
_PEER_PORTS = 2


class DaemonPlace(NamedTuple):
    """A daemon of the site.

    Attributes:
        name: Name.
        domain: Failure domain.
    """

    name: str
    domain: str


class _DaemonPorts(NamedTuple):
    """Ports that a daemon keeps over its restarts."""

    callers: int
    ready: int
    peers: int


class CallerReply(NamedTuple):
    """Reply to a caller.

    Attributes:
        status: Status code; 0 without a reply.
        document: Body.
        retry_after: Header of that name, or empty.
    """

    status: int
    document: dict
    retry_after: str = ""


class Site:
    """Starts the parts and talks to the daemons as callers do.

    Attributes:
        store: The store.
        workers: The workers.
        notes: All runs that the workers began.
        daemons: Running daemons by name.
    """

    def __init__(self,
                 directory: pathlib.Path,
                 daemons: Sequence[DaemonPlace],
                 workers: Sequence[site_workers.WorkerPlace],
                 *,
                 enforces_capacity: bool = True):
        self.store = site_store.SiteStore()
        self.notes: list[site_workers.RunNote] = []
        self.workers = [
            site_workers.SiteWorker(place, self.notes, self._register_worker)
            for place in workers
        ]
        self.daemons: dict[str, _children.Child] = {}
        self._terminated: list[_children.Child] = []
        self._enforces_capacity = enforces_capacity
        self._directory = directory
        self._places = {place.name: place for place in daemons}
        self._ports: dict[str, _DaemonPorts] = {}
        self._reservations = _children.PortReservations()
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts all parts and waits until the daemons are ready."""
        self._session = aiohttp.ClientSession()
        await self.store.start()
        configuration = {
            "version": 7,
            "routes": [{
                "host": CALLER_HOST,
                "path_prefix": PATH_PREFIX,
                "service": SERVICE,
                "max_attempts": 3,
                "deadline_factor": 2.0,
                "target_latency_ms": 1000
            }],
            "services": [{
                "name": SERVICE,
                "enforces_capacity": self._enforces_capacity
            }],
            "limits": {}
        }
        self.store.write("keyed.op", "config",
                         json.dumps(configuration).encode())
        for worker in self.workers:
            await worker.start()
            self._register_worker(worker)
        for name in self._places:
            self._ports[name] = _DaemonPorts(
                *(self._reservations.reserve() for _ in range(3)))
            self.start_daemon(name)
        for name in self._places:
            await self.wait_ready(name)

    def resize_worker(self, worker: site_workers.SiteWorker,
                      cpu_millis: int) -> None:
        """Changes a worker's capacity and its registry entry."""
        worker.resize(cpu_millis)
        self.store.write("keyed.servers", worker.place.worker_id,
                         worker.build_entry(SERVICE))

    async def stop(self) -> None:
        """Stops all parts."""
        for child in [*self.daemons.values(), *self._terminated]:
            child.kill()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        await self._session.close()
        self._reservations.close()

    def _register_worker(self, worker: site_workers.SiteWorker) -> None:
        self.store.write("keyed.servers", worker.place.worker_id,
                         worker.build_entry(SERVICE))

    def start_daemon(self, name: str) -> None:
        """Starts a daemon, at the ports that it had before."""
        path = self._directory / f"{name}.toml"
        path.write_text(self._build_settings(name), encoding="utf-8")
        self.daemons[name] = _children.Child(
            name, [sys.executable, "-m", "gentianlead.cluster"],
            self._directory,
            variables={"GENTIANLEAD_NODE_FILE": str(path)})

    def kill_daemon(self, name: str) -> None:
        """Kills a daemon with SIGKILL."""
        self.daemons.pop(name).kill()

    def terminate_daemon(self, name: str) -> None:
        """Stops a daemon with SIGTERM; its process may go on for seconds."""
        child = self.daemons.pop(name)
        child.send(signal.SIGTERM)
        self._terminated.append(child)

    async def remove_worker(self, worker: site_workers.SiteWorker) -> None:
        """Ends a worker without runs for good, and removes its entry."""
        self.workers.remove(worker)
        await worker.stop()
        self.store.write("keyed.servers", worker.place.worker_id, b"")

    def _build_settings(self, name: str) -> str:
        place = self._places[name]
        ports = self._ports[name]
        domains = sorted({other.domain for other in self._places.values()})
        host = _endpoint.HOST
        return "\n".join([
            f'node_name = "{name}"', f'zone = "{place.domain}"',
            f'ip = "{host}"',
            f"port_range = [{ports.peers}, {ports.peers + _PEER_PORTS}]",
            "[zones]", *(f'{domain} = "r"' for domain in domains),
            "[listen_addrs]", f'front = "{host}:{ports.callers}"',
            f'ready = "{host}:{ports.ready}"', "[platform]",
            f'address = "{self.store.address}"', "writes_per_s = 600"
        ])

    async def wait_ready(self, name: str, seconds: float = 20.0) -> None:
        """Waits until a daemon is ready.

        Raises:
            TimeoutError: It is not ready in time.
        """
        url = f"http://{_endpoint.HOST}:{self._ports[name].ready}/readyz"
        async with asyncio.timeout(seconds):
            while True:
                try:
                    async with self._session.get(url) as reply:
                        if reply.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(_STATE_POLL_S)

    async def call(self,
                   name: str,
                   method: str,
                   job_id: str,
                   document: dict | None = None) -> CallerReply:
        """Calls a daemon as a caller does."""
        port = self._ports[name].callers
        url = f"http://{_endpoint.HOST}:{port}{PATH_PREFIX}{job_id}"
        headers = {"Host": CALLER_HOST, "Gentianlead-Deadline-Ms": "3000"}
        try:
            async with self._session.request(method,
                                             url,
                                             json=document,
                                             headers=headers) as reply:
                text = await reply.text()
                value = json.loads(text) if text.startswith("{") else {}
                return CallerReply(reply.status, value,
                                   reply.headers.get("Retry-After", ""))
        except aiohttp.ClientError:
            return CallerReply(0, {})

    async def submit(
        self,
        name: str,
        job_id: str,
        seconds: float,
        *counts: int,
        crashing_tasks: Sequence[str] = ()) -> CallerReply:
        """Submits a job of steps that follow each other.

        Args:
            name: Daemon that gets the job.
            job_id: Identifier of the job.
            seconds: Duration of each task.
            *counts: Number of tasks of each step.
            crashing_tasks: Tasks that crash each worker that starts them, each
                as repetition, step and index, divided by dots.
        """
        steps = [{
            "count": count,
            "cpu": _TASK_CPU_MILLIS,
            "mem_mb": 100,
            "estimate_ms": int(seconds * 1000),
            **({
                "depends_on": [index - 1]
            } if index else {})
        } for index, count in enumerate(counts)]
        return await self.call(
            name, "POST", job_id, {
                "spec":
                    json.dumps({
                        "seconds": seconds,
                        "cpu_millis": _TASK_CPU_MILLIS,
                        "crashing_tasks": list(crashing_tasks)
                    }),
                "steps":
                    steps
            })

    async def wait_state(self, names: Sequence[str], job_id: str, state: str,
                         seconds: float) -> None:
        """Waits until a daemon tells a state.

        Raises:
            TimeoutError: None tells it in time.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in names:
                reply = await self.call(name, "GET", job_id)
                if reply.document.get("state") == state:
                    return
            await asyncio.sleep(_STATE_POLL_S)
        raise TimeoutError(f"{job_id} is not {state} after {seconds} s")

    def find_leaders(self) -> dict[str, str]:
        """Returns the daemon that said last that it leads, by group."""
        leaders: dict[str, tuple[str, str]] = {}
        for name, child in self.daemons.items():
            for line in child.read_output().splitlines():
                if '"lead-taken"' not in line:
                    continue
                row = json.loads(line)
                known = leaders.get(row["group"], ("", ""))
                leaders[row["group"]] = max(known, (row["time"], name))
        return {group: name for group, (_, name) in leaders.items()}
