"""Tests of daemons whose worker registry has an unreadable entry."""

import asyncio
import json
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _daemon
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from standins import site_workers

ODD_KEY = "odd"
GOOD_KEYS = ("w1", "w2")
REWRITE_COUNT = 3

CONFIGURATION = json.dumps({
    "version": 1,
    "routes": [],
    "services": [{
        "name": "svc",
        "enforces_capacity": True
    }]
}).encode()

JOB = model.SteppedJob("5c0e7a21d94b36f8", model.Queue("a.example", "/q/",
                                                       "svc"),
                       json.dumps({"seconds": 60}),
                       (model.Step(len(GOOD_KEYS),
                                   cpu_millis=100,
                                   memory_mib=1,
                                   is_long_running=True,
                                   max_tasks_per_worker=1),), (daemons.GROUP,),
                       1)
"""A job with one task for each of the workers in use."""


def build_odd_entries(good_entry: bytes) -> dict[str, bytes]:
    """Returns entries that name no worker to use, by what is odd in them.

    Each differs from `good_entry` in one field.
    """
    address = json.loads(good_entry)["address"]
    host, _, port = address.rpartition(":")
    odd_fields: dict[str, dict[str, object]] = {
        "surrogate in the service": {
            "service": "\ud800"
        },
        "surrogate in a label": {
            "labels": ["\udfff"]
        },
        "processors": {
            "capacity": {
                "cpu": 10**30
            }
        },
        "memory": {
            "capacity": {
                "mem_mb": 2**63
            }
        },
        "start time": {
            "born": 10**30
        },
        "time until it leaves": {
            "state": "draining",
            "remaining_ms": 10**30
        },
        "port 0": {
            "address": f"{host}:0"
        },
        "port above the range": {
            "address": f"{host}:99999"
        },
        "long port": {
            "address": f"{host}:{'9' * 5000}"
        },
        "port with another digit": {
            "address": f"{host}:\u00b2"
        },
        "host with a space": {
            "address": f"{host} {host}:{port}"
        },
        "host with a line break": {
            "address": f"{host}\n:{port}"
        },
    }
    odd_entries = {
        name: json.dumps(json.loads(good_entry) | fields).encode()
        for name, fields in odd_fields.items()
    }
    nested_arrays = b"[" * 100_000 + b"]" * 100_000
    odd_entries["nested arrays"] = good_entry.replace(
        b"{", b'{"other": ' + nested_arrays + b",", 1)
    return odd_entries


class DaemonRun:
    """A daemon with one odd entry in its registry.

    Attributes:
        daemon: The daemon; None before it is started.
        notes: Runs on the workers of the daemon.
        log: The log lines of the daemon.
    """

    def __init__(self, test: unittest.IsolatedAsyncioTestCase) -> None:
        self.daemon: _daemon.ClusterDaemon | None = None
        self.notes: list[site_workers.RunNote] = []
        self._test = test
        self._store = fakes.FakeStore()

    @property
    def log(self) -> fakes.RecordingLog:
        """The log of the daemon."""
        return self.daemon._log  # pylint: disable=protected-access

    def list_used_workers(self) -> set[str]:
        """Returns the workers that have runs."""
        return {note.worker_id for note in self.notes}

    def _write_entry(self, key: str, value: bytes) -> None:
        self._store.write(platform.REGISTRY_TOPIC,
                          ports.KeyedRecord(key, value))

    async def _start_worker(self, key: str) -> bytes:
        """Starts a worker until the test ends, and returns its entry."""
        worker = site_workers.SiteWorker(
            site_workers.WorkerPlace(key, daemons.GROUP), self.notes)
        await worker.start()
        self._test.addAsyncCleanup(worker.stop)
        return worker.build_entry("svc")

    async def run(self, name: str, is_listed_at_start: bool) -> None:
        """Runs the daemon until it uses a worker that registers at the end.

        The odd entry is written several times before that. After 10 s it goes
        on all the same.
        """
        self._store.write(
            platform.OPERATOR_TOPIC,
            ports.KeyedRecord(platform.CONFIGURATION_KEY, CONFIGURATION))
        self._store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(dispatch.AcceptedRecord(JOB, "x")))
        entries = {key: await self._start_worker(key) for key in GOOD_KEYS}
        first_key, last_key = GOOD_KEYS
        odd_entry = build_odd_entries(entries[first_key])[name]
        self._write_entry(first_key, entries[first_key])
        if is_listed_at_start:
            self._write_entry(ODD_KEY, odd_entry)
        worker_client = platform.PlatformWorkerClient()
        self._test.addAsyncCleanup(worker_client.close)
        self.daemon = daemons.start_daemon(self._test, "entry-1", self._store,
                                           worker_client)
        self._test.addAsyncCleanup(self._stop)
        try:
            async with asyncio.timeout(10):
                while first_key not in self.list_used_workers():
                    await asyncio.sleep(0.05)
                for _ in range(REWRITE_COUNT):
                    self._write_entry(ODD_KEY, odd_entry)
                self._write_entry(last_key, entries[last_key])
                while last_key not in self.list_used_workers():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass

    async def _stop(self) -> None:
        # A stop closes the connections, unlike the end of the task.
        self.daemon._stop_requested.set()  # pylint: disable=protected-access
        while not self.log.list_fields("daemon-stopped"):
            await asyncio.sleep(0.01)


class UnreadableEntryTest(unittest.IsolatedAsyncioTestCase):
    """Runs a daemon with each odd entry, beside entries of workers in use."""

    async def check_daemons(self, is_listed_at_start: bool) -> None:
        """Runs all daemons at the same time, and checks each."""
        names = list(build_odd_entries(b'{"address": "127.0.0.1:1"}'))
        runs = [DaemonRun(self) for _ in names]
        await asyncio.gather(*[
            run.run(name, is_listed_at_start) for run, name in zip(runs, names)
        ])
        for name, run in zip(names, runs):
            with self.subTest(name):
                self.assertEqual(run.log.list_fields("internal-error"), [])
                self.assertEqual(run.log.list_fields("lead-lost"), [])
                self.assertEqual(run.list_used_workers(), set(GOOD_KEYS))
                lines = run.log.list_fields("record-unreadable")
                self.assertEqual(
                    [(line["topic"], line["key"]) for line in lines],
                    [(platform.REGISTRY_TOPIC, ODD_KEY)])
                self.assertLess(len(json.dumps(lines)), 400)
                # pylint: disable-next=protected-access
                metrics_text = run.daemon._render_metrics().decode()
                self.assertIn(
                    "gentianlead_unreadable_records_total{topic="
                    f'"{platform.REGISTRY_TOPIC}"}} '
                    f"{REWRITE_COUNT + is_listed_at_start}", metrics_text)

    async def test_entry_at_the_start(self):
        """Guards against a daemon that stops following the registry.

        It would read the same entry again at each start.
        """
        await self.check_daemons(is_listed_at_start=True)

    async def test_later_entry(self):
        """Guards against a worker that registers later and is never used."""
        await self.check_daemons(is_listed_at_start=False)
