"""Tests of daemons whose worker registry has an unreadable entry."""

import asyncio
import json
import time
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _daemon
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from standins import site_workers

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


class UnreadableEntryTest(unittest.IsolatedAsyncioTestCase):
    """Runs a daemon with odd entries beside entries of workers in use."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.store.write(
            platform.OPERATOR_TOPIC,
            ports.KeyedRecord(platform.CONFIGURATION_KEY, CONFIGURATION))
        self.store.write(
            dispatch.JOB_TOPIC,
            dispatch.encode_record(dispatch.AcceptedRecord(JOB, "x")))
        self.notes: list[site_workers.RunNote] = []
        self.good_entries = {
            key: await self.start_worker(key) for key in GOOD_KEYS
        }
        self.daemon: _daemon.ClusterDaemon | None = None

    async def start_worker(self, key: str) -> bytes:
        """Starts a worker until the test ends, and returns its entry."""
        worker = site_workers.SiteWorker(
            site_workers.WorkerPlace(key, daemons.GROUP), self.notes)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        return worker.build_entry("svc")

    def write_entries(self, entries: dict[str, bytes]) -> None:
        """Writes entries to the registry, by their keys."""
        for key, value in entries.items():
            self.store.write(platform.REGISTRY_TOPIC,
                             ports.KeyedRecord(key, value))

    async def wait_until_used(self, key: str) -> None:
        """Waits until a worker has a run; fails the test after 10 s."""
        until = time.monotonic() + 10
        while key not in {note.worker_id for note in self.notes}:
            self.assertLess(time.monotonic(), until, self.daemon_log.lines)
            await asyncio.sleep(0.02)

    @property
    def daemon_log(self) -> fakes.RecordingLog:
        """The log of the daemon."""
        return self.daemon._log  # pylint: disable=protected-access

    async def stop_daemon(self) -> None:
        """Stops the daemon; unlike the end of its task, this closes all."""
        self.daemon._stop_requested.set()  # pylint: disable=protected-access
        while not self.daemon_log.list_fields("daemon-stopped"):
            await asyncio.sleep(0.01)

    async def run_daemon(self, odd_entries: dict[str, bytes],
                         is_listed_at_start: bool) -> None:
        """Runs a daemon until it uses a worker that registers at the end.

        The odd entries are written several times before that.
        """
        first_key, last_key = GOOD_KEYS
        self.write_entries({first_key: self.good_entries[first_key]})
        if is_listed_at_start:
            self.write_entries(odd_entries)
        worker_client = platform.PlatformWorkerClient(
            adapters.LoopDelayMeter(adapters.SystemClock()),
            dispatch.CALL_END_LIMIT)
        self.addAsyncCleanup(worker_client.close)
        self.daemon = daemons.start_daemon(self, "entry-1", self.store,
                                           worker_client)
        self.addAsyncCleanup(self.stop_daemon)
        await self.wait_until_used(first_key)
        for _ in range(REWRITE_COUNT):
            self.write_entries(odd_entries)
        self.write_entries({last_key: self.good_entries[last_key]})
        await self.wait_until_used(last_key)
        self.assertEqual(self.daemon_log.list_fields("internal-error"), [])
        self.assertEqual(self.daemon_log.list_fields("lead-lost"), [])

    async def check_odd_entries(self, is_listed_at_start: bool) -> None:
        """Runs a daemon with all odd entries, and checks log and metric."""
        odd_entries = build_odd_entries(self.good_entries[GOOD_KEYS[0]])
        await self.run_daemon(odd_entries, is_listed_at_start)
        lines = self.daemon_log.list_fields("record-unreadable")
        self.assertEqual(
            [(line["topic"], line["key"]) for line in lines],
            [(platform.REGISTRY_TOPIC, key) for key in odd_entries])
        for line in lines:
            self.assertLess(len(json.dumps(line)), 400)
        record_count = len(odd_entries) * (REWRITE_COUNT + is_listed_at_start)
        # pylint: disable-next=protected-access
        metrics_text = self.daemon._load_log.render_metrics().decode()
        self.assertIn(
            "gentianlead_unreadable_records_total{topic="
            f'"{platform.REGISTRY_TOPIC}"}} {record_count}', metrics_text)

    async def test_entries_at_the_start(self):
        """Guards against a daemon that stops following the registry.

        It would read the same entries again at each start.
        """
        await self.check_odd_entries(is_listed_at_start=True)

    async def test_later_entries(self):
        """Guards against a worker that registers later and is never used."""
        await self.check_odd_entries(is_listed_at_start=False)

    async def test_highest_numbers(self):
        """Guards against a leader that cannot store or report a worker.

        The numbers in its entry are valid but absurd. It does not reply.
        """
        entry = json.loads(self.good_entries[GOOD_KEYS[0]]) | {
            "address": "127.0.0.1:1",
            "state": "draining",
            "remaining_ms": 2**53 - 1,
            "born": 2**53 - 1,
            "capacity": {
                "cpu": 2**31 - 1,
                "mem_mb": 2**31 - 1,
                "gpu": 2**31 - 1
            }
        }
        await self.run_daemon({"absurd": json.dumps(entry).encode()}, True)
        self.assertEqual(self.daemon_log.list_fields("record-unreadable"), [])
