"""Starts a small deployment as processes on loopback, for the scripts here."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMON = pathlib.Path(__file__).resolve().parent
HOST = "jobs.example"
PREFIX = "/bundles/"
SERVICE = "drive-svc"
LIMIT_S = 110
PORTS = (12000, 30000)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


_given_ports = set()


class Broken(Exception):
    """The rule was broken."""


def free_ports(count):
    """Returns free ports that the system gives to no outgoing connection."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


class Proxy:
    """Forwards channels to a server: to the store or to a worker.

    Attributes:
        target: Port of the server.
        port: Port of the proxy.
        is_cut: Whether nothing is forwarded; what is sent meanwhile arrives
            after the cut, as on a real network.
        channels: First line of the last request, by open channel.
        silent: Channels that are silent for good.
        last_request_at: Time of the last request, by its first line.
        bytes_per_s: Rate of the link to the client for all channels together;
            0 for no limit.
    """

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.is_cut = False
        self.channels = {}
        self.silent = set()
        self.last_request_at = {}
        self.bytes_per_s = 0
        self._link_free_at = 0.0
        self._dead = set()
        self._waiting = set()
        self._server = None

    def lose_power(self):
        """Silences all open channels; the server has forgotten them."""
        self.is_cut = True
        self._dead.update(self.channels)

    def restore_power(self):
        """Lets new channels work; data on an old one resets it."""
        self.is_cut = False

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self, text):
        """Silences a channel whose request contains a text and has no answer.

        Returns:
            Whether there is such a channel.
        """
        for channel in self._waiting:
            if text in self.channels[channel]:
                self.silent.add(channel)
                return True
        return False

    async def _serve(self, reader, writer):
        channel = object()
        self.channels[channel] = ""
        while self.is_cut:
            await asyncio.sleep(0.02)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            self.channels.pop(channel, None)
            writer.transport.abort()
            return
        pumps = [
            asyncio.create_task(self._pump(channel, reader, far_writer, True)),
            asyncio.create_task(self._pump(channel, far_reader, writer, False))
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for each in (writer, far_writer):
                each.transport.abort() if channel in self._dead else each.close(
                )
            self.channels.pop(channel, None)
            self.silent.discard(channel)
            self._waiting.discard(channel)
            self._dead.discard(channel)

    async def _pump(self, channel, reader, writer, is_request):
        while True:
            data = await reader.read(65536)
            if channel in self._dead:
                if not is_request:
                    # The server has lost its power; its end sends nothing.
                    await asyncio.Event().wait()
                while self.is_cut:
                    await asyncio.sleep(0.02)
                writer.transport.abort()
                return
            if not data:
                return
            if is_request:
                line = data.split(b"\r\n", 1)[0].decode(errors="replace")
                if " HTTP/1" in line:
                    self.channels[channel] = line
                    self._waiting.add(channel)
                    self.last_request_at[line] = time.monotonic()
            else:
                self._waiting.discard(channel)
            if channel in self.silent:
                continue
            while self.is_cut:
                await asyncio.sleep(0.02)
            if self.bytes_per_s and not is_request:
                self._link_free_at = max(
                    self._link_free_at,
                    time.monotonic()) + len(data) / self.bytes_per_s
                await asyncio.sleep(self._link_free_at - time.monotonic())
            writer.write(data)
            await writer.drain()


class Deployment:
    """A deployment: store, workers, a proxy for each daemon, and daemons.

    Daemons and workers stand in three zones. All started processes are killed
    by `stop`.
    """

    def __init__(self,
                 case_directory,
                 daemons_per_zone=1,
                 workers_per_zone=2,
                 hold_max_ms=6000,
                 stop_ms=900,
                 cut_workers=(),
                 contact_ms=3000):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.case_directory = pathlib.Path(case_directory)
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.started_at = time.monotonic()
        self.lines = []
        self.processes = {}
        self.all_processes = []
        self.proxies = {}
        self.daemons = {}
        self.workers = {}
        self.store_port = 0
        self.session = None
        self.daemons_per_zone = daemons_per_zone
        self.workers_per_zone = workers_per_zone
        self.hold_max_ms = hold_max_ms
        self.stop_ms = stop_ms
        self.contact_ms = contact_ms
        self.cut_workers = cut_workers
        self.worker_proxies = {}
        self.worker_log = self.directory / "workers.jsonl"
        self.worker_log.touch()
        self._log_position = 0
        self.events = []
        self.kills = []

    def record(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at, text))

    def _spawn(self, name, command, environment):
        output = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen(command,
                                   cwd=ROOT,
                                   env=environment,
                                   stdin=subprocess.DEVNULL,
                                   stdout=output,
                                   stderr=output)
        output.close()
        self.processes[name] = process
        self.all_processes.append(process)
        return process

    def _environment(self, extra=None):
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        return {
            **kept, "PYTHONPATH": str(ROOT / "target" / "deps"),
            **(extra or {})
        }

    async def start(self):
        self.session = aiohttp.ClientSession()
        (self.store_port,) = free_ports(1)
        self._spawn("store", [
            sys.executable,
            str(COMMON / "store.py"), "--port",
            str(self.store_port)
        ], self._environment())
        await self._wait_for_port(self.store_port)
        await self.write_op(
            "config",
            json.dumps({
                "version": 7,
                "routes": [{
                    "name": "r-1",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "kind": "unsafe",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "priority": 0,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "deadline_factor": 2.0
                }],
                "services": [{
                    "name": SERVICE,
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 0.0,
                    "cold_per_s": 0.0,
                    "enforces_capacity": True,
                    "standby": False
                }],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000
                }
            }))
        for zone in self.zones:
            for number in range(self.workers_per_zone):
                name = f"w{number + 1}-{zone}"
                self.workers[name] = (zone, free_ports(1)[0])
                if name in self.cut_workers:
                    proxy = Proxy(self.workers[name][1])
                    await proxy.start()
                    self.worker_proxies[name] = proxy
                self.start_worker(name)
        for zone in self.zones:
            for number in range(self.daemons_per_zone):
                name = f"edge-{zone}-{number + 1}"
                proxy = Proxy(self.store_port)
                await proxy.start()
                self.proxies[name] = proxy
                self.daemons[name] = (zone, free_ports(6))
                self.start_daemon(name)
        for name in self.daemons:
            await self.wait_ready(name)
        await asyncio.sleep(3)
        self.record("deployment is ready")

    def start_worker(self, name):
        zone, port = self.workers[name]
        self._spawn(name, [
            sys.executable,
            str(COMMON / "worker.py"), "--id", name, "--zone", zone, "--rack",
            f"r-{zone}", "--service", SERVICE, "--port",
            str(port), "--store",
            str(self.store_port), "--log",
            str(self.worker_log), "--hold-max-ms",
            str(self.hold_max_ms), "--shown-port",
            str(self.worker_proxies[name].port if name in
                self.worker_proxies else port)
        ], self._environment())

    def kill(self, name):
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.kills.append((name, time.monotonic()))
        self.record(f"{name} is killed")

    def start_daemon(self, name):
        zone, ports = self.daemons[name]
        role = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text())["roles"]["scheduler"]
        peers = sorted(ports[3:5])
        seeds = [
            f"127.0.0.1:{other[1][2]}"
            for other in list(self.daemons.values())[:3]
        ]
        zones = "\n".join(f'{each} = "region-1"' for each in self.zones)
        settings = f"""
node_name = "{name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region-1"
port_range = [{peers[0]}, {peers[0]}]
seeds = {json.dumps(seeds)}
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"]
commands = "request"
[zones]
{zones}
[listen_addrs]
front = "127.0.0.1:{ports[0]}"
ready = "127.0.0.1:{ports[1]}"
control = "127.0.0.1:{ports[2]}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = {self.contact_ms}
ack_ms = 4000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = {self.hold_max_ms}
stop_ms = {self.stop_ms}
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
fencing_required = true
lease_ms = 3000
[platform]
address = "127.0.0.1:{self.proxies[name].port}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 32
append_ms = 2.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""
        path = self.directory / f"{name}.toml"
        path.write_text(settings)
        environment = {
            key: value.replace("{{ip}}:9464", f"127.0.0.1:{ports[5]}")
            for key, value in role["env"].items()
        }
        self._spawn(
            name, role["run"].split(),
            self._environment({
                **environment, "GENTIANLEAD_NODE_FILE": str(path)
            }))

    async def add_daemon(self, name, zone):
        """Adds a machine with a daemon."""
        proxy = Proxy(self.store_port)
        await proxy.start()
        self.proxies[name] = proxy
        self.daemons[name] = (zone, free_ports(6))
        self.start_daemon(name)
        self.record(f"{name} is added")

    def find_leader(self, zone):
        """Returns the daemon that said last that it leads a zone's workers."""
        found = []
        for name in self.daemons:
            log = self.directory / f"{name}.log"
            for line in log.read_text(encoding="utf-8").splitlines():
                if '"lead-taken"' in line and json.loads(
                        line)["group"] == zone:
                    found.append((json.loads(line)["time"], name))
        return max(found)[1]

    async def write_op(self, key, value):
        async with self.session.post(
                f"http://127.0.0.1:{self.store_port}/admin/write",
                json={
                    "topic": "keyed.op",
                    "key": key,
                    "value": value
                }) as reply:
            reply.raise_for_status()

    async def slow_store(self, factor):
        """Makes the answers of the store slower by a factor."""
        async with self.session.post(
                f"http://127.0.0.1:{self.store_port}/admin/slow",
                json={"x": factor}) as reply:
            reply.raise_for_status()
        self.record(f"answers of the store take {factor} times as long")

    async def _wait_for_port(self, port):
        async with asyncio.timeout(20):
            while True:
                try:
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", port)
                    writer.close()
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    async def wait_ready(self, name):
        port = self.daemons[name][1][1]
        async with asyncio.timeout(30):
            while True:
                try:
                    async with self.session.get(
                            f"http://127.0.0.1:{port}/readyz") as reply:
                        if reply.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)

    async def call(self,
                   name,
                   method,
                   job_id,
                   document=None,
                   wait_ms=3000,
                   is_quiet=False):
        """Calls a daemon as a consumer does; returns status and body."""
        port = self.daemons[name][1][0]
        shown = "" if document is None else f" {json.dumps(document)}"
        is_get = method == "GET"
        if not is_get and not is_quiet:
            self.record(f"consumer to {name}: {method} {job_id}, waits "
                        f"{wait_ms} ms{shown}")
        status, body = 0, ""
        try:
            async with self.session.request(
                    method,
                    f"http://127.0.0.1:{port}{PREFIX}{job_id}",
                    json=document,
                    headers={
                        "Host": HOST,
                        "Gentianlead-Deadline-Ms": str(wait_ms)
                    },
                    timeout=aiohttp.ClientTimeout(
                        total=wait_ms / 1000)) as reply:
                status, body = reply.status, await reply.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            body = repr(error)
        if not is_quiet:
            self.record(f"{name} to consumer: {method} {job_id}: {status} "
                        f"{body.strip()[:160]}")
        return status, body

    async def state(self, name, job_id):
        status, body = await self.call(name, "GET", job_id)
        return json.loads(body).get("state") if status == 200 else str(status)

    def read_events(self):
        """Reads the new lines of the workers; returns them."""
        with self.worker_log.open(encoding="utf-8") as file:
            file.seek(self._log_position)
            text = file.read()
        whole = text[:text.rfind("\n") + 1]
        self._log_position += len(whole.encode())
        rows = [json.loads(line) for line in whole.splitlines()]
        for row in rows:
            fields = " ".join(f"{key}={value}" for key, value in row.items()
                              if key not in ("t", "worker", "event"))
            self.record(f"{row['worker']}: {row['event']} {fields}", row["t"])
        self.events += rows
        return rows

    async def wait_event(self, accept, seconds):
        """Waits for a line of a worker that a function accepts, or None."""
        until = time.monotonic() + seconds
        seen = 0
        while time.monotonic() < until:
            self.read_events()
            for row in self.events[seen:]:
                seen += 1
                if accept(row):
                    return row
            await asyncio.sleep(0.01)
        return None

    def find_double_runs(self):
        """Returns pairs of runs of one task that were at work at the same time.

        A run ends with the life of its worker.
        """
        runs = {}
        for row in self.events:
            key = row.get("task"), row.get("run"), row["worker"]
            if row["event"] == "start":
                runs[key] = [row["t"], float("inf")]
            elif row["event"] == "end" and key in runs:
                runs[key][1] = row["t"]
        for (_, _, worker), span in runs.items():
            span[1] = min([span[1]] + [
                killed_at for killed, killed_at in self.kills
                if killed == worker and killed_at > span[0]
            ])
        pairs = []
        for first, (began, ended) in runs.items():
            for second, (other_began, other_ended) in runs.items():
                if (first[0] == second[0] and first[1] < second[1] and
                        other_began < ended and began < other_ended):
                    pairs.append((first, second,
                                  min(ended, other_ended) - other_began))
        return pairs

    async def stop(self):
        for process in self.all_processes:
            if process.poll() is None:
                process.kill()
        for process in self.all_processes:
            process.wait()
        await self.session.close()

    def write_record(self, verdict):
        self.read_events()
        rows = sorted(self.lines, key=lambda row: row[0])
        text = "".join(
            f"{at - self.started_at:8.3f} s  {line}\n" for at, line in rows)
        (self.case_directory / "record.txt").write_text(
            f"trouble: {TROUBLE}\n{text}{verdict}\n")
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(case_directory, play, **sizes):
    """Plays a case and exits with its result."""

    async def run():
        deployment = Deployment(case_directory, **sizes)
        result, verdict = 2, "could not run"
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start()
                await play(deployment)
            result, verdict = 0, "the rule held"
        except Broken as error:
            result, verdict = 1, f"RULE BROKEN: {error}"
        except BaseException:  # pylint: disable=broad-exception-caught
            verdict = "could not run:\n" + traceback.format_exc()
        finally:
            await deployment.stop()
            deployment.write_record(verdict)
        print(verdict)
        return result

    sys.exit(asyncio.run(run()))
