"""Workers crash under a job that can be done, and come back."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import world  # pylint: disable=wrong-import-position

JOB = "7d1f8b32ea5c4709"
TASK_CPU = 3500
TASK_MEM_MB = 6400
WORK_MS = 2700
CRASHES = int(os.environ.get("CRASHES", "2"))
CRASH_DELAY_S = float(os.environ.get("CRASH_DELAY", "0.05"))
DOWN_S = float(os.environ.get("DOWN", "1.0"))
LASTS = os.environ.get("LASTS") == "1"
END_S = 40.0


async def run_case(site: world.World) -> int:
    """Submits the job, crashes its worker each time, and asks for its state."""
    await site.start()
    crash_count = 0
    restarts = []

    async def crash(worker: world.Worker) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()

    def handle_start(worker: world.Worker, task: str, number: int) -> None:
        nonlocal crash_count
        del task, number
        if world.is_trouble_on() and crash_count < CRASHES:
            crash_count += 1
            restarts.append(asyncio.create_task(crash(worker)))

    for worker in site.workers:
        worker.on_started = handle_start
    step = {
        "count": 1,
        "cpu": TASK_CPU,
        "mem_mb": TASK_MEM_MB,
        "estimate_ms": WORK_MS
    }
    work = {"cpu": TASK_CPU, "mem_mb": TASK_MEM_MB, "ms": WORK_MS}
    if LASTS:
        step["long_running"] = True
        work["lasts"] = True
    if await site.submit(JOB, [step], [work]) != 200:
        raise RuntimeError("the job was not accepted")
    until = site.record.now + END_S
    state = ""
    while site.record.now < until and state not in ("completed", "failed"):
        for daemon in site.daemons:
            state = await site.get_state(JOB, daemon)
        await asyncio.sleep(0.5)
    failed_ends = site.record.list("run-ended", how="failed")
    site.record.add("checked",
                    state=state,
                    crashes=crash_count,
                    ends_failed=len(failed_ends),
                    max_attempts=3)
    return 1 if state == "failed" and not failed_ends else 0


if __name__ == "__main__":
    sys.exit(
        world.run_case(run_case, lambda: world.World(workers_per_zone=8),
                       FOLDER))
