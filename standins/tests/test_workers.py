"""Tests of the runs, leases and fault switches of a worker."""

import asyncio
import random
import time
from typing import Any
import unittest

import aiohttp

from gentianlead import model
from gentianlead import ports
from standins import _endpoint
from standins import _journal
from standins import _runs
from standins import checks
from standins import workers

_KEY = ports.RunKey("j", 0, 1)
_LIMITS = workers.WorkerLimits(model.Resources(1000, 1000, 0), 8, 64, 0.0)
_LEASE_MS = 100
_LONG_MS = 60_000


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    """Runs of one worker, on its own clock."""

    async def asyncSetUp(self) -> None:
        self.journal = _journal.Journal("rack")
        self.worker = workers.Worker("w-1", "north-1", _LIMITS, self.journal,
                                     random.Random(7))
        self.table = self.worker.table

    def order(self, run_ms: float | None, **fields: Any) -> dict[str, Any]:
        """Returns a start order with a lease of `_LEASE_MS`."""
        now = self.table.clock.read_ms()
        return {
            "boot_id": self.table.clock.boot_id,
            "expires_at_ms": now + _LEASE_MS,
            "start_by_ms": now + _LONG_MS,
            "fence": 1,
            "resources": [600, 10, 0],
            "payload": {
                "run_ms": run_ms
            },
            **fields
        }

    def get_state(self, run: int = 1) -> ports.RunState:
        """Returns the state of a run of the task."""
        return self.table.get(_KEY._replace(run=run)).state

    async def test_lease_lapses_at_its_exact_time(self) -> None:
        """Guards against a run that outlives its lease on a busy machine."""
        self.table.start(_KEY, self.order(None))
        end = self.table.clock.find(self.table.get(_KEY).expires_at_ms)
        await asyncio.sleep(0.3)
        self.assertEqual(self.get_state(), ports.RunState.LEASE_EXPIRED)
        interval, = checks.list_intervals(list(self.journal.entries))
        self.assertEqual(interval.ends_at, end)

    async def test_resumed_run_continues(self) -> None:
        """Guards against a resumed run that starts from the beginning.

        The lease and the run are long, because a run that has ended before the
        checkpoint has no progress to resume.
        """
        expires_at_ms = self.table.clock.read_ms() + _LONG_MS
        self.table.start(_KEY, self.order(_LONG_MS,
                                          expires_at_ms=expires_at_ms))
        await asyncio.sleep(0.06)
        checkpoint = self.table.checkpoint(_KEY).checkpoint
        self.table.stop(_KEY, {})
        second = _KEY._replace(run=2)
        run = self.table.start(second,
                               self.order(_LONG_MS, checkpoint=checkpoint))
        self.assertGreaterEqual(run.progress_ms, 60)
        self.assertLess(run.find_finish() - time.monotonic(),
                        _LONG_MS / 1000 - 0.05)

    async def test_orders_are_refused(self) -> None:
        """Guards against a worker that accepts late or stale orders."""
        now = self.table.clock.read_ms()
        self.table.start(_KEY._replace(run=3),
                         self.order(None, expires_at_ms=now + _LONG_MS))
        cases = [
            ("late", _KEY._replace(task=1), {
                "start_by_ms": now - 1
            }),
            ("lower run", _KEY._replace(run=2), {}),
            ("other boot", _KEY._replace(task=1), {
                "boot_id": "x"
            }),
            ("beyond capacity", _KEY._replace(task=1), {}),
        ]
        for name, key, fields in cases:
            with self.subTest(name), self.assertRaises(_runs.RefusalError):
                self.table.start(key, self.order(None, **fields))

    async def test_forgotten_run_does_not_start_again(self) -> None:
        """Guards against a delayed order that repeats a run."""
        self.table.start(_KEY, self.order(None))
        self.table.stop(_KEY, {})
        self.table.forget(_KEY)
        with self.assertRaises(_runs.RefusalError):
            self.table.start(_KEY, self.order(None))

    async def test_renewal_needs_the_fence(self) -> None:
        """Guards against a former holder that extends a lease."""
        first = self.table.start(_KEY, self.order(None)).expires_at_ms
        for expires_at_ms, fence in [(first + 10, 2), (first + 20, 1)]:
            self.table.renew(_KEY, expires_at_ms, fence)
            self.assertEqual(
                self.table.report(_KEY)["expires_at_ms"], first + 10)

    async def test_silent_vm_runs_nothing_after_its_boot(self) -> None:
        """Guards against requests that wait for a boot and then run."""
        endpoint = self.worker.target.endpoint
        for part in (endpoint, self.worker.agent):
            await part.open(0)
            self.addCleanup(part.close)
        await self.worker.set_power(False, True)
        async with aiohttp.ClientSession() as session:
            # aiohttp would repeat a GET by itself.
            call = asyncio.create_task(
                session.post(f"http://{_endpoint.HOST}:{endpoint.port}/"))
            await asyncio.sleep(0.2)
            self.assertFalse(call.done())
            await self.worker.set_power(True, False)
            with self.assertRaises(aiohttp.ClientError):
                await call
            async with session.get(
                    f"http://{_endpoint.HOST}:{endpoint.port}/") as response:
                self.assertEqual(response.status, 200)
        kinds = [entry["kind"] for entry in self.journal.entries]
        self.assertEqual(kinds.count("request"), 1)

    async def test_switches(self) -> None:
        """Guards against switches of a worker without effect."""
        rack = workers.Rack([self.worker])
        actions = rack.get_actions()
        for action, fields in [("fail_tasks", {}), ("leaving", {}),
                               ("power", {
                                   "on": False
                               })]:
            await actions[action]({"worker": "w-1", **fields})
            if action == "fail_tasks":
                self.table.start(_KEY, self.order(1000))
                self.assertEqual(self.get_state(), ports.RunState.FAILED)
            elif action == "leaving":
                with self.assertRaises(_runs.RefusalError):
                    self.table.start(_KEY._replace(task=1), self.order(None))
            else:
                self.assertEqual(self.table.runs, {})
