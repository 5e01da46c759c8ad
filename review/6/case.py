"""A gang loses its zone's spare worker and has to start again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import world  # pylint: disable=wrong-import-position

JOB = "5c0e7a21d94b36f8"
SMALL_JOB = "7d1f8b32ea5c4709"
MEMBERS = 8
MEMBER_CPU = 18000
MEMBER_MEM_MB = 64000
WORK_MS = 5000
LOST_PER_ZONE = 1
FINISH_S = 14.0
WAIT_S = 3.0


async def run_case(site: world.World) -> int:
    """Submits the gang, takes workers away, and asks for the job's end."""
    await site.start()
    step = {
        "count": MEMBERS,
        "cpu": MEMBER_CPU,
        "mem_mb": MEMBER_MEM_MB,
        "estimate_ms": WORK_MS,
        "gang": True
    }
    work = {
        "cpu": MEMBER_CPU,
        "mem_mb": MEMBER_MEM_MB,
        "ms": WORK_MS,
        "gang": MEMBERS
    }
    if await site.submit(JOB, [step], [work]) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(2.0)
    if world.is_trouble_on():
        for zone in world.ZONES:
            zone_workers = [w for w in site.workers if w.zone == zone]
            for worker in zone_workers[:LOST_PER_ZONE]:
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
    capacity = sum(w.is_up for w in site.workers)
    running = sum(len(w.runs) for w in site.workers)
    site.record.add("checked",
                    workers_up=capacity,
                    workers_for_the_gang_twice=2 * MEMBERS,
                    starts_since=len(late_starts),
                    running=running,
                    last_states=states[-3:])
    if "completed" in states:
        return 0
    is_broken = (not late_starts and not running and
                 capacity >= 2 * MEMBERS)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(
        world.run_case(run_case, lambda: world.World(workers_per_zone=8),
                       FOLDER))
