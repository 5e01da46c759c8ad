"""Jobs are handed in again while the store is slow; later all daemons restart."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import harness  # pylint: disable=wrong-import-position

SLOW_X = 60
SLOW_S = 4.5
PATIENCE_MS = 500
JOBS = 24
SPREAD_S = 0.3
TASK_MS = 20000
TASK_CPU = 2100
WATCH_S = 12


async def hand_in(site):
    """Hands a job in, again and again at any daemon, until it is accepted."""
    names = list(site.daemons)
    job_id = f"{random.getrandbits(64):016x}"
    await asyncio.sleep(random.uniform(0, SPREAD_S))
    for _ in range(12):
        status, _ = await site.call(
            random.choice(names),
            "POST",
            job_id, {
                "spec": f'{{"ms": [{TASK_MS}], "cpu": {TASK_CPU}}}',
                "steps": [{
                    "count": 4,
                    "cpu": TASK_CPU,
                    "mem_mb": 4200,
                    "estimate_ms": TASK_MS
                }]
            },
            wait_ms=PATIENCE_MS)
        if status == 200:
            return job_id
        if status in (429, 503):
            await asyncio.sleep(0.5)
    return None


async def play(site):
    names = list(site.daemons)
    slow_until = time.monotonic() + SLOW_S
    if harness.TROUBLE:
        await site.slow_store(SLOW_X)
        await asyncio.sleep(0.5)
    jobs = await asyncio.gather(*[hand_in(site) for _ in range(JOBS)])
    site.record(f"{sum(job is not None for job in jobs)} jobs were accepted")
    await asyncio.sleep(max(0, slow_until - time.monotonic()))
    if harness.TROUBLE:
        await site.slow_store(1)
    await asyncio.sleep(2)
    if harness.TROUBLE:
        for name in names:
            site.kill(name)
        for name in names:
            site.start_daemon(name)
    await asyncio.sleep(WATCH_S)
    site.read_events()
    pairs = site.find_double_runs()
    for pair in pairs:
        site.record(f"two runs at the same time: {pair}")
    if pairs:
        raise harness.Broken(
            f"TWICE: {len(pairs)} task(s) ran on two workers at the same time, "
            f"for up to {max(pair[2] for pair in pairs):.2f} s")


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, play, workers_per_zone=4)
