"""A worker restarts under its id, gets a task at once, and is cut off then."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import harness  # pylint: disable=wrong-import-position

WORKERS = [f"w{number}-zone-a" for number in range(1, 5)]
LOOK = "POST /hold HTTP/1.1"
DARK_S = 0.5
CUT_S = 5.5
TASK_MS = 10000
TASK_CPU = 12000
SETTLE_S = 12


async def restart_worker(site, worker):
    """Lets a worker lose power, and start again under its id."""
    proxy = site.worker_proxies[worker]
    # The leader's look at the worker has just begun, so that it finds the
    # loss only when this look has timed out.
    until = time.monotonic() + 10
    while time.monotonic() < until:
        asked_at = proxy.last_request_at.get(LOOK, 0)
        if time.monotonic() - asked_at < 0.1:
            break
        await asyncio.sleep(0.01)
    lost_at = time.monotonic()
    site.record(f"{worker} loses power, its channels are silent")
    proxy.lose_power()
    site.kill(worker)
    await asyncio.sleep(DARK_S)
    site.start_worker(worker)
    proxy.restore_power()
    row = await site.wait_event(
        lambda row: row["worker"] == worker and row["event"] == "born" and row[
            "t"] > lost_at, 3)
    if row is None:
        raise RuntimeError("the worker did not start again")


async def cut_off(site, worker):
    proxy = site.worker_proxies[worker]
    await asyncio.sleep(2.5)
    # The last renewal of the lease is most of a second old.
    until = time.monotonic() + 5
    while time.monotonic() < until:
        asked_at = proxy.last_request_at.get(LOOK, 0)
        if 0.8 < time.monotonic() - asked_at < 0.95:
            break
        await asyncio.sleep(0.01)
    proxy.is_cut = True
    site.record(f"{worker} is cut off from all daemons, and runs on")
    await asyncio.sleep(CUT_S)
    proxy.is_cut = False
    site.record(f"the cut of {worker} has ended")


async def play(site):
    name = next(iter(site.daemons))
    for worker in WORKERS:
        if harness.TROUBLE:
            await restart_worker(site, worker)
        job_id = f"{random.getrandbits(64):016x}"
        sent_at = time.monotonic()
        status, _ = await site.call(
            name, "POST", job_id, {
                "spec": f'{{"ms": [{TASK_MS}], "cpu": {TASK_CPU}}}',
                "steps": [{
                    "count": len(WORKERS),
                    "cpu": TASK_CPU,
                    "mem_mb": 6400,
                    "estimate_ms": TASK_MS
                }]
            })
        if status != 200:
            raise RuntimeError(f"the job was answered {status}")
        row = await site.wait_event(
            lambda row: row["event"] == "start" and row["worker"] == worker and
            row["task"].startswith(job_id), 0.4)
        if row is not None:
            break
        # The leader has found the loss before the job came: the next worker.
        site.record(f"{worker} got no task within {time.monotonic() - sent_at}")
        await site.call(name, "DELETE", job_id)
        await asyncio.sleep(5)
    else:
        raise RuntimeError("no worker got a task at once")
    if harness.TROUBLE:
        await cut_off(site, worker)
    await asyncio.sleep(SETTLE_S)
    site.read_events()
    pairs = site.find_double_runs()
    for pair in pairs:
        site.record(f"two runs at the same time: {pair}")
    if pairs:
        raise harness.Broken(
            f"TWICE: {len(pairs)} task(s) ran on two workers at the same time, "
            f"for up to {max(pair[2] for pair in pairs):.2f} s")


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent,
                     play,
                     workers_per_zone=4,
                     hold_max_ms=10000,
                     stop_ms=400,
                     cut_workers=WORKERS)
