"""A job of two steps with different labels loses the workers of its zone."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import world  # pylint: disable=wrong-import-position

JOB = "6f2e90b7c1d4835a"
KINDS = {"north-a": ("x", "y"), "north-b": ("x",), "north-c": ("y",)}
TASK_CPU = 3500
TASK_MEM_MB = 6400
WORK_MS = 2700
FINISH_S = 14.0
WAIT_S = 3.0


def build_site() -> world.World:
    """Builds a deployment; one zone has both kinds, two have one of them."""
    site = world.World(workers_per_zone=8)
    for zone, kinds in KINDS.items():
        zone_workers = [w for w in site.workers if w.zone == zone]
        for worker, kind in zip(zone_workers, kinds):
            worker.kind = kind
    return site


async def run_case(site: world.World) -> int:
    """Submits the job, takes its two workers away, and asks for its end."""
    await site.start()
    steps = [{
        "count": 1,
        "cpu": TASK_CPU,
        "mem_mb": TASK_MEM_MB,
        "estimate_ms": WORK_MS,
        "requires": kind
    } for kind in ("x", "y")]
    work = [{"cpu": TASK_CPU, "mem_mb": TASK_MEM_MB, "ms": WORK_MS}] * 2
    if await site.submit(JOB, steps, work) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1.0)
    if world.is_trouble_on():
        for worker in site.workers:
            if worker.zone == "north-a" and worker.kind in ("x", "y"):
                worker.crash()
    # The traffic ends here; the workers that are left are idle.
    await asyncio.sleep(FINISH_S)
    since = site.record.now
    states = []
    while site.record.now < since + 4 * WAIT_S:
        for daemon in site.daemons:
            states.append(await site.get_state(JOB, daemon))
        await asyncio.sleep(0.5)
    late_starts = [
        row for row in site.record.list("run-started") if row["at"] >= since
    ]
    fitting_workers = [
        w.worker_id for w in site.workers if w.is_up and w.kind in ("x", "y")
    ]
    running = sum(len(w.runs) for w in site.workers)
    site.record.add("checked",
                    idle_workers_with_the_labels=fitting_workers,
                    starts_since=len(late_starts),
                    running=running,
                    last_states=states[-3:])
    if "completed" in states:
        return 0
    return 1 if fitting_workers and not late_starts and not running else 0


if __name__ == "__main__":
    sys.exit(world.run_case(run_case, build_site, FOLDER))
